package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// ReturnTime is how long entries that lapsed during an outage of the store may
// take to come back after its end. The platform's contract says about 2 s.
const ReturnTime = 2500 * time.Millisecond

// Change says what became of an upstream.
type Change struct {
	Upstream Upstream
	// Gone is set when the upstream left the list.
	Gone bool
	// Why is the reason of the change.
	Why Reason
}

// Reason says why an upstream changed.
type Reason uint8

// The reasons.
const (
	// Listed: the upstream appeared, or a new incarnation of it did.
	Listed Reason = iota
	// Drains: the upstream announced its end.
	Drains
	// Removed: its entry was removed while the store was sound.
	Removed
	// Lapsed: its entry was removed in an outage of the store and did not come back.
	Lapsed
	// AddressTaken: another upstream has its address.
	AddressTaken
	// Moved: the layers in its memory changed.
	Moved
)

var reasonNames = [...]string{"listed", "drains", "removed", "lapsed", "address taken", "layers changed"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

type entry struct {
	Upstream
	// lapsed is when the entry was removed in an outage; zero while it stands.
	lapsed time.Time
}

// Roster is the list of upstreams. It is not safe for concurrent use.
// Invariants: an upstream that announced its end never becomes ready again in
// the same incarnation; no two upstreams have the same address; an entry that was
// removed while the store was sound is gone at once.
type Roster struct {
	entries map[fleet.UpstreamID]*entry
	// outage is set from the first failed call to the first good one.
	outage bool
	// soundSince is the end of the last outage.
	soundSince time.Time
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[fleet.UpstreamID]*entry)} }

// StoreFailed notes a failed call to the store.
func (r *Roster) StoreFailed(time.Time) { r.outage = true }

// StoreAnswered notes an answered call to the store.
func (r *Roster) StoreAnswered(now time.Time) {
	if r.outage {
		r.outage = false
		r.soundSince = now
	}
}

// SoundFor returns how long the store has answered without a failure, at most ReturnTime.
func (r *Roster) SoundFor(now time.Time) time.Duration {
	switch {
	case r.outage:
		return 0
	case r.soundSince.IsZero():
		return ReturnTime
	}
	return min(now.Sub(r.soundSince), ReturnTime)
}

// Take takes in a listing. Its reader's view of the store goes before the own one: it
// says whether a missing entry means that its upstream is gone.
func (r *Roster) Take(now time.Time, l Listing, out []Change) []Change {
	r.outage = false
	r.soundSince = now.Add(-l.SoundFor)
	for _, u := range l.Changed {
		out = r.Put(u, out)
	}
	for _, id := range l.Removed {
		out = r.Remove(now, id, out)
	}
	return out
}

// Put takes in an entry.
func (r *Roster) Put(u Upstream, out []Change) []Change {
	old := r.entries[u.ID]
	if old != nil && u.Born.Before(old.Born) {
		return out // an entry of an earlier start that arrives late
	}
	for id, other := range r.entries {
		if id != u.ID && other.Address == u.Address && !other.Born.After(u.Born) {
			delete(r.entries, id)
			out = append(out, Change{Upstream: other.Upstream, Gone: true, Why: AddressTaken})
		}
	}
	if old == nil || !old.SameIncarnation(&u) {
		r.entries[u.ID] = &entry{Upstream: u}
		return append(out, Change{Upstream: u, Why: Listed})
	}
	u.Draining = u.Draining || old.Draining
	returned := !old.lapsed.IsZero()
	drains, moved := u.Draining && !old.Draining, u.Layers != old.Layers
	old.Upstream, old.lapsed = u, time.Time{}
	switch {
	case drains:
		out = append(out, Change{Upstream: u, Why: Drains})
	case moved:
		out = append(out, Change{Upstream: u, Why: Moved})
	case returned:
		out = append(out, Change{Upstream: u, Why: Listed})
	}
	return out
}

// Remove takes in the removal of an entry.
func (r *Roster) Remove(now time.Time, id fleet.UpstreamID, out []Change) []Change {
	e := r.entries[id]
	if e == nil || !e.lapsed.IsZero() {
		return out
	}
	if r.sound(now) || e.Draining {
		delete(r.entries, id)
		return append(out, Change{Upstream: e.Upstream, Gone: true, Why: Removed})
	}
	e.lapsed = now
	return out
}

// Tick removes entries that lapsed and did not come back.
func (r *Roster) Tick(now time.Time, out []Change) []Change {
	if !r.sound(now) {
		return out
	}
	for id, e := range r.entries {
		if !e.lapsed.IsZero() {
			delete(r.entries, id)
			out = append(out, Change{Upstream: e.Upstream, Gone: true, Why: Lapsed})
		}
	}
	return out
}

// sound reports whether the store has answered for long enough that a missing
// entry means that its upstream is gone.
func (r *Roster) sound(now time.Time) bool {
	return !r.outage && (r.soundSince.IsZero() || now.Sub(r.soundSince) >= ReturnTime)
}

// List returns the upstreams by identity.
func (r *Roster) List() []Upstream {
	list := make([]Upstream, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Get returns an upstream.
func (r *Roster) Get(id fleet.UpstreamID) (Upstream, bool) {
	if e := r.entries[id]; e != nil {
		return e.Upstream, true
	}
	return Upstream{}, false
}
