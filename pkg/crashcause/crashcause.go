// Package crashcause finds the requests that crash upstreams: the part of a prompt that many
// requests share, or a request that is sent again. It performs no I/O and reads no clock.
//
// An upstream that crashes breaks all its runs, and only one of them was the cause. Two conclusions
// are drawn, the first one after a single crash:
//
//   - Suspicion: a run whose answer was about to begin (Run.Starting) is the likely cause. The
//     request, and each of its parts that no sound run has had lately, is refused until one request
//     that holds it, let through alone, shows whether it crashes upstreams (a trial). Where upstreams
//     don't show which answer is about to begin, all runs without an answer are suspected that no
//     VM knows to be sound; the VM that has such a run retries it, which is the trial (Filter.Retry).
//   - Group: what the broken runs of several crashes have in common is refused, and so is a suspicion
//     whose trial failed.
//
// A run that goes on after its first events shows that its parts crash nothing.
//
// Invariants:
//   - a group refuses a request only if it holds all parts that the evidence cannot tell apart, so
//     that requests that share some of them are served and tell them apart;
//   - a suspicion ends with the first sound request from suspicionTrialAfter after the last crash on,
//     which any VM may let through;
//   - evidence is dropped by later evidence or for lack of space, not by the passing of time;
//   - memory, messages and the work for one request are bounded.
package crashcause

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/notice"
)

// Part identifies a part of a prompt, or a whole request. It is a hash.
type Part uint64

// PartOf returns the Part of a prompt part with the given ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String("part " + id)) }

// Run is a run that an upstream ended without a complete answer.
type Run struct {
	// Began is set if the upstream had begun its answer.
	Began bool
	// Request identifies the whole request.
	Request Part
	// Parts are the shared parts of its prompt, at most MaxParts. They are left out if the answer
	// had gone on after its first events.
	Parts []Part
	// Starting is set if the upstream has ended, and had begun its answer and sent no event of it: the
	// state in which a request crashes the upstream. If it is set without Began, the upstream is one
	// that does not show the beginning of an answer.
	Starting bool
}

// isUnshown reports whether the run is suspected because its upstream had sent nothing of the answer.
func (r *Run) isUnshown() bool { return r.Starting && !r.Began }

// rank orders the runs of a crash by what they tell about its cause, the most telling first.
func (r *Run) rank() int {
	switch {
	case r.Starting:
		return 0
	case r.Began && len(r.Parts) > 0:
		return 1
	case r.Began:
		return 2
	}
	return 3
}

// holds reports whether a run holds all the given parts.
func (r *Run) holds(parts []Part) bool {
	for _, p := range parts {
		if p != r.Request && !slices.Contains(r.Parts, p) {
			return false
		}
	}
	return true
}

// Crash is the end of an upstream with what was running on it.
type Crash struct {
	Upstream notice.Instance
	Runs     []Run
}

const (
	// MaxParts bounds the parts of one request that are looked at.
	MaxParts = 256
	// MaxRunsPerCrash and MaxPartsPerCrash bound what is kept of one crash.
	MaxRunsPerCrash, MaxPartsPerCrash = 64, 512
	// maxCrashes and maxParts bound the crashes that are kept, and the parts in all of them.
	maxCrashes, maxParts = 128, 8 * MaxPartsPerCrash
	// maxGroups bounds the groups that are refused.
	maxGroups = 256
	// maxGroupParts bounds the parts of one group.
	maxGroupParts = 8
	// maxCleared bounds the parts of which it is remembered that they were cleared.
	maxCleared = 4096
)

// Add adds runs. Beyond the bounds it keeps the most telling ones.
func (c *Crash) Add(runs []Run) {
	c.Runs = append(c.Runs, runs...)
	slices.SortStableFunc(c.Runs, func(a, b Run) int { return a.rank() - b.rank() })
	c.Runs = c.Runs[:min(len(c.Runs), MaxRunsPerCrash)]
	parts := 0
	for i := range c.Runs {
		r := &c.Runs[i]
		r.Parts = r.Parts[:min(len(r.Parts), MaxParts)]
		if parts += len(r.Parts) + 1; parts > MaxPartsPerCrash {
			c.Runs = c.Runs[:i]
			return
		}
	}
}

