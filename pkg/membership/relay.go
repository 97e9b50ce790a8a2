package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// sendSummaries runs a relay's round: the own data centre's summary to the
// other data centres of the region, and as the region's relay to the other regions.
func (m *Machine) sendSummaries() {
	relays := m.Relays()
	position := slices.IndexFunc(relays, func(c Contact) bool { return c.ID == m.self.ID })
	if position < 0 {
		return
	}
	m.round++
	for _, r := range m.summaryTargets(position == 0) {
		contacts := append(slices.Clone(r.Relays), r.Sample...)
		if len(contacts) == 0 {
			continue
		}
		// Alternating contacts reach the data centre also while one of its relays is dead.
		to := contacts[(m.round+position)%len(contacts)]
		m.send(to.PeerAddress, &Summaries{From: m.self.contact(), Summaries: m.relayedSummaries(r.DataCentre)})
	}
}

// summaryTargets returns the data centres that this relay sends to.
func (m *Machine) summaryTargets(first bool) []*remote {
	var targets []*remote
	speaker := first && m.regionSpeaker(m.self.Region) == m.self.DataCentre
	regions := map[fleet.RegionID]bool{m.self.Region: true}
	for _, dc := range m.remoteOrder {
		r := m.remotes[dc]
		if r.Region == m.self.Region {
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
		consider(m.self.DataCentre, true)
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
	s := Summary{DataCentre: m.self.DataCentre, Region: m.self.Region, Live: 1, Offset: m.self.Offset}
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
	if own := m.remotes[m.self.DataCentre]; own != nil {
		s.Version = own.Version
	}
	return s
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

// relayedSummaries returns the own summary and others in turn, for a relay of
// the data centre given. What is believed of that data centre is among them at
// times, so that one that lost all its VMs learns its last version.
func (m *Machine) relayedSummaries(_ fleet.DataCentreID) []Summary {
	own := m.ownSummary()
	own.Version++
	m.mergeSummary(own)
	list := []Summary{own}
	for _, s := range m.nextSummaries(MaxRelayed - 1) {
		if s.DataCentre != own.DataCentre {
			list = append(list, s)
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
				list = append(list, r.Summary)
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

// someSummaries returns the summaries for a Ping or Ack.
func (m *Machine) someSummaries() []Summary { return m.nextSummaries(MaxSummaries) }

// allSummaries returns one summary of each data centre, the own one included.
func (m *Machine) allSummaries() []Summary {
	list := []Summary{m.ownSummary()}
	for _, dc := range m.remoteOrder {
		if dc != m.self.DataCentre {
			list = append(list, m.remotes[dc].Summary)
		}
	}
	return list
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
	if s.DataCentre == m.self.DataCentre {
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
	r.heardAt = m.now
	r.news = summaryNews
}

// useOwnContacts pings contacts of the own data centre that are not known, so
// that groups of members that do not know of each other merge.
func (m *Machine) useOwnContacts(s Summary) {
	if m.self.Status == Left {
		return
	}
	for _, c := range append(slices.Clone(s.Relays), s.Sample...) {
		if _, known := m.members[c.ID]; !known && c.ID != m.self.ID {
			m.sequence++
			m.send(c.PeerAddress, &Ping{Sequence: m.sequence, From: m.self, Join: true})
		}
	}
}

// introduce keeps a VM of a data centre that is not known otherwise as its contact.
func (m *Machine) introduce(x Member) {
	if m.remotes[x.DataCentre] != nil {
		return
	}
	m.mergeSummary(Summary{
		DataCentre: x.DataCentre, Region: x.Region, Live: 1, Offset: x.Offset,
		Relays: []Contact{x.contact()},
	})
}

// contactSeed pings a seed: often while no member is known, and now and then
// later, so that parts of the fleet that lost each other meet again.
func (m *Machine) contactSeed() {
	interval := SeedInterval
	if len(m.members) == 0 {
		interval = JoinInterval
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
