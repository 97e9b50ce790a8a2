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
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/retry"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// maxServiceAttempts bounds the number of servers that one call of a repeatable route
// may be sent to. A service has three servers today; the retry budget bounds retries
// further.
const maxServiceAttempts = 3

// noUpstreamRetryAfter is the retry delay reported to callers while no server of a
// route is usable: the length of a first ejection.
const noUpstreamRetryAfter = 5 * time.Second

// serviceCall is one call of a plain service.
type serviceCall struct {
	*requestInfo
	server *Server
	route  fleet.RouteID
	view   *settings.View
	key    uuid.UUID
	body   []byte
	// suspect is the fingerprint of the call, which may crash its server; nil if calls like it were
	// answered lately.
	suspect *quarantine.Fingerprint
}

// callService answers POST /v1/services/{route}.
func (s *Server) callService(ctx khttp.Context) error {
	r, w := ctx.Request(), ctx.Response()
	id := fleet.RouteID(ctx.Vars().Get("route"))
	info, err := s.beginRequest(r, nil, "route "+string(id))
	if err != nil {
		return err
	}
	w.Header().Set(headerRequestID, string(info.id))
	call, err := s.newServiceCall(w, r, info, id)
	if err != nil {
		return s.recordError(info, err)
	}
	runCtx, cancel := context.WithDeadline(r.Context(), info.deadline)
	defer cancel()
	answer, err := call.run(runCtx)
	if err != nil {
		call.logUnknownOutcome(err)
		return s.recordError(info, err)
	}
	s.recordSuccess(info, "status "+http.StatusText(answer.Status))
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // a write error means that the caller has disconnected
	return nil
}

// logUnknownOutcome logs a non-repeatable call whose outcome is unknown, because an
// operator may have to ask the service's owner.
func (c *serviceCall) logUnknownOutcome(err error) {
	code := result.From(err).Code
	if !c.view.Route.Repeatable && (code == result.UpstreamOutcomeUnknown || code == result.ClaimOutcomeUnknown) {
		c.server.log.Log(event.ClaimUnknown).Str("request", string(c.id)).Str("route", string(c.route)).Send()
	}
}

// newServiceCall checks the route, reads the body and parses the idempotency key.
func (s *Server) newServiceCall(w http.ResponseWriter, r *http.Request, info *requestInfo, id fleet.RouteID) (*serviceCall, error) {
	view := s.directory().route(info.team, info.rank, id)
	if len(view.Route.Upstreams) == 0 {
		return nil, result.New(result.UnknownRoute, result.NotRun, "no route %q", id)
	}
	body, err := readBody(w, r, view.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	call := &serviceCall{requestInfo: info, server: s, route: id, view: view, body: body}
	if call.key, err = parseKey(r.Header.Get(headerIdempotencyKey), !view.Route.Repeatable); err != nil {
		return nil, err
	}
	return call, nil
}

// parseKey parses an idempotency key. A route that may not be repeated requires a key
// that carries its creation time, because the log deletes old records
// (docs/design.md, 4.3).
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

// run carries out the call: with retries on a repeatable route, else under a claim.
func (c *serviceCall) run(ctx context.Context) (answer upstream.ServiceResponse, err error) {
	if err := c.admit(ctx); err != nil {
		return upstream.ServiceResponse{}, err
	}
	defer func() { c.recordEnd(err == nil) }()
	if c.view.Route.Repeatable {
		return c.runWithRetries(ctx)
	}
	return c.runOnce(ctx)
}

// runWithRetries sends a repeatable call, and after a failure sends it to another server.
func (c *serviceCall) runWithRetries(ctx context.Context) (upstream.ServiceResponse, error) {
	var tried []fleet.UpstreamID
	for {
		answer, target, err := c.send(ctx, tried)
		if err == nil {
			return answer, nil
		}
		if target == "" || ctx.Err() != nil {
			return answer, c.finalError(ctx, err, len(tried) > 0)
		}
		tried = append(tried, target)
		if err := c.readmit(ctx, err, target); err != nil {
			return answer, err
		}
		if len(tried) >= maxServiceAttempts {
			return answer, c.finalError(ctx, err, true)
		}
		if ok, after := c.server.allowRetry(c.team, target); !ok {
			return answer, result.New(result.RetryBudgetSpent, outcomeOf(err), "a try failed and the retry budget is spent").WithRetryAfter(after).WithCause(err)
		}
		c.server.stats.Retried("service_" + retryReason(err))
		c.addStep("retry", target, err.Error())
	}
}

// send sends the call once, to a server that is not in tried, and returns that server.
func (c *serviceCall) send(ctx context.Context, tried []fleet.UpstreamID) (upstream.ServiceResponse, fleet.UpstreamID, error) {
	target, err := route.PickService(c.server.fleetView().routes, c.route, tried, newRandom())
	if err != nil {
		return upstream.ServiceResponse{}, "", err
	}
	ctx, cancel := context.WithTimeout(ctx, c.view.Route.Timeout)
	defer cancel()
	start := time.Now()
	target.Load.RecordSent(start)
	if c.suspect != nil {
		c.server.suspects.recordStart(c.id, c.suspect, []fleet.UpstreamID{target.Upstream})
	}
	service := c.server.services.get(target.Upstream, target.Address, c.view.Route.Path)
	c.addStep("send", target.Upstream, "")
	answer, err := service.Call(ctx, upstream.ServiceRequest{RequestID: c.id, Route: c.route, Team: c.team, Key: c.keyString(), Body: c.body})
	elapsed := time.Since(start)
	target.Load.RecordEnded(time.Now())
	c.server.control.recordOutcome(target.Upstream, elapsed, err)
	if c.suspect != nil && hasEnded(ctx, target.Address, err) {
		c.server.suspects.recordCrash(c.server.fleetView().crashID(target.Upstream))
	}
	if err == nil {
		c.server.creditRetryBudget(c.team, target.Upstream)
	}
	return answer, target.Upstream, err
}

func (c *serviceCall) keyString() string {
	if c.key == uuid.Nil {
		return ""
	}
	return c.key.String()
}

// finalError returns the final error of a call. earlierMayHaveRun says that an attempt
// before the last one may have run.
func (c *serviceCall) finalError(ctx context.Context, err error, earlierMayHaveRun bool) error {
	outcome := outcomeOf(err)
	if earlierMayHaveRun && outcome == result.NotRun {
		outcome = result.OutcomeUnknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, outcome, "the deadline passed").WithCause(err)
	case errors.Is(ctx.Err(), context.Canceled):
		return result.New(result.CancelledByCaller, outcome, "the caller closed the connection").WithCause(err)
	case errors.Is(err, route.ErrNoServer), errors.Is(err, route.ErrUnknownRoute):
		return result.New(result.NoUpstream, outcome, "no server of this route is usable").WithRetryAfter(noUpstreamRetryAfter).WithCause(err)
	case errors.Is(err, upstream.ErrAnswerMismatch):
		return result.New(result.AnswerMismatch, outcome, "the server answered another request; its answer was dropped").WithCause(err)
	case outcome == result.NotRun:
		return result.New(result.UpstreamFailed, outcome, "the servers refused the call").WithRetryAfter(noUpstreamRetryAfter).WithCause(err)
	}
	return result.New(result.UpstreamOutcomeUnknown, outcome, "the connection broke after the call was sent").WithCause(err)
}

