package route

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ErrNoChain reports that no chain of usable engines covers all layers.
var ErrNoChain = errors.New("no chain of usable engines covers all layers")

// ErrUnknownModel reports that the snapshot does not contain the model.
var ErrUnknownModel = errors.New("unknown model")

// Stage is one stage of a chosen chain.
type Stage struct {
	Upstream fleet.UpstreamID
	Address  string
	Layers   fleet.LayerRange
	// HoldsKV is set if the engine was listed in Request.Prefer.
	HoldsKV bool
	// Load counts the requests on the engine. The caller must record this one's start
	// and end with RecordSent and RecordEnded.
	Load *Load
}

// node is a scored engine of a group. Costs are in seconds.
type node struct {
	engine    int     // index into Snapshot.engines
	stageCost float64 // cost of the stage itself
	toEnd     float64 // lowest cost of the stage and the rest of the chain
}

// scratch holds the buffers of one decision. They are pooled to avoid allocations.
type scratch struct {
	nodes      []node
	start      []int // index of each group's first node
	end        []int // index after each group's last node
	candidates []Candidate
}

var scratchPool = sync.Pool{New: func() any { return new(scratch) }}

// PickChain returns a chain whose layer ranges cover the model's layers
// contiguously. The cost of a chain is the sum of its stages' scores and of its
// links. The lowest cost to the end of the chain is computed by dynamic
// programming from the last layer boundary to the first. Then the picker chooses
// stage by stage among the engines from which the last layer can be reached.
func PickChain(s *Snapshot, r *Request, rng *rand.Rand) ([]Stage, error) {
	m := s.models[r.Model]
	if m == nil {
		return nil, ErrUnknownModel
	}
	buf := scratchPool.Get().(*scratch)
	defer scratchPool.Put(buf)
	s.score(m, r, rng, buf)
	s.costToEnd(m, r, buf)
	return s.buildChain(m, r, rng, buf)
}

// score fills buf with the usable engines of each group and their stage costs.
// Groups of more than SampleSize engines are sampled from a random offset.
func (s *Snapshot) score(m *modelView, r *Request, rng *rand.Rand, buf *scratch) {
	buf.nodes, buf.start, buf.end = buf.nodes[:0], buf.start[:0], buf.end[:0]
	for g := range m.groups {
		buf.start = append(buf.start, len(buf.nodes))
		engines := m.groups[g].engines
		n, offset := len(engines), 0
		if n > s.policy.SampleSize {
			offset = rng.IntN(n)
		}
		// Unusable engines don't count towards the sample.
		for i := 0; i < n && len(buf.nodes)-buf.start[g] < s.policy.SampleSize; i++ {
			s.addNode(m, r, engines[(offset+i)%n], buf)
		}
		buf.end = append(buf.end, len(buf.nodes))
	}
}

// addNode appends engine i and its stage cost unless a filter drops the engine.
func (s *Snapshot) addNode(m *modelView, r *Request, i int, buf *scratch) {
	e := &s.engines[i]
	for _, f := range s.policy.Filters {
		if !f.Keep(&m.Model, e, r) {
			return
		}
	}
	cost := 0.0
	for _, c := range s.policy.Scorers {
		cost += c.Score(&m.Model, e, r)
	}
	buf.nodes = append(buf.nodes, node{engine: i, stageCost: cost, toEnd: math.Inf(1)})
}

// linkCost returns the seconds that the request spends on a link, which it crosses
// once for the prompt and once for each output token.
func (s *Snapshot) linkCost(r *Request, from, to int) float64 {
	return s.link(from, to) * float64(1+max(r.OutputTokens, 1))
}

// costToEnd computes the lowest cost from each engine to the end of the chain.
// Layer boundaries are visited from the last to the first, so that the costs of
// all following stages are known.
func (s *Snapshot) costToEnd(m *modelView, r *Request, buf *scratch) {
	for first := m.Layers - 1; first >= 0; first-- {
		for _, g := range m.groupsFrom[first] {
			for i := buf.start[g]; i < buf.end[g]; i++ {
				n := &buf.nodes[i]
				n.toEnd = n.stageCost + s.costFrom(m, r, buf, m.groups[g].layers.End, s.engines[n.engine].dc)
			}
		}
	}
}

// costFrom returns the lowest cost from a layer boundary to the end of the chain,
// including the link from data centre dc.
func (s *Snapshot) costFrom(m *modelView, r *Request, buf *scratch, boundary, dc int) float64 {
	if boundary == m.Layers {
		return s.linkCost(r, dc, s.self) // the token goes back to the entry VM
	}
	best := math.Inf(1)
	for _, g := range m.groupsFrom[boundary] {
		for i := buf.start[g]; i < buf.end[g]; i++ {
			if c := buf.nodes[i].toEnd; c < best {
				best = min(best, c+s.linkCost(r, dc, s.engines[buf.nodes[i].engine].dc))
			}
		}
	}
	return best
}

// buildChain builds the chain from the first layer on with the picker.
func (s *Snapshot) buildChain(m *modelView, r *Request, rng *rand.Rand, buf *scratch) ([]Stage, error) {
	var chain []Stage
	boundary, dc := 0, s.self
	for boundary < m.Layers {
		buf.candidates = buf.candidates[:0]
		for _, g := range m.groupsFrom[boundary] {
			for i := buf.start[g]; i < buf.end[g]; i++ {
				n := &buf.nodes[i]
				if math.IsInf(n.toEnd, 1) {
					continue
				}
				e := &s.engines[n.engine]
				buf.candidates = append(buf.candidates, Candidate{n.engine, n.toEnd + s.linkCost(r, dc, e.dc), e.relativeLoad()})
			}
		}
		if len(buf.candidates) == 0 {
			return nil, ErrNoChain
		}
		e := &s.engines[buf.candidates[s.policy.Picker.Pick(rng, buf.candidates)].Engine]
		if chain == nil {
			chain = make([]Stage, 0, 8)
		}
		chain = append(chain, newStage(e, r))
		boundary, dc = e.Layers.End, e.dc
	}
	return chain, nil
}

func newStage(e *Engine, r *Request) Stage {
	holdsKV := false
	for _, p := range r.Prefer {
		holdsKV = holdsKV || p == e.ID
	}
	return Stage{Upstream: e.ID, Address: e.Address, Layers: e.Layers, HoldsKV: holdsKV, Load: e.Load}
}
