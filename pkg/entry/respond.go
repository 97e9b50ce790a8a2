package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/cornelline/cornelline/pkg/chat"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Headers of the callers' interface.
const (
	headerRank           = "Cornelline-Rank"
	headerDeadline       = "Cornelline-Deadline"
	headerRequestID      = "Cornelline-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// writeJSON writes v with the given status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a write error means that the caller has disconnected
}

// writeError writes the error e with its retry delay and the request's ID.
func writeError(w http.ResponseWriter, e *result.Error, request fleet.RequestID) {
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	writeJSON(w, e.Code.HTTPStatus(), chat.NewErrorBody(e, request))
}
