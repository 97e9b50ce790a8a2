package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/retry"
)

// fleetVM is one VM of a fleet that uses all of its part of the shared budget.
type fleetVM struct {
	budget  *retry.Budget
	holders retry.Holders
	started time.Time
}

func startVM(shared retry.Shared, now time.Time) *fleetVM {
	return &fleetVM{budget: retry.New(shared.Part(1, 0, 1)), started: now}
}

// step books requests and takes all repeats that the budget allows.
func (v *fleetVM) step(shared retry.Shared, now time.Time, known, requests int) (repeats int) {
	v.budget.SetConfig(shared.Part(v.holders.Seen(now, known), now.Sub(v.started), 1))
	for range requests {
		v.budget.Success(now, "s", "s")
	}
	for {
		if ok, _ := v.budget.Allow(now, "s", "s"); !ok {
			return repeats
		}
		repeats++
	}
}

// playShared plays 31 VMs whose servers refuse everything and returns the most
// repeats over the allowance of any window. known says how many VMs one sees.
func playShared(shared retry.Shared, restartAt time.Duration, known func(age, at time.Duration) int) float64 {
	const vms, tick = 31, 100 * time.Millisecond
	start := time.Unix(1e9, 0)
	fleet := make([]*fleetVM, vms)
	for i := range fleet {
		fleet[i] = startVM(shared, start)
	}
	var repeats, requests []float64
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		now := start.Add(at)
		r, q := 0, 0
		for i := range fleet {
			if at == restartAt {
				fleet[i] = startVM(shared, now)
			}
			r += fleet[i].step(shared, now, known(now.Sub(fleet[i].started), at), 1)
			q++
		}
		repeats, requests = append(repeats, float64(r)), append(requests, float64(q))
	}
	worst := 0.0
	width := int(shared.Window / tick)
	for i := 0; i+width <= len(repeats); i++ {
		r, q := 0.0, 0.0
		for j := i; j < i+width; j++ {
			r, q = r+repeats[j], q+requests[j]
		}
		worst = max(worst, r-shared.Ratio*q-shared.Slack)
	}
	return worst
}

var platformBudget = retry.Shared{Ratio: 0.2, Slack: 334, Window: 10 * time.Second}

// TestBudgetOfAFleetThatLosesPower: all VMs come back with empty memory at once,
// while the servers refuse what they are sent; what was repeated before counts on.
func TestBudgetOfAFleetThatLosesPower(t *testing.T) {
	is := is.New(t)
	membersFound := func(age, _ time.Duration) int { // the others are found within 2 s
		if age < 2*time.Second {
			return 1
		}
		return 31
	}
	is.True(playShared(platformBudget, 29*time.Second, membersFound) <= 0)
}

// TestBudgetOfAFleetInPieces: VMs behind a partition for 12 s see no other VM and
// divide the slack among as many as before.
func TestBudgetOfAFleetInPieces(t *testing.T) {
	is := is.New(t)
	alone := func(_, at time.Duration) int {
		if at > 20*time.Second && at < 32*time.Second {
			return 1
		}
		return 31
	}
	is.True(playShared(platformBudget, -1, alone) <= 0)
}
