package caller

import (
	"encoding/json"

	"github.com/bergamotgrade/bergamotgrade"
)

// completionRequest holds the fields of a completion request that the system evaluates.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           float64         `json:"max_tokens"`
	MaxCompletionTokens float64         `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// prompt returns the input that determines prefix cache hits.
func (r completionRequest) prompt() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

// promptParts returns the messages of the prompt, which other requests may share, or the whole
// prompt if it has none.
func (r completionRequest) promptParts() []string {
	var messages []json.RawMessage
	if len(r.Messages) == 0 || json.Unmarshal(r.Messages, &messages) != nil {
		return []string{string(r.prompt())}
	}
	parts := make([]string, 0, min(len(messages), maxPromptParts))
	for _, message := range messages[:min(len(messages), maxPromptParts)] {
		parts = append(parts, string(message))
	}
	return parts
}

// cost returns the expected number of output tokens.
func (r completionRequest) cost() float64 {
	tokens := max(r.MaxTokens, r.MaxCompletionTokens)
	if tokens <= 0 {
		return defaultCost
	}
	return tokens
}

// decodeCompletion decodes and validates a request body.
func decodeCompletion(body []byte, chat bool) (completionRequest, error) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, invalidRequest("the body is no valid completion request", "send a JSON object as the OpenAI interface describes it").WithCause(err)
	}
	if request.Model == "" {
		return request, invalidRequest("the field model is missing", "name a model from GET /v1/models")
	}
	if chat && len(request.Messages) == 0 {
		return request, invalidRequest("the field messages is missing", "send at least one message")
	}
	if !chat && len(request.Prompt) == 0 {
		return request, invalidRequest("the field prompt is missing", "send a prompt")
	}
	if request.N != nil && *request.N != 1 {
		return request, invalidRequest("the field n is not 1", "send one request for each answer")
	}
	return request, nil
}

func invalidRequest(message, remedy string) *bergamotgrade.Error {
	return bergamotgrade.NewError(bergamotgrade.KindInvalidRequest, message, remedy).WithNotRun()
}

// engineBody returns the request body for the model engine. It always enables streaming,
// so that a stalled attempt is detected and a broken stream can be resumed.
func engineBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}
