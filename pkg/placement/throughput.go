package placement

import (
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// stage is an engine with its layer range. The engine and the data centre are
// indexes into Input.Engines and topology.names.
type stage struct {
	engine     int
	dataCentre int
	layers     fleet.LayerRange
	// rate is the tokens per second that the engine runs through its range.
	rate float64
}

// chainGraph describes the flow graph of one model's stages. It has a node for
// each pair of a layer boundary and a data centre. Stages are edges from their
// first to their last boundary, and at each inner boundary an edge connects
// each pair of linked data centres.
type chainGraph struct {
	stages      []stage
	layers      int
	dataCentres int
	// links holds the tokens per second from one data centre to another.
	links [][]float64
	// boundaries are the first and last boundaries of the stages in ascending order.
	boundaries    []int
	boundaryIndex map[int]int
}

func newChainGraph(stages []stage, layers, dataCentres int, links [][]float64) *chainGraph {
	c := &chainGraph{stages: stages, layers: layers, dataCentres: dataCentres, links: links}
	c.boundaries = []int{0, layers}
	for _, s := range stages {
		c.boundaries = append(c.boundaries, s.layers.First, s.layers.End)
	}
	slices.Sort(c.boundaries)
	c.boundaries = slices.Compact(c.boundaries)
	c.boundaryIndex = make(map[int]int, len(c.boundaries))
	for i, b := range c.boundaries {
		c.boundaryIndex[b] = i
	}
	return c
}

// node returns the index of a node in the flow graph. Nodes 0 and 1 are the
// source and the sink.
func (c *chainGraph) node(boundary, dataCentre int) int {
	return 2 + c.boundaryIndex[boundary]*c.dataCentres + dataCentre
}

// graph returns a flow graph with an edge for each pair of nodes that stages
// connect. The source, node 0, feeds the first boundary in each data centre,
// and the last boundary feeds the sink, node 1. Links are not included.
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

// throughput returns the tokens per second that all chains can carry, and the
// tokens per second that chains within single data centres can carry.
func (c *chainGraph) throughput() (total, local float64) {
	rate := func(s stage) float64 { return s.rate }
	local = c.graph(rate).maxFlow(0, 1)
	if c.dataCentres == 1 {
		return local, local
	}
	// A link's capacity is shared by all boundaries. The first pass offers the
	// whole capacity at each boundary; the second divides it in proportion to the
	// flow of the first.
	share := make(map[[3]int]float64)
	flow, fits := c.flowWithLinks(rate, share)
	if !fits {
		flow, _ = c.flowWithLinks(rate, share)
	}
	return max(flow, local), local
}

// flowWithLinks returns the maximum flow with links between data centres and
// whether it stays within the capacity of every link. share holds the fraction
// of a link's capacity that each boundary may use, by boundary and data
// centres; an absent entry means 1. The shares of overloaded links are reduced
// in proportion to their use, and those of the other links are set to 1.
func (c *chainGraph) flowWithLinks(rate func(stage) float64, share map[[3]int]float64) (float64, bool) {
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

// disjointChains returns the maximum number of chains that share no engine. It
// treats all data centres as one. With two or more, a complete chain remains
// after the loss of any one engine.
func (c *chainGraph) disjointChains() int {
	merged := &chainGraph{layers: c.layers, dataCentres: 1, boundaries: c.boundaries, boundaryIndex: c.boundaryIndex}
	for _, s := range c.stages {
		s.dataCentre = 0
		merged.stages = append(merged.stages, s)
	}
	f := merged.graph(func(stage) float64 { return 1 }).maxFlow(0, 1)
	return int(f + 0.5)
}

// topology numbers the data centres of an input and holds the capacities of the
// links between them.
type topology struct {
	index map[fleet.DataCentreID]int
	names []fleet.DataCentreID
	// bytesPerSecond is the capacity from one data centre to another. It is
	// unlimited when the input has no links.
	bytesPerSecond [][]float64
}

// unlimitedLink is a capacity in bytes per second that is never the bottleneck.
const unlimitedLink = 1e18

func newTopology(in Input) topology {
	t := topology{index: map[fleet.DataCentreID]int{}}
	for _, e := range in.Engines {
		t.add(e.DataCentre)
	}
	t.bytesPerSecond = make([][]float64, len(t.names))
	for a := range t.bytesPerSecond {
		t.bytesPerSecond[a] = make([]float64, len(t.names))
		for b := range t.bytesPerSecond[a] {
			if a == b || len(in.Links) == 0 {
				t.bytesPerSecond[a][b] = unlimitedLink
			}
		}
	}
	for _, l := range in.Links {
		a, okA := t.index[l.A]
		b, okB := t.index[l.B]
		if okA && okB {
			t.bytesPerSecond[a][b] = l.BytesPerSecond
			t.bytesPerSecond[b][a] = l.BytesPerSecond
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

// tokensPerSecond returns the link capacities in tokens per second of the model.
func (t *topology) tokensPerSecond(m Model) [][]float64 {
	out := make([][]float64, len(t.bytesPerSecond))
	for a := range out {
		out[a] = make([]float64, len(t.bytesPerSecond))
		for b := range out[a] {
			out[a][b] = t.bytesPerSecond[a][b] / m.activationBytes()
		}
	}
	return out
}

// pathOrder returns the position of each data centre on a path through all of
// them. Of the paths that pathFrom finds, it takes the one whose slowest link
// is the fastest.
func (t *topology) pathOrder() []int {
	order := make([]int, len(t.names))
	best := -1.0
	for start := range t.names {
		pathPosition, slowest := t.pathFrom(start)
		if slowest > best {
			order, best = pathPosition, slowest
		}
	}
	return order
}

// pathFrom builds a path through all data centres greedily: from the start it
// follows the fastest link to a data centre not yet visited. It returns the
// position of each data centre and the capacity of the slowest link on the path.
func (t *topology) pathFrom(at int) (pathPosition []int, slowest float64) {
	pathPosition = make([]int, len(t.names))
	for i := range pathPosition {
		pathPosition[i] = -1
	}
	pathPosition[at] = 0
	slowest = unlimitedLink
	for n := 1; n < len(pathPosition); n++ {
		next := -1
		for d := range pathPosition {
			if pathPosition[d] < 0 && (next < 0 || t.bytesPerSecond[at][d] > t.bytesPerSecond[at][next]) {
				next = d
			}
		}
		slowest = min(slowest, t.bytesPerSecond[at][next])
		pathPosition[next] = n
		at = next
	}
	return pathPosition, slowest
}
