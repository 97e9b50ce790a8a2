// Package record defines the records that the router keeps on the platform's
// log, and their codec. Every reader of a stream applies its records in offset
// order by the same rules, so that the log alone decides between processes
// that disagree.
package record

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ID is the identity of a record. A second record with the same ID is a
// repeated append and is void.
type ID [16]byte

// NewID returns a random identity.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error since Go 1.24
	return id
}

// String formats the identity in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	KindSettings Kind = iota + 1
	KindClaim
	KindDone
	KindLease
	KindSnapshot
)

// Settings changes one branch of the settings tree.
type Settings struct {
	Branch string `msgpack:"b"`
	// Base is the version of the branch that the change builds on: the offset of
	// its last counting record, 0 for a branch that does not exist yet.
	Base uint64 `msgpack:"v"`
	// Value is the branch's own overrides as JSON; empty removes the branch.
	Value  []byte `msgpack:"j"`
	Author string `msgpack:"a"`
}

// Claim reserves an idempotency key for one sender.
type Claim struct {
	Team  fleet.TeamID  `msgpack:"t"`
	Route fleet.RouteID `msgpack:"r"`
	// Key is the caller's idempotency key, a version 7 UUID.
	Key      [16]byte   `msgpack:"k"`
	BodyHash [32]byte   `msgpack:"h"`
	Holder   fleet.VMID `msgpack:"o"`
}

// Done records the outcome of a claim.
type Done struct {
	// Claim is the identity of the claim record.
	Claim ID `msgpack:"c"`
	// NotRun states that the holder gave the claim up before it sent the request.
	NotRun      bool   `msgpack:"n,omitempty"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"y"`
	Body        []byte `msgpack:"b"`
}

// Lease takes or renews the ownership of a resource.
type Lease struct {
	Resource string     `msgpack:"r"`
	Holder   fleet.VMID `msgpack:"o"`
	// Base is the epoch that the record builds on. When it counts, the epoch becomes Base+1.
	Base uint64 `msgpack:"e"`
}

// Snapshot carries the whole state of a stream up to an offset.
type Snapshot struct {
	// Base is the offset of the snapshot record that this one follows, 0 for the first.
	Base uint64 `msgpack:"b"`
	// Covers is the last offset whose effect the state holds.
	Covers uint64   `msgpack:"c"`
	Hash   [32]byte `msgpack:"h"`
	State  []byte   `msgpack:"s"`
}

// Record is one record of a stream. Exactly the body that Kind names is set.
type Record struct {
	ID       ID        `msgpack:"i"`
	Kind     Kind      `msgpack:"k"`
	Settings *Settings `msgpack:"s,omitempty"`
	Claim    *Claim    `msgpack:"c,omitempty"`
	Done     *Done     `msgpack:"d,omitempty"`
	Lease    *Lease    `msgpack:"l,omitempty"`
	Snapshot *Snapshot `msgpack:"p,omitempty"`
}

// Encode returns the record as msgpack.
func Encode(r Record) ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// Decode parses a record and checks that the body fits its kind.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	if !r.hasBody() {
		return Record{}, fmt.Errorf("decode record %s: kind %d without its body", r.ID, r.Kind)
	}
	return r, nil
}

// hasBody reports whether the body that Kind names is set.
func (r Record) hasBody() bool {
	switch r.Kind {
	case KindSettings:
		return r.Settings != nil
	case KindClaim:
		return r.Claim != nil
	case KindDone:
		return r.Done != nil
	case KindLease:
		return r.Lease != nil
	case KindSnapshot:
		return r.Snapshot != nil
	}
	return false
}
