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

// stream is a log of records built by a test.
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

// from returns the result of a read that starts at offset, from a log whose oldest
// retained offset is first.
func (s stream) from(first, offset uint64) infra.Batch {
	return infra.Batch{Records: s[offset-1:], First: first, Next: uint64(len(s)) + 1}
}

func newReplica(seeds int) *replica.Replica {
	m := &machine{}
	return replica.New(replica.Config{SeedPeers: seeds, StartFromPeers: true, SnapshotJitter: time.Second, NewID: m.newID}, historyParams)
}

// actionsOf returns the actions of type A.
func actionsOf[A replica.Action](actions []replica.Action) (found []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// read makes the replica read the whole stream.
func (s stream) read(r *replica.Replica) []replica.Action {
	r.Tick(machineStart)
	return r.ReadDone(s.from(1, 1), nil, machineStart)
}

// TestVoidStaysVoid guards against a repeated append that becomes valid after its
// sender was told that the record is void. It checks this also for a VM that starts from
// a snapshot.
func TestVoidStaysVoid(t *testing.T) {
	is := is.New(t)
	var s stream
	s.settings(1, "rank/lookup", 0, `{"guaranteed_share":0.9}`) // void: the guaranteed shares sum to more than 1
	s.settings(2, "rank/urgent", 0, `{"guaranteed_share":0}`)
	done := s.add(record.Record{ID: record.ID{3}, Kind: record.KindDone, Done: &record.Done{Claim: record.ID{4}}})
	a, b := newReplica(0), newReplica(1)
	s.read(a)
	snap, err := a.Snapshot(machineStart)
	is.NoErr(err)
	b.SnapshotReceived("a", snap, machineStart)
	s.settings(1, "rank/lookup", 0, `{"guaranteed_share":0.9}`)
	s.add(claimRecord(4))
	s.add(done)
	for _, r := range []*replica.Replica{a, b} {
		got := actionsOf[replica.SettingsAction](r.RecordsReceived(s, machineStart))
		is.Equal(len(got), 1)
		is.Equal(got[0].Verdict.Reason, replica.Duplicate)
		is.True(r.State().Claims.IsPending(record.ID{4}))
	}
}

// TestSnapshotRules guards against a second valid snapshot for the same base, a corrupt
// snapshot that is restored, a mismatch that is not reported, and a snapshot that is
// proposed before it is due.
func TestSnapshotRules(t *testing.T) {
	is := is.New(t)
	var s stream
	s.settings(1, "team/a", 0, `{}`)
	r := newReplica(1)
	due := machineStart.Add(historyParams.Retention/3 + time.Second)
	s.read(r)
	is.Equal(len(actionsOf[replica.AppendAction](r.Tick(due.Add(-time.Millisecond)))), 0)
	is.Equal(len(actionsOf[replica.AppendAction](r.Tick(due))), 1)

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
		got := actionsOf[replica.SnapshotAction](reader.RecordsReceived(s[1:], machineStart))
		is.Equal(len(got), 1)
		is.Equal(got[0].Mismatch, mismatch)
		is.Equal(reader.State().Claims.Horizon(), machineStart.Add(-historyParams.Window))
	}
	snap.State[len(snap.State)-40]++
	fresh := newReplica(1)
	fresh.SnapshotReceived("a", snap, machineStart)
	is.Equal(fresh.State().Offset, uint64(0))
}

// TestReadiness guards against a VM that becomes ready with settings that are known to
// be stale or may be stale.
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
	r.SnapshotReceived("a", snap, machineStart)
	is.True(!r.Ready()) // only one of four seed peers answered
	damaged := snap
	damaged.Covers, damaged.Hash = 9, sha256.Sum256(nil)
	r.SnapshotReceived("b", damaged, machineStart)
	is.True(!r.Ready()) // b's snapshot covers a higher offset
	is.True(r.Stale())
	r.SnapshotReceived("b", snap, machineStart)
	is.True(r.Ready())
	is.Equal(r.State().Offset, uint64(1))

	cut := newReplica(1)
	cut.Tick(machineStart)
	cut.ReadDone(infra.Batch{First: 2, Next: 2}, infra.ErrTruncated, machineStart)
	cut.SnapshotReceived("a", record.Snapshot{}, machineStart)
	is.True(!cut.Ready()) // the truncated records are missing
}

// TestTruncatedStart guards against a state that lacks records which the log has
// truncated.
func TestTruncatedStart(t *testing.T) {
	is := is.New(t)
	var s stream
	source := newReplica(0)
	snapshot := func(id byte) {
		source.RecordsReceived(s, machineStart)
		snap, err := source.Snapshot(machineStart)
		is.NoErr(err)
		s.add(record.Record{ID: record.ID{id}, Kind: record.KindSnapshot, Snapshot: &snap})
	}
	s.settings(1, "team/a", 0, `{}`)
	snapshot(2) // record at offset 2, covers offset 1
	s.settings(3, "team/b", 0, `{}`)
	snapshot(4) // record at offset 4, covers offset 3
	s.settings(5, "team/c", 0, `{}`)

	for _, row := range []struct{ first, loaded uint64 }{{2, 1}, {4, 3}, {5, 0}} {
		r := newReplica(0)
		r.Tick(machineStart)
		r.ReadDone(s.from(row.first, row.first), infra.ErrTruncated, machineStart)
		r.ReadDone(s.from(row.first, row.first), nil, machineStart)
		is.Equal(r.State().Offset, row.loaded)
		r.RecordsReceived(s[4:], machineStart) // ignored, because offset 4 is missing
		is.Equal(r.State().Offset, row.loaded)
		if row.loaded > 0 {
			r.ReadDone(s.from(row.first, row.loaded+1), nil, machineStart)
			is.Equal(r.State().Tree.Version("team/c"), uint64(5))
		}
	}
	r := newReplica(0)
	r.Tick(machineStart)
	r.ReadDone(s.from(1, 3), nil, machineStart) // not the requested offset
	is.Equal(r.State().Offset, uint64(0))
}

