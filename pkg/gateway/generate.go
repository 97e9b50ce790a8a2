package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/eventstream"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/platform"
)

const (
	// leastPatience is how long callers wait for the first event at least: they
	// leave after 2 s, four times the objective or eight times the longest pause.
	leastPatience        = 2 * time.Second
	objectivesOfPatience = 4
	gapsOfPatience       = 8
	// patienceMargin is kept for what a request needs after its wait: the chain's
	// first event and the way back.
	patienceMargin = 400 * time.Millisecond
	// maxRefusals bounds the chains tried for one request that refused to run it.
	maxRefusals = 4
	// resumeTime is how long a request whose run failed looks for another chain: the
	// time in which an engine loads a few layers.
	resumeTime = 1200 * time.Millisecond
	// resumePause is the time between two looks.
	resumePause = 100 * time.Millisecond
	// leastGeneration is the shortest time left that is worth another run.
	leastGeneration = 300 * time.Millisecond
	// relayBuffer is the size of one read of a stream: some tens of events.
	relayBuffer = 8 << 10
)

// generation is a streamed request on its way.
type generation struct {
	*call
	service *catalog.Service
	gate    *gate
	request dispatch.Request
	events  eventstream.Splitter
	avoid   map[fleet.UpstreamID]bool
	// begun is set when the caller has got the head of the answer.
	begun      bool
	firstEvent time.Duration
	lastEvent  time.Time
	longestGap time.Duration
	runs       int
	refusals   int
	waited     time.Duration
}

// generate serves a request of a service with model engines.
func (c *call) generate(service *catalog.Service) {
	gate := c.view.gates[service.ID]
	if gate == nil {
		c.refuse(result.NoUpstream, configRetryAfter)
		return
	}
	if !handover.TakesGeneration(c.arrived, c.g.self(), c.view.others, c.longest(service)) {
		c.refuse(result.Draining, c.stopRetry())
		return
	}
	g := &generation{call: c, service: service, gate: gate, avoid: make(map[fleet.UpstreamID]bool)}
	g.events.Continue(c.caller.LastEvent)
	g.request = dispatch.Request{
		ID: c.caller.ID, Team: c.team, Rank: c.rank, Objective: c.route.Objective, Patience: min(c.patience()-patienceMargin, c.left()),
		Need:  chain.Need{Prompt: c.promptTokens(service), Answer: c.answerTokens(service), Gap: c.route.GapObjective},
		Begun: c.caller.LastEvent != "", Returned: c.g.returns.take(c.arrived, c.print),
	}
	action, err := gate.enter(c.ctx, g.request)
	if err != nil {
		if c.gone() {
			c.cancelled()
		}
		c.refuse(result.DeadlineUnmet, spread(time.Second))
		return
	}
	g.waited = action.Waited
	if action.Chain == nil {
		c.g.stats.Waited("refused", g.waited)
		g.refused(action)
		return
	}
	c.g.stats.Waited("started", g.waited)
	g.serve(action.Chain)
}

// slowestToken is the time of a token on a busy chain: half of the longest pause
// between events of two tokens that is on time, on the platform's sheets.
const slowestToken = 30 * time.Millisecond

// longest returns the time that the generation takes at most, as far as it can be
// known before its start.
func (c *call) longest(service *catalog.Service) time.Duration {
	tokens := c.caller.MaxTokens
	if tokens == 0 {
		tokens = 2 * int(service.Engine.UsualAnswer)
	}
	return c.route.Objective + time.Duration(tokens)*slowestToken
}

func (c *call) patience() time.Duration {
	return max(leastPatience, objectivesOfPatience*c.route.Objective, gapsOfPatience*c.route.GapObjective)
}

func (c *call) promptTokens(service *catalog.Service) int {
	if c.caller.PromptTokens > 0 {
		return c.caller.PromptTokens
	}
	return int(service.Engine.UsualPrompt)
}

// answerTokens returns the tokens that the answer is expected to have.
func (c *call) answerTokens(service *catalog.Service) int {
	expected := c.caller.ExpectedTokens
	if expected == 0 {
		expected = int(service.Engine.UsualAnswer)
	}
	if c.caller.MaxTokens > 0 {
		expected = min(expected, c.caller.MaxTokens)
	}
	return expected
}

