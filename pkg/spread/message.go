// Package spread carries the settings records of the log to all entry VMs: two
// readers in each data centre read the log, records go down a tree, gaps are
// repaired from peers, and a starting VM takes a snapshot from peers. It also
// carries small notices (quarantine, leaving upstreams, load shares).
//
// The Machine is a pure state machine: messages, ticks and results of reads go
// in, actions come out.
package spread

import "github.com/cornelline/cornelline/pkg/fleet"

// Record is one record of the stream.
type Record struct {
	Offset uint64
	// Previous is the offset of the stream's record before this one, 0 for the first.
	Previous uint64
	Data     []byte
}

// Records carries records down the tree or answers a Want.
type Records struct {

	// Sender is the peer address of the VM that sent the message.
	Sender string
	// Repair is set on an answer to a Want; such records are not passed on.
	Repair  bool
	Records []Record
	// Highest is the highest offset that the sender has heard of.
	Highest uint64
}

// Want asks a peer for the records after an offset.
type Want struct {
	Sender string
	After  uint64
}

// SnapshotWant asks a peer for its state. It is a request of wire.Transport.Call.
type SnapshotWant struct {
	Stream string
}

// Snapshot is the response to SnapshotWant.
type Snapshot struct {
	Stream string
	// Covers is the last offset whose effect the state holds.
	Covers uint64
	// Highest is the highest offset that the sender has heard of.
	Highest uint64
	// Ready is set when the sender itself is ready.
	Ready bool
	Hash  [32]byte
	State []byte
}

// Status tells a random peer once an interval how far the sender is, so that
// both find out what either lacks.
type Status struct {
	Sender  string
	Applied uint64
	Highest uint64
	// Notices are the short identities of some notices that the sender has.
	Notices []uint32
}

// Notice is a small opaque payload that goes to all VMs for a bounded time.
type Notice struct {

	// Origin and Sequence identify the notice.
	Origin   fleet.VMID
	Sequence uint64
	// Topic tells the host how to read Data.
	Topic uint8
	// LifetimeMS is the remaining time in milliseconds.
	LifetimeMS uint32
	Data       []byte
}

// Notices carries notices to a peer.
type Notices struct {
	Sender  string
	Repair  bool
	Notices []Notice
}
