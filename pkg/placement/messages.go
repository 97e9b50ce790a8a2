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

// Tick lets time pass. Owner expects one at least every TickInterval.
type Tick struct{}

// LeaseRead reports a valid lease record of the resource, read back from the
// log. Records arrive in offset order.
type LeaseRead struct {
	ID     record.ID
	Holder fleet.VMID
	// Epoch is the epoch after the record.
	Epoch uint64
}

// InputChanged carries engines, links and models from the settings and the VM
// list. Engine.Current and Engine.Unavailable are ignored: Owner fills them in.
type InputChanged struct{ Input Input }

// StateRead carries an engine's report.
type StateRead struct {
	State upstream.EngineState
	// AskedAt is when the call began.
	AskedAt time.Time
}

// StateFailed reports that an engine did not say its state.
type StateFailed struct{ Upstream fleet.UpstreamID }

// OrderAnswered reports the end of an order's call. With an error it is open
// whether the order took effect; the next report tells.
type OrderAnswered struct {
	Upstream fleet.UpstreamID
	Order    upstream.Order
	Err      error
}

// RateRead carries the weight store's rate in bytes per second.
type RateRead struct{ BytesPerSecond float64 }

// PlanReady carries the answer to ComputePlan.
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
func (RateRead) isEvent()      {}
func (PlanReady) isEvent()     {}

// Action is an output of Owner.
type Action interface{ isAction() }

// AppendLease asks to append a lease record. Its result comes only as LeaseRead.
type AppendLease struct{ Record record.Record }

// SendOrder asks to send an order.
type SendOrder struct {
	Upstream fleet.UpstreamID
	Order    upstream.Order
	// NotAfter is the end of the lease by the owner's clock; the order is dropped after it.
	NotAfter time.Time
}

// ReadState asks for an engine's state.
type ReadState struct{ Upstream fleet.UpstreamID }

// ReadRate asks for the weight store's rate.
type ReadRate struct{}

// ComputePlan asks for Planner.Replan of the input, off the control goroutine.
type ComputePlan struct {
	Generation int
	Input      Input
}

// Note asks to write a log event.
type Note struct {
	Event    event.ID
	Upstream fleet.UpstreamID
	Epoch    uint64
	Text     string
}

func (AppendLease) isAction() {}
func (SendOrder) isAction()   {}
func (ReadState) isAction()   {}
func (ReadRate) isAction()    {}
func (ComputePlan) isAction() {}
func (Note) isAction()        {}
