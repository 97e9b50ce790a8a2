package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/crashcause"
)

// TestManyCrashGroupsAreSentInTurn guards against a VM that starts and hears of no more groups than
// fit into one state message.
func TestManyCrashGroupsAreSentInTurn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &control{crashes: crashcause.NewTracker()}
	const groups = 40
	for i := range groups {
		c.crashes.Adopt(crashcause.Group{Parts: []crashcause.Part{crashcause.Part(i + 1)}, Crashes: 3, LastCrash: now.Add(-time.Duration(i) * time.Second)})
	}
	heard := make(map[crashcause.Part]bool)
	for range 5 {
		c.sequence++
		sent := c.crashGroups(now)
		is.True(len(sent) <= maxReportedGroups)
		for _, g := range sent {
			heard[g.Parts[0]] = true
		}
	}
	is.Equal(len(heard), groups)
}
