package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"

	"github.com/bergamotgrade/bergamotgrade"
)

// TestHeldLimits guards against limits that are taken over unchecked, or from a variable although the
// flag is given, and against listeners that use up the descriptors.
func TestHeldLimits(t *testing.T) {
	t.Setenv("BERGAMOT_HELD_SHARE", "0.3")
	t.Setenv("BERGAMOT_CLIENT_CONNECTIONS", "many")
	t.Setenv("BERGAMOT_BODY_PROGRESS_WINDOW", "2s")
	var limits bergamotgrade.HeldLimits
	flags := pflag.NewFlagSet("entry", pflag.ContinueOnError)
	registerHeldLimits(flags, &limits)
	qt.Assert(t, flags.Parse([]string{"--body-progress-window", "1s"}), qt.IsNil)
	problems := applyEnvironment(flags)
	qt.Assert(t, problems, qt.HasLen, 1)
	qt.Assert(t, checkHeldLimits(limits, problems), qt.ErrorMatches, `.*BERGAMOT_CLIENT_CONNECTIONS.*`)
	qt.Assert(t, checkHeldLimits(limits, nil), qt.IsNil)
	qt.Assert(t, limits.Share, qt.Equals, 0.3)
	qt.Assert(t, limits.BodyWindow, qt.Equals, time.Second)
	qt.Assert(t, checkHeldLimits(bergamotgrade.HeldLimits{Share: 0.9, Connections: 1}, nil), qt.ErrorMatches,
		`.*--held-share.*--client-connections.*--server-held-bytes.*--body-progress-bytes.*--body-progress-window.*`)
	for _, descriptors := range []int{512, 3075, 10250} {
		total := 0
		for _, most := range maxConnections(bergamotgrade.NodeSettings{FileDescriptors: descriptors}) {
			total += most
		}
		qt.Assert(t, total < descriptors-reservedDescriptors, qt.IsTrue, qt.Commentf("%d of %d descriptors", total, descriptors))
	}
}
