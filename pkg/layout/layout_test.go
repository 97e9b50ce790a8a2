package layout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
)

func testEngine() *catalog.Engine {
	return &catalog.Engine{
		Model: "m", Slots: 192, Layers: 80, LayerMB: 1750, KVBytesPerToken: 590000,
		Step: 850 * time.Microsecond, StepPerRequest: 3820 * time.Nanosecond, StepPerThousandTokens: 5120 * time.Nanosecond,
		PrefillTokensPerSecond: 196000, TokensPerEvent: 2, LoadTime: 14 * time.Second, FullSpeedLoads: 6,
		ActivationBytes: 29500, PipeBytesPerSecond: 13000 * 125000, MeanPromptTokens: 772, MeanAnswerTokens: 167,
		Cards: map[string]catalog.Card{
			"h100":  {Name: "h100", MemoryMB: 72000, StepFactor: 1.4, PrefillFactor: 1},
			"a100s": {Name: "a100s", MemoryMB: 36000, StepFactor: 3.1, PrefillFactor: 3.2},
			"l4":    {Name: "l4", MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8.2},
			"t4":    {Name: "t4", MemoryMB: 14400, StepFactor: 15, PrefillFactor: 15},
		},
	}
}

func testEngines(e *catalog.Engine) []layout.Engine {
	var list []layout.Engine
	add := func(dc, card string, count int) {
		for i := range count {
			list = append(list, layout.Engine{
				ID: fleet.UpstreamID(fmt.Sprintf("%s-%s-%d", dc, card, i)), DataCentre: fleet.DataCentreID(dc), Card: e.Cards[card],
			})
		}
	}
	add("c", "h100", 1)
	add("a", "a100s", 1)
	add("b", "a100s", 2)
	add("c", "a100s", 1)
	add("a", "l4", 8)
	add("b", "l4", 4)
	add("c", "l4", 5)
	add("a", "t4", 3)
	add("b", "t4", 7)
	add("c", "t4", 7)
	return list
}

// copies returns for each layer the number of engines of a data centre that hold it
// according to a plan.
func copies(e *catalog.Engine, engines []layout.Engine, plan layout.Plan, dc fleet.DataCentreID) []int {
	held := make([]int, e.Layers)
	for _, x := range engines {
		if x.DataCentre == dc {
			for l := plan[x.ID].First; l < plan[x.ID].End; l++ {
				held[l]++
			}
		}
	}
	return held
}

// TestPlanGivesEachDataCentreAChain guards against a data centre of the standard deployment
// that lacks layers of its own: the pipe between data centres is too small for chains that
// cross it.
func TestPlanGivesEachDataCentreAChain(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	for _, dc := range []fleet.DataCentreID{"a", "b", "c"} {
		for _, x := range engines {
			r, ok := plan[x.ID]
			if !ok || x.DataCentre != dc {
				continue
			}
			t.Log(x.ID, r)
			is.True(float64(r.Len())*e.LayerMB <= x.Card.MemoryMB) // no engine is ordered to hold more than its memory
		}
		for l, n := range copies(e, engines, plan, dc) {
			if n == 0 {
				t.Errorf("data centre %s: no engine holds layer %d", dc, l)
			}
		}
	}
}

func alwaysReplan(fleet.DataCentreID) bool { return true }

// tightPlan returns a layout in which the data centres a and b have long chains of many
// engines and few second copies.
func tightPlan(e *catalog.Engine, engines []layout.Engine) layout.Plan {
	plan := layout.PlanFromScratch(e, engines)
	for id, r := range map[fleet.UpstreamID]fleet.LayerRange{
		"a-a100s-0": {First: 0, End: 13},
		"b-a100s-0": {First: 0, End: 14},
		"b-a100s-1": {First: 14, End: 28},
		"a-l4-0":    {First: 13, End: 20},
		"a-l4-1":    {First: 20, End: 27},
		"a-l4-2":    {First: 27, End: 35},
		"a-l4-3":    {First: 35, End: 43},
		"a-l4-4":    {First: 43, End: 51},
		"a-l4-5":    {First: 51, End: 59},
		"a-l4-6":    {First: 59, End: 67},
		"a-l4-7":    {First: 67, End: 75},
		"b-l4-0":    {First: 28, End: 36},
		"b-l4-1":    {First: 36, End: 44},
		"b-l4-2":    {First: 44, End: 52},
		"b-l4-3":    {First: 52, End: 60},
		"a-t4-0":    {First: 75, End: 80},
		"a-t4-1":    {First: 27, End: 34},
		"a-t4-2":    {First: 34, End: 41},
		"b-t4-0":    {First: 60, End: 65},
		"b-t4-1":    {First: 65, End: 70},
		"b-t4-2":    {First: 70, End: 75},
		"b-t4-3":    {First: 75, End: 80},
		"b-t4-4":    {First: 0, End: 7},
		"b-t4-5":    {First: 7, End: 14},
		"b-t4-6":    {First: 14, End: 21},
	} {
		plan[id] = r
	}
	return plan
}

