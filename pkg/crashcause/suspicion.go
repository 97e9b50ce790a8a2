package crashcause

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSuspicions bounds the suspicions.
	maxSuspicions = 256
	// suspicionTrialAfter is the time after a crash from which one request with a suspected part is let
	// through.
	suspicionTrialAfter = 2 * time.Second
	// unshownTrialAfter is that time for a request whose upstream did not show the beginning of its
	// answer. Until then the VM that ran it may retry it, see Filter.Retry.
	unshownTrialAfter = time.Second
	// suspicionLifetime is the time after its last crash in which a suspicion without a trial is
	// dropped. The crash itself remains evidence.
	suspicionLifetime = time.Minute
	// commonFailure is the number of upstreams from which a failure within roundGap is taken for that
	// of a rack or a data centre, unless the same part was starting on several of them.
	commonFailure = 4
	// maxKnown bounds each of the two generations of parts that are known to be sound.
	maxKnown = 4096
)

// knownSound remembers the parts of the latest sound runs.
type knownSound struct {
	latest, older map[Part]struct{}
}

func (k *knownSound) add(parts []Part) {
	if k.latest == nil {
		k.latest = make(map[Part]struct{})
	}
	for _, p := range parts {
		k.latest[p] = struct{}{}
	}
	if len(k.latest) >= maxKnown {
		k.latest, k.older = nil, k.latest
	}
}

func (k *knownSound) contains(p Part) bool {
	if _, found := k.latest[p]; found {
		return true
	}
	_, found := k.older[p]
	return found
}

// SoundRequests remembers the latest requests that were answered. It is safe for concurrent use.
type SoundRequests struct {
	mu    sync.Mutex
	known knownSound
}

// Add records that a request was answered.
func (s *SoundRequests) Add(request Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.add([]Part{request})
}

// Contains reports whether a request was answered lately.
func (s *SoundRequests) Contains(request Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.contains(request)
}

// Of returns those requests of a crash that were answered lately, of the runs whose beginning the
// upstream did not show.
func (s *SoundRequests) Of(report *Crash) []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Part
	for i := range report.Runs {
		if r := &report.Runs[i]; r.isUnshown() && s.known.contains(r.Request) {
			list = append(list, r.Request)
		}
	}
	return list
}

// refused returns the groups and the suspicions.
func (t *Tracker) refused() []*Group {
	if len(t.suspicions) == 0 {
		return t.groups
	}
	return append(slices.Clip(t.groups), t.suspicions...)
}

// RecordKnownSound records the parts of a run that was sound, at this VM or according to another
// one, so that they are not suspected after a single crash. It does not outweigh crashes.
func (t *Tracker) RecordKnownSound(parts []Part) {
	t.known.add(parts)
	for _, p := range parts {
		if g := t.suspicionOf(p); g != nil && g.FailedTrials == 0 {
			t.dropSuspicion(p)
			t.changed = true
		}
	}
}

// TakeSuspected returns the parts that are suspected since the last call.
func (t *Tracker) TakeSuspected() []Part {
	list := t.suspected
	t.suspected = nil
	return list
}

// KnownSound returns those parts of the starting runs of a crash of which this VM knows that they
// are sound, and those runs' requests where the upstream did not show which one began.
func (t *Tracker) KnownSound(report *Crash) []Part {
	var list []Part
	for i := range report.Runs {
		r := &report.Runs[i]
		if !r.Starting {
			continue
		}
		parts := r.Parts
		if r.isUnshown() {
			parts = append(slices.Clip(parts), r.Request)
		}
		for _, p := range parts {
			if t.known.contains(p) && !slices.Contains(list, p) {
				list = append(list, p)
			}
		}
	}
	return list
}

// recordSuspectedCrash updates the suspicions when runs of a crash are reported.
func (t *Tracker) recordSuspectedCrash(now time.Time, c *crash, report *Crash) {
	reported := slices.Concat(c.Runs, report.Runs)
	explained := slices.ContainsFunc(t.groups, func(g *Group) bool { return startedWith(reported, g.Parts) })
	for i := range report.Runs {
		r := &report.Runs[i]
		// Where no answer is shown to begin, the group may itself be a sound request that ran on the same
		// upstreams.
		if !r.Starting || explained && !r.isUnshown() {
			continue
		}
		switch {
		case !r.isUnshown():
			t.suspect(now, c, r.Request, time.Time{}, suspicionTrialAfter)
		case !t.known.contains(r.Request):
			t.suspect(now, c, r.Request, t.undecidedUntil(now, HeardTime), unshownTrialAfter)
		}
		for _, p := range r.Parts {
			if !t.known.contains(p) {
				t.suspect(now, c, p, t.undecidedUntil(now, ReportingTime), suspicionTrialAfter)
			}
		}
	}
	if !explained && !slices.ContainsFunc(reported, func(r Run) bool { return r.Starting }) {
		t.suspectRepeated(now, c, report)
	}
}

