package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/platform"
)

const (
	// maxRerouteOrders bounds the orders that change the chain of one run. Several engines may end
	// one after the other, and each may be replaced by one that has no memory left.
	maxRerouteOrders = 5
	// rerouteOrderTimeout bounds an order that changes a chain. The caller accepts a pause of a few
	// hundred milliseconds, of which a part has passed.
	rerouteOrderTimeout = 120 * time.Millisecond
	// rerouteEventMargin is the time beyond twice the expected read within which the next event
	// must arrive after an accepted order. The new engines read the tokens of other runs as well
	// that passed through the same engine. A run that moves instead reads all of its tokens on all
	// engines of another chain, which are as busy.
	rerouteEventMargin = 400 * time.Millisecond
	// minReroutePause is the shortest pause that a change of a path takes from the order to the next
	// event; 60 to 90 ms on the bench, for the passes that the engines run.
	minReroutePause = 70 * time.Millisecond
	// minCrowdedRead is the time for reads that remains at least, so that some runs change their
	// paths in any case.
	minCrowdedRead = 30 * time.Millisecond
	// rerouteRetryInterval is the time between two searches for a path of the same run.
	rerouteRetryInterval = 200 * time.Millisecond
	// uncertainReroutesPerSecond and uncertainRerouteBurst bound the orders of this VM for engines
	// that only left a probe unanswered, so that a fault of its own network moves few runs. The
	// burst covers the runs of a VM through one engine.
	uncertainReroutesPerSecond = 5
	uncertainRerouteBurst      = 20
	// minStallCheckInterval is the least time between two checks of the runs that a timer starts.
	minStallCheckInterval = 10 * time.Millisecond
)

// errRerouteFailed is the cause of ending a run whose chain was changed without effect, so that
// another run may continue it.
var errRerouteFailed = fmt.Errorf("%w after the change of its path", errStalled)

// errRerouteCrowded is the cause of ending a run whose new path would be crowded.
var errRerouteCrowded = fmt.Errorf("%w: the engines of another path are crowded", errStalled)

// runPath is the path of a run. The control goroutine changes it while the run goes on; the
// goroutine of the request ends it.
type runPath struct {
	mu      sync.Mutex
	current *chain.Chain
	// pending is the path of an order without a known result; nil if there is none.
	pending *chain.Chain
	ended   bool
}

// begin records a pending path. It returns false if the run has ended.
func (p *runPath) begin(next *chain.Chain) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.pending != nil {
		return false
	}
	p.pending = next
	return true
}

// finish ends a pending path: the run adopts it, or its memory is released. It returns false if
// the run has ended, whose end releases everything.
func (p *runPath) finish(g *gate, next *chain.Chain, adopt bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.pending != next {
		return false
	}
	p.pending = nil
	if !adopt {
		g.releasePending(next)
		return true
	}
	if !g.adopt(next) {
		g.releasePending(next)
		return false
	}
	p.current = next
	return true
}

// end ends the path with its run and returns the chains to release; pending is nil if there is
// none.
func (p *runPath) end() (current, pending *chain.Chain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	return p.current, p.pending
}

// currentStages returns the stages of a run's chain as it is now.
func (r *run) currentStages() []chain.Stage {
	r.path.mu.Lock()
	defer r.path.mu.Unlock()
	return r.path.current.Stages
}

// changedPath reports whether the chain of a run has changed since its start.
func (r *run) changedPath() bool {
	r.path.mu.Lock()
	defer r.path.mu.Unlock()
	return r.path.current != r.chain
}

// release releases the chain of a run that has ended, as it is now.
func (r *run) release() {
	current, pending := r.path.end()
	if pending != nil {
		r.generation.gate.releasePending(pending)
	}
	r.generation.gate.release(r.generation.request, current)
}

// reroute reserves a path for a run that must leave servers.
func (g *gate) reroute(now time.Time, c *chain.Chain, avoid map[fleet.UpstreamID]bool, contextTokens int) (*chain.Chain, chain.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chains.Reroute(now, c, avoid, contextTokens)
}

// adopt makes a pending path the reservation of its run.
func (g *gate) adopt(next *chain.Chain) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chains.Adopt(next)
}

// releasePending releases the memory of a pending path. The tokens of the team stay counted for
// the chain that it was to replace.
func (g *gate) releasePending(next *chain.Chain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.Release(next)
}

