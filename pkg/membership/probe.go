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
	p := &Ping{Sequence: m.sequence, From: m.self, Live: m.liveCount()}
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
	if p.Join && m.long.take(m.now) {
		a.Page = true
		a.Members = m.page(p.After)
		if p.After == "" {
			a.Summaries = m.allSummaries()
		}
	} else {
		if p.Join && !m.short.take(m.now) {
			return
		}
		a.Members = m.news(m.members[p.From.ID])
		a.Summaries = m.someSummaries()
	}
	m.send(p.From.PeerAddress, a)
	if !p.Join {
		m.pull(p.From, p.Live)
	}
}

// liveCount counts the live members, this VM included.
func (m *Machine) liveCount() uint32 {
	n := uint32(1)
	for _, x := range m.members {
		if x.Status < Dead {
			n++
		}
	}
	return n
}

// pull asks a member that knows more members than this VM for the next page of
// them: at once when it started lately or lacks many, after pullPatience when it
// lacks few, because these are mostly news on their way.
func (m *Machine) pull(from Member, live uint32) {
	own := m.liveCount()
	if live == own {
		m.lackingSince = time.Time{}
	}
	if live <= own || m.now.Before(m.nextPull) {
		return
	}
	if live-own <= own/pullFraction && m.now.Sub(m.began) > startTime {
		if m.lackingSince.IsZero() {
			m.lackingSince = m.now
		}
		if m.now.Sub(m.lackingSince) < pullPatience {
			return
		}
	}
	m.nextPull = m.now.Add(PullInterval)
	m.sequence++
	m.send(from.PeerAddress, &Ping{
		Sequence: m.sequence, From: m.self, Join: true, After: m.pullAfter, Live: m.liveCount(),
	})
}

// receiveForeignPing answers a VM of another data centre that uses this one as
// its seed: it learns how to reach its own data centre and all others.
func (m *Machine) receiveForeignPing(p *Ping) {
	m.mergeSummaries(p.Summaries)
	if p.From.Status == Alive && !p.From.Leaving {
		m.introduce(p.From)
	}
	a := &Ack{Sequence: p.Sequence, From: m.self}
	r := m.remotes[p.From.DomainID()]
	switch {
	case p.Join && m.long.take(m.now):
		a.Summaries = m.allSummaries()
	case !m.short.take(m.now):
		return
	case r != nil:
		a.Summaries = []Summary{m.aged(r), m.ownSummary()}
	default:
		a.Summaries = m.someSummaries()
	}
	m.send(p.From.PeerAddress, a)
}

// bucket is a token bucket that limits answers. A quarter of a second's answers may go out at once.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

// take reports whether one more answer may go out.
func (b *bucket) take(now time.Time) bool {
	b.tokens = min(max(1, b.rate/4), b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// page returns the live members whose identity follows one, in order.
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
