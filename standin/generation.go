package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prompt holds the parameters of a completion request.
type prompt struct {
	model     string
	text      string
	maxTokens int
}

type promptBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

func parsePrompt(body []byte) (prompt, error) {
	var parsed promptBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return prompt{}, err
	}
	tokens := parsed.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	return prompt{model: parsed.Model, text: string(parsed.Messages) + string(parsed.Prompt), maxTokens: tokens}, nil
}

// TokenText returns the token at the index of the model's answer to the prompt text.
func TokenText(model, text string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s|%s|%d", model, text, index))
	return fmt.Sprintf("t%04x ", sum&0xffff)
}

// generation streams the answer of one attempt.
type generation struct {
	engine    *Engine
	w         http.ResponseWriter
	ctx       context.Context
	prompt    prompt
	attemptID string
	offset    int
	chat      bool
}

// stream sends the answer from the offset on and reports whether it was sent to its end.
func (g *generation) stream() bool {
	e := g.engine
	cached, total := e.cache.insert(g.prompt.text)
	e.cachedBlocks.Add(int64(cached))
	e.totalBlocks.Add(int64(total))
	if !g.sleep(e.config.PrefillBlockTime * time.Duration(total-cached)) {
		return false
	}
	for i := g.offset; i < g.prompt.maxTokens; i++ {
		// As with continuous batching, a step produces one token for every running request
		// and takes longer the more of them there are.
		step := e.config.TokenTime + e.config.TokenTime*time.Duration(e.running.Load()-1)/time.Duration(2*e.config.Slots)
		if !g.sleep(step) {
			return false
		}
		faults := e.faults.Load()
		if faults.StallAfter > 0 && i >= faults.StallAfter {
			<-g.ctx.Done()
			return false
		}
		if faults.TruncateAfter > 0 && i >= faults.TruncateAfter {
			return false
		}
		g.sendToken(i, faults)
	}
	g.sendUsage()
	_, _ = fmt.Fprint(g.w, "data: [DONE]\n\n")
	return true
}

// sleep waits and returns false if the attempt was cancelled.
func (g *generation) sleep(d time.Duration) bool {
	if d <= 0 {
		return g.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-g.ctx.Done():
		return false
	}
}

func (g *generation) sendToken(index int, faults *EngineFaults) {
	id := g.attemptID
	if faults.WrongAttemptID {
		id = "other-" + id
	}
	finish := "null"
	if index == g.prompt.maxTokens-1 {
		finish = `"stop"`
	}
	text, _ := json.Marshal(TokenText(g.prompt.model, g.prompt.text, index))
	content := fmt.Sprintf(`"text":%s`, text)
	object := "text_completion"
	if g.chat {
		content = fmt.Sprintf(`"delta":{"role":"assistant","content":%s}`, text)
		object = "chat.completion.chunk"
	}
	line := fmt.Sprintf(`data: {"id":%q,"object":%q,"created":0,"model":%q,"token_index":%d,"choices":[{"index":0,%s,"finish_reason":%s}]}`+"\n\n",
		id, object, g.prompt.model, index, content, finish)
	if faults.DuplicateTokens {
		line = strings.Repeat(line, 2)
	}
	_, _ = fmt.Fprint(g.w, line)
	g.flush()
}

func (g *generation) sendUsage() {
	words := len(strings.Fields(g.prompt.text))
	_, _ = fmt.Fprintf(g.w, `data: {"id":%q,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n",
		g.attemptID, words, g.prompt.maxTokens, words+g.prompt.maxTokens)
}

func (g *generation) flush() {
	if flusher, ok := g.w.(http.Flusher); ok {
		flusher.Flush()
	}
}
