package membership

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// sendSummaries runs a relay's round: the own data centre's summary to the
// other data centres of the region, and as the region's relay to the other regions.
func (m *Machine) sendSummaries() {
	if m.now.Sub(m.began) < relayDelay {
		return
	}
	relays := m.Relays()
	position := slices.IndexFunc(relays, func(c Contact) bool { return c.ID == m.self.ID })
	if position < 0 {
		return
	}
	m.round++
	own := m.nextOwnSummary()
	speaks := m.regionSpeaker(m.self.Region) == m.self.DomainID()
	for _, r := range m.summaryTargets(speaks && position == 0) {
		to, ok := m.relayOf(r, position)
		if !ok {
			continue
		}
		list := []Summary{own}
		switch {
		case r.Region != m.self.Region:
			list = append(list, m.regionSummaries(MaxRelayed-1)...)
		case speaks:
			list = append(list, m.otherSummaries(SpeakerPassOn, r.DataCentre)...)
		default:
			list = append(list, m.otherSummaries(RelayPassOn, r.DataCentre)...)
		}
		m.send(to.PeerAddress, &Summaries{From: m.self.contact(), Summaries: list})
	}
}

// relayOf returns the contact of a data centre for this round. The relays
// alternate, so that a dead one does not cut the data centre off; every fourth
// round uses another member in case both are dead.
func (m *Machine) relayOf(r *remote, position int) (Contact, bool) {
	if len(r.Sample) > 0 && (m.round%4 == 0 || len(r.Relays) == 0) {
		return r.Sample[0], true
	}
	if len(r.Relays) == 0 {
		return Contact{}, false
	}
	return r.Relays[(m.round+position)%len(r.Relays)], true
}

// summaryTargets returns the data centres that this relay sends to.
func (m *Machine) summaryTargets(speaker bool) []*remote {
	var targets []*remote
	regions := map[fleet.RegionID]bool{m.self.Region: true}
	for _, dc := range m.remoteOrder {
		r := m.remotes[dc]
		if r.Region == m.self.Region {
			if dc == m.self.DomainID() {
				continue
			}
			targets = append(targets, r)
			continue
		}
		if !speaker || regions[r.Region] {
			continue
		}
		regions[r.Region] = true
		if s := m.remotes[m.regionSpeaker(r.Region)]; s != nil {
			targets = append(targets, s)
		}
	}
	return targets
}

// regionSpeaker returns the data centre whose first relay speaks for a region:
// the lowest rendezvous hash among those heard of lately, or among all when
// none was.
func (m *Machine) regionSpeaker(region fleet.RegionID) fleet.DataCentreID {
	var best, bestStale fleet.DataCentreID
	var rank, rankStale uint64
	consider := func(dc fleet.DataCentreID, fresh bool) {
		h := xxhash.Sum64String("speaker\x00" + string(region) + "\x00" + string(dc))
		if fresh && (best == "" || h < rank) {
			best, rank = dc, h
		}
		if bestStale == "" || h < rankStale {
			bestStale, rankStale = dc, h
		}
	}
	if region == m.self.Region {
		consider(m.self.DomainID(), true)
	}
	for _, dc := range m.remoteOrder {
		if r := m.remotes[dc]; r.Region == region {
			consider(dc, m.now.Sub(r.heardAt) < RelayStale)
		}
	}
	if best == "" {
		return bestStale
	}
	return best
}

// ownSummary returns the next summary of the own data centre. Its version
// continues the highest one heard, also from another relay.
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
	if own := m.remotes[m.self.DomainID()]; own != nil {
		s.Version = own.Version
	}
	return s
}

// nextOwnSummary returns the summary for a round: a new version when the members
// changed or the last version is old, whichever relay made it.
func (m *Machine) nextOwnSummary() Summary {
	own := m.ownSummary()
	if last := m.remotes[m.self.DomainID()]; last != nil && m.now.Sub(last.heardAt) < SummaryRefresh {
		sameRelays := slices.Equal(last.Relays, own.Relays)
		if sameRelays && last.Live == own.Live && last.Leaving == own.Leaving {
			return m.aged(last)
		}
	}
	own.Version++
	m.mergeSummary(own)
	return own
}

// sample returns some live members that are no relays, others at each call.
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

// regionSummaries returns up to n summaries of other data centres of the region, in turn.
func (m *Machine) regionSummaries(n int) []Summary {
	return m.summariesOf(n, func(r *remote) bool {
		return r.Region == m.self.Region && r.DataCentre != m.self.DomainID()
	})
}

// otherSummaries returns up to n summaries of any other data centres, in turn,
// but for that of the receiver.
func (m *Machine) otherSummaries(n int, receiver fleet.DataCentreID) []Summary {
	return m.summariesOf(n, func(r *remote) bool {
		return r.DataCentre != m.self.DomainID() && r.DataCentre != receiver
	})
}

// summariesOf returns up to n of the wanted summaries, from where the last call ended.
func (m *Machine) summariesOf(n int, wanted func(*remote) bool) []Summary {
	var list []Summary
	for range m.remoteOrder {
		if len(list) == n {
			break
		}
		m.passOnIndex = (m.passOnIndex + 1) % len(m.remoteOrder)
		if r := m.remotes[m.remoteOrder[m.passOnIndex]]; wanted(r) {
			list = append(list, m.aged(r))
		}
	}
	return list
}

