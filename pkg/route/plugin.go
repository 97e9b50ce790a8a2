package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Request describes a generation for the choice of its chain.
type Request struct {
	Model fleet.ModelID
	// Version restricts the chain to one version of the model. Empty means the
	// current version.
	Version string
	Adapter string
	Rank    fleet.Rank
	// PromptTokens and OutputTokens are the lengths, which may be estimates.
	PromptTokens, OutputTokens int
	// Prefix holds the chained hashes of the prompt's blocks, shortest prefix first.
	Prefix []uint64
	// Exclude lists the upstreams that failed this request or must not run it.
	Exclude []fleet.UpstreamID
	// Prefer lists the upstreams that still hold the session's KV cache.
	Prefer []fleet.UpstreamID
}

// Filter drops engines that must not run a request.
type Filter interface {
	// Keep reports whether the engine may run the request.
	Keep(m *Model, e *Engine, r *Request) bool
}

// Scorer estimates what an engine costs a request.
type Scorer interface {
	// Score returns the expected seconds that the engine's stage adds to the request.
	Score(m *Model, e *Engine, r *Request) float64
}

// Candidate is an engine for the next stage of a chain, or a server for a call of
// a plain service.
type Candidate struct {
	// Engine is the index of the engine or server in the snapshot.
	Engine int
	// Cost is the expected time in seconds if the candidate is chosen, for an
	// engine until the end of the chain.
	Cost float64
	// Load is the relative load: the estimated requests per weighted slot.
	Load float64
}

// Picker chooses one of several candidates.
type Picker interface {
	// Pick returns the index of the chosen candidate. There is at least one.
	Pick(rng *rand.Rand, candidates []Candidate) int
}

// Adapters from functions to plugins without state.
type (
	// FilterFunc implements Filter.
	FilterFunc func(m *Model, e *Engine, r *Request) bool
	// ScorerFunc implements Scorer.
	ScorerFunc func(m *Model, e *Engine, r *Request) float64
)

// Keep implements Filter.
func (f FilterFunc) Keep(m *Model, e *Engine, r *Request) bool { return f(m, e, r) }

// Score implements Scorer.
func (f ScorerFunc) Score(m *Model, e *Engine, r *Request) float64 { return f(m, e, r) }

// Filters maps names to filters.
var Filters = map[string]Filter{
	"ready":       FilterFunc(func(_ *Model, e *Engine, _ *Request) bool { return !e.Loading && !e.Leaving }),
	"health":      FilterFunc(func(_ *Model, e *Engine, _ *Request) bool { return !e.Ejected }),
	"quarantine":  FilterFunc(func(_ *Model, e *Engine, _ *Request) bool { return !e.Quarantined }),
	"version":     FilterFunc(keepVersion),
	"not_exclude": FilterFunc(func(_ *Model, e *Engine, r *Request) bool { return !slices.Contains(r.Exclude, e.ID) }),
}

func keepVersion(m *Model, e *Engine, r *Request) bool {
	want := r.Version
	if want == "" {
		want = m.Version
	}
	return want == "" || e.Version == want
}

const (
	// adapterLoadSeconds is the assumed time to load an adapter.
	adapterLoadSeconds = 1.0
	// maxAffinityLoad is the relative load from which a cached prefix no longer
	// attracts requests. Engines with popular prefixes would otherwise become hot
	// spots.
	maxAffinityLoad = 0.9
	// urgentStepWeight is the additional weight of the step time in the score of an
	// Urgent request. It leaves the slow engines to the ranks without a target for
	// the time between tokens.
	urgentStepWeight = 3.0
	// queuePenalty is the number of seconds added to each step per batch of requests
	// ahead, once the engine's slots are taken.
	queuePenalty = 0.05
)

// Scorers maps names to scorers.
var Scorers = map[string]Scorer{
	"stage_time": ScorerFunc(scoreStageTime),
	"queue":      ScorerFunc(scoreQueue),
	"prefill":    ScorerFunc(scorePrefill),
	"adapter":    ScorerFunc(scoreAdapter),
}

// scoreStageTime returns the time of the request's decode steps without other
// generations, divided by the engine's weight.
func scoreStageTime(_ *Model, e *Engine, r *Request) float64 {
	return e.baseTime() * float64(max(r.OutputTokens, 1)) / e.Weight
}

// scoreQueue returns the cost of sharing the engine: the slowdown of the request by
// the other generations, the slowdown that it causes to them, and the wait for a
// slot.
func scoreQueue(_ *Model, e *Engine, r *Request) float64 {
	load := e.relativeLoad()
	wait := max(0, load+1/float64(max(e.Slots, 1))-1) * queuePenalty
	cost := wait + 2*load*e.baseTime()
	if r.Rank == fleet.Urgent {
		cost += urgentStepWeight * (1 + load) * e.baseTime()
	}
	return cost * float64(max(r.OutputTokens, 1))
}

