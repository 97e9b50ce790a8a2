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

// Config holds what doesn't change while a replica runs.
type Config struct {
	// Seeds is the number of configured seed peers.
	Seeds int
	// Jitter delays this VM's snapshots, so that VMs don't append them at once.
	Jitter time.Duration
	// NewID returns a random identity for snapshot and done records.
	NewID func() record.ID
	// StartFromPeers is false for a replica that never takes a peer's snapshot.
	StartFromPeers bool
}

// Parameters come from the settings and may change at any time.
type Parameters struct {
	// BatchInterval is the least time between the starts of two appends.
	BatchInterval time.Duration
	// BatchRecords is the most records in one append.
	BatchRecords int
	// Poll is the time between two reads of an idle stream.
	Poll time.Duration
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Window is the age up to which an idempotency key is accepted.
	Window time.Duration
}

// DefaultParameters are the defaults of the settings.
func DefaultParameters() Parameters {
	return ParametersOf(settings.Empty().Effective(settings.Scope{}))
}

// ParametersOf returns the parameters that a view of the settings holds.
func ParametersOf(v *settings.View) Parameters {
	return Parameters{
		BatchInterval: v.Claims.BatchInterval, BatchRecords: int(v.Claims.BatchRecords), Poll: v.Log.Poll,
		Retention: v.Log.Retention, Window: v.Claims.Window,
	}
}

// Bounds of reads and appends.
const (
	// readMax is the most records asked for in one read.
	readMax = 1000
	// maxBatchBytes bounds one append. A single larger record, such as a snapshot, is appended alone.
	maxBatchBytes = 512 << 10
	// maxInterval bounds how far refusals for rate stretch the interval between appends.
	maxInterval = 160 * time.Millisecond
	// rateGrowth is how fast a VM raises its append rate after a refusal, in appends/s per second.
	rateGrowth = 50
	// chainMemory is the number of offsets whose chain is kept to compare snapshots with.
	chainMemory = 4096
)

// phase is how far the append of a proposal has come.
type phase uint8

const (
	queued phase = iota
	inFlight
	// unknown: the answer was lost. The proposal is decided by reading.
	unknown
	// appended: the log confirmed the append.
	appended
)

// Replica is the state machine of one stream. Events and the time go in through
// its methods, actions come out. It is not safe for concurrent use.
type Replica struct {
	cfg   Config
	p     Parameters
	state *State
	out   []Action

	proposals []*proposal
	// givenUp holds claims whose caller is gone, with the time: when such a record
	// is read as valid, the claim is closed as not run.
	givenUp map[record.ID]time.Time

	appending   bool
	lastAppend  time.Time
	interval    time.Duration
	reading     bool
	readStarted uint64 // appendsDone when the read in flight started
	appendsDone uint64
	lastRead    time.Time
	wantRead    bool

	logUp      bool
	logKnown   bool
	caughtUp   bool
	truncated  bool
	scan       uint64 // offset to look for a snapshot from, while truncated
	highest    uint64
	peers      map[string]uint64
	ready      bool
	snapshotID record.ID
	chains     [chainMemory][32]byte
}

// New returns a replica before the first record.
func New(cfg Config, p Parameters) *Replica {
	return &Replica{
		cfg: cfg, p: p, state: NewState(), interval: p.BatchInterval, logUp: true,
		givenUp: map[record.ID]time.Time{}, peers: map[string]uint64{}, wantRead: true,
	}
}

// State returns the state in force. The caller must not change it.
func (r *Replica) State() *State { return r.state }

// Ready reports whether the replica has heard enough to serve.
func (r *Replica) Ready() bool { return r.ready }

// Stale reports whether a higher offset than the applied one is known to exist.
func (r *Replica) Stale() bool { return r.highest > r.state.Offset }

// Highest returns the highest offset heard of anywhere.
func (r *Replica) Highest() uint64 { return max(r.highest, r.state.Offset) }

// LogUp reports whether the last call to the log was answered.
func (r *Replica) LogUp() bool { return r.logUp }

// Pending returns the number of proposals that are not decided.
func (r *Replica) Pending() int { return len(r.proposals) }

