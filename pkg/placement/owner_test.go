package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// smallInput returns a model of 8 layers of 1 GB and six equal engines, each with
// memory for 4 layers.
func smallInput() Input {
	in := Input{Models: []Model{{ID: "m", Version: "1", Layers: 8, BytesPerLayer: 1e9, Demand: 1}}}
	for _, id := range []fleet.UpstreamID{"a", "b", "c", "d", "e", "f"} {
		in.Engines = append(in.Engines, Engine{ID: id, DataCentre: "dc", Memory: 4.5e9, Speed: 100, Slots: 1})
	}
	return in
}

// TestOwnerPlacesAnEmptyFleet guards against an owner that never converges, and
// against repeated orders caused by reports that lag behind the orders.
func TestOwnerPlacesAnEmptyFleet(t *testing.T) {
	is := is.New(t)
	s := newSim(smallInput(), 3, 1e9)
	is.True(s.run(time.Minute, s.settled))
	is.Equal(s.served(), 75.0) // 6 engines x 100 / 8 layers
	s.run(30*time.Second, nil)
	is.Equal(s.vms[0].owner.Counters().Reissues, 0)
}

// TestCapacityReturnsAtStoreRate guards against slow recovery after the loss of
// engines: counted from the loss, it may take at most 1.2 times as long as the
// weight store needs for the bytes to load. It also guards against changes that
// interrupt service.
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
			in := typicalInput(40, 1)
			s := newSim(in, 2, gib)
			if !s.run(time.Hour, s.settled) {
				t.Fatal("not settled before the loss")
			}
			before, orderedBefore, count := s.served(), s.orderedBytes, 0
			for i, e := range in.Engines {
				if lost(i, e) {
					s.fail(e.ID)
					count++
				}
			}
			lostAt, after, least := s.now, s.served(), s.served()
			var served []float64
			s.run(4*time.Second, func() bool { served = append(served, s.served()); return false })
			if !s.run(time.Hour, func() bool { served = append(served, s.served()); return s.settled() }) {
				t.Fatal("not settled after the loss")
			}
			recoverySteps := len(served) // steps until the throughput is restored permanently
			for recoverySteps > 0 && served[recoverySteps-1] >= 0.99*s.served() {
				recoverySteps--
			}
			least = min(least, slices.Min(served))
			recoverySeconds, totalSeconds := float64(recoverySteps)*simStep.Seconds(), s.now.Sub(lostAt).Seconds()
			storeSeconds := (s.orderedBytes - orderedBefore) / s.rate
			t.Logf("lost %d engines: throughput before the loss %.0f, after it %.0f, lowest %.0f, at the end %.0f; loaded %.1f GiB, for which the store needs %.1f s; capacity restored after %.1f s, all loaded after %.1f s; plan at %.3f of the bound",
				count, before, after, least, s.served(), (s.orderedBytes-orderedBefore)/gib, storeSeconds, recoverySeconds, totalSeconds, s.vms[s.owner()].owner.plan.Ratio())
			if recoverySeconds > 1.2*storeSeconds {
				t.Errorf("recovery took %.1f s, more than 1.2 times the store's %.1f s", recoverySeconds, storeSeconds)
			}
			if len(s.outageCauses) > 0 {
				t.Errorf("service interrupted by orders to engines %v", s.outageCauses)
			}
		})
	}
}

// TestLateOrderOfPausedOwner guards against the effects of a former owner's order
// that arrives after another VM took over. Engines that enforce fencing must
// refuse it. Engines that ignore fencing must be read back and ordered again, and
// the new owner must not order them before the former lease has ended.
func TestLateOrderOfPausedOwner(t *testing.T) {
	for _, fencing := range []Fencing{FencingEnforced, FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			is := is.New(t)
			in := smallInput()
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
			s.updateInput(func(in *Input) { in.Models[0].Version = "2" })
			is.True(s.run(time.Minute, func() bool { return s.owner() == 1 }))
			is.Equal(s.vms[0].paused, true) // paused with an order in flight
			takeoverAt, orders := s.now, s.vms[1].owner.Counters().Orders
			s.run(9*time.Second, nil)
			if fencing == FencingIgnored {
				is.Equal(s.vms[1].owner.Counters().Orders, orders) // no order within one lease period
			}
			is.True(s.run(70*time.Second, s.settled))
			// The new owner settles on version 3 before the late order for version 2 arrives.
			s.updateInput(func(in *Input) { in.Models[0].Version = "3" })
			s.run(takeoverAt.Add(79*time.Second).Sub(s.now), nil)
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
			s.resume(0)
			s.run(5*time.Second, nil)
			is.Equal(s.owner(), 1)
		})
	}
}

// TestVersionChangeKeepsServing guards against removing the old version before
// the new one has a complete chain, also where the store is fast enough for all
// loads to start at once.
func TestVersionChangeKeepsServing(t *testing.T) {
	for _, rate := range []float64{1e9, 1e12} {
		is := is.New(t)
		s := newSim(smallInput(), 1, rate)
		is.True(s.run(time.Minute, s.settled))
		s.updateInput(func(in *Input) { in.Models[0].Version = "2" })
		lowest := s.served()
		is.True(s.run(time.Minute, func() bool {
			lowest = min(lowest, s.served())
			return s.settled() && s.vms[0].owner.plan.Wanted["a"].Version == "2"
		}))
		is.Equal(len(s.outageCauses), 0)
		is.True(lowest > 0)
	}
}

