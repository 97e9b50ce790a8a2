package entry

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/pace"
)

// durations learns how long the generations of this VM take. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	tracker pace.Tracker
}

// observe records a generation that started and got its first and last tokens at the given
// times.
func (d *durations) observe(startedAt, firstTokenAt, lastTokenAt time.Time, tokens int) {
	if tokens < 2 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.Observe(pace.Expectation{}, pace.Expectation{
		FirstEvent: firstTokenAt.Sub(startedAt), Step: lastTokenAt.Sub(firstTokenAt) / time.Duration(tokens-1),
	})
}

// bound returns the longest time that a generation is expected to take, or 0 if none has ended
// yet.
func (d *durations) bound(tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.RecentBound(tokens)
}
