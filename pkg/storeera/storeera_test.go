package storeera_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/storeera"
)

var start = time.Unix(1_700_000_000, 0)

// TestAnswersOfSeveralEras guards against the use of answers from a replaced copy of
// the store, in any order of arrival.
func TestAnswersOfSeveralEras(t *testing.T) {
	is := is.New(t)
	var e storeera.Tracker
	first := e.RestoreCount()
	is.Equal(e.ObserveAnswer(first, 0), storeera.Current) // a store that names no era
	is.Equal(e.ObserveAnswer(first, 3), storeera.Current) // the first known era
	is.Equal(e.ObserveAnswer(first, 5), storeera.Restored)
	second := e.RestoreCount()
	is.True(second != first)
	is.Equal(e.ObserveAnswer(first, 5), storeera.Current) // began before, answered by the new copy
	is.Equal(e.ObserveAnswer(first, 3), storeera.Stale)
	is.Equal(e.ObserveAnswer(first, 0), storeera.Stale) // it may come from either copy
	is.Equal(e.ObserveAnswer(second, 0), storeera.Current)
	is.Equal(e.ObserveAnswer(second, 1<<40), storeera.Restored)       // eras need not be consecutive
	is.Equal(e.ObserveAnswer(e.RestoreCount(), 2), storeera.Restored) // the store was replaced by a new one
	is.Equal(e.Era(), storeera.Era(2))
}

// TestObservePeerEra guards against a VM that misses a restore which another VM
// reports, or that returns to an era of a VM that is behind, also after the store was
// replaced and has a low era.
func TestObservePeerEra(t *testing.T) {
	is := is.New(t)
	var e storeera.Tracker
	is.True(!e.ObservePeerEra(4)) // no era was known, so no position can be void
	is.True(e.ObservePeerEra(5))
	is.True(!e.ObservePeerEra(4))
	is.True(!e.ObservePeerEra(0))
	mark := e.RestoreCount()
	is.Equal(e.ObserveAnswer(mark, 1), storeera.Restored)
	is.True(!e.ObservePeerEra(5))
	is.Equal(e.Era(), storeera.Era(1))
	is.Equal(e.ObserveAnswer(e.RestoreCount(), 1), storeera.Current)
}

// TestVersionStaysAfterARestore guards against a restored copy that replaces the
// version in force by its older one.
func TestVersionStaysAfterARestore(t *testing.T) {
	is := is.New(t)
	var c storeera.Configuration
	is.Equal(c.ObserveRecord(start, storeera.Record{Number: 7, Era: 1, Offset: 20}), storeera.InForce)
	is.True(c.ObserveRecord(start, storeera.Record{Number: 6, Era: 2, Offset: 12}) != storeera.InForce) // the copy
	is.True(!c.ConfirmPending(start.Add(time.Minute), 2))
	is.Equal(c.ObserveRecord(start, storeera.Record{Number: 8, Era: 2, Offset: 14, Appended: true}), storeera.InForce)
	is.Equal(c.InForce(), storeera.Version{Number: 8})
}

// TestRewrittenVersionsDoNotRevert guards against a VM with the newest version that
// reverts while the operator writes earlier versions again one after the other.
func TestRewrittenVersionsDoNotRevert(t *testing.T) {
	is := is.New(t)
	var c storeera.Configuration
	c.ObserveRecord(start, storeera.Record{Number: 7, Era: 1, Offset: 20})
	c.ObserveRecord(start, storeera.Record{Number: 5, Era: 2, Offset: 10})
	for i, number := range []uint64{6, 7} {
		is.True(c.ObserveRecord(start.Add(time.Duration(i)*time.Second), storeera.Record{Number: number, Era: 2, Offset: uint64(11 + i), Appended: true}) != storeera.InForce)
		is.True(!c.ConfirmPending(start.Add(time.Duration(i)*time.Second), 2))
	}
	is.True(!c.ConfirmPending(start.Add(time.Minute), 2))
	is.Equal(c.InForce().Number, uint64(7))
}

// TestOperatorRevertsAfterARestore guards against losing an operator's revert to an
// older version after a restore: that version must be in force after SettleTime, also
// on other VMs, and a VM that was disconnected during the revert must not undo it.
func TestOperatorRevertsAfterARestore(t *testing.T) {
	is := is.New(t)
	var c, other storeera.Configuration
	c.ObserveRecord(start, storeera.Record{Number: 7, Era: 1, Offset: 20})
	other.ObservePeerVersion(storeera.Version{Number: 7}, 1)
	// The offset of version 5 is above that of 7, so it was written after the restore.
	// Version 4 comes from the restored copy and has no effect.
	is.Equal(c.ObserveRecord(start, storeera.Record{Number: 5, Era: 2, Offset: 21}), storeera.Pending)
	is.Equal(c.ObserveRecord(start, storeera.Record{Number: 4, Era: 2, Offset: 9}), storeera.Ignored)
	is.True(!c.ConfirmPending(start.Add(storeera.SettleTime-1), 2))
	is.True(c.ConfirmPending(start.Add(storeera.SettleTime), 2))
	is.Equal(c.InForce(), storeera.Version{RevertEra: 2, Number: 5})
	is.True(other.ObservePeerVersion(c.InForce(), 2))
	is.True(!c.ObservePeerVersion(storeera.Version{Number: 9}, 1)) // from a VM that was disconnected during the revert
	is.Equal(c.ObserveRecord(start, storeera.Record{Number: 8, Era: 2, Offset: 30, Appended: true}), storeera.InForce)
}

