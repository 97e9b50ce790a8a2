package spread

import (
	"slices"
	"time"
)

// readLog starts a reader's next read.
func (m *Machine) readLog() {
	if m.lone && (len(m.peers) > 1 || len(m.remotes) > 0) {
		m.nextRead = m.now // no longer alone
	}
	m.lone = len(m.peers) == 1 && len(m.remotes) == 0
	if !m.Reader() || m.reading || m.now.Before(m.nextRead) {
		return
	}
	m.startRead()
}

func (m *Machine) startRead() {
	m.reading = true
	m.actions = append(m.actions, Read{After: m.applied, Max: ReadMax})
}

// ReadDone takes the result of the Read in flight.
func (m *Machine) ReadDone(now time.Time, after uint64, r ReadResult) []Action {
	m.now = now
	m.reading = false
	if r.Failed {
		m.readBackoff = min(max(2*m.readBackoff, ReadInterval), ReadBackoffLimit)
		m.nextRead = now.Add(m.readBackoff/2 + m.jitter(m.readBackoff))
		return m.take()
	}
	m.readBackoff = 0
	m.logHeard = true
	m.nextRead = now.Add(ReadInterval)
	if len(m.peers) > DirectLimit {
		m.nextRead = now.Add(TreeReadInterval)
	}
	if m.lone {
		m.nextRead = now.Add(LoneReadInterval/2 + m.jitter(LoneReadInterval))
	}
	if r.Next > 0 {
		m.hear(r.Next - 1)
	}
	if r.First > m.applied+1 && m.highest > m.applied {
		m.actions = append(m.actions, NeedSnapshot{Oldest: r.First})
		return m.take()
	}
	if len(r.Records) >= ReadMax {
		m.nextRead = now // more records wait
	}
	link(after, r.Records)
	m.takeIn(r.Records, m.passOnRead)
	return m.take()
}

// link sets the records' previous offsets.
func link(after uint64, records []Record) {
	for i := range records {
		records[i].Previous = after
		after = records[i].Offset
	}
}

// takeIn applies the records that continue the stream, keeps later ones until
// the gap closes, and hands the applied ones to passOn.
func (m *Machine) takeIn(records []Record, passOn func([]Record)) {
	for _, r := range records {
		m.hear(r.Offset)
		if r.Offset > m.applied && len(m.waiting) < KeepRecords {
			m.waiting[r.Previous] = r
		}
	}
	var fresh []Record
	for {
		r, ok := m.waiting[m.applied]
		if !ok {
			break
		}
		delete(m.waiting, m.applied)
		m.applied = r.Offset
		fresh = append(fresh, r)
		m.keep(r)
	}
	if len(fresh) == 0 {
		return
	}
	m.lackingSince = time.Time{}
	m.dropOldWaiting()
	m.actions = append(m.actions, Deliver{Records: fresh})
	passOn(fresh)
}

// dropOldWaiting forgets records that were applied otherwise.
func (m *Machine) dropOldWaiting() {
	for previous, r := range m.waiting {
		if r.Offset <= m.applied {
			delete(m.waiting, previous)
		}
	}
}

// keep stores an applied record for repairs, within bounds.
func (m *Machine) keep(r Record) {
	m.kept = append(m.kept, r)
	m.keptBytes += len(r.Data)
	drop := 0
	for len(m.kept)-drop > KeepRecords || (m.keptBytes > KeepBytes && len(m.kept)-drop > 1) {
		m.keptBytes -= len(m.kept[drop].Data)
		m.kept[drop] = Record{}
		drop++
	}
	m.kept = m.kept[drop:]
}

// passOnRead spreads records read from the log: the first reader sends them
// down the tree, the second one waits whether the first does.
func (m *Machine) passOnRead(records []Record) {
	if len(m.peers) <= DirectLimit {
		return
	}
	switch m.position {
	case 0:
		m.passOn(records)
	case 1:
		if m.applied > m.firstReaderAt && m.takeoverAt.IsZero() {
			m.takeoverAt = m.now.Add(TakeoverDelay)
		}
	default:
		m.passOnRepaired(records)
	}
}

// passOnRepaired passes a few repaired records on and keeps many to itself.
func (m *Machine) passOnRepaired(records []Record) {
	if len(records) <= passOnRepaired {
		m.passOn(records)
	}
}

// passOn sends records to this VM's children in the tree.
func (m *Machine) passOn(records []Record) {
	m.sendTo(m.children(m.position), records)
	if m.position == 0 && len(m.peers) > DirectLimit {
		m.send(m.peers[1].Address, m.status(true)) // the second reader need not take over
	}
}