// TestPlanKeepsSecondCopies guards against a plan without second copies, in which the loss
// of any one engine breaks the chains of its data centre.
func TestPlanKeepsSecondCopies(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	for _, dc := range []fleet.DataCentreID{"a", "b", "c"} {
		twice := 0
		for _, n := range copies(e, engines, plan, dc) {
			if n > 1 {
				twice++
			}
		}
		is.True(twice >= e.Layers/5)
	}
}

// withRanges returns the engines with the ranges of a plan, without the lost ones.
func withRanges(engines []layout.Engine, plan layout.Plan, lost ...fleet.UpstreamID) []layout.Engine {
	var list []layout.Engine
next:
	for _, e := range engines {
		for _, id := range lost {
			if e.ID == id {
				continue next
			}
		}
		e.HeldLayers = plan[e.ID]
		list = append(list, e)
	}
	return list
}

// TestRepairKeepsFastestEngineInPlace guards against a repair that moves the fastest engine of
// a data centre. After the loss of an engine, slow engines with second copies must take over
// its layers, not the fast engine whose layers are also held by others.
func TestRepairKeepsFastestEngineInPlace(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	survivors := withRanges(engines, plan, "c-a100s-0")
	repaired := layout.Repair(e, survivors, alwaysReplan)
	is.Equal(repaired["c-h100-0"], plan["c-h100-0"])
	held := make([]bool, e.Layers)
	for _, x := range survivors {
		if x.DataCentre == "c" {
			for l := repaired[x.ID].First; l < repaired[x.ID].End; l++ {
				held[l] = true
			}
		}
	}
	for l, ok := range held {
		if !ok {
			t.Errorf("layer %d is missing after the repair", l)
		}
	}
}

// TestRepairKeepsCompleteLayout guards against layer moves after a restart of the leader: a
// complete layout must stay as it is.
func TestRepairKeepsCompleteLayout(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	is.Equal(layout.Repair(e, withRanges(engines, plan), alwaysReplan), plan)
}

// TestRepairExtendsNeighbours guards against needless moves after the loss of engines in a
// data centre with too few second copies: only the neighbours of the gaps change, and they
// load only the lost layers.
func TestRepairExtendsNeighbours(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := tightPlan(e, engines)
	survivors := withRanges(engines, plan, "a-l4-0", "a-l4-7")
	repaired := layout.Repair(e, survivors, alwaysReplan)
	held := make([]bool, e.Layers)
	moved, loaded := 0, 0
	for _, x := range survivors {
		if x.DataCentre != "a" {
			is.Equal(repaired[x.ID], plan[x.ID])
			continue
		}
		r := repaired[x.ID]
		is.True(float64(r.Len())*e.LayerMB < x.Card.MemoryMB)
		for l := r.First; l < r.End; l++ {
			held[l] = true
			if l < x.HeldLayers.First || l >= x.HeldLayers.End {
				loaded++
			}
		}
		if r != x.HeldLayers {
			moved++
		}
	}
	for l, ok := range held {
		if !ok {
			t.Errorf("layer %d is missing after the repair", l)
		}
	}
	is.True(moved <= 4)
	is.Equal(loaded, plan["a-l4-0"].Len()+plan["a-l4-7"].Len()) // only what was lost
}

// TestReplanKeepsLayersInPlace guards against engines that swap ranges when losses force
// a new plan of a data centre: no engine may get a range that another engine with the same
// card already holds.
func TestReplanKeepsLayersInPlace(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	survivors := withRanges(engines, plan, "b-a100s-0", "b-t4-0", "b-t4-1", "b-t4-4", "b-t4-5", "b-t4-6")
	repaired := layout.Repair(e, survivors, alwaysReplan)
	holder := map[string]fleet.UpstreamID{}
	for _, x := range survivors {
		if x.DataCentre == "b" {
			holder[x.Card.Name+x.HeldLayers.String()] = x.ID
		}
	}
	for _, x := range survivors {
		if x.DataCentre != "b" {
			continue
		}
		if id, ok := holder[x.Card.Name+repaired[x.ID].String()]; ok {
			is.Equal(id, x.ID) // the engine that held the range keeps it
		}
	}
}

// TestRepairDoesNotReplanUnlessAllowed guards against a new plan right after a crash that
// second copies can't compensate: until the caller allows one, serving engines keep their
// layers.
func TestRepairDoesNotReplanUnlessAllowed(t *testing.T) {
	is := is.New(t)
	e := testEngine()
	engines := testEngines(e)
	plan := tightPlan(e, engines)
	survivors := withRanges(engines, plan, "b-a100s-0", "b-t4-0", "b-t4-1", "b-t4-4", "b-t4-5", "b-t4-6")
	repaired := layout.Repair(e, survivors, func(fleet.DataCentreID) bool { return false })
	moved := 0
	for _, x := range survivors {
		if x.HeldLayers.Len() > 0 && !repaired[x.ID].Contains(x.HeldLayers) {
			moved++
		}
	}
	is.Equal(moved, 0)
}
