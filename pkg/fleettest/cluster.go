// Package fleettest simulates the control plane of many entry VMs in virtual
// time. It runs the real membership and spread state machines over an in-memory
// network with delays, message loss and partitions, and can pause or stop nodes.
// Tests and cmd/capacity use it. The same seed gives the same run.
package fleettest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/spread"
	"github.com/cornelline/cornelline/pkg/wire"
)

const (
	// TickInterval is the time between two ticks of a node.
	TickInterval = 100 * time.Millisecond
	// HeaderBytes is the size of the IP and TCP headers of a segment, including the
	// TCP timestamp option.
	HeaderBytes = 52
	// readTimeout is the time after which a node's read of the log fails.
	readTimeout = 5 * time.Second
	// inboxLimit is the number of messages that wait for a paused node, as its socket
	// buffers would hold them; further ones are lost.
	inboxLimit = 1000

	// Minimum one-way delays. A random delay of up to half the minimum is added.
	sameDataCentreDelay = 200 * time.Microsecond
	sameRegionDelay     = time.Millisecond
	otherRegionDelay    = 60 * time.Millisecond
)

// Layout describes the size of a fleet and its division into regions and data centres.
type Layout struct {
	Regions              int
	DataCentresPerRegion int
	Nodes                int
	// Domain is the membership domain of all nodes. If it is empty, the domain of a
	// node is its data centre.
	Domain fleet.DataCentreID
}

// Layouts for tests and cmd/capacity: the current fleet, larger ones, and the size
// expected in two years.
var (
	CurrentLayout   = Layout{Regions: 1, DataCentresPerRegion: 3, Nodes: 4, Domain: "all"}
	FiftyNodes      = Layout{Regions: 1, DataCentresPerRegion: 3, Nodes: 50}
	TwoHundredNodes = Layout{Regions: 2, DataCentresPerRegion: 3, Nodes: 200}
	TwoYearLayout   = Layout{Regions: 6, DataCentresPerRegion: 3, Nodes: 3200}
)

// Node is one simulated entry VM.
type Node struct {
	VM         fleet.VM
	Membership *membership.Machine
	Spread     *spread.Machine

	Up bool
	// Paused is true while the node does no work; incoming messages wait in its inbox.
	Paused bool
	// LogReachable is false if the node's reads of the log fail.
	LogReachable bool

	// Traffic since the last ResetTraffic: bytes of frames without IP and TCP headers,
	// and numbers of messages.
	BytesSent, BytesReceived, Sent, Received int
	// MaxSent is the largest number of bytes sent within one second.
	MaxSent              int
	currentSecond        time.Time
	sentInSecond, starts int

	// Delivered counts the records applied.
	Delivered int
	// LastDelivered is the offset of the last record applied.
	LastDelivered uint64
	Notices       int
	nextRefresh   time.Time
	inbox         []any
	epoch         int // incremented at each start and stop; events of earlier epochs are ignored
}

// Cluster is a simulated fleet in virtual time.
type Cluster struct {
	Now   time.Time
	Nodes []*Node
	Log   *Log
	// Blocked reports whether all messages from one node to another are lost.
	Blocked func(from, to *Node) bool
	// Loss is the probability that a message is lost.
	Loss float64
	// OnDeliver, if set, is called for each record applied at a node.
	OnDeliver func(n *Node, r spread.Record)
	// OnChange, if set, is called for each membership change that a node detects.
	OnChange func(n *Node, c membership.Changed)

	layout    Layout
	startedAt time.Time
	rand      *rand.Rand
	byAddress map[string]*Node
	seeds     []string
	events    eventQueue
	sequence  uint64
	sizeCache map[any]int
}

// Log is an append-only log in memory.
type Log struct {
	records []spread.Record
	// Down makes all reads fail.
	Down bool
	// Delay is the duration of a read. Reads fail if it reaches readTimeout.
	Delay time.Duration
	Reads int // reads since the last ResetTraffic
}

// Append adds a record and returns its offset.
func (l *Log) Append(data []byte) uint64 {
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, spread.Record{Offset: offset, Data: data})
	return offset
}

func (l *Log) read(after uint64, limit int) spread.ReadResult {
	l.Reads++
	r := spread.ReadResult{First: 1, Next: uint64(len(l.records) + 1)}
	end := min(int(after)+limit, len(l.records))
	r.Records = append(r.Records, l.records[min(int(after), end):end]...)
	return r
}

