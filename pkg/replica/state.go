// Package replica implements a replicated state machine over one stream of the
// platform's log. It applies records in offset order to the settings tree, the
// claims and the leases, and appends this VM's records, repeating an append until
// the record is read back.
package replica

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/claim"
	"github.com/cornelline/cornelline/pkg/lease"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/settings"
)

// Reason is the outcome of validating a record: Accepted, or why the record is void.
type Reason uint8

// Outcomes of validating a record.
const (
	// Accepted: the record is valid.
	Accepted Reason = iota
	// Duplicate: an earlier record has the same identity.
	Duplicate
	// Conflict: the record builds on a version, epoch or snapshot that is no longer current.
	Conflict
	// Invalid: the settings don't pass the checks.
	Invalid
	// KeyClaimed: another claim on the key is valid.
	KeyClaimed
	// Expired: the key is older than the horizon.
	Expired
	// UnknownClaim: the done record names no pending claim.
	UnknownClaim
	// Malformed: the record can't be decoded.
	Malformed
)

// Verdict is the result of validating one record. Every reader of the stream
// reaches the same verdict.
type Verdict struct {
	ID     record.ID
	Offset uint64
	Reason Reason
	// Err is the *settings.ConflictError or *settings.CheckError of a void settings
	// change, or the decoding error of a malformed record.
	Err error
	// Epoch is the new epoch of a valid lease record.
	Epoch uint64
}

// Valid reports whether the record is valid.
func (v Verdict) Valid() bool { return v.Reason == Accepted }

// State is the result of applying the records of one stream up to an offset.
type State struct {
	// Offset is the last applied offset.
	Offset uint64
	Tree   *settings.Tree
	Claims *claim.Register
	Leases *lease.Table
	// Snapshot is the offset of the last valid snapshot record.
	Snapshot uint64
	// SnapshotAt is the log's timestamp of the last valid snapshot record.
	SnapshotAt time.Time
	// FirstAppendedAt is the log's timestamp of the first record. The time until
	// the first snapshot is due counts from it.
	FirstAppendedAt time.Time
	// voidIDs maps the identities of void records to their offsets. It holds those
	// that a repeated append could otherwise make valid later.
	voidIDs map[record.ID]uint64
	// verdictHash is a hash chain over the verdicts on all records. Replicas that
	// disagree on any verdict have different hashes.
	verdictHash [32]byte
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{Tree: settings.Empty(), Claims: claim.New(), Leases: lease.NewTable(), voidIDs: map[record.ID]uint64{}}
}

// apply decodes and validates one record and applies it if it is valid.
func (s *State) apply(data []byte, offset uint64, at time.Time) (record.Record, Verdict) {
	s.Offset = offset
	if s.FirstAppendedAt.IsZero() {
		s.FirstAppendedAt = at
	}
	rec, err := record.Decode(data)
	v := Verdict{ID: rec.ID, Offset: offset, Reason: Malformed, Err: err}
	if err == nil {
		v = s.decide(rec, offset, at)
	}
	s.extendVerdictHash(v)
	return rec, v
}

// decide returns the verdict on a decoded record and applies it if it is valid.
func (s *State) decide(rec record.Record, offset uint64, at time.Time) Verdict {
	v := Verdict{ID: rec.ID, Offset: offset}
	if _, seen := s.voidIDs[rec.ID]; seen {
		v.Reason = Duplicate
		return v
	}
	switch rec.Kind {
	case record.KindSettings:
		s.applySettings(rec, &v)
	case record.KindClaim:
		v.Reason = claimReasons[s.Claims.Claim(rec.ID, rec.Claim, at)]
	case record.KindDone:
		if !s.Claims.Done(rec.Done, offset) {
			v.Reason = UnknownClaim
			s.voidIDs[rec.ID] = offset
		}
	case record.KindLease:
		s.applyLease(rec, &v)
	case record.KindSnapshot:
		s.applySnapshot(rec, &v, at)
	}
	return v
}

var claimReasons = map[claim.Verdict]Reason{
	claim.Valid: Accepted, claim.Duplicate: Duplicate, claim.Taken: KeyClaimed, claim.Expired: Expired,
}

func (s *State) applySettings(rec record.Record, v *Verdict) {
	tree, err := s.Tree.Apply(*rec.Settings, v.Offset)
	var conflict *settings.ConflictError
	switch {
	case err == nil:
		s.Tree = tree
	case errors.As(err, &conflict):
		v.Reason, v.Err = Conflict, err
	default:
		v.Reason, v.Err = Invalid, err
		s.voidIDs[rec.ID] = v.Offset
	}
}

func (s *State) applyLease(rec record.Record, v *Verdict) {
	leases, ok := s.Leases.Apply(rec.Lease, v.Offset)
	if !ok {
		v.Reason = Conflict
		return
	}
	s.Leases = leases
	v.Epoch = leases.Get(rec.Lease.Resource).Epoch
}

