package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// newCycle returns a function that runs one pair of decisions: a request arrives, and another
// one ends, so that a queued request starts. The queue holds the given number of requests of
// the given number of teams. The IDs of ended and refused requests are reused.
func newCycle(teams, queued int) func() {
	const slots = 1000
	cfg := admission.DefaultConfig()
	cfg.MaxQueued = [fleet.RankCount]int{}
	q := admission.New(cfg)
	now := epoch
	buffer := q.SetCapacity(now, admission.Capacity{Model: "m", Slots: slots}, nil)
	names := make([]fleet.TeamID, teams)
	for i := range names {
		names[i] = fleet.TeamID(fmt.Sprint("t", i))
	}
	var running, free []fleet.RequestID
	collect := func(actions []admission.Action) {
		for _, a := range actions {
			if a.Kind == admission.Start {
				running = append(running, a.Request)
			} else {
				free = append(free, a.Request)
			}
		}
	}
	for i := range queued + slots {
		collect(q.Arrive(now, admission.Request{ID: fleet.RequestID(fmt.Sprint("q", i)), Team: names[i%teams], Rank: fleet.Overnight,
			Model: "m", Cost: 1, Deadline: epoch.Add(1000 * time.Hour)}, buffer[:0]))
	}
	for i := range 4096 {
		free = append(free, fleet.RequestID(fmt.Sprint("b", i)))
	}
	n := 0
	return func() {
		n++
		now = now.Add(100 * time.Microsecond)
		id := free[len(free)-1]
		free = free[:len(free)-1]
		buffer = q.Arrive(now, admission.Request{ID: id, Team: names[n*7919%teams], Rank: fleet.Rank(n % 3), Model: "m",
			Cost: float64(1 + n%16), Deadline: epoch.Add(1000 * time.Hour)}, buffer[:0])
		collect(buffer)
		refused := len(buffer) > 0 && buffer[0].Kind == admission.Refuse
		if !refused { // keeps the slots full and the queue at its length
			i := n * 31 % len(running)
			done := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			free = append(free, done)
			buffer = q.Finish(now, done, 2, buffer[:0])
			collect(buffer)
		}
		if n%1000 == 0 {
			buffer = q.Tick(now, buffer[:0])
			collect(buffer)
		}
	}
}

// TestDecisionAllocations guards against more than 2 allocations per decision (1.8).
func TestDecisionAllocations(t *testing.T) {
	run := newCycle(10, 1000)
	if n := testing.AllocsPerRun(2000, run); n > 2 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkArriveFinish(b *testing.B) {
	for _, c := range []struct{ teams, queued int }{{10, 100}, {10, 10_000}, {10, 1_000_000}, {100, 10_000}, {2800, 10_000}, {28_000, 100_000}} {
		b.Run(fmt.Sprintf("teams=%d/queued=%d", c.teams, c.queued), func(b *testing.B) {
			run := newCycle(c.teams, c.queued)
			b.ReportAllocs()
			for b.Loop() {
				run()
			}
		})
	}
}
