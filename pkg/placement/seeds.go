package placement

import "slices"

// initialRange is the layer range that a unit holds at the start of a search.
type initialRange struct{ unit, first, end int }

// initialSolution is the starting point of a search: the segment boundaries and
// the ranges that some units hold.
type initialSolution struct {
	boundaries []int
	ranges     []initialRange
}

// apply gives the units their initial ranges.
func (initial initialSolution) apply(a *arrangement) {
	for _, r := range initial.ranges {
		first, _ := slices.BinarySearch(a.boundaries, r.first)
		end, _ := slices.BinarySearch(a.boundaries, r.end)
		a.setSpan(r.unit, first, end)
	}
}

// solutionFromRanges returns an initial solution whose boundaries are those of
// the ranges.
func solutionFromRanges(layers int, ranges []initialRange) initialSolution {
	b := []int{0, layers}
	for _, r := range ranges {
		b = append(b, r.first, r.end)
	}
	slices.Sort(b)
	return initialSolution{slices.Compact(b), ranges}
}

// initialSolutions returns the starting points to try, in this sequence: even
// boundaries, boundaries that suit each memory size, a single chain, which is
// best where memory allows only one, and parallel chains. MethodEqualSplit uses
// only the even boundaries, MethodOneChain only the single chain.
func initialSolutions(m Model, units []unit, rate float64, method Method) []initialSolution {
	var solutions []initialSolution
	if method == MethodOneChain {
		return []initialSolution{singleChain(m.Layers, units, rate)}
	}
	for _, k := range segmentCounts(m, units) {
		solutions = append(solutions, initialSolution{boundaries: evenBoundaries(m.Layers, k)})
	}
	if method == MethodEqualSplit {
		return solutions
	}
	for _, segmentLength := range segmentLengths {
		if b := bandBoundaries(m.Layers, units, rate, segmentLength); len(b) >= 2 && len(b) <= maxSegments+1 {
			solutions = append(solutions, initialSolution{boundaries: b})
		}
	}
	for _, s := range []initialSolution{singleChain(m.Layers, units, rate), parallelChains(m.Layers, units, rate)} {
		if len(s.ranges) > 0 && len(s.boundaries) <= maxSegments+1 {
			solutions = append(solutions, s)
		}
	}
	return solutions
}

// singleChain returns the fastest chain that the units can form. It finds the
// rate by bisection: at a given rate each unit holds as many layers as it can
// run, and the chain is feasible if these cover the model.
func singleChain(layers int, units []unit, rate float64) initialSolution {
	layersAt := func(rate float64) (held []int, sum int) {
		for _, u := range units {
			n := min(u.layerLimit, int(u.speed/rate+1e-9))
			held = append(held, n)
			sum += n
		}
		return held, sum
	}
	low, high := 0.0, rate*2
	for range bisectionSteps {
		mid := (low + high) / 2
		if _, sum := layersAt(mid); sum >= layers {
			low = mid
		} else {
			high = mid
		}
	}
	if low <= 0 {
		return initialSolution{}
	}
	held, _ := layersAt(low)
	var ranges []initialRange
	nextLayer := 0
	for _, u := range memoryOrder(units) {
		if n := min(held[u], layers-nextLayer); n > 0 {
			ranges = append(ranges, initialRange{u, nextLayer, nextLayer + n})
			nextLayer += n
		}
	}
	return solutionFromRanges(layers, ranges)
}

// layerBand is a contiguous part of the layers and the units that run it, which
// have the same layer limit.
type layerBand struct {
	first, end int
	units      []int
	layerLimit int
	meanLayers float64 // mean number of layers that a unit can run at the target rate
}

// layerBands divides the layers among the memory sizes, in proportion to the
// layers that the units of each size can run at a rate. The first layers go to
// the smallest size.
func layerBands(layers int, units []unit, rate float64) []layerBand {
	order := slices.DeleteFunc(memoryOrder(units), func(i int) bool { return units[i].layerLimit == 0 })
	var out []layerBand
	nextLayer, layerSum := 0, 0.0
	for begin := 0; begin < len(order); {
		band := layerBand{first: nextLayer, layerLimit: units[order[begin]].layerLimit}
		for ; begin < len(order) && units[order[begin]].layerLimit == band.layerLimit; begin++ {
			band.units = append(band.units, order[begin])
			band.meanLayers += min(units[order[begin]].speed/rate, float64(band.layerLimit))
		}
		layerSum += band.meanLayers
		band.meanLayers /= float64(len(band.units))
		band.end = min(layers, int(layerSum+0.5))
		if begin == len(order) {
			band.end = layers
		}
		nextLayer = band.end
		out = append(out, band)
	}
	return out
}

