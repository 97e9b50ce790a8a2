package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/handover"
)

// TestGenerationsEndBeforeTheExit guards against a generation that a stopping VM accepts while its
// address is still valid and cuts when drain.max has passed.
func TestGenerationsEndBeforeTheExit(t *testing.T) {
	is := is.New(t)
	var d durations
	now := time.Now()
	is.Equal(d.bound(1000), time.Duration(0)) // nothing is known
	for range 20 {
		d.observe(now, now.Add(time.Second), now.Add(10*time.Second), 91) // 100 ms for each token
	}
	drain := newDrainer()
	begins := func(now time.Time, longest time.Duration) bool {
		return drain.beginsRun(now, handover.Run{Longest: longest})
	}
	is.True(begins(now, time.Hour)) // the VM is not stopping
	is.True(drain.begin(now, now.Add(30*time.Second)))
	is.True(!drain.begin(now, now.Add(time.Hour))) // a second order does not move the exit
	is.True(begins(now, d.bound(200)))
	is.True(!begins(now, d.bound(300)))
	is.True(!begins(now.Add(15*time.Second), d.bound(200)))
}
