package storewatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/storewatch"
)

// vm is an entry VM as far as its calls to the store go.
type vm struct {
	id       fleet.VMID
	duty     storewatch.Duty
	away     bool
	reached  time.Time
	failures int
	next     [2]time.Time // calls for the list and for the configuration
	learned  time.Time    // when it last could learn of a change
	calls    int
}

// fleetRun plays a fleet before a store that refuses some VMs for a time, in virtual
// time. A read of a watcher is answered after 8 s, a read of the list each second.
type fleetRun struct {
	vms    []*vm
	peers  [][]storewatch.Peer // what each VM has heard
	random *rand.Rand
	now    time.Time
}

func newFleet(n int, seed uint64) *fleetRun {
	f := &fleetRun{peers: make([][]storewatch.Peer, n), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0)}
	for i := range n {
		f.vms = append(f.vms, &vm{id: fleet.VMID(fmt.Sprintf("front-%c-%d", 'a'+i%5, i)), learned: f.now})
	}
	return f
}

const (
	newsEvery = 400 * time.Millisecond
	tick      = 50 * time.Millisecond
)

// play runs the fleet for a time; refuses says whether the store refuses a VM.
func (f *fleetRun) play(length time.Duration, refuses func(i int) bool) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(time.Unix(1e9, 0))%newsEvery == 0 {
			all := make([]storewatch.Peer, len(f.vms))
			for i, v := range f.vms {
				all[i] = storewatch.Peer{ID: v.id, Heard: f.now, Away: v.away, Watching: v.duty.Watches, Reached: f.now.Sub(v.reached) < storewatch.ReachedFor}
			}
			for i := range f.vms {
				f.peers[i] = append(append([]storewatch.Peer(nil), all[:i]...), all[i+1:]...)
			}
		}
		told := false
		for i, v := range f.vms {
			v.duty = storewatch.Assign(f.now, storewatch.Self{ID: v.id, Away: v.away}, f.peers[i])
			for kind, due := range []bool{v.duty.ReadsList, v.duty.Watches} {
				if !due || f.now.Before(v.next[kind]) {
					continue
				}
				v.calls++
				if refuses(i) {
					v.failures++
					v.away = true
					v.next[kind] = f.now.Add(storewatch.RetryPause(v.failures, v.duty, f.random.Float64()))
					continue
				}
				v.failures, v.away, v.reached = 0, false, f.now
				v.next[kind] = f.now.Add([]time.Duration{time.Second, 8 * time.Second}[kind])
				told = true
			}
		}
		for _, v := range f.vms {
			if told {
				v.learned = f.now
			}
		}
	}
}

func (f *fleetRun) calls() int {
	n := 0
	for _, v := range f.vms {
		n += v.calls
		v.calls = 0
	}
	return n
}

// TestCallsDoNotGrowInAnOutage: load pattern of the large site's troubled days: the store
// turns away a third of the VMs for 9 s, or answers nobody for 4.5 s. The calls stay
// within 1.5 times those of a calm time per VM that is turned away, and in a whole outage
// to about one a VM; nobody waits long for news after the store's return.
func TestCallsDoNotGrowInAnOutage(t *testing.T) {
	for _, n := range []int{4, 13, 31, 118, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n, 7)
			nobody := func(int) bool { return false }
			f.play(5*time.Second, nobody)
			f.calls()
			f.play(9*time.Second, nobody)
			calm := f.calls()
			is.True(calm <= 9+2*storewatch.Watchers+1)

			f.play(9*time.Second, func(i int) bool { return i%3 == 0 })
			third := f.calls()
			for _, v := range f.vms {
				is.True(f.now.Sub(v.learned) < 2*time.Second)
			}
			// A watcher that is turned away asks each 0.6 s.
			is.True(third <= 3*calm+storewatch.Watchers*9)

			f.play(4500*time.Millisecond, func(int) bool { return true })
			whole := f.calls()
			is.True(whole <= 2*n+storewatch.Watchers*10)
			f.play(2*time.Second, nobody)
			for _, v := range f.vms {
				is.True(f.now.Sub(v.learned) < 2*time.Second)
			}
		})
	}
}

// TestAssign: who watches, leads and may lead without the store.
func TestAssign(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	self := storewatch.Self{ID: "v", LeaderHeard: now}
	alone := storewatch.Assign(now, self, nil)
	is.True(alone.ReadsList && alone.Watches && alone.Candidate && alone.First && !alone.OthersTry && !alone.MayDeputise)

	var before, after []storewatch.Peer
	for i := 0; len(before) < storewatch.Watchers || len(after) < 2; i++ {
		p := storewatch.Peer{ID: fleet.VMID(fmt.Sprint("p", i)), Heard: now, Watching: true, Reached: true}
		if storewatch.Rank(p.ID) < storewatch.Rank(self.ID) {
			before = append(before, p)
		} else {
			after = append(after, p)
		}
	}
	before = before[:storewatch.Watchers]
	d := storewatch.Assign(now, self, before)
	is.True(!d.ReadsList && !d.Watches && !d.Candidate && !d.First)
	d = storewatch.Assign(now, self, after)
	is.True(d.ReadsList && d.Watches && d.Candidate && d.First)
	is.True(storewatch.Assign(now.Add(storewatch.Fresh+1), self, before).Watches) // silent VMs do not count

	away := func(list []storewatch.Peer) []storewatch.Peer {
		out := append([]storewatch.Peer(nil), list...)
		for i := range out {
			out[i].Away, out[i].Reached = true, false
		}
		return out
	}
	d = storewatch.Assign(now, self, away(before))
	is.True(d.Watches && d.ReadsList && d.OthersTry)
	long := now.Add(-time.Minute)
	selfAway := storewatch.Self{ID: "v", Away: true, AwaySince: long, LeaderHeard: now, VMs: 3}
	is.True(!storewatch.Assign(now, selfAway, away(before)).MayDeputise) // another one comes first
	is.True(storewatch.Assign(now, selfAway, away(after)).MayDeputise)
	is.True(!storewatch.Assign(now, selfAway, after).MayDeputise) // the store answers another one
	// A VM that has not asked the store lately does not know whether it is there.
	unknown := append([]storewatch.Peer(nil), after...)
	for i := range unknown {
		unknown[i].Reached = false
	}
	is.True(storewatch.Assign(now, selfAway, unknown).MayDeputise)
	leads := away(after)
	leads[0].Leading = true
	d = storewatch.Assign(now, selfAway, leads)
	is.True(d.OtherLeads && !d.MayDeputise)
	leads[0].Stopping = true // it still leads until it says otherwise
	is.True(!storewatch.Assign(now, selfAway, leads).MayDeputise)

	// A leader ends and the group does not name another one, though the store answers.
	silent := storewatch.Self{ID: "v", LeaderHeard: long, VMs: 3}
	is.True(storewatch.Assign(now, silent, after).MayDeputise)
	is.True(!storewatch.Assign(now, silent, before).MayDeputise)
	is.True(!storewatch.Assign(now, storewatch.Self{ID: "v", LeaderHeard: now.Add(-time.Second), VMs: 3}, after).MayDeputise)
	is.True(!storewatch.Assign(now, silent, nil).MayDeputise) // cut off from the others
	stopping := silent
	stopping.Stopping = true
	is.True(!storewatch.Assign(now, stopping, after).MayDeputise)
}
