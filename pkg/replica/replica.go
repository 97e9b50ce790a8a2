package replica

import (
	"crypto/sha256"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/claim"
	"github.com/cornelline/cornelline/pkg/lease"
	"github.com/cornelline/cornelline/pkg/platform"
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

// Action is what the replica wants done or tells.
type Action interface{ action() }

// AppendAction asks for one append; AppendDone answers it.
type AppendAction struct{ Records [][]byte }

// ReadAction asks for one read; ReadDone answers it.
type ReadAction struct {
	From uint64
	Max  int
}

// DecidedAction gives the verdict on a record proposed here.
type DecidedAction struct{ Verdict Verdict }

// UndecidedAction says that a proposed record is given up. Sent is false when it
// was certainly not appended.
type UndecidedAction struct {
	ID   record.ID
	Sent bool
}

// AppliedAction says that a record was applied, whether it is valid or void. It
// comes before the actions that tell what the record decided.
type AppliedAction struct{ Record platform.Record }

// SettingsAction says that a settings record was read; Tree is the tree in force after it.
type SettingsAction struct {
	Tree    *settings.Tree
	Change  record.Settings
	Verdict Verdict
	// At is the log's time of the append.
	At time.Time
}

// LeasesAction says that a lease record was valid.
type LeasesAction struct {
	Leases  *lease.Table
	Lease   record.Lease
	Verdict Verdict
}

// StateAction says that the whole state was replaced by a snapshot.
type StateAction struct{ State *State }

// SnapshotAction says that a snapshot record was valid.
type SnapshotAction struct {
	Covers uint64
	// Mismatch is set when the snapshot differs from the state here.
	Mismatch bool
	// Own is set when this VM wrote it.
	Own bool
}

// ReadyAction says that the replica has become ready. It never becomes unready again.
type ReadyAction struct{}

// LogAction says that the log stopped answering, or answers again.
type LogAction struct {
	Available bool
	Err       error
}

func (AppendAction) action()    {}
func (ReadAction) action()      {}
func (DecidedAction) action()   {}
func (UndecidedAction) action() {}
func (AppliedAction) action()   {}
func (SettingsAction) action()  {}
func (LeasesAction) action()    {}
func (StateAction) action()     {}
func (SnapshotAction) action()  {}
func (ReadyAction) action()     {}
func (LogAction) action()       {}

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

// proposal is a record that this VM wants on the log.
type proposal struct {
	id    record.ID
	data  []byte
	phase phase
	// sent is set once any append of it was tried and not refused.
	sent bool
	// abandoned is set when nobody waits for the verdict any more.
	abandoned bool
	snapshot  bool
	// internal is set for records that the replica itself proposes.
	internal bool
	// skipped is set when a restored snapshot may cover the record: a void
	// verdict on a repetition then doesn't say what became of the first.
	skipped bool
}

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

// Propose queues a record. Its verdict follows once it is read back.
func (r *Replica) Propose(id record.ID, data []byte, now time.Time) []Action {
	r.proposals = append(r.proposals, &proposal{id: id, data: data})
	return r.flush(now)
}

// Abandon tells that nobody waits for a proposal any more. One that was never
// sent is dropped. A claim that is or becomes valid is closed as not run, so it
// must not be sent to the service afterwards.
func (r *Replica) Abandon(id record.ID, now time.Time) []Action {
	for i, p := range r.proposals {
		if p.id != id {
			continue
		}
		p.abandoned = true
		if !p.sent && p.phase == queued {
			r.remove(i)
			r.emit(UndecidedAction{ID: id})
			return r.flush(now)
		}
		r.givenUp[id] = now
		r.emit(UndecidedAction{ID: id, Sent: true})
		return r.flush(now)
	}
	r.closeNotRun(id)
	return r.flush(now)
}

// closeNotRun queues the done record of a claim that was never sent to the service.
func (r *Replica) closeNotRun(claimID record.ID) {
	delete(r.givenUp, claimID)
	if !r.state.Claims.IsOpen(claimID) {
		return
	}
	id := r.cfg.NewID()
	data, err := record.Encode(record.Record{ID: id, Kind: record.KindDone, Done: &record.Done{Claim: claimID, NotRun: true}})
	if err == nil {
		r.proposals = append(r.proposals, &proposal{id: id, data: data, internal: true})
	}
}

func (r *Replica) remove(i int) { r.proposals = append(r.proposals[:i:i], r.proposals[i+1:]...) }

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

func (r *Replica) hasQueued() bool {
	for _, p := range r.proposals {
		if p.phase == queued {
			return true
		}
	}
	return false
}

// startAppend starts the next append when none is in flight and the interval has passed.
func (r *Replica) startAppend(now time.Time) {
	if r.appending || now.Before(r.lastAppend.Add(r.interval)) {
		return
	}
	var batch [][]byte
	size := 0
	for _, p := range r.proposals {
		if p.phase != queued {
			continue
		}
		if len(batch) > 0 && (len(batch) >= r.p.BatchRecords || size+len(p.data) > maxBatchBytes) {
			break
		}
		p.phase, p.sent = inFlight, true
		batch = append(batch, p.data)
		size += len(p.data)
	}
	if len(batch) == 0 {
		return
	}
	r.appending, r.lastAppend = true, now
	r.emit(AppendAction{Records: batch})
}

// AppendDone gives the result of the append in flight.
func (r *Replica) AppendDone(err error, now time.Time) []Action {
	r.appending = false
	r.appendsDone++
	switch {
	case err == nil:
		r.speedUp()
		r.settle(appended, true)
		r.wantRead = true
		r.setLog(true, nil)
	case errors.Is(err, platform.ErrRateLimited):
		// A factor of 2 kept VMs in step, so that one of them was refused again and again.
		r.interval = min(maxInterval, max(r.interval, time.Millisecond)*3/2)
		r.settle(queued, false)
	default:
		r.settle(unknown, true)
		r.wantRead = true
		r.setLog(false, err)
	}
	return r.flush(now)
}

// speedUp raises the append rate by rateGrowth for the time that the interval
// lasted. Growing by time and not by append lets VMs that share a limit approach
// the same rate; with growth by append a refused VM waited for seconds.
func (r *Replica) speedUp() {
	seconds := r.interval.Seconds()
	faster := time.Duration(seconds / (1 + rateGrowth*seconds*seconds) * float64(time.Second))
	r.interval = max(r.p.BatchInterval, faster)
}

// settle moves the proposals of the append in flight to a phase.
func (r *Replica) settle(to phase, sent bool) {
	for _, p := range r.proposals {
		switch {
		case p.phase != inFlight:
		case p.skipped && to == appended:
			p.phase = unknown
		default:
			p.phase, p.sent = to, sent || p.skipped
		}
	}
}

func (r *Replica) setLog(up bool, err error) {
	if up == r.logUp {
		return
	}
	r.logUp = up
	r.emit(LogAction{Available: up, Err: err})
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
func (r *Replica) ReadDone(batch platform.Batch, err error, now time.Time) []Action {
	r.reading = false
	switch {
	case (err == nil || errors.Is(err, platform.ErrTruncated)) && batch.First > r.nextOffset():
		r.startScan(batch.First)
	case errors.Is(err, platform.ErrTruncated):
		// The state moved past the offset asked for while the read was under way.
		r.wantRead = true
	case errors.Is(err, platform.ErrRateLimited):
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
func (r *Replica) scanBatch(batch platform.Batch) {
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

// resolveSkipped handles the proposals whose records may lie in the offsets that
// a snapshot skipped. A valid claim shows in the state. Others are appended again
// with the same identity.
func (r *Replica) resolveSkipped() {
	kept := r.proposals[:0:0]
	for _, p := range r.proposals {
		if p.sent && r.state.Claims.IsOpen(p.id) {
			r.decided(p, Verdict{ID: p.id, Offset: r.state.Offset})
			continue
		}
		p.skipped = p.skipped || p.sent
		if p.phase == appended || p.phase == unknown {
			p.phase = queued
		}
		kept = append(kept, p)
	}
	r.proposals = kept
}

// applyBatch applies the records that follow the state without a gap.
func (r *Replica) applyBatch(batch platform.Batch, now time.Time) {
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
func (r *Replica) applyRecord(lr platform.Record, now time.Time) {
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

// resolve decides the proposal of a record that was read.
func (r *Replica) resolve(id record.ID, v Verdict) {
	for i, p := range r.proposals {
		if p.id != id {
			continue
		}
		r.remove(i)
		r.decided(p, v)
		return
	}
}

// decided tells the verdict on an own proposal, unless nobody waits for it.
func (r *Replica) decided(p *proposal, v Verdict) {
	switch {
	case p.abandoned, p.internal:
	case p.skipped && !v.Valid():
		r.emit(UndecidedAction{ID: p.id, Sent: true})
	default:
		r.emit(DecidedAction{Verdict: v})
	}
}

// repeatMissing queues again, with the same identity, the proposals whose
// answer was lost and which a later read to the end of the stream didn't show.
// An abandoned one is dropped instead; should it still arrive, givenUp closes it.
func (r *Replica) repeatMissing() {
	if r.readStarted != r.appendsDone {
		return
	}
	kept := r.proposals[:0:0]
	for _, p := range r.proposals {
		if p.phase == unknown && p.abandoned {
			continue
		}
		if p.phase == unknown {
			p.phase = queued
		}
		kept = append(kept, p)
	}
	r.proposals = kept
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
func (r *Replica) Records(records []platform.Record, now time.Time) []Action {
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
