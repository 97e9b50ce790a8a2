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

// noChainRetryAfter is the retry delay reported to callers while no complete chain is
// usable. An ejected engine returns after 5 s at the earliest.
const noChainRetryAfter = 5 * time.Second

// chainPlanner plans the chains of one generation, accounts for their load and records
// the steps of the session. Only the generation's goroutine uses it.
type chainPlanner struct {
	server      *Server
	g           *generation
	prefix      []uint64
	fingerprint *quarantine.Fingerprint
	// activeStages are the stages whose load counts this generation.
	activeStages []route.Stage
	chain        []fleet.UpstreamID
	// acceptedAtFailure is the number of tokens accepted when the last attempt failed.
	acceptedAtFailure int
	// upstreamCrashed is set when an upstream crashed under the last attempt.
	upstreamCrashed bool
}

func newChainPlanner(s *Server, g *generation) *chainPlanner {
	prefix := upstream.PrefixHashes(g.request.Model, g.view.Model.Version, g.request.Adapter, g.prompt)
	return &chainPlanner{server: s, g: g, prefix: prefix}
}

// Plan chooses the chain of an attempt. It implements pipeline.Planner.
func (p *chainPlanner) Plan(ctx context.Context, need pipeline.PlanRequest) ([]pipeline.Stage, error) {
	p.release()
	if len(p.chain) > 0 && !p.g.beginsRun() { // generation.run asks before the first attempt
		return nil, stopping(result.OutcomeUnknown)
	}
	if err := p.readmit(ctx); err != nil {
		return nil, err
	}
	view := p.server.fleetView()
	stages, err := route.PickChain(view.routes, p.routeRequest(need), newRandom())
	if err != nil {
		return nil, noChainError(err)
	}
	p.g.addStep("planned", "", chainReason(view, stages, need, p.prefix))
	now := time.Now()
	p.activeStages = stages
	p.chain = p.chain[:0]
	chain := make([]pipeline.Stage, len(stages))
	for i, stage := range stages {
		stage.Load.RecordSent(now)
		p.chain = append(p.chain, stage.Upstream)
		chain[i] = p.pipelineStage(view, stage)
	}
	p.server.suspects.recordStart(p.g.id, p.fingerprint, p.chain)
	if p.g.tokens > 0 {
		p.server.suspects.recordProgress(p.g.id)
	}
	return chain, nil
}

// Leaving returns the upstreams of a chain that have announced their end. It implements
// pipeline.Planner.
func (p *chainPlanner) Leaving(chain []pipeline.Stage) (leaving []fleet.UpstreamID) {
	routes := p.server.fleetView().routes
	for _, stage := range chain {
		if e := routes.Engine(stage.Ref.Upstream); e != nil && e.Leaving {
			leaving = append(leaving, e.ID)
		}
	}
	return leaving
}

// readmit asks the quarantine again after an upstream crashed under the request: the
// request may be the cause, and must then not crash the next upstream.
func (p *chainPlanner) readmit(ctx context.Context) error {
	if !p.upstreamCrashed {
		return nil
	}
	p.upstreamCrashed = false
	p.server.suspects.recordEnd(p.g.id, false)
	fingerprint, err := p.server.suspects.admit(ctx, p.g)
	if err != nil {
		return err
	}
	p.fingerprint = fingerprint
	return nil
}

func (p *chainPlanner) routeRequest(need pipeline.PlanRequest) *route.Request {
	r := &route.Request{
		Model: need.Request.Model, Version: need.Request.Version, Adapter: need.Request.Adapter, Rank: need.Request.Rank,
		PromptTokens: need.Tokens, OutputTokens: max(need.Request.MaxTokens-(need.Tokens-len(need.Request.Prompt)), 1),
		Prefix: p.prefix, Exclude: append(need.Excluded, p.server.suspects.upstreamsToAvoid(p.g.id)...),
	}
	for _, h := range need.Holders {
		if !h.Excluded {
			r.Prefer = append(r.Prefer, h.Ref.Upstream)
		}
	}
	return r
}

