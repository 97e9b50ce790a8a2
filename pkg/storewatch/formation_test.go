package storewatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/storewatch"
)

// playFormation starts n VMs at once, three of them seeds. Each VM learns of each other one at
// a random time within spread, the seeds of each other at once. It returns how many VMs join
// the group from which the leader is chosen, and how many lead as deputies, until FormationTime
// and a second more have passed. No VM leads meanwhile, as the group has not chosen one.
func playFormation(n int, spread time.Duration, seed uint64) (members, deputies int) {
	random := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(1e9, 0)
	met := make([][]time.Duration, n)
	for i := range met {
		met[i] = make([]time.Duration, n)
		for j := range met[i] {
			if met[i][j] = time.Duration(random.Float64() * float64(spread)); i < 3 && j < 3 {
				met[i][j] = 0
			}
		}
	}
	joined, led := make([]bool, n), make([]bool, n)
	for at := time.Duration(0); at <= storewatch.FormationTime+time.Second; at += tick {
		now := start.Add(at)
		for i := range n {
			var peers []storewatch.Peer
			for j := range n {
				if j != i && met[i][j] <= at {
					peers = append(peers, storewatch.Peer{ID: fleet.VMID(fmt.Sprint("front-", j)), ReceivedAt: now, StoreReached: true, Leading: led[j]})
				}
			}
			d := storewatch.Assign(now, storewatch.Self{
				ID: fleet.VMID(fmt.Sprint("front-", i)), Forming: at < storewatch.FormationTime, IsSeed: i < 3, LeaderLastSeen: start, LiveVMs: len(peers) + 1,
			}, peers)
			joined[i] = joined[i] || d.Candidate
			led[i] = led[i] || d.LeadsAsDeputy
		}
	}
	for i := range n {
		if joined[i] {
			members++
		}
		if led[i] {
			deputies++
		}
	}
	return members, deputies
}

// TestSeedsLeadAFleetThatForms guards against a start without any member in the group: all VMs
// contact the seeds first, so that the seeds soon know VMs that precede them, and these do not join
// yet. When nobody had led for LeaderTimeout, several VMs led as deputies, each ordered all engines,
// and a quiet day of 118 VMs began without complete chains.
func TestSeedsLeadAFleetThatForms(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, n := range []int{4, 13, 118} {
		for at := time.Duration(0); at < storewatch.FormationTime; at += tick {
			now := start.Add(at)
			members := 0
			for i := range n {
				isSeed := i < 3
				var peers []storewatch.Peer
				for j := range n {
					if j != i && (isSeed || j < 3) {
						peers = append(peers, storewatch.Peer{ID: fleet.VMID(fmt.Sprint("front-", j)), ReceivedAt: now, StoreReached: true})
					}
				}
				self := storewatch.Self{ID: fleet.VMID(fmt.Sprint("front-", i)), Forming: true, IsSeed: isSeed, LeaderLastSeen: start, LiveVMs: len(peers) + 1}
				d := storewatch.Assign(now, self, peers)
				if d.Candidate && !isSeed {
					t.Fatalf("%d VMs, after %v: VM %d is a candidate", n, at, i)
				}
				if d.Candidate {
					members++
				}
			}
			if members != 3 {
				t.Fatalf("%d VMs, after %v: %d of 3 seeds are candidates", n, at, members)
			}
		}
	}
}

// TestFleetThatStartsAtOnceHasOneLeader guards against VMs that lead, or join the group of
// candidates, because they do not know yet who precedes them. After a loss of power in a fleet of
// 118 VMs all of them joined the group, whose lead then moved for seconds, and 13 led as
// deputies at once.
func TestFleetThatStartsAtOnceHasOneLeader(t *testing.T) {
	for _, n := range []int{4, 13, 118} {
		for seed := range uint64(max(1, 300/n/n)) {
			members, deputies := playFormation(n, 2500*time.Millisecond, seed)
			if members > 3+storewatch.Candidates || deputies > 1 {
				t.Errorf("%d VMs, seed %d: %d members of the group, %d deputies", n, seed, members, deputies)
			}
		}
	}
}
