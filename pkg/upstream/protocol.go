package upstream

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Paths of the engine protocol.
const (
	PathState       = "/v1/state"
	PathGenerate    = "/v1/generate"
	PathProgress    = "/v1/progress"
	PathCancel      = "/v1/cancel"
	PathImportKV    = "/v1/kv/import"
	PathOrder       = "/v1/order"
	PathCacheEvents = "/v1/cache-events"
)

// Headers of a call to a plain service. The answer repeats HeaderRequestID.
const (
	HeaderRequestID      = "Cornelline-Request-Id"
	HeaderRoute          = "Cornelline-Route"
	HeaderTeam           = "Cornelline-Team"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeartbeatInterval is the interval of heartbeat lines in a stream without tokens.
const HeartbeatInterval = 500 * time.Millisecond

// DefaultSilence is the time without a byte after which a connection is given up.
const DefaultSilence = 2 * time.Second

// StreamLine is one NDJSON line of a token stream: a heartbeat, an event or an error.
type StreamLine struct {
	Heartbeat bool        `json:"heartbeat,omitempty"`
	Event     *TokenEvent `json:"event,omitempty"`
	Error     *ErrorBody  `json:"error,omitempty"`
}

// ErrorBody is the body of a refusal and the last line of a failed stream.
type ErrorBody struct {
	Message string `json:"message"`
	// FailedStage names the stage that failed, where that is known.
	FailedStage fleet.UpstreamID `json:"failed_stage,omitempty"`
	// Refusal states why the stage refused the call; it is otherwise well. Empty for a failure.
	Refusal Refusal `json:"refusal,omitempty"`
}

// Refusal is the reason why a stage refused a call.
type Refusal string

// The reasons of refusals.
const (
	// RefusedAssignment states that the engine holds other weights or none.
	RefusedAssignment Refusal = "assignment"
	// RefusedAttempt states that a higher attempt of the session is known.
	RefusedAttempt Refusal = "attempt"
	// RefusedPosition states that the position isn't the next one, or that the KV cache is missing.
	RefusedPosition Refusal = "position"
	// RefusedOrder states that an order carried an old epoch.
	RefusedOrder Refusal = "order"
	// RefusedOther stands for any other refusal before the request ran.
	RefusedOther Refusal = "other"
)

// RefusalError is the cause of an Error when a stage refused the call. It matches ErrRefused.
type RefusalError struct {
	Refusal Refusal
	Message string
}

// Error formats the reason and the message.
func (e *RefusalError) Error() string { return "refused (" + string(e.Refusal) + "): " + e.Message }

// Is reports whether target is ErrRefused.
func (e *RefusalError) Is(target error) bool { return target == ErrRefused }

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
}
