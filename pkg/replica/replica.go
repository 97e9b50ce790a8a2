package replica

import (
	"crypto/sha256"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/claim"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/settings"
)

// Config holds the parameters that are fixed for the lifetime of a replica.
type Config struct {
	// SeedPeers is the number of configured seed peers.
	SeedPeers int
	// SnapshotJitter delays this VM's snapshots, so that VMs don't all append one at
	// the same time.
	SnapshotJitter time.Duration
	// NewID returns a random identity for the snapshot and done records that the
	// replica proposes itself.
	NewID func() record.ID
	// StartFromPeers lets the replica restore its state from a peer's snapshot.
	StartFromPeers bool
}

// Parameters holds the values that come from the settings. They may change at any time.
type Parameters struct {
	// BatchInterval is the minimum time between the starts of two appends.
	BatchInterval time.Duration
	// BatchRecords is the maximum number of records in one append.
	BatchRecords int
	// Poll is the time between two reads of an idle stream.
	Poll time.Duration
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Window is the maximum age of an accepted idempotency key.
	Window time.Duration
}

// DefaultParameters returns the parameters of the default settings.
func DefaultParameters() Parameters {
	return ParametersOf(settings.Empty().Effective(settings.Scope{}))
}

// ParametersOf returns the parameters in a view of the settings.
func ParametersOf(v *settings.View) Parameters {
	return Parameters{
		BatchInterval: v.Claims.BatchInterval, BatchRecords: int(v.Claims.BatchRecords), Poll: v.Log.Poll,
		Retention: v.Log.Retention, Window: v.Claims.Window,
	}
}

// Limits of reads and appends.
const (
	// maxReadRecords is the maximum number of records requested in one read.
	maxReadRecords = 1000
	// maxBatchBytes is the maximum total size of the records in one append. A single
	// record that is larger, such as a snapshot, is appended alone.
	maxBatchBytes = 512 << 10
	// maxAppendInterval caps the interval between appends, which grows each time the
	// log refuses an append because of its rate limit.
	maxAppendInterval = 160 * time.Millisecond
	// appendRateGrowth is how fast a VM raises its append rate again after a refusal,
	// in appends per second, per second.
	appendRateGrowth = 50
	// verdictHashHistory is the number of recent offsets whose verdict hash is kept,
	// to compare snapshots with.
	verdictHashHistory = 4096
)

// phase is the progress of a proposal's append.
type phase uint8

const (
	phaseQueued phase = iota
	phaseInFlight
	// phaseUnknown: the append failed without a definite answer. Reading the stream
	// shows whether it took effect.
	phaseUnknown
	// phaseAppended: the log confirmed the append.
	phaseAppended
)

// Replica is the state machine of one stream. It does no I/O and reads no clock:
// its methods take events and the current time and return the actions to perform.
// It is not safe for concurrent use.
type Replica struct {
	cfg     Config
	params  Parameters
	state   *State
	actions []Action

	proposals []*proposal
	// abandonedAt holds the records that may be on the log but that no caller waits
	// for, with the time of the abandonment. When such a record turns out to be a
	// valid claim, the claim is closed as not run.
	abandonedAt map[record.ID]time.Time

	appendInFlight         bool
	lastAppendStart        time.Time
	appendInterval         time.Duration // current minimum time between the starts of two appends
	readInFlight           bool
	appendsDoneAtReadStart uint64
	appendsDone            uint64
	lastReadStart          time.Time
	readRequested          bool // read as soon as possible instead of at the next poll

	logUp         bool
	logEndReached bool              // a read has reached the end of the stream at least once
	caughtUp      bool              // a read has reached the end of the stream since the last restore
	truncated     bool              // the log no longer has the next offset, so a snapshot is needed
	scanOffset    uint64            // next offset to scan for a snapshot record, while truncated
	highestOffset uint64            // highest offset known to exist
	peerOffsets   map[string]uint64 // peer to the offset that its last snapshot covers
	ready         bool
	ownSnapshotID record.ID                    // identity of the last snapshot that this replica proposed
	verdictHashes [verdictHashHistory][32]byte // ring buffer indexed by offset modulo its length
}

