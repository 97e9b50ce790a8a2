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
