// Package backend reaches backend servers: model engines and plain services.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bergamotgrade/bergamotgrade"
)

// Timeouts bound the silences that a client takes from a backend server.
type Timeouts struct {
	// FirstToken bounds the wait for the first token of an attempt.
	FirstToken time.Duration
	// TokenGap bounds the wait between two tokens.
	TokenGap time.Duration
	// IdempotentCall bounds one attempt of a call that may be repeated.
	IdempotentCall time.Duration
}

// Client implements bergamotgrade.Backend over HTTP.
type Client struct {
	timeouts Timeouts
	cancels  chan cancelJob

	mu    sync.Mutex
	hosts map[string]*host
}

// host holds the connections to one backend server.
type host struct {
	kept *http.Transport
	// single opens a connection for each request, so that net/http cannot
	// repeat a request by itself.
	single *http.Transport
}

var _ bergamotgrade.Backend = (*Client)(nil)

// New returns a client; Run sends its cancels.
func New(timeouts Timeouts) *Client {
	return &Client{timeouts: timeouts, cancels: make(chan cancelJob, cancelQueue), hosts: map[string]*host{}}
}

func (c *Client) host(address string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.hosts[address]; ok {
		return found
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 10 * time.Second}
	opened := &host{
		kept:   &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, DisableCompression: true},
		single: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
	}
	c.hosts[address] = opened
	return opened
}

// sendTrace tells whether a request got a connection, after which the server
// may have seen any part of it.
type sendTrace struct {
	connected atomic.Bool
}

func (t *sendTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

func (t *sendTrace) classify(err error) *bergamotgrade.DispatchError {
	if t.connected.Load() {
		return bergamotgrade.MaybeRan(err)
	}
	return bergamotgrade.NotSent(err)
}

// Complete implements bergamotgrade.Backend.
func (c *Client) Complete(ctx context.Context, server bergamotgrade.BackendServer, completion bergamotgrade.Completion) (bergamotgrade.ChunkStream, error) {
	ctx, cancel := context.WithDeadline(ctx, completion.Deadline)
	s := &stream{client: c, server: server, completion: completion, cancel: cancel, next: completion.ResumeOffset}
	s.watchdog = time.AfterFunc(c.timeouts.FirstToken, s.timeOut)
	var trace sendTrace
	req, err := http.NewRequestWithContext(trace.context(ctx), http.MethodPost, "http://"+server.Address+completion.Path, bytes.NewReader(completion.Body))
	if err != nil {
		s.release()
		return nil, bergamotgrade.NotSent(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(headerRequestID, completion.RequestID)
	req.Header.Set(headerAttemptID, completion.AttemptID)
	req.Header.Set(headerResumeOffset, strconv.Itoa(completion.ResumeOffset))
	opened := c.host(server.Address)
	res, err := opened.kept.RoundTrip(req)
	if err != nil {
		err = trace.classify(s.explain(err))
		// An idle connection may have gone silent; the next try opens a new one.
		opened.kept.CloseIdleConnections()
		_ = s.Close()
		return nil, err
	}
	if err := checkAnswer(res, completion.AttemptID); err != nil {
		s.body = res.Body
		_ = s.Close()
		return nil, bergamotgrade.MaybeRan(err)
	}
	s.start(res.Body)
	return s, nil
}

// checkAnswer compares the answer's identity with its request.
func checkAnswer(res *http.Response, attemptID string) error {
	if got := res.Header.Get(headerAttemptID); got != attemptID {
		return errors.Newf("answer of attempt %q arrived for attempt %q (status %d)", got, attemptID, res.StatusCode)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return errors.Newf("the server answered %s", res.Status)
	}
	return nil
}

// Call implements bergamotgrade.Backend.
func (c *Client) Call(ctx context.Context, server bergamotgrade.BackendServer, call bergamotgrade.ServiceCall) (bergamotgrade.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if call.Idempotent {
		ctx, cancel = context.WithTimeout(ctx, c.timeouts.IdempotentCall)
		defer cancel()
	}
	var trace sendTrace
	req, err := http.NewRequestWithContext(trace.context(ctx), call.Method, "http://"+server.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return bergamotgrade.ServiceAnswer{}, bergamotgrade.NotSent(err)
	}
	req.Header = AllowedRequestHeader(call.Header)
	req.Header.Set(headerRequestID, call.RequestID)
	req.Header.Set(headerAttemptID, call.AttemptID)
	opened := c.host(server.Address)
	transport := opened.single
	if call.Idempotent {
		transport = opened.kept
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		opened.kept.CloseIdleConnections()
		return bergamotgrade.ServiceAnswer{}, trace.classify(err)
	}
	defer res.Body.Close()
	answer, err := readAnswer(res, call.AttemptID)
	if err != nil {
		return bergamotgrade.ServiceAnswer{}, bergamotgrade.MaybeRan(err)
	}
	return answer, nil
}

func readAnswer(res *http.Response, attemptID string) (bergamotgrade.ServiceAnswer, error) {
	if got := res.Header.Get(headerAttemptID); got != attemptID {
		return bergamotgrade.ServiceAnswer{}, errors.Newf("answer of attempt %q arrived for attempt %q", got, attemptID)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return bergamotgrade.ServiceAnswer{}, errors.Wrap(err, "the answer was cut short")
	}
	if len(body) > maxAnswerBytes {
		return bergamotgrade.ServiceAnswer{}, errors.Newf("the answer holds more than %d bytes", maxAnswerBytes)
	}
	return bergamotgrade.ServiceAnswer{Status: res.StatusCode, Header: allowedAnswerHeader(res.Header), Body: body}, nil
}

// Load implements bergamotgrade.Backend. A failure on a kept connection is
// tried once more over a new one before the server is blamed.
func (c *Client) Load(ctx context.Context, server bergamotgrade.BackendServer) (bergamotgrade.LoadReport, error) {
	opened := c.host(server.Address)
	report, err := c.probe(ctx, opened.kept, server)
	if err == nil {
		return report, nil
	}
	opened.kept.CloseIdleConnections()
	return c.probe(ctx, opened.single, server)
}

func (c *Client) probe(ctx context.Context, transport *http.Transport, server bergamotgrade.BackendServer) (bergamotgrade.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+"/load", nil)
	if err != nil {
		return bergamotgrade.LoadReport{}, err
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return bergamotgrade.LoadReport{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return bergamotgrade.LoadReport{}, fmt.Errorf("the server answered %s", res.Status)
	}
	var report bergamotgrade.LoadReport
	err = json.NewDecoder(io.LimitReader(res.Body, 4096)).Decode(&report)
	return report, err
}
