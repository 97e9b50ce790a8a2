package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// movingCosts are the costs of moving an engine that are tried in turn, as a
// share of a layer without any rate: first no serving engine moves at all.
var movingCosts = []float64{1e6, 1, 0.2, 0.04, 0.008}

// Replan computes wanted assignments from what the engines hold (Engine.Current)
// with as few loads as possible. Engines without a range are put to use;
// engines that hold one move only if that gains at least Settings.MinGain or
// brings back a spare way. With nothing held it is Plan.
func (p Planner) Replan(in Input) Plan {
	owner, held := allocateFrom(in)
	if !held {
		return p.Plan(in)
	}
	top := newTopology(in)
	stages := make([][]stage, len(in.Models))
	for m := range in.Models {
		stages[m] = p.replanModel(in, top, m, members(owner, m))
	}
	plan := p.finish(in, top, stages)
	if plan.Ratio() >= minReplanRatio {
		return plan
	}
	fresh := p.Plan(in)
	if fresh.Scale <= plan.Scale*(1+freshGain) {
		return plan
	}
	fresh = keepEqualEngines(in, fresh)
	if !reachable(in, fresh) {
		return plan
	}
	return fresh
}

const (
	// minReplanRatio is the share of the bound below which Replan also tries a
	// plan from nothing, and freshGain what that must gain, since it loads nearly
	// every engine: with 0.95 and 0.05 the loss of a data centre of 14 engines
	// loaded 683 GiB instead of 6 for 6% more throughput, and service fell by
	// half meanwhile.
	minReplanRatio = 0.9
	freshGain      = 0.1
	// replanEnough is the share at which no further moves are tried.
	replanEnough = 0.95
	// maxReplanMoves limits the trial moves of one search on large fleets.
	maxReplanMoves = 200000
)

// replanModel returns the arrangement of one model with the fewest moves among
// those near the best.
func (p Planner) replanModel(in Input, top topology, model int, engines []int) []stage {
	m := in.Models[model]
	rng := rand.New(rand.NewPCG(in.Seed, uint64(model)))
	boundaries := heldBoundaries(in, m, engines)
	spare := p.Settings.Spare && spareFits(in, m, engines)
	enough := replanEnough * hardwareBound(pick(in.Engines, engines), []Model{m}) * m.Demand
	moves := max(searchMoves*len(engines), min(maxReplanMoves, refineMoves*movesFor(len(engines))))
	var found []candidate
	best := 0
	try := func(moving float64, zones []int) bool {
		units, target := p.units(in, m, engines, zones)
		a := newArrangement(units, slices.Clone(boundaries), target, spare)
		a.moving = moving
		a.hold(in, m, engines)
		a.greedy(idleUnits(a))
		a.anneal(rng, moves)
		c := measure(in, top, m, engines, a)
		found = append(found, c)
		if compareCandidates(c, found[best], spare) < 0 {
			best = len(found) - 1
		}
		return (c.spare || !spare) && c.score >= enough
	}
	zonings := zonings(in, top, m, engines)
search:
	for _, moving := range movingCosts {
		for _, zones := range zonings {
			if try(moving, zones) {
				break search
			}
		}
	}
	for _, c := range found[:best] {
		if c.spare == found[best].spare && c.score >= found[best].score*(1-p.Settings.MinGain) {
			return c.stages
		}
	}
	return found[best].stages
}

// hold starts the arrangement from what the engines hold.
func (a *arrangement) hold(in Input, m Model, engines []int) {
	a.origin = make([][2]int, len(engines))
	for u, i := range engines {
		c := in.Engines[i].Current
		if normalRole(c.Role) != upstream.RoleServe || c.Model != m.ID {
			continue
		}
		first, okFirst := slices.BinarySearch(a.boundaries, c.Layers.First)
		end, okEnd := slices.BinarySearch(a.boundaries, c.Layers.End)
		if okFirst && okEnd && first < end && a.fits(u, first, end) {
			a.origin[u] = [2]int{first, end}
			a.put(u, first, end)
		}
	}
}

// idleUnits returns the units without a span, by memory.
func idleUnits(a *arrangement) []int {
	return slices.DeleteFunc(memoryOrder(a.units), func(i int) bool { return a.first[i] < a.end[i] })
}

// heldBoundaries returns the boundaries of the held ranges, refined so that an
// engine of any memory fits into a segment.
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

// replanSegments is the number of segments up to which long ones are halved,
// so that engines that move have more ranges to choose from.
const replanSegments = 20

// allocateFrom divides the engines between the models from what they hold, and
// reports whether any engine holds a range.
func allocateFrom(in Input) ([]int, bool) {
	owner := make([]int, len(in.Engines))
	have := make([]float64, len(in.Models))
	scale := hardwareBound(in.Engines, in.Models)
	held := false
	for i, e := range in.Engines {
		owner[i] = -1
		for m, model := range in.Models {
			if !e.Unavailable && normalRole(e.Current.Role) == upstream.RoleServe && e.Current.Model == model.ID {
				owner[i] = m
				have[m] += useful(model, e, scale)
				held = true
			}
		}
	}
	fill(in, owner, have, scale)
	rebalance(in, owner, have, scale)
	return owner, held
}

// keepEqualEngines exchanges the assignments of engines of the same hardware
// in the same data centre so that as many as possible keep their range.
func keepEqualEngines(in Input, plan Plan) Plan {
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
		matchEngines(engines, plan.Wanted)
	}
	return plan
}

func matchEngines(engines []Engine, wanted map[fleet.UpstreamID]upstream.Assignment) {
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
