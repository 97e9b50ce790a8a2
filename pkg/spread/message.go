// Package spread distributes the settings records of the log to all entry VMs. Two readers
// in each data centre read the log and send the records down a tree of VMs. A VM requests
// missing records from its peers, and a starting VM loads a snapshot from peers. The package
// also distributes small notices (quarantine, leaving upstreams, load shares).
//
// The Machine is a pure state machine: messages, ticks and results of reads go in, actions
// come out.
package spread

import "github.com/cornelline/cornelline/pkg/fleet"

// Record is one record of the stream.
type Record struct {
	Offset uint64
	// Previous is the offset of the stream's record before this one, 0 for the first.
	Previous uint64
	Data     []byte
}

// Records carries records down the tree or answers a Want. An answer without records means
// that the sender no longer keeps, or does not have, the requested records.
type Records struct {
	// Sender is the peer address of the VM that sent the message.
	Sender string
	// Repair is set on an answer to a Want.
	Repair  bool
	Records []Record
	// Highest is the highest offset known to the sender.
	Highest uint64
}

// Want requests the records after an offset from a peer.
type Want struct {
	Sender string
	After  uint64
}

// SnapshotWant requests a part of a peer's state. It is sent with wire.Transport.Call.
type SnapshotWant struct {
	Stream string
	// Covers identifies a snapshot that the peer offered earlier. 0 requests the first part
	// of the newest snapshot.
	Covers uint64
	// Part is the number of the part, from 0.
	Part int
}

// Snapshot is the response to SnapshotWant.
type Snapshot struct {
	Stream string
	// Covers is the last offset that is applied in the state.
	Covers uint64
	// Highest is the highest offset known to the sender.
	Highest uint64
	// Hash is the SHA-256 of the whole state.
	Hash [32]byte
	// Part is the number of this part and Parts the number of all parts.
	Part, Parts int
	// State is the data of this part.
	State []byte
}

// Status reports the sender's offsets and notices to a random peer once per StatusInterval,
// so that both VMs find out which records and notices they lack. Its size is fixed.
type Status struct {
	Sender  string
	Applied uint64
	Highest uint64
	// Digest is the XOR of the hashes of the sender's settled notices.
	Digest uint64
	// Answer is set on the answer to a Status. An answer is not answered itself.
	Answer bool
}

// Notice is a small opaque payload that is sent to all VMs and expires after a time.
type Notice struct {
	// Origin and Sequence identify the notice.
	Origin   fleet.VMID
	Sequence uint64
	// Topic tells the host how to decode Data.
	Topic Topic
	// LifetimeMS is the remaining lifetime in milliseconds.
	LifetimeMS uint32
	Data       []byte
}

// Topic is the subject of a notice.
type Topic uint8

// The topics.
const (
	// TopicQuarantine carries a quarantined fingerprint.
	TopicQuarantine Topic = iota + 1
	// TopicUpstreamLeaving names an upstream that announced that it will stop.
	TopicUpstreamLeaving
	// TopicLoad carries load shares.
	TopicLoad
)

// Notices carries notices to a peer.
type Notices struct {
	Sender string
	// Root is the VM at the root of the tree by which the notices are forwarded in the
	// receiver's data centre. If it is empty, the receiver is the root.
	Root    fleet.VMID
	Notices []Notice
}
