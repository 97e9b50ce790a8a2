// Package handover decides which entry VMs callers are sent to, and what a VM that stops
// still takes, from what the VMs say of themselves. It is pure.
//
// Invariants:
//   - a VM that is ready and heard of late is named; one that is not heard of is not named
//     while another can be;
//   - while all VMs stop, those are named that take requests for longest;
//   - a VM that stops takes no generation that callers could take to another VM, once they
//     had time to learn of it, and none that its end may cut.
package handover

import (
	"slices"
	"time"
)

const (
	// quietIntervals is the number of mean intervals of the news without which a VM is
	// taken as gone by the directory. One that is merely slow loses callers for a moment.
	quietIntervals = 5
	// takesFor is how long after the order to stop a VM takes generations at most, and
	// takeShare the part of the time until its exit, while no other VM is ready. The platform
	// excuses a generation that its end cuts only if it was sent within 3 s of the order.
	takesFor  = 2800 * time.Millisecond
	takeShare = 0.38
	// leaveAfter and leaveShare are the same while another VM is ready: callers keep the
	// directory's answer for a second, and some of them three times as long.
	leaveAfter = 2400 * time.Millisecond
	leaveShare = 0.33
	// restartTime is the time from a VM's exit until it takes callers again.
	restartTime = 900 * time.Millisecond
	// elsewhere is when callers come back that another VM takes.
	elsewhere = 100 * time.Millisecond
)

// VM is what is known of an entry VM.
type VM struct {
	Address string
	// Quiet is set while nothing is heard of it, for the own VM never.
	Quiet bool
	// Stopping is set once it was ordered to stop, at Ordered; it exits at Exit at the latest.
	Stopping bool
	Ordered  time.Time
	Exit     time.Time
}

// Quiet reports whether a VM whose news has a mean interval, and that was last heard at a
// time, is to be taken as gone.
func Quiet(now, heard time.Time, interval time.Duration) bool {
	return now.Sub(heard) > quietIntervals*interval
}

// takes reports whether a VM takes generations as far as only its own stop matters.
func (v *VM) takes(now time.Time) bool {
	return !v.Stopping || now.Before(v.Ordered.Add(v.part(takesFor, takeShare)))
}

// part returns a part of the time from the order to the exit, at most limit.
func (v *VM) part(limit time.Duration, share float64) time.Duration {
	return min(limit, time.Duration(share*float64(v.Exit.Sub(v.Ordered))))
}

// Ready reports whether one of the VMs takes all that comes.
func Ready(vms []VM) bool {
	return slices.ContainsFunc(vms, func(v VM) bool { return !v.Stopping && !v.Quiet })
}

// Named returns the addresses that callers are sent to.
func Named(now time.Time, vms []VM) []string {
	chosen := filter(vms, func(v VM) bool { return !v.Stopping && !v.Quiet })
	if len(chosen) == 0 {
		chosen = filter(vms, func(v VM) bool { return v.Stopping && !v.Quiet && v.takes(now) })
		if len(chosen) > 0 { // the others refuse sooner
			last := slices.MaxFunc(chosen, func(a, b VM) int { return a.Ordered.Compare(b.Ordered) })
			chosen = filter(chosen, func(v VM) bool { return last.Ordered.Sub(v.Ordered) < tie })
		}
	}
	if len(chosen) == 0 {
		chosen = filter(vms, func(v VM) bool { return !v.Quiet })
	}
	addresses := make([]string, 0, len(chosen))
	for _, v := range chosen {
		addresses = append(addresses, v.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// tie is the difference of two orders to stop below which both VMs are named.
const tie = 500 * time.Millisecond

// TakesGeneration reports whether a VM takes a generation now that takes up to a time.
func TakesGeneration(now time.Time, self VM, others []VM, longest time.Duration) bool {
	if self.Stopping && Ready(others) {
		return now.Before(self.Ordered.Add(self.part(leaveAfter, leaveShare)))
	}
	return self.takes(now) || now.Add(longest).Before(self.Exit)
}

// ComeBack returns when callers whom a stopping VM refuses come back: at once if another VM
// takes them, otherwise when the first of the VMs is back. random is in [0, 1).
func ComeBack(now time.Time, self VM, others []VM, random float64) time.Duration {
	if slices.ContainsFunc(others, func(v VM) bool { return !v.Quiet && v.takes(now) }) {
		return elsewhere
	}
	after := restartTime // if none says when it exits
	exits := filter(append([]VM{self}, others...), func(v VM) bool { return v.Stopping && !v.Quiet && !v.Exit.IsZero() })
	if len(exits) > 0 {
		first := slices.MinFunc(exits, func(a, b VM) int { return a.Exit.Compare(b.Exit) })
		after = max(first.Exit.Add(restartTime).Sub(now), elsewhere)
	}
	return after + time.Duration(random*float64(spreadBack))
}

// spreadBack is the time over which those who were refused come back.
const spreadBack = 400 * time.Millisecond

func filter(vms []VM, keep func(VM) bool) []VM {
	var out []VM
	for _, v := range vms {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
