package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// maxAdapterShare is the largest share of an engine's memory that adapters may use.
const maxAdapterShare = 0.1

// adapterMemoryShare returns the share of an engine's memory to reserve for the
// model's adapters: what all of them need, up to maxAdapterShare.
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

// adapterBytes returns the size of the part of an adapter for a layer range.
func adapterBytes(m Model, a Adapter, layers fleet.LayerRange) float64 {
	return a.Bytes * float64(layers.Len()) / float64(m.Layers)
}

// assignAdapters returns the adapters for each engine. Adapters are placed in
// order of falling demand. As far as memory allows, complete chains with at
// least an adapter's share of the model's throughput hold it, and two of these
// chains share no engine. Engines that already hold an adapter are preferred,
// so that small changes of demand cause no loads.
func assignAdapters(m Model, stages []stage, engines []Engine, links [][]float64) map[int][]string {
	if len(m.Adapters) == 0 {
		return nil
	}
	total, _ := newChainGraph(stages, m.Layers, len(links), links).throughput()
	wanted := map[int][]string{}
	freeMemory := map[int]float64{}
	for _, s := range stages {
		freeMemory[s.engine] = engines[s.engine].Memory * adapterMemoryShare(m)
	}
	adapters := slices.Clone(m.Adapters)
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(b.Demand, a.Demand) })
	for _, a := range adapters {
		if a.Demand <= 0 {
			continue
		}
		s := adapterSearch{model: m, adapter: a, stages: stages, engines: engines, links: links, freeMemory: freeMemory}
		for _, n := range s.place(a.Demand * total) {
			engine := stages[n].engine
			freeMemory[engine] -= adapterBytes(m, a, stages[n].layers)
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
	model      Model
	adapter    Adapter
	stages     []stage
	engines    []Engine
	links      [][]float64
	freeMemory map[int]float64
	residual   []float64 // rate of each stage that no chain uses yet
	chosen     map[int]bool
}

// place returns the indexes of the stages that hold the adapter so that it can
// be served at a rate.
func (s *adapterSearch) place(rate float64) []int {
	s.chosen = map[int]bool{}
	for _, x := range s.stages {
		s.residual = append(s.residual, x.rate)
	}
	firstChain := map[int]bool{}
	for reachedRate := 0.0; reachedRate < rate*(1-1e-9); {
		chain := s.cheapestChain(nil)
		if len(chain) == 0 {
			break
		}
		reachedRate += s.addChain(chain)
		if len(firstChain) == 0 {
			for _, n := range chain {
				firstChain[n] = true
			}
		}
	}
	// Add a chain that shares no engine with the first one.
	if chain := s.cheapestChain(firstChain); len(firstChain) > 0 {
		s.addChain(chain)
	}
	return slices.Sorted(maps.Keys(s.chosen))
}

// addChain chooses the stages of a chain, deducts the chain's rate from them and
// returns that rate.
func (s *adapterSearch) addChain(chain []int) float64 {
	rate := math.Inf(1)
	for _, n := range chain {
		rate = min(rate, s.residual[n])
	}
	for _, n := range chain {
		s.residual[n] -= rate
		s.chosen[n] = true
	}
	return rate
}

// cost returns the cost of putting the adapter on a stage, in layers to load.
// It returns false if the stage has no rate left or not enough memory. A stage
// that is chosen already costs nothing, and one whose engine holds the adapter
// costs a hundredth of its layers.
func (s *adapterSearch) cost(n int) (float64, bool) {
	x := s.stages[n]
	switch {
	case s.residual[n] <= x.rate*1e-9:
		return 0, false
	case s.chosen[n]:
		return 0, true
	case s.freeMemory[x.engine] < adapterBytes(s.model, s.adapter, x.layers):
		return 0, false
	case slices.Contains(s.engines[x.engine].Current.Adapters, s.adapter.Name):
		return 0.01 * float64(x.layers.Len()), true
	}
	return float64(x.layers.Len()), true
}

// cheapestChain returns the stages of the chain with the lowest cost that avoids
// the given stages, or nil if there is none. Crossing a link between data
// centres costs as much as loading all layers, and more over slow links.
func (s *adapterSearch) cheapestChain(avoid map[int]bool) []int {
	type arrival struct {
		cost  float64
		stage int // stage that ends here, -1 for a crossing between data centres
		from  int // data centre before the crossing
	}
	arrivals := make([][]arrival, s.model.Layers+1)
	for b := range arrivals {
		arrivals[b] = make([]arrival, len(s.links))
		for d := range arrivals[b] {
			arrivals[b][d] = arrival{cost: math.Inf(1), stage: -1, from: d}
			if b == 0 {
				arrivals[b][d].cost = 0
			}
		}
	}
	starts := make([][]int, s.model.Layers)
	for n, x := range s.stages {
		starts[x.layers.First] = append(starts[x.layers.First], n)
	}
	for b := range s.model.Layers {
		stay := slices.Clone(arrivals[b])
		for d := range arrivals[b] {
			for e := range stay {
				c := stay[e].cost + float64(s.model.Layers)*(1+s.stages[0].rate/s.links[e][d])
				if e != d && s.links[e][d] > 0 && c < arrivals[b][d].cost {
					arrivals[b][d] = arrival{c, -1, e}
				}
			}
		}
		for _, n := range starts[b] {
			x := s.stages[n]
			c, ok := s.cost(n)
			if c += arrivals[b][x.dataCentre].cost; ok && !avoid[n] && c < arrivals[x.layers.End][x.dataCentre].cost {
				arrivals[x.layers.End][x.dataCentre] = arrival{c, n, x.dataCentre}
			}
		}
	}
	b, d := s.model.Layers, 0
	for e := range arrivals[b] {
		if arrivals[b][e].cost < arrivals[b][d].cost {
			d = e
		}
	}
	if math.IsInf(arrivals[b][d].cost, 1) {
		return nil
	}
	var chain []int
	for b > 0 {
		a := arrivals[b][d]
		if a.stage < 0 {
			d = a.from
			continue
		}
		chain = append(chain, a.stage)
		b = s.stages[a.stage].layers.First
	}
	return chain
}
