// Package membership keeps the view of live entry VMs: SWIM-style probes with
// suspicion and incarnations inside a data centre, and summaries between the
// relays of data centres and regions.
//
// The Machine is a pure state machine: messages, ticks and seeded randomness
// go in, actions come out.
package membership

import "github.com/cornelline/cornelline/pkg/fleet"

// Status is what is believed of a member. A higher status of the same
// incarnation overrides a lower one.
type Status uint8

// The statuses.
const (
	Alive Status = iota
	Suspect
	Dead
	// Left is a member that announced its end; it is believed without suspicion.
	Left
)

// Member is the state of one entry VM.
type Member struct {
	ID          fleet.VMID
	DataCentre  fleet.DataCentreID
	Region      fleet.RegionID
	Address     string
	PeerAddress string
	// Domain is the group that probes its members; empty means the data centre.
	Domain fleet.DataCentreID
	// Incarnation grows with each start of the VM and each refuted suspicion.
	Incarnation uint64
	Status      Status
	// Version grows with each change of the fields below. Only the VM itself changes them.
	Version uint64
	// Leaving is set while the VM drains before a planned stop.
	Leaving bool
	// Offset is the highest settings offset that the VM has in force.
	Offset uint64
	// Load is a small opaque payload of at most MaxLoad bytes.
	Load []byte
}

// DomainID returns the group that probes its members.
func (m Member) DomainID() fleet.DataCentreID {
	if m.Domain != "" {
		return m.Domain
	}
	return m.DataCentre
}

// Contact names a member of another data centre.
type Contact struct {
	ID          fleet.VMID
	Address     string
	PeerAddress string
}

// Summary is the fixed-size state of one data centre.
type Summary struct {
	// DataCentre is the domain, which is a data centre unless Config.Domain says otherwise.
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
	// Version grows by one with each summary: a relay continues from the highest version it has heard.
	Version uint64
	// AgeMS is the time in milliseconds since the summary was made, as far as
	// the VMs on its way held it.
	AgeMS uint32
	// Live and Leaving count the members.
	Live, Leaving uint32
	// Offset is the highest settings offset that any member has in force.
	Offset uint64
	// Relays are the data centre's relays, the first one first.
	Relays []Contact
	// Sample holds some other members, which change from summary to summary.
	Sample []Contact
	// Load is a small opaque payload of at most MaxLoad bytes for the whole data centre.
	Load []byte
}

// Ping probes a member. From is the sender's own state.
type Ping struct {
	Sequence uint64
	From     Member
	// Join asks for a longer list of members: those whose identity follows After.
	Join  bool
	After fleet.VMID
	// Live counts the live members that the sender knows, itself included.
	Live      uint32
	Members   []Member
	Summaries []Summary
}

// Ack answers a Ping.
type Ack struct {
	Sequence uint64
	From     Member
	Live     uint32
	// Page is set when Members answers a Join.
	Page      bool
	Members   []Member
	Summaries []Summary
}

// PingReq asks a member to probe another one and to pass its Ack on.
type PingReq struct {
	Sequence uint64
	From     Member
	Target   Contact
}

// Summaries carries summaries between relays.
type Summaries struct {
	From Contact
	// Answer is set on an answer, which gets none itself.
	Answer bool
	// Summaries begin with that of the sender's data centre, except in an answer.
	Summaries []Summary
}
