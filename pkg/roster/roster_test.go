package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id, address string, born int) roster.Upstream {
	return roster.Upstream{ID: fleet.UpstreamID(id), Service: "s", Address: address, Born: start.Add(time.Duration(born) * time.Second)}
}

func ids(r *roster.Roster) []fleet.UpstreamID {
	var list []fleet.UpstreamID
	for _, u := range r.List() {
		list = append(list, u.ID)
	}
	return list
}

// TestRemovalIsImmediateWhileStoreIsHealthy guards against a removal that is delayed
// although the store is healthy: no work may be sent to a leaving upstream after its
// drain time.
func TestRemovalIsImmediateWhileStoreIsHealthy(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Put(upstream("a", "1", 0), nil)
	changes := r.Remove(start, "a", nil)
	is.Equal(len(changes), 1)
	is.True(changes[0].Gone)
	is.Equal(len(r.List()), 0)
}

// TestEntriesThatLapseInAnOutageMayBeRenewed guards against the loss of live upstreams
// after an outage of the store, in which all entries lapse. Live upstreams renew their
// entries within 2 s. Those still missing after RecoveryGracePeriod must be removed.
func TestEntriesThatLapseInAnOutageMayBeRenewed(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Put(upstream("alive", "1", 0), nil)
	r.Put(upstream("dead", "2", 0), nil)
	r.RecordStoreFailure(start)
	recoveredAt := start.Add(5 * time.Second)
	r.RecordStoreAnswer(recoveredAt)
	f := roster.NewFollower()
	f.ApplyRecords([]roster.Record{{Upstream: upstream("alive", "1", 0)}, {Upstream: upstream("dead", "2", 0)}}, 2, true)
	empty := f.ApplyRecords(nil, 4, true) // the list is empty right after the outage
	empty.StoreHealthyFor = r.StoreHealthyFor(recoveredAt)
	is.Equal(len(r.ApplyListing(recoveredAt, empty, nil)), 0)
	is.Equal(len(r.List()), 2)
	r.Put(upstream("alive", "1", 0), nil)
	is.Equal(len(r.Tick(recoveredAt.Add(time.Second), nil)), 0)
	changes := r.Tick(recoveredAt.Add(roster.RecoveryGracePeriod), nil)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Upstream.ID, fleet.UpstreamID("dead"))
	is.Equal(ids(r), []fleet.UpstreamID{"alive"})
}

// TestDrainingPersistsThroughAnOutage guards against a draining upstream that becomes
// ready again by an older entry, or that stays in the list when its entry is removed
// in an outage of the store.
func TestDrainingPersistsThroughAnOutage(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	u := upstream("a", "1", 0)
	r.Put(u, nil)
	u.Draining = true
	is.Equal(r.Put(u, nil)[0].Reason, roster.Drains)
	u.Draining = false
	r.Put(u, nil) // a delayed older entry
	got, _ := r.Get("a")
	is.True(got.Draining)
	r.RecordStoreFailure(start)
	is.Equal(len(r.Remove(start, "a", nil)), 1)
}

// TestRestartUnderTheSameID guards against a restarted upstream that keeps the layers
// of its earlier start.
func TestRestartUnderTheSameID(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	u := upstream("a", "1", 0)
	u.Layers = fleet.LayerRange{First: 0, End: 8}
	r.Put(u, nil)
	is.Equal(r.Put(upstream("a", "1", 9), nil)[0].Reason, roster.Listed)
	is.Equal(len(r.Put(u, nil)), 0) // a delayed entry of the earlier start
	got, _ := r.Get("a")
	is.Equal(got.Layers.Len(), 0)
}

// TestNewUpstreamTakesAddress guards against a request for an old upstream that
// reaches the new one at its address.
func TestNewUpstreamTakesAddress(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.Put(upstream("old", "1", 0), nil)
	changes := r.Put(upstream("new", "1", 9), nil)
	is.Equal(changes[0].Reason, roster.AddressTaken)
	is.Equal(ids(r), []fleet.UpstreamID{"new"})
}
