// Package layout plans which model engine holds which layers. It is pure.
//
// Layers and the KV memory of requests share an engine's memory, so that an
// engine that is filled with layers serves almost no request. The plan gives each
// data centre chains of its own whose engines have about the same number of
// tokens left, and uses the remaining engines as second copies of ranges.
package layout

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Engine is an engine that can hold layers.
type Engine struct {
	ID         fleet.UpstreamID
	DataCentre fleet.DataCentreID
	Card       catalog.Card
	// Holds is the range in memory or being loaded.
	Holds fleet.LayerRange
	// Settling is set for a short time after the engine appeared: it takes missing layers
	// only. A release starts an engine before the one that it replaces drains, and a copy
	// that loads meanwhile would keep it from taking over.
	Settling bool
}

// Plan maps engines to ranges. Engines that it lacks hold nothing.
type Plan map[fleet.UpstreamID]fleet.LayerRange

const (
	// leastGenerations is the number of usual generations that an engine must have
	// memory for; with less it would bound its chain to a trickle.
	leastGenerations = 14
	// spareGenerations is the same for an engine that holds a second copy.
	spareGenerations = 50
	// enough is the part of the best throughput that is accepted for a chain with fewer
	// engines: its generations take less time, so that fewer of them are in flight when a VM
	// or an engine is lost, and those left over hold second copies. docs/jingle.md has the
	// figures for 0.5 to 0.85.
	enough = 0.75
)

// planner plans one service.
type planner struct {
	engine *catalog.Engine
	tokens float64 // of a usual generation
	answer float64
}

func newPlanner(e *catalog.Engine) *planner {
	return &planner{engine: e, tokens: max(e.UsualPrompt+e.UsualAnswer, 1), answer: max(e.UsualAnswer, 1)}
}

// left returns the tokens that a card has memory for beside n layers when its
// requests use all of them.
func (p *planner) left(card catalog.Card, n int) float64 {
	if n == 0 {
		return 0
	}
	return chain.Capacity(p.engine, card, n) / float64(n)
}

// most returns the largest number of layers beside which a card has memory for a
// number of tokens.
func (p *planner) most(card catalog.Card, tokens float64) int {
	n := min(p.engine.Layers, int(card.MemoryMB/max(p.engine.LayerMB, 1)))
	for n > 0 && p.left(card, n) < tokens {
		n--
	}
	return n
}

// Fresh plans from scratch.
func Fresh(e *catalog.Engine, engines []Engine) Plan {
	p := newPlanner(e)
	plan := Plan{}
	for _, dc := range dataCentres(engines) {
		p.planCentre(inCentre(engines, dc), plan)
	}
	if !complete(e.Layers, engines, plan) {
		p.planAcross(engines, plan)
	}
	return plan
}

// planCentre plans chains within a data centre and copies with what is left.
func (p *planner) planCentre(engines []Engine, plan Plan) {
	rest := bySpeed(engines)
	var chains []Engine
	for {
		members, ranges := p.bestChain(rest)
		if members == nil {
			break
		}
		for i, m := range members {
			plan[m.ID] = ranges[i]
			m.Holds = ranges[i]
			chains = append(chains, m)
		}
		rest = rest[len(members):]
	}
	if len(chains) == 0 {
		return
	}
	for _, spare := range rest {
		r := p.copyFor(spare.Card, chains)
		if r.Len() == 0 {
			continue
		}
		plan[spare.ID] = r
		spare.Holds = r
		chains = append(chains, spare)
	}
}

// planAcross makes one chain over all data centres when none has its own.
func (p *planner) planAcross(engines []Engine, plan Plan) {
	clear(plan)
	ordered := bySpeed(engines)
	members, ranges := p.bestChain(ordered)
	var chains []Engine
	for i, m := range members {
		plan[m.ID] = ranges[i]
		m.Holds = ranges[i]
		chains = append(chains, m)
	}
	for _, spare := range ordered[len(members):] {
		if r := p.copyFor(spare.Card, chains); r.Len() > 0 {
			plan[spare.ID] = r
			spare.Holds = r
			chains = append(chains, spare)
		}
	}
}

// bestChain returns the first engines of the list that make a good chain, with
// their ranges; nil when all of them together do not hold the model.
func (p *planner) bestChain(ordered []Engine) ([]Engine, []fleet.LayerRange) {
	rates := make([]float64, len(ordered)+1)
	best := 0.0
	for m := 1; m <= len(ordered); m++ {
		rates[m] = p.rate(ordered[:m])
		best = max(best, rates[m])
	}
	if best == 0 {
		return nil, nil
	}
	for m := 1; m <= len(ordered); m++ {
		if rates[m] >= enough*best {
			return ordered[:m], p.divide(ordered[:m])
		}
	}
	return nil, nil
}

