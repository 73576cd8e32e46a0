package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// envelope is the frame of a completion answer or of one streamed chunk.
type envelope struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices json.RawMessage `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// newEnvelope returns the frame of a whole answer.
func newEnvelope(requestID, model string, chat bool, now time.Time) envelope {
	frame := envelope{ID: "cmpl-" + requestID, Object: "text_completion", Created: now.Unix(), Model: model}
	if chat {
		frame.ID, frame.Object = "chatcmpl-"+requestID, "chat.completion"
	}
	return frame
}

func newAnswerWriter(x *exchange, request completionRequest, chat bool, now time.Time) answerWriter {
	frame := newEnvelope(x.requestID, request.Model, chat, now)
	if !request.Stream {
		return &wholeAnswer{x: x, frame: frame, chat: chat}
	}
	if chat {
		frame.Object = "chat.completion.chunk"
	}
	return &streamedAnswer{x: x, frame: frame, usage: request.StreamOptions.IncludeUsage, controller: http.NewResponseController(x.w)}
}

// streamedAnswer sends each token as a server-sent event.
type streamedAnswer struct {
	x          *exchange
	frame      envelope
	usage      bool
	controller *http.ResponseController
	begun      bool
}

func (a *streamedAnswer) chunk(chunk bergamotgrade.Chunk) error {
	if chunk.Index < 0 && !a.usage {
		return nil
	}
	a.frame.Choices = chunk.Choices
	a.frame.Usage = nil
	if a.usage {
		a.frame.Usage = chunk.Usage
	}
	data, err := json.Marshal(a.frame)
	if err != nil {
		return err
	}
	return a.send(data)
}

// send writes one event within the write timeout, so that a caller that does
// not read holds nothing up for long.
func (a *streamedAnswer) send(data []byte) error {
	if !a.begun {
		a.begun = true
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
	if !a.begun {
		return false
	}
	data, err := json.Marshal(newErrorBody(failure, a.x.requestID))
	if err == nil {
		_ = a.send(data)
	}
	return true
}

// wholeAnswer gathers the tokens into one answer.
type wholeAnswer struct {
	x      *exchange
	frame  envelope
	chat   bool
	text   strings.Builder
	finish string
	usage  json.RawMessage
}

// chunkChoice is the part of a streamed choice that a whole answer gathers.
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

func (a *wholeAnswer) chunk(chunk bergamotgrade.Chunk) error {
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
			a.finish = *choice.FinishReason
		}
	}
	return nil
}

func (a *wholeAnswer) end() error {
	frame, err := a.complete()
	if err != nil {
		return err
	}
	return writeJSON(a.x.w, frame)
}

// complete returns the whole answer.
func (a *wholeAnswer) complete() (envelope, error) {
	var choices any = []textChoice{{Text: a.text.String(), FinishReason: a.finish}}
	if a.chat {
		choices = []chatChoice{{Message: message{Role: "assistant", Content: a.text.String()}, FinishReason: a.finish}}
	}
	encoded, err := json.Marshal(choices)
	if err != nil {
		return envelope{}, err
	}
	a.frame.Choices = encoded
	a.frame.Usage = a.usage
	return a.frame, nil
}

func (a *wholeAnswer) fail(*bergamotgrade.Error) bool { return false }
