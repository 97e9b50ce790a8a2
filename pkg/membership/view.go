package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// View is what a VM believes of the fleet.
type View struct {
	Self Member
	// Members are the live members of the own data centre without the VM itself, by identity.
	Members []Member
	// DataCentres are the data centres heard of, the own one included, by identity.
	DataCentres []DataCentre
	// Highest is the highest settings offset that any VM has in force.
	Highest uint64
}

// DataCentre is what a VM believes of a data centre.
type DataCentre struct {
	Summary
	// Age is the time since the last new summary.
	Age time.Duration
	// Reachable is false when no summary came for SummaryStale.
	Reachable bool
}

// View returns the current beliefs. The result shares no state with the machine.
func (m *Machine) View() View {
	v := View{Self: m.self, Highest: m.self.Offset}
	for _, x := range m.members {
		if x.Status < Dead {
			v.Members = append(v.Members, x.Member)
			v.Highest = max(v.Highest, x.Offset)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, dc := range m.remoteOrder {
		r := m.remotes[dc]
		d := DataCentre{Summary: r.Summary, Age: m.now.Sub(r.heardAt)}
		if dc == m.self.DomainID() {
			d.Summary = m.ownSummary()
			d.Age = 0
		}
		d.Reachable = d.Age < SummaryStale
		v.Highest = max(v.Highest, d.Offset)
		v.DataCentres = append(v.DataCentres, d)
	}
	return v
}

// VM returns the member in the shared form.
func (m Member) VM() fleet.VM {
	return fleet.VM{
		ID: m.ID, DataCentre: m.DataCentre, Region: m.Region,
		Address: m.Address, PeerAddress: m.PeerAddress, Leaving: m.Leaving,
	}
}

// jitter returns a random part of the interval.
func (m *Machine) jitter(interval time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(interval)))
}
