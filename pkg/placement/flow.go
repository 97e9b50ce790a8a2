package placement

import "math"

// flowEpsilon is the residual capacity up to which an edge counts as saturated.
// Without it, float rounding would leave tiny residual capacities that are
// never used up.
const flowEpsilon = 1e-9

type flowEdge struct {
	to       int
	capacity float64
}

// flowGraph is a directed graph for Dinic's max-flow algorithm, which gonum
// does not provide. The k-th added edge is edges[2k], its reverse edges[2k+1].
// Capacities are residual.
type flowGraph struct {
	edges    []flowEdge
	outEdges [][]int
	level    []int
	nextEdge []int
	queue    []int
}

func newFlowGraph(nodes int) *flowGraph {
	return &flowGraph{outEdges: make([][]int, nodes), level: make([]int, nodes), nextEdge: make([]int, nodes)}
}

// add adds an edge and returns its index, which flowOn accepts.
func (g *flowGraph) add(from, to int, capacity float64) int {
	n := len(g.edges)
	g.edges = append(g.edges, flowEdge{to, capacity}, flowEdge{from, 0})
	g.outEdges[from] = append(g.outEdges[from], n)
	g.outEdges[to] = append(g.outEdges[to], n+1)
	return n
}

// flowOn returns the flow on an added edge, which is the residual capacity of its reverse.
func (g *flowGraph) flowOn(edge int) float64 { return g.edges[edge+1].capacity }

// maxFlow increases the flow from source to sink to its maximum and returns the
// increase. Flow that the graph already carries is kept, so edges can be added
// between two calls.
func (g *flowGraph) maxFlow(source, sink int) float64 {
	total := 0.0
	for g.buildLevels(source, sink) {
		clear(g.nextEdge)
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

// buildLevels sets each node's distance from the source and reports whether the
// sink can be reached.
func (g *flowGraph) buildLevels(source, sink int) bool {
	for i := range g.level {
		g.level[i] = -1
	}
	g.level[source] = 0
	g.queue = append(g.queue[:0], source)
	for head := 0; head < len(g.queue); head++ {
		node := g.queue[head]
		for _, n := range g.outEdges[node] {
			e := g.edges[n]
			if e.capacity > flowEpsilon && g.level[e.to] < 0 {
				g.level[e.to] = g.level[node] + 1
				g.queue = append(g.queue, e.to)
			}
		}
	}
	return g.level[sink] >= 0
}

// push sends up to limit of flow from a node to the sink along one path of
// rising levels and returns the amount sent.
func (g *flowGraph) push(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; g.nextEdge[node] < len(g.outEdges[node]); g.nextEdge[node]++ {
		n := g.outEdges[node][g.nextEdge[node]]
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
