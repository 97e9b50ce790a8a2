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

// Times of the fake log in the measurement.
const (
	batchAppend = 10 * time.Millisecond
	batchRead   = time.Millisecond
	batchLimit  = 200 // appends a second
)

// TestBatching measures claims over a log whose appends take 10 ms and are
// limited to 200 a second, in virtual time; with -v it prints the figures. It
// guards against a claim that waits for more than the append and the read that
// are in flight when it comes, and against claims that are refused for the rate.
func TestBatching(t *testing.T) {
	const bound = batchAppend + batchRead
	for _, row := range []struct{ rate, vms int }{{10, 1}, {100, 1}, {1000, 1}, {10, 4}, {100, 4}, {1000, 4}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := started(t)
			defer stop()
			l := &fakeLog{latency: batchAppend, limit: rate.NewLimiter(batchLimit, batchLimit/10)}
			var runners []*replica.Runner
			for range row.vms {
				runners = append(runners, run(ctx, l, replica.RunnerConfig{VM: "a"}))
			}
			added, refused := confirmations(ctx, runners, row.rate, 5*time.Second)
			l.mu.Lock()
			defer l.mu.Unlock()
			p95 := added[len(added)*95/100]
			t.Logf("%d confirmations/s over %d VMs: added latency p50 %v, p95 %v, max %v; %.1f records an append, %d appends/s",
				row.rate, row.vms, added[len(added)/2], p95, added[len(added)-1], float64(len(l.records))/float64(l.appends), l.appends/5)
			if refused > 0 || row.vms == 1 && p95 > bound {
				t.Errorf("%d refused, p95 %v, bound %v", refused, p95, bound)
			}
		})
	}
}

// confirmations claims and records at a rate with random arrivals. It returns
// the time of each claim beyond one append and one read, sorted.
func confirmations(ctx context.Context, runners []*replica.Runner, perSecond int, length time.Duration) (added []time.Duration, refused int) {
	draw := rand.New(rand.NewPCG(1, uint64(perSecond)))
	var mu sync.Mutex
	var all sync.WaitGroup
	for start := time.Now(); time.Since(start) < length; {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		r := runners[draw.IntN(len(runners))]
		all.Go(func() {
			called := time.Now()
			d, err := r.Claim(ctx, newRequest(newKey().String()))
			took := time.Since(called) - batchAppend - batchRead
			mu.Lock()
			added = append(added, took)
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
