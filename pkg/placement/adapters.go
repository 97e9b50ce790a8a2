package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// maxAdapterShare is the largest part of an engine's memory that adapters take.
const maxAdapterShare = 0.1

// adapterMemoryShare returns the part of an engine's memory that is kept for
// the model's adapters: what all of them need, up to maxAdapterShare.
func adapterMemoryShare(m Model) float64 {
	total := 0.0
	for _, a := range m.Adapters {
		total += a.Bytes
	}
	weights := float64(m.Layers) * m.BytesPerLayer
	if total <= 0 || weights <= 0 {
		return 0
	}
	return min(maxAdapterShare, total/(total+weights))
}

// adapterBytes returns the part of an adapter that belongs to a layer range.
func adapterBytes(m Model, a Adapter, layers fleet.LayerRange) float64 {
	return a.Bytes * float64(layers.Len()) / float64(m.Layers)
}

// assignAdapters gives each stage adapters by demand: each adapter is on
// complete chains with at least its share of the model's throughput, and on two
// chains without a common engine while memory allows. Adapters that an engine
// holds already are preferred, so that a small change of demand loads nothing.
func assignAdapters(m Model, stages []stage, engines []Engine, links [][]float64) map[int][]string {
	if len(m.Adapters) == 0 {
		return nil
	}
	total, _ := newChainGraph(stages, m.Layers, len(links), links).throughput()
	wanted := map[int][]string{}
	free := map[int]float64{}
	for _, s := range stages {
		free[s.engine] = engines[s.engine].Memory * adapterMemoryShare(m)
	}
	adapters := slices.Clone(m.Adapters)
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(b.Demand, a.Demand) })
	for _, a := range adapters {
		if a.Demand <= 0 {
			continue
		}
		s := adapterSearch{model: m, adapter: a, stages: stages, engines: engines, links: links, free: free}
		for _, n := range s.place(a.Demand * total) {
			engine := stages[n].engine
			free[engine] -= adapterBytes(m, a, stages[n].layers)
			wanted[engine] = append(wanted[engine], a.Name)
		}
	}
	for i := range wanted {
		slices.Sort(wanted[i])
	}
	return wanted
}

// adapterSearch places one adapter chain by chain.
type adapterSearch struct {
	model   Model
	adapter Adapter
	stages  []stage
	engines []Engine
	links   [][]float64
	free    map[int]float64
	left    []float64 // rate of each stage not used by chains so far
	chosen  map[int]bool
}

// place returns the stages that are to hold the adapter for a rate.
func (s *adapterSearch) place(rate float64) []int {
	s.chosen = map[int]bool{}
	for _, x := range s.stages {
		s.left = append(s.left, x.rate)
	}
	first := map[int]bool{}
	for have := 0.0; have < rate*(1-1e-9); {
		chain := s.cheapest(nil)
		if len(chain) == 0 {
			break
		}
		have += s.use(chain)
		if len(first) == 0 {
			for _, n := range chain {
				first[n] = true
			}
		}
	}
	// A further chain without the engines of the first one.
	if chain := s.cheapest(first); len(first) > 0 {
		s.use(chain)
	}
	return slices.Sorted(maps.Keys(s.chosen))
}

// use adds a chain and returns the rate that it adds.
func (s *adapterSearch) use(chain []int) float64 {
	rate := math.Inf(1)
	for _, n := range chain {
		rate = min(rate, s.left[n])
	}
	for _, n := range chain {
		s.left[n] -= rate
		s.chosen[n] = true
	}
	return rate
}

// cost returns the cost of a stage in layers to load, and false when it cannot hold the adapter.
func (s *adapterSearch) cost(n int) (float64, bool) {
	x := s.stages[n]
	switch {
	case s.left[n] <= x.rate*1e-9:
		return 0, false
	case s.chosen[n]:
		return 0, true
	case s.free[x.engine] < adapterBytes(s.model, s.adapter, x.layers):
		return 0, false
	case slices.Contains(s.engines[x.engine].Current.Adapters, s.adapter.Name):
		return 0.01 * float64(x.layers.Len()), true
	}
	return float64(x.layers.Len()), true
}

// cheapest returns the chain with the lowest cost that avoids some stages, nil
// when there is none. A crossing between data centres costs as much as loading
// all layers, and more over slow links.
func (s *adapterSearch) cheapest(avoid map[int]bool) []int {
	type arrival struct {
		cost  float64
		stage int // that ends here, -1 for a crossing
		from  int // data centre before a crossing
	}
	at := make([][]arrival, s.model.Layers+1)
	for b := range at {
		at[b] = make([]arrival, len(s.links))
		for d := range at[b] {
			at[b][d] = arrival{cost: math.Inf(1), stage: -1, from: d}
			if b == 0 {
				at[b][d].cost = 0
			}
		}
	}
	starts := make([][]int, s.model.Layers)
	for n, x := range s.stages {
		starts[x.layers.First] = append(starts[x.layers.First], n)
	}
	for b := range s.model.Layers {
		stay := slices.Clone(at[b])
		for d := range at[b] {
			for e := range stay {
				c := stay[e].cost + float64(s.model.Layers)*(1+s.stages[0].rate/s.links[e][d])
				if e != d && s.links[e][d] > 0 && c < at[b][d].cost {
					at[b][d] = arrival{c, -1, e}
				}
			}
		}
		for _, n := range starts[b] {
			x := s.stages[n]
			c, ok := s.cost(n)
			if c += at[b][x.dataCentre].cost; ok && !avoid[n] && c < at[x.layers.End][x.dataCentre].cost {
				at[x.layers.End][x.dataCentre] = arrival{c, n, x.dataCentre}
			}
		}
	}
	b, d := s.model.Layers, 0
	for e := range at[b] {
		if at[b][e].cost < at[b][d].cost {
			d = e
		}
	}
	if math.IsInf(at[b][d].cost, 1) {
		return nil
	}
	var chain []int
	for b > 0 {
		a := at[b][d]
		if a.stage < 0 {
			d = a.from
			continue
		}
		chain = append(chain, a.stage)
		b = s.stages[a.stage].layers.First
	}
	return chain
}
