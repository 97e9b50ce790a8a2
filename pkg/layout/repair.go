package layout

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Repair returns a plan that restores missing layers with few changes to what the engines
// hold. Missing layers go to empty engines first. If there are none, engines that hold
// layers extend or change their ranges; all others keep theirs. Empty engines that remain
// and have settled get second copies of the layers with the least KV memory.
//
// If that can't restore all layers of a data centre, the data centre is planned from
// scratch, but only if replan reports true for it: a new plan moves most of its engines at
// once, while a crashed engine often restarts, empty, within seconds.
func Repair(e *catalog.Engine, engines []Engine, replan func(fleet.DataCentreID) bool) Plan {
	p := newPlanner(e)
	plan := Plan{}
	engines = withinModel(e, engines)
	for _, x := range engines {
		if x.HeldLayers.Len() > 0 {
			plan[x.ID] = x.HeldLayers
		}
	}
	for _, dc := range dataCentres(engines) {
		p.repairDataCentre(inDataCentre(engines, dc), plan, replan(dc))
	}
	if !isComplete(e.Layers, engines, plan) {
		return p.replanAll(engines, plan)
	}
	return plan
}

// replanAll plans all data centres from scratch, for the case that repairs leave the model
// incomplete over all data centres. It returns the given plan if the new one is incomplete
// too. Engines whose range stays the same load nothing.
func (p *planner) replanAll(engines []Engine, plan Plan) Plan {
	fresh := minimizeMoves(engines, PlanFromScratch(p.engine, engines))
	if isComplete(p.engine.Layers, engines, fresh) {
		return fresh
	}
	return plan
}

// repairDataCentre fills the gaps in the layers of one data centre and gives second copies to
// its empty engines.
func (p *planner) repairDataCentre(engines []Engine, plan Plan, replan bool) {
	state := sortedBySpeed(engines)
	for {
		gap := p.firstGap(state)
		if gap.Len() == 0 {
			break
		}
		if p.fillGap(gap, state) {
			continue
		}
		if replan {
			p.replanDataCentre(engines, plan)
			return
		}
		break
	}
	for _, e := range state {
		if e.HeldLayers.Len() > 0 {
			plan[e.ID] = e.HeldLayers
		}
	}
	for i := range state {
		if state[i].HeldLayers.Len() > 0 || state[i].Settling || state[i].Unavailable {
			continue
		}
		if r := p.rangeForCopy(state[i].Card, state); r.Len() > 0 {
			state[i].HeldLayers = r
			plan[state[i].ID] = r
		}
	}
}

// fillGap assigns at least the first layers of a gap to an engine and reports whether it
// could. It tries, in this order:
//   - an empty engine;
//   - the neighbours of the gap, if they can hold all of it and keep enough KV memory,
//     because that loads the fewest layers and unloads none;
//   - an engine whose layers are all held by others too;
//   - the neighbours of the gap, even if that leaves them little KV memory.
func (p *planner) fillGap(gap fleet.LayerRange, state []Engine) bool {
	i := p.pickEngineForGap(gap, state)
	if i >= 0 && state[i].HeldLayers.Len() == 0 {
		p.assignGap(gap, &state[i])
		return true
	}
	if p.extendNeighbours(gap, state, minCopyGenerations*p.meanTokens) {
		return true
	}
	if i >= 0 {
		p.assignGap(gap, &state[i])
		return true
	}
	return p.extendNeighbours(gap, state, minGenerations*p.meanTokens)
}

// assignGap assigns as many of the first layers of a gap to an engine as it can hold, in place
// of its current range.
func (p *planner) assignGap(gap fleet.LayerRange, e *Engine) {
	n := min(gap.Len(), p.maxLayers(e.Card, minGenerations*p.meanTokens))
	e.HeldLayers = fleet.LayerRange{First: gap.First, End: gap.First + n}
}

// extendNeighbours extends the ranges of the engines next to a gap until they cover it,
// provided that each keeps KV memory for a number of tokens. It reports whether that is
// possible.
func (p *planner) extendNeighbours(gap fleet.LayerRange, state []Engine, tokens float64) bool {
	below, above, roomBelow, roomAbove := -1, -1, 0, 0
	for i, e := range state {
		if e.HeldLayers.Len() == 0 || e.Unavailable {
			continue
		}
		room := p.maxLayers(e.Card, tokens) - e.HeldLayers.Len()
		if e.HeldLayers.End == gap.First && room > roomBelow {
			below, roomBelow = i, room
		}
		if e.HeldLayers.First == gap.End && room > roomAbove {
			above, roomAbove = i, room
		}
	}
	if roomBelow+roomAbove < gap.Len() {
		return false
	}
	// Each neighbour takes a part of the gap in proportion to the layers it has room for.
	belowCount := min(roomBelow, (gap.Len()*roomBelow+roomBelow+roomAbove-1)/(roomBelow+roomAbove))
	if aboveCount := gap.Len() - belowCount; aboveCount > roomAbove {
		belowCount = gap.Len() - roomAbove
	}
	if belowCount > 0 {
		state[below].HeldLayers.End += belowCount
	}
	if belowCount < gap.Len() {
		state[above].HeldLayers.First -= gap.Len() - belowCount
	}
	return true
}

