package placement

import "github.com/cornelline/cornelline/pkg/fleet"

// bisectionSteps is the number of steps of each bisection. 50 steps narrow the
// range below float rounding.
const bisectionSteps = 50

// Bound returns an upper bound of Plan.Scale, in tokens per second per unit of
// Model.Demand, for any placement on the hardware. It is a max-flow problem in
// which the engines' work flows to the models' layers: an engine contributes at
// most its speed, and at most the model's token rate for each layer that fits
// into its memory. All layers of a model are equal, so they form one node whose
// demand is layers x rate. If the input has links and a single model, chains
// that cross data centres are also limited by the links.
func Bound(in Input) float64 {
	all := hardwareBound(in.Engines, in.Models)
	if len(in.Links) == 0 || len(in.Models) != 1 {
		return all
	}
	return min(all, linkBound(in))
}

// linkBound bounds the scale by what chains within single data centres can
// carry plus what all links can carry in both directions, since each token of
// any other chain crosses at least one link.
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

// hardwareBound returns the highest scale for which the engines' work covers
// all layers, without regard to links.
func hardwareBound(engines []Engine, models []Model) float64 {
	high := highestScale(engines, models)
	if high <= 0 {
		return 0
	}
	low := 0.0
	for range bisectionSteps {
		mid := (low + high) / 2
		if scaleFits(engines, models, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// highestScale returns an upper limit of the scale: the one at which the models
// need all of the engines' speed.
func highestScale(engines []Engine, models []Model) float64 {
	speed, need := 0.0, 0.0
	for _, e := range engines {
		if !e.Unavailable {
			speed += e.Speed
		}
	}
	for _, m := range models {
		need += float64(m.Layers) * m.workPerLayer() * m.Demand
	}
	if need <= 0 {
		return 0
	}
	return speed / need * (1 + 1e-9)
}

// scaleFits reports whether the engines' work covers all layers at a scale. The
// flow is normalised to the total work, so that one epsilon suits inputs of any
// size.
func scaleFits(engines []Engine, models []Model, scale float64) bool {
	total := 0.0
	for _, m := range models {
		total += float64(m.Layers) * m.workPerLayer() * m.Demand * scale
	}
	source, sink := 0, 1
	g := newFlowGraph(2 + len(engines) + len(models))
	for i, m := range models {
		g.add(2+len(engines)+i, sink, float64(m.Layers)*m.workPerLayer()*m.Demand*scale/total)
	}
	for i, e := range engines {
		g.add(source, 2+i, e.Speed/total)
		for j, m := range models {
			if n := m.maxLayers(e); n > 0 {
				g.add(2+i, 2+len(engines)+j, float64(n)*m.workPerLayer()*m.Demand*scale/total)
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
