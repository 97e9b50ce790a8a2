package pipeline

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Event is something that happened to a session.
type Event interface{ isEvent() }

// The events of a session.
type (
	// Begin starts the session.
	Begin struct{}
	// Planned answers AskPlan with a chain or an error.
	Planned struct {
		Chain []Stage
		Err   error
	}
	// Imported answers Import with one error for each transfer, nil when it succeeded.
	Imported struct{ Errs []error }
	// Received is an event of the open stream.
	Received struct{ Event upstream.TokenEvent }
	// Broken states that the stream could not be opened or broke.
	Broken struct {
		Err error
		// SilentFor is how long the stream was without a sign before that.
		SilentFor time.Duration
	}
	// Probed answers Probe with one report for each stage.
	Probed struct{ Reports []Report }
	// RetryAnswered answers AskRetry.
	RetryAnswered struct{ Allowed bool }
	// Abandoned states that the caller left or the deadline passed.
	Abandoned struct{ Err *result.Error }
)

func (Begin) isEvent()         {}
func (Planned) isEvent()       {}
func (Imported) isEvent()      {}
func (Received) isEvent()      {}
func (Broken) isEvent()        {}
func (Probed) isEvent()        {}
func (RetryAnswered) isEvent() {}
func (Abandoned) isEvent()     {}

// Report is what a probe of a stage gave.
type Report struct {
	Upstream fleet.UpstreamID
	Progress upstream.SessionProgress
	Err      error
}

// Action is something that the executor must do, in the given order.
type Action interface{ isAction() }

// The actions of a session.
type (
	// AskPlan asks the planner for a chain.
	AskPlan struct{ Need Need }
	// Import moves KV caches between engines within the limit.
	Import struct {
		Transfers []Transfer
		Limit     time.Duration
	}
	// Open opens the attempt's stream on the head.
	Open struct {
		Head    Stage
		Request upstream.GenerateRequest
	}
	// CloseStream closes the open stream.
	CloseStream struct{}
	// Probe asks stages for their progress over new connections.
	Probe struct{ Stages []Stage }
	// AskRetry asks the retry budget.
	AskRetry struct{ Blamed []fleet.UpstreamID }
	// Deliver hands a token to the sink.
	Deliver struct{ Token fleet.Token }
	// Notify hands an observation to the observer.
	Notify struct{ Observation Observation }
	// Release frees the session on stages, in the background.
	Release struct {
		Stages  []Stage
		Attempt int
	}
	// Finish ends the session. Err is nil after a final event.
	Finish struct {
		Result Result
		Err    *result.Error
	}
)

func (AskPlan) isAction()     {}
func (Import) isAction()      {}
func (Open) isAction()        {}
func (CloseStream) isAction() {}
func (Probe) isAction()       {}
func (AskRetry) isAction()    {}
func (Deliver) isAction()     {}
func (Notify) isAction()      {}
func (Release) isAction()     {}
func (Finish) isAction()      {}

// Transfer moves the first positions of a session's KV cache between engines.
type Transfer struct {
	From, To  Stage
	Positions int
	// Source is the order that To is given.
	Source upstream.KVSource
}
