package admission

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// evenPart is the fraction of the slots that is divided evenly between the
	// VMs whatever their demand, so that a quiet VM can start work at once.
	evenPart = 0.5
	// shareHalfLife is how fast a share falls back to an even one when the
	// demands of the other VMs are no longer heard.
	shareHalfLife = 10 * time.Second
)

// Shares divides a model's slots between entry VMs by the demands that they tell
// each other. It is pure and not safe for concurrent use.
//
// Invariants: VMs that heard the same demands take no more than all slots
// together; without news a VM's share decays to 1/(live VMs).
type Shares struct {
	self  fleet.VMID
	heard map[fleet.VMID]demand
}

type demand struct {
	value float64
	at    time.Time
}

// NewShares returns the shares as the VM self sees them.
func NewShares(self fleet.VMID) *Shares {
	return &Shares{self: self, heard: make(map[fleet.VMID]demand)}
}

// Heard books the demand of a VM, its own among them: requests in flight and
// queued, for example, in any unit common to all VMs.
func (s *Shares) Heard(now time.Time, vm fleet.VMID, value float64) {
	s.heard[vm] = demand{max(value, 0), now}
}

// Fraction returns this VM's part of the slots. live lists the live VMs, self
// included.
func (s *Shares) Fraction(now time.Time, live []fleet.VMID) float64 {
	even := 1 / float64(max(len(live), 1))
	sum, oldest := 0.0, time.Duration(0)
	for _, vm := range live {
		d, ok := s.heard[vm]
		if !ok {
			return even
		}
		sum += d.value
		oldest = max(oldest, now.Sub(d.at))
	}
	if sum <= 0 {
		return even
	}
	trust := (1 - evenPart) * math.Exp2(-float64(oldest)/float64(shareHalfLife))
	return (1-trust)*even + trust*s.heard[s.self].value/sum
}

// Forget drops VMs that are no longer live.
func (s *Shares) Forget(live []fleet.VMID) {
	known := make(map[fleet.VMID]bool, len(live))
	for _, vm := range live {
		known[vm] = true
	}
	for vm := range s.heard {
		if !known[vm] {
			delete(s.heard, vm)
		}
	}
}
