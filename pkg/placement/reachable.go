package placement

import (
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// reachable reports whether the engines can change one by one to a plan while
// each model that has a complete chain keeps one of some version.
func reachable(in Input, plan Plan) bool {
	held := make([]upstream.Assignment, len(in.Engines))
	var open []int
	for i, e := range in.Engines {
		if !e.Unavailable {
			held[i] = e.Current
			if !sameWeights(e.Current, plan.Wanted[e.ID]) {
				open = append(open, i)
			}
		}
	}
	for len(open) > 0 {
		before := len(open)
		open = slices.DeleteFunc(open, func(i int) bool {
			from := held[i]
			held[i] = upstream.Assignment{}
			if normalRole(from.Role) == upstream.RoleServe && !stillServed(in, held, from) {
				held[i] = from
				return false
			}
			held[i] = plan.Wanted[in.Engines[i].ID]
			return true
		})
		if len(open) == before {
			return false
		}
	}
	return true
}

// stillServed reports whether an engine may leave a model: the wanted version
// keeps its complete chain, or where it has none yet, some version does.
func stillServed(in Input, held []upstream.Assignment, left upstream.Assignment) bool {
	for _, m := range in.Models {
		if m.ID != left.Model {
			continue
		}
		with := completeVersions(m, append(slices.Clone(held), left))
		without := completeVersions(m, held)
		if with[m.Version] {
			return without[m.Version]
		}
		return len(without) > 0 || len(with) == 0
	}
	return true
}

// completeVersions returns the versions of which assignments hold a complete chain.
func completeVersions(m Model, held []upstream.Assignment) map[string]bool {
	reach := map[string][]bool{}
	ends := map[string][][]int{}
	for _, a := range held {
		if normalRole(a.Role) != upstream.RoleServe || a.Model != m.ID || !within(a.Layers, m.Layers) {
			continue
		}
		if reach[a.Version] == nil {
			reach[a.Version] = make([]bool, m.Layers+1)
			reach[a.Version][0] = true
			ends[a.Version] = make([][]int, m.Layers+1)
		}
		ends[a.Version][a.Layers.First] = append(ends[a.Version][a.Layers.First], a.Layers.End)
	}
	out := map[string]bool{}
	for version, r := range reach {
		for b := range m.Layers {
			if !r[b] {
				continue
			}
			for _, end := range ends[version][b] {
				r[end] = true
			}
		}
		if r[m.Layers] {
			out[version] = true
		}
	}
	return out
}

// within reports whether a range is one of a model with that many layers.
func within(l fleet.LayerRange, layers int) bool {
	return l.First >= 0 && l.First < l.End && l.End <= layers
}
