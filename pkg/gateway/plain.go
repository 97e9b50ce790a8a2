package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/internal/liveness"
	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/retry"
	"github.com/cornelline/cornelline/platform"
)

// plainLoad counts this VM's requests in flight on a server of a plain service.
type plainLoad struct{ running atomic.Int64 }

const (
	// queuedPerSlot is the number of requests per slot that all VMs together may queue on a
	// server. Servers refuse requests beyond a few times their slots.
	queuedPerSlot = 3
	// maxServersTried bounds the servers to which one request is offered.
	maxServersTried = 4
	// maxBufferedAnswer is the size up to which an answer is buffered until it is complete.
	// Larger answers are streamed to the caller.
	maxBufferedAnswer = 1 << 20
	// minSendTime is the shortest remaining time in which another send is attempted.
	minSendTime = 30 * time.Millisecond
	// fullRetryAfter is the mean retry delay for callers of a plain service at capacity: a
	// few times its service time, which is some tens of milliseconds.
	fullRetryAfter = 150 * time.Millisecond
	// firstAttemptShare is the share of the remaining time that the first send of a
	// repeatable request may take.
	firstAttemptShare = 0.6
	// minFirstAttempt is the lower bound of that time: several times the usual service time.
	minFirstAttempt = 150 * time.Millisecond
)

// sendOutcome is the outcome of one send.
type sendOutcome uint8

const (
	// outcomeAnswered: the caller got its answer.
	outcomeAnswered sendOutcome = iota
	// outcomeNotRun: the request did not run and never will.
	outcomeNotRun
	// outcomeUnknown: the request may have run or may still run.
	outcomeUnknown
	// outcomeContextEnded: the caller has disconnected, the deadline has passed or this VM exits.
	outcomeContextEnded
)

// servePlain serves a request for a plain service.
func (c *call) servePlain(service *catalog.Service) {
	if !handover.AcceptsPlain(time.Now(), c.gateway.handoverSelf(), c.timeRemaining()) {
		c.refuse(result.Draining, c.drainRetryAfter(0))
		return
	}
	avoid := make(map[fleet.UpstreamID]bool)
	for serversTried := 0; ; serversTried++ {
		s, unavailable := c.pickPlainServer(service, avoid)
		if s == nil {
			c.refusePlain(unavailable)
			return
		}
		if c.refuseCrashing() {
			return
		}
		outcome, cause := c.attemptPlain(s)
		avoid[s.id] = true
		switch outcome {
		case outcomeAnswered:
			return
		case outcomeContextEnded:
			c.answerContextEnd(cause)
			return
		case outcomeNotRun:
			if serversTried+1 < maxServersTried && c.deliveries < c.route.MaxAttempts && c.timeRemaining() > minSendTime && c.ctx.Err() == nil && c.spendRetry(service, "not_run") {
				continue
			}
			_, unavailable = c.pickPlainServer(service, avoid) // finds out why no other server is available
			c.refusePlain(unavailable)
			return
		}
		if c.canRetryElsewhere() && c.mayRetryAfterCrash() && c.spendRetry(service, "unknown") {
			continue
		}
		c.awaitCrashHeard()
		c.fail(result.New(result.UpstreamOutcomeUnknown, result.OutcomeUnknown, "the connection broke after the request was sent").WithCause(cause))
		return
	}
}

// attemptPlain sends the request to one server and counts it there until it ends, also if a
// panic aborts the caller's connection.
func (c *call) attemptPlain(s *plainServer) (sendOutcome, error) {
	s.load.running.Add(1)
	defer s.load.running.Add(-1)
	return c.sendPlain(s)
}

// noServerReason says why no server of a plain service is available.
type noServerReason struct {
	// atCapacity is set if servers exist that have no free capacity.
	atCapacity bool
	// pauseEnds is when the first pause ends, if servers asked for a pause; zero otherwise.
	pauseEnds time.Time
}