// rerouteState is what the control goroutine knows of the changes of a run's path.
type rerouteState struct {
	orders int
	// refused holds the servers that had no room for the run, and those that it left.
	refused map[fleet.UpstreamID]bool
	// next is the path of the last order; nil once its outcome is known.
	next *chain.Chain
	// inFlight is set until the order is answered.
	inFlight  bool
	orderedAt time.Time
	// eventsBefore is the number of the run's events when the order was sent.
	eventsBefore int64
	// silence is how long the run had been silent then.
	silence time.Duration
	// deadline is when the run moves to another chain if no event has arrived since.
	deadline time.Time
	// nextAt is the earliest time of the next search.
	nextAt time.Time
	// failed is set once an order had no effect: the path is not changed again.
	failed bool
	// mustMove is set if the run is to move to another chain without further evidence.
	mustMove bool
}

// stageServers returns the servers of a list of stages.
func stageServers(stages []chain.Stage) (ids []fleet.UpstreamID, dataCentres []fleet.DataCentreID) {
	for _, stage := range stages {
		ids, dataCentres = append(ids, stage.Server), append(dataCentres, stage.DataCentre)
	}
	return ids, dataCentres
}

// continueOnItsChain reports whether a run goes on, or is expected to go on, on its chain: its path
// has just been changed, or is changed now. leave holds the servers that it should leave; certain
// says that one of them is known to be dead or about to end.
func (c *control) continueOnItsChain(now time.Time, r *run, leave map[fleet.UpstreamID]bool, certain bool) bool {
	s := &r.reroute
	if s.mustMove && r.produced.Load() > s.eventsBefore { // the order had its effect after all
		s.mustMove = false
	}
	switch {
	case s.next != nil && r.produced.Load() > s.eventsBefore:
		c.endReroute(now, r, "resumed", nil)
	case s.next != nil && now.After(s.deadline):
		s.failed, s.mustMove = true, true
		result := "no_event"
		if s.inFlight {
			result = "unknown"
		}
		c.endReroute(now, r, result, nil)
	case s.inFlight:
		return true
	}
	if len(leave) > 0 && c.orderReroute(now, r, leave, certain) {
		return true
	}
	return s.next != nil
}

// orderReroute reserves a path without some servers for a run and orders the first engine of its
// chain to use it. It reports whether it did.
func (c *control) orderReroute(now time.Time, r *run, leave map[fleet.UpstreamID]bool, certain bool) bool {
	s, g := &r.reroute, r.generation
	token := c.g.highestToken.Load()
	switch {
	case s.failed || s.orders >= maxRerouteOrders || now.Before(s.nextAt) || r.replacement.Load() != nil:
		return false
	case g.timeRemaining() < minRunTime || g.isKnownToCrash() || c.rerouteFenced && token <= c.rerouteRefusedToken:
		return false
	}
	s.nextAt = now.Add(rerouteRetryInterval)
	avoid := make(map[fleet.UpstreamID]bool, len(leave)+len(s.refused))
	for id := range leave {
		avoid[id] = true
	}
	for id := range s.refused {
		avoid[id] = true
	}
	old := r.path.current // only this goroutine changes it
	for _, stage := range old.Stages[1:] {
		if _, draining := c.drainingSince[stage.Server]; draining { // it refuses the new path, also for a part that it has
			avoid[stage.Server] = true
		}
	}
	next, failure := g.gate.reroute(now, old, avoid, r.contextTokens())
	if failure != chain.NoFailure {
		c.g.stats.Count("reroutes", "result", "no_path")
		return false
	}
	if !certain && !c.uncertainReroutes.AllowN(now, 1) {
		g.gate.releasePending(next)
		c.g.stats.Count("reroutes", "result", "limited")
		return false
	}
	if s.orders == 0 && r.isResumable() && c.isCrowded(r, next, now) {
		for _, stage := range next.AddedStages() {
			avoid[stage.Server] = true
		}
		if c.leave(r, departure{cause: errRerouteCrowded, spendBudget: g.spendForResume, avoid: avoid}) {
			g.gate.releasePending(next)
			c.g.stats.Count("reroutes", "result", "crowded")
			return true
		}
	}
	if _, unavailable := c.g.notices.firstUnavailable(now, next.AddedStages()); unavailable || !r.path.begin(next) {
		g.gate.releasePending(next)
		return false
	}
	if s.next != nil { // an engine of the path that was accepted last has ended as well
		c.endReroute(now, r, "superseded", nil)
	}
	s.orders++
	s.next, s.inFlight, s.orderedAt, s.eventsBefore, s.silence = next, true, now, r.produced.Load(), now.Sub(r.lastActivity())
	s.deadline = now.Add(2 * rerouteOrderTimeout) // the answer may not reach this goroutine
	if s.refused == nil {
		s.refused = make(map[fleet.UpstreamID]bool)
	}
	for id := range leave {
		s.refused[id] = true
	}
	first := next.Stages[0]
	c.g.spawn("reroute", func() {
		ctx, cancel := context.WithTimeout(c.g.runCtx, rerouteOrderTimeout)
		defer cancel()
		result, fault, notice, err := c.g.servers.Repath(ctx, first.Address, first.Server, platform.Repath{
			Request: g.caller.ID, Chain: platformStages(next), FencingToken: token,
		})
		c.g.recordNotice(first.Server, first.StartedAt, notice)
		c.post(func(now time.Time) { c.recordRepath(now, r, next, token, result, fault, err) })
	})
	return true
}