// refused answers a generation that dispatch refused.
func (g *generation) refused(a dispatch.Action) {
	code := result.DeadlineUnmet
	if a.Why == chain.Incomplete || a.Why == chain.Paused {
		code = result.NoUpstream
	}
	g.line(event.RequestQueued).Str("outcome", "refused").Str("reason", a.Why.String()).Int("ahead", a.Ahead).
		Bool("returned", g.request.Returned).
		Int64("waited_ms", a.Waited.Milliseconds()).Int64("retry_after_ms", a.RetryAfter.Milliseconds()).Send()
	g.turnAway(code, a.RetryAfter)
}

// turnAway refuses a generation and remembers that its caller may come back.
func (g *generation) turnAway(code result.Code, after time.Duration) {
	g.g.returns.add(time.Now(), g.print, true)
	g.refuse(code, after)
}

// serve runs the generation on a chain, and on further ones if it fails.
func (g *generation) serve(c *chain.Chain) {
	for {
		got, next, why := g.run(c)
		if next != nil && got != unknown { // the run ended before it could be moved
			g.gate.release(g.request, next)
			next = nil
		}
		switch got {
		case answered:
			return
		case left:
			g.end(why)
			return
		case notRun:
			g.refusals++
		case unknown:
			g.runs++
		}
		if next == nil {
			next = g.next(got)
		}
		if next == nil {
			g.giveUp(got, why)
			return
		}
		g.line(event.RequestRetried).Str("reason", repeatReason(got)).AnErr("cause", why).Str("after_event", g.events.LastID()).
			Int("runs", g.runs).Int("refusals", g.refusals).Send()
		c = next
	}
}

// end finishes a generation whose context ended.
func (g *generation) end(why error) {
	if g.gone() {
		g.cancelled()
	}
	if g.begun {
		g.broken(result.DeadlineExceeded, why)
	}
	g.ended(why)
}

// broken ends the connection of a stream that can't go on: an answer that ends
// early must not look whole.
func (g *generation) broken(code result.Code, why error) {
	g.g.stats.Count("streams_broken")
	g.observe("broken", 0)
	g.line(event.StreamBroken).Int("code", int(code)).Str("last_event", g.events.LastID()).Int("runs", g.runs).AnErr("cause", why).Send()
	panic(http.ErrAbortHandler)
}

// giveUp answers a generation that no further chain takes.
func (g *generation) giveUp(got outcome, why error) {
	switch {
	case g.gone():
		g.cancelled()
	case g.begun:
		g.broken(result.StreamBroken, why)
	case g.runs == 0 && got == notRun:
		g.turnAway(result.NoUpstream, spread(time.Second))
	default:
		g.fail(result.New(result.UpstreamUnknown, result.OutcomeUnknown, "no chain finished the request").WithCause(why))
	}
}

// next returns a chain for another run, nil when there must not or can't be one. A
// stream that has begun looks for one until its caller would have left, since only
// a further run can still complete it; other requests are answered soon.
func (g *generation) next(got outcome) *chain.Chain {
	if !g.mayGoOn(got) {
		return nil
	}
	until := time.Now().Add(resumeTime)
	if g.begun {
		until = g.lastEvent.Add(g.patience() + resumeTime)
		if got == notRun && !g.wait() { // the same refusal would follow at once
			return nil
		}
	}
	for {
		c, allowed := g.nextChain(got)
		if c != nil {
			return c
		}
		if !allowed && !g.begun || time.Now().After(until) || !g.wait() {
			return nil
		}
	}
}

// mayGoOn reports whether another run is allowed.
func (g *generation) mayGoOn(got outcome) bool {
	switch {
	case got == unknown && (!g.route.Resumable || g.runs >= max(g.route.Attempts, 1)):
		return false
	case got == notRun && g.refusals > maxRefusals && !g.begun:
		return false
	}
	return g.left() >= leastGeneration && !g.gone()
}

