package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestThirdCrashRefusesTheRequest guards against a request that crashes each upstream that
// runs it and is repeated by its caller. It may cost three upstreams and is then refused
// until its crashes expire.
func TestThirdCrashRefusesTheRequest(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newCrashHistory()
	for n := 1; n <= 3; n++ {
		is.True(!c.isQuarantined(now, 1))
		is.Equal(c.recordCrash(now, 1, fleet.UpstreamID(fmt.Sprint(n))), n)
		is.Equal(c.recordCrash(now, 1, fleet.UpstreamID(fmt.Sprint(n))), n) // the same crash, reported by another VM
		now = now.Add(time.Second)
	}
	is.True(c.isQuarantined(now, 1))
	is.True(!c.isQuarantined(now, 2)) // another request is not affected
	is.True(!c.isQuarantined(now.Add(crashRetention+time.Second), 1))
}

// TestCrashHistoryIsBounded guards against unbounded memory when many upstreams fail with
// all their requests.
func TestCrashHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newCrashHistory()
	for f := range fingerprint(2 * maxTrackedRequests) {
		c.recordCrash(now, f, "u")
	}
	is.Equal(len(c.requests), maxTrackedRequests)
	now = now.Add(crashRetention + time.Second)
	is.Equal(c.recordCrash(now, 1<<60, "u"), 1) // expired ones are pruned
	is.Equal(len(c.requests), 1)
}
