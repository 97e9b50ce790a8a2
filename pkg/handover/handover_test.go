package handover_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/handover"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const grace = 7300 * time.Millisecond

func stopping(address string, ordered float64) handover.VM {
	return handover.VM{Address: address, Stopping: true, Ordered: at(ordered), Exit: at(ordered).Add(grace)}
}

// TestStoppingVMLeavesGenerationsToOthers: what could not end in the grace time is
// not begun, and while no other VM takes callers only what surely ends is.
func TestStoppingVMLeavesGenerationsToOthers(t *testing.T) {
	is := is.New(t)
	ready := []handover.VM{{Address: "other"}}
	is.True(handover.TakesGeneration(at(0), handover.VM{}, ready, time.Hour))
	self := handover.VM{Stopping: true, Ordered: at(0), Exit: at(7)}
	is.True(handover.TakesGeneration(at(1), self, ready, time.Hour)) // callers still have the address
	is.True(!handover.TakesGeneration(at(3), self, ready, time.Second))
	is.True(handover.TakesGeneration(at(3), self, nil, time.Second))
	is.True(!handover.TakesGeneration(at(3), self, nil, 4*time.Second))
	is.True(handover.TakesGeneration(at(2.6), self, nil, time.Hour)) // excused if its end cuts it
}

// TestVMsStopOneAfterTheOther: four VMs get the order a second apart, and stand still in
// their grace time together. Callers are always sent to a VM that takes them while there is
// one, and are told when the first VM is back while there is none.
func TestVMsStopOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	served, told := 0, 0
	for tick := range 100 {
		now := at(float64(tick) / 10)
		var vms []handover.VM
		for i := range 4 {
			v := handover.VM{Address: fmt.Sprint("vm", i)}
			if s := stopping(v.Address, float64(i)); !now.Before(s.Ordered) {
				v = s
			}
			if now.After(at(float64(i)).Add(grace).Add(900 * time.Millisecond)) {
				v = handover.VM{Address: v.Address}
			}
			vms = append(vms, v)
		}
		named := handover.Named(now, vms)
		is.True(len(named) > 0)
		for i, v := range vms {
			others := append(append([]handover.VM(nil), vms[:i]...), vms[i+1:]...)
			for _, address := range named {
				if address != v.Address {
					continue
				}
				if handover.TakesGeneration(now, v, others, time.Hour) {
					served++
					continue
				}
				told++
				back := now.Add(handover.ComeBack(now, v, others, 0.5))
				is.True(!back.Before(at(8.2)) && back.Before(at(9))) // the first one is back at 8.2 s
			}
		}
	}
	// From 5.8 s, when the last VM takes no more, to 8.2 s nobody can.
	is.True(told > 0)
	is.True(served > 0)
	last := stopping("vm3", 3)
	is.Equal(handover.Named(at(5.5), []handover.VM{stopping("vm0", 0), stopping("vm1", 1), stopping("vm2", 2), last}), []string{"vm3"})
	is.True(handover.TakesGeneration(at(5.5), last, []handover.VM{stopping("vm0", 0)}, time.Hour))
}

// TestTwoVMsStopTogether: both are named.
func TestTwoVMsStopTogether(t *testing.T) {
	is := is.New(t)
	is.Equal(handover.Named(at(1), []handover.VM{stopping("a", 0), stopping("b", 0.1)}), []string{"a", "b"})
	is.Equal(handover.Named(at(1), []handover.VM{stopping("a", 0), {Address: "c"}, stopping("b", 0.1)}), []string{"c"})
	is.Equal(handover.ComeBack(at(1), stopping("a", 0), []handover.VM{{Address: "c"}}, 0.5), 100*time.Millisecond)
}

// TestManyVMsStopInTurn: of 30 VMs one after the other gets the order; callers are never
// sent to one that stops.
func TestManyVMsStopInTurn(t *testing.T) {
	is := is.New(t)
	for _, gap := range []float64{0.2, 1, 3} {
		for tick := range 200 {
			now := float64(tick) * gap / 4
			var vms []handover.VM
			for i := range 30 {
				v := handover.VM{Address: fmt.Sprint(100 + i)}
				if s := stopping(v.Address, float64(i)*gap); !at(now).Before(s.Ordered) && at(now).Before(s.Exit) {
					v = s
				}
				vms = append(vms, v)
			}
			byAddress := map[string]handover.VM{}
			for _, v := range vms {
				byAddress[v.Address] = v
			}
			ready := handover.Ready(vms)
			for _, address := range handover.Named(at(now), vms) {
				is.True(!ready || !byAddress[address].Stopping)
			}
		}
	}
}

// TestVMThatFallsSilent: callers are not sent there after half a second in a small fleet,
// but to a silent one rather than to nobody's address.
func TestVMThatFallsSilent(t *testing.T) {
	is := is.New(t)
	is.True(!handover.Quiet(at(0.5), at(0), 100*time.Millisecond))
	is.True(handover.Quiet(at(0.51), at(0), 100*time.Millisecond))
	is.Equal(handover.Named(at(0), []handover.VM{{Address: "self"}, {Address: "dead", Quiet: true}}), []string{"self"})
	// All others are silent while this VM stops: it is named as long as it runs.
	is.Equal(handover.Named(at(6), []handover.VM{stopping("self", 0), {Address: "dead", Quiet: true}}), []string{"self"})
	is.Equal(handover.ComeBack(at(6), stopping("self", 0), []handover.VM{{Address: "dead", Quiet: true}}, 0), 2200*time.Millisecond)
}
