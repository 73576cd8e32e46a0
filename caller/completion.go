package caller

import (
	"context"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/dispatch"
	"github.com/bergamotgrade/bergamotgrade/queue"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

const chatPath = "/v1/chat/completions"

// answerWriter turns the tokens of one completion into the caller's answer.
type answerWriter interface {
	// chunk takes one token.
	chunk(chunk bergamotgrade.Chunk) error
	// end completes the answer.
	end() error
	// fail tells the caller of an error, if the answer has begun, and reports
	// whether it did.
	fail(failure *bergamotgrade.Error) bool
}

// complete answers one completion request, streamed or not.
func (s *Server) complete(x *exchange) error {
	who, err := s.authorize(x)
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
	ask, err := s.completionAsk(x, who, request, body)
	if err != nil {
		return err
	}
	if err := s.deps.Limiter.Admit(x.req.Context(), who.team); err != nil {
		return err
	}
	leave := s.enter(x, who)
	defer leave()
	ctx, cancel := context.WithDeadline(x.req.Context(), ask.Deadline)
	defer cancel()
	writer := newAnswerWriter(x, request, chat, s.deps.Clock.Now())
	err = s.deps.Fleet.Complete(ctx, ask, writer.chunk)
	if err == nil {
		err = writer.end()
	}
	if err == nil {
		s.deps.Ring.Record(timeline.KindComplete, x.requestID, who.team.TeamID, "")
		return nil
	}
	failure := bergamotgrade.AsError(err)
	if writer.fail(failure) {
		s.deps.Metrics.Add("broken_"+string(failure.Kind()), 1)
		return nil
	}
	return failure
}

func (s *Server) completionAsk(x *exchange, who identity, request completionRequest, body []byte) (dispatch.CompletionAsk, error) {
	model, ok := s.deps.Source.State().Model(request.Model)
	if !ok {
		return dispatch.CompletionAsk{}, unknownModel(request.Model)
	}
	deadline, err := s.deadline(x)
	if err != nil {
		return dispatch.CompletionAsk{}, err
	}
	rewritten, err := engineBody(body)
	if err != nil {
		return dispatch.CompletionAsk{}, invalid("the body is no JSON object", "send a JSON object")
	}
	return dispatch.CompletionAsk{
		RequestID:  x.requestID,
		Team:       who.team,
		Model:      model,
		Class:      queue.ClassOnline,
		Path:       x.req.URL.Path,
		Body:       rewritten,
		Cost:       request.cost(),
		PrefixHash: dispatch.PrefixHash(model.ModelID, request.prompt()),
		Deadline:   deadline,
	}, nil
}
