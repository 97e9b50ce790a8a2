package gateway

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/platform"
)

// notices holds what upstreams announce in their answers: pauses and their own shutdown.
// Request goroutines read it right before each send, so that an announcement takes effect
// before the control goroutine publishes it. It is safe for concurrent use.
type notices struct {
	mu      sync.RWMutex
	records *notice.Registry
}

func newNotices() *notices { return &notices{records: notice.New()} }

func (n *notices) state(now time.Time, i notice.Instance) notice.State {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.records.State(now, i)
}

func (n *notices) pausedUntil(i notice.Instance) time.Time {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.records.PausedUntil(i)
}

func (n *notices) hintedUntil(i notice.Instance) time.Time {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.records.HintedUntil(i)
}

func (n *notices) recordShutdown(now time.Time, i notice.Instance, announcedHere bool) (isNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records.RecordShutdown(now, i, announcedHere)
}

func (n *notices) recordPause(now time.Time, i notice.Instance, length time.Duration) (isNew bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records.RecordPause(now, i, length)
}

func (n *notices) allShutdowns() []notice.Instance {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.records.AllShutdowns()
}

// firstUnavailable returns the first server of a chain that is paused or about to shut down.
func (n *notices) firstUnavailable(now time.Time, stages []chain.Stage) (fleet.UpstreamID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, s := range stages {
		if n.records.State(now, notice.InstanceOf(s.Server, s.StartedAt)) != notice.Open {
			return s.Server, true
		}
	}
	return "", false
}

// recordNotice records what an upstream announced in an answer to this VM. It takes effect
// before it returns and is safe for concurrent use.
func (g *Gateway) recordNotice(id fleet.UpstreamID, startedAt time.Time, n platform.Notice) {
	now := time.Now()
	i := notice.InstanceOf(id, startedAt)
	if n.InvalidPause != "" {
		g.stats.Count("notices_odd")
		g.log.Log(event.NoticeMalformed).Str("upstream", string(id)).Str("pause", n.InvalidPause).Int64("pause_ms", n.Pause.Milliseconds()).Send()
	}
	if n.Pause > 0 {
		if g.notices.recordPause(now, i, n.Pause) {
			g.stats.Count("upstreams_paused")
			g.log.Log(event.UpstreamPaused).Str("upstream", string(id)).Int64("pause_ms", n.Pause.Milliseconds()).Send()
		}
		g.excludeInGates(id, now.Add(n.Pause))
	}
	if n.Leaving {
		g.recordUpstreamShutdown(now, i, true)
	}
}

// recordUpstreamShutdown records that an upstream is about to shut down. announcedHere is set if
// the upstream announced it to this VM.
func (g *Gateway) recordUpstreamShutdown(now time.Time, i notice.Instance, announcedHere bool) {
	if !g.notices.recordShutdown(now, i, announcedHere) {
		return
	}
	g.stats.Count("upstreams_leaving")
	g.excludeInGates(i.ID, now.Add(shutdownExclusion))
	g.control.post(func(now time.Time) { g.control.retireUpstream(now, i) })
}

// shutdownExclusion is how long a gate excludes an upstream that is about to shut down. It is
// much longer than the control goroutine needs to take the upstream out of the view.
const shutdownExclusion = 10 * time.Second

func (g *Gateway) excludeInGates(id fleet.UpstreamID, until time.Time) {
	for _, gate := range g.view.Load().gates {
		gate.excludeUntil(id, until)
	}
}

// retireUpstream takes an upstream that is about to shut down out of use.
func (c *control) retireUpstream(now time.Time, i notice.Instance) {
	c.dirty = true
	c.applyRosterChanges(now, c.roster.MarkLeaving(now, i.ID, i.StartTime(), nil))
}

// recordPeerNotices records what upstreams announced to another VM.
func (c *control) recordPeerNotices(now time.Time, s *peering.State) {
	for _, i := range s.Ending {
		c.g.recordUpstreamShutdown(now, i, false)
	}
	if len(s.Pauses) == 0 {
		return
	}
	c.g.notices.mu.Lock()
	defer c.g.notices.mu.Unlock()
	for _, p := range s.Pauses {
		c.g.notices.records.RecordHint(now, p.Instance, min(p.Remaining, platform.MaxPause))
	}
}

// pruneNotices drops notices that have no effect any more.
func (c *control) pruneNotices(now time.Time) {
	listed := make(map[notice.Instance]bool)
	for _, u := range c.roster.List() {
		listed[notice.InstanceOf(u.ID, u.Born)] = true
	}
	c.g.notices.mu.Lock()
	defer c.g.notices.mu.Unlock()
	c.g.notices.records.Prune(now, func(i notice.Instance) bool { return listed[i] })
}

// addNotices adds what upstreams announced to this VM to a state message.
func (c *control) addNotices(now time.Time, s *peering.State) {
	c.g.notices.mu.RLock()
	defer c.g.notices.mu.RUnlock()
	s.Ending, s.Pauses = c.g.notices.records.Report(now)
}
