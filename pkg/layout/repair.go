package layout

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Repair returns the plan that follows from what the engines hold. Engines keep
// their ranges unless a layer is missing that only a second copy can replace;
// empty engines take missing layers first and then, once they have settled, the layers
// with the fewest tokens left. A data centre whose layers can't be completed that way is planned
// anew if revise says so for it: that moves most of its engines at once, while an
// engine that crashed often comes back, empty, within seconds.
func Repair(e *catalog.Engine, engines []Engine, revise func(fleet.DataCentreID) bool) Plan {
	p := newPlanner(e)
	plan := Plan{}
	for _, x := range engines {
		if x.Holds.Len() > 0 {
			plan[x.ID] = x.Holds
		}
	}
	for _, dc := range dataCentres(engines) {
		p.repairCentre(inCentre(engines, dc), plan, revise(dc))
	}
	if !complete(e.Layers, engines, plan) {
		return p.reviseAll(engines, plan)
	}
	return plan
}

// reviseAll plans anew when no set of copies completes the model. Engines whose
// range stays the same load nothing.
func (p *planner) reviseAll(engines []Engine, plan Plan) Plan {
	fresh := matched(engines, Fresh(p.engine, engines))
	if complete(p.engine.Layers, engines, fresh) {
		return fresh
	}
	return plan
}

// repairCentre completes the chains of one data centre.
func (p *planner) repairCentre(engines []Engine, plan Plan, revise bool) {
	state := bySpeed(engines)
	for {
		gap := p.firstGap(state)
		if gap.Len() == 0 {
			break
		}
		if p.fill(gap, state) {
			continue
		}
		if revise {
			p.reviseCentre(engines, plan)
			return
		}
		break
	}
	for _, e := range state {
		if e.Holds.Len() > 0 {
			plan[e.ID] = e.Holds
		}
	}
	for i := range state {
		if state[i].Holds.Len() > 0 || state[i].Settling {
			continue
		}
		if r := p.copyFor(state[i].Card, state); r.Len() > 0 {
			state[i].Holds = r
			plan[state[i].ID] = r
		}
	}
}

// fill gives at least the first layers of a gap to an engine. An empty engine is
// best. Next come the neighbours of the gap, if they can take all of it and keep
// enough memory: that loads the fewest layers and gives none up. Then come second
// copies, and at last neighbours that are left with little memory.
func (p *planner) fill(gap fleet.LayerRange, state []Engine) bool {
	i := p.pickFor(gap, state)
	if i >= 0 && state[i].Holds.Len() == 0 {
		p.take(gap, &state[i])
		return true
	}
	if p.extend(gap, state, spareGenerations*p.tokens) {
		return true
	}
	if i >= 0 {
		p.take(gap, &state[i])
		return true
	}
	return p.extend(gap, state, leastGenerations*p.tokens)
}

// take moves an engine to the first layers of a gap.
func (p *planner) take(gap fleet.LayerRange, e *Engine) {
	n := min(gap.Len(), p.most(e.Card, leastGenerations*p.tokens))
	e.Holds = fleet.LayerRange{First: gap.First, End: gap.First + n}
}

// extend lets the engines beside a gap take it, so that each keeps memory for a
// number of tokens. It reports whether they can.
func (p *planner) extend(gap fleet.LayerRange, state []Engine, tokens float64) bool {
	below, above, roomBelow, roomAbove := -1, -1, 0, 0
	for i, e := range state {
		if e.Holds.Len() == 0 {
			continue
		}
		room := p.most(e.Card, tokens) - e.Holds.Len()
		if e.Holds.End == gap.First && room > roomBelow {
			below, roomBelow = i, room
		}
		if e.Holds.First == gap.End && room > roomAbove {
			above, roomAbove = i, room
		}
	}
	if roomBelow+roomAbove < gap.Len() {
		return false
	}
	// Each takes a part in proportion to its room.
	up := min(roomBelow, (gap.Len()*roomBelow+roomBelow+roomAbove-1)/(roomBelow+roomAbove))
	if rest := gap.Len() - up; rest > roomAbove {
		up = gap.Len() - roomAbove
	}
	if up > 0 {
		state[below].Holds.End += up
	}
	if up < gap.Len() {
		state[above].Holds.First -= gap.Len() - up
	}
	return true
}

