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
	// migrationShare is the fraction of the budget that the gateway grants to migrations.
	migrationShare = 0.35
)

// fleetVM is one VM of a simulated fleet.
type fleetVM struct {
	id      fleet.VMID
	budget  *retry.SharedBudget
	peakVMs retry.PeakVMs
	started time.Time
}

// fleetSimulation simulates in virtual time VMs that share a budget. Every exchangeInterval
// each VM sends its usage to the VMs that can receive from it. The propagation time of the
// budgets is two intervals, so that usage may arrive as late as the next exchange.
type fleetSimulation struct {
	shared           retry.SharedLimits
	vms              []*fleetVM
	random           *rand.Rand
	now              time.Time
	exchangeInterval time.Duration
	firstStart       bool                     // set if this is the fleet's first start, with no previous processes
	requests         func(vm int) int         // requests of a VM in a tick
	retriesWanted    func(vm int) int         // retries that a VM asks for in a tick
	receives         func(vm, other int) bool // reports whether a VM gets the usage of another
	granted          []int                    // retries granted by VM
	retriesPerTick   []float64                // retries granted by tick
	requestsPerTick  []float64                // requests by tick
}

func newFleetSimulation(shared retry.SharedLimits, vms int, exchangeInterval time.Duration) *fleetSimulation {
	f := &fleetSimulation{
		shared: shared, random: rand.New(rand.NewPCG(uint64(vms), 3)), now: time.Unix(1e9, 0), exchangeInterval: exchangeInterval,
		requests: func(int) int { return 1 }, retriesWanted: func(int) int { return 1 << 20 },
		receives: func(int, int) bool { return true }, granted: make([]int, vms),
	}
	for i := range vms {
		f.vms = append(f.vms, nil)
		f.start(i)
	}
	return f
}

func (f *fleetSimulation) start(i int) {
	f.vms[i] = &fleetVM{id: fleet.VMID(fmt.Sprint("vm", i)), started: f.now, budget: retry.NewSharedBudget(f.config(1, 1, !f.firstStart), f.now)}
}

func (f *fleetSimulation) config(vms, reachable int, recentlyStarted bool) retry.SharedBudgetConfig {
	return retry.SharedBudgetConfig{SharedLimits: f.shared, RecentVMs: vms, ReachableVMs: reachable, PropagationTime: 2 * f.exchangeInterval, RecentlyStarted: recentlyStarted, MigrationShare: migrationShare}
}

func (f *fleetSimulation) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		if f.now.Sub(time.Unix(1e9, 0))%f.exchangeInterval == 0 {
			for i, v := range f.vms {
				for j, other := range f.vms {
					if i != j && f.receives(j, i) {
						other.budget.RecordRemoteUsage(f.now, v.id, v.started.UnixNano(), v.budget.Usage(f.now))
					}
				}
			}
		}
		retries, requests := 0, 0
		for i, v := range f.vms {
			reachable := 1
			for j := range f.vms {
				if i != j && f.receives(i, j) {
					reachable++
				}
			}
			age := f.now.Sub(v.started)
			if age < 2*time.Second && v.started != time.Unix(1e9, 0) { // a new process discovers the other VMs within 2 s
				reachable = 1
			}
			recentlyStarted := age < f.shared.Window && !f.firstStart
			v.budget.SetConfig(f.config(v.peakVMs.Update(f.now, reachable), reachable, recentlyStarted))
			for range f.requests(i) {
				v.budget.RecordRequest(f.now)
				requests++
			}
			for range f.retriesWanted(i) {
				if v.budget.Take(f.now, false, f.random.Float64()) != retry.NoLimit {
					break
				}
				f.granted[i]++
				retries++
			}
		}
		f.retriesPerTick, f.requestsPerTick = append(f.retriesPerTick, float64(retries)), append(f.requestsPerTick, float64(requests))
	}
}

// excess returns by how many retries the worst window exceeds the shared budget.
func (f *fleetSimulation) excess() float64 {
	worst := 0.0
	width := int(f.shared.Window / tick)
	for i := 0; i+width <= len(f.retriesPerTick); i++ {
		r, q := 0.0, 0.0
		for j := i; j < i+width; j++ {
			r, q = r+f.retriesPerTick[j], q+f.requestsPerTick[j]
		}
		worst = max(worst, r-f.shared.Ratio*q-f.shared.Slack)
	}
	return worst
}

var platformBudget = retry.SharedLimits{Ratio: 0.2, Slack: 334, Window: 10 * time.Second}