// outcomeOf returns the known outcome of a failed attempt.
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

// retryReason returns the counter label for a failed attempt.
func retryReason(err error) string {
	switch classify(err) {
	case verdictRefused:
		return "connection_refused"
	case verdictSilent:
		return "silent"
	case verdictNeutral:
		return "refused_by_upstream"
	}
	return "failed"
}

// recordError records the final error of a request in the metrics, the explanation and
// the log, and returns it.
func (s *Server) recordError(info *requestInfo, err error) error {
	e := result.From(err)
	s.stats.Refused(info.team, info.rank, e.Code)
	info.trace.End(time.Now(), int(e.Code), string(e.Outcome), e.Error())
	id := event.RequestRefused
	if e.Outcome != result.NotRun {
		id = event.RequestFailed
	}
	s.log.Log(id).Str("request", string(info.id)).Str("team", string(info.team)).Int("code", int(e.Code)).Str("outcome", string(e.Outcome)).AnErr("cause", e.Err).Send()
	return e
}

// recordSuccess records the completion of a request in the metrics, the explanation
// and the log.
func (s *Server) recordSuccess(info *requestInfo, detail string) {
	elapsed := time.Since(info.arrived)
	s.stats.Done(info.team, info.rank, elapsed)
	info.trace.End(time.Now(), 0, string(result.Ran), detail)
	s.log.Log(event.RequestDone).Str("request", string(info.id)).Str("team", string(info.team)).Str("rank", info.rank.String()).Int64("ms", elapsed.Milliseconds()).Send()
}

// allowRetry spends a retry from the budgets of the team and of the failed upstream.
// When there is none left, it reports false and the delay until the next one.
func (s *Server) allowRetry(team fleet.TeamID, failed fleet.UpstreamID) (bool, time.Duration) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	return s.retries.Allow(time.Now(), team, failed)
}

// creditRetryBudget adds a success to the budgets of the team and of the upstream.
func (s *Server) creditRetryBudget(team fleet.TeamID, id fleet.UpstreamID) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	s.retries.RecordSuccess(time.Now(), team, id)
}

func (s *Server) setRetryConfig(d *directory) {
	s.retryMu.Lock()
	defer s.retryMu.Unlock()
	cfg := retry.DefaultConfig()
	cfg.Ratio = d.local.Retry.Ratio
	cfg.Burst = max(cfg.Burst, float64(d.local.Retry.Minimum))
	s.retries.SetConfig(cfg)
}

// explainRequest answers GET /v1/requests/{id}. A team can read only its own requests.
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
