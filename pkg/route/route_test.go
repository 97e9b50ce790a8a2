package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/route"
)

// threeDCs returns n engines that hold quarters of a 40-layer model, spread
// over three data centres.
func threeDCs(n int) route.Input {
	in := route.Input{Self: "dc0", Models: []route.Model{{ID: "m", Layers: 40, Block: 16}}}
	for i := range n {
		q := i % 4
		in.Engines = append(in.Engines, route.Engine{
			ID: fleet.UpstreamID(fmt.Sprintf("e%03d", i)), DataCentre: fleet.DataCentreID(fmt.Sprintf("dc%d", i/4%3)),
			Model: "m", Layers: fleet.LayerRange{First: q * 10, End: q*10 + 10}, Slots: 16,
			StageTime: 10 * time.Millisecond, PrefillPerToken: 100 * time.Microsecond,
			Load: new(route.Load), Prefixes: new(route.PrefixTable),
		})
	}
	for a := range 3 {
		for b := range 3 {
			d := 50 * time.Microsecond
			if a != b {
				d = 550 * time.Microsecond
			}
			in.Links = append(in.Links, route.Link{From: fleet.DataCentreID(fmt.Sprintf("dc%d", a)), To: fleet.DataCentreID(fmt.Sprintf("dc%d", b)), Time: d})
		}
	}
	return in
}

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestChainCoversLayers guards against a chain with a gap, an overlap or an excluded stage.
func TestChainCoversLayers(t *testing.T) {
	is := is.New(t)
	in := threeDCs(24)
	in.Engines = append(in.Engines, route.Engine{ID: "wide", DataCentre: "dc1", Model: "m", Layers: fleet.LayerRange{First: 0, End: 20}, Slots: 16, StageTime: 20 * time.Millisecond})
	s := route.Build(in)
	r := rng(1)
	for range 200 {
		req := &route.Request{Model: "m", PromptTokens: 100, OutputTokens: 50, Exclude: []fleet.UpstreamID{"e000"}}
		chain, err := route.PickChain(s, req, r)
		is.NoErr(err)
		at := 0
		for _, st := range chain {
			is.Equal(st.Layers.First, at)
			is.True(st.Upstream != "e000")
			at = st.Layers.End
		}
		is.Equal(at, 40)
	}
}