// TestBudgetAfterRestartOfAllVMs guards against exceeding the shared budget when all VMs
// restart at once without any recorded usage, while the servers refuse requests and still
// count the retries of the previous processes.
func TestBudgetAfterRestartOfAllVMs(t *testing.T) {
	is := is.New(t)
	f := newFleetSimulation(platformBudget, 31, 200*time.Millisecond)
	f.run(29 * time.Second)
	for i := range f.vms {
		f.start(i)
	}
	f.run(31 * time.Second)
	is.True(f.excess() <= 0)
}

// TestBudgetWhileNoVMReachesAnother guards against exceeding the shared budget while network
// faults isolate every VM for 12 s. Each VM must still take only its share of the slack,
// divided by the number of VMs before the fault.
func TestBudgetWhileNoVMReachesAnother(t *testing.T) {
	is := is.New(t)
	f := newFleetSimulation(platformBudget, 31, 200*time.Millisecond)
	f.run(20 * time.Second)
	f.receives = func(int, int) bool { return false }
	f.run(12 * time.Second)
	f.receives = func(int, int) bool { return true }
	f.run(28 * time.Second)
	is.True(f.excess() <= 0)
}

// TestBudgetWithFleetSplitInHalves guards against exceeding the shared budget while a
// partition splits the fleet in two halves that don't reach each other.
func TestBudgetWithFleetSplitInHalves(t *testing.T) {
	is := is.New(t)
	f := newFleetSimulation(platformBudget, 30, 200*time.Millisecond)
	f.run(20 * time.Second)
	f.receives = func(a, b int) bool { return a%2 == b%2 }
	f.run(25 * time.Second)
	f.receives = func(int, int) bool { return true }
	f.run(15 * time.Second)
	is.True(f.excess() <= 0)
}

// TestBudgetOfAVMThatRestarts guards against a VM that gets a new budget with each restart.
// It restarts every 3 s and asks for as many retries as it can get; the retries of its
// previous processes still count.
func TestBudgetOfAVMThatRestarts(t *testing.T) {
	is := is.New(t)
	f := newFleetSimulation(platformBudget, 4, 100*time.Millisecond)
	for range 20 {
		f.run(3 * time.Second)
		f.start(1)
	}
	is.True(f.excess() <= 0)
}

// TestBudgetReachesVMsWithBrokenStreams guards against a budget that is divided evenly while
// only some VMs need it. In a crash during a rolling restart of the VMs, one VM of four, or a
// tenth of a large fleet, holds all broken streams. With an even split these VMs got only
// their share and were refused the rest, while the other VMs used nothing. Most of the free
// budget must reach them while their callers wait.
func TestBudgetReachesVMsWithBrokenStreams(t *testing.T) {
	for _, c := range []struct {
		vms     int
		news    time.Duration
		slack   float64
		holding int
	}{{4, 100 * time.Millisecond, 200, 1}, {31, 200 * time.Millisecond, 334, 3}, {118, 400 * time.Millisecond, 774, 12}} {
		t.Run(fmt.Sprint(c.vms), func(t *testing.T) {
			is := is.New(t)
			shared := retry.SharedLimits{Ratio: 0.2, Slack: c.slack, Window: 10 * time.Second}
			f := newFleetSimulation(shared, c.vms, c.news)
			f.retriesWanted = func(int) int { return 0 }
			f.run(20 * time.Second)
			broken := int(0.6 * c.slack)
			brokenStreams := make([]int, c.vms)
			for i := range broken {
				brokenStreams[i%c.holding]++
			}
			f.retriesWanted = func(vm int) int { return brokenStreams[vm] - f.granted[vm] }
			f.run(3 * time.Second)
			granted := 0
			for _, n := range f.granted {
				granted += n
			}
			is.True(granted >= broken*8/10)
			f.retriesWanted = func(int) int { return 1 << 20 }
			f.run(20 * time.Second)
			is.True(f.excess() <= 0)
		})
	}
}

// TestMigrationsLeaveBudgetForFailures guards against runs that could stay on their upstream
// using up the budget that failures need.
func TestMigrationsLeaveBudgetForFailures(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	p := retry.NewSharedBudget(retry.SharedBudgetConfig{SharedLimits: platformBudget, RecentVMs: 1, ReachableVMs: 1, PropagationTime: tick, MigrationShare: migrationShare}, now)
	migrations := 0
	for p.Take(now, true, 0.5) == retry.NoLimit {
		migrations++
	}
	is.True(float64(migrations) <= migrationShare*platformBudget.Slack)
	failures := 0
	for p.Take(now, false, 0.5) == retry.NoLimit {
		failures++
	}
	is.True(float64(failures) >= 0.8*platformBudget.Slack-float64(migrations))
	is.True(float64(failures+migrations) <= platformBudget.Slack)
}
