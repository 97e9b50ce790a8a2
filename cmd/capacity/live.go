package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/fleettest"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/spread"
	"github.com/cornelline/cornelline/pkg/wire"
)

// inboxSize is the number of messages that can wait for a node's control goroutine.
const inboxSize = 1024

// memoryLog is an in-memory log shared by all nodes of a TCP fleet.
type memoryLog struct {
	mu      sync.Mutex
	records []spread.Record
	reads   atomic.Uint64
}

func (l *memoryLog) append(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, spread.Record{Offset: offset, Data: data})
	return offset
}

func (l *memoryLog) read(after uint64, limit int) spread.ReadResult {
	l.reads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	end := min(int(after)+limit, len(l.records))
	r := spread.ReadResult{First: 1, Next: uint64(len(l.records) + 1)}
	r.Records = append(r.Records, l.records[min(int(after), end):end]...)
	return r
}

// tcpNode runs the control-plane state machines of one VM over TCP.
type tcpNode struct {
	vm         fleet.VM
	transport  *wire.Transport
	membership *membership.Machine
	spread     *spread.Machine
	log        *memoryLog
	inbox      chan any
	publish    chan []byte
	stop       chan struct{}
	applied    atomic.Uint64
	members    atomic.Int64
}

// startNode starts node i on a listener.
func startNode(i int, listener net.Listener, seeds []string, log *memoryLog) *tcpNode {
	n := &tcpNode{
		log: log, inbox: make(chan any, inboxSize), publish: make(chan []byte, 1), stop: make(chan struct{}),
		vm: fleet.VM{
			ID: fleet.VMID(fmt.Sprintf("vm-%04d", i)), DataCentre: "dc-00", Region: "region-0",
			Address: listener.Addr().String(), PeerAddress: listener.Addr().String(),
		},
	}
	n.transport = wire.New(listener, wire.Config{VM: n.vm.ID, Secret: []byte("capacity"), Receive: n.receive})
	now := time.Now()
	random := rand.New(rand.NewPCG(uint64(i), 1))
	n.membership = membership.New(membership.Config{Self: n.vm, Incarnation: uint64(now.UnixMilli()), Seeds: seeds}, now, random)
	n.spread = spread.New(spread.Config{Stream: "settings", Self: n.vm.ID, Address: n.vm.PeerAddress}, 0, now, random)
	go n.run()
	return n
}

// receive queues a message for the control goroutine, and drops it if the inbox is full.
func (n *tcpNode) receive(_ wire.Peer, m wire.Message) {
	select {
	case n.inbox <- m:
	default:
	}
}

// run is the control goroutine. It alone uses the state machines.
func (n *tcpNode) run() {
	ticker := time.NewTicker(fleettest.TickInterval)
	defer ticker.Stop()
	for tick := 0; ; {
		select {
		case <-n.stop:
			return
		case m := <-n.inbox:
			n.handle(m)
		case data := <-n.publish:
			actions, _ := n.spread.Publish(time.Now(), spread.TopicQuarantine, data, time.Minute)
			n.applySpreadActions(actions)
		case now := <-ticker.C:
			if tick%10 == 0 {
				fleettest.Refresh(n.membership, n.spread)
				n.members.Store(int64(len(n.membership.View().Members) + 1))
			}
			tick++
			n.applyMembershipActions(n.membership.Tick(now))
			n.applySpreadActions(n.spread.Tick(now))
		}
	}
}

func (n *tcpNode) handle(m any) {
	switch m.(type) {
	case *membership.Ping, *membership.Ack, *membership.PingReq, *membership.Summaries:
		n.applyMembershipActions(n.membership.Receive(time.Now(), m))
	default:
		n.applySpreadActions(n.spread.Receive(time.Now(), m))
	}
}

func (n *tcpNode) applyMembershipActions(actions []membership.Action) {
	for _, a := range actions {
		if s, ok := a.(membership.Send); ok {
			_ = n.transport.Send(s.To, s.Message) // delivery is not guaranteed anyway
		}
	}
}

func (n *tcpNode) applySpreadActions(actions []spread.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case spread.Send:
			_ = n.transport.Send(x.To, x.Message) // delivery is not guaranteed anyway
		case spread.Read:
			n.applySpreadActions(n.spread.ReadDone(time.Now(), x.After, n.log.read(x.After, x.Max)))
		case spread.Deliver:
			n.applied.Store(x.Records[len(x.Records)-1].Offset)
		}
	}
}

func (n *tcpNode) close() {
	close(n.stop)
	_ = n.transport.Close()
}
