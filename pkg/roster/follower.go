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
type Record struct {
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
	nextOffset uint64
	// needsFullRead is set while the whole topic must be read.
	needsFullRead bool
	// initialized is set once the whole topic was read or a snapshot was adopted.
	initialized bool
	upstreams   map[fleet.UpstreamID]Upstream
	era         storeera.Era
	// restored is set if the store was restored after initialization and no full list of the
	// restored copy is known yet.
	restored bool
	// unrenewed holds the entries of the restored copy that have not been renewed since.
	unrenewed map[fleet.UpstreamID]bool
}

// NewFollower returns a follower that has no list yet.
func NewFollower() *Follower {
	return &Follower{needsFullRead: true, upstreams: make(map[fleet.UpstreamID]Upstream)}
}

// ReadPosition returns the offset to read from, and whether the whole topic must be read instead.
func (f *Follower) ReadPosition() (offset uint64, whole bool) { return f.nextOffset, f.needsFullRead }

// RequireFullRead notes that the store has deleted the record at the next offset, so that the
// whole topic must be read.
func (f *Follower) RequireFullRead() { f.needsFullRead = true }

// RecordStoreRestore records that the store was restored from an older copy and is now in the
// given era. Offsets of earlier eras are no longer valid.
func (f *Follower) RecordStoreRestore(era storeera.Era) {
	f.era, f.needsFullRead, f.restored = era, true, f.initialized
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
func (f *Follower) ApplyRecords(records []Record, end uint64, wholeTopic bool) Listing {
	l := Listing{From: f.nextOffset, To: end, Era: f.era}
	latest := make(map[fleet.UpstreamID]Record, len(records))
	for _, e := range records {
		latest[e.Upstream.ID] = e
	}
	if wholeTopic {
		for id := range f.upstreams {
			if _, ok := latest[id]; !ok {
				latest[id] = Record{Upstream: Upstream{ID: id}, Removed: true}
			}
		}
		l.AfterRestore = f.finishFullRead()
	}
	for id, e := range latest {
		old, ok := f.upstreams[id]
		renewed := !wholeTopic && f.unrenewed[id] // so its upstream still exists
		if !wholeTopic {
			delete(f.unrenewed, id)
		}
		switch {
		case e.Removed && ok:
			l.Removed = append(l.Removed, id)
			delete(f.upstreams, id)
		case !e.Removed && (!ok || renewed || old != e.Upstream):
			l.Changed = append(l.Changed, e.Upstream)
			f.upstreams[id] = e.Upstream
		}
	}
	if l.AfterRestore {
		f.markAllUnrenewed()
	}
	f.nextOffset = end
	return l
}

// finishFullRead records that the whole list is known, and reports whether this is the
// first time since a restore of the store.
func (f *Follower) finishFullRead() (afterRestore bool) {
	afterRestore = f.restored
	f.needsFullRead, f.initialized, f.restored, f.unrenewed = false, true, false, nil
	return afterRestore
}

// markAllUnrenewed marks all entries as not renewed since the restore.
func (f *Follower) markAllUnrenewed() {
	f.unrenewed = make(map[fleet.UpstreamID]bool, len(f.upstreams))
	for id := range f.upstreams {
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
	if f.needsFullRead || l.From > f.nextOffset || l.To < f.nextOffset {
		return false
	}
	for _, u := range l.Changed {
		f.upstreams[u.ID] = u
		delete(f.unrenewed, u.ID)
	}
	for _, id := range l.Removed {
		delete(f.upstreams, id)
		delete(f.unrenewed, id)
	}
	f.nextOffset = l.To
	return true
}

// Snapshot returns the list as a listing for a VM that has no list of this era. Whole is set
// only if the whole topic was read or a snapshot was adopted, and no full read is due.
func (f *Follower) Snapshot() Listing {
	l := Listing{To: f.nextOffset, Whole: f.initialized && !f.needsFullRead, Era: f.era, AfterRestore: len(f.unrenewed) > 0}
	for _, u := range f.upstreams {
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
	upstreams := make(map[fleet.UpstreamID]Upstream, len(l.Changed))
	for _, u := range l.Changed {
		upstreams[u.ID] = u
	}
	for id := range f.upstreams {
		if _, ok := upstreams[id]; !ok {
			l.Removed = append(l.Removed, id)
		}
	}
	f.finishFullRead()
	f.upstreams, f.nextOffset, f.era = upstreams, l.To, l.Era
	if l.AfterRestore {
		f.markAllUnrenewed()
	}
	return l, true
}
