package roster_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
)

// topic is the store's topic of upstreams. The index of a record is its offset.
type topic []roster.Record

// newest returns the newest record of each key.
func (t topic) newest() []roster.Record {
	last := map[fleet.UpstreamID]roster.Record{}
	for _, e := range t {
		last[e.Upstream.ID] = e
	}
	var list []roster.Record
	for _, e := range last {
		if !e.Removed {
			list = append(list, e)
		}
	}
	return list
}

// read applies the records that are new to a follower.
func (t topic) read(f *roster.Follower) roster.Listing {
	if next, whole := f.ReadPosition(); !whole {
		return f.ApplyRecords(t[next:], uint64(len(t)), false)
	}
	return f.ApplyRecords(t.newest(), uint64(len(t)), true)
}

// TestOneReaderOfManyVMs checks that 30 VMs which follow the listings of one reader
// end with the store's list, and read the store only after a listing was lost.
// Listings get lost, the reader changes, and the store drops old records.
func TestOneReaderOfManyVMs(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var store topic
		const vms, rounds = 30, 60
		followers, rosters := make([]*roster.Follower, vms), make([]*roster.Roster, vms)
		for i := range followers {
			followers[i], rosters[i] = roster.NewFollower(), roster.New()
		}
		now, lost, reads := start, 0, 0
		born := map[string]int{} // an upstream that ended starts again as a new incarnation
		apply := func(i int, l roster.Listing) {
			l.StoreHealthyFor = roster.RecoveryGracePeriod
			rosters[i].ApplyListing(now, l, nil)
		}
		for range rounds {
			now = now.Add(time.Second)
			for range 98 { // one renewal per upstream on average; few entries change
				id := string(rune('A' + random.IntN(98)))
				u := upstream(id, "address of "+id, born[id])
				u.Draining = random.IntN(200) == 0
				removed := random.IntN(100) == 0
				if removed {
					born[id]++
				}
				store = append(store, roster.Record{Upstream: u, Removed: removed})
			}
			reader := random.IntN(2)
			if random.IntN(20) == 0 {
				followers[reader].RequireFullRead()
			}
			initialized := followers[reader].Initialized()
			l := store.read(followers[reader])
			apply(reader, l)
			for i := range followers {
				switch {
				case i == reader:
				case initialized && random.IntN(50) > 0 && followers[i].ApplyPeerListing(l):
					apply(i, l)
				default:
					lost++
					reads++
					apply(i, store.read(followers[i]))
				}
			}
		}
		want := map[fleet.UpstreamID]bool{}
		for _, e := range store.newest() {
			want[e.Upstream.ID] = true
		}
		for i := range rosters {
			is.Equal(len(rosters[i].List()), len(want))
			for _, u := range rosters[i].List() {
				is.True(want[u.ID])
			}
		}
		is.True(reads < rounds*vms/10)
	}
}

// TestListingAfterGapIsRejected guards against a VM that missed a listing and applies
// the next one as if there were no gap.
func TestListingAfterGapIsRejected(t *testing.T) {
	is := is.New(t)
	f := roster.NewFollower()
	is.True(!f.ApplyPeerListing(roster.Listing{From: 0, To: 3})) // nothing was read yet
	f.ApplyRecords([]roster.Record{{Upstream: upstream("a", "1", 0)}}, 5, true)
	is.True(!f.ApplyPeerListing(roster.Listing{From: 6, To: 8}))
	is.True(!f.ApplyPeerListing(roster.Listing{From: 0, To: 4})) // older than the follower's list
	is.True(f.ApplyPeerListing(roster.Listing{From: 3, To: 8, Removed: []fleet.UpstreamID{"a"}}))
	next, whole := f.ReadPosition()
	is.Equal(next, uint64(8))
	is.True(!whole)
	f.RequireFullRead()
	is.True(!f.ApplyPeerListing(roster.Listing{From: 8, To: 9}))
}

// TestRenewedEntriesAreNotPublished checks that listings to other VMs contain only
// changed entries, without mere renewals.
func TestRenewedEntriesAreNotPublished(t *testing.T) {
	is := is.New(t)
	f := roster.NewFollower()
	f.ApplyRecords([]roster.Record{{Upstream: upstream("a", "1", 0)}, {Upstream: upstream("b", "2", 0)}}, 2, true)
	renewed := f.ApplyRecords([]roster.Record{{Upstream: upstream("a", "1", 0)}}, 3, false)
	is.Equal(len(renewed.Changed)+len(renewed.Removed), 0)
	drains := upstream("a", "1", 0)
	drains.Draining = true
	l := f.ApplyRecords([]roster.Record{{Upstream: drains}, {Upstream: upstream("b", "2", 0), Removed: true}}, 5, false)
	is.Equal(l.Changed, []roster.Upstream{drains})
	is.Equal(l.Removed, []fleet.UpstreamID{"b"})
	relisted := f.ApplyRecords([]roster.Record{{Upstream: upstream("b", "2", 0)}}, 6, false)
	is.True(slices.Contains(relisted.Changed, upstream("b", "2", 0)))
}

// TestReadersStoreHealthDecides checks that the store's health as seen by the VM that read the
// topic decides. A VM whose own calls fail applies a removal at once if the store is healthy
// for that VM. After an outage for that VM, the entry may still be renewed.
func TestReadersStoreHealthDecides(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Put(upstream("a", "1", 0), nil)
	r.Put(upstream("b", "2", 0), nil)
	r.RecordStoreFailure(start)
	is.Equal(len(r.ApplyListing(start, roster.Listing{Removed: []fleet.UpstreamID{"a"}, StoreHealthyFor: roster.RecoveryGracePeriod}, nil)), 1)
	is.Equal(len(r.ApplyListing(start, roster.Listing{Removed: []fleet.UpstreamID{"b"}, StoreHealthyFor: time.Second}, nil)), 0)
	is.Equal(ids(r), []fleet.UpstreamID{"b"})
	is.Equal(len(r.Tick(start.Add(roster.RecoveryGracePeriod), nil)), 1)
}

// TestAdoptSnapshotAtStart checks that a starting VM adopts another VM's snapshot
// instead of reading the store, and follows from there. It must not adopt a snapshot
// that is not whole, or one that arrives after the VM has its own list.
func TestAdoptSnapshotAtStart(t *testing.T) {
	is := is.New(t)
	store := topic{
		{Upstream: roster.Upstream{ID: "left", Address: "a:1"}},
		{Upstream: roster.Upstream{ID: "stays", Address: "b:1"}},
		{Upstream: roster.Upstream{ID: "left"}, Removed: true},
	}
	old, started := roster.NewFollower(), roster.NewFollower()
	_, adopted := started.AdoptSnapshot(old.Snapshot())
	is.True(!adopted) // nothing was read yet
	store.read(old)
	snapshot := old.Snapshot()
	_, adopted = started.AdoptSnapshot(snapshot)
	is.True(adopted)
	is.Equal(len(snapshot.Changed), 1) // without the removed upstream
	is.Equal(snapshot.Changed[0].ID, fleet.UpstreamID("stays"))
	_, adopted = started.AdoptSnapshot(snapshot)
	is.True(!adopted)
	is.True(!started.ApplyPeerListing(snapshot))

	store = append(store, roster.Record{Upstream: roster.Upstream{ID: "stays"}, Removed: true})
	next := store.read(old)
	is.True(started.ApplyPeerListing(next))
	is.Equal(next.Removed, []fleet.UpstreamID{"stays"})
	is.Equal(len(started.Snapshot().Changed), 0)
}
