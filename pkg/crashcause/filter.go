package crashcause

import (
	"slices"
	"time"
)

// Filter is what requests are checked against. It is immutable and safe for concurrent use.
type Filter struct {
	// byPart maps the first part of each group to the groups.
	byPart map[Part][]Group
	// suspected holds the parts of which sound runs are evidence.
	suspected map[Part]bool
}

// Filter returns the state for requests, or nil if there is nothing to check.
func (t *Tracker) Filter() *Filter {
	f := &Filter{byPart: make(map[Part][]Group), suspected: make(map[Part]bool)}
	for _, g := range t.refused() {
		f.byPart[g.Parts[0]] = append(f.byPart[g.Parts[0]], *g)
	}
	for p := range t.suspects {
		if t.IsSuspected(p) {
			f.suspected[p] = true
		}
	}
	if len(f.suspected) == 0 {
		return nil
	}
	return f
}

// Match returns the group that refuses a request with the given parts, if there is one. Of several
// it returns the one with the latest trial.
func (f *Filter) Match(parts []Part) (Group, bool) {
	var found Group
	for _, p := range parts {
		for _, g := range f.byPart[p] {
			if containsAll(parts, g.Parts) && (found.Parts == nil || g.TrialFrom.After(found.TrialFrom)) {
				found = g
			}
		}
	}
	return found, found.Parts != nil
}

// Suspected returns the given parts of which sound runs are evidence.
func (f *Filter) Suspected(parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool { return !f.suspected[p] })
}

// RefusesAny reports whether any request is refused.
func (f *Filter) RefusesAny() bool { return len(f.byPart) > 0 }

// Undecided reports whether a request of the group had better wait than be refused: the part may
// be found sound at once.
func (g *Group) Undecided(now time.Time) bool { return now.Before(g.UndecidedUntil) }

// TrialDue reports whether a request of a group may be let through.
func (g *Group) TrialDue(now time.Time) bool { return !now.Before(g.TrialFrom) }
