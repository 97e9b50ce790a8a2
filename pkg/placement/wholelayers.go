package placement

import "math"

// Precision of WholeLayerBound. Lower values make the bound weaker but never
// wrong.
const (
	// rateGridSteps is the number of steps into which cheapestSet divides a rate.
	rateGridSteps = 400
	// wholeLayerBisections is the number of bisection steps on the throughput.
	wholeLayerBisections = 14
	// maxPriceUpdates limits the price updates at each bisection step.
	maxPriceUpdates = 80
)

// hardwareKind is a group of engines with the same speed and layer limit.
type hardwareKind struct {
	count, speed float64
	layerLimit   int // layers that fit into an engine's memory
}

// WholeLayerBound returns an upper bound of the throughput of the first model
// that takes into account that an engine holds whole layers. Each layer is run
// by a set of engines whose rates, speed / layers held, add up to the
// throughput. An engine with n layers spends 1/n of its capacity on each.
//
// A throughput is proven infeasible by linear programming duality: it is out of
// reach if there are prices for the kinds of engines at which the cheapest such
// set, bought once for every layer, costs more than all engines together.
//
// The result is at most Bound, and close to the best placement for few engines.
func WholeLayerBound(in Input) float64 {
	m := in.Models[0]
	kinds := hardwareKinds(in.Engines, m)
	low, high := 0.0, hardwareBound(in.Engines, in.Models[:1])*m.Demand
	for range wholeLayerBisections {
		mid := (low + high) / 2
		if provenInfeasible(kinds, m.Layers, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// hardwareKinds groups the engines that can hold at least one layer of a model.
func hardwareKinds(engines []Engine, m Model) []hardwareKind {
	type key struct {
		speed float64
		most  int
	}
	index := map[key]int{}
	var kinds []hardwareKind
	for _, e := range engines {
		k := key{m.speed(e), m.maxLayers(e)}
		if k.most == 0 {
			continue
		}
		i, ok := index[k]
		if !ok {
			i = len(kinds)
			index[k] = i
			kinds = append(kinds, hardwareKind{speed: k.speed, layerLimit: k.most})
		}
		kinds[i].count++
	}
	return kinds
}

// provenInfeasible searches for prices that prove a throughput impossible. Each
// round raises the prices of the kinds that the cheapest set overuses and
// lowers those of the kinds that it underuses.
func provenInfeasible(kinds []hardwareKind, layers int, rate float64) bool {
	prices := make([]float64, len(kinds))
	for i, k := range kinds {
		prices[i] = min(k.speed, rate*float64(k.layerLimit))
	}
	for n := range maxPriceUpdates {
		totalValue := 0.0
		for i, k := range kinds {
			totalValue += prices[i] * k.count
		}
		cost, usage := cheapestSet(kinds, prices, rate)
		if float64(layers)*cost > totalValue*(1+1e-9) {
			return true
		}
		step := 0.5 / math.Sqrt(float64(n+1))
		for i, k := range kinds {
			excess := float64(layers)*usage[i]/k.count - 1
			prices[i] *= math.Exp(step * max(-1, min(1, excess)))
		}
	}
	return false
}

// cheapestSet returns the lowest cost of engines that run one layer at a rate,
// and how many engines of each kind that takes. It solves a knapsack problem
// over the grid of rates; an engine's rate is rounded up to the grid, so the
// cost is never overestimated.
func cheapestSet(kinds []hardwareKind, prices []float64, rate float64) (float64, []float64) {
	type item struct{ kind, layers int }
	cost := make([]float64, rateGridSteps+1)
	chosen := make([]item, rateGridSteps+1)
	units := func(i item) int {
		u := math.Ceil(kinds[i.kind].speed / float64(i.layers) / rate * rateGridSteps)
		return int(min(u, rateGridSteps))
	}
	for g := 1; g <= rateGridSteps; g++ {
		cost[g] = math.Inf(1)
	}
	for k := range kinds {
		for n := 1; n <= kinds[k].layerLimit; n++ {
			i := item{k, n}
			u, c := units(i), prices[k]/float64(n)
			for g := 1; g <= rateGridSteps; g++ {
				if x := cost[max(0, g-u)] + c; x < cost[g] {
					cost[g], chosen[g] = x, i
				}
			}
		}
	}
	usage := make([]float64, len(kinds))
	for g := rateGridSteps; g > 0; {
		usage[chosen[g].kind] += 1 / float64(chosen[g].layers)
		g -= units(chosen[g])
	}
	return cost[rateGridSteps], usage
}
