package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
)

// TestProbesOfDeadEnginesDoNotGrowWithTheFleet guards against a number of probes that grows
// with the number of VMs. Nine engines are unreachable for 10 s in fleets of several sizes,
// as at a large site, and the VMs exchange their findings every 400 ms. Each VM may probe
// an engine once when it learns of the loss and once when it learns of the return. Beyond
// that, the fleet may send only as many probes as about eight VMs alone, and the engines
// must be back in service on all VMs within 2 s.
func TestProbesOfDeadEnginesDoNotGrowWithTheFleet(t *testing.T) {
	const (
		dead             = 9
		outage           = 10 * time.Second
		timeout          = 350 * time.Millisecond
		exchangeInterval = 400 * time.Millisecond
		probeRoundTrip   = 5 * time.Millisecond
		tick             = 50 * time.Millisecond
	)
	for _, vms := range []int{4, 31, 118, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			is := is.New(t)
			var members []outlier.Member
			for i := range 2 * dead {
				members = append(members, outlier.Member{ID: fleet.UpstreamID(fmt.Sprint("e", i)), Route: "r"})
			}
			detectors := make([]*outlier.Detector, vms)
			for i := range detectors {
				c := outlier.DefaultConfig()
				c.BaseEjection, c.MaxEjection, c.Ramp, c.ProbeTimeout = time.Second, 4*time.Second, 2*time.Second, timeout
				c.MaxEjected = 1
				c.ReprobePhase = float64(i) / float64(vms)
				if vms > 4 {
					c.ReprobeInterval = c.BaseEjection * time.Duration(vms) / 4
				}
				detectors[i] = outlier.New(c)
				detectors[i].SetMembers(members)
			}
			type reply struct {
				at time.Time
				vm int
				id fleet.UpstreamID
			}
			start := time.Unix(1e9, 0)
			var replies []reply
			probes := 0
			act := func(now time.Time, vm int, actions []outlier.Action) {
				for _, a := range actions {
					if a.Kind == outlier.Probe {
						probes++
						if now.Sub(start) >= outage {
							replies = append(replies, reply{now.Add(probeRoundTrip), vm, a.Upstream})
						}
					}
				}
			}
			for now := start; now.Before(start.Add(outage + 2*time.Second)); now = now.Add(tick) {
				if now.Equal(start) { // some VMs have requests running on the engines
					for vm := 0; vm < vms; vm += 10 {
						for i := range dead {
							act(now, vm, detectors[vm].RecordSilent(now, members[i].ID, nil))
						}
					}
				}
				due := replies
				replies = nil
				for _, r := range due {
					if r.at.After(now) {
						replies = append(replies, r)
						continue
					}
					act(now, r.vm, detectors[r.vm].RecordProbe(now, r.id, true, nil))
				}
				for vm, d := range detectors {
					act(now, vm, d.Tick(now, nil))
				}
				if now.Sub(start)%exchangeInterval != 0 {
					continue
				}
				for i := range dead {
					id := members[i].ID
					down, back := false, false
					for _, d := range detectors {
						down = down || d.IsEjected(id)
						back = back || d.IsReturning(id)
					}
					for vm, d := range detectors {
						if down {
							act(now, vm, d.RecordReportedDown(now, id, nil))
						}
						if back {
							act(now, vm, d.RecordReportedUp(now, id, nil))
						}
					}
				}
			}
			for _, d := range detectors {
				for i := range dead {
					is.True(!d.IsEjected(members[i].ID))
				}
			}
			// Four probes a VM: one at the loss, one at the report of it, and about two once
			// the engine answers again. Eight probes a second come on top over the 12 s.
			is.True(probes <= dead*(4*vms+8*12))
		})
	}
}

// TestFailingEngineWithoutPeersIsEjected guards against keeping an engine that fails every
// request only because no other engine has the same layer range. It is ejected as long as
// other engines cover the model; an engine that nothing can replace stays in service.
func TestFailingEngineWithoutPeersIsEjected(t *testing.T) {
	is := is.New(t)
	c := outlier.DefaultConfig()
	c.CapByModel = true
	d := outlier.New(c)
	engine := func(id fleet.UpstreamID, first, end int) outlier.Member {
		return outlier.Member{ID: id, Model: "m", Layers: fleet.LayerRange{First: first, End: end}, ModelLayers: 8}
	}
	d.SetMembers([]outlier.Member{engine("a", 0, 2), engine("b", 2, 4), engine("wide", 0, 4), engine("c", 4, 6), engine("d", 6, 8)})
	now := time.Unix(1e9, 0)
	fail := func(id fleet.UpstreamID) {
		for range c.ConsecutiveFailures {
			d.RecordFailure(now, id, nil)
		}
	}
	fail("wide")
	is.True(d.IsEjected("wide"))
	fail("c") // without it no chain covers the model
	is.True(!d.IsEjected("c"))
}
