package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
)

// errorBody is the JSON body of an error response, in the OpenAI format with added fields such as run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string      `json:"message"`
	Type         string      `json:"type"`
	Code         apierr.Code `json:"code"`
	Run          apierr.Run  `json:"run"`
	RequestID    string      `json:"request_id"`
	RetryAfterMs int64       `json:"retry_after_ms,omitempty"`
}

func newErrorBody(e *apierr.Error, requestID string) errorBody {
	return errorBody{Error: errorDetail{
		Message:      e.Message,
		Type:         "daisyhatch_error",
		Code:         e.Code,
		Run:          e.Run,
		RequestID:    requestID,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}}
}

// writeError writes e as an error response, with the run state and any retry delay also in headers.
func writeError(w http.ResponseWriter, e *apierr.Error, requestID string) {
	h := w.Header()
	h.Set(HeaderRun, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(e.RetryAfter)))
		h.Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	writeJSON(w, e.Status, newErrorBody(e, requestID))
}

// retryAfterSeconds rounds d up, since Retry-After holds whole seconds.
func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails if the client has disconnected; the error can't be reported to it.
	_ = json.NewEncoder(w).Encode(v)
}
