package pipeline

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Event is an input of a session's state machine.
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
	// Imported answers Import with one error per transfer, nil for success.
	Imported struct{ Errs []error }
	// Received carries a token event of the open stream.
	Received struct{ Event upstream.TokenEvent }
	// Broken reports that the stream could not be opened or failed.
	Broken struct {
		Err error
		// SilentFor is the time without any event on the stream before the failure was
		// detected.
		SilentFor time.Duration
		// Leaving lists the upstreams of the chain that had announced their end.
		Leaving []fleet.UpstreamID
	}
	// Probed answers Probe with one report per stage.
	Probed struct{ Reports []Report }
	// RetryAnswered answers AskRetry.
	RetryAnswered struct{ Allowed bool }
	// Abandoned reports that the caller cancelled or the deadline passed.
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

// Report is the result of probing one stage.
type Report struct {
	Upstream fleet.UpstreamID
	Progress upstream.SessionProgress
	Err      error
}

// Action is an output of a session's state machine. Actions must be executed in
// the order in which Step returns them.
type Action interface{ isAction() }

// The actions of a session.
type (
	// AskPlan asks the planner for a chain.
	AskPlan struct{ Request PlanRequest }
	// Import copies KV caches between engines, all within the timeout.
	Import struct {
		Transfers []Transfer
		Timeout   time.Duration
	}
	// Open opens the attempt's stream on the head, which is the chain's first stage.
	Open struct {
		Head    Stage
		Request upstream.GenerateRequest
	}
	// CloseStream closes the open stream.
	CloseStream struct{}
	// Probe asks stages for their progress over new connections.
	Probe struct{ Stages []Stage }
	// AskRetry asks the retry budget for another attempt.
	AskRetry struct{ Blamed []fleet.UpstreamID }
	// Deliver passes a token to the sink.
	Deliver struct{ Token fleet.Token }
	// Notify passes an observation to the observer.
	Notify struct{ Observation Observation }
	// Release cancels the session on stages in the background, which frees its KV
	// cache there.
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

// Transfer copies the first positions of a session's KV cache from one engine to
// another.
type Transfer struct {
	From, To  Stage
	Positions int
	// Source tells the engine of To where to fetch the KV cache.
	Source upstream.KVSource
}
