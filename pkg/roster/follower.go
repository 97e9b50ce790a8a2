package roster

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/storeera"
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
	// Era is the store's. Offsets of different eras are not comparable.
	Era storeera.Era
	// Copied is set for the first listing of an era: the store came back from an older
	// copy of itself, so that entries in it may be of upstreams that have left since, and
	// those missing may be of upstreams that came since.
	Copied bool
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
	era   storeera.Era
	// restored is set from the store's return from an older copy to the first listing of
	// that copy; copied holds the entries of it that were not renewed yet.
	restored bool
	copied   map[fleet.UpstreamID]bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower() *Follower {
	return &Follower{whole: true, known: make(map[fleet.UpstreamID]Upstream)}
}

// Next returns the offset to read from, or that the topic must be read whole.
func (f *Follower) Next() (offset uint64, whole bool) { return f.next, f.whole }

// Expired notes that the records at the next offset are no longer kept.
func (f *Follower) Expired() { f.whole = true }

// Restored notes that the store came back from an older copy: offsets of before are void.
func (f *Follower) Restored(era storeera.Era) {
	f.era, f.whole, f.restored = era, true, f.begun
}

// Era returns the era of the list, 0 before any is known.
func (f *Follower) Era() storeera.Era { return f.era }

// SetEra names the era of a list that was read before any was known.
func (f *Follower) SetEra(era storeera.Era) { f.era = era }

// Begun reports whether the topic was read whole once, which a listing for other
// VMs builds on.
func (f *Follower) Begun() bool { return f.begun }

// Read takes in the records from the next offset to the end, or with all set the
// newest record of every key.
func (f *Follower) Read(entries []Entry, end uint64, all bool) Listing {
	l := Listing{From: f.next, To: end, Era: f.era}
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
		l.Copied = f.begin()
	}
	for id, e := range last {
		old, known := f.known[id]
		renewed := !all && f.copied[id] // told once more: its upstream is there
		if !all {
			delete(f.copied, id)
		}
		switch {
		case e.Removed && known:
			l.Removed = append(l.Removed, id)
			delete(f.known, id)
		case !e.Removed && (!known || renewed || old != e.Upstream):
			l.Changed = append(l.Changed, e.Upstream)
			f.known[id] = e.Upstream
		}
	}
	if l.Copied {
		f.markCopied()
	}
	f.next = end
	return l
}

// begin notes that the topic is known whole, and reports whether it is the first time
// since the store came back from an older copy.
func (f *Follower) begin() (copied bool) {
	copied = f.restored
	f.whole, f.begun, f.restored, f.copied = false, true, false, nil
	return copied
}

func (f *Follower) markCopied() {
	f.copied = make(map[fleet.UpstreamID]bool, len(f.known))
	for id := range f.known {
		f.copied[id] = true
	}
}

// Hear takes in a listing of another VM. It reports false when it has nothing new or
// does not join up: then the topic must be read from the next offset.
func (f *Follower) Hear(l Listing) bool {
	if l.Whole || l.Era != f.era {
		return false
	}
	if f.whole || l.From > f.next || l.To < f.next {
		return false
	}
	for _, u := range l.Changed {
		f.known[u.ID] = u
		delete(f.copied, u.ID)
	}
	for _, id := range l.Removed {
		delete(f.known, id)
		delete(f.copied, id)
	}
	f.next = l.To
	return true
}

// Snapshot returns the list as a listing for a VM that has read nothing of this era. It is
// not whole before the topic was read.
func (f *Follower) Snapshot() Listing {
	l := Listing{To: f.next, Whole: f.begun && !f.whole, Era: f.era, Copied: len(f.copied) > 0}
	for _, u := range f.known {
		l.Changed = append(l.Changed, u)
	}
	return l
}

// Adopt takes in another VM's snapshot in place of the first read of the whole topic, and
// reports whether it did. The listing that it returns also names what is gone since the
// list that was known here.
func (f *Follower) Adopt(l Listing) (Listing, bool) {
	if f.begun && !f.restored || !l.Whole || f.era != 0 && l.Era != f.era {
		return l, false
	}
	known := make(map[fleet.UpstreamID]Upstream, len(l.Changed))
	for _, u := range l.Changed {
		known[u.ID] = u
	}
	for id := range f.known {
		if _, ok := known[id]; !ok {
			l.Removed = append(l.Removed, id)
		}
	}
	f.begin()
	f.known, f.next, f.era = known, l.To, l.Era
	if l.Copied {
		f.markCopied()
	}
	return l, true
}
