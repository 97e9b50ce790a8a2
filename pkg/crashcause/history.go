package crashcause

import (
	"slices"
	"time"
)

// PastCrash is a crash and the time since it was first reported.
type PastCrash struct {
	Crash Crash
	Ago   time.Duration
}

// ClearedPart is a part and the time since sound runs last outweighed its crashes.
type ClearedPart struct {
	Part Part
	Ago  time.Duration
}

// PastGroup is a group that is refused, and the time since its last crash.
type PastGroup struct {
	Parts                 []Part
	Crashes, FailedTrials int
	Ago                   time.Duration
}

// History is the evidence of a VM and its conclusions, for one that starts. It holds at most maxGroups
// groups, maxCrashes crashes with maxParts parts, and those parts of them that were cleared or are
// known to be sound.
type History struct {
	Groups  []PastGroup
	Crashes []PastCrash
	Cleared []ClearedPart
	Sound   []Part
}

// History returns the evidence.
func (t *Tracker) History(now time.Time) History {
	var h History
	told := make(map[Part]bool)
	tell := func(p Part) {
		if told[p] {
			return
		}
		told[p] = true
		if s := t.suspects[p]; s != nil && !s.clearedAt.IsZero() {
			h.Cleared = append(h.Cleared, ClearedPart{p, now.Sub(s.clearedAt)})
		}
		if t.known.contains(p) {
			h.Sound = append(h.Sound, p)
		}
	}
	for _, g := range t.groups {
		h.Groups = append(h.Groups, PastGroup{g.Parts, g.Crashes, g.FailedTrials, now.Sub(g.LastCrash)})
	}
	for _, c := range t.crashes[max(0, len(t.crashes)-maxCrashes):] {
		h.Crashes = append(h.Crashes, PastCrash{Crash{Upstream: c.Upstream, Runs: slices.Clone(c.Runs)}, now.Sub(c.at)})
		for i := range c.Runs {
			tell(c.Runs[i].Request)
			for _, p := range c.Runs[i].Parts {
				tell(p)
			}
		}
	}
	return h
}

// AdoptHistory takes over the evidence of another VM. What this VM has seen itself meanwhile counts
// as well.
func (t *Tracker) AdoptHistory(now time.Time, h History) {
	t.known.add(h.Sound[:min(len(h.Sound), maxKnown)])
	for _, cleared := range h.Cleared[:min(len(h.Cleared), maxCleared)] {
		s := t.suspects[cleared.Part]
		if s == nil {
			s = &suspect{}
			t.suspects[cleared.Part] = s
		}
		if at := now.Add(-cleared.Ago); at.After(s.clearedAt) {
			s.clearedAt = at
		}
	}
	for _, g := range h.Groups[:min(len(h.Groups), maxGroups)] {
		t.Adopt(Group{Parts: g.Parts, Crashes: g.Crashes, FailedTrials: g.FailedTrials, LastCrash: now.Add(-g.Ago)})
	}
	crashes := t.crashes
	for _, past := range h.Crashes[:min(len(h.Crashes), maxCrashes)] {
		if slices.ContainsFunc(crashes, func(c *crash) bool { return c.Upstream == past.Crash.Upstream }) {
			continue
		}
		c := &crash{Crash: Crash{Upstream: past.Crash.Upstream}, at: now.Add(-past.Ago)}
		c.Add(past.Crash.Runs)
		crashes = append(crashes, c)
	}
	slices.SortStableFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	// The suspicions follow from the crashes in their order, those without a group.
	t.crashes, t.suspicions = nil, nil
	for _, c := range crashes {
		replayed := &crash{Crash: Crash{Upstream: c.Upstream}, at: c.at}
		t.crashes = append(t.crashes, replayed)
		t.recordSuspectedCrash(c.at, replayed, &c.Crash)
		replayed.Add(c.Runs)
	}
	t.changed = true
}
