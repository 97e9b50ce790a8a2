package entry

import (
	"bytes"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/intakehttp"
	"github.com/cornelline/cornelline/pkg/rehearsal"
	"github.com/cornelline/cornelline/pkg/result"
)

// statusBody is the answer of GET /v1/status.
type statusBody struct {
	VM              fleet.VMID            `json:"vm"`
	Version         string                `json:"version"`
	Ready           bool                  `json:"ready"`
	Draining        bool                  `json:"draining"`
	InFlight        int                   `json:"in_flight"`
	SettingsOffset  uint64                `json:"settings_offset"`
	HighestOffset   uint64                `json:"highest_offset"`
	LogAvailable    bool                  `json:"log_available"`
	Queued          map[string]int        `json:"queued"`
	Members         []vmAddress           `json:"members"`
	Upstreams       []upstreamStatus      `json:"upstreams"`
	Rehearsals      []rehearsal.Rehearsal `json:"rehearsals"`
	ClaimsAvailable bool                  `json:"claims_log_available"`
}

// getStatus answers GET /v1/status.
func (s *Server) getStatus(ctx khttp.Context) error {
	view := s.fleetView()
	inFlight, draining := s.drain.state()
	body := statusBody{
		VM: s.cfg.VM, Version: Version, Ready: s.ready(), Draining: draining, InFlight: inFlight,
		SettingsOffset: s.settings.View().Offset, HighestOffset: view.members.HighestOffset,
		LogAvailable: s.settings.View().LogUp, ClaimsAvailable: s.claims.View().LogUp,
		Queued: map[string]int{}, Members: []vmAddress{}, Rehearsals: s.injector.Active(),
	}
	for _, u := range view.upstreams {
		body.Upstreams = append(body.Upstreams, u.current())
	}
	for r, n := range s.gate.queued() {
		body.Queued[fleet.Rank(r).String()] = n
	}
	for _, m := range view.members.Members {
		body.Members = append(body.Members, vmAddress{m.ID, m.Address, m.DataCentre})
	}
	for _, dc := range view.members.DataCentres {
		for _, c := range append(dc.Relays, dc.Sample...) {
			if dc.DataCentre != s.cfg.DomainID() {
				body.Members = append(body.Members, vmAddress{c.ID, c.Address, dc.DataCentre})
			}
		}
	}
	return ctx.JSON(http.StatusOK, body)
}

// ready reports whether current settings are in force on this VM.
func (s *Server) ready() bool { return s.settingsInForce.Load() }

// hasReadSettings reports whether this VM has read the current settings.
func (s *Server) hasReadSettings() bool { return s.settings.View().Ready }

// healthz answers GET /healthz for as long as the process runs.
func (s *Server) healthz(ctx khttp.Context) error {
	return ctx.JSON(http.StatusOK, map[string]string{"status": "alive"})
}

// readyz answers GET /readyz: whether callers should use this VM.
func (s *Server) readyz(ctx khttp.Context) error {
	if _, draining := s.drain.state(); draining {
		return result.New(result.Draining, result.NotRun, "this VM is about to stop")
	}
	if !s.ready() {
		return result.New(result.NotReady, result.NotRun, "this VM has no current settings yet")
	}
	return ctx.JSON(http.StatusOK, map[string]string{"status": "ready"})
}

// metrics answers GET /metrics: operators get all metrics, a team only its own.
func (s *Server) metrics(ctx khttp.Context) error {
	var team fleet.TeamID
	if !s.isOperator(ctx.Request()) {
		var err error
		if team, err = s.authenticate(ctx.Request()); err != nil {
			return err
		}
	}
	intakehttp.SetGauges(s.stats, s.callers)
	var text bytes.Buffer
	if err := s.stats.WriteText(&text, team); err != nil {
		return result.From(err)
	}
	return ctx.Blob(http.StatusOK, "text/plain; version=0.0.4", text.Bytes())
}

// modelBody is one model in the answer of GET /v1/models.
type modelBody struct {
	ID      fleet.ModelID `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy string        `json:"owned_by"`
}

// listModels answers GET /v1/models with the models that the team may use.
func (s *Server) listModels(ctx khttp.Context) error {
	team, err := s.authenticate(ctx.Request())
	if err != nil {
		return err
	}
	d := s.directory()
	models := []modelBody{}
	for _, id := range d.models {
		if d.mayUse(team, id) {
			models = append(models, modelBody{ID: id, Object: "model", OwnedBy: "cornelline"})
		}
	}
	return ctx.JSON(http.StatusOK, map[string]any{"object": "list", "data": models})
}

// newIdempotencyKey answers POST /v1/idempotency-keys.
func (s *Server) newIdempotencyKey(ctx khttp.Context) error {
	if _, err := s.authenticate(ctx.Request()); err != nil {
		return err
	}
	key, err := uuid.NewV7()
	if err != nil {
		return result.From(err)
	}
	return ctx.JSON(http.StatusOK, map[string]string{"key": key.String()})
}

// logRehearsal counts and logs the start of a rehearsal.
func (s *Server) logRehearsal(r rehearsal.Rehearsal) {
	s.stats.Count("rehearsals", "fault", string(r.Fault))
	s.log.Log(event.RehearsalStarted).Str("rehearsal", r.ID).Str("fault", string(r.Fault)).
		Interface("targets", r.Targets).Time("until", r.Until).Str("author", r.Author).Send()
}
