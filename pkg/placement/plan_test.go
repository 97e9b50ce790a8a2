package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

const gib = float64(1 << 30)

// typicalInput returns a fleet at today's scale: 3 data centres and engines of 4 kinds.
func typicalInput(engines int, seed uint64) Input {
	kinds := []Engine{
		{Kind: "a", Memory: 24 * gib, Speed: 4000, Slots: 16},
		{Kind: "b", Memory: 48 * gib, Speed: 9000, Slots: 24},
		{Kind: "c", Memory: 16 * gib, Speed: 2200, Slots: 8},
		{Kind: "d", Memory: 80 * gib, Speed: 20000, Slots: 32},
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	in := Input{Seed: seed, Models: []Model{{
		ID: "m", Version: "1", Layers: 80, BytesPerLayer: 1.6 * gib, KVBytesPerToken: 4096, ContextTokens: 4096, Demand: 1,
	}}}
	for i := range engines {
		e := kinds[rng.IntN(len(kinds))]
		e.ID = fleet.UpstreamID(fmt.Sprintf("e%d", i))
		e.DataCentre = fleet.DataCentreID(fmt.Sprintf("dc%d", i%3))
		in.Engines = append(in.Engines, e)
	}
	in.Links = []Link{{"dc0", "dc1", 1.25e9}, {"dc1", "dc2", 1.25e9}, {"dc0", "dc2", 1.25e7}}
	return in
}

// TestSearchBeatsBaselines guards against plans that reach less than the target
// of 95% of the max-flow bound, and against a search that is no better than the
// baselines on the same hardware.
func TestSearchBeatsBaselines(t *testing.T) {
	t.Parallel()
	ratios := map[Method]float64{}
	for _, method := range []Method{MethodEqualSplit, MethodOneChain, MethodSearch} {
		worst := 1.0
		for seed := range uint64(10) {
			p := NewPlanner()
			p.Settings.Method = method
			plan := p.Plan(typicalInput(40, seed))
			r := plan.Ratio()
			if method == MethodSearch {
				t.Logf("seed %d: ratio %.3f, share of local chains %.3f, redundant %t", seed, r, plan.LocalThroughput["m"]/plan.Throughput["m"], plan.Redundant["m"])
				if r < 0.95 {
					t.Errorf("seed %d: plan reaches %.3f of the flow bound, want at least 0.95", seed, r)
				}
			}
			ratios[method] += r / 10
			worst = min(worst, r)
		}
		t.Logf("method %s: mean %.3f, worst %.3f of the flow bound", method, ratios[method], worst)
	}
	if ratios[MethodSearch] <= max(ratios[MethodEqualSplit], ratios[MethodOneChain]) {
		t.Error("the search is no better than a baseline")
	}
}

// TestLossOfOneEngineLeavesAChain guards against plans without a complete chain
// after the loss of one engine. It uses hardware on which the fastest plan has
// that fault.
func TestLossOfOneEngineLeavesAChain(t *testing.T) {
	t.Parallel()
	for _, in := range []Input{typicalInput(40, 1), randomInput(2, 20), randomInput(39, 20), randomInput(58, 20)} {
		is := is.New(t)
		plan := NewPlanner().Plan(in)
		is.True(plan.Redundant["m"])
		for _, lost := range in.Engines {
			var left []upstream.Assignment
			for id, a := range plan.Wanted {
				if id != lost.ID {
					left = append(left, a)
				}
			}
			is.True(completeVersions(in.Models[0], left)["1"])
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 2000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			in := typicalInput(n, 1)
			b.ReportAllocs()
			for b.Loop() {
				NewPlanner().Plan(in)
			}
		})
	}
}

