package entry

import (
	"sync"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Estimates of output lengths, in tokens.
const (
	// firstEstimate is assumed for a team and model without finished requests.
	firstEstimate = 128
	// lengthWeight is the weight of a finished request in the moving average.
	lengthWeight = 0.1
	// lengthMargin multiplies the average, because a request that costs more
	// than was estimated delays others, and one that costs less does not.
	lengthMargin = 1.25
)

// lengths estimates how many tokens a team's requests to a model generate.
type lengths struct {
	mu   sync.Mutex
	mean map[lengthKey]float64
}

type lengthKey struct {
	team  fleet.TeamID
	model fleet.ModelID
}

func newLengths() *lengths { return &lengths{mean: map[lengthKey]float64{}} }

// expected returns the estimated number of output tokens.
func (l *lengths) expected(team fleet.TeamID, model fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.mean[lengthKey{team, model}]
	if !ok {
		return firstEstimate
	}
	return int(mean*lengthMargin) + 1
}

// observe books a finished request.
func (l *lengths) observe(team fleet.TeamID, model fleet.ModelID, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lengthKey{team, model}
	mean, ok := l.mean[key]
	if !ok {
		mean = float64(tokens)
	}
	l.mean[key] = mean + lengthWeight*(float64(tokens)-mean)
}
