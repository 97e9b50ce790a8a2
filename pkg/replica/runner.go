package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/lease"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/settings"
)

// Timeouts of calls to the log and Retry-After values for callers.
const (
	// callTimeout is the deadline of one call to the log. The result of a call that
	// exceeds it is unknown.
	callTimeout = 5 * time.Second
	// outageRetryAfter is the Retry-After value while the log doesn't answer.
	outageRetryAfter = 2 * time.Second
	// progressRetryAfter is the Retry-After value while a claim on the key is pending.
	progressRetryAfter = 500 * time.Millisecond
	// maxKeyClockSkew is how far a key's time may lie in the future, because the
	// clocks of callers and VMs differ.
	maxKeyClockSkew = time.Minute
)

// View is an immutable copy of the replica's status for request goroutines.
type View struct {
	Tree   *settings.Tree
	Leases *lease.Table
	// Offset is the last applied offset, HighestOffset the highest one known to exist.
	Offset, HighestOffset uint64
	// Ready is set once the replica may serve, and stays set.
	Ready bool
	// LogUp is false while the log doesn't answer.
	LogUp bool
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Config
	Log    infra.Log
	Stream string
	VM     fleet.VMID
	Params Parameters
	Events *event.Logger
	// PendingLimit is the age at which the outcome of a claim without a done record
	// is reported as unknown instead of in progress. It must exceed the longest route
	// timeout.
	PendingLimit time.Duration
	// HolderTerminated reports whether a VM is known to have terminated. If it is nil,
	// no VM is known to have terminated.
	HolderTerminated func(fleet.VMID) bool
	// KeepRecords is the number of most recent records kept for RecordsFrom. 0 keeps none.
	KeepRecords int
}

// Runner drives a Replica over the platform's log. The goroutine that executes Run
// owns the replica. Calls to the log run in other goroutines.
type Runner struct {
	cfg           RunnerConfig
	replica       *Replica
	commands      chan func(now time.Time) []Action
	view          atomic.Pointer[View]
	waiters       map[record.ID]chan outcome
	onChange      atomic.Pointer[func(*View)]
	onLease       atomic.Pointer[func(LeasesAction)]
	onRecord      atomic.Pointer[func(infra.Record)]
	recentRecords []infra.Record
	history       []Change
	stopped       chan struct{}
	// calls counts the calls to the log in flight. Run waits for them.
	calls        sync.WaitGroup
	logDownSince time.Time
}

// outcome is the result of a proposal, as delivered to its waiter.
type outcome struct {
	decided bool
	verdict Verdict
	sent    bool
}

// Change is one settings record in the response of GET /v1/settings-history.
type Change struct {
	Offset uint64    `json:"offset"`
	At     time.Time `json:"at"`
	Branch string    `json:"branch"`
	Base   uint64    `json:"base"`
	Author string    `json:"author"`
	Valid  bool      `json:"valid"`
	Reason string    `json:"reason,omitempty"`
}

// historyLength is the number of settings records kept for Changes.
const historyLength = 256

// NewRunner returns a runner that is idle until Run is called.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.NewID == nil {
		cfg.NewID = record.NewID
	}
	if cfg.Events == nil {
		cfg.Events = event.Discard()
	}
	r := &Runner{
		cfg: cfg, replica: New(cfg.Config, cfg.Params), commands: make(chan func(time.Time) []Action),
		waiters: map[record.ID]chan outcome{}, stopped: make(chan struct{}),
	}
	r.publish()
	return r
}

// View returns the current view.
func (r *Runner) View() *View { return r.view.Load() }

// OnChange sets a function that is called, from the runner's goroutine, after
// each change of the view. It must not call the runner's blocking methods.
func (r *Runner) OnChange(f func(*View)) { r.onChange.Store(&f) }

// OnLease sets a function that is called, from the runner's goroutine, for each
// valid lease record. It must not call the runner's blocking methods.
func (r *Runner) OnLease(f func(LeasesAction)) { r.onLease.Store(&f) }

// OnRecord sets a function that is called, from the runner's goroutine, for each
// record applied here, in offset order. It must not call the runner's blocking
// methods. The caller can use it to relay records to other VMs.
func (r *Runner) OnRecord(f func(infra.Record)) { r.onRecord.Store(&f) }

