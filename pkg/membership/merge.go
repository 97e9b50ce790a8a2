package membership

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// join returns the least state that is at least as new as both. The higher
// incarnation wins; within one, the higher status and, apart from it, the
// fields of the higher version. The order of news therefore does not matter.
func join(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if b.Incarnation > a.Incarnation {
			return b
		}
		return a
	}
	result := a
	if b.Version > a.Version {
		result = b
	}
	result.Status = max(a.Status, b.Status)
	return result
}

func (m *Machine) mergeAll(list []Member) {
	for _, x := range list {
		m.merge(x)
	}
}

// merge takes in news of a member of the data centre.
func (m *Machine) merge(news Member) {
	if news.DomainID() != m.self.DomainID() || news.ID == "" {
		return
	}
	if news.ID == m.self.ID {
		m.refute(news)
		return
	}
	x, known := m.members[news.ID]
	if !known {
		m.add(news)
		return
	}
	before := x.Member
	x.Member = join(before, news)
	m.noteChange(x, before)
}

// refute raises the own incarnation over news that call this VM dead or
// suspect, or that stem from an earlier start.
func (m *Machine) refute(news Member) {
	if m.self.Status == Left {
		return
	}
	stale := news.Incarnation > m.self.Incarnation
	doubted := news.Incarnation == m.self.Incarnation && news.Status != Alive
	if !stale && !doubted {
		return
	}
	m.self.Incarnation = news.Incarnation + 1
	m.announcing = max(m.announcing, 1)
}

// add starts to keep a member.
func (m *Machine) add(news Member) {
	x := &member{Member: news, rank: relayRank(news.DomainID(), news.ID)}
	m.members[news.ID] = x
	m.order = append(m.order, news.ID)
	// A random place in the round keeps all VMs from probing a new one at once.
	i, j := m.rand.IntN(len(m.order)), len(m.order)-1
	m.order[i], m.order[j] = m.order[j], m.order[i]
	m.noteChange(x, Member{Status: Dead})
}

// noteChange sets the timers of a new status, passes the news on and reports it.
func (m *Machine) noteChange(x *member, before Member) {
	changedStatus := x.Status != before.Status || x.Incarnation != before.Incarnation
	if changedStatus {
		switch x.Status {
		case Suspect:
			x.suspectUntil = m.now.Add(m.suspicionTime())
		case Dead, Left:
			x.deadSince = m.now
		}
	}
	if changedStatus || x.Leaving != before.Leaving {
		x.news = m.newsCount()
	}
	wasLive, live := before.Status < Dead, x.Status < Dead
	if wasLive != live || live && x.Leaving != before.Leaving {
		m.actions = append(m.actions, Changed{Member: x.Member, Live: live})
	}
}

// news returns the members for a message: what is believed of the receiver if
// it is doubted, the news passed on least often, and other members in turn.
func (m *Machine) news(receiver *member) []Member {
	list := make([]Member, 0, MaxMembers)
	var receiverID fleet.VMID
	if receiver != nil {
		receiverID = receiver.ID
		if receiver.Status != Alive {
			list = append(list, receiver.Member)
		}
	}
	for _, x := range m.freshest(MaxMembers-len(list), receiverID) {
		x.news--
		list = append(list, x.Member)
	}
	return m.fill(list, receiverID)
}

// freshest returns up to n members with news to pass on.
func (m *Machine) freshest(n int, except fleet.VMID) []*member {
	var fresh []*member
	for _, id := range m.order {
		if x := m.members[id]; x.news > 0 && id != except {
			fresh = append(fresh, x)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *member) int { return cmp.Compare(b.news, a.news) })
	return fresh[:min(n, len(fresh))]
}

// fill adds live members in turn up to MaxMembers.
func (m *Machine) fill(list []Member, except fleet.VMID) []Member {
	for range min(len(m.order), 2*MaxMembers) {
		if len(list) >= MaxMembers {
			break
		}
		m.fillIndex = (m.fillIndex + 1) % len(m.order)
		x := m.members[m.order[m.fillIndex]]
		listed := slices.ContainsFunc(list, func(y Member) bool { return y.ID == x.ID })
		if x.Status < Dead && x.ID != except && !listed {
			list = append(list, x.Member)
		}
	}
	return list
}
