// Package pipeline drives one generation over a chain of engines, each of which
// holds a layer range. Session is a pure state machine: it numbers attempts,
// accepts tokens, finds the suspect after a failure and chooses between kept,
// imported and rebuilt KV caches. Driver executes its actions over upstream.Engine.
//
// Invariants: only one attempt of a session is open at a time; a token is
// delivered only once, in order, and only with receipts that cover every layer
// exactly once; a session ends well only with a final event that names the
// number of tokens delivered.
package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Request is one generation.
type Request struct {
	// Session identifies the generation at the engines; it is used once.
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

// Stage is one stage of a planned chain with its costs as measured. A cost of 0
// means unknown and counts as free.
type Stage struct {
	// Ref names the stage. The session sets Ref.Start itself.
	Ref    upstream.StageRef
	Engine upstream.Engine
	// PrefillPerPosition is the time in which the stage runs one position of a prompt.
	PrefillPerPosition time.Duration
	// TransferPerPosition is the time in which one position of the KV cache moves
	// from another engine to this one.
	TransferPerPosition time.Duration
	// CachedPositions is the number of leading prompt positions that the planner
	// expects in the stage's prefix cache. They save time in a rebuild.
	CachedPositions int
}

// Holder is a stage that holds KV cache of the session.
type Holder struct {
	Ref upstream.StageRef
	// Positions is the number of positions that the KV cache covers.
	Positions int
	// Excluded is set for a stage that can export its KV cache but must not be planned.
	Excluded bool
}

// Need is what a session asks of its Planner.
type Need struct {
	Request Request
	// Attempt is the number of the attempt that the chain is for.
	Attempt int
	// Tokens is the number of prompt and accepted tokens, and so of positions in a rebuild.
	Tokens int
	// Excluded lists the upstreams that the chain must not contain, in order of exclusion.
	Excluded []fleet.UpstreamID
	// Holding lists the stages that hold KV cache; planning them again saves work.
	Holding []Holder
}

// Planner gives chains. An error that wraps a *result.Error sets the code and
// the retry-after time that the caller gets.
type Planner interface {
	Plan(ctx context.Context, need Need) ([]Stage, error)
}

// Budget limits retries. AllowRetry is asked once before each attempt after the
// first, with the upstreams blamed for the failure.
type Budget interface {
	AllowRetry(blamed []fleet.UpstreamID) bool
}

// Sink takes the tokens of the response, each once and in order. An error ends
// the session as cancelled by the caller.
type Sink interface {
	Token(token fleet.Token) error
}

// Result is the end of a session that ran to its final event.
type Result struct {
	Tokens       int
	FinishReason string
	Attempts     int
}

// Limits bound a session.
type Limits struct {
	// Attempts is the most attempts of a session. Default 4.
	Attempts int
	// Probe is the longest wait for a stage's progress report. Default 250ms.
	Probe time.Duration
	// Token is the longest wait for a token while heartbeats come. Default 3s, which
	// leaves urgent work time to be back on target within 5s.
	Token time.Duration
	// OvernightToken is the same for overnight work, which engines let wait. Default 30s.
	OvernightToken time.Duration
	// Import is the longest time of a KV transfer. Default 5s.
	Import time.Duration
	// RetryAfter is what callers are told when a session fails. Default 1s.
	RetryAfter time.Duration
}

// withDefaults fills the limits that are 0.
func (l Limits) withDefaults() Limits {
	setDefault(&l.Attempts, 4)
	setDefault(&l.Probe, 250*time.Millisecond)
	setDefault(&l.Token, 3*time.Second)
	setDefault(&l.OvernightToken, 30*time.Second)
	setDefault(&l.Import, 5*time.Second)
	setDefault(&l.RetryAfter, time.Second)
	return l
}

// setDefault gives *field the value if it is 0.
func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Causes of failures that the session or the driver finds itself.
var (
	// ErrGap states that a token event skipped an index.
	ErrGap = errors.New("token index skipped")
	// ErrReceipts states that the receipts don't match the chain.
	ErrReceipts = errors.New("receipts do not cover the chain")
	// ErrCount states that the final event names another number of tokens.
	ErrCount = errors.New("final event does not match the tokens")
	// ErrTokenLimit states that heartbeats came but no token for too long.
	ErrTokenLimit = errors.New("no token within the limit")
	// ErrImportLimit states that a KV transfer took longer than its limit.
	ErrImportLimit = errors.New("KV transfer not done within the limit")
	// ErrPlan states that the planner gave a chain that can't serve the request.
	ErrPlan = errors.New("planned chain does not fit")
)

// ObservationKind is what an Observation reports.
type ObservationKind uint8

// The kinds of observations.
const (
	// AttemptStarted reports a chain about to run.
	AttemptStarted ObservationKind = iota + 1
	// AttemptFailed reports the suspects of a failed attempt.
	AttemptFailed
	// Recovered reports the first token after a failure.
	Recovered
	// EventDropped reports an event of another session, attempt or index.
	EventDropped
	// SessionEnded reports the end, good or bad.
	SessionEnded
)

// Observation is a step of a session, for explanations, health and metrics.
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
	// Recomputed is the most positions that a stage runs again in the attempt.
	Recomputed int
	// Imported is the number of KV positions moved between engines, summed over stages.
	Imported int
	// Suspects are blamed for the failure.
	Suspects []fleet.UpstreamID
	// Unreachable are the suspects that did not answer a probe over a new connection.
	// The others may only have lost a connection.
	Unreachable []fleet.UpstreamID
	// Refusals are stages that refused their assignment; they are well.
	Refusals []fleet.UpstreamID
	// Sent is false when the failed attempt certainly ran nowhere.
	Sent bool
	// SinceSymptom is the time from the first symptom of the failure.
	SinceSymptom time.Duration
	// Err is the cause of a failure or of a dropped event.
	Err error
}

// Observer takes observations. It must not block.
type Observer interface {
	Observe(Observation)
}