// TestAdaptersFollowDemand guards against adapters that no complete chain holds,
// and against adapters that stay on few engines when their demand grows.
func TestAdaptersFollowDemand(t *testing.T) {
	is := is.New(t)
	in := typicalInput(40, 1)
	m := &in.Models[0]
	m.Adapters = []Adapter{{"hot", 2 * gib, 0.6}, {"warm", 2 * gib, 0.2}, {"cold", 2 * gib, 0.01}, {"unused", 2 * gib, 0}}
	share := func(plan Plan, name string) float64 {
		var stages []stage
		top := newTopology(in)
		for i, e := range in.Engines {
			if w := plan.Wanted[e.ID]; slices.Contains(w.Adapters, name) {
				stages = append(stages, newStage(in, top, *m, i, w.Layers))
			}
		}
		rate, _ := newChainGraph(stages, m.Layers, len(top.names), top.tokensPerSecond(*m)).throughput()
		return rate / plan.Throughput["m"]
	}
	plan := NewPlanner().Plan(in)
	t.Logf("hot %.2f warm %.2f cold %.2f", share(plan, "hot"), share(plan, "warm"), share(plan, "cold"))
	is.True(share(plan, "hot") >= 0.6)
	is.True(share(plan, "warm") >= 0.2)
	is.True(share(plan, "cold") >= 0.01)
	is.Equal(share(plan, "unused"), 0.0)
	for i, e := range in.Engines {
		in.Engines[i].Current = plan.Wanted[e.ID]
	}
	m.Adapters[0].Demand, m.Adapters[2].Demand = 0.01, 0.6
	plan = NewPlanner().Replan(in)
	is.True(share(plan, "cold") >= 0.6)
	is.True(share(plan, "hot") < 0.6)
	for _, e := range in.Engines {
		is.Equal(plan.Wanted[e.ID].Layers, e.Current.Layers) // adapters move, layers do not
	}
}

// TestModelsShareEngines guards against a model that gets much less throughput
// than its share of the demand.
func TestModelsShareEngines(t *testing.T) {
	is := is.New(t)
	in := typicalInput(40, 2)
	big := in.Models[0]
	big.Demand = 0.7
	in.Models = []Model{big, {ID: "n", Version: "1", Layers: 32, BytesPerLayer: 0.5 * gib, Demand: 0.3, LayerWork: 0.4}}
	plan := NewPlanner().Plan(in)
	t.Logf("ratio %.3f, throughput %v, redundant %v", plan.Ratio(), plan.Throughput, plan.Redundant)
	is.True(plan.Ratio() >= 0.9)
}

// BenchmarkPlanModels shows how plan time and memory grow with the number of models.
func BenchmarkPlanModels(b *testing.B) {
	for _, models := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("engines=400/models=%d", models), func(b *testing.B) {
			in := typicalInput(400, 1)
			base := in.Models[0]
			in.Models = nil
			for i := range models {
				base.ID = fleet.ModelID(fmt.Sprintf("m%d", i))
				base.Demand = 1 / float64(models)
				in.Models = append(in.Models, base)
			}
			b.ReportAllocs()
			for b.Loop() {
				b.ReportMetric(NewPlanner().Plan(in).Ratio(), "ratio")
			}
		})
	}
}

// BenchmarkReplan measures a new plan after the loss of one engine.
func BenchmarkReplan(b *testing.B) {
	for _, n := range []int{40, 2000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			in := typicalInput(n, 1)
			plan := NewPlanner().Plan(in)
			for i, e := range in.Engines {
				in.Engines[i].Current = plan.Wanted[e.ID]
			}
			in.Engines[1].Unavailable = true
			b.ReportAllocs()
			for b.Loop() {
				NewPlanner().Replan(in)
			}
		})
	}
}

// BenchmarkOwnerTick measures a tick of a settled owner, and the heap memory of
// the simulation for each engine.
func BenchmarkOwnerTick(b *testing.B) {
	for _, n := range []int{40, 2000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			in := typicalInput(n, 1)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newSim(in, 1, 1e15)
			s.replan = func(in Input) Plan {
				plan := Plan{Wanted: map[fleet.UpstreamID]upstream.Assignment{}, Scale: 1}
				for i, e := range in.Engines {
					first := i % 8 * 10
					plan.Wanted[e.ID] = upstream.Assignment{
						Role: upstream.RoleServe, Model: "m", Version: "1", Layers: fleet.LayerRange{First: first, End: first + 10},
					}
				}
				return plan
			}
			if !s.run(time.Minute, s.settled) {
				b.Fatal("not settled")
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s.now = s.now.Add(TickInterval)
				s.vms[0].owner.leaseState.expiresAt = s.now.Add(time.Second)
				s.vms[0].owner.Handle(s.now, Tick{})
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "B/engine")
		})
	}
}
