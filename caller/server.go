// Package caller is the HTTP server for callers: the OpenAI-compatible API and the
// plain services.
package caller

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/idempotency"
	"github.com/bergamotgrade/bergamotgrade/memory"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// StateSource provides the configuration in force on this VM.
type StateSource interface {
	// State returns the newest state; it is never nil.
	State() *release.State
	// CheckFresh returns an error for the caller if the state of this VM may be outdated,
	// otherwise nil.
	CheckFresh() error
	// KeyMayBeWithdrawn reports whether the key may have been withdrawn by a release note
	// that this VM cannot look up in the platform.
	KeyMayBeWithdrawn(key bergamotgrade.Key) bool
}

// Config holds the limits on connections and requests of callers.
type Config struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxConnections is the number of open connections above which requests are
	// rejected.
	MaxConnections int
	// HeaderTimeout is the maximum time to read a request header.
	HeaderTimeout time.Duration
	// BodyTimeout is the maximum time to read a request body.
	BodyTimeout time.Duration
	// RequestTimeout is the maximum duration of a request without an X-Deadline header.
	RequestTimeout time.Duration
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Clock              bergamotgrade.Clock
	Source             StateSource
	Limiter            bergamotgrade.Limiter
	Dispatcher         *dispatch.Dispatcher
	IdempotencyRecords *idempotency.Store
	Batches            *batch.Repository
	// Bodies reads the bodies of requests.
	Bodies *memory.Bodies
	// Executor validates the items of input files; New sets it.
	Executor *Executor
	// AnnounceJob notifies all VMs of an accepted or cancelled batch job.
	AnnounceJob func(jobID string, cancelled bool)
	Ring        *timeline.Ring
	Metrics     *expvar.Map
}

// Server handles the HTTP requests of callers.
type Server struct {
	config   Config
	deps     Dependencies
	requests *inFlight
	handler  http.Handler

	connections atomic.Int64
	// stop is set once Drain has been called.
	stop atomic.Pointer[bergamotgrade.PlannedStop]
	// lastAccept is the time of the newest connection in Unix nanoseconds.
	lastAccept atomic.Int64
}

// New returns a server with its routes registered.
func New(config Config, deps Dependencies) (*Server, error) {
	deps.Executor = NewExecutor(deps)
	s := &Server{config: config, deps: deps, requests: newInFlight()}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutInterruptHandler)
	app.Get("/v1/models", s.serve(s.listModels))
	app.Get("/v1/models/{id:path}", s.serve(s.showModel))
	app.Post("/v1/chat/completions", s.serve(s.complete))
	app.Post("/v1/completions", s.serve(s.complete))
	app.Any("/v1/services/{name}", s.serve(s.callService))
	app.Any("/v1/services/{name}/{path:path}", s.serve(s.callService))
	app.Post("/v1/files", s.serve(s.uploadFile))
	app.Get("/v1/files/{id}", s.serve(s.showFile))
	app.Get("/v1/files/{id}/content", s.serve(s.readFile))
	app.Post("/v1/batches", s.serve(s.createBatch))
	app.Get("/v1/batches", s.serve(s.listBatches))
	app.Get("/v1/batches/{id}", s.serve(s.showBatch))
	app.Post("/v1/batches/{id}/cancel", s.serve(s.cancelBatch))
	app.OnAnyErrorCode(s.serve(s.unknownRoute))
	if err := app.Build(); err != nil {
		return nil, err
	}
	s.handler = app
	return s, nil
}

// exchange is one HTTP request and its response.
type exchange struct {
	w         http.ResponseWriter
	req       *http.Request
	params    func(string) string
	requestID string
	// cancel cancels the context of the request with a cause.
	cancel context.CancelCauseFunc
	// releases release what is held of the request at its end.
	releases []func()
}

// release releases what is held of the request.
func (x *exchange) release() {
	for _, release := range x.releases {
		release()
	}
}

// serve wraps a handler: it assigns the request id, asks the caller to close its
// connection while the server drains, and writes errors as responses.
func (s *Server) serve(handle func(*exchange) error) iris.Handler {
	return func(ctx iris.Context) {
		x := &exchange{w: ctx.ResponseWriter().Naive(), req: ctx.Request(), params: ctx.Params().Get, requestID: uuid.NewString()}
		var reqCtx context.Context
		reqCtx, x.cancel = context.WithCancelCause(x.req.Context())
		defer x.cancel(nil)
		defer x.release()
		x.req = x.req.WithContext(reqCtx)
		x.w.Header().Set(headerRequestID, x.requestID)
		if s.Draining() {
			x.w.Header().Set("Connection", "close")
		}
		ctx.StopExecution()
		// Handlers write to the underlying writer, past the recorder of iris; this keeps
		// iris from writing a response of its own.
		ctx.ResponseWriter().SetWritten(0)
		s.run(x, handle)
	}
}

