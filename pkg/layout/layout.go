// Package layout plans which model engine holds which layers. It does no I/O and keeps no
// state.
//
// Layers and the KV caches of requests share an engine's memory, so that an engine filled
// with layers can serve almost no requests. A plan gives each data centre its own chains,
// whose engines have KV memory for about the same number of tokens, and lets the remaining
// engines hold second copies of layers.
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
	// HeldLayers is the range of layers that is in memory or being loaded.
	HeldLayers fleet.LayerRange
	// Settling is set for a short time after the engine appeared. Meanwhile it is given
	// missing layers but no second copies: a release starts an engine before the one that
	// it replaces drains, and an engine that is loading a copy could not take over.
	Settling bool
	// Unavailable is set while the engine does not answer. It keeps its place for the layers that
	// it holds, because it may be back soon, but is given no others.
	Unavailable bool
}

// availableEngines returns the engines that may be given layers. An engine of a kind that the
// configuration does not list has no known memory for them.
func availableEngines(engines []Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.Unavailable || e.Card.MemoryMB <= 0 })
}

// withinModel returns the engines, without ranges of layers that the model does not have. Entries
// of other writers may state such ranges.
func withinModel(e *catalog.Engine, engines []Engine) []Engine {
	list := slices.Clone(engines)
	for i := range list {
		if r := list[i].HeldLayers; r.First < 0 || r.End <= r.First || r.End > e.Layers {
			list[i].HeldLayers = fleet.LayerRange{}
		}
	}
	return list
}

// Plan maps engines to layer ranges. Engines without an entry hold no layers.
type Plan map[fleet.UpstreamID]fleet.LayerRange

const (
	// minGenerations is the number of generations of mean size that an engine of a
	// chain must have KV memory for. An engine with less would limit the whole chain to a
	// very low throughput.
	minGenerations = 14
	// minCopyGenerations is the number of generations of mean size that an engine should
	// have KV memory for when it holds a second copy or takes over layers of a neighbour.
	minCopyGenerations = 50
	// minThroughputShare is the fraction of the best throughput that a chain with fewer
	// engines must reach to be preferred. Generations on a shorter chain take less time, so
	// that fewer are in flight when a VM or an engine is lost, and the unused engines hold
	// second copies. docs/jingle.md has the figures for 0.5 to 0.85.
	minThroughputShare = 0.75
)

// planner plans the layout of one service.
type planner struct {
	engine           *catalog.Engine
	meanTokens       float64 // mean tokens of a generation
	meanAnswerTokens float64 // mean answer tokens of a generation
}

func newPlanner(e *catalog.Engine) *planner {
	return &planner{engine: e, meanTokens: max(e.MeanPromptTokens+e.MeanAnswerTokens, 1), meanAnswerTokens: max(e.MeanAnswerTokens, 1)}
}

// freeTokens returns the number of tokens for which a card has KV memory beside n layers, if
// the requests use all n layers.
func (p *planner) freeTokens(card catalog.Card, n int) float64 {
	if n == 0 {
		return 0
	}
	return chain.Capacity(p.engine, card, n) / float64(n)
}

// maxLayers returns the largest number of layers that leaves KV memory for a number of tokens
// on a card.
func (p *planner) maxLayers(card catalog.Card, tokens float64) int {
	n := min(p.engine.Layers, int(card.MemoryMB/max(p.engine.LayerMB, 1)))
	for n > 0 && p.freeTokens(card, n) < tokens {
		n--
	}
	return n
}

// PlanFromScratch computes a plan without regard to what the engines hold.
func PlanFromScratch(e *catalog.Engine, engines []Engine) Plan {
	p := newPlanner(e)
	plan := Plan{}
	engines = availableEngines(withinModel(e, engines))
	for _, dc := range dataCentres(engines) {
		p.planDataCentre(inDataCentre(engines, dc), plan)
	}
	if !isComplete(e.Layers, engines, plan) {
		p.planAcrossDataCentres(engines, plan)
	}
	return plan
}

