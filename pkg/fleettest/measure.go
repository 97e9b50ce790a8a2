package fleettest

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/spread"
)

// Figures are the measurements of one fleet.
type Figures struct {
	Nodes int
	// Formed is the time until every node's view counted all nodes.
	Formed time.Duration
	// SummaryAge and SummaryAgeMax are the mean and the largest age of a summary
	// of another data centre at any node.
	SummaryAge, SummaryAgeMax time.Duration
	// Sent, Received and MaxSent are bytes per second and node, IP and TCP headers included.
	Sent, Received, MaxSent float64
	// Messages are messages sent per second and node.
	Messages float64
	// LogReads are reads of the log per second.
	LogReads float64
	// Spread is the time from the append of a change until it is in force at all
	// nodes, the 50th percentile and the largest of the run.
	SpreadMedian, SpreadMax time.Duration
	// Detected is the time until the first and until all others of the data centre
	// had dropped a node that died.
	DetectedFirst, DetectedAll time.Duration
}

// Measure forms a fleet, runs it with one change of 250 bytes a second, and
// stops one node. It returns the fleet as it is then.
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
	open := make(map[uint64]int)
	c.OnDeliver = func(_ *Node, r spread.Record) {
		open[r.Offset]--
		if open[r.Offset] == 0 {
			times = append(times, c.Now.Sub(appended[r.Offset]))
		}
	}
	for range changes {
		offset := c.Log.Append(make([]byte, 250))
		appended[offset], open[offset] = c.Now, len(c.Nodes)
		c.Run(time.Second)
	}
	elapsed := c.Now.Sub(began).Seconds()
	c.traffic(f, elapsed)
	c.measureAges(f)
	c.RunUntil(time.Minute, func() bool { return len(times) == changes })
	c.OnDeliver = nil
	slices.Sort(times)
	if len(times) > 0 {
		f.SpreadMedian, f.SpreadMax = times[len(times)/2], times[len(times)-1]
	}
	if len(times) < changes {
		f.SpreadMax = -1 // a change did not reach all within a minute
	}
}

// traffic fills in the averages over all nodes.
func (c *Cluster) traffic(f *Figures, seconds float64) {
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
	victim := c.Nodes[len(c.Nodes)/2]
	if c.neighbours(victim) == 0 {
		victim = c.Nodes[0]
	}
	left := c.neighbours(victim)
	all := left
	began := c.Now
	c.OnChange = func(n *Node, x membership.Changed) {
		if x.Member.ID != victim.VM.ID || x.Live {
			return
		}
		if left == all {
			f.DetectedFirst = c.Now.Sub(began)
		}
		left--
		f.DetectedAll = c.Now.Sub(began)
	}
	c.Stop(victim)
	c.RunUntil(time.Minute, func() bool { return left == 0 })
	c.OnChange = nil
	if left > 0 {
		f.DetectedAll = -1
	}
}

// Totals returns the bytes sent by all nodes since ResetTraffic, IP and TCP
// headers included, the most that one node sent in one second without
// headers, and the number of running nodes.
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

// FullViews reports whether every running node counts exactly the running nodes.
func (c *Cluster) FullViews() bool {
	up := 0
	for _, n := range c.Nodes {
		if n.Up {
			up++
		}
	}
	for _, n := range c.Nodes {
		if n.Up && !n.Paused && c.count(n) != up {
			return false
		}
	}
	return up > 0
}

// count returns the number of live nodes in a node's view, as far as within reach.
func (c *Cluster) count(n *Node) int {
	v := n.Membership.View()
	total := len(v.Members) + 1
	for _, d := range v.DataCentres {
		if d.DataCentre != v.Self.DomainID() && d.Reachable {
			total += int(d.Live)
		}
	}
	return total
}

// AllApplied reports whether every running node has applied the whole log.
func (c *Cluster) AllApplied() bool {
	for _, n := range c.Nodes {
		if n.Up && !n.Paused && n.Spread.Applied() != uint64(len(c.Log.records)) {
			return false
		}
	}
	return true
}