// HasStarting reports whether a run whose answer was about to begin is among the runs.
func (c *Crash) HasStarting() bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool { return r.Starting })
}

// crash is a Crash at the time at which it was first reported.
type crash struct {
	Crash
	at time.Time
}

// suspect is what is known of a part that occurred in a crash or in a group.
type suspect struct {
	// clearedAt is when sound runs last outweighed the crashes; earlier crashes do not count.
	clearedAt time.Time
	// sound counts the sound runs since then.
	sound int
	// crashes is the number of crashes since then.
	crashes int
}

// Tracker collects crashes and sound runs and decides what is refused. It is not safe for concurrent
// use.
type Tracker struct {
	crashes  []*crash // in the order of at
	suspects map[Part]*suspect
	groups   []*Group
	// suspicions are refused like groups, each with one part.
	suspicions []*Group
	// suspected lists the parts that are suspected since the last call of TakeSuspected.
	suspected []Part
	known     knownSound
	// alone is set while there is no other VM that could report a crash as well.
	alone bool
	// changed is set if Update has something to do.
	changed bool
	// ambiguous is set if several explanations are equally good.
	ambiguous bool
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker { return &Tracker{suspects: make(map[Part]*suspect)} }

// SetAlone says whether there is no other VM.
func (t *Tracker) SetAlone(alone bool) { t.alone = alone }

// RecordCrash records what ran on an upstream when it crashed, and reports whether that is news.
// Reports of the same crash add up; one that was sent again changes nothing.
func (t *Tracker) RecordCrash(now time.Time, report Crash) bool {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.Upstream == report.Upstream })
	if i >= 0 && t.crashes[i].hasAll(report.Runs) {
		return false
	}
	if i < 0 {
		t.crashes = append(t.crashes, &crash{Crash: Crash{Upstream: report.Upstream}, at: now})
		i = len(t.crashes) - 1
	}
	c := t.crashes[i]
	t.recordSuspectedCrash(now, c, &report)
	for _, g := range t.groups {
		if !report.isExplainedBy(g) || c.isExplainedBy(g) && now.Sub(g.LastCrash) < ReportingTime {
			continue
		}
		if !report.hadBegun(g) && t.isCausedByOther(g, &c.Crash, &report) {
			continue
		}
		if g.onTrial || !now.Before(g.TrialFrom) {
			g.FailedTrials++
			g.onTrial = false
		}
		g.Crashes++
		g.LastCrash = now
		g.TrialFrom = now.Add(g.trialDelay())
	}
	c.Add(report.Runs)
	t.changed = true
	return true
}

// hasAll reports whether a crash holds all the given runs, each as often as it is given.
func (c *Crash) hasAll(runs []Run) bool {
	count := func(list []Run, r *Run) (n int) {
		for i := range list {
			if list[i].Request == r.Request && list[i].Starting == r.Starting && list[i].Began == r.Began && slices.Equal(list[i].Parts, r.Parts) {
				n++
			}
		}
		return n
	}
	for i := range runs {
		if count(c.Runs, &runs[i]) < count(runs, &runs[i]) {
			return false
		}
	}
	return true
}

// isIncomplete reports whether some VMs may not have reported the crash yet.
func (t *Tracker) isIncomplete(now time.Time, c *crash) bool {
	return !t.alone && now.Sub(c.at) < ReportingTime
}

// isExplainedBy reports whether a request of a group ran when the upstream crashed.
func (c *Crash) isExplainedBy(g *Group) bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool { return r.holds(g.Parts) })
}

// hadBegun reports whether the answer to a request of a group had begun when the upstream crashed.
func (c *Crash) hadBegun(g *Group) bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool { return r.Began && r.holds(g.Parts) })
}

// isCausedByOther reports whether, according to some reports of a crash, the answer to a request of a
// group other than g had begun.
func (t *Tracker) isCausedByOther(g *Group, reports ...*Crash) bool {
	return slices.ContainsFunc(t.groups, func(other *Group) bool {
		return other != g && slices.ContainsFunc(reports, func(c *Crash) bool { return c.hadBegun(other) })
	})
}

// SoundRuns is a number of runs with a part that were sound. For a whole request this means that it
// was answered completely.
type SoundRuns struct {
	Part Part
	Runs int
}

