// Package pace bounds how long generations take. It compares the times of past runs with those
// that their chains were expected to need: a configuration states the speed of engines, but not
// the load, the queues and the faults that slow them. It does no I/O and reads no clock.
package pace

import "time"

const (
	// smoothing is the weight of a new sample once there are many.
	smoothing = 1.0 / 32
	// deviations is the number of mean absolute deviations by which a bound exceeds the mean.
	deviations = 3
	// minMargin is the least factor between the mean and a bound.
	minMargin = 1.1
	// initialMargin is that factor without samples.
	initialMargin = 1.5
	// maxSampleFactor limits a sample to a multiple of the mean, so that one stalled run does not
	// raise the bound of all others for many runs.
	maxSampleFactor = 3
)

// Expectation is how long a run is expected to take on a chain.
type Expectation struct {
	// FirstEvent is the time to the first event.
	FirstEvent time.Duration
	// Step is the time for each answer token.
	Step time.Duration
}

// Tracker learns from the runs of one service. It is not safe for concurrent use.
type Tracker struct {
	// firstFactor and stepFactor are the measured times as multiples of the expected ones.
	firstFactor, stepFactor average
	// first and step are the measured times in seconds.
	first, step average
}

// Observe records a run that took the times in measured on a chain that was expected to need
// those in expected.
func (t *Tracker) Observe(expected, measured Expectation) {
	t.first.add(measured.FirstEvent.Seconds())
	t.step.add(measured.Step.Seconds())
	if expected.FirstEvent > 0 {
		t.firstFactor.add(measured.FirstEvent.Seconds() / expected.FirstEvent.Seconds())
	}
	if expected.Step > 0 {
		t.stepFactor.add(measured.Step.Seconds() / expected.Step.Seconds())
	}
}

// Bound returns the longest time that a run of the given number of answer tokens is expected to
// take on a chain.
func (t *Tracker) Bound(expected Expectation, tokens int) time.Duration {
	return toDuration(expected.FirstEvent.Seconds()*t.firstFactor.bound(1) + float64(tokens)*expected.Step.Seconds()*t.stepFactor.bound(1))
}

// RecentBound returns that time for the chains of recent runs, or 0 without such runs.
func (t *Tracker) RecentBound(tokens int) time.Duration {
	return toDuration(t.first.bound(0) + float64(tokens)*t.step.bound(0))
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

// maxSeconds bounds a result, so that it can be added to times.
const maxSeconds = 24 * 60 * 60

// average is an exponentially weighted mean with the mean absolute deviation from it.
type average struct {
	mean, deviation float64
	samples         int
}

func (a *average) add(x float64) {
	a.samples++
	if a.samples == 1 {
		a.mean, a.deviation = x, x*(initialMargin-1)/deviations
		return
	}
	if a.mean > 0 {
		x = min(x, maxSampleFactor*a.mean)
	}
	weight := max(smoothing, 1/float64(a.samples))
	a.deviation += weight * (max(x-a.mean, a.mean-x) - a.deviation)
	a.mean += weight * (x - a.mean)
}

// bound returns a value that few samples exceed. initial is the mean without samples.
func (a *average) bound(initial float64) float64 {
	if a.samples == 0 {
		return initial * initialMargin
	}
	return max(a.mean+deviations*a.deviation, minMargin*a.mean)
}
