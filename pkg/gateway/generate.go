package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/cost"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/eventstream"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/result"
)

const (
	// minFirstEventWait is the least time that callers are expected to wait for the first
	// event (see firstEventWait).
	minFirstEventWait = 2 * time.Second
	// objectiveWaitFactor is the number of objectives that callers wait at least for the first
	// event.
	objectiveWaitFactor = 4
	// gapWaitFactor is the number of gap objectives that callers wait at least for the first
	// event.
	gapWaitFactor = 8
	// postQueueReserve is the part of firstEventWait reserved for the time after the queue:
	// producing the first event and delivering it. dispatch subtracts a delivery time of its
	// own from what remains.
	postQueueReserve = 400 * time.Millisecond
	// maxChainRefusals is the number of refusals by chains after which a request is still
	// retried. It does not apply to a stream that has started.
	maxChainRefusals = 4
	// chainSearchTimeout bounds the search for another chain after a run failed. A stream that
	// has started searches longer (see awaitRetryChain). The time is long enough for an engine
	// to load a few layers.
	chainSearchTimeout = 1200 * time.Millisecond
	// chainSearchInterval is the time between two attempts to reserve a chain.
	chainSearchInterval = 100 * time.Millisecond
	// minRunTime is the shortest remaining time in which another run is attempted.
	minRunTime = 300 * time.Millisecond
)

// generation is a streamed request that is being served.
type generation struct {
	*call
	service *catalog.Service
	gate    *gate
	request dispatch.Request
	// likely is what the length of the answer is estimated from.
	likely cost.Request
	// resumedTokens is the number of answer tokens that the caller had before.
	resumedTokens int
	splitter      eventstream.Splitter
	// avoidedUpstreams holds the upstreams that refused or failed this generation or were
	// unavailable for it. It is cleared when no chain is left without them.
	avoidedUpstreams map[fleet.UpstreamID]bool
	// headerSent is set once the header of the answer has been sent to the caller.
	headerSent bool
	// timeToFirstEvent is the time from the arrival to the first event.
	timeToFirstEvent time.Duration
	// lastEventAt is when the last events arrived.
	lastEventAt time.Time
	// eventsForwarded counts the events that ended runs have sent to the caller.
	eventsForwarded int64
	// longestGap is the longest time between two arrivals of events.
	longestGap time.Duration
	// unknownRuns counts the runs that ended with an unknown outcome.
	unknownRuns int
	// attempts counts those of them that use up the route's attempts. Runs that a server broke off as
	// it ended according to plan do not, as they say nothing about the request.
	attempts int
	// refusals counts the runs that a chain refused or that could not start.
	refusals int
	// queueWait is the time that the request spent in the queue.
	queueWait time.Duration
}

// serveGeneration serves a request for a service with model engines.
func (c *call) serveGeneration(service *catalog.Service) {
	gate := c.view.gates[service.ID]
	if gate == nil {
		c.refuse(result.NoUpstream, configRetryAfter)
		return
	}
	timeout := c.firstEventWait()
	if self := c.gateway.handoverSelf(); self.Stopping {
		longest := c.boundDuration(service, gate)
		if !handover.AcceptsGeneration(time.Now(), self, c.view.otherVMs, longest) {
			c.refuse(result.Draining, c.drainRetryAfter(longest))
			return
		}
		timeout = min(timeout, time.Until(self.ExitDeadline)-longest+postQueueReserve) // the run starts in time to end before the exit
	}
	g := &generation{call: c, service: service, gate: gate, avoidedUpstreams: make(map[fleet.UpstreamID]bool)}
	g.splitter.ResumeAfter(c.caller.LastEventID)
	g.likely = cost.Request{Route: string(c.route.ID), Team: string(c.team), Hint: c.caller.ExpectedTokens, Limit: c.caller.MaxTokens}
	if parts := c.caller.SharedParts(); len(parts) > 0 {
		g.likely.Part = parts[0]
	}
	g.resumedTokens = c.resumedTokens(service)
	expected, reserved := gate.estimate(g.likely, g.resumedTokens)
	g.request = dispatch.Request{
		ID: c.caller.ID, Team: c.team, Rank: c.rank, Objective: c.route.Objective, FirstEventTimeout: min(timeout-postQueueReserve, c.timeRemaining()),
		Need: chain.Need{
			PromptTokens: c.promptTokens(service) + g.resumedTokens, AnswerTokens: expected, ReservedAnswerTokens: reserved,
			GapObjective: c.route.GapObjective, FirstEventObjective: c.route.Objective,
		},
		Isolated: c.trial != nil, Resumed: c.caller.LastEventID != "", PreviouslyRefused: c.gateway.refusedGenerations.consume(c.arrived, c.print),
	}
	action, err := gate.admit(c.ctx, g.request)
	if err != nil {
		if c.callerGone() {
			c.abortCancelled()
		}
		if errors.Is(context.Cause(c.ctx), errExit) { // it waited in the queue
			c.refuse(result.Draining, c.drainRetryAfter(0))
			return
		}
		c.refuse(result.DeadlineCannotBeMet, jitter(time.Second))
		return
	}
	g.queueWait = action.Waited
	if action.Chain == nil {
		c.gateway.stats.Waited("refused", g.queueWait)
		g.answerDispatchRefusal(action)
		return
	}
	c.gateway.stats.Waited("started", g.queueWait)
	g.serve(action.Chain)
}