// run calls the handler and writes its error as the response.
func (s *Server) run(x *exchange, handle func(*exchange) error) {
	s.deps.Metrics.Add("requests", 1)
	s.deps.Bodies.Begin(x.w, x.req)
	control := http.NewResponseController(x.w)
	// The deadline of the response before on this connection must not end this one. The errors tell
	// that the writer has no connection, as in tests.
	_ = control.SetWriteDeadline(time.Time{})
	defer func() { _ = control.SetWriteDeadline(time.Now().Add(writeTimeout)) }()
	err := s.checkConnectionLimit()
	if err == nil {
		err = handle(x)
	}
	if err == nil {
		return
	}
	failure := bergamotgrade.AsError(err)
	if x.req.Header.Get(headerIdempotencyKey) != "" && failure.Kind() != bergamotgrade.KindKeyReused {
		// An earlier request with the same idempotency key may have run, so the response
		// must not state that the request was not run. A retry with the key is safe.
		failure = failure.WithoutNotRun()
	}
	s.deps.Metrics.Add("failed_"+string(failure.Kind()), 1)
	s.deps.Ring.Record(timeline.KindRefuse, x.requestID, "", string(failure.Kind()))
	writeError(x.w, failure, x.requestID, s.deps.Clock.Now())
}

func (s *Server) checkConnectionLimit() error {
	if s.connections.Load() <= int64(s.config.MaxConnections) {
		return nil
	}
	return bergamotgrade.NewError(bergamotgrade.KindTooManyConns, "too many connections are open", "keep fewer connections and reuse them").WithNotRun().WithRetryAt(s.deps.Clock.Now().Add(time.Second))
}

func (s *Server) unknownRoute(*exchange) error {
	return bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "no such path or method", "use /v1/chat/completions, /v1/completions, /v1/models or /v1/services/{name}/").WithNotRun()
}

// authorize returns the team and key of the request. It fails if the state of this VM
// may be outdated or the key is not in force.
func (s *Server) authorize(x *exchange) (identity, error) {
	if err := s.deps.Source.CheckFresh(); err != nil {
		return identity{}, err
	}
	return identify(s.deps.Source, x.req)
}

// register registers the request under its key and returns a function that removes it. It
// cancels the request at once if the key was withdrawn after authorize checked it.
func (s *Server) register(x *exchange, caller identity) func() {
	unregister := s.requests.add(caller, x.cancel)
	if caller.keyHash != "" {
		if _, ok := teamOf(s.deps.Source.State(), caller.keyHash); !ok {
			x.cancel(keyWithdrawnError())
		}
	}
	s.deps.Ring.Record(timeline.KindAccept, x.requestID, caller.team.TeamID, x.req.URL.Path)
	return unregister
}

// readBody reads the whole body within MaxBodyBytes and BodyTimeout. The body and the copy that goes
// to a backend server are held until the end of the request.
func (s *Server) readBody(x *exchange) ([]byte, error) {
	body, holding, release, err := s.deps.Bodies.Read(x.w, x.req, s.config.MaxBodyBytes, time.Now().Add(s.config.BodyTimeout))
	if err == nil {
		x.releases = append(x.releases, release)
		err = s.hold(x, holding, int64(len(body)))
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrTooLarge):
		return nil, bergamotgrade.NewError(bergamotgrade.KindRequestTooLarge, "the body is larger than this system takes", "send a smaller body").WithNotRun()
	case errors.Is(err, memory.ErrNoRoom):
		return nil, noRoomError(s.deps.Clock.Now(), err)
	}
	return nil, bergamotgrade.NewError(bergamotgrade.KindRequestTimeout, "the body did not arrive whole in time", "send it again over a better connection").WithNotRun().WithCause(err)
}

// noRoomError refuses a request for which the budget of bytes held has no room.
func noRoomError(now time.Time, cause error) error {
	return bergamotgrade.NewError(bergamotgrade.KindOverloaded, "this VM holds as many bytes of requests as it may", "try again at another VM").
		WithNotRun().WithRetryAt(now.Add(noRoomRetryAfter)).WithCause(cause)
}

// hold reserves further bytes until the end of the request.
func (s *Server) hold(x *exchange, holding *memory.Holding, bytes int64) error {
	if err := holding.Reserve(bytes); err != nil {
		return err
	}
	x.releases = append(x.releases, func() { holding.Release(bytes) })
	return nil
}

// deadline returns the time by which the response must be complete.
func (s *Server) deadline(x *exchange) (time.Time, error) {
	now := s.deps.Clock.Now()
	text := x.req.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(s.config.RequestTimeout), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || at.After(now.Add(maxDeadline)) {
		return time.Time{}, bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, "X-Deadline is no RFC 3339 time within half an hour", "send a time like 2006-01-02T15:04:05Z").WithNotRun()
	}
	if !at.After(now) {
		return time.Time{}, bergamotgrade.NewError(bergamotgrade.KindDeadlineExceeded, "the deadline had passed on arrival", "allow more time").WithNotRun()
	}
	return at, nil
}

func writeJSON(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(value)
}

// Executor returns the executor of batch items.
func (s *Server) Executor() *Executor { return s.deps.Executor }

// CancelWithdrawnKeys cancels the requests whose keys are no longer in force in the
// state.
func (s *Server) CancelWithdrawnKeys(state *release.State) { s.requests.cancelWithdrawn(state) }

// InFlight returns the number of running requests.
func (s *Server) InFlight() int { return s.requests.len() }

// HTTPServer returns the net/http server with its handler, timeouts and limits.
func (s *Server) HTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: s.config.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connState,
		Protocols:         protocols,
	}
	memory.Attach(server)
	return server
}

func (s *Server) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
		s.lastAccept.Store(time.Now().UnixNano())
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}
