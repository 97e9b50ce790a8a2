// Package storewatch decides which entry VMs call the platform's store, and how soon
// they retry after failures. It performs no I/O.
//
// A few VMs read the store on behalf of all, and the others receive the results from
// them. The number of calls therefore does not grow with the fleet, and it must not grow
// in an outage either. The VMs are ordered by a hash of their IDs, because VMs with
// similar names often share a data centre.
//
// Invariants:
//   - a VM that receives state from no watcher watches the store itself;
//   - of the VMs that receive each other's state and reach the store, one reads the list
//     of upstreams;
//   - while the store answers no VM, only the first watchers keep retrying often.
package storewatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// Candidates is the number of VMs that stay in the group from which the leader is chosen.
	Candidates = 4
	// Watchers is the number of VMs that keep a read of the configuration open at the
	// store. If the store rejects the calls of a third of the VMs, the chance that these
	// include all watchers is 1 in 700.
	Watchers = 6
	// PeerFreshFor is how long the state received from another VM is used. It covers several
	// intervals between the state messages of a fleet of a few hundred VMs.
	PeerFreshFor = 1500 * time.Millisecond

	// watcherRetryDelay is the delay of a first watcher after its first failed call. It is
	// short, so that the first watchers notice the end of an outage soon.
	watcherRetryDelay = 300 * time.Millisecond
	// watcherRetryDelayMax is the delay of a first watcher after further failed calls.
	watcherRetryDelayMax = 600 * time.Millisecond
	// otherRetryDelay is the delay of a VM that others watch for.
	otherRetryDelay = 4 * time.Second
)

// Peer is the state last received from another VM.
type Peer struct {
	ID fleet.VMID
	// LastSeen is when the state was received.
	LastSeen time.Time
	// StoreUnavailable is set while the VM's own calls to the store fail.
	StoreUnavailable bool
	// StoreReached is set if the store answered the VM within StoreReachedFor.
	StoreReached bool
	// Watching is set while the VM keeps a read of the configuration open at the store.
	Watching bool
	// Leading is set while the VM gives orders to engines.
	Leading bool
	// Stopping is set while the VM drains before its exit.
	Stopping bool
}

// StoreReachedFor is how long an answer of the store counts as a sign that the store is
// available. Candidates call the store each second.
const StoreReachedFor = 2500 * time.Millisecond

// LeaderTimeout is the time without a known leader after which a deputy leads. The group
// notices the end of a leader only after seconds, and may choose a VM that the store does
// not answer.
const LeaderTimeout = 1500 * time.Millisecond

// storeOutageTimeout is the time for which a VM's own calls to the store must have failed
// before it leads as a deputy while the store answers no VM. It is shorter than
// LeaderTimeout, because the group cannot choose a leader in such an outage.
const storeOutageTimeout = 600 * time.Millisecond

// Self is the state of this VM.
type Self struct {
	ID fleet.VMID
	// StoreUnavailable is set while this VM's calls to the store fail.
	StoreUnavailable bool
	// UnavailableSince is when they began to fail.
	UnavailableSince time.Time
	// Stopping is set while this VM drains before its exit.
	Stopping bool
	// LeaderLastSeen is when a VM, this one included, was last known to lead.
	LeaderLastSeen time.Time
	// VMs is the number of live VMs according to membership, including this one.
	VMs int
}

// Duty is a VM's share of the calls to the store.
type Duty struct {
	// ReadsList: the VM reads the list of upstreams for all VMs.
	ReadsList bool
	// WatchesConfig: the VM keeps a read of the configuration open at the store.
	WatchesConfig bool
	// Candidate: the VM stays in the group from which the leader is chosen.
	Candidate bool
	// FirstWatcher: the VM is one of the first Watchers VMs in the order, whether or not
	// the store answers it.
	FirstWatcher bool
	// OthersRetry: the store has recently answered no VM that this VM knows of, and the
	// watchers keep retrying. This VM therefore need not.
	OthersRetry bool
	// OtherLeads: another VM gives orders to engines.
	OtherLeads bool
	// MayDeputise: this VM should give orders to engines although the group has not chosen
	// it. No known VM leads or precedes this one in the order, and one of two conditions
	// holds: the store has recently answered neither this VM nor a known one, or this VM
	// receives state from most live VMs and none has led for LeaderTimeout.
	MayDeputise bool
	// SeesMajority: this VM receives state from more than half of the live VMs, itself included.
	SeesMajority bool
}

// Rank returns the hash that orders the VMs; the lowest is first.
func Rank(id fleet.VMID) uint64 { return xxhash.Sum64String("store\x00" + string(id)) }

// Assign returns the duty of this VM, given the state received from the other VMs.
func Assign(now time.Time, self Self, peers []Peer) Duty {
	ownRank := Rank(self.ID)
	preceding, precedingReachable := 0, 0 // VMs that precede this one, and those of them that reach the store
	watching := false
	d := Duty{}
	seen, first, storeReached := 1, !self.Stopping, false
	for _, p := range peers {
		if now.Sub(p.LastSeen) > PeerFreshFor {
			continue
		}
		seen++
		d.OtherLeads = d.OtherLeads || p.Leading
		if p.Stopping {
			continue
		}
		watching = watching || p.Watching
		storeReached = storeReached || p.StoreReached && !p.StoreUnavailable
		if Rank(p.ID) > ownRank {
			continue
		}
		preceding++
		first = false
		if !p.StoreUnavailable {
			precedingReachable++
		}
	}
	d.ReadsList = !self.StoreUnavailable && !self.Stopping && precedingReachable == 0
	d.Candidate = precedingReachable < Candidates
	d.FirstWatcher = preceding < Watchers
	d.WatchesConfig = precedingReachable < Watchers || !watching
	d.OthersRetry = watching && !storeReached && !d.FirstWatcher
	d.SeesMajority = 2*seen > self.VMs
	storeOutage := self.StoreUnavailable && !storeReached && now.Sub(self.UnavailableSince) >= storeOutageTimeout
	leaderless := d.SeesMajority && now.Sub(self.LeaderLastSeen) >= LeaderTimeout
	d.MayDeputise = first && !d.OtherLeads && (storeOutage || leaderless)
	return d
}

// RetryDelay returns the delay before the next call after a number of consecutive failed
// calls. random, in [0, 1), spreads it between 75% and 125% of its nominal value.
func RetryDelay(failures int, d Duty, random float64) time.Duration {
	delay := otherRetryDelay
	if d.FirstWatcher {
		delay = min(watcherRetryDelay*time.Duration(max(failures, 1)), watcherRetryDelayMax)
	}
	return time.Duration((0.75 + random/2) * float64(delay))
}
