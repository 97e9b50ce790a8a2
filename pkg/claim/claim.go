// Package claim holds the register of idempotency claims. The first claim
// record for a key is valid, later ones are void; a done record closes it.
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

// Ref identifies a (team, route, key). It is a truncated SHA-256 hash, so that
// the register's memory doesn't depend on the length of names.
type Ref [16]byte

// RefOf returns the Ref of a key.
func RefOf(team fleet.TeamID, route fleet.RouteID, key [16]byte) Ref {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s%d:%s", len(team), team, len(route), route)
	h.Write(key[:])
	return Ref(h.Sum(nil)[:16])
}

// ParseKey parses an idempotency key, which is a version 7 UUID (RFC 9562).
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

// KeyTime returns the time that a version 7 UUID carries, and false for any other UUID.
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
	// Expired: the key's time is below the horizon, or the key carries none.
	Expired
)

// entry is what the register keeps of each claim.
type entry struct {
	keyMillis int64
	// body is the start of the body's hash.
	body uint64
	// done is the offset of the valid done record, 0 while the claim is pending,
	// with notRunBit set when the record states that nothing was sent.
	done uint64
}

// notRunBit shares the word of the offset, because a field of its own would
// lengthen each entry by 8 bytes.
const notRunBit = 1 << 63

// open is what the register keeps beside the entry while a claim is pending.
type open struct {
	id     record.ID
	holder fleet.VMID
	since  time.Time
}

// Register holds the claims of a stream. It is not safe for concurrent use.
type Register struct {
	entries map[Ref]entry
	open    map[Ref]open
	refs    map[record.ID]Ref
	// horizon is the key time in milliseconds below which claims are forgotten.
	horizon int64
}

// New returns an empty register.
func New() *Register {
	return &Register{entries: map[Ref]entry{}, open: map[Ref]open{}, refs: map[record.ID]Ref{}}
}

// Len returns the number of claims held.
func (r *Register) Len() int { return len(r.entries) }

// Horizon returns the key time below which claims are void.
func (r *Register) Horizon() time.Time { return time.UnixMilli(r.horizon) }

// bodyOf returns the part of a body hash that the register keeps.
func bodyOf(hash [32]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// Claim applies a claim record that the log appended at the given time.
func (r *Register) Claim(id record.ID, c *record.Claim, at time.Time) Verdict {
	keyTime, ok := KeyTime(c.Key)
	if !ok || keyTime.UnixMilli() < r.horizon {
		return Expired
	}
	ref := RefOf(c.Team, c.Route, c.Key)
	if _, taken := r.entries[ref]; taken {
		if o, ok := r.open[ref]; ok && o.id == id {
			return Duplicate
		}
		return Taken
	}
	r.entries[ref] = entry{keyMillis: keyTime.UnixMilli(), body: bodyOf(c.BodyHash)}
	r.open[ref] = open{id: id, holder: c.Holder, since: at}
	r.refs[id] = ref
	return Valid
}

// Done applies a done record at the given offset. It reports whether it is
// valid: the first one that names a valid claim.
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
	delete(r.open, ref)
	delete(r.refs, d.Claim)
	return true
}

// Advance forgets the claims whose key is older than the horizon. It never goes back.
func (r *Register) Advance(horizon time.Time) {
	if horizon.UnixMilli() <= r.horizon {
		return
	}
	r.horizon = horizon.UnixMilli()
	for ref, e := range r.entries {
		if e.keyMillis < r.horizon {
			r.forget(ref)
		}
	}
}

func (r *Register) forget(ref Ref) {
	if o, ok := r.open[ref]; ok {
		delete(r.refs, o.id)
		delete(r.open, ref)
	}
	delete(r.entries, ref)
}

// IsOpen reports whether the claim record with the identity is valid and has no done record.
func (r *Register) IsOpen(id record.ID) bool {
	_, ok := r.refs[id]
	return ok
}

// Status is what the register knows about a key.
type Status uint8

// The statuses of a key.
const (
	// Free: no claim is known.
	Free Status = iota
	// Forgotten: the key is below the horizon.
	Forgotten
	// Reused: the key was claimed with another body.
	Reused
	// Pending: the claim has no done record.
	Pending
	// Finished: the call ended; Info.DoneOffset names its done record.
	Finished
	// Abandoned: the holder gave the claim up before sending.
	Abandoned
)

