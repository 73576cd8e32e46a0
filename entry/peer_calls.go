package entry

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/jobs"
	"github.com/bergamotgrade/bergamotgrade/origin"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// Methods of the calls between VMs.
const (
	// methodCopy requests a VM's copy of a prefix of the platform's store.
	methodCopy = "copy"
	// methodStore requests a VM to make a call to the platform's store.
	methodStore = "store"
	// methodResults requests results of a job from the VM that owns it.
	methodResults = "results"
	// methodBucketLevels requests the level of each team's token bucket.
	methodBucketLevels = "levels"
	// methodStreamOrigin requests what a VM knows of the origin of a stream.
	methodStreamOrigin = "stream_origin"
)

// copyCall requests a copy of a prefix that is newer than a position.
type copyCall struct {
	peerCall
	Prefix string          `json:"prefix"`
	Than   follow.Position `json:"than"`
}

// resultsCall requests the stored results of a job from position From on.
type resultsCall struct {
	peerCall
	JobID string `json:"job_id"`
	From  int    `json:"from"`
}

// originCall asks where a stream began.
type originCall struct {
	peerCall
	origin.Question
}

func (n *Node) answerPeerCall(ctx context.Context, method string, params *json.RawMessage) (any, error) {
	switch method {
	case methodCopy:
		return vm.DecodeAndHandle(*params, func(call copyCall) any {
			if mirror, ok := n.mirrors[call.Prefix]; ok {
				return mirror.CopySince(call.Than)
			}
			return follow.Copy{}
		})
	case methodStore:
		if n.kv.Unreachable() {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "this VM does not reach the store either"}
		}
		return vm.DecodeAndHandle(*params, func(call storeCall) any { return executeStoreCall(ctx, n.kv.Direct(), call) })
	case methodResults:
		return vm.DecodeAndHandle(*params, func(call resultsCall) any { return n.repository.CachedResults(call.JobID, call.From) })
	case methodBucketLevels:
		return vm.DecodeAndHandle(*params, func(peerCall) any { return n.view.bucketLevels() })
	case methodStreamOrigin:
		return vm.DecodeAndHandle(*params, func(call originCall) any { return n.origins.Answer(call.Question) })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this VM does not know the method"}
}

// asCaller returns the part of the parameters of a call that says where this VM is.
func (n *Node) asCaller() peerCall { return peerCall{CallerDataCentre: n.settings.DataCentre} }

// peerStore implements follow.PeerStore.
func (n *Node) peerStore(homes bergamotgrade.Homes) bergamotgrade.KeyValue {
	address, ok := n.view.storePeer(homes)
	if !ok {
		return nil
	}
	return &storeProxy{node: n, address: address}
}

// ownerResults implements jobs.OwnerResults. It returns nil if the owner is not alive or
// does not answer.
func (n *Node) ownerResults(ctx context.Context, jobID string, head jobs.Head, from int) []jobs.Result {
	address, ok := n.view.peerAddresses()[head.Owner]
	if !ok || !n.view.RunnerAlive(head.Owner, head.OwnerIncarnation) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	results, err := callPeer[[]jobs.Result](ctx, n, address, methodResults, resultsCall{peerCall: n.asCaller(), JobID: jobID, From: from})
	if err != nil {
		n.log.Info("job owner returned no results; reading them from the store", "job", jobID, "owner", head.Owner, "cause", err.Error())
		return nil
	}
	return results
}

// Keepers implements origin.Fleet.
func (n *Node) Keepers(key uint64, most int, live bool) []string {
	return n.view.keepers(key, most, live)
}

// SendRecords implements origin.Fleet.
func (n *Node) SendRecords(vmID string, records []bergamotgrade.StreamRecord) {
	n.gossip.SendStreams(vmID, records)
}

// AskOrigin implements origin.Fleet.
func (n *Node) AskOrigin(ctx context.Context, vmID string, question origin.Question) (origin.Answer, error) {
	address, ok := n.view.peerAddresses()[vmID]
	if !ok {
		return origin.Answer{}, errors.Newf("VM %s is not registered", vmID)
	}
	return callPeer[origin.Answer](ctx, n, address, methodStreamOrigin, originCall{n.asCaller(), question})
}

