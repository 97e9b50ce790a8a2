package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/notice"
)

// brokenRun is how far a run had come when its upstream ended it without a complete answer.
type brokenRun struct {
	// began is set if the upstream had begun its answer.
	began bool
	// events is the number of events of a generation that had arrived in this run and earlier ones.
	events int64
	// starting is set if the run may have crashed its server: the server has ended with it, and the
	// caller has got nothing of the answer. The answer of a generation must have begun.
	starting bool
	// sound is set if the answer had gone on after its first events.
	sound bool
}

// endedCheckTimeout bounds the check whether a server has ended.
const endedCheckTimeout = 150 * time.Millisecond

// isStarting reports whether the caller has got no event of the generation, given that the answer of
// the run has begun.
func (r *run) isStarting() bool {
	return r.eventsBefore+r.events.Load() == 0 && r.generation.caller.LastEventID == ""
}

// brokenState returns how far a run has come that broke off after its answer had begun. A server that
// goes on may have broken off a single answer; one that has ended may have been crashed by the run.
func (g *generation) brokenState(r *run) brokenRun {
	b := brokenRun{began: true, events: r.eventsBefore + r.events.Load(), sound: r.sound}
	if r.isStarting() {
		b.starting = g.hasEnded(r.chain.Stages[0])
	}
	return b
}

// hasEnded reports whether the process of a server has ended: its host refuses connections or breaks
// them, or it has started again. A server that is silent may only be out of reach.
func (g *generation) hasEnded(server chain.Stage) bool {
	ctx, cancel := context.WithTimeout(g.ctx, endedCheckTimeout)
	defer cancel()
	g.gateway.stats.Count("probes")
	report, err := g.gateway.servers.Report(ctx, server.Address)
	if err != nil {
		return ctx.Err() == nil
	}
	return server.StartedAt.UnixMilli() > 0 && report.Born.After(server.StartedAt)
}

// reportBroken reports that an upstream ended a run of the request without a complete answer.
func (c *call) reportBroken(up notice.Instance, b brokenRun) {
	ids := c.caller.SharedParts()
	c.logLine(event.RunBroken).Str("upstream", string(up.ID)).Str("fingerprint", strconv.FormatUint(uint64(c.print), 16)).
		Bool("began", b.began).Int64("events", b.events).Bool("sound", b.sound).
		Int("shared_parts", len(ids)).Strs("parts", ids[:min(len(ids), maxLoggedParts)]).Send()
	c.broken = true
	if c.suspected = c.suspected || b.starting; b.starting {
		if c.ended.Upstreams++; c.ended.Upstreams == 1 {
			c.ended.First = time.Now()
		}
	}
	r := crashcause.Run{Began: b.began, Request: crashcause.Part(c.print), Starting: b.starting}
	if !b.sound {
		r.Parts = c.sharedParts()
	}
	c.gateway.control.post(func(now time.Time) {
		report := c.gateway.control.crashReports[up]
		report.Upstream = up
		report.Add([]crashcause.Run{r})
		c.gateway.control.crashReports[up] = report
		if r.Starting { // before the next request like it arrives
			c.gateway.control.updateCrashCauses(now)
		}
	})
}

// reportSound reports that a run of the request was sound. completed is set if it was answered
// completely, which also says so of the request as a whole.
func (c *call) reportSound(completed bool) {
	if known := c.sharedParts(); len(known) > 0 {
		c.gateway.control.post(func(time.Time) { c.gateway.control.crashes.RecordKnownSound(known) })
	}
	f := c.gateway.crashFilter.Load()
	if f == nil {
		return
	}
	parts := c.sharedParts()
	if completed {
		parts = c.allParts()
	}
	if suspected := f.Suspected(parts); len(suspected) > 0 {
		c.gateway.control.post(func(time.Time) {
			c.gateway.control.addSoundReports(suspected)
		})
	}
}
