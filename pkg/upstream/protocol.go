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

// Headers of a call to a plain service. The answer carries the same HeaderRequestID.
const (
	HeaderRequestID      = "Cornelline-Request-Id"
	HeaderRoute          = "Cornelline-Route"
	HeaderTeam           = "Cornelline-Team"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeartbeatInterval is the interval between heartbeat lines while a stream has no tokens to send.
const HeartbeatInterval = 500 * time.Millisecond

// DefaultSilenceTimeout is the default time without a received byte after which a
// connection is abandoned.
const DefaultSilenceTimeout = 2 * time.Second

// StreamLine is one NDJSON line of a token stream. Exactly one field is set.
type StreamLine struct {
	Heartbeat bool        `json:"heartbeat,omitempty"`
	Event     *TokenEvent `json:"event,omitempty"`
	Error     *ErrorBody  `json:"error,omitempty"`
}

// ErrorBody is the body of an error answer and the error on the last line of a failed stream.
type ErrorBody struct {
	Message string `json:"message"`
	// FailedStage is the stage that failed, if known.
	FailedStage fleet.UpstreamID `json:"failed_stage,omitempty"`
	// Refusal is the reason why a healthy stage refused the call. It is empty for a failure.
	Refusal RefusalReason `json:"refusal,omitempty"`
}

// RefusalReason is the reason why a stage refused a call.
type RefusalReason string

// The reasons of refusals.
const (
	// RefusedAssignment means that the engine holds other weights than requested, or none.
	RefusedAssignment RefusalReason = "assignment"
	// RefusedAttempt means that the stage knows a higher attempt of the session.
	RefusedAttempt RefusalReason = "attempt"
	// RefusedPosition means that the position isn't the next one, or that the KV cache is missing.
	RefusedPosition RefusalReason = "position"
	// RefusedOrder means that an order carried a stale epoch.
	RefusedOrder RefusalReason = "order"
	// RefusedOther means any other reason to refuse a request before it ran.
	RefusedOther RefusalReason = "other"
)

// RefusalError is the cause of an Error when a stage refused the call. errors.Is
// matches it with ErrRefused.
type RefusalError struct {
	Reason  RefusalReason
	Message string
}

// Error formats the reason and the message.
func (e *RefusalError) Error() string { return "refused (" + string(e.Reason) + "): " + e.Message }

// Is reports whether target is ErrRefused.
func (e *RefusalError) Is(target error) bool { return target == ErrRefused }

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
}
