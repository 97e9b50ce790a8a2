package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/platform"
)

// relayBufferSize is the size of one read from a stream, enough for some tens of events.
const relayBufferSize = 8 << 10

// runChain runs the generation on a chain, or relays the run that a move has begun there, and then
// releases the chain. It also returns what continues the generation, if its chain was reserved before the
// run ended; the caller must use or drop it.
func (g *generation) runChain(next *replacement) (sendOutcome, *replacement, error) {
	var r *run
	execute := g.execute
	if next.move == nil {
		r = newRun(g, next.chain, g.eventsForwarded, g.attempts)
	} else {
		r = next.move.run
		r.eventsBefore, r.attemptsBefore = g.eventsForwarded, g.attempts
		execute = func(*run) (sendOutcome, error) { return g.executeMoved(next.move) }
	}
	defer r.release() // also after a panic
	defer func() { g.drop(r.markEnded()) }()
	outcome, cause := execute(r)
	g.gate.recordDuration(r)
	g.eventsForwarded += r.events.Load()
	successor := g.awaitSuccessor(r.markEnded(), outcome)
	if failed := int(r.failedMoves.Load()); failed > 0 {
		g.unknownRuns += failed
		g.attempts += failed
	}
	return outcome, successor, cause
}

// executeMoved relays the answer of a run that a move has begun.
func (g *generation) executeMoved(m *move) (sendOutcome, error) {
	defer m.cancel(nil)
	defer m.response.Close()
	m.run.eventOffset.Store(int64(time.Since(m.run.startedAt))) // its first event has arrived
	g.gateway.activeRuns.add(m.run)
	defer g.gateway.activeRuns.remove(m.run)
	return g.relay(m.ctx, m.run, m.response)
}

// execute sends the request to the first server of a run's chain and relays the answer.
func (g *generation) execute(r *run) (sendOutcome, error) {
	c := r.chain
	ctx, cancel := context.WithCancelCause(g.ctx)
	defer cancel(nil)
	r.cancel = cancel
	first := c.Stages[0]
	if id, unavailable := g.gateway.notices.firstUnavailable(time.Now(), c.Stages); unavailable { // announced since the chain was reserved
		g.avoidedUpstreams[id] = true
		return outcomeNotRun, errServerUnavailable
	}
	request := g.runRequest(c, g.splitter.LastID())
	if g.trial == nil && g.eventsForwarded == 0 {
		r.parts = g.allParts()
		g.gateway.pendingRuns.add(r)
		defer g.gateway.pendingRuns.remove(r)
	}
	response, err := g.gateway.pool.Do(ctx, request)
	if err != nil {
		return g.classifyRunError(ctx, r.firstInstance(), err)
	}
	defer response.Close()
	reply := platform.ParseReply(response.Status, response.Header)
	g.gateway.recordNotice(first.Server, first.StartedAt, reply.Notice)
	if reply.NotRun {
		id := g.recordRefusingServer(reply, first.Server)
		g.avoidedUpstreams[id] = true
		g.logLine(event.ChainRefused).Str("upstream", string(id)).Bool("wrong_instance", reply.WrongInstance).Send()
		return outcomeNotRun, errChainRefused
	}
	if response.Status != http.StatusOK {
		return g.forwardFailure(first.Server, response, reply)
	}
	if !isSoundStream(response, reply) {
		g.gateway.control.recordFailure(first.Server)
		return outcomeUnknown, errInvalidAnswer
	}
	g.gateway.activeRuns.add(r)
	defer g.gateway.activeRuns.remove(r)
	return g.relay(ctx, r, response)
}

// runRequest returns the request of a run on a chain that goes on after an event, and logs that it is
// sent.
func (g *generation) runRequest(c *chain.Chain, lastEventID string) exchange.Request {
	first := c.Stages[0]
	head := platform.EncodeRequestHead(g.httpRequest, platform.ForwardHeaders{
		Team: g.team, Instance: first.Server, TimeLeft: g.timeRemaining(), Chain: platformStages(c), LastEventID: lastEventID, Urgency: min(g.rank, leastUrgent),
	}, g.bodyLength)
	g.logSend("", formatStages(c), g.timeRemaining())
	return g.exchangeRequest(first.Address, head)
}

// isSoundStream reports whether the head of an answer with status 200 is that of a signed event stream.
func isSoundStream(response *exchange.Response, reply platform.Reply) bool {
	return reply.Signed && !reply.Encoded && isEventStream(response.Header)
}

