package roster

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/storeera"
)

// Listing describes how the list of upstreams changes between two offsets of the store's
// topic, or the whole list. This VM or another one has read it. Entries that were only renewed
// are omitted, except for the first renewal after a restore of the store.
type Listing struct {
	// From and To are offsets of the topic. The listing covers the records from From up to
	// but not including To.
	From, To uint64
	// Whole is set if Changed is the whole list at To, independent of From.
	Whole   bool
	Changed []Upstream
	Removed []fleet.UpstreamID
	// StoreHealthyFor is how long the store had answered the VM that read the topic without
	// a failure, at most RecoveryGracePeriod.
	StoreHealthyFor time.Duration
	// Era identifies the copy of the store since its last restore. Offsets of different eras
	// are not comparable.
	Era storeera.Era
	// AfterRestore is set for the first listing that an initialized follower makes after a
	// restore of the store, and for snapshots while entries of the restored copy have not been
	// renewed. The store was restored from an older copy, so the listing may contain upstreams
	// that have ended since that copy, and may miss upstreams that have started since.
	AfterRestore bool
}

// Record is one record of the store's topic of upstreams: a new version of an upstream's entry
// or its removal.
type Entry struct {
	Upstream Upstream
	// Removed is set when the record removes the entry of Upstream.ID.
	Removed bool
}

// Follower keeps the list of upstreams. It turns records of the topic into listings, and
// applies listings of other VMs that continue its list without a gap. It is not safe for
// concurrent use.
// Invariant: unless needsFullRead is set, upstreams is the store's list before the record at
// nextOffset.
type Follower struct {
	next uint64
	// needsFullRead is set while the whole topic must be read.
	needsWhole bool
	// initialized is set once the whole topic was read or a snapshot was adopted.
	initialized bool
	known       map[fleet.UpstreamID]Upstream
	era         storeera.Era
	// restored is set if the store was restored after initialization and no full list of the
	// restored copy is known yet.
	restored bool
	// unrenewed holds the entries of the restored copy that have not been renewed since.
	unrenewed map[fleet.UpstreamID]bool
}

// NewFollower returns a follower that has no list yet.
func NewFollower() *Follower {
	return &Follower{needsWhole: true, known: make(map[fleet.UpstreamID]Upstream)}
}

// ReadPosition returns the offset to read from, and whether the whole topic must be read instead.
func (f *Follower) Next() (offset uint64, whole bool) { return f.next, f.needsWhole }

// RequireFullRead notes that the store has deleted the record at the next offset, so that the
// whole topic must be read.
func (f *Follower) MarkExpired() { f.needsWhole = true }

// RecordStoreRestore records that the store was restored from an older copy and is now in the
// given era. Offsets of earlier eras are no longer valid.
func (f *Follower) StoreRestored(era storeera.Era) {
	f.era, f.needsWhole, f.restored = era, true, f.initialized
}

// Era returns the era of the list, or 0 if none is known yet.
func (f *Follower) Era() storeera.Era { return f.era }

// SetEra sets the era of the list when the first era becomes known.
func (f *Follower) SetEra(era storeera.Era) { f.era = era }

// Initialized reports whether the whole topic was read or a snapshot was adopted. Listings made
// before that are incomplete, so other VMs cannot use them.
func (f *Follower) Initialized() bool { return f.initialized }

// ApplyRecords applies the records from the next offset up to but not including end and
// returns the resulting listing. If wholeTopic is set, records instead hold the newest record
// of every upstream in the topic.
func (f *Follower) ApplyRecords(entries []Entry, end uint64, wholeTopic bool) Listing {
	l := Listing{From: f.next, To: end, Era: f.era}
	latest := make(map[fleet.UpstreamID]Entry, len(entries))
	for _, e := range entries {
		latest[e.Upstream.ID] = e
	}
	if wholeTopic {
		for id := range f.known {
			if _, ok := latest[id]; !ok {
				latest[id] = Entry{Upstream: Upstream{ID: id}, Removed: true}
			}
		}
		l.AfterRestore = f.completeWhole()
	}
	for id, e := range latest {
		old, known := f.known[id]
		renewed := !wholeTopic && f.unrenewed[id] // so its upstream still exists
		if !wholeTopic {
			delete(f.unrenewed, id)
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
	if l.AfterRestore {
		f.markUnrenewed()
	}
	f.next = end
	return l
}

// finishFullRead records that the whole list is known, and reports whether this is the
// first time since a restore of the store.
func (f *Follower) completeWhole() (afterRestore bool) {
	afterRestore = f.restored
	f.needsWhole, f.initialized, f.restored, f.unrenewed = false, true, false, nil
	return afterRestore
}

// markAllUnrenewed marks all entries as not renewed since the restore.
func (f *Follower) markUnrenewed() {
	f.unrenewed = make(map[fleet.UpstreamID]bool, len(f.known))
	for id := range f.known {
		f.unrenewed[id] = true
	}
}

// ApplyPeerListing applies a listing of another VM. It returns false without effect if the
// listing is older than the follower's list, leaves a gap, is whole or is of another era,
// or if the whole topic must be read first. Unless the listing is older than the list, the
// topic must then be read as ReadPosition says.
func (f *Follower) ApplyPeerListing(l Listing) bool {
	if l.Whole || l.Era != f.era {
		return false
	}
	if f.needsWhole || l.From > f.next || l.To < f.next {
		return false
	}
	for _, u := range l.Changed {
		f.known[u.ID] = u
		delete(f.unrenewed, u.ID)
	}
	for _, id := range l.Removed {
		delete(f.known, id)
		delete(f.unrenewed, id)
	}
	f.next = l.To
	return true
}

// Snapshot returns the list as a listing for a VM that has no list of this era. Whole is set
// only if the whole topic was read or a snapshot was adopted, and no full read is due.
func (f *Follower) Snapshot() Listing {
	l := Listing{To: f.next, Whole: f.initialized && !f.needsWhole, Era: f.era, AfterRestore: len(f.unrenewed) > 0}
	for _, u := range f.known {
		l.Changed = append(l.Changed, u)
	}
	return l
}

// AdoptSnapshot replaces the list by another VM's snapshot, which saves reading the whole
// topic, and reports whether it did. It does so only before initialization or after a restore,
// and only if the snapshot is whole and not of another era. The returned listing also contains,
// in Removed, the upstreams that the follower knew and that the snapshot does not contain.
func (f *Follower) AdoptSnapshot(l Listing) (Listing, bool) {
	if f.initialized && !f.restored || !l.Whole || f.era != 0 && l.Era != f.era {
		return l, false
	}
	adoptedList := make(map[fleet.UpstreamID]Upstream, len(l.Changed))
	for _, u := range l.Changed {
		adoptedList[u.ID] = u
	}
	for id := range f.known {
		if _, ok := adoptedList[id]; !ok {
			l.Removed = append(l.Removed, id)
		}
	}
	f.completeWhole()
	f.known, f.next, f.era = adoptedList, l.To, l.Era
	if l.AfterRestore {
		f.markUnrenewed()
	}
	return l, true
}
