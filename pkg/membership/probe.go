package membership

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// startProbe pings the next member in a shuffled round, so that each member is
// probed by this VM once a round.
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

// nextTarget returns the next live member of the round, or nil when there is none.
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

// ping returns a Ping whose news begins with what is believed of its target,
// so that a suspected member learns of it and can refute it.
func (m *Machine) ping(target *member) *Ping {
	p := &Ping{Sequence: m.sequence, From: m.self}
	p.Members = m.news(target)
	p.Summaries = m.someSummaries()
	return p
}

// checkProbe follows a late direct probe by indirect ones, and raises suspicion
// when these are late too.
func (m *Machine) checkProbe() {
	p := m.probe
	if p == nil {
		return
	}
	waited := m.now.Sub(p.sentAt)
	if waited >= AckTimeout+IndirectTimeout {
		m.suspectTarget()
		return
	}
	if waited >= AckTimeout && !p.indirect {
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

// randomMembers returns up to n distinct live members other than one.
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

// suspectTarget ends the probe in flight with a suspicion.
func (m *Machine) suspectTarget() {
	x := m.members[m.probe.target]
	m.probe = nil
	if x == nil || x.Status != Alive {
		return
	}
	suspicion := x.Member
	suspicion.Status = Suspect
	m.merge(suspicion)
	m.send(x.PeerAddress, m.ping(x)) // the target's fastest way to learn of it
}

// checkSuspicions turns old suspicions into verdicts and forgets old dead members.
func (m *Machine) checkSuspicions() {
	if m.now.Before(m.nextCheck) {
		return
	}
	m.nextCheck = m.now.Add(checkInterval)
	for i := 0; i < len(m.order); i++ {
		x := m.members[m.order[i]]
		if x.Status == Suspect && !m.now.Before(x.suspectUntil) {
			verdict := x.Member
			verdict.Status = Dead
			m.merge(verdict)
		}
		if x.Status >= Dead && m.now.Sub(x.deadSince) >= TombstoneTime {
			delete(m.members, x.ID)
			m.order = slices.Delete(m.order, i, i+1)
			i--
		}
	}
}

func (m *Machine) receivePing(p *Ping) {
	if p.From.DataCentre != m.self.DataCentre {
		m.receiveForeignPing(p)
		return
	}
	m.merge(p.From)
	m.mergeAll(p.Members)
	m.mergeSummaries(p.Summaries)
	if p.From.Status == Left {
		return
	}
	a := &Ack{Sequence: p.Sequence, From: m.self}
	a.Members = m.news(m.members[p.From.ID])
	a.Summaries = m.someSummaries()
	if p.Join && m.takeJoinToken() {
		a.Members = m.joinList(p.From.ID)
		a.Summaries = m.allSummaries()
	}
	m.send(p.From.PeerAddress, a)
}

// receiveForeignPing answers a VM of another data centre that uses this one as
// its seed: it learns how to reach its own data centre and all others.
func (m *Machine) receiveForeignPing(p *Ping) {
	m.mergeSummaries(p.Summaries)
	if p.From.Status == Alive && !p.From.Leaving {
		m.introduce(p.From)
	}
	a := &Ack{Sequence: p.Sequence, From: m.self}
	a.Summaries = m.someSummaries()
	if p.Join && m.takeJoinToken() {
		a.Summaries = m.allSummaries()
	} else if r := m.remotes[p.From.DataCentre]; r != nil {
		a.Summaries = []Summary{r.Summary, m.ownSummary()}
	}
	m.send(p.From.PeerAddress, a)
}

// takeJoinToken limits the long answers to joins, so that a flood of joins
// costs a seed a bounded number of bytes a second.
func (m *Machine) takeJoinToken() bool {
	m.joinTokens = min(joinAnswers, m.joinTokens+m.now.Sub(m.joinRefill).Seconds()*joinAnswers)
	m.joinRefill = m.now
	if m.joinTokens < 1 {
		return false
	}
	m.joinTokens--
	return true
}

// joinList returns random live members for a joining one.
func (m *Machine) joinList(joiner fleet.VMID) []Member {
	chosen := m.randomMembers(MaxJoinMembers-1, joiner)
	list := make([]Member, 0, MaxJoinMembers)
	if x := m.members[joiner]; x != nil {
		list = append(list, x.Member)
	}
	for _, x := range chosen {
		list = append(list, x.Member)
	}
	return list
}

func (m *Machine) receiveAck(a *Ack) {
	if a.From.DataCentre != m.self.DataCentre {
		m.mergeSummaries(a.Summaries)
		return
	}
	if r, ok := m.relayed[a.Sequence]; ok {
		delete(m.relayed, a.Sequence)
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
}

func (m *Machine) receivePingReq(r *PingReq) {
	m.merge(r.From)
	for sequence, old := range m.relayed {
		if !m.now.Before(old.until) {
			delete(m.relayed, sequence)
		}
	}
	m.sequence++
	m.relayed[m.sequence] = relayedProbe{
		requester: r.From.PeerAddress, sequence: r.Sequence,
		until: m.now.Add(2 * time.Second),
	}
	m.send(r.Target.PeerAddress, &Ping{Sequence: m.sequence, From: m.self})
}

// announce tells members directly of this VM's leaving, and the next ones at the next call.
func (m *Machine) announce() {
	for range min(announceFan, len(m.order)) {
		x := m.nextTarget()
		if x == nil {
			return
		}
		m.sequence++
		m.send(x.PeerAddress, &Ping{Sequence: m.sequence, From: m.self})
	}
}
