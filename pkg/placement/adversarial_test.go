package placement

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/cornelline/cornelline/pkg/fleet"
)

var adversarialSeeds = flag.Uint64("placement.seeds", 12, "number of inputs that TestWorstInput searches for each number of engines")

// randomInput returns engines of up to 6 kinds in 1 to 3 data centres. Memory
// differs up to 40-fold between kinds, speed up to 30-fold, and link capacity
// 100-fold.
func randomInput(seed uint64, engines int) Input {
	rng := rand.New(rand.NewPCG(seed, 7))
	layers := 8 + rng.IntN(73)
	in := Input{Seed: seed, Models: []Model{{ID: "m", Version: "1", Layers: layers, BytesPerLayer: gib, Demand: 1}}}
	kinds := make([]Engine, 1+rng.IntN(6))
	for i := range kinds {
		// Between a fortieth of the layers and all of them fit.
		most := max(1, int(float64(layers)*math.Pow(40, -rng.Float64())))
		kinds[i] = Engine{Memory: (float64(most) + 0.5) * gib, Speed: 1000 * math.Pow(30, rng.Float64()), Slots: 8}
	}
	centres := 1 + rng.IntN(3)
	for i := range engines {
		e := kinds[rng.IntN(len(kinds))]
		e.ID = fleet.UpstreamID(fmt.Sprintf("e%d", i))
		e.DataCentre = fleet.DataCentreID(fmt.Sprintf("dc%d", i%centres))
		in.Engines = append(in.Engines, e)
	}
	in.Links = []Link{{"dc0", "dc1", 1.25e9}, {"dc1", "dc2", 1.25e9}, {"dc0", "dc2", 1.25e7}}
	return in
}

// TestWorstInput guards against hardware on which a plan reaches less than 90%
// of WholeLayerBound. It searches seeded inputs and prints the worst one.
// Redundancy is off, since it may cost MaxRedundancyCost more.
func TestWorstInput(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 20, 40} {
		var ratios, flow []float64
		worst := uint64(0)
		var mu sync.Mutex
		var group errgroup.Group
		group.SetLimit(4)
		for seed := range *adversarialSeeds {
			group.Go(func() error {
				in := randomInput(seed, n)
				p := NewPlanner()
				p.Settings.Redundancy = false
				plan, bound := p.Plan(in), WholeLayerBound(in)
				mu.Lock()
				defer mu.Unlock()
				if bound <= 0 {
					return nil
				}
				if len(ratios) == 0 || plan.Scale/bound < slices.Min(ratios) {
					worst = seed
				}
				ratios, flow = append(ratios, plan.Scale/bound), append(flow, plan.Ratio())
				return nil
			})
		}
		_ = group.Wait()
		slices.Sort(ratios)
		slices.Sort(flow)
		t.Logf("%d engines, %d feasible inputs: share of the whole-layer bound: worst %.3f (seed %d), 5th percentile %.3f, median %.3f; share of the flow bound: worst %.3f, median %.3f",
			n, len(ratios), ratios[0], worst, ratios[len(ratios)/20], ratios[len(ratios)/2], flow[0], flow[len(flow)/2])
		if ratios[0] < 0.9 {
			t.Errorf("%d engines, seed %d: plan reaches %.3f of the whole-layer bound, want at least 0.9", n, worst, ratios[0])
		}
	}
}

// TestLinksAreCrossedSeldom guards against chains that cross a link at each
// stage, on hardware where no data centre can hold a chain alone.
func TestLinksAreCrossedSeldom(t *testing.T) {
	for seed, n := range map[uint64]int{115: 20, 138: 40} {
		if r := NewPlanner().Plan(randomInput(seed, n)).Ratio(); r < 0.9 {
			t.Errorf("seed %d: plan reaches %.3f of the flow bound, want at least 0.9", seed, r)
		}
	}
}

// TestBoundsHold guards against bounds that a plan exceeds, and against a flow
// bound that depends on whether a model's layers share one node or have one each.
func TestBoundsHold(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		in := randomInput(seed, 8)
		plan, whole := NewPlanner().Plan(in), WholeLayerBound(in)
		if plan.Scale > min(whole, Bound(in))*1.001 {
			t.Errorf("seed %d: plan of scale %.1f exceeds a bound: whole layers %.1f, flow %.1f", seed, plan.Scale, whole, Bound(in))
		}
		in.Links = nil
		if b := Bound(in); b > 0 && (!layersFit(in, b*0.999) || layersFit(in, b*1.001)) {
			t.Errorf("seed %d: flow bound %.3f differs with a node for each layer", seed, b)
		}
	}
}

// layersFit is scaleFits for one model with a node for each layer.
func layersFit(in Input, rate float64) bool {
	m := in.Models[0]
	g := newFlowGraph(2 + len(in.Engines) + m.Layers)
	for i, e := range in.Engines {
		g.add(0, 2+i, min(e.Speed, float64(m.maxLayers(e))*rate))
		for l := range m.Layers {
			g.add(2+i, 2+len(in.Engines)+l, rate)
		}
	}
	for l := range m.Layers {
		g.add(2+len(in.Engines)+l, 1, rate)
	}
	return g.maxFlow(0, 1) >= float64(m.Layers)*rate*(1-1e-6)
}
