package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Method selects how the planner arranges the layers of one model.
type Method string

const (
	// MethodSearch searches segment boundaries and engine spans by simulated annealing.
	MethodSearch Method = "search"
	// MethodEqualSplit is a baseline that splits the layers evenly and adds
	// engines one by one where they help most.
	MethodEqualSplit Method = "equal-split"
	// MethodOneChain is a baseline that computes the best single chain exactly
	// and then adds the remaining engines one by one.
	MethodOneChain Method = "one-chain"
)

// Settings configures a Planner.
type Settings struct {
	Method Method
	// Redundancy asks for plans that keep a complete chain after the loss of any
	// one engine.
	Redundancy bool
	// MaxRedundancyCost is the largest share of throughput to give up for Redundancy.
	MaxRedundancyCost float64
	// StopRatio is the share of the bound at which the search stops.
	StopRatio float64
	// MaxLocalityCost is the largest share of throughput to give up for chains
	// within one data centre.
	MaxLocalityCost float64
	// MinGain is the relative gain in throughput below which Replan does not move
	// engines that hold a range.
	MinGain float64
}

// DefaultSettings returns the settings that NewPlanner uses.
func DefaultSettings() Settings {
	return Settings{Method: MethodSearch, Redundancy: true, MaxRedundancyCost: 0.05, StopRatio: 0.98, MaxLocalityCost: 0.03, MinGain: 0.03}
}

// Planner computes plans. It keeps no state between calls.
type Planner struct {
	Settings Settings
}

// NewPlanner returns a planner with the default settings.
func NewPlanner() Planner { return Planner{Settings: DefaultSettings()} }

// Plan computes the wanted assignments from scratch, without regard to what the
// engines hold.
func (p Planner) Plan(in Input) Plan {
	modelOf := allocate(in)
	stages := make([][]stage, len(in.Models))
	top := newTopology(in)
	for m := range in.Models {
		stages[m] = p.planModel(in, top, m, members(modelOf, m))
	}
	return p.buildPlan(in, top, stages)
}

// members returns the indexes of the engines that are allocated to a model.
func members(modelOf []int, model int) []int {
	var out []int
	for i, m := range modelOf {
		if m == model {
			out = append(out, i)
		}
	}
	return out
}

// buildPlan turns the stages of each model into a plan and computes its throughput.
func (p Planner) buildPlan(in Input, top topology, stages [][]stage) Plan {
	plan := Plan{
		Wanted:          make(map[fleet.UpstreamID]upstream.Assignment, len(in.Engines)),
		Throughput:      make(map[fleet.ModelID]float64),
		LocalThroughput: make(map[fleet.ModelID]float64),
		Redundant:       make(map[fleet.ModelID]bool),
		Bound:           Bound(in),
	}
	for _, e := range in.Engines {
		plan.Wanted[e.ID] = upstream.Assignment{Role: upstream.RoleIdle}
	}
	for i, m := range in.Models {
		adapters := assignAdapters(m, stages[i], in.Engines, top.tokensPerSecond(m))
		for _, s := range stages[i] {
			plan.Wanted[in.Engines[s.engine].ID] = upstream.Assignment{
				Role: upstream.RoleServe, Model: m.ID, Version: m.Version,
				Layers: s.layers, Adapters: adapters[s.engine],
			}
		}
		c := newChainGraph(stages[i], m.Layers, len(top.names), top.tokensPerSecond(m))
		total, local := c.throughput()
		plan.Throughput[m.ID], plan.LocalThroughput[m.ID] = total, local
		plan.Redundant[m.ID] = c.disjointChains() >= 2
		if scale := total / m.Demand; i == 0 || scale < plan.Scale {
			plan.Scale = scale
		}
	}
	return plan
}

// planModel arranges one model on its engines. It tries each data centre on its
// own before all of them together, and prefers the former unless the latter
// gains more than Settings.MaxLocalityCost or adds redundancy. Within each
// grouping, coarse boundaries are tried first: they leave more alternatives to
// each stage.
func (p Planner) planModel(in Input, top topology, model int, engines []int) []stage {
	m := in.Models[model]
	rng := rand.New(rand.NewPCG(in.Seed, uint64(model)))
	var best candidate
	for _, zones := range zonings(in, top, m, engines) {
		a := p.searchZones(in, top, m, engines, zones, rng)
		if best.stages == nil || a.score > best.score*(1+p.Settings.MaxLocalityCost) || (a.redundant && !best.redundant && p.Settings.Redundancy) {
			best = a
		}
		if best.sufficient {
			break
		}
	}
	return best.stages
}

