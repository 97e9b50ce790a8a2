package entry

import (
	"sync"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Estimates of output lengths, in tokens.
const (
	// initialLengthEstimate is assumed for a team and model without finished requests.
	initialLengthEstimate = 128
	// lengthWeight is the weight of a finished request in the moving average.
	lengthWeight = 0.1
	// lengthSafetyFactor multiplies the average, because a request that costs more than
	// estimated delays others, and one that costs less does not.
	lengthSafetyFactor = 1.25
)

// lengthEstimator estimates how many tokens a team's requests to a model generate.
type lengthEstimator struct {
	mu   sync.Mutex
	mean map[lengthKey]float64
}

type lengthKey struct {
	team  fleet.TeamID
	model fleet.ModelID
}

func newLengthEstimator() *lengthEstimator { return &lengthEstimator{mean: map[lengthKey]float64{}} }

// expected returns the estimated number of output tokens.
func (l *lengthEstimator) expected(team fleet.TeamID, model fleet.ModelID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.mean[lengthKey{team, model}]
	if !ok {
		return initialLengthEstimate
	}
	return int(mean*lengthSafetyFactor) + 1
}

// observe adds the output length of a finished request to the average.
func (l *lengthEstimator) observe(team fleet.TeamID, model fleet.ModelID, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lengthKey{team, model}
	mean, ok := l.mean[key]
	if !ok {
		mean = float64(tokens)
	}
	l.mean[key] = mean + lengthWeight*(float64(tokens)-mean)
}
