// Package record defines the records that the router stores on the platform's
// log, and their codec. Every reader of a stream applies its records in offset
// order by the same rules, so the order on the log resolves conflicts between
// concurrent writers.
package record

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ID is the identity of a record. A later record with the same ID is a
// repeated append and is void.
type ID [16]byte

// NewID returns a random ID.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error since Go 1.24
	return id
}

// String returns the ID in hexadecimal.
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
	// Base is the version of the branch that the change builds on: the offset of the
	// branch's last valid settings record, or 0 for a branch that does not exist yet.
	Base uint64 `msgpack:"v"`
	// Value holds the branch's own overrides as JSON. An empty value removes the branch.
	Value  []byte `msgpack:"j"`
	Author string `msgpack:"a"`
}

// Claim reserves an idempotency key for one VM.
type Claim struct {
	Team  fleet.TeamID  `msgpack:"t"`
	Route fleet.RouteID `msgpack:"r"`
	// Key is the caller's idempotency key, a version 7 UUID.
	Key      [16]byte `msgpack:"k"`
	BodyHash [32]byte `msgpack:"h"`
	// Holder is the VM that may send the call.
	Holder fleet.VMID `msgpack:"o"`
}

// Done records the outcome of a claim.
type Done struct {
	// Claim is the ID of the claim record.
	Claim ID `msgpack:"c"`
	// NotRun is set when the holder abandoned the claim without sending the request.
	NotRun bool `msgpack:"n,omitempty"`
	// Status, ContentType and Body are those of the service's response.
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"y"`
	Body        []byte `msgpack:"b"`
}

// Lease acquires or renews the ownership of a resource.
type Lease struct {
	Resource string     `msgpack:"r"`
	Holder   fleet.VMID `msgpack:"o"`
	// Base is the epoch that the record builds on. If the record is valid, the epoch
	// becomes Base+1.
	Base uint64 `msgpack:"e"`
}

// Snapshot carries the whole state of a stream up to an offset.
type Snapshot struct {
	// Base is the offset of the previous valid snapshot record, or 0 for the first one.
	Base uint64 `msgpack:"b"`
	// Covers is the last offset that the state includes.
	Covers uint64 `msgpack:"c"`
	// Hash is the SHA-256 hash of State.
	Hash  [32]byte `msgpack:"h"`
	State []byte   `msgpack:"s"`
}

// Record is one record of a stream. The body field that Kind names must be set.
type Record struct {
	ID       ID        `msgpack:"i"`
	Kind     Kind      `msgpack:"k"`
	Settings *Settings `msgpack:"s,omitempty"`
	Claim    *Claim    `msgpack:"c,omitempty"`
	Done     *Done     `msgpack:"d,omitempty"`
	Lease    *Lease    `msgpack:"l,omitempty"`
	Snapshot *Snapshot `msgpack:"p,omitempty"`
}

// Encode returns the record encoded as msgpack.
func Encode(r Record) ([]byte, error) {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record %s: %w", r.ID, err)
	}
	return data, nil
}

// Decode decodes a record and checks that the body that its kind names is set.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	if !r.hasBody() {
		return Record{}, fmt.Errorf("decode record %s: body of kind %d is missing or the kind is unknown", r.ID, r.Kind)
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
