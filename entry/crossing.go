package entry

import (
	"context"
	"encoding/json"
	"expvar"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/gossip"
	"github.com/bergamotgrade/bergamotgrade/vm"
)

// crossingKind is a kind of bytes that cross the borders of data centres; its text is the label of the
// metric.
type crossingKind string

const (
	crossingRequest    crossingKind = "request_to_server"
	crossingStatus     crossingKind = "status"
	crossingStoreProxy crossingKind = "store_proxy"
	crossingCopies     crossingKind = "copies"
	crossingStreams    crossingKind = "streams"
	crossingAnswers    crossingKind = "answers"
)

// crossingKinds holds the kinds of the calls between VMs, in both directions.
var crossingKinds = map[string]crossingKind{
	methodCopy: crossingCopies, methodStore: crossingStoreProxy, methodResults: crossingAnswers,
	methodBucketLevels: crossingStatus, methodStreamOrigin: crossingStreams,
}

// crossing counts the bytes that this VM sends to servers and VMs of other data centres.
type crossing struct {
	own    string
	counts *expvar.Map
}

// newCrossing returns a counter of the VM in the data centre, with zeros for all kinds.
func newCrossing(own string, counts *expvar.Map) crossing {
	for _, kind := range []crossingKind{crossingRequest, crossingStatus, crossingStoreProxy, crossingCopies, crossingStreams, crossingAnswers} {
		counts.Add(string(kind), 0)
	}
	return crossing{own: own, counts: counts}
}

// add counts bytes that are sent to the data centre; those to an unknown one are not counted.
func (c crossing) add(kind crossingKind, dataCentre string, bytes int) {
	if dataCentre != "" && dataCentre != c.own {
		c.counts.Add(string(kind), int64(bytes))
	}
}

// addRequest counts a request to a backend server.
func (c crossing) addRequest(server bergamotgrade.ServerRecord, bytes int) {
	c.add(crossingRequest, server.DataCentre, bytes)
}

// addDatagrams counts datagrams to other data centres.
func (c crossing) addDatagrams(content gossip.Content, bytes int) {
	kind := crossingStatus
	if content == gossip.ContentStreams {
		kind = crossingStreams
	}
	c.counts.Add(string(kind), int64(bytes))
}

// peerCall is the part of the parameters of a call between VMs that says where the calling VM is.
type peerCall struct {
	CallerDataCentre string `json:"caller_data_centre,omitempty"`
}

// callPeer calls the VM at the address and counts the parameters if it is in another data centre.
func callPeer[A any](ctx context.Context, n *Node, address, method string, params any) (A, error) {
	dataCentre := n.view.dataCentreAt(address)
	if dataCentre == "" || dataCentre == n.crossing.own {
		return vm.Call[A](ctx, n.peers, address, method, params)
	}
	data, err := json.Marshal(params)
	if err != nil {
		var none A
		return none, err
	}
	n.crossing.add(crossingKinds[method], dataCentre, len(data))
	return vm.Call[A](ctx, n.peers, address, method, json.RawMessage(data))
}

// handlePeerCall answers the calls of other VMs and counts the answers to other data centres.
func (n *Node) handlePeerCall(ctx context.Context, method string, params *json.RawMessage) (any, error) {
	if params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "the call has no parameters"}
	}
	answer, err := n.answerPeerCall(ctx, method, params)
	if err != nil {
		return nil, err
	}
	var call peerCall
	if err := json.Unmarshal(*params, &call); err != nil || call.CallerDataCentre == "" || call.CallerDataCentre == n.crossing.own {
		return answer, nil // a VM of an earlier version does not say where it is
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	n.crossing.add(crossingKinds[method], call.CallerDataCentre, len(data))
	return json.RawMessage(data), nil
}
