package crashcause_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
)

var seeds = flag.Int("crashcause.seeds", 3, "seeds of each simulated load")

// instance returns one of the upstreams e1, e2 and so on.
func instance(n int) notice.Instance {
	return notice.Instance{ID: fleet.UpstreamID(fmt.Sprint("e", n))}
}

// crashOf returns a crash with runs whose answers had begun, one for each list of parts.
func crashOf(n int, requests ...[]crashcause.Part) crashcause.Crash {
	c := crashcause.Crash{Upstream: instance(n)}
	for i, parts := range requests {
		c.Runs = append(c.Runs, crashcause.Run{Began: true, Request: crashcause.Part(1_000_000 + 100*n + i), Parts: parts})
	}
	return c
}

// runsOf returns one sound run with the given parts.
func runsOf(parts []crashcause.Part) []crashcause.SoundRuns {
	var list []crashcause.SoundRuns
	for _, p := range parts {
		list = append(list, crashcause.SoundRuns{Part: p, Runs: 1})
	}
	return list
}

func refuses(t *crashcause.Tracker, parts ...crashcause.Part) bool {
	f := t.Filter()
	if f == nil {
		return false
	}
	_, refused := f.Match(parts)
	return refused
}

// complete passes the time in which other VMs report a crash, and draws the conclusions.
func complete(t *crashcause.Tracker, now time.Time) time.Time {
	now = now.Add(time.Second)
	t.Update(now)
	return now
}

// TestThirdCrashRefusesTheRequest guards against a request that crashes each upstream that runs it
// and is repeated by its caller: the third crash refuses it, and no pause lets it through again
// except one at a time.
func TestThirdCrashRefusesTheRequest(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	const request = 7
	for n := 1; n <= 3; n++ {
		is.True(!refuses(tracker, request))
		for range 2 { // the same crash, also reported by another VM
			tracker.RecordCrash(now, crashcause.Crash{Upstream: instance(n), Runs: []crashcause.Run{{Request: request}}})
		}
		now = complete(tracker, now)
	}
	is.True(refuses(tracker, request))
	is.True(!refuses(tracker, 8)) // another request is not affected
	is.Equal(tracker.Groups()[0].Crashes, 3)
	trials := 0
	for end := now.Add(time.Hour); now.Before(end); now = now.Add(time.Second) {
		g, refused := tracker.Filter().Match([]crashcause.Part{request})
		is.True(refused)
		if !g.TrialDue(now) {
			continue
		}
		trials++
		tracker.RecordTrial(now, g.Parts)
		tracker.RecordCrash(now.Add(time.Second), crashcause.Crash{Upstream: instance(10 + trials), Runs: []crashcause.Run{{Request: request}}})
		tracker.Update(now.Add(time.Second))
	}
	if trials < 1 || trials > 3 {
		t.Errorf("%d requests were let through within an hour; 1 to 3 may be", trials)
	}
}

// TestCrashHistoryIsBounded guards against unbounded memory when many upstreams fail with all their
// requests.
func TestCrashHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	next := crashcause.Part(0)
	for n := range 300 {
		c := crashcause.Crash{Upstream: instance(n)}
		for range 100 {
			parts := make([]crashcause.Part, 300)
			for i := range parts {
				next++
				parts[i] = next
			}
			c.Add([]crashcause.Run{{Began: true, Request: next + 1<<40, Parts: parts}})
		}
		is.True(len(c.Runs) <= crashcause.MaxRunsPerCrash)
		total := 0
		for _, r := range c.Runs {
			total += len(r.Parts) + 1
		}
		is.True(total <= crashcause.MaxPartsPerCrash)
		tracker.RecordCrash(now, c)
		now = complete(tracker, now)
	}
	crashes, suspects, groups := tracker.Sizes()
	is.True(crashes <= 128)
	is.True(suspects <= 8*crashcause.MaxPartsPerCrash+4096)
	is.Equal(groups, 0)
}

// TestPartIsToldFromItsNeighbours guards against refusing the parts that crashing requests share with
// sound ones.
func TestPartIsToldFromItsNeighbours(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	bad := []crashcause.Part{1, badPart, 3}
	sound := []crashcause.Part{1, 2, 3}
	for n := 1; n <= 3; n++ {
		tracker.RecordCrash(now, crashOf(n, bad, []crashcause.Part{1, crashcause.Part(20 + n), 3}))
		now = complete(tracker, now)
	}
	is.True(refuses(tracker, bad...))
	is.True(!refuses(tracker, sound...))
	// Sound runs of the neighbours leave the part by itself.
	for range 5 {
		tracker.RecordSound(now, runsOf(sound))
	}
	complete(tracker, now)
	is.True(refuses(tracker, 5, badPart, 6))
	is.True(!refuses(tracker, sound...))
}

