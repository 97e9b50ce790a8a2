package roster

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Listing is what changed in the store's list between two offsets of its topic: by
// an own read, or as another VM read it. Upstreams whose entries were only renewed
// are not in it.
type Listing struct {
	// From and To are offsets: the change leads from the list before From to the list
	// before To.
	From, To uint64
	// Whole is set for all that stands before To, whatever stood before From.
	Whole   bool
	Changed []Upstream
	Removed []fleet.UpstreamID
	// SoundFor is how long the store had answered its reader without a failure, at
	// most ReturnTime.
	SoundFor time.Duration
}

// Entry is one record of the topic.
type Entry struct {
	Upstream Upstream
	// Removed is set when the record removes the entry of Upstream.ID.
	Removed bool
}

// Follower turns records of the topic into listings and checks that listings of
// other VMs join up with what is known here. It is not safe for concurrent use.
// Invariant: known is the list before the offset next, as it stands in the store.
type Follower struct {
	next  uint64
	whole bool // the topic must be read whole
	begun bool
	known map[fleet.UpstreamID]Upstream
}

// NewFollower returns a follower that has read nothing.
func NewFollower() *Follower {
	return &Follower{whole: true, known: make(map[fleet.UpstreamID]Upstream)}
}

// Next returns the offset to read from, or that the topic must be read whole.
func (f *Follower) Next() (offset uint64, whole bool) { return f.next, f.whole }

// Expired notes that the records at the next offset are no longer kept.
func (f *Follower) Expired() { f.whole = true }

// Begun reports whether the topic was read whole once, which a listing for other
// VMs builds on.
func (f *Follower) Begun() bool { return f.begun }

// Read takes in the records from the next offset to the end, or with all set the
// newest record of every key.
func (f *Follower) Read(entries []Entry, end uint64, all bool) Listing {
	l := Listing{From: f.next, To: end}
	last := make(map[fleet.UpstreamID]Entry, len(entries))
	for _, e := range entries {
		last[e.Upstream.ID] = e
	}
	if all {
		for id := range f.known {
			if _, ok := last[id]; !ok {
				last[id] = Entry{Upstream: Upstream{ID: id}, Removed: true}
			}
		}
		f.whole, f.begun = false, true
	}
	for id, e := range last {
		old, known := f.known[id]
		switch {
		case e.Removed && known:
			l.Removed = append(l.Removed, id)
			delete(f.known, id)
		case !e.Removed && (!known || old != e.Upstream):
			l.Changed = append(l.Changed, e.Upstream)
			f.known[id] = e.Upstream
		}
	}
	f.next = end
	return l
}

// Hear takes in a listing of another VM. It reports false when it has nothing new or
// does not join up: then the topic must be read from the next offset.
func (f *Follower) Hear(l Listing) bool {
	if l.Whole {
		return false
	}
	if f.whole || l.From > f.next || l.To < f.next {
		return false
	}
	for _, u := range l.Changed {
		f.known[u.ID] = u
	}
	for _, id := range l.Removed {
		delete(f.known, id)
	}
	f.next = l.To
	return true
}

// Snapshot returns the list as a listing for a VM that has read nothing. It is not
// whole before the topic was read.
func (f *Follower) Snapshot() Listing {
	l := Listing{To: f.next, Whole: f.begun && !f.whole}
	for _, u := range f.known {
		l.Changed = append(l.Changed, u)
	}
	return l
}

// Adopt takes in another VM's snapshot in place of the first read of the whole topic,
// and reports whether it did.
func (f *Follower) Adopt(l Listing) bool {
	if f.begun || !l.Whole {
		return false
	}
	f.known = make(map[fleet.UpstreamID]Upstream, len(l.Changed))
	for _, u := range l.Changed {
		f.known[u.ID] = u
	}
	f.next, f.whole, f.begun = l.To, false, true
	return true
}