// propose proposes a claim record with the given identity.
func propose(r *replica.Replica, id byte, at time.Time) []replica.Action {
	data, _ := record.Encode(claimRecord(id))
	return r.Propose(record.ID{id}, data, at)
}

// TestAppendRules guards against two appends in flight, appends that are closer than
// the interval, batches over the limit, and an append that is repeated too early: before
// a read that started after its answer was lost has reached the end of the stream.
func TestAppendRules(t *testing.T) {
	is := is.New(t)
	appendCount := func(actions []replica.Action) int { return len(actionsOf[replica.AppendAction](actions)) }
	r := newReplica(0)
	r.Tick(machineStart) // starts a read
	is.Equal(appendCount(propose(r, 1, machineStart)), 1)
	at := machineStart.Add(time.Second)
	is.Equal(appendCount(propose(r, 2, at)), 0)
	got := r.AppendDone(infra.ErrUnavailable, at)
	is.Equal(appendCount(got), 1) // the second record; the first waits for a read
	empty := infra.Batch{First: 1, Next: 1}
	is.Equal(appendCount(r.AppendDone(infra.ErrRateLimited, at)), 0)
	at = at.Add(time.Second)
	got = r.ReadDone(empty, nil, at)
	is.Equal(len(actionsOf[replica.AppendAction](got)[0].Records), 1) // again only the second
	r.AppendDone(infra.ErrUnavailable, at)
	at = at.Add(time.Second)
	is.Equal(appendCount(r.ReadDone(empty, nil, at)), 0) // the read started while the append was in flight
	got = r.ReadDone(empty, nil, at)
	is.Equal(len(actionsOf[replica.AppendAction](got)[0].Records), 2)
	r.AppendDone(nil, at)
	is.Equal(appendCount(propose(r, 3, at.Add(time.Millisecond))), 0) // within the interval
	for id := range byte(historyParams.BatchRecords) {
		propose(r, 10+id, at.Add(time.Millisecond))
	}
	got = r.Tick(at.Add(time.Second))
	is.Equal(len(actionsOf[replica.AppendAction](got)[0].Records), historyParams.BatchRecords)
}

// TestAbandon guards against a claim that stays pending although its caller was told
// "not run", and against a record that is appended after it was reported as not sent.
func TestAbandon(t *testing.T) {
	is := is.New(t)
	closesClaim := func(actions []replica.Action, id byte) bool {
		for _, a := range actionsOf[replica.AppendAction](actions) {
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
	is.Equal(actionsOf[replica.UndecidedAction](r.Abandon(record.ID{2}, at)), []replica.UndecidedAction{{ID: record.ID{2}}})
	is.Equal(r.Pending(), 1)
	is.Equal(actionsOf[replica.UndecidedAction](r.Abandon(record.ID{1}, at)), []replica.UndecidedAction{{ID: record.ID{1}, Sent: true}})
	r.AppendDone(infra.ErrUnavailable, at)
	var s stream
	s.add(claimRecord(1)) // took effect
	is.True(closesClaim(r.ReadDone(s.from(1, 1), nil, at.Add(time.Second)), 1))

	r = newReplica(0)
	r.Tick(at)
	propose(r, 1, at)
	r.AppendDone(nil, at)
	is.Equal(len(actionsOf[replica.DecidedAction](r.ReadDone(s.from(1, 1), nil, at))), 1)
	is.True(closesClaim(r.Abandon(record.ID{1}, at.Add(time.Second)), 1))
}

// TestSkipped guards against a settings change that is reported as a conflict although
// it is valid: a peer's snapshot covers the record, and the repeated append is void.
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
	r.SnapshotReceived("a", snap, machineStart)
	at := machineStart.Add(time.Second)
	r.AppendDone(nil, at)
	r.Tick(at)
	r.ReadDone(infra.Batch{First: 1, Next: 2}, nil, at)
	s.add(change)
	got := r.RecordsReceived(s[1:], at)
	is.Equal(len(actionsOf[replica.DecidedAction](got)), 0)
	is.Equal(actionsOf[replica.UndecidedAction](got), []replica.UndecidedAction{{ID: change.ID, Sent: true}})
}

// TestRefusals guards against a wrong result code or outcome, and against a caller that
// has to wait although the log is known to be down.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := runnerContext(t)
		defer stop()
		l := &fakeLog{latency: time.Millisecond}
		gone := false
		r := startRunner(ctx, l, replica.RunnerConfig{VM: "a", HolderTerminated: func(fleet.VMID) bool { return gone }})
		other := startRunner(ctx, l, replica.RunnerConfig{VM: "b"})
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
		refused(key.String(), result.ClaimOutcomeUnknown, result.OutcomeUnknown)
		gone = false
		time.Sleep(2 * time.Minute)
		refused(key.String(), result.ClaimOutcomeUnknown, result.OutcomeUnknown)
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
		is.Equal(codeOf(err), result.SettingsOutcomeUnknown)
		before := time.Now()
		refused(fresh, result.LogUnavailable, result.OutcomeUnknown) // an earlier call may have run elsewhere
		is.Equal(time.Since(before), time.Duration(0))
	})
}
