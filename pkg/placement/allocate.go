package placement

import (
	"cmp"
	"math"
	"slices"
)

// allocate divides the engines between the models and returns each engine's
// model, -1 for none.
func allocate(in Input) []int {
	owner := make([]int, len(in.Engines))
	for i := range owner {
		owner[i] = -1
	}
	have := make([]float64, len(in.Models))
	scale := hardwareBound(in.Engines, in.Models)
	fill(in, owner, have, scale)
	rebalance(in, owner, have, scale)
	return owner
}

// fill gives each engine without a model to the model that has the least of
// its demand so far. Fast engines go first, so that slow ones even out the rest.
func fill(in Input, owner []int, have []float64, scale float64) {
	order := make([]int, len(in.Engines))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(in.Engines[b].Speed, in.Engines[a].Speed)
	})
	for _, i := range order {
		if owner[i] >= 0 {
			continue
		}
		best := neediest(in, have, scale, i, maxEngineShare)
		if best < 0 {
			best = neediest(in, have, scale, i, math.Inf(1))
		}
		if best < 0 {
			continue
		}
		owner[i] = best
		have[best] += useful(in.Models[best], in.Engines[i], scale)
	}
}

// maxEngineShare is the largest part of a model's need that one engine should
// run, so that the loss of the engine leaves a part of the model.
const maxEngineShare = 0.4

// neediest returns the model that has the least of its demand among those of
// whose need an engine runs at most a share, -1 when there is none.
func neediest(in Input, have []float64, scale float64, engine int, share float64) int {
	best := -1
	for m, model := range in.Models {
		u := useful(model, in.Engines[engine], scale)
		if u > 0 && u <= share && (best < 0 || have[m] < have[best]) {
			best = m
		}
	}
	return best
}

// maxImbalance is the difference between the models' shares of their demand
// that rebalance leaves. Each exchange of an engine costs loads on both models.
const maxImbalance = 0.1

// rebalance moves engines from the model with the most of its demand to the
// one with the least while that raises the least.
func rebalance(in Input, owner []int, have []float64, scale float64) {
	if len(in.Models) < 2 {
		return
	}
	for range in.Engines {
		poor, rich := 0, 0
		for m := range have {
			if have[m] < have[poor] {
				poor = m
			}
			if have[m] > have[rich] {
				rich = m
			}
		}
		gap := have[rich] - have[poor]
		best, bestGap := -1, gap*(1-maxImbalance)
		for i, e := range in.Engines {
			if owner[i] != rich {
				continue
			}
			give, take := useful(in.Models[rich], e, scale), useful(in.Models[poor], e, scale)
			after := max(have[rich]-give, have[poor]+take) - min(have[rich]-give, have[poor]+take)
			if take > 0 && after < bestGap {
				best, bestGap = i, after
			}
		}
		if gap <= maxImbalance || best < 0 {
			return
		}
		have[rich] -= useful(in.Models[rich], in.Engines[best], scale)
		have[poor] += useful(in.Models[poor], in.Engines[best], scale)
		owner[best] = poor
	}
}

// useful returns an engine's contribution to a model as a share of the model's need at a scale.
func useful(m Model, e Engine, scale float64) float64 {
	rate := m.Demand * scale
	if rate <= 0 {
		return 0
	}
	return min(m.speed(e), float64(m.maxLayers(e))*rate) / (float64(m.Layers) * rate)
}
