package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/platform"
)

// call is one request of a caller on its way.
type call struct {
	g      *Gateway
	w      http.ResponseWriter
	r      *http.Request
	caller platform.Caller
	body   []byte
	// print is the request's fingerprint, known once the body was read.
	print fingerprint
	route *catalog.Route
	team  fleet.TeamID
	rank  int
	view  *view
	// arrived is when the request's head was read, due when its answer is due.
	arrived time.Time
	due     time.Time
	ctx     context.Context
	// sends counts the sends to upstreams that may have run the request.
	sends int
	// offers counts the sends that a server answered or may have answered,
	// refusals among them.
	offers int
}

// defaultDeadline is used for a request that names none on a route without a time-out.
const defaultDeadline = 30 * time.Second

// serveCaller answers a caller's request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, arrived: time.Now(), view: g.view.Load()}
	if !g.stopper.enter() {
		w.Header().Set("Connection", "close")
		c.refuse(result.Draining, c.stopRetry())
		return
	}
	defer g.stopper.leave()
	if g.stopper.stopping() {
		w.Header().Set("Connection", "close")
	}
	g.traffic.Store(true)
	if err := c.prepare(); err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.due, errDue)
	defer cancel()
	c.ctx = ctx
	c.print = c.fingerprint()
	if g.crashes.suspected(c.arrived, c.print) {
		c.refuse(result.Quarantined, crashRetryAfter)
		return
	}
	service := c.view.catalog.Services[c.route.Pick(random())]
	if service != nil {
		g.budgets.request(c.arrived, service.ID)
	}
	switch {
	case service == nil:
		c.refuse(result.NoUpstream, configRetryAfter)
	case service.Engine != nil:
		c.generate(service)
	default:
		c.plain(service)
	}
	c.unboundCaller()
}

// errDue is the cause of a context that ended because the answer was due.
var errDue = errors.New("answer is due")

const (
	// configRetryAfter is when callers come back to a VM that knows no
	// configuration yet: it reads one within a second of its start if the store answers.
	configRetryAfter = time.Second
)

// stopRetry returns when callers of a stopping VM come back.
func (c *call) stopRetry() time.Duration {
	return handover.ComeBack(time.Now(), c.g.self(), c.view.others, random())
}

// prepare checks the request and fills in what routing needs.
func (c *call) prepare() error {
	caller, err := platform.ParseCaller(c.r)
	c.caller = caller
	if err != nil {
		return result.New(result.InvalidHeader, result.NotRun, "%v", err)
	}
	c.awaitStart()
	cat := c.view.catalog
	if cat == nil {
		return refusal(result.NotReady, configRetryAfter)
	}
	path := c.r.RequestURI
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	if !strings.HasPrefix(path, "/") {
		if u, err := url.Parse(path); err == nil {
			path = u.Path
		}
	}
	if c.route = cat.Route(c.r.Host, path); c.route == nil {
		return result.New(result.UnknownRoute, result.NotRun, "no route for host %q and this path", c.r.Host)
	}
	c.rank = c.route.Rank
	if team := cat.Team(caller.Key); team != nil {
		c.team = team.ID
		if team.Rank != nil {
			c.rank = *team.Rank
		}
	} else if cat.NeedsKey && !c.route.Public {
		return result.New(result.Unauthenticated, result.NotRun, "the key is not known")
	}
	c.due = c.arrived.Add(defaultDeadline)
	if caller.Deadline > 0 {
		c.due = c.arrived.Add(caller.Deadline)
	}
	if c.route.Timeout > 0 && c.arrived.Add(c.route.Timeout).Before(c.due) {
		c.due = c.arrived.Add(c.route.Timeout)
	}
	c.boundCaller()
	return c.readBody(cat.Limits.BodyBytes)
}

// callerMargin is how much longer than its answer is due a caller may take to send its
// body or to take its answer, before its connection is given up.
const callerMargin = time.Second

// boundCaller bounds how long a slow caller can hold this request's goroutine, memory and
// engine. The connection's next request sets its own bounds.
func (c *call) boundCaller() {
	until := c.due.Add(callerMargin)
	control := http.NewResponseController(c.w)
	// A connection without deadlines is one of a test without a network.
	_ = control.SetReadDeadline(until)
	_ = control.SetWriteDeadline(until)
}