// nextChain reserves a chain if there is one and the retry budget allows its use.
func (g *generation) nextChain(got outcome) (c *chain.Chain, allowed bool) {
	c, failure := g.gate.again(g.request, g.avoid)
	if failure != chain.NoFailure && len(g.avoid) > 0 { // a server that refused once may have room again
		clear(g.avoid)
		c, failure = g.gate.again(g.request, nil)
	}
	if failure != chain.NoFailure {
		return nil, true
	}
	if !g.mayRepeat(g.service, repeatReason(got)) {
		g.gate.release(g.request, c)
		return nil, false
	}
	return c, true
}

// wait pauses between two looks for a chain and reports false when ctx ended.
func (g *generation) wait() bool { return pause(g.ctx, resumePause) }

func repeatReason(got outcome) string {
	if got == notRun {
		return "not_run"
	}
	return "unknown"
}

// run runs the generation on one chain. It also returns the chain that was reserved
// when the run was ended for another one.
func (g *generation) run(c *chain.Chain) (outcome, *chain.Chain, error) {
	defer g.gate.release(g.request, c) // also when the run ends by a panic
	r := newRun(g, c)
	got, why := g.runOn(r)
	return got, r.end(), why
}

func (g *generation) runOn(r *run) (outcome, error) {
	c := r.chain
	ctx, cancel := context.WithCancelCause(g.ctx)
	defer cancel(nil)
	r.cancel = cancel
	first := c.Stages[0]
	if id, closed := g.g.notices.closed(time.Now(), c.Stages); closed { // it said so after the chain was reserved
		g.avoid[id] = true
		return notRun, errClosed
	}
	head := platform.EncodeRequest(g.r, platform.Forward{
		Team: g.team, Instance: first.Server, Left: g.left(), Chain: stages(c), LastEvent: g.events.LastID(), Urgency: min(g.rank, maxUrgency),
	}, len(g.body))
	g.sent("", chainNames(c), g.left())
	answer, err := g.g.pool.Do(ctx, exchange.Request{
		Address: first.Address, ID: string(g.caller.ID), Method: g.r.Method, Head: head, Body: g.body,
	})
	if err != nil {
		return g.runFailed(ctx, first.Server, err)
	}
	defer answer.Close()
	reply := platform.ParseReply(answer.Status, answer.Header)
	g.g.noticed(first.Server, first.Born, reply.Notice)
	if reply.NotRun {
		g.blame(reply, first.Server)
		return notRun, errRefused
	}
	if answer.Status != http.StatusOK {
		return g.passFailure(first.Server, answer, reply)
	}
	if !reply.Signed || reply.Encoded {
		g.g.control.failed(first.Server)
		return unknown, errSpoiled
	}
	g.g.streams.add(r)
	defer g.g.streams.remove(r)
	return g.relay(ctx, r, answer)
}

// errRefused is the cause of a run that a server of the chain refused.
var errRefused = errors.New("chain refused the request")

// errClosed is the cause of a run that was not begun: a server of the chain takes no
// requests of this VM any more.
var errClosed = errors.New("server of the chain takes no requests")

// maxUrgency is the last of the urgencies that engines know.
const maxUrgency = 9

func stages(c *chain.Chain) []platform.Stage {
	list := make([]platform.Stage, len(c.Stages))
	for i, s := range c.Stages {
		list[i] = platform.Stage{Address: s.Address, Layers: s.Layers}
	}
	return list
}

func chainNames(c *chain.Chain) []string {
	list := make([]string, len(c.Stages))
	for i, s := range c.Stages {
		list[i] = string(s.Server) + "=" + s.Layers.String()
	}
	return list
}

// runFailed classifies a run without an answer.
func (g *generation) runFailed(ctx context.Context, first fleet.UpstreamID, err error) (outcome, error) {
	if g.ctx.Err() == nil && ctx.Err() != nil {
		return unknown, context.Cause(ctx)
	}
	g.avoid[first] = true
	got, why := g.sendFailed(ctx, first, err)
	return got, why
}

