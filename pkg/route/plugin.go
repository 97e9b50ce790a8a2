package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Request is what path choice needs to know of a generation.
type Request struct {
	Model fleet.ModelID
	// Version restricts the chain to one version; empty means the model's current one.
	Version string
	Adapter string
	Rank    fleet.Rank
	// PromptTokens and OutputTokens are the (estimated) lengths.
	PromptTokens, OutputTokens int
	// Prefix is the chained hashes of the prompt's blocks, shortest prefix first.
	Prefix []uint64
	// Exclude lists upstreams that failed this request or must not run it.
	Exclude []fleet.UpstreamID
	// Prefer lists upstreams that still hold the session's KV cache.
	Prefer []fleet.UpstreamID
}

// Filter drops engines that must not run the request.
type Filter interface {
	Keep(m *Model, e *Engine, r *Request) bool
}

// Scorer returns the expected seconds that the stage adds to the request.
type Scorer interface {
	Score(m *Model, e *Engine, r *Request) float64
}

// Candidate is a possible next stage: its index in the snapshot, the cost in
// seconds from here to the end of the chain through it, and its relative load.
type Candidate struct {
	Engine int
	Cost   float64
	Load   float64
}

// Picker chooses one of the candidates, which are never empty, by index.
type Picker interface {
	Pick(rng *rand.Rand, candidates []Candidate) int
}

// FilterFunc and ScorerFunc are plugins that need no state.
type (
	FilterFunc func(m *Model, e *Engine, r *Request) bool
	ScorerFunc func(m *Model, e *Engine, r *Request) float64
)

// Keep calls f.
func (f FilterFunc) Keep(m *Model, e *Engine, r *Request) bool { return f(m, e, r) }

// Score calls f.
func (f ScorerFunc) Score(m *Model, e *Engine, r *Request) float64 { return f(m, e, r) }

// Filters are the filters by name.
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
	// adapterLoad is the assumed time to load an adapter that is not loaded, in seconds.
	adapterLoad = 1.0
	// affinityLoadBound is the relative load above which a cached prefix no
	// longer attracts requests: cached engines would otherwise become hot spots.
	affinityLoadBound = 0.9
	// urgentPace is the weight of an urgent request's own step time on top of what
	// it costs all: it leaves the slow engines to the ranks without a pace target.
	urgentPace = 3.0
	// queuePenalty is the seconds by which each step grows per batch of others
	// ahead when the engine's slots are taken.
	queuePenalty = 0.05
)

// Scorers are the scorers by name.
var Scorers = map[string]Scorer{
	"stage_time": ScorerFunc(scoreStageTime),
	"queue":      ScorerFunc(scoreQueue),
	"prefill":    ScorerFunc(scorePrefill),
	"adapter":    ScorerFunc(scoreAdapter),
}

// scoreStageTime counts the decode steps of the stage at its measured speed.
func scoreStageTime(_ *Model, e *Engine, r *Request) float64 {
	return e.baseTime() * float64(max(r.OutputTokens, 1)) / e.Weight
}

// scoreQueue counts the slowdown by the generations on the engine, that of the
// request and that which it causes to them, and the wait for a slot.
func scoreQueue(_ *Model, e *Engine, r *Request) float64 {
	load := e.relativeLoad()
	wait := max(0, load+1/float64(max(e.Slots, 1))-1) * queuePenalty
	cost := wait + 2*load*e.baseTime()
	if r.Rank == fleet.Urgent {
		cost += urgentPace * (1 + load) * e.baseTime()
	}
	return cost * float64(max(r.OutputTokens, 1))
}

// scorePrefill counts the prompt tokens that are not believed cached. A stage
// that still holds the session's KV cache needs none.
func scorePrefill(m *Model, e *Engine, r *Request) float64 {
	if slices.Contains(r.Prefer, e.ID) {
		return 0
	}
	tokens := r.PromptTokens
	if e.Prefixes != nil && len(r.Prefix) > 0 && e.relativeLoad() < affinityLoadBound {
		tokens = max(0, tokens-e.Prefixes.Match(r.Prefix)*m.Block)
	}
	return e.PrefillPerToken.Seconds() * float64(tokens)
}

// scoreAdapter counts the load of a missing adapter.
func scoreAdapter(_ *Model, e *Engine, r *Request) float64 {
	if r.Adapter == "" || slices.Contains(e.Adapters, r.Adapter) {
		return 0
	}
	return adapterLoad
}

// baseTime is the step time without other generations: steps grow about in
// proportion to one plus the relative load at which StageTime was measured.
func (e *Engine) baseTime() float64 { return e.StageTime.Seconds() / (1 + e.MeasuredLoad) }

// relativeLoad is the corrected queue over the slots.
func (e *Engine) relativeLoad() float64 {
	return e.Load.Queue() / (float64(max(e.Slots, 1)) * e.Weight)
}

// TwoChoices picks the less loaded of two random candidates among those whose
// cost is within Near of the best, so that VMs with the same view do not all
// choose the same engine.
type TwoChoices struct{ Near float64 }

// Pick implements Picker.
func (p TwoChoices) Pick(rng *rand.Rand, c []Candidate) int {
	best := c[0].Cost
	for _, k := range c[1:] {
		best = min(best, k.Cost)
	}
	limit := best * (1 + p.Near)
	first, second, seen := -1, -1, 0
	// Reservoir sampling of two near-equal candidates.
	for i := range c {
		if c[i].Cost > limit {
			continue
		}
		seen++
		switch j := rng.IntN(seen); {
		case seen == 1:
			first = i
		case seen == 2:
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

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, c []Candidate) int {
	return int(p.next.Add(1) % uint64(len(c)))
}

// Random takes any candidate. It is a baseline.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(rng *rand.Rand, c []Candidate) int { return rng.IntN(len(c)) }

// LeastLoaded takes the candidate with the lowest relative load. It is a baseline.
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

// defaultNear is the cost difference up to which two ways count as near-equal.
const defaultNear = 0.02

// Pickers returns a new picker by name, nil for an unknown name.
func Pickers(name string) Picker {
	switch name {
	case "two_choices":
		return TwoChoices{Near: defaultNear}
	case "round_robin":
		return new(RoundRobin)
	case "random":
		return Random{}
	case "least_loaded":
		return LeastLoaded{}
	}
	return nil
}

// Policy is the plugins in use.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// Sample bounds the candidates of one layer range that are scored for a
	// request; it keeps the decision's cost constant as engines are added.
	Sample int
}

const defaultSample = 16

// withDefaults fills in what is not set: all filters, all scorers, two choices.
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
		p.Picker = Pickers("two_choices")
	}
	if p.Sample == 0 {
		p.Sample = defaultSample
	}
	return p
}
