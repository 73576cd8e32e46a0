package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
	"github.com/bergamotgrade/bergamotgrade/batch"
	"github.com/bergamotgrade/bergamotgrade/release"
	"github.com/bergamotgrade/bergamotgrade/timeline"
)

const (
	// clientTimeout bounds one call, including reading the response.
	clientTimeout = 25 * time.Second
	// maxAnswerBytes bounds a JSON response; job results are not bounded.
	maxAnswerBytes = 256 << 20
)

// Client calls the operator API of one VM.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the VM with the operator address (host:port).
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the state of the VM and its view of the other members.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, "/status", nil, &status)
}

// Check validates the note without submitting it.
func (c *Client) Check(ctx context.Context, note release.Note) (CheckAnswer, error) {
	var answer CheckAnswer
	return answer, c.call(ctx, http.MethodPost, "/notes/check", note, &answer)
}

// Submit submits the note and returns the revision under which it was accepted.
func (c *Client) Submit(ctx context.Context, note release.Note) (SubmitAnswer, error) {
	var answer SubmitAnswer
	return answer, c.call(ctx, http.MethodPost, "/notes", note, &answer)
}

// History returns the accepted notes above the revision, newest last.
func (c *Client) History(ctx context.Context, above int64) ([]release.AcceptedNote, error) {
	var notes []release.AcceptedNote
	return notes, c.call(ctx, http.MethodGet, "/notes?above="+strconv.FormatInt(above, 10), nil, &notes)
}

// Config returns the complete configuration in force on the VM.
func (c *Client) Config(ctx context.Context) (release.Records, error) {
	var records release.Records
	return records, c.call(ctx, http.MethodGet, "/config", nil, &records)
}

// Evict removes a VM from the member table. The process with the incarnation must no
// longer run.
func (c *Client) Evict(ctx context.Context, vmID, incarnation string) error {
	return c.call(ctx, http.MethodPost, "/members/evict", EvictRequest{VMID: vmID, Incarnation: incarnation}, nil)
}

// Jobs returns the batch jobs of all teams.
func (c *Client) Jobs(ctx context.Context) ([]batch.Job, error) {
	var jobs []batch.Job
	return jobs, c.call(ctx, http.MethodGet, "/jobs", nil, &jobs)
}

// Job returns a batch job and its progress.
func (c *Client) Job(ctx context.Context, jobID string) (JobProgress, error) {
	var progress JobProgress
	return progress, c.call(ctx, http.MethodGet, "/jobs/"+url.PathEscape(jobID), nil, &progress)
}

// CancelJob cancels a batch job; a cancelled job cannot be resumed.
func (c *Client) CancelJob(ctx context.Context, jobID string) (JobProgress, error) {
	var progress JobProgress
	return progress, c.call(ctx, http.MethodPost, "/jobs/"+url.PathEscape(jobID)+"/cancel", nil, &progress)
}

// JobResults copies the results of a batch job to w: those of the successful items, or
// those of the failed ones if failed is set.
func (c *Client) JobResults(ctx context.Context, jobID string, failed bool, w io.Writer) error {
	path := "/jobs/" + url.PathEscape(jobID) + "/results"
	if failed {
		path += "?errors"
	}
	return c.call(ctx, http.MethodGet, path, nil, w)
}

// Metrics returns the VM's expvar page.
func (c *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	var page json.RawMessage
	return page, c.call(ctx, http.MethodGet, "/debug/vars", nil, &page)
}

// Timeline returns the VM's events together with the local times before and after the
// call, from which the offset of the VM's clock is estimated.
func (c *Client) Timeline(ctx context.Context) (timeline.Source, error) {
	source := timeline.Source{RequestedAt: time.Now()}
	err := c.call(ctx, http.MethodGet, "/timeline", nil, &source.Page)
	source.RespondedAt = time.Now()
	return source, err
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	target := url.URL{Scheme: "http", Host: c.address}
	req, err := http.NewRequestWithContext(ctx, method, target.String()+path, reader)
	if err != nil {
		return err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return bergamotgrade.NewError(bergamotgrade.KindNotReady, "the VM at "+c.address+" does not answer", "name another VM with --vm").WithCause(err)
	}
	defer res.Body.Close()
	limited := io.LimitReader(res.Body, maxAnswerBytes)
	if res.StatusCode != http.StatusOK {
		return decodeError(res.Status, limited)
	}
	if answer == nil {
		return nil
	}
	if w, ok := answer.(io.Writer); ok {
		_, err := io.Copy(w, res.Body)
		return err
	}
	return json.NewDecoder(limited).Decode(answer)
}

func decodeError(status string, r io.Reader) error {
	var answer ErrorAnswer
	if json.NewDecoder(r).Decode(&answer) != nil || answer.Kind == "" {
		return fmt.Errorf("the VM answered %s", status)
	}
	return bergamotgrade.NewError(answer.Kind, answer.Message, answer.Remedy)
}
