package fleettest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/spread"
)

// Bounds from docs/design.md, not from measured figures.
const (
	changeLimit  = 18 * time.Second // 1.6: a change is in force everywhere
	noticeLimit  = 2 * time.Second  // 4.9: new work to a leaving upstream stops
	sentBudget   = 7 * 1000.0       // 1.6: bytes a second and node
	detectLimit  = 10 * time.Second // a dead VM is out of all views before callers' cached addresses (30 s) run out
	rejoinLimit  = membership.SummaryStale + 30*time.Second
	formingLimit = 2 * time.Minute
)

// formed returns a fleet whose views are complete.
func formed(t *testing.T, layout Layout, seed uint64) *Cluster {
	t.Helper()
	c := New(layout, seed)
	c.StartAll(2 * time.Second)
	c.Run(2 * time.Second)
	if took, ok := c.RunUntil(formingLimit, c.FullViews); !ok {
		t.Fatalf("%d nodes did not find each other within %v", layout.Nodes, took)
	}
	return c
}

// change appends a record and requires it in force at all running nodes in time.
func change(t *testing.T, c *Cluster, what string) {
	t.Helper()
	c.Log.Append(make([]byte, 250))
	took, ok := c.RunUntil(changeLimit, c.AllApplied)
	if !ok {
		t.Fatalf("%s: a change is not in force everywhere after %v", what, took)
	}
	t.Logf("%s: change in force everywhere after %v", what, took)
}

// rejoin requires complete views in time.
func rejoin(t *testing.T, c *Cluster, what string) {
	t.Helper()
	took, ok := c.RunUntil(rejoinLimit, c.FullViews)
	if !ok {
		t.Fatalf("%s: views incomplete after %v", what, took)
	}
	t.Logf("%s: views complete after %v", what, took)
}

// TestFigures guards against a control plane over its budgets: bytes a node,
// time of a change, and detection of a dead VM.
func TestFigures(t *testing.T) {
	for _, layout := range []Layout{Today, Fifty, TwoHundr} {
		is := is.New(t)
		_, f := Measure(layout, 1, 20)
		t.Logf("%+v", f)
		is.True(f.Formed < formingLimit)
		is.True(f.Sent < sentBudget)
		is.True(f.MaxSent < sentBudget)
		is.True(f.SpreadMax > 0 && f.SpreadMax < changeLimit)
		is.True(f.SummaryAgeMax < membership.SummaryStale)
		is.True(f.DetectedAll > 0 && f.DetectedAll < detectLimit)
	}
}

// TestThirdLost guards against a fleet that a loss of a third of its VMs at
// once, tree parents, readers and relays among them, leaves without settings
// changes or with wrong views.
func TestThirdLost(t *testing.T) {
	c := formed(t, TwoHundr, 2)
	for i := 0; i < len(c.Nodes); i += 3 {
		c.Stop(c.Nodes[i])
	}
	change(t, c, "a third lost")
	rejoin(t, c, "a third lost")
}

// TestRollingReplacement guards against a fleet that forgets itself, or
// settings that get lost, while every VM is replaced.
func TestRollingReplacement(t *testing.T) {
	c := formed(t, Fifty, 3)
	c.Log.Append(make([]byte, 250))
	for _, n := range c.Nodes {
		c.Leave(n)
		c.Run(500 * time.Millisecond)
		c.Start(n, 0)
		c.Run(500 * time.Millisecond)
	}
	change(t, c, "all replaced")
	rejoin(t, c, "all replaced")
}

// TestRegionsApart guards against a side that loses its settings, reverts them
// or keeps old ones after a partition, and against parts that never meet again.
// Only one side reaches the log; the other keeps what it has and knows no more.
func TestRegionsApart(t *testing.T) {
	is := is.New(t)
	c := formed(t, Layout{Regions: 2, DataCentresPerZone: 2, Nodes: 24}, 4)
	change(t, c, "before")
	side := func(n *Node) bool { return n.VM.Region == "region-0" }
	c.Blocked = func(from, to *Node) bool { return side(from) != side(to) }
	for _, n := range c.Nodes {
		n.Log = side(n)
	}
	for range 30 {
		c.Log.Append(make([]byte, 250))
		c.Run(2 * time.Minute)
	}
	for _, n := range c.Nodes {
		want := uint64(1)
		if side(n) {
			want = 31
		}
		is.Equal(n.Spread.Applied(), want)
		for _, d := range n.Membership.View().DataCentres {
			is.Equal(d.Reachable, d.Region == n.VM.Region) // an hour apart
		}
	}
	c.Blocked = nil
	began := c.Now
	_, ok := c.RunUntil(changeLimit, c.AllApplied) // over peers: the log is still away on one side
	is.True(ok)
	t.Logf("changes reached the cut-off side over peers after %v", c.Now.Sub(began))
	rejoin(t, c, "partition healed")
}

