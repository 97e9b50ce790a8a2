// Package claim implements the register of idempotency claims. The first claim record for
// a key is valid and later ones are void. A done record closes the valid claim.
package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
)

// Ref identifies a combination of team, route and key. It is a truncated SHA-256 hash, so
// that the register's memory does not depend on the length of names.
type Ref [16]byte

// RefOf returns the Ref of a team, route and key.
func RefOf(team fleet.TeamID, route fleet.RouteID, key [16]byte) Ref {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(team), team, len(route), route)
	h.Write(key[:])
	return Ref(h.Sum(nil)[:16])
}

// ParseKey parses an idempotency key, which must be a version 7 UUID (RFC 9562).
func ParseKey(text string) ([16]byte, error) {
	key, err := uuid.Parse(text)
	if err != nil {
		return [16]byte{}, fmt.Errorf("idempotency key: %w", err)
	}
	if _, ok := KeyTime(key); !ok {
		return [16]byte{}, fmt.Errorf("idempotency key %s is not a version 7 UUID", text)
	}
	return key, nil
}

// KeyTime returns the timestamp of a version 7 UUID, and false for any other UUID.
func KeyTime(key [16]byte) (time.Time, bool) {
	if id := uuid.UUID(key); id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var millis [8]byte
	copy(millis[2:], key[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(millis[:]))), true
}

// Verdict is the result of applying a claim record.
type Verdict uint8

// The verdicts on a claim record.
const (
	// Valid: the claim is the first for its key.
	Valid Verdict = iota
	// Duplicate: the record repeats the valid claim.
	Duplicate
	// Taken: another claim is valid for the key.
	Taken
	// Expired: the key's timestamp is before the horizon, or the key has none.
	Expired
)

// entry is the part of a claim that is kept until its key is older than the horizon.
type entry struct {
	keyMillis int64
	// bodyPrefix is the first 8 bytes of the request body's hash.
	bodyPrefix uint64
	// done is the offset of the valid done record, or 0 while the claim is pending.
	// notRunBit is set in it if the record states that nothing was sent.
	done uint64
}

// notRunBit is stored in entry.done, because a separate field would make each entry
// 8 bytes longer.
const notRunBit = 1 << 63

// pendingClaim is the part of a claim that is kept only while it is pending.
type pendingClaim struct {
	id     record.ID
	holder fleet.VMID
	since  time.Time
}

// Register holds the claims of a stream. It is not safe for concurrent use.
type Register struct {
	entries map[Ref]entry
	pending map[Ref]pendingClaim
	refs    map[record.ID]Ref
	// horizon is the key timestamp in milliseconds before which claims are dropped.
	horizon int64
}

// New returns an empty register.
func New() *Register {
	return &Register{entries: map[Ref]entry{}, pending: map[Ref]pendingClaim{}, refs: map[record.ID]Ref{}}
}

// Len returns the number of claims in the register.
func (r *Register) Len() int { return len(r.entries) }

// Horizon returns the key timestamp before which claims are void.
func (r *Register) Horizon() time.Time { return time.UnixMilli(r.horizon) }