// isEventStream reports whether the headers of an answer name an event stream, or no type at all.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// errChainRefused means that a server of the chain refused the request.
var errChainRefused = errors.New("chain refused the request")

// errLongFailure means that an engine answered with an error whose body is longer than
// maxBufferedAnswer, or than there is room for.
var errLongFailure = errors.New("error of the upstream is too long")

// errServerUnavailable means that a run was not started because a server of the chain asked for
// a pause or announced that it is about to end.
var errServerUnavailable = errors.New("server of the chain accepts no requests")

// leastUrgent is the largest urgency number that engines accept. 0 is the most urgent.
const leastUrgent = 9

func platformStages(c *chain.Chain) []platform.Stage {
	list := make([]platform.Stage, len(c.Stages))
	for i, s := range c.Stages {
		list[i] = platform.Stage{Address: s.Address, Layers: s.Layers}
	}
	return list
}

func formatStages(c *chain.Chain) []string {
	list := make([]string, len(c.Stages))
	for i, s := range c.Stages {
		list[i] = string(s.Server) + "=" + s.Layers.String()
	}
	return list
}

// classifyRunError returns the outcome of a run that got no answer. Unless the run was
// cancelled on purpose, further runs avoid the first server, and classifySendError reports the
// failure to failure detection.
func (g *generation) classifyRunError(ctx context.Context, first notice.Instance, err error) (sendOutcome, error) {
	if g.ctx.Err() == nil && ctx.Err() != nil {
		return outcomeUnknown, context.Cause(ctx)
	}
	g.avoidedUpstreams[first.ID] = true
	outcome, cause := g.classifySendError(ctx, first, err, func() bool { return false }) // an engine shows which answer begins
	return outcome, cause
}

// recordRefusingServer records the server that refused its part of the chain, so that new chains avoid
// it, and returns it. A refusal in which the first server asks for a pause neither counts
// towards draining nor causes a probe, since recordNotice has already recorded the pause.
func (g *generation) recordRefusingServer(reply platform.Reply, firstServer fleet.UpstreamID) fleet.UpstreamID {
	id := firstServer
	if reply.FaultAddress != "" {
		if upstream, ok := g.gateway.view.Load().byAddress[reply.FaultAddress]; ok {
			id = upstream
		}
	}
	g.gate.recordRefusal(id)
	g.gateway.stats.Count("chain_refusals")
	if reply.Pause == 0 || id != firstServer {
		g.gateway.control.recordPartRefusal(id)
	}
	return id
}

// forwardFailure forwards an answer other than 200 to the caller. It returns outcomeUnknown
// instead if the stream has started, if callers would read the status as "not run", if another
// run may be tried, or if the answer is too long. In the first two cases it reports nothing; any
// other 5xx answer is reported to failure detection: an engine that fails immediately always has
// capacity, so it would otherwise attract all requests.
func (g *generation) forwardFailure(firstServer fleet.UpstreamID, response *exchange.Response, reply platform.Reply) (sendOutcome, error) {
	if statusMeansNotRun(response.Status) || g.headerSent {
		return outcomeUnknown, errAmbiguousRefusal
	}
	if response.Status >= http.StatusInternalServerError {
		g.gateway.stats.Count("upstream_errors")
		g.gateway.control.recordFailure(firstServer)
		if g.mayFail() && g.timeRemaining() >= minRunTime {
			g.avoidedUpstreams[firstServer] = true
			return outcomeUnknown, errServerFailed
		}
	}
	body, complete, err := g.held.ReadAnswer(response.Body, response.Length, maxBufferedAnswer+1)
	if err != nil {
		return outcomeUnknown, err
	}
	if !complete { // it may have no end
		return outcomeUnknown, errLongFailure
	}
	g.writeAnswer(response, body, true)
	g.recordAnswer(response.Status, func(e *zerolog.Event) { e.Bool("signed", reply.Signed) })
	return outcomeAnswered, nil
}