// TestLateReportOfTheCause guards against refusing sound parts because the VM with the crashing
// request reports the third crash later than the others.
func TestLateReportOfTheCause(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	bad, sound := []crashcause.Part{1, badPart, 3}, []crashcause.Part{1, 2, 3}
	for n := 1; n <= 3; n++ {
		tracker.RecordCrash(now, crashOf(n, sound, []crashcause.Part{1, crashcause.Part(20 + n), 3}))
		tracker.Update(now)
		is.True(!refuses(tracker, sound...))
		tracker.RecordCrash(now.Add(100*time.Millisecond), crashOf(n, bad))
		now = complete(tracker, now)
	}
	is.True(!refuses(tracker, sound...)) // as good an explanation so far
	tracker.RecordCrash(now, crashOf(4, bad))
	complete(tracker, now)
	is.True(refuses(tracker, bad...))
	is.True(!refuses(tracker, sound...))
}

// TestFailureTogetherIsOneObservation guards against refusing a part that a whole team shares when a
// rack fails and nothing can run.
func TestFailureTogetherIsOneObservation(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	for n := range 30 {
		tracker.RecordCrash(now.Add(time.Duration(n)*time.Millisecond), crashOf(n, []crashcause.Part{1, crashcause.Part(10 + n)}))
	}
	complete(tracker, now)
	is.True(!refuses(tracker, 1, 2))
}

// TestSoundTrialsEndARefusal guards against refusing sound requests for long after a wrong
// conclusion.
func TestSoundTrialsEndARefusal(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	parts := []crashcause.Part{1, 2}
	for n := 1; n <= 3; n++ {
		tracker.RecordCrash(now, crashOf(n, parts))
		now = complete(tracker, now)
	}
	is.True(refuses(tracker, parts...))
	began := now
	for refuses(tracker, parts...) {
		if g, _ := tracker.Filter().Match(parts); g.TrialDue(now) {
			tracker.RecordTrial(now, g.Parts)
			tracker.RecordSound(now.Add(300*time.Millisecond), runsOf(parts))
		}
		now = now.Add(500 * time.Millisecond)
		tracker.Update(now)
		if now.Sub(began) > 10*time.Second {
			t.Fatal("still refused")
		}
	}
	// Another VM that has not heard of it does not bring the refusal back.
	is.Equal(len(tracker.Adopt(crashcause.Group{Parts: parts, Crashes: 3, LastCrash: began.Add(-time.Second)})), 2)
	is.True(!refuses(tracker, parts...))
}

// TestTrialOnACrashedUpstreamIsNoFailedTrial guards against refusing sound requests for minutes because
// the request that was let through went to an upstream that another request had just crashed.
func TestTrialOnACrashedUpstreamIsNoFailedTrial(t *testing.T) {
	is := is.New(t)
	tracker, now := crashcause.NewTracker(), epoch
	crashing, sound := []crashcause.Part{1, 2, 9}, []crashcause.Part{1, 2, 3}
	for n := 1; n <= 6; n++ {
		tracker.RecordCrash(now, crashOf(n, crashing, sound))
		now = complete(tracker, now)
	}
	is.True(refuses(tracker, crashing...) && refuses(tracker, sound...)) // nothing tells them apart
	now = now.Add(5 * time.Second)
	tracker.RecordTrial(now, crashing)
	tracker.RecordCrash(now.Add(10*time.Millisecond), crashOf(7, crashing))
	now = now.Add(300 * time.Millisecond)
	tracker.RecordTrial(now, sound)
	tracker.EndTrial(now, sound)
	tracker.RecordCrash(now, crashcause.Crash{Upstream: instance(7), Runs: []crashcause.Run{{Request: 5, Parts: sound}}})
	now = complete(tracker, now)
	for parts, due := range map[*[]crashcause.Part]bool{&crashing: false, &sound: true} {
		g, refused := tracker.Filter().Match(*parts)
		is.True(refused)
		is.Equal(g.TrialDue(now), due)
	}
	tracker.RecordTrial(now, sound)
	tracker.RecordSound(now, runsOf(sound))
	for range 5 {
		tracker.RecordSound(now, runsOf(sound))
	}
	complete(tracker, now)
	is.True(!refuses(tracker, sound...))
	is.True(refuses(tracker, crashing...))
}

// TestRecordRoundTrip guards against a record in the store that a VM cannot read, and against one of
// another writer that ends it.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	record, err := crashcause.EncodeGroups([]crashcause.Group{{Parts: []crashcause.Part{1, 2}, Crashes: 5, FailedTrials: 1, LastCrash: epoch}})
	is.NoErr(err)
	groups, err := crashcause.DecodeGroups(record)
	is.NoErr(err)
	is.Equal(groups, []crashcause.Group{{Parts: []crashcause.Part{1, 2}, Crashes: 5, FailedTrials: 1}})
	for _, odd := range []string{"", "x", "\x01", "\x01\x81\xa1a\x01", "\x01\xdd\xff\xff\xff\xff"} {
		_, err := crashcause.DecodeGroups([]byte(odd))
		is.True(err != nil)
	}
}

