// Package storewatch decides which entry VMs call the platform's store and how often
// they try again after failures. It is pure.
//
// A few VMs read for all, and the others learn from them, so that the calls do not grow
// with the fleet; in an outage they must not grow either. The VMs are ordered by a hash
// of their identity, because neighbours by name often share a data centre.
//
// Invariants:
//   - a VM that hears no watcher watches the store itself;
//   - of VMs that hear each other and reach the store, one reads the list of upstreams;
//   - while the store answers nobody, only the first watchers go on asking often.
package storewatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// Candidates is the number of VMs that stay in the group from which the leader comes.
	Candidates = 4
	// Watchers is the number of VMs that hold a read of the configuration. If the store
	// turns away a third of the VMs, all of them are concerned once in 700 times.
	Watchers = 6
	// Fresh is the age of news that counts: several intervals of the news in a fleet of
	// some hundred VMs.
	Fresh = 1500 * time.Millisecond

	// retryFirst is the pause after the first failed call of the first watchers, which are
	// to notice the store's return, retryWatcher that after further ones. VMs for which
	// others watch wait for retryOthers.
	retryFirst   = 300 * time.Millisecond
	retryWatcher = 600 * time.Millisecond
	retryOthers  = 4 * time.Second
)

// Peer is what is known of another VM.
type Peer struct {
	ID    fleet.VMID
	Heard time.Time
	// Away is set while its own calls to the store fail, Reached if one was answered
	// within ReachedFor.
	Away     bool
	Reached  bool
	Watching bool
	Leading  bool
	Stopping bool
}

// ReachedFor is how long an answer of the store counts as a sign that it is there: the
// calls of the candidates come each second.
const ReachedFor = 2500 * time.Millisecond

// LeaderSilence is how long no VM must have been heard to lead before a deputy does: the
// group finds out only seconds after the leader's end, and may give the lead to a VM that
// the store does not answer.
const LeaderSilence = 1500 * time.Millisecond

// awayBefore is the same while the store answers nobody who is heard: then the group can
// name no leader.
const awayBefore = 600 * time.Millisecond

// Self is the own VM's state.
type Self struct {
	ID fleet.VMID
	// Away is set while its own calls to the store fail, since AwaySince.
	Away      bool
	AwaySince time.Time
	Stopping  bool
	// LeaderHeard is when a VM, this one included, was last known to lead.
	LeaderHeard time.Time
	// VMs is the number of live VMs by membership, this one included.
	VMs int
}

// Duty says what a VM does at the store.
type Duty struct {
	// ReadsList: it reads the list of upstreams for all.
	ReadsList bool
	// Watches: it holds a read of the configuration.
	Watches bool
	// Candidate: it stays in the group from which the leader comes.
	Candidate bool
	// First: it is among the first watchers, whether or not the store answers it.
	First bool
	// OthersTry: the store has answered none of the watchers that are heard of late, and
	// they go on asking it, so that this VM need not.
	OthersTry bool
	// OtherLeads: another VM gives orders to engines.
	OtherLeads bool
	// MayDeputise: this VM is to give orders to engines though the group does not say so.
	// Nobody who is heard leads or comes before it, and either the store has answered
	// nobody of late, or no leader was heard for a while by most of the VMs.
	MayDeputise bool
	// Most: this VM hears most of the live VMs.
	Most bool
}

// Rank orders the VMs.
func Rank(id fleet.VMID) uint64 { return xxhash.Sum64String("store\x00" + string(id)) }

// Assign returns the duty of a VM from what it knows of the others.
func Assign(now time.Time, self Self, peers []Peer) Duty {
	own := Rank(self.ID)
	before, sound := 0, 0 // VMs before this one, and those of them that are not away
	watching := false
	d := Duty{}
	heard, first, reached := 1, !self.Stopping, false
	for _, p := range peers {
		if now.Sub(p.Heard) > Fresh {
			continue
		}
		heard++
		d.OtherLeads = d.OtherLeads || p.Leading
		if p.Stopping {
			continue
		}
		watching = watching || p.Watching
		reached = reached || p.Reached && !p.Away
		if Rank(p.ID) > own {
			continue
		}
		before++
		first = false
		if !p.Away {
			sound++
		}
	}
	d.ReadsList = !self.Away && !self.Stopping && sound == 0
	d.Candidate = sound < Candidates
	d.First = before < Watchers
	d.Watches = sound < Watchers || !watching
	d.OthersTry = watching && !reached && !d.First
	d.Most = 2*heard > self.VMs
	storeless := self.Away && !reached && now.Sub(self.AwaySince) >= awayBefore
	leaderless := d.Most && now.Sub(self.LeaderHeard) >= LeaderSilence
	d.MayDeputise = first && !d.OtherLeads && (storeless || leaderless)
	return d
}

// RetryPause returns the pause after a number of failed calls in a row; random is in
// [0, 1).
func RetryPause(failures int, d Duty, random float64) time.Duration {
	pause := retryOthers
	if d.First {
		pause = min(retryFirst*time.Duration(max(failures, 1)), retryWatcher)
	}
	return time.Duration((0.75 + random/2) * float64(pause))
}