// flush returns the collected actions.
func (r *Replica) flush(now time.Time) []Action {
	r.startAppend(now)
	r.startRead(now)
	r.updateReady()
	out := r.out
	r.out = nil
	return out
}

func (r *Replica) emit(a Action) { r.out = append(r.out, a) }

// Reconfigure replaces the parameters.
func (r *Replica) Reconfigure(p Parameters, now time.Time) []Action {
	r.p = p
	r.interval = max(p.BatchInterval, min(r.interval, maxInterval))
	return r.flush(now)
}

// Tick lets time pass. Wake says when the next one is due.
func (r *Replica) Tick(now time.Time) []Action {
	r.proposeSnapshot(now)
	for id, since := range r.givenUp {
		if now.Sub(since) > r.p.Window {
			delete(r.givenUp, id)
		}
	}
	return r.flush(now)
}

// Wake returns the time of the next due Tick.
func (r *Replica) Wake(now time.Time) time.Time {
	wake := now.Add(r.p.Poll)
	if !r.reading {
		wake = earlier(wake, r.lastRead.Add(r.p.Poll))
	}
	if !r.appending && r.hasQueued() {
		wake = earlier(wake, r.lastAppend.Add(r.interval))
	}
	return wake
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// startRead starts the next read when one is wanted or the poll time has passed.
func (r *Replica) startRead(now time.Time) {
	due := r.lastRead.IsZero() || !now.Before(r.lastRead.Add(r.p.Poll))
	if r.reading || !due && (!r.wantRead || !r.logUp) {
		return
	}
	r.reading, r.wantRead, r.lastRead, r.readStarted = true, false, now, r.appendsDone
	r.emit(ReadAction{From: r.nextOffset(), Max: readMax})
}

// nextOffset returns the offset to read from.
func (r *Replica) nextOffset() uint64 {
	if r.truncated {
		return r.scan
	}
	return r.state.Offset + 1
}

// ReadDone gives the result of the read in flight.
func (r *Replica) ReadDone(batch infra.Batch, err error, now time.Time) []Action {
	r.reading = false
	switch {
	case (err == nil || errors.Is(err, infra.ErrTruncated)) && batch.First > r.nextOffset():
		r.startScan(batch.First)
	case errors.Is(err, infra.ErrTruncated):
		// The state moved past the offset asked for while the read was under way.
		r.wantRead = true
	case errors.Is(err, infra.ErrRateLimited):
	case err != nil:
		r.setLog(false, err)
	case r.truncated:
		r.setLog(true, nil)
		r.scanBatch(batch)
	default:
		r.setLog(true, nil)
		r.applyBatch(batch, now)
	}
	return r.flush(now)
}

// startScan looks for a snapshot record from the oldest retained offset on.
func (r *Replica) startScan(first uint64) {
	r.setLog(true, nil)
	r.truncated, r.scan, r.wantRead = true, first, true
}

// scanBatch restores the first snapshot from which the retained records lead on
// without a gap.
func (r *Replica) scanBatch(batch infra.Batch) {
	for _, lr := range batch.Records {
		r.scan = lr.Offset + 1
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
	r.wantRead = r.scan < batch.Next
}

// restore replaces the state by a snapshot's. It never goes back to a lower offset.
func (r *Replica) restore(snap record.Snapshot) bool {
	if snap.Covers <= r.state.Offset {
		return false
	}
	state, err := decodeState(snap)
	if err != nil {
		return false
	}
	r.state, r.truncated, r.wantRead, r.caughtUp = state, false, true, false
	r.emit(StateAction{State: state})
	r.resolveSkipped()
	for id := range r.givenUp {
		if r.state.Claims.IsOpen(id) {
			r.closeNotRun(id)
		}
	}
	return true
}

// applyBatch applies the records that follow the state without a gap.
func (r *Replica) applyBatch(batch infra.Batch, now time.Time) {
	for _, lr := range batch.Records {
		if lr.Offset == r.state.Offset+1 {
			r.applyRecord(lr, now)
		}
	}
	if batch.Next > 0 {
		r.highest = max(r.highest, batch.Next-1)
	}
	if r.state.Offset+1 < batch.Next {
		r.wantRead = true
		return
	}
	r.logKnown, r.caughtUp = true, true
	r.repeatMissing()
}

// applyRecord applies one record and tells what it decided.
func (r *Replica) applyRecord(lr infra.Record, now time.Time) {
	rec, v := r.state.apply(lr.Data, lr.Offset, lr.AppendedAt)
	r.chains[lr.Offset%chainMemory] = r.state.chain
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
			r.emit(SnapshotAction{Covers: rec.Snapshot.Covers, Own: rec.ID == r.snapshotID, Mismatch: r.differs(rec.Snapshot)})
		}
	}
	r.resolve(rec.ID, v)
	if _, gone := r.givenUp[rec.ID]; gone {
		r.closeNotRun(rec.ID)
	}
}

