package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/bergamotgrade/bergamotgrade"
)

// queuedCancel is a queued cancel of one attempt on a model engine.
type queuedCancel struct {
	server    bergamotgrade.BackendServer
	attemptID string
}

type cancelBody struct {
	AttemptID string `json:"attempt_id"`
}

// Run sends the queued cancels until the context ends.
func (c *Client) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range cancelWorkers {
		workers.Go(func() { c.sendCancels(ctx) })
	}
	workers.Wait()
}

func (c *Client) sendCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case queued := <-c.cancels:
			_ = c.Cancel(ctx, queued.server, queued.attemptID)
		}
	}
}

// enqueueCancel queues a cancel without blocking. A full queue drops the cancel; the
// engine still detects the closed connection.
func (c *Client) enqueueCancel(server bergamotgrade.BackendServer, attemptID string) {
	select {
	case c.cancels <- queuedCancel{server: server, attemptID: attemptID}:
	default:
	}
}

// Cancel implements bergamotgrade.Backend. It opens a new connection for the call.
func (c *Client) Cancel(ctx context.Context, server bergamotgrade.BackendServer, attemptID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	body, err := json.Marshal(cancelBody{AttemptID: attemptID})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+"/v1/cancel", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := c.transportsFor(server.Address).unpooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
	return err
}
