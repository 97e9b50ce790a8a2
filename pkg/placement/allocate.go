package placement

import (
	"cmp"
	"math"
	"slices"
)

// allocate divides the engines among the models. It returns the index of each
// engine's model, or -1 for an engine that no model can use.
func allocate(in Input) []int {
	modelOf := make([]int, len(in.Engines))
	for i := range modelOf {
		modelOf[i] = -1
	}
	coverage := make([]float64, len(in.Models))
	scale := hardwareBound(in.Engines, in.Models)
	assignFreeEngines(in, modelOf, coverage, scale)
	rebalance(in, modelOf, coverage, scale)
	return modelOf
}

// assignFreeEngines gives each engine without a model to the model with the
// lowest coverage of its demand. Fast engines are assigned first, so that slow
// ones can even out the remaining differences.
func assignFreeEngines(in Input, modelOf []int, coverage []float64, scale float64) {
	order := make([]int, len(in.Engines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(in.Engines[b].Speed, in.Engines[a].Speed)
	})
	for _, i := range order {
		if modelOf[i] >= 0 {
			continue
		}
		best := leastCovered(in, coverage, scale, i, maxEngineShare)
		if best < 0 {
			best = leastCovered(in, coverage, scale, i, math.Inf(1))
		}
		if best < 0 {
			continue
		}
		modelOf[i] = best
		coverage[best] += contribution(in.Models[best], in.Engines[i], scale)
	}
}

// maxEngineShare is the largest share of a model's work that one engine should
// run, so that the model keeps capacity when the engine is lost.
const maxEngineShare = 0.4

// leastCovered returns the model with the lowest coverage among those to which
// the engine would contribute more than nothing and at most maxShare. It
// returns -1 when there is none.
func leastCovered(in Input, coverage []float64, scale float64, engine int, maxShare float64) int {
	best := -1
	for m, model := range in.Models {
		u := contribution(model, in.Engines[engine], scale)
		if u > 0 && u <= maxShare && (best < 0 || coverage[m] < coverage[best]) {
			best = m
		}
	}
	return best
}

// maxImbalance is the difference between the highest and the lowest coverage
// that rebalance accepts. Each engine that changes models causes loads on both.
const maxImbalance = 0.1

// rebalance moves engines from the model with the highest coverage to the one
// with the lowest. It stops when the gap is at most maxImbalance or when no
// single move narrows the gap by more than that fraction.
func rebalance(in Input, modelOf []int, coverage []float64, scale float64) {
	if len(in.Models) < 2 {
		return
	}
	for range in.Engines {
		lowestModel, highestModel := 0, 0
		for m := range coverage {
			if coverage[m] < coverage[lowestModel] {
				lowestModel = m
			}
			if coverage[m] > coverage[highestModel] {
				highestModel = m
			}
		}
		gap := coverage[highestModel] - coverage[lowestModel]
		best, bestGap := -1, gap*(1-maxImbalance)
		for i, e := range in.Engines {
			if modelOf[i] != highestModel {
				continue
			}
			removed, added := contribution(in.Models[highestModel], e, scale), contribution(in.Models[lowestModel], e, scale)
			after := max(coverage[highestModel]-removed, coverage[lowestModel]+added) - min(coverage[highestModel]-removed, coverage[lowestModel]+added)
			if added > 0 && after < bestGap {
				best, bestGap = i, after
			}
		}
		if gap <= maxImbalance || best < 0 {
			return
		}
		coverage[highestModel] -= contribution(in.Models[highestModel], in.Engines[best], scale)
		coverage[lowestModel] += contribution(in.Models[lowestModel], in.Engines[best], scale)
		modelOf[best] = lowestModel
	}
}

// contribution returns the share of a model's work at a scale that an engine
// can run.
func contribution(m Model, e Engine, scale float64) float64 {
	rate := m.Demand * scale
	if rate <= 0 {
		return 0
	}
	return min(m.speed(e), float64(m.maxLayers(e))*rate) / (float64(m.Layers) * rate)
}