// differs reports whether a snapshot's chain is not the one here at its offset.
func (r *Replica) differs(snap *record.Snapshot) bool {
	if snap.Covers+chainMemory <= r.state.Offset {
		return false
	}
	want := r.chains[snap.Covers%chainMemory]
	if want == ([32]byte{}) {
		return false
	}
	state, err := decodeState(*snap)
	return err != nil || state.chain != want
}

// SnapshotOffered gives a peer's snapshot, which may also be its answer that it has none (Covers 0).
func (r *Replica) SnapshotOffered(peer string, snap record.Snapshot, now time.Time) []Action {
	r.peers[peer] = snap.Covers
	r.highest = max(r.highest, snap.Covers)
	if r.cfg.StartFromPeers && snap.Covers > 0 && (!r.ready || r.truncated) {
		r.restore(snap)
	}
	return r.flush(now)
}

// HighestHeard gives the highest offset that a peer has heard of.
func (r *Replica) HighestHeard(peer string, offset uint64, now time.Time) []Action {
	if offset > r.highest {
		r.highest = offset
		r.wantRead = true
	}
	return r.flush(now)
}

// Records gives records that a peer relayed, in offset order.
func (r *Replica) Records(records []infra.Record, now time.Time) []Action {
	if !r.truncated {
		for _, lr := range records {
			r.highest = max(r.highest, lr.Offset)
			if lr.Offset == r.state.Offset+1 {
				r.applyRecord(lr, now)
			}
		}
	}
	return r.flush(now)
}

// updateReady applies the readiness rule: the log was read to its end, or half
// of the seed peers answered and the state is at the highest offset they offered.
func (r *Replica) updateReady() {
	if r.ready || r.truncated {
		return
	}
	enough := r.cfg.StartFromPeers && r.cfg.Seeds > 0 && 2*len(r.peers) >= r.cfg.Seeds
	for _, offset := range r.peers {
		enough = enough && offset <= r.state.Offset
	}
	if !enough && !r.logKnown {
		return
	}
	r.ready = true
	r.emit(ReadyAction{})
}

// Snapshot returns a snapshot of the state, for a peer or for the stream.
func (r *Replica) Snapshot(now time.Time) (record.Snapshot, error) {
	data, err := r.state.encode(now.Add(-r.p.Window))
	if err != nil {
		return record.Snapshot{}, err
	}
	return record.Snapshot{Base: r.state.Snapshot, Covers: r.state.Offset, Hash: sha256.Sum256(data), State: data}, nil
}

// snapshotShare is the part of the retention period after which a snapshot is
// due. Two can fail before records are lost that only older ones hold.
const snapshotShare = 3

// proposeSnapshot queues a snapshot when the last one is too old.
func (r *Replica) proposeSnapshot(now time.Time) {
	last := r.state.SnapshotAt
	if last.IsZero() {
		last = r.state.Since
	}
	due := last.Add(r.p.Retention/snapshotShare + r.cfg.Jitter)
	if last.IsZero() || now.Before(due) || !r.logUp || !r.caughtUp || r.truncated || r.snapshotQueued() {
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
	r.snapshotID = id
	r.proposals = append(r.proposals, &proposal{id: id, data: data, snapshot: true, internal: true})
}

func (r *Replica) snapshotQueued() bool {
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