// TestDelayedWriteOfTheOperator guards against a delayed write of an older version
// that takes effect although the store was not restored.
func TestDelayedWriteOfTheOperator(t *testing.T) {
	is := is.New(t)
	for _, era := range []storeera.Era{0, 1} {
		var c storeera.Configuration
		c.ObserveRecord(start, storeera.Record{Number: 7, Era: era, Offset: 20})
		is.True(c.ObserveRecord(start, storeera.Record{Number: 6, Era: era, Offset: 21, Appended: true}) != storeera.InForce)
		is.True(!c.ConfirmPending(start.Add(time.Minute), era))
	}
}

// TestVMThatLosesTheStoreKeepsItsVersion guards against a VM that loses the store after it read
// the first of two versions that the operator writes again, returns to that one and makes all VMs
// follow. Whatever the others have read, only the store tells that no newer version follows.
func TestVMThatLosesTheStoreKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	var cutOff, other storeera.Configuration
	for _, c := range []*storeera.Configuration{&cutOff, &other} {
		c.ObserveRecord(start, storeera.Record{Number: 14, Era: 1, Offset: 2})
		c.ObserveRecord(start, storeera.Record{Number: 3, Era: 2, Offset: 0})
		is.Equal(c.ObserveRecord(start, storeera.Record{Number: 8, Era: 2, Offset: 1, Appended: true}), storeera.Pending)
	}
	until, pending := cutOff.PendingUntil()
	is.True(pending)
	is.Equal(until, start.Add(storeera.SettleTime))
	other.ObserveRecord(start.Add(time.Second), storeera.Record{Number: 14, Era: 2, Offset: 2, Appended: true})
	_, pending = other.PendingUntil()
	is.True(!pending)
	is.True(!other.ObservePeerVersion(cutOff.InForce(), 2))
	// A read that began before the cut is answered late, and says nothing of the time after.
	is.True(!cutOff.ConfirmPending(start.Add(storeera.SettleTime-1), 2))
	is.True(!cutOff.ConfirmPending(start.Add(time.Minute), 3)) // another copy of the store
	is.Equal(cutOff.InForce().Number, uint64(14))
	is.Equal(cutOff.ObserveRecord(start.Add(time.Minute), storeera.Record{Number: 14, Era: 2, Offset: 2, Appended: true}), storeera.Ignored)
	is.True(!cutOff.ConfirmPending(start.Add(time.Hour), 2))
	is.Equal(cutOff.InForce().Number, uint64(14))
}

// TestReturnIsOutOfDateOnceANewerVersionWasRead guards against a VM that has read the newest version
// in an era and leaves it for an older one of that era, which another VM reports late.
func TestReturnIsOutOfDateOnceANewerVersionWasRead(t *testing.T) {
	is := is.New(t)
	late := storeera.Version{RevertEra: 2, Number: 8}
	var c storeera.Configuration
	c.ObserveRecord(start, storeera.Record{Number: 14, Era: 1, Offset: 2})
	c.ObserveRecord(start, storeera.Record{Number: 14, Era: 2, Offset: 2, Appended: true})
	is.True(!c.ObservePeerVersion(late, 2))
	is.Equal(c.InForce(), storeera.Version{RevertEra: 2, Number: 14}) // so that the other VM follows
	is.True(c.InForce().After(late))
	is.True(c.ObservePeerVersion(storeera.Version{RevertEra: 3, Number: 8}, 3)) // a return in a later era

	// A version that was read in an earlier era only, or comes from another VM, is left.
	for _, observe := range []func(c *storeera.Configuration){
		func(c *storeera.Configuration) {
			c.ObserveRecord(start, storeera.Record{Number: 14, Era: 1, Offset: 2})
		},
		func(c *storeera.Configuration) { c.ObservePeerVersion(storeera.Version{Number: 14}, 2) },
	} {
		var c storeera.Configuration
		observe(&c)
		is.True(c.ObservePeerVersion(late, 2))
		is.Equal(c.InForce(), late)
	}
}

// TestReturnOutlivesASecondRestore guards against VMs that stay on a version which the operator
// returned from, because the store was restored again before the older one was in force.
func TestReturnOutlivesASecondRestore(t *testing.T) {
	is := is.New(t)
	var c storeera.Configuration
	c.ObserveRecord(start, storeera.Record{Number: 14, Era: 1, Offset: 5})
	c.ObserveRecord(start, storeera.Record{Number: 8, Era: 2, Offset: 1, Appended: true})
	again := start.Add(2 * time.Second)
	is.Equal(c.ObserveRecord(again, storeera.Record{Number: 3, Era: 3, Offset: 0}), storeera.Ignored)
	_, pending := c.PendingUntil()
	is.True(!pending) // the third copy does not hold it yet
	is.Equal(c.ObserveRecord(again, storeera.Record{Number: 8, Era: 3, Offset: 1}), storeera.Pending)
	is.True(!c.ConfirmPending(again.Add(storeera.SettleTime-1), 3)) // the time begins again
	is.True(c.ConfirmPending(again.Add(storeera.SettleTime), 3))
	is.Equal(c.InForce(), storeera.Version{RevertEra: 3, Number: 8})
}
