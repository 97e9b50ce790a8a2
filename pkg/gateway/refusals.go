package gateway

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

const (
	// drainingRefusals is the number of refusals after which an engine that reports free
	// memory counts as draining.
	drainingRefusals = 3
	// refusalWindow is the time without a further refusal after which the count starts
	// again.
	refusalWindow = 2 * time.Second
	// lowMemoryUse is the memory use, as a share of the total, up to which an engine counts
	// as having free memory.
	lowMemoryUse = 0.5
	// reportLag is the age of the values in a report. A refusal contradicts the reported
	// free memory only if it comes at least this long after the first such report.
	reportLag = 300 * time.Millisecond
	// refusalDrainTime is how long the engine counts as draining. Its entry in the store
	// shows that it drains within that time unless the store is unavailable.
	refusalDrainTime = 5 * time.Second
)

// refusalHistory holds the recent refusals of one engine.
type refusalHistory struct {
	count int
	last  time.Time
	// freeMemorySince is when a report first showed free memory since the refusals began.
	freeMemorySince time.Time
	// drainingUntil is until when the engine counts as draining.
	drainingUntil time.Time
}

// recordPartRefusal records that an engine refused its part of a chain, and requests a probe
// of it.
func (c *control) recordPartRefusal(id fleet.UpstreamID) {
	c.post(func(now time.Time) {
		r := c.engineRefusals[id]
		if r == nil {
			r = &refusalHistory{}
			c.engineRefusals[id] = r
		}
		if now.Sub(r.last) > refusalWindow {
			r.count, r.freeMemorySince = 0, time.Time{}
		}
		r.count++
		r.last = now
		c.applyHealthActions(now, c.health.RecordSilent(now, id, nil))
	})
}

// checkRefusals marks an engine as draining if it refuses work although its report shows
// free memory. While the store is unavailable its entry cannot show that it drains.
func (c *control) checkRefusals(now time.Time, u roster.Upstream, report platform.Report) {
	r := c.engineRefusals[u.ID]
	if r == nil || now.Before(r.drainingUntil) {
		return
	}
	if report.Busy || report.KVTotal <= 0 || report.KVUsed > lowMemoryUse*report.KVTotal || report.Layers.Len() == 0 {
		r.freeMemorySince = time.Time{}
		return
	}
	if r.freeMemorySince.IsZero() {
		r.freeMemorySince = now
	}
	if r.count >= drainingRefusals && r.last.After(r.freeMemorySince.Add(reportLag)) {
		c.markDraining(now, u.ID, "own requests")
	}
}

func (c *control) markDraining(now time.Time, id fleet.UpstreamID, source string) {
	r := c.engineRefusals[id]
	if r == nil {
		r = &refusalHistory{last: now}
		c.engineRefusals[id] = r
	}
	if !now.Before(r.drainingUntil) {
		c.dirty = true
		c.g.log.Log(event.UpstreamRefusing).Str("upstream", string(id)).Int("refusals", r.count).Str("source", source).Send()
	}
	r.drainingUntil = now.Add(refusalDrainTime)
}

// isRefusing reports whether an engine counts as draining because of its refusals.
func (c *control) isRefusing(now time.Time, id fleet.UpstreamID) bool {
	r := c.engineRefusals[id]
	return r != nil && now.Before(r.drainingUntil)
}

// expireRefusals puts engines back into use whose drainingUntil has passed.
func (c *control) expireRefusals(now time.Time) {
	for id, r := range c.engineRefusals {
		if !r.drainingUntil.IsZero() && !now.Before(r.drainingUntil) {
			delete(c.engineRefusals, id)
			c.dirty = true
		}
	}
}