// isCrowded reports whether a run should move to another chain because the engines of its new path
// could not read the tokens of all runs that need them within the pause that callers accept. Runs
// that move are drawn at random, as many as are too many.
func (c *control) isCrowded(r *run, next *chain.Chain, now time.Time) bool {
	left := r.generation.route.GapObjective - now.Sub(r.lastActivity()) - minReroutePause
	return r.generation.route.GapObjective > 0 && float64(max(left, minCrowdedRead)) < random()*float64(next.ExpectedQueue)
}

// recordRepath records the answer to an order that changes the path of a run.
func (c *control) recordRepath(now time.Time, r *run, next *chain.Chain, token uint64, result platform.RepathResult, fault string, err error) {
	s, g := &r.reroute, r.generation
	if s.next != next || !s.inFlight { // too late
		return
	}
	s.inFlight = false
	switch result {
	case platform.RepathAccepted:
		s.deadline = now.Add(2*next.ExpectedRead + rerouteEventMargin)
		if r.path.finish(g.gate, next, true) {
			r.stallRun.Stages, r.stallRun.DataCentres = stageServers(next.Stages)
		}
		return // endReroute is called with the next event
	case platform.RepathUnknown:
		// The engine may carry the order out, so that the memory stays reserved until the run ends.
		s.failed, s.mustMove = true, true
		c.endReroute(now, r, result.String(), err)
		return
	case platform.RepathFenced:
		c.rerouteFenced, c.rerouteRefusedToken = true, token
		s.failed = true
	case platform.RepathConflict:
		s.nextAt = now
		id, known := c.g.view.Load().byAddress[fault]
		s.failed = !known || s.refused[id]
		if known {
			s.refused[id] = true
			g.gate.recordRefusal(id)
			c.applyHealthActions(now, c.health.RecordSilent(now, id, nil)) // it may have ended as well
		}
	case platform.RepathNotFound:
		s.failed, s.mustMove = true, true
	default:
		s.failed = true
	}
	r.path.finish(g.gate, next, false)
	c.endReroute(now, r, result.String(), err)
	if result == platform.RepathConflict {
		c.checkRuns(now)
	}
}

// endReroute logs and counts the outcome of an order that changed a path.
func (c *control) endReroute(now time.Time, r *run, result string, err error) {
	s := &r.reroute
	added, _ := stageServers(s.next.AddedStages())
	left := make([]string, 0, len(s.refused))
	for id := range s.refused {
		left = append(left, string(id))
	}
	slices.Sort(left)
	names := make([]string, len(added))
	for i, id := range added {
		names[i] = string(id)
	}
	c.g.stats.Count("reroutes", "result", result)
	c.g.log.Log(event.RunRerouted).Str("request", string(r.generation.caller.ID)).Str("result", result).Strs("without", left).Strs("added", names).
		Int64("silent_ms", s.silence.Milliseconds()).Int64("took_ms", now.Sub(s.orderedAt).Milliseconds()).
		Int64("expected_read_ms", s.next.ExpectedRead.Milliseconds()).Int("orders", s.orders).AnErr("cause", err).Send()
	s.next, s.inFlight = nil, false
}

// contextTokens returns the number of tokens that the servers of a run have read and written.
func (r *run) contextTokens() int {
	g := r.generation
	return g.request.Need.PromptTokens + int(r.eventsBefore+r.events.Load())*max(g.service.Engine.TokensPerEvent, 1)
}

// isKnownToCrash reports whether requests like this one are known to crash upstreams. No further
// engine is given such a request.
func (g *generation) isKnownToCrash() bool {
	f := g.gateway.crashFilter.Load()
	if f == nil || !f.RefusesAny() {
		return false
	}
	_, found := f.Match(g.allParts())
	return found
}

// scheduleStallCheck sets the timer for the next check of the runs.
func (c *control) scheduleStallCheck(now time.Time) {
	if next, ok := c.stallWatch.NextCheck(now); ok && c.stallTimer != nil {
		c.stallTimer.Reset(max(next.Sub(now), minStallCheckInterval))
	}
}

// newUncertainReroutes returns the limit of the orders for engines that are not known to be dead.
func newUncertainReroutes() *rate.Limiter {
	return rate.NewLimiter(uncertainReroutesPerSecond, uncertainRerouteBurst)
}

// isMigration reports whether a run leaves its chain because a server of it is about to end.
func isMigration(cause error) bool { return errors.Is(cause, errDraining) }
