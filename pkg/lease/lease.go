// Package lease holds the ownership epochs that lease records decide. The epoch
// is the fencing token of all orders for a resource.
package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
)

// Entry is the ownership of a resource.
type Entry struct {
	Epoch  uint64     `msgpack:"e"`
	Holder fleet.VMID `msgpack:"o"`
	// Offset is the offset of the lease record.
	Offset uint64 `msgpack:"f"`
}

// Table holds the ownership of all resources. It is immutable; Apply returns a new one.
type Table struct{ entries map[string]Entry }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Get returns the ownership of a resource; the zero Entry when nobody ever held it.
func (t *Table) Get(resource string) Entry { return t.entries[resource] }

// Apply applies a lease record. A record that doesn't build on the current
// epoch is void: the table is returned unchanged, with false.
func (t *Table) Apply(l *record.Lease, offset uint64) (*Table, bool) {
	current := t.entries[l.Resource]
	if l.Base != current.Epoch {
		return t, false
	}
	next := &Table{entries: maps.Clone(t.entries)}
	if next.entries == nil {
		next.entries = map[string]Entry{}
	}
	next.entries[l.Resource] = Entry{Epoch: current.Epoch + 1, Holder: l.Holder, Offset: offset}
	return next, true
}

// Saved is one resource in a snapshot.
type Saved struct {
	Resource string `msgpack:"r"`
	Entry    Entry  `msgpack:"e"`
}

// Save returns the table sorted by resource.
func (t *Table) Save() []Saved {
	var all []Saved
	for resource, e := range t.entries {
		all = append(all, Saved{Resource: resource, Entry: e})
	}
	slices.SortFunc(all, func(a, b Saved) int { return strings.Compare(a.Resource, b.Resource) })
	return all
}

// Restore returns the table of a snapshot.
func Restore(saved []Saved) *Table {
	t := &Table{entries: make(map[string]Entry, len(saved))}
	for _, s := range saved {
		t.entries[s.Resource] = s.Entry
	}
	return t
}

// Move is what a VM does about a resource.
type Move uint8

// The moves.
const (
	// Wait: another VM holds the lease and its period has not passed.
	Wait Move = iota
	// Hold: this VM holds the lease and needn't renew it yet.
	Hold
	// Renew: this VM holds the lease and appends a renewal.
	Renew
	// Take: the lease is free or its period has passed; this VM may append a record to take it.
	Take
)

// renewAfter is the part of the period after which the holder renews. A third
// leaves time for two more attempts.
const renewAfter = 3

// Next returns the move of the VM me. seen is the VM's own time at which it
// first read the entry's record, and now is its own time, so that clocks of
// different VMs are never compared.
func Next(e Entry, me fleet.VMID, seen, now time.Time, period time.Duration) Move {
	age := now.Sub(seen)
	switch {
	case e.Epoch == 0:
		return Take
	case e.Holder != me && age < period:
		return Wait
	case e.Holder != me:
		return Take
	case age < period/renewAfter:
		return Hold
	}
	return Renew
}

// MayAct reports whether the holder may still give orders: its period, counted
// from its own time at the start of the append, has not passed. Fencing decides
// for engines that enforce it; for the others this bounds a paused holder.
func MayAct(appended, now time.Time, period time.Duration) bool {
	return now.Sub(appended) < period
}
