// Package crashcause finds the requests that crash upstreams: the part of a prompt that many
// requests share, or a request that is sent again. It performs no I/O and reads no clock.
//
// An upstream that crashes breaks all its runs, and only one of them was the cause. What the broken
// runs of several crashes have in common is suspected. A run that goes on after its first events
// shows that its parts crash nothing.
//
// Invariants:
//   - a request is refused only if it holds all parts that the evidence cannot tell apart, so that
//     requests that share some of them are served and tell them apart;
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
}

// rank orders the runs of a crash by what they tell about its cause, the most telling first.
func (r *Run) rank() int {
	switch {
	case r.Began && len(r.Parts) > 0:
		return 0
	case r.Began:
		return 1
	}
	return 2
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

const (
	// minCrashes is the number of upstreams that must have crashed before anything is refused.
	// Fewer may be a coincidence.
	minCrashes = 3
	// minRounds is the number of separate times at which they crashed. Upstreams that fail
	// together, such as those of a rack, are one observation.
	minRounds = 3
	// manyCrashes is the number of upstreams from which manyCrashesRounds such times are enough if no
	// run was sound: the upstreams of a small fleet may all be gone by then.
	manyCrashes, manyCrashesRounds = 5, 2
	// roundGap separates two of these times.
	roundGap = 200 * time.Millisecond
	// reportingTime is the time after its first report in which the other VMs report a crash as
	// well. Before that, the run that caused it may be missing.
	reportingTime = 200 * time.Millisecond
	// beganWeight and waitingWeight are the weights of a run whose answer had begun, and of one
	// that may have waited in the upstream's queue.
	beganWeight, waitingWeight = 1.0, 0.5
	// minWeight is the sum of weights, one for each crash, from which a part is refused.
	minWeight = 2.5
	// ambiguousWeight is the weight from which several explanations that are equally good are
	// all refused, ambiguousTime after it was reached. Until then, the next crash or sound run
	// may tell them apart.
	ambiguousWeight = 5
	ambiguousTime   = time.Second
	// crashesPerSoundRun is the number of crashes that outweigh one sound run. Some upstreams may
	// bear what crashes the others.
	crashesPerSoundRun = 3
	// soundRunsToClear is the largest number of sound runs that are needed to clear a part.
	soundRunsToClear = 5
)

const (
	// firstTrialAfter is the time after the last crash from which one request is let through, to
	// find out whether it still crashes upstreams.
	firstTrialAfter = 5 * time.Second
	// trialBackoff multiplies that time after each such request that crashed an upstream.
	trialBackoff = 24
	// maxTrialDelay bounds it.
	maxTrialDelay = 30 * 24 * time.Hour
	// trialTimeout is the time after which a request that was let through counts as lost.
	trialTimeout = 5 * time.Second
)

// Group is a set of parts that crashed upstreams together. Requests that hold all of them are
// refused.
type Group struct {
	// Parts are the parts in ascending order.
	Parts []Part
	// Crashes is the number of upstreams that crashed.
	Crashes int
	// LastCrash is the time of the last crash.
	LastCrash time.Time
	// FailedTrials counts the requests that were let through and crashed an upstream.
	FailedTrials int
	// TrialFrom is the time from which a request may be let through.
	TrialFrom time.Time
	// onTrial is set while the outcome of a request that was let through is unknown.
	onTrial bool
}

// trialDelay returns the time from the last crash to the next trial.
func (g *Group) trialDelay() time.Duration {
	delay := firstTrialAfter
	for range g.FailedTrials {
		if delay *= trialBackoff; delay > maxTrialDelay {
			return maxTrialDelay
		}
	}
	return delay
}

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

// RecordCrash records what ran on an upstream when it crashed. Reports of the same crash add up.
func (t *Tracker) RecordCrash(now time.Time, report Crash) {
	i := slices.IndexFunc(t.crashes, func(c *crash) bool { return c.Upstream == report.Upstream })
	if i < 0 {
		t.crashes = append(t.crashes, &crash{Crash: Crash{Upstream: report.Upstream}, at: now})
		i = len(t.crashes) - 1
	}
	c := t.crashes[i]
	for _, g := range t.groups {
		reported := &crash{Crash: report}
		if !reported.isExplainedBy(g) || c.isExplainedBy(g) && now.Sub(g.LastCrash) < reportingTime {
			continue
		}
		if !reported.hadBegun(g) && t.isCausedByOther(g, c, reported) {
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
}

// isIncomplete reports whether some VMs may not have reported the crash yet.
func (t *Tracker) isIncomplete(now time.Time, c *crash) bool {
	return !t.alone && now.Sub(c.at) < reportingTime
}

// isExplainedBy reports whether a request of a group ran when the upstream crashed.
func (c *crash) isExplainedBy(g *Group) bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool { return r.holds(g.Parts) })
}

// hadBegun reports whether the answer to a request of a group had begun when the upstream crashed.
func (c *crash) hadBegun(g *Group) bool {
	return slices.ContainsFunc(c.Runs, func(r Run) bool { return r.Began && r.holds(g.Parts) })
}

// isCausedByOther reports whether, according to some reports of a crash, the answer to a request of a
// group other than g had begun.
func (t *Tracker) isCausedByOther(g *Group, reports ...*crash) bool {
	return slices.ContainsFunc(t.groups, func(other *Group) bool {
		return other != g && slices.ContainsFunc(reports, func(c *crash) bool { return c.hadBegun(other) })
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
	for _, g := range t.groups {
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
	for _, g := range t.groups {
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
}

// IsSuspected reports whether sound runs with a part are evidence.
func (t *Tracker) IsSuspected(p Part) bool {
	s := t.suspects[p]
	return s != nil && (s.crashes > 0 || t.groupCrashes(p) > 0)
}

// RecordTrial records that a request of a group is let through.
func (t *Tracker) RecordTrial(now time.Time, parts []Part) {
	for _, g := range t.groups {
		if slices.Equal(g.Parts, parts) {
			g.TrialFrom, g.onTrial = now.Add(trialTimeout), true
		}
	}
	t.changed = true
}

// EndTrial records that a request of a group that was let through has ended. If neither a crash nor
// a sound run was recorded, the next one may be let through.
func (t *Tracker) EndTrial(now time.Time, parts []Part) {
	for _, g := range t.groups {
		if slices.Equal(g.Parts, parts) && g.onTrial {
			g.TrialFrom, g.onTrial = now, false
		}
	}
	t.changed = true
}

// Adopt takes over a group that another VM refuses, or that was stored. It returns the parts of it
// that this tracker has cleared since.
func (t *Tracker) Adopt(now time.Time, other Group) (cleared []Part) {
	var parts []Part
	for _, p := range other.Parts[:min(len(other.Parts), maxGroupParts)] {
		if s := t.suspects[p]; s != nil && s.clearedAt.After(other.LastCrash) {
			cleared = append(cleared, p)
			continue
		}
		parts = append(parts, p)
	}
	if len(parts) == 0 {
		return cleared
	}
	slices.Sort(parts)
	adopted := Group{Parts: slices.Compact(parts), Crashes: other.Crashes, LastCrash: other.LastCrash, FailedTrials: other.FailedTrials}
	adopted.TrialFrom = adopted.LastCrash.Add(adopted.trialDelay())
	t.addGroup(&adopted)
	return cleared
}

// addGroup adds a group unless one with fewer parts covers it, and reports whether the groups
// changed. A group with more parts is replaced.
func (t *Tracker) addGroup(g *Group) bool {
	for _, old := range t.groups {
		if !containsAll(g.Parts, old.Parts) {
			continue
		}
		if len(old.Parts) == len(g.Parts) && g.FailedTrials > old.FailedTrials {
			*old = *g
		}
		return false
	}
	t.groups = slices.DeleteFunc(t.groups, func(old *Group) bool { return containsAll(old.Parts, g.Parts) })
	t.groups = append(t.groups, g)
	if len(t.groups) > maxGroups {
		oldest := slices.MinFunc(t.groups, func(a, b *Group) int { return a.LastCrash.Compare(b.LastCrash) })
		t.groups = slices.DeleteFunc(t.groups, func(g *Group) bool { return g == oldest })
	}
	for _, p := range g.Parts {
		if t.suspects[p] == nil {
			t.suspects[p] = &suspect{}
		}
	}
	t.changed = true
	return true
}

// Groups returns the groups, the ones with the latest crashes first.
func (t *Tracker) Groups() []Group {
	list := make([]Group, 0, len(t.groups))
	for _, g := range t.groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b Group) int { return b.LastCrash.Compare(a.LastCrash) })
	return list
}

// Update draws the conclusions from the evidence since the last call. It returns the groups that are
// refused from now on, and whether anything changed that Filter shows.
func (t *Tracker) Update(now time.Time) (added []Group, changed bool) {
	if !t.changed {
		return nil, false
	}
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

// maxTied bounds the equally good explanations that are compared.
const maxTied = 64

// maxExplanations bounds the groups that one update finds one after the other.
const maxExplanations = 4

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
	for _, g := range t.groups {
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

// candidate is the evidence against one part.
type candidate struct {
	part      Part
	crashes   int
	rounds    int
	runs      int
	weight    float64
	lastRound time.Time
	lastCrash time.Time
	// manyAt is when weight reached ambiguousWeight.
	manyAt time.Time
}

// suffices reports whether the evidence is enough if there is no better explanation. sound is the
// number of sound runs with the part.
func (e *candidate) suffices(sound int) bool {
	separate := e.rounds >= minRounds && e.crashes >= minCrashes || e.rounds >= manyCrashesRounds && e.weight >= manyCrashes && sound == 0
	return separate && e.weight >= minWeight
}

// candidates sums up the evidence against each part. A crash that a group explains is evidence only
// against the parts of that group.
func (t *Tracker) candidates(now time.Time) map[Part]*candidate {
	for _, s := range t.suspects {
		s.crashes = 0
	}
	all := make(map[Part]*candidate)
	for _, c := range t.crashes {
		var explained []*Group
		for _, g := range t.groups {
			if c.isExplainedBy(g) {
				explained = append(explained, g)
			}
		}
		weights := make(map[Part]float64)
		for k := range c.Runs {
			r := &c.Runs[k]
			t.addRun(all, weights, c, r)
		}
		for p, weight := range weights {
			t.suspects[p].crashes++
			if t.isIncomplete(now, c) {
				continue
			}
			if slices.ContainsFunc(explained, func(g *Group) bool { return !slices.Contains(g.Parts, p) }) {
				continue
			}
			e := all[p]
			e.crashes++
			if e.weight += weight; e.weight >= ambiguousWeight && e.manyAt.IsZero() {
				e.manyAt = c.at
			}
			e.lastCrash = c.at
			if e.rounds == 0 || c.at.Sub(e.lastRound) >= roundGap {
				e.rounds++
				e.lastRound = c.at
			}
		}
	}
	return all
}

// addRun adds a run to the evidence against its parts, and its weights for one crash.
func (t *Tracker) addRun(all map[Part]*candidate, weights map[Part]float64, c *crash, r *Run) {
	weight := waitingWeight
	if r.Began {
		weight = beganWeight
	}
	add := func(p Part, weight float64) {
		if !c.at.After(t.suspects[p].clearedAt) {
			return
		}
		e := all[p]
		if e == nil {
			e = &candidate{part: p}
			all[p] = e
		}
		e.runs++
		weights[p] = max(weights[p], weight)
	}
	add(r.Request, beganWeight) // sent again, it is evidence by itself
	for _, p := range r.Parts {
		add(p, weight)
	}
}

// explain returns the groups that explain most crashes, if there are enough of these.
func (t *Tracker) explain(now time.Time) []*Group {
	all := t.candidates(now)
	top := 0.0
	for p, e := range all {
		if t.isSole(p) || t.suspects[p].sound*crashesPerSoundRun > e.crashes {
			delete(all, p)
			continue
		}
		top = max(top, e.weight)
	}
	var tied []*candidate
	for _, e := range all {
		if e.weight == top && e.suffices(t.suspects[e.part].sound) {
			tied = append(tied, e)
		}
	}
	slices.SortFunc(tied, func(a, b *candidate) int { // the one with the fewest other runs is most specific
		if a.runs != b.runs {
			return a.runs - b.runs
		}
		if a.part < b.part {
			return -1
		}
		return 1
	})
	tied = tied[:min(len(tied), maxTied)]
	var groups []*Group
	grouped := make(map[Part]bool)
	for _, e := range tied {
		if grouped[e.part] {
			continue
		}
		g := &Group{Crashes: e.crashes, LastCrash: e.lastCrash}
		for _, other := range tied {
			if t.isCompanion(other.part, e.part) {
				grouped[other.part] = true
				if len(g.Parts) < maxGroupParts {
					g.Parts = append(g.Parts, other.part)
				}
			}
		}
		slices.Sort(g.Parts)
		lessSpecific := slices.ContainsFunc(groups, func(specific *Group) bool { return containsAll(specific.Parts, g.Parts) })
		if !lessSpecific && t.explainsMore(g) {
			groups = append(groups, g)
		}
	}
	if len(groups) > 1 && (top < ambiguousWeight || now.Sub(tied[0].manyAt) < ambiguousTime) {
		t.ambiguous = true
		return nil
	}
	return groups
}

// explainsMore reports whether a group explains a crash that no group with more parts explains.
func (t *Tracker) explainsMore(g *Group) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool {
		return c.isExplainedBy(g) && !slices.ContainsFunc(t.groups, func(old *Group) bool {
			return containsAll(old.Parts, g.Parts) && c.isExplainedBy(old)
		})
	})
}

// isCompanion reports whether all runs that are evidence against a part also hold another one.
func (t *Tracker) isCompanion(other, p Part) bool {
	for _, c := range t.crashes {
		if !c.at.After(t.suspects[p].clearedAt) {
			continue
		}
		for k := range c.Runs {
			if r := &c.Runs[k]; r.holds([]Part{p}) && !r.holds([]Part{other}) {
				return false
			}
		}
	}
	return true
}

// isSole reports whether a part is refused by itself.
func (t *Tracker) isSole(p Part) bool {
	return slices.ContainsFunc(t.groups, func(g *Group) bool { return len(g.Parts) == 1 && g.Parts[0] == p })
}

// containsAll reports whether a list contains all the given parts.
func containsAll(list, parts []Part) bool {
	for _, p := range parts {
		if !slices.Contains(list, p) {
			return false
		}
	}
	return true
}
