package spread

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// MaxNoticeBytes is the maximum size of a notice's payload.
	MaxNoticeBytes = 256
	// MaxNotices bounds the number of stored notices. When it is reached, a new notice
	// replaces the one that expires first.
	MaxNotices = 1024
	// noticeRate is the number of notices per second that a VM may publish. The limit keeps a
	// flood of local events from becoming a flood of messages.
	noticeRate = 5.0
	// noticeBurst is the number of notices that a VM may publish at once.
	noticeBurst = 20
	// noticeSettleTime is the age from which a notice is part of the digest. Younger notices
	// may not have reached all VMs yet. Notices that expire within this time are left out too.
	noticeSettleTime = 3 * time.Second
	// maxRepairNotices is the number of notices sent at once to a peer whose digest differs.
	maxRepairNotices = 6
)

// noticeKey identifies a notice.
type noticeKey struct {
	origin   fleet.VMID
	sequence uint64
}

// keptNotice is a stored notice with the local times of its arrival and expiry.
type keptNotice struct {
	Notice
	receivedAt, expiresAt time.Time
	hash                  uint64
}

// Publish sends a notice to all VMs. It returns false if the VM's rate limit is exhausted, in
// which case the host can retry later, or if the payload is too large.
func (m *Machine) Publish(now time.Time, topic Topic, data []byte, lifetime time.Duration) ([]Action, bool) {
	m.now = now
	m.noticeTokens = min(noticeBurst, m.noticeTokens+now.Sub(m.tokensRefilledAt).Seconds()*noticeRate)
	m.tokensRefilledAt = now
	if m.noticeTokens < 1 || len(data) > MaxNoticeBytes {
		return nil, false
	}
	m.noticeTokens--
	m.sequence++
	n := Notice{
		Origin: m.config.Self, Sequence: m.sequence, Topic: topic,
		LifetimeMS: uint32(lifetime.Milliseconds()), Data: data,
	}
	m.storeNotice(n)
	m.forwardNotices(m.config.Self, []Notice{n})
	for _, address := range m.remotes {
		m.send(address, &Notices{Sender: m.config.Address, Notices: []Notice{n}})
	}
	return m.takeActions(), true
}

// ActiveNotices returns the notices that have not expired, sorted by origin and sequence.
func (m *Machine) ActiveNotices() []Notice {
	list := make([]Notice, 0, len(m.notices))
	for _, n := range m.sortedNotices() {
		list = append(list, n.Notice)
	}
	return list
}

// storeNotice stores a notice and reports whether it is new and valid.
func (m *Machine) storeNotice(n Notice) bool {
	key := noticeKey{n.Origin, n.Sequence}
	if _, known := m.notices[key]; known || n.LifetimeMS == 0 || len(n.Data) > MaxNoticeBytes {
		return false
	}
	if len(m.notices) >= MaxNotices {
		m.evictEarliest()
	}
	m.notices[key] = &keptNotice{
		Notice: n, receivedAt: m.now, hash: key.hash(),
		expiresAt: m.now.Add(time.Duration(n.LifetimeMS) * time.Millisecond),
	}
	return true
}

func (k noticeKey) hash() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(k.origin), k.sequence)
	return xxhash.Sum64(b)
}

// evictEarliest removes the notice that expires first.
func (m *Machine) evictEarliest() {
	all := m.sortedNotices()
	first := slices.MinFunc(all, func(a, b *keptNotice) int { return a.expiresAt.Compare(b.expiresAt) })
	delete(m.notices, noticeKey{first.Origin, first.Sequence})
}

func (m *Machine) expireNotices() {
	for key, n := range m.notices {
		if !m.now.Before(n.expiresAt) {
			delete(m.notices, key)
		}
	}
}

func (m *Machine) receiveNotices(x *Notices) {
	var newNotices []Notice
	for _, n := range x.Notices {
		if m.storeNotice(n) {
			newNotices = append(newNotices, n)
			m.actions = append(m.actions, Notify{Notice: n})
		}
	}
	if len(newNotices) == 0 {
		return
	}
	root := x.Root
	if root == "" {
		root = m.config.Self
	}
	m.forwardNotices(root, newNotices)
}

