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
	PathExportKV    = "/v1/kv/export"
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
	// Refused states that the stage refused the call, for its attempt, position or
	// assignment, and is otherwise well.
	Refused bool `json:"refused,omitempty"`
}

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
}

// ExportRequest is the body of a KV export call.
type ExportRequest struct {
	Session   string `json:"session"`
	Positions int    `json:"positions"`
}
