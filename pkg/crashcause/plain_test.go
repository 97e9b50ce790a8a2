package crashcause_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
)

// drawPlainLoad draws a fleet that a crashing request comes to.
func drawPlainLoad(random *rand.Rand) plainLoad {
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)+1))
	}
	l := plainLoad{
		vms: []int{1, 4, 30}[random.IntN(3)], servers: 3 + random.IntN(6), back: between(300*time.Millisecond, 6*time.Second),
		comings: 8, every: between(200*time.Millisecond, 8*time.Second), together: random.IntN(2) == 0,
		attempts: 1 + random.IntN(3), retries: random.IntN(4),
		maxDelay: []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}[random.IntN(3)],
		loss:     []float64{0, 0, 0.1}[random.IntN(3)],
		slow:     []time.Duration{0, 0, 150 * time.Millisecond}[random.IntN(3)],
		length:   90 * time.Second,
	}
	if random.IntN(2) == 0 {
		l.retryAfter = between(0, time.Second)
	}
	if random.IntN(2) == 0 {
		l.soundPerSecond, l.popularEvery = 40, 4
	}
	return l
}

// TestRequestEndsAtMostTwoPlainServers guards against a request that ends all servers of a plain
// service within milliseconds, by the VM's own retry and by its caller's at other VMs, and that comes
// to them again and again, whatever the order and the delays of messages, retries and returns.
func TestRequestEndsAtMostTwoPlainServers(t *testing.T) {
	const maxEnded = 2               // by one coming
	const maxLate, maxUntried = 3, 1 // late arrivals, as the platform's rule says, and those that were no trial
	for seed := range uint64(200 * *seeds) {
		l := drawPlainLoad(rand.New(rand.NewPCG(seed, 3)))
		o := simulatePlain(l, seed)
		for coming, ended := range o.endedBy {
			if ended > maxEnded {
				t.Errorf("seed %d: coming %d ended %d servers, at most %d may\n%+v", seed, coming, ended, maxEnded, l)
			}
		}
		if late, trials := o.late(o.arrivals), o.late(o.trials); late > maxLate || late-trials > maxUntried {
			t.Errorf("seed %d: %d late arrivals with %d trials, at most %d and %d others may be\n%+v\n%v %v", seed, late, trials, maxLate, maxUntried, l, o.crashes, o.arrivals)
		}
	}
}

// TestSoundRequestsOutliveTheirPlainServers is the opposite of TestRequestEndsAtMostTwoPlainServers:
// servers end for another reason. Guards against sound requests that are refused, or not retried by
// their deadline.
func TestSoundRequestsOutliveTheirPlainServers(t *testing.T) {
	for name, failures := range map[string][]failure{
		"a server":      {{3 * time.Second, 1, 0}},
		"a rack":        {{3 * time.Second, 5, 0}},
		"a data centre": {{3 * time.Second, 5, 20 * time.Millisecond}, {9 * time.Second, 5, 0}},
		"one by one":    {{3 * time.Second, 8, 700 * time.Millisecond}},
	} {
		for _, vms := range []int{1, 4, 30} {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				broken := 0
				for seed := range uint64(10 * *seeds) {
					o := simulatePlain(plainLoad{
						vms: vms, servers: 8, back: 3 * time.Second, attempts: 2, maxDelay: 300 * time.Millisecond, loss: 0.1,
						soundPerSecond: 60, popularEvery: 4, failures: failures, length: 20 * time.Second,
					}, seed)
					broken += o.broken
					if o.unserved > 0 || 1000*o.refused > o.sound {
						t.Errorf("seed %d: of %d sound requests, %d whose server ended were not served by their deadline, %d were refused; none and one in 1,000 may be",
							seed, o.sound, o.unserved, o.refused)
					}
				}
				if broken == 0 {
					t.Error("no server ended with a request")
				}
			})
		}
	}
}

// TestRetryOfASoundRequestAtOnce guards against a wait for requests whose VM knows them to be sound, and
// after a server that merely broke a connection off, for which Retry isn't asked.
func TestRetryOfASoundRequestAtOnce(t *testing.T) {
	tracker, now := crashcause.NewTracker(), epoch
	tracker.SetAlone(true)
	tracker.RecordKnownSound([]crashcause.Part{plainPopular})
	tracker.RecordCrash(now, crashcause.Crash{Upstream: instance(1), Runs: []crashcause.Run{{Starting: true, Request: plainPopular}}})
	tracker.Update(now)
	ended := crashcause.Ended{Upstreams: 1, First: now, Until: now}
	if decision, _ := tracker.Filter().Retry(now, []crashcause.Part{plainPopular}, ended); decision != crashcause.RetryNow {
		t.Errorf("decision %v, want RetryNow", decision)
	}
}
