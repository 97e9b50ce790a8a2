package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/retry"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// maxServiceTries bounds the servers that one call of a repeatable route may
// try. A service has three servers today; the retry budget bounds the rest.
const maxServiceTries = 3

// noUpstreamRetry is when to come back while no server of a route is usable:
// the length of the first ejection.
const noUpstreamRetry = 5 * time.Second

// serviceCall is one caller's call of a plain service.
type serviceCall struct {
	*caller
	server *Server
	route  fleet.RouteID
	view   *settings.View
	key    uuid.UUID
	body   []byte
}

// callService answers POST /v1/services/{route}.
func (s *Server) callService(ctx khttp.Context) error {
	r, w := ctx.Request(), ctx.Response()
	id := fleet.RouteID(ctx.Vars().Get("route"))
	c, err := s.identify(r, nil, "route "+string(id))
	if err != nil {
		return err
	}
	w.Header().Set(headerRequestID, string(c.id))
	call, err := s.newServiceCall(w, r, c, id)
	if err != nil {
		return s.refuse(c, err)
	}
	run, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	answer, err := call.run(run)
	if err != nil {
		call.logUnknown(err)
		return s.refuse(c, err)
	}
	s.succeed(c, "status "+http.StatusText(answer.Status))
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a failed write means that the caller has gone
	return nil
}

// logUnknown logs a confirmation whose outcome is not known: a person may have to
// ask the service's owner.
func (c *serviceCall) logUnknown(err error) {
	code := result.From(err).Code
	if !c.view.Route.Repeatable && (code == result.UpstreamUnknown || code == result.ClaimUnknown) {
		c.server.log.Log(event.ClaimUnknown).Str("request", string(c.id)).Str("route", string(c.route)).Send()
	}
}

// newServiceCall checks the route, the body and the idempotency key.
func (s *Server) newServiceCall(w http.ResponseWriter, r *http.Request, c *caller, id fleet.RouteID) (*serviceCall, error) {
	view := s.directory().route(c.team, c.rank, id)
	if len(view.Route.Upstreams) == 0 {
		return nil, result.New(result.UnknownRoute, result.NotRun, "no route %q", id)
	}
	body, err := readBody(w, r, view.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	call := &serviceCall{caller: c, server: s, route: id, view: view, body: body}
	if call.key, err = parseKey(r.Header.Get(headerIdempotencyKey), !view.Route.Repeatable); err != nil {
		return nil, err
	}
	return call, nil
}

// parseKey parses an idempotency key. A route that may not be repeated needs a
// key that carries its time, because the log forgets (docs/design.md, 4.3).
func parseKey(text string, required bool) (uuid.UUID, error) {
	if text == "" {
		if required {
			return uuid.Nil, result.New(result.KeyRequired, result.NotRun, "this route may not be repeated: send %s (POST /v1/idempotency-keys gives one)", headerIdempotencyKey)
		}
		return uuid.Nil, nil
	}
	key, err := uuid.Parse(text)
	if err != nil || key.Version() != 7 {
		return uuid.Nil, result.New(result.InvalidHeader, result.NotRun, "%s: want a version 7 UUID (POST /v1/idempotency-keys gives one)", headerIdempotencyKey)
	}
	return key, nil
}

// run carries the call out: under a claim, or with retries where it may be repeated.
func (c *serviceCall) run(ctx context.Context) (upstream.ServiceResponse, error) {
	if c.view.Route.Repeatable {
		return c.repeat(ctx)
	}
	return c.confirm(ctx)
}

// repeat sends a repeatable call, to another server after a failure.
func (c *serviceCall) repeat(ctx context.Context) (upstream.ServiceResponse, error) {
	var tried []fleet.UpstreamID
	for {
		answer, target, err := c.send(ctx, tried)
		if err == nil {
			return answer, nil
		}
		if target == "" || ctx.Err() != nil {
			return answer, c.failure(ctx, err, len(tried) > 0)
		}
		tried = append(tried, target)
		if len(tried) >= maxServiceTries {
			return answer, c.failure(ctx, err, true)
		}
		if ok, after := c.server.allowRetry(c.team, target); !ok {
			return answer, result.New(result.RetryBudgetSpent, outcomeOf(err), "a try failed and the retry budget is spent").WithRetryAfter(after).WithCause(err)
		}
		c.server.stats.Retried("service_" + retryReason(err))
		c.note("retry", target, err.Error())
	}
}

// send sends the call once, to a server that was not tried before.
func (c *serviceCall) send(ctx context.Context, tried []fleet.UpstreamID) (upstream.ServiceResponse, fleet.UpstreamID, error) {
	target, err := route.PickService(c.server.fleetView().routes, c.route, tried, newRandom())
	if err != nil {
		return upstream.ServiceResponse{}, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, c.view.Route.Timeout)
	defer cancel()
	began := time.Now()
	target.Load.Sent(began)
	service := c.server.services.get(target.Upstream, target.Address, c.view.Route.Path)
	c.note("send", target.Upstream, "")
	answer, err := service.Call(ctx, upstream.ServiceRequest{RequestID: c.id, Route: c.route, Team: c.team, Key: c.keyText(), Body: c.body})
	took := time.Since(began)
	target.Load.Ended(time.Now())
	c.server.control.outcome(target.Upstream, took, err)
	if err == nil {
		c.server.succeeded(c.team, target.Upstream)
	}
	return answer, target.Upstream, err
}

func (c *serviceCall) keyText() string {
	if c.key == uuid.Nil {
		return ""
	}
	return c.key.String()
}

// failure returns the final error of a call. earlier says that a try before the
// last one may have run.
func (c *serviceCall) failure(ctx context.Context, err error, earlier bool) error {
	outcome := outcomeOf(err)
	if earlier && outcome == result.NotRun {
		outcome = result.OutcomeUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, outcome, "the deadline passed").WithCause(err)
	case errors.Is(ctx.Err(), context.Canceled):
		return result.New(result.CancelledByCaller, outcome, "the caller closed the connection").WithCause(err)
	case errors.Is(err, route.ErrNoServer), errors.Is(err, route.ErrUnknownRoute):
		return result.New(result.NoUpstream, outcome, "no server of this route is usable").WithRetryAfter(noUpstreamRetry).WithCause(err)
	case errors.Is(err, upstream.ErrMismatch):
		return result.New(result.AnswerMismatch, outcome, "the server answered another request; its answer was dropped").WithCause(err)
	case outcome == result.NotRun:
		return result.New(result.UpstreamFailed, outcome, "the servers refused the call").WithRetryAfter(noUpstreamRetry).WithCause(err)
	}
	return result.New(result.UpstreamUnknown, outcome, "the connection broke after the call was sent").WithCause(err)
}