// New returns a fleet with all nodes down.
func New(layout Layout, seed uint64) *Cluster {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &Cluster{
		Now: began, startedAt: began, layout: layout, Log: &Log{Delay: 5 * time.Millisecond},
		rand:      rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[string]*Node),
		sizeCache: make(map[any]int),
	}
	centres := layout.Regions * layout.DataCentresPerRegion
	for i := range layout.Nodes {
		dc := i % centres
		region := dc / layout.DataCentresPerRegion
		n := &Node{LogReachable: true, VM: fleet.VM{
			ID:         fleet.VMID(fmt.Sprintf("vm-%04d", i)),
			DataCentre: fleet.DataCentreID(fmt.Sprintf("dc-%02d", dc)),
			Region:     fleet.RegionID(fmt.Sprintf("region-%d", region)),
			// The addresses have the length of real ones, because message sizes are
			// measured.
			Address:     fmt.Sprintf("10.%d.%d.%d:8443", dc, i/250, i%250),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7443", dc, i/250, i%250),
		}}
		c.Nodes = append(c.Nodes, n)
		c.byAddress[n.VM.PeerAddress] = n
	}
	for i := range min(layout.Nodes, 4) {
		c.seeds = append(c.seeds, c.Nodes[i*(layout.Nodes-1)/max(1, min(layout.Nodes, 4)-1)].VM.PeerAddress)
	}
	return c
}

// Elapsed returns the virtual time since New.
func (c *Cluster) Elapsed() time.Duration { return c.Now.Sub(c.startedAt) }

// StartAll starts all nodes at random times within the given duration.
func (c *Cluster) StartAll(within time.Duration) {
	for _, n := range c.Nodes {
		c.schedule(c.Now.Add(time.Duration(c.rand.Int64N(int64(within)+1))), func() { c.Start(n, 0) })
	}
}

// Start starts a node that has already applied the settings up to an offset.
func (c *Cluster) Start(n *Node, applied uint64) {
	n.Up, n.Paused = true, false
	n.epoch++
	n.starts++
	n.inbox = nil
	random := rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
	n.Membership = membership.New(membership.Config{
		Self: n.VM, Domain: c.layout.Domain, Incarnation: uint64(c.Now.UnixMilli()), Seeds: c.seeds,
	}, c.Now, random)
	n.Spread = spread.New(spread.Config{
		Stream: "settings", Self: n.VM.ID, Address: n.VM.PeerAddress,
	}, applied, c.Now, random)
	n.LastDelivered = applied
	n.nextRefresh = c.Now
	epoch := n.epoch
	c.schedule(c.Now.Add(time.Duration(c.rand.Int64N(int64(TickInterval)))), func() { c.tick(n, epoch) })
}

// Stop stops a node without notifying the others.
func (c *Cluster) Stop(n *Node) {
	n.Up = false
	n.epoch++
}

// Leave stops a node after it has announced its departure.
func (c *Cluster) Leave(n *Node) {
	c.applyMembershipActions(n, n.Membership.Leave(c.Now))
	c.Stop(n)
}

// Pause suspends a node until Resume.
func (c *Cluster) Pause(n *Node) { n.Paused = true }

// Resume continues a paused node, which first handles the messages in its inbox.
func (c *Cluster) Resume(n *Node) {
	n.Paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		c.receive(n, m)
	}
}

// Run advances the virtual time by d and runs the events due in it.
func (c *Cluster) Run(d time.Duration) {
	end := c.Now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = end
	clear(c.sizeCache)
}

// RunUntil advances the virtual time until the condition holds, which it checks
// every TickInterval, and returns the elapsed time. It returns limit and false if
// the limit passes first.
func (c *Cluster) RunUntil(limit time.Duration, condition func() bool) (took time.Duration, ok bool) {
	began := c.Now
	for c.Now.Sub(began) <= limit {
		if condition() {
			return c.Now.Sub(began), true
		}
		c.Run(TickInterval)
	}
	return limit, false
}

// Publish publishes a notice from a node. It reports whether the node accepted it.
func (c *Cluster) Publish(n *Node, topic spread.Topic, data []byte, lifetime time.Duration) bool {
	actions, ok := n.Spread.Publish(c.Now, topic, data, lifetime)
	c.applySpreadActions(n, actions)
	return ok
}

// ResetTraffic sets all traffic counters to zero.
func (c *Cluster) ResetTraffic() {
	for _, n := range c.Nodes {
		n.BytesSent, n.BytesReceived, n.Sent, n.Received, n.MaxSent = 0, 0, 0, 0, 0
	}
	c.Log.Reads = 0
}

func (c *Cluster) tick(n *Node, epoch int) {
	if n.epoch != epoch {
		return
	}
	c.schedule(c.Now.Add(TickInterval), func() { c.tick(n, epoch) })
	if n.Paused {
		return
	}
	if !c.Now.Before(n.nextRefresh) {
		n.nextRefresh = c.Now.Add(time.Second)
		Refresh(n.Membership, n.Spread)
	}
	c.applyMembershipActions(n, n.Membership.Tick(c.Now))
	c.applySpreadActions(n, n.Spread.Tick(c.Now))
}

