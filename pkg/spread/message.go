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

// Records carries records down the tree or answers a Want. An answer without
// records says that the sender does not keep the wanted ones.
type Records struct {
	// Sender is the peer address of the VM that sent the message.
	Sender string
	// Repair is set on an answer to a Want.
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

// SnapshotWant asks a peer for a part of its state. It is a request of wire.Transport.Call.
type SnapshotWant struct {
	Stream string
	// Covers and Part name a part of the snapshot offered earlier. Covers 0
	// asks for the first part of the newest one.
	Covers uint64
	Part   int
}

// Snapshot is the response to SnapshotWant.
type Snapshot struct {
	Stream string
	// Covers is the last offset whose effect the state holds.
	Covers uint64
	// Highest is the highest offset that the sender has heard of.
	Highest uint64
	// Hash is the SHA-256 of the whole state.
	Hash [32]byte
	// State is part number Part of Parts parts.
	Part, Parts int
	State       []byte
}

// Status tells a random peer once an interval how far the sender is, so that
// both find out what either lacks. Its size is fixed.
type Status struct {
	Sender  string
	Applied uint64
	Highest uint64
	// Digest is the XOR of the identities of the sender's settled notices.
	Digest uint64
	// Answer is set on the answer to a Status, which gets none itself.
	Answer bool
}

// Notice is a small opaque payload that goes to all VMs for a bounded time.
type Notice struct {
	// Origin and Sequence identify the notice.
	Origin   fleet.VMID
	Sequence uint64
	// Topic tells the host how to read Data.
	Topic Topic
	// LifetimeMS is the remaining time in milliseconds.
	LifetimeMS uint32
	Data       []byte
}

// Topic is the subject of a notice.
type Topic uint8

// The topics.
const (
	// TopicQuarantine carries a quarantined fingerprint.
	TopicQuarantine Topic = iota + 1
	// TopicUpstreamLeaving names an upstream that announced its end.
	TopicUpstreamLeaving
	// TopicLoad carries load shares.
	TopicLoad
)

// Notices carries notices to a peer.
type Notices struct {
	Sender string
	// Root is the VM from which the notices go down the tree of the receiver's
	// data centre; empty makes the receiver the root.
	Root    fleet.VMID
	Notices []Notice
}
