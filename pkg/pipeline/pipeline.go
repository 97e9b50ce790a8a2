// Package pipeline runs one generation over a chain of engines, each of which
// holds a layer range. Session is a pure state machine: it numbers attempts,
// accepts tokens, finds the suspects after a failure and chooses between kept,
// imported and rebuilt KV caches. Driver executes the session's actions through
// upstream.Engine.
//
// Invariants:
//   - At most one attempt of a session is open at a time.
//   - A token is delivered only once, in order, and only with receipts that cover
//     every layer exactly once.
//   - A session succeeds only with a final event that states the number of tokens
//     delivered.
package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Request describes one generation.
type Request struct {
	// Session identifies the generation at the engines. It must not be reused.
	Session string
	Model   fleet.ModelID
	Version string
	Adapter string
	// Layers is the number of layers of the model.
	Layers    int
	Prompt    []fleet.Token
	MaxTokens int
	Rank      fleet.Rank
}

// Stage is one stage of a planned chain with its measured costs. An unknown cost
// is 0 and counts as free.
type Stage struct {
	// Ref identifies the stage. The session sets Ref.Start itself.
	Ref    upstream.StageRef
	Engine upstream.Engine
	// PrefillPerPosition is the time that the stage takes to run one prompt position.
	PrefillPerPosition time.Duration
	// TransferPerPosition is the time that it takes to copy one position of the KV
	// cache from another engine to this one.
	TransferPerPosition time.Duration
	// CachedPositions is the number of leading prompt positions that the planner
	// expects in the stage's prefix cache. A rebuild does not run them.
	CachedPositions int
}

// Holder is a stage that holds KV cache of the session.
type Holder struct {
	Ref upstream.StageRef
	// Positions is the number of positions that the KV cache covers.
	Positions int
	// Excluded is set for a stage that can export its KV cache but must not be part
	// of the chain.
	Excluded bool
}

// PlanRequest states what the next chain of a session must and should satisfy.
type PlanRequest struct {
	Request Request
	// Attempt is the number of the attempt that will use the chain.
	Attempt int
	// Tokens is the number of prompt and accepted tokens, which is the number of
	// positions that a rebuild runs.
	Tokens int
	// Excluded lists the upstreams that the chain must not contain, in the order in
	// which they were excluded.
	Excluded []fleet.UpstreamID
	// Holders lists the stages that hold KV cache. Reusing them saves work.
	Holders []Holder
}

// Planner chooses chains. An error that wraps a *result.Error sets the code and
// the retry-after time that the caller receives.
type Planner interface {
	Plan(ctx context.Context, request PlanRequest) ([]Stage, error)
	// Leaving returns those of the stages' upstreams that have announced their end.
	Leaving(chain []Stage) []fleet.UpstreamID
}

// Budget limits retries. AllowRetry is called once before each attempt after the
// first, with the upstreams that are blamed for the failure.
type Budget interface {
	AllowRetry(blamed []fleet.UpstreamID) bool
}

// Sink receives the tokens of the response, each once and in order. An error
// ends the session as cancelled by the caller.
type Sink interface {
	Token(token fleet.Token) error
}

// Result summarizes a session. FinishReason is set only after a final event.
type Result struct {
	Tokens       int
	FinishReason string
	Attempts     int
}

// Limits bound a session. A value of 0 selects the default.
type Limits struct {
	// MaxAttempts is the maximum number of attempts of a session, without those that broke off as an
	// upstream ended which had announced it. Default 4.
	MaxAttempts int
	// ProbeTimeout bounds the wait for a stage's progress report. Default 250ms.
	ProbeTimeout time.Duration
	// TokenTimeout bounds the wait for a token while heartbeats arrive. Default 3s,
	// which leaves urgent work enough time to recover to its target within 5s.
	TokenTimeout time.Duration
	// OvernightTokenTimeout replaces TokenTimeout for overnight work, which engines
	// may keep waiting. Default 30s.
	OvernightTokenTimeout time.Duration
	// ImportTimeout bounds the KV transfers before an attempt. Default 5s.
	ImportTimeout time.Duration
	// RetryAfter is the retry-after time that callers receive when a session fails.
	// Default 1s.
	RetryAfter time.Duration
}

// withDefaults replaces limits of 0 with their defaults.
func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxAttempts, 4)
	setDefault(&l.ProbeTimeout, 250*time.Millisecond)
	setDefault(&l.TokenTimeout, 3*time.Second)
	setDefault(&l.OvernightTokenTimeout, 30*time.Second)
	setDefault(&l.ImportTimeout, 5*time.Second)
	setDefault(&l.RetryAfter, time.Second)
	return l
}

// setDefault sets *field to value if it is 0.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Failures that the session or the driver detects itself.
var (
	// ErrGap reports that a token event skipped an index.
	ErrGap = errors.New("token index skipped")
	// ErrReceipts reports that the receipts don't match the chain.
	ErrReceipts = errors.New("receipts do not cover the chain")
	// ErrTokenCount reports that the final event or the token limit contradicts the
	// number of tokens received.
	ErrTokenCount = errors.New("wrong number of tokens")
	// ErrTokenTimeout reports that heartbeats arrived but no token within
	// Limits.TokenTimeout.
	ErrTokenTimeout = errors.New("no token within the timeout")
	// ErrImportTimeout reports that a KV transfer took longer than Import.Timeout.
	ErrImportTimeout = errors.New("KV transfer not done within the timeout")
	// ErrInvalidChain reports that the planner returned a chain that can't serve the
	// request.
	ErrInvalidChain = errors.New("planned chain can't serve the request")
)

// ObservationKind is the kind of step that an Observation reports.
type ObservationKind uint8

// The kinds of observations.
const (
	// AttemptStarted reports an attempt and its chain, just before it is sent.
	AttemptStarted ObservationKind = iota + 1
	// AttemptFailed reports a failed attempt and its suspects.
	AttemptFailed
	// Recovered reports the first token or the final event after a failure.
	Recovered
	// EventDropped reports a stream event of another session or attempt, or one that
	// repeats an index.
	EventDropped
	// SessionEnded reports the end of the session. Err is nil if it succeeded.
	SessionEnded
)

// Observation reports a step of a session for explanations, health and metrics.
type Observation struct {
	Kind    ObservationKind
	At      time.Time
	Session string
	Attempt int
	// Chain is the chain of the attempt.
	Chain []fleet.UpstreamID
	// Accepted is the number of tokens delivered so far.
	Accepted int
	// Start is the first position that the attempt runs.
	Start int
	// Recomputed is the maximum number of positions that a stage runs again in the attempt.
	Recomputed int
	// Imported is the number of KV positions copied between engines, summed over stages.
	Imported int
	// Suspects are the upstreams that are blamed for the failure.
	Suspects []fleet.UpstreamID
	// Unreachable are the suspects that did not answer a probe over a new connection.
	// The other suspects may only have lost a connection.
	Unreachable []fleet.UpstreamID
	// Refusals are the upstreams that refused to run their stage. They are healthy.
	Refusals []fleet.UpstreamID
	// Sent is false only if no stage can have run the failed attempt.
	Sent bool
	// SinceSymptom is the time since the first symptom of the failure.
	SinceSymptom time.Duration
	// Err is the cause of a failure, or the reason why an event was dropped.
	Err error
}

// Observer receives observations. Observe must not block.
type Observer interface {
	Observe(Observation)
}
