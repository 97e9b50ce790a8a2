// Package membership tracks the live entry VMs. Inside a data centre it uses
// SWIM-style probes with suspicion and incarnations; between data centres and
// regions, relays exchange summaries.
//
// Machine is a deterministic state machine: it takes messages, ticks and seeded
// randomness as input and returns actions. It performs no I/O.
package membership

import "github.com/cornelline/cornelline/pkg/fleet"

// Status is the health state of a member. Within one incarnation a higher status
// overrides a lower one.
type Status uint8

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is the status of a member that announced its exit. It needs no suspicion period.
	Left
)

// Member is the state of one entry VM.
type Member struct {
	ID          fleet.VMID
	DataCentre  fleet.DataCentreID
	Region      fleet.RegionID
	Address     string
	PeerAddress string
	// Domain is the group of VMs that probe each other; empty means the data centre.
	Domain fleet.DataCentreID
	// Incarnation increases with each start of the VM and each refuted suspicion.
	Incarnation uint64
	Status      Status
	// Version increases with each change of the fields below. Only the VM itself changes them.
	Version uint64
	// Leaving is set while the VM drains before a planned stop.
	Leaving bool
	// Offset is the highest settings offset that the VM has in force.
	Offset uint64
	// Load is an opaque payload of at most MaxLoad bytes.
	Load []byte
}

// DomainID returns the probing group: Domain, or the data centre if Domain is empty.
func (m Member) DomainID() fleet.DataCentreID {
	if m.Domain != "" {
		return m.Domain
	}
	return m.DataCentre
}

// Contact identifies a VM and its addresses.
type Contact struct {
	ID          fleet.VMID
	Address     string
	PeerAddress string
}

// Summary is the fixed-size state of one data centre.
type Summary struct {
	// DataCentre is the domain, which is the data centre unless Config.Domain is set.
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
	// Version increases by one with each new summary. A relay continues from the highest
	// version that it has received.
	Version uint64
	// AgeMS is the age of the summary in milliseconds. It sums the time that each VM
	// on the way held the summary, and excludes time on the network.
	AgeMS uint32
	// Live counts all live members; Leaving counts those of them that drain.
	Live, Leaving uint32
	// Offset is the highest settings offset that any member has in force.
	Offset uint64
	// Relays are the data centre's relays in order of precedence.
	Relays []Contact
	// Sample holds a few members that are not relays. It rotates between summaries.
	Sample []Contact
	// Load is an opaque payload of at most MaxLoad bytes for the whole data centre.
	Load []byte
}

// Ping probes a member. From is the sender's own state.
type Ping struct {
	Sequence uint64
	From     Member
	// Join requests a page of up to MaxJoinMembers members whose IDs sort after After.
	Join  bool
	After fleet.VMID
	// Live is the number of live members that the sender knows, including itself.
	Live      uint32
	Members   []Member
	Summaries []Summary
}

// Ack answers a Ping.
type Ack struct {
	Sequence uint64
	From     Member
	Live     uint32
	// Page is set when Members is the page that a Join requested.
	Page      bool
	Members   []Member
	Summaries []Summary
}

// PingReq asks a member to probe Target and to forward its Ack.
type PingReq struct {
	Sequence uint64
	From     Member
	Target   Contact
}

// Summaries carries summaries between relays.
type Summaries struct {
	From Contact
	// Answer marks a response to Summaries. Responses are not answered themselves.
	Answer bool
	// Summaries starts with the summary of the sender's own data centre, except in a response.
	Summaries []Summary
}
