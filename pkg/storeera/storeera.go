// Package storeera tracks the eras of the platform's store. Each time the store is
// restored from an older copy of itself, a new era begins: writes that it acknowledged
// after that copy are lost, and their offsets are assigned again. The package decides
// which answers are valid and which configuration is in force. It performs no I/O.
//
// Invariants:
//   - an answer is used only if it comes from the newest known copy of the store, or is
//     the first one from another copy;
//   - the version of the configuration decreases only if the operator wrote the older
//     version again after a restore, and the store itself shows that no newer one followed
//     within SettleTime;
//   - a version that this VM has read in an era is not left for an older one of that era.
package storeera

import "time"

// Era identifies a copy of the store; each restore starts a new era. 0 means that an
// answer names no era.
type Era uint64

// RestoreCount is the number of restores that a Tracker has observed. Callers store its
// value with a call or a position, to detect a restore that happened since.
type RestoreCount uint64

// Verdict classifies an answer of the store.
type Verdict uint8

// The verdicts.
const (
	// Current: the answer comes from the newest known copy.
	Current Verdict = iota
	// Restored: the answer is the first one from another copy. All positions are void.
	Restored
	// Stale: the answer comes from a copy that was replaced, and must be ignored.
	Stale
)

var verdictNames = [...]string{"current", "restored", "late"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Tracker tracks the store's current era. It is not safe for concurrent use.
type Tracker struct {
	era      Era
	highest  Era
	restores RestoreCount
}

// Era returns the current era, or 0 if none is known yet.
func (t *Tracker) Era() Era { return t.era }

// RestoreCount returns the number of observed restores. A position that was read under
// another count is void.
func (t *Tracker) RestoreCount() RestoreCount { return t.restores }

// ObserveAnswer classifies an answer that names era, to a call that began when the
// restore count was atStart.
func (t *Tracker) ObserveAnswer(atStart RestoreCount, era Era) Verdict {
	switch {
	case era == 0:
		if atStart != t.restores { // it may come from either copy
			return Stale
		}
		return Current
	case t.era == 0:
		t.setEra(era)
		return Current
	case era == t.era:
		return Current
	case era < t.era && atStart != t.restores:
		return Stale
	}
	// The era is higher, or it is lower although the call began under the present one. In
	// the second case the store itself was replaced.
	t.setEra(era)
	t.restores++
	return Restored
}

// ObservePeerEra records the era that another VM knows, and reports whether it reveals a
// restore. Only an era above all that were known here has an effect, because the other VM
// may be behind.
func (t *Tracker) ObservePeerEra(era Era) bool {
	if era <= t.highest {
		return false
	}
	first := t.era == 0
	t.setEra(era)
	if !first {
		t.restores++
	}
	return !first
}

func (t *Tracker) setEra(era Era) {
	t.era = era
	t.highest = max(t.highest, era)
}

// SettleTime is how long an older version that the operator wrote again must remain the
// newest before it is in force: the operator may write all versions again, one after the
// other. The platform's contract states that lost data comes back within about two seconds.
const SettleTime = 2500 * time.Millisecond

// Version identifies and orders configurations.
type Version struct {
	// RevertEra is the era in which the operator last returned to an older number; 0 means never.
	RevertEra Era
	Number    uint64
}

// After reports whether v replaces o.
func (v Version) After(o Version) bool {
	if v.RevertEra != o.RevertEra {
		return v.RevertEra > o.RevertEra
	}
	return v.Number > o.Number
}

// Record is the operator's configuration record as it was read from the store.
type Record struct {
	// Number is the version number of the configuration.
	Number uint64
	Era    Era
	Offset uint64
	// Appended is set if the record was appended after an earlier read of the same copy,
	// as opposed to one found when the whole topic was read.
	Appended bool
}

// Configuration decides which configuration is in force. It is not safe for concurrent use.
type Configuration struct {
	version Version
	// known is set once a version is in force.
	known bool
	// offset is the offset of the version's record, if this VM read it from the store
	// (hasOffset).
	offset    uint64
	hasOffset bool
	// era is the era in which the version was last read or received from another VM.
	era Era
	// readEra is the era of the last record that was read.
	readEra Era
	// pending is an older version that the operator wrote again.
	pending Record
	// pendingSince is when pending was first read in its era; zero if there is no pending version.
	pendingSince time.Time
}

// InForce returns the version in force.
func (c *Configuration) InForce() Version { return c.version }

// RecordStatus is the effect of a record.
type RecordStatus uint8

// The statuses of a record.
const (
	// Ignored: the record has no effect.
	Ignored RecordStatus = iota
	// InForce: the record's version is in force now.
	InForce
	// Pending: the record's version is older than the one in force. It is in force once
	// ConfirmPending returns true.
	Pending
)

// ObserveRecord applies a record that was read from the store.
func (c *Configuration) ObserveRecord(now time.Time, r Record) RecordStatus {
	c.readEra = r.Era
	switch {
	case !c.known || r.Number > c.version.Number:
		c.setVersion(Version{RevertEra: c.version.RevertEra, Number: r.Number})
	case r.Number == c.version.Number:
		c.pendingSince = time.Time{}
		c.setOffset(r)
		return Ignored
	default:
		// Without a restore an older record is a delayed write.
		if r.Era == c.era || !c.writtenAfterRestore(r) {
			return Ignored
		}
		if !c.hasPending() || r.Number != c.pending.Number || r.Era != c.pending.Era {
			c.pendingSince = now
		}
		c.pending = r
		return Pending
	}
	c.setOffset(r)
	return InForce
}

// writtenAfterRestore reports whether a record that is older than the version in force was
// written after a restore. It was if it lies at or above the offset of that version, where the
// restored copy ended, or if one that precedes it was written after an earlier restore.
func (c *Configuration) writtenAfterRestore(r Record) bool {
	return r.Appended || c.hasOffset && r.Offset >= c.offset || c.hasPending() && r.Number >= c.pending.Number
}

// setOffset records the offset and era of the record of the version in force.
func (c *Configuration) setOffset(r Record) { c.offset, c.hasOffset, c.era = r.Offset, true, r.Era }

// ObserveOffer records that another VM has version v in force, and reports whether v
// replaces the version in force here. If this VM has read a newer version in the era in which v
// was returned to, the operator has since written that one again, and v is out of date.
func (c *Configuration) ObserveOffer(v Version) bool {
	if v.RevertEra > c.version.RevertEra && v.Number < c.version.Number && c.hasOffset && c.era >= v.RevertEra {
		c.version.RevertEra = v.RevertEra
	}
	return !c.known || v.After(c.version)
}

// ObservePeerVersion records a version that another VM has in force, received in the
// given era, and reports whether this call put it in force here.
func (c *Configuration) ObservePeerVersion(v Version, era Era) bool {
	if !c.ObserveOffer(v) {
		return false
	}
	c.setVersion(v)
	c.hasOffset, c.era = false, era
	return true
}

// PendingUntil returns when the pending version may be in force at the earliest, and false if
// there is none that was read in the store's current era.
func (c *Configuration) PendingUntil() (time.Time, bool) {
	return c.pendingSince.Add(SettleTime), c.hasPending() && c.pending.Era == c.readEra
}

// ConfirmPending records that a read of the store, which began at readStart and was answered in
// the given era (0 if it named none), found no record after the last one that was observed. It
// puts the pending version in force if the read began once SettleTime had passed, and reports
// whether it did. Time alone does not suffice: a VM that does not reach the store does not see
// newer versions.
func (c *Configuration) ConfirmPending(readStart time.Time, era Era) bool {
	if !c.hasPending() || era != 0 && era != c.pending.Era || readStart.Sub(c.pendingSince) < SettleTime {
		return false
	}
	c.setVersion(Version{RevertEra: c.pending.Era, Number: c.pending.Number})
	c.setOffset(c.pending)
	return true
}

func (c *Configuration) hasPending() bool { return !c.pendingSince.IsZero() }

func (c *Configuration) setVersion(v Version) {
	c.version, c.known, c.pendingSince = v, true, time.Time{}
}
