package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestSharesAddUp guards against shares that add up to more than all slots, and against a VM
// that gets less than a VM with a lower demand.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "vms")
		var live []fleet.VMID
		var views []*admission.Shares
		for i := range n {
			live = append(live, fleet.VMID(fmt.Sprint("vm", i)))
			views = append(views, admission.NewShares(live[i]))
		}
		demands := make([]float64, n)
		for i := range n {
			demands[i] = float64(rapid.IntRange(0, 100).Draw(t, "demand"))
			for _, v := range views {
				v.RecordDemand(epoch, live[i], demands[i])
			}
		}
		sum, now := 0.0, epoch.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "age"))*time.Second)
		for i, v := range views {
			f := v.Fraction(now, live)
			sum += f
			for j := range i {
				if demands[i] > demands[j] && f < views[j].Fraction(now, live) {
					t.Fatalf("demand %v got less than demand %v", demands[i], demands[j])
				}
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

// TestSharesDecay guards against the continued use of demands that are no longer received, and
// against demands of VMs that are no longer live.
func TestSharesDecay(t *testing.T) {
	is := is.New(t)
	s := admission.NewShares("a")
	s.RecordDemand(epoch, "a", 90)
	s.RecordDemand(epoch, "b", 10)
	live := []fleet.VMID{"a", "b"}
	is.Equal(s.Fraction(epoch, live), 0.7)
	is.True(s.Fraction(epoch.Add(2*time.Minute), live) < 0.501)
	is.Equal(s.Fraction(epoch, []fleet.VMID{"a", "b", "new"}), 1.0/3)
	s.Retain(live[:1])
	is.Equal(s.Fraction(epoch, live[:1]), 1.0)
}

// TestSlotShareAddsUp guards against slot shares that don't add up to the total or that differ
// by more than one slot.
func TestSlotShareAddsUp(t *testing.T) {
	is := is.New(t)
	for total := range 30 {
		is.Equal(admission.SlotShare(total, 0, 0), total)
		for vms := 1; vms <= 8; vms++ {
			sum, least, most := 0, total, 0
			for i := range vms {
				n := admission.SlotShare(total, vms, i)
				sum, least, most = sum+n, min(least, n), max(most, n)
			}
			is.Equal(sum, total)
			is.True(most-least <= 1)
		}
	}
}
