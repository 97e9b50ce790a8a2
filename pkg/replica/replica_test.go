package replica_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
)

// machineStart is the start time of the tests that drive a Replica directly.
var machineStart = time.UnixMilli(1_800_000_000_000)

// node is one replica of the state machine test and its calls in flight.
type node struct {
	r              *replica.Replica
	append         *replica.AppendAction
	read           *replica.ReadAction
	offset         uint64
	proposed       map[record.ID]bool
	proposalOrder  []record.ID // identities in proposed, in the order of their proposals
	decided        map[record.ID]replica.Verdict
	reportedUnsent map[record.ID]bool // reported as certainly not appended
	abandoned      map[record.ID]bool // passed to Abandon
}

// machine is a simulated log with several replicas. The test drives it one event at
// a time.
type machine struct {
	now           time.Time
	records       []infra.Record
	firstRetained uint64     // oldest retained offset
	lateAppends   [][][]byte // appends that take effect after their call has ended
	nodes         []*node
	ids           uint64
}

func (m *machine) newID() (id record.ID) {
	m.ids++
	binary.BigEndian.PutUint64(id[8:], m.ids)
	return id
}

func (m *machine) start(seeds int) *node {
	n := &node{proposed: map[record.ID]bool{}, decided: map[record.ID]replica.Verdict{}, reportedUnsent: map[record.ID]bool{}, abandoned: map[record.ID]bool{}}
	n.r = replica.New(replica.Config{SeedPeers: seeds, StartFromPeers: true, NewID: m.newID}, historyParams)
	return n
}

// handle stores a node's actions and checks that they follow the rules.
func (m *machine) handle(t *rapid.T, n *node, actions []replica.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case replica.AppendAction:
			if n.append != nil {
				t.Fatalf("append started while another one is in flight")
			}
			n.append = &a
		case replica.ReadAction:
			if n.read != nil {
				t.Fatalf("read started while another one is in flight")
			}
			n.read = &a
		case replica.DecidedAction:
			if !n.proposed[a.Verdict.ID] || n.abandoned[a.Verdict.ID] {
				t.Fatalf("verdict on record %s, for which no caller waits", a.Verdict.ID)
			}
			n.decided[a.Verdict.ID] = a.Verdict
		case replica.UndecidedAction:
			n.reportedUnsent[a.ID] = !a.Sent
		}
	}
	if s := n.r.State(); s.Offset < n.offset {
		t.Fatalf("state went back from offset %d to %d", n.offset, s.Offset)
	}
	n.offset = n.r.State().Offset
}

func (m *machine) appendRecords(records [][]byte) {
	for _, data := range records {
		m.records = append(m.records, infra.Record{Offset: uint64(len(m.records)) + 1, AppendedAt: m.now, Data: bytes.Clone(data)})
	}
}

// finishAppend ends the append in flight with a random result: success or one of the
// log's faults.
func (m *machine) finishAppend(t *rapid.T, n *node) {
	if n.append == nil {
		return
	}
	records := n.append.Records
	n.append = nil
	var err error
	switch rapid.SampledFrom([]string{"ok", "ok", "lost answer", "dropped", "late", "twice", "refused"}).Draw(t, "append") {
	case "ok":
		m.appendRecords(records)
	case "lost answer":
		m.appendRecords(records)
		err = infra.ErrUnavailable
	case "dropped":
		err = infra.ErrUnavailable
	case "late":
		m.lateAppends = append(m.lateAppends, records)
		err = infra.ErrUnavailable
	case "twice":
		m.appendRecords(records)
		m.lateAppends = append(m.lateAppends, records)
	case "refused":
		err = infra.ErrRateLimited
	}
	m.handle(t, n, n.r.AppendDone(err, m.now))
}

// finishRead ends the read in flight. If fail is set, the log is unavailable.
func (m *machine) finishRead(t *rapid.T, n *node, fail bool) {
	if n.read == nil {
		return
	}
	from := n.read.From
	n.read = nil
	b := infra.Batch{First: m.firstRetained, Next: uint64(len(m.records)) + 1}
	var err error
	switch {
	case fail:
		b, err = infra.Batch{}, infra.ErrUnavailable
	case from < m.firstRetained:
		err = infra.ErrTruncated
	case from < b.Next:
		b.Records = m.records[from-1:]
	}
	m.handle(t, n, n.r.ReadDone(b, err, m.now))
}

// propose proposes a random record.
func (m *machine) propose(t *rapid.T, n *node) {
	rec := record.Record{ID: m.newID()}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		branch := rapid.SampledFrom([]string{"team/a", "rank/urgent", "rank/lookup"}).Draw(t, "branch")
		value := rapid.SampledFrom([]string{`{}`, `{"guaranteed_share":0.6}`, `{"weight":2}`}).Draw(t, "value")
		rec.Kind = record.KindSettings
		rec.Settings = &record.Settings{Branch: branch, Base: n.r.State().Tree.Version(branch), Value: []byte(value)}
	case 1:
		rec.Kind = record.KindClaim
		rec.Claim = &record.Claim{Team: "t", Key: m.key(rapid.IntRange(0, 3).Draw(t, "key"))}
	case 2:
		rec.Kind = record.KindLease
		rec.Lease = &record.Lease{Resource: "r", Base: n.r.State().Leases.Get("r").Epoch}
	}
	data, err := record.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	n.proposed[rec.ID] = true
	n.proposalOrder = append(n.proposalOrder, rec.ID)
	m.handle(t, n, n.r.Propose(rec.ID, data, m.now))
}

