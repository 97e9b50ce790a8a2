package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Settings are the operator's choices for placement.
type Settings struct {
	// Spare asks for a complete chain after the loss of any one engine.
	Spare bool
	// GoodEnough is the share of the bound at which the search stops.
	GoodEnough float64
	// LocalCost is the share of throughput that is given up for chains inside one data centre.
	LocalCost float64
	// MinGain is the relative gain below which a plan in force is not replaced.
	MinGain float64
}

// DefaultSettings returns the settings of a fleet whose operators set nothing.
func DefaultSettings() Settings {
	return Settings{Spare: true, GoodEnough: 0.98, LocalCost: 0.03, MinGain: 0.05}
}

// Planner computes plans. It has no state.
type Planner struct {
	Settings Settings
}

// NewPlanner returns a planner with the default settings.
func NewPlanner() Planner { return Planner{Settings: DefaultSettings()} }

// Plan computes the wanted assignments from nothing, without regard to what
// the engines hold.
func (p Planner) Plan(in Input) Plan {
	owner := allocate(in)
	stages := make([][]stage, len(in.Models))
	top := newTopology(in)
	for m := range in.Models {
		stages[m] = p.planModel(in, top, m, members(owner, m))
	}
	return p.finish(in, top, stages)
}

// members returns the engines that belong to a model.
func members(owner []int, model int) []int {
	var out []int
	for i, m := range owner {
		if m == model {
			out = append(out, i)
		}
	}
	return out
}

// finish turns stages into assignments and measures them.
func (p Planner) finish(in Input, top topology, stages [][]stage) Plan {
	plan := Plan{
		Wanted:     make(map[fleet.UpstreamID]upstream.Assignment, len(in.Engines)),
		Throughput: make(map[fleet.ModelID]float64),
		Local:      make(map[fleet.ModelID]float64),
		Spare:      make(map[fleet.ModelID]bool),
		Bound:      Bound(in),
	}
	for _, e := range in.Engines {
		plan.Wanted[e.ID] = upstream.Assignment{Role: upstream.RoleIdle}
	}
	for i, m := range in.Models {
		adapters := assignAdapters(m, stages[i], in.Engines)
		for _, s := range stages[i] {
			plan.Wanted[in.Engines[s.engine].ID] = upstream.Assignment{
				Role: upstream.RoleServe, Model: m.ID, Version: m.Version,
				Layers: s.layers, Adapters: adapters[s.engine],
			}
		}
		c := newChainGraph(stages[i], m.Layers, len(top.names), top.tokens(m))
		total, local := c.throughput()
		plan.Throughput[m.ID], plan.Local[m.ID] = total, local
		plan.Spare[m.ID] = c.ways() >= 2
		if scale := total / m.Demand; i == 0 || scale < plan.Scale {
			plan.Scale = scale
		}
	}
	return plan
}

// planModel arranges one model on its engines. It tries coarse boundaries
// first, since they leave more ways round each stage, and data centres on
// their own before data centres together.
func (p Planner) planModel(in Input, top topology, model int, engines []int) []stage {
	m := in.Models[model]
	rng := rand.New(rand.NewPCG(in.Seed, uint64(model)))
	var best candidate
	for _, zones := range zonings(in, top, m, engines) {
		a := p.searchZones(in, top, m, engines, zones, rng)
		if best.stages == nil || a.score > best.score*(1+p.Settings.LocalCost) || (a.spare && !best.spare && p.Settings.Spare) {
			best = a
		}
		if best.good {
			break
		}
	}
	return best.stages
}

type candidate struct {
	stages   []stage
	segments int
	score    float64
	spare    bool
	good     bool
}

// refineMoves multiplies the moves of a search that goes on from a promising
// number of segments; refineCounts is how many of them are tried.
const (
	refineMoves  = 6
	refineCounts = 3
)

// searchZones tries each number of segments with a short search and goes on
// with the best ones.
func (p Planner) searchZones(in Input, top topology, m Model, engines, zones []int, rng *rand.Rand) candidate {
	units, target := p.units(in, m, engines, zones)
	bound := hardwareBound(pick(in.Engines, engines), []Model{m}) * m.Demand
	spare := p.Settings.Spare && spareFits(in, m, engines)
	moves := max(minSearchMoves, searchMoves*len(units))
	try := func(k, moves int) candidate {
		a := newArrangement(units, evenBoundaries(m.Layers, k), target, spare)
		a.greedy(memoryOrder(units))
		a.anneal(rng, moves)
		c := measure(in, top, m, engines, a)
		c.segments = k
		c.good = c.score >= p.Settings.GoodEnough*bound && (c.spare || !spare)
		return c
	}
	var found []candidate
	for _, k := range segmentCounts(m, units) {
		c := try(k, moves)
		if c.good {
			return c
		}
		found = append(found, c)
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return compareCandidates(a, b, spare) })
	best := candidate{stages: []stage{}}
	if len(found) > 0 {
		best = found[0]
	}
	for _, f := range found[:min(len(found), refineCounts)] {
		c := try(f.segments, moves*refineMoves)
		if compareCandidates(c, best, spare) < 0 {
			best = c
		}
		if best.good {
			break
		}
	}
	return best
}

