package placement

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// maxAdapterShare is the largest part of an engine's memory that adapters take.
const maxAdapterShare = 0.1

// minAdapterReplicas is the least number of engines for each layer that hold an adapter
// with any demand, so that the loss of one engine does not take it away.
const minAdapterReplicas = 2

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

// assignAdapters gives each stage adapters by demand. An adapter is on engines
// with at least its share of each layer's rate, and at least on
// minAdapterReplicas engines while memory allows. Adapters that an engine holds
// already are preferred, so that a small change of demand loads nothing.
func assignAdapters(m Model, stages []stage, engines []Engine) map[int][]string {
	wanted := map[int][]string{}
	free := map[int]float64{}
	for _, s := range stages {
		free[s.engine] = engines[s.engine].Memory * adapterMemoryShare(m)
	}
	adapters := slices.Clone(m.Adapters)
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(b.Demand, a.Demand) })
	for _, a := range adapters {
		if a.Demand > 0 {
			placeAdapter(m, a, stages, engines, free, wanted)
		}
	}
	for i := range wanted {
		slices.Sort(wanted[i])
	}
	return wanted
}

// placeAdapter puts one adapter on stages until each layer has enough of its rate.
func placeAdapter(m Model, a Adapter, stages []stage, engines []Engine, free map[int]float64, wanted map[int][]string) {
	rates, total := make([]float64, m.Layers), make([]float64, m.Layers)
	count := make([]int, m.Layers)
	for _, s := range stages {
		for l := s.layers.First; l < s.layers.End; l++ {
			total[l] += s.rate
		}
	}
	for _, s := range adapterOrder(a, stages, engines) {
		need := adapterBytes(m, a, s.layers)
		if free[s.engine] < need || !adapterNeeded(a, s, rates, total, count) {
			continue
		}
		free[s.engine] -= need
		wanted[s.engine] = append(wanted[s.engine], a.Name)
		for l := s.layers.First; l < s.layers.End; l++ {
			rates[l] += s.rate
			count[l]++
		}
	}
}

func adapterNeeded(a Adapter, s stage, rates, total []float64, count []int) bool {
	for l := s.layers.First; l < s.layers.End; l++ {
		if count[l] < minAdapterReplicas || rates[l] < a.Demand*total[l]*(1-1e-9) {
			return true
		}
	}
	return false
}

// adapterOrder sorts stages: first those whose engine holds the adapter, then
// by range, fast ones first.
func adapterOrder(a Adapter, stages []stage, engines []Engine) []stage {
	order := slices.Clone(stages)
	slices.SortStableFunc(order, func(x, y stage) int {
		hx := slices.Contains(engines[x.engine].Current.Adapters, a.Name)
		hy := slices.Contains(engines[y.engine].Current.Adapters, a.Name)
		if hx != hy {
			if hx {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(x.layers.First, y.layers.First); c != 0 {
			return c
		}
		return cmp.Compare(y.rate, x.rate)
	})
	return order
}
