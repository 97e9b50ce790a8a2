package layout_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
)

// loadOrder chooses which of the wanted engines load next.
type loadOrder func(e *catalog.Engine, engines []layout.Engine, plan layout.Plan, wanted []fleet.UpstreamID, n int) []fleet.UpstreamID

// longestFirst is the baseline: long loads before short ones, wherever they are needed.
func longestFirst(_ *catalog.Engine, _ []layout.Engine, plan layout.Plan, wanted []fleet.UpstreamID, n int) []fleet.UpstreamID {
	order := slices.SortedFunc(slices.Values(wanted), func(a, b fleet.UpstreamID) int {
		return cmp.Or(cmp.Compare(plan[b].Len(), plan[a].Len()), cmp.Compare(a, b))
	})
	return order[:min(n, len(order))]
}

// playReload simulates the load of a plan by engines that all hold nothing, with as many loads
// at once as run at full speed. It returns when each data centre holds all layers.
func playReload(e *catalog.Engine, order loadOrder) map[fleet.DataCentreID]time.Duration {
	const (
		roundInterval = 300 * time.Millisecond
		checkDelay    = 150 * time.Millisecond // from the end of a load until it is known
	)
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	loadedAt := map[fleet.UpstreamID]time.Duration{}
	completeAt := map[fleet.DataCentreID]time.Duration{}
	for now := time.Duration(0); now < 30*time.Second; now += roundInterval {
		loading := 0
		var wanted []fleet.UpstreamID
		serving, expected := slices.Clone(engines), slices.Clone(engines)
		for i, x := range engines {
			switch at, ordered := loadedAt[x.ID]; {
			case ordered && now >= at:
				serving[i].HeldLayers, expected[i].HeldLayers = plan[x.ID], plan[x.ID]
			case ordered:
				loading++
				expected[i].HeldLayers = plan[x.ID]
			case plan[x.ID].Len() > 0:
				wanted = append(wanted, x.ID)
			}
		}
		for _, dc := range []fleet.DataCentreID{"a", "b", "c"} {
			if completeAt[dc] == 0 && layout.HoldsAllLayers(e, serving, dc) {
				completeAt[dc] = now
			}
		}
		for _, id := range order(e, expected, plan, wanted, e.FullSpeedLoads-loading) {
			loadedAt[id] = now + time.Duration(float64(e.LoadTime)*float64(plan[id].Len())/float64(e.Layers)) + checkDelay
		}
	}
	return completeAt
}

// TestReloadAfterAllEnginesRestart guards against a recovery that loads second copies, or a part
// of each data centre, while no data centre has all layers. All engines restart empty under
// load, and six loads run at full speed.
func TestReloadAfterAllEnginesRestart(t *testing.T) {
	e := testEngine()
	baseline, got := playReload(e, longestFirst), playReload(e, layout.NextLoads)
	t.Logf("all layers held after %v, longest loads first: %v", got, baseline)
	sum := func(at map[fleet.DataCentreID]time.Duration) (first, total time.Duration) {
		first = time.Hour
		for _, dc := range []fleet.DataCentreID{"a", "b", "c"} {
			if at[dc] == 0 {
				t.Fatalf("data centre %s never holds all layers", dc)
			}
			first, total = min(first, at[dc]), total+at[dc]
		}
		return first, total
	}
	firstBaseline, totalBaseline := sum(baseline)
	first, total := sum(got)
	if first >= firstBaseline || total >= totalBaseline {
		t.Errorf("first data centre after %v, sum %v; longest loads first: %v, %v", first, total, firstBaseline, totalBaseline)
	}
}

// TestNextLoadsPutsGapsFirst guards against a short load of missing layers that waits behind
// long loads of second copies.
func TestNextLoadsPutsGapsFirst(t *testing.T) {
	e := testEngine()
	e.Layers = 10
	r := func(first, end int) fleet.LayerRange { return fleet.LayerRange{First: first, End: end} }
	engines := []layout.Engine{
		{ID: "held", DataCentre: "a", HeldLayers: r(0, 8)},
		{ID: "copy", DataCentre: "a"},
		{ID: "gap", DataCentre: "a"},
		{ID: "grows", DataCentre: "a", HeldLayers: r(8, 9)},
		{ID: "far", DataCentre: "b"},
	}
	plan := layout.Plan{"held": r(0, 8), "copy": r(0, 8), "gap": r(9, 10), "grows": r(7, 9), "far": r(0, 10)}
	got := layout.NextLoads(e, engines, plan, []fleet.UpstreamID{"copy", "far", "gap", "grows"}, 4)
	if want := []fleet.UpstreamID{"gap", "far", "copy", "grows"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