// bodyHashPrefix returns the part of a body hash that the register keeps.
func bodyHashPrefix(hash [32]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// Claim applies a claim record. at is the time at which the log appended it.
func (r *Register) Claim(id record.ID, c *record.Claim, at time.Time) Verdict {
	keyTime, ok := KeyTime(c.Key)
	if !ok || keyTime.UnixMilli() < r.horizon {
		return Expired
	}
	ref := RefOf(c.Team, c.Route, c.Key)
	if _, taken := r.entries[ref]; taken {
		if o, ok := r.pending[ref]; ok && o.id == id {
			return Duplicate
		}
		return Taken
	}
	r.entries[ref] = entry{keyMillis: keyTime.UnixMilli(), bodyPrefix: bodyHashPrefix(c.BodyHash)}
	r.pending[ref] = pendingClaim{id: id, holder: c.Holder, since: at}
	r.refs[id] = ref
	return Valid
}

// Done applies the done record at the given offset. It reports whether the record is
// valid, which holds for the first one that names a valid claim.
func (r *Register) Done(d *record.Done, offset uint64) bool {
	ref, ok := r.refs[d.Claim]
	if !ok {
		return false
	}
	e := r.entries[ref]
	e.done = offset
	if d.NotRun {
		e.done |= notRunBit
	}
	r.entries[ref] = e
	delete(r.pending, ref)
	delete(r.refs, d.Claim)
	return true
}

// Advance raises the horizon and drops the claims whose keys are older. A horizon below
// the present one has no effect.
func (r *Register) Advance(horizon time.Time) {
	if horizon.UnixMilli() <= r.horizon {
		return
	}
	r.horizon = horizon.UnixMilli()
	for ref, e := range r.entries {
		if e.keyMillis < r.horizon {
			r.drop(ref)
		}
	}
}

func (r *Register) drop(ref Ref) {
	if o, ok := r.pending[ref]; ok {
		delete(r.refs, o.id)
		delete(r.pending, ref)
	}
	delete(r.entries, ref)
}

// IsPending reports whether the claim record with the given ID is valid and has no done record.
func (r *Register) IsPending(id record.ID) bool {
	_, ok := r.refs[id]
	return ok
}

// Status is the state of a key in the register.
type Status uint8

// The statuses of a key.
const (
	// Free: the key has no claim.
	Free Status = iota
	// Forgotten: the key is older than the horizon or has no timestamp; whether it was
	// claimed is not known.
	Forgotten
	// Reused: the key was claimed with another request body.
	Reused
	// Pending: the claim has no done record.
	Pending
	// Finished: the call ended; Info.DoneOffset is the offset of its done record.
	Finished
	// Abandoned: the holder gave up the claim before it sent the call.
	Abandoned
)

// Info is the state of a key.
type Info struct {
	Status Status
	// Claim is the record ID of a pending claim, and Holder the VM that holds it.
	Claim  record.ID
	Holder fleet.VMID
	// Since is the time at which the log appended a pending claim.
	Since time.Time
	// DoneOffset is the offset of the done record of a finished claim.
	DoneOffset uint64
}

// Lookup returns the state of a key for a request whose body has the given hash.
func (r *Register) Lookup(team fleet.TeamID, route fleet.RouteID, key [16]byte, bodyHash [32]byte) Info {
	keyTime, ok := KeyTime(key)
	if !ok || keyTime.UnixMilli() < r.horizon {
		return Info{Status: Forgotten}
	}
	ref := RefOf(team, route, key)
	e, ok := r.entries[ref]
	switch {
	case !ok:
		return Info{Status: Free}
	case e.bodyPrefix != bodyHashPrefix(bodyHash):
		return Info{Status: Reused}
	case e.done&notRunBit != 0:
		return Info{Status: Abandoned}
	case e.done != 0:
		return Info{Status: Finished, DoneOffset: e.done}
	}
	o := r.pending[ref]
	return Info{Status: Pending, Claim: o.id, Holder: o.holder, Since: o.since}
}

// Saved is the snapshot form of a register.
type Saved struct {
	Horizon int64 `msgpack:"h"`
	// Entries holds the claims sorted by Ref, savedSize bytes each.
	Entries []byte         `msgpack:"e"`
	Pending []SavedPending `msgpack:"o"`
}

// SavedPending is the snapshot form of a pending claim.
type SavedPending struct {
	Ref    []byte     `msgpack:"r"`
	ID     record.ID  `msgpack:"i"`
	Holder fleet.VMID `msgpack:"o"`
	// Since is in nanoseconds since 1970.
	Since int64 `msgpack:"s"`
}

// savedSize is the length of one claim in Saved.Entries: Ref, key timestamp, body hash
// prefix and done offset.
const savedSize = 16 + 8 + 8 + 8

// Save returns the snapshot form of the register. Equal registers give equal results.
func (r *Register) Save() Saved {
	refs := make([]Ref, 0, len(r.entries))
	for ref := range r.entries {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b Ref) int { return bytes.Compare(a[:], b[:]) })
	s := Saved{Horizon: r.horizon, Entries: make([]byte, 0, savedSize*len(refs))}
	for _, ref := range refs {
		s.Entries = appendEntry(s.Entries, ref, r.entries[ref])
		if o, ok := r.pending[ref]; ok {
			s.Pending = append(s.Pending, SavedPending{Ref: bytes.Clone(ref[:]), ID: o.id, Holder: o.holder, Since: o.since.UnixNano()})
		}
	}
	return s
}

func appendEntry(b []byte, ref Ref, e entry) []byte {
	b = append(b, ref[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.keyMillis))
	b = binary.BigEndian.AppendUint64(b, e.bodyPrefix)
	return binary.BigEndian.AppendUint64(b, e.done)
}

// Restore returns the register that a snapshot holds.
func Restore(s Saved) (*Register, error) {
	if len(s.Entries)%savedSize != 0 {
		return nil, fmt.Errorf("claims snapshot: entries of %d bytes are not a multiple of the entry size %d", len(s.Entries), savedSize)
	}
	r := New()
	r.horizon = s.Horizon
	for b := s.Entries; len(b) > 0; b = b[savedSize:] {
		r.entries[Ref(b[:16])] = entry{
			keyMillis: int64(binary.BigEndian.Uint64(b[16:])), bodyPrefix: binary.BigEndian.Uint64(b[24:]),
			done: binary.BigEndian.Uint64(b[32:]),
		}
	}
	for _, o := range s.Pending {
		if len(o.Ref) != len(Ref{}) {
			return nil, fmt.Errorf("claims snapshot: pending claim has an invalid reference of %d bytes", len(o.Ref))
		}
		r.pending[Ref(o.Ref)] = pendingClaim{id: o.ID, holder: o.Holder, since: time.Unix(0, o.Since)}
		r.refs[o.ID] = Ref(o.Ref)
	}
	return r, nil
}