// children returns the VMs to which the VM at a position passes records on.
// The first reader is the root; the second reader stands outside the tree,
// because it reads the log itself.
func (m *Machine) children(position int) []Peer {
	if len(m.peers) <= DirectLimit || position == 1 {
		return nil
	}
	var children []Peer
	node := max(position-1, 0) // number in the tree without the second reader
	for n := FanOut*node + 1; n <= FanOut*node+FanOut && n+1 < len(m.peers); n++ {
		children = append(children, m.peers[n+1])
	}
	return children
}

// parent returns the position of the VM that passes records to this one.
func (m *Machine) parent() int {
	if m.position <= 1 {
		return 0
	}
	node := (m.position - 2) / FanOut
	if node == 0 {
		return 0
	}
	return node + 1
}

// sendTo sends records in messages of bounded size.
func (m *Machine) sendTo(to []Peer, records []Record) {
	for _, part := range split(records) {
		message := &Records{Sender: m.config.Address, Records: part, Highest: m.highest}
		for _, p := range to {
			m.send(p.Address, message)
		}
	}
}

// split cuts records into parts of at most messageBytes, of one record at least.
func split(records []Record) [][]Record {
	var parts [][]Record
	size, begin := 0, 0
	for i, r := range records {
		if size+len(r.Data) > messageBytes && i > begin {
			parts = append(parts, records[begin:i])
			size, begin = 0, i
		}
		size += len(r.Data)
	}
	return append(parts, records[begin:])
}

func (m *Machine) receiveRecords(r *Records) {
	m.hear(r.Highest)
	if r.Repair {
		m.takeIn(r.Records, m.passOnRepaired)
		return
	}
	m.takeIn(r.Records, m.passOn)
}

// takeOver lets the second reader spread what the first one did not.
func (m *Machine) takeOver() {
	if m.takeoverAt.IsZero() || m.now.Before(m.takeoverAt) {
		return
	}
	m.takeoverAt = time.Time{}
	if m.position != 1 || m.firstReaderAt >= m.applied {
		return
	}
	i, _ := slices.BinarySearchFunc(m.kept, m.firstReaderAt+1, compareOffset)
	if missed := m.kept[i:]; len(missed) > 0 {
		m.sendTo(m.children(0), missed)
	}
	m.firstReaderAt = m.applied
}

func compareOffset(r Record, offset uint64) int {
	switch {
	case r.Offset < offset:
		return -1
	case r.Offset > offset:
		return 1
	}
	return 0
}

// repair asks for records that exist and did not come: the parent first, then
// any peer that is further, then the log.
func (m *Machine) repair() {
	if m.highest <= m.applied {
		m.lackingSince = time.Time{}
		m.repairs = 0
		return
	}
	if m.lackingSince.IsZero() {
		m.lackingSince = m.now
		m.repairs = 0
		m.nextRepair = m.now.Add(GapPatience)
	}
	if m.now.Before(m.nextRepair) {
		return
	}
	m.nextRepair = m.now.Add(RepairInterval + m.jitter(RepairInterval/2))
	m.repairs++
	if m.repairs > RepairsBeforeLog && !m.reading && !m.now.Before(m.nextRead) {
		m.repairs = 0
		m.startRead()
		return
	}
	if to := m.repairSource(); to != "" {
		m.send(to, &Want{Sender: m.config.Address, After: m.applied})
	}
}

// repairSource returns whom to ask for lacking records.
func (m *Machine) repairSource() string {
	if m.repairs == 1 && m.position > 1 {
		return m.peers[m.parent()].Address
	}
	var ahead []string
	for _, p := range m.peers {
		if p.Offset > m.applied && p.ID != m.config.Self {
			ahead = append(ahead, p.Address)
		}
	}
	if len(ahead) == 0 {
		ahead = m.remotes
	}
	if len(ahead) == 0 {
		return ""
	}
	return ahead[m.rand.IntN(len(ahead))]
}

// answerWant sends the records after an offset as far as they are kept.
func (m *Machine) answerWant(w *Want) {
	answer := &Records{Sender: m.config.Address, Repair: true, Highest: m.highest}
	i, _ := slices.BinarySearchFunc(m.kept, w.After+1, compareOffset)
	if i < len(m.kept) && m.kept[i].Previous <= w.After {
		answer.Records = split(m.kept[i:])[0]
	}
	m.send(w.Sender, answer)
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(d) + 1))
}
