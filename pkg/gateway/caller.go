package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/intakehttp"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/platform"
)

// call is a request of a caller that is being served.
type call struct {
	gateway     *Gateway
	w           http.ResponseWriter
	httpRequest *http.Request
	// caller holds what the header of the request states.
	caller platform.Caller
	// held is what the account of callers counts for the request.
	held *intakehttp.Request
	// body holds the body in segments, and bodyLength is its length.
	body       [][]byte
	bodyLength int
	// print is the fingerprint of the request, set once the body has been read.
	print fingerprint
	// parts holds the result of sharedParts.
	parts []crashcause.Part
	// trial is the group that refuses the request, if it was let through to find out whether such
	// requests still crash upstreams.
	trial []crashcause.Part
	// broken is set once an upstream has ended a run of the request.
	broken bool
	// suspected is set once an upstream has ended a run of the request whose answer was about to
	// begin. It gets no further run: that could end the next upstream.
	suspected bool
	// ended tells of the upstreams that have ended with a run of the request which may have crashed them.
	ended crashcause.Ended
	route *catalog.Route
	team  fleet.TeamID
	rank  int
	view  *view
	// arrived is when the header of the request was read.
	arrived time.Time
	// answerDeadline is when the answer is due.
	answerDeadline time.Time
	ctx            context.Context
	// possibleRuns counts the sends to upstreams after which the request may have run.
	possibleRuns int
	// sentTo holds the addresses to which the request was sent.
	sentTo map[string]bool
	// deliveries counts the sends that a server answered or may have answered, including
	// refusals.
	deliveries int
}

// defaultDeadline applies to a request without a deadline on a route without a timeout.
const defaultDeadline = 30 * time.Second

// serveCaller answers a caller's request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, httpRequest: r, held: intakehttp.FromContext(r.Context()), arrived: time.Now(), view: g.view.Load()}
	if !g.shutdown.admitRequest() {
		w.Header().Set("Connection", "close")
		c.refuse(result.Draining, c.drainRetryAfter(0))
		return
	}
	defer g.shutdown.endRequest()
	if g.shutdown.isStopping() {
		w.Header().Set("Connection", "close")
	}
	g.requestReceived.Store(true)
	if err := c.prepare(); err != nil {
		c.fail(err)
		return
	}
	ctx, interrupt := context.WithCancelCause(r.Context())
	defer interrupt(nil)
	defer context.AfterFunc(g.exitCtx, func() { interrupt(errExit) })()
	ctx, cancel := context.WithDeadlineCause(ctx, c.answerDeadline, errDeadline)
	defer cancel()
	c.ctx = ctx
	c.print = c.fingerprint()
	defer c.endTrial()
	c.awaitDecision()
	if c.refuseCrashing() {
		return
	}
	service := c.view.catalog.Services[c.route.Pick(random())]
	if service != nil {
		g.retryBudgets.recordRequest(c.arrived, service.ID)
	}
	switch {
	case service == nil:
		c.refuse(result.NoUpstream, configRetryAfter)
	case service.Engine != nil:
		c.serveGeneration(service)
	default:
		c.servePlain(service)
	}
	c.clearConnDeadlines()
}

// errDeadline is the cause of a context that ended because the answer was due.
var errDeadline = errors.New("request deadline exceeded")

const (
	// configRetryAfter is the retry delay for callers of a VM that has no configuration yet.
	// A VM reads one within a second of its start if the store answers. The delay is also
	// used if the configuration or the view does not have the route's service.
	configRetryAfter = time.Second
)

// drainRetryAfter returns the retry delay for callers that this VM refuses because it stops. Their
// requests last at most a given time; 0 if it is not known.
func (c *call) drainRetryAfter(longest time.Duration) time.Duration {
	return handover.RetryDelay(time.Now(), c.gateway.handoverSelf(), c.view.otherVMs, longest, random())
}

