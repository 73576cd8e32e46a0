package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// completionObject is the JSON object of a whole completion or of one streamed chunk.
type completionObject struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices json.RawMessage `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// newCompletionObject returns the object of a whole completion, without choices and
// usage.
func newCompletionObject(requestID, model string, chat bool, now time.Time) completionObject {
	object := completionObject{ID: "cmpl-" + requestID, Object: "text_completion", Created: now.Unix(), Model: model}
	if chat {
		object.ID, object.Object = "chatcmpl-"+requestID, "chat.completion"
	}
	return object
}

func newAnswerWriter(x *exchange, request completionRequest, chat bool, now time.Time) answerWriter {
	object := newCompletionObject(x.requestID, request.Model, chat, now)
	if !request.Stream {
		return &bufferedAnswer{x: x, object: object, chat: chat}
	}
	if chat {
		object.Object = "chat.completion.chunk"
	}
	return &streamedAnswer{x: x, object: object, includeUsage: request.StreamOptions.IncludeUsage, controller: http.NewResponseController(x.w)}
}

// streamedAnswer writes each token to the caller as a server-sent event.
type streamedAnswer struct {
	x            *exchange
	object       completionObject
	includeUsage bool
	controller   *http.ResponseController
	started      bool
}

func (a *streamedAnswer) chunk(chunk bergamotgrade.Chunk) error {
	if chunk.Index < 0 && !a.includeUsage {
		return nil
	}
	a.object.Choices = chunk.Choices
	a.object.Usage = nil
	if a.includeUsage {
		a.object.Usage = chunk.Usage
	}
	data, err := json.Marshal(a.object)
	if err != nil {
		return err
	}
	return a.send(data)
}

// send writes one event. The write timeout bounds how long a caller that does not read
// can block the attempt.
func (a *streamedAnswer) send(data []byte) error {
	if !a.started {
		a.started = true
		header := a.x.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
	}
	_ = a.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := a.x.w.Write(event); err != nil {
		return err
	}
	return a.controller.Flush()
}

func (a *streamedAnswer) end() error { return a.send([]byte("[DONE]")) }

func (a *streamedAnswer) fail(failure *bergamotgrade.Error) bool {
	if !a.started {
		return false
	}
	data, err := json.Marshal(newErrorBody(failure, a.x.requestID))
	if err == nil {
		_ = a.send(data)
	}
	return true
}

// bufferedAnswer collects the tokens into one response.
type bufferedAnswer struct {
	x            *exchange
	object       completionObject
	chat         bool
	text         strings.Builder
	finishReason string
	usage        json.RawMessage
}

// chunkChoice holds the fields of a streamed choice that bufferedAnswer collects.
type chunkChoice struct {
	Text         string       `json:"text"`
	Delta        messageDelta `json:"delta"`
	FinishReason *string      `json:"finish_reason"`
}

type messageDelta struct {
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type textChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

func (a *bufferedAnswer) chunk(chunk bergamotgrade.Chunk) error {
	if len(chunk.Usage) > 0 {
		a.usage = chunk.Usage
	}
	var choices []chunkChoice
	if err := json.Unmarshal(chunk.Choices, &choices); err != nil {
		return bergamotgrade.MaybeRan(err)
	}
	for _, choice := range choices {
		a.text.WriteString(choice.Text)
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.finishReason = *choice.FinishReason
		}
	}
	return nil
}

func (a *bufferedAnswer) end() error {
	object, err := a.complete()
	if err != nil {
		return err
	}
	return writeJSON(a.x.w, object)
}

// complete returns the object of the whole completion.
func (a *bufferedAnswer) complete() (completionObject, error) {
	var choices any = []textChoice{{Text: a.text.String(), FinishReason: a.finishReason}}
	if a.chat {
		choices = []chatChoice{{Message: message{Role: "assistant", Content: a.text.String()}, FinishReason: a.finishReason}}
	}
	encoded, err := json.Marshal(choices)
	if err != nil {
		return completionObject{}, err
	}
	a.object.Choices = encoded
	a.object.Usage = a.usage
	return a.object, nil
}

func (a *bufferedAnswer) fail(*bergamotgrade.Error) bool { return false }
