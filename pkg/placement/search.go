package placement

import (
	"math"
	"math/rand/v2"
)

const (
	// searchMoves is the number of trial moves per engine in one search.
	searchMoves = 400
	// smallSearchMoves is the number of trial moves per engine in small fleets,
	// which need more of them, up to maxSmallSearchMoves in total.
	smallSearchMoves = 1000
	// maxSmallSearchMoves is the total up to which smallSearchMoves applies. With
	// 4,800 moves instead of 12,000, the worst of 128 inputs with 12 engines fell
	// from 0.905 to 0.864 of the bound.
	maxSmallSearchMoves = 12000
)

// movesFor returns the number of trial moves in one search.
func movesFor(units int) int {
	return max(searchMoves*units, min(maxSmallSearchMoves, smallSearchMoves*units))
}

// deficitWeight multiplies the cost of a segment below the target rate, since
// the slowest segment limits the chain.
const deficitWeight = 4

// underReplicatedPenalty is the cost of each missing holder of a segment that
// fewer than two engines hold, relative to the cost of the segment without any
// rate.
const underReplicatedPenalty = 0.5

// unit holds the properties of an engine that the search uses.
type unit struct {
	speed      float64
	layerLimit int // layers that fit into memory
	zone       int
}

// arrangement assigns each unit a span of consecutive segments. All units share
// the same segment boundaries. When all segments of a zone have the same total
// rate, as much rate ends at each boundary as begins there, so chains can use
// all of it. The search therefore only has to equalise the segments' rates.
type arrangement struct {
	units      []unit
	boundaries []int
	first, end []int       // span of each unit, in segments; empty if first == end
	target     []float64   // target rate of each zone
	weight     []float64   // weight of each zone's segments in the cost
	rate       [][]float64 // total rate by zone and segment
	holders    []int       // number of units that hold each segment
	redundancy bool        // segments with fewer than two holders cost more
	// currentSpan is the span that each unit's engine holds. A unit that is moved
	// away from it adds layerMoveCost for each layer that it loads. Units without
	// a current span load at no cost.
	currentSpan   [][2]int
	layerMoveCost float64
}

func newArrangement(units []unit, boundaries []int, target []float64, redundancy bool) *arrangement {
	a := &arrangement{
		units: units, boundaries: boundaries, target: target, redundancy: redundancy,
		first: make([]int, len(units)), end: make([]int, len(units)),
		holders: make([]int, len(boundaries)-1),
	}
	total := 0.0
	for _, t := range target {
		total += t
	}
	for _, t := range target {
		a.rate = append(a.rate, make([]float64, len(boundaries)-1))
		w := 0.0
		if t > 0 {
			w = t / total
		}
		a.weight = append(a.weight, w)
	}
	return a
}

func (a *arrangement) segments() int { return len(a.boundaries) - 1 }

func (a *arrangement) layers(first, end int) int { return a.boundaries[end] - a.boundaries[first] }

// unitRate returns the rate that a unit adds to each segment of a span, limited
// to the zone's target rate since more cannot be used.
func (a *arrangement) unitRate(i, first, end int) float64 {
	if first >= end {
		return 0
	}
	u := a.units[i]
	return min(u.speed/float64(a.layers(first, end)), a.target[u.zone])
}

func (a *arrangement) fits(i, first, end int) bool {
	return first >= end || a.layers(first, end) <= a.units[i].layerLimit
}

// segmentCost returns the cost of one segment of a zone at a rate.
func (a *arrangement) segmentCost(zone, segment int, rate float64) float64 {
	if a.target[zone] <= 0 {
		return 0
	}
	d := 1 - rate/a.target[zone]
	cost := d * d
	if d > 0 {
		cost *= deficitWeight
	}
	return cost * a.weight[zone] * float64(a.layers(segment, segment+1))
}

// underReplicatedCost returns the cost of a segment with fewer than two holders.
func (a *arrangement) underReplicatedCost(segment, holders int) float64 {
	if !a.redundancy || holders >= 2 {
		return 0
	}
	return underReplicatedPenalty * deficitWeight * float64((2-holders)*a.layers(segment, segment+1))
}

// setSpan changes a unit's span and returns the change in cost.
func (a *arrangement) setSpan(i, first, end int) float64 {
	change := a.moveCost(i, first, end) - a.moveCost(i, a.first[i], a.end[i])
	change += a.accumulate(i, a.first[i], a.end[i], -1)
	a.first[i], a.end[i] = first, end
	return change + a.accumulate(i, first, end, 1)
}

// accumulate adds a unit to the sums of the segments in a span (sign 1) or
// subtracts it (sign -1), and returns the change in cost.
func (a *arrangement) accumulate(i, first, end, sign int) float64 {
	change := 0.0
	zone := a.units[i].zone
	rate := a.unitRate(i, first, end) * float64(sign)
	for s := first; s < end; s++ {
		change -= a.segmentCost(zone, s, a.rate[zone][s]) + a.underReplicatedCost(s, a.holders[s])
		a.rate[zone][s] += rate
		a.holders[s] += sign
		change += a.segmentCost(zone, s, a.rate[zone][s]) + a.underReplicatedCost(s, a.holders[s])
	}
	return change
}