// prepare validates the request and fills in what routing needs.
func (c *call) prepare() error {
	caller, err := platform.ParseCaller(c.httpRequest)
	c.caller = caller
	if err != nil {
		return result.New(result.InvalidHeader, result.NotRun, "%v", err)
	}
	c.awaitStartup()
	cat := c.view.catalog
	if cat == nil {
		return notRunError(result.NotReady, configRetryAfter)
	}
	path := c.httpRequest.RequestURI
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	if !strings.HasPrefix(path, "/") {
		if u, err := url.Parse(path); err == nil {
			path = u.Path
		}
	}
	if c.route = cat.Route(c.httpRequest.Host, path); c.route == nil {
		return result.New(result.UnknownRoute, result.NotRun, "no route for host %q and this path", c.httpRequest.Host)
	}
	c.rank = c.route.Rank
	if team := cat.Team(caller.Key); team != nil {
		c.team = team.ID
		c.held.SetTeam(string(team.ID))
		if team.Rank != nil {
			c.rank = *team.Rank
		}
	} else if cat.NeedsKey && !c.route.Public {
		return result.New(result.Unauthenticated, result.NotRun, "the key is not known")
	}
	c.answerDeadline = c.arrived.Add(defaultDeadline)
	if caller.Deadline > 0 {
		c.answerDeadline = c.arrived.Add(caller.Deadline)
	}
	if c.route.Timeout > 0 && c.arrived.Add(c.route.Timeout).Before(c.answerDeadline) {
		c.answerDeadline = c.arrived.Add(c.route.Timeout)
	}
	c.setConnDeadlines()
	if err := c.held.Admit(); err != nil {
		return c.noRoom()
	}
	return c.readBody(cat.Limits.BodyBytes)
}

// callerGracePeriod is the time after its deadline that a caller has to finish reading the answer
// before its connection is closed.
const callerGracePeriod = time.Second

// setConnDeadlines limits how long a slow caller can hold this request's goroutine, memory
// and engine. The next request on the connection sets its own deadlines.
func (c *call) setConnDeadlines() {
	connDeadline := c.answerDeadline.Add(callerGracePeriod)
	control := http.NewResponseController(c.w)
	// Connections in tests without a network do not support deadlines.
	_ = control.SetReadDeadline(connDeadline)
	_ = control.SetWriteDeadline(connDeadline)
}

// clearConnDeadlines lets the connection wait for the next request. It is not called after a
// request whose body was not read or whose answer was aborted: the server then still reads
// the rest of the body before it closes the connection, within the deadlines.
func (c *call) clearConnDeadlines() {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Time{})
	_ = control.SetWriteDeadline(time.Time{})
}

const (
	// startupHoldAge is the age up to which a VM holds requests while it does not know the
	// configuration or the upstreams. It learns both within a second of its start unless the
	// store is unavailable. Callers whose requests were cut off by a restart retry only
	// once, so an early refusal would be final.
	startupHoldAge = 2500 * time.Millisecond
	// startupHoldShare is the share of a caller's deadline for which its request is held.
	startupHoldShare = 0.25
)

// awaitStartup holds the request of a starting VM until the VM can serve it.
func (c *call) awaitStartup() {
	deadline := c.caller.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	wait := min(startupHoldAge-c.arrived.Sub(c.gateway.started), time.Duration(startupHoldShare*float64(deadline)))
	if wait <= 0 || c.view.catalog != nil && c.view.listKnown {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.gateway.initialStateKnown:
		c.gateway.stats.Count("held_at_start", "outcome", "ready")
	case <-timer.C:
		c.gateway.stats.Count("held_at_start", "outcome", "not ready")
	case <-c.httpRequest.Context().Done():
	}
	c.view = c.gateway.view.Load()
}

// readBody reads the whole body, so that the request can be sent again and a slow caller
// does not occupy a server.
func (c *call) readBody(limit int64) error {
	length := c.httpRequest.ContentLength
	switch {
	case length == 0:
		return nil
	case limit > 0 && length > limit:
		return bodyTooLarge(limit)
	}
	var body io.Reader = c.httpRequest.Body
	if limit > 0 {
		body = http.MaxBytesReader(c.w, c.httpRequest.Body, limit)
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.answerDeadline) // not supported in tests without a network
	segments, err := c.held.ReadBody(body, length)
	var tooLarge *http.MaxBytesError
	var turnedAway *intakehttp.TurnedAwayError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge(limit)
	case errors.As(err, &turnedAway):
		return c.noRoom()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		return notRunError(result.DeadlineExceeded, jitter(slowBodyRetryAfter))
	case err != nil:
		return result.New(result.CancelledByCaller, result.NotRun, "the body ended early").WithCause(err)
	}
	c.body, c.bodyLength = segments, segmentsLength(segments)
	// The server reads on, to notice that the caller disconnects, and takes the end of the read
	// deadline for that.
	_ = control.SetReadDeadline(c.answerDeadline.Add(callerGracePeriod))
	return nil
}

