package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// layerMoveCosts are the costs for each layer that a moved engine has to load,
// relative to the cost of a layer without any rate. Replan tries them in order.
// With the first one, no serving engine moves at all.
var layerMoveCosts = []float64{1e6, 1, 0.2, 0.04, 0.008}

// Replan computes wanted assignments that need as few loads as possible from
// what the engines hold (Engine.Current). Engines without a range get one;
// engines that hold one move only if that gains at least Settings.MinGain or
// restores redundancy. If no engine holds a range, Replan returns the same as
// Plan.
func (p Planner) Replan(in Input) Plan {
	modelOf, anyHeld := allocateFromCurrent(in)
	if !anyHeld {
		return p.Plan(in)
	}
	top := newTopology(in)
	stages := make([][]stage, len(in.Models))
	for m := range in.Models {
		stages[m] = p.replanModel(in, top, m, members(modelOf, m))
	}
	plan := p.buildPlan(in, top, stages)
	if plan.Ratio() >= minReplanRatio {
		return plan
	}
	fresh := p.Plan(in)
	if fresh.Scale <= plan.Scale*(1+minFreshGain) {
		return plan
	}
	fresh = keepHeldRanges(in, fresh)
	if !reachable(in, fresh) {
		return plan
	}
	return fresh
}

const (
	// minReplanRatio is the share of the bound below which Replan also computes a
	// plan from scratch. A plan from scratch loads nearly every engine: with a
	// ratio of 0.95 and a minFreshGain of 0.05, the loss of a data centre of 14
	// engines loaded 683 GiB instead of 6 GiB for 6% more throughput, and
	// throughput fell by half during the loads.
	minReplanRatio = 0.9
	// minFreshGain is the relative gain in scale that a plan from scratch needs
	// to replace the one that keeps what the engines hold. See minReplanRatio.
	minFreshGain = 0.1
	// replanStopRatio is the share of the bound at which replanModel stops trying
	// further moves.
	replanStopRatio = 0.95
	// maxReplanMoves limits the trial moves of one search in large fleets.
	maxReplanMoves = 200000
)

// replanModel arranges one model with as few moves as possible. It returns the
// first arrangement it found, in order of falling move costs, whose throughput
// is within Settings.MinGain of the best one's and whose redundancy is the same.
func (p Planner) replanModel(in Input, top topology, model int, engines []int) []stage {
	m := in.Models[model]
	rng := rand.New(rand.NewPCG(in.Seed, uint64(model)))
	boundaries := heldBoundaries(in, m, engines)
	redundancy := p.Settings.Redundancy && redundancyFits(in, m, engines)
	stopScore := replanStopRatio * hardwareBound(selectEngines(in.Engines, engines), []Model{m}) * m.Demand
	moves := max(searchMoves*len(engines), min(maxReplanMoves, refineMoveFactor*movesFor(len(engines))))
	var found []candidate
	best := 0
	try := func(layerMoveCost float64, zones []int) bool {
		units, target := p.units(in, m, engines, zones)
		a := newArrangement(units, slices.Clone(boundaries), target, redundancy)
		a.layerMoveCost = layerMoveCost
		a.startFromCurrent(in, m, engines)
		a.greedy(idleUnits(a))
		a.anneal(rng, moves)
		c := measure(in, top, m, engines, a)
		found = append(found, c)
		if compareCandidates(c, found[best], redundancy) < 0 {
			best = len(found) - 1
		}
		return (c.redundant || !redundancy) && c.score >= stopScore
	}
	zonings := zonings(in, top, m, engines)
search:
	for _, layerMoveCost := range layerMoveCosts {
		for _, zones := range zonings {
			if try(layerMoveCost, zones) {
				break search
			}
		}
	}
	for _, c := range found[:best] {
		if c.redundant == found[best].redundant && c.score >= found[best].score*(1-p.Settings.MinGain) {
			return c.stages
		}
	}
	return found[best].stages
}

