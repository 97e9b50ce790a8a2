package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/retry"
)

// TestBudgetBound guards against retries that multiply the load: the retries of each team
// and upstream stay within what its successes, the minimum rate and the burst allow.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := retry.DefaultConfig()
		b := retry.New(cfg)
		start := time.Unix(1e9, 0)
		now := start
		granted, succeeded := map[string]float64{}, map[string]float64{}
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			team := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "team")
			up := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream")
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now, fleet.TeamID(team), fleet.UpstreamID(up))
				succeeded[team]++
				succeeded[up]++
				continue
			}
			if ok, after := b.Allow(now, fleet.TeamID(team), fleet.UpstreamID(up)); ok {
				granted[team]++
				granted[up]++
			} else if after <= 0 {
				t.Fatal("refused without a time")
			}
		}
		for key, n := range granted {
			if bound := cfg.Burst + cfg.Ratio*succeeded[key] + cfg.MinPerSecond*now.Sub(start).Seconds(); n > bound+1e-6 {
				t.Fatalf("%s: %v retries, bound %v", key, n, bound)
			}
		}
	})
}

// TestRefusalTakesNothing guards against a refused retry that uses up the team's budget
// when only the upstream's budget is exhausted, and against a wrong time for the next retry.
func TestRefusalTakesNothing(t *testing.T) {
	is := is.New(t)
	b := retry.New(retry.Config{Ratio: 0.1, MinPerSecond: 1, Burst: 2})
	now := time.Unix(1e9, 0)
	for range 2 {
		ok, _ := b.Allow(now, "other", "down")
		is.True(ok)
	}
	ok, after := b.Allow(now, "mine", "down")
	is.True(!ok)
	is.Equal(after, time.Second)
	for range 2 {
		ok, _ = b.Allow(now, "mine", "up")
		is.True(ok)
	}
	ok, _ = b.Allow(now.Add(after), "third", "down")
	is.True(ok)
}

// TestPruneDeletesOnlyIdleBudgets guards against pruning that refills an exhausted budget
// soon after its last use. A budget that has been idle for long is full again.
func TestPruneDeletesOnlyIdleBudgets(t *testing.T) {
	is := is.New(t)
	b := retry.New(retry.Config{Ratio: 0.1, Burst: 1})
	now := time.Unix(1e9, 0)
	ok, _ := b.Allow(now, "t", "u")
	is.True(ok)
	b.Prune(now.Add(time.Minute))
	ok, _ = b.Allow(now.Add(time.Minute), "t", "u")
	is.True(!ok) // no retry was earned
	b.Prune(now.Add(time.Hour))
	ok, _ = b.Allow(now.Add(time.Hour), "t", "u")
	is.True(ok)
}