// quietLoad is a fleet that serves sound requests, 15 a second for each VM and at most 300.
func quietLoad(vms int) load {
	return load{
		vms: vms, engines: max(8, 2*vms), soundPerSecond: min(15*float64(vms), 300), queue: 100 * time.Millisecond,
		down: 3 * time.Second, soundKinds: 60, length: 30 * time.Second,
	}
}

// TestFleetRefusesCrashingPart guards against more than three requests with a crashing part reaching
// engines later than the settle time after the fifth crash, and against refusing sound requests
// that share their other parts, for fleets of one VM to some hundred.
func TestFleetRefusesCrashingPart(t *testing.T) {
	loads := map[string]func(l *load){
		"first part":         func(l *load) { l.place = 0 },
		"second part":        func(l *load) { l.place = 1 },
		"third part":         func(l *load) { l.place = 2 },
		"other parts vary":   func(l *load) { l.place, l.variants = 1, 40 },
		"first part, varied": func(l *load) { l.place, l.variants = 0, 40 },
		"long queues":        func(l *load) { l.place, l.queue = 1, 800*time.Millisecond },
		"few requests":       func(l *load) { l.place, l.crashingPerSecond = 1, 0.7 },
		"lost messages":      func(l *load) { l.place, l.messageLoss = 1, 0.1 },
		"a pause": func(l *load) {
			l.place, l.pauseFrom, l.pauseTo, l.length = 1, 8*time.Second, 41*time.Second, 60*time.Second
		},
		"VMs start again":      func(l *load) { l.place, l.vmRestarts = 1, 2*time.Second },
		"gone unnoticed":       func(l *load) { l.place, l.unnoticed = 1, 700*time.Millisecond },
		"one kind of request":  func(l *load) { l.place, l.soundKinds, l.unnoticed = 2, 1, 700*time.Millisecond },
		"engines fail as well": func(l *load) { l.place, l.failures = 1, []failure{{2 * time.Second, 6, 300 * time.Millisecond}} },
	}
	large := map[string]bool{"first part": true, "other parts vary": true, "lost messages": true}
	for name, change := range loads {
		for _, vms := range []int{1, 4, 30, 200} {
			if vms > 100 && !large[name] { // these take most of the time
				continue
			}
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				t.Parallel()
				l := quietLoad(vms)
				l.crashingPerSecond = 10
				change(&l)
				if l.vmRestarts > 0 && vms == 1 {
					t.Skip("without another VM nothing but the store remembers")
				}
				runs := *seeds
				if vms > 100 {
					runs = 1
				}
				for seed := range uint64(runs) {
					o := simulate(l, seed+1)
					sent, refused := o.soundAfter()
					if late := o.lateArrivals(); late > 3 || 2*refused > sent {
						t.Errorf("seed %d: %d of %d crashing requests reached engines late, at most 3 may; %d of %d sound ones refused, at most half may; %d crashes",
							seed+1, late, len(o.arrivals), refused, sent, len(o.crashes))
					}
				}
			})
		}
	}
}

// TestFleetBlamesNoPartForOtherFailures guards against refusing sound requests when engines fail
// together, one after the other or by breaking single connections.
func TestFleetBlamesNoPartForOtherFailures(t *testing.T) {
	loads := map[string]func(l *load){
		"a rack":      func(l *load) { l.failures = []failure{{5 * time.Second, l.engines / 2, 0}} },
		"all engines": func(l *load) { l.failures = []failure{{5 * time.Second, l.engines, 0}} },
		"one by one":  func(l *load) { l.failures = []failure{{5 * time.Second, l.engines, 500 * time.Millisecond}} },
		"resets":      func(l *load) { l.reset = 0.25 },
	}
	for name, change := range loads {
		checkNoneRefused(t, name, change)
	}
}

// TestFleetTwiceWithoutEngines guards against refusing sound requests when all engines fail twice
// within seconds, with little time in between to see that they are sound.
func TestFleetTwiceWithoutEngines(t *testing.T) {
	checkNoneRefused(t, "all engines twice", func(l *load) {
		l.failures = []failure{{5 * time.Second, l.engines, 0}, {9 * time.Second, l.engines, 0}}
	})
}

// checkNoneRefused simulates fleets without crashing requests. One sound request in a hundred may be
// refused.
func checkNoneRefused(t *testing.T, name string, change func(l *load)) {
	for _, vms := range []int{1, 4, 30, 200} {
		t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
			t.Parallel()
			l := quietLoad(vms)
			change(&l)
			runs := *seeds
			if vms > 100 {
				runs = 1
			}
			for seed := range uint64(runs) {
				o := simulate(l, seed+1)
				if 100*len(o.refusedSound) > len(o.sentSound) {
					t.Errorf("seed %d: %d of %d sound requests refused; at most one in a hundred may be", seed+1, len(o.refusedSound), len(o.sentSound))
				}
			}
		})
	}
}
