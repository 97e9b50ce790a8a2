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

// errLeaseEnded is the result of an order whose lease ended before it was sent.
var errLeaseEnded = errors.New("lease ended before the order was sent")

// errUnknownEngine is the result of an order to an engine without a client.
var errUnknownEngine = errors.New("no client for the engine")

// Executor performs Owner's actions and delivers their results as events. Each
// action other than LogEvent runs in its own goroutine, so that an engine that
// does not answer delays no other.
type Executor struct {
	// Engine returns the client of an engine, or nil if there is none.
	Engine func(fleet.UpstreamID) upstream.Engine
	// Append appends a record to the log. Its error is ignored, since the outcome
	// is read back from the log.
	Append func(context.Context, record.Record) error
	Store  infra.WeightStore
	// Replan computes a plan, usually Planner.Replan.
	Replan func(Input) Plan
	Now    func() time.Time
	// Deliver passes an event to the control goroutine. It must be safe for
	// concurrent use.
	Deliver func(Event)
	// Log writes an event to the log of the VM. Run calls it synchronously.
	Log func(LogEvent)
	// Timeout limits each action. It must not exceed OwnerConfig.OrderTimeout, so
	// that Owner receives an order's result before it stops waiting for it.
	Timeout time.Duration

	running sync.WaitGroup
}

// Run starts the actions and returns without waiting for them.
func (x *Executor) Run(ctx context.Context, actions []Action) {
	for _, a := range actions {
		if n, ok := a.(LogEvent); ok {
			x.Log(n)
			continue
		}
		x.running.Go(func() { x.run(ctx, a) })
	}
}

// Wait waits until all started actions have ended.
func (x *Executor) Wait() { x.running.Wait() }

func (x *Executor) run(ctx context.Context, a Action) {
	ctx, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	switch a := a.(type) {
	case AppendLease:
		_ = x.Append(ctx, a.Record) // the outcome arrives as LeaseRead
	case SendOrder:
		x.Deliver(OrderAnswered{a.Upstream, a.Order, x.sendOrder(ctx, a)})
	case ReadState:
		x.Deliver(x.readState(ctx, a.Upstream))
	case ReadStoreRate:
		if rate, err := x.Store.Rate(ctx); err == nil {
			x.Deliver(StoreRateRead{rate})
		}
	case ComputePlan:
		x.Deliver(PlanReady{a.Generation, x.Replan(a.Input)})
	}
}

// sendOrder sends an order unless the lease has ended. The process may be paused
// between the check and the call. Engines that enforce fencing then refuse the
// order, and state reads detect its effect on the others.
func (x *Executor) sendOrder(ctx context.Context, a SendOrder) error {
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
	requestedAt := x.Now()
	engine := x.Engine(id)
	if engine == nil {
		return StateFailed{id}
	}
	state, err := engine.State(ctx)
	if err != nil || state.Upstream != id {
		return StateFailed{id}
	}
	return StateRead{State: state, RequestedAt: requestedAt}
}
