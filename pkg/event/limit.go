package event

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the lines of one event that a process writes in a second,
	// and lineBurst those that it may write at once. A VM on the heaviest day played
	// writes about 60 lines a second of its most frequent event.
	linesPerSecond = 300
	lineBurst      = 600
)

// lineLimit bounds the lines of one event and counts those that were held back.
type lineLimit struct {
	rate *rate.Limiter
	held atomic.Uint64
}

func newLimits() map[ID]*lineLimit {
	limits := make(map[ID]*lineLimit, len(definitions))
	for id := range definitions {
		limits[id] = &lineLimit{rate: rate.NewLimiter(linesPerSecond, lineBurst)}
	}
	return limits
}

// allow takes a line and reports whether it may be written; nil bounds nothing.
func (l *lineLimit) allow() bool {
	if l == nil || l.rate.Allow() {
		return true
	}
	l.held.Add(1)
	return false
}
