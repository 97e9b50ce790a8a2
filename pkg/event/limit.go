package event

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the rate at which a process may write lines of one event. On the
	// heaviest simulated day, a VM writes about 60 lines a second of its most frequent
	// event.
	linesPerSecond = 300
	// lineBurst is the number of lines of one event that a process may write at once.
	lineBurst = 600
)

// lineLimit limits the rate of lines of one event and counts the suppressed lines.
type lineLimit struct {
	rate       *rate.Limiter
	suppressed atomic.Uint64
}

func newLimits() map[ID]*lineLimit {
	limits := make(map[ID]*lineLimit, len(definitions))
	for id := range definitions {
		limits[id] = &lineLimit{rate: rate.NewLimiter(linesPerSecond, lineBurst)}
	}
	return limits
}

// allow reports whether a line may be written now and counts it as suppressed
// otherwise. A nil lineLimit allows every line.
func (l *lineLimit) allow() bool {
	if l == nil || l.rate.Allow() {
		return true
	}
	l.suppressed.Add(1)
	return false
}