// Refresh passes the membership view to the spread machine and the applied offset
// to the membership machine. The host calls it once a second.
func Refresh(m *membership.Machine, s *spread.Machine) {
	m.SetLocal(membership.Local{Offset: s.Applied(), Load: make([]byte, 16), DataCentreLoad: make([]byte, 32)})
	v := m.View()
	peers := make([]spread.Peer, 0, len(v.Members))
	for _, x := range v.Members {
		peers = append(peers, spread.Peer{ID: x.ID, Address: x.PeerAddress, Offset: x.Offset, Leaving: x.Leaving})
	}
	var relays []fleet.VMID
	for _, r := range m.Relays() {
		relays = append(relays, r.ID)
	}
	s.SetRelays(relays)
	s.SetPeers(peers)
	var remotes []string
	for _, d := range v.DataCentres {
		if d.DataCentre != v.Self.DomainID() && len(d.Relays) > 0 {
			remotes = append(remotes, d.Relays[0].PeerAddress)
		}
	}
	s.SetRemotes(remotes, v.HighestOffset)
}

func (c *Cluster) receive(n *Node, message any) {
	switch message.(type) {
	case *membership.Ping, *membership.Ack, *membership.PingReq, *membership.Summaries:
		c.applyMembershipActions(n, n.Membership.Receive(c.Now, message))
	default:
		c.applySpreadActions(n, n.Spread.Receive(c.Now, message))
	}
}

func (c *Cluster) applyMembershipActions(n *Node, actions []membership.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case membership.Send:
			c.send(n, x.To, x.Message)
		case membership.Changed:
			if c.OnChange != nil {
				c.OnChange(n, x)
			}
		}
	}
}

func (c *Cluster) applySpreadActions(n *Node, actions []spread.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case spread.Send:
			c.send(n, x.To, x.Message)
		case spread.Read:
			c.readLog(n, x)
		case spread.Deliver:
			c.deliver(n, x.Records)
		case spread.Notify:
			n.Notices++
		}
	}
}

func (c *Cluster) deliver(n *Node, records []spread.Record) {
	for _, r := range records {
		if r.Offset != n.LastDelivered+1 {
			panic(fmt.Sprintf("%s applied offset %d after %d", n.VM.ID, r.Offset, n.LastDelivered))
		}
		n.LastDelivered = r.Offset
		n.Delivered++
		if c.OnDeliver != nil {
			c.OnDeliver(n, r)
		}
	}
}

// readLog performs a node's read of the log and delivers the result after the log's
// delay, or after readTimeout if that is shorter.
func (c *Cluster) readLog(n *Node, r spread.Read) {
	delay := min(c.Log.Delay, readTimeout)
	failed := c.Log.Down || !n.LogReachable || c.Log.Delay >= readTimeout
	epoch := n.epoch
	var result spread.ReadResult
	if !failed {
		result = c.Log.read(r.After, r.Max)
	}
	var done func()
	done = func() {
		if n.epoch != epoch {
			return
		}
		if n.Paused {
			c.schedule(c.Now.Add(TickInterval), done)
			return
		}
		result.Failed = failed
		c.applySpreadActions(n, n.Spread.ReadDone(c.Now, r.After, result))
	}
	c.schedule(c.Now.Add(delay), done)
}

// send counts a message, and delivers it after the network delay unless it is lost.
func (c *Cluster) send(from *Node, address string, message any) {
	size := c.size(message)
	from.BytesSent += size
	from.Sent++
	if second := c.Now.Truncate(time.Second); second != from.currentSecond {
		from.currentSecond, from.sentInSecond = second, 0
	}
	from.sentInSecond += size
	from.MaxSent = max(from.MaxSent, from.sentInSecond)
	to := c.byAddress[address]
	if to == nil || c.Blocked != nil && c.Blocked(from, to) || c.Loss > 0 && c.rand.Float64() < c.Loss {
		return
	}
	c.schedule(c.Now.Add(c.delay(from, to)), func() {
		if !to.Up {
			return
		}
		to.BytesReceived += size
		to.Received++
		if to.Paused {
			if len(to.inbox) < inboxLimit {
				to.inbox = append(to.inbox, message)
			}
			return
		}
		c.receive(to, message)
	})
}

// size returns the size of a message's frame. Sizes are cached until the end of Run.
func (c *Cluster) size(message any) int {
	if size, ok := c.sizeCache[message]; ok {
		return size
	}
	size, err := wire.Size(message)
	if err != nil {
		panic(err)
	}
	c.sizeCache[message] = size
	return size
}

func (c *Cluster) delay(from, to *Node) time.Duration {
	base := otherRegionDelay
	switch {
	case from.VM.DataCentre == to.VM.DataCentre:
		base = sameDataCentreDelay
	case from.VM.Region == to.VM.Region:
		base = sameRegionDelay
	}
	return base + time.Duration(c.rand.Int64N(int64(base)/2))
}

// event is a function to run at a virtual time. Events of the same time run in the
// order of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

func (c *Cluster) schedule(t time.Time, run func()) {
	c.sequence++
	heap.Push(&c.events, event{t, c.sequence, run})
}