// replanDataCentre plans a data centre from scratch if that gives it a complete chain of its
// own. Otherwise the plan stays as it is, because the layers that the data centre holds may
// complete chains of others.
func (p *planner) replanDataCentre(engines []Engine, plan Plan) {
	fresh := Plan{}
	engines = availableEngines(engines)
	p.planDataCentre(engines, fresh)
	fresh = minimizeMoves(engines, fresh)
	if !isComplete(p.engine.Layers, engines, fresh) {
		return
	}
	for _, e := range engines {
		delete(plan, e.ID)
	}
	for id, r := range fresh {
		plan[id] = r
	}
}

// minimizeMoves exchanges the ranges of a plan between engines with the same card and data
// centre, so that the engines already hold as many of their planned layers as possible.
func minimizeMoves(engines []Engine, plan Plan) Plan {
	type kind struct {
		dc   fleet.DataCentreID
		card string
	}
	groups := make(map[kind][]Engine)
	for _, e := range engines {
		if _, ok := plan[e.ID]; ok {
			k := kind{e.DataCentre, e.Card.Name}
			groups[k] = append(groups[k], e)
		}
	}
	result := make(Plan, len(plan))
	for _, group := range groups {
		ranges := make([]fleet.LayerRange, len(group))
		for i, e := range group {
			ranges[i] = plan[e.ID]
		}
		for len(group) > 0 { // greedily match the engine and the range with the most layers in common
			bestE, bestR, mostCommon := 0, 0, -1
			for i, e := range group {
				for j, r := range ranges {
					if n := commonLayers(e.HeldLayers, r); n > mostCommon {
						bestE, bestR, mostCommon = i, j, n
					}
				}
			}
			result[group[bestE].ID] = ranges[bestR]
			group = slices.Delete(group, bestE, bestE+1)
			ranges = slices.Delete(ranges, bestR, bestR+1)
		}
	}
	return result
}

// commonLayers returns the number of layers in both ranges.
func commonLayers(a, b fleet.LayerRange) int { return max(0, min(a.End, b.End)-max(a.First, b.First)) }

// firstGap returns the first run of layers that no engine holds.
func (p *planner) firstGap(engines []Engine) fleet.LayerRange {
	held := make([]bool, p.engine.Layers)
	for _, e := range engines {
		for l := e.HeldLayers.First; l < min(e.HeldLayers.End, p.engine.Layers); l++ {
			held[l] = true
		}
	}
	first := slices.Index(held, false)
	if first < 0 {
		return fleet.LayerRange{}
	}
	end := first
	for end < len(held) && !held[end] {
		end++
	}
	return fleet.LayerRange{First: first, End: end}
}

// pickEngineForGap returns the index of the engine that should fill a gap, or -1 if there is
// none. It prefers an empty engine, then the slowest of those whose layers are all held by
// others, so that a chain does not lose its fastest engine to a short gap. Of equal engines it
// picks the one with the most memory left beside the gap.
func (p *planner) pickEngineForGap(gap fleet.LayerRange, engines []Engine) int {
	copies := make([]int, p.engine.Layers)
	for _, e := range engines {
		for l := e.HeldLayers.First; l < min(e.HeldLayers.End, p.engine.Layers); l++ {
			copies[l]++
		}
	}
	best := -1
	for i, e := range engines {
		if e.Unavailable || p.maxLayers(e.Card, minGenerations*p.meanTokens) == 0 || !isRedundant(e, copies) {
			continue
		}
		if best < 0 || p.prefersForGap(gap, e, engines[best]) {
			best = i
		}
	}
	return best
}

// prefersForGap reports whether engine a should fill a gap rather than engine b.
func (p *planner) prefersForGap(gap fleet.LayerRange, a, b Engine) bool {
	emptyA, emptyB := a.HeldLayers.Len() == 0, b.HeldLayers.Len() == 0
	if emptyA != emptyB {
		return emptyA
	}
	assignable := func(x Engine) int { return min(gap.Len(), p.maxLayers(x.Card, minGenerations*p.meanTokens)) }
	if emptyA {
		if c := cmp.Compare(assignable(a), assignable(b)); c != 0 {
			return c > 0
		}
		return p.freeTokens(a.Card, assignable(a)) > p.freeTokens(b.Card, assignable(b))
	}
	if c := cmp.Compare(a.Card.StepFactor*a.Card.PrefillFactor, b.Card.StepFactor*b.Card.PrefillFactor); c != 0 {
		return c > 0
	}
	return p.freeTokens(a.Card, assignable(a)) > p.freeTokens(b.Card, assignable(b))
}

// isRedundant reports whether all layers of an engine are also held by other engines. copies
// is the number of engines that hold each layer.
func isRedundant(e Engine, copies []int) bool {
	for l := e.HeldLayers.First; l < min(e.HeldLayers.End, len(copies)); l++ {
		if copies[l] < 2 {
			return false
		}
	}
	return true
}

// HoldsAllLayers reports whether the engines of a data centre together hold every layer.
func HoldsAllLayers(e *catalog.Engine, engines []Engine, dc fleet.DataCentreID) bool {
	return newPlanner(e).firstGap(inDataCentre(withinModel(e, engines), dc)).Len() == 0
}
