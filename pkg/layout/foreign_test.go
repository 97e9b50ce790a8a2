package layout_test

import (
	"maps"
	"testing"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
)

// TestRangesOutsideTheModelCountAsNone guards against a planner that panics, or keeps an engine
// idle, because an entry states a range of layers that the model does not have.
func TestRangesOutsideTheModelCountAsNone(t *testing.T) {
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	for _, odd := range []fleet.LayerRange{{First: -5, End: 3}, {First: 0, End: 4e18}, {First: 100, End: 200}, {First: 90, End: 20}, {First: -9e18, End: 9e18}} {
		for i := range engines {
			list, empty := withRanges(engines, plan), withRanges(engines, plan)
			list[i].HeldLayers, empty[i].HeldLayers = odd, fleet.LayerRange{}
			id := []fleet.UpstreamID{list[i].ID}
			if got, want := layout.Repair(e, list, alwaysReplan), layout.Repair(e, empty, alwaysReplan); !maps.Equal(got, want) {
				t.Errorf("%v on %s: plan %v, want %v", odd, id, got, want)
			}
			if got := layout.HoldsAllLayers(e, list, list[i].DataCentre); got != layout.HoldsAllLayers(e, empty, list[i].DataCentre) {
				t.Errorf("%v on %s counts for the layers of its data centre", odd, id)
			}
			if got := layout.NextLoads(e, list, plan, id, 1); len(got) != 1 {
				t.Errorf("%v on %s: loads %v", odd, id, got)
			}
			layout.PlanFromScratch(e, list) // must not panic
		}
	}
}

// TestEngineOfUnknownKindBlocksNoPlan guards against a data centre without a plan because one
// entry states a kind of accelerator that the configuration does not list.
func TestEngineOfUnknownKindBlocksNoPlan(t *testing.T) {
	e := testEngine()
	engines := testEngines(e)
	want := layout.PlanFromScratch(e, engines)
	odd := layout.Engine{ID: "odd", DataCentre: "a", Card: catalog.Card{}}
	if got := layout.PlanFromScratch(e, append(engines, odd)); !maps.Equal(got, want) {
		t.Errorf("plan %v, want %v", got, want)
	}
	held := withRanges(engines, want)
	if got := layout.Repair(e, append(held, odd), alwaysReplan); !maps.Equal(got, want) {
		t.Errorf("after the first plan %v, want %v", got, want)
	}
}
