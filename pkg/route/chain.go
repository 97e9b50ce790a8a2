package route

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ErrNoChain states that no chain of usable engines covers all layers.
var ErrNoChain = errors.New("no chain of usable engines covers all layers")

// ErrUnknownModel states that the snapshot does not hold the model.
var ErrUnknownModel = errors.New("unknown model")

// Stage is one stage of a chosen chain.
type Stage struct {
	Upstream fleet.UpstreamID
	Address  string
	Layers   fleet.LayerRange
	// KeepKV is set for a stage that was listed in Request.Prefer.
	KeepKV bool
	// Load is where the caller books Sent and Ended.
	Load *Load
}

// node is a scored engine of a group: the cost of its stage and the least cost
// from its start to the end of the chain.
type node struct {
	engine int
	stage  float64
	toEnd  float64
}

// scratch is the working memory of one decision.
type scratch struct {
	nodes      []node
	start      []int // first node of a group
	end        []int
	candidates []Candidate
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// PickChain returns a chain whose layer ranges cover the model's layers
// contiguously. The cost of a way is its stages' scores plus its links; the
// least cost to the end is computed by dynamic programming from the last layer
// boundary to the first, then the picker chooses stage by stage among the
// engines that can reach the end.
func PickChain(s *Snapshot, r *Request, rng *rand.Rand) ([]Stage, error) {
	m := s.models[r.Model]
	if m == nil {
		return nil, ErrUnknownModel
	}
	w := scratchPool.Get().(*scratch)
	defer scratchPool.Put(w)
	s.score(m, r, rng, w)
	s.costToEnd(m, r, w)
	return s.walk(m, r, rng, w)
}

// score fills in the usable engines of each group with their stage costs.
func (s *Snapshot) score(m *modelView, r *Request, rng *rand.Rand, w *scratch) {
	w.nodes, w.start, w.end = w.nodes[:0], w.start[:0], w.end[:0]
	for g := range m.groups {
		w.start = append(w.start, len(w.nodes))
		engines := m.groups[g].engines
		n, offset := len(engines), 0
		if n > s.plan.Sample {
			offset = rng.IntN(n)
		}
		// The walk goes on past unusable engines until the sample is full.
		for i := 0; i < n && len(w.nodes)-w.start[g] < s.plan.Sample; i++ {
			s.addNode(m, r, engines[(offset+i)%n], w)
		}
		w.end = append(w.end, len(w.nodes))
	}
}

func (s *Snapshot) addNode(m *modelView, r *Request, i int, w *scratch) {
	e := &s.engines[i]
	for _, f := range s.plan.Filters {
		if !f.Keep(&m.Model, e, r) {
			return
		}
	}
	cost := 0.0
	for _, c := range s.plan.Scorers {
		cost += c.Score(&m.Model, e, r)
	}
	w.nodes = append(w.nodes, node{engine: i, stage: cost, toEnd: math.Inf(1)})
}

// hops returns the seconds that a link costs the request: once for the prompt
// and once for each output token.
func (s *Snapshot) hops(r *Request, from, to int) float64 {
	return s.link(from, to) * float64(1+max(r.OutputTokens, 1))
}

// costToEnd computes the least cost from each engine to the last layer. Layer
// boundaries are visited from the last to the first, so that all following
// stages are known.
func (s *Snapshot) costToEnd(m *modelView, r *Request, w *scratch) {
	for first := m.Layers - 1; first >= 0; first-- {
		for _, g := range m.from[first] {
			for i := w.start[g]; i < w.end[g]; i++ {
				n := &w.nodes[i]
				n.toEnd = n.stage + s.rest(m, r, w, m.groups[g].layers.End, s.engines[n.engine].dc)
			}
		}
	}
}

// rest returns the least cost from a boundary to the end, coming from a data centre.
func (s *Snapshot) rest(m *modelView, r *Request, w *scratch, boundary, dc int) float64 {
	if boundary == m.Layers {
		return s.hops(r, dc, s.self) // the token returns to the entry VM
	}
	best := math.Inf(1)
	for _, g := range m.from[boundary] {
		for i := w.start[g]; i < w.end[g]; i++ {
			if c := w.nodes[i].toEnd; c < best {
				best = min(best, c+s.hops(r, dc, s.engines[w.nodes[i].engine].dc))
			}
		}
	}
	return best
}

// walk builds the chain from the first boundary with the picker.
func (s *Snapshot) walk(m *modelView, r *Request, rng *rand.Rand, w *scratch) ([]Stage, error) {
	var chain []Stage
	boundary, dc := 0, s.self
	for boundary < m.Layers {
		w.candidates = w.candidates[:0]
		for _, g := range m.from[boundary] {
			for i := w.start[g]; i < w.end[g]; i++ {
				n := &w.nodes[i]
				if math.IsInf(n.toEnd, 1) {
					continue
				}
				e := &s.engines[n.engine]
				w.candidates = append(w.candidates, Candidate{n.engine, n.toEnd + s.hops(r, dc, e.dc), e.relativeLoad()})
			}
		}
		if len(w.candidates) == 0 {
			return nil, ErrNoChain
		}
		e := &s.engines[w.candidates[s.plan.Picker.Pick(rng, w.candidates)].Engine]
		if chain == nil {
			chain = make([]Stage, 0, 8)
		}
		chain = append(chain, stageOf(e, r))
		boundary, dc = e.Layers.End, e.dc
	}
	return chain, nil
}

func stageOf(e *Engine, r *Request) Stage {
	keep := false
	for _, p := range r.Prefer {
		keep = keep || p == e.ID
	}
	return Stage{Upstream: e.ID, Address: e.Address, Layers: e.Layers, KeepKV: keep, Load: e.Load}
}
