package gateway

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
)

// controlLoad measures the work of the control goroutine since the last report.
type controlLoad struct {
	// longestTickGap is the longest time between the starts of two ticks.
	longestTickGap time.Duration
	// events counts the events without the ticks.
	events int
	// views counts the views published, and publishing is the time that they took.
	views      int
	publishing time.Duration
	// longestQueue is the highest number of events that waited.
	longestQueue int
}

// recordTick records a tick, given the time since the previous one.
func (l *controlLoad) recordTick(gap time.Duration) { l.longestTickGap = max(l.longestTickGap, gap) }

// recordEvent records an event and the number of those that wait behind it.
func (l *controlLoad) recordEvent(waiting int) {
	l.events++
	l.longestQueue = max(l.longestQueue, waiting)
}

// recordView records the publication of a view.
func (l *controlLoad) recordView(took time.Duration) {
	l.views++
	l.publishing += took
}

// reportLoad logs the work since the last report if a tick was late, and starts anew.
func (c *control) reportLoad() {
	l := c.load
	c.load = controlLoad{}
	c.g.stats.SetGauge("control_longest_tick_gap_ms", l.longestTickGap.Milliseconds())
	c.g.stats.SetGauge("control_views_published", int64(l.views))
	if l.longestTickGap < suspensionThreshold {
		return
	}
	c.g.log.Log(event.ControlLate).Int64("tick_gap_ms", l.longestTickGap.Milliseconds()).Int("events", l.events).
		Int("longest_queue", l.longestQueue).Int("views", l.views).Int64("publishing_ms", l.publishing.Milliseconds()).Send()
}
