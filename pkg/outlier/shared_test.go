package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
)

// TestProbesOfDeadEnginesDoNotGrowWithTheFleet: load pattern of the large site's troubled
// days: nine engines stay dark for 10 s before fleets of several sizes, whose VMs tell
// each other their findings each 400 ms. Each VM may look once when it hears of the
// loss and once of the return; beyond that the probes are those of about eight VMs, and
// the engines are back in use everywhere within 2 s.
func TestProbesOfDeadEnginesDoNotGrowWithTheFleet(t *testing.T) {
	const (
		dead     = 9
		dark     = 10 * time.Second
		timeout  = 350 * time.Millisecond
		news     = 400 * time.Millisecond
		answered = 5 * time.Millisecond
		tick     = 50 * time.Millisecond
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
				c.Phase = float64(i) / float64(vms)
				if vms > 4 {
					c.Reprobe = c.BaseEjection * time.Duration(vms) / 4
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
						if now.Sub(start) >= dark {
							replies = append(replies, reply{now.Add(answered), vm, a.Upstream})
						}
					}
				}
			}
			for now := start; now.Before(start.Add(dark + 2*time.Second)); now = now.Add(tick) {
				if now.Equal(start) { // some VMs have runs through the engines
					for vm := 0; vm < vms; vm += 10 {
						for i := range dead {
							act(now, vm, detectors[vm].Silent(now, members[i].ID, nil))
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
					act(now, r.vm, detectors[r.vm].Probed(now, r.id, true, nil))
				}
				for vm, d := range detectors {
					act(now, vm, d.Tick(now, nil))
				}
				if now.Sub(start)%news != 0 {
					continue
				}
				for i := range dead {
					id := members[i].ID
					down, back := false, false
					for _, d := range detectors {
						down = down || d.Ejected(id)
						back = back || d.Returning(id)
					}
					for vm, d := range detectors {
						if down {
							act(now, vm, d.HeardDown(now, id, nil))
						}
						if back {
							act(now, vm, d.HeardBack(now, id, nil))
						}
					}
				}
			}
			for _, d := range detectors {
				for i := range dead {
					is.True(!d.Ejected(members[i].ID))
				}
			}
			// At the loss and its hearsay, at the return, and eight a second between; an
			// engine that was ejected and answers is asked about twice.
			is.True(probes <= dead*(4*vms+8*12))
		})
	}
}

// TestFailingEngineWithARangeOfItsOwnIsEjected: engines that answer everything with an
// error are left alone also when no other one has just their layers, as long as the model
// is covered without them; the last way stays.
func TestFailingEngineWithARangeOfItsOwnIsEjected(t *testing.T) {
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
		for range c.Consecutive {
			d.Failed(now, id, nil)
		}
	}
	fail("wide")
	is.True(d.Ejected("wide"))
	fail("c") // without it no chain covers the model
	is.True(!d.Ejected("c"))
}
