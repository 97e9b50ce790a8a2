package replica_test

import (
	"context"
	"crypto/sha256"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
)

// stream builds the records of a log.
type stream []infra.Record

func (s *stream) add(rec record.Record) record.Record {
	data, err := record.Encode(rec)
	if err != nil {
		panic(err)
	}
	*s = append(*s, infra.Record{Offset: uint64(len(*s)) + 1, AppendedAt: machineStart, Data: data})
	return rec
}

func (s *stream) settings(id byte, branch string, base uint64, value string) record.Record {
	return s.add(record.Record{ID: record.ID{id}, Kind: record.KindSettings, Settings: &record.Settings{Branch: branch, Base: base, Value: []byte(value)}})
}

func claimRecord(id byte) record.Record {
	m := machine{now: machineStart}
	return record.Record{ID: record.ID{id}, Kind: record.KindClaim, Claim: &record.Claim{Team: "t", Key: m.key(1)}}
}

// from returns the read of the records from an offset on, of a log that keeps
// those from first on.
func (s stream) from(first, offset uint64) infra.Batch {
	return infra.Batch{Records: s[offset-1:], First: first, Next: uint64(len(s)) + 1}
}

func newReplica(seeds int) *replica.Replica {
	m := &machine{}
	return replica.New(replica.Config{Seeds: seeds, StartFromPeers: true, Jitter: time.Second, NewID: m.newID}, historyParams)
}

// find returns the actions of one type.
func find[A replica.Action](actions []replica.Action) (found []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// read starts and ends a read of the whole stream.
func (s stream) read(r *replica.Replica) []replica.Action {
	r.Tick(machineStart)
	return r.ReadDone(s.from(1, 1), nil, machineStart)
}

// TestVoidStaysVoid guards against a repeated append that becomes valid after
// its sender was told that nothing changed, also at a VM that starts from a snapshot.
func TestVoidStaysVoid(t *testing.T) {
	is := is.New(t)
	var s stream
	s.settings(1, "rank/lookup", 0, `{"guaranteed_share":0.9}`) // void: the sum is over 1
	s.settings(2, "rank/urgent", 0, `{"guaranteed_share":0}`)
	done := s.add(record.Record{ID: record.ID{3}, Kind: record.KindDone, Done: &record.Done{Claim: record.ID{4}}})
	a, b := newReplica(0), newReplica(1)
	s.read(a)
	snap, err := a.Snapshot(machineStart)
	is.NoErr(err)
	b.SnapshotOffered("a", snap, machineStart)
	s.settings(1, "rank/lookup", 0, `{"guaranteed_share":0.9}`)
	s.add(claimRecord(4))
	s.add(done)
	for _, r := range []*replica.Replica{a, b} {
		got := find[replica.SettingsAction](r.Records(s, machineStart))
		is.Equal(len(got), 1)
		is.Equal(got[0].Verdict.Reason, replica.Repeated)
		is.True(r.State().Claims.IsOpen(record.ID{4}))
	}
}

// TestSnapshotRules guards against a second valid snapshot for one base, a
// damaged snapshot that is taken over, a difference that is not reported, and
// snapshots that come too early.
func TestSnapshotRules(t *testing.T) {
	is := is.New(t)
	var s stream
	s.settings(1, "team/a", 0, `{}`)
	r := newReplica(1)
	due := machineStart.Add(historyParams.Retention/3 + time.Second)
	s.read(r)
	is.Equal(len(find[replica.AppendAction](r.Tick(due.Add(-time.Millisecond)))), 0)
	is.Equal(len(find[replica.AppendAction](r.Tick(due))), 1)

	snap, err := r.Snapshot(machineStart)
	is.NoErr(err)
	later, err := r.Snapshot(machineStart.Add(time.Hour))
	is.NoErr(err)
	var other stream
	other.settings(9, "team/b", 0, `{}`)
	differs := newReplica(0)
	other.read(differs)
	s.add(record.Record{ID: record.ID{2}, Kind: record.KindSnapshot, Snapshot: &snap})
	s.add(record.Record{ID: record.ID{3}, Kind: record.KindSnapshot, Snapshot: &later})
	for reader, mismatch := range map[*replica.Replica]bool{r: false, differs: true} {
		got := find[replica.SnapshotAction](reader.Records(s[1:], machineStart))
		is.Equal(len(got), 1)
		is.Equal(got[0].Mismatch, mismatch)
		is.Equal(reader.State().Claims.Horizon(), machineStart.Add(-historyParams.Window))
	}
	snap.State[len(snap.State)-40]++
	fresh := newReplica(1)
	fresh.SnapshotOffered("a", snap, machineStart)
	is.Equal(fresh.State().Offset, uint64(0))
}

// TestReadiness guards against a VM that serves with settings which it knows or
// must suspect to be old.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	var s stream
	s.settings(1, "team/a", 0, `{}`)
	source := newReplica(0)
	is.True(!source.Ready())
	s.read(source)
	is.True(source.Ready())
	snap, err := source.Snapshot(machineStart)
	is.NoErr(err)

	r := newReplica(4)
	r.SnapshotOffered("a", snap, machineStart)
	is.True(!r.Ready()) // one of four
	damaged := snap
	damaged.Covers, damaged.Hash = 9, sha256.Sum256(nil)
	r.SnapshotOffered("b", damaged, machineStart)
	is.True(!r.Ready()) // b knows of a higher offset
	is.True(r.Stale())
	r.SnapshotOffered("b", snap, machineStart)
	is.True(r.Ready())
	is.Equal(r.State().Offset, uint64(1))

	cut := newReplica(1)
	cut.Tick(machineStart)
	cut.ReadDone(infra.Batch{First: 2, Next: 2}, infra.ErrTruncated, machineStart)
	cut.SnapshotOffered("a", record.Snapshot{}, machineStart)
	is.True(!cut.Ready()) // what the log forgot is missing
}