// startFromCurrent gives the units the spans that their engines hold.
func (a *arrangement) startFromCurrent(in Input, m Model, engines []int) {
	a.currentSpan = make([][2]int, len(engines))
	for u, i := range engines {
		c := in.Engines[i].Current
		if normalRole(c.Role) != upstream.RoleServe || c.Model != m.ID {
			continue
		}
		first, okFirst := slices.BinarySearch(a.boundaries, c.Layers.First)
		end, okEnd := slices.BinarySearch(a.boundaries, c.Layers.End)
		if okFirst && okEnd && first < end && a.fits(u, first, end) {
			a.currentSpan[u] = [2]int{first, end}
			a.setSpan(u, first, end)
		}
	}
}

// idleUnits returns the units without a span, in memoryOrder.
func idleUnits(a *arrangement) []int {
	return slices.DeleteFunc(memoryOrder(a.units), func(i int) bool { return a.first[i] < a.end[i] })
}

// heldBoundaries returns the boundaries of the held ranges. It divides segments
// that are too long for the engine with the least memory, and then halves the
// longest ones until there are replanSegments of them.
func heldBoundaries(in Input, m Model, engines []int) []int {
	least := m.Layers
	b := []int{0, m.Layers}
	for _, i := range engines {
		e := in.Engines[i]
		if n := m.maxLayers(e); n > 0 {
			least = min(least, n)
		}
		l := e.Current.Layers
		if e.Current.Model == m.ID && within(l, m.Layers) && !e.Unavailable {
			b = append(b, l.First, l.End)
		}
	}
	slices.Sort(b)
	b = slices.Compact(b)
	for i := 0; i+1 < len(b); i++ {
		if length := b[i+1] - b[i]; length > least {
			parts := (length + least - 1) / least
			b = slices.Insert(b, i+1, b[i]+(length+parts-1)/parts)
		}
	}
	for len(b) <= replanSegments {
		longest := 0
		for i := range len(b) - 1 {
			if b[i+1]-b[i] > b[longest+1]-b[longest] {
				longest = i
			}
		}
		if b[longest+1]-b[longest] < 2 {
			break
		}
		b = slices.Insert(b, longest+1, (b[longest]+b[longest+1])/2)
	}
	return b
}

// replanSegments is the number of segments up to which heldBoundaries halves
// the longest ones, so that engines that move can choose from more ranges.
const replanSegments = 20

// allocateFromCurrent divides the engines among the models like allocate, but
// starts from the models that they hold. It also reports whether any available
// engine serves one of the models.
func allocateFromCurrent(in Input) ([]int, bool) {
	modelOf := make([]int, len(in.Engines))
	coverage := make([]float64, len(in.Models))
	scale := hardwareBound(in.Engines, in.Models)
	anyHeld := false
	for i, e := range in.Engines {
		modelOf[i] = -1
		for m, model := range in.Models {
			if !e.Unavailable && normalRole(e.Current.Role) == upstream.RoleServe && e.Current.Model == model.ID {
				modelOf[i] = m
				coverage[m] += contribution(model, e, scale)
				anyHeld = true
			}
		}
	}
	assignFreeEngines(in, modelOf, coverage, scale)
	rebalance(in, modelOf, coverage, scale)
	return modelOf, anyHeld
}

// keepHeldRanges exchanges the assignments of engines with equal hardware in
// the same data centre, so that more of them keep the range that they hold.
func keepHeldRanges(in Input, plan Plan) Plan {
	type class struct {
		dataCentre    fleet.DataCentreID
		memory, speed float64
		slots         int
	}
	classes := map[class][]Engine{}
	for _, e := range in.Engines {
		if !e.Unavailable {
			k := class{e.DataCentre, e.Memory, e.Speed, e.Slots}
			classes[k] = append(classes[k], e)
		}
	}
	for _, engines := range classes {
		exchangeAssignments(engines, plan.Wanted)
	}
	return plan
}

// exchangeAssignments exchanges wanted assignments between interchangeable
// engines where one of them then keeps its range and the other loses none.
func exchangeAssignments(engines []Engine, wanted map[fleet.UpstreamID]upstream.Assignment) {
	for i, e := range engines {
		for _, other := range engines {
			w := wanted[other.ID]
			if sameWeights(w, e.Current) && !sameWeights(wanted[e.ID], e.Current) && !sameWeights(w, other.Current) {
				wanted[other.ID], wanted[engines[i].ID] = wanted[e.ID], w
				break
			}
		}
	}
}
