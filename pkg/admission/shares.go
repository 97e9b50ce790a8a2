package admission

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// evenFraction is the fraction of the slots that is divided evenly between the VMs,
	// regardless of their demand, so that a VM with little load can start work at once.
	evenFraction = 0.5
	// shareHalfLife is the half-life with which a share returns to an even one when the
	// demands of other VMs are no longer received.
	shareHalfLife = 10 * time.Second
)

// Shares divides a model's slots between entry VMs by the demands that they report to each
// other. It is pure and not safe for concurrent use.
//
// Invariants:
//   - VMs with the same recorded demands together take at most all slots.
//   - A VM that receives no demands returns to a share of 1/(number of live VMs).
type Shares struct {
	self    fleet.VMID
	demands map[fleet.VMID]demand
}

type demand struct {
	value      float64
	recordedAt time.Time
}

// NewShares returns the Shares of the VM self, without any recorded demand.
func NewShares(self fleet.VMID) *Shares {
	return &Shares{self: self, demands: make(map[fleet.VMID]demand)}
}

// RecordDemand records the demand of a VM, which may be self. The demand can have any unit
// that all VMs use, for example the number of requests in flight and queued.
func (s *Shares) RecordDemand(now time.Time, vm fleet.VMID, value float64) {
	s.demands[vm] = demand{max(value, 0), now}
}

// Fraction returns this VM's fraction of the slots. live lists the live VMs, including self.
func (s *Shares) Fraction(now time.Time, live []fleet.VMID) float64 {
	even := 1 / float64(max(len(live), 1))
	sum, oldest := 0.0, time.Duration(0)
	for _, vm := range live {
		d, ok := s.demands[vm]
		if !ok {
			return even
		}
		sum += d.value
		oldest = max(oldest, now.Sub(d.recordedAt))
	}
	if sum <= 0 {
		return even
	}
	demandWeight := (1 - evenFraction) * math.Exp2(-float64(oldest)/float64(shareHalfLife))
	return (1-demandWeight)*even + demandWeight*s.demands[s.self].value/sum
}

// Retain deletes the demands of all VMs that are not in live.
func (s *Shares) Retain(live []fleet.VMID) {
	isLive := make(map[fleet.VMID]bool, len(live))
	for _, vm := range live {
		isLive[vm] = true
	}
	for vm := range s.demands {
		if !isLive[vm] {
			delete(s.demands, vm)
		}
	}
}
