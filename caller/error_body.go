package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bergamotgrade/bergamotgrade"
)

// errorBody is the JSON form of an error in the format of the OpenAI API, extended by
// the remedy and by whether the request is known not to have run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string                  `json:"message"`
	Type      string                  `json:"type"`
	Code      bergamotgrade.ErrorKind `json:"code"`
	Param     *string                 `json:"param"`
	Remedy    string                  `json:"remedy"`
	NotRun    bool                    `json:"not_run"`
	RequestID string                  `json:"request_id,omitempty"`
}

func newErrorBody(failure *bergamotgrade.Error, requestID string) errorBody {
	errorType := "server_error"
	switch status := failure.Status(); {
	case status == http.StatusTooManyRequests:
		errorType = "rate_limit_error"
	case status == http.StatusUnauthorized:
		errorType = "authentication_error"
	case status < http.StatusInternalServerError:
		errorType = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Message:   failure.Message() + "; " + failure.Remedy(),
		Type:      errorType,
		Code:      failure.Kind(),
		Remedy:    failure.Remedy(),
		NotRun:    failure.NotRun(),
		RequestID: requestID,
	}}
}

// writeError writes the error as a JSON response with its status and Retry-After.
func writeError(w http.ResponseWriter, failure *bergamotgrade.Error, requestID string, now time.Time) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerNotRun, strconv.FormatBool(failure.NotRun()))
	if at := failure.RetryAt(); !at.IsZero() {
		seconds := math.Ceil(max(0, at.Sub(now).Seconds()))
		header.Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	w.WriteHeader(failure.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(failure, requestID))
}
