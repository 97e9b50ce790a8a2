package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/pace"
	"github.com/cornelline/cornelline/pkg/stall"
)

// errDraining is the cause of ending a run on a chain with a server that is about to end, so
// that another run continues it before the chain stalls.
var errDraining = errors.New("server of the chain is about to end")

// errStalled is the cause of ending a run whose chain makes no progress; another run may
// continue it.
var errStalled = errors.New("chain makes no progress")

// errFirstServerDead is the cause of ending a run whose first server was found dead before the run's
// connection broke.
var errFirstServerDead = errors.New("first server of the chain is dead")

// run is one run of a generation on a chain.
type run struct {
	// chain is the chain with which the run began. Its first server never changes.
	chain *chain.Chain
	// path is the chain as it is now.
	path      runPath
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// eventOffset is the time from startedAt to the last event, in nanoseconds; 0 before
	// the first event.
	eventOffset atomic.Int64
	// produced counts the events that arrived, and events those of them that the caller had not got
	// from an earlier run.
	produced, events atomic.Int64
	// lastNumber is the number of the last event that the caller got; 0 if events have none.
	lastNumber atomic.Uint64
	// firstEventAt is when the first event arrived.
	firstEventAt time.Time
	// firstEvents is the number of events that arrived then.
	firstEvents int64
	// eventsBefore is the number of events that earlier runs of the generation sent to the caller.
	eventsBefore int64
	// lastEventAt is when the last events arrived.
	lastEventAt time.Time
	// sound is set once the run has gone on for soundAfter since then.
	sound bool
	// stallRun is the record of the run for stall detection. Only the control goroutine uses
	// it.
	stallRun stall.Run
	// attemptsBefore is the number of the route's attempts that earlier runs of the generation used up.
	attemptsBefore int
	// failedMoves counts the moves of the run that failed, although the request may have run on the other
	// chain. Each uses up an attempt.
	failedMoves atomic.Int64
	// generation is the request that the run serves.
	generation *generation
	// parts identify the request and the shared parts of its prompt while the run is in pendingRuns.
	parts []crashcause.Part
	// replacement is the chain that was reserved to replace this one, or runEnded once the run has ended.
	replacement atomic.Pointer[replacement]
	// nextMigrationAt is the earliest time of the next attempt to reserve such a chain. Only
	// the control goroutine uses it.
	nextMigrationAt time.Time
	// reroute is the state of changes of the path. Only the control goroutine uses it.
	reroute rerouteState
}

// runEnded is the value of replacement after the run has ended. No chain may then be reserved
// for the run, because nothing would release it.
var runEnded = new(replacement)

// newRun returns a run of a generation on a chain, given the number of events that earlier runs sent to
// the caller and of the attempts that they used up.
func newRun(g *generation, c *chain.Chain, eventsBefore int64, attemptsBefore int) *run {
	r := &run{chain: c, path: runPath{current: c}, generation: g, startedAt: time.Now(), eventsBefore: eventsBefore, attemptsBefore: attemptsBefore}
	r.stallRun = stall.Run{ExpectedFirstEvent: c.ExpectedFirstEvent, GapObjective: g.route.GapObjective, LastEvent: r.startedAt}
	r.stallRun.Stages, r.stallRun.DataCentres = stageServers(c.Stages)
	return r
}

// lastActivity returns the time of the last event, or of the start before the first event.
// It is derived from the monotonic clock, because the wall clock may jump.
func (r *run) lastActivity() time.Time { return r.startedAt.Add(time.Duration(r.eventOffset.Load())) }

// hasProgress reports whether the caller has got events of the run, so that another run can begin after
// them while this one goes on.
func (r *run) hasProgress() bool { return r.events.Load() > 0 && r.lastNumber.Load() > 0 }

// isResumable reports whether another run may continue the stream.
func (r *run) isResumable() bool {
	return r.generation.mayRunAfter(r.attemptsBefore + int(r.failedMoves.Load()) + 1)
}

// recordEvents records events that arrived at now, of which the caller had got some before, and reports
// whether they are the first ones.
func (r *run) recordEvents(now time.Time, events, repeated int) (first bool) {
	r.events.Add(int64(events))
	first = r.produced.Add(int64(events+repeated)) == int64(events+repeated)
	r.eventOffset.Store(int64(now.Sub(r.startedAt)))
	if first {
		r.firstEventAt, r.firstEvents = now, int64(events+repeated)
	}
	r.lastEventAt = now
	return first
}

