package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/stall"
)

// errDraining ends a run on a chain with a server that is about to end, so that
// another run continues it before the chain stalls.
var errDraining = errors.New("server of the chain is about to end")

// errStalled ends a run whose chain makes no progress; another run may continue it.
var errStalled = errors.New("chain makes no progress")

// run is one run of a generation on a chain.
type run struct {
	chain  *chain.Chain
	cancel context.CancelCauseFunc
	began  time.Time
	// lastEvent is the time of the last event after began, in nanoseconds: 0 before the
	// first one.
	lastEvent atomic.Int64
	events    atomic.Int64
	// watched is what the control goroutine knows of the run.
	watched stall.Run
	// movable is set when another run may take over.
	movable bool
	// generation is the request that it runs.
	generation *generation
	// next is the chain that was reserved before the run was ended for it, runEnded
	// once the run has ended.
	next atomic.Pointer[chain.Chain]
	// moveAt is the earliest time of the next look for such a chain; only the
	// control goroutine uses it.
	moveAt time.Time
}

// runEnded marks a run for which no chain may be reserved any more: nobody would
// release it.
var runEnded = new(chain.Chain)

// newRun returns a run of a generation on a chain.
func newRun(g *generation, c *chain.Chain) *run {
	r := &run{chain: c, generation: g, began: time.Now()}
	r.movable = g.route.Resumable && g.runs+1 < max(g.route.Attempts, 1)
	r.watched = stall.Run{FirstEvent: c.FirstEvent, Gap: g.route.GapObjective, Last: r.began}
	for _, stage := range c.Stages {
		r.watched.Stages = append(r.watched.Stages, stage.Server)
	}
	return r
}

// last returns the time of the last event, of the start before the first one. It is on
// the steady clock: the time of day may jump.
func (r *run) last() time.Time { return r.began.Add(time.Duration(r.lastEvent.Load())) }

// note books events that came now.
func (r *run) note(now time.Time, events int) (first bool) {
	first = r.events.Add(int64(events)) == int64(events)
	r.lastEvent.Store(int64(now.Sub(r.began)))
	return first
}

// end marks the run as ended and returns the chain that was reserved for the next one.
func (r *run) end() *chain.Chain { return r.next.Swap(runEnded) }

// streams are the runs in progress.
type streams struct {
	mu   sync.Mutex
	runs map[*run]struct{}
}

func newStreams() *streams { return &streams{runs: make(map[*run]struct{})} }

func (s *streams) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r] = struct{}{}
}

func (s *streams) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

func (s *streams) all(out []*run) []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.runs {
		out = append(out, r)
	}
	return out
}

// sweep looks for runs that make no progress. Servers on which no run has made
// progress since are probed; runs on a server that was found dead, or that stand
// still for too long, go on with another chain once one is reserved for them.
func (c *control) sweep(now time.Time) {
	runs := c.g.streams.all(nil)
	watched := make([]*stall.Run, len(runs))
	for i, r := range runs {
		r.watched.Last, r.watched.Events = r.last(), r.events.Load()
		watched[i] = &r.watched
	}
	c.stall.Observe(watched)
	health := serverHealth{c.health}
	ending := c.ending(now)
	blames := make(map[fleet.UpstreamID]bool)
	for _, r := range runs {
		why := error(nil)
		blamed, stalled := c.stall.Stalled(now, &r.watched, health)
		switch {
		case len(ending) > 0 && passesThrough(r, ending):
			why = errDraining
		case stalled:
			why = errStalled
			if blamed != "" {
				why = fmt.Errorf("%w: %s is %s", errStalled, blamed, health.finding(blamed))
			}
		}
		if blamed != "" && !blames[blamed] {
			// It is out of use until it is ejected or has answered, so that neither this run nor
			// new ones go there meanwhile.
			blames[blamed] = true
			r.generation.gate.refused(blamed)
		}
		if why != nil && r.movable && now.After(r.moveAt) {
			r.moveAt = now.Add(movePause)
			allowed := r.generation.mayResume
			if errors.Is(why, errDraining) {
				allowed = r.generation.mayMove
			}
			if r.generation.reserveNext(r, allowed) {
				r.cancel(why)
				continue
			}
		}
		for _, id := range c.stall.Suspects(now, &r.watched) {
			c.act(now, c.health.Silent(now, id, nil))
		}
	}
}

// serverHealth is what stall asks of the servers.
type serverHealth struct{ *outlier.Detector }

// finding says why a server is blamed.
func (h serverHealth) finding(id fleet.UpstreamID) string {
	if h.Dead(id) {
		return "unreachable"
	}
	return "silent"
}

// Dead reports whether a server was found dead. One that fails requests may still run those
// that it has begun.
func (h serverHealth) Dead(id fleet.UpstreamID) bool { return h.Unreachable(id) }

// movePause is the time between two looks for another chain for the same run: some
// of the generations that hold the memory end meanwhile.
const movePause = 500 * time.Millisecond

// drainShare is the part of the drain time after which runs leave a draining
// server. Most generations have ended by then.
const drainShare = 0.7

// mayResume takes one send for a run whose chain stands still.
func (g *generation) mayResume() bool { return g.mayRepeat(g.service, "stalled") }

// mayMove takes one send for a run that leaves a server.
func (g *generation) mayMove() bool { return g.takeRepeat(g.service, "draining", true) }

// reserveNext reserves another chain for a run. Without one, or beyond the retry
// budget, the run stays where it is: its chain may go on, and its server ends it
// otherwise.
func (g *generation) reserveNext(r *run, allowed func() bool) bool {
	if r.next.Load() != nil || g.left() < leastGeneration {
		return false
	}
	next, failure := g.gate.again(g.request, nil)
	if failure != chain.NoFailure {
		return false
	}
	if !allowed() {
		g.gate.release(g.request, next)
		return false
	}
	if !r.next.CompareAndSwap(nil, next) { // the run ended meanwhile
		g.gate.release(g.request, next)
		return false
	}
	return true
}

// ending returns the servers that have drained for so long that they may end soon.
func (c *control) ending(now time.Time) map[fleet.UpstreamID]bool {
	var list map[fleet.UpstreamID]bool
	after := time.Duration(drainShare * float64(c.g.bounds.Load().Drain))
	for id, since := range c.drains {
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

// passesThrough reports whether a server other than the first of a run's chain is
// among those ending. The end of the first one shows at once on its connection;
// that of another one stalls the chain.
func passesThrough(r *run, ending map[fleet.UpstreamID]bool) bool {
	for _, stage := range r.chain.Stages[1:] {
		if ending[stage.Server] {
			return true
		}
	}
	return false
}
