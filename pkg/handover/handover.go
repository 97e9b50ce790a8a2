// Package handover decides which entry VMs the directory sends callers to, and which
// generations a stopping VM still accepts. It derives both from the state that the VMs
// report to each other. It does no I/O and reads no clock.
//
// Invariants:
//   - a VM that is ready and has reported recently is published; a stale VM, one without
//     recent reports, is not published while another can be;
//   - while all VMs are stopping, those that accept requests for the longest time are
//     published;
//   - a stopping VM accepts no generation that another VM could serve, once callers had time
//     to learn of that VM, and none that is not expected to end before its exit;
//   - a stopping VM begins further runs of an answer of which the caller has a part until it exits
//     (see BeginsRun);
//   - no VM ends a run that may be sound before another one has begun in its place (see Leaves).
package handover

import (
	"slices"
	"time"
)

const (
	// staleIntervals is the number of mean report intervals without a report after which
	// the directory considers a VM gone. A VM that is only slow loses its callers for a
	// moment.
	staleIntervals = 5
	// maxAcceptTime is the longest time after the stop order for which the directory names a
	// stopping VM while others stopped later, and for which it accepts plain requests of any
	// length. The platform excuses a request that the VM's exit interrupts only if it was sent
	// within 3 s of the order.
	maxAcceptTime = 2800 * time.Millisecond
	// maxAcceptShare bounds that time by a fraction of the time from the stop order to the
	// exit, for short grace times.
	maxAcceptShare = 0.38
	// maxAcceptTimeWithPeer is the longest time after the stop order for which a VM accepts
	// generations while another VM is ready. Callers keep the directory's answer for a
	// second, some of them for three seconds.
	maxAcceptTimeWithPeer = 2400 * time.Millisecond
	// maxAcceptShareWithPeer bounds that time by a fraction of the time from the stop order
	// to the exit, for short grace times.
	maxAcceptShareWithPeer = 0.33
	// restartTime is the time from a VM's exit until it accepts callers again.
	restartTime = 900 * time.Millisecond
	// redirectDelay is the retry delay of callers that another VM accepts.
	redirectDelay = 100 * time.Millisecond
)

// VM is the known state of an entry VM.
type VM struct {
	Address string
	// Stale is set while the VM's reports are overdue. It is never set for the local VM.
	Stale bool
	// Stopping is set once the VM has been ordered to stop.
	Stopping bool
	// StopOrderedAt is the time of the stop order.
	StopOrderedAt time.Time
	// ExitDeadline is the latest time at which a stopping VM exits.
	ExitDeadline time.Time
}

// IsStale reports whether a VM is to be considered gone, given the time of its last report and
// the mean interval of its reports.
func IsStale(now, lastReport time.Time, interval time.Duration) bool {
	return now.Sub(lastReport) > staleIntervals*interval
}

// accepts reports whether the stop order of a VM, if any, is so recent that callers may be sent to
// it while no other VM is ready.
func (v *VM) accepts(now time.Time) bool {
	return !v.Stopping || now.Before(v.StopOrderedAt.Add(v.shareOfGrace(maxAcceptTime, maxAcceptShare)))
}

// shareOfGrace returns a fraction of the time from the stop order to the exit, but at most
// limit.
func (v *VM) shareOfGrace(limit time.Duration, share float64) time.Duration {
	return min(limit, time.Duration(share*float64(v.ExitDeadline.Sub(v.StopOrderedAt))))
}

// AnyReady reports whether any of the VMs is neither stopping nor stale.
func AnyReady(vms []VM) bool {
	return slices.ContainsFunc(vms, func(v VM) bool { return !v.Stopping && !v.Stale })
}

// PublishedAddresses returns the addresses to which the directory sends callers: the ready
// VMs, else the stopping VMs that still accept generations and got the latest stop orders,
// else all VMs that are not stale.
func PublishedAddresses(now time.Time, vms []VM) []string {
	chosen := filter(vms, func(v VM) bool { return !v.Stopping && !v.Stale })
	if len(chosen) == 0 {
		chosen = filter(vms, func(v VM) bool { return v.Stopping && !v.Stale && v.accepts(now) })
		if len(chosen) > 0 { // VMs that were ordered to stop earlier refuse sooner
			last := slices.MaxFunc(chosen, func(a, b VM) int { return a.StopOrderedAt.Compare(b.StopOrderedAt) })
			chosen = filter(chosen, func(v VM) bool { return last.StopOrderedAt.Sub(v.StopOrderedAt) < stopOrderTie })
		}
	}
	if len(chosen) == 0 {
		chosen = filter(vms, func(v VM) bool { return !v.Stale })
	}
	addresses := make([]string, 0, len(chosen))
	for _, v := range chosen {
		addresses = append(addresses, v.Address)
	}
	slices.Sort(addresses)
	return addresses
}

