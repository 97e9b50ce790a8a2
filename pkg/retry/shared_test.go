package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/retry"
)

const (
	tick = 100 * time.Millisecond
	// moveShare is the part of the budget that the gateway gives to moves.
	moveShare = 0.35
)

// fleetVM is one VM of a fleet that shares a budget.
type fleetVM struct {
	id      fleet.VMID
	pool    *retry.Pool
	holders retry.Holders
	started time.Time
}

// playedFleet plays VMs in virtual time that tell each other their use in each round of
// news, with the round after that as the latest time of arrival.
type playedFleet struct {
	shared   retry.Shared
	vms      []*fleetVM
	random   *rand.Rand
	now      time.Time
	news     time.Duration
	first    bool
	requests func(vm int) int
	wants    func(vm int) int // repeats that the VM would make in a tick
	hears    func(vm, other int) bool
	granted  []int // of each VM
	perTick  []float64
	asked    []float64
}

func playFleet(shared retry.Shared, vms int, news time.Duration) *playedFleet {
	f := &playedFleet{
		shared: shared, random: rand.New(rand.NewPCG(uint64(vms), 3)), now: time.Unix(1e9, 0), news: news,
		requests: func(int) int { return 1 }, wants: func(int) int { return 1 << 20 },
		hears: func(int, int) bool { return true }, granted: make([]int, vms),
	}
	for i := range vms {
		f.vms = append(f.vms, nil)
		f.start(i)
	}
	return f
}

func (f *playedFleet) start(i int) {
	f.vms[i] = &fleetVM{id: fleet.VMID(fmt.Sprint("vm", i)), started: f.now, pool: retry.NewPool(f.config(1, 1, !f.first), f.now)}
}

func (f *playedFleet) config(vms, heard int, fresh bool) retry.PoolConfig {
	return retry.PoolConfig{Shared: f.shared, VMs: vms, Heard: heard, Settle: 2 * f.news, Fresh: fresh, MoveShare: moveShare}
}

func (f *playedFleet) play(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(time.Unix(1e9, 0))%f.news == 0 {
			for i, v := range f.vms {
				for j, other := range f.vms {
					if i != j && f.hears(j, i) {
						other.pool.Heard(f.now, v.id, v.started.UnixNano(), v.pool.Use(f.now))
					}
				}
			}
		}
		repeats, requests := 0, 0
		for i, v := range f.vms {
			heard := 1
			for j := range f.vms {
				if i != j && f.hears(i, j) {
					heard++
				}
			}
			age := f.now.Sub(v.started)
			if age < 2*time.Second && v.started != time.Unix(1e9, 0) { // a new process finds the others within 2 s
				heard = 1
			}
			fresh := age < f.shared.Window && !f.first
			v.pool.SetConfig(f.config(v.holders.Seen(f.now, heard), heard, fresh))
			for range f.requests(i) {
				v.pool.Request(f.now)
				requests++
			}
			for range f.wants(i) {
				if !v.pool.Allow(f.now, false, f.random.Float64()) {
					break
				}
				f.granted[i]++
				repeats++
			}
		}
		f.perTick, f.asked = append(f.perTick, float64(repeats)), append(f.asked, float64(requests))
	}
}

// excess returns the most repeats over the allowance of any window.
func (f *playedFleet) excess() float64 {
	worst := 0.0
	width := int(f.shared.Window / tick)
	for i := 0; i+width <= len(f.perTick); i++ {
		r, q := 0.0, 0.0
		for j := i; j < i+width; j++ {
			r, q = r+f.perTick[j], q+f.asked[j]
		}
		worst = max(worst, r-f.shared.Ratio*q-f.shared.Slack)
	}
	return worst
}

var platformBudget = retry.Shared{Ratio: 0.2, Slack: 334, Window: 10 * time.Second}