// refusePlain answers a request for which no server is available.
func (c *call) refusePlain(unavailable noServerReason) {
	switch {
	case c.possibleRuns > 0:
		c.fail(result.New(result.UpstreamFailed, result.OutcomeUnknown, "no further server takes the request"))
	case unavailable.atCapacity:
		c.refuse(result.QueueFull, jitter(fullRetryAfter))
	case !unavailable.pauseEnds.IsZero():
		c.refuse(result.NoUpstream, time.Until(unavailable.pauseEnds)+jitter(fullRetryAfter))
	default:
		c.refuse(result.NoUpstream, jitter(fullRetryAfter))
	}
}

// jitter returns a random time between 0.5 and 1.5 times d, so that callers refused together
// do not retry together.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + random()) * float64(d))
}

// answerContextEnd answers a request whose context ended: the caller has disconnected, the
// deadline has passed or this VM exits.
func (c *call) answerContextEnd(cause error) {
	if c.callerGone() {
		c.abortCancelled()
		return
	}
	if errors.Is(cause, errExit) {
		c.fail(result.New(result.UpstreamOutcomeUnknown, result.OutcomeUnknown, "this VM exits before the answer").WithCause(cause))
		return
	}
	c.fail(result.New(result.DeadlineExceeded, result.OutcomeUnknown, "no answer in time").WithCause(cause))
}

// abortCancelled closes the connection of a caller that has disconnected. It panics with
// http.ErrAbortHandler and does not return.
func (c *call) abortCancelled() {
	c.gateway.stats.Count("cancelled")
	c.recordEnd("cancelled", 0)
	c.logLine(event.RequestCancelled).Send()
	panic(http.ErrAbortHandler)
}

// spendRetry takes one retry from the retry budget that all VMs share and reports whether it is
// granted.
func (c *call) spendRetry(service *catalog.Service, reasonLabel string) bool {
	return c.spendRetryBudget(service, reasonLabel, false)
}

// spendRetryBudget takes one retry from the retry budget and reports whether it is granted. A
// migration is a retry for a run that could also stay on its chain.
func (c *call) spendRetryBudget(service *catalog.Service, reasonLabel string, migration bool) bool {
	if c.callerGone() {
		return false
	}
	if limit := c.gateway.retryBudgets.take(time.Now(), service.ID, migration); limit != retry.NoLimit {
		c.gateway.stats.Count("retries_denied", "reason", reasonLabel)
		c.logLine(event.RetryDenied).Str("reason", reasonLabel).Str("limit", string(limit)).Send()
		return false
	}
	c.gateway.stats.Retried(reasonLabel)
	return true
}