// maxAnswerTokens returns the largest number of tokens that the answer may have. If the caller
// set no maximum, it assumes twice the mean answer.
func (c *call) maxAnswerTokens(service *catalog.Service) int {
	if c.caller.MaxTokens > 0 {
		return c.caller.MaxTokens
	}
	return 2 * int(service.Engine.MeanAnswerTokens)
}

// boundDuration returns the longest time that the generation is expected to take on the chains of
// recent runs; 0 if there were none. It ends at its deadline at the latest.
func (c *call) boundDuration(service *catalog.Service, gate *gate) time.Duration {
	return min(gate.recentDuration(c.maxAnswerTokens(service)), c.timeRemaining())
}

// firstEventWait returns how long the caller is expected to wait for the first event before it
// gives up: the longest of a fixed time, a multiple of the objective and a multiple of the gap
// objective.
func (c *call) firstEventWait() time.Duration {
	return max(minFirstEventWait, objectiveWaitFactor*c.route.Objective, gapWaitFactor*c.route.GapObjective)
}

func (c *call) promptTokens(service *catalog.Service) int {
	if c.caller.PromptTokens > 0 {
		return c.caller.PromptTokens
	}
	return int(service.Engine.MeanPromptTokens)
}

// resumedTokens returns the number of answer tokens that a caller has from an interrupted stream.
// Engines number the events from 1.
func (c *call) resumedTokens(service *catalog.Service) int {
	events, err := strconv.Atoi(c.caller.LastEventID)
	if err != nil || events <= 0 || events > maxResumedEvents {
		return 0
	}
	return events * max(service.Engine.TokensPerEvent, 1)
}

// maxResumedEvents is the largest number of an event that counts; a larger one is no count.
const maxResumedEvents = 1 << 20

// continuation returns the request of a further run, given the number of events that the caller
// has got: the run reads them with the prompt, and the caller waits for the next one.
func (g *generation) continuation(events int64) dispatch.Request {
	r := g.request
	if events == 0 {
		return r
	}
	produced := int(events) * max(g.service.Engine.TokensPerEvent, 1)
	r.Need.PromptTokens += produced
	r.Need.AnswerTokens, r.Need.ReservedAnswerTokens = g.gate.estimate(g.likely, g.resumedTokens+produced)
	r.Need.FirstEventObjective = g.route.GapObjective
	return r
}

// answerDispatchRefusal answers a generation that dispatch refused.
func (g *generation) answerDispatchRefusal(a dispatch.Action) {
	code := result.DeadlineCannotBeMet
	if a.Reason == chain.Incomplete || a.Reason == chain.Paused {
		code = result.NoUpstream
	}
	g.logLine(event.RequestQueued).Str("outcome", "refused").Str("reason", a.Reason.String()).Int("ahead", a.QueueLength).
		Bool("returned", g.request.PreviouslyRefused).
		Int64("waited_ms", a.Waited.Milliseconds()).Int64("retry_after_ms", a.RetryAfter.Milliseconds()).Send()
	g.refuseAndRecord(code, a.RetryAfter)
}

// refuseAndRecord refuses a generation and records the refusal on all VMs, because its caller
// may retry at any of them.
func (g *generation) refuseAndRecord(code result.Code, retryAfter time.Duration) {
	g.gateway.refusedGenerations.add(time.Now(), g.print, true)
	g.refuse(code, retryAfter)
}

