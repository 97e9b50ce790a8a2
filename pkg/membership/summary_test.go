package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
)

var epoch = time.Unix(1e9, 0)

// machineWith returns a VM "self" that knows the given members.
func machineWith(members ...Member) *Machine {
	m := New(Config{Self: fleet.VM{ID: "self", DataCentre: "dc", PeerAddress: "self:1"}, Incarnation: 1}, epoch, rand.New(rand.NewPCG(1, 1)))
	for _, x := range members {
		m.members[x.ID] = &member{Member: x}
		m.order = append(m.order, x.ID)
	}
	return m
}

// TestSummaryCountsLiveMembers guards against wrong counts: dead members and those
// that left do not count, suspects do, and leaving members are live and also counted
// separately.
func TestSummaryCountsLiveMembers(t *testing.T) {
	is := is.New(t)
	m := machineWith(
		Member{ID: "a", Status: Alive}, Member{ID: "b", Status: Suspect}, Member{ID: "c", Status: Dead},
		Member{ID: "d", Status: Left, Leaving: true}, Member{ID: "e", Status: Alive, Leaving: true},
	)
	s := m.ownSummary()
	is.Equal(s.Live, uint32(4)) // self, a, b, e
	is.Equal(s.Leaving, uint32(1))
	is.Equal(m.liveCount(), uint32(4))
	m.self.Leaving = true
	is.Equal(m.ownSummary().Leaving, uint32(2))
}

// TestSummaryOffsetIgnoresDeadMembers guards against the offset of a dead member in
// the summary.
func TestSummaryOffsetIgnoresDeadMembers(t *testing.T) {
	is := is.New(t)
	m := machineWith(Member{ID: "a", Status: Alive, Offset: 7}, Member{ID: "c", Status: Dead, Offset: 9})
	is.Equal(m.ownSummary().Offset, uint64(7))
}

// TestSummaryVersionChangesOnlyWithMembersOrAge guards against new versions without a
// change: each new version makes all other data centres forward the summary.
func TestSummaryVersionChangesOnlyWithMembersOrAge(t *testing.T) {
	is := is.New(t)
	m := machineWith(Member{ID: "a", Status: Alive})
	first := m.nextOwnSummary()
	is.Equal(m.nextOwnSummary().Version, first.Version)
	m.members["a"].Leaving = true
	second := m.nextOwnSummary()
	is.Equal(second.Version, first.Version+1)
	is.Equal(second.Leaving, uint32(1))
	m.members["b"] = &member{Member: Member{ID: "b", Status: Alive}}
	m.order = append(m.order, "b")
	third := m.nextOwnSummary()
	is.Equal(third.Version, second.Version+1)
	is.Equal(third.Live, uint32(3))
	m.now = m.now.Add(SummaryRefresh)
	is.Equal(m.nextOwnSummary().Version, third.Version+1) // refreshed because of its age
}

// TestSummaryWithoutDataCentreIsIgnored guards against stored summaries without a data
// centre, and against an older summary that replaces a newer one.
func TestSummaryWithoutDataCentreIsIgnored(t *testing.T) {
	is := is.New(t)
	m := machineWith()
	m.mergeSummary(Summary{Version: 3, Live: 5})
	is.Equal(len(m.dataCentres), 0)
	m.mergeSummary(Summary{DataCentre: "other", Version: 3, Live: 5})
	is.Equal(m.dataCentres["other"].Live, uint32(5))
	m.mergeSummary(Summary{DataCentre: "other", Version: 3, Live: 9}) // not newer
	is.Equal(m.dataCentres["other"].Live, uint32(5))
}
