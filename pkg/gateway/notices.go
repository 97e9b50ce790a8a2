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

// notices is what upstreams say of themselves in their answers. Request goroutines read it
// right before each send, so that an answer binds them although the control goroutine has
// not published it yet.
type notices struct {
	mu   sync.RWMutex
	book *notice.Book
}

func newNotices() *notices { return &notices{book: notice.New()} }

func (n *notices) state(now time.Time, i notice.Instance) notice.State {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.book.State(now, i)
}

func (n *notices) pausedUntil(i notice.Instance) time.Time {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.book.PausedUntil(i)
}

func (n *notices) hintedUntil(i notice.Instance) time.Time {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.book.HintedUntil(i)
}

func (n *notices) ends(now time.Time, i notice.Instance, own bool) (news bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Ends(now, i, own)
}

func (n *notices) pause(now time.Time, i notice.Instance, length time.Duration) (news bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Pause(now, i, length)
}

func (n *notices) allEnds() []notice.Instance {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.book.AllEnds()
}

// closed returns a server of a chain that takes no requests of this VM now.
func (n *notices) closed(now time.Time, stages []chain.Stage) (fleet.UpstreamID, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for _, s := range stages {
		if n.book.State(now, notice.InstanceOf(s.Server, s.Born)) != notice.Open {
			return s.Server, true
		}
	}
	return "", false
}

// noticed takes in what an upstream said of itself in an answer to this VM. It is safe for
// concurrent use and binds from its return on.
func (g *Gateway) noticed(id fleet.UpstreamID, born time.Time, n platform.Notice) {
	now := time.Now()
	i := notice.InstanceOf(id, born)
	if n.PauseText != "" {
		g.stats.Count("notices_odd")
		g.log.Log(event.NoticeOdd).Str("upstream", string(id)).Str("pause", n.PauseText).Int64("pause_ms", n.Pause.Milliseconds()).Send()
	}
	if n.Pause > 0 {
		if g.notices.pause(now, i, n.Pause) {
			g.stats.Count("upstreams_paused")
			g.log.Log(event.UpstreamPaused).Str("upstream", string(id)).Int64("pause_ms", n.Pause.Milliseconds()).Send()
		}
		g.pauseInGates(id, now.Add(n.Pause))
	}
	if n.Leaving {
		g.upstreamEnds(now, i, true)
	}
}

// upstreamEnds notes that an upstream is about to end.
func (g *Gateway) upstreamEnds(now time.Time, i notice.Instance, own bool) {
	if !g.notices.ends(now, i, own) {
		return
	}
	g.stats.Count("upstreams_leaving")
	g.pauseInGates(i.ID, now.Add(untilPublished))
	g.control.post(func(now time.Time) { g.control.ends(now, i) })
}

// untilPublished is how long a gate leaves out an upstream that ends by itself: until the
// control goroutine has taken it out of the view, with a large margin.
const untilPublished = 10 * time.Second

func (g *Gateway) pauseInGates(id fleet.UpstreamID, until time.Time) {
	for _, gate := range g.view.Load().gates {
		gate.pause(id, until)
	}
}

// ends takes an upstream that is about to end out of use.
func (c *control) ends(now time.Time, i notice.Instance) {
	c.dirty = true
	c.upstreamsChanged(now, c.roster.Leave(now, i.ID, i.Started(), nil))
}

// heardNotices takes in what upstreams said to another VM.
func (c *control) heardNotices(now time.Time, s *peering.State) {
	for _, i := range s.Ends {
		c.g.upstreamEnds(now, i, false)
	}
	if len(s.Pauses) == 0 {
		return
	}
	c.g.notices.mu.Lock()
	defer c.g.notices.mu.Unlock()
	for _, p := range s.Pauses {
		c.g.notices.book.Hint(now, p.Instance, min(p.Left, platform.MaxPause))
	}
}

// pruneNotices drops notices that bind nobody any more.
func (c *control) pruneNotices(now time.Time) {
	listed := make(map[notice.Instance]bool)
	for _, u := range c.roster.List() {
		listed[notice.InstanceOf(u.ID, u.Born)] = true
	}
	c.g.notices.mu.Lock()
	defer c.g.notices.mu.Unlock()
	c.g.notices.book.Prune(now, func(i notice.Instance) bool { return listed[i] })
}

// tellNotices adds to the news what upstreams said to this VM.
func (c *control) tellNotices(now time.Time, s *peering.State) {
	c.g.notices.mu.RLock()
	defer c.g.notices.mu.RUnlock()
	s.Ends, s.Pauses = c.g.notices.book.News(now)
}
