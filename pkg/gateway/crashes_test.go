package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestThirdCrashRefusesTheRequest answers a request that takes down each upstream
// that runs it and is sent again by its caller: three upstreams are lost to it, and
// after a while it may run again.
func TestThirdCrashRefusesTheRequest(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newCrashes()
	for n := 1; n <= 3; n++ {
		is.True(!c.suspected(now, 1))
		is.Equal(c.add(now, 1, fleet.UpstreamID(fmt.Sprint(n))), n)
		is.Equal(c.add(now, 1, fleet.UpstreamID(fmt.Sprint(n))), n) // another VM reports the same crash
		now = now.Add(time.Second)
	}
	is.True(c.suspected(now, 1))
	is.True(!c.suspected(now, 2)) // another request is not affected
	is.True(!c.suspected(now.Add(crashMemory+time.Second), 1))
}

// TestSuspectsAreBounded answers the loss of many upstreams with all their requests.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := newCrashes()
	for f := range fingerprint(2 * maxSuspects) {
		c.add(now, f, "u")
	}
	is.Equal(len(c.requests), maxSuspects)
	now = now.Add(crashMemory + time.Second)
	is.Equal(c.add(now, 1<<60, "u"), 1) // old ones make room
	is.Equal(len(c.requests), 1)
}
