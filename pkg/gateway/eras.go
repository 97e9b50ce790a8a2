package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

// eraTracker tracks the era of the store. An era lasts until the store is restored from an
// older copy of itself. It is safe for concurrent use.
type eraTracker struct {
	mu      sync.Mutex
	tracker storeera.Tracker
}

// restoreCount returns the number of restores seen so far. A call to the store keeps the number
// at its start, which tells whether its answer belongs to a replaced copy of the store.
func (e *eraTracker) restoreCount() storeera.RestoreCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.RestoreCount()
}

func (e *eraTracker) era() storeera.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Era()
}

// checkEra classifies an answer of the store to a call that started when the restore count was
// countAtStart. State that depends on positions in a replaced copy of the store is reset by its
// owner when the count changes.
func (g *Gateway) checkEra(countAtStart storeera.RestoreCount, era storeera.Era, call string) storeera.Verdict {
	g.eras.mu.Lock()
	before := g.eras.tracker.Era()
	verdict := g.eras.tracker.ObserveAnswer(countAtStart, era)
	g.eras.mu.Unlock()
	switch verdict {
	case storeera.Restored:
		g.handleStoreRestored(before, era, call)
	case storeera.Stale:
		g.stats.Count("store_answers_late", "call", call)
		g.log.Log(event.StoreAnswerLate).Str("call", call).Uint64("era", uint64(era)).Uint64("newest", uint64(before)).Send()
	}
	return verdict
}

// checkCallEra is checkEra for a call that may have failed. A call without an answer counts
// as current.
func (g *Gateway) checkCallEra(countAtStart storeera.RestoreCount, era storeera.Era, err error, call string) storeera.Verdict {
	var failure *platform.StoreError
	switch {
	case err == nil:
		return g.checkEra(countAtStart, era, call)
	case errors.As(err, &failure) && (failure.Status != 0 || failure.Era != 0):
		return g.checkEra(countAtStart, failure.Era, call)
	}
	return storeera.Current
}

// observePeerEra records the era that another VM reports.
func (g *Gateway) observePeerEra(era storeera.Era, source string) {
	g.eras.mu.Lock()
	before := g.eras.tracker.Era()
	restored := g.eras.tracker.ObservePeerEra(era)
	g.eras.mu.Unlock()
	if restored {
		g.handleStoreRestored(before, era, source)
	}
}

// handleStoreRestored handles a restore of the store from an older copy of itself.
func (g *Gateway) handleStoreRestored(before, era storeera.Era, source string) {
	g.stats.Count("store_restores")
	g.log.Log(event.StoreRestored).Uint64("era", uint64(era)).Uint64("before", uint64(before)).Str("source", source).Send()
	g.cancelConfigRead() // the read waits at an offset of the replaced copy
	g.control.post(func(now time.Time) {
		g.control.roster.RecordStoreRestore(now)
		g.control.nearStateTimer.SendNow()
		g.control.farStateTimer.SendNow()
	})
}
