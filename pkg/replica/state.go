// Package replica applies one stream of the log in offset order to the settings
// tree, the claims and the leases, and appends records until they are read back.
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

// Reason says why a record is void.
type Reason uint8

// The reasons.
const (
	// Counted: the record is valid.
	Counted Reason = iota
	// Repeated: a record with the same identity came before.
	Repeated
	// Conflict: the record builds on a version, epoch or snapshot that is no longer current.
	Conflict
	// Invalid: the settings don't pass the checks.
	Invalid
	// Taken: another claim is valid for the key.
	Taken
	// Expired: the key is below the horizon.
	Expired
	// UnknownClaim: the done record names no pending claim.
	UnknownClaim
	// Malformed: the record can't be decoded.
	Malformed
)

// Verdict is the decision on one record, the same for every reader of the stream.
type Verdict struct {
	ID     record.ID
	Offset uint64
	Reason Reason
	// Err is the *settings.ConflictError or *settings.CheckError of a void settings change.
	Err error
	// Epoch is the new epoch of a valid lease record.
	Epoch uint64
}

// Valid reports whether the record is valid.
func (v Verdict) Valid() bool { return v.Reason == Counted }

// State is what the records of one stream up to an offset decide.
type State struct {
	// Offset is the last applied offset.
	Offset uint64
	Tree   *settings.Tree
	Claims *claim.Register
	Leases *lease.Table
	// Snapshot is the offset of the last valid snapshot record, and SnapshotAt the log's time of its append.
	Snapshot   uint64
	SnapshotAt time.Time
	// Since is the log's time of the first record, from which the first snapshot is due.
	Since time.Time
	// void holds the identities whose repetition could otherwise become valid
	// later, with their offsets.
	void map[record.ID]uint64
	// chain is a hash over the verdicts on all records. Replicas that differ in
	// any verdict differ in it.
	chain [32]byte
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{Tree: settings.Empty(), Claims: claim.New(), Leases: lease.NewTable(), void: map[record.ID]uint64{}}
}

// apply applies one record.
func (s *State) apply(data []byte, offset uint64, at time.Time) (record.Record, Verdict) {
	s.Offset = offset
	if s.Since.IsZero() {
		s.Since = at
	}
	rec, err := record.Decode(data)
	v := Verdict{ID: rec.ID, Offset: offset, Reason: Malformed, Err: err}
	if err == nil {
		v = s.decide(rec, offset, at)
	}
	s.link(v)
	return rec, v
}

// decide returns the verdict on a record and applies it if it is valid.
func (s *State) decide(rec record.Record, offset uint64, at time.Time) Verdict {
	v := Verdict{ID: rec.ID, Offset: offset}
	if _, seen := s.void[rec.ID]; seen {
		v.Reason = Repeated
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
			s.void[rec.ID] = offset
		}
	case record.KindLease:
		s.applyLease(rec, &v)
	case record.KindSnapshot:
		s.applySnapshot(rec, &v, at)
	}
	return v
}

var claimReasons = map[claim.Verdict]Reason{
	claim.Valid: Counted, claim.Duplicate: Repeated, claim.Taken: Taken, claim.Expired: Expired,
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
		s.void[rec.ID] = v.Offset
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

// applySnapshot makes the first snapshot for its base valid. It advances the
// claims' horizon and forgets void identities older than the base, which are
// older than a third of the retention period.
func (s *State) applySnapshot(rec record.Record, v *Verdict, at time.Time) {
	if rec.Snapshot.Base != s.Snapshot {
		v.Reason = Conflict
		return
	}
	for id, offset := range s.void {
		if offset < s.Snapshot {
			delete(s.void, id)
		}
	}
	s.Snapshot, s.SnapshotAt = v.Offset, at
	if horizon, err := horizonOf(rec.Snapshot.State); err == nil {
		s.Claims.Advance(horizon)
	}
}

// link extends the chain by a verdict.
func (s *State) link(v Verdict) {
	buffer := make([]byte, 0, 32+8+16+1)
	buffer = append(buffer, s.chain[:]...)
	buffer = binary.BigEndian.AppendUint64(buffer, v.Offset)
	buffer = append(buffer, v.ID[:]...)
	buffer = append(buffer, byte(v.Reason))
	s.chain = sha256.Sum256(buffer)
}

// saved is the encoded form of a State.
type saved struct {
	Offset     uint64           `msgpack:"o"`
	Branches   []settings.Saved `msgpack:"b"`
	Claims     claim.Saved      `msgpack:"c"`
	Leases     []lease.Saved    `msgpack:"l"`
	Snapshot   uint64           `msgpack:"s"`
	SnapshotAt int64            `msgpack:"t"`
	Since      int64            `msgpack:"f"`
	Void       []savedVoid      `msgpack:"v"`
	Chain      [32]byte         `msgpack:"x"`
}

type savedVoid struct {
	ID     record.ID `msgpack:"i"`
	Offset uint64    `msgpack:"o"`
}

// envelope is the content of a snapshot record's State.
type envelope struct {
	// Horizon is the key time in milliseconds below which claims are void once the snapshot is valid.
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

// unixNano is 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n).UTC()
}

// encode returns the state as a snapshot record's State, with the horizon that
// comes into force when that record is valid.
func (s *State) encode(horizon time.Time) ([]byte, error) {
	out := saved{
		Offset: s.Offset, Branches: s.Tree.Save(), Claims: s.Claims.Save(), Leases: s.Leases.Save(),
		Snapshot: s.Snapshot, SnapshotAt: unixNano(s.SnapshotAt), Since: unixNano(s.Since), Chain: s.chain,
	}
	for id, offset := range s.void {
		out.Void = append(out.Void, savedVoid{ID: id, Offset: offset})
	}
	slices.SortFunc(out.Void, func(a, b savedVoid) int { return bytes.Compare(a.ID[:], b.ID[:]) })
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

// decodeState returns the state in a snapshot, after checking its hash.
func decodeState(snap record.Snapshot) (*State, error) {
	if sha256.Sum256(snap.State) != snap.Hash {
		return nil, errors.New("decode snapshot: the hash does not match")
	}
	var e envelope
	if err := msgpack.Unmarshal(snap.State, &e); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	var in saved
	if err := msgpack.Unmarshal(e.State, &in); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if in.Offset != snap.Covers {
		return nil, fmt.Errorf("decode snapshot: covers %d, holds %d", snap.Covers, in.Offset)
	}
	return in.state()
}

func (in *saved) state() (*State, error) {
	tree, err := settings.Restore(in.Branches)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	claims, err := claim.Restore(in.Claims)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s := &State{
		Offset: in.Offset, Tree: tree, Claims: claims, Leases: lease.Restore(in.Leases), chain: in.Chain,
		Snapshot: in.Snapshot, SnapshotAt: fromUnixNano(in.SnapshotAt), Since: fromUnixNano(in.Since),
		void: make(map[record.ID]uint64, len(in.Void)),
	}
	for _, v := range in.Void {
		s.void[v.ID] = v.Offset
	}
	return s, nil
}