// TestSplitDataCentre guards against groups inside one data centre that took
// each other for dead and never meet again, though changes were made meanwhile
// and both groups read the log.
func TestSplitDataCentre(t *testing.T) {
	c := formed(t, Fifty, 5)
	half := map[fleet.VMID]bool{}
	for i, n := range c.Nodes {
		half[n.VM.ID] = i%2 == 0
	}
	c.Blocked = func(from, to *Node) bool { return half[from.VM.ID] != half[to.VM.ID] }
	c.Run(20 * time.Second)
	change(t, c, "split")
	c.Run(5 * time.Minute)
	c.Blocked = nil
	rejoin(t, c, "healed")
	change(t, c, "healed")
}

// TestPausedRelay guards against a VM that wakes after a long pause and, as
// the former relay and first reader, spreads old state or declares others dead.
func TestPausedRelay(t *testing.T) {
	is := is.New(t)
	c := formed(t, Fifty, 6)
	first := c.Nodes[0].Membership.Relays()[0].ID
	for _, n := range c.Nodes {
		if n.VM.ID == first || n.Spread.IsReader() {
			c.Pause(n)
		}
	}
	c.Run(time.Minute)
	change(t, c, "relay and readers paused")
	// The woken VMs may learn late that others of them were declared dead.
	paused := map[fleet.VMID]bool{}
	for _, n := range c.Nodes {
		paused[n.VM.ID] = n.Paused
	}
	verdicts := 0
	c.OnChange = func(_ *Node, x membership.Changed) {
		if !x.Live && !paused[x.Member.ID] {
			verdicts++
		}
	}
	for _, n := range c.Nodes {
		if n.Paused {
			c.Resume(n)
		}
	}
	change(t, c, "woken")
	rejoin(t, c, "woken")
	is.Equal(verdicts, 0) // the woken VMs declared nobody dead that was awake
}

// TestRelayDies guards against data centres that lose sight of each other when
// a relay dies.
func TestRelayDies(t *testing.T) {
	is := is.New(t)
	c := formed(t, Fifty, 7)
	for _, contact := range c.Nodes[0].Membership.Relays() {
		for _, n := range c.Nodes {
			if n.VM.ID == contact.ID {
				c.Stop(n)
			}
		}
	}
	c.Run(30 * time.Second)
	for _, n := range c.Nodes {
		if !n.Up {
			continue
		}
		for _, d := range n.Membership.View().DataCentres {
			is.True(d.Age < membership.SummaryStale)
		}
	}
	rejoin(t, c, "both relays of a data centre dead")
}

// TestFloodOfJoins guards against seeds that collapse under a flood of joins:
// their bytes stay bounded and all VMs get in.
func TestFloodOfJoins(t *testing.T) {
	c := New(TwoHundr, 8)
	for _, n := range c.Nodes[:20] {
		c.Start(n, 0)
	}
	c.Nodes[len(c.Nodes)-1].Up = false
	c.Run(30 * time.Second)
	c.ResetTraffic()
	for _, n := range c.Nodes[20:] {
		c.Start(n, 0)
	}
	c.Run(10 * time.Second)
	for _, n := range c.Nodes {
		if n.MaxSent > 32*1024 { // 2 x 5 KB of long answers, 24 x 700 B of short ones, and its own work
			t.Errorf("%s sent %d bytes in one second of the flood", n.VM.ID, n.MaxSent)
		}
	}
	rejoin(t, c, "180 joins at once")
}

