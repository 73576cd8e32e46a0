package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"net/http"
	"strings"
	"time"
)

// batchLoad saturates the fleet's spare capacity with batch jobs.
type batchLoad struct {
	fleet *Fleet
	jobs  []submittedJob
}

type submittedJob struct {
	team int
	id   string
}

// apiObject is the part of a file or batch object that a batchLoad reads.
type apiObject struct {
	ID string `json:"id"`
}

// submit uploads an input file and submits a job with it for each of the teams.
func (b *batchLoad) submit(ctx context.Context, teams, items int) error {
	for team := range teams {
		var form bytes.Buffer
		writer := multipart.NewWriter(&form)
		if err := writer.WriteField("purpose", "batch"); err != nil {
			return err
		}
		part, err := writer.CreateFormFile("file", "lot.jsonl")
		if err != nil {
			return err
		}
		for i := range items {
			fmt.Fprintf(part, `{"custom_id":"i%d","method":"POST","url":"/v1/completions","body":{"model":"writer","max_tokens":%d,"prompt":"lot %d of %d"}}`+"\n", i, batchItemTokens, i, team)
		}
		if err := writer.Close(); err != nil {
			return err
		}
		vm := b.fleet.callers[team%len(b.fleet.callers)]
		file, err := b.call(ctx, http.MethodPost, vm, "/v1/files", team, writer.FormDataContentType(), form.String())
		if err != nil {
			return err
		}
		job, err := b.call(ctx, http.MethodPost, vm, "/v1/batches", team, "application/json", fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/completions","completion_window":"24h"}`, file.ID))
		if err != nil {
			return err
		}
		b.jobs = append(b.jobs, submittedJob{team: team, id: job.ID})
	}
	return nil
}

func (b *batchLoad) call(ctx context.Context, method, vm, path string, team int, contentType, body string) (apiObject, error) {
	var answer apiObject
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm+path, strings.NewReader(body))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+teamKey(team))
	req.Header.Set("Content-Type", contentType)
	res, err := (&http.Client{Timeout: 30 * time.Second}).Do(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%s %s: %s", method, path, res.Status)
	}
	return answer, json.NewDecoder(res.Body).Decode(&answer)
}
