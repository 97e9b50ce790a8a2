package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// small returns six equal engines for a model of 8 layers of 1 GB; each holds 4.
func small() Input {
	in := Input{Models: []Model{{ID: "m", Version: "1", Layers: 8, BytesPerLayer: 1e9, Demand: 1}}}
	for _, id := range []fleet.UpstreamID{"a", "b", "c", "d", "e", "f"} {
		in.Engines = append(in.Engines, Engine{ID: id, DataCentre: "dc", Memory: 4.5e9, Speed: 100, Slots: 1})
	}
	return in
}

// TestOwnerPlacesAnEmptyFleet guards against an owner that never converges, and
// one that takes late reports for engines that differ from their orders.
func TestOwnerPlacesAnEmptyFleet(t *testing.T) {
	is := is.New(t)
	s := newSim(small(), 3, 1e9)
	is.True(s.run(time.Minute, s.settled))
	is.Equal(s.served(), 75.0) // 6 engines x 100 / 8 layers
	s.run(30*time.Second, nil)
	is.Equal(s.vms[0].owner.Counters().Reissues, 0)
}

// TestCapacityReturnsAtStoreRate guards against re-placement slower than 1.2
// times what the weight store's rate dictates for the bytes to load, counted
// from the loss, and against loads faster than the store.
func TestCapacityReturnsAtStoreRate(t *testing.T) {
	t.Parallel()
	losses := map[string]func(int, Engine) bool{
		"one fast engine":       func(i int, _ Engine) bool { return i == 4 },
		"one slow engine":       func(i int, _ Engine) bool { return i == 5 },
		"a third of engines":    func(i int, _ Engine) bool { return i%3 == 1 && i%2 == 0 || i%6 == 5 },
		"the first data centre": func(_ int, e Engine) bool { return e.DataCentre == "dc0" },
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := today(40, 1)
			s := newSim(in, 2, gib)
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
			at, after, least := s.now, s.served(), s.served()
			var served []float64
			s.run(4*time.Second, func() bool { served = append(served, s.served()); return false })
			if !s.run(time.Hour, func() bool { served = append(served, s.served()); return s.settled() }) {
				t.Fatal("not settled after the loss")
			}
			back := len(served) // steps until the capacity is back for good
			for back > 0 && served[back-1] >= 0.99*s.served() {
				back--
			}
			least = min(least, slices.Min(served))
			took, whole := float64(back)*simStep.Seconds(), s.now.Sub(at).Seconds()
			dictated := (s.ordered - from) / s.rate
			t.Logf("lost %d engines: served %.0f, after the loss %.0f, lowest %.0f, at last %.0f; loaded %.1f GiB, store dictates %.1f s; capacity back after %.1f s, all loaded after %.1f s; in force %.3f of bound",
				count, before, after, least, s.served(), (s.ordered-from)/gib, dictated, took, whole, s.vms[s.owner()].owner.plan.Ratio())
			if took > 1.2*dictated {
				t.Errorf("took %.1f s, more than 1.2 times %.1f s", took, dictated)
			}
			if len(s.takenDown) > 0 {
				t.Errorf("taken down: %v", s.takenDown)
			}
		})
	}
}

// TestLateOrderOfPausedOwner guards against a former owner whose order arrives
// after another VM took over: enforced engines refuse it, ignoring ones are
// read back and ordered again, and are not ordered before the former lease ended.
func TestLateOrderOfPausedOwner(t *testing.T) {
	for _, fencing := range []Fencing{FencingEnforced, FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			is := is.New(t)
			in := small()
			for i := range in.Engines {
				in.Engines[i].Fencing = fencing
			}
			s := newSim(in, 2, 1e9)
			is.True(s.run(time.Minute, s.settled))
			s.delayOrder = func(vm int) time.Duration {
				if vm == 0 {
					s.vms[0].paused = true
					return 90 * time.Second
				}
				return 0
			}
			s.change(func(in *Input) { in.Models[0].Version = "2" })
			is.True(s.run(time.Minute, func() bool { return s.owner() == 1 }))
			is.Equal(s.vms[0].paused, true) // paused with an order under way
			taken, orders := s.now, s.vms[1].owner.Counters().Orders
			s.run(9*time.Second, nil)
			if fencing == FencingIgnored {
				is.Equal(s.vms[1].owner.Counters().Orders, orders) // no order within one lease period
			}
			is.True(s.run(70*time.Second, s.settled))
			// The new owner settles on version 3, then the late order for 2 arrives.
			s.change(func(in *Input) { in.Models[0].Version = "3" })
			s.run(taken.Add(79*time.Second).Sub(s.now), nil)
			is.True(s.run(time.Minute, s.settled))
			refused, reissues := s.refused, s.vms[1].owner.Counters().Reissues
			s.run(90*time.Second, nil)
			is.True(s.run(time.Minute, s.settled))
			if fencing == FencingEnforced {
				is.True(s.refused > 0)
				is.Equal(s.vms[1].owner.Counters().Reissues, reissues)
			} else {
				is.Equal(s.refused, refused)
				is.True(s.vms[1].owner.Counters().Reissues > 0)
			}
			s.wake(0)
			s.run(5*time.Second, nil)
			is.Equal(s.owner(), 1)
		})
	}
}

// TestVersionChangeKeepsServing guards against taking down the old version
// before the new one is complete, also where the store lets all loads begin at once.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, rate := range []float64{1e9, 1e12} {
		is := is.New(t)
		s := newSim(small(), 1, rate)
		is.True(s.run(time.Minute, s.settled))
		s.change(func(in *Input) { in.Models[0].Version = "2" })
		lowest := s.served()
		is.True(s.run(time.Minute, func() bool {
			lowest = min(lowest, s.served())
			return s.settled() && s.vms[0].owner.plan.Wanted["a"].Version == "2"
		}))
		is.Equal(len(s.takenDown), 0)
		is.True(lowest > 0)
	}
}

