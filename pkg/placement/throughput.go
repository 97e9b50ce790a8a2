package placement

import (
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// stage is one engine with the layer range that it holds.
type stage struct {
	engine     int
	dataCentre int
	layers     fleet.LayerRange
	// rate is the tokens per second that the engine runs through the range.
	rate float64
}

// chainGraph is the flow graph of one model's stages: a node for each pair of
// layer boundary and data centre, an edge for each stage, and at each boundary
// an edge between data centres for each link.
type chainGraph struct {
	stages      []stage
	layers      int
	dataCentres int
	// links is the tokens per second between data centres, by pair.
	links [][]float64
	// boundaries are the boundaries of the stages, in order.
	boundaries []int
	index      map[int]int
}

func newChainGraph(stages []stage, layers, dataCentres int, links [][]float64) *chainGraph {
	c := &chainGraph{stages: stages, layers: layers, dataCentres: dataCentres, links: links}
	c.boundaries = []int{0, layers}
	for _, s := range stages {
		c.boundaries = append(c.boundaries, s.layers.First, s.layers.End)
	}
	slices.Sort(c.boundaries)
	c.boundaries = slices.Compact(c.boundaries)
	c.index = make(map[int]int, len(c.boundaries))
	for i, b := range c.boundaries {
		c.index[b] = i
	}
	return c
}

func (c *chainGraph) node(boundary, dataCentre int) int {
	return 2 + c.index[boundary]*c.dataCentres + dataCentre
}

// graph returns the flow graph with the stages' edges and the ends of chains.
func (c *chainGraph) graph(rate func(stage) float64) *flowGraph {
	g := newFlowGraph(2 + len(c.boundaries)*c.dataCentres)
	type edge struct{ from, to int }
	sums := map[edge]float64{}
	for _, s := range c.stages {
		e := edge{c.node(s.layers.First, s.dataCentre), c.node(s.layers.End, s.dataCentre)}
		sums[e] += rate(s)
	}
	keys := make([]edge, 0, len(sums))
	total := 0.0
	for e, r := range sums {
		keys = append(keys, e)
		total += r
	}
	slices.SortFunc(keys, func(a, b edge) int {
		if a.from != b.from {
			return a.from - b.from
		}
		return a.to - b.to
	})
	for _, e := range keys {
		g.add(e.from, e.to, sums[e])
	}
	for d := range c.dataCentres {
		g.add(0, c.node(0, d), total)
		g.add(c.node(c.layers, d), 1, total)
	}
	return g
}

// throughput returns the tokens per second that chains can carry, and the part
// of it whose chains stay inside one data centre.
func (c *chainGraph) throughput() (total, local float64) {
	rate := func(s stage) float64 { return s.rate }
	local = c.graph(rate).maxFlow(0, 1)
	if c.dataCentres == 1 {
		return local, local
	}
	// A link's rate counts over all boundaries together. The first pass offers it
	// whole at each boundary, the second divides it in proportion to that use.
	share := make(map[[3]int]float64)
	flow, fits := c.withLinks(rate, share)
	if !fits {
		flow, _ = c.withLinks(rate, share)
	}
	return max(flow, local), local
}

// withLinks solves the flow with links between data centres. share holds the
// fraction of a link that each boundary may use; an absent entry is 1. It
// reports whether the links suffice and otherwise narrows the shares.
func (c *chainGraph) withLinks(rate func(stage) float64, share map[[3]int]float64) (float64, bool) {
	g := c.graph(rate)
	flow := g.maxFlow(0, 1)
	type crossing struct {
		key  [3]int
		edge int
	}
	var crossings []crossing
	for i, b := range c.boundaries[1 : len(c.boundaries)-1] {
		for a := range c.dataCentres {
			for d := range c.dataCentres {
				key := [3]int{i, a, d}
				s, ok := share[key]
				if !ok {
					s = 1
				}
				if r := c.links[a][d] * s; a != d && r > 0 {
					crossings = append(crossings, crossing{key, g.add(c.node(b, a), c.node(b, d), r)})
				}
			}
		}
	}
	flow += g.maxFlow(0, 1)
	used := map[[2]int]float64{}
	for _, x := range crossings {
		used[[2]int{x.key[1], x.key[2]}] += g.flowOn(x.edge)
	}
	fits := true
	for _, x := range crossings {
		pair := [2]int{x.key[1], x.key[2]}
		share[x.key] = 1
		if used[pair] > c.links[pair[0]][pair[1]]*(1+1e-9) {
			fits = false
			share[x.key] = g.flowOn(x.edge) / used[pair]
		}
	}
	return flow, fits
}

// ways returns the number of chains that share no engine, counted across data
// centres. Two or more mean that any one engine can be lost.
func (c *chainGraph) ways() int {
	open := &chainGraph{layers: c.layers, dataCentres: 1, boundaries: c.boundaries, index: c.index}
	for _, s := range c.stages {
		s.dataCentre = 0
		open.stages = append(open.stages, s)
	}
	f := open.graph(func(stage) float64 { return 1 }).maxFlow(0, 1)
	return int(f + 0.5)
}

// topology numbers the data centres of an input and holds the links between them.
type topology struct {
	index map[fleet.DataCentreID]int
	names []fleet.DataCentreID
	// bytes is the rate between data centres. Without any links it is unlimited.
	bytes [][]float64
}

// unlimitedLink stands for a link that is never the bottleneck, in bytes per second.
const unlimitedLink = 1e18

func newTopology(in Input) topology {
	t := topology{index: map[fleet.DataCentreID]int{}}
	for _, e := range in.Engines {
		t.add(e.DataCentre)
	}
	t.bytes = make([][]float64, len(t.names))
	for a := range t.bytes {
		t.bytes[a] = make([]float64, len(t.names))
		for b := range t.bytes[a] {
			if a == b || len(in.Links) == 0 {
				t.bytes[a][b] = unlimitedLink
			}
		}
	}
	for _, l := range in.Links {
		a, okA := t.index[l.A]
		b, okB := t.index[l.B]
		if okA && okB {
			t.bytes[a][b] = l.BytesPerSecond
			t.bytes[b][a] = l.BytesPerSecond
		}
	}
	return t
}

func (t *topology) add(d fleet.DataCentreID) {
	if _, ok := t.index[d]; !ok {
		t.index[d] = len(t.names)
		t.names = append(t.names, d)
	}
}

// tokens returns the links as tokens per second of the model.
func (t *topology) tokens(m Model) [][]float64 {
	out := make([][]float64, len(t.bytes))
	for a := range out {
		out[a] = make([]float64, len(t.bytes))
		for b := range out[a] {
			out[a][b] = t.bytes[a][b] / m.activationBytes()
		}
	}
	return out
}

// pathOrder returns the place of each data centre on a path over fast links.
func (t *topology) pathOrder() []int {
	order := make([]int, len(t.names))
	best := -1.0
	for start := range t.names {
		place, slowest := t.pathFrom(start)
		if slowest > best {
			order, best = place, slowest
		}
	}
	return order
}

// pathFrom visits the data centres from one on, each time over the fastest
// link to one not yet visited, and returns the slowest link taken.
func (t *topology) pathFrom(at int) (place []int, slowest float64) {
	place = make([]int, len(t.names))
	for i := range place {
		place[i] = -1
	}
	place[at] = 0
	slowest = unlimitedLink
	for n := 1; n < len(place); n++ {
		next := -1
		for d := range place {
			if place[d] < 0 && (next < 0 || t.bytes[at][d] > t.bytes[at][next]) {
				next = d
			}
		}
		slowest = min(slowest, t.bytes[at][next])
		place[next] = n
		at = next
	}
	return place, slowest
}
