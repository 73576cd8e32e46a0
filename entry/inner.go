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

// The methods of the calls between VMs.
const (
	// methodCopy asks a VM for its copy of a prefix of the platform's store.
	methodCopy = "copy"
	// methodStore asks a VM for a call of the platform's store.
	methodStore = "store"
	// methodResults asks a VM for results of a job that it owns.
	methodResults = "results"
	// methodLevels asks a VM for what each team has left of its burst.
	methodLevels = "levels"
)

// copyCall is the question for a copy that is newer than a revision.
type copyCall struct {
	Prefix string `json:"prefix"`
	Above  int64  `json:"above"`
	// Watch has the answer wait until there is something newer.
	Watch bool `json:"watch,omitempty"`
}

// resultsCall is the question for a job's results from a position on.
type resultsCall struct {
	JobID string `json:"job_id"`
	From  int    `json:"from"`
}

// serveInner answers the calls of other VMs.
func (n *Node) serveInner(ctx context.Context, method string, params *json.RawMessage) (any, error) {
	if params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the call has no parameters"}
	}
	switch method {
	case methodCopy:
		return vm.Answer(*params, func(call copyCall) any {
			mirror, ok := n.mirrors[call.Prefix]
			switch {
			case !ok:
				return follow.Copy{}
			case call.Watch:
				return mirror.Await(ctx, call.Above, follow.WatcherWait)
			}
			return mirror.Copy(call.Above)
		})
	case methodStore:
		if n.kv.Away() {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "this VM does not reach the store either"}
		}
		return vm.Answer(*params, func(call storeCall) any { return makeStoreCall(ctx, n.kv.Direct(), call) })
	case methodResults:
		return vm.Answer(*params, func(call resultsCall) any { return n.repository.Cached(call.JobID, call.From) })
	case methodLevels:
		return vm.Answer(*params, func(struct{}) any { return n.view.levels() })
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this VM does not know the method"}
}

// storeThroughPeer returns the store as another VM reaches it, or nil.
func (n *Node) storeThroughPeer() bergamotgrade.KeyValue {
	address, ok := n.view.storePeer()
	if !ok {
		return nil
	}
	return &storeThrough{peers: n.peers, address: address}
}

// resultsFromOwner implements jobs.OwnerResults.
func (n *Node) resultsFromOwner(ctx context.Context, jobID string, head jobs.Head, from int) []jobs.Result {
	address, ok := n.view.peerAddresses()[head.Owner]
	if !ok || !n.view.RunnerLives(head.Owner, head.OwnerIncarnation) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	results, err := vm.Call[[]jobs.Result](ctx, n.peers, address, methodResults, resultsCall{JobID: jobID, From: from})
	if err != nil {
		n.log.Info("owner of a job gives no results; asking the store", "job", jobID, "owner", head.Owner, "cause", err.Error())
		return nil
	}
	return results
}

// Watcher implements follow.Peers.
func (n *Node) Watcher() (address string, ok bool) {
	return n.view.watcher(n.settings.DataCentre, n.kv.Away())
}

// WatchAt implements follow.Peers.
func (n *Node) WatchAt(ctx context.Context, address, prefix string, above int64) (follow.Copy, error) {
	return vm.Call[follow.Copy](ctx, n.peers, address, methodCopy, copyCall{Prefix: prefix, Above: above, Watch: true})
}

// Copy implements follow.Peers.
func (n *Node) Copy(ctx context.Context, prefix string, above int64) (follow.Copy, bool) {
	sources := n.view.copySources(copyPeers)
	if len(sources) == 0 {
		// Without any member list the seeds are all that is known.
		for _, seed := range n.settings.Seeds {
			if seed != n.settings.IP {
				sources = append(sources, net.JoinHostPort(seed, strconv.Itoa(n.settings.InnerPort)))
			}
		}
	}
	for _, address := range sources {
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		copied, err := vm.Call[follow.Copy](callCtx, n.peers, address, methodCopy, copyCall{Prefix: prefix, Above: above})
		cancel()
		if err == nil && copied.Revision > above {
			return copied, true
		}
	}
	return follow.Copy{}, false
}

// runLevels takes from a peer what each team has left, once after the start.
func (n *Node) runLevels(vmID string) {
	address, ok := n.view.peerAddresses()[vmID]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	levels, err := vm.Call[map[string]float64](ctx, n.peers, address, methodLevels, struct{}{})
	if err != nil {
		n.log.Info("levels of the teams not taken", "peer", vmID, "cause", err.Error())
		return
	}
	n.view.setLevels(levels)
	n.log.Info("levels of the teams taken", "peer", vmID, "teams", len(levels))
}