// Run drives the replica until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.calls.Wait()
	defer close(r.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for ctx.Err() == nil {
		// A waiting command runs before a tick that is due at the same time, so
		// that tests in virtual time are reproducible. Commands can't starve ticks:
		// after each command, a tick that is due runs.
		select {
		case f := <-r.commands:
			r.perform(ctx, f(time.Now()))
		default:
			select {
			case <-ctx.Done():
			case f := <-r.commands:
				r.perform(ctx, f(time.Now()))
			case <-timer.C:
			}
		}
		now := time.Now()
		if !now.Before(due) {
			r.perform(ctx, r.replica.Tick(now))
		}
		due = r.replica.NextTick(now)
		timer.Reset(due.Sub(now))
	}
}

// do runs f in the runner's goroutine and waits until f has returned. It returns
// false if f did not run because the runner has stopped or ctx ended.
func (r *Runner) do(ctx context.Context, f func(now time.Time) []Action) bool {
	done := make(chan struct{})
	command := func(now time.Time) []Action {
		defer close(done)
		return f(now)
	}
	select {
	case r.commands <- command:
		<-done
		return true
	case <-r.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// perform executes the replica's actions.
func (r *Runner) perform(ctx context.Context, actions []Action) {
	changed := false
	var answers []func()
	for _, a := range actions {
		switch a := a.(type) {
		case AppendAction:
			r.calls.Go(func() { r.append(ctx, a) })
		case ReadAction:
			r.calls.Go(func() { r.read(ctx, a) })
		case DecidedAction:
			answers = append(answers, func() { r.deliver(a.Verdict.ID, outcome{decided: true, verdict: a.Verdict, sent: true}) })
		case UndecidedAction:
			answers = append(answers, func() { r.deliver(a.ID, outcome{sent: a.Sent}) })
		case AppliedAction:
			r.recordApplied(a.Record)
		default:
			r.notify(a)
			changed = true
		}
	}
	r.publish()
	if f := r.onChange.Load(); changed && f != nil {
		(*f)(r.View())
	}
	// Answers follow the update of the view, so that a caller that learns of a change
	// also sees it in the view.
	for _, answer := range answers {
		answer()
	}
}

// notify logs an action and calls the callback that is set for it.
func (r *Runner) notify(a Action) {
	switch a := a.(type) {
	case SettingsAction:
		r.reportChange(a)
	case SnapshotAction:
		if a.Mismatch {
			r.cfg.Events.Log(event.SnapshotMismatch).Str("stream", r.cfg.Stream).Uint64("covers", a.Covers).Send()
		}
		if a.Own {
			r.cfg.Events.Log(event.SnapshotWritten).Str("stream", r.cfg.Stream).Uint64("covers", a.Covers).Send()
		}
	case LeasesAction:
		if f := r.onLease.Load(); f != nil {
			(*f)(a)
		}
	case LogAction:
		r.reportLogState(a)
	}
}

// recordApplied keeps a record for RecordsFrom and passes it to the OnRecord callback.
func (r *Runner) recordApplied(lr infra.Record) {
	if r.cfg.KeepRecords > 0 {
		r.recentRecords = append(r.recentRecords, lr)
		r.recentRecords = r.recentRecords[max(0, len(r.recentRecords)-r.cfg.KeepRecords):]
	}
	if f := r.onRecord.Load(); f != nil {
		(*f)(lr)
	}
}

// RecordsFrom returns the kept records starting at an offset, for a peer that missed
// them. It returns none if the record at that offset is not kept. If the offset is
// older than the kept records, the peer needs a snapshot.
func (r *Runner) RecordsFrom(ctx context.Context, offset uint64) (records []infra.Record) {
	r.do(ctx, func(time.Time) []Action {
		for i, lr := range r.recentRecords {
			if lr.Offset == offset {
				records = append(records, r.recentRecords[i:]...)
				break
			}
		}
		return nil
	})
	return records
}

// reportLogState logs that the log has become unavailable or is available again.
func (r *Runner) reportLogState(a LogAction) {
	if !a.Available {
		r.logDownSince = time.Now()
		r.cfg.Events.Log(event.LogUnavailable).Str("stream", r.cfg.Stream).AnErr("error", a.Err).Send()
		return
	}
	r.cfg.Events.Log(event.LogAvailable).Str("stream", r.cfg.Stream).Int64("away_ms", time.Since(r.logDownSince).Milliseconds()).Send()
}

// reportChange logs a settings record and keeps it for Changes.
func (r *Runner) reportChange(a SettingsAction) {
	c := Change{
		Offset: a.Verdict.Offset, At: a.At, Branch: a.Change.Branch, Base: a.Change.Base,
		Author: a.Change.Author, Valid: a.Verdict.Valid(),
	}
	if c.Valid {
		r.cfg.Events.Log(event.SettingsApplied).Str("branch", c.Branch).Uint64("version", c.Offset).Str("author", c.Author).Send()
	} else {
		c.Reason = "repeated record"
		if a.Verdict.Err != nil {
			c.Reason = a.Verdict.Err.Error()
		}
		r.cfg.Events.Log(event.SettingsRejected).Str("branch", c.Branch).Uint64("offset", c.Offset).Str("reason", c.Reason).Send()
	}
	if len(r.history) == historyLength {
		r.history = r.history[1:]
	}
	r.history = append(r.history, c)
}

// publish stores a new view if it differs from the current one.
func (r *Runner) publish() {
	s := r.replica.State()
	next := View{
		Tree: s.Tree, Leases: s.Leases, Offset: s.Offset, HighestOffset: r.replica.HighestOffset(),
		Ready: r.replica.Ready(), LogUp: r.replica.LogUp(),
	}
	if old := r.view.Load(); old == nil || *old != next {
		r.view.Store(&next)
	}
}

// deliver passes the outcome of a proposal to its waiter, if there is one.
func (r *Runner) deliver(id record.ID, o outcome) {
	if w, ok := r.waiters[id]; ok {
		delete(r.waiters, id)
		w <- o
	}
}

// append performs one append and reports its result.
func (r *Runner) append(ctx context.Context, a AppendAction) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := r.cfg.Log.Append(callCtx, r.cfg.Stream, a.Records)
	r.do(ctx, func(now time.Time) []Action { return r.replica.AppendDone(err, now) })
}

// read performs one read and reports its result.
func (r *Runner) read(ctx context.Context, a ReadAction) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := r.cfg.Log.Read(callCtx, r.cfg.Stream, a.From, a.Max)
	r.do(ctx, func(now time.Time) []Action { return r.replica.ReadDone(batch, err, now) })
}

