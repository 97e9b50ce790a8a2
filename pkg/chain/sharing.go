package chain

import (
	"math"
	"time"
)

// Sharing configures contention control between VMs. Each VM learns of the others'
// reservations only after a delay, so that all of them see the same free memory at the
// same time. Without contention control all of them would choose the last free memory of
// the cheapest chain at once, and most would be refused.
type Sharing struct {
	// Near describes the competition for servers in this VM's data centre, Far that for
	// all other servers.
	Near, Far Competitors
	// Random returns numbers in [0, 1); nil turns contention control off.
	Random func() float64
}

// Competitors describes the other VMs that choose among the same servers.
type Competitors struct {
	// PropagationDelay is the time until the other VMs know of a reservation.
	PropagationDelay time.Duration
	// VMs is the number of other VMs.
	VMs float64
}

const (
	// arrivalWindow is the time over which the count of arrivals decays. It is this long
	// because a VM of a large fleet gets only a few requests per second.
	arrivalWindow = 4 * time.Second
	// fullServerPenalty is the mean penalty for a server without free memory. It exceeds the
	// difference in cost between a fast and a slow chain. The penalty falls to zero as the
	// free memory rises to what this VM's request needs together with all those that the
	// other VMs may place there before this VM learns of them.
	fullServerPenalty = 4 * time.Second
	// demandDeviations is the number of standard deviations by which the other VMs'
	// requests are assumed to exceed the expected number.
	demandDeviations = 2
)

// sharingState is the state of contention control.
type sharingState struct {
	Sharing
	// arrivals is the decayed count of arrivals as of arrivalsAt.
	arrivals   float64
	arrivalsAt time.Time
}

// SetSharing replaces the settings of contention control.
func (a *Allocator) SetSharing(s Sharing) { a.sharing.Sharing = s }

// RecordArrival records the arrival of a request. Contention control assumes that the other
// VMs get as many requests as this one.
func (a *Allocator) RecordArrival(now time.Time) {
	a.sharing.decay(now)
	a.sharing.arrivals++
	a.backlog.recordArrival(now)
}

func (s *sharingState) decay(now time.Time) {
	if dt := now.Sub(s.arrivalsAt); dt > 0 {
		s.arrivals *= max(0, 1-dt.Seconds()/arrivalWindow.Seconds())
		s.arrivalsAt = now
	}
}

// contentionPenalty returns the penalty in seconds for a server that has free memory for the
// given number of requests. The random factor keeps VMs that see the same free memory from
// choosing the same server.
func (s *sharingState) contentionPenalty(requestsThatFit float64, sameDC bool) float64 {
	if s.Random == nil {
		return 0
	}
	competitors := s.Far
	if sameDC {
		competitors = s.Near
	}
	expectedDemand := competitors.VMs * s.arrivals * competitors.PropagationDelay.Seconds() / arrivalWindow.Seconds()
	safeRequests := 1 + expectedDemand + demandDeviations*math.Sqrt(expectedDemand)
	if requestsThatFit >= safeRequests {
		return 0
	}
	return fullServerPenalty.Seconds() * (1 - requestsThatFit/safeRequests) * 2 * s.Random()
}