// RecordSound records sound runs.
func (t *Tracker) RecordSound(now time.Time, reports []SoundRuns) {
	parts := make([]Part, len(reports))
	for i, r := range reports {
		parts[i] = r.Part
	}
	t.known.add(parts)
	for _, g := range t.refused() {
		if containsAll(parts, g.Parts) && now.Before(g.TrialFrom) {
			g.TrialFrom, g.onTrial = now, false
		}
	}
	for i, p := range parts {
		s := t.suspects[p]
		if s == nil || !t.IsSuspected(p) {
			continue
		}
		s.sound += min(reports[i].Runs, soundRunsToClear)
		if s.sound >= min(max(s.crashes, t.groupCrashes(p), 1), soundRunsToClear) {
			t.clear(now, p)
		}
	}
	t.changed = true
}

// groupCrashes returns the largest number of crashes of the groups that hold a part.
func (t *Tracker) groupCrashes(p Part) int {
	most := 0
	for _, g := range t.refused() {
		if slices.Contains(g.Parts, p) {
			most = max(most, g.Crashes)
		}
	}
	return most
}

// clear ends the suspicion of a part.
func (t *Tracker) clear(now time.Time, p Part) {
	*t.suspects[p] = suspect{clearedAt: now}
	for _, g := range t.groups {
		g.Parts = slices.DeleteFunc(slices.Clone(g.Parts), func(q Part) bool { return q == p })
	}
	t.groups = slices.DeleteFunc(t.groups, func(g *Group) bool { return len(g.Parts) == 0 })
	t.dropSuspicion(p)
}

// IsSuspected reports whether sound runs with a part are evidence.
func (t *Tracker) IsSuspected(p Part) bool {
	s := t.suspects[p]
	return s != nil && (s.crashes > 0 || t.groupCrashes(p) > 0)
}

// Update draws the conclusions from the evidence since the last call. It returns the groups that are
// refused from now on, and whether anything changed that Filter shows.
func (t *Tracker) Update(now time.Time) (added []Group, changed bool) {
	if t.suspicionsExpire(now) {
		t.changed = true
	}
	if !t.changed {
		return nil, false
	}
	t.expireSuspicions(now)
	t.prune()
	t.ambiguous = false
	for range maxExplanations {
		found := t.explain(now)
		progress := false
		for _, g := range found {
			g.TrialFrom = now.Add(firstTrialAfter)
			if t.addGroup(g) {
				added, progress = append(added, *g), true
			}
		}
		if !progress {
			break
		}
	}
	t.changed = t.ambiguous || slices.ContainsFunc(t.crashes, func(c *crash) bool { return t.isIncomplete(now, c) })
	return added, true
}

// prune drops the oldest crashes beyond the bounds, those of which nothing is suspected any more,
// and what is known of parts that no longer occur.
func (t *Tracker) prune() {
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	total := 0
	for i := len(t.crashes) - 1; i >= 0; i-- {
		c := t.crashes[i]
		for k := range c.Runs {
			total += len(c.Runs[k].Parts) + 1
		}
		if len(t.crashes)-i > maxCrashes || total > maxParts && i < len(t.crashes)-1 {
			t.crashes = slices.Delete(t.crashes, 0, i+1)
			break
		}
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return !t.isSuspicious(c) })
	occurs := make(map[Part]bool)
	for _, c := range t.crashes {
		for k := range c.Runs {
			occurs[c.Runs[k].Request] = true
			for _, p := range c.Runs[k].Parts {
				occurs[p] = true
			}
		}
	}
	for _, g := range t.refused() {
		for _, p := range g.Parts {
			occurs[p] = true
		}
	}
	for p := range occurs {
		if t.suspects[p] == nil {
			t.suspects[p] = &suspect{}
		}
	}
	if excess := len(t.suspects) - len(occurs) - maxCleared; excess > 0 {
		for p := range t.suspects {
			if !occurs[p] {
				delete(t.suspects, p)
			}
		}
	}
}

// isSuspicious reports whether a crash is evidence against any part.
func (t *Tracker) isSuspicious(c *crash) bool {
	against := func(p Part) bool {
		s := t.suspects[p]
		return s == nil || c.at.After(s.clearedAt)
	}
	for k := range c.Runs {
		r := &c.Runs[k]
		if against(r.Request) || slices.ContainsFunc(r.Parts, against) {
			return true
		}
	}
	return false
}
