package layout_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
)

// TestSilentEngineGetsNoLayers guards against plans that count on an engine which has stopped
// answering: a restarted engine that was silent again got the first 28 layers of a data centre,
// four engines were moved to match, and were moved back once it counted as lost.
func TestSilentEngineGetsNoLayers(t *testing.T) {
	e := testEngine()
	for _, replan := range []bool{false, true} {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 9))
			engines := testEngines(e)
			plan := layout.PlanFromScratch(e, engines)
			var list []layout.Engine
			for _, x := range engines {
				if random.Float64() < 0.15 { // lost for good
					continue
				}
				x.HeldLayers = plan[x.ID]
				list = append(list, x)
			}
			silent := random.IntN(len(list))
			list[silent].HeldLayers, list[silent].Unavailable = fleet.LayerRange{}, true
			id := list[silent].ID
			got := layout.Repair(e, list, func(fleet.DataCentreID) bool { return replan })
			want := layout.Repair(e, slices.Delete(slices.Clone(list), silent, silent+1), func(fleet.DataCentreID) bool { return replan })
			if got[id].Len() > 0 || !maps.Equal(got, want) {
				t.Errorf("seed %d, replan %v: %s is given %v, and the plan differs from the one without it: %v", seed, replan, id, got[id], !maps.Equal(got, want))
			}
		}
	}
}

// TestSilentEngineKeepsItsLayers guards against a layout that is rebuilt for an engine which
// answers again a moment later.
func TestSilentEngineKeepsItsLayers(t *testing.T) {
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	for i := range engines {
		t.Run(fmt.Sprint(engines[i].ID), func(t *testing.T) {
			list := withRanges(engines, plan)
			list[i].Unavailable = true
			if got := layout.Repair(e, list, alwaysReplan); !maps.Equal(got, plan) {
				t.Errorf("the plan changes: %v, before %v", got, plan)
			}
		})
	}
}