// relay forwards the events of a run to the caller as they arrive, each one only when it is
// complete.
func (g *generation) relay(ctx context.Context, r *run, response *exchange.Response) (sendOutcome, error) {
	g.splitter.DropPartial()
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			repeatedBefore := g.splitter.Repeated()
			complete, events, parseErr := g.splitter.Feed(buffer[:n])
			repeated := g.splitter.Repeated() - repeatedBefore
			now := time.Now()
			if events+repeated > 0 {
				r.lastNumber.Store(g.splitter.LastNumber())
				if r.recordEvents(now, events, repeated) {
					g.gateway.pendingRuns.remove(r)
					g.gate.recordFirstEvent(r.chain, r.startedAt)
					g.gateway.control.recordSuccess(r.chain.Stages[0].Server, now.Sub(r.startedAt))
				}
			}
			if events > 0 {
				g.forwardEvents(now, response, complete)
				if r.becameSound(now) {
					g.reportSound(false)
				}
			} else if g.headerSent && len(complete) > 0 { // only stream comments, no event
				g.writeAndFlush(complete)
			}
			if parseErr != nil {
				g.gateway.control.recordFailure(r.chain.Stages[0].Server)
				return outcomeUnknown, parseErr
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			return g.classifyRelayError(ctx, r, err)
		}
		// The end of the connection alone does not show that a run which sent no event had
		// nothing more to send.
		endsEarly := r.produced.Load() == 0 && !response.Framed
		if g.splitter.HasPartial() || !g.headerSent || endsEarly {
			g.gateway.control.recordFailure(r.chain.Stages[0].Server)
			g.reportBroken(r.firstInstance(), g.brokenState(r))
			return outcomeUnknown, g.breakCause(r, io.ErrUnexpectedEOF)
		}
		g.reportSound(true)
		if g.caller.LastEventID == "" { // else other VMs sent a part of the answer
			g.gate.recordAnswer(g.likely, g.eventsForwarded+r.events.Load())
		}
		g.gateway.stats.LongestGap(g.rank, g.longestGap)
		g.recordAnswer(http.StatusOK, func(e *zerolog.Event) {
			e.Int64("first_event_ms", g.timeToFirstEvent.Milliseconds()).Int64("longest_gap_ms", g.longestGap.Milliseconds()).
				Int64("waited_ms", g.queueWait.Milliseconds()).Int("runs", g.unknownRuns+1).Str("last_event", g.splitter.LastID()).
				Int("expected_tokens", g.request.Need.AnswerTokens).Int64("expected_first_ms", r.chain.ExpectedFirstEvent.Milliseconds()).Int64("queue_ms", r.chain.QueueWait.Milliseconds())
		})
		return outcomeAnswered, nil
	}
}

// forwardEvents writes complete events to the caller, and the header of the answer before the
// first ones.
func (g *generation) forwardEvents(now time.Time, response *exchange.Response, complete []byte) {
	if !g.headerSent {
		g.headerSent = true
		g.timeToFirstEvent = now.Sub(g.arrived)
		g.gateway.stats.FirstEvent(g.rank, g.timeToFirstEvent)
		platform.CopyReplyHeaders(g.w.Header(), response.Header)
		g.w.WriteHeader(http.StatusOK)
	} else if gap := now.Sub(g.lastEventAt); gap > g.longestGap {
		g.longestGap = gap
	}
	g.lastEventAt = now
	g.writeAndFlush(complete)
}

// writeAndFlush sends bytes to the caller immediately.
func (g *generation) writeAndFlush(data []byte) {
	if _, err := g.w.Write(data); err != nil {
		return // the caller has disconnected: its context ends the run
	}
	if f, ok := g.w.(http.Flusher); ok {
		f.Flush()
	}
}

// classifyRelayError returns the outcome of a run whose stream broke off. Unless the context of
// the run ended, it reports a crash of the first server and has all servers of the chain
// probed.
func (g *generation) classifyRelayError(ctx context.Context, r *run, err error) (sendOutcome, error) {
	if g.ctx.Err() != nil {
		return outcomeContextEnded, context.Cause(g.ctx)
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errFirstServerDead) {
		return outcomeUnknown, cause
	}
	g.reportBroken(r.firstInstance(), g.brokenState(r))
	for _, stage := range r.currentStages() { // any of them may have failed
		g.gateway.control.requestProbe(stage.Server)
	}
	return outcomeUnknown, g.breakCause(r, err)
}

// errPlannedEnd means that a run broke off because its first server ended, as it had announced.
var errPlannedEnd = errors.New("first server of the chain has left")

// breakCause returns the cause of the end of a run whose stream broke off with an error.
func (g *generation) breakCause(r *run, err error) error {
	if g.gateway.view.Load().leaving[r.chain.Stages[0].Server] {
		return fmt.Errorf("%w: %w", errPlannedEnd, err)
	}
	return err
}