// noRoom refuses a request for which the account of callers has no room. Its connection closes, so
// that a body that was not read does not delay the next request.
func (c *call) noRoom() error {
	c.w.Header().Set("Connection", "close")
	return notRunError(result.IntakeFull, jitter(intakeRetryAfter))
}

func bodyTooLarge(limit int64) error {
	return result.New(result.BodyTooLarge, result.NotRun, "the body is larger than %d bytes", limit)
}

// intakeRetryAfter is the mean retry delay of a caller for whose body there is no room. Bodies that
// make no progress give way within a second.
const intakeRetryAfter = time.Second

// slowBodyRetryAfter is the mean retry delay of a caller whose body did not arrive in time.
const slowBodyRetryAfter = time.Second

// exchangeRequest returns the request to send to an address. A further send to the same address
// uses a new connection: on a connection that was kept, the late copy of an earlier refusal would
// bear the id of this request and be taken for its answer.
func (c *call) exchangeRequest(address string, head []byte) exchange.Request {
	repeated := c.sentTo[address]
	if c.sentTo == nil {
		c.sentTo = make(map[string]bool, 1)
	}
	c.sentTo[address] = true
	return exchange.Request{
		Address: address, ID: string(c.caller.ID), Method: c.httpRequest.Method, Head: head, Body: c.body, NewConnection: repeated,
	}
}

// timeRemaining returns the time until the answer is due.
func (c *call) timeRemaining() time.Duration { return time.Until(c.answerDeadline) }

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool { return c.httpRequest.Context().Err() != nil }

func notRunError(code result.Code, retryAfter time.Duration) error {
	return result.New(code, result.NotRun, "the request has not run; come back after the given time").WithRetryAfter(retryAfter)
}

// refuse answers that the request has not run and never will, and states the delay after which
// to retry.
func (c *call) refuse(code result.Code, delay time.Duration) { c.fail(notRunError(code, delay)) }

// fail answers with an error of the gateway's own. An error CancelledByCaller closes the
// connection instead, and fail then does not return.
func (c *call) fail(err error) {
	e := result.From(err)
	if e.Code == result.CancelledByCaller {
		c.abortCancelled()
	}
	status := e.Code.HTTPStatus()
	switch {
	case e.Outcome == result.NotRun && e.RetryAfter > 0:
		// Callers of the platform read 503 and 429 alike: not run, retry later.
		status = http.StatusServiceUnavailable
		platform.SetRetryAfter(c.w.Header(), e.RetryAfter)
	case e.Outcome != result.NotRun && statusMeansNotRun(status):
		status = http.StatusBadGateway
	}
	id, outcome := event.RequestFailed, "failed"
	if e.Outcome == result.NotRun {
		id, outcome = event.RequestRefused, "refused"
	}
	if c.callerGone() {
		id, outcome = event.RequestCancelled, "cancelled"
	}
	c.gateway.stats.Count("refused", "code", e.Code.Name())
	c.recordEnd(outcome, status)
	line := c.logLine(id).Int("code", int(e.Code)).Str("reason", e.Code.Name()).Str("outcome", string(e.Outcome)).
		Int("status", status).Int64("retry_after_ms", e.RetryAfter.Milliseconds())
	line.AnErr("cause", e.Unwrap()).Send()
	platform.SetRequestID(c.w.Header(), c.caller.ID)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	body := errorBody{Code: e.Code, Name: e.Code.Name(), Outcome: e.Outcome, Detail: e.Detail}
	_ = json.NewEncoder(c.w).Encode(body) // the caller may have disconnected
}

// errorBody is the body of an error of the gateway's own.
type errorBody struct {
	Code    result.Code    `json:"code"`
	Name    string         `json:"name"`
	Outcome result.Outcome `json:"outcome"`
	Detail  string         `json:"detail"`
}

// statusMeansNotRun reports whether callers read a status as "has not run and never will". A
// request whose outcome is unknown must not be answered with such a status.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