// candidate is an arrangement of a model with its throughput.
type candidate struct {
	stages     []stage
	initial    initialSolution // start of a longer search
	score      float64         // tokens per second
	redundant  bool            // two chains share no engine
	sufficient bool            // the search may stop
}

// Limits of the longer searches that continue from the best candidates.
const (
	// refineMoveFactor multiplies the trial moves of a longer search.
	refineMoveFactor = 6
	// refineCandidates is the number of candidates that each round refines.
	refineCandidates = 3
	// maxRefineRounds limits the rounds.
	maxRefineRounds = 3
	// refineBelowRatio is the share of the bound below which another round follows.
	refineBelowRatio = 0.95
)

// searchZones arranges a model whose data centres are grouped into zones. It
// drops redundancy if that costs more throughput than Settings.MaxRedundancyCost.
func (p Planner) searchZones(in Input, top topology, m Model, engines, zones []int, rng *rand.Rand) candidate {
	s := search{in: in, top: top, model: m, engines: engines, rng: rng, method: p.Settings.Method}
	s.units, s.target = p.units(in, m, engines, zones)
	s.bound = hardwareBound(selectEngines(in.Engines, engines), []Model{m}) * m.Demand
	s.stopScore = p.Settings.StopRatio * s.bound
	s.redundancy = p.Settings.Redundancy && redundancyFits(in, m, engines)
	best := s.run()
	if !s.redundancy || best.sufficient || (best.redundant && best.score >= s.bound*(1-p.Settings.MaxRedundancyCost)) {
		return best
	}
	s.redundancy = false
	unconstrained := s.run()
	if !best.redundant || unconstrained.score*(1-p.Settings.MaxRedundancyCost) > best.score || (unconstrained.redundant && unconstrained.score > best.score) {
		return unconstrained
	}
	return best
}

// search holds the inputs of a search for the arrangement of one model.
type search struct {
	in               Input
	top              topology
	model            Model
	engines          []int
	units            []unit
	target           []float64
	bound, stopScore float64
	redundancy       bool
	rng              *rand.Rand
	method           Method
}

