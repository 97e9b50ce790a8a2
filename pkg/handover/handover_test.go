package handover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/pace"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const grace = 7300 * time.Millisecond

func stopping(address string, ordered float64) handover.VM {
	return handover.VM{Address: address, Stopping: true, StopOrderedAt: at(ordered), ExitDeadline: at(ordered).Add(grace)}
}

// TestStoppingVMLeavesGenerationsToOthers guards against generations that a stopping VM
// accepts but may not finish before its exit. While another VM is ready it refuses all
// generations once callers had time to learn of the other VM. Whenever it was ordered to stop, it
// accepts only generations that end before its exit.
func TestStoppingVMLeavesGenerationsToOthers(t *testing.T) {
	is := is.New(t)
	ready := []handover.VM{{Address: "other"}}
	is.True(handover.AcceptsGeneration(at(0), handover.VM{}, ready, time.Hour))
	self := handover.VM{Stopping: true, StopOrderedAt: at(0), ExitDeadline: at(7)}
	is.True(handover.AcceptsGeneration(at(1), self, ready, 5*time.Second)) // callers still cache the address
	is.True(!handover.AcceptsGeneration(at(1), self, ready, 7*time.Second))
	is.True(!handover.AcceptsGeneration(at(3), self, ready, time.Second))
	is.True(handover.AcceptsGeneration(at(3), self, nil, time.Second))
	is.True(!handover.AcceptsGeneration(at(3), self, nil, 4*time.Second))
	is.True(handover.AcceptsGeneration(at(2.6), self, nil, 4*time.Second))
	is.True(!handover.AcceptsGeneration(at(2.6), self, nil, time.Hour))
}

// TestRefusedCallersAreSentToVMsThatCanServeThem guards against callers that a stopping VM sends to
// another one which has to refuse them as well, because it exits before their request could end.
func TestRefusedCallersAreSentToVMsThatCanServeThem(t *testing.T) {
	is := is.New(t)
	others := []handover.VM{stopping("other", 1)}
	is.Equal(handover.RetryDelay(at(2), stopping("self", 0), others, 4*time.Second, 0), 100*time.Millisecond)
	is.Equal(handover.RetryDelay(at(2), stopping("self", 0), others, 7*time.Second, 0), 6200*time.Millisecond) // when self has restarted
}

// TestStoppingVMAcceptsWhatItCanEnd guards against generations that the exit of a VM cuts because
// their engines need more time for a token than was assumed, and against a VM that refuses for its
// whole grace time what it could end. No other VM is ready. The engines need up to twice the time
// that the configuration states, with a fifth of spread, after a wait in the queue.
func TestStoppingVMAcceptsWhatItCanEnd(t *testing.T) {
	const firstEvent = 300 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	for _, stated := range []time.Duration{5, 15, 30, 60, 120} {
		for _, slowdown := range []float64{0.7, 1, 2} {
			expected := pace.Expectation{FirstEvent: firstEvent, Step: stated * time.Millisecond}
			scaled := func(d time.Duration) time.Duration {
				return time.Duration(float64(d) * slowdown * (0.9 + 0.2*random.Float64()))
			}
			var tracker pace.Tracker
			for range 40 {
				tracker.Observe(expected, pace.Expectation{FirstEvent: scaled(expected.FirstEvent), Step: scaled(expected.Step)})
			}
			self := stopping("self", 0)
			for tokens := 1; tokens <= 4096; tokens *= 2 {
				for tick := range 73 {
					now := at(float64(tick) / 10)
					needed := scaled(expected.FirstEvent) + time.Duration(tokens)*scaled(expected.Step)
					accepted := handover.AcceptsGeneration(now, self, nil, tracker.Bound(expected, tokens))
					if accepted && now.Add(needed).After(self.ExitDeadline) {
						t.Errorf("accepted at %d00 ms: %d tokens of %v, stated as %v", tick, tokens, needed/time.Duration(tokens), expected.Step)
					}
					if !accepted && now.Add(needed*3/2).Before(self.ExitDeadline) {
						t.Errorf("refused at %d00 ms: %d tokens that need %v", tick, tokens, needed)
					}
				}
			}
		}
	}
}