// serve runs the generation on a chain, and on further chains if the run fails. Whether a stopping VM
// begins a run is decided when its chain is reserved, and only then: the answer may be another one
// once an earlier run has ended.
func (g *generation) serve(c *chain.Chain) {
	if !g.beginsRun(c, g.eventsForwarded) {
		g.gate.release(g.request, c)
		g.endForExit()
		return
	}
	current := &replacement{chain: c}
	for {
		if retryAfter, refused := g.crashesUpstreams(); refused {
			g.drop(current)
			g.endCrashing(retryAfter)
			return
		}
		outcome, next, cause := g.runChain(current)
		switch outcome {
		case outcomeAnswered:
			return
		case outcomeContextEnded:
			g.finishAfterContextEnd(cause)
			return
		case outcomeNotRun:
			g.refusals++
		case outcomeUnknown:
			g.unknownRuns++
			if !errors.Is(cause, errPlannedEnd) {
				g.attempts++
			}
		}
		if g.suspected || errors.Is(cause, errCrashesUpstreams) {
			g.drop(next)
			next = nil
			retryAfter, again := g.mayRunAgain()
			if g.ctx.Err() != nil {
				g.finishAfterContextEnd(context.Cause(g.ctx))
				return
			}
			if !again {
				g.endCrashing(retryAfter)
				return
			}
		}
		if next == nil {
			c := g.awaitRetryChain(outcome)
			if c == nil {
				g.failWithoutChain(outcome, cause)
				return
			}
			if !g.beginsRun(c, g.eventsForwarded) {
				g.gate.release(g.request, c)
				g.endForExit()
				return
			}
			next = &replacement{chain: c}
		}
		current = next
		if next.move != nil {
			g.logMove(next.move, cause)
			continue
		}
		g.logLine(event.RequestRetried).Str("reason", retryReason(outcome)).AnErr("cause", cause).Str("after_event", g.splitter.LastID()).
			Int("runs", g.unknownRuns).Int("refusals", g.refusals).Send()
	}
}

// beginsRun reports whether this VM begins a run on a chain now, given the number of events that the
// caller has got from it. It may stop.
func (g *generation) beginsRun(c *chain.Chain, events int64) bool {
	self := g.gateway.handoverSelf()
	if !self.Stopping {
		return true
	}
	tokens := max(g.maxAnswerTokens(g.service)-int(events)*max(g.service.Engine.TokensPerEvent, 1), 1)
	return self.BeginsRun(time.Now(), handover.Run{
		Continues: events > 0, FirstPart: c.ExpectedFirstEvent, Longest: min(g.gate.boundDuration(c, tokens), g.timeRemaining()),
	})
}

// errExit means that the exit of this VM ended a request, or that a run was not started because of it.
var errExit = errors.New("this VM exits before a run could end")

// endForExit ends a generation that needs a run which the exit of this VM would interrupt. The
// caller may continue a stream through another VM at once.
func (g *generation) endForExit() {
	switch {
	case g.headerSent:
		g.abortStream(result.StreamBroken, errExit)
	case g.unknownRuns == 0:
		g.refuseAndRecord(result.Draining, g.drainRetryAfter(g.boundDuration(g.service, g.gate)))
	default:
		g.fail(result.New(result.UpstreamOutcomeUnknown, result.OutcomeUnknown, "no run finished the request").WithCause(errExit))
	}
}

// finishAfterContextEnd ends a generation whose context ended. It closes the connection if the
// caller has disconnected or the stream has started, and otherwise answers with an error.
func (g *generation) finishAfterContextEnd(cause error) {
	if g.callerGone() {
		g.abortCancelled()
	}
	if g.headerSent {
		code := result.DeadlineExceeded
		if errors.Is(cause, errExit) {
			code = result.StreamBroken
		}
		g.abortStream(code, cause)
	}
	g.answerContextEnd(cause)
}

// abortStream closes the connection of a stream that cannot continue, so that a truncated
// answer does not look complete. It panics with http.ErrAbortHandler and does not return.
func (g *generation) abortStream(code result.Code, cause error) {
	g.gateway.stats.Count("streams_broken")
	g.recordEnd("broken", 0)
	g.logLine(event.StreamBroken).Int("code", int(code)).Str("last_event", g.splitter.LastID()).Int("runs", g.unknownRuns).AnErr("cause", cause).Send()
	panic(http.ErrAbortHandler)
}

// failWithoutChain ends a generation that gets no further chain, because none was available,
// the retry budget is used up or no further run is allowed.
func (g *generation) failWithoutChain(outcome sendOutcome, cause error) {
	switch {
	case g.callerGone():
		g.abortCancelled()
	case g.headerSent:
		g.abortStream(result.StreamBroken, cause)
	case g.unknownRuns == 0 && outcome == outcomeNotRun:
		g.refuseAndRecord(result.NoUpstream, jitter(time.Second))
	default:
		g.fail(result.New(result.UpstreamOutcomeUnknown, result.OutcomeUnknown, "no chain finished the request").WithCause(cause))
	}
}

