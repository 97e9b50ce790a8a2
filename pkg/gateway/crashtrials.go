package gateway

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// trialPatience is the time for which a trial waits until the engines can bear the end of one more.
	trialPatience = 25 * time.Second
	// trialCheckInterval is the least time after which callers return who are refused until a trial.
	trialCheckInterval = time.Second
)

// isTrialBearable reports whether a request of a group may be let through: the end of its first
// server would not add to a shortage of servers.
func (c *call) isTrialBearable(now time.Time, group crashcause.Group) bool {
	if !now.Before(group.TrialFrom.Add(trialPatience)) {
		return true
	}
	for _, target := range c.route.Targets {
		if gate := c.view.gates[target.Service]; gate != nil && !gate.canIsolate() {
			return false
		}
	}
	return true
}

// beginRetryTrial makes the retry of the request the trial of its suspicion, if it is suspected.
func (c *call) beginRetryTrial() {
	parts := []crashcause.Part{crashcause.Part(c.print)}
	c.trial, c.broken = parts, false
	c.gateway.control.post(func(now time.Time) {
		if c.gateway.control.crashes.IsSuspicion(parts[0]) {
			c.gateway.control.beginTrial(now, parts)
		}
	})
}

// beginTrial records that a request of a group is let through, and tells the other VMs.
func (c *control) beginTrial(now time.Time, parts []crashcause.Part) {
	c.crashes.RecordTrial(now, parts)
	c.crashTrials = append(c.crashTrials, parts)
	c.updateCrashCauses(now)
}

// endTrial ends the trial that the request was let through for, if any.
func (c *call) endTrial() {
	if c.trial != nil {
		c.gateway.control.post(func(now time.Time) { c.gateway.control.crashes.EndTrial(now, c.trial) })
	}
}

// crashTrials records when this VM last let a request of each group through. It is safe for
// concurrent use.
type crashTrials struct {
	mu   sync.Mutex
	last map[crashcause.Part]time.Time // by the first part of the group
}

func (t *crashTrials) begin(now time.Time, group crashcause.Group) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.last, func(_ crashcause.Part, at time.Time) bool { return now.Sub(at) >= crashcause.TrialSpacing })
	if _, recent := t.last[group.Parts[0]]; recent {
		return false
	}
	if t.last == nil {
		t.last = make(map[crashcause.Part]time.Time)
	}
	t.last[group.Parts[0]] = now
	return true
}

// claimTrial reports whether this VM lets a request of a group through, and tells the other VMs.
func (g *Gateway) claimTrial(now time.Time, group crashcause.Group) bool {
	if now.Before(group.TrialFrom.Add(g.trialDelay(group))) || !g.crashTrials.begin(now, group) {
		return false
	}
	g.control.post(func(now time.Time) { g.control.beginTrial(now, group.Parts) })
	g.stats.Count("crash_trials")
	g.log.Log(event.CrashTrialBegun).Uint64("part", uint64(group.Parts[0])).Int("failed_trials", group.FailedTrials).Send()
	return true
}

// trialDelay returns how long this VM leaves the trial of a group to other VMs.
func (g *Gateway) trialDelay(group crashcause.Group) time.Duration {
	key := strconv.FormatUint(uint64(group.Parts[0]), 16)
	return crashcause.TrialDelay(fleet.CountBefore(key, g.settings.Self.ID, maps.Keys(g.view.Load().peerAddresses)))
}