// unboundCaller lets the connection wait for the next request. After a request whose body
// was not read or whose answer broke off the bounds stay: the rest of the body is read
// before the connection is closed.
func (c *call) unboundCaller() {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Time{})
	_ = control.SetWriteDeadline(time.Time{})
}

const (
	// startHold is the age up to which a VM holds requests while it does not know the
	// configuration or the upstreams yet. It learns both within a second unless the store
	// is away, and callers whose requests broke off come back only once.
	startHold = 2500 * time.Millisecond
	// startShare is the part of a caller's deadline for which its request is held.
	startShare = 0.25
)

// awaitStart holds the request while the VM is about to be able to serve it.
func (c *call) awaitStart() {
	deadline := c.caller.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	wait := min(startHold-c.arrived.Sub(c.g.started), time.Duration(startShare*float64(deadline)))
	if wait <= 0 || c.view.catalog != nil && c.view.listed {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.g.known:
		c.g.stats.Count("held_at_start", "outcome", "ready")
	case <-timer.C:
		c.g.stats.Count("held_at_start", "outcome", "not ready")
	case <-c.r.Context().Done():
	}
	c.view = c.g.view.Load()
}

// readBody reads the whole body, so that a request can be sent again and a
// caller's slowness holds no server.
func (c *call) readBody(limit int64) error {
	if c.r.ContentLength == 0 {
		return nil
	}
	var body io.Reader = c.r.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.BodyTooLarge, result.NotRun, "the body is larger than %d bytes", limit)
	case err != nil:
		return result.New(result.CancelledByCaller, result.NotRun, "the body ended early").WithCause(err)
	}
	c.body = data
	return nil
}

// left returns the time until the answer is due.
func (c *call) left() time.Duration { return time.Until(c.due) }

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

func refusal(code result.Code, after time.Duration) error {
	return result.New(code, result.NotRun, "the request has not run; come back after the given time").WithRetryAfter(after)
}

// refuse answers that the request has not run and never will, with when to come back.
func (c *call) refuse(code result.Code, after time.Duration) { c.fail(refusal(code, after)) }

// fail answers with a failure of the router's own.
func (c *call) fail(err error) {
	e := result.From(err)
	if e.Code == result.CancelledByCaller {
		c.cancelled()
	}
	status := e.Code.HTTPStatus()
	switch {
	case e.Outcome == result.NotRun && e.RetryAfter > 0:
		// The platform's callers read 503 and 429 alike: not run, come back later.
		status = http.StatusServiceUnavailable
		platform.SetRetryAfter(c.w.Header(), e.RetryAfter)
	case e.Outcome != result.NotRun && promises(status):
		status = http.StatusBadGateway
	}
	id, outcome := event.RequestFailed, "failed"
	if e.Outcome == result.NotRun {
		id, outcome = event.RequestRefused, "refused"
	}
	if c.gone() {
		id, outcome = event.RequestCancelled, "cancelled"
	}
	c.g.stats.Count("refused", "code", e.Code.Name())
	c.observe(outcome, status)
	line := c.line(id).Int("code", int(e.Code)).Str("reason", e.Code.Name()).Str("outcome", string(e.Outcome)).
		Int("status", status).Int64("retry_after_ms", e.RetryAfter.Milliseconds())
	line.AnErr("cause", e.Unwrap()).Send()
	platform.SetRequestID(c.w.Header(), c.caller.ID)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	body := errorBody{Code: e.Code, Name: e.Code.Name(), Outcome: e.Outcome, Detail: e.Detail}
	_ = json.NewEncoder(c.w).Encode(body) // a caller that left reads nothing
}

// errorBody is the body of a failure of the router's own.
type errorBody struct {
	Code    result.Code    `json:"code"`
	Name    string         `json:"name"`
	Outcome result.Outcome `json:"outcome"`
	Detail  string         `json:"detail"`
}

// promises reports whether callers read a status as "has not run and never will".
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
