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

// vm simulates an entry VM's calls to the store.
type vm struct {
	id               fleet.VMID
	duty             storewatch.Duty
	storeUnavailable bool
	storeReachedAt   time.Time
	failures         int
	next             [2]time.Time // next reads of the list and of the configuration
	updatedAt        time.Time    // when the VM could last have received a change
	calls            int
}

// fleetRun simulates, in virtual time, a fleet and a store that rejects the calls of some
// VMs for a while. A read of the configuration is answered after 8 s. The list is read
// each second.
type fleetRun struct {
	vms    []*vm
	peers  [][]storewatch.Peer // the state that each VM has received
	random *rand.Rand
	now    time.Time
}

func newFleet(n int, seed uint64) *fleetRun {
	f := &fleetRun{peers: make([][]storewatch.Peer, n), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0)}
	for i := range n {
		f.vms = append(f.vms, &vm{id: fleet.VMID(fmt.Sprintf("front-%c-%d", 'a'+i%5, i)), updatedAt: f.now})
	}
	return f
}

const (
	stateInterval = 400 * time.Millisecond
	tick          = 50 * time.Millisecond
)

// run simulates the fleet for the given time. rejects reports whether the store rejects
// the calls of VM i.
func (f *fleetRun) run(length time.Duration, rejects func(i int) bool) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(time.Unix(1e9, 0))%stateInterval == 0 {
			all := make([]storewatch.Peer, len(f.vms))
			for i, v := range f.vms {
				all[i] = storewatch.Peer{ID: v.id, ReceivedAt: f.now, StoreUnavailable: v.storeUnavailable, Watching: v.duty.WatchesConfig, StoreReached: f.now.Sub(v.storeReachedAt) < storewatch.StoreAnswerLifetime}
			}
			for i := range f.vms {
				f.peers[i] = append(append([]storewatch.Peer(nil), all[:i]...), all[i+1:]...)
			}
		}
		answered := false
		for i, v := range f.vms {
			v.duty = storewatch.Assign(f.now, storewatch.Self{ID: v.id, StoreUnavailable: v.storeUnavailable}, f.peers[i])
			for kind, due := range []bool{v.duty.ReadsList, v.duty.WatchesConfig} {
				if !due || f.now.Before(v.next[kind]) {
					continue
				}
				v.calls++
				if rejects(i) {
					v.failures++
					v.storeUnavailable = true
					v.next[kind] = f.now.Add(storewatch.RetryDelay(v.failures, v.duty, f.random.Float64()))
					continue
				}
				v.failures, v.storeUnavailable, v.storeReachedAt = 0, false, f.now
				v.next[kind] = f.now.Add([]time.Duration{time.Second, 8 * time.Second}[kind])
				answered = true
			}
		}
		for _, v := range f.vms {
			if answered {
				v.updatedAt = f.now
			}
		}
	}
}

func (f *fleetRun) takeCalls() int {
	n := 0
	for _, v := range f.vms {
		n += v.calls
		v.calls = 0
	}
	return n
}

// TestCallsDoNotGrowInAnOutage guards against calls to the store that grow in an
// outage, and against VMs that receive changes late after it. The test models outages
// of a large site: the store rejects a third of the VMs for 9 s, or answers no VM for
// 4.5 s. With a third rejected, the fleet may make three times the calls of a quiet
// period plus one a second for each watcher. In a full outage it may make two calls
// per VM plus ten per watcher. Each VM must be able to receive a change within two
// seconds.
func TestCallsDoNotGrowInAnOutage(t *testing.T) {
	for _, n := range []int{4, 13, 31, 118, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n, 7)
			rejectNone := func(int) bool { return false }
			f.run(5*time.Second, rejectNone)
			f.takeCalls()
			f.run(9*time.Second, rejectNone)
			quiet := f.takeCalls()
			is.True(quiet <= 9+2*storewatch.Watchers+1)

			f.run(9*time.Second, func(i int) bool { return i%3 == 0 })
			partialOutage := f.takeCalls()
			for _, v := range f.vms {
				is.True(f.now.Sub(v.updatedAt) < 2*time.Second)
			}
			// A rejected watcher retries every 0.6 s.
			is.True(partialOutage <= 3*quiet+storewatch.Watchers*9)

			f.run(4500*time.Millisecond, func(int) bool { return true })
			fullOutage := f.takeCalls()
			is.True(fullOutage <= 2*n+storewatch.Watchers*10)
			f.run(2*time.Second, rejectNone)
			for _, v := range f.vms {
				is.True(f.now.Sub(v.updatedAt) < 2*time.Second)
			}
		})
	}
}

