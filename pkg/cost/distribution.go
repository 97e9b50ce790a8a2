// Package cost estimates how many tokens the answers of generations will have. It learns from
// finished answers, by what requests have in common, and corrects the hints of callers by how good
// the hints of similar requests were. It does no I/O, reads no clock and holds a bounded number of
// groups.
package cost

import "math"

const (
	// binsPerDoubling is the number of bins in which the length doubles: each bin is 26% wider
	// than the one before.
	binsPerDoubling = 3
	// bins covers lengths from 1 to about 41,000 tokens. Longer ones count as the longest.
	bins = 46
)

// Distribution is the probability of each length of an answer, by bins of increasing width.
type Distribution struct {
	weight [bins]float64
	// least and limit are the smallest and the largest possible length; limit is 0 for none.
	least, limit float64
}

// binOf returns the bin of a length.
func binOf(tokens float64) int {
	return min(max(int(binsPerDoubling*math.Log2(max(tokens, 1))), 0), bins-1)
}

// lower returns the lower end of a bin. The bin ends where the next one begins.
func lower(bin int) float64 { return math.Exp2(float64(bin) / binsPerDoubling) }

// normalize scales the weights to a sum of 1 and reports whether there are any.
func (d *Distribution) normalize() bool {
	sum := 0.0
	for _, w := range d.weight {
		sum += w
	}
	if !(sum > 0) {
		return false
	}
	for i := range d.weight {
		d.weight[i] /= sum
	}
	return true
}

// clamp returns a possible length.
func (d *Distribution) clamp(tokens float64) float64 {
	tokens = max(tokens, d.least)
	if d.limit > 0 {
		return min(tokens, d.limit)
	}
	return tokens
}

// Mean returns the expected length.
func (d *Distribution) Mean() float64 {
	mean := 0.0
	for i, w := range d.weight {
		// The geometric mean of the ends; within a bin the logarithm is assumed to be uniform.
		mean += w * d.clamp(lower(i)*math.Exp2(0.5/binsPerDoubling))
	}
	return mean
}

// Quantile returns the length that a fraction q of the answers does not exceed.
func (d *Distribution) Quantile(q float64) float64 {
	below := 0.0
	for i, w := range d.weight {
		if w > 0 && below+w >= q {
			return d.clamp(lower(i) * math.Exp2(max(q-below, 0)/w/binsPerDoubling))
		}
		below += w
	}
	return d.clamp(lower(bins))
}

// After returns the distribution of the whole length, given that an answer has already the given
// number of tokens and goes on. Of an answer longer than any that was seen, it expects as much
// again in the bin that it has reached.
func (d *Distribution) After(tokens float64) Distribution {
	rest := Distribution{least: tokens, limit: d.limit}
	first := binOf(tokens)
	copy(rest.weight[first+1:], d.weight[first+1:])
	// The part of the bin that lies above the length.
	rest.weight[first] = d.weight[first] * min(max(float64(first+1)-binsPerDoubling*math.Log2(max(tokens, 1)), 0), 1)
	if !rest.normalize() {
		rest.weight[min(first+1, bins-1)] = 1
	}
	return rest
}

// logNormal returns a distribution with the given mean whose logarithm has the given standard
// deviation.
func logNormal(mean, sigma float64) (d Distribution) {
	mu := math.Log(max(mean, 1)) - sigma*sigma/2
	cumulative := func(x float64) float64 { return 0.5 * math.Erfc((mu-math.Log(x))/(sigma*math.Sqrt2)) }
	for i := range d.weight {
		d.weight[i] = cumulative(lower(i+1)) - cumulative(lower(i))
	}
	d.normalize()
	return d
}