// TestVMsStopOneAfterTheOther guards against callers that are sent to a refusing VM while
// another accepts them, and against wrong retry delays while none does. Four VMs are ordered
// to stop a second apart, so that all are in their grace time at once.
func TestVMsStopOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	served, refused := 0, 0
	for tick := range 100 {
		now := at(float64(tick) / 10)
		var vms []handover.VM
		for i := range 4 {
			v := handover.VM{Address: fmt.Sprint("vm", i)}
			if s := stopping(v.Address, float64(i)); !now.Before(s.StopOrderedAt) {
				v = s
			}
			if now.After(at(float64(i)).Add(grace).Add(900 * time.Millisecond)) {
				v = handover.VM{Address: v.Address}
			}
			vms = append(vms, v)
		}
		published := handover.PublishedAddresses(now, vms)
		is.True(len(published) > 0)
		for i, v := range vms {
			others := append(append([]handover.VM(nil), vms[:i]...), vms[i+1:]...)
			for _, address := range published {
				if address != v.Address {
					continue
				}
				if handover.AcceptsGeneration(now, v, others, 3*time.Second) {
					served++
					continue
				}
				refused++
				retryAt := now.Add(handover.RetryDelay(now, v, others, 0, 0.5))
				is.True(!retryAt.Before(at(8.2)) && retryAt.Before(at(9))) // the first VM has restarted at 8.2 s
			}
		}
	}
	// No VM accepts generations of 3 s from 7.3 s, when the last VM stops accepting, to 8.2 s.
	is.True(refused > 0)
	is.True(served > 0)
	last := stopping("vm3", 3)
	is.Equal(handover.PublishedAddresses(at(5.5), []handover.VM{stopping("vm0", 0), stopping("vm1", 1), stopping("vm2", 2), last}), []string{"vm3"})
	is.True(handover.AcceptsGeneration(at(5.5), last, []handover.VM{stopping("vm0", 0)}, 4*time.Second))
}

// TestTwoVMsStopTogether guards against sending all callers to one of two VMs that are
// ordered to stop at nearly the same time.
func TestTwoVMsStopTogether(t *testing.T) {
	is := is.New(t)
	is.Equal(handover.PublishedAddresses(at(1), []handover.VM{stopping("a", 0), stopping("b", 0.1)}), []string{"a", "b"})
	is.Equal(handover.PublishedAddresses(at(1), []handover.VM{stopping("a", 0), {Address: "c"}, stopping("b", 0.1)}), []string{"c"})
	is.Equal(handover.RetryDelay(at(1), stopping("a", 0), []handover.VM{{Address: "c"}}, 0, 0.5), 100*time.Millisecond)
}

// TestManyVMsStopInTurn guards against callers that are sent to a stopping VM while another is
// ready, when 30 VMs are ordered to stop one after the other.
func TestManyVMsStopInTurn(t *testing.T) {
	is := is.New(t)
	for _, gap := range []float64{0.2, 1, 3} {
		for tick := range 200 {
			now := float64(tick) * gap / 4
			var vms []handover.VM
			for i := range 30 {
				v := handover.VM{Address: fmt.Sprint(100 + i)}
				if s := stopping(v.Address, float64(i)*gap); !at(now).Before(s.StopOrderedAt) && at(now).Before(s.ExitDeadline) {
					v = s
				}
				vms = append(vms, v)
			}
			byAddress := map[string]handover.VM{}
			for _, v := range vms {
				byAddress[v.Address] = v
			}
			ready := handover.AnyReady(vms)
			for _, address := range handover.PublishedAddresses(at(now), vms) {
				is.True(!ready || !byAddress[address].Stopping)
			}
		}
	}
}

