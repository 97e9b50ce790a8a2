package membership

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// joinStates returns the least upper bound of two states of a member. The higher
// incarnation wins. Within one incarnation the result has the higher status and,
// independently of it, the fields of the higher version. The operation is commutative,
// associative and idempotent, so updates may arrive in any order and more than once.
func joinStates(a, b Member) Member {
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

// merge applies an update about a member of the own domain.
func (m *Machine) merge(update Member) {
	if update.DomainID() != m.self.DomainID() || update.ID == "" {
		return
	}
	if update.ID == m.self.ID {
		m.refute(update)
		return
	}
	x, known := m.members[update.ID]
	if !known {
		m.add(update)
		return
	}
	previous := x.Member
	x.Member = joinStates(previous, update)
	m.handleChange(x, previous)
}

// refute raises the own incarnation above the incarnation in an update, if the update
// reports this VM as suspect, dead or left, or has a higher incarnation from an earlier
// start of this VM.
func (m *Machine) refute(update Member) {
	if m.self.Status == Left {
		return
	}
	newerIncarnation := update.Incarnation > m.self.Incarnation
	reportedNotAlive := update.Incarnation == m.self.Incarnation && update.Status != Alive
	if !newerIncarnation && !reportedNotAlive {
		return
	}
	m.self.Incarnation = update.Incarnation + 1
	m.announceTicksLeft = max(m.announceTicksLeft, 1)
}

// add starts tracking a member.
func (m *Machine) add(update Member) {
	x := &member{Member: update, rank: relayRank(update.DomainID(), update.ID)}
	m.members[update.ID] = x
	m.order = append(m.order, update.ID)
	// A random position in the probe order keeps all VMs from probing a new member at once.
	i, j := m.rand.IntN(len(m.order)), len(m.order)-1
	m.order[i], m.order[j] = m.order[j], m.order[i]
	m.handleChange(x, Member{Status: Dead})
}

// handleChange sets the timers of a new status, schedules the change for gossip and
// reports it to the host.
func (m *Machine) handleChange(x *member, previous Member) {
	changedStatus := x.Status != previous.Status || x.Incarnation != previous.Incarnation
	if changedStatus {
		switch x.Status {
		case Suspect:
			x.suspectUntil = m.now.Add(m.suspicionTimeout())
		case Dead, Left:
			x.deadSince = m.now
		}
	}
	if changedStatus || x.Leaving != previous.Leaving {
		x.transmitsLeft = m.transmitLimit()
	}
	wasLive, live := previous.Status < Dead, x.Status < Dead
	switch {
	case wasLive != live || live && x.Leaving != previous.Leaving:
		m.actions = append(m.actions, Changed{Member: x.Member, Live: live})
	case live && (x.Status != previous.Status || x.Address != previous.Address || x.PeerAddress != previous.PeerAddress):
		m.actions = append(m.actions, Updated{Member: x.Member})
	}
}

// gossipMembers returns the members for a message: the receiver itself if it is not
// alive in this VM's view, so that it can refute; then the updates that were
// transmitted least often; then other members in rotation.
func (m *Machine) gossipMembers(receiver *member) []Member {
	list := make([]Member, 0, MaxMembers)
	var receiverID fleet.VMID
	if receiver != nil {
		receiverID = receiver.ID
		if receiver.Status != Alive {
			list = append(list, receiver.Member)
		}
	}
	for _, x := range m.leastTransmitted(MaxMembers-len(list), receiverID) {
		x.transmitsLeft--
		list = append(list, x.Member)
	}
	return m.fillMembers(list, receiverID)
}

// leastTransmitted returns up to n members with transmissions left, those with the
// most left first.
func (m *Machine) leastTransmitted(n int, except fleet.VMID) []*member {
	var pending []*member
	for _, id := range m.order {
		if x := m.members[id]; x.transmitsLeft > 0 && id != except {
			pending = append(pending, x)
		}
	}
	slices.SortStableFunc(pending, func(a, b *member) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	return pending[:min(n, len(pending))]
}

// fillMembers appends live members in rotation until the list has MaxMembers.
func (m *Machine) fillMembers(list []Member, except fleet.VMID) []Member {
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
