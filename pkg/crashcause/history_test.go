package crashcause_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/crashcause"
)

// handOver returns a tracker of a VM that starts and gets the evidence of another one.
func handOver(now time.Time, from *crashcause.Tracker) *crashcause.Tracker {
	to := crashcause.NewTracker()
	to.AdoptHistory(now, from.History(now))
	to.Update(now)
	return to
}

// unshownCrash returns a crash of a server of a plain service while it ran a request.
func unshownCrash(n int, request crashcause.Part) crashcause.Crash {
	return crashcause.Crash{Upstream: instance(n), Runs: []crashcause.Run{{Starting: true, Request: request}}}
}

// TestCrashesOutliveAllVMs guards against crashes that are forgotten when all VMs are stopped in turn,
// so that a request crashes servers for ever: each VM that starts takes over what another one knows.
func TestCrashesOutliveAllVMs(t *testing.T) {
	for name, crash := range map[string]func(n int) crashcause.Crash{
		"generation":             func(n int) crashcause.Crash { return startingCrash(n, plainBad) },
		"plain request":          func(n int) crashcause.Crash { return unshownCrash(n, plainBad) },
		"answer had not started": func(n int) crashcause.Crash { return crashOf(n, []crashcause.Part{badPart}) },
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now, crashes := crashcause.NewTracker(), epoch, 0
			for range 12 { // comings, each followed by a stop of all VMs
				parts := []crashcause.Part{plainBad, badPart}
				if g, found := match(tracker, parts); !found || g.TrialDue(now) {
					if found {
						tracker.RecordTrial(now, g.Parts)
					}
					crashes++
					tracker.RecordCrash(now, crash(crashes))
				}
				now = complete(tracker, now)
				for range 4 {
					now = now.Add(time.Second)
					tracker = handOver(now, tracker)
				}
			}
			if crashes > 4 { // three and a trial
				t.Errorf("%d upstreams crashed, at most 4 may", crashes)
			}
		})
	}
}

func match(tracker *crashcause.Tracker, parts []crashcause.Part) (crashcause.Group, bool) {
	f := tracker.Filter()
	if f == nil {
		return crashcause.Group{}, false
	}
	return f.Match(parts)
}

// TestHandOverClearsNothingAndBlamesNothing is the opposite of TestCrashesOutliveAllVMs. Guards against
// sound requests that a VM refuses which started after they were found sound, and against evidence
// that weighs more after it was handed over.
func TestHandOverClearsNothingAndBlamesNothing(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	tracker.RecordKnownSound([]crashcause.Part{plainPopular})
	tracker.RecordCrash(now, unshownCrash(1, plainPopular))
	tracker.RecordCrash(now, unshownCrash(1, 9))
	now = complete(tracker, now)
	is.True(refuses(tracker, 9))
	tracker.RecordSound(now, runsOf([]crashcause.Part{9}))
	now = complete(tracker, now)
	for range 3 {
		is.True(!refuses(tracker, 9))
		is.True(!refuses(tracker, plainPopular))
		is.Equal(len(tracker.Groups()), 0)
		tracker = handOver(now, tracker)
		now = now.Add(time.Second)
	}
	// The same crashes from several VMs count once.
	tracker.RecordCrash(now, unshownCrash(2, 11))
	history := tracker.History(now)
	for range 5 {
		tracker.AdoptHistory(now, history)
		now = complete(tracker, now)
	}
	is.Equal(len(tracker.Groups()), 0)
	crashes, _, _ := tracker.Sizes()
	is.Equal(crashes, 2)
}

// TestHistoryIsBounded guards against an answer to a starting VM that grows with the number of crashes.
func TestHistoryIsBounded(t *testing.T) {
	const maxHistoryCrashes = 128
	tracker, now := crashcause.NewTracker(), epoch
	for n := range 1000 {
		tracker.RecordCrash(now, unshownCrash(n, crashcause.Part(1000+n)))
		now = now.Add(time.Millisecond)
		if n%100 == 0 {
			now = complete(tracker, now)
		}
	}
	h := tracker.History(now)
	if len(h.Crashes) > maxHistoryCrashes {
		t.Errorf("%d crashes, at most %d may be", len(h.Crashes), maxHistoryCrashes)
	}
	for n := range 1000 { // of another build or a faulty VM
		h.Crashes = append(h.Crashes, crashcause.PastCrash{Crash: unshownCrash(2000+n, crashcause.Part(n))})
	}
	to := crashcause.NewTracker()
	to.AdoptHistory(now, h)
	to.Update(now)
	if crashes, _, _ := to.Sizes(); crashes > maxHistoryCrashes {
		t.Errorf("%d crashes were taken over, at most %d may be", crashes, maxHistoryCrashes)
	}
}
