package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

const gib = float64(1 << 30)

// today returns an input at today's scale: 3 data centres and engines of 4 kinds.
func today(engines int, seed uint64) Input {
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

// TestPlanReachesTheBound guards against placements that waste hardware: the
// target is 95% of the max-flow bound.
func TestPlanReachesTheBound(t *testing.T) {
	for seed := range uint64(10) {
		in := today(40, seed)
		plan := NewPlanner().Plan(in)
		t.Logf("seed %d: ratio %.3f local %.3f spare %t", seed, plan.Ratio(), plan.Local["m"]/plan.Throughput["m"], plan.Spare["m"])
		if plan.Ratio() < 0.95 {
			t.Errorf("seed %d: %.3f of the bound", seed, plan.Ratio())
		}
	}
}

// TestLossOfOneEngineLeavesAChain guards against plans that depend on one engine.
func TestLossOfOneEngineLeavesAChain(t *testing.T) {
	is := is.New(t)
	in := today(40, 1)
	plan := NewPlanner().Plan(in)
	for _, lost := range in.Engines {
		var left []upstream.Assignment
		for id, a := range plan.Wanted {
			if id != lost.ID {
				left = append(left, a)
			}
		}
		is.True(complete(left, "m", "1", 80))
	}
}

// complete reports whether assignments hold a chain through all layers.
func complete(held []upstream.Assignment, model fleet.ModelID, version string, layers int) bool {
	reach := map[int]bool{0: true}
	for range held {
		for _, a := range held {
			if a.Role == upstream.RoleServe && a.Model == model && a.Version == version && reach[a.Layers.First] {
				reach[a.Layers.End] = true
			}
		}
	}
	return reach[layers]
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 2000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			in := today(n, 1)
			b.ReportAllocs()
			for b.Loop() {
				NewPlanner().Plan(in)
			}
		})
	}
}
