package entry

import (
	"context"
	"encoding/json"
	"net"
	"strconv"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/follow"
	"github.com/bergamotgrade/bergamotgrade/jobs"
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
)

// copyCall requests a copy of a prefix that is newer than a revision.
type copyCall struct {
	Prefix string `json:"prefix"`
	Above  int64  `json:"above"`
	// Watch delays the answer until there is a newer copy or the long-poll wait is over.
	Watch bool `json:"watch,omitempty"`
}

// resultsCall requests the stored results of a job from position From on.
type resultsCall struct {
	JobID string `json:"job_id"`
	From  int    `json:"from"`
}

// handlePeerCall answers the calls of other VMs.
func (n *Node) handlePeerCall(ctx context.Context, method string, params *json.RawMessage) (any, error) {
	if params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the call has no parameters"}
	}
	switch method {
	case methodCopy:
		return vm.DecodeAndHandle(*params, func(call copyCall) any {
			mirror, ok := n.mirrors[call.Prefix]
			switch {
			case !ok:
				return follow.Copy{}
			case call.Watch:
				return mirror.AwaitChange(ctx, call.Above, follow.LongPollWait)
			}
			return mirror.CopySince(call.Above)
		})
	case methodStore:
		if n.kv.Unreachable() {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "this VM does not reach the store either"}
		}
		return vm.DecodeAndHandle(*params, func(call storeCall) any { return executeStoreCall(ctx, n.kv.Direct(), call) })
	case methodResults:
		return vm.DecodeAndHandle(*params, func(call resultsCall) any { return n.repository.Cached(call.JobID, call.From) })
	case methodBucketLevels:
		return vm.DecodeAndHandle(*params, func(struct{}) any { return n.view.bucketLevels() })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this VM does not know the method"}
}

// peerStore returns the store as called through a peer that reaches it, or nil if there
// is no such peer.
func (n *Node) peerStore() bergamotgrade.KeyValue {
	address, ok := n.view.storePeer()
	if !ok {
		return nil
	}
	return &storeProxy{peers: n.peers, address: address}
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
	results, err := vm.Call[[]jobs.Result](ctx, n.peers, address, methodResults, resultsCall{JobID: jobID, From: from})
	if err != nil {
		n.log.Info("job owner returned no results; reading them from the store", "job", jobID, "owner", head.Owner, "cause", err.Error())
		return nil
	}
	return results
}

// Watcher implements follow.Peers.
func (n *Node) Watcher() (address string, ok bool) {
	return n.view.watcher(n.settings.DataCentre, n.kv.Unreachable())
}

// WatchVia implements follow.Peers.
func (n *Node) WatchVia(ctx context.Context, address, prefix string, above int64) (follow.Copy, error) {
	return vm.Call[follow.Copy](ctx, n.peers, address, methodCopy, copyCall{Prefix: prefix, Above: above, Watch: true})
}

// FetchCopy implements follow.Peers.
func (n *Node) FetchCopy(ctx context.Context, prefix string, above int64) (follow.Copy, bool) {
	sources := n.view.copySources(maxCopyPeers)
	if len(sources) == 0 {
		// Without a list of registered VMs only the seed addresses are known.
		for _, seed := range n.settings.Seeds {
			if seed != n.settings.IP {
				sources = append(sources, net.JoinHostPort(seed, strconv.Itoa(n.settings.InnerPort)))
			}
		}
	}
	for _, address := range sources {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		copied, err := vm.Call[follow.Copy](callCtx, n.peers, address, methodCopy, copyCall{Prefix: prefix, Above: above})
		cancel()
		if err == nil && copied.Revision > above {
			return copied, true
		}
	}
	return follow.Copy{}, false
}

// fetchBucketLevels fetches the levels of the teams' token buckets from a peer. It runs
// once after the start, when this VM does not know of earlier requests.
func (n *Node) fetchBucketLevels(vmID string) {
	address, ok := n.view.peerAddresses()[vmID]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	levels, err := vm.Call[map[string]float64](ctx, n.peers, address, methodBucketLevels, struct{}{})
	if err != nil {
		n.log.Info("bucket levels of the teams cannot be fetched from a peer; the buckets fill from empty", "peer", vmID, "cause", err.Error())
		return
	}
	n.view.setBucketLevels(levels)
	n.log.Info("bucket levels of the teams fetched from a peer", "peer", vmID, "teams", len(levels))
}