// TestLastHolderStays guards against reassigning an engine that is the only
// holder of its range.
func TestLastHolderStays(t *testing.T) {
	is := is.New(t)
	in := smallInput()
	in.Engines = in.Engines[:2]
	s := newSim(in, 1, 1e9)
	is.True(s.run(time.Minute, s.settled))
	s.updateInput(func(in *Input) { in.Models[0].Version = "2" })
	s.run(2*time.Minute, nil)
	is.Equal(len(s.outageCauses), 0)
	is.True(s.served() > 0)
	is.True(s.vms[0].owner.blocked)
}

// TestTakeoverReissuesOrdersWithNewEpoch guards against engines that accept late
// orders of a former owner because the new owner had no reason to change them
// and sent them no order.
func TestTakeoverReissuesOrdersWithNewEpoch(t *testing.T) {
	is := is.New(t)
	s := newSim(smallInput(), 2, 1e9)
	is.True(s.run(time.Minute, s.settled))
	s.vms[0].paused = true
	former := s.vms[0].owner.Epoch()
	is.True(s.run(time.Minute, func() bool { return s.owner() == 1 }))
	is.True(s.run(10*time.Second, nil))
	for _, e := range s.engines {
		is.True(e.epoch > former)
		is.Equal(e.loads, 1) // repeating the assignment loads nothing
	}
}

// TestNoOrderWithoutLease guards against orders after the lease ended by the
// holder's own clock because a log outage prevented its renewal.
func TestNoOrderWithoutLease(t *testing.T) {
	is := is.New(t)
	s := newSim(smallInput(), 1, 1e9)
	is.True(s.run(time.Minute, s.settled))
	s.logDown = true
	s.run(10*time.Second, nil)
	orders := s.vms[0].owner.Counters().Orders
	s.updateInput(func(in *Input) { in.Models[0].Version = "2" })
	s.run(time.Minute, nil)
	is.Equal(s.vms[0].owner.Counters().Orders, orders)
	s.logDown = false
	is.True(s.run(time.Minute, func() bool { return s.settled() && s.engines["a"].held.Version == "2" }))
}

// TestFlappingEngine guards against loads on each loss and recovery of a flapping
// engine, with or without its weights.
func TestFlappingEngine(t *testing.T) {
	t.Parallel()
	for _, empty := range []bool{false, true} {
		is := is.New(t)
		s := newSim(smallInput(), 1, 1e9)
		is.True(s.run(time.Minute, s.settled))
		flap := func(times int) (loads int) {
			for _, e := range s.engines {
				loads -= e.loads
			}
			for range times {
				s.fail("a")
				s.run(8*time.Second, nil)
				s.restore("a", empty)
				s.run(8*time.Second, nil)
			}
			for _, e := range s.engines {
				loads += e.loads
			}
			return loads
		}
		first, further := flap(3), flap(37)
		t.Logf("empty %t: %d loads in 3 losses, %d loads in 37 further losses", empty, first, further)
		is.Equal(further, 0) // held down since its second loss
		s.run(20*time.Minute, nil)
		is.True(s.settled())
		is.True(s.engines["a"].held.Role == upstream.RoleServe) // used again once stable
	}
}

// TestLoadsKeepTheStoreRate guards against orders that exceed the weight store's
// rate and build up a backlog.
func TestLoadsKeepTheStoreRate(t *testing.T) {
	is := is.New(t)
	in := typicalInput(40, 1)
	s := newSim(in, 1, gib)
	var first time.Time
	is.True(s.run(time.Hour, func() bool {
		if first.IsZero() && s.orderedBytes > 0 {
			first = s.now
		}
		if most := s.rate*(s.now.Sub(first)+time.Second).Seconds() + s.largestLoad; !first.IsZero() && s.orderedBytes > most*1.001 {
			t.Fatalf("%.1f GiB ordered within %v, which exceeds the store's rate", s.orderedBytes/gib, s.now.Sub(first))
		}
		return s.settled()
	}))
}

// TestLostAnswerRepeatsTheOrder guards against a plan that is never completed
// because an order or its answer was lost, and against repeated loads.
func TestLostAnswerRepeatsTheOrder(t *testing.T) {
	for _, f := range []fault{orderLost, answerLost} {
		is := is.New(t)
		s := newSim(smallInput(), 1, 1e9)
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

// TestReadBackInterval guards against intervals within the bounds of the setting
// placement.read_back that have no effect, or with which one failed read counts
// as the loss of an engine.
func TestReadBackInterval(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		is := is.New(t)
		s := newSim(smallInput(), 1, 1e9)
		is.True(s.run(time.Minute, s.settled))
		o, id := s.vms[0].owner, s.in.Engines[0].ID
		o.SetReadBack(interval)
		is.True(s.run(2*interval, nil))

		before := o.engines[id].requestedAt
		is.True(s.run(time.Minute, func() bool { return o.engines[id].requestedAt.After(before) }))
		before = o.engines[id].requestedAt
		is.True(s.run(time.Minute, func() bool { return o.engines[id].requestedAt.After(before) }))
		between := o.engines[id].requestedAt.Sub(before)
		is.True(between >= interval && between <= interval+4*simStep)

		s.fail(id)
		is.True(s.run(time.Minute, func() bool { return !o.engines[id].failingSince.IsZero() }))
		s.restore(id, false)
		is.True(s.run(time.Minute, nil))
		is.Equal(o.engines[id].losses, 0)
	}
}