// TestBudgetOfAFleetThatLosesPower: all VMs come back with empty memory at once,
// while the servers refuse what they are sent; what was repeated before counts on.
func TestBudgetOfAFleetThatLosesPower(t *testing.T) {
	is := is.New(t)
	f := playFleet(platformBudget, 31, 200*time.Millisecond)
	f.play(29 * time.Second)
	for i := range f.vms {
		f.start(i)
	}
	f.play(31 * time.Second)
	is.True(f.excess() <= 0)
}

// TestBudgetOfAFleetInPieces: VMs behind a partition for 12 s see no other VM and
// divide the slack among as many as before.
func TestBudgetOfAFleetInPieces(t *testing.T) {
	is := is.New(t)
	f := playFleet(platformBudget, 31, 200*time.Millisecond)
	f.play(20 * time.Second)
	f.hears = func(int, int) bool { return false }
	f.play(12 * time.Second)
	f.hears = func(int, int) bool { return true }
	f.play(28 * time.Second)
	is.True(f.excess() <= 0)
}

// TestBudgetOfAFleetInHalves: each half of a fleet hears itself only.
func TestBudgetOfAFleetInHalves(t *testing.T) {
	is := is.New(t)
	f := playFleet(platformBudget, 30, 200*time.Millisecond)
	f.play(20 * time.Second)
	f.hears = func(a, b int) bool { return a%2 == b%2 }
	f.play(25 * time.Second)
	f.hears = func(int, int) bool { return true }
	f.play(15 * time.Second)
	is.True(f.excess() <= 0)
}

// TestBudgetOfAVMThatRestarts: a VM restarts each 3 s and asks for all it can get; its
// earlier processes' repeats count on.
func TestBudgetOfAVMThatRestarts(t *testing.T) {
	is := is.New(t)
	f := playFleet(platformBudget, 4, 100*time.Millisecond)
	for range 20 {
		f.play(3 * time.Second)
		f.start(1)
	}
	is.True(f.excess() <= 0)
}

// TestBudgetGoesWhereStreamsBreak: load pattern of a crash during a planned restart of
// the VMs in turn. One VM of four, or a tenth of a large fleet, holds the broken streams.
// A divided budget gave it its part and refused the rest while the others used nothing;
// most of what is free has to reach it while its callers wait.
func TestBudgetGoesWhereStreamsBreak(t *testing.T) {
	for _, c := range []struct {
		vms     int
		news    time.Duration
		slack   float64
		holding int
	}{{4, 100 * time.Millisecond, 200, 1}, {31, 200 * time.Millisecond, 334, 3}, {118, 400 * time.Millisecond, 774, 12}} {
		t.Run(fmt.Sprint(c.vms), func(t *testing.T) {
			is := is.New(t)
			shared := retry.Shared{Ratio: 0.2, Slack: c.slack, Window: 10 * time.Second}
			f := playFleet(shared, c.vms, c.news)
			f.wants = func(int) int { return 0 }
			f.play(20 * time.Second)
			broken := int(0.6 * c.slack) // streams
			left := make([]int, c.vms)
			for i := range broken {
				left[i%c.holding]++
			}
			f.wants = func(vm int) int { return left[vm] - f.granted[vm] }
			f.play(3 * time.Second)
			granted := 0
			for _, n := range f.granted {
				granted += n
			}
			is.True(granted >= broken*8/10)
			f.wants = func(int) int { return 1 << 20 }
			f.play(20 * time.Second)
			is.True(f.excess() <= 0)
		})
	}
}

// TestMovesLeaveTheBudgetToFailures: runs that could stay use a part of it only.
func TestMovesLeaveTheBudgetToFailures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	p := retry.NewPool(retry.PoolConfig{Shared: platformBudget, VMs: 1, Heard: 1, Settle: tick, MoveShare: moveShare}, now)
	moves := 0
	for p.Allow(now, true, 0.5) {
		moves++
	}
	is.True(float64(moves) <= moveShare*platformBudget.Slack)
	failures := 0
	for p.Allow(now, false, 0.5) {
		failures++
	}
	is.True(float64(failures) >= 0.8*platformBudget.Slack-float64(moves))
	is.True(float64(failures+moves) <= platformBudget.Slack)
}
