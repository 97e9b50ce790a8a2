package membership

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// sendSummaries runs one round of a relay. Each relay sends the summary of its own data
// centre to the other data centres of the region. The first relay of the region's
// representative data centre also sends to the other regions.
func (m *Machine) sendSummaries() {
	if m.now.Sub(m.startedAt) < relayDelay {
		return
	}
	relays := m.Relays()
	position := slices.IndexFunc(relays, func(c Contact) bool { return c.ID == m.self.ID })
	if position < 0 {
		return
	}
	m.round++
	own := m.nextOwnSummary()
	representsRegion := m.regionRepresentative(m.self.Region) == m.self.DomainID()
	for _, r := range m.summaryTargets(representsRegion && position == 0) {
		to, ok := m.pickContact(r, position)
		if !ok {
			continue
		}
		list := []Summary{own}
		switch {
		case r.Region != m.self.Region:
			list = append(list, m.regionSummaries(MaxRegionSummaries-1)...)
		case representsRegion:
			list = append(list, m.otherSummaries(RepresentativeForwards, r.DataCentre)...)
		default:
			list = append(list, m.otherSummaries(RelayForwards, r.DataCentre)...)
		}
		m.send(to.PeerAddress, &Summaries{From: m.self.contact(), Summaries: list})
	}
}

// pickContact returns the contact of a data centre for this round. It alternates between
// the data centre's relays, so that one dead relay does not cut the data centre off.
// Every fourth round uses another member in case all relays are dead.
func (m *Machine) pickContact(r *dataCentreState, position int) (Contact, bool) {
	if len(r.Sample) > 0 && (m.round%4 == 0 || len(r.Relays) == 0) {
		return r.Sample[0], true
	}
	if len(r.Relays) == 0 {
		return Contact{}, false
	}
	return r.Relays[(m.round+position)%len(r.Relays)], true
}

// summaryTargets returns the data centres that this relay sends summaries to. crossRegion
// adds the representative data centre of each other region.
func (m *Machine) summaryTargets(crossRegion bool) []*dataCentreState {
	var targets []*dataCentreState
	covered := map[fleet.RegionID]bool{m.self.Region: true}
	for _, dc := range m.dataCentreOrder {
		r := m.dataCentres[dc]
		if r.Region == m.self.Region {
			if dc == m.self.DomainID() {
				continue
			}
			targets = append(targets, r)
			continue
		}
		if !crossRegion || covered[r.Region] {
			continue
		}
		covered[r.Region] = true
		if s := m.dataCentres[m.regionRepresentative(r.Region)]; s != nil {
			targets = append(targets, s)
		}
	}
	return targets
}

// regionRepresentative returns the data centre whose first relay exchanges summaries
// with other regions: the one with the lowest rendezvous hash among the data centres
// with a summary younger than RelayStale, or among all if none has one.
func (m *Machine) regionRepresentative(region fleet.RegionID) fleet.DataCentreID {
	var best, bestAny fleet.DataCentreID
	var rank, rankAny uint64
	consider := func(dc fleet.DataCentreID, fresh bool) {
		h := xxhash.Sum64String("speaker\x00" + string(region) + "\x00" + string(dc))
		if fresh && (best == "" || h < rank) {
			best, rank = dc, h
		}
		if bestAny == "" || h < rankAny {
			bestAny, rankAny = dc, h
		}
	}
	if region == m.self.Region {
		consider(m.self.DomainID(), true)
	}
	for _, dc := range m.dataCentreOrder {
		if r := m.dataCentres[dc]; r.Region == region {
			consider(dc, m.now.Sub(r.madeAt) < RelayStale)
		}
	}
	if best == "" {
		return bestAny
	}
	return best
}

// ownSummary returns the present summary of the own data centre, under the highest
// version received so far, which may come from another relay.
func (m *Machine) ownSummary() Summary {
	s := Summary{DataCentre: m.self.DomainID(), Region: m.self.Region, Live: 1, Offset: m.self.Offset}
	if m.self.Leaving {
		s.Leaving++
	}
	for _, x := range m.members {
		if x.Status >= Dead {
			continue
		}
		s.Live++
		if x.Leaving {
			s.Leaving++
		}
		s.Offset = max(s.Offset, x.Offset)
	}
	s.Relays = m.Relays()
	s.Sample = m.sample(s.Relays)
	s.Load = m.local.DataCentreLoad
	if own := m.dataCentres[m.self.DomainID()]; own != nil {
		s.Version = own.Version
	}
	return s
}