// reviseCentre plans a data centre anew if that gives it a chain of its own. What
// it holds stays otherwise: it may complete chains of other data centres.
func (p *planner) reviseCentre(engines []Engine, plan Plan) {
	fresh := Plan{}
	p.planCentre(engines, fresh)
	fresh = matched(engines, fresh)
	if !complete(p.engine.Layers, engines, fresh) {
		return
	}
	for _, e := range engines {
		delete(plan, e.ID)
	}
	for id, r := range fresh {
		plan[id] = r
	}
}

// matched exchanges the ranges of a plan between engines of one kind and data
// centre so that as many layers as possible are where they are held already.
func matched(engines []Engine, plan Plan) Plan {
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
		for len(group) > 0 { // the pair that shares the most layers first
			bestE, bestR, most := 0, 0, -1
			for i, e := range group {
				for j, r := range ranges {
					if n := shared(e.Holds, r); n > most {
						bestE, bestR, most = i, j, n
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

// shared returns the number of layers in both ranges.
func shared(a, b fleet.LayerRange) int { return max(0, min(a.End, b.End)-max(a.First, b.First)) }

// firstGap returns the first run of layers that no engine holds.
func (p *planner) firstGap(engines []Engine) fleet.LayerRange {
	held := make([]bool, p.engine.Layers)
	for _, e := range engines {
		for l := e.Holds.First; l < min(e.Holds.End, p.engine.Layers); l++ {
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

// pickFor returns the index of the engine that should take a gap: an empty one
// where there is one, else the slowest of those whose layers are all held by
// others, so that a chain does not lose its fastest engine to a short gap. Among
// equals the one with the most memory left beside the gap goes first. It returns
// -1 when there is none.
func (p *planner) pickFor(gap fleet.LayerRange, engines []Engine) int {
	copies := make([]int, p.engine.Layers)
	for _, e := range engines {
		for l := e.Holds.First; l < min(e.Holds.End, p.engine.Layers); l++ {
			copies[l]++
		}
	}
	best := -1
	for i, e := range engines {
		if p.most(e.Card, leastGenerations*p.tokens) == 0 || !redundant(e, copies) {
			continue
		}
		if best < 0 || p.preferFor(gap, e, engines[best]) {
			best = i
		}
	}
	return best
}

// preferFor reports whether engine a should take a gap rather than b.
func (p *planner) preferFor(gap fleet.LayerRange, a, b Engine) bool {
	emptyA, emptyB := a.Holds.Len() == 0, b.Holds.Len() == 0
	if emptyA != emptyB {
		return emptyA
	}
	takes := func(x Engine) int { return min(gap.Len(), p.most(x.Card, leastGenerations*p.tokens)) }
	if emptyA {
		if c := cmp.Compare(takes(a), takes(b)); c != 0 {
			return c > 0
		}
		return p.left(a.Card, takes(a)) > p.left(b.Card, takes(b))
	}
	if c := cmp.Compare(a.Card.StepFactor*a.Card.ReadFactor, b.Card.StepFactor*b.Card.ReadFactor); c != 0 {
		return c > 0
	}
	return p.left(a.Card, takes(a)) > p.left(b.Card, takes(b))
}

// redundant reports whether all layers of an engine are held by others too.
func redundant(e Engine, copies []int) bool {
	for l := e.Holds.First; l < min(e.Holds.End, len(copies)); l++ {
		if copies[l] < 2 {
			return false
		}
	}
	return true
}

// Whole reports whether the engines of a data centre hold every layer.
func Whole(e *catalog.Engine, engines []Engine, dc fleet.DataCentreID) bool {
	return newPlanner(e).firstGap(inCentre(engines, dc)).Len() == 0
}
