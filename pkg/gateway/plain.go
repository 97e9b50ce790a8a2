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

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/platform"
)

// plainLoad counts this VM's requests on a server of a plain service.
type plainLoad struct{ running atomic.Int64 }

const (
	// queueFactor times a server's slots is the number of requests that all VMs
	// together let wait there; servers refuse more than a few times their slots.
	queueFactor = 3
	// maxConnects bounds the servers tried for a connection for one request.
	maxConnects = 4
	// maxAnswer is the largest answer that is held back until it is whole. Larger
	// ones are passed on as they come.
	maxAnswer = 1 << 20
	// leastLeft is the shortest time worth another send.
	leastLeft = 30 * time.Millisecond
	// shedRetryAfter is the mean time after which callers of a full plain service
	// come back: a few times its work, which takes some tens of milliseconds.
	shedRetryAfter = 150 * time.Millisecond
	// firstTryShare is the part of the time left that the first send of a request
	// may take that can be sent again.
	firstTryShare = 0.6
	// slowTry is the least such time, several times the usual work.
	slowTry = 150 * time.Millisecond
)

// outcome is what became of one send.
type outcome uint8

const (
	// answered: the caller has its answer.
	answered outcome = iota
	// notRun: the request did not run and never will.
	notRun
	// unknown: the request may have run or may still run.
	unknown
	// left: the caller has gone, or the answer is due.
	left
)

// plain serves a request of a plain service.
func (c *call) plain(service *catalog.Service) {
	avoid := make(map[fleet.UpstreamID]bool)
	for connects := 0; ; connects++ {
		s, why := c.pickPlain(service, avoid)
		if s == nil {
			c.plainRefused(why)
			return
		}
		got, cause := c.tryPlain(s)
		avoid[s.id] = true
		switch got {
		case answered:
			return
		case left:
			c.ended(cause)
			return
		case notRun:
			if connects+1 < maxConnects && c.offers < c.route.Attempts && c.left() > leastLeft && c.mayRepeat(service, "not_run") {
				continue
			}
			_, why = c.pickPlain(service, avoid) // what stands in the way of a further send
			c.plainRefused(why)
			return
		}
		if c.mayAskAnother() && c.mayRepeat(service, "unknown") {
			continue
		}
		c.fail(result.New(result.UpstreamUnknown, result.OutcomeUnknown, "the connection broke after the request was sent").WithCause(cause))
		return
	}
}

// tryPlain sends the request to one server and counts it there meanwhile, also when the
// caller's connection is broken off by a panic.
func (c *call) tryPlain(s *plainServer) (outcome, error) {
	s.load.running.Add(1)
	defer s.load.running.Add(-1)
	return c.sendPlain(s)
}

// noServer says why no server of a plain service takes a request.
type noServer struct {
	// full is set if servers exist that have no room.
	full bool
	// paused is when the first pause ends, if servers exist that want no requests for a
	// time; zero otherwise.
	paused time.Time
}

func (c *call) plainRefused(why noServer) {
	switch {
	case c.sends > 0:
		c.fail(result.New(result.UpstreamFailed, result.OutcomeUnknown, "no further server takes the request"))
	case why.full:
		c.refuse(result.QueueFull, spread(shedRetryAfter))
	case !why.paused.IsZero():
		c.refuse(result.NoUpstream, time.Until(why.paused)+spread(shedRetryAfter))
	default:
		c.refuse(result.NoUpstream, spread(shedRetryAfter))
	}
}

// spread returns a time between half of and one and a half times d, so that
// callers refused together do not come back together.
func spread(d time.Duration) time.Duration {
	return time.Duration((0.5 + random()) * float64(d))
}

// ended answers a request whose context ended: the caller has left, or the
// answer is due.
func (c *call) ended(why error) {
	if c.gone() {
		c.cancelled()
		return
	}
	c.fail(result.New(result.DeadlineExceeded, result.OutcomeUnknown, "no answer in time").WithCause(why))
}

