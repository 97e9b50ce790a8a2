package placement

import (
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// reachable reports whether the engines can switch to a plan one by one while
// each model that has a complete chain keeps one, as stillServed requires.
func reachable(in Input, plan Plan) bool {
	held := make([]upstream.Assignment, len(in.Engines))
	var toMigrate []int
	for i, e := range in.Engines {
		if !e.Unavailable {
			held[i] = e.Current
			if !sameWeights(e.Current, plan.Wanted[e.ID]) {
				toMigrate = append(toMigrate, i)
			}
		}
	}
	for len(toMigrate) > 0 {
		before := len(toMigrate)
		toMigrate = slices.DeleteFunc(toMigrate, func(i int) bool {
			from := held[i]
			held[i] = upstream.Assignment{}
			if normalRole(from.Role) == upstream.RoleServe && !stillServed(in, held, from) {
				held[i] = from
				return false
			}
			held[i] = plan.Wanted[in.Engines[i].ID]
			return true
		})
		if len(toMigrate) == before {
			return false
		}
	}
	return true
}

// stillServed reports whether an engine may drop the released assignment. held
// is what the engines hold without it. If the model's wanted version has a
// complete chain, it must keep one. If it has none yet but another version
// does, some version must keep one.
func stillServed(in Input, held []upstream.Assignment, released upstream.Assignment) bool {
	for _, m := range in.Models {
		if m.ID != released.Model {
			continue
		}
		with := completeVersions(m, append(slices.Clone(held), released))
		without := completeVersions(m, held)
		if with[m.Version] {
			return without[m.Version]
		}
		return len(without) > 0 || len(with) == 0
	}
	return true
}

// completeVersions returns the versions of a model for which the assignments
// form a complete chain.
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

// within reports whether a layer range is not empty and lies within a model of
// that many layers.
func within(l fleet.LayerRange, layers int) bool {
	return l.First >= 0 && l.First < l.End && l.End <= layers
}
