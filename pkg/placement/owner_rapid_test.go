package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestOwnersConverge guards against states from which owners do not recover.
// After any mix of VM pauses and crashes, lost and late orders, log outages,
// engine losses and version changes, all engines must serve the newest owner's
// plan and continue to do so.
func TestOwnersConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		in := smallInput()
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
			"wake":  func(t *rapid.T) { s.resume(vm.Draw(t, "vm")) },
			"crash": func(t *rapid.T) { s.restartVM(vm.Draw(t, "vm")) },
			"fail":  func(t *rapid.T) { s.fail(engine.Draw(t, "engine")) },
			"back":  func(t *rapid.T) { s.restore(engine.Draw(t, "engine"), rapid.Bool().Draw(t, "empty")) },
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
				s.updateInput(func(in *Input) { in.Models[0].Version = string(rune('0' + version%10)) })
			},
		})
		s.clearFaults()
		// Wait until the longest hold-down has ended and all late orders have arrived.
		s.run(2*time.Minute, nil)
		if !s.run(3*time.Minute, s.settled) {
			t.Fatalf("not settled: owner %d%s", s.owner(), s.describe())
		}
		if s.served() <= 0 {
			t.Fatal("settled without a complete chain of any version")
		}
		for n := range 60 {
			if s.run(time.Second, nil); !s.settled() {
				t.Fatalf("no longer settled after %d s%s", n, s.describe())
			}
		}
	})
}

// describe lists the owner's state and each engine's actual and intended assignment.
func (s *sim) describe() string {
	out := ""
	if vm := s.owner(); vm >= 0 {
		o := s.vms[vm].owner
		out = fmt.Sprintf(", planned %t dirty %t blocked %t", o.planned, o.dirty, o.blocked)
		for _, id := range o.engineIDs {
			e, v := s.engines[id], o.engines[id]
			out += fmt.Sprintf("\n%s holds %v, %.0f bytes to load; intended %v, wanted %v, usable %t", id, e.held, e.remaining, v.intended, v.wanted, v.usable(s.now))
		}
	}
	return out
}

// clearFaults ends all faults, restores all engines and resumes all VMs.
func (s *sim) clearFaults() {
	s.logDown = false
	s.orderFault = func() fault { return noFault }
	s.delayOrder = func(int) time.Duration { return 0 }
	for id, e := range s.engines {
		if e.down {
			s.restore(id, false)
		}
	}
	for vm := range s.vms {
		s.resume(vm)
	}
}

// restartVM replaces a VM's owner by a new one without any state.
func (s *sim) restartVM(vm int) {
	v := s.vms[vm]
	v.owner = NewOwner(v.owner.config, s.now)
	v.paused, v.inbox = false, nil
	if s.epoch > 0 {
		s.deliver(vm, s.lastLease) // the log is read from its start
	}
	s.deliver(vm, InputChanged{s.in})
}
