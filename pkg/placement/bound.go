package placement

import "github.com/cornelline/cornelline/pkg/fleet"

// boundSteps is the number of bisection steps; 50 halve the range below float rounding.
const boundSteps = 50

// Bound returns the highest scale (tokens per second per unit of demand share)
// that any placement on the hardware can reach. The engines' work flows to the
// models' layers: an engine gives at most its speed, and at most one token rate
// for each layer that fits into its memory. Layers of one model are alike, so
// they are one node whose demand is layers x rate. Where links are given, each
// chain that leaves its data centre also takes link capacity.
func Bound(in Input) float64 {
	all := hardwareBound(in.Engines, in.Models)
	if len(in.Links) == 0 || len(in.Models) != 1 {
		return all
	}
	return min(all, linkBound(in))
}

// linkBound returns what chains inside single data centres reach at most, plus
// one crossing of a link for each other token.
func linkBound(in Input) float64 {
	m := in.Models[0]
	total := 0.0
	for _, group := range byDataCentre(in.Engines) {
		total += hardwareBound(group, in.Models)
	}
	for _, l := range in.Links {
		total += 2 * l.BytesPerSecond / m.activationBytes() / m.Demand
	}
	return total
}

func hardwareBound(engines []Engine, models []Model) float64 {
	high := highestScale(engines, models)
	if high <= 0 {
		return 0
	}
	low := 0.0
	for range boundSteps {
		mid := (low + high) / 2
		if scaleFits(engines, models, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// highestScale returns a scale that cannot be exceeded because of the total speed.
func highestScale(engines []Engine, models []Model) float64 {
	speed, need := 0.0, 0.0
	for _, e := range engines {
		if !e.Unavailable {
			speed += e.Speed
		}
	}
	for _, m := range models {
		need += float64(m.Layers) * m.work() * m.Demand
	}
	if need <= 0 {
		return 0
	}
	return speed / need * (1 + 1e-9)
}

// scaleFits reports whether the engines' work covers all layers at the scale.
// Flow is in shares of the total need, so that one epsilon fits all inputs.
func scaleFits(engines []Engine, models []Model, scale float64) bool {
	total := 0.0
	for _, m := range models {
		total += float64(m.Layers) * m.work() * m.Demand * scale
	}
	source, sink := 0, 1
	g := newFlowGraph(2 + len(engines) + len(models))
	for i, m := range models {
		g.add(2+len(engines)+i, sink, float64(m.Layers)*m.work()*m.Demand*scale/total)
	}
	for i, e := range engines {
		g.add(source, 2+i, e.Speed/total)
		for j, m := range models {
			if n := m.maxLayers(e); n > 0 {
				g.add(2+i, 2+len(engines)+j, float64(n)*m.work()*m.Demand*scale/total)
			}
		}
	}
	return g.maxFlow(source, sink) >= 1-1e-6
}

// byDataCentre groups engines by data centre, in order of first appearance.
func byDataCentre(engines []Engine) [][]Engine {
	index := map[fleet.DataCentreID]int{}
	var groups [][]Engine
	for _, e := range engines {
		i, ok := index[e.DataCentre]
		if !ok {
			i = len(groups)
			index[e.DataCentre] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}