// TestStaleVMIsNotPublished guards against callers that are sent to a VM without reports. In a
// small fleet a VM is stale after half a second. While all other VMs are stale, a stopping VM
// must be published for as long as it runs.
func TestStaleVMIsNotPublished(t *testing.T) {
	is := is.New(t)
	is.True(!handover.IsStale(at(0.5), at(0), 100*time.Millisecond))
	is.True(handover.IsStale(at(0.51), at(0), 100*time.Millisecond))
	is.Equal(handover.PublishedAddresses(at(0), []handover.VM{{Address: "self"}, {Address: "dead", Stale: true}}), []string{"self"})
	// The only other VM is stale while this one stops.
	is.Equal(handover.PublishedAddresses(at(6), []handover.VM{stopping("self", 0), {Address: "dead", Stale: true}}), []string{"self"})
	is.Equal(handover.RetryDelay(at(6), stopping("self", 0), []handover.VM{{Address: "dead", Stale: true}}, 0, 0), 2200*time.Millisecond)
}

// TestStoppingVMLeavesLongPlainRequests guards against requests of plain services that a stopping VM
// accepts late in its grace time and cuts at its exit.
func TestStoppingVMLeavesLongPlainRequests(t *testing.T) {
	is := is.New(t)
	self := handover.VM{Stopping: true, StopOrderedAt: at(0), ExitDeadline: at(7)}
	is.True(handover.AcceptsPlain(at(9), handover.VM{}, time.Hour))
	is.True(handover.AcceptsPlain(at(2.6), self, time.Hour)) // excused if the exit interrupts it
	is.True(!handover.AcceptsPlain(at(3), self, 4*time.Second))
	is.True(handover.AcceptsPlain(at(3), self, 3900*time.Millisecond))
	is.True(!handover.AcceptsPlain(at(6.5), self, time.Second))
}

// TestFurtherRunsOfAStoppingVM guards against an answer that a stopping VM breaks off because the largest
// one that its request allows would not end before the exit, and against a run that the exit cuts of a
// request whose caller could have gone to another VM.
func TestFurtherRunsOfAStoppingVM(t *testing.T) {
	is := is.New(t)
	running, self := handover.VM{}, stopping("self", 0)
	begins := func(vm handover.VM, seconds float64, continues bool, longest time.Duration) bool {
		return vm.BeginsRun(at(seconds), handover.Run{Continues: continues, FirstPart: 300 * time.Millisecond, Longest: longest})
	}
	for _, continues := range []bool{false, true} {
		is.True(begins(running, 0, continues, time.Hour))
		is.True(begins(self, 1, continues, 6*time.Second))
	}
	for _, seconds := range []float64{0, 1, 6.9} {
		is.True(!begins(self, seconds, false, time.Hour))
		is.True(begins(self, seconds, true, time.Hour))
	}
	for _, seconds := range []float64{7.1, 8} { // nothing would come before the exit
		is.True(!begins(self, seconds, true, time.Hour))
	}
}

// TestSoundRunsStayUntilTheirSuccessorBegins guards against sound runs that are given up for a chain that
// may refuse, or although their VM exits before any engine of theirs ends, and against runs that have
// failed and wait for a successor.
func TestSoundRunsStayUntilTheirSuccessorBegins(t *testing.T) {
	is := is.New(t)
	running, self := handover.VM{}, stopping("self", 0)
	is.Equal(running.Leaves(handover.Departure{MayBeSound: true, ServersEnd: at(2)}), handover.BeginFirst)
	is.Equal(running.Leaves(handover.Departure{ServersEnd: at(2)}), handover.EndFirst)
	is.Equal(self.Leaves(handover.Departure{MayBeSound: true, ServersEnd: at(7.2)}), handover.BeginFirst)
	is.Equal(self.Leaves(handover.Departure{MayBeSound: true, ServersEnd: at(7.3)}), handover.Stay) // the VM exits then
	is.Equal(self.Leaves(handover.Departure{MayBeSound: true}), handover.BeginFirst)                // no server is known to end
	is.Equal(self.Leaves(handover.Departure{ServersEnd: at(9)}), handover.EndFirst)
}
