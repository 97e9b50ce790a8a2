// Package fleetsize estimates how many entry VMs use the same engines while a VM does not receive
// the state of all of them: after its start, and after it has lost sight of VMs that it knew. It
// performs no I/O and reads no clock.
//
// Invariants:
//   - the estimate is never below the number of VMs that are seen;
//   - without new information it falls to that number within Period;
//   - numbers that VMs tell one another do not outlive the start of the VM that uses them.
package fleetsize

import "time"

const (
	// Period bounds the time for which VMs that are not seen are assumed to exist. After a start of
	// 73 VMs at once, each receives state from a third of the others after 3 s and from two thirds
	// after 4 s; generations of VMs that ended last about as long.
	Period = 6 * time.Second
	// DefaultVMs is the number of VMs assumed after a start if nothing is known. It is the size up
	// to which VMs exchange their state at the shortest interval.
	DefaultVMs = 32
	// DefaultPeriod bounds the time for which DefaultVMs is assumed. The seeds answer earlier.
	DefaultPeriod = 2 * time.Second
	// sightShare is the share of the fleet that must be unseen before it counts. The others know
	// the load of a few VMs that ended or start well enough.
	sightShare = 0.1
)

// Estimator estimates the number of VMs. It is not safe for concurrent use.
type Estimator struct {
	startedAt time.Time
	// defaultVMs is assumed while nothing is told.
	defaultVMs int
	// told is the highest number that another VM or a copy named.
	told int
	// peak is the highest number seen within Period, last seen at peakAt.
	peak   int
	peakAt time.Time
}

// New returns an estimator for a VM that starts now. alone is set if no other VM needs to be
// assumed: at the first start of a fleet, which gets no requests yet, or in a fleet without seeds.
func New(now time.Time, alone bool) *Estimator {
	e := &Estimator{startedAt: now, defaultVMs: DefaultVMs}
	if alone {
		e.defaultVMs = 1
	}
	return e
}

// RecordTold records the number of VMs that another VM or a copy in the store names.
func (e *Estimator) RecordTold(vms int) { e.told = max(e.told, vms) }

// RecordSeen records the number of VMs, including this one, whose state is known.
func (e *Estimator) RecordSeen(now time.Time, vms int) {
	if vms >= e.peak || now.Sub(e.peakAt) > Period {
		e.peak, e.peakAt = vms, now
	}
}

// Assumed returns the number of VMs to be assumed, including this one.
func (e *Estimator) Assumed(now time.Time) int {
	assumed := 1
	if now.Sub(e.peakAt) <= Period {
		assumed = e.peak
	}
	age := now.Sub(e.startedAt)
	switch {
	case age > Period:
	case e.told > 0:
		assumed = max(assumed, e.told)
	case age <= DefaultPeriod:
		assumed = max(assumed, e.defaultVMs)
	}
	return max(assumed, 1)
}

// Told returns the number of VMs that this VM names to others, 0 if it knows none. It leaves
// DefaultVMs out, so that a guess is not taken for knowledge.
func (e *Estimator) Told(now time.Time) int {
	known := 0
	if now.Sub(e.peakAt) <= Period && e.peak > 1 {
		known = e.peak
	}
	if now.Sub(e.startedAt) <= Period {
		known = max(known, e.told)
	}
	return known
}

// Unseen returns the number of VMs that are assumed and not seen, or 0 if these are less than a
// tenth of the fleet.
func Unseen(assumed, seen int) int {
	unseen := assumed - seen
	if float64(unseen) < sightShare*float64(assumed) {
		return 0
	}
	return max(unseen, 0)
}
