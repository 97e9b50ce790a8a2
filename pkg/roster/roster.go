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
	// Leaves: the upstream said in an answer that it is about to end.
	Leaves
)

var reasonNames = [...]string{"listed", "drains", "removed", "lapsed", "address taken", "layers changed", "leaves"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

type entry struct {
	Upstream
	// lapsed is when the entry was removed in an outage; zero while it stands.
	lapsed time.Time
}

// Roster is the list of upstreams. It is not safe for concurrent use.
// Invariants: an upstream that announced its end never becomes ready again in
// the same incarnation, also not by an older copy of the store; no two upstreams have the
// same address; an entry that was removed while the store was sound is gone at once.
type Roster struct {
	entries map[fleet.UpstreamID]*entry
	// departed are the last incarnations that are gone, for departedKept.
	departed map[fleet.UpstreamID]departure
	// outage is set from the first failed call to the first good one.
	outage bool
	// soundSince is the end of the last outage.
	soundSince time.Time
}

// departure is the end of an incarnation.
type departure struct {
	born time.Time
	when time.Time
	// announced is set if the upstream said itself that it ends.
	announced bool
}

// departedKept is how long an end is remembered: longer than the copy is old from which
// the store comes back.
const departedKept = 2 * time.Minute

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[fleet.UpstreamID]*entry), departed: make(map[fleet.UpstreamID]departure)}
}

// StoreFailed notes a failed call to the store.
func (r *Roster) StoreFailed(time.Time) { r.outage = true }

// StoreAnswered notes an answered call to the store.
func (r *Roster) StoreAnswered(now time.Time) {
	if r.outage {
		r.outage = false
		r.soundSince = now
	}
}

// Restored notes that the store came back from an older copy of itself: entries that are
// missing there may come back.
func (r *Roster) Restored(now time.Time) { r.outage, r.soundSince = false, now }

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
	if l.Copied {
		r.Restored(now)
	}
	for _, u := range l.Changed {
		if l.Copied && r.outdated(&u) {
			continue
		}
		out = r.Put(u, out)
	}
	for _, id := range l.Removed {
		out = r.Remove(now, id, out)
	}
	return out
}

// outdated reports whether an entry of an older copy of the store says less than what is
// known here: of an incarnation that is known, or that is gone.
func (r *Roster) outdated(u *Upstream) bool {
	if old := r.entries[u.ID]; old != nil && old.SameIncarnation(u) {
		return true
	}
	d, gone := r.departed[u.ID]
	return gone && !u.Born.After(d.born)
}

// Put takes in an entry.
func (r *Roster) Put(u Upstream, out []Change) []Change {
	old := r.entries[u.ID]
	if old != nil && u.Born.Before(old.Born) {
		return out // an entry of an earlier start that arrives late
	}
	if d, gone := r.departed[u.ID]; gone && !u.Born.After(d.born) && (d.announced || u.Born.Before(d.born)) {
		return out
	}
	for id, other := range r.entries {
		if id == u.ID || other.Address != u.Address {
			continue
		}
		if other.Born.After(u.Born) {
			return out // the address belongs to a later start
		}
		delete(r.entries, id)
		out = append(out, Change{Upstream: other.Upstream, Gone: true, Why: AddressTaken})
	}
	delete(r.departed, u.ID)
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
		r.depart(now, e)
		return append(out, Change{Upstream: e.Upstream, Gone: true, Why: Removed})
	}
	e.lapsed = now
	return out
}

// depart drops an entry and remembers its incarnation.
func (r *Roster) depart(now time.Time, e *entry) {
	delete(r.entries, e.ID)
	r.departed[e.ID] = departure{born: e.Born, when: now, announced: e.Draining}
}

// Leave notes that an upstream said in an answer that it is about to end.
func (r *Roster) Leave(now time.Time, id fleet.UpstreamID, born time.Time, out []Change) []Change {
	e := r.entries[id]
	switch {
	case e == nil:
		if d, gone := r.departed[id]; !gone || !born.Before(d.born) {
			r.departed[id] = departure{born: born, when: now, announced: true}
		}
	case e.Born.Equal(born) && !e.Draining:
		e.Draining = true
		out = append(out, Change{Upstream: e.Upstream, Why: Leaves})
	}
	return out
}

// Tick removes entries that lapsed and did not come back.
func (r *Roster) Tick(now time.Time, out []Change) []Change {
	for id, d := range r.departed {
		if now.Sub(d.when) >= departedKept {
			delete(r.departed, id)
		}
	}
	if !r.sound(now) {
		return out
	}
	for _, e := range r.entries {
		if !e.lapsed.IsZero() {
			r.depart(now, e)
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