// Source implements follow.Peers.
func (n *Node) Source(prefix string) (follow.Source, bool) {
	vmID, address, role := n.view.source(n.settings.DataCentre, n.kv.Unreachable())
	if role == roleWatcher {
		return follow.Source{}, false
	}
	position, age := n.view.announced(vmID, prefix)
	return follow.Source{Address: address, Position: position, Age: age}, true
}

// Joined implements follow.Peers.
func (n *Node) Joined() bool { return n.view.hearsOthers() }

// CopyFrom implements follow.Peers.
func (n *Node) CopyFrom(ctx context.Context, address, prefix string, than follow.Position) (follow.Copy, error) {
	return callPeer[follow.Copy](ctx, n, address, methodCopy, copyCall{peerCall: n.asCaller(), Prefix: prefix, Than: than})
}

// copyStates returns the copies that this VM announces: all of them if other VMs fetch from
// it.
func (n *Node) copyStates() []gossip.CopyState {
	if _, _, role := n.view.source(n.settings.DataCentre, n.kv.Unreachable()); role == roleFollower {
		return nil
	}
	var states []gossip.CopyState
	for prefix, mirror := range n.mirrors {
		if position, age, ok := mirror.Announcement(); ok {
			states = append(states, gossip.CopyState{
				VMID: n.settings.VMID, Prefix: prefix, Revision: position.Revision, ChangedAt: position.ChangedAt,
				ListedAt: position.ListedAt, AgeMs: age.Milliseconds(),
			})
		}
	}
	slices.SortFunc(states, func(a, b gossip.CopyState) int { return strings.Compare(a.Prefix, b.Prefix) })
	return states
}

// FetchCopy implements follow.Peers.
func (n *Node) FetchCopy(ctx context.Context, prefix string, than follow.Position) (follow.Copy, bool) {
	sources := n.view.copySources(maxCopyPeers)
	if len(sources) == 0 {
		// Without a list of registered VMs only the seed addresses are known.
		for _, seed := range n.settings.Seeds {
			if seed != n.settings.IP {
				sources = append(sources, net.JoinHostPort(seed, strconv.Itoa(n.settings.InnerPort)))
			}
		}
	}
	if than.Revision == 0 {
		return n.newestCopy(ctx, prefix, sources)
	}
	for _, address := range sources {
		if copied, ok := n.copyFromPeer(ctx, address, prefix, than); ok {
			return copied, true
		}
	}
	return follow.Copy{}, false
}

// copyFromPeer fetches a copy newer than the position; it returns false if the VM has none.
func (n *Node) copyFromPeer(ctx context.Context, address, prefix string, than follow.Position) (follow.Copy, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	copied, err := n.CopyFrom(ctx, address, prefix, than)
	return copied, err == nil && copied.Revision > than.Revision
}

// newestCopy asks all sources at once and returns the newest copy. A VM that starts has nothing with
// which to tell an old copy from a new one, and it would bring back what the operator has withdrawn.
func (n *Node) newestCopy(ctx context.Context, prefix string, sources []string) (newest follow.Copy, ok bool) {
	copies := make(chan follow.Copy, len(sources))
	var calls sync.WaitGroup
	for _, address := range sources {
		calls.Go(func() {
			if copied, ok := n.copyFromPeer(ctx, address, prefix, follow.Position{}); ok {
				copies <- copied
			}
		})
	}
	calls.Wait()
	close(copies)
	for copied := range copies {
		if copied.Revision > newest.Revision {
			newest, ok = copied, true
		}
	}
	return newest, ok
}

// fetchBucketLevels fetches the levels of the teams' token buckets from a peer. It runs
// once after the start, when this VM does not know of earlier requests.
func (n *Node) fetchBucketLevels(vmID string) {
	defer n.view.endLevelFetch()
	address, ok := n.view.peerAddresses()[vmID]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	levels, err := callPeer[map[string]float64](ctx, n, address, methodBucketLevels, n.asCaller())
	if err != nil {
		n.log.Info("bucket levels of the teams cannot be fetched from a peer; the buckets fill from empty", "peer", vmID, "cause", err.Error())
		return
	}
	n.view.setBucketLevels(levels)
	n.log.Info("bucket levels of the teams fetched from a peer", "peer", vmID, "teams", len(levels))
}