// parallelChains fills each band with separate chains whose engines hold equal
// numbers of layers, as layersPerEngine chooses them. For engines of one kind
// this comes close to the bound where boundaries common to all chains do not.
func parallelChains(layers int, units []unit, rate float64) initialSolution {
	var ranges []initialRange
	for _, band := range layerBands(layers, units, rate) {
		length := band.end - band.first
		unused := band.units
		for _, n := range layersPerEngine(length, len(band.units), band.layerLimit) {
			count := (length + n - 1) / n
			for i, u := range unused[:count] {
				ranges = append(ranges, initialRange{u, band.first + length*i/count, band.first + length*(i+1)/count})
			}
			unused = unused[count:]
		}
	}
	return solutionFromRanges(layers, ranges)
}

// layersPerEngine returns, for each chain over a band of length layers, how many
// layers each of its engines holds, such that the sum of the chains' rates is
// the highest. It solves a knapsack problem: a chain with n layers per engine
// takes length / n engines and contributes speed / n.
func layersPerEngine(length, engines, layerLimit int) []int {
	best := make([]float64, engines+1)
	chosen := make([]int, engines+1)
	for e := 1; e <= engines; e++ {
		best[e], chosen[e] = best[e-1], 0
		for n := 1; n <= min(layerLimit, length); n++ {
			count := (length + n - 1) / n
			if count <= e && best[e-count]+1/float64(n) > best[e]+1e-12 {
				best[e], chosen[e] = best[e-count]+1/float64(n), n
			}
		}
	}
	var out []int
	for e := engines; e > 0; {
		n := chosen[e]
		if n == 0 {
			e--
			continue
		}
		out = append(out, n)
		e -= (length + n - 1) / n
	}
	return out
}

// segmentLengths are the rules that bandBoundaries is tried with. Each returns
// the length of a band's segments, given the number of layers that fit into an
// engine and the mean number that one can run at the target rate.
var segmentLengths = []func(most int, share float64) int{
	func(most int, _ float64) int { return most },
	func(most int, share float64) int { return min(most, int(share+0.5)) },
	func(most int, share float64) int { return min(most, int(share)) },
	func(most int, share float64) int { return min(most, 2*int(share+0.5)) },
	func(most int, _ float64) int { return (most + 1) / 2 },
}

// bandBoundaries divides each band into segments that fit its engines. Even
// boundaries that suit the smallest engines would be too many.
func bandBoundaries(layers int, units []unit, rate float64, segmentLength func(int, float64) int) []int {
	b := []int{0}
	for _, band := range layerBands(layers, units, rate) {
		step := max(1, segmentLength(band.layerLimit, band.meanLayers))
		for b[len(b)-1] < band.end {
			b = append(b, min(band.end, b[len(b)-1]+step))
		}
	}
	return b
}

// segmentCounts returns the numbers of segments to try, in rising order. For
// each layer limit it takes the lowest number whose segments fit and some higher
// ones. If that makes more than maxSegmentCounts, it drops middle ones.
func segmentCounts(m Model, units []unit) []int {
	var counts []int
	add := func(k int) {
		if k >= 1 && k <= m.Layers && k <= maxSegments {
			counts = append(counts, k)
		}
	}
	for _, u := range units {
		if u.layerLimit <= 0 {
			continue
		}
		k := (m.Layers + u.layerLimit - 1) / u.layerLimit
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

const (
	// maxSegments limits the number of segments of an initial solution.
	maxSegments = 48
	// maxSegmentCounts limits the searches that start from even boundaries.
	maxSegmentCounts = 10
)

func evenBoundaries(layers, segments int) []int {
	b := make([]int, segments+1)
	for i := range b {
		b[i] = layers * i / segments
	}
	return b
}