// blame notes the server that refused its part.
func (g *generation) blame(reply platform.Reply, first fleet.UpstreamID) {
	id := first
	if reply.Fault != "" {
		if at, ok := g.g.view.Load().byAddress[reply.Fault]; ok {
			id = at
		}
	}
	g.avoid[id] = true
	g.gate.refused(id)
	g.g.stats.Count("chain_refusals")
	g.line(event.ChainRefused).Str("upstream", string(id)).Bool("wrong_instance", reply.WrongInstance).Send()
	if reply.Pause == 0 || id != first {
		g.g.control.refusedPart(id)
	}
}

// passFailure gives a failure of the engine to the caller, unless another chain may run
// the request. An engine that fails at once always has room: without a verdict on it all
// requests would go there.
func (g *generation) passFailure(first fleet.UpstreamID, answer *exchange.Answer, reply platform.Reply) (outcome, error) {
	if promises(answer.Status) || g.begun {
		return unknown, errNoPromise
	}
	if answer.Status >= http.StatusInternalServerError {
		g.g.stats.Count("upstream_errors")
		g.g.control.failed(first)
		if g.route.Resumable && g.runs+1 < max(g.route.Attempts, 1) && g.left() >= leastGeneration {
			g.avoid[first] = true
			return unknown, errServerFailed
		}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return unknown, err
	}
	platform.CopyReply(g.w.Header(), answer.Header)
	g.w.WriteHeader(answer.Status)
	_, _ = g.w.Write(body) // a caller that left reads nothing
	g.done(answer.Status, func(e *zerolog.Event) { e.Bool("signed", reply.Signed) })
	return answered, nil
}

// relay passes events on as they come, each only when it is whole.
func (g *generation) relay(ctx context.Context, r *run, answer *exchange.Answer) (outcome, error) {
	g.events.Restart()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			whole, events, spoiled := g.events.Feed(buffer[:n])
			if spoiled != nil {
				g.g.control.failed(r.chain.Stages[0].Server)
				return unknown, spoiled
			}
			if events > 0 {
				now := time.Now()
				if r.note(now, events) {
					g.gate.served(r.chain, r.began)
					g.g.control.succeeded(r.chain.Stages[0].Server, now.Sub(r.began))
				}
				g.forward(now, answer, whole)
			} else if g.begun && len(whole) > 0 { // comments
				g.write(whole)
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			return g.relayFailed(ctx, r, err)
		}
		if g.events.Partial() || !g.begun {
			g.g.control.failed(r.chain.Stages[0].Server)
			return unknown, io.ErrUnexpectedEOF
		}
		g.g.stats.LongestGap(g.rank, g.longestGap)
		g.done(http.StatusOK, func(e *zerolog.Event) {
			e.Int64("first_event_ms", g.firstEvent.Milliseconds()).Int64("longest_gap_ms", g.longestGap.Milliseconds()).
				Int64("waited_ms", g.waited.Milliseconds()).Int("runs", g.runs+1).Str("last_event", g.events.LastID())
		})
		return answered, nil
	}
}

// forward writes whole events to the caller, after the head of the answer.
func (g *generation) forward(now time.Time, answer *exchange.Answer, whole []byte) {
	if !g.begun {
		g.begun = true
		g.firstEvent = now.Sub(g.arrived)
		g.g.stats.FirstEvent(g.rank, g.firstEvent)
		platform.CopyReply(g.w.Header(), answer.Header)
		g.w.WriteHeader(http.StatusOK)
	} else if gap := now.Sub(g.lastEvent); gap > g.longestGap {
		g.longestGap = gap
	}
	g.lastEvent = now
	g.write(whole)
}

// write sends bytes to the caller at once.
func (g *generation) write(whole []byte) {
	if _, err := g.w.Write(whole); err != nil {
		return // the caller has left: its context ends the run
	}
	if f, ok := g.w.(http.Flusher); ok {
		f.Flush()
	}
}

// relayFailed classifies a run that broke off.
func (g *generation) relayFailed(ctx context.Context, r *run, err error) (outcome, error) {
	if g.ctx.Err() != nil {
		return left, context.Cause(g.ctx)
	}
	if ctx.Err() != nil {
		return unknown, context.Cause(ctx)
	}
	g.crashed(r.chain.Stages[0].Server)
	for _, stage := range r.chain.Stages { // any of them may have ended
		g.g.control.suspect(stage.Server)
	}
	return unknown, err
}
