// Package bench runs the policies over the real decision code with small fake
// engines in virtual time. A fake engine has a service time, a batch limit and a
// fault switch, nothing more. The same seed gives the same figures.
package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	modelID     = fleet.ModelID("m")
	modelLayers = 40
	vmCount     = 4
	dcCount     = 3
	// linkNear and linkFar are the one-way times within and between data centres.
	linkNear = 50e-6
	linkFar  = 550e-6
)

// engine is a fake engine. One decode step takes base*(1+n/slots) seconds with n
// generations up to the batch limit, and time slices beyond it.
type engine struct {
	id      fleet.UpstreamID
	dc      int
	layers  fleet.LayerRange
	slots   int
	base    float64 // seconds of a decode step when alone
	prefill float64 // seconds per prompt token when alone
	n       int     // generations on the engine
	down    bool    // the fault switch
	downAt  float64
	lives   int
}

// step returns the seconds of one decode step with n generations.
func (e *engine) step(n int) float64 { return e.base * slowdown(n, e.slots) }

func slowdown(n, slots int) float64 {
	load := float64(n) / float64(slots)
	if load <= 1 {
		return 1 + load
	}
	return 2 * load
}

// deployment is one of today's two deployments.
type deployment struct {
	name    string
	engines []engine
	teams   []teamSpec
}

type teamSpec struct {
	id     fleet.TeamID
	weight float64
	large  bool
}

// kind is a kind of accelerator: slots, and seconds of a step and of a prompt
// token for a quarter of the layers.
type kind struct {
	slots         int
	base, prefill float64
}

var kinds = []kind{{16, 4e-3, 40e-6}, {12, 5.5e-3, 60e-6}, {8, 8e-3, 90e-6}}

// add appends count engines of a kind that hold the layers, spread over the data centres.
func (d *deployment) add(k kind, layers fleet.LayerRange, count int) {
	part := float64(layers.Len()) / (modelLayers / 4)
	for range count {
		i := len(d.engines)
		d.engines = append(d.engines, engine{
			id: fleet.UpstreamID(fmt.Sprintf("e%02d", i)), dc: i % dcCount, layers: layers,
			slots: k.slots, base: k.base * part, prefill: k.prefill * part,
		})
	}
}

func quarter(q int) fleet.LayerRange { return fleet.LayerRange{First: q * 10, End: q*10 + 10} }

// deployments returns today's two: one with even quarters, one that mixes
// halves on the fastest kind with quarters on the others.
func deployments() []deployment {
	even := deployment{name: "kranzhost"}
	for q := range 4 {
		even.add(kinds[0], quarter(q), 4)
		even.add(kinds[1], quarter(q), 4)
		even.add(kinds[2], quarter(q), 2)
	}
	mixed := deployment{name: "tenun"}
	for h := range 2 {
		mixed.add(kinds[0], fleet.LayerRange{First: h * 20, End: h*20 + 20}, 8)
	}
	for q := range 4 {
		mixed.add(kinds[1], quarter(q), 3)
		mixed.add(kinds[2], quarter(q), 3)
	}
	for _, d := range []*deployment{&even, &mixed} {
		for i := range 10 {
			t := teamSpec{id: fleet.TeamID(fmt.Sprintf("small%d", i)), weight: 1}
			if i < 3 {
				t = teamSpec{id: fleet.TeamID(fmt.Sprintf("large%d", i)), weight: 4, large: true}
			}
			d.teams = append(d.teams, t)
		}
	}
	return []deployment{even, mixed}
}

// class is the shape of a rank's requests: mean prompt and output tokens.
type class struct{ prompt, output float64 }

var classes = [fleet.RankCount]class{{300, 60}, {100, 10}, {800, 300}}

// cost is the estimated cost of a request in token units. A prompt token takes
// about promptWeight of the slot time of an output token on these engines.
func cost(prompt, output float64) float64 { return output + promptWeight*prompt }

const promptWeight = 0.0105

// boundPasses bounds the rounds of re-placement; it settles after three or four.
const boundPasses = 10

// bound returns the most cost units per second that the engines and links can
// do. Generations of all entry VMs in turn are placed one by one on the chain
// with the least added time, until no chain has a free slot. Then each is placed
// again where it adds the least, until that gains nothing.
func (d *deployment) bound() float64 {
	n := make([]int, len(d.engines))
	var chains [][]int
	for {
		chain := d.cheapest(n, len(chains)%vmCount%dcCount)
		if chain == nil {
			break
		}
		occupy(n, chain, 1)
		chains = append(chains, chain)
	}
	best := d.tokenTime(n, chains)
	for range boundPasses {
		for k := range chains {
			occupy(n, chains[k], -1)
			chains[k] = d.cheapest(n, k%vmCount%dcCount)
			occupy(n, chains[k], 1)
		}
		total := d.tokenTime(n, chains)
		if total >= best {
			break
		}
		best = total
	}
	return float64(len(chains)) * float64(len(chains)) / best
}

func occupy(n []int, chain []int, by int) {
	for _, i := range chain {
		n[i] += by
	}
}

// tokenTime returns the sum over all generations of the seconds of one token.
func (d *deployment) tokenTime(n []int, chains [][]int) float64 {
	total := 0.0
	for i := range d.engines {
		total += float64(n[i]) * d.engines[i].step(n[i])
	}
	for k, chain := range chains {
		at := k % vmCount % dcCount
		for _, i := range chain {
			total += linkTime(at, d.engines[i].dc)
			at = d.engines[i].dc
		}
		total += linkTime(at, k%vmCount%dcCount)
	}
	return total
}

// linkTime returns the one-way seconds between two data centres.
func linkTime(a, b int) float64 {
	if a == b {
		return linkNear
	}
	return linkFar
}

// cheapest returns the chain that adds the least time for a generation of an
// entry VM in the data centre home, nil when no chain has a free slot.
func (d *deployment) cheapest(n []int, home int) []int {
	best := make([]float64, len(d.engines)) // from home through the engine
	via := make([]int, len(d.engines))
	last, least := -1, math.Inf(1)
	for first := range modelLayers {
		for i := range d.engines {
			e := &d.engines[i]
			if e.layers.First != first {
				continue
			}
			best[i], via[i] = math.Inf(1), -1
			if n[i] >= e.slots || e.down {
				continue
			}
			added := float64(n[i]+1)*e.step(n[i]+1) - float64(n[i])*e.step(n[i])
			if first == 0 {
				best[i] = added + linkTime(home, e.dc)
			}
			for j := range d.engines {
				if p := &d.engines[j]; p.layers.End == first {
					if c := best[j] + linkTime(p.dc, e.dc) + added; c < best[i] {
						best[i], via[i] = c, j
					}
				}
			}
			if c := best[i] + linkTime(e.dc, home); e.layers.End == modelLayers && c < least {
				last, least = i, c
			}
		}
	}
	var chain []int
	for i := last; i >= 0; i = via[i] {
		chain = append(chain, i)
	}
	slices.Reverse(chain)
	return chain
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