// measured returns how long the run took so far, or false if it had too few events to tell the
// time per token.
func (r *run) measured(tokensPerEvent int) (pace.Expectation, bool) {
	following := r.produced.Load() - r.firstEvents
	if following <= 0 {
		return pace.Expectation{}, false
	}
	tokens := time.Duration(following) * time.Duration(max(tokensPerEvent, 1))
	return pace.Expectation{FirstEvent: r.firstEventAt.Sub(r.startedAt), Step: r.lastEventAt.Sub(r.firstEventAt) / tokens}, true
}

// becameSound reports whether the events at now are the ones that show that the run is sound.
func (r *run) becameSound(now time.Time) bool {
	if r.sound || now.Sub(r.firstEventAt) < soundAfter {
		return false
	}
	r.sound = true
	return true
}

// firstInstance returns the incarnation of the first server of the run's chain.
func (r *run) firstInstance() notice.Instance {
	first := r.chain.Stages[0]
	return notice.InstanceOf(first.Server, first.StartedAt)
}

// markEnded marks the run as ended and returns the chain that was reserved to replace its
// chain, if any. The caller must use or drop it.
func (r *run) markEnded() *replacement {
	if next := r.replacement.Swap(runEnded); next != runEnded {
		return next
	}
	return nil
}

// runSet holds the runs in progress. It is safe for concurrent use.
type runSet struct {
	mu   sync.Mutex
	runs map[*run]struct{}
}

func newRunSet() *runSet { return &runSet{runs: make(map[*run]struct{})} }

func (s *runSet) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r] = struct{}{}
}

func (s *runSet) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

func (s *runSet) all(out []*run) []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.runs {
		out = append(out, r)
	}
	return out
}

// checkRuns looks for runs that make no progress. It probes the servers of such a run on
// which no other run has made progress since. A run through a server that was found dead, left a
// probe unanswered or is about to end goes on without it by a change of its path. Where that is not
// possible, and after a stall of unknown cause, another run continues it on another chain (see leave).
func (c *control) checkRuns(now time.Time) {
	runs := c.g.activeRuns.all(nil)
	watched := make([]*stall.Run, len(runs))
	for i, r := range runs {
		r.stallRun.LastEvent, r.stallRun.Events = r.lastActivity(), r.produced.Load()
		watched[i] = &r.stallRun
	}
	c.stallWatch.Check(now, watched)
	defer c.scheduleStallCheck(now)
	health := serverHealth{c.health}
	ending := c.endingServers(now)
	blamedServers := make(map[fleet.UpstreamID]bool)
	for _, r := range runs {
		if health.Dead(r.chain.Stages[0].Server) && r.isStarting() { // it may be the cause
			r.cancel(errFirstServerDead)
			continue
		}
		leave, certain := c.serversToLeave(now, r, health, ending)
		for id := range leave {
			if !ending[id] && !blamedServers[id] {
				blamedServers[id] = true
				r.generation.gate.recordRefusal(id)
			}
		}
		if c.continueOnItsChain(now, r, leave, certain) {
			continue
		}
		cause := error(nil)
		blamed, stalled := c.stallWatch.Stalled(now, &r.stallRun, health)
		switch {
		case len(ending) > 0 && passesThroughEnding(r, ending):
			cause = errDraining
		case r.reroute.mustMove:
			cause = errRerouteFailed
		case stalled:
			cause = errStalled
			if blamed != "" {
				cause = fmt.Errorf("%w: %s is %s", errStalled, blamed, health.failureState(blamed))
			}
		}
		if blamed != "" && !blamedServers[blamed] {
			// Exclude the server until it is ejected or has answered, so that neither this
			// run nor new ones use it meanwhile.
			blamedServers[blamed] = true
			r.generation.gate.recordRefusal(blamed)
		}
		if cause != nil && r.isResumable() && now.After(r.nextMigrationAt) {
			r.nextMigrationAt = now.Add(migrationRetryInterval)
			d := departure{cause: cause, spendBudget: r.generation.spendForResume}
			if isMigration(cause) {
				d.spendBudget = r.generation.spendForMigration
			}
			if c.leave(r, d) {
				r.nextMigrationAt = now.Add(moveRetryInterval)
				continue
			}
		}
		for _, id := range append(c.stallWatch.EarlySuspects(now, &r.stallRun), c.stallWatch.Suspects(now, &r.stallRun)...) {
			c.applyHealthActions(now, c.health.RecordSilent(now, id, nil))
		}
	}
}

