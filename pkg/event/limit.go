package event

import (
	"sync"
	"time"
)

const (
	// linesPerSecond bounds the lines of one event that a process writes in a second,
	// and lineBurst those that it may write at once. A VM on the heaviest day played
	// writes about 60 lines a second of its most frequent event.
	linesPerSecond = 300
	lineBurst      = 600
)

// limiter bounds the lines of each event and counts those that were held back.
type limiter struct {
	mu      sync.Mutex
	now     func() time.Time
	buckets map[ID]*lineBucket
}

type lineBucket struct {
	lines      float64
	at         time.Time
	suppressed uint64
}

// allow takes a line of an event and reports whether it may be written.
func (l *limiter) allow(id ID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.buckets[id]
	if b == nil {
		b = &lineBucket{lines: lineBurst, at: now}
		l.buckets[id] = b
	}
	b.lines = min(b.lines+max(0, now.Sub(b.at).Seconds())*linesPerSecond, lineBurst)
	b.at = now
	if b.lines < 1 {
		b.suppressed++
		return false
	}
	b.lines--
	return true
}

// suppressed returns the lines held back since the last call, by event.
func (l *limiter) suppressed() map[ID]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var held map[ID]uint64
	for id, b := range l.buckets {
		if b.suppressed == 0 {
			continue
		}
		if held == nil {
			held = make(map[ID]uint64)
		}
		held[id] = b.suppressed
		b.suppressed = 0
	}
	return held
}
