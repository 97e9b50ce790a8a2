package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/eventstream"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/platform"
)

// moveRetryInterval is the time between two attempts to move the same run, if a chain could be reserved.
const moveRetryInterval = 100 * time.Millisecond

// departure describes why and how a run leaves its chain.
type departure struct {
	cause       error
	spendBudget func() bool
	// avoid holds the servers that the other chain must not use.
	avoid map[fleet.UpstreamID]bool
}

// replacement is the chain that was reserved to replace that of a run.
type replacement struct {
	chain *chain.Chain
	// move is the begin of a run on the chain while the replaced run goes on; nil if that one ends first.
	move *move
}

// move is the begin of a run on another chain while a run of the same generation goes on. The
// former run ends once the first event of the new one has arrived. If none does, the caller notices
// nothing.
//
// The goroutine of the move has the state of the call that sends use to itself: the goroutine of the
// request leaves it alone while a run goes on, and waits for done before it sends again.
type move struct {
	// run is the new run.
	run    *run
	cause  error
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastEventID is that of the last event that the caller had got when the move began.
	lastEventID string
	// done is closed once the outcome is known. The fields below are set before.
	done chan struct{}
	// response is the answer of the new run, from its beginning; nil if the run has not begun.
	response *exchange.Response
	// refusedBy is the server that refused or failed the new run, if any.
	refusedBy fleet.UpstreamID
}

// leave reserves another chain for a run, so that another run continues it there, and reports whether it
// did. handover.VM.Leaves decides which of the two runs ends or begins first.
func (c *control) leave(r *run, d departure) bool {
	g := r.generation
	self := g.gateway.handoverSelf()
	way := self.Leaves(handover.Departure{MayBeSound: c.mayBeSound(r), ServersEnd: c.serversEnd(r)})
	if way == handover.Stay || way == handover.BeginFirst && g.isKnownToCrash() {
		return false
	}
	var m *move
	if way == handover.BeginFirst {
		m = &move{cause: d.cause, done: make(chan struct{})}
	}
	if !g.reserveReplacement(r, m, d.spendBudget, d.avoid) {
		return false
	}
	if m == nil {
		r.cancel(d.cause)
	} else {
		g.gateway.spawn("move", func() { g.begin(r, m) })
	}
	return true
}

// mayBeSound reports whether a run may go on on its chain, after events that the caller has got. A
// silent one may, and one whose change of path failed.
func (c *control) mayBeSound(r *run) bool {
	dead := func(s chain.Stage) bool { return serverHealth{c.health}.Dead(s.Server) }
	return r.hasProgress() && !slices.ContainsFunc(r.path.current.Stages, dead)
}

// serversEnd returns the earliest time at which a server other than the first one of a run's chain is
// expected to end; zero if none is about to.
func (c *control) serversEnd(r *run) (earliest time.Time) {
	for _, stage := range r.path.current.Stages[1:] {
		since, ending := c.drainingSince[stage.Server]
		if end := since.Add(c.g.platformBounds.Load().MinDrain); ending && (earliest.IsZero() || end.Before(earliest)) {
			earliest = end
		}
	}
	return earliest
}

// prepare sets up the new run of a move, before the goroutine of the request can know of it.
func (m *move) prepare(old *run, c *chain.Chain) {
	g := old.generation
	m.run = newRun(g, c, 0, 0) // they are known once the old run has ended
	m.ctx, m.cancel = context.WithCancelCause(g.ctx)
	m.run.cancel = m.cancel
	m.lastEventID = strconv.FormatUint(old.lastNumber.Load(), 10)
}

// begin begins the new run of a move. The old run ends if the new one is accepted.
func (g *generation) begin(old *run, m *move) {
	defer close(m.done)
	outcome, err := g.sendMove(m)
	if m.response != nil {
		old.cancel(m.cause)
		return
	}
	if outcome == outcomeUnknown {
		old.failedMoves.Add(1)
	}
	if m.refusedBy != "" {
		g.gateway.stats.Count("moves_refused")
		g.logLine(event.MoveRefused).Str("upstream", string(m.refusedBy)).Str("reason", retryReason(outcome)).
			Str("after_event", m.lastEventID).AnErr("cause", err).Send()
	}
	if reserved := old.replacement.Load(); reserved != nil && reserved.move == m && old.replacement.CompareAndSwap(reserved, nil) {
		m.discard() // else the goroutine of the request does
	}
}

