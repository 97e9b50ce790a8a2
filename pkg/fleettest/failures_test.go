package fleettest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/spread"
)

// Bounds from docs/design.md; the comments name its sections.
const (
	changeLimit  = 18 * time.Second // 1.6: until a change is in force everywhere
	noticeLimit  = 2 * time.Second  // 4.9: until a leaving upstream gets no new work
	sentBudget   = 7 * 1000.0       // 1.6: bytes per second and node
	detectLimit  = 10 * time.Second // until a dead VM is out of all views, well before callers' cached addresses expire (30 s)
	rejoinLimit  = membership.SummaryStale + 30*time.Second
	formingLimit = 2 * time.Minute
)

// newFormedCluster returns a fleet whose views are complete.
func newFormedCluster(t *testing.T, layout Layout, seed uint64) *Cluster {
	t.Helper()
	c := New(layout, seed)
	c.StartAll(2 * time.Second)
	c.Run(2 * time.Second)
	if took, ok := c.RunUntil(formingLimit, c.FullViews); !ok {
		t.Fatalf("%d nodes did not find each other within %v", layout.Nodes, took)
	}
	return c
}

// requireChangeApplied appends a record and requires all running nodes to apply it
// within changeLimit.
func requireChangeApplied(t *testing.T, c *Cluster, situation string) {
	t.Helper()
	c.Log.Append(make([]byte, 250))
	took, ok := c.RunUntil(changeLimit, c.AllApplied)
	if !ok {
		t.Fatalf("%s: a change is not in force everywhere after %v", situation, took)
	}
	t.Logf("%s: change in force everywhere after %v", situation, took)
}

// requireFullViews requires complete views within rejoinLimit.
func requireFullViews(t *testing.T, c *Cluster, situation string) {
	t.Helper()
	took, ok := c.RunUntil(rejoinLimit, c.FullViews)
	if !ok {
		t.Fatalf("%s: views incomplete after %v", situation, took)
	}
	t.Logf("%s: views complete after %v", situation, took)
}

// TestFigures guards against a control plane that exceeds its budgets for bytes sent
// per node, the time until a change is in force, and the detection of a dead VM.
func TestFigures(t *testing.T) {
	for _, layout := range []Layout{CurrentLayout, FiftyNodes, TwoHundredNodes} {
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

// TestThirdLost guards against missing settings changes or wrong views after a third
// of the VMs, among them tree parents, readers and relays, fail at the same time.
func TestThirdLost(t *testing.T) {
	c := newFormedCluster(t, TwoHundredNodes, 2)
	for i := 0; i < len(c.Nodes); i += 3 {
		c.Stop(c.Nodes[i])
	}
	requireChangeApplied(t, c, "a third lost")
	requireFullViews(t, c, "a third lost")
}

// TestRollingReplacement guards against incomplete views or lost settings while every
// VM is replaced, one after another.
func TestRollingReplacement(t *testing.T) {
	c := newFormedCluster(t, FiftyNodes, 3)
	c.Log.Append(make([]byte, 250))
	for _, n := range c.Nodes {
		c.Leave(n)
		c.Run(500 * time.Millisecond)
		c.Start(n, 0)
		c.Run(500 * time.Millisecond)
	}
	requireChangeApplied(t, c, "all replaced")
	requireFullViews(t, c, "all replaced")
}

// TestRegionsApart guards against a region that loses or reverts its settings during a
// partition of an hour, or keeps stale settings or incomplete views after it. Only one
// side can read the log; the other must keep the settings that it has.
func TestRegionsApart(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, Layout{Regions: 2, DataCentresPerRegion: 2, Nodes: 24}, 4)
	requireChangeApplied(t, c, "before")
	side := func(n *Node) bool { return n.VM.Region == "region-0" }
	c.Blocked = func(from, to *Node) bool { return side(from) != side(to) }
	for _, n := range c.Nodes {
		n.LogReachable = side(n)
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
			is.Equal(d.Reachable, d.Region == n.VM.Region) // the partition has lasted an hour
		}
	}
	c.Blocked = nil
	began := c.Now
	_, ok := c.RunUntil(changeLimit, c.AllApplied) // over peers: one side still cannot read the log
	is.True(ok)
	t.Logf("changes reached the cut-off side over peers after %v", c.Now.Sub(began))
	requireFullViews(t, c, "partition healed")
}

// TestSplitDataCentre guards against two groups of nodes within the same data centres
// that declare each other dead during a partition and do not merge after it. Both
// groups can read the log, and a change is made meanwhile.
func TestSplitDataCentre(t *testing.T) {
	c := newFormedCluster(t, FiftyNodes, 5)
	half := map[fleet.VMID]bool{}
	for i, n := range c.Nodes {
		half[n.VM.ID] = i%2 == 0
	}
	c.Blocked = func(from, to *Node) bool { return half[from.VM.ID] != half[to.VM.ID] }
	c.Run(20 * time.Second)
	requireChangeApplied(t, c, "split")
	c.Run(5 * time.Minute)
	c.Blocked = nil
	requireFullViews(t, c, "healed")
	requireChangeApplied(t, c, "healed")
}