// applySnapshot accepts the first snapshot for its base. It advances the claims'
// horizon and drops void identities older than the base. These are older than a
// third of the retention period.
func (s *State) applySnapshot(rec record.Record, v *Verdict, at time.Time) {
	if rec.Snapshot.Base != s.Snapshot {
		v.Reason = Conflict
		return
	}
	for id, offset := range s.voidIDs {
		if offset < s.Snapshot {
			delete(s.voidIDs, id)
		}
	}
	s.Snapshot, s.SnapshotAt = v.Offset, at
	if horizon, err := horizonOf(rec.Snapshot.State); err == nil {
		s.Claims.Advance(horizon)
	}
}

// extendVerdictHash adds a verdict to the hash chain.
func (s *State) extendVerdictHash(v Verdict) {
	buffer := make([]byte, 0, 32+8+16+1)
	buffer = append(buffer, s.verdictHash[:]...)
	buffer = binary.BigEndian.AppendUint64(buffer, v.Offset)
	buffer = append(buffer, v.ID[:]...)
	buffer = append(buffer, byte(v.Reason))
	s.verdictHash = sha256.Sum256(buffer)
}

// savedState is the serialized form of a State.
type savedState struct {
	Offset          uint64           `msgpack:"o"`
	Branches        []settings.Saved `msgpack:"b"`
	Claims          claim.Saved      `msgpack:"c"`
	Leases          []lease.Saved    `msgpack:"l"`
	Snapshot        uint64           `msgpack:"s"`
	SnapshotAt      int64            `msgpack:"t"`
	FirstAppendedAt int64            `msgpack:"f"`
	VoidIDs         []savedVoidID    `msgpack:"v"`
	VerdictHash     [32]byte         `msgpack:"x"`
}

type savedVoidID struct {
	ID     record.ID `msgpack:"i"`
	Offset uint64    `msgpack:"o"`
}

// envelope is the decoded content of record.Snapshot.State.
type envelope struct {
	// Horizon is a Unix time in milliseconds. Once the snapshot is valid, claims on
	// keys older than it are void.
	Horizon int64  `msgpack:"h"`
	State   []byte `msgpack:"s"`
}

func horizonOf(data []byte) (time.Time, error) {
	var e envelope
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return time.Time{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return time.UnixMilli(e.Horizon), nil
}

// unixNano returns t in nanoseconds since the Unix epoch, or 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNano is the inverse of unixNano.
func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

// encode serializes the state for record.Snapshot.State. The horizon takes effect
// once the snapshot record is valid.
func (s *State) encode(horizon time.Time) ([]byte, error) {
	out := savedState{
		Offset: s.Offset, Branches: s.Tree.Save(), Claims: s.Claims.Save(), Leases: s.Leases.Save(),
		Snapshot: s.Snapshot, SnapshotAt: unixNano(s.SnapshotAt), FirstAppendedAt: unixNano(s.FirstAppendedAt), VerdictHash: s.verdictHash,
	}
	for id, offset := range s.voidIDs {
		out.VoidIDs = append(out.VoidIDs, savedVoidID{ID: id, Offset: offset})
	}
	slices.SortFunc(out.VoidIDs, func(a, b savedVoidID) int { return bytes.Compare(a.ID[:], b.ID[:]) })
	data, err := msgpack.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	data, err = msgpack.Marshal(envelope{Horizon: horizon.UnixMilli(), State: data})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// decodeState checks a snapshot's hash and offset and returns the state in it.
func decodeState(snap record.Snapshot) (*State, error) {
	if sha256.Sum256(snap.State) != snap.Hash {
		return nil, errors.New("decode snapshot: the state does not match its SHA-256 hash")
	}
	var e envelope
	if err := msgpack.Unmarshal(snap.State, &e); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	var in savedState
	if err := msgpack.Unmarshal(e.State, &in); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if in.Offset != snap.Covers {
		return nil, fmt.Errorf("decode snapshot: record covers offset %d, but its state ends at offset %d", snap.Covers, in.Offset)
	}
	return in.state()
}

func (in *savedState) state() (*State, error) {
	tree, err := settings.Restore(in.Branches)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	claims, err := claim.Restore(in.Claims)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s := &State{
		Offset: in.Offset, Tree: tree, Claims: claims, Leases: lease.Restore(in.Leases), verdictHash: in.VerdictHash,
		Snapshot: in.Snapshot, SnapshotAt: fromUnixNano(in.SnapshotAt), FirstAppendedAt: fromUnixNano(in.FirstAppendedAt),
		voidIDs: make(map[record.ID]uint64, len(in.VoidIDs)),
	}
	for _, v := range in.VoidIDs {
		s.voidIDs[v.ID] = v.Offset
	}
	return s, nil
}
