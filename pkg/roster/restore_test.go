package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
)

// TestRestoreFromAnOlderCopy checks the list after the store was restored from an
// older copy. Upstreams that ended since the copy stay out of the list, and those that
// started since stay in it if they renew their entries. An upstream whose entry was
// only missing for a while is listed again once it renews the entry.
func TestRestoreFromAnOlderCopy(t *testing.T) {
	is := is.New(t)
	store := topic{
		{Upstream: upstream("drained", "1", 0)}, {Upstream: upstream("silent", "2", 0)}, {Upstream: upstream("stays", "3", 0)},
	}
	oldCopy := append(topic(nil), store...)
	drains := upstream("drained", "1", 0)
	drains.Draining = true
	store = append(store, roster.Record{Upstream: drains}, roster.Record{Upstream: upstream("drained", "", 0), Removed: true},
		roster.Record{Upstream: upstream("silent", "", 0), Removed: true}, roster.Record{Upstream: upstream("new", "4", 1)})

	f, r, now := roster.NewFollower(), roster.New(), start
	f.SetEra(1)
	apply := func(l roster.Listing) {
		l.StoreHealthyFor = r.StoreHealthyFor(now)
		r.ApplyListing(now, l, nil)
		r.Tick(now, nil)
	}
	apply(f.ApplyRecords(store[:3], 3, true))
	apply(f.ApplyRecords(store[3:4], 4, false))
	apply(f.ApplyRecords(store[4:], uint64(len(store)), false))
	is.Equal(ids(r), []fleet.UpstreamID{"new", "stays"})

	now = now.Add(time.Second)
	f.RecordStoreRestore(2)
	store = oldCopy
	l := store.read(f)
	is.True(l.AfterRestore)
	apply(l)
	is.Equal(ids(r), []fleet.UpstreamID{"new", "stays"}) // unchanged by the restored copy

	now = now.Add(time.Second)
	store = append(store, roster.Record{Upstream: upstream("new", "4", 1)}, roster.Record{Upstream: upstream("silent", "2", 0)},
		roster.Record{Upstream: upstream("drained", "1", 0)}) // a delayed write
	apply(store.read(f))
	is.Equal(ids(r), []fleet.UpstreamID{"new", "silent", "stays"})

	now = now.Add(roster.RecoveryGracePeriod)
	apply(store.read(f))
	is.Equal(ids(r), []fleet.UpstreamID{"new", "silent", "stays"})
	store = append(store, roster.Record{Upstream: upstream("drained", "1", 5)}) // a new start
	apply(store.read(f))
	is.Equal(len(ids(r)), 4)
}

// TestUpstreamMissingInRestoredCopyIsRemoved guards against an upstream that is
// missing in the restored copy and stays in the list although it does not renew its
// entry within RecoveryGracePeriod.
func TestUpstreamMissingInRestoredCopyIsRemoved(t *testing.T) {
	is := is.New(t)
	f, r, now := roster.NewFollower(), roster.New(), start
	r.ApplyListing(now, f.ApplyRecords([]roster.Record{{Upstream: upstream("a", "1", 0)}}, 1, true), nil)
	f.RecordStoreRestore(2)
	l := f.ApplyRecords(nil, 0, true)
	r.ApplyListing(now, l, nil)
	is.Equal(len(ids(r)), 1)
	is.Equal(len(r.Tick(now.Add(roster.RecoveryGracePeriod), nil)), 1)
}

// TestListingsOfAnotherEra guards against a listing that is applied to the list of
// another era, because offsets of different eras are not comparable. A snapshot of the
// new era must bring a VM there without a read of the store.
func TestListingsOfAnotherEra(t *testing.T) {
	is := is.New(t)
	reader, other := roster.NewFollower(), roster.NewFollower()
	for _, f := range []*roster.Follower{reader, other} {
		f.SetEra(1)
		f.ApplyRecords([]roster.Record{{Upstream: upstream("a", "1", 0)}, {Upstream: upstream("b", "2", 0)}}, 5, true)
	}
	reader.RecordStoreRestore(2)
	reader.ApplyRecords([]roster.Record{{Upstream: upstream("a", "1", 0)}}, 5, true)
	next := reader.ApplyRecords([]roster.Record{{Upstream: upstream("c", "3", 0)}}, 6, false)
	is.True(!other.ApplyPeerListing(next))
	other.RecordStoreRestore(2)
	is.True(!other.ApplyPeerListing(next)) // it has no list of that era
	l, adopted := other.AdoptSnapshot(reader.Snapshot())
	is.True(adopted)
	is.Equal(l.Removed, []fleet.UpstreamID{"b"})
	last := reader.ApplyRecords([]roster.Record{{Upstream: upstream("d", "4", 0)}}, 7, false)
	is.True(other.ApplyPeerListing(last))
	old := roster.Listing{Whole: true, To: 9, Era: 1}
	_, adopted = other.AdoptSnapshot(old)
	is.True(!adopted)
}

// TestLeavingUpstreamStaysDraining guards against an upstream that announced its end
// and becomes ready again by an entry written before, even if it is listed for the
// first time only after the announcement.
func TestLeavingUpstreamStaysDraining(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Put(upstream("a", "1", 0), nil)
	changes := r.MarkLeaving(start, "a", start, nil)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Reason, roster.Leaves)
	is.Equal(len(r.MarkLeaving(start, "a", start, nil)), 0)
	r.Put(upstream("a", "1", 0), nil)
	a, _ := r.Get("a")
	is.True(a.Draining)
	r.Remove(start, "a", nil)
	r.Put(upstream("a", "1", 0), nil)
	is.Equal(len(ids(r)), 0)
	r.MarkLeaving(start, "b", start, nil) // not listed yet
	r.Put(upstream("b", "2", 0), nil)
	is.Equal(len(ids(r)), 0)
	r.Put(upstream("a", "1", 9), nil)
	is.Equal(len(ids(r)), 1)
}

// TestEarlierStartDoesNotTakeAddress guards against an entry of an earlier start, such
// as one from an older copy of the store, that takes an address from the upstream
// which has it now.
func TestEarlierStartDoesNotTakeAddress(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Put(upstream("now", "1", 5), nil)
	is.Equal(len(r.Put(upstream("before", "1", 0), nil)), 0)
	is.Equal(ids(r), []fleet.UpstreamID{"now"})
}