// TestPausedRelay guards against a VM that resumes after a long pause and, as the
// former relay or reader, spreads stale state or declares others dead.
func TestPausedRelay(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, FiftyNodes, 6)
	first := c.Nodes[0].Membership.Relays()[0].ID
	for _, n := range c.Nodes {
		if n.VM.ID == first || n.Spread.IsReader() {
			c.Pause(n)
		}
	}
	c.Run(time.Minute)
	requireChangeApplied(t, c, "relay and readers paused")
	// Resumed VMs may still learn that other paused VMs had been declared dead; only
	// verdicts about VMs that were never paused count.
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
	requireChangeApplied(t, c, "woken")
	requireFullViews(t, c, "woken")
	is.Equal(verdicts, 0) // no VM that was never paused was declared dead
}

// TestRelayDies guards against stale summaries of other data centres after the relays
// of a data centre fail.
func TestRelayDies(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, FiftyNodes, 7)
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
	requireFullViews(t, c, "both relays of a data centre dead")
}

// TestFloodOfJoins guards against overloaded seeds when many VMs join at the same time:
// the bytes that a node sends must stay bounded, and all VMs must join.
func TestFloodOfJoins(t *testing.T) {
	c := New(TwoHundredNodes, 8)
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
		if n.MaxSent > 32*1024 { // 2 long answers of 5 KB, 24 short ones of 700 B, and regular traffic
			t.Errorf("%s sent %d bytes in one second of the flood", n.VM.ID, n.MaxSent)
		}
	}
	requireFullViews(t, c, "180 joins at once")
}

// TestLossAndSlowLog guards against changes that are not applied while messages are
// lost and the log answers slowly, or after a log that timed out is fast again.
func TestLossAndSlowLog(t *testing.T) {
	c := newFormedCluster(t, FiftyNodes, 9)
	c.Loss = 0.2
	c.Log.Delay = 4 * time.Second
	requireChangeApplied(t, c, "a fifth of messages lost, log takes 4 s")
	c.Log.Delay = 2 * readTimeout
	c.Run(time.Minute)
	c.Log.Append(make([]byte, 250))
	c.Run(10 * time.Second)
	c.Log.Delay = time.Second
	if took, ok := c.RunUntil(changeLimit, c.AllApplied); !ok {
		t.Fatalf("change not in force %v after the log was fast again", took)
	}
}

// TestFirstReaderFails guards against a distribution tree that delivers no changes
// while its root cannot read the log or is dead.
func TestFirstReaderFails(t *testing.T) {
	c := newFormedCluster(t, FiftyNodes, 10)
	for _, n := range c.Nodes {
		if n.Spread.IsReader() {
			n.LogReachable = false
			break
		}
	}
	requireChangeApplied(t, c, "a reader without log")
	for _, n := range c.Nodes {
		if n.Spread.IsReader() {
			c.Stop(n)
		}
	}
	requireChangeApplied(t, c, "all readers dead")
}

// TestStartFromPeerBehind guards against a VM that starts from the stale state of a
// peer and does not detect that it is stale.
func TestStartFromPeerBehind(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, FiftyNodes, 11)
	for range 5 {
		requireChangeApplied(t, c, "before")
	}
	n := c.Nodes[20]
	c.Stop(n)
	c.Run(10 * time.Second)
	c.Log.Down = true
	starter := spread.Starter{Seeds: 4}
	starter.Offer("behind", spread.Part("settings", 2, 5, nil, 0))
	best, _ := starter.Best()
	is.True(!starter.Ready(best.Covers, best.Highest, false)) // one of four seeds is less than half
	is.Equal(starter.Highest(), uint64(5))
	c.Start(n, best.Covers)
	_, ok := c.RunUntil(changeLimit, func() bool { return n.Spread.Applied() == 5 })
	is.True(ok)
	is.True(!n.Spread.ResumeAfterSnapshot(4)) // the applied offset never decreases
}

// TestNotices guards against a notice that does not reach all VMs, is delivered twice,
// or arrives later than a leaving upstream may still get new work.
func TestNotices(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, TwoHundredNodes, 12)
	is.True(c.Publish(c.Nodes[7], spread.TopicUpstreamLeaving, []byte("upstream-1"), time.Minute))
	delivered := func() int {
		count := 0
		for _, n := range c.Nodes {
			count += n.Notices
		}
		return count
	}
	took, ok := c.RunUntil(noticeLimit, func() bool { return delivered() == len(c.Nodes)-1 })
	is.True(ok)
	t.Logf("notice at all VMs after %v", took)
	c.Loss = 0.3
	is.True(c.Publish(c.Nodes[8], spread.TopicQuarantine, []byte("fingerprint"), 2*time.Minute))
	took, ok = c.RunUntil(time.Minute, func() bool { return delivered() == 2*(len(c.Nodes)-1) })
	is.True(ok)
	t.Logf("notice at all VMs after %v with three tenths of messages lost", took)
}

// TestLeave guards against a leaving VM that others still list as available after a few
// seconds, and against a VM that is only suspected after it announced its departure.
func TestLeave(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, TwoHundredNodes, 13)
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
