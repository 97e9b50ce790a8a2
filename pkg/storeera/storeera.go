// Package storeera follows the eras of the platform's store: when it came back from an
// older copy of itself, what it acknowledged since that copy is lost, and offsets are
// given out again. The package decides which answers count and which configuration is in
// force. It is pure.
//
// Invariants:
//   - an answer counts only if it is of the newest known copy, or the first of a newer one;
//   - the version of the configuration goes back only when the operator wrote the older
//     one anew, after the store came back, and nothing newer follows it for a while.
package storeera

import "time"

// Era numbers the copies from which the store came back. 0 stands for an answer that
// names none.
type Era uint64

// Mark says before which return of the store a call began.
type Mark uint64

// Verdict says what an answer means.
type Verdict uint8

// The verdicts.
const (
	// Current: the answer is of the known copy.
	Current Verdict = iota
	// Restored: the answer is the first of another copy. All positions are void.
	Restored
	// Late: the answer is of a copy that is no more, and counts for nothing.
	Late
)

var verdictNames = [...]string{"current", "restored", "late"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Tracker keeps the newest era. It is not safe for concurrent use.
type Tracker struct {
	era      Era
	highest  Era
	restores Mark
}

// Era returns the newest known era, 0 before any.
func (t *Tracker) Era() Era { return t.era }

// Mark returns the mark of a call that begins now. It changes with each return of the
// store, so that positions are void whose mark is another one.
func (t *Tracker) Mark() Mark { return t.restores }

// Answered judges an answer to a call that began at a mark.
func (t *Tracker) Answered(began Mark, era Era) Verdict {
	switch {
	case era == 0:
		if began != t.restores { // nothing says of which copy it is
			return Late
		}
		return Current
	case t.era == 0:
		t.enter(era)
		return Current
	case era == t.era:
		return Current
	case era < t.era && began != t.restores:
		return Late
	}
	// A lower era in an answer to a call that began under the higher one: the store itself
	// was replaced.
	t.enter(era)
	t.restores++
	return Restored
}

// Heard takes in the era that another VM knows and reports whether the store came back
// since. Only an era above all that were known here counts: the other VM may be behind.
func (t *Tracker) Heard(era Era) bool {
	if era <= t.highest {
		return false
	}
	first := t.era == 0
	t.enter(era)
	if !first {
		t.restores++
	}
	return !first
}

func (t *Tracker) enter(era Era) {
	t.era = era
	t.highest = max(t.highest, era)
}

// SettleTime is how long an older version that the operator wrote anew must stand before
// it is in force: the operator may write all versions again, one after the other. The
// platform's contract names about two seconds for what comes back.
const SettleTime = 2500 * time.Millisecond

// Version orders configurations.
type Version struct {
	// Reverted is the era in which the operator last went back to an older number, 0 for never.
	Reverted Era
	Number   uint64
}

// After reports whether a version replaces another one.
func (v Version) After(o Version) bool {
	if v.Reverted != o.Reverted {
		return v.Reverted > o.Reverted
	}
	return v.Number > o.Number
}

// Record is the operator's record as it was read.
type Record struct {
	Number uint64
	Era    Era
	Offset uint64
	// Appended is set if the record came after another read of the same copy.
	Appended bool
}

// Configuration decides which configuration is in force. It is not safe for concurrent use.
type Configuration struct {
	version Version
	// known is set once a version is in force; offset is where it stands in the store, if
	// this VM read it there.
	known     bool
	offset    uint64
	hasOffset bool
	// era is that in which the operator's word for the version was last read or heard.
	era     Era
	pending Record
	since   time.Time // of pending; zero for none
}

// InForce returns the version in force.
func (c *Configuration) InForce() Version { return c.version }

// Reading is what became of a record.
type Reading uint8

// The readings.
const (
	// Ignored: the record changes nothing.
	Ignored Reading = iota
	// InForce: its version is in force now.
	InForce
	// Waits: its version is an older one and may be in force later, as Tick says.
	Waits
)

// Read takes in the operator's record.
func (c *Configuration) Read(now time.Time, r Record) Reading {
	switch {
	case !c.known || r.Number > c.version.Number:
		c.put(Version{Reverted: c.version.Reverted, Number: r.Number})
	case r.Number == c.version.Number:
		c.since = time.Time{}
		c.stands(r)
		return Ignored
	default:
		// Without a return of the store an older record is a write that came late. A record
		// behind the place of the one in force was written after the return: the copy ends
		// before that place.
		if r.Era != c.era && (r.Appended || c.hasOffset && r.Offset >= c.offset) {
			c.pending, c.since = r, now
			return Waits
		}
		return Ignored
	}
	c.stands(r)
	return InForce
}

// stands notes where the record of the version in force stands.
func (c *Configuration) stands(r Record) { c.offset, c.hasOffset, c.era = r.Offset, true, r.Era }

// Heard takes in a version that another VM has in force in an era and reports whether it
// is in force here.
func (c *Configuration) Heard(v Version, era Era) bool {
	if c.known && !v.After(c.version) {
		return false
	}
	c.put(v)
	c.hasOffset, c.era = false, era
	return true
}

// Tick reports whether the older version that the operator wrote anew is in force now.
func (c *Configuration) Tick(now time.Time) bool {
	if c.since.IsZero() || now.Sub(c.since) < SettleTime {
		return false
	}
	c.put(Version{Reverted: c.pending.Era, Number: c.pending.Number})
	c.stands(c.pending)
	return true
}

func (c *Configuration) put(v Version) {
	c.version, c.known, c.since = v, true, time.Time{}
}
