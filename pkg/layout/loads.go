package layout

import (
	"cmp"
	"slices"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// NextLoads returns up to n of the wanted engines, in the order in which they should load the
// layers that the plan gives them while few loads run at once. Engines whose layers are missing
// in their data centre come before those that hold second copies, and the data centre that lacks
// the fewest layers comes first, because requests need a chain of all layers; then longer loads
// come before shorter ones. engines are all engines, with the layers that they will hold after
// the loads in progress.
func NextLoads(e *catalog.Engine, engines []Engine, plan Plan, wanted []fleet.UpstreamID, n int) []fleet.UpstreamID {
	engines = withinModel(e, engines)
	covered := make(map[fleet.DataCentreID][]bool) // layers held or being loaded, without the wanted engines
	cover := func(dc fleet.DataCentreID, r fleet.LayerRange) {
		if covered[dc] == nil {
			covered[dc] = make([]bool, e.Layers)
		}
		for l := r.First; l < min(r.End, e.Layers); l++ {
			covered[dc][l] = true
		}
	}
	waiting := make(map[fleet.UpstreamID]Engine, len(wanted))
	for _, x := range engines {
		if slices.Contains(wanted, x.ID) {
			waiting[x.ID] = x
			cover(x.DataCentre, fleet.LayerRange{})
			continue
		}
		cover(x.DataCentre, x.HeldLayers)
	}
	var order []fleet.UpstreamID
	for len(order) < n && len(waiting) > 0 {
		lacking := make(map[fleet.DataCentreID]int, len(covered))
		for dc, layers := range covered {
			lacking[dc] = e.Layers - countTrue(layers)
		}
		var next loadPriority
		for id, x := range waiting {
			p := loadPriority{id: id, fillsGap: gain(covered[x.DataCentre], x, plan[id]) > 0, lacking: lacking[x.DataCentre], length: plan[id].Len()}
			if next.id == "" || p.precedes(next) {
				next = p
			}
		}
		cover(waiting[next.id].DataCentre, plan[next.id])
		delete(waiting, next.id)
		order = append(order, next.id)
	}
	return order
}

// loadPriority is what decides when an engine loads its layers.
type loadPriority struct {
	id fleet.UpstreamID
	// fillsGap is set if the load restores layers that the data centre lacks.
	fillsGap bool
	// lacking is the number of layers that the data centre lacks.
	lacking int
	// length is the number of layers that the engine will hold.
	length int
}

func (p loadPriority) precedes(o loadPriority) bool {
	if p.fillsGap != o.fillsGap {
		return p.fillsGap
	}
	if c := cmp.Compare(p.lacking, o.lacking); p.fillsGap && c != 0 {
		return c < 0
	}
	return cmp.Or(cmp.Compare(o.length, p.length), cmp.Compare(p.id, o.id)) < 0
}

// gain returns the number of layers of a target that its data centre lacks and that the engine
// does not hold itself.
func gain(covered []bool, x Engine, target fleet.LayerRange) int {
	n := 0
	for l := target.First; l < min(target.End, len(covered)); l++ {
		if !covered[l] && (l < x.HeldLayers.First || l >= x.HeldLayers.End) {
			n++
		}
	}
	return n
}

func countTrue(list []bool) int {
	n := 0
	for _, v := range list {
		if v {
			n++
		}
	}
	return n
}
