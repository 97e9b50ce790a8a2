package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// noChainRetry is when to come back while no complete chain is usable. An
// ejected engine returns after 5 s at the earliest.
const noChainRetry = 5 * time.Second

// chainPlanner plans the chains of one generation, books their load and reports
// what happens to them. It is used by the generation's goroutine.
type chainPlanner struct {
	server      *Server
	g           *generation
	prefix      []uint64
	fingerprint *quarantine.Fingerprint
	booked      []route.Stage
	chain       []fleet.UpstreamID
	failedAt    int
	// crashed is set when an upstream was lost under the current attempt.
	crashed bool
}

func newChainPlanner(s *Server, g *generation) *chainPlanner {
	prefix := upstream.PrefixHashes(g.request.Model, g.view.Model.Version, g.request.Adapter, g.prompt)
	return &chainPlanner{server: s, g: g, prefix: prefix}
}

// Plan chooses the chain of an attempt. It implements pipeline.Planner.
func (p *chainPlanner) Plan(ctx context.Context, need pipeline.Need) ([]pipeline.Stage, error) {
	p.release()
	if err := p.readmit(ctx); err != nil {
		return nil, err
	}
	view := p.server.fleetView()
	stages, err := route.PickChain(view.routes, p.routeRequest(need), newRandom())
	if err != nil {
		return nil, noChain(err)
	}
	p.g.note("planned", "", reasonFor(view, stages, need, p.prefix))
	now := time.Now()
	p.booked = stages
	p.chain = p.chain[:0]
	chain := make([]pipeline.Stage, len(stages))
	for i, stage := range stages {
		stage.Load.Sent(now)
		p.chain = append(p.chain, stage.Upstream)
		chain[i] = p.stage(view, stage)
	}
	p.server.suspects.started(p.g.id, p.fingerprint, p.chain)
	return chain, nil
}

// readmit asks the quarantine again after an upstream crashed under the request:
// it may be the cause, and then must not take the next upstream down.
func (p *chainPlanner) readmit(ctx context.Context) error {
	if !p.crashed {
		return nil
	}
	p.crashed = false
	p.server.suspects.ended(p.g.id, false)
	fingerprint, err := p.server.suspects.admit(ctx, p.g)
	if err != nil {
		return err
	}
	p.fingerprint = fingerprint
	return nil
}

func (p *chainPlanner) routeRequest(need pipeline.Need) *route.Request {
	r := &route.Request{
		Model: need.Request.Model, Version: need.Request.Version, Adapter: need.Request.Adapter, Rank: need.Request.Rank,
		PromptTokens: need.Tokens, OutputTokens: max(need.Request.MaxTokens-(need.Tokens-len(need.Request.Prompt)), 1),
		Prefix: p.prefix, Exclude: append(need.Excluded, p.server.suspects.avoided(p.g.id)...),
	}
	for _, h := range need.Holding {
		if !h.Excluded {
			r.Prefer = append(r.Prefer, h.Ref.Upstream)
		}
	}
	return r
}

// stage returns a chosen stage with its measured costs.
func (p *chainPlanner) stage(view *fleetView, chosen route.Stage) pipeline.Stage {
	stage := pipeline.Stage{
		Ref:    upstream.StageRef{Upstream: chosen.Upstream, Address: chosen.Address, Layers: chosen.Layers},
		Engine: view.engines[chosen.Upstream],
	}
	if e := view.routes.Engine(chosen.Upstream); e != nil {
		stage.PrefillPerPosition = e.PrefillPerToken
		stage.TransferPerPosition = p.transferTime(e.DataCentre, chosen.Layers)
	}
	return stage
}