// pipelineStage returns a chosen stage with its expected costs for each position.
func (p *chainPlanner) pipelineStage(view *fleetView, chosen route.Stage) pipeline.Stage {
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

// transferTime returns how long the KV cache of one position takes to move to an
// engine in a data centre, over the slowest link of that data centre.
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

// release removes the generation from the load of the current chain's stages.
func (p *chainPlanner) release() {
	now := time.Now()
	for _, stage := range p.activeStages {
		stage.Load.RecordEnded(now)
	}
	p.activeStages = nil
}

// AllowRetry reports whether the retry budget allows another attempt. It implements
// pipeline.Budget.
func (p *chainPlanner) AllowRetry(blamed []fleet.UpstreamID) bool {
	var failed fleet.UpstreamID
	if len(blamed) > 0 {
		failed = blamed[0]
	}
	ok, _ := p.server.allowRetry(p.g.team, failed)
	return ok
}

// Observe records a step of the session. It implements pipeline.Observer.
func (p *chainPlanner) Observe(o pipeline.Observation) {
	switch o.Kind {
	case pipeline.AttemptStarted:
		p.attemptStarted(o)
	case pipeline.AttemptFailed:
		p.attemptFailed(o)
	case pipeline.Recovered:
		p.g.addStep("recovered", "", o.SinceSymptom.String()+" after the first symptom")
		p.server.stats.Recovered(o.SinceSymptom)
	case pipeline.EventDropped:
		p.server.stats.Count("tokens_dropped")
		p.server.log.Log(event.TokenDropped).Str("request", string(p.g.id)).Int("attempt", o.Attempt).Int("index", o.Accepted).AnErr("error", o.Err).Send()
	case pipeline.SessionEnded:
		p.sessionEnded(o)
	}
}

func (p *chainPlanner) attemptStarted(o pipeline.Observation) {
	p.g.addStep("attempt", firstUpstream(o.Chain), describeAttempt(o))
	p.server.log.Log(event.AttemptStarted).Str("request", string(p.g.id)).Int("attempt", o.Attempt).Interface("chain", o.Chain).Send()
}

func (p *chainPlanner) attemptFailed(o pipeline.Observation) {
	p.acceptedAtFailure = o.Accepted
	if len(o.Unreachable) > 0 && o.Sent {
		// An attempt that was not sent found an engine that was already down. One attempt
		// counts as one crash: the probes of further stages can time out on a busy
		// machine, and two crashes quarantine the request.
		p.upstreamCrashed = true
		p.server.suspects.recordCrash(p.server.fleetView().crashID(o.Unreachable[0]))
	}
	for _, id := range o.Suspects {
		p.server.control.recordSuspect(id, o.Err, slices.Contains(o.Unreachable, id))
	}
	reason := retryReason(o.Err)
	p.server.stats.Retried("stage_" + reason)
	p.g.addStep("failed", firstUpstream(o.Suspects), o.Err.Error())
	p.server.log.Log(event.AttemptFailed).Str("request", string(p.g.id)).Int("attempt", o.Attempt).
		Interface("suspects", o.Suspects).AnErr("error", o.Err).Send()
}

// sessionEnded records a successful session: it credits the retry budgets and, if no
// attempt failed after accepting a token, records the chain's time per token.
func (p *chainPlanner) sessionEnded(o pipeline.Observation) {
	if o.Err != nil {
		return
	}
	for _, id := range o.Chain {
		p.server.creditRetryBudget(p.g.team, id)
	}
	if steps := p.g.tokens - p.acceptedAtFailure - 1; steps > 0 && p.acceptedAtFailure == 0 {
		p.server.control.recordTokenTime(o.Chain, p.g.lastTokenAt.Sub(p.g.firstTokenAt)/time.Duration(steps))
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

func firstUpstream(ids []fleet.UpstreamID) fleet.UpstreamID {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

// noChainError returns the error for a request that no chain can serve.
func noChainError(err error) error {
	detail := "no complete chain of engines serves this model now"
	if errors.Is(err, route.ErrUnknownModel) {
		detail = "the model is not placed on engines yet"
	}
	return result.New(result.NoUpstream, result.NotRun, "%s", detail).WithRetryAfter(noChainRetryAfter).WithCause(err)
}
