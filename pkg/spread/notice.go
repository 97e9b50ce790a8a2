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
	// MaxNotice is the largest payload of a notice in bytes.
	MaxNotice = 256
	// MaxNotices bounds the notices kept; the one that ends first makes room.
	MaxNotices = 1024
	// noticeRate and noticeBurst limit the notices of one VM, so that a flood of
	// local events does not become a flood of messages.
	noticeRate  = 5.0 // a second
	noticeBurst = 20
	// settleTime is the age after which a notice counts in the digest; younger
	// ones may still be on their way.
	settleTime = 3 * time.Second
	// repairNotices is the number of notices sent to a peer whose digest differs.
	repairNotices = 6
)

// noticeKey identifies a notice.
type noticeKey struct {
	origin   fleet.VMID
	sequence uint64
}

// keptNotice is a notice with the times of its arrival and end here.
type keptNotice struct {
	Notice
	since, until time.Time
	hash         uint64
}

// Publish sends a notice to all VMs. It returns false when the VM's rate of
// notices is used up or the payload is too large; the host tries again later.
func (m *Machine) Publish(now time.Time, topic Topic, data []byte, lifetime time.Duration) ([]Action, bool) {
	m.now = now
	m.tokens = min(noticeBurst, m.tokens+now.Sub(m.tokensAt).Seconds()*noticeRate)
	m.tokensAt = now
	if m.tokens < 1 || len(data) > MaxNotice {
		return nil, false
	}
	m.tokens--
	m.sequence++
	n := Notice{
		Origin: m.config.Self, Sequence: m.sequence, Topic: topic,
		LifetimeMS: uint32(lifetime.Milliseconds()), Data: data,
	}
	m.store(n)
	m.passOnNotices(m.config.Self, []Notice{n})
	for _, address := range m.remotes {
		m.send(address, &Notices{Sender: m.config.Address, Notices: []Notice{n}})
	}
	return m.take(), true
}

// Live returns the notices in force, by origin and sequence.
func (m *Machine) Live() []Notice {
	list := make([]Notice, 0, len(m.notices))
	for _, n := range m.sortedNotices() {
		list = append(list, n.Notice)
	}
	return list
}

// store keeps a notice and reports whether it is new.
func (m *Machine) store(n Notice) bool {
	key := noticeKey{n.Origin, n.Sequence}
	if _, known := m.notices[key]; known || n.LifetimeMS == 0 || len(n.Data) > MaxNotice {
		return false
	}
	if len(m.notices) >= MaxNotices {
		m.dropEarliest()
	}
	m.notices[key] = &keptNotice{
		Notice: n, since: m.now, hash: key.hash(),
		until: m.now.Add(time.Duration(n.LifetimeMS) * time.Millisecond),
	}
	return true
}

func (k noticeKey) hash() uint64 {
	b := binary.BigEndian.AppendUint64([]byte(k.origin), k.sequence)
	return xxhash.Sum64(b)
}

// dropEarliest forgets the notice that ends first.
func (m *Machine) dropEarliest() {
	all := m.sortedNotices()
	first := slices.MinFunc(all, func(a, b *keptNotice) int { return a.until.Compare(b.until) })
	delete(m.notices, noticeKey{first.Origin, first.Sequence})
}

func (m *Machine) expireNotices() {
	for key, n := range m.notices {
		if !m.now.Before(n.until) {
			delete(m.notices, key)
		}
	}
}

func (m *Machine) receiveNotices(x *Notices) {
	var fresh []Notice
	for _, n := range x.Notices {
		if m.store(n) {
			fresh = append(fresh, n)
			m.actions = append(m.actions, Notify{Notice: n})
		}
	}
	if len(fresh) == 0 {
		return
	}
	root := x.Root
	if root == "" {
		root = m.config.Self
	}
	m.passOnNotices(root, fresh)
}

// passOnNotices sends notices to this VM's children in the tree of a root.
func (m *Machine) passOnNotices(root fleet.VMID, notices []Notice) {
	order := m.noticeOrder(root)
	own := slices.IndexFunc(order, func(p Peer) bool { return p.ID == m.config.Self })
	message := &Notices{Sender: m.config.Address, Root: root, Notices: notices}
	for i := FanOut*own + 1; i <= FanOut*own+FanOut && i < len(order); i++ {
		m.send(order[i].Address, message)
	}
}

// noticeOrder returns the VMs of the data centre in the order of a root's tree.
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

// sortedNotices returns the notices in a fixed order.
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

// digest combines the notices that are settled and do not end soon.
func (m *Machine) digest() uint64 {
	var d uint64
	for _, n := range m.notices {
		if m.settled(n) {
			d ^= n.hash
		}
	}
	return d
}

func (m *Machine) settled(n *keptNotice) bool {
	return m.now.Sub(n.since) >= settleTime && n.until.Sub(m.now) >= settleTime
}

// sendStatus tells a random peer, and now and then another data centre, how far this VM is.
func (m *Machine) sendStatus() {
	if m.now.Before(m.nextStatus) {
		return
	}
	m.nextStatus = m.now.Add(StatusInterval)
	m.statusIndex++
	if m.position == 0 && len(m.remotes) > 0 && m.statusIndex%2 == 0 {
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

// receiveStatus learns how far a peer is and sends it some notices when its set differs.
func (m *Machine) receiveStatus(s *Status) {
	m.hear(s.Highest)
	m.hear(s.Applied)
	if m.position == 1 && s.Sender == m.peers[0].Address {
		m.firstReaderAt = max(m.firstReaderAt, s.Applied)
	}
	if !s.Answer && (s.Highest < m.highest || s.Digest != m.digest()) {
		m.send(s.Sender, m.status(true))
	}
	if s.Digest != m.digest() {
		m.sendSomeNotices(s.Sender)
	}
}

// sendSomeNotices sends the next few settled notices in turn.
func (m *Machine) sendSomeNotices(to string) {
	all := slices.DeleteFunc(m.sortedNotices(), func(n *keptNotice) bool { return !m.settled(n) })
	message := &Notices{Sender: m.config.Address, Root: m.config.Self}
	for range min(repairNotices, len(all)) {
		m.repairIndex = (m.repairIndex + 1) % len(all)
		n := all[m.repairIndex]
		copied := n.Notice
		copied.LifetimeMS = uint32(n.until.Sub(m.now).Milliseconds())
		message.Notices = append(message.Notices, copied)
	}
	if len(message.Notices) > 0 {
		m.send(to, message)
	}
}
