package fleettest

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/spread"
)

// Figures holds the measurements of one fleet.
type Figures struct {
	Nodes int
	// Formed is the time until the view of every node was complete.
	Formed time.Duration
	// SummaryAge and SummaryAgeMax are the mean and the maximum age of the summaries of
	// other data centres over all nodes.
	SummaryAge, SummaryAgeMax time.Duration
	// Sent, Received and MaxSent are bytes per second, including IP and TCP headers: the
	// mean over all nodes sent and received, and the most that one node sent.
	Sent, Received, MaxSent float64
	// Messages is the number of messages sent per second and node.
	Messages float64
	// LogReads is the number of reads of the log per second by all nodes.
	LogReads float64
	// SpreadMedian and SpreadMax are the median and the maximum time from the append of
	// a change until all nodes have applied it. SpreadMax is -1 if a change did not
	// reach all nodes within a minute.
	SpreadMedian, SpreadMax time.Duration
	// DetectedFirst and DetectedAll are the times until the first and until all other
	// nodes of the data centre had removed a stopped node from their views. DetectedAll
	// is -1 if that took more than a minute.
	DetectedFirst, DetectedAll time.Duration
}

// Measure starts a fleet, appends one change of 250 bytes per second, and then stops
// one node. It returns the fleet in its final state.
func Measure(layout Layout, seed uint64, changes int) (*Cluster, Figures) {
	c := New(layout, seed)
	f := Figures{Nodes: layout.Nodes}
	c.StartAll(2 * time.Second)
	c.Run(2 * time.Second)
	f.Formed, _ = c.RunUntil(5*time.Minute, c.FullViews)
	c.Run(5 * time.Second)
	c.measureSpread(&f, changes)
	c.measureDetection(&f)
	return c, f
}

func (c *Cluster) measureSpread(f *Figures, changes int) {
	c.ResetTraffic()
	began := c.Now
	var times []time.Duration
	appended := make(map[uint64]time.Time)
	pending := make(map[uint64]int)
	c.OnDeliver = func(_ *Node, r spread.Record) {
		pending[r.Offset]--
		if pending[r.Offset] == 0 {
			times = append(times, c.Now.Sub(appended[r.Offset]))
		}
	}
	for range changes {
		offset := c.Log.Append(make([]byte, 250))
		appended[offset], pending[offset] = c.Now, len(c.Nodes)
		c.Run(time.Second)
	}
	elapsed := c.Now.Sub(began).Seconds()
	c.measureTraffic(f, elapsed)
	c.measureAges(f)
	c.RunUntil(time.Minute, func() bool { return len(times) == changes })
	c.OnDeliver = nil
	slices.Sort(times)
	if len(times) > 0 {
		f.SpreadMedian, f.SpreadMax = times[len(times)/2], times[len(times)-1]
	}
	if len(times) < changes {
		f.SpreadMax = -1 // a change did not reach all nodes within a minute
	}
}

// measureTraffic sets the traffic figures, from counters that cover the given time.
func (c *Cluster) measureTraffic(f *Figures, seconds float64) {
	var sent, received, messages int
	for _, n := range c.Nodes {
		sent += n.BytesSent + HeaderBytes*n.Sent
		received += n.BytesReceived + HeaderBytes*n.Received
		messages += n.Sent
		f.MaxSent = max(f.MaxSent, float64(n.BytesSent+HeaderBytes*n.Sent)/seconds)
	}
	scale := seconds * float64(len(c.Nodes))
	f.Sent, f.Received = float64(sent)/scale, float64(received)/scale
	f.Messages = float64(messages) / scale
	f.LogReads = float64(c.Log.Reads) / seconds
}

func (c *Cluster) measureAges(f *Figures) {
	var sum time.Duration
	count := 0
	for _, n := range c.Nodes {
		v := n.Membership.View()
		for _, d := range v.DataCentres {
			if d.DataCentre != v.Self.DomainID() {
				sum += d.Age
				count++
				f.SummaryAgeMax = max(f.SummaryAgeMax, d.Age)
			}
		}
	}
	f.SummaryAge = sum / time.Duration(max(1, count))
}

func (c *Cluster) measureDetection(f *Figures) {
	stopped := c.Nodes[len(c.Nodes)/2]
	if c.neighbours(stopped) == 0 {
		stopped = c.Nodes[0]
	}
	remaining := c.neighbours(stopped)
	all := remaining
	began := c.Now
	c.OnChange = func(n *Node, x membership.Changed) {
		if x.Member.ID != stopped.VM.ID || x.Live {
			return
		}
		if remaining == all {
			f.DetectedFirst = c.Now.Sub(began)
		}
		remaining--
		f.DetectedAll = c.Now.Sub(began)
	}
	c.Stop(stopped)
	c.RunUntil(time.Minute, func() bool { return remaining == 0 })
	c.OnChange = nil
	if remaining > 0 {
		f.DetectedAll = -1
	}
}

// Totals returns the bytes sent by all nodes since ResetTraffic including IP and TCP
// headers, the most bytes that one node sent within one second without headers, and
// the number of running nodes.
func (c *Cluster) Totals() (sent, largest float64, up int) {
	for _, n := range c.Nodes {
		sent += float64(n.BytesSent + HeaderBytes*n.Sent)
		largest = max(largest, float64(n.MaxSent))
		if n.Up {
			up++
		}
	}
	return sent, largest, up
}

// neighbours counts the other running nodes of a node's data centre.
func (c *Cluster) neighbours(n *Node) int {
	count := 0
	for _, x := range c.Nodes {
		if x != n && x.Up && x.Membership.View().Self.DomainID() == n.Membership.View().Self.DomainID() {
			count++
		}
	}
	return count
}

// FullViews reports whether the view of every running node has as many live nodes as
// are running. It skips the views of paused nodes.
func (c *Cluster) FullViews() bool {
	up := 0
	for _, n := range c.Nodes {
		if n.Up {
			up++
		}
	}
	for _, n := range c.Nodes {
		if n.Up && !n.Paused && c.liveInView(n) != up {
			return false
		}
	}
	return up > 0
}

// liveInView returns the number of live nodes in a node's view, without those of
// unreachable data centres.
func (c *Cluster) liveInView(n *Node) int {
	v := n.Membership.View()
	total := len(v.Members) + 1
	for _, d := range v.DataCentres {
		if d.DataCentre != v.Self.DomainID() && d.Reachable {
			total += int(d.Live)
		}
	}
	return total
}

// AllApplied reports whether every running node that is not paused has applied the
// whole log.
func (c *Cluster) AllApplied() bool {
	for _, n := range c.Nodes {
		if n.Up && !n.Paused && n.Spread.Applied() != uint64(len(c.Log.records)) {
			return false
		}
	}
	return true
}