// run starts a short search from each initial solution and longer ones from the
// best candidates.
func (s *search) run() candidate {
	var found []candidate
	moves := movesFor(len(s.units))
	for _, initial := range initialSolutions(s.model, s.units, s.bound, s.method) {
		c := s.try(initial, moves)
		if c.sufficient {
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
	for round := range maxRefineRounds {
		if round > 0 && best.score >= refineBelowRatio*s.bound {
			break
		}
		for i, f := range found[:min(len(found), refineCandidates)] {
			c := s.try(f.initial, moves*refineMoveFactor)
			if s.compare(c, f) < 0 {
				found[i] = c
			}
			if s.compare(c, best) < 0 {
				best = c
			}
			if best.sufficient {
				return best
			}
		}
		s.sort(found)
	}
	return best
}

func (s *search) sort(found []candidate) { slices.SortStableFunc(found, s.compare) }

// try arranges the engines, starting from an initial solution.
func (s *search) try(initial initialSolution, moves int) candidate {
	a := newArrangement(s.units, slices.Clone(initial.boundaries), s.target, s.redundancy)
	initial.apply(a)
	a.greedy(idleUnits(a))
	if s.method == MethodSearch {
		a.anneal(s.rng, moves)
	}
	c := measure(s.in, s.top, s.model, s.engines, a)
	if len(s.top.names) > 1 && c.score < s.stopScore {
		c = s.groupByDataCentre(a, c)
	}
	c.initial = initial
	if initial.ranges == nil {
		c.initial.boundaries = slices.Clone(a.boundaries)
	}
	c.sufficient = c.score >= s.stopScore && (c.redundant || !s.redundancy)
	return c
}

// groupByDataCentre exchanges the spans of equal engines so that the engines of
// one data centre hold neighbouring ranges, since a chain that changes data
// centre at each stage uses the links many times. It returns the better
// candidate and leaves its arrangement in a.
func (s *search) groupByDataCentre(a *arrangement, before candidate) candidate {
	first, end := slices.Clone(a.first), slices.Clone(a.end)
	groups := map[unit][]int{}
	for i, u := range a.units {
		groups[u] = append(groups[u], i)
	}
	pathPosition := s.top.pathOrder()
	for _, group := range groups {
		spans := slices.Clone(group)
		slices.SortStableFunc(spans, func(x, y int) int { return cmp.Compare(first[x], first[y]) })
		slices.SortStableFunc(group, func(x, y int) int {
			return cmp.Compare(pathPosition[s.dataCentre(x)], pathPosition[s.dataCentre(y)])
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

func (s *search) compare(a, b candidate) int { return compareCandidates(a, b, s.redundancy) }

// compareCandidates orders candidates by falling throughput. If redundancy is
// requested, redundant candidates come first.
func compareCandidates(a, b candidate, redundancy bool) int {
	if redundancy && a.redundant != b.redundant {
		if a.redundant {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.score, a.score)
}

// measure turns an arrangement into stages and computes their throughput and
// redundancy.
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
	g := newChainGraph(c.stages, m.Layers, len(top.names), top.tokensPerSecond(m))
	c.score, _ = g.throughput()
	c.redundant = g.disjointChains() >= 2
	return c
}

func newStage(in Input, top topology, m Model, engine int, layers fleet.LayerRange) stage {
	e := in.Engines[engine]
	return stage{
		engine: engine, dataCentre: top.index[e.DataCentre], layers: layers,
		rate: m.speed(e) / float64(layers.Len()),
	}
}

// units returns a unit for each engine, and each zone's target rate, which is
// the hardware bound of its engines.
func (p Planner) units(in Input, m Model, engines, zones []int) ([]unit, []float64) {
	units := make([]unit, len(engines))
	groups := make([][]Engine, slices.Max(append([]int{0}, zones...))+1)
	for u, i := range engines {
		e := in.Engines[i]
		units[u] = unit{speed: m.speed(e), layerLimit: m.maxLayers(e), zone: zones[u]}
		groups[zones[u]] = append(groups[zones[u]], e)
	}
	target := make([]float64, len(groups))
	for z, g := range groups {
		target[z] = hardwareBound(g, []Model{m}) * m.Demand
	}
	return units, target
}

// zonings returns the groupings of data centres that the search tries, each as
// the zone of every engine. The first has as many zones as can hold a complete
// chain, as joinZones forms them; the second has a single zone. Only the second
// is returned when both are the same.
func zonings(in Input, top topology, m Model, engines []int) [][]int {
	joined := make([]int, len(engines))
	if len(top.names) == 1 {
		return [][]int{joined}
	}
	layerCapacity := make([]int, len(top.names))
	for _, i := range engines {
		layerCapacity[top.index[in.Engines[i].DataCentre]] += m.maxLayers(in.Engines[i])
	}
	zone := joinZones(top, layerCapacity, m.Layers)
	split := make([]int, len(engines))
	for u, i := range engines {
		split[u] = zone[top.index[in.Engines[i].DataCentre]]
	}
	if slices.Max(append(split, 0)) == 0 {
		return [][]int{joined}
	}
	return [][]int{split, joined}
}

// joinZones starts with one zone for each data centre and merges each zone that
// cannot hold a chain with the zone to which it has the fastest link.
// layerCapacity is the number of layers that fit into each data centre. A zone
// can hold a chain if a quarter more layers fit than the model has.
func joinZones(top topology, layerCapacity []int, layers int) []int {
	zone := make([]int, len(layerCapacity))
	for d := range zone {
		zone[d] = d
	}
	for {
		sum := make([]int, len(layerCapacity))
		for d := range layerCapacity {
			sum[zone[d]] += layerCapacity[d]
		}
		from, to := -1, -1
		for d := range layerCapacity {
			for e := range layerCapacity {
				short := sum[zone[d]] < layers+layers/4
				if zone[d] != zone[e] && short && (from < 0 || top.bytesPerSecond[d][e] > top.bytesPerSecond[from][to]) {
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

// compactZones renumbers the zones from 0 without gaps.
func compactZones(zone []int) []int {
	names := slices.Compact(slices.Sorted(slices.Values(zone)))
	out := make([]int, len(zone))
	for d := range zone {
		out[d] = slices.Index(names, zone[d])
	}
	return out
}

// redundancyFits reports whether the engines have room for two chains that
// share no engine.
func redundancyFits(in Input, m Model, engines []int) bool {
	total := 0
	for _, i := range engines {
		total += m.maxLayers(in.Engines[i])
	}
	return total >= 2*m.Layers
}

// memoryOrder returns the indexes of the units sorted by rising layer limit and
// then by falling speed.
func memoryOrder(units []unit) []int {
	order := make([]int, len(units))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(units[a].layerLimit, units[b].layerLimit); c != 0 {
			return c
		}
		return cmp.Compare(units[b].speed, units[a].speed)
	})
	return order
}

func selectEngines(engines []Engine, indexes []int) []Engine {
	out := make([]Engine, len(indexes))
	for i, n := range indexes {
		out[i] = engines[n]
	}
	return out
}
