package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// RecoveryGracePeriod is the time after an outage of the store in which entries that lapsed
// during the outage may still be renewed. The platform's contract states about 2 s.
const RecoveryGracePeriod = 2500 * time.Millisecond

// Change is a change of one upstream in the list.
type Change struct {
	Upstream Upstream
	// Gone is set if the upstream was removed from the list.
	Gone   bool
	Reason Reason
}

// Reason is the reason of a Change.
type Reason uint8

// The reasons.
const (
	// Listed: the upstream appeared, or a new incarnation of it did.
	Listed Reason = iota
	// Drains: the upstream announced its end in its entry.
	Drains
	// Removed: its entry was removed while the store was healthy.
	Removed
	// Lapsed: its entry was removed during an outage of the store and not renewed within
	// RecoveryGracePeriod.
	Lapsed
	// AddressTaken: a later upstream has the same address.
	AddressTaken
	// LayersChanged: the layers in its memory changed.
	LayersChanged
	// Leaves: the upstream announced in an answer to a request that it is about to end.
	Leaves
)

var reasonNames = [...]string{"listed", "drains", "removed", "lapsed", "address taken", "layers changed", "leaves"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

type entry struct {
	Upstream
	// lapsedAt is when the entry was removed in an outage; zero if it was not.
	lapsedAt time.Time
}

// Roster is the list of upstreams. It is not safe for concurrent use.
// Invariants:
//   - an upstream that announced its end never becomes ready again in the same
//     incarnation, even if the store is restored from an older copy;
//   - no two upstreams have the same address;
//   - an upstream whose entry is removed while the store is healthy is removed at once.
type Roster struct {
	entries map[fleet.UpstreamID]*entry
	// ended holds the last ended incarnation of each upstream, for endedRetention.
	ended map[fleet.UpstreamID]endedIncarnation
	// outage is set from the first failed call to the store until the next successful one.
	outage bool
	// healthySince is the end of the last outage; zero if there was none.
	healthySince time.Time
}

// endedIncarnation records the end of an incarnation.
type endedIncarnation struct {
	born time.Time
	// endedAt is when the end was recorded.
	endedAt time.Time
	// announced is set if the upstream announced its end itself.
	announced bool
}

// endedRetention is how long an ended incarnation is remembered. It must exceed the age of
// the copy from which the store is restored.
const endedRetention = 2 * time.Minute

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[fleet.UpstreamID]*entry), ended: make(map[fleet.UpstreamID]endedIncarnation)}
}

// RecordStoreFailure records a failed call to the store.
func (r *Roster) RecordStoreFailure(time.Time) { r.outage = true }

// RecordStoreAnswer records a successful call to the store.
func (r *Roster) RecordStoreAnswer(now time.Time) {
	if r.outage {
		r.outage = false
		r.healthySince = now
	}
}

// RecordStoreRestore records that the store was restored from an older copy. Entries that are
// missing in the copy may be renewed within RecoveryGracePeriod.
func (r *Roster) RecordStoreRestore(now time.Time) { r.outage, r.healthySince = false, now }

// StoreHealthyFor returns how long the store has answered without a failure, at most
// RecoveryGracePeriod.
func (r *Roster) StoreHealthyFor(now time.Time) time.Duration {
	switch {
	case r.outage:
		return 0
	case r.healthySince.IsZero():
		return RecoveryGracePeriod
	}
	return min(now.Sub(r.healthySince), RecoveryGracePeriod)
}

// ApplyListing applies a listing and appends the changes to out. The health of the store as
// seen by the VM that read the topic replaces this VM's own view, because it tells whether a
// missing entry means that the upstream has ended.
func (r *Roster) ApplyListing(now time.Time, l Listing, out []Change) []Change {
	r.outage = false
	r.healthySince = now.Add(-l.StoreHealthyFor)
	if l.AfterRestore {
		r.RecordStoreRestore(now)
	}
	for _, u := range l.Changed {
		if l.AfterRestore && r.outdated(&u) {
			continue
		}
		out = r.Put(u, out)
	}
	for _, id := range l.Removed {
		out = r.Remove(now, id, out)
	}
	return out
}

// outdated reports whether an entry of an older copy of the store is superseded here: its
// incarnation is in the list already, or has ended.
func (r *Roster) outdated(u *Upstream) bool {
	if old := r.entries[u.ID]; old != nil && old.SameIncarnation(u) {
		return true
	}
	end, gone := r.ended[u.ID]
	return gone && !u.Born.After(end.born)
}

