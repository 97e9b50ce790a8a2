package placement

import "math"

// flowEpsilon is the capacity below which an edge counts as saturated. Float
// rounding would otherwise leave edges with a residue that never empties.
const flowEpsilon = 1e-9

type flowEdge struct {
	to       int
	capacity float64
}

// flowGraph is a directed graph for Dinic's max-flow algorithm. Edge 2k is the
// k-th added edge and 2k+1 its reverse. gonum has no max flow.
type flowGraph struct {
	edges []flowEdge
	out   [][]int
	level []int
	next  []int
	queue []int
}

func newFlowGraph(nodes int) *flowGraph {
	return &flowGraph{out: make([][]int, nodes), level: make([]int, nodes), next: make([]int, nodes)}
}

// add adds an edge and returns its number for flowOn.
func (g *flowGraph) add(from, to int, capacity float64) int {
	n := len(g.edges)
	g.edges = append(g.edges, flowEdge{to, capacity}, flowEdge{from, 0})
	g.out[from] = append(g.out[from], n)
	g.out[to] = append(g.out[to], n+1)
	return n
}

// flowOn returns the flow on an added edge.
func (g *flowGraph) flowOn(edge int) float64 { return g.edges[edge+1].capacity }

// maxFlow adds the highest possible flow from source to sink to the flow that
// the graph already carries and returns the added amount.
func (g *flowGraph) maxFlow(source, sink int) float64 {
	total := 0.0
	for g.levels(source, sink) {
		clear(g.next)
		for {
			f := g.push(source, sink, math.Inf(1))
			if f <= flowEpsilon {
				break
			}
			total += f
		}
	}
	return total
}

// levels numbers the nodes by distance and reports whether the sink can be reached.
func (g *flowGraph) levels(source, sink int) bool {
	for i := range g.level {
		g.level[i] = -1
	}
	g.level[source] = 0
	g.queue = append(g.queue[:0], source)
	for head := 0; head < len(g.queue); head++ {
		node := g.queue[head]
		for _, n := range g.out[node] {
			e := g.edges[n]
			if e.capacity > flowEpsilon && g.level[e.to] < 0 {
				g.level[e.to] = g.level[node] + 1
				g.queue = append(g.queue, e.to)
			}
		}
	}
	return g.level[sink] >= 0
}

// push sends flow along one path of rising levels.
func (g *flowGraph) push(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; g.next[node] < len(g.out[node]); g.next[node]++ {
		n := g.out[node][g.next[node]]
		e := g.edges[n]
		if e.capacity <= flowEpsilon || g.level[e.to] != g.level[node]+1 {
			continue
		}
		f := g.push(e.to, sink, min(limit, e.capacity))
		if f > flowEpsilon {
			g.edges[n].capacity -= f
			g.edges[n^1].capacity += f
			return f
		}
	}
	return 0
}