// rate returns the generations a second of a chain of all the engines, 0 when
// they do not hold the model.
func (p *planner) rate(members []Engine) float64 {
	ranges := p.divide(members)
	if ranges == nil {
		return 0
	}
	e := p.engine
	left := p.left(members[0].Card, ranges[0].Len())
	for i, m := range members {
		left = min(left, p.left(m.Card, ranges[i].Len()))
	}
	batch := left / p.tokens
	step, read := 0.0, 0.0
	for i, m := range members {
		share := float64(ranges[i].Len()) / float64(e.Layers)
		once := e.Step.Seconds() + batch*e.StepPerRequest.Seconds() + left/1000*e.StepPerThousandTokens.Seconds()
		step += once*share*m.Card.StepFactor + hopSeconds
		read += chain.ReadTime(e, m.Card, e.UsualPrompt, ranges[i].Len()).Seconds()
	}
	return batch / (p.answer*step + read)
}

// hopSeconds is the time of a hop within a data centre.
const hopSeconds = 250e-6

// divide splits the model between engines so that the fewest tokens left of any
// of them are as many as possible. It returns nil when they do not hold it.
func (p *planner) divide(members []Engine) []fleet.LayerRange {
	low, high := leastGenerations*p.tokens, 0.0
	for _, m := range members {
		high = max(high, p.left(m.Card, 1))
	}
	if p.sum(members, low) < p.engine.Layers {
		return nil
	}
	for range 30 { // halves the interval until it is below one token
		if middle := (low + high) / 2; p.sum(members, middle) >= p.engine.Layers {
			low = middle
		} else {
			high = middle
		}
	}
	counts := make([]int, len(members))
	sum := 0
	for i, m := range members {
		counts[i] = p.most(m.Card, low)
		sum += counts[i]
	}
	for ; sum > p.engine.Layers; sum-- {
		tightest := -1
		for i, m := range members {
			if counts[i] > 1 && (tightest < 0 || p.left(m.Card, counts[i]) < p.left(members[tightest].Card, counts[tightest])) {
				tightest = i
			}
		}
		if tightest < 0 {
			return nil
		}
		counts[tightest]--
	}
	ranges := make([]fleet.LayerRange, len(members))
	first := 0
	for i, n := range counts {
		ranges[i] = fleet.LayerRange{First: first, End: first + n}
		first += n
	}
	return ranges
}

func (p *planner) sum(members []Engine, tokens float64) int {
	sum := 0
	for _, m := range members {
		sum += p.most(m.Card, tokens)
	}
	return sum
}

// copyFor returns the range that an engine should hold beside the others: one
// that begins where the fewest tokens are left, as the layers are held now.
func (p *planner) copyFor(card catalog.Card, others []Engine) fleet.LayerRange {
	n := p.most(card, spareGenerations*p.tokens)
	if n == 0 {
		n = p.most(card, leastGenerations*p.tokens)
	}
	if n == 0 {
		return fleet.LayerRange{}
	}
	tokens := p.tokensByLayer(others)
	starts := map[int]bool{0: true}
	for _, o := range others {
		if o.Holds.Len() > 0 {
			starts[o.Holds.First] = true
			starts[o.Holds.End] = true
		}
	}
	best, bestFirst := 0.0, -1
	for first := range p.engine.Layers {
		if !starts[first] || first+n > p.engine.Layers && first != 0 && !starts[p.engine.Layers-n] && p.engine.Layers-first < n/2 {
			continue
		}
		end := min(first+n, p.engine.Layers)
		mean := 0.0
		for l := first; l < end; l++ {
			mean += tokens[l]
		}
		mean /= float64(end - first)
		if bestFirst < 0 || mean < best {
			best, bestFirst = mean, first
		}
	}
	if bestFirst < 0 {
		return fleet.LayerRange{}
	}
	end := min(bestFirst+n, p.engine.Layers)
	// Ends where another range ends when one does, so that ways meet there.
	for e := end; e > bestFirst+n/2; e-- {
		if starts[e] {
			end = e
			break
		}
	}
	return fleet.LayerRange{First: bestFirst, End: end}
}

// tokensByLayer returns the tokens left for each layer over all engines that hold it.
func (p *planner) tokensByLayer(engines []Engine) []float64 {
	tokens := make([]float64, p.engine.Layers)
	for _, e := range engines {
		if e.Holds.Len() == 0 {
			continue
		}
		left := p.left(e.Card, e.Holds.Len())
		for l := e.Holds.First; l < min(e.Holds.End, p.engine.Layers); l++ {
			tokens[l] += left
		}
	}
	return tokens
}

func complete(layers int, engines []Engine, plan Plan) bool {
	held := make([]bool, layers)
	for _, e := range engines {
		r := plan[e.ID]
		for l := r.First; l < min(r.End, layers); l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held, false)
}

// bySpeed returns the engines with the fastest first.
func bySpeed(engines []Engine) []Engine {
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Card.StepFactor*a.Card.ReadFactor, b.Card.StepFactor*b.Card.ReadFactor),
			cmp.Compare(b.Card.MemoryMB, a.Card.MemoryMB), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func dataCentres(engines []Engine) []fleet.DataCentreID {
	var list []fleet.DataCentreID
	for _, e := range engines {
		list = append(list, e.DataCentre)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func inCentre(engines []Engine, dc fleet.DataCentreID) []Engine {
	var list []Engine
	for _, e := range engines {
		if e.DataCentre == dc {
			list = append(list, e)
		}
	}
	return list
}
