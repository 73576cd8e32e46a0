package follow

import (
	"context"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// Copy is one VM's copy of a prefix as of a revision of the store, without the
// entries that the requesting VM already has.
type Copy struct {
	Revision int64 `json:"revision"`
	// ListedAt is the revision of the last complete listing that this copy builds on.
	ListedAt int64                 `json:"listed_at"`
	Entries  []bergamotgrade.Entry `json:"entries,omitempty"`
	// Keys lists the keys of all entries, unless no entry was removed since the revision of
	// the requesting VM.
	Keys []string `json:"keys,omitempty"`
	// KeysOmitted is set if Keys is not given.
	KeysOmitted bool `json:"keys_omitted,omitempty"`
	// Retained lists the keys of the entries that the store has removed and the VM keeps until
	// its grace period ends. The removals precede Revision, so no watch from there on reports
	// them.
	Retained []string `json:"retained,omitempty"`
}

// Position is the state of a copy.
type Position struct {
	// Revision is the revision up to which the copy is complete.
	Revision int64 `json:"revision"`
	// ChangedAt is the revision of the last change, ListedAt the one of the last complete
	// listing.
	ChangedAt int64 `json:"changed_at"`
	ListedAt  int64 `json:"listed_at"`
}

// newerThan reports whether a copy at the position has something that one at the other has
// not.
func (p Position) newerThan(other Position) bool {
	return p.ChangedAt > other.Revision || p.ListedAt > other.ListedAt
}

// Source is the VM from which a mirror receives changes.
type Source struct {
	// Address is the inner address of the VM.
	Address string
	// Position is what the VM has announced, and Age how long ago its copy was up to date;
	// zero if the VM has announced nothing.
	Position Position
	Age      time.Duration
}

// Peers fetches copies from the other VMs.
type Peers interface {
	// FetchCopy asks other VMs for a copy of the prefix newer than the position; it returns
	// false if none has one.
	FetchCopy(ctx context.Context, prefix string, than Position) (Copy, bool)
	// Source returns the VM from which this VM receives changes of the prefix; false means
	// that it has to watch the store itself.
	Source(prefix string) (Source, bool)
	// CopyFrom fetches a copy of the prefix newer than the position from the VM.
	CopyFrom(ctx context.Context, address, prefix string, than Position) (Copy, error)
	// Joined reports whether this VM hears of other VMs.
	Joined() bool
}