// Reconfigure replaces the parameters that come from the settings.
func (r *Runner) Reconfigure(ctx context.Context, p Parameters) {
	r.do(ctx, func(now time.Time) []Action { return r.replica.Reconfigure(p, now) })
}

// SnapshotReceived handles a peer's snapshot. Covers is 0 when the peer has none.
func (r *Runner) SnapshotReceived(ctx context.Context, peer string, snap record.Snapshot) {
	r.do(ctx, func(now time.Time) []Action { return r.replica.SnapshotReceived(peer, snap, now) })
}

// PeerOffsetReceived handles the highest offset that a peer knows to exist.
func (r *Runner) PeerOffsetReceived(ctx context.Context, peer string, offset uint64) {
	r.do(ctx, func(now time.Time) []Action { return r.replica.PeerOffsetReceived(peer, offset, now) })
}

// RecordsReceived handles records that a peer relayed, in offset order.
func (r *Runner) RecordsReceived(ctx context.Context, records []infra.Record) {
	r.do(ctx, func(now time.Time) []Action { return r.replica.RecordsReceived(records, now) })
}

// Snapshot returns a snapshot for a peer.
func (r *Runner) Snapshot(ctx context.Context) (snap record.Snapshot, err error) {
	err = errRunnerStopped
	r.do(ctx, func(now time.Time) []Action {
		snap, err = r.replica.Snapshot(now)
		return nil
	})
	return snap, err
}

// Changes returns the most recent settings records, oldest first.
func (r *Runner) Changes(ctx context.Context) (changes []Change) {
	r.do(ctx, func(time.Time) []Action {
		changes = append(changes, r.history...)
		return nil
	})
	return changes
}

