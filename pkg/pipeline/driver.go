package pipeline

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// releaseTimeout bounds the background calls that free a session on its stages.
const releaseTimeout = 2 * time.Second

// Driver executes sessions. It is safe for concurrent use.
type Driver struct {
	limits   Limits
	budget   Budget
	observer Observer
	releases sync.WaitGroup
}

// NewDriver returns a driver. A nil budget allows every retry. The observer may be nil.
func NewDriver(limits Limits, budget Budget, observer Observer) *Driver {
	return &Driver{limits: limits.withDefaults(), budget: budget, observer: observer}
}

// Run executes one generation until its final event, or returns a *result.Error
// as soon as the session gives up. Run returns promptly when ctx is done.
func (d *Driver) Run(ctx context.Context, request Request, planner Planner, sink Sink) (Result, error) {
	r := &run{driver: d, ctx: ctx, session: NewSession(request, d.limits), planner: planner, sink: sink}
	defer r.closeStream()
	var event Event = Begin{}
	for {
		event = r.step(event)
		if r.finished == nil {
			continue
		}
		if r.finished.Err != nil {
			return r.finished.Result, r.finished.Err
		}
		return r.finished.Result, nil
	}
}

// Wait waits for the background calls that free sessions on their stages.
func (d *Driver) Wait() { d.releases.Wait() }

// run is the execution of one session.
type run struct {
	driver   *Driver
	ctx      context.Context
	session  *Session
	planner  Planner
	sink     Sink
	stream   upstream.TokenStream
	finished *Finish
}

// step applies the event to the session, executes the resulting actions and
// returns the next event.
func (r *run) step(event Event) Event {
	var next Event
	for _, action := range r.session.Step(time.Now(), event) {
		if e := r.execute(action); e != nil {
			next = e
		}
	}
	if r.finished != nil {
		return nil
	}
	if err := r.ctx.Err(); err != nil {
		return Abandoned{Err: contextError(r.ctx)}
	}
	if next == nil {
		next = r.receive()
	}
	return next
}

// contextError returns the result for a context that is done.
func contextError(ctx context.Context) *result.Error {
	cause := context.Cause(ctx)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, result.OutcomeUnknown, "the deadline passed").WithCause(cause)
	}
	return result.New(result.CancelledByCaller, result.OutcomeUnknown, "the caller left").WithCause(cause)
}

// execute performs one action and returns the event that it causes, if any.
func (r *run) execute(action Action) Event {
	switch a := action.(type) {
	case AskPlan:
		chain, err := r.planner.Plan(r.ctx, a.Request)
		return Planned{Chain: chain, Err: err}
	case Import:
		return Imported{Errs: r.transfer(a)}
	case Open:
		return r.open(a)
	case CloseStream:
		r.closeStream()
	case Probe:
		return Probed{Reports: r.probe(a.Stages)}
	case AskRetry:
		return RetryAnswered{Allowed: r.driver.budget == nil || r.driver.budget.AllowRetry(a.Blamed)}
	case Deliver:
		if err := r.sink.Token(a.Token); err != nil {
			return Abandoned{Err: result.New(result.CancelledByCaller, result.Ran, "the caller left").WithCause(err)}
		}
	case Notify:
		if r.driver.observer != nil {
			r.driver.observer.Observe(a.Observation)
		}
	case Release:
		r.release(a)
	case Finish:
		r.finished = &a
	}
	return nil
}

// open opens the attempt's stream. It returns an event only if that fails.
func (r *run) open(a Open) Event {
	stream, err := a.Head.Engine.Generate(r.ctx, a.Request)
	if err != nil {
		return r.streamFailure(err)
	}
	r.stream = stream
	return nil
}

// closeStream closes the open stream, if any, which cancels the attempt at the
// first stage.
func (r *run) closeStream() {
	if r.stream != nil {
		_ = r.stream.Close()
		r.stream = nil
	}
}

// receive waits for the next token event of the stream or for its failure.
func (r *run) receive() Event {
	timeout := r.session.limits.TokenTimeout
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	event, err := r.stream.Next(ctx)
	if err == nil {
		return Received{Event: event}
	}
	if ctx.Err() != nil && r.ctx.Err() == nil {
		return Broken{Err: ErrTokenTimeout, SilentFor: timeout, Leaving: r.leaving()}
	}
	return r.streamFailure(err)
}

// streamFailure returns the event for a stream error. If the caller's context is
// done, the error is attributed to it and not to the stream.
func (r *run) streamFailure(err error) Event {
	if r.ctx.Err() != nil {
		return Abandoned{Err: contextError(r.ctx)}
	}
	var silent *upstream.SilentError
	if errors.As(err, &silent) {
		return Broken{Err: err, SilentFor: silent.For, Leaving: r.leaving()}
	}
	return Broken{Err: err, Leaving: r.leaving()}
}

// leaving returns the upstreams of the current chain that have announced their end.
func (r *run) leaving() []fleet.UpstreamID { return r.planner.Leaving(r.session.chain) }

// probe asks all stages concurrently for their progress.
func (r *run) probe(stages []Stage) []Report {
	ctx, cancel := context.WithTimeout(r.ctx, r.driver.limits.ProbeTimeout)
	defer cancel()
	reports := make([]Report, len(stages))
	parallel(len(stages), func(i int) {
		progress, err := stages[i].Engine.Progress(ctx, r.session.request.Session)
		reports[i] = Report{Upstream: stages[i].Ref.Upstream, Progress: progress, Err: err}
	})
	return reports
}

// transfer makes the target engines fetch the KV caches concurrently. The data
// goes directly from engine to engine.
func (r *run) transfer(a Import) []error {
	ctx, cancel := context.WithTimeout(r.ctx, a.Timeout)
	defer cancel()
	errs := make([]error, len(a.Transfers))
	parallel(len(a.Transfers), func(i int) {
		t := a.Transfers[i]
		err := t.To.Engine.ImportFrom(ctx, t.Source)
		if err != nil && ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ErrImportTimeout, err)
		}
		errs[i] = err
	})
	return errs
}

// release frees the session on the stages in the background.
func (r *run) release(a Release) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), releaseTimeout)
	session := r.session.request.Session
	r.driver.releases.Go(func() {
		defer cancel()
		parallel(len(a.Stages), func(i int) {
			// The error is ignored: an unreachable stage frees the session after its
			// own idle timeout.
			_ = a.Stages[i].Engine.Cancel(ctx, session, a.Attempt)
		})
	})
}

// parallel calls call(0) to call(n-1) concurrently and waits for all of them.
func parallel(n int, call func(i int)) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { call(i) })
	}
	group.Wait()
}
