package intakehttp

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/intake"
	"github.com/cornelline/cornelline/pkg/stats"
)

// reportInterval is the shortest time between two lines with the same cause.
const reportInterval = 500 * time.Millisecond

// Reporter counts and logs the callers that are turned away. It is safe for concurrent use.
type Reporter struct {
	log   *event.Logger
	stats *stats.Stats

	mu     sync.Mutex
	counts map[intake.Cause]int // since the last line
	last   map[intake.Cause]time.Time
}

// NewReporter returns a Reporter.
func NewReporter(log *event.Logger, s *stats.Stats) *Reporter {
	return &Reporter{log: log, stats: s, counts: map[intake.Cause]int{}, last: map[intake.Cause]time.Time{}}
}

// TurnedAway records one caller.
func (r *Reporter) TurnedAway(cause intake.Cause, address string) {
	r.stats.Count("callers_turned_away", "cause", cause.String())
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[cause]++
	if now.Sub(r.last[cause]) < reportInterval {
		return
	}
	r.log.Log(event.CallerTurnedAway).Str("cause", cause.String()).Str("address", address).Int("count", r.counts[cause]).Send()
	r.counts[cause], r.last[cause] = 0, now
}

// SetGauges sets the gauges of what callers hold.
func SetGauges(s *stats.Stats, g *Guard) {
	usage, limits := g.Usage(), g.Limits()
	for kind, held := range usage.Bytes {
		s.SetGauge("callers_hold_bytes", held, "kind", intake.Kind(kind).String())
	}
	s.SetGauge("callers_hold_bytes_limit", limits.Bytes)
	s.SetGauge("caller_connections", int64(usage.Connections))
	s.SetGauge("caller_connections_limit", int64(limits.Connections))
}
