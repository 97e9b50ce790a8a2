package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Method is how the planner arranges the layers of one model.
type Method string

// The methods. MethodEqualSplit and MethodOneChain are baselines.
const (
	// MethodSearch searches boundaries and spans by simulated annealing.
	MethodSearch Method = "search"
	// MethodEqualSplit splits the layers evenly and adds engines one by one where they help most.
	MethodEqualSplit Method = "equal-split"
	// MethodOneChain finds the best single chain exactly; further engines are added one by one.
	MethodOneChain Method = "one-chain"
)

// Settings are the operator's choices for placement.
type Settings struct {
	Method Method
	// Spare asks for a complete chain after the loss of any one engine.
	Spare bool
	// SpareCost is the largest share of throughput that is given up for spare ways.
	SpareCost float64
	// GoodEnough is the share of the bound at which the search stops.
	GoodEnough float64
	// LocalCost is the share of throughput that is given up for chains inside one data centre.
	LocalCost float64
	// MinGain is the relative gain below which a plan in force is not replaced.
	MinGain float64
}

// DefaultSettings returns the settings of a fleet whose operators set nothing.
func DefaultSettings() Settings {
	return Settings{Method: MethodSearch, Spare: true, SpareCost: 0.05, GoodEnough: 0.98, LocalCost: 0.03, MinGain: 0.03}
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
		adapters := assignAdapters(m, stages[i], in.Engines, top.tokens(m))
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
	stages []stage
	from   start // where a longer search begins
	score  float64
	spare  bool
	good   bool
}

// refineMoves multiplies the moves of a search that goes on from promising
// boundaries; refineCounts is how many are tried and refineRounds how often
// while the result is below refineBelow of the bound.
const (
	refineMoves  = 6
	refineCounts = 3
	refineRounds = 3
	refineBelow  = 0.95
)

// searchZones arranges a model on zones, with spare ways unless they cost
// more throughput than Settings.SpareCost.
func (p Planner) searchZones(in Input, top topology, m Model, engines, zones []int, rng *rand.Rand) candidate {
	s := search{in: in, top: top, model: m, engines: engines, rng: rng, method: p.Settings.Method}
	s.units, s.target = p.units(in, m, engines, zones)
	s.bound = hardwareBound(pick(in.Engines, engines), []Model{m}) * m.Demand
	s.enough = p.Settings.GoodEnough * s.bound
	s.spare = p.Settings.Spare && spareFits(in, m, engines)
	best := s.run()
	if !s.spare || best.good || (best.spare && best.score >= s.bound*(1-p.Settings.SpareCost)) {
		return best
	}
	s.spare = false
	fast := s.run()
	if !best.spare || fast.score*(1-p.Settings.SpareCost) > best.score || (fast.spare && fast.score > best.score) {
		return fast
	}
	return best
}

// search is the search for one arrangement of a model.
type search struct {
	in            Input
	top           topology
	model         Model
	engines       []int
	units         []unit
	target        []float64
	bound, enough float64
	spare         bool
	rng           *rand.Rand
	method        Method
}

// run tries each seed of boundaries with a short search and goes on with the best ones.
func (s *search) run() candidate {
	var found []candidate
	moves := movesFor(len(s.units))
	for _, seed := range boundarySeeds(s.model, s.units, s.bound, s.method) {
		c := s.try(seed, moves)
		if c.good {
			return c
		}
		found = append(found, c)
	}
	if len(found) == 0 {
		return candidate{stages: []stage{}}
	}
	s.sort(found)
	best := found[0]
	if s.method != MethodSearch {
		return best
	}
	for round := range refineRounds {
		if round > 0 && best.score >= refineBelow*s.bound {
			break
		}
		for i, f := range found[:min(len(found), refineCounts)] {
			c := s.try(f.from, moves*refineMoves)
			if s.compare(c, f) < 0 {
				found[i] = c
			}
			if s.compare(c, best) < 0 {
				best = c
			}
			if best.good {
				return best
			}
		}
		s.sort(found)
	}
	return best
}

func (s *search) sort(found []candidate) { slices.SortStableFunc(found, s.compare) }

// try arranges the engines from a start.
func (s *search) try(from start, moves int) candidate {
	a := newArrangement(s.units, slices.Clone(from.boundaries), s.target, s.spare)
	from.apply(a)
	a.greedy(idleUnits(a))
	if s.method == MethodSearch {
		a.anneal(s.rng, moves)
	}
	c := measure(s.in, s.top, s.model, s.engines, a)
	if len(s.top.names) > 1 && c.score < s.enough {
		c = s.gather(a, c)
	}
	c.from = from
	if from.spans == nil {
		c.from.boundaries = slices.Clone(a.boundaries)
	}
	c.good = c.score >= s.enough && (c.spare || !s.spare)
	return c
}

// gather exchanges equal engines so that those of one data centre hold
// neighbouring ranges, since a chain that changes data centre at each stage
// takes the links many times. It returns the better of both candidates.
func (s *search) gather(a *arrangement, before candidate) candidate {
	first, end := slices.Clone(a.first), slices.Clone(a.end)
	groups := map[unit][]int{}
	for i, u := range a.units {
		groups[u] = append(groups[u], i)
	}
	place := s.top.pathOrder()
	for _, group := range groups {
		spans := slices.Clone(group)
		slices.SortStableFunc(spans, func(x, y int) int { return cmp.Compare(first[x], first[y]) })
		slices.SortStableFunc(group, func(x, y int) int {
			return cmp.Compare(place[s.dataCentre(x)], place[s.dataCentre(y)])
		})
		for n, i := range group {
			a.first[i], a.end[i] = first[spans[n]], end[spans[n]]
		}
	}
	if after := measure(s.in, s.top, s.model, s.engines, a); after.score > before.score {
		return after
	}
	copy(a.first, first)
	copy(a.end, end)
	return before
}

// dataCentre returns the data centre of a unit.
func (s *search) dataCentre(unit int) int {
	return s.top.index[s.in.Engines[s.engines[unit]].DataCentre]
}

func (s *search) compare(a, b candidate) int { return compareCandidates(a, b, s.spare) }

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
