package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestOwnersConverge guards against states that owners never leave: after any
// mix of pauses, crashes, lost orders, late orders, log outages, engine losses
// and version changes, all engines serve the newest owner's plan and stay so.
func TestOwnersConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		in := small()
		for i := range in.Engines {
			if rapid.Bool().Draw(t, "ignored") {
				in.Engines[i].Fencing = FencingIgnored
			}
		}
		s := newSim(in, 3, 2e9)
		for vm := range s.vms {
			s.vms[vm].owner.config.MaxHoldDown = time.Minute
		}
		vm := rapid.IntRange(0, 2)
		engine := rapid.Map(rapid.IntRange(0, len(in.Engines)-1), func(i int) fleet.UpstreamID { return in.Engines[i].ID })
		version := 1
		t.Repeat(map[string]func(*rapid.T){
			"run":   func(t *rapid.T) { s.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "s"))*time.Second, nil) },
			"pause": func(t *rapid.T) { s.vms[vm.Draw(t, "vm")].paused = true },
			"wake":  func(t *rapid.T) { s.wake(vm.Draw(t, "vm")) },
			"crash": func(t *rapid.T) { s.replaceVM(vm.Draw(t, "vm")) },
			"fail":  func(t *rapid.T) { s.fail(engine.Draw(t, "engine")) },
			"back":  func(t *rapid.T) { s.back(engine.Draw(t, "engine"), rapid.Bool().Draw(t, "empty")) },
			"log":   func(t *rapid.T) { s.logDown = rapid.Bool().Draw(t, "down") },
			"faults": func(t *rapid.T) {
				f := fault(rapid.IntRange(0, 2).Draw(t, "fault"))
				s.orderFault = func() fault { return f }
			},
			"late": func(t *rapid.T) {
				late := time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second
				slow := vm.Draw(t, "vm")
				s.delayOrder = func(vm int) time.Duration {
					if vm == slow {
						return late
					}
					return 0
				}
			},
			"version": func(t *rapid.T) {
				version++
				s.change(func(in *Input) { in.Models[0].Version = string(rune('0' + version%10)) })
			},
		})
		s.heal()
		// The longest hold-down and the late orders pass first.
		s.run(2*time.Minute, nil)
		if !s.run(3*time.Minute, s.settled) {
			t.Fatalf("not settled: owner %d%s", s.owner(), s.describe())
		}
		if s.served() <= 0 {
			t.Fatal("no complete chain")
		}
		for n := range 60 {
			if s.run(time.Second, nil); !s.settled() {
				t.Fatalf("unsettled again after %d s%s", n, s.describe())
			}
		}
	})
}

// describe lists what each engine holds and should hold.
func (s *sim) describe() string {
	out := ""
	if vm := s.owner(); vm >= 0 {
		o := s.vms[vm].owner
		out = fmt.Sprintf(", planned %t dirty %t blocked %t", o.planned, o.dirty, o.blocked)
		for _, id := range o.order {
			e, v := s.engines[id], o.engines[id]
			out += fmt.Sprintf("\n%s holds %v, %.0f to load; intended %v, wanted %v, usable %t", id, e.held, e.remaining, v.intended, v.wanted, v.usable(s.now))
		}
	}
	return out
}

func (s *sim) heal() {
	s.logDown = false
	s.orderFault = func() fault { return noFault }
	s.delayOrder = func(int) time.Duration { return 0 }
	for id, e := range s.engines {
		if e.down {
			s.back(id, false)
		}
	}
	for vm := range s.vms {
		s.wake(vm)
	}
}

// replaceVM replaces a VM by a new one that knows nothing.
func (s *sim) replaceVM(vm int) {
	v := s.vms[vm]
	v.owner = NewOwner(v.owner.config, s.now)
	v.paused, v.inbox = false, nil
	if s.epoch > 0 {
		s.deliver(vm, s.lease) // the log is read from its start
	}
	s.deliver(vm, InputChanged{s.in})
}