// compareCandidates orders candidates: with spare ways first where they are asked for, then by throughput.
func compareCandidates(a, b candidate, spare bool) int {
	if spare && a.spare != b.spare {
		if a.spare {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.score, a.score)
}

// measure turns an arrangement into stages and computes their throughput.
func measure(in Input, top topology, m Model, engines []int, a *arrangement) candidate {
	var c candidate
	c.stages = []stage{}
	for u, i := range engines {
		if a.first[u] >= a.end[u] {
			continue
		}
		c.stages = append(c.stages, newStage(in, top, m, i, fleet.LayerRange{
			First: a.boundaries[a.first[u]], End: a.boundaries[a.end[u]],
		}))
	}
	g := newChainGraph(c.stages, m.Layers, len(top.names), top.tokens(m))
	c.score, _ = g.throughput()
	c.spare = g.ways() >= 2
	return c
}

func newStage(in Input, top topology, m Model, engine int, layers fleet.LayerRange) stage {
	e := in.Engines[engine]
	return stage{
		engine: engine, dataCentre: top.index[e.DataCentre], layers: layers,
		rate: m.speed(e) / float64(layers.Len()),
	}
}

// units returns the engines as the search sees them, and each zone's wanted rate.
func (p Planner) units(in Input, m Model, engines, zones []int) ([]unit, []float64) {
	units := make([]unit, len(engines))
	groups := make([][]Engine, slices.Max(append([]int{0}, zones...))+1)
	for u, i := range engines {
		e := in.Engines[i]
		units[u] = unit{speed: m.speed(e), most: m.maxLayers(e), zone: zones[u]}
		groups[zones[u]] = append(groups[zones[u]], e)
	}
	target := make([]float64, len(groups))
	for z, g := range groups {
		target[z] = hardwareBound(g, []Model{m}) * m.Demand
	}
	return units, target
}

// zonings returns the ways to group data centres for the search, as the zone
// of each engine: first those whose data centres can hold a whole chain alone,
// then all as one.
func zonings(in Input, top topology, m Model, engines []int) [][]int {
	one := make([]int, len(engines))
	if len(top.names) == 1 {
		return [][]int{one}
	}
	fit := make([]int, len(top.names))
	for _, i := range engines {
		fit[top.index[in.Engines[i].DataCentre]] += m.maxLayers(in.Engines[i])
	}
	zone := joinZones(top, fit, m.Layers)
	split := make([]int, len(engines))
	for u, i := range engines {
		split[u] = zone[top.index[in.Engines[i].DataCentre]]
	}
	if slices.Max(append(split, 0)) == 0 {
		return [][]int{one}
	}
	return [][]int{split, one}
}

// joinZones joins each data centre that cannot hold a chain to the one with
// the fastest link to it. fit is the number of layers that each one holds.
func joinZones(top topology, fit []int, layers int) []int {
	zone := make([]int, len(fit))
	for d := range zone {
		zone[d] = d
	}
	for {
		sum := make([]int, len(fit))
		for d := range fit {
			sum[zone[d]] += fit[d]
		}
		from, to := -1, -1
		for d := range fit {
			for e := range fit {
				short := sum[zone[d]] < layers+layers/4
				if zone[d] != zone[e] && short && (from < 0 || top.bytes[d][e] > top.bytes[from][to]) {
					from, to = d, e
				}
			}
		}
		if from < 0 {
			return compactZones(zone)
		}
		old := zone[from]
		for d := range zone {
			if zone[d] == old {
				zone[d] = zone[to]
			}
		}
	}
}

func compactZones(zone []int) []int {
	names := slices.Compact(slices.Sorted(slices.Values(zone)))
	out := make([]int, len(zone))
	for d := range zone {
		out[d] = slices.Index(names, zone[d])
	}
	return out
}

// spareFits reports whether the hardware may hold two chains without a common engine.
func spareFits(in Input, m Model, engines []int) bool {
	total := 0
	for _, i := range engines {
		total += m.maxLayers(in.Engines[i])
	}
	return total >= 2*m.Layers
}

// segmentCounts returns the numbers of segments to try, coarse ones first: the
// least with which each size of engine can hold a segment, and finer ones.
func segmentCounts(m Model, units []unit) []int {
	var counts []int
	add := func(k int) {
		if k >= 1 && k <= m.Layers && k <= maxSegments {
			counts = append(counts, k)
		}
	}
	for _, u := range units {
		if u.most <= 0 {
			continue
		}
		k := (m.Layers + u.most - 1) / u.most
		for _, factor := range []int{2, 3, 4, 6} {
			add(k * factor / 2)
		}
		add(k + 1)
	}
	slices.Sort(counts)
	counts = slices.Compact(counts)
	for len(counts) > maxSegmentCounts {
		counts = slices.Delete(counts, len(counts)/2, len(counts)/2+1)
	}
	return counts
}

// maxSegments limits the boundaries; maxSegmentCounts the searches for one model.
const (
	maxSegments      = 48
	maxSegmentCounts = 10
)

func evenBoundaries(layers, segments int) []int {
	b := make([]int, segments+1)
	for i := range b {
		b[i] = layers * i / segments
	}
	return b
}

// memoryOrder returns the units by memory, small ones first, and by speed, fast ones first.
func memoryOrder(units []unit) []int {
	order := make([]int, len(units))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(units[a].most, units[b].most); c != 0 {
			return c
		}
		return cmp.Compare(units[b].speed, units[a].speed)
	})
	return order
}

func pick(engines []Engine, indexes []int) []Engine {
	out := make([]Engine, len(indexes))
	for i, n := range indexes {
		out[i] = engines[n]
	}
	return out
}