var errRunnerStopped = errors.New("replica: runner is stopped")

// propose appends a record and waits for its verdict. If check is not nil, it runs
// first in the runner's goroutine, and nothing is proposed when it returns false. The
// outcome's decided is false if the verdict is not known, for example because ctx ended
// first. Its sent then reports whether the record may be on the log.
func (r *Runner) propose(ctx context.Context, rec record.Record, check func(now time.Time) bool) outcome {
	data, err := record.Encode(rec)
	if err != nil {
		return outcome{}
	}
	answer := make(chan outcome, 1)
	proposed := false
	r.do(ctx, func(now time.Time) []Action {
		if check != nil && !check(now) {
			return nil
		}
		proposed = true
		r.waiters[rec.ID] = answer
		return r.replica.Propose(rec.ID, data, now)
	})
	if !proposed {
		return outcome{}
	}
	select {
	case o := <-answer:
		return o
	case <-r.stopped:
		return outcome{sent: true}
	case <-ctx.Done():
	}
	return r.abandon(rec.ID, answer)
}

// abandon withdraws a proposal whose caller stopped waiting. The replica emits its
// outcome immediately.
func (r *Runner) abandon(id record.ID, answer chan outcome) outcome {
	r.do(context.Background(), func(now time.Time) []Action {
		if _, waiting := r.waiters[id]; !waiting {
			return nil
		}
		return r.replica.Abandon(id, now)
	})
	select {
	case o := <-answer:
		return o
	case <-r.stopped:
		return outcome{sent: true}
	}
}

// ProposeSettings appends a settings change, waits until it is read back as valid and
// returns the branch's new version. The error is a *result.Error.
func (r *Runner) ProposeSettings(ctx context.Context, change record.Settings) (uint64, error) {
	view := r.View()
	if !view.LogUp {
		return 0, unavailable("the change was not sent to the log")
	}
	// A change that fails the checks here also fails them when it is read from the
	// log, unless this replica lags behind. Conflicts are detected only when the
	// record is read from the log.
	var invalid *settings.CheckError
	if err := view.Tree.Check(change); errors.As(err, &invalid) && view.Offset == view.HighestOffset {
		return 0, settingsError(err)
	}
	o := r.propose(ctx, record.Record{ID: r.cfg.NewID(), Kind: record.KindSettings, Settings: &change}, nil)
	switch {
	case o.decided && o.verdict.Valid():
		return o.verdict.Offset, nil
	case o.decided:
		return 0, settingsError(o.verdict.Err)
	case o.sent:
		return 0, result.New(result.SettingsOutcomeUnknown, result.OutcomeUnknown, "the log did not confirm the change; it may still become valid")
	}
	return 0, unavailable("the change was not sent to the log")
}

// unavailable returns the error for a call that failed because the log does not answer.
func unavailable(detail string) *result.Error {
	return result.New(result.LogUnavailable, result.NotRun, "the log does not answer; %s", detail).WithRetryAfter(outageRetryAfter)
}

// settingsError converts the error of a rejected settings change to a result error.
func settingsError(err error) *result.Error {
	var conflict *settings.ConflictError
	if errors.As(err, &conflict) {
		return result.New(result.SettingsConflict, result.NotRun, "%v", err).WithCause(err)
	}
	return result.New(result.SettingsInvalid, result.NotRun, "%v", err).WithCause(err)
}

// AcquireLease appends a lease record that builds on the epoch base, to acquire or
// renew the lease, and waits until the record is read back. ok reports whether the
// record is valid. epoch is then the lease's new epoch.
func (r *Runner) AcquireLease(ctx context.Context, resource string, base uint64) (epoch uint64, ok bool, err error) {
	l := record.Lease{Resource: resource, Holder: r.cfg.VM, Base: base}
	o := r.propose(ctx, record.Record{ID: r.cfg.NewID(), Kind: record.KindLease, Lease: &l}, nil)
	if !o.decided {
		return 0, false, unavailable("the lease record was not read back")
	}
	return o.verdict.Epoch, o.verdict.Valid(), nil
}