// scorePrefill returns the prefill time of the prompt tokens that are not in the
// engine's prefix cache as far as known. A stage that still holds the session's KV
// cache needs no prefill.
func scorePrefill(m *Model, e *Engine, r *Request) float64 {
	if slices.Contains(r.Prefer, e.ID) {
		return 0
	}
	tokens := r.PromptTokens
	if e.Prefixes != nil && len(r.Prefix) > 0 && e.relativeLoad() < maxAffinityLoad {
		tokens = max(0, tokens-e.Prefixes.Match(r.Prefix)*m.Block)
	}
	return e.PrefillPerToken.Seconds() * float64(tokens)
}

// scoreAdapter returns the time to load the adapter if the engine does not have it.
func scoreAdapter(_ *Model, e *Engine, r *Request) float64 {
	if r.Adapter == "" || slices.Contains(e.Adapters, r.Adapter) {
		return 0
	}
	return adapterLoadSeconds
}

// baseTime returns the time in seconds of one step without other generations. Step
// time is assumed to be proportional to one plus the relative load, so StageTime is
// divided by this factor at the load at which it was measured.
func (e *Engine) baseTime() float64 { return e.StageTime.Seconds() / (1 + e.MeasuredLoad) }

// relativeLoad returns the estimated requests on the engine per weighted slot.
func (e *Engine) relativeLoad() float64 {
	return e.Load.Queue() / (float64(max(e.Slots, 1)) * e.Weight)
}

// TwoChoices picks the less loaded of two random candidates among those whose
// cost exceeds the lowest cost by at most the fraction Tolerance. This keeps VMs
// with the same view from all choosing the same engine.
type TwoChoices struct{ Tolerance float64 }

// Pick implements Picker.
func (p TwoChoices) Pick(rng *rand.Rand, c []Candidate) int {
	best := c[0].Cost
	for _, k := range c[1:] {
		best = min(best, k.Cost)
	}
	limit := best * (1 + p.Tolerance)
	first, second, eligible := -1, -1, 0
	// Reservoir sampling of two of the eligible candidates.
	for i := range c {
		if c[i].Cost > limit {
			continue
		}
		eligible++
		switch j := rng.IntN(eligible); {
		case eligible == 1:
			first = i
		case eligible == 2:
			second = i
		case j == 0:
			first = i
		case j == 1:
			second = i
		}
	}
	if second < 0 || c[first].Load <= c[second].Load {
		return first
	}
	return second
}

// RoundRobin picks the candidates in turn. It is a baseline for comparisons.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, c []Candidate) int {
	return int(p.next.Add(1) % uint64(len(c)))
}

// Random picks a candidate at random. It is a baseline for comparisons.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(rng *rand.Rand, c []Candidate) int { return rng.IntN(len(c)) }

// LeastLoaded picks the candidate with the lowest relative load. It is a baseline
// for comparisons.
type LeastLoaded struct{}

// Pick implements Picker.
func (LeastLoaded) Pick(_ *rand.Rand, c []Candidate) int {
	best := 0
	for i := range c {
		if c[i].Load < c[best].Load {
			best = i
		}
	}
	return best
}

// defaultTolerance is the Tolerance of the picker "two_choices".
const defaultTolerance = 0.02

// NewPicker returns a new picker by name, nil if the name is unknown.
func NewPicker(name string) Picker {
	switch name {
	case "two_choices":
		return TwoChoices{Tolerance: defaultTolerance}
	case "round_robin":
		return new(RoundRobin)
	case "random":
		return Random{}
	case "least_loaded":
		return LeastLoaded{}
	}
	return nil
}

// Policy selects the plugins. Fields that are not set have defaults.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// SampleSize bounds the number of candidates per layer range that are scored for
	// a request. It keeps the time of a decision constant as engines are added.
	SampleSize int
}

const defaultSampleSize = 16

// withDefaults sets the defaults: all filters, all scorers, the picker
// "two_choices" and defaultSampleSize.
func (p Policy) withDefaults() Policy {
	if p.Filters == nil {
		for _, n := range []string{"ready", "health", "quarantine", "version", "not_exclude"} {
			p.Filters = append(p.Filters, Filters[n])
		}
	}
	if p.Scorers == nil {
		for _, n := range []string{"stage_time", "queue", "prefill", "adapter"} {
			p.Scorers = append(p.Scorers, Scorers[n])
		}
	}
	if p.Picker == nil {
		p.Picker = NewPicker("two_choices")
	}
	if p.SampleSize == 0 {
		p.SampleSize = defaultSampleSize
	}
	return p
}
