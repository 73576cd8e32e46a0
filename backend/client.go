// Package backend is the HTTP client for backend servers: model engines and plain
// services.
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

// Timeouts bound how long a client waits for a backend server.
type Timeouts struct {
	// FirstToken is the maximum wait for the first token of an attempt.
	FirstToken time.Duration
	// TokenGap is the maximum wait between two tokens.
	TokenGap time.Duration
	// IdempotentCall is the maximum duration of one attempt of an idempotent call.
	IdempotentCall time.Duration
}

// Client implements bergamotgrade.Backend over HTTP.
type Client struct {
	timeouts Timeouts
	cancels  chan queuedCancel

	mu         sync.Mutex
	transports map[string]*serverTransports
}

// serverTransports holds the HTTP transports for one backend server.
type serverTransports struct {
	// pooled reuses idle connections.
	pooled *http.Transport
	// unpooled opens a new connection for each request. net/http silently repeats some
	// requests whose reused connection fails; a new connection rules this out.
	unpooled *http.Transport
	// probes reuses the connections of load probes. Their answers bear no id, so an answer to
	// another request that a server sends again could pass for one.
	probes *http.Transport
}

var _ bergamotgrade.Backend = (*Client)(nil)

// New returns a client. Its queued cancels are sent only while Run is running.
func New(timeouts Timeouts) *Client {
	return &Client{timeouts: timeouts, cancels: make(chan queuedCancel, cancelQueueSize), transports: map[string]*serverTransports{}}
}

func (c *Client) transportsFor(address string) *serverTransports {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.transports[address]; ok {
		return existing
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 10 * time.Second}
	newTransport := func() *http.Transport {
		return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeadBytes}
	}
	transports := &serverTransports{pooled: newTransport(), probes: newTransport(), unpooled: newTransport()}
	transports.pooled.MaxIdleConnsPerHost = maxIdleConns
	transports.probes.MaxIdleConnsPerHost = 1
	transports.unpooled.DisableKeepAlives = true
	c.transports[address] = transports
	return transports
}

// sendTrace records whether a request obtained a connection; from then on the server
// may have received any part of it. It also records how the writing of the request ended.
type sendTrace struct {
	connected atomic.Bool

	mu sync.Mutex
	// written receives the result of the write on the last connection.
	written chan error
}

func (t *sendTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			t.connected.Store(true)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.written = make(chan error, 1)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case t.lastWrite() <- info.Err:
			default:
			}
		},
	})
}

func (t *sendTrace) lastWrite() chan error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.written
}

// checkEnd returns an error if the answer, which has been read to its end, may lack a part. One with
// neither a length nor chunks ends with its connection: if that was reset while the request was still
// being written, the writer got the error and the reader a plain end.
func (t *sendTrace) checkEnd(ctx context.Context, res *http.Response) error {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
		return nil
	}
	select {
	case err := <-t.lastWrite():
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
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
	transports := c.transportsFor(server.Address)
	s := &stream{client: c, server: server, completion: completion, transport: transports.pooled, cancel: cancel, next: completion.ResumeOffset}
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
	res, err := transports.pooled.RoundTrip(req)
	if err != nil {
		err = trace.classify(s.wrapTimeout(err))
		// An idle connection may be dead without having been closed; closing the idle
		// connections makes the next attempt open a new one.
		transports.pooled.CloseIdleConnections()
		_ = s.Close()
		return nil, err
	}
	if err := checkResponse(res, completion.AttemptID); err != nil {
		s.body = res.Body
		_ = s.Close()
		return nil, bergamotgrade.MaybeRan(err)
	}
	s.start(res.Body)
	return s, nil
}

// checkResponse returns an error if the response belongs to another attempt or is no
// success.
func checkResponse(res *http.Response, attemptID string) error {
	if got := res.Header.Get(headerAttemptID); got != attemptID {
		return errors.Newf("answer of attempt %q arrived for attempt %q (status %d)", got, attemptID, res.StatusCode)
	}
	if res.StatusCode < http.StatusOK || res.StatusCode >= http.StatusMultipleChoices {
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
	transports := c.transportsFor(server.Address)
	transport := transports.unpooled
	if call.Idempotent {
		transport = transports.pooled
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		transports.pooled.CloseIdleConnections()
		return bergamotgrade.ServiceAnswer{}, trace.classify(err)
	}
	defer res.Body.Close()
	answer, err := readServiceAnswer(res, call.AttemptID)
	if err == nil {
		err = errors.Wrap(trace.checkEnd(ctx, res), "the call was not written to its end")
	}
	if err != nil {
		return bergamotgrade.ServiceAnswer{}, bergamotgrade.MaybeRan(err)
	}
	return answer, nil
}

func readServiceAnswer(res *http.Response, attemptID string) (bergamotgrade.ServiceAnswer, error) {
	if got := res.Header.Get(headerAttemptID); got != attemptID {
		return bergamotgrade.ServiceAnswer{}, errors.Newf("answer of attempt %q arrived for attempt %q", got, attemptID)
	}
	if !bergamotgrade.IsFinalStatus(res.StatusCode) {
		return bergamotgrade.ServiceAnswer{}, errors.Newf("received a response with status %03d", res.StatusCode)
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

// Load implements bergamotgrade.Backend. A failure on a reused connection is retried
// once over a new connection before it counts as a failure of the server.
func (c *Client) Load(ctx context.Context, server bergamotgrade.BackendServer) (bergamotgrade.LoadReport, error) {
	transports := c.transportsFor(server.Address)
	report, err := c.probe(ctx, transports.probes, server)
	if err == nil {
		return report, nil
	}
	transports.pooled.CloseIdleConnections()
	transports.probes.CloseIdleConnections()
	return c.probe(ctx, transports.unpooled, server)
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
		return bergamotgrade.LoadReport{}, fmt.Errorf("backend server returned status %s", res.Status)
	}
	var report bergamotgrade.LoadReport
	err = json.NewDecoder(io.LimitReader(res.Body, 4096)).Decode(&report)
	return report, err
}