// TestAssign checks which VMs watch the store, are candidates, and lead as deputies.
func TestAssign(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	self := storewatch.Self{ID: "v", LeaderLastSeen: now}
	alone := storewatch.Assign(now, self, nil)
	is.True(alone.ReadsList && alone.WatchesConfig && alone.Candidate && alone.AmongFirstWatchers && !alone.LeavesRetriesToOthers && !alone.LeadsAsDeputy)

	var preceding, following []storewatch.Peer
	for i := 0; len(preceding) < storewatch.Watchers || len(following) < 2; i++ {
		p := storewatch.Peer{ID: fleet.VMID(fmt.Sprint("p", i)), ReceivedAt: now, Watching: true, StoreReached: true}
		if storewatch.OrderKey(p.ID) < storewatch.OrderKey(self.ID) {
			preceding = append(preceding, p)
		} else {
			following = append(following, p)
		}
	}
	preceding = preceding[:storewatch.Watchers]
	d := storewatch.Assign(now, self, preceding)
	is.True(!d.ReadsList && !d.WatchesConfig && !d.Candidate && !d.AmongFirstWatchers)
	d = storewatch.Assign(now, self, following)
	is.True(d.ReadsList && d.WatchesConfig && d.Candidate && d.AmongFirstWatchers)
	is.True(storewatch.Assign(now.Add(storewatch.PeerStateLifetime+1), self, preceding).WatchesConfig) // VMs with old state do not count

	withoutStore := func(list []storewatch.Peer) []storewatch.Peer {
		out := append([]storewatch.Peer(nil), list...)
		for i := range out {
			out[i].StoreUnavailable, out[i].StoreReached = true, false
		}
		return out
	}
	d = storewatch.Assign(now, self, withoutStore(preceding))
	is.True(d.WatchesConfig && d.ReadsList && d.LeavesRetriesToOthers)
	long := now.Add(-time.Minute)
	selfWithoutStore := storewatch.Self{ID: "v", StoreUnavailable: true, UnavailableSince: long, LeaderLastSeen: now, LiveVMs: 3}
	is.True(!storewatch.Assign(now, selfWithoutStore, withoutStore(preceding)).LeadsAsDeputy) // another VM precedes it
	is.True(storewatch.Assign(now, selfWithoutStore, withoutStore(following)).LeadsAsDeputy)
	is.True(!storewatch.Assign(now, selfWithoutStore, following).LeadsAsDeputy) // the store answers other VMs
	// A VM that has not called the store recently does not know whether it is available.
	unknown := append([]storewatch.Peer(nil), following...)
	for i := range unknown {
		unknown[i].StoreReached = false
	}
	is.True(storewatch.Assign(now, selfWithoutStore, unknown).LeadsAsDeputy)
	withLeader := withoutStore(following)
	withLeader[0].Leading = true
	d = storewatch.Assign(now, selfWithoutStore, withLeader)
	is.True(d.OtherLeads && !d.LeadsAsDeputy)
	withLeader[0].Stopping = true // a stopping VM still leads until its state says otherwise
	is.True(!storewatch.Assign(now, selfWithoutStore, withLeader).LeadsAsDeputy)

	// The leader has ended, and the group does not choose another one although the store answers.
	withoutLeader := storewatch.Self{ID: "v", LeaderLastSeen: long, LiveVMs: 3}
	is.True(storewatch.Assign(now, withoutLeader, following).LeadsAsDeputy)
	is.True(!storewatch.Assign(now, withoutLeader, preceding).LeadsAsDeputy)
	is.True(!storewatch.Assign(now, storewatch.Self{ID: "v", LeaderLastSeen: now.Add(-time.Second), LiveVMs: 3}, following).LeadsAsDeputy)
	is.True(!storewatch.Assign(now, withoutLeader, nil).LeadsAsDeputy) // partitioned from the other VMs
	stopping := withoutLeader
	stopping.Stopping = true
	is.True(!storewatch.Assign(now, stopping, following).LeadsAsDeputy)
}
