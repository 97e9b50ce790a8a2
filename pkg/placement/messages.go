package placement

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Event is an input of Owner.
type Event interface{ isEvent() }

// Tick triggers periodic work. Owner expects one at least every TickInterval.
type Tick struct{}

// LeaseRead carries a valid lease record of the resource that was read from the
// log. Records arrive in the order of their offsets.
type LeaseRead struct {
	ID     record.ID
	Holder fleet.VMID
	// Epoch is the lease epoch that the record starts.
	Epoch uint64
}

// InputChanged carries the engines, links and models from the settings and the
// VM list. Owner ignores Engine.Current and sets it from the engines' state
// before it requests a plan; an engine marked Unavailable stays out of plans.
type InputChanged struct{ Input Input }

// StateRead carries an engine's report.
type StateRead struct {
	State upstream.EngineState
	// RequestedAt is the time at which the call began.
	RequestedAt time.Time
}

// StateFailed reports that an engine's state could not be read.
type StateFailed struct{ Upstream fleet.UpstreamID }

// OrderAnswered reports the end of an order's call. After an error it is unknown
// whether the order took effect until the engine's next report.
type OrderAnswered struct {
	Upstream fleet.UpstreamID
	Order    upstream.Order
	Err      error
}

// StoreRateRead carries the weight store's rate in bytes per second.
type StoreRateRead struct{ BytesPerSecond float64 }

// PlanReady carries the plan that a ComputePlan action requested.
type PlanReady struct {
	Generation int
	Plan       Plan
}

func (Tick) isEvent()          {}
func (LeaseRead) isEvent()     {}
func (InputChanged) isEvent()  {}
func (StateRead) isEvent()     {}
func (StateFailed) isEvent()   {}
func (OrderAnswered) isEvent() {}
func (StoreRateRead) isEvent() {}
func (PlanReady) isEvent()     {}

// Action is an output of Owner.
type Action interface{ isAction() }

// AppendLease requests to append a lease record to the log. The outcome is
// reported only as a LeaseRead.
type AppendLease struct{ Record record.Record }

// SendOrder requests to send an order to an engine.
type SendOrder struct {
	Upstream fleet.UpstreamID
	Order    upstream.Order
	// NotAfter is the end of the lease by the owner's clock. The order is dropped
	// if it has not been sent by then.
	NotAfter time.Time
}

// ReadState requests an engine's state.
type ReadState struct{ Upstream fleet.UpstreamID }

// ReadStoreRate requests the weight store's rate.
type ReadStoreRate struct{}

// ComputePlan requests a plan for the input from Planner.Replan, computed
// outside the control goroutine.
type ComputePlan struct {
	Generation int
	Input      Input
}

// LogEvent requests to write an event to the log of the VM.
type LogEvent struct {
	Event    event.ID
	Upstream fleet.UpstreamID
	Epoch    uint64
	Reason   string
}

func (AppendLease) isAction()   {}
func (SendOrder) isAction()     {}
func (ReadState) isAction()     {}
func (ReadStoreRate) isAction() {}
func (ComputePlan) isAction()   {}
func (LogEvent) isAction()      {}
