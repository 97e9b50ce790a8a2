package chain

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// maxIsolationSearches bounds the first servers that ReserveIsolated tries.
const maxIsolationSearches = 4

// ReserveIsolated reserves a chain for a request that may crash its first server: one that begins at
// the server whose end breaks the fewest requests and whose layers are loaded again the soonest.
func (a *Allocator) ReserveIsolated(now time.Time, need Need, avoid map[fleet.UpstreamID]bool) (*Chain, Failure) {
	first := a.firstServers(now, avoid)
	for _, s := range first[:min(len(first), maxIsolationSearches)] {
		others := maps.Clone(avoid)
		if others == nil {
			others = make(map[fleet.UpstreamID]bool, len(first))
		}
		for _, other := range first {
			others[other.ID] = other != s
		}
		if c, failure := a.Reserve(now, need, others); failure == NoFailure {
			return c, failure
		}
	}
	return a.Reserve(now, need, avoid)
}

const (
	// maxIsolationShare is the largest share of the requests on first servers that may be put at risk.
	maxIsolationShare = 0.25
	// minIsolationPower is the smallest share of the usual power that the servers must have. Below it
	// they recover from the loss of others.
	minIsolationPower = 0.95
	// usualPowerMemory is the time in which a larger power is forgotten.
	usualPowerMemory = time.Minute
)

// CanIsolate reports whether the servers can bear the end of the one at which ReserveIsolated would
// begin.
func (a *Allocator) CanIsolate(now time.Time) bool {
	first := a.firstServers(now, nil)
	if len(first) < 2 || a.power.latest < minIsolationPower*a.power.usual(now) {
		return false
	}
	total := 0.0
	for _, s := range first {
		total += s.requests()
	}
	return first[0].requests() <= maxIsolationShare*total
}

// power is a measure of what the available servers can do together: the layers that they hold, by the
// speed of their cards.
type power struct {
	latest, peak float64
	peakAt       time.Time
}

// usual returns the peak of latest, which is forgotten within usualPowerMemory.
func (p *power) usual(now time.Time) float64 {
	return max(p.latest, p.peak*(1-now.Sub(p.peakAt).Seconds()/usualPowerMemory.Seconds()))
}

// RecordPower records the power of the available servers. It must be called after SetServers.
func (a *Allocator) RecordPower(now time.Time) {
	p := &a.power
	if p.latest >= p.usual(now) {
		p.peak, p.peakAt = p.latest, now // until now
	}
	p.latest = 0
	for _, s := range a.servers {
		if s.isAvailable(now, nil) && s.Card.StepFactor > 0 {
			p.latest += float64(s.Layers.Len()) / s.Card.StepFactor
		}
	}
}

// firstServers returns the available servers that hold the first layer, the one with the lowest
// costOfEnd first.
func (a *Allocator) firstServers(now time.Time, avoid map[fleet.UpstreamID]bool) []*server {
	var first []*server
	for _, s := range a.servers {
		if s.Layers.First == 0 && s.isAvailable(now, avoid) {
			first = append(first, s)
		}
	}
	slices.SortStableFunc(first, func(x, y *server) int { return cmp.Compare(x.costOfEnd(), y.costOfEnd()) })
	return first
}

func (s *server) requests() float64 { return s.ownLoad.Requests + s.otherLoad.Requests }

// costOfEnd is a measure of what is lost when a server ends: the requests that all VMs have reserved
// on it, times the layers that have to be loaded again.
func (s *server) costOfEnd() float64 {
	return (s.requests() + 1) * float64(s.Layers.Len())
}