// planDataCentre plans as many chains as possible within a data centre and second copies on
// the remaining engines.
func (p *planner) planDataCentre(engines []Engine, plan Plan) {
	remaining := sortedBySpeed(engines)
	var assigned []Engine
	for {
		members, ranges := p.shortestGoodChain(remaining)
		if members == nil {
			break
		}
		for i, m := range members {
			plan[m.ID] = ranges[i]
			m.HeldLayers = ranges[i]
			assigned = append(assigned, m)
		}
		remaining = remaining[len(members):]
	}
	if len(assigned) == 0 {
		return
	}
	for _, spare := range remaining {
		r := p.rangeForCopy(spare.Card, assigned)
		if r.Len() == 0 {
			continue
		}
		plan[spare.ID] = r
		spare.HeldLayers = r
		assigned = append(assigned, spare)
	}
}

// planAcrossDataCentres plans one chain across all data centres, for the case that no data
// centre can hold the model alone, and second copies on the remaining engines.
func (p *planner) planAcrossDataCentres(engines []Engine, plan Plan) {
	clear(plan)
	ordered := sortedBySpeed(engines)
	members, ranges := p.shortestGoodChain(ordered)
	var assigned []Engine
	for i, m := range members {
		plan[m.ID] = ranges[i]
		m.HeldLayers = ranges[i]
		assigned = append(assigned, m)
	}
	for _, spare := range ordered[len(members):] {
		if r := p.rangeForCopy(spare.Card, assigned); r.Len() > 0 {
			plan[spare.ID] = r
			spare.HeldLayers = r
			assigned = append(assigned, spare)
		}
	}
}

// shortestGoodChain returns the shortest prefix of the list that forms a chain with enough
// throughput, and the ranges of its engines. It returns nil if no prefix can hold the model.
func (p *planner) shortestGoodChain(ordered []Engine) ([]Engine, []fleet.LayerRange) {
	rates := make([]float64, len(ordered)+1)
	best := 0.0
	for size := 1; size <= len(ordered); size++ {
		rates[size] = p.throughput(ordered[:size])
		best = max(best, rates[size])
	}
	if best == 0 {
		return nil, nil
	}
	for size := 1; size <= len(ordered); size++ {
		if rates[size] >= minThroughputShare*best {
			return ordered[:size], p.divideLayers(ordered[:size])
		}
	}
	return nil, nil
}

// throughput returns the throughput, in generations per second, of a chain of all the engines,
// or 0 if they can't hold the model.
func (p *planner) throughput(members []Engine) float64 {
	ranges := p.divideLayers(members)
	if ranges == nil {
		return 0
	}
	e := p.engine
	freeTokens := p.freeTokens(members[0].Card, ranges[0].Len())
	for i, m := range members {
		freeTokens = min(freeTokens, p.freeTokens(m.Card, ranges[i].Len()))
	}
	batch := freeTokens / p.meanTokens
	step, prefill := 0.0, 0.0
	for i, m := range members {
		share := float64(ranges[i].Len()) / float64(e.Layers)
		tokenStep := e.Step.Seconds() + batch*e.StepPerRequest.Seconds() + freeTokens/1000*e.StepPerThousandTokens.Seconds()
		step += tokenStep*share*m.Card.StepFactor + hopSeconds
		prefill += chain.PrefillTime(e, m.Card, e.MeanPromptTokens, ranges[i].Len()).Seconds()
	}
	return batch / (p.meanAnswerTokens*step + prefill)
}

// hopSeconds is the latency of a hop within a data centre.
const hopSeconds = 250e-6

