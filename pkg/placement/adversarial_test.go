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

var adversarialSeeds = flag.Uint64("placement.seeds", 12, "inputs for each size that TestWorstInput searches")

// randomInput returns hardware of up to 6 kinds whose memory and speed differ
// up to fortyfold, in 1 to 3 data centres whose links differ a hundredfold.
func randomInput(seed uint64, engines int) Input {
	rng := rand.New(rand.NewPCG(seed, 7))
	layers := 8 + rng.IntN(73)
	in := Input{Seed: seed, Models: []Model{{ID: "m", Version: "1", Layers: layers, BytesPerLayer: gib, Demand: 1}}}
	kinds := make([]Engine, 1+rng.IntN(6))
	for i := range kinds {
		// From a fortieth of the model to all of it.
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

// TestWorstInput guards against hardware on which the planner falls below 90%
// of what the hardware allows in whole layers. It searches seeded inputs and
// prints the worst. Spare ways are off: they may cost SpareCost more.
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
				p.Settings.Spare = false
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
		t.Logf("%d engines, %d inputs that fit: of the whole-layer bound worst %.3f (seed %d), 5th percentile %.3f, median %.3f; of the flow bound worst %.3f, median %.3f",
			n, len(ratios), ratios[0], worst, ratios[len(ratios)/20], ratios[len(ratios)/2], flow[0], flow[len(flow)/2])
		if ratios[0] < 0.9 {
			t.Errorf("%d engines, seed %d: %.3f of the whole-layer bound", n, worst, ratios[0])
		}
	}
}

// TestLinksAreCrossedSeldom guards against chains that change data centre at
// each stage, on hardware where no data centre holds a chain alone.
func TestLinksAreCrossedSeldom(t *testing.T) {
	for seed, n := range map[uint64]int{115: 20, 138: 40} {
		if r := NewPlanner().Plan(randomInput(seed, n)).Ratio(); r < 0.9 {
			t.Errorf("seed %d: %.3f of the flow bound", seed, r)
		}
	}
}

// TestBoundsHold guards against a bound below a throughput that a plan
// reaches, and against a flow that differs between layers one by one and the
// layers of a model as one node.
func TestBoundsHold(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		in := randomInput(seed, 8)
		plan, whole := NewPlanner().Plan(in), WholeLayerBound(in)
		if plan.Scale > min(whole, Bound(in))*1.001 {
			t.Errorf("seed %d: plan %.1f, whole layers %.1f, flow %.1f", seed, plan.Scale, whole, Bound(in))
		}
		in.Links = nil
		if b := Bound(in); b > 0 && (!layersFit(in, b*0.999) || layersFit(in, b*1.001)) {
			t.Errorf("seed %d: flow over single layers disagrees with %.3f", seed, b)
		}
	}
}

// layersFit is scaleFits with a node for each layer.
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
