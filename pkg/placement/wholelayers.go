package placement

import "math"

// Steps of WholeLayerBound: the grid of rates, the bisection, and the search
// for prices at each step. Coarser ones only make the bound weaker, never wrong.
const (
	wholeGrid   = 400
	wholeBisect = 14
	wholePrices = 80
)

// hardwareKind is a group of equal engines.
type hardwareKind struct {
	count, speed float64
	most         int
}

// WholeLayerBound returns an upper bound of the throughput of one model that
// also counts that ranges are whole layers: each layer is run by some set of
// engines whose rates speed / layers add up to the throughput, and an engine
// with n layers spends 1/n of itself on each. A price for each kind of engine
// that makes the cheapest such set for every layer cost more than all engines
// are worth proves that a throughput cannot be reached (linear programming
// duality). It is at most Bound and close to the best placement for few engines.
func WholeLayerBound(in Input) float64 {
	m := in.Models[0]
	kinds := hardwareKinds(in.Engines, m)
	low, high := 0.0, hardwareBound(in.Engines, in.Models[:1])*m.Demand
	for range wholeBisect {
		mid := (low + high) / 2
		if provenTooFast(kinds, m.Layers, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

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
			kinds = append(kinds, hardwareKind{speed: k.speed, most: k.most})
		}
		kinds[i].count++
	}
	return kinds
}

// provenTooFast searches for prices that prove a throughput impossible. Prices
// of kinds that the cheapest set overuses go up.
func provenTooFast(kinds []hardwareKind, layers int, rate float64) bool {
	prices := make([]float64, len(kinds))
	for i, k := range kinds {
		prices[i] = min(k.speed, rate*float64(k.most))
	}
	for n := range wholePrices {
		worth := 0.0
		for i, k := range kinds {
			worth += prices[i] * k.count
		}
		cost, use := cheapestSet(kinds, prices, rate)
		if float64(layers)*cost > worth*(1+1e-9) {
			return true
		}
		step := 0.5 / math.Sqrt(float64(n+1))
		for i, k := range kinds {
			over := float64(layers)*use[i]/k.count - 1
			prices[i] *= math.Exp(step * max(-1, min(1, over)))
		}
	}
	return false
}

// cheapestSet returns the least cost of engines that run one layer at a rate,
// and how much of each kind that takes. Rates are rounded up to the grid.
func cheapestSet(kinds []hardwareKind, prices []float64, rate float64) (float64, []float64) {
	type item struct{ kind, layers int }
	cost := make([]float64, wholeGrid+1)
	chosen := make([]item, wholeGrid+1)
	units := func(i item) int {
		u := math.Ceil(kinds[i.kind].speed / float64(i.layers) / rate * wholeGrid)
		return int(min(u, wholeGrid))
	}
	for g := 1; g <= wholeGrid; g++ {
		cost[g] = math.Inf(1)
	}
	for k := range kinds {
		for n := 1; n <= kinds[k].most; n++ {
			i := item{k, n}
			u, c := units(i), prices[k]/float64(n)
			for g := 1; g <= wholeGrid; g++ {
				if x := cost[max(0, g-u)] + c; x < cost[g] {
					cost[g], chosen[g] = x, i
				}
			}
		}
	}
	use := make([]float64, len(kinds))
	for g := wholeGrid; g > 0; {
		use[chosen[g].kind] += 1 / float64(chosen[g].layers)
		g -= units(chosen[g])
	}
	return cost[wholeGrid], use
}