// New returns a replica that has not applied any record yet.
func New(cfg Config, p Parameters) *Replica {
	return &Replica{
		cfg: cfg, params: p, state: NewState(), appendInterval: p.BatchInterval, logUp: true,
		abandonedAt: map[record.ID]time.Time{}, peerOffsets: map[string]uint64{}, readRequested: true,
	}
}

// State returns the current state. The caller must not change it.
func (r *Replica) State() *State { return r.state }

// Ready reports whether the replica has met the readiness rule. It stays true from
// then on.
func (r *Replica) Ready() bool { return r.ready }

// Stale reports whether the stream is known to hold records beyond the last
// applied offset.
func (r *Replica) Stale() bool { return r.highestOffset > r.state.Offset }

// HighestOffset returns the highest offset that this replica knows to exist, from
// the log or from peers.
func (r *Replica) HighestOffset() uint64 { return max(r.highestOffset, r.state.Offset) }

// LogUp reports whether the log is answering: it is false after a call failed as
// unavailable, until a later call succeeds.
func (r *Replica) LogUp() bool { return r.logUp }

// Pending returns the number of proposals without a verdict.
func (r *Replica) Pending() int { return len(r.proposals) }

// flush starts the append and the read that are due, updates the readiness and
// returns the actions collected since the last call.
func (r *Replica) flush(now time.Time) []Action {
	r.startAppend(now)
	r.startRead(now)
	r.updateReady()
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// Reconfigure replaces the parameters.
func (r *Replica) Reconfigure(p Parameters, now time.Time) []Action {
	r.params = p
	r.appendInterval = max(p.BatchInterval, min(r.appendInterval, maxAppendInterval))
	return r.flush(now)
}

// Tick performs the work that depends on the time. NextTick returns when the next
// call is due.
func (r *Replica) Tick(now time.Time) []Action {
	r.proposeSnapshot(now)
	for id, since := range r.abandonedAt {
		if now.Sub(since) > r.params.Window {
			delete(r.abandonedAt, id)
		}
	}
	return r.flush(now)
}

// NextTick returns the time at which Tick is due next.
func (r *Replica) NextTick(now time.Time) time.Time {
	next := now.Add(r.params.Poll)
	if !r.readInFlight {
		next = earlier(next, r.lastReadStart.Add(r.params.Poll))
	}
	if !r.appendInFlight && r.hasQueued() {
		next = earlier(next, r.lastAppendStart.Add(r.appendInterval))
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// startRead starts a read unless one is in flight. A read is due when the poll
// interval has passed, and earlier if one is requested and the log is up.
func (r *Replica) startRead(now time.Time) {
	due := r.lastReadStart.IsZero() || !now.Before(r.lastReadStart.Add(r.params.Poll))
	if r.readInFlight || !due && (!r.readRequested || !r.logUp) {
		return
	}
	r.readInFlight, r.readRequested, r.lastReadStart, r.appendsDoneAtReadStart = true, false, now, r.appendsDone
	r.emit(ReadAction{From: r.nextOffset(), Max: maxReadRecords})
}

// nextOffset returns the offset that the next read starts at.
func (r *Replica) nextOffset() uint64 {
	if r.truncated {
		return r.scanOffset
	}
	return r.state.Offset + 1
}

// ReadDone handles the result of the read in flight.
func (r *Replica) ReadDone(batch infra.Batch, err error, now time.Time) []Action {
	r.readInFlight = false
	switch {
	case (err == nil || errors.Is(err, infra.ErrTruncated)) && batch.First > r.nextOffset():
		r.startScan(batch.First)
	case errors.Is(err, infra.ErrTruncated):
		// The state advanced past the requested offset while the read was in flight.
		r.readRequested = true
	case errors.Is(err, infra.ErrRateLimited):
	case err != nil:
		r.setLogUp(false, err)
	case r.truncated:
		r.setLogUp(true, nil)
		r.scanBatch(batch)
	default:
		r.setLogUp(true, nil)
		r.applyBatch(batch, now)
	}
	return r.flush(now)
}

// startScan starts to scan for a snapshot record, from the oldest retained offset.
func (r *Replica) startScan(first uint64) {
	r.setLogUp(true, nil)
	r.truncated, r.scanOffset, r.readRequested = true, first, true
}

// scanBatch restores the state from the first snapshot after which the retained
// records continue without a gap.
func (r *Replica) scanBatch(batch infra.Batch) {
	for _, lr := range batch.Records {
		r.scanOffset = lr.Offset + 1
		rec, err := record.Decode(lr.Data)
		if err != nil || rec.Kind != record.KindSnapshot {
			continue
		}
		if rec.Snapshot.Covers+1 < batch.First || rec.Snapshot.Covers <= r.state.Offset {
			continue
		}
		if r.restore(*rec.Snapshot) {
			return
		}
	}
	r.readRequested = r.scanOffset < batch.Next
}

// restore replaces the state with that of a snapshot and reports whether it did.
// It ignores a snapshot that does not advance the offset or can't be decoded.
func (r *Replica) restore(snap record.Snapshot) bool {
	if snap.Covers <= r.state.Offset {
		return false
	}
	state, err := decodeState(snap)
	if err != nil {
		return false
	}
	r.state, r.truncated, r.readRequested, r.caughtUp = state, false, true, false
	r.emit(StateAction{State: state})
	r.reconcileRestored()
	for claimID := range r.abandonedAt {
		if r.state.Claims.IsPending(claimID) {
			r.closeUnsentClaim(claimID)
		}
	}
	return true
}

// applyBatch applies the records that continue the state without a gap.
func (r *Replica) applyBatch(batch infra.Batch, now time.Time) {
	for _, lr := range batch.Records {
		if lr.Offset == r.state.Offset+1 {
			r.applyRecord(lr, now)
		}
	}
	if batch.Next > 0 {
		r.highestOffset = max(r.highestOffset, batch.Next-1)
	}
	if r.state.Offset+1 < batch.Next {
		r.readRequested = true
		return
	}
	r.logEndReached, r.caughtUp = true, true
	r.requeueMissing()
}

// applyRecord applies one record and emits the actions that follow from it.
func (r *Replica) applyRecord(lr infra.Record, now time.Time) {
	rec, v := r.state.apply(lr.Data, lr.Offset, lr.AppendedAt)
	r.verdictHashes[lr.Offset%verdictHashHistory] = r.state.verdictHash
	r.emit(AppliedAction{Record: lr})
	switch rec.Kind {
	case record.KindSettings:
		r.emit(SettingsAction{Tree: r.state.Tree, Change: *rec.Settings, Verdict: v, At: lr.AppendedAt})
	case record.KindLease:
		if v.Valid() {
			r.emit(LeasesAction{Leases: r.state.Leases, Lease: *rec.Lease, Verdict: v})
		}
	case record.KindSnapshot:
		if v.Valid() {
			r.emit(SnapshotAction{Covers: rec.Snapshot.Covers, Own: rec.ID == r.ownSnapshotID, Mismatch: r.snapshotMismatch(rec.Snapshot)})
		}
	}
	r.resolve(rec.ID, v)
	if _, abandoned := r.abandonedAt[rec.ID]; abandoned {
		r.closeUnsentClaim(rec.ID)
	}
}

// snapshotMismatch reports whether a snapshot can't be decoded or its verdict hash
// differs from this replica's at the same offset. It returns false when that hash is
// not kept.
func (r *Replica) snapshotMismatch(snap *record.Snapshot) bool {
	if snap.Covers+verdictHashHistory <= r.state.Offset {
		return false
	}
	want := r.verdictHashes[snap.Covers%verdictHashHistory]
	if want == ([32]byte{}) {
		return false
	}
	state, err := decodeState(*snap)
	return err != nil || state.verdictHash != want
}

// SnapshotReceived handles a peer's snapshot. Covers is 0 when the peer has none.
func (r *Replica) SnapshotReceived(peer string, snap record.Snapshot, now time.Time) []Action {
	r.peerOffsets[peer] = snap.Covers
	r.highestOffset = max(r.highestOffset, snap.Covers)
	if r.cfg.StartFromPeers && snap.Covers > 0 && (!r.ready || r.truncated) {
		r.restore(snap)
	}
	return r.flush(now)
}

// PeerOffsetReceived handles the highest offset that a peer knows to exist.
func (r *Replica) PeerOffsetReceived(peer string, offset uint64, now time.Time) []Action {
	if offset > r.highestOffset {
		r.highestOffset = offset
		r.readRequested = true
	}
	return r.flush(now)
}

// RecordsReceived handles records that a peer relayed, in offset order. It applies
// those that continue the state without a gap.
func (r *Replica) RecordsReceived(records []infra.Record, now time.Time) []Action {
	if !r.truncated {
		for _, lr := range records {
			r.highestOffset = max(r.highestOffset, lr.Offset)
			if lr.Offset == r.state.Offset+1 {
				r.applyRecord(lr, now)
			}
		}
	}
	return r.flush(now)
}

// updateReady applies the readiness rule: the log was read to its end, or half of
// the seed peers answered and the state is at or above the highest offset that the
// peers' snapshots cover. A replica that misses truncated records is not ready.
func (r *Replica) updateReady() {
	if r.ready || r.truncated {
		return
	}
	syncedWithPeers := r.cfg.StartFromPeers && r.cfg.SeedPeers > 0 && 2*len(r.peerOffsets) >= r.cfg.SeedPeers
	for _, offset := range r.peerOffsets {
		syncedWithPeers = syncedWithPeers && offset <= r.state.Offset
	}
	if !syncedWithPeers && !r.logEndReached {
		return
	}
	r.ready = true
	r.emit(ReadyAction{})
}

// Snapshot returns a snapshot of the state, for a peer or for a snapshot record.
func (r *Replica) Snapshot(now time.Time) (record.Snapshot, error) {
	data, err := r.state.encode(now.Add(-r.params.Window))
	if err != nil {
		return record.Snapshot{}, err
	}
	return record.Snapshot{Base: r.state.Snapshot, Covers: r.state.Offset, Hash: sha256.Sum256(data), State: data}, nil
}

// snapshotsPerRetention is the number of snapshots due in one retention period.
// With 3, two snapshots in a row can fail before the log drops records that no
// retained snapshot covers.
const snapshotsPerRetention = 3

// proposeSnapshot queues a snapshot record when one is due.
func (r *Replica) proposeSnapshot(now time.Time) {
	last := r.state.SnapshotAt
	if last.IsZero() {
		last = r.state.FirstAppendedAt
	}
	due := last.Add(r.params.Retention/snapshotsPerRetention + r.cfg.SnapshotJitter)
	if last.IsZero() || now.Before(due) || !r.logUp || !r.caughtUp || r.truncated || r.hasSnapshotProposal() {
		return
	}
	snap, err := r.Snapshot(now)
	if err != nil {
		return
	}
	id := r.cfg.NewID()
	data, err := record.Encode(record.Record{ID: id, Kind: record.KindSnapshot, Snapshot: &snap})
	if err != nil {
		return
	}
	r.ownSnapshotID = id
	r.proposals = append(r.proposals, &proposal{id: id, data: data, snapshot: true, internal: true})
}

func (r *Replica) hasSnapshotProposal() bool {
	for _, p := range r.proposals {
		if p.snapshot {
			return true
		}
	}
	return false
}

// Lookup returns the state of an idempotency key.
func (r *Replica) Lookup(c *record.Claim) claim.Info {
	return r.state.Claims.Lookup(c.Team, c.Route, c.Key, c.BodyHash)
}