// Info is the state of a key.
type Info struct {
	Status Status
	// Claim, Holder and Since describe a pending claim; Since is the log's time of its append.
	Claim  record.ID
	Holder fleet.VMID
	Since  time.Time
	// DoneOffset is the offset of the done record of a finished claim.
	DoneOffset uint64
}

// Lookup returns the state of a key for a request with the given body.
func (r *Register) Lookup(team fleet.TeamID, route fleet.RouteID, key [16]byte, body [32]byte) Info {
	keyTime, ok := KeyTime(key)
	if !ok || keyTime.UnixMilli() < r.horizon {
		return Info{Status: Forgotten}
	}
	ref := RefOf(team, route, key)
	e, ok := r.entries[ref]
	switch {
	case !ok:
		return Info{Status: Free}
	case e.body != bodyOf(body):
		return Info{Status: Reused}
	case e.done&notRunBit != 0:
		return Info{Status: Abandoned}
	case e.done != 0:
		return Info{Status: Finished, DoneOffset: e.done}
	}
	o := r.open[ref]
	return Info{Status: Pending, Claim: o.id, Holder: o.holder, Since: o.since}
}

// Saved is the register in a snapshot.
type Saved struct {
	Horizon int64 `msgpack:"h"`
	// Entries holds the claims in order of their Ref, savedSize bytes each.
	Entries []byte      `msgpack:"e"`
	Open    []SavedOpen `msgpack:"o"`
}

// SavedOpen is a pending claim in a snapshot.
type SavedOpen struct {
	Ref    []byte     `msgpack:"r"`
	ID     record.ID  `msgpack:"i"`
	Holder fleet.VMID `msgpack:"o"`
	// Since is in nanoseconds since 1970.
	Since int64 `msgpack:"s"`
}

// savedSize is the length of one claim in Saved.Entries: Ref, key time, body, done offset.
const savedSize = 16 + 8 + 8 + 8

// Save returns the register's content. Equal registers give equal results.
func (r *Register) Save() Saved {
	refs := make([]Ref, 0, len(r.entries))
	for ref := range r.entries {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b Ref) int { return bytes.Compare(a[:], b[:]) })
	s := Saved{Horizon: r.horizon, Entries: make([]byte, 0, savedSize*len(refs))}
	for _, ref := range refs {
		s.Entries = appendEntry(s.Entries, ref, r.entries[ref])
		if o, ok := r.open[ref]; ok {
			s.Open = append(s.Open, SavedOpen{Ref: bytes.Clone(ref[:]), ID: o.id, Holder: o.holder, Since: o.since.UnixNano()})
		}
	}
	return s
}

func appendEntry(b []byte, ref Ref, e entry) []byte {
	b = append(b, ref[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(e.keyMillis))
	b = binary.BigEndian.AppendUint64(b, e.body)
	return binary.BigEndian.AppendUint64(b, e.done)
}

// Restore returns the register of a snapshot.
func Restore(s Saved) (*Register, error) {
	if len(s.Entries)%savedSize != 0 {
		return nil, fmt.Errorf("claims snapshot: %d bytes are not a multiple of %d", len(s.Entries), savedSize)
	}
	r := New()
	r.horizon = s.Horizon
	for b := s.Entries; len(b) > 0; b = b[savedSize:] {
		r.entries[Ref(b[:16])] = entry{
			keyMillis: int64(binary.BigEndian.Uint64(b[16:])), body: binary.BigEndian.Uint64(b[24:]),
			done: binary.BigEndian.Uint64(b[32:]),
		}
	}
	for _, o := range s.Open {
		if len(o.Ref) != len(Ref{}) {
			return nil, fmt.Errorf("claims snapshot: reference of %d bytes", len(o.Ref))
		}
		r.open[Ref(o.Ref)] = open{id: o.ID, holder: o.Holder, since: time.Unix(0, o.Since)}
		r.refs[o.ID] = Ref(o.Ref)
	}
	return r, nil
}