// nextSummaries returns up to n summaries: those with news first, then others,
// both in turn, so that no data centre's news waits for that of another.
func (m *Machine) nextSummaries(n int) []Summary {
	n = min(n, len(m.remoteOrder))
	list := make([]Summary, 0, n)
	pick := func(wanted func(*remote) bool) {
		for range m.remoteOrder {
			if len(list) >= n {
				return
			}
			m.summaryIndex = (m.summaryIndex + 1) % len(m.remoteOrder)
			if r := m.remotes[m.remoteOrder[m.summaryIndex]]; wanted(r) {
				list = append(list, m.aged(r))
			}
		}
	}
	pick(func(r *remote) bool {
		fresh := r.news > 0
		r.news = max(r.news-1, 0)
		return fresh
	})
	pick(func(r *remote) bool {
		return !slices.ContainsFunc(list, func(s Summary) bool { return s.DataCentre == r.DataCentre })
	})
	return list
}

// aged returns a remote's summary with its present age.
func (m *Machine) aged(r *remote) Summary {
	s := r.Summary
	s.AgeMS = uint32(min(m.now.Sub(r.heardAt).Milliseconds(), math.MaxUint32))
	return s
}

// someSummaries returns the summaries for a Ping or Ack.
func (m *Machine) someSummaries() []Summary { return m.nextSummaries(MaxSummaries) }

// allSummaries returns one summary of each data centre, the own one included.
func (m *Machine) allSummaries() []Summary {
	list := []Summary{m.ownSummary()}
	for _, dc := range m.remoteOrder {
		if dc != m.self.DomainID() {
			list = append(list, m.aged(m.remotes[dc]))
		}
	}
	return list
}

// receiveSummaries takes in a relay's summaries. A sender whose data centre was
// last heard of with another first relay may belong to a group apart from the
// rest of that data centre: the summary heard before tells it of the rest.
func (m *Machine) receiveSummaries(x *Summaries) {
	if len(x.Summaries) == 0 {
		return
	}
	s := x.Summaries[0]
	if r := m.remotes[s.DataCentre]; r != nil && !x.Answer && r.otherRelay(s) {
		m.send(x.From.PeerAddress, &Summaries{From: m.self.contact(), Answer: true, Summaries: []Summary{m.aged(r)}})
	}
	m.mergeSummaries(x.Summaries)
}

// otherRelay reports whether the summary names another first relay.
func (r *remote) otherRelay(s Summary) bool {
	return len(r.Relays) > 0 && len(s.Relays) > 0 && r.Relays[0].ID != s.Relays[0].ID
}

func (m *Machine) mergeSummaries(list []Summary) {
	for _, s := range list {
		m.mergeSummary(s)
	}
}

// mergeSummary keeps a summary that is newer than the one known.
func (m *Machine) mergeSummary(s Summary) {
	if s.DataCentre == "" {
		return
	}
	if s.DataCentre == m.self.DomainID() {
		m.useOwnContacts(s)
	}
	r := m.remotes[s.DataCentre]
	if r == nil {
		r = &remote{}
		m.remotes[s.DataCentre] = r
		m.remoteOrder = append(m.remoteOrder, s.DataCentre)
		slices.Sort(m.remoteOrder)
	} else if s.Version <= r.Version {
		return
	}
	r.Summary = s
	r.heardAt = m.now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
	r.news = summaryNews
}

// useOwnContacts pings contacts of the own data centre that are not known, so
// that groups of members that do not know of each other merge.
func (m *Machine) useOwnContacts(s Summary) {
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

// introduce keeps a VM of a data centre that is not known otherwise as its contact.
func (m *Machine) introduce(x Member) {
	if m.remotes[x.DomainID()] != nil {
		return
	}
	m.mergeSummary(Summary{
		DataCentre: x.DomainID(), Region: x.Region, Live: 1, Offset: x.Offset,
		Relays: []Contact{x.contact()},
	})
}

// contactSeed pings a seed: often while no member is known, and now and then
// later, so that parts of the fleet that lost each other meet again.
func (m *Machine) contactSeed() {
	interval := SeedInterval
	if m.now.Sub(m.began) > startTime {
		interval = max(SeedInterval, SeedIntervalPerVM*time.Duration(m.fleetCount()))
	}
	if own := m.remotes[m.self.DomainID()]; len(m.members) == 0 || own != nil && own.Live > 2*m.liveCount() {
		interval = JoinInterval // alone, or in a small group apart from the data centre's others
	}
	m.nextSeed = m.now.Add(interval/2 + m.jitter(interval))
	m.pingLost()
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
		Summaries: m.someSummaries(),
	})
}

// fleetCount counts the live VMs of the whole fleet as far as they are known.
func (m *Machine) fleetCount() uint32 {
	n := m.liveCount()
	for dc, r := range m.remotes {
		if dc != m.self.DomainID() {
			n += r.Live
		}
	}
	return n
}

// pingLost pings a random member that is believed dead, so that the parts of a
// data centre that took each other for dead meet again.
func (m *Machine) pingLost() {
	var lost []*member
	for _, id := range m.order {
		if x := m.members[id]; x.Status == Dead {
			lost = append(lost, x)
		}
	}
	if len(lost) == 0 {
		return
	}
	x := lost[m.rand.IntN(len(lost))]
	m.sequence++
	m.send(x.PeerAddress, m.ping(x))
}
