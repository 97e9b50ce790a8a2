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
	is.True(!c.Tick(start.Add(time.Minute)))
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
		is.True(!c.Tick(start.Add(time.Duration(i) * time.Second)))
	}
	is.True(!c.Tick(start.Add(time.Minute)))
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
	is.True(!c.Tick(start.Add(storeera.SettleTime - 1)))
	is.True(c.Tick(start.Add(storeera.SettleTime)))
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
		is.True(!c.Tick(start.Add(time.Minute)))
	}
}