// transferTime returns the time in which the KV cache of one position moves to
// an engine in a data centre, over the slowest link that leads there.
func (p *chainPlanner) transferTime(to fleet.DataCentreID, layers fleet.LayerRange) time.Duration {
	d := p.server.directory()
	scope := d.scope
	scope.Region, scope.DataCentre = "", to
	rate := int64(defaultLinkRate)
	for _, link := range d.tree.Effective(scope).Links {
		rate = min(rate, link.BytesPerSecond)
	}
	bytes := p.g.view.Model.KVBytesPerTokenLayer * int64(layers.Len())
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// defaultLinkRate is the rate of a link that the settings don't describe, in
// bytes per second: 1 Gbit/s, the default of links.*.bytes_per_second.
const defaultLinkRate = 125_000_000

// release books the end of the current chain.
func (p *chainPlanner) release() {
	now := time.Now()
	for _, stage := range p.booked {
		stage.Load.Ended(now)
	}
	p.booked = nil
}

// AllowRetry asks the retry budget. It implements pipeline.Budget.
func (p *chainPlanner) AllowRetry(blamed []fleet.UpstreamID) bool {
	var failed fleet.UpstreamID
	if len(blamed) > 0 {
		failed = blamed[0]
	}
	ok, _ := p.server.allowRetry(p.g.team, failed)
	return ok
}

// Observe reports a step of the session. It implements pipeline.Observer.
func (p *chainPlanner) Observe(o pipeline.Observation) {
	switch o.Kind {
	case pipeline.AttemptStarted:
		p.attemptStarted(o)
	case pipeline.AttemptFailed:
		p.attemptFailed(o)
	case pipeline.Recovered:
		p.g.note("recovered", "", o.SinceSymptom.String()+" after the first symptom")
		p.server.stats.Recovered(o.SinceSymptom)
	case pipeline.EventDropped:
		p.server.stats.Count("tokens_dropped")
		p.server.log.Log(event.TokenDropped).Str("request", string(p.g.id)).Int("attempt", o.Attempt).Int("index", o.Accepted).AnErr("error", o.Err).Send()
	case pipeline.SessionEnded:
		p.sessionEnded(o)
	}
}

func (p *chainPlanner) attemptStarted(o pipeline.Observation) {
	p.g.note("attempt", firstOf(o.Chain), describeAttempt(o))
	p.server.log.Log(event.AttemptStarted).Str("request", string(p.g.id)).Int("attempt", o.Attempt).Interface("chain", o.Chain).Send()
}

func (p *chainPlanner) attemptFailed(o pipeline.Observation) {
	p.failedAt = o.Accepted
	if len(o.Unreachable) > 0 && o.Sent {
		// An attempt that was not sent met an engine that was down before. One attempt
		// counts as one crash: the probes of further stages can time out on a busy
		// machine, and two crashes quarantine the request.
		p.crashed = true
		p.server.suspects.crashed(p.server.fleetView().crashOf(o.Unreachable[0]))
	}
	for _, id := range o.Suspects {
		p.server.control.suspected(id, o.Err, slices.Contains(o.Unreachable, id))
	}
	reason := retryReason(o.Err)
	p.server.stats.Retried("stage_" + reason)
	p.g.note("failed", firstOf(o.Suspects), o.Err.Error())
	p.server.log.Log(event.AttemptFailed).Str("request", string(p.g.id)).Int("attempt", o.Attempt).
		Interface("suspects", o.Suspects).AnErr("error", o.Err).Send()
}

// sessionEnded books a good end with the time per token of the last chain.
func (p *chainPlanner) sessionEnded(o pipeline.Observation) {
	if o.Err != nil {
		return
	}
	for _, id := range o.Chain {
		p.server.succeeded(p.g.team, id)
	}
	if steps := p.g.tokens - p.failedAt - 1; steps > 0 && p.failedAt == 0 {
		p.server.control.measured(o.Chain, p.g.last.Sub(p.g.first)/time.Duration(steps))
	}
}

func describeAttempt(o pipeline.Observation) string {
	names := make([]string, len(o.Chain))
	for i, id := range o.Chain {
		names[i] = string(id)
	}
	text := "chain " + strings.Join(names, " > ")
	if o.Attempt > 1 {
		text += ", " + plural(o.Recomputed, "position") + " recomputed, " + plural(o.Imported, "position") + " imported"
	}
	return text
}

func firstOf(ids []fleet.UpstreamID) fleet.UpstreamID {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// noChain returns the error for a request that no chain can serve.
func noChain(err error) error {
	detail := "no complete chain of engines serves this model now"
	if errors.Is(err, route.ErrUnknownModel) {
		detail = "the model is not placed on engines yet"
	}
	return result.New(result.NoUpstream, result.NotRun, "%s", detail).WithRetryAfter(noChainRetry).WithCause(err)
}
