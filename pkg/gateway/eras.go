package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

// eras follows the eras of the store for all goroutines that call it.
type eras struct {
	mu      sync.Mutex
	tracker storeera.Tracker
}

// mark returns the mark of a call that begins now.
func (e *eras) mark() storeera.Mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Mark()
}

func (e *eras) era() storeera.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Era()
}

// judge judges an answer of the store to a call that began at a mark. What depends on
// positions of the copy before follows the mark.
func (g *Gateway) judge(began storeera.Mark, era storeera.Era, call string) storeera.Verdict {
	g.eras.mu.Lock()
	before := g.eras.tracker.Era()
	verdict := g.eras.tracker.Answered(began, era)
	g.eras.mu.Unlock()
	switch verdict {
	case storeera.Restored:
		g.storeRestored(before, era, call)
	case storeera.Late:
		g.stats.Count("store_answers_late", "call", call)
		g.log.Log(event.StoreAnswerLate).Str("call", call).Uint64("era", uint64(era)).Uint64("newest", uint64(before)).Send()
	}
	return verdict
}

// judgeCall is judge for a call that may have failed; without an answer there is nothing
// to judge.
func (g *Gateway) judgeCall(began storeera.Mark, era storeera.Era, err error, call string) storeera.Verdict {
	var failure *platform.StoreError
	switch {
	case err == nil:
		return g.judge(began, era, call)
	case errors.As(err, &failure) && (failure.Status != 0 || failure.Era != 0):
		return g.judge(began, failure.Era, call)
	}
	return storeera.Current
}

// heardEra takes in the era that another VM knows.
func (g *Gateway) heardEra(era storeera.Era, source string) {
	g.eras.mu.Lock()
	before := g.eras.tracker.Era()
	restored := g.eras.tracker.Heard(era)
	g.eras.mu.Unlock()
	if restored {
		g.storeRestored(before, era, source)
	}
}

// storeRestored notes that the store came back from an older copy of itself.
func (g *Gateway) storeRestored(before, era storeera.Era, source string) {
	g.stats.Count("store_restores")
	g.log.Log(event.StoreRestored).Uint64("era", uint64(era)).Uint64("before", uint64(before)).Str("source", source).Send()
	if end := g.endConfigRead.Load(); end != nil {
		(*end)() // it waits at an offset of the copy before
	}
	g.control.post(func(now time.Time) {
		g.control.roster.Restored(now)
		g.control.news.TellNow()
		g.control.farNews.TellNow()
	})
}
