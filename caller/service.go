package caller

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/backend"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/memory"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

// credentialParameters are query parameters that may carry a key. They are not forwarded
// to plain services.
var credentialParameters = []string{"key", "api_key", "apikey", "api-key", "access_token", "token", "authorization"}

// callService handles one request to a plain service.
func (s *Server) callService(x *exchange) error {
	route, servicePath, err := s.findRoute(x)
	if err != nil {
		return err
	}
	var caller identity
	if route.Anonymous {
		err = s.deps.Source.CheckFresh()
	} else {
		caller, err = s.authorize(x)
	}
	if err != nil {
		return err
	}
	deadline, err := s.deadline(x)
	if err != nil {
		return err
	}
	body, err := s.readBody(x)
	if err != nil {
		return err
	}
	if err := s.checkStop(deadline, route.Idempotent); err != nil {
		return err
	}
	if !route.Anonymous {
		if err := s.deps.Limiter.Admit(x.req.Context(), caller.team); err != nil {
			return err
		}
	}
	unregister := s.register(x, caller)
	defer unregister()
	outgoing := dispatch.ServiceRequest{
		RequestID:  x.requestID,
		Team:       caller.team,
		ServiceID:  x.params("name"),
		Class:      queue.ClassOnline,
		Method:     x.req.Method,
		Path:       withoutCredentials(servicePath, x.req.URL.Query()),
		Header:     backend.AllowedRequestHeader(x.req.Header),
		Body:       body,
		Idempotent: route.Idempotent,
		Deadline:   deadline,
	}
	answer, err := s.callIdempotently(x, caller, outgoing)
	if err != nil {
		return err
	}
	s.deps.Ring.Record(timeline.KindComplete, x.requestID, caller.team.TeamID, "")
	writeServiceAnswer(x.w, answer)
	return nil
}

// callIdempotently dispatches the call. If the request has an Idempotency-Key, it returns
// the recorded response of an earlier call with the same key instead of calling again.
func (s *Server) callIdempotently(x *exchange, caller identity, outgoing dispatch.ServiceRequest) (bergamotgrade.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(x.req.Context(), outgoing.Deadline)
	defer cancel()
	if !outgoing.Idempotent {
		// The call may run only once and its outcome must be known, so it continues if
		// the caller disconnects or its key is withdrawn.
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), outgoing.Deadline)
		defer cancel()
		if err := context.Cause(x.req.Context()); err != nil {
			return bergamotgrade.ServiceAnswer{}, bergamotgrade.AsError(err).WithNotRun()
		}
	}
	key := x.req.Header.Get(headerIdempotencyKey)
	if key == "" || caller.keyHash == "" {
		return s.deps.Dispatcher.Call(ctx, outgoing)
	}
	if len(key) > maxIdempotencyKeyBytes {
		return bergamotgrade.ServiceAnswer{}, invalidRequest("the Idempotency-Key is too long", "send at most 255 bytes")
	}
	return s.deps.IdempotencyRecords.Do(ctx, caller.team.TeamID, key, outgoing, s.deps.Dispatcher.Call)
}

func (s *Server) findRoute(x *exchange) (bergamotgrade.Route, string, error) {
	return findRoute(s.deps.Source.State(), x.params("name"), x.req.Method, x.params("path"))
}

// findRoute returns the route of a plain service and the cleaned path below the service.
func findRoute(state *release.State, name, method, rest string) (bergamotgrade.Route, string, error) {
	service, ok := state.Service(name)
	if !ok {
		return bergamotgrade.Route{}, "", bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "service \""+name+"\" does not exist", "ask your operator for the names of the services").WithNotRun()
	}
	servicePath := path.Clean("/" + rest)
	for _, route := range service.Routes {
		if route.Method == method && hasPathPrefix(servicePath, route.PathPrefix) {
			return route, servicePath, nil
		}
	}
	return bergamotgrade.Route{}, "", bergamotgrade.NewError(bergamotgrade.KindRouteUnknown, "the service has no route for this method and path", "ask your operator for the routes of the service").WithNotRun()
}

// hasPathPrefix reports whether the path equals the prefix or lies below it.
func hasPathPrefix(servicePath, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return servicePath == prefix || strings.HasPrefix(servicePath, prefix+"/")
}

func withoutCredentials(servicePath string, query url.Values) string {
	for name := range query {
		for _, credential := range credentialParameters {
			if strings.EqualFold(name, credential) {
				query.Del(name)
			}
		}
	}
	target := url.URL{Path: servicePath, RawQuery: query.Encode()}
	return target.RequestURI()
}

func writeServiceAnswer(w http.ResponseWriter, answer bergamotgrade.ServiceAnswer) {
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	// A write fails only if the caller has left or does not read; either way it gets no more.
	_ = memory.WritePieces(w, answer.Body, writeTimeout)
}
