package placement

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// errLeaseEnded is the answer to an order whose lease ended before it was sent.
var errLeaseEnded = errors.New("lease ended before the order was sent")

// errUnknownEngine is the answer to an order for an engine without a client.
var errUnknownEngine = errors.New("no client for the engine")

// Executor performs Owner's actions and delivers their results as events. Each
// action runs in its own goroutine, so that a silent engine delays no other.
type Executor struct {
	// Engine returns the client of an engine, nil when there is none.
	Engine func(fleet.UpstreamID) upstream.Engine
	// Append appends a record to the log. Its result is read back from the log.
	Append func(context.Context, record.Record) error
	Store  infra.WeightStore
	// Replan computes a plan, usually Planner.Replan.
	Replan func(Input) Plan
	Now    func() time.Time
	// Deliver hands an event to the control goroutine. It is called from many goroutines.
	Deliver func(Event)
	// Note writes a log event. It is called from Run.
	Note func(Note)
	// Timeout limits each call. At most OwnerConfig.OrderTimeout, so that Owner
	// hears of an order's end before it gives up waiting.
	Timeout time.Duration

	running sync.WaitGroup
}

// Run starts the actions and returns at once.
func (x *Executor) Run(ctx context.Context, actions []Action) {
	for _, a := range actions {
		if n, ok := a.(Note); ok {
			x.Note(n)
			continue
		}
		x.running.Go(func() { x.run(ctx, a) })
	}
}

// Wait returns when all started actions have ended.
func (x *Executor) Wait() { x.running.Wait() }

func (x *Executor) run(ctx context.Context, a Action) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	switch a := a.(type) {
	case AppendLease:
		_ = x.Append(ctx, a.Record) // LeaseRead tells whether it counts
	case SendOrder:
		x.Deliver(OrderAnswered{a.Upstream, a.Order, x.order(ctx, a)})
	case ReadState:
		x.Deliver(x.readState(ctx, a.Upstream))
	case ReadRate:
		if rate, err := x.Store.Rate(ctx); err == nil {
			x.Deliver(RateRead{rate})
		}
	case ComputePlan:
		x.Deliver(PlanReady{a.Generation, x.Replan(a.Input)})
	}
}

// order sends an order unless the lease has ended meanwhile. The process may
// still be paused between the check and the call; fencing and read-back cover that.
func (x *Executor) order(ctx context.Context, a SendOrder) error {
	engine := x.Engine(a.Upstream)
	if engine == nil {
		return errUnknownEngine
	}
	if !x.Now().Before(a.NotAfter) {
		return errLeaseEnded
	}
	return engine.Order(ctx, a.Order)
}

func (x *Executor) readState(ctx context.Context, id fleet.UpstreamID) Event {
	asked := x.Now()
	engine := x.Engine(id)
	if engine == nil {
		return StateFailed{id}
	}
	state, err := engine.State(ctx)
	if err != nil || state.Upstream != id {
		return StateFailed{id}
	}
	return StateRead{State: state, AskedAt: asked}
}
