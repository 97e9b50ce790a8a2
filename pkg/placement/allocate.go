package placement

import (
	"cmp"
	"slices"
)

// allocate divides the engines between the models and returns each engine's
// model, -1 for none. Fast engines go first, each to the model that has the
// least of its demand so far.
func allocate(in Input) []int {
	owner := make([]int, len(in.Engines))
	if len(in.Models) == 1 {
		return owner
	}
	scale := hardwareBound(in.Engines, in.Models)
	have := make([]float64, len(in.Models))
	order := make([]int, len(in.Engines))
	for i := range order {
		order[i] = i
		owner[i] = -1
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(in.Engines[b].Speed, in.Engines[a].Speed)
	})
	for _, i := range order {
		best := -1
		for m, model := range in.Models {
			if model.maxLayers(in.Engines[i]) > 0 && (best < 0 || have[m] < have[best]) {
				best = m
			}
		}
		if best < 0 {
			continue
		}
		owner[i] = best
		have[best] += useful(in.Models[best], in.Engines[i], scale)
	}
	return owner
}

// useful returns an engine's contribution to a model as a share of the model's need at a scale.
func useful(m Model, e Engine, scale float64) float64 {
	rate := m.Demand * scale
	if rate <= 0 {
		return 0
	}
	return min(m.speed(e), float64(m.maxLayers(e))*rate) / (float64(m.Layers) * rate)
}