// pickPlainServer returns the server with the lowest cost, or why none is available. The
// cost is the number of this VM's requests per weight, plus penalties for servers in other
// data centres and for servers that asked another VM for a pause, plus a random part that
// spreads requests over servers of equal cost.
func (c *call) pickPlainServer(service *catalog.Service, avoid map[fleet.UpstreamID]bool) (best *plainServer, unavailable noServerReason) {
	servers := c.gateway.view.Load().plain[service.ID]
	vms := max(c.view.assumedVMs, 1)
	bestCost := 0.0
	now := time.Now()
	for i := range servers {
		s := &servers[i]
		if s.weight <= 0 {
			continue
		}
		switch c.gateway.notices.state(now, s.instance()) {
		case notice.ShuttingDown:
			continue
		case notice.Paused:
			if until := c.gateway.notices.pausedUntil(s.instance()); unavailable.pauseEnds.IsZero() || until.Before(unavailable.pauseEnds) {
				unavailable.pauseEnds = until
			}
			continue
		}
		if avoid[s.id] {
			continue
		}
		running := s.load.running.Load()
		if limit := max(int64(s.slots*(1+queuedPerSlot)/vms), 2); running >= limit {
			unavailable.atCapacity = true
			continue
		}
		cost := (float64(running) + 1) / s.weight
		if s.dataCentre != c.gateway.settings.Self.DataCentre {
			cost += remoteCost
		}
		cost += random() * remoteCost / 2
		if now.Before(c.gateway.notices.hintedUntil(s.instance())) {
			cost += hintedPauseCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, unavailable
}

// hintedPauseCost is the penalty of a server that asked another VM for a pause, in
// requests.
const hintedPauseCost = 1

// remoteCost is the penalty of a server in another data centre, in requests. The network
// hop takes a tenth of the usual service time.
const remoteCost = 0.1

// sendPlain sends the request to one server and forwards its answer.
func (c *call) sendPlain(s *plainServer) (sendOutcome, error) {
	ctx := c.ctx
	if c.route.Repeatable() && c.possibleRuns+1 < c.route.MaxAttempts {
		limit := max(minFirstAttempt, time.Duration(firstAttemptShare*float64(c.timeRemaining())))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errAttemptTimeout)
		defer cancel()
	}
	sentAt := time.Now()
	remaining := c.timeRemaining()
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	head := platform.EncodeRequestHead(c.httpRequest, platform.ForwardHeaders{Team: c.team, Instance: s.id, TimeLeft: remaining, Urgency: -1}, c.bodyLength)
	c.logSend(string(s.id), nil, remaining)
	response, err := c.gateway.pool.Do(ctx, c.exchangeRequest(s.address, head))
	if err != nil {
		return c.classifySendError(ctx, s.instance(), err, func() bool { return liveness.HasEnded(c.ctx, c.gateway.dial, s.address) })
	}
	defer response.Close()
	reply := platform.ParseReply(response.Status, response.Header)
	c.gateway.recordNotice(s.id, s.startedAt, reply.Notice)
	if reply.NotRun && reply.WrongInstance {
		c.gateway.control.requestProbe(s.id)
		return outcomeNotRun, nil
	}
	c.deliveries++
	if reply.NotRun {
		return outcomeNotRun, nil
	}
	c.possibleRuns++
	if statusMeansNotRun(response.Status) { // reply.NotRun is not set, so it may have run
		return outcomeUnknown, errAmbiguousRefusal
	}
	if response.Status >= http.StatusInternalServerError && c.canRetryElsewhere() {
		c.gateway.control.recordFailure(s.id)
		return outcomeUnknown, errServerFailed
	}
	if response.Status < http.StatusBadRequest && (!reply.Signed || reply.Encoded) {
		c.gateway.control.recordFailure(s.id)
		return outcomeUnknown, errInvalidAnswer
	}
	return c.forwardAnswer(ctx, s, response, sentAt)
}

// Causes of failed sends.
var (
	errAttemptTimeout   = errors.New("upstream exceeded the timeout of the first attempt")
	errAmbiguousRefusal = errors.New("upstream refused without saying that the request did not run")
	// errServerFailed means that the upstream answered with an error status, after which
	// another run may be tried.
	errServerFailed  = errors.New("upstream answered with an error")
	errInvalidAnswer = errors.New("answer is unsigned, has a content encoding or is no event stream")
)

// canRetryElsewhere reports whether the request may run on one more server.
func (c *call) canRetryElsewhere() bool {
	return c.route.Repeatable() && c.possibleRuns < c.route.MaxAttempts && c.timeRemaining() > minSendTime
}

// classifySendError returns the outcome of a send that got no answer, and has the server probed
// or reports its failure if the request's context has not ended. crashed tells whether the request
// may have crashed the server, given that the server broke the connection.
func (c *call) classifySendError(ctx context.Context, up notice.Instance, err error, crashed func() bool) (sendOutcome, error) {
	var failure *exchange.Error
	sent := !errors.As(err, &failure) || failure.Sent
	id := up.ID
	if sent {
		c.possibleRuns++
		c.deliveries++
	}
	switch {
	case c.ctx.Err() != nil && !sent && !c.callerGone():
		return outcomeNotRun, err
	case c.ctx.Err() != nil:
		return outcomeContextEnded, context.Cause(c.ctx)
	case ctx.Err() != nil:
		c.gateway.control.requestProbe(id)
		return outcomeUnknown, context.Cause(ctx)
	case !sent && exchange.IsConnectionRefused(err):
		c.gateway.control.recordConnectionRefused(id)
		return outcomeNotRun, err
	case !sent:
		c.gateway.control.requestProbe(id)
		return outcomeNotRun, err
	}
	c.gateway.control.recordFailure(id)
	if !errors.Is(err, exchange.ErrNotAnAnswer) { // else the upstream goes on
		c.reportBroken(up, brokenRun{starting: crashed()})
	}
	return outcomeUnknown, err
}

// forwardAnswer sends an answer to the caller. It reads an answer of up to maxBufferedAnswer
// bytes completely before it sends the first byte, and streams the rest of a larger one or of one
// for which there is no room.
func (c *call) forwardAnswer(ctx context.Context, s *plainServer, response *exchange.Response, sentAt time.Time) (sendOutcome, error) {
	body, complete, err := c.held.ReadAnswer(response.Body, response.Length, maxBufferedAnswer+1)
	if err != nil {
		if c.ctx.Err() != nil {
			return outcomeContextEnded, context.Cause(c.ctx)
		}
		c.gateway.control.recordFailure(s.id)
		c.reportBroken(s.instance(), brokenRun{began: true, starting: liveness.HasEnded(c.ctx, c.gateway.dial, s.address)})
		return outcomeUnknown, err
	}
	c.reportSound(true)
	c.gateway.soundRequests.Add(crashcause.Part(c.print))
	if response.Status >= http.StatusInternalServerError {
		c.gateway.stats.Count("upstream_errors")
	} else {
		c.gateway.control.recordSuccess(s.id, time.Since(sentAt))
	}
	c.writeAnswer(response, body, complete)
	c.recordAnswer(response.Status, nil)
	return outcomeAnswered, nil
}

// writeAnswer sends an answer of which the first segments have been read, and streams the rest if they
// are not complete.
func (c *call) writeAnswer(response *exchange.Response, body [][]byte, complete bool) {
	platform.CopyReplyHeaders(c.w.Header(), response.Header)
	if complete {
		c.w.Header().Set("Content-Length", strconv.Itoa(segmentsLength(body)))
	}
	c.w.WriteHeader(response.Status)
	c.writeSegments(body)
	if complete {
		return
	}
	if _, err := io.Copy(c.w, response.Body); err != nil {
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	}
}

// segmentsLength returns the length of a text in segments.
func segmentsLength(segments [][]byte) (length int) {
	for _, segment := range segments {
		length += len(segment)
	}
	return length
}

// writeSegments writes segments to the caller and drops each one that has been written.
func (c *call) writeSegments(segments [][]byte) {
	for i, segment := range segments {
		if _, err := c.w.Write(segment); err != nil {
			return // the caller has disconnected
		}
		segments[i] = nil
	}
}

// logSend logs a send to an upstream or a chain.
func (c *call) logSend(upstream string, chain []string, remaining time.Duration) {
	line := c.logLine(event.RequestSent).Int64("left_ms", remaining.Milliseconds()).Int("sends", c.possibleRuns).
		Uint64("config", c.view.catalog.Version).Int("vms", c.view.vms)
	if chain != nil {
		line = line.Strs("chain", chain)
	} else {
		line = line.Str("upstream", upstream)
	}
	line.Send()
}

// recordAnswer logs an answered request and records it in the metrics.
func (c *call) recordAnswer(status int, addFields func(*zerolog.Event)) {
	outcome := "whole"
	if status >= http.StatusBadRequest {
		outcome = "server_failure"
	}
	took := c.recordEnd(outcome, status)
	line := c.logLine(event.RequestDone).Int("status", status).Int64("ms", took.Milliseconds())
	if addFields != nil {
		addFields(line)
	}
	line.Send()
}

// recordEnd records the end of a request in the metrics; status is 0 if the caller got no
// complete answer.
func (c *call) recordEnd(outcome string, status int) time.Duration {
	took := time.Since(c.arrived)
	kind := "unknown" // no route
	if c.route != nil {
		kind = c.route.Repeat.String()
	}
	c.gateway.stats.Answered(kind, outcome, c.rank, status, took)
	return took
}

// logLine starts a log line about the request.
func (c *call) logLine(id event.ID) *zerolog.Event {
	line := c.gateway.log.Log(id).Str("request", string(c.caller.ID))
	if c.route != nil {
		line = line.Str("route", string(c.route.ID)).Int("rank", c.rank)
	}
	if c.team != "" {
		line = line.Str("team", string(c.team))
	}
	return line
}