// nextOwnSummary returns the own data centre's summary for a round. It makes a new
// version if the members changed or the last version is older than SummaryRefresh;
// otherwise it returns the last version, whichever relay made it.
func (m *Machine) nextOwnSummary() Summary {
	own := m.ownSummary()
	if last := m.dataCentres[m.self.DomainID()]; last != nil && m.now.Sub(last.madeAt) < SummaryRefresh {
		sameRelays := slices.Equal(last.Relays, own.Relays)
		if sameRelays && last.Live == own.Live && last.Leaving == own.Leaving {
			return m.agedSummary(last)
		}
	}
	own.Version++
	m.mergeSummary(own)
	return own
}

// sample returns up to sampleSize live members that are not relays, in rotation.
func (m *Machine) sample(relays []Contact) []Contact {
	var list []Contact
	for range min(len(m.order), 3*sampleSize) {
		m.sampleIndex = (m.sampleIndex + 1) % len(m.order)
		x := m.members[m.order[m.sampleIndex]]
		isRelay := slices.ContainsFunc(relays, func(c Contact) bool { return c.ID == x.ID })
		if x.Status == Alive && !x.Leaving && !isRelay {
			list = append(list, x.contact())
		}
		if len(list) == sampleSize {
			break
		}
	}
	return list
}

// regionSummaries returns up to n summaries of other data centres of the region, in rotation.
func (m *Machine) regionSummaries(n int) []Summary {
	return m.summariesOf(n, func(r *dataCentreState) bool {
		return r.Region == m.self.Region && r.DataCentre != m.self.DomainID()
	})
}

// otherSummaries returns up to n summaries of data centres of any region, in rotation,
// without the own data centre and the receiver's.
func (m *Machine) otherSummaries(n int, receiver fleet.DataCentreID) []Summary {
	return m.summariesOf(n, func(r *dataCentreState) bool {
		return r.DataCentre != m.self.DomainID() && r.DataCentre != receiver
	})
}

// summariesOf returns up to n of the wanted summaries, starting where the last call ended.
func (m *Machine) summariesOf(n int, wanted func(*dataCentreState) bool) []Summary {
	var list []Summary
	for range m.dataCentreOrder {
		if len(list) == n {
			break
		}
		m.forwardIndex = (m.forwardIndex + 1) % len(m.dataCentreOrder)
		if r := m.dataCentres[m.dataCentreOrder[m.forwardIndex]]; wanted(r) {
			list = append(list, m.agedSummary(r))
		}
	}
	return list
}

// nextSummaries returns up to n summaries: first those with transmissions left, then
// others. Both groups rotate, so that no data centre's update delays that of another.
func (m *Machine) nextSummaries(n int) []Summary {
	n = min(n, len(m.dataCentreOrder))
	list := make([]Summary, 0, n)
	pick := func(wanted func(*dataCentreState) bool) {
		for range m.dataCentreOrder {
			if len(list) >= n {
				return
			}
			m.summaryIndex = (m.summaryIndex + 1) % len(m.dataCentreOrder)
			if r := m.dataCentres[m.dataCentreOrder[m.summaryIndex]]; wanted(r) {
				list = append(list, m.agedSummary(r))
			}
		}
	}
	pick(func(r *dataCentreState) bool {
		pending := r.transmitsLeft > 0
		r.transmitsLeft = max(r.transmitsLeft-1, 0)
		return pending
	})
	pick(func(r *dataCentreState) bool {
		return !slices.ContainsFunc(list, func(s Summary) bool { return s.DataCentre == r.DataCentre })
	})
	return list
}

// agedSummary returns the stored summary with its present age.
func (m *Machine) agedSummary(r *dataCentreState) Summary {
	s := r.Summary
	s.AgeMS = uint32(min(m.now.Sub(r.madeAt).Milliseconds(), math.MaxUint32))
	return s
}

// gossipSummaries returns the summaries for a Ping or Ack.
func (m *Machine) gossipSummaries() []Summary { return m.nextSummaries(MaxSummaries) }

// allSummaries returns the summary of every known data centre, including the own one.
func (m *Machine) allSummaries() []Summary {
	list := []Summary{m.ownSummary()}
	for _, dc := range m.dataCentreOrder {
		if dc != m.self.DomainID() {
			list = append(list, m.agedSummary(m.dataCentres[dc]))
		}
	}
	return list
}

// receiveSummaries handles the summaries of a relay. If the last summary of the sender's
// data centre named another first relay, the sender may be partitioned from the rest of
// its data centre. It then gets that last summary as an answer, which names the relays
// of the other partition.
func (m *Machine) receiveSummaries(x *Summaries) {
	if len(x.Summaries) == 0 {
		return
	}
	s := x.Summaries[0]
	if r := m.dataCentres[s.DataCentre]; r != nil && !x.Answer && r.hasOtherFirstRelay(s) {
		m.send(x.From.PeerAddress, &Summaries{From: m.self.contact(), Answer: true, Summaries: []Summary{m.agedSummary(r)}})
	}
	m.mergeSummaries(x.Summaries)
}

