// Package lease tracks who owns each resource, as decided by lease records. Each change
// of ownership and each renewal starts a new epoch, which is the fencing token of all
// orders for the resource.
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

// Get returns the ownership of a resource, or the zero Entry if it was never held.
func (t *Table) Get(resource string) Entry { return t.entries[resource] }

// Apply applies a lease record. A record whose base is not the current epoch is void:
// Apply then returns the table unchanged and false.
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

// Saved is the snapshot form of one resource.
type Saved struct {
	Resource string `msgpack:"r"`
	Entry    Entry  `msgpack:"e"`
}

// Save returns the snapshot form of the table, sorted by resource.
func (t *Table) Save() []Saved {
	var all []Saved
	for resource, e := range t.entries {
		all = append(all, Saved{Resource: resource, Entry: e})
	}
	slices.SortFunc(all, func(a, b Saved) int { return strings.Compare(a.Resource, b.Resource) })
	return all
}

// Restore returns the table that a snapshot holds.
func Restore(saved []Saved) *Table {
	t := &Table{entries: make(map[string]Entry, len(saved))}
	for _, s := range saved {
		t.entries[s.Resource] = s.Entry
	}
	return t
}

// Action is what a VM should do about a lease.
type Action uint8

// The actions.
const (
	// Wait: another VM holds the lease and its period has not expired.
	Wait Action = iota
	// Hold: this VM holds the lease and need not renew it yet.
	Hold
	// Renew: this VM holds the lease and should append a renewal.
	Renew
	// Acquire: the lease is free or expired; this VM may append a record to acquire it.
	Acquire
)

// renewDivisor sets the age at which the holder renews: the period divided by
// renewDivisor. A third of the period leaves time for two more attempts.
const renewDivisor = 3

// Next returns the action of the VM me. seen is when this VM first read the entry's
// record, and now is the current time. Both are read from this VM's clock, so that the
// clocks of different VMs are never compared.
func Next(e Entry, me fleet.VMID, seen, now time.Time, period time.Duration) Action {
	age := now.Sub(seen)
	switch {
	case e.Epoch == 0:
		return Acquire
	case e.Holder != me && age < period:
		return Wait
	case e.Holder != me:
		return Acquire
	case age < period/renewDivisor:
		return Hold
	}
	return Renew
}

// MayAct reports whether the holder may still give orders: less than period has passed,
// on its own clock, since it began to append its lease record. Engines that enforce
// fencing reject the orders of an earlier holder anyway; for other engines this check
// bounds how long a holder that was paused can give orders.
func MayAct(appended, now time.Time, period time.Duration) bool {
	return now.Sub(appended) < period
}