// forwardNotices sends notices to this VM's children in the tree with the given root.
func (m *Machine) forwardNotices(root fleet.VMID, notices []Notice) {
	order := m.noticeOrder(root)
	own := slices.IndexFunc(order, func(p Peer) bool { return p.ID == m.config.Self })
	message := &Notices{Sender: m.config.Address, Root: root, Notices: notices}
	for i := FanOut*own + 1; i <= FanOut*own+FanOut && i < len(order); i++ {
		m.send(order[i].Address, message)
	}
}

// noticeOrder returns the VMs of the data centre in the order of the tree with the given root.
func (m *Machine) noticeOrder(root fleet.VMID) []Peer {
	rank := make(map[fleet.VMID]uint64, len(m.peers))
	for _, p := range m.peers {
		rank[p.ID] = xxhash.Sum64String("notice\x00" + string(root) + "\x00" + string(p.ID))
	}
	rank[root] = 0
	order := slices.Clone(m.peers)
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// sortedNotices returns the stored notices sorted by origin and sequence.
func (m *Machine) sortedNotices() []*keptNotice {
	all := make([]*keptNotice, 0, len(m.notices))
	for _, n := range m.notices {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *keptNotice) int {
		return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Sequence, b.Sequence))
	})
	return all
}

// digest returns the XOR of the hashes of the settled notices.
func (m *Machine) digest() uint64 {
	var d uint64
	for _, n := range m.notices {
		if m.isSettled(n) {
			d ^= n.hash
		}
	}
	return d
}

// isSettled reports whether a notice has probably reached all VMs and does not expire soon,
// so that all VMs should have it.
func (m *Machine) isSettled(n *keptNotice) bool {
	return m.now.Sub(n.receivedAt) >= noticeSettleTime && n.expiresAt.Sub(m.now) >= noticeSettleTime
}

// sendStatus sends a Status to a random peer. The first reader sends every second one to
// another data centre instead.
func (m *Machine) sendStatus() {
	if m.now.Before(m.nextStatus) {
		return
	}
	m.nextStatus = m.now.Add(StatusInterval)
	m.statusCount++
	if m.position == 0 && len(m.remotes) > 0 && m.statusCount%2 == 0 {
		m.send(m.remotes[m.rand.IntN(len(m.remotes))], m.status(false))
		return
	}
	if len(m.peers) < 2 {
		return
	}
	i := m.rand.IntN(len(m.peers) - 1)
	if i >= m.position {
		i++
	}
	m.send(m.peers[i].Address, m.status(false))
}

func (m *Machine) status(answer bool) *Status {
	return &Status{
		Sender: m.config.Address, Applied: m.applied, Highest: m.highest,
		Digest: m.digest(), Answer: answer,
	}
}

// receiveStatus records the offsets of a peer. It answers if the peer doesn't know the highest
// offset or if the digests differ, and sends some notices if the digests differ.
func (m *Machine) receiveStatus(s *Status) {
	m.recordOffset(s.Highest)
	m.recordOffset(s.Applied)
	if m.position == 1 && s.Sender == m.peers[0].Address {
		m.firstReaderOffset = max(m.firstReaderOffset, s.Applied)
	}
	if !s.Answer && (s.Highest < m.highest || s.Digest != m.digest()) {
		m.send(s.Sender, m.status(true))
	}
	if s.Digest != m.digest() {
		m.sendNextNotices(s.Sender)
	}
}

// sendNextNotices sends the next few settled notices, in rotation over all of them.
func (m *Machine) sendNextNotices(to string) {
	all := slices.DeleteFunc(m.sortedNotices(), func(n *keptNotice) bool { return !m.isSettled(n) })
	message := &Notices{Sender: m.config.Address, Root: m.config.Self}
	for range min(maxRepairNotices, len(all)) {
		m.noticeCursor = (m.noticeCursor + 1) % len(all)
		n := all[m.noticeCursor]
		copied := n.Notice
		copied.LifetimeMS = uint32(n.expiresAt.Sub(m.now).Milliseconds())
		message.Notices = append(message.Notices, copied)
	}
	if len(message.Notices) > 0 {
		m.send(to, message)
	}
}