// moveCost returns the cost of the layers that a unit loads to hold a span.
func (a *arrangement) moveCost(i, first, end int) float64 {
	if a.currentSpan == nil || first >= end {
		return 0
	}
	o := a.currentSpan[i]
	if o[0] >= o[1] || (o[0] == first && o[1] == end) {
		return 0
	}
	return a.layerMoveCost * float64(a.layers(first, end))
}

// cost computes the total cost from scratch.
func (a *arrangement) cost() float64 {
	total := 0.0
	for i := range a.units {
		total += a.moveCost(i, a.first[i], a.end[i])
	}
	for s := range a.segments() {
		total += a.underReplicatedCost(s, a.holders[s])
		for z := range a.target {
			total += a.segmentCost(z, s, a.rate[z][s])
		}
	}
	return total
}

// rebuildSums recomputes the sums of all segments after a change of boundaries.
func (a *arrangement) rebuildSums() {
	for z := range a.rate {
		clear(a.rate[z])
	}
	clear(a.holders)
	for i := range a.units {
		a.accumulate(i, a.first[i], a.end[i], 1)
	}
}

// greedy gives each unit in turn the span that lowers the cost most. Callers
// put units with little memory first, since the fewest spans fit into them.
func (a *arrangement) greedy(order []int) {
	for _, i := range order {
		bestFirst, bestEnd, best := 0, 0, 0.0
		for first := range a.segments() {
			for end := first + 1; end <= a.segments() && a.fits(i, first, end); end++ {
				change := a.setSpan(i, first, end)
				if change < best {
					bestFirst, bestEnd, best = first, end, change
				}
				a.setSpan(i, 0, 0)
			}
		}
		a.setSpan(i, bestFirst, bestEnd)
	}
}

// anneal improves the arrangement by simulated annealing and leaves the best
// arrangement that it found.
func (a *arrangement) anneal(rng *rand.Rand, moves int) {
	cost := a.cost()
	best := cost
	bestFirst, bestEnd := append([]int(nil), a.first...), append([]int(nil), a.end...)
	bestBoundaries := append([]int(nil), a.boundaries...)
	startTemperature := max(cost, float64(a.boundaries[a.segments()])*1e-3) / float64(len(a.units)+1)
	shiftEvery := 20 + len(a.units)
	for n := range moves {
		temperature := startTemperature * math.Pow(1e-4, float64(n)/float64(moves))
		var change float64
		var undo func()
		switch {
		case a.currentSpan == nil && n%shiftEvery == 0 && a.segments() > 1:
			change, undo = a.shift(rng, cost)
		case n%3 == 0:
			change, undo = a.swap(rng)
		default:
			change, undo = a.move(rng)
		}
		if undo == nil {
			continue
		}
		if change > 0 && rng.Float64() >= math.Exp(-change/temperature) {
			undo()
			continue
		}
		cost += change
		if cost < best-1e-12 {
			best = cost
			copy(bestFirst, a.first)
			copy(bestEnd, a.end)
			copy(bestBoundaries, a.boundaries)
		}
	}
	copy(a.first, bestFirst)
	copy(a.end, bestEnd)
	copy(a.boundaries, bestBoundaries)
	a.rebuildSums()
}

// move gives a random unit a random span. Like swap and shift, it returns the
// change in cost and a function that undoes the change, which is nil if nothing
// was changed.
func (a *arrangement) move(rng *rand.Rand) (float64, func()) {
	i := rng.IntN(len(a.units))
	first := rng.IntN(a.segments())
	end := first + 1
	for end < a.segments() && a.fits(i, first, end+1) && rng.IntN(3) > 0 {
		end++
	}
	if !a.fits(i, first, end) || (first == a.first[i] && end == a.end[i]) {
		return 0, nil
	}
	oldFirst, oldEnd := a.first[i], a.end[i]
	return a.setSpan(i, first, end), func() { a.setSpan(i, oldFirst, oldEnd) }
}

// swap exchanges the spans of two random units.
func (a *arrangement) swap(rng *rand.Rand) (float64, func()) {
	i, j := rng.IntN(len(a.units)), rng.IntN(len(a.units))
	fi, ei, fj, ej := a.first[i], a.end[i], a.first[j], a.end[j]
	if (fi == fj && ei == ej) || !a.fits(i, fj, ej) || !a.fits(j, fi, ei) {
		return 0, nil
	}
	change := a.setSpan(i, fj, ej) + a.setSpan(j, fi, ei)
	return change, func() { a.setSpan(j, fj, ej); a.setSpan(i, fi, ei) }
}

// shift moves a random boundary by one layer. cost is the present total cost.
func (a *arrangement) shift(rng *rand.Rand, cost float64) (float64, func()) {
	b := 1 + rng.IntN(a.segments()-1)
	by := 1 - 2*rng.IntN(2)
	at := a.boundaries[b] + by
	if at <= a.boundaries[b-1] || at >= a.boundaries[b+1] {
		return 0, nil
	}
	undo := func() {
		a.boundaries[b] -= by
		a.rebuildSums()
	}
	a.boundaries[b] = at
	for i := range a.units {
		if !a.fits(i, a.first[i], a.end[i]) {
			a.boundaries[b] -= by
			return 0, nil
		}
	}
	a.rebuildSums()
	return a.cost() - cost, undo
}
