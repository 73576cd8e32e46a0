package caller

import (
	"context"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

const chatPath = "/v1/chat/completions"

// answerWriter writes the tokens of one completion to the caller.
type answerWriter interface {
	// chunk adds one chunk.
	chunk(chunk bergamotgrade.Chunk) error
	// end completes the response.
	end() error
	// fail sends the error within a response that has already started and returns
	// true; it returns false if the response has not started.
	fail(failure *bergamotgrade.Error) bool
}

// complete handles one completion request, streamed or not.
func (s *Server) complete(x *exchange) error {
	caller, err := s.authorize(x)
	if err != nil {
		return err
	}
	body, err := s.readBody(x)
	if err != nil {
		return err
	}
	chat := x.req.URL.Path == chatPath
	request, err := decodeCompletion(body, chat)
	if err != nil {
		return err
	}
	outgoing, err := s.newDispatchRequest(x, caller, request, body)
	if err != nil {
		return err
	}
	if err := s.checkStop(outgoing.Deadline, true); err != nil {
		return err
	}
	if err := s.deps.Limiter.Admit(x.req.Context(), caller.team); err != nil {
		return err
	}
	unregister := s.register(x, caller)
	defer unregister()
	ctx, cancel := context.WithDeadline(x.req.Context(), outgoing.Deadline)
	defer cancel()
	writer := newAnswerWriter(x, request, chat, s.deps.Clock.Now())
	err = s.deps.Dispatcher.Complete(ctx, outgoing, writer.chunk)
	if err == nil {
		err = writer.end()
	}
	if err == nil {
		s.deps.Ring.Record(timeline.KindComplete, x.requestID, caller.team.TeamID, "")
		return nil
	}
	failure := bergamotgrade.AsError(err)
	if writer.fail(failure) {
		s.deps.Metrics.Add("broken_"+string(failure.Kind()), 1)
		return nil
	}
	return failure
}

func (s *Server) newDispatchRequest(x *exchange, caller identity, request completionRequest, body []byte) (dispatch.CompletionRequest, error) {
	model, ok := s.deps.Source.State().Model(request.Model)
	if !ok {
		return dispatch.CompletionRequest{}, unknownModelError(request.Model)
	}
	deadline, err := s.deadline(x)
	if err != nil {
		return dispatch.CompletionRequest{}, err
	}
	rewritten, err := engineBody(body)
	if err != nil {
		return dispatch.CompletionRequest{}, invalidRequest("the body is no JSON object", "send a JSON object")
	}
	return dispatch.CompletionRequest{
		RequestID:   x.requestID,
		Team:        caller.team,
		Model:       model,
		Class:       queue.ClassOnline,
		Path:        x.req.URL.Path,
		Body:        rewritten,
		Cost:        request.cost(),
		PrefixHash:  dispatch.PrefixHash(model.ModelID, request.prompt()),
		PromptParts: request.promptParts(),
		Deadline:    deadline,
	}, nil
}
