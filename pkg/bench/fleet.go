// Package bench compares scheduling and routing policies in virtual time. It runs the
// real decision code against fake engines, which have only a service time, a batch
// limit and a fault switch. The same seed gives the same figures.
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
	// localLinkTime is the one-way latency within a data centre, in seconds.
	localLinkTime = 50e-6
	// remoteLinkTime is the one-way latency between data centres, in seconds.
	remoteLinkTime = 550e-6
)

// engine is a fake engine. With n generations, one decode step takes
// baseStep*(1+n/slots) seconds up to the batch limit of slots. Beyond the limit,
// generations share the engine by time slices, and a step takes 2*baseStep*n/slots.
type engine struct {
	id          fleet.UpstreamID
	dc          int
	layers      fleet.LayerRange
	slots       int
	baseStep    float64 // seconds of a decode step on an idle engine
	prefill     float64 // seconds per prompt token on an idle engine
	generations int     // generations that run on the engine
	down        bool    // fault switch
	downAt      float64
	lives       int
}

// stepTime returns the seconds of one decode step with n generations.
func (e *engine) stepTime(n int) float64 { return e.baseStep * slowdown(n, e.slots) }

// slowdown returns the factor by which n generations prolong a step or a prefill.
func slowdown(n, slots int) float64 {
	load := float64(n) / float64(slots)
	if load <= 1 {
		return 1 + load
	}
	return 2 * load
}

// deployment is a set of engines and the teams that use them.
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

// accelerator describes a kind of accelerator: its slots, and the seconds per decode step
// and per prompt token for a quarter of the layers.
type accelerator struct {
	slots             int
	baseStep, prefill float64
}

var accelerators = []accelerator{{16, 4e-3, 40e-6}, {12, 5.5e-3, 60e-6}, {8, 8e-3, 90e-6}}

// add appends count engines of a kind that hold the given layers, distributed over the
// data centres.
func (d *deployment) add(k accelerator, layers fleet.LayerRange, count int) {
	part := float64(layers.Len()) / (modelLayers / 4)
	for range count {
		i := len(d.engines)
		d.engines = append(d.engines, engine{
			id: fleet.UpstreamID(fmt.Sprintf("e%02d", i)), dc: i % dcCount, layers: layers,
			slots: k.slots, baseStep: k.baseStep * part, prefill: k.prefill * part,
		})
	}
}

// quarter returns the layers of the q-th quarter of the model.
func quarter(q int) fleet.LayerRange { return fleet.LayerRange{First: q * 10, End: q*10 + 10} }

// deployments returns models of the two current deployments. In the first every engine
// holds a quarter of the layers. In the second, engines of the fastest kind hold halves
// and the others quarters.
func deployments() []deployment {
	even := deployment{name: "kranzhost"}
	for q := range 4 {
		even.add(accelerators[0], quarter(q), 4)
		even.add(accelerators[1], quarter(q), 4)
		even.add(accelerators[2], quarter(q), 2)
	}
	mixed := deployment{name: "tenun"}
	for h := range 2 {
		mixed.add(accelerators[0], fleet.LayerRange{First: h * 20, End: h*20 + 20}, 8)
	}
	for q := range 4 {
		mixed.add(accelerators[1], quarter(q), 3)
		mixed.add(accelerators[2], quarter(q), 3)
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

// tokenMeans holds the mean numbers of prompt and output tokens of a rank's requests.
type tokenMeans struct{ prompt, output float64 }

var meansByRank = [fleet.RankCount]tokenMeans{{300, 60}, {100, 10}, {800, 300}}

// cost returns the estimated cost of a request in units of output tokens.
func cost(prompt, output float64) float64 { return output + promptWeight*prompt }

// promptWeight is the approximate slot time of a prompt token relative to that of an
// output token on these engines.
const promptWeight = 0.0105

// boundPasses limits the passes of re-placement. The result converges after three or
// four.
const boundPasses = 10

// capacityBound returns the maximum cost units per second that the engines and links can
// process. It places generations one by one, for the entry VMs in turn, on the chain
// with the least added time until no chain has a free slot. Then it moves each
// generation to the chain where it adds the least time, until a pass brings no
// improvement.
func (d *deployment) capacityBound() float64 {
	n := make([]int, len(d.engines))
	var chains [][]int
	for {
		chain := d.cheapestChain(n, len(chains)%vmCount%dcCount)
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
			chains[k] = d.cheapestChain(n, k%vmCount%dcCount)
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

// occupy adds by to the number of generations on each engine of a chain.
func occupy(n []int, chain []int, by int) {
	for _, i := range chain {
		n[i] += by
	}
}

// tokenTime returns the sum of the seconds per token over all generations.
func (d *deployment) tokenTime(n []int, chains [][]int) float64 {
	total := 0.0
	for i := range d.engines {
		total += float64(n[i]) * d.engines[i].stepTime(n[i])
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

// linkTime returns the one-way latency between two data centres in seconds.
func linkTime(a, b int) float64 {
	if a == b {
		return localLinkTime
	}
	return remoteLinkTime
}

// cheapestChain returns the chain that adds the least time for a generation of an entry VM
// in data centre home, or nil if no chain has a free slot. n holds the generations on
// each engine.
func (d *deployment) cheapestChain(n []int, home int) []int {
	best := make([]float64, len(d.engines)) // least added time from home through the engine
	via := make([]int, len(d.engines))      // engine before it on that path, -1 for none
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
			added := float64(n[i]+1)*e.stepTime(n[i]+1) - float64(n[i])*e.stepTime(n[i])
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
