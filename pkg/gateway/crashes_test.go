package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/peering"
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

// TestKnownSoundPartsAreTold guards against a VM that keeps to itself that a suspected part is sound: it
// left out all parts that it did not suspect itself.
func TestKnownSoundPartsAreTold(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	told, untold := crashcause.Part(2), crashcause.Part(3)
	c := &control{g: &Gateway{}, crashes: crashcause.NewTracker()}
	c.crashes.RecordKnownSound([]crashcause.Part{told, untold})
	report := crashcause.Crash{Runs: []crashcause.Run{{Began: true, Starting: true, Request: 7, Parts: []crashcause.Part{told, untold}}}}
	c.crashes.RecordCrash(now, report)
	c.knownSound, c.knownSoundDue = c.crashes.KnownSound(&report), now.Add(time.Second)
	is.Equal(len(c.takeKnownSound(now)), 0)
	c.recordCrashEvidence(now, &peering.CrashEvidence{Known: []crashcause.Part{told}}) // by another VM
	is.Equal(c.takeKnownSound(now.Add(time.Second)), []crashcause.Part{untold})
	is.Equal(len(c.takeKnownSound(now.Add(time.Minute))), 0)
}
