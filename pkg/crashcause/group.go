package crashcause

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// firstTrialAfter is the time after the last crash from which one request is let through, to
	// find out whether it still crashes upstreams.
	firstTrialAfter = 5 * time.Second
	// trialBackoff multiplies that time after each such request that crashed an upstream.
	trialBackoff = 24
	// maxTrialDelay bounds it.
	maxTrialDelay = 30 * 24 * time.Hour
	// trialOutcomeTime is the time in which most requests that were let through have shown whether they
	// crash upstreams.
	trialOutcomeTime = 500 * time.Millisecond
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
	// UndecidedUntil is the time until which a part without a failed trial may be found sound at any
	// moment: other VMs may say so, or a request that was let through shows it.
	UndecidedUntil time.Time
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

// TrialSpacing is the least time between two requests that a VM lets through to find out whether they
// still crash upstreams, and the time for which VMs wait for one another with it: longer than it takes
// until all have heard of the first one.
const TrialSpacing = 250 * time.Millisecond

// TrialDelay returns how long a VM leaves the trial of a group to the given number of VMs that come
// before it in an order of the group's own. The number of VMs that may begin it doubles with each
// TrialSpacing, so that the first one of which callers have such a request begins it alone.
func TrialDelay(vmsAhead int) time.Duration {
	return time.Duration(bits.Len(uint(vmsAhead))) * TrialSpacing
}

// RecordTrial records that a request of a group is let through. The message may come after that of the
// crash which ended the trial, and then changes nothing.
func (t *Tracker) RecordTrial(now time.Time, parts []Part) {
	for _, g := range t.refused() {
		if slices.Equal(g.Parts, parts) && (g.FailedTrials == 0 || !now.Before(g.TrialFrom)) {
			g.TrialFrom, g.onTrial = now.Add(trialTimeout), true
			if g.FailedTrials == 0 {
				g.UndecidedUntil = now.Add(trialOutcomeTime)
			}
		}
	}
	t.changed = true
}

// EndTrial records that a request of a group that was let through has ended. If neither a crash nor
// a sound run was recorded, the next one may be let through.
func (t *Tracker) EndTrial(now time.Time, parts []Part) {
	for _, g := range t.refused() {
		if slices.Equal(g.Parts, parts) && g.onTrial {
			g.TrialFrom, g.onTrial = now, false
		}
	}
	t.changed = true
}

// Adopt takes over a group that another VM refuses, or that was stored. It returns the parts of it
// that this tracker has cleared since.
func (t *Tracker) Adopt(other Group) (cleared []Part) {
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