// serversToLeave returns the servers of a run's chain that it should leave, and whether one of them
// is known to be dead or about to end.
func (c *control) serversToLeave(now time.Time, r *run, health serverHealth, ending map[fleet.UpstreamID]bool) (leave map[fleet.UpstreamID]bool, certain bool) {
	list, certain := c.stallWatch.ToLeave(now, &r.stallRun, health)
	if len(ending) > 0 && passesThroughEnding(r, ending) {
		certain = true
		for _, stage := range r.path.current.Stages {
			if ending[stage.Server] {
				list = append(list, stage.Server)
			}
		}
	}
	if len(list) == 0 {
		return nil, false
	}
	leave = make(map[fleet.UpstreamID]bool, len(list))
	for _, id := range list {
		leave[id] = true
	}
	return leave, certain
}

// serverHealth tells stall detection which servers are dead.
type serverHealth struct{ *outlier.Detector }

// failureState names the reason why a server is blamed.
func (h serverHealth) failureState(id fleet.UpstreamID) string {
	if h.Dead(id) {
		return "unreachable"
	}
	return "silent"
}

// Dead reports whether a server was found dead. A server that was ejected for failed
// requests may still run the ones that it has begun.
func (h serverHealth) Dead(id fleet.UpstreamID) bool { return h.IsUnreachable(id) }

// migrationRetryInterval is the time between two attempts to reserve another chain for the
// same run. Some of the generations that hold the memory end in the meantime.
const migrationRetryInterval = 500 * time.Millisecond

// migrateAfterShare is the share of the drain time after which runs migrate from a draining
// server. Most generations have ended by then.
const migrateAfterShare = 0.7

// spendForResume takes one retry from the retry budget for a run whose chain has stalled.
func (g *generation) spendForResume() bool { return g.spendRetry(g.service, "stalled") }

// spendForMigration takes one retry from the retry budget for a run that migrates from a
// draining server.
func (g *generation) spendForMigration() bool { return g.spendRetryBudget(g.service, "draining", true) }

// reserveReplacement reserves another chain, without any server in avoid, for a run and reports
// whether it did. The run ends before another one begins there, unless m is given: then it ends once m
// has begun. If none is available, this VM does not begin the run there because it stops, or the
// retry budget is used up, the run stays on its chain, which may recover; otherwise its server ends
// the run.
func (g *generation) reserveReplacement(r *run, m *move, spendBudget func() bool, avoid map[fleet.UpstreamID]bool) bool {
	if r.replacement.Load() != nil || g.timeRemaining() < minRunTime {
		return false
	}
	events := r.eventsBefore + r.events.Load()
	next, failure := g.gate.reserveAnother(g.continuation(events), avoid)
	if failure != chain.NoFailure {
		return false
	}
	if !g.beginsRun(next, events) || !spendBudget() {
		g.gate.release(g.request, next)
		return false
	}
	if m != nil {
		m.prepare(r, next)
	}
	if !r.replacement.CompareAndSwap(nil, &replacement{chain: next, move: m}) { // the run ended in the meantime
		g.gate.release(g.request, next)
		if m != nil {
			m.cancel(nil)
		}
		return false
	}
	g.gate.recordRetry()
	return true
}

// endingServers returns the servers that have drained for so long that they may end soon.
func (c *control) endingServers(now time.Time) map[fleet.UpstreamID]bool {
	var list map[fleet.UpstreamID]bool
	after := time.Duration(migrateAfterShare * float64(c.g.platformBounds.Load().MinDrain))
	for id, since := range c.drainingSince {
		if now.Sub(since) < after {
			continue
		}
		if list == nil {
			list = make(map[fleet.UpstreamID]bool)
		}
		list[id] = true
	}
	return list
}

// passesThroughEnding reports whether a server other than the first one of a run's chain is
// in ending. The end of the first server is visible at once on its connection; the end of
// another one stalls the chain.
func passesThroughEnding(r *run, ending map[fleet.UpstreamID]bool) bool {
	for _, stage := range r.path.current.Stages[1:] {
		if ending[stage.Server] {
			return true
		}
	}
	return false
}