// TestTruncatedStart guards against a state with a gap where the log forgot records.
func TestTruncatedStart(t *testing.T) {
	is := is.New(t)
	var s stream
	source := newReplica(0)
	snapshot := func(id byte) {
		source.Records(s, machineStart)
		snap, err := source.Snapshot(machineStart)
		is.NoErr(err)
		s.add(record.Record{ID: record.ID{id}, Kind: record.KindSnapshot, Snapshot: &snap})
	}
	s.settings(1, "team/a", 0, `{}`)
	snapshot(2) // at 2, covers 1
	s.settings(3, "team/b", 0, `{}`)
	snapshot(4) // at 4, covers 3
	s.settings(5, "team/c", 0, `{}`)

	for _, row := range []struct{ first, loaded uint64 }{{2, 1}, {4, 3}, {5, 0}} {
		r := newReplica(0)
		r.Tick(machineStart)
		r.ReadDone(s.from(row.first, row.first), infra.ErrTruncated, machineStart)
		r.ReadDone(s.from(row.first, row.first), nil, machineStart)
		is.Equal(r.State().Offset, row.loaded)
		r.Records(s[4:], machineStart) // leaves a gap, unless the snapshot covers 4
		is.Equal(r.State().Offset, row.loaded)
		if row.loaded > 0 {
			r.ReadDone(s.from(row.first, row.loaded+1), nil, machineStart)
			is.Equal(r.State().Tree.Version("team/c"), uint64(5))
		}
	}
	r := newReplica(0)
	r.Tick(machineStart)
	r.ReadDone(s.from(1, 3), nil, machineStart) // not what was asked for
	is.Equal(r.State().Offset, uint64(0))
}

// propose queues a record with the identity.
func propose(r *replica.Replica, id byte, at time.Time) []replica.Action {
	data, _ := record.Encode(claimRecord(id))
	return r.Propose(record.ID{id}, data, at)
}

// TestAppendRules guards against two appends in flight, appends closer than the
// interval, batches over the limit, and a repetition before a read that started
// after the answer was lost has reached the end.
func TestAppendRules(t *testing.T) {
	is := is.New(t)
	appends := func(actions []replica.Action) int { return len(find[replica.AppendAction](actions)) }
	r := newReplica(0)
	r.Tick(machineStart) // starts a read
	is.Equal(appends(propose(r, 1, machineStart)), 1)
	at := machineStart.Add(time.Second)
	is.Equal(appends(propose(r, 2, at)), 0)
	got := r.AppendDone(infra.ErrUnavailable, at)
	is.Equal(appends(got), 1) // the second record, not the first
	empty := infra.Batch{First: 1, Next: 1}
	is.Equal(appends(r.AppendDone(infra.ErrRateLimited, at)), 0)
	at = at.Add(time.Second)
	got = r.ReadDone(empty, nil, at)
	is.Equal(len(find[replica.AppendAction](got)[0].Records), 1) // again only the second
	r.AppendDone(infra.ErrUnavailable, at)
	at = at.Add(time.Second)
	is.Equal(appends(r.ReadDone(empty, nil, at)), 0) // started while the append was in flight
	got = r.ReadDone(empty, nil, at)
	is.Equal(len(find[replica.AppendAction](got)[0].Records), 2)
	r.AppendDone(nil, at)
	is.Equal(appends(propose(r, 3, at.Add(time.Millisecond))), 0) // within the interval
	for id := range byte(historyParams.BatchRecords) {
		propose(r, 10+id, at.Add(time.Millisecond))
	}
	got = r.Tick(at.Add(time.Second))
	is.Equal(len(find[replica.AppendAction](got)[0].Records), historyParams.BatchRecords)
}

