package spread

import (
	"slices"
	"time"
)

// readLog starts the next read of a reader if it is due.
func (m *Machine) readLog() {
	if m.alone && (len(m.peers) > 1 || len(m.remotes) > 0) {
		m.nextRead = m.now // other VMs are known now, so the long interval ends
	}
	m.alone = len(m.peers) == 1 && len(m.remotes) == 0
	if !m.IsReader() || m.reading || m.now.Before(m.nextRead) {
		return
	}
	m.startRead()
}

func (m *Machine) startRead() {
	m.reading = true
	m.actions = append(m.actions, Read{After: m.applied, Max: ReadMax})
}

// ReadDone handles the result of the Read in flight.
func (m *Machine) ReadDone(now time.Time, after uint64, r ReadResult) []Action {
	m.now = now
	m.reading = false
	if r.Failed {
		m.readBackoff = min(max(2*m.readBackoff, ReadInterval), ReadBackoffLimit)
		m.nextRead = now.Add(m.readBackoff/2 + m.jitter(m.readBackoff))
		return m.takeActions()
	}
	m.readBackoff = 0
	m.hasReadLog = true
	m.nextRead = now.Add(ReadInterval)
	if len(m.peers) > DirectLimit {
		m.nextRead = now.Add(TreeReadInterval)
	}
	if m.alone {
		m.nextRead = now.Add(LoneReadInterval/2 + m.jitter(LoneReadInterval))
	}
	if r.Next > 0 {
		m.recordOffset(r.Next - 1)
	}
	if r.First > m.applied+1 && m.highest > m.applied {
		m.actions = append(m.actions, NeedSnapshot{Oldest: r.First})
		return m.takeActions()
	}
	if len(r.Records) >= ReadMax {
		m.nextRead = now // the log has more records
	}
	link(after, r.Records)
	m.applyRecords(r.Records, m.forwardRead)
	return m.takeActions()
}

// link sets the Previous of consecutive records that follow an offset.
func link(after uint64, records []Record) {
	for i := range records {
		records[i].Previous = after
		after = records[i].Offset
	}
}

// applyRecords applies the records that continue the stream, keeps later records until the gap
// before them closes, and passes the applied records to forward.
func (m *Machine) applyRecords(records []Record, forward func([]Record)) {
	for _, r := range records {
		m.recordOffset(r.Offset)
		if r.Offset > m.applied && len(m.pending) < KeepRecords {
			m.pending[r.Previous] = r
		}
	}
	var newlyApplied []Record
	for {
		r, ok := m.pending[m.applied]
		if !ok {
			break
		}
		delete(m.pending, m.applied)
		m.applied = r.Offset
		newlyApplied = append(newlyApplied, r)
		m.keep(r)
	}
	if len(newlyApplied) == 0 {
		return
	}
	m.missingSince = time.Time{}
	m.dropStalePending()
	m.actions = append(m.actions, Deliver{Records: newlyApplied})
	forward(newlyApplied)
}

// dropStalePending removes pending records whose offsets are already applied.
func (m *Machine) dropStalePending() {
	for previous, r := range m.pending {
		if r.Offset <= m.applied {
			delete(m.pending, previous)
		}
	}
}

// keep stores an applied record for repairs and drops the oldest records beyond KeepRecords
// and KeepBytes.
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

// forwardRead forwards records that this VM read from the log. The first reader sends them
// down the tree. The second reader waits for the first reader to do so. A VM that is not a
// reader treats them as repaired records.
func (m *Machine) forwardRead(records []Record) {
	if len(m.peers) <= DirectLimit {
		return
	}
	switch m.position {
	case 0:
		m.forward(records)
	case 1:
		if m.applied > m.firstReaderOffset && m.takeoverAt.IsZero() {
			m.takeoverAt = m.now.Add(TakeoverDelay)
		}
	default:
		m.forwardRepaired(records)
	}
}

// forwardRepaired forwards repaired records unless there are more than maxForwardedRepairs.
func (m *Machine) forwardRepaired(records []Record) {
	if len(records) <= maxForwardedRepairs {
		m.forward(records)
	}
}

// forward sends records to this VM's children in the tree.
func (m *Machine) forward(records []Record) {
	m.sendRecords(m.children(m.position), records)
	if m.position == 0 && len(m.peers) > DirectLimit {
		m.send(m.peers[1].Address, m.status(true)) // tells the second reader not to take over
	}
}

// children returns the VMs to which the VM at a position forwards records. The first reader is
// the root. The second reader is not part of the tree, because it reads the log itself.
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

// parent returns the position of the VM that forwards records to this one.
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

// sendRecords sends records to peers in messages of bounded size.
func (m *Machine) sendRecords(to []Peer, records []Record) {
	for _, part := range split(records) {
		message := &Records{Sender: m.config.Address, Records: part, Highest: m.highest}
		for _, p := range to {
			m.send(p.Address, message)
		}
	}
}

// split splits records into parts of at most maxMessageBytes. A part has at least one record,
// even if that record is larger.
func split(records []Record) [][]Record {
	var parts [][]Record
	size, begin := 0, 0
	for i, r := range records {
		if size+len(r.Data) > maxMessageBytes && i > begin {
			parts = append(parts, records[begin:i])
			size, begin = 0, i
		}
		size += len(r.Data)
	}
	return append(parts, records[begin:])
}

func (m *Machine) receiveRecords(r *Records) {
	m.recordOffset(r.Highest)
	if r.Repair {
		m.applyRecords(r.Records, m.forwardRepaired)
		return
	}
	m.applyRecords(r.Records, m.forward)
}

// takeOver makes the second reader forward the records that the first reader did not forward
// within TakeoverDelay.
func (m *Machine) takeOver() {
	if m.takeoverAt.IsZero() || m.now.Before(m.takeoverAt) {
		return
	}
	m.takeoverAt = time.Time{}
	if m.position != 1 || m.firstReaderOffset >= m.applied {
		return
	}
	i, _ := slices.BinarySearchFunc(m.kept, m.firstReaderOffset+1, compareOffset)
	if missed := m.kept[i:]; len(missed) > 0 {
		m.sendRecords(m.children(0), missed)
	}
	m.firstReaderOffset = m.applied
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

// repair requests records that exist but did not arrive: first from the parent, then from any
// peer with a higher offset, then from the log.
func (m *Machine) repair() {
	if m.highest <= m.applied {
		m.missingSince = time.Time{}
		m.repairAttempts = 0
		return
	}
	if m.missingSince.IsZero() {
		m.missingSince = m.now
		m.repairAttempts = 0
		m.nextRepair = m.now.Add(RepairDelay)
	}
	if m.now.Before(m.nextRepair) {
		return
	}
	m.nextRepair = m.now.Add(RepairInterval + m.jitter(RepairInterval/2))
	m.repairAttempts++
	if m.repairAttempts > RepairsBeforeLog && !m.reading && !m.now.Before(m.nextRead) {
		m.repairAttempts = 0
		m.startRead()
		return
	}
	if to := m.repairSource(); to != "" {
		m.send(to, &Want{Sender: m.config.Address, After: m.applied})
	}
}

// repairSource returns the address from which to request missing records, or an empty string
// if there is none.
func (m *Machine) repairSource() string {
	if m.repairAttempts == 1 && m.position > 1 {
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

// answerWant sends the records after the requested offset in one message, as many as fit. The
// message is empty if this VM doesn't keep the first of them.
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