// key returns a version 7 UUID that is the same for equal n within 20 seconds, so that
// VMs collide on keys.
func (m *machine) key(n int) (key [16]byte) {
	binary.BigEndian.PutUint64(key[:8], uint64(m.now.Truncate(20*time.Second).UnixMilli())<<16)
	key[6], key[8], key[15] = 0x70, 0x80, byte(n)
	return key
}

// truncate drops the old records that the latest retained snapshot covers.
func (m *machine) truncate() {
	for i := len(m.records); i > int(m.firstRetained)-1 && i > 0; i-- {
		rec, err := record.Decode(m.records[i-1].Data)
		if err == nil && rec.Kind == record.KindSnapshot && rec.Snapshot.Covers >= m.firstRetained {
			m.firstRetained = rec.Snapshot.Covers + 1
			return
		}
	}
}

// reference applies the whole log without faults and returns the valid records.
func (m *machine) reference() map[record.ID]bool {
	r := replica.New(replica.Config{NewID: m.newID}, historyParams)
	valid := map[record.ID]bool{}
	r.Tick(m.now)
	r.ReadDone(infra.Batch{First: 1, Next: 1}, nil, m.now)
	for _, lr := range m.records {
		before := r.State().Claims.Len()
		for _, a := range r.RecordsReceived([]infra.Record{lr}, m.now) {
			switch a := a.(type) {
			case replica.SettingsAction:
				valid[a.Verdict.ID] = valid[a.Verdict.ID] || a.Verdict.Valid()
			case replica.LeasesAction:
				valid[a.Verdict.ID] = true
			}
		}
		if rec, err := record.Decode(lr.Data); err == nil && rec.Kind == record.KindClaim && r.State().Claims.Len() > before {
			valid[rec.ID] = true
		}
	}
	return valid
}

// check compares all verdicts with the reference, and the states of nodes that are at
// the same offset with each other.
func (m *machine) check(t *rapid.T) {
	valid := m.reference()
	for _, n := range m.nodes {
		for id, v := range n.decided {
			if v.Valid() != valid[id] {
				t.Fatalf("record %s has verdict %+v, but replaying the log gives valid: %t", id, v, valid[id])
			}
		}
		for _, lr := range m.records {
			if rec, err := record.Decode(lr.Data); err == nil && n.reportedUnsent[rec.ID] {
				t.Fatalf("record %s was reported as not sent but is on the log", rec.ID)
			}
		}
		for _, other := range m.nodes {
			if n.r.State().Offset != other.r.State().Offset {
				continue
			}
			a, errA := n.r.Snapshot(m.now)
			b, errB := other.r.Snapshot(m.now)
			if errA != nil || errB != nil || a.Hash != b.Hash {
				t.Fatalf("two replicas have different states at offset %d", n.r.State().Offset)
			}
		}
	}
}

// TestReplicaMachine drives three replicas over one log through random events:
// lost, late, repeated and refused appends, failed reads, truncated records,
// restarts and peers' snapshots. It guards against verdicts that a replay of the log
// does not confirm, different states at the same offset, a state that goes back to a
// lower offset, and a record that is on the log although it was reported as not sent.
func TestReplicaMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: machineStart, firstRetained: 1}
		for range 3 {
			m.nodes = append(m.nodes, m.start(2))
		}
		pick := func(t *rapid.T) *node { return rapid.SampledFrom(m.nodes).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) { m.propose(t, pick(t)) },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
				for _, n := range m.nodes {
					m.handle(t, n, n.r.Tick(m.now))
				}
			},
			"append":   func(t *rapid.T) { m.finishAppend(t, pick(t)) },
			"read":     func(t *rapid.T) { m.finishRead(t, pick(t), false) },
			"fail":     func(t *rapid.T) { m.finishRead(t, pick(t), true) },
			"truncate": func(t *rapid.T) { m.truncate() },
			"late": func(t *rapid.T) {
				if len(m.lateAppends) > 0 {
					m.appendRecords(m.lateAppends[0])
					m.lateAppends = m.lateAppends[1:]
				}
			},
			"offer": func(t *rapid.T) {
				to, from := pick(t), pick(t)
				if snap, err := from.r.Snapshot(m.now); err == nil {
					m.handle(t, to, to.r.SnapshotReceived(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "peer")), snap, m.now))
				}
			},
			"abandon": func(t *rapid.T) {
				n := pick(t)
				if len(n.proposalOrder) == 0 {
					return
				}
				id := rapid.SampledFrom(n.proposalOrder).Draw(t, "id")
				n.abandoned[id] = true
				m.handle(t, n, n.r.Abandon(id, m.now))
			},
			"restart": func(t *rapid.T) {
				m.nodes[rapid.IntRange(0, 2).Draw(t, "slot")] = m.start(2)
			},
			"": m.check,
		})
	})
}