// cancelled ends the connection of a caller that has left.
func (c *call) cancelled() {
	c.g.stats.Count("cancelled")
	c.observe("cancelled", 0)
	c.line(event.RequestCancelled).Send()
	panic(http.ErrAbortHandler)
}

// mayRepeat takes one repeated send from the budget that all VMs share.
func (c *call) mayRepeat(service *catalog.Service, why string) bool {
	return c.takeRepeat(service, why, false)
}

// takeRepeat takes one send from the budget; move says that the run could stay where it is.
func (c *call) takeRepeat(service *catalog.Service, why string, move bool) bool {
	if c.gone() {
		return false
	}
	if !c.g.budgets.allow(time.Now(), service.ID, move) {
		c.g.stats.Count("retries_denied", "reason", why)
		c.line(event.RetryDenied).Str("reason", why).Send()
		return false
	}
	c.g.stats.Retried(why)
	return true
}

// pickPlain returns the server with the fewest requests of this VM, one of the
// own data centre among equals, or why there is none.
func (c *call) pickPlain(service *catalog.Service, avoid map[fleet.UpstreamID]bool) (best *plainServer, why noServer) {
	servers := c.g.view.Load().plain[service.ID]
	vms := max(c.view.vms, 1)
	bestCost := 0.0
	now := time.Now()
	for i := range servers {
		s := &servers[i]
		if s.weight <= 0 {
			continue
		}
		switch c.g.notices.state(now, s.instance()) {
		case notice.Ending:
			continue
		case notice.Paused:
			if until := c.g.notices.pausedUntil(s.instance()); why.paused.IsZero() || until.Before(why.paused) {
				why.paused = until
			}
			continue
		}
		if avoid[s.id] {
			continue
		}
		running := s.load.running.Load()
		if limit := max(int64(s.slots*(1+queueFactor)/vms), 2); running >= limit {
			why.full = true
			continue
		}
		cost := (float64(running) + 1) / s.weight
		if s.dataCentre != c.g.settings.Self.DataCentre {
			cost += foreignCost
		}
		cost += random() * foreignCost / 2
		if now.Before(c.g.notices.hintedUntil(s.instance())) {
			cost += sparedCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, why
}

// sparedCost is the handicap of a server that asked another VM for a pause, in requests.
const sparedCost = 1

// foreignCost is the handicap of a server in another data centre, in requests:
// its hop takes a tenth of the usual work.
const foreignCost = 0.1

// sendPlain sends the request to one server and passes its answer on.
func (c *call) sendPlain(s *plainServer) (outcome, error) {
	ctx := c.ctx
	if c.route.Repeatable() && c.sends+1 < c.route.Attempts {
		limit := max(slowTry, time.Duration(firstTryShare*float64(c.left())))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errTrySlow)
		defer cancel()
	}
	began := time.Now()
	remaining := c.left()
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	head := platform.EncodeRequest(c.r, platform.Forward{Team: c.team, Instance: s.id, Left: remaining, Urgency: -1}, len(c.body))
	c.sent(string(s.id), nil, remaining)
	answer, err := c.g.pool.Do(ctx, exchange.Request{
		Address: s.address, ID: string(c.caller.ID), Method: c.r.Method, Head: head, Body: c.body,
	})
	if err != nil {
		return c.sendFailed(ctx, s.id, err)
	}
	defer answer.Close()
	reply := platform.ParseReply(answer.Status, answer.Header)
	c.g.noticed(s.id, s.born, reply.Notice)
	if reply.NotRun && reply.WrongInstance {
		c.g.control.suspect(s.id)
		return notRun, nil
	}
	c.offers++
	if reply.NotRun {
		return notRun, nil
	}
	c.sends++
	if promises(answer.Status) { // without the upstream's promise that it did not run
		return unknown, errNoPromise
	}
	if answer.Status >= http.StatusInternalServerError && c.mayAskAnother() {
		c.g.control.failed(s.id)
		return unknown, errServerFailed
	}
	if answer.Status < http.StatusBadRequest && (!reply.Signed || reply.Encoded) {
		c.g.control.failed(s.id)
		return unknown, errSpoiled
	}
	return c.passOn(ctx, s, answer, began)
}

// Causes of failed sends.
var (
	errTrySlow   = errors.New("upstream slower than its share of the time")
	errNoPromise = errors.New("upstream refused without saying that the request did not run")
	// errServerFailed is an error of the upstream's own that is asked of another one.
	errServerFailed = errors.New("upstream answered with an error")
	errSpoiled      = errors.New("answer without signature")
)

// mayAskAnother reports whether the request may run on one more server.
func (c *call) mayAskAnother() bool {
	return c.route.Repeatable() && c.sends < c.route.Attempts && c.left() > leastLeft
}

// sendFailed classifies a send without an answer.
func (c *call) sendFailed(ctx context.Context, id fleet.UpstreamID, err error) (outcome, error) {
	var failure *exchange.Error
	sent := !errors.As(err, &failure) || failure.Sent
	if sent {
		c.sends++
		c.offers++
	}
	switch {
	case c.ctx.Err() != nil && !sent && !c.gone():
		return notRun, err
	case c.ctx.Err() != nil:
		return left, context.Cause(c.ctx)
	case ctx.Err() != nil:
		c.g.control.suspect(id)
		return unknown, context.Cause(ctx)
	case !sent && exchange.Refused(err):
		c.g.control.refused(id)
		return notRun, err
	case !sent:
		c.g.control.suspect(id)
		return notRun, err
	}
	c.g.control.failed(id)
	c.crashed(id)
	return unknown, err
}

// passOn reads the whole answer and gives it to the caller.
func (c *call) passOn(ctx context.Context, s *plainServer, answer *exchange.Answer, began time.Time) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		if c.ctx.Err() != nil {
			return left, context.Cause(c.ctx)
		}
		c.g.control.failed(s.id)
		return unknown, err
	}
	if answer.Status >= http.StatusInternalServerError {
		c.g.stats.Count("upstream_errors")
	} else {
		c.g.control.succeeded(s.id, time.Since(began))
	}
	platform.CopyReply(c.w.Header(), answer.Header)
	large := len(body) > maxAnswer
	if !large {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(body) // a caller that left reads nothing
	if large {
		if _, err := io.Copy(c.w, answer.Body); err != nil {
			panic(http.ErrAbortHandler) // an answer that ends early must not look whole
		}
	}
	c.done(answer.Status, nil)
	return answered, nil
}