// stopOrderTie is the difference between two stop orders below which both VMs are published.
const stopOrderTie = 500 * time.Millisecond

// AcceptsGeneration reports whether a VM accepts a generation now that lasts at most a given
// time. While another VM is ready, a stopping VM accepts only those of callers that may not have
// learnt of it.
func AcceptsGeneration(now time.Time, self VM, others []VM, longest time.Duration) bool {
	if self.Stopping && AnyReady(others) && !now.Before(self.StopOrderedAt.Add(self.shareOfGrace(maxAcceptTimeWithPeer, maxAcceptShareWithPeer))) {
		return false
	}
	return self.EndsBeforeExit(now, longest)
}

// EndsBeforeExit reports whether work that starts now and lasts at most a given time ends before
// the VM exits.
func (v *VM) EndsBeforeExit(now time.Time, longest time.Duration) bool {
	return !v.Stopping || now.Add(longest).Before(v.ExitDeadline)
}

// Run describes a run of a request that a VM is about to begin.
type Run struct {
	// Continues is set if the caller has a part of the answer already.
	Continues bool
	// FirstPart is the expected time to the next part of the answer.
	FirstPart time.Duration
	// Longest is the longest time to the end of the answer, which is that of the largest answer that
	// the request allows.
	Longest time.Duration
}

// BeginsRun reports whether a VM begins a run now. It decides for all front ends what a stopping VM
// owes a caller:
//
//   - The caller that has got nothing loses nothing if it goes to another VM, so that the run begins
//     only if even the largest answer would end before the exit.
//   - Only a further run can complete an answer on the connection on which the caller has got a part of
//     it, and most answers are far shorter than the largest one. The run begins unless not even the next
//     part is expected before the exit. The caller may continue an answer that the exit interrupts
//     through another VM, as if the run had not begun.
func (v *VM) BeginsRun(now time.Time, r Run) bool {
	if r.Continues {
		return v.EndsBeforeExit(now, r.FirstPart)
	}
	return v.EndsBeforeExit(now, r.Longest)
}

// Departure describes a run that should leave its chain, because a server of the chain is about to end
// or has failed.
type Departure struct {
	// MayBeSound is set unless the run is known to have failed.
	MayBeSound bool
	// ServersEnd is the earliest time at which a server of its chain is expected to end; zero if none is.
	ServersEnd time.Time
}

// Way is how a run leaves its chain.
type Way int

const (
	// Stay means that the run goes on where it is.
	Stay Way = iota
	// BeginFirst means that the run ends once another one has begun on another chain.
	BeginFirst
	// EndFirst means that the run ends before another one begins.
	EndFirst
)

// Leaves decides how a run leaves its chain. Nothing that may be sound is given up for what may be
// refused: the run goes on until its successor has begun, and stays if this VM exits before a server
// of its chain ends. A run that has failed holds memory of engines for nothing.
func (v *VM) Leaves(d Departure) Way {
	switch {
	case !d.MayBeSound:
		return EndFirst
	case v.Stopping && !v.ExitDeadline.After(d.ServersEnd):
		return Stay
	}
	return BeginFirst
}

// AcceptsPlain reports whether a VM accepts a request of a plain service now that lasts at most a
// given time. The time is that of the route or of the caller, which most requests stay far below,
// so that it is not applied to the requests that the platform excuses.
func AcceptsPlain(now time.Time, self VM, longest time.Duration) bool {
	return self.accepts(now) || self.EndsBeforeExit(now, longest)
}

// RetryDelay returns the retry delay of callers that a stopping VM refuses. It is short if
// another VM can serve a request that lasts at most a given time; otherwise it lasts until the
// first of the VMs has restarted, plus jitter. random is in [0, 1).
func RetryDelay(now time.Time, self VM, others []VM, longest time.Duration, random float64) time.Duration {
	if slices.ContainsFunc(others, func(v VM) bool {
		return !v.Stale && v.accepts(now) && v.EndsBeforeExit(now.Add(redirectDelay), longest)
	}) {
		return redirectDelay
	}
	delay := restartTime // if no exit time is known
	exits := filter(append([]VM{self}, others...), func(v VM) bool { return v.Stopping && !v.Stale && !v.ExitDeadline.IsZero() })
	if len(exits) > 0 {
		first := slices.MinFunc(exits, func(a, b VM) int { return a.ExitDeadline.Compare(b.ExitDeadline) })
		delay = max(first.ExitDeadline.Add(restartTime).Sub(now), redirectDelay)
	}
	return delay + time.Duration(random*float64(retryJitter))
}

// retryJitter is the range of the jitter that spreads the retries of refused callers.
const retryJitter = 400 * time.Millisecond

func filter(vms []VM, keep func(VM) bool) []VM {
	var out []VM
	for _, v := range vms {
		if keep(v) {
			out = append(out, v)
		}
	}
	return out
}
