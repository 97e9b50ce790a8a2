package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// small returns six equal engines for a model of 8 layers of 1 GB; each holds 4.
func small() Input {
	in := Input{Models: []Model{{ID: "m", Version: "1", Layers: 8, BytesPerLayer: 1e9, Demand: 1}}}
	for _, id := range []fleet.UpstreamID{"a", "b", "c", "d", "e", "f"} {
		in.Engines = append(in.Engines, Engine{ID: id, DataCentre: "dc", Memory: 4.5e9, Speed: 100, Slots: 1})
	}
	return in
}

// TestOwnerPlacesAnEmptyFleet guards against an owner that never converges.
func TestOwnerPlacesAnEmptyFleet(t *testing.T) {
	is := is.New(t)
	s := newSim(t, small(), 3, 1e9)
	is.True(s.run(2*time.Minute, s.settled))
	is.True(s.served() > 0)
	t.Log(s.now.Sub(s.start), s.ordered/s.rate)
}

// TestCapacityReturnsAtStoreRate guards against re-placement slower than 1.2
// times what the weight store's rate dictates for the bytes to load, counted
// from the loss, and against loads faster than the store.
func TestCapacityReturnsAtStoreRate(t *testing.T) {
	losses := map[string]func(int, Engine) bool{
		"one engine":            func(i int, _ Engine) bool { return i == 5 },
		"a third of engines":    func(i int, _ Engine) bool { return i%3 == 1 && i%2 == 0 || i%6 == 5 },
		"the first data centre": func(_ int, e Engine) bool { return e.DataCentre == "dc0" },
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			in := today(40, 1)
			s := newSim(t, in, 2, gib)
			if !s.run(time.Hour, s.settled) {
				t.Fatal("not settled")
			}
			before, from, count := s.served(), s.ordered, 0
			for i, e := range in.Engines {
				if lost(i, e) {
					s.fail(e.ID)
					count++
				}
			}
			at, least := s.now, s.served()
			s.run(4*time.Second, nil)
			if !s.run(time.Hour, func() bool { least = min(least, s.served()); return s.settled() }) {
				t.Fatal("not settled after the loss")
			}
			took, dictated := s.now.Sub(at).Seconds(), (s.ordered-from)/s.rate
			t.Logf("lost %d engines: served %.0f, then %.0f, lowest %.0f; loaded %.1f GiB; took %.1f s, store dictates %.1f s: %.3f; in force %.3f of bound",
				count, before, s.served(), least, (s.ordered-from)/gib, took, dictated, took/dictated, s.vms[s.owner()].owner.plan.Ratio())
			if took > 1.2*dictated && dictated > 20 {
				t.Errorf("took %.1f s, more than 1.2 times %.1f s", took, dictated)
			}
			if len(s.takenDown) > 0 {
				t.Errorf("taken down: %v", s.takenDown)
			}
		})
	}
}
