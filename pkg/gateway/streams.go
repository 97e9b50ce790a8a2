package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// errDraining ends a run on a chain with a server that is about to end, so that
// another run continues it before the chain stalls.
var errDraining = errors.New("server of the chain is about to end")

// errStalled ends a run whose chain makes no progress; another run may continue it.
var errStalled = errors.New("chain makes no progress")

const (
	// suspectAfter is the time without an event after which the servers of a chain
	// are probed. Steps take some tens of milliseconds; a chain under load pauses
	// for prompts up to about the longest pause that is on time, 200 to 250 ms.
	suspectAfter = 500 * time.Millisecond
	// moveAfter is the time without an event after which a run is given up though
	// no server of its chain was found dead. Callers leave after 2 s.
	moveAfter = 1500 * time.Millisecond
	// firstFactor multiplies both for the first event, before which a prompt may
	// wait in the chain's batches.
	firstFactor = 1.2
)

// run is one run of a generation on a chain.
type run struct {
	chain  *chain.Chain
	cancel context.CancelCauseFunc
	// lastEvent is the time of the last event in nanoseconds, of the start before
	// the first one.
	lastEvent atomic.Int64
	events    atomic.Int64
	// counted is the number of events at the last sweep; only the control goroutine uses it.
	counted   int64
	suspected time.Time
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
	for _, r := range runs {
		if events := r.events.Load(); events > r.counted {
			r.counted = events
			for _, stage := range r.chain.Stages {
				c.progress[stage.Server] = now
			}
		}
	}
	dead := c.g.view.Load().dead
	ending := c.ending(now)
	for _, r := range runs {
		if r.movable && len(ending) > 0 && now.After(r.moveAt) && passesThrough(r, ending) {
			r.moveAt = now.Add(movePause)
			if r.generation.reserveNext(r, r.generation.mayMove) {
				r.cancel(errDraining)
				continue
			}
		}
		last := time.Unix(0, r.lastEvent.Load())
		still := now.Sub(last)
		if r.events.Load() == 0 {
			still = time.Duration(float64(still)/firstFactor) - r.chain.FirstEvent
		}
		if still < controlTick {
			continue
		}
		if r.movable && now.After(r.moveAt) && (still > moveAfter || onDead(r, dead)) {
			r.moveAt = now.Add(movePause)
			if r.generation.reserveNext(r, r.generation.mayResume) {
				r.cancel(errStalled)
				continue
			}
		}
		if still > suspectAfter && now.Sub(r.suspected) > suspectAfter {
			r.suspected = now
			c.suspectStages(now, r, last)
		}
	}
}

// movePause is the time between two looks for another chain for the same run: some
// of the generations that hold the memory end meanwhile.
const movePause = 500 * time.Millisecond

// drainShare is the part of the drain time after which runs leave a draining
// server. Most generations have ended by then.
const drainShare = 0.7

// mayResume takes one send for a run whose chain stands still.
func (g *generation) mayResume() bool { return g.mayRepeat(g.service, "stalled") }

// mayMove takes one send for a run that leaves a server.
func (g *generation) mayMove() bool { return g.takeRepeat(g.g.moves, g.service, "draining") }

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

// suspectStages probes the servers of a chain on which nothing made progress
// since the chain's last event.
func (c *control) suspectStages(now time.Time, r *run, last time.Time) {
	for _, stage := range r.chain.Stages {
		if progress, ok := c.progress[stage.Server]; ok && progress.After(last.Add(2*controlTick)) {
			continue
		}
		c.act(now, c.health.Silent(now, stage.Server, nil))
	}
}

func onDead(r *run, dead map[fleet.UpstreamID]bool) bool {
	for _, stage := range r.chain.Stages {
		if dead[stage.Server] {
			return true
		}
	}
	return false
}