// sent logs a send to an upstream or a chain.
func (c *call) sent(upstream string, chain []string, remaining time.Duration) {
	line := c.line(event.RequestSent).Int64("left_ms", remaining.Milliseconds()).Int("sends", c.sends).
		Uint64("config", c.view.catalog.Version).Int("vms", c.view.vms)
	if chain != nil {
		line = line.Strs("chain", chain)
	} else {
		line = line.Str("upstream", upstream)
	}
	line.Send()
}

// done logs an answered request and books its time.
func (c *call) done(status int, more func(*zerolog.Event)) {
	outcome := "whole"
	if status >= http.StatusBadRequest {
		outcome = "server_failure"
	}
	took := c.observe(outcome, status)
	line := c.line(event.RequestDone).Int("status", status).Int64("ms", took.Milliseconds())
	if more != nil {
		more(line)
	}
	line.Send()
}

// observe books the end of a request in the metrics; status is 0 when its caller got
// no whole answer.
func (c *call) observe(outcome string, status int) time.Duration {
	took := time.Since(c.arrived)
	kind := "unknown" // no route
	if c.route != nil {
		kind = c.route.Repeat.String()
	}
	c.g.stats.Answered(kind, outcome, c.rank, status, took)
	return took
}

// line begins a log line about the request.
func (c *call) line(id event.ID) *zerolog.Event {
	line := c.g.log.Log(id).Str("request", string(c.caller.ID))
	if c.route != nil {
		line = line.Str("route", string(c.route.ID)).Int("rank", c.rank)
	}
	if c.team != "" {
		line = line.Str("team", string(c.team))
	}
	return line
}
