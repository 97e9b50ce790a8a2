package replica_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
)

// Latencies and rate limit of the fake log.
const (
	appendLatency   = 10 * time.Millisecond
	readLatency     = time.Millisecond
	appendRateLimit = 200 // appends per second
)

// TestBatching measures the latency of claims, in virtual time, over a log whose
// appends take 10 ms and are limited to 200 per second. With -v it prints the results.
// It guards against a claim that waits for more than the append and the read that are
// in flight when it arrives, and against claims that fail because of the rate limit.
func TestBatching(t *testing.T) {
	const bound = appendLatency + readLatency
	for _, row := range []struct{ rate, vms int }{{10, 1}, {100, 1}, {1000, 1}, {10, 4}, {100, 4}, {1000, 4}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := runnerContext(t)
			defer stop()
			l := &fakeLog{latency: appendLatency, limit: rate.NewLimiter(appendRateLimit, appendRateLimit/10)}
			var runners []*replica.Runner
			for range row.vms {
				runners = append(runners, startRunner(ctx, l, replica.RunnerConfig{VM: "a"}))
			}
			added, refused := confirmations(ctx, runners, row.rate, 5*time.Second)
			l.mu.Lock()
			defer l.mu.Unlock()
			p95 := added[len(added)*95/100]
			t.Logf("%d confirmations/s over %d VMs: added latency p50 %v, p95 %v, max %v; %.1f records/append, %d appends/s",
				row.rate, row.vms, added[len(added)/2], p95, added[len(added)-1], float64(len(l.records))/float64(l.appends), l.appends/5)
			if refused > 0 || row.vms == 1 && p95 > bound {
				t.Errorf("%d claims refused, want 0; p95 of added latency %v, bound for one VM %v", refused, p95, bound)
			}
		})
	}
}

// confirmations claims keys and records outcomes at an average rate with random
// arrivals. It returns the latency of each claim beyond one append and one read, in
// ascending order, and the number of refused claims.
func confirmations(ctx context.Context, runners []*replica.Runner, perSecond int, length time.Duration) (added []time.Duration, refused int) {
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	var mu sync.Mutex
	var all sync.WaitGroup
	for start := time.Now(); time.Since(start) < length; {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		r := runners[rng.IntN(len(runners))]
		all.Go(func() {
			called := time.Now()
			d, err := r.Claim(ctx, newRequest(newKey().String()))
			extra := time.Since(called) - appendLatency - readLatency
			mu.Lock()
			added = append(added, extra)
			if err != nil {
				refused++
			}
			mu.Unlock()
			if err == nil {
				_ = r.Done(ctx, record.Done{Claim: d.Claim, Status: 200})
			}
		})
	}
	all.Wait()
	slices.Sort(added)
	return added, refused
}
