package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// View is one VM's view of the fleet.
type View struct {
	Self Member
	// Members are the live members of this VM's domain, without the VM itself, sorted by ID.
	Members []Member
	// DataCentres are all known data centres, including the VM's own, sorted by ID.
	DataCentres []DataCentre
	// HighestOffset is the highest settings offset that any VM is known to have in force.
	HighestOffset uint64
}

// DataCentre is the last known summary of a data centre.
type DataCentre struct {
	Summary
	// Age is the time since the summary was made.
	Age time.Duration
	// Reachable is false once the summary is older than SummaryStale.
	Reachable bool
}

// View returns the current view. Later calls on the machine do not change the result.
func (m *Machine) View() View {
	v := View{Self: m.self, HighestOffset: m.self.Offset}
	for _, x := range m.members {
		if x.Status < Dead {
			v.Members = append(v.Members, x.Member)
			v.HighestOffset = max(v.HighestOffset, x.Offset)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, dc := range m.dataCentreOrder {
		r := m.dataCentres[dc]
		d := DataCentre{Summary: r.Summary, Age: m.now.Sub(r.madeAt)}
		if dc == m.self.DomainID() {
			d.Summary = m.ownSummary()
			d.Age = 0
		}
		d.Reachable = d.Age < SummaryStale
		v.HighestOffset = max(v.HighestOffset, d.Offset)
		v.DataCentres = append(v.DataCentres, d)
	}
	return v
}

// VM returns the member's identity and addresses as a fleet.VM.
func (m Member) VM() fleet.VM {
	return fleet.VM{
		ID: m.ID, DataCentre: m.DataCentre, Region: m.Region,
		Address: m.Address, PeerAddress: m.PeerAddress, Leaving: m.Leaving,
	}
}

// jitter returns a random duration in [0, interval).
func (m *Machine) jitter(interval time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(interval)))
}
