// Package storewatch decides which entry VMs call the platform's store, how soon they retry
// after failures, and whether a VM should lead without having been chosen. It performs no I/O.
//
// A few VMs read the store on behalf of all, and the others receive the results from
// them. The number of calls therefore does not grow with the fleet, not even in an outage.
// The VMs are ordered by a hash of their IDs, so that the first VMs in the order are spread
// over the data centres: VMs with similar names often share one. The first watchers are the
// first Watchers VMs in the order, whether or not the store answers them.
//
// Invariants:
//   - a VM that receives state from no watcher watches the store itself;
//   - of the VMs that are not stopping, receive each other's state and reach the store,
//     exactly one reads the list of upstreams;
//   - of the VMs whose calls fail, only the first watchers retry often.
package storewatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// Candidates is the number of VMs that reach the store and stay in the group from which
	// the leader is chosen. VMs before the last of them that do not reach it stay as well.
	Candidates = 4
	// Watchers is the number of VMs that reach the store and keep a read of the configuration
	// open at it. VMs before the last of them that do not reach it keep trying as well. If the
	// store rejects the calls of a third of the VMs, the chance that all of the first watchers
	// are among those VMs is about 1 in 700.
	Watchers = 6
	// PeerStateLifetime is how long the state received from another VM is used. It covers several
	// intervals between the state messages of a fleet of a few hundred VMs.
	PeerStateLifetime = 1500 * time.Millisecond

	// firstWatcherRetryDelay is the delay of a first watcher after its first failed call. It
	// is short, so that the first watchers notice the end of an outage soon.
	firstWatcherRetryDelay = 300 * time.Millisecond
	// firstWatcherRetryDelayMax is the delay of a first watcher after further failed calls.
	firstWatcherRetryDelayMax = 600 * time.Millisecond
	// otherRetryDelay is the delay of a VM that is not a first watcher.
	otherRetryDelay = 4 * time.Second
)

// Peer is the state last received from another VM.
type Peer struct {
	ID fleet.VMID
	// ReceivedAt is when the state was received.
	ReceivedAt time.Time
	// StoreUnavailable is set while the VM's own calls to the store fail.
	StoreUnavailable bool
	// StoreReached is set if the store answered the VM within the last StoreAnswerLifetime.
	StoreReached bool
	// Watching is set while the VM keeps a read of the configuration open at the store, or
	// retries it.
	Watching bool
	// Leading is set while the VM gives orders to engines.
	Leading bool
	// Stopping is set while the VM drains before its exit.
	Stopping bool
}

// StoreAnswerLifetime is how long an answer of the store counts as a sign that the store is
// available. It covers two calls of a candidate, which calls the store each second.
const StoreAnswerLifetime = 2500 * time.Millisecond

// LeaderTimeout is how long no leader must have been known before a VM that sees a majority
// leads as a deputy, that is, without having been chosen by the group. The group takes several
// seconds to notice that a leader has gone, and may then choose a VM that the store does not
// answer.
const LeaderTimeout = 1500 * time.Millisecond

// storeOutageTimeout is the time for which a VM's own calls to the store must have failed
// before it leads as a deputy while the store answers no VM. It is shorter than
// LeaderTimeout, because the group cannot choose a leader in such an outage.
const storeOutageTimeout = 600 * time.Millisecond

// FormationTime is the time after the start of a VM in which it may not yet know the VMs that
// precede it. In a fleet of 118 VMs that starts at once, most learn of each other within it.
const FormationTime = 3 * time.Second

// Self is the state of this VM.
type Self struct {
	ID fleet.VMID
	// Forming is set for FormationTime after the start of a VM that has others to find.
	Forming bool
	// IsSeed is set if other VMs find the fleet through this one. The seeds are few.
	IsSeed bool
	// StoreUnavailable is set while this VM's calls to the store fail.
	StoreUnavailable bool
	// UnavailableSince is when this VM's calls to the store began to fail.
	UnavailableSince time.Time
	// Stopping is set while this VM drains before its exit.
	Stopping bool
	// LeaderLastSeen is when a VM, this one included, was last known to lead.
	LeaderLastSeen time.Time
	// LiveVMs is the number of live VMs according to membership, including this one.
	LiveVMs int
}

