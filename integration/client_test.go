package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"
)

// cmdClient calls a VM through a published client library for the OpenAI-compatible API
// and prints the responses as the library parsed them.
func cmdClient(ts *testscript.TestScript, _ bool, args []string) {
	ctx := context.Background()
	client := openai.NewClient(option.WithBaseURL("http://"+fleetOf(ts).proxies[args[0]].Address()+"/v1"), option.WithAPIKey(args[1]), option.WithMaxRetries(0))
	models, err := client.Models.List(ctx)
	if err != nil {
		var failure *openai.Error
		_, _ = fmt.Fprintf(ts.Stdout(), "error %T %v\n", failure, err != nil)
		return
	}
	for _, model := range models.Data {
		_, _ = fmt.Fprintln(ts.Stdout(), "model", model.ID)
	}
	params := openai.ChatCompletionNewParams{
		Model:     "note-writer",
		MaxTokens: openai.Int(4),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("vial 7")},
	}
	response, err := client.Chat.Completions.New(ctx, params)
	ts.Check(err)
	_, _ = fmt.Fprintln(ts.Stdout(), "whole", response.Choices[0].Message.Content, response.Choices[0].FinishReason, response.Usage.CompletionTokens)
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	ts.Check(stream.Err())
	_, _ = fmt.Fprintln(ts.Stdout(), "streamed", text)
	params.Model = "nobody"
	_, err = client.Chat.Completions.New(ctx, params)
	if failure, ok := err.(*openai.Error); ok {
		_, _ = fmt.Fprintln(ts.Stdout(), "error", failure.StatusCode, failure.Code, failure.Type)
	}
}

// cmdHTTP2 sends three requests over one unencrypted HTTP/2 connection and prints the
// protocol and status of each response.
func cmdHTTP2(ts *testscript.TestScript, _ bool, args []string) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	for range 3 {
		req, err := http.NewRequest(http.MethodGet, "http://"+fleetOf(ts).proxies[args[0]].Address()+"/v1/models", nil)
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer trust-key")
		res, err := client.Do(req)
		ts.Check(err)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		_, _ = fmt.Fprintln(ts.Stdout(), res.Proto, res.StatusCode)
	}
}
