package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/quarantine"
)

// replacedFleet is a set of trackers that are replaced one after the other.
type replacedFleet struct {
	now      time.Time
	trackers map[fleet.VMID]*quarantine.Tracker
}

// deliver passes the messages among actions on.
func (f *replacedFleet) deliver(actions []quarantine.Action) {
	for _, a := range actions {
		for vm, tracker := range f.trackers {
			if a.Kind == quarantine.Send && vm != a.Message.From && (a.Message.To == "" || a.Message.To == vm) {
				f.deliver(tracker.Receive(f.now, a.Message, nil))
			}
		}
	}
}

// settle lets some seconds pass with the trackers' present VMs.
func (f *replacedFleet) settle() {
	vms := slices.Collect(func(yield func(fleet.VMID) bool) {
		for vm := range f.trackers {
			if !yield(vm) {
				return
			}
		}
	})
	for range 60 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, tracker := range f.trackers {
			tracker.SetVMs(f.now, vms)
			f.deliver(tracker.Tick(f.now, nil))
		}
	}
}

// replaceAll starts a VM for each one and then stops that one.
func (f *replacedFleet) replaceAll(generation rune) {
	for vm := range f.trackers {
		next := fleet.VMID(string(generation)) + vm[1:]
		if vm == next {
			continue
		}
		f.trackers[next] = quarantine.New(quarantine.DefaultConfig(), next)
		f.settle()
		delete(f.trackers, vm)
		f.settle()
	}
}

// TestSuspectsOutliveAReplacedFleet guards against a request that crashes upstreams for ever, since all
// VMs that have seen its crashes are replaced in turn, and against the opposite: suspects that were
// cleared and are suspected again by the VMs that come after.
func TestSuspectsOutliveAReplacedFleet(t *testing.T) {
	is := is.New(t)
	f := &replacedFleet{now: time.Unix(1e9, 0), trackers: map[fleet.VMID]*quarantine.Tracker{}}
	for _, vm := range []fleet.VMID{"a1", "a2", "a3", "a4"} {
		f.trackers[vm] = quarantine.New(quarantine.DefaultConfig(), vm)
	}
	f.settle()
	bad := quarantine.NewFingerprint("t", "m", []byte("a request that crashes upstreams"))
	cleared := quarantine.NewFingerprint("t", "m", []byte("an order that merely ran beside it, of another kind"))
	origin := f.trackers["a1"]
	origin.RecordStart(f.now, "r1", &bad, []fleet.UpstreamID{"e1"})
	origin.RecordStart(f.now, "r2", &cleared, []fleet.UpstreamID{"e1"})
	f.deliver(origin.RecordCrash(f.now, quarantine.CrashID{Upstream: "e1", Incarnation: "1"}, nil))
	f.deliver(origin.RecordEnd(f.now, "r1", false, nil))
	f.deliver(origin.RecordEnd(f.now, "r2", false, nil))
	f.deliver([]quarantine.Action{{Kind: quarantine.Send, Message: quarantine.Message{Kind: quarantine.Cleared, Fingerprints: []quarantine.Fingerprint{cleared}}}})
	f.replaceAll('b')
	f.replaceAll('c')
	is.Equal(len(f.trackers), 4)
	for vm, tracker := range f.trackers {
		suspects, quarantined := tracker.Suspects(f.now)
		if suspects != 1 || quarantined != 0 {
			t.Errorf("%s knows %d suspects, %d of them quarantined; want 1 and 0", vm, suspects, quarantined)
		}
	}
}
