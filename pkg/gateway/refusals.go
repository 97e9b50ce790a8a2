package gateway

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

const (
	// refusalsToJudge is the number of refusals after which an engine that reports
	// free memory is taken as draining. Each counts in its own right only while the
	// next comes within refusalWindow.
	refusalsToJudge = 3
	refusalWindow   = 2 * time.Second
	// roomShare is the part of its memory below which an engine has room.
	roomShare = 0.5
	// reportLag is the age of a report's values. A refusal counts as one in spite of
	// free memory when it comes that long after a report that showed room.
	reportLag = 300 * time.Millisecond
	// refusingFor is how long an engine counts as draining; its entry in the store
	// says so itself within that time unless the store is away.
	refusingFor = 5 * time.Second
)

// refusals are those of one engine.
type refusals struct {
	count int
	last  time.Time
	// roomAt is when a report first showed room since the refusals began.
	roomAt time.Time
	// until is the end of the time in which the engine counts as draining.
	until time.Time
}

// refusedPart notes that an engine refused its part of a chain, and asks it why.
func (c *control) refusedPart(id fleet.UpstreamID) {
	c.post(func(now time.Time) {
		r := c.refusals[id]
		if r == nil {
			r = &refusals{}
			c.refusals[id] = r
		}
		if now.Sub(r.last) > refusalWindow {
			r.count, r.roomAt = 0, time.Time{}
		}
		r.count++
		r.last = now
		c.act(now, c.health.Silent(now, id, nil))
	})
}

// judgeRefusals takes an engine as draining that refuses work though its report
// shows room for it: while the store is away its entry does not say so.
func (c *control) judgeRefusals(now time.Time, u roster.Upstream, report platform.Report) {
	r := c.refusals[u.ID]
	if r == nil || now.Before(r.until) {
		return
	}
	if report.Busy || report.KVTotal <= 0 || report.KVUsed > roomShare*report.KVTotal || report.Layers.Len() == 0 {
		r.roomAt = time.Time{}
		return
	}
	if r.roomAt.IsZero() {
		r.roomAt = now
	}
	if r.count >= refusalsToJudge && r.last.After(r.roomAt.Add(reportLag)) {
		c.takeAsDraining(now, u.ID, "own requests")
	}
}

func (c *control) takeAsDraining(now time.Time, id fleet.UpstreamID, source string) {
	r := c.refusals[id]
	if r == nil {
		r = &refusals{last: now}
		c.refusals[id] = r
	}
	if !now.Before(r.until) {
		c.dirty = true
		c.g.log.Log(event.UpstreamRefusing).Str("upstream", string(id)).Int("refusals", r.count).Str("source", source).Send()
	}
	r.until = now.Add(refusingFor)
}

// refusing reports whether an engine counts as draining for its refusals.
func (c *control) refusing(now time.Time, id fleet.UpstreamID) bool {
	r := c.refusals[id]
	return r != nil && now.Before(r.until)
}

// endRefusals puts engines back whose time has passed.
func (c *control) endRefusals(now time.Time) {
	for id, r := range c.refusals {
		if !r.until.IsZero() && !now.Before(r.until) {
			delete(c.refusals, id)
			c.dirty = true
		}
	}
}