// outcomeOf returns what is certain about a failed try.
func outcomeOf(err error) result.Outcome {
	var e *upstream.Error
	if errors.As(err, &e) && e.Sent {
		return result.OutcomeUnknown
	}
	if errors.As(err, &e) || errors.Is(err, route.ErrNoServer) || errors.Is(err, route.ErrUnknownRoute) {
		return result.NotRun
	}
	return result.OutcomeUnknown
}

// retryReason names a failed try for the counters.
func retryReason(err error) string {
	switch classify(err) {
	case refused:
		return "connection_refused"
	case silent:
		return "silent"
	case neutral:
		return "refused_by_upstream"
	}
	return "failed"
}

// refuse records the final error of a request and returns it.
func (s *Server) refuse(c *caller, err error) error {
	e := result.From(err)
	s.stats.Refused(c.team, c.rank, e.Code)
	c.trace.End(time.Now(), int(e.Code), string(e.Outcome), e.Error())
	id := event.RequestRefused
	if e.Outcome != result.NotRun {
		id = event.RequestFailed
	}
	s.log.Log(id).Str("request", string(c.id)).Str("team", string(c.team)).Int("code", int(e.Code)).Str("outcome", string(e.Outcome)).AnErr("cause", e.Err).Send()
	return e
}

// succeed records the whole answer of a request.
func (s *Server) succeed(c *caller, detail string) {
	took := time.Since(c.arrived)
	s.stats.Done(c.team, c.rank, took)
	c.trace.End(time.Now(), 0, string(result.Ran), detail)
	s.log.Log(event.RequestDone).Str("request", string(c.id)).Str("team", string(c.team)).Str("rank", c.rank.String()).Int64("ms", took.Milliseconds()).Send()
}

// allowRetry takes a retry from the budgets of the team and of the failed upstream.
func (s *Server) allowRetry(team fleet.TeamID, failed fleet.UpstreamID) (bool, time.Duration) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	return s.retries.Allow(time.Now(), team, failed)
}

// succeeded books a success that earns retries.
func (s *Server) succeeded(team fleet.TeamID, id fleet.UpstreamID) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	s.retries.Success(time.Now(), team, id)
}

func (s *Server) setRetryConfig(d *directory) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	cfg := retry.DefaultConfig()
	cfg.Ratio = d.local.Retry.Ratio
	cfg.Burst = max(cfg.Burst, float64(d.local.Retry.Minimum))
	s.retries.SetConfig(cfg)
}

// explainRequest answers GET /v1/requests/{id}. A team sees only its own requests.
func (s *Server) explainRequest(ctx khttp.Context) error {
	id := fleet.RequestID(ctx.Vars().Get("id"))
	var team fleet.TeamID
	if !s.isOperator(ctx.Request()) {
		var err error
		if team, err = s.authenticate(ctx.Request()); err != nil {
			return err
		}
	}
	explanation, ok := s.findExplanation(ctx.Request().Context(), id, team)
	if !ok {
		return result.New(result.UnknownRequest, result.NotRun, "no explanation is kept for request %s", id)
	}
	return ctx.Blob(http.StatusOK, "application/json", explanation)
}
