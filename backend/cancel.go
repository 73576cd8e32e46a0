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

// cancelJob is one attempt to stop on an engine.
type cancelJob struct {
	server    bergamotgrade.BackendServer
	attemptID string
}

type cancelBody struct {
	AttemptID string `json:"attempt_id"`
}

// Run sends cancels in the background until the context ends.
func (c *Client) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for range cancelWorkers {
		workers.Go(func() { c.loop(ctx) })
	}
	workers.Wait()
}

func (c *Client) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-c.cancels:
			_ = c.Cancel(ctx, job.server, job.attemptID)
		}
	}
}

// cancelLater queues a cancel; a full queue drops it, since the engine also
// sees the connection close.
func (c *Client) cancelLater(server bergamotgrade.BackendServer, attemptID string) {
	select {
	case c.cancels <- cancelJob{server: server, attemptID: attemptID}:
	default:
	}
}

// Cancel implements bergamotgrade.Backend over a new connection.
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
	res, err := c.host(server.Address).single.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, 4096))
	return err
}