// awaitRetryChain returns a chain for another run, or nil if none is allowed or found. For a
// stream that has started it searches until chainSearchTimeout after the caller is expected to
// give up, since only another run can complete the stream. A request that has not run waits its turn
// (see awaitTurn). Otherwise it searches for at most chainSearchTimeout and stops if the retry
// budget refuses.
func (g *generation) awaitRetryChain(outcome sendOutcome) *chain.Chain {
	if !g.canContinue(outcome) {
		return nil
	}
	if outcome == outcomeNotRun && !g.headerSent && g.unknownRuns == 0 {
		return g.awaitTurn()
	}
	until := time.Now().Add(chainSearchTimeout)
	if g.headerSent {
		until = g.lastEventAt.Add(g.firstEventWait() + chainSearchTimeout)
		if outcome == outcomeNotRun && !g.sleepBeforeRetry() { // an immediate retry would be refused again
			return nil
		}
	}
	for {
		c, allowed := g.reserveRetryChain(outcome)
		if c != nil {
			return c
		}
		if !allowed && !g.headerSent || time.Now().After(until) || !g.sleepBeforeRetry() {
			return nil
		}
	}
}

// awaitTurn returns a chain for a request that a chain refused and that has not run, or nil. It tries
// another chain at once; if none has room it waits in the queue until one does, rather than being
// sent again and again. While it can still be on time it also waits for the retry budget.
func (g *generation) awaitTurn() *chain.Chain {
	onTimeUntil := g.arrived.Add(g.request.Objective - postQueueReserve/2)
	for {
		c, failure := g.gate.reserveAnother(g.request, g.avoidedUpstreams)
		if failure != chain.NoFailure {
			c = g.waitInQueue()
		}
		if c == nil {
			return nil
		}
		if g.spendRetry(g.service, retryReason(outcomeNotRun)) {
			return c
		}
		g.gate.release(g.request, c)
		if time.Now().After(onTimeUntil) || !g.sleepBeforeRetry() {
			return nil
		}
	}
}

// waitInQueue waits for a chain within what remains of the request's times.
func (g *generation) waitInQueue() *chain.Chain {
	clear(g.avoidedUpstreams) // a server that refused may have capacity again
	r, elapsed := g.request, time.Since(g.arrived)
	r.Objective -= elapsed
	r.FirstEventTimeout = min(r.FirstEventTimeout-elapsed, g.timeRemaining()-minRunTime)
	r.PreviouslyRefused = true
	if r.FirstEventTimeout <= 0 {
		return nil
	}
	action, err := g.gate.admit(g.ctx, r)
	if err != nil {
		return nil
	}
	g.queueWait += action.Waited
	return action.Chain
}

// mayFail reports whether the route allows another run if the one that is about to begin, or is under
// way, ends with an unknown outcome.
func (g *generation) mayFail() bool { return g.mayRunAfter(g.attempts + 1) }

// mayRunAfter reports whether the route allows another run after one with an unknown outcome, given the
// number of attempts that are used up.
func (g *generation) mayRunAfter(attempts int) bool {
	return g.route.Resumable && attempts < max(g.route.MaxAttempts, 1)
}

// canContinue reports whether another run is allowed.
func (g *generation) canContinue(outcome sendOutcome) bool {
	switch {
	case outcome == outcomeUnknown && !g.mayRunAfter(g.attempts):
		return false
	case outcome == outcomeNotRun && g.refusals > maxChainRefusals && !g.headerSent:
		return false
	}
	return g.timeRemaining() >= minRunTime && !g.callerGone()
}

// reserveRetryChain reserves a chain if one is available and the retry budget allows its
// use. allowed is false only if the retry budget refused.
func (g *generation) reserveRetryChain(outcome sendOutcome) (c *chain.Chain, allowed bool) {
	request := g.continuation(g.eventsForwarded)
	c, failure := g.gate.reserveAnother(request, g.avoidedUpstreams)
	if failure != chain.NoFailure && len(g.avoidedUpstreams) > 0 { // a server that refused may have capacity again
		clear(g.avoidedUpstreams)
		c, failure = g.gate.reserveAnother(request, nil)
	}
	if failure != chain.NoFailure {
		return nil, true
	}
	if !g.spendRetry(g.service, retryReason(outcome)) {
		g.gate.release(g.request, c)
		return nil, false
	}
	g.gate.recordRetry()
	return c, true
}

// sleepBeforeRetry waits between two attempts to reserve a chain. It returns false if the
// generation's context ended.
func (g *generation) sleepBeforeRetry() bool { return sleep(g.ctx, chainSearchInterval) }

func retryReason(outcome sendOutcome) string {
	if outcome == outcomeNotRun {
		return "not_run"
	}
	return "unknown"
}
