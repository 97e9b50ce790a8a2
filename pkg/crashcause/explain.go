package crashcause

import (
	"slices"
	"time"
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
	// ReportingTime is the time after its first report in which the other VMs report a crash as
	// well. Before that, the run that caused it may be missing.
	ReportingTime = 200 * time.Millisecond
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

// maxTied bounds the equally good explanations that are compared.
const maxTied = 64

// maxExplanations bounds the groups that one update finds one after the other.
const maxExplanations = 4

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
