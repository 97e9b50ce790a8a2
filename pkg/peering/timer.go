package peering

import "time"

const (
	// minStateInterval is the mean interval between a VM's state messages in a fleet of up
	// to smallFleet VMs. Reservations that other VMs have made since their last message lead
	// to refusals by engines. Under heavy load on a fleet of 31 VMs, each tripling of the
	// message rate therefore raised the value of the served requests by 3 to 7%.
	minStateInterval = 100 * time.Millisecond
	// smallFleet is the number of VMs above which the interval grows with the fleet, so
	// that the number of messages that each VM receives per second stays constant.
	smallFleet = 32
)

// StateInterval returns the mean interval between a VM's state messages if about vms VMs
// exchange them.
func StateInterval(vms int) time.Duration {
	return minStateInterval * time.Duration(max(1, (vms+smallFleet-1)/smallFleet))
}

// remoteFactor multiplies the interval between state messages to other data centres in a
// fleet of more than smallFleet VMs. Traffic between data centres is charged for, and most
// chains are chosen within one data centre.
const remoteFactor = 2

// RemoteStateInterval returns the mean interval between a VM's state messages to other
// data centres in a fleet of vms VMs.
func RemoteStateInterval(vms int) time.Duration {
	if vms <= smallFleet {
		return StateInterval(vms)
	}
	return remoteFactor * StateInterval(vms)
}

// StateTimer decides when a VM sends its state to the others.
// Invariant: an event that many VMs observe at the same moment does not synchronize their
// regular messages. Synchronized VMs would all choose servers by equally old reservations
// until the next round, and would all choose the same ones.
type StateTimer struct {
	next      time.Time
	requested bool
	// leftOut is set if the last regular message was left out.
	leftOut bool
}

// SendNow requests one message at once, in addition to the regular ones.
func (t *StateTimer) SendNow() { t.requested = true }

// Due reports whether a message is due, and then schedules the next one. mean is the mean
// interval between regular messages. random, in [0, 1), varies it by up to half.
func (t *StateTimer) Due(now time.Time, mean time.Duration, random float64) bool {
	return t.DueIfChanged(now, mean, random, true)
}

// DueIfChanged is Due for a state that other VMs need less often while it does not change: of
// two regular messages in a row with an unchanged state, the first is left out.
func (t *StateTimer) DueIfChanged(now time.Time, mean time.Duration, random float64, changed bool) bool {
	regular := !now.Before(t.next)
	if !regular && !t.requested {
		return false
	}
	if regular {
		t.next = now.Add(time.Duration((0.5 + random) * float64(mean)))
	}
	if !changed && !t.requested && !t.leftOut {
		t.leftOut = true
		return false
	}
	t.requested, t.leftOut = false, false
	return true
}