// Duty is what a VM should do, given the state of the others.
type Duty struct {
	// ReadsList is set if the VM reads the list of upstreams for all VMs.
	ReadsList bool
	// WatchesConfig is set if the VM keeps a read of the configuration open at the store, or
	// retries it.
	WatchesConfig bool
	// Candidate is set if the VM stays in the group from which the leader is chosen. Of the VMs
	// that are still forming a fleet, the seeds are, and only they: each member that joins moves
	// the partitions of the group, and with it the lead.
	Candidate bool
	// AmongFirstWatchers is set if the VM is one of the first Watchers VMs in the order,
	// whether or not the store answers it.
	AmongFirstWatchers bool
	// LeavesRetriesToOthers is set if the store has recently answered no other VM that this VM
	// knows of, other VMs keep retrying, and this VM is not a first watcher. It does not need
	// to retry then.
	LeavesRetriesToOthers bool
	// OtherLeads is set if another VM gives orders to engines.
	OtherLeads bool
	// LeadsAsDeputy is set if this VM should give orders to engines although the group has not
	// chosen it. It is not forming a fleet, where the VMs that precede it are not known, and not
	// stopping, no known VM leads, and no known VM that is not stopping precedes it in the
	// order. In addition, either its calls to the store have failed for
	// storeOutageTimeout and the store has recently answered no known VM, or it sees a
	// majority and no VM has led for LeaderTimeout.
	LeadsAsDeputy bool
	// SeesMajority is set if this VM and those that it receives state from are more than half
	// of the live VMs.
	SeesMajority bool
}

// OrderKey returns the hash that orders the VMs; the lowest is first. The prefix makes the
// order differ from others that hash the ID.
func OrderKey(id fleet.VMID) uint64 { return xxhash.Sum64String("store\x00" + string(id)) }

// Assign returns the duty of this VM, given the state received from the other VMs.
func Assign(now time.Time, self Self, peers []Peer) Duty {
	ownKey := OrderKey(self.ID)
	preceding, precedingReachable := 0, 0 // VMs that precede this one, and those of them that reach the store
	peerWatches := false
	d := Duty{}
	seen, mayBeFirst, storeReached := 1, !self.Stopping, false
	for _, p := range peers {
		if now.Sub(p.ReceivedAt) > PeerStateLifetime {
			continue
		}
		seen++
		d.OtherLeads = d.OtherLeads || p.Leading
		if p.Stopping {
			continue
		}
		peerWatches = peerWatches || p.Watching
		storeReached = storeReached || p.StoreReached && !p.StoreUnavailable
		if OrderKey(p.ID) > ownKey {
			continue
		}
		preceding++
		mayBeFirst = false
		if !p.StoreUnavailable {
			precedingReachable++
		}
	}
	d.ReadsList = !self.StoreUnavailable && !self.Stopping && precedingReachable == 0
	if self.Forming { // the VMs that precede a seed are forming as well and do not join
		d.Candidate = self.IsSeed
	} else {
		d.Candidate = precedingReachable < Candidates
	}
	d.AmongFirstWatchers = preceding < Watchers
	d.WatchesConfig = precedingReachable < Watchers || !peerWatches
	d.LeavesRetriesToOthers = peerWatches && !storeReached && !d.AmongFirstWatchers
	d.SeesMajority = 2*seen > self.LiveVMs
	storeOutage := self.StoreUnavailable && !storeReached && now.Sub(self.UnavailableSince) >= storeOutageTimeout
	leaderless := d.SeesMajority && now.Sub(self.LeaderLastSeen) >= LeaderTimeout
	d.LeadsAsDeputy = !self.Forming && mayBeFirst && !d.OtherLeads && (storeOutage || leaderless)
	return d
}

// RetryDelay returns the delay before the next call to the store after the given number of
// consecutive failures. random, in [0, 1), spreads it between 75% and 125% of its nominal
// value.
func RetryDelay(failures int, d Duty, random float64) time.Duration {
	delay := otherRetryDelay
	if d.AmongFirstWatchers {
		delay = min(firstWatcherRetryDelay*time.Duration(max(failures, 1)), firstWatcherRetryDelayMax)
	}
	return time.Duration((0.75 + random/2) * float64(delay))
}