// TestAbandon guards against a claim that stays in progress although its caller
// was told "not run", and against a record that is appended after it was
// reported as never sent.
func TestAbandon(t *testing.T) {
	is := is.New(t)
	closes := func(actions []replica.Action, id byte) bool {
		for _, a := range find[replica.AppendAction](actions) {
			rec, err := record.Decode(a.Records[0])
			if err == nil && rec.Kind == record.KindDone && rec.Done.NotRun && rec.Done.Claim == (record.ID{id}) {
				return true
			}
		}
		return false
	}
	at := machineStart
	r := newReplica(0)
	r.Tick(at)
	propose(r, 1, at)
	propose(r, 2, at)
	is.Equal(find[replica.UndecidedAction](r.Abandon(record.ID{2}, at)), []replica.UndecidedAction{{ID: record.ID{2}}})
	is.Equal(r.Pending(), 1)
	is.Equal(find[replica.UndecidedAction](r.Abandon(record.ID{1}, at)), []replica.UndecidedAction{{ID: record.ID{1}, Sent: true}})
	r.AppendDone(infra.ErrUnavailable, at)
	var s stream
	s.add(claimRecord(1)) // took effect
	is.True(closes(r.ReadDone(s.from(1, 1), nil, at.Add(time.Second)), 1))

	r = newReplica(0)
	r.Tick(at)
	propose(r, 1, at)
	r.AppendDone(nil, at)
	is.Equal(len(find[replica.DecidedAction](r.ReadDone(s.from(1, 1), nil, at))), 1)
	is.True(closes(r.Abandon(record.ID{1}, at.Add(time.Second)), 1))
}

// TestSkipped guards against an operator who is told "conflict" about a change
// that was valid within the offsets which a peer's snapshot skipped.
func TestSkipped(t *testing.T) {
	is := is.New(t)
	var s stream
	change := s.settings(1, "team/a", 0, `{}`)
	source := newReplica(0)
	s.read(source)
	snap, err := source.Snapshot(machineStart)
	is.NoErr(err)
	data, err := record.Encode(change)
	is.NoErr(err)
	r := newReplica(9)
	r.Propose(change.ID, data, machineStart)
	r.SnapshotOffered("a", snap, machineStart)
	at := machineStart.Add(time.Second)
	r.AppendDone(nil, at)
	r.Tick(at)
	r.ReadDone(infra.Batch{First: 1, Next: 2}, nil, at)
	s.add(change)
	got := r.Records(s[1:], at)
	is.Equal(len(find[replica.DecidedAction](got)), 0)
	is.Equal(find[replica.UndecidedAction](got), []replica.UndecidedAction{{ID: change.ID, Sent: true}})
}

// TestRefusals guards against a wrong code or outcome, and against a caller that
// waits for a log which is known to be down.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := started(t)
		defer stop()
		l := &fakeLog{latency: time.Millisecond}
		gone := false
		r := run(ctx, l, replica.RunnerConfig{VM: "a", HolderGone: func(fleet.VMID) bool { return gone }})
		other := run(ctx, l, replica.RunnerConfig{VM: "b"})
		key := newKey()
		_, err := other.Claim(ctx, newRequest(key.String()))
		is.NoErr(err)
		time.Sleep(time.Second)
		refused := func(key string, code result.Code, outcome result.Outcome) {
			t.Helper()
			_, err := r.Claim(ctx, newRequest(key))
			is.Equal(codeOf(err), code)
			is.Equal(result.From(err).Outcome, outcome)
		}
		refused(key.String(), result.ClaimInProgress, result.OutcomeUnknown)
		gone = true
		refused(key.String(), result.ClaimUnknown, result.OutcomeUnknown)
		gone = false
		time.Sleep(2 * time.Minute)
		refused(key.String(), result.ClaimUnknown, result.OutcomeUnknown)
		refused("no uuid", result.InvalidHeader, result.NotRun)
		early := newKey()
		early[0]++
		refused(early.String(), result.InvalidHeader, result.NotRun)
		unused := newKey()
		time.Sleep(7 * time.Hour)
		refused(unused.String(), result.KeyExpired, result.OutcomeUnknown)

		fresh := newKey().String()
		l.mu.Lock()
		l.down = true
		l.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = r.ProposeSettings(call, record.Settings{Branch: "team/a", Value: []byte(`{}`)})
		is.Equal(codeOf(err), result.SettingsPending)
		before := time.Now()
		refused(fresh, result.LogUnavailable, result.OutcomeUnknown) // an earlier call may have run elsewhere
		is.Equal(time.Since(before), time.Duration(0))
	})
}