// hasOtherFirstRelay reports whether the first relay in s differs from that in the stored
// summary.
func (r *dataCentreState) hasOtherFirstRelay(s Summary) bool {
	return len(r.Relays) > 0 && len(s.Relays) > 0 && r.Relays[0].ID != s.Relays[0].ID
}

func (m *Machine) mergeSummaries(list []Summary) {
	for _, s := range list {
		m.mergeSummary(s)
	}
}

// mergeSummary stores a summary if it is newer than the known one.
func (m *Machine) mergeSummary(s Summary) {
	if s.DataCentre == "" {
		return
	}
	if s.DataCentre == m.self.DomainID() {
		m.pingUnknownContacts(s)
	}
	r := m.dataCentres[s.DataCentre]
	if r == nil {
		r = &dataCentreState{}
		m.dataCentres[s.DataCentre] = r
		m.dataCentreOrder = append(m.dataCentreOrder, s.DataCentre)
		slices.Sort(m.dataCentreOrder)
	} else if s.Version <= r.Version {
		return
	}
	r.Summary = s
	r.madeAt = m.now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	r.transmitsLeft = summaryTransmits
}

// pingUnknownContacts pings the contacts in a summary of the own data centre that are
// not known as members, so that partitions that do not know each other merge.
func (m *Machine) pingUnknownContacts(s Summary) {
	if m.self.Status == Left || m.now.Before(m.nextContact) {
		return
	}
	for _, c := range append(slices.Clone(s.Relays), s.Sample...) {
		if _, known := m.members[c.ID]; !known && c.ID != m.self.ID {
			m.nextContact = m.now.Add(PullInterval)
			m.sequence++
			m.send(c.PeerAddress, &Ping{Sequence: m.sequence, From: m.self, Join: true})
		}
	}
}

// addFirstContact records a VM of a data centre that has no known summary as that data
// centre's contact.
func (m *Machine) addFirstContact(x Member) {
	if m.dataCentres[x.DomainID()] != nil {
		return
	}
	m.mergeSummary(Summary{
		DataCentre: x.DomainID(), Region: x.Region, Live: 1, Offset: x.Offset,
		Relays: []Contact{x.contact()},
	})
}

// contactSeed pings the next seed and a member that is believed dead. It runs often while
// the VM knows few members, and rarely afterwards, so that separated partitions of the
// fleet find each other again.
func (m *Machine) contactSeed() {
	interval := SeedInterval
	if m.now.Sub(m.startedAt) > startTime {
		interval = max(SeedInterval, SeedIntervalPerVM*time.Duration(m.fleetCount()))
	}
	if own := m.dataCentres[m.self.DomainID()]; len(m.members) == 0 || own != nil && own.Live > 2*m.liveCount() {
		interval = JoinInterval // alone, or in a small partition of the data centre
	}
	if len(m.members) == 0 {
		longest := JoinInterval
		if m.now.Sub(m.startedAt) < earlyJoinTime {
			longest = earlyJoinInterval
		}
		m.joinInterval = min(max(2*m.joinInterval, firstJoinInterval), longest)
		interval = m.joinInterval
	}
	m.nextSeed = m.now.Add(interval/2 + m.jitter(interval))
	m.pingDeadMember()
	if len(m.config.Seeds) == 0 {
		return
	}
	seed := m.config.Seeds[m.seedIndex%len(m.config.Seeds)]
	m.seedIndex++
	if seed == m.self.PeerAddress {
		return
	}
	m.sequence++
	m.send(seed, &Ping{
		Sequence: m.sequence, From: m.self, Join: len(m.members) == 0,
		Summaries: m.gossipSummaries(),
	})
}

// fleetCount returns the number of live VMs of the whole fleet, as far as known.
func (m *Machine) fleetCount() uint32 {
	n := m.liveCount()
	for dc, r := range m.dataCentres {
		if dc != m.self.DomainID() {
			n += r.Live
		}
	}
	return n
}

// pingDeadMember pings a random member that is believed dead, so that partitions of a
// data centre which consider each other dead find each other again.
func (m *Machine) pingDeadMember() {
	var dead []*member
	for _, id := range m.order {
		if x := m.members[id]; x.Status == Dead {
			dead = append(dead, x)
		}
	}
	if len(dead) == 0 {
		return
	}
	x := dead[m.rand.IntN(len(dead))]
	m.sequence++
	m.send(x.PeerAddress, m.ping(x))
}