// divideLayers splits the model's layers between engines so that the smallest KV memory left
// on any of them, in tokens, is as large as possible. It returns nil if the engines can't hold
// the model.
func (p *planner) divideLayers(members []Engine) []fleet.LayerRange {
	low, high := minGenerations*p.meanTokens, 0.0
	for _, m := range members {
		high = max(high, p.freeTokens(m.Card, 1))
	}
	if p.totalLayers(members, low) < p.engine.Layers {
		return nil
	}
	for range 30 { // bisects the interval until it is narrower than one token
		if middle := (low + high) / 2; p.totalLayers(members, middle) >= p.engine.Layers {
			low = middle
		} else {
			high = middle
		}
	}
	counts := make([]int, len(members))
	sum := 0
	for i, m := range members {
		counts[i] = p.maxLayers(m.Card, low)
		sum += counts[i]
	}
	for ; sum > p.engine.Layers; sum-- {
		tightest := -1
		for i, m := range members {
			if counts[i] > 1 && (tightest < 0 || p.freeTokens(m.Card, counts[i]) < p.freeTokens(members[tightest].Card, counts[tightest])) {
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

func (p *planner) totalLayers(members []Engine, tokens float64) int {
	sum := 0
	for _, m := range members {
		sum += p.maxLayers(m.Card, tokens)
	}
	return sum
}

// rangeForCopy returns the range that an engine should hold as a second copy. Among the ranges
// that begin where another engine's range begins or ends, it chooses the one whose layers have
// the least KV memory on the other engines.
func (p *planner) rangeForCopy(card catalog.Card, others []Engine) fleet.LayerRange {
	n := p.maxLayers(card, minCopyGenerations*p.meanTokens)
	if n == 0 {
		n = p.maxLayers(card, minGenerations*p.meanTokens)
	}
	if n == 0 {
		return fleet.LayerRange{}
	}
	tokens := p.freeTokensByLayer(others)
	boundaries := map[int]bool{0: true}
	for _, o := range others {
		if o.HeldLayers.Len() > 0 {
			boundaries[o.HeldLayers.First] = true
			boundaries[o.HeldLayers.End] = true
		}
	}
	best, bestFirst := 0.0, -1
	for first := range p.engine.Layers {
		if !boundaries[first] || first+n > p.engine.Layers && first != 0 && !boundaries[p.engine.Layers-n] && p.engine.Layers-first < n/2 {
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
	// End where another engine's range begins or ends, if possible, so that chains can
	// change engines there.
	for e := end; e > bestFirst+n/2; e-- {
		if boundaries[e] {
			end = e
			break
		}
	}
	return fleet.LayerRange{First: bestFirst, End: end}
}

// freeTokensByLayer returns for each layer the number of tokens for which all engines that
// hold it together have KV memory.
func (p *planner) freeTokensByLayer(engines []Engine) []float64 {
	tokens := make([]float64, p.engine.Layers)
	for _, e := range engines {
		if e.HeldLayers.Len() == 0 {
			continue
		}
		freeTokens := p.freeTokens(e.Card, e.HeldLayers.Len())
		for l := e.HeldLayers.First; l < min(e.HeldLayers.End, p.engine.Layers); l++ {
			tokens[l] += freeTokens
		}
	}
	return tokens
}

func isComplete(layers int, engines []Engine, plan Plan) bool {
	held := make([]bool, layers)
	for _, e := range engines {
		r := plan[e.ID]
		for l := r.First; l < min(r.End, layers); l++ {
			held[l] = true
		}
	}
	return !slices.Contains(held, false)
}

// sortedBySpeed returns the engines sorted from the fastest to the slowest.
func sortedBySpeed(engines []Engine) []Engine {
	list := slices.Clone(engines)
	slices.SortFunc(list, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Card.StepFactor*a.Card.PrefillFactor, b.Card.StepFactor*b.Card.PrefillFactor),
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

func inDataCentre(engines []Engine, dc fleet.DataCentreID) []Engine {
	var list []Engine
	for _, e := range engines {
		if e.DataCentre == dc {
			list = append(list, e)
		}
	}
	return list
}
