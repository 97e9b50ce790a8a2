package peering_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/peering"
)

// TestTotalsEqualTheSumOfAllVMs guards against sums that drift from what the VMs have reserved
// while their state messages replace each other, VMs end and new ones start.
func TestTotalsEqualTheSumOfAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals, byVM := peering.NewTotals(), map[int][]peering.Reservation{}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			vm := rapid.IntRange(0, 5).Draw(t, "vm")
			totals.Subtract(byVM[vm])
			delete(byVM, vm)
			var list []peering.Reservation
			for range rapid.IntRange(0, 4).Draw(t, "reservations") { // none: the VM ended
				id := fleet.UpstreamID(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "upstream")))
				list = append(list, peering.NewReservation(id, rapid.Float64Range(0, 1e8).Draw(t, "kv"), float64(rapid.IntRange(0, 300).Draw(t, "requests")), rapid.Float64Range(0, 7e6).Draw(t, "tokens")))
			}
			byVM[vm] = list
			totals.Add(list)
		}
		for e := range 4 {
			id := fleet.UpstreamID(fmt.Sprint("e", e))
			var kv, requests, tokens float64
			for _, list := range byVM {
				for _, r := range list {
					if r.Upstream == peering.HashID(id) {
						k, n, c := r.Values()
						kv, requests, tokens = kv+k, requests+n, tokens+c
					}
				}
			}
			if k, n, c := totals.Of(id); k != kv || n != requests || c != tokens {
				t.Fatalf("%s: %v %v %v, want %v %v %v", id, k, n, c, kv, requests, tokens)
			}
		}
	})
}

// TestTotalsKeepNothingOfEndedVMs guards against memory that grows with each upstream that was
// ever used.
func TestTotalsKeepNothingOfEndedVMs(t *testing.T) {
	is := is.New(t)
	totals := peering.NewTotals()
	for i := range 1000 {
		list := []peering.Reservation{peering.NewReservation(fleet.UpstreamID(fmt.Sprint(i)), 5e3, 1, 900)}
		totals.Add(list)
		totals.Subtract(list)
	}
	is.Equal(totals.Len(), 0)
}
