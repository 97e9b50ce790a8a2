package placement

import "slices"

// span is the range of layers that a unit holds at the start of a search.
type span struct{ unit, first, end int }

// start is where a search begins: boundaries and what some units hold.
type start struct {
	boundaries []int
	spans      []span
}

// apply gives the units their spans.
func (f start) apply(a *arrangement) {
	for _, s := range f.spans {
		first, _ := slices.BinarySearch(a.boundaries, s.first)
		end, _ := slices.BinarySearch(a.boundaries, s.end)
		a.put(s.unit, first, end)
	}
}

// withSpans returns a start whose boundaries are those of the spans.
func withSpans(layers int, spans []span) start {
	b := []int{0, layers}
	for _, s := range spans {
		b = append(b, s.first, s.end)
	}
	slices.Sort(b)
	return start{slices.Compact(b), spans}
}

// boundarySeeds returns the starts to try: even boundaries, ones by memory
// size, and a single chain, which is the best where memory allows only one.
func boundarySeeds(m Model, units []unit, rate float64, method Method) []start {
	var seeds []start
	if method == MethodOneChain {
		return []start{singleChain(m.Layers, units, rate)}
	}
	for _, k := range segmentCounts(m, units) {
		seeds = append(seeds, start{boundaries: evenBoundaries(m.Layers, k)})
	}
	if method == MethodEqualSplit {
		return seeds
	}
	for _, size := range classSizes {
		if b := classBoundaries(m.Layers, units, rate, size); len(b) >= 2 && len(b) <= maxSegments+1 {
			seeds = append(seeds, start{boundaries: b})
		}
	}
	for _, s := range []start{singleChain(m.Layers, units, rate), parallelChains(m.Layers, units, rate)} {
		if len(s.spans) > 0 && len(s.boundaries) <= maxSegments+1 {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

// singleChain returns the chain of all units with the highest rate: by
// bisection on the rate, at which each unit holds as many layers as it can run.
func singleChain(layers int, units []unit, rate float64) start {
	take := func(rate float64) (held []int, sum int) {
		for _, u := range units {
			n := min(u.most, int(u.speed/rate+1e-9))
			held = append(held, n)
			sum += n
		}
		return held, sum
	}
	low, high := 0.0, rate*2
	for range boundSteps {
		mid := (low + high) / 2
		if _, sum := take(mid); sum >= layers {
			low = mid
		} else {
			high = mid
		}
	}
	if low <= 0 {
		return start{}
	}
	held, _ := take(low)
	var spans []span
	at := 0
	for _, u := range memoryOrder(units) {
		if n := min(held[u], layers-at); n > 0 {
			spans = append(spans, span{u, at, at + n})
			at += n
		}
	}
	return withSpans(layers, spans)
}

// region is a part of the layers and the units that run it.
type region struct {
	first, end int
	units      []int
	most       int
	share      float64 // mean of the layers that a unit runs at the wanted rate
}

// regions gives each memory size a region of layers in proportion to what its
// units run at a rate, small sizes first.
func regions(layers int, units []unit, rate float64) []region {
	order := slices.DeleteFunc(memoryOrder(units), func(i int) bool { return units[i].most == 0 })
	var out []region
	at, reach := 0, 0.0
	for begin := 0; begin < len(order); {
		r := region{first: at, most: units[order[begin]].most}
		for ; begin < len(order) && units[order[begin]].most == r.most; begin++ {
			r.units = append(r.units, order[begin])
			r.share += min(units[order[begin]].speed/rate, float64(r.most))
		}
		reach += r.share
		r.share /= float64(len(r.units))
		r.end = min(layers, int(reach+0.5))
		if begin == len(order) {
			r.end = layers
		}
		at = r.end
		out = append(out, r)
	}
	return out
}

// parallelChains fills each region with separate chains whose engines hold
// equally many layers. How many chains of each kind is a knapsack: a chain of
// n layers an engine takes region / n engines and gives speed / n. Engines of
// one kind come close to the bound that way where no common boundaries do.
func parallelChains(layers int, units []unit, rate float64) start {
	var spans []span
	for _, r := range regions(layers, units, rate) {
		length := r.end - r.first
		left := r.units
		for _, n := range chainLengths(length, len(r.units), r.most) {
			count := (length + n - 1) / n
			for i, u := range left[:count] {
				spans = append(spans, span{u, r.first + length*i/count, r.first + length*(i+1)/count})
			}
			left = left[count:]
		}
	}
	return withSpans(layers, spans)
}

// chainLengths returns the layers an engine of each chain for the highest sum of rates.
func chainLengths(length, engines, most int) []int {
	best := make([]float64, engines+1)
	chosen := make([]int, engines+1)
	for e := 1; e <= engines; e++ {
		best[e], chosen[e] = best[e-1], 0
		for n := 1; n <= min(most, length); n++ {
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

// classSizes returns the length of a segment for engines that hold most layers
// and whose share at the wanted rate is share layers.
var classSizes = []func(most int, share float64) int{
	func(most int, _ float64) int { return most },
	func(most int, share float64) int { return min(most, int(share+0.5)) },
	func(most int, share float64) int { return min(most, int(share)) },
	func(most int, share float64) int { return min(most, 2*int(share+0.5)) },
	func(most int, _ float64) int { return (most + 1) / 2 },
}

// classBoundaries divides each region into segments that fit its engines. Even
// boundaries that suit small engines would be too many.
func classBoundaries(layers int, units []unit, rate float64, size func(int, float64) int) []int {
	b := []int{0}
	for _, r := range regions(layers, units, rate) {
		step := max(1, size(r.most, r.share))
		for b[len(b)-1] < r.end {
			b = append(b, min(r.end, b[len(b)-1]+step))
		}
	}
	return b
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
