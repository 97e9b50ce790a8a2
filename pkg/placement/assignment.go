package placement

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// sameAssignment reports whether two assignments have the same effect. Idle
// assignments are equal whatever their other fields hold, and the sequence of
// adapters does not matter.
func sameAssignment(a, b upstream.Assignment) bool {
	if normalRole(a.Role) != normalRole(b.Role) {
		return false
	}
	if normalRole(a.Role) == upstream.RoleIdle {
		return true
	}
	return sameWeights(a, b) && slices.Equal(sorted(a.Adapters), sorted(b.Adapters))
}

// sameWeights reports whether two assignments have the same role and the same
// layers of the same model version. It does not compare adapters.
func sameWeights(a, b upstream.Assignment) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Layers == b.Layers &&
		normalRole(a.Role) == normalRole(b.Role)
}

// normalRole maps the empty role to RoleIdle.
func normalRole(r upstream.Role) upstream.Role {
	if r == "" {
		return upstream.RoleIdle
	}
	return r
}

// sorted returns the names in ascending order and leaves its argument unchanged.
func sorted(names []string) []string {
	if slices.IsSorted(names) {
		return names
	}
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

// loadBytes returns how many bytes an engine reads from the weight store when
// it switches from one assignment to another. A changed range counts in full,
// since an engine is not required to keep the layers that both ranges share.
func loadBytes(m Model, from, to upstream.Assignment) float64 {
	if normalRole(to.Role) == upstream.RoleIdle {
		return 0
	}
	total := 0.0
	if !sameWeights(from, to) {
		total = float64(to.Layers.Len()) * m.BytesPerLayer
	}
	for _, a := range m.Adapters {
		if !slices.Contains(to.Adapters, a.Name) {
			continue
		}
		if sameWeights(from, to) && slices.Contains(from.Adapters, a.Name) {
			continue
		}
		total += adapterBytes(m, a, to.Layers)
	}
	return total
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