// Put adds or updates an entry and appends the changes to out.
func (r *Roster) Put(u Upstream, out []Change) []Change {
	old := r.entries[u.ID]
	if old != nil && u.Born.Before(old.Born) {
		return out // a delayed entry of an earlier start
	}
	if end, gone := r.ended[u.ID]; gone && !u.Born.After(end.born) && (end.announced || u.Born.Before(end.born)) {
		return out // this incarnation announced its end, or a later one has ended
	}
	for id, other := range r.entries {
		if id == u.ID || other.Address != u.Address {
			continue
		}
		if other.Born.After(u.Born) {
			return out // the address belongs to a later start
		}
		delete(r.entries, id)
		out = append(out, Change{Upstream: other.Upstream, Gone: true, Reason: AddressTaken})
	}
	delete(r.ended, u.ID)
	if old == nil || !old.SameIncarnation(&u) {
		r.entries[u.ID] = &entry{Upstream: u}
		return append(out, Change{Upstream: u, Reason: Listed})
	}
	u.Draining = u.Draining || old.Draining
	recovered := !old.lapsedAt.IsZero()
	drains, layersChanged := u.Draining && !old.Draining, u.Layers != old.Layers
	old.Upstream, old.lapsedAt = u, time.Time{}
	switch {
	case drains:
		out = append(out, Change{Upstream: u, Reason: Drains})
	case layersChanged:
		out = append(out, Change{Upstream: u, Reason: LayersChanged})
	case recovered:
		out = append(out, Change{Upstream: u, Reason: Listed})
	}
	return out
}

// Remove applies the removal of an entry and appends the change to out. While the store is
// not healthy, an upstream that is not draining stays in the list until it renews its entry
// or Tick removes it.
func (r *Roster) Remove(now time.Time, id fleet.UpstreamID, out []Change) []Change {
	e := r.entries[id]
	if e == nil || !e.lapsedAt.IsZero() {
		return out
	}
	if r.isStoreHealthy(now) || e.Draining {
		r.endEntry(now, e)
		return append(out, Change{Upstream: e.Upstream, Gone: true, Reason: Removed})
	}
	e.lapsedAt = now
	return out
}

// endEntry removes an entry and records the end of its incarnation.
func (r *Roster) endEntry(now time.Time, e *entry) {
	delete(r.entries, e.ID)
	r.ended[e.ID] = endedIncarnation{born: e.Born, endedAt: now, announced: e.Draining}
}

// MarkLeaving records that an upstream announced in an answer that it is about to end, and
// appends the change to out.
func (r *Roster) MarkLeaving(now time.Time, id fleet.UpstreamID, born time.Time, out []Change) []Change {
	e := r.entries[id]
	switch {
	case e == nil:
		if end, gone := r.ended[id]; !gone || !born.Before(end.born) {
			r.ended[id] = endedIncarnation{born: born, endedAt: now, announced: true}
		}
	case e.Born.Equal(born) && !e.Draining:
		e.Draining = true
		out = append(out, Change{Upstream: e.Upstream, Reason: Leaves})
	}
	return out
}

// Tick removes the entries that lapsed and were not renewed within RecoveryGracePeriod,
// and appends the changes to out.
func (r *Roster) Tick(now time.Time, out []Change) []Change {
	for id, end := range r.ended {
		if now.Sub(end.endedAt) >= endedRetention {
			delete(r.ended, id)
		}
	}
	if !r.isStoreHealthy(now) {
		return out
	}
	for _, e := range r.entries {
		if !e.lapsedAt.IsZero() {
			r.endEntry(now, e)
			out = append(out, Change{Upstream: e.Upstream, Gone: true, Reason: Lapsed})
		}
	}
	return out
}

// isStoreHealthy reports whether the store has answered for long enough that a missing
// entry means that its upstream has ended.
func (r *Roster) isStoreHealthy(now time.Time) bool {
	return !r.outage && (r.healthySince.IsZero() || now.Sub(r.healthySince) >= RecoveryGracePeriod)
}

// List returns the upstreams sorted by ID.
func (r *Roster) List() []Upstream {
	// Pointers are sorted, because moving the entries themselves costs several times as much.
	entries := slices.SortedFunc(maps.Values(r.entries), func(a, b *entry) int { return cmp.Compare(a.ID, b.ID) })
	list := make([]Upstream, len(entries))
	for i, e := range entries {
		list[i] = e.Upstream
	}
	return list
}

// Get returns an upstream, and false if it is not in the list.
func (r *Roster) Get(id fleet.UpstreamID) (Upstream, bool) {
	if e := r.entries[id]; e != nil {
		return e.Upstream, true
	}
	return Upstream{}, false
}
