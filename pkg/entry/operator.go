package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/rehearsal"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/settings"
)

// maxSettingsBody is the maximum size of a settings change in bytes. A branch with the
// key hashes of an operator team stays far below it, and the log keeps a change of
// this size whole.
const maxSettingsBody = 256 << 10

// proposeTimeout bounds the wait for a settings change to be read back. Changes are
// in force everywhere within seconds; after 10 s the outcome is reported to the
// operator as unknown.
const proposeTimeout = 10 * time.Second

// branchBody is one branch in the operators' interface.
type branchBody struct {
	Branch  string          `json:"branch"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// operator wraps a handler that only operators may call.
func (s *Server) operator(handle khttp.HandlerFunc) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if s.isOperator(ctx.Request()) {
			return handle(ctx)
		}
		if _, err := s.authenticate(ctx.Request()); err == nil {
			return result.New(result.Forbidden, result.NotRun, "an operator key is needed")
		}
		return result.New(result.Unauthenticated, result.NotRun, "no valid operator key in the Authorization header")
	}
}

// listSettings answers GET /v1/settings.
func (s *Server) listSettings(ctx khttp.Context) error {
	all := []branchBody{}
	for _, b := range s.settings.View().Tree.Save() {
		if b.Value != nil {
			all = append(all, branchBody{Branch: b.Branch, Version: b.Version, Value: b.Value})
		}
	}
	return ctx.JSON(http.StatusOK, all)
}

// getSettings answers GET /v1/settings/{branch}.
func (s *Server) getSettings(ctx khttp.Context) error {
	branch := ctx.Vars().Get("branch")
	value, version, err := s.settings.View().Tree.Branch(branch)
	if err != nil {
		return result.New(result.UnknownBranch, result.NotRun, "%v", err)
	}
	if value == nil {
		return result.New(result.UnknownBranch, result.NotRun, "no branch %s (a change that makes it builds on version %d)", branch, version)
	}
	return ctx.JSON(http.StatusOK, branchBody{Branch: branch, Version: version, Value: value})
}

// putSettings answers PUT /v1/settings/{branch}.
func (s *Server) putSettings(ctx khttp.Context) error {
	body, err := readBody(ctx.Response(), ctx.Request(), maxSettingsBody)
	if err != nil {
		return err
	}
	if len(strings.TrimSpace(string(body))) == 0 {
		return result.New(result.MalformedBody, result.NotRun, "the body is empty; DELETE removes a branch")
	}
	return s.propose(ctx, body)
}

// deleteSettings answers DELETE /v1/settings/{branch}.
func (s *Server) deleteSettings(ctx khttp.Context) error { return s.propose(ctx, nil) }

// propose proposes a settings change and answers once it is in force on this VM.
func (s *Server) propose(ctx khttp.Context, value []byte) error {
	r := ctx.Request()
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return result.New(result.InvalidHeader, result.NotRun, "If-Match: want the version of the branch that the change builds on, 0 for a new one")
	}
	change := record.Settings{Branch: ctx.Vars().Get("branch"), Base: base, Value: value, Author: s.authorOf(r)}
	waitCtx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	version, err := s.settings.ProposeSettings(waitCtx, change)
	if err != nil {
		return err
	}
	s.awaitInForce(waitCtx, version)
	return ctx.JSON(http.StatusOK, branchBody{Branch: change.Branch, Version: version, Value: value})
}

// awaitInForce waits until a change that was read back is in force for the traffic on
// this VM. The directory is normally compiled within milliseconds of the read.
func (s *Server) awaitInForce(ctx context.Context, version uint64) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for s.directory().tree.Offset() < version {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// authorOf identifies an operator by the first 8 digits of the key's hash, which do not
// reveal the key.
func (s *Server) authorOf(r *http.Request) string { return "key-" + bearerHash(r)[:8] }

// effectiveSettings answers GET /v1/settings-effective.
func (s *Server) effectiveSettings(ctx khttp.Context) error {
	q := ctx.Query()
	scope := settings.Scope{
		Region: fleet.RegionID(q.Get("region")), DataCentre: fleet.DataCentreID(q.Get("data_centre")),
		Team: fleet.TeamID(q.Get("team")), Model: fleet.ModelID(q.Get("model")), Rank: q.Get("rank"),
		Route: fleet.RouteID(q.Get("route")), Upstream: fleet.UpstreamID(q.Get("upstream")),
	}
	tree := s.settings.View().Tree
	if q.Get("name") == "" {
		return ctx.JSON(http.StatusOK, tree.ExplainAll(scope))
	}
	value, err := tree.Explain(scope, q.Get("name"))
	if err != nil {
		return result.New(result.SettingsInvalid, result.NotRun, "%v", err)
	}
	return ctx.JSON(http.StatusOK, value)
}

// rehearsalBody is the body of POST /v1/rehearsals.
type rehearsalBody struct {
	Fault   rehearsal.Fault    `json:"fault"`
	Targets []rehearsal.Target `json:"targets"`
	For     string             `json:"for"`
}

// listRehearsals answers GET /v1/rehearsals.
func (s *Server) listRehearsals(ctx khttp.Context) error {
	return ctx.JSON(http.StatusOK, s.injector.Active())
}

// startRehearsal answers POST /v1/rehearsals.
func (s *Server) startRehearsal(ctx khttp.Context) error {
	body, err := readBody(ctx.Response(), ctx.Request(), maxSettingsBody)
	if err != nil {
		return err
	}
	var request rehearsalBody
	if err := json.Unmarshal(body, &request); err != nil {
		return result.New(result.MalformedBody, result.NotRun, "body: %v", err)
	}
	duration, err := time.ParseDuration(request.For)
	if err != nil {
		return result.New(result.MalformedBody, result.NotRun, "for: want a duration, got %q", request.For)
	}
	bounds, err := s.rehearsalBounds(request.Targets)
	if err != nil {
		return err
	}
	started, err := s.injector.Start(rehearsal.Rehearsal{
		ID: string(newRequestID()), Fault: request.Fault, Targets: request.Targets, Duration: duration, Author: s.authorOf(ctx.Request()),
	}, bounds)
	if err != nil {
		return err
	}
	s.logRehearsal(started)
	return ctx.JSON(http.StatusOK, started)
}

// rehearsalBounds returns the bounds in force for rehearsals. It returns an error when
// rehearsals are not allowed or a target is unknown.
func (s *Server) rehearsalBounds(targets []rehearsal.Target) (rehearsal.Bounds, error) {
	d := s.directory()
	if !d.local.Rehearsal.Allowed {
		return rehearsal.Bounds{}, result.New(result.RehearsalOutOfBounds, result.NotRun, "rehearsal.allowed is false here")
	}
	for _, t := range targets {
		if _, known := d.upstreams[fleet.UpstreamID(t)]; !known && t != rehearsal.LogTarget {
			return rehearsal.Bounds{}, result.New(result.RehearsalOutOfBounds, result.NotRun, "targets: %q is neither an upstream nor %q", t, rehearsal.LogTarget)
		}
	}
	maxTargets := int(d.local.Rehearsal.MaxUpstreams * float64(len(d.upstreams)))
	return rehearsal.Bounds{MaxDuration: d.local.Rehearsal.MaxDuration, MaxTargets: max(maxTargets, 1)}, nil
}

// stopRehearsal answers DELETE /v1/rehearsals/{id}.
func (s *Server) stopRehearsal(ctx khttp.Context) error {
	if !s.injector.Stop(ctx.Vars().Get("id")) {
		return result.New(result.RehearsalOutOfBounds, result.NotRun, "no such rehearsal is active")
	}
	return ctx.JSON(http.StatusOK, s.injector.Active())
}

// encodeError writes the error that a handler returned.
func (s *Server) encodeError(w http.ResponseWriter, _ *http.Request, err error) {
	var e *result.Error
	if !errors.As(err, &e) {
		e = result.From(err)
	}
	writeError(w, e, fleet.RequestID(w.Header().Get(headerRequestID)))
}