// undecidedUntil returns the end of the time in which other VMs, if there are any, may say that a part
// is sound.
func (t *Tracker) undecidedUntil(now time.Time, wait time.Duration) time.Time {
	if t.alone {
		return now
	}
	return now.Add(wait)
}

// suspectRepeated suspects the requests that were running at another crash within roundGap as well,
// where the upstreams do not show which answer was about to begin. Both crashes are one observation
// for a group.
func (t *Tracker) suspectRepeated(now time.Time, c *crash, report *Crash) {
	for i := range report.Runs {
		p := report.Runs[i].Request
		s := t.suspects[p]
		repeated := slices.ContainsFunc(t.crashes, func(earlier *crash) bool {
			return earlier != c && now.Sub(earlier.at) < roundGap && (s == nil || earlier.at.After(s.clearedAt)) &&
				slices.ContainsFunc(earlier.Runs, func(r Run) bool { return r.Request == p })
		})
		if repeated {
			t.suspect(now, c, p, time.Time{}, suspicionTrialAfter)
		}
	}
}

// startedWith reports whether the answer to a request with the given parts was about to begin.
func startedWith(runs []Run, parts []Part) bool {
	return slices.ContainsFunc(runs, func(r Run) bool { return r.Starting && r.holds(parts) })
}

// suspect adds a crash to the suspicion of a part. A crash after the request that was let through
// began turns the suspicion into a group. trialAfter is the time from the crash to the next trial.
func (t *Tracker) suspect(now time.Time, c *crash, p Part, undecidedUntil time.Time, trialAfter time.Duration) {
	if s := t.suspects[p]; s != nil && !now.After(s.clearedAt) {
		return
	}
	g := t.suspicionOf(p)
	if g == nil {
		g = &Group{Parts: []Part{p}, UndecidedUntil: undecidedUntil}
		t.suspicions, t.suspected = append(t.suspicions, g), append(t.suspected, p)
		if len(t.suspicions) > maxSuspicions {
			t.suspicions = slices.Delete(t.suspicions, 0, 1)
		}
		if t.suspects[p] == nil {
			t.suspects[p] = &suspect{}
		}
	} else if startedWith(c.Runs, g.Parts) { // the same crash, also reported by another VM
		return
	}
	failed := g.onTrial || g.Crashes > 0 && !now.Before(g.TrialFrom)
	g.Crashes++
	g.LastCrash, g.onTrial, g.UndecidedUntil = now, false, undecidedUntil
	if failed && (trialAfter != unshownTrialAfter || g.Crashes >= minCrashes) { // fewer may be a coincidence
		g.FailedTrials++
	}
	g.TrialFrom = now.Add(trialAfter)
	if failed {
		g.TrialFrom, g.UndecidedUntil = now.Add(g.trialDelay()), time.Time{}
		t.dropSuspicion(p)
		t.addGroup(g)
	}
}

func (t *Tracker) suspicionOf(p Part) *Group {
	i := slices.IndexFunc(t.suspicions, func(g *Group) bool { return g.Parts[0] == p })
	if i < 0 {
		return nil
	}
	return t.suspicions[i]
}

// IsSuspicion reports whether a part is refused after a crash without a failed trial.
func (t *Tracker) IsSuspicion(p Part) bool { return t.suspicionOf(p) != nil }

func (t *Tracker) dropSuspicion(p Part) {
	t.suspicions = slices.DeleteFunc(t.suspicions, func(g *Group) bool { return g.Parts[0] == p })
}

// suspicionsExpire reports whether a suspicion is old.
func (t *Tracker) suspicionsExpire(now time.Time) bool {
	return slices.ContainsFunc(t.suspicions, func(g *Group) bool { return g.isOld(now) })
}

func (g *Group) isOld(now time.Time) bool { return now.Sub(g.LastCrash) > suspicionLifetime }

// expireSuspicions drops the suspicions that are old, that a group covers, and those that a common
// failure of many upstreams explains better.
func (t *Tracker) expireSuspicions(now time.Time) {
	t.suspicions = slices.DeleteFunc(t.suspicions, func(g *Group) bool {
		return g.isOld(now) ||
			slices.ContainsFunc(t.groups, func(group *Group) bool { return slices.Equal(group.Parts, g.Parts) }) ||
			g.Crashes == 1 && t.failedTogether(g.LastCrash)
	})
}

// failedTogether reports whether many upstreams crashed at about the given time.
func (t *Tracker) failedTogether(at time.Time) bool {
	count := 0
	for _, c := range t.crashes {
		if c.at.Sub(at).Abs() < roundGap {
			count++
		}
	}
	return count >= commonFailure
}
