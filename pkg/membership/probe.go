package membership

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// startProbe pings the next member of a shuffled round. This VM probes each member
// once per round.
func (m *Machine) startProbe() {
	if m.probe != nil {
		m.suspectTarget()
	}
	target := m.nextTarget()
	if target == nil {
		return
	}
	m.sequence++
	m.probe = &probe{target: target.ID, sequence: m.sequence, sentAt: m.now}
	m.send(target.PeerAddress, m.ping(target))
}

// nextTarget returns the next live member of the round, or nil if there is none.
func (m *Machine) nextTarget() *member {
	for range len(m.order) {
		if m.probeIndex >= len(m.order) {
			m.probeIndex = 0
			m.rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		x := m.members[m.order[m.probeIndex]]
		m.probeIndex++
		if x.Status < Dead {
			return x
		}
	}
	return nil
}

// ping returns a Ping for target. Its Members start with the target itself if the target
// is not alive in this VM's view, so that it can refute that.
func (m *Machine) ping(target *member) *Ping {
	p := &Ping{Sequence: m.sequence, From: m.self, Live: m.liveCount()}
	p.Members = m.gossipMembers(target)
	p.Summaries = m.gossipSummaries()
	return p
}

// checkProbe sends indirect probes after AckTimeout, and suspects the target once
// IndirectTimeout has passed as well.
func (m *Machine) checkProbe() {
	p := m.probe
	if p == nil {
		return
	}
	elapsed := m.now.Sub(p.sentAt)
	if elapsed >= AckTimeout+IndirectTimeout {
		m.suspectTarget()
		return
	}
	if elapsed >= AckTimeout && !p.indirect {
		p.indirect = true
		m.probeIndirectly(p)
	}
}

// probeIndirectly asks random members to probe the target.
func (m *Machine) probeIndirectly(p *probe) {
	target := m.members[p.target]
	if target == nil {
		return
	}
	for _, x := range m.randomMembers(IndirectProbes, p.target) {
		m.send(x.PeerAddress, &PingReq{Sequence: p.sequence, From: m.self, Target: target.contact()})
	}
}

// randomMembers returns up to n distinct members with status Alive, other than except.
func (m *Machine) randomMembers(n int, except fleet.VMID) []*member {
	var chosen []*member
	if len(m.order) == 0 {
		return nil
	}
	start := m.rand.IntN(len(m.order))
	for i := range m.order {
		x := m.members[m.order[(start+i)%len(m.order)]]
		if x.Status == Alive && x.ID != except {
			chosen = append(chosen, x)
		}
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// suspectTarget ends the probe in flight and marks its target as suspect.
func (m *Machine) suspectTarget() {
	x := m.members[m.probe.target]
	m.probe = nil
	if x == nil || x.Status != Alive {
		return
	}
	suspicion := x.Member
	suspicion.Status = Suspect
	m.merge(suspicion)
	m.send(x.PeerAddress, m.ping(x)) // the fastest way to notify the target
}

// checkSuspicions declares members dead whose suspicion timed out, and removes members
// that have been dead for TombstoneTime.
func (m *Machine) checkSuspicions() {
	if m.now.Before(m.nextCheck) {
		return
	}
	m.nextCheck = m.now.Add(checkInterval)
	for i := 0; i < len(m.order); i++ {
		x := m.members[m.order[i]]
		if x.Status == Suspect && !m.now.Before(x.suspectUntil) {
			dead := x.Member
			dead.Status = Dead
			m.merge(dead)
		}
		if x.Status >= Dead && m.now.Sub(x.deadSince) >= TombstoneTime {
			delete(m.members, x.ID)
			m.order = slices.Delete(m.order, i, i+1)
			i--
		}
	}
}

func (m *Machine) receivePing(p *Ping) {
	if p.From.DomainID() != m.self.DomainID() {
		m.receiveForeignPing(p)
		return
	}
	m.merge(p.From)
	m.mergeAll(p.Members)
	m.mergeSummaries(p.Summaries)
	if p.From.Status == Left {
		return
	}
	a := &Ack{Sequence: p.Sequence, From: m.self, Live: m.liveCount()}
	switch {
	case p.Join && m.pageLimiter.allow(m.now):
		a.Page = true
		a.Members = m.page(p.After)
		if p.After == "" {
			a.Summaries = m.allSummaries()
		}
	case p.Join && !m.shortLimiter.allow(m.now):
		if !m.bareLimiter.allow(m.now) {
			return
		}
	default:
		a.Members = m.gossipMembers(m.members[p.From.ID])
		a.Summaries = m.gossipSummaries()
	}
	m.send(p.From.PeerAddress, a)
	if !p.Join {
		m.pull(p.From, p.Live)
	}
}

// liveCount returns the number of live members, including this VM.
func (m *Machine) liveCount() uint32 {
	n := uint32(1)
	for _, x := range m.members {
		if x.Status < Dead {
			n++
		}
	}
	return n
}

// pull requests the next page of members from a member that knows more of them than this
// VM. It does so at once if this VM started recently or the gap is large. A small gap is
// pulled only after pullGapDelay, because gossip is usually about to close it.
func (m *Machine) pull(from Member, live uint32) {
	own := m.liveCount()
	if live == own {
		m.gapSince = time.Time{}
	}
	if live <= own || m.now.Before(m.nextPull) {
		return
	}
	if live-own <= own/pullGapDivisor && m.now.Sub(m.startedAt) > startTime {
		if m.gapSince.IsZero() {
			m.gapSince = m.now
		}
		if m.now.Sub(m.gapSince) < pullGapDelay {
			return
		}
	}
	m.nextPull = m.now.Add(PullInterval)
	m.sequence++
	m.send(from.PeerAddress, &Ping{
		Sequence: m.sequence, From: m.self, Join: true, After: m.pullAfter, Live: m.liveCount(),
	})
}

// receiveForeignPing answers a VM of another data centre that uses this VM as a seed.
// The answer tells it how to reach its own data centre and the others.
func (m *Machine) receiveForeignPing(p *Ping) {
	m.mergeSummaries(p.Summaries)
	if p.From.Status == Alive && !p.From.Leaving {
		m.addFirstContact(p.From)
	}
	a := &Ack{Sequence: p.Sequence, From: m.self}
	r := m.dataCentres[p.From.DomainID()]
	switch {
	case p.Join && m.pageLimiter.allow(m.now):
		a.Summaries = m.allSummaries()
	case !m.shortLimiter.allow(m.now):
		return
	case r != nil:
		a.Summaries = []Summary{m.agedSummary(r), m.ownSummary()}
	default:
		a.Summaries = m.gossipSummaries()
	}
	m.send(p.From.PeerAddress, a)
}

// tokenBucket limits the rate of answers. Its burst is a quarter of the answers per
// second, but at least one.
type tokenBucket struct {
	rate, tokens float64
	at           time.Time
}

// allow reports whether one more answer may be sent, and counts it.
func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(max(1, b.rate/4), b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// page returns the first MaxJoinMembers live members whose IDs sort after the given one.
func (m *Machine) page(after fleet.VMID) []Member {
	var following []fleet.VMID
	for _, id := range m.order {
		if id > after && m.members[id].Status < Dead {
			following = append(following, id)
		}
	}
	slices.Sort(following)
	list := make([]Member, 0, MaxJoinMembers)
	for _, id := range following[:min(len(following), MaxJoinMembers)] {
		list = append(list, m.members[id].Member)
	}
	return list
}

func (m *Machine) receiveAck(a *Ack) {
	if a.From.DomainID() != m.self.DomainID() {
		m.mergeSummaries(a.Summaries)
		return
	}
	if r, ok := m.relayedProbes[a.Sequence]; ok {
		delete(m.relayedProbes, a.Sequence)
		if m.now.Before(r.until) {
			m.send(r.requester, &Ack{Sequence: r.sequence, From: a.From})
		}
	}
	if m.probe != nil && m.probe.sequence == a.Sequence && m.probe.target == a.From.ID {
		m.probe = nil
	}
	m.merge(a.From)
	m.mergeAll(a.Members)
	m.mergeSummaries(a.Summaries)
	if a.Page {
		m.pullAfter = ""
		if len(a.Members) == MaxJoinMembers {
			m.pullAfter = a.Members[MaxJoinMembers-1].ID
		}
	}
	m.pull(a.From, a.Live)
}

func (m *Machine) receivePingReq(r *PingReq) {
	m.merge(r.From)
	for sequence, old := range m.relayedProbes {
		if !m.now.Before(old.until) {
			delete(m.relayedProbes, sequence)
		}
	}
	m.sequence++
	m.relayedProbes[m.sequence] = relayedProbe{
		requester: r.From.PeerAddress, sequence: r.Sequence,
		until: m.now.Add(2 * time.Second),
	}
	m.send(r.Target.PeerAddress, &Ping{Sequence: m.sequence, From: m.self})
}

// announce sends this VM's state, such as its leaving, directly to the next
// announceFanout members of the probe round.
func (m *Machine) announce() {
	for range min(announceFanout, len(m.order)) {
		x := m.nextTarget()
		if x == nil {
			return
		}
		m.sequence++
		m.send(x.PeerAddress, &Ping{Sequence: m.sequence, From: m.self})
	}
}