// TestLastHolderStays guards against taking an engine off a range that no other holds.
func TestLastHolderStays(t *testing.T) {
	is := is.New(t)
	in := small()
	in.Engines = in.Engines[:2]
	s := newSim(in, 1, 1e9)
	is.True(s.run(time.Minute, s.settled))
	s.change(func(in *Input) { in.Models[0].Version = "2" })
	s.run(2*time.Minute, nil)
	is.Equal(len(s.takenDown), 0)
	is.True(s.served() > 0)
	is.True(s.vms[0].owner.blocked)
}

// TestTakeoverRaisesTheFence guards against late orders of a former owner to
// engines that the new owner has no reason to change.
func TestTakeoverRaisesTheFence(t *testing.T) {
	is := is.New(t)
	s := newSim(small(), 2, 1e9)
	is.True(s.run(time.Minute, s.settled))
	s.vms[0].paused = true
	former := s.vms[0].owner.Epoch()
	is.True(s.run(time.Minute, func() bool { return s.owner() == 1 }))
	is.True(s.run(10*time.Second, nil))
	for _, e := range s.engines {
		is.True(e.epoch > former)
		is.Equal(e.loads, 1) // the same assignment again loads nothing
	}
}

// TestNoOrderWithoutLease guards against orders after the lease has ended by
// the holder's own clock, while the log does not answer.
func TestNoOrderWithoutLease(t *testing.T) {
	is := is.New(t)
	s := newSim(small(), 1, 1e9)
	is.True(s.run(time.Minute, s.settled))
	s.logDown = true
	s.run(10*time.Second, nil)
	orders := s.vms[0].owner.Counters().Orders
	s.change(func(in *Input) { in.Models[0].Version = "2" })
	s.run(time.Minute, nil)
	is.Equal(s.vms[0].owner.Counters().Orders, orders)
	s.logDown = false
	is.True(s.run(time.Minute, func() bool { return s.settled() && s.engines["a"].held.Version == "2" }))
}

// TestFlappingEngine guards against loads each time that an engine goes away
// and comes back, with or without its weights.
func TestFlappingEngine(t *testing.T) {
	t.Parallel()
	for _, empty := range []bool{false, true} {
		is := is.New(t)
		s := newSim(small(), 1, 1e9)
		is.True(s.run(time.Minute, s.settled))
		flap := func(times int) (loads int) {
			for _, e := range s.engines {
				loads -= e.loads
			}
			for range times {
				s.fail("a")
				s.run(8*time.Second, nil)
				s.back("a", empty)
				s.run(8*time.Second, nil)
			}
			for _, e := range s.engines {
				loads += e.loads
			}
			return loads
		}
		first, further := flap(3), flap(37)
		t.Logf("empty %t: %d loads in 3 losses, %d in 37 further ones", empty, first, further)
		is.Equal(further, 0) // held down since its second loss
		s.run(20*time.Minute, nil)
		is.True(s.settled())
		is.True(s.engines["a"].held.Role == upstream.RoleServe) // used again once stable
	}
}

// TestLoadsKeepTheStoreRate guards against orders that pile up at the weight store.
func TestLoadsKeepTheStoreRate(t *testing.T) {
	is := is.New(t)
	in := today(40, 1)
	s := newSim(in, 1, gib)
	var first time.Time
	is.True(s.run(time.Hour, func() bool {
		if first.IsZero() && s.ordered > 0 {
			first = s.now
		}
		if most := s.rate*(s.now.Sub(first)+time.Second).Seconds() + s.biggest; !first.IsZero() && s.ordered > most*1.001 {
			t.Fatalf("%.1f GiB ordered after %v", s.ordered/gib, s.now.Sub(first))
		}
		return s.settled()
	}))
}

// TestLostAnswerRepeatsTheOrder guards against a plan that stays undone because
// an order or its answer was lost, and against loading twice.
func TestLostAnswerRepeatsTheOrder(t *testing.T) {
	for _, f := range []fault{orderLost, answerLost} {
		is := is.New(t)
		s := newSim(small(), 1, 1e9)
		count := 0
		s.orderFault = func() fault {
			count++
			if count%2 == 1 {
				return f
			}
			return noFault
		}
		is.True(s.run(3*time.Minute, s.settled))
		for _, e := range s.engines {
			is.Equal(e.loads, 1)
		}
	}
}

// TestReadBackInterval guards against an interval, within the bounds of the
// setting placement.read_back, with which one failed read loses an engine or
// which has no effect.
func TestReadBackInterval(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		is := is.New(t)
		s := newSim(small(), 1, 1e9)
		is.True(s.run(time.Minute, s.settled))
		o, id := s.vms[0].owner, s.in.Engines[0].ID
		o.SetReadBack(interval)
		is.True(s.run(2*interval, nil))

		before := o.engines[id].askedAt
		is.True(s.run(time.Minute, func() bool { return o.engines[id].askedAt.After(before) }))
		before = o.engines[id].askedAt
		is.True(s.run(time.Minute, func() bool { return o.engines[id].askedAt.After(before) }))
		between := o.engines[id].askedAt.Sub(before)
		is.True(between >= interval && between <= interval+4*simStep)

		s.fail(id)
		is.True(s.run(time.Minute, func() bool { return !o.engines[id].failingSince.IsZero() }))
		s.back(id, false)
		is.True(s.run(time.Minute, nil))
		is.Equal(o.engines[id].losses, 0)
	}
}