// TestLossAndSlowLog guards against changes that stall while messages are lost
// and the log answers, but slowly.
func TestLossAndSlowLog(t *testing.T) {
	c := formed(t, Fifty, 9)
	c.Loss = 0.2
	c.Log.Delay = 4 * time.Second
	change(t, c, "a fifth of messages lost, log takes 4 s")
	c.Log.Delay = 2 * readTimeout
	c.Run(time.Minute)
	c.Log.Append(make([]byte, 250))
	c.Run(10 * time.Second)
	c.Log.Delay = time.Second
	if took, ok := c.RunUntil(changeLimit, c.AllApplied); !ok {
		t.Fatalf("change not in force %v after the log was fast again", took)
	}
}

// TestFirstReaderFails guards against a tree that stands still while its root
// cannot reach the log or is dead.
func TestFirstReaderFails(t *testing.T) {
	c := formed(t, Fifty, 10)
	for _, n := range c.Nodes {
		if n.Spread.IsReader() {
			n.Log = false
			break
		}
	}
	change(t, c, "a reader without log")
	for _, n := range c.Nodes {
		if n.Spread.IsReader() {
			c.Stop(n)
		}
	}
	change(t, c, "all readers dead")
}

// TestStartFromPeerBehind guards against a VM that starts from a peer's old
// state and does not learn that it is old.
func TestStartFromPeerBehind(t *testing.T) {
	is := is.New(t)
	c := formed(t, Fifty, 11)
	for range 5 {
		change(t, c, "before")
	}
	n := c.Nodes[20]
	c.Stop(n)
	c.Run(10 * time.Second)
	c.Log.Down = true
	starter := spread.Starter{Seeds: 4}
	starter.Offer("behind", spread.Part("settings", 2, 5, nil, 0))
	best, _ := starter.Best()
	is.True(!starter.Ready(best.Covers, best.Highest, false)) // one of four seeds is no half
	is.Equal(starter.Highest(), uint64(5))
	c.Start(n, best.Covers)
	_, ok := c.RunUntil(changeLimit, func() bool { return n.Spread.Applied() == 5 })
	is.True(ok)
	is.True(!n.Spread.ResumeAfterSnapshot(4)) // never back
}

// TestNotices guards against a notice that misses VMs, comes twice, or comes
// later than a leaving upstream may still get work.
func TestNotices(t *testing.T) {
	is := is.New(t)
	c := formed(t, TwoHundr, 12)
	is.True(c.Publish(c.Nodes[7], spread.TopicUpstreamLeaving, []byte("upstream-1"), time.Minute))
	heard := func() int {
		count := 0
		for _, n := range c.Nodes {
			count += n.Notices
		}
		return count
	}
	took, ok := c.RunUntil(noticeLimit, func() bool { return heard() == len(c.Nodes)-1 })
	is.True(ok)
	t.Logf("notice at all VMs after %v", took)
	c.Loss = 0.3
	is.True(c.Publish(c.Nodes[8], spread.TopicQuarantine, []byte("fingerprint"), 2*time.Minute))
	took, ok = c.RunUntil(time.Minute, func() bool { return heard() == 2*(len(c.Nodes)-1) })
	is.True(ok)
	t.Logf("notice at all VMs after %v with three tenths of messages lost", took)
}

// TestLeave guards against a leaving VM that others still name to callers
// after a few seconds, and against one that is suspected instead of believed.
func TestLeave(t *testing.T) {
	is := is.New(t)
	c := formed(t, TwoHundr, 13)
	n := c.Nodes[30]
	n.Membership.Drain()
	count := func(wanted func(membership.Member, bool) bool) int {
		matching := 0
		for _, x := range c.Nodes {
			if x == n || x.VM.DataCentre != n.VM.DataCentre {
				continue
			}
			found, live := membership.Member{}, false
			for _, y := range x.Membership.View().Members {
				if y.ID == n.VM.ID {
					found, live = y, true
				}
			}
			if wanted(found, live) {
				matching++
			}
		}
		return matching
	}
	others := c.neighbours(n)
	_, ok := c.RunUntil(5*time.Second, func() bool {
		return count(func(m membership.Member, live bool) bool { return live && m.Leaving }) == others
	})
	is.True(ok)
	c.Leave(n)
	took, ok := c.RunUntil(2*time.Second, func() bool {
		return count(func(_ membership.Member, live bool) bool { return !live }) == others
	})
	is.True(ok)
	t.Logf("left VM out of all views after %v", took)
}