// sendMove sends the request to the chain of a move and waits for the first event.
func (g *generation) sendMove(m *move) (sendOutcome, error) {
	stages := m.run.chain.Stages
	first := stages[0]
	if id, unavailable := g.gateway.notices.firstUnavailable(time.Now(), stages); unavailable {
		m.refusedBy = id
		return outcomeNotRun, errServerUnavailable
	}
	response, err := g.gateway.pool.Do(m.ctx, g.runRequest(m.run.chain, m.lastEventID))
	if err != nil {
		if m.ctx.Err() != nil {
			return outcomeContextEnded, context.Cause(m.ctx)
		}
		m.refusedBy = first.Server
		return g.recordUnanswered(first.Server, err), err
	}
	reply := platform.ParseReply(response.Status, response.Header)
	g.gateway.recordNotice(first.Server, first.StartedAt, reply.Notice)
	switch {
	case reply.NotRun:
		m.refusedBy = g.recordRefusingServer(reply, first.Server)
		response.Close()
		return outcomeNotRun, errChainRefused
	case response.Status != http.StatusOK || !isSoundStream(response, reply):
		err = errInvalidAnswer
	default:
		err = m.awaitEvent(response)
	}
	if err == nil {
		m.response = response
		return outcomeAnswered, nil
	}
	response.Close()
	if m.ctx.Err() != nil {
		return outcomeContextEnded, context.Cause(m.ctx)
	}
	m.refusedBy = first.Server
	g.gateway.control.recordFailure(first.Server)
	return outcomeUnknown, err
}

// awaitEvent reads an answer until its first event has arrived. The body then begins anew.
func (m *move) awaitEvent(response *exchange.Response) error {
	var splitter eventstream.Splitter
	splitter.ResumeAfter(m.lastEventID)
	var read bytes.Buffer
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := response.Body.Read(buffer)
		read.Write(buffer[:n])
		_, events, parseErr := splitter.Feed(buffer[:n])
		switch {
		case events > 0:
			response.Body = io.MultiReader(&read, response.Body)
			return nil
		case parseErr != nil:
			return parseErr
		case read.Len() > eventstream.MaxEventBytes: // comments without end
			return eventstream.ErrTooLarge
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// recordUnanswered reports a send that got no answer to failure detection and returns its outcome.
func (g *generation) recordUnanswered(id fleet.UpstreamID, err error) sendOutcome {
	var failure *exchange.Error
	switch {
	case !errors.As(err, &failure) || failure.Sent:
		g.gateway.control.recordFailure(id)
		return outcomeUnknown
	case exchange.IsConnectionRefused(err):
		g.gateway.control.recordConnectionRefused(id)
	default:
		g.gateway.control.requestProbe(id)
	}
	return outcomeNotRun
}

// abandon ends a move that is not needed any more.
func (m *move) abandon() {
	m.cancel(nil)
	<-m.done
	m.discard()
}

// discard releases what a move holds, once its outcome is known.
func (m *move) discard() {
	m.cancel(nil)
	if m.response != nil {
		m.response.Close()
	}
	m.run.release()
}

// awaitSuccessor returns what continues a run that has ended: the reserved chain, if another run may
// begin or has begun there, or nil.
func (g *generation) awaitSuccessor(reserved *replacement, outcome sendOutcome) *replacement {
	switch {
	case reserved == nil:
		return nil
	case outcome != outcomeUnknown: // the run ended before it was replaced
		g.drop(reserved)
		return nil
	case reserved.move == nil:
		return reserved
	}
	m := reserved.move
	<-m.done
	if m.response != nil {
		return reserved
	}
	if m.refusedBy != "" {
		g.avoidedUpstreams[m.refusedBy] = true
	}
	m.discard()
	return nil
}

// drop ends the use of a chain that was reserved for a run and is not needed.
func (g *generation) drop(reserved *replacement) {
	switch {
	case reserved == nil:
	case reserved.move != nil:
		reserved.move.abandon()
	default:
		g.gate.release(g.request, reserved.chain)
	}
}

// logMove logs that another run has taken the place of one that ended.
func (g *generation) logMove(m *move, cause error) {
	g.gateway.stats.Count("moves")
	g.logLine(event.RunMoved).AnErr("cause", cause).Str("after_event", m.lastEventID).Str("last_event", g.splitter.LastID()).
		Int64("took_ms", time.Since(m.run.startedAt).Milliseconds()).Int("runs", g.unknownRuns).Send()
}
