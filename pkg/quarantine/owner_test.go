package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/quarantine"
)

// suspected returns a tracker of vm0 with one suspect, the fingerprint of the suspect, and
// the time of its crash.
func suspected(vms ...fleet.VMID) (*quarantine.Tracker, quarantine.Fingerprint, time.Time) {
	now := time.Unix(1e9, 0)
	t := quarantine.New(quarantine.DefaultConfig(), "vm0")
	if len(vms) > 0 {
		t.SetVMs(now.Add(-time.Hour), vms)
	}
	f := quarantine.NewFingerprint("t", "m", []byte("a body that was there when an engine ended"))
	t.RecordStart(now, "first", &f, []fleet.UpstreamID{"e"})
	t.RecordCrash(now, quarantine.CrashID{Upstream: "e", Incarnation: "1"}, nil)
	t.RecordEnd(now, "first", false, nil)
	return t, f, now
}

// allowedAfter admits a request and returns the time until it may run.
func allowedAfter(t *testing.T, tracker *quarantine.Tracker, now time.Time, f *quarantine.Fingerprint) time.Duration {
	t.Helper()
	actions := tracker.Admit(now, "second", f, nil)
	for at := time.Duration(0); at <= time.Minute; at += 10 * time.Millisecond {
		for _, a := range append(actions, tracker.Tick(now.Add(at), nil)...) {
			if a.Kind == quarantine.Allow {
				return at
			}
		}
		actions = nil
	}
	t.Fatal("not allowed within a minute")
	return 0
}

// TestNoPermitRightAfterOwnersChange guards against two holders of one permit after a change
// of the VMs: a new owner doesn't know the permits that the previous owner granted until
// their holders have renewed them.
func TestNoPermitRightAfterOwnersChange(t *testing.T) {
	is := is.New(t)
	grace := quarantine.DefaultConfig().PermitDuration / 2
	tracker, f, now := suspected("vm0", "vm1")
	tracker.SetVMs(now, []fleet.VMID{"vm0"}) // vm1 is gone, and may have granted a permit
	is.True(allowedAfter(t, tracker, now, &f) >= grace)

	// A VM that was alone has granted every permit itself and need not wait.
	alone, f, now := suspected("vm0")
	is.True(allowedAfter(t, alone, now, &f) < grace)
}

// TestOnlyAPermitIsReleased guards against a PermitRelease or Cleared message at the end of a
// request that ran without a permit.
func TestOnlyAPermitIsReleased(t *testing.T) {
	is := is.New(t)
	tracker, f, now := suspected("vm0", "vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7")
	tracker.RecordStart(now, "copy", &f, []fleet.UpstreamID{"e2"}) // began before the crash was known
	for _, a := range tracker.RecordEnd(now, "copy", true, nil) {
		is.True(a.Message.Kind != quarantine.PermitRelease)
		is.True(a.Message.Kind != quarantine.Cleared)
	}
}

// TestLostPermitMessages guards against a suspect that is refused, although nothing else runs, because
// a message to or from the owner of its permit was lost.
func TestLostPermitMessages(t *testing.T) {
	for _, lost := range []quarantine.Kind{quarantine.PermitRequest, quarantine.PermitGrant} {
		for n := range 8 { // the owner depends on the body
			is := is.New(t)
			now := time.Unix(1e9, 0)
			vms := map[fleet.VMID]*quarantine.Tracker{}
			for _, id := range []fleet.VMID{"vm0", "vm1"} {
				vms[id] = quarantine.New(quarantine.DefaultConfig(), id)
				vms[id].SetVMs(now.Add(-time.Hour), []fleet.VMID{"vm0", "vm1"})
			}
			f := quarantine.NewFingerprint("t", "m", fmt.Appendf(nil, "body %d of a request that ran when an engine ended", n))
			vms["vm0"].RecordStart(now, "first", &f, []fleet.UpstreamID{"e"})
			losses, allowed := 0, 0
			var deliver func(from fleet.VMID, actions []quarantine.Action)
			deliver = func(from fleet.VMID, actions []quarantine.Action) {
				for _, a := range actions {
					switch {
					case a.Kind == quarantine.Allow:
						allowed++
					case a.Kind == quarantine.Refuse:
						t.Fatalf("refused after the loss of a message of kind %d", lost)
					case a.Message.Kind == lost && losses == 0:
						losses++
					default:
						for id, tracker := range vms {
							if id != from && (a.Message.To == "" || a.Message.To == id) {
								deliver(id, tracker.Receive(now, a.Message, nil))
							}
						}
					}
				}
			}
			deliver("vm0", vms["vm0"].RecordCrash(now, quarantine.CrashID{Upstream: "e", Incarnation: "1"}, nil))
			deliver("vm0", vms["vm0"].RecordEnd(now, "first", false, nil))
			deliver("vm0", vms["vm0"].Admit(now, "second", &f, nil))
			for end := now.Add(2 * quarantine.DefaultConfig().PermitTimeout); now.Before(end); now = now.Add(100 * time.Millisecond) {
				for id, tracker := range vms {
					deliver(id, tracker.Tick(now, nil))
				}
			}
			is.Equal(allowed, 1)
		}
	}
}
