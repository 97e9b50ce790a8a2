package placement

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// maxOverdueLoads is the number of loads past their expected end at which no
// further load starts, since the weight store is slower than the rate it
// reports.
const maxOverdueLoads = 3

const (
	// maxChecksPerTick limits the calls of mayReassign in one tick. With 2,000
	// engines each call takes about a millisecond to compute the throughput
	// without the engine.
	maxChecksPerTick = 24
	// recheckInterval is the minimum time between two such calls for the same
	// engine.
	recheckInterval = time.Second
)

// loadCandidate is an engine that may be ordered to load its wanted assignment.
type loadCandidate struct {
	id       fleet.UpstreamID
	priority float64
	position int // index in engineIDs, which breaks ties
}

// startLoads orders wanted assignments until the backlog of the weight store
// exceeds MaxStoreBacklog. Ranges whose layers have the fewest holders go first.
func (o *Owner) startLoads(now time.Time) {
	if !o.planned || o.overdueLoads(now) >= maxOverdueLoads {
		return
	}
	candidates, waiting := o.loadCandidates(now)
	started := false
	checked := 0
	for _, c := range candidates {
		if o.storeFreeAt.Sub(now) > o.config.MaxStoreBacklog || checked == maxChecksPerTick {
			return
		}
		v := o.engines[c.id]
		if now.Before(v.reassignCheckedAt.Add(recheckInterval)) {
			continue
		}
		checked++
		v.reassignCheckedAt = now
		if o.mayReassign(c.id, v, o.config.MinServedShare) {
			o.startLoad(now, c.id, v)
			started = true
		}
	}
	if started || waiting || o.activeLoads(now) > 0 || o.dirty || o.planInFlight {
		return
	}
	if len(candidates) == 0 {
		o.unpinEngines()
		return
	}
	o.unblock(now, candidates)
}

// unblock handles the case that no load is active and every change would reduce
// the throughput below MinServedShare. It tries three steps in turn. First it
// ignores MinServedShare and reassigns the engine whose removal leaves the most
// throughput. Otherwise it reassigns the first engine of a model that has no
// complete chain anyway. Otherwise it requests a plan in which the blocking
// engines are pinned to what they hold, so that the other engines form a chain
// that replaces theirs.
func (o *Owner) unblock(now time.Time, candidates []loadCandidate) {
	best, bestThroughput := fleet.UpstreamID(""), -1.0
	for _, c := range candidates {
		v := o.engines[c.id]
		if !o.mayReassign(c.id, v, 0) {
			continue
		}
		if rateWithout, _ := o.servedThroughput(o.models[v.intended.Model], c.id, false); rateWithout > bestThroughput {
			best, bestThroughput = c.id, rateWithout
		}
	}
	if bestThroughput >= 0 {
		o.startLoad(now, best, o.engines[best])
		return
	}
	for _, c := range candidates {
		v := o.engines[c.id]
		m, ok := o.models[v.intended.Model]
		if total, _ := o.servedThroughput(m, "", false); !ok || total <= 0 {
			o.startLoad(now, c.id, v)
			return
		}
	}
	if o.blocked {
		return
	}
	o.blocked = true
	o.logEvent(event.PlacementBlocked, candidates[0].id, "the change would take down the last chain")
	if o.pinnedPlans < maxPinnedPlans {
		o.pinnedPlans++
		o.pinned = map[fleet.UpstreamID]bool{}
		for _, c := range candidates {
			o.pinned[c.id] = true
		}
		o.dirty = true
	}
}

// maxPinnedPlans limits how many plans with pinned engines are requested until
// the plan without pinned engines has been carried out.
const maxPinnedPlans = 3

// unpinEngines requests a plan for all engines once the plan with pinned engines
// has been carried out.
func (o *Owner) unpinEngines() {
	if len(o.pinned) == 0 {
		o.pinnedPlans = 0
		return
	}
	o.pinned = nil
	o.dirty = true
}

// startLoad orders the wanted assignment and adds its bytes to the backlog of
// the weight store.
func (o *Owner) startLoad(now time.Time, id fleet.UpstreamID, v *engineView) {
	bytes := loadBytes(o.models[v.wanted.Model], v.intended, v.wanted)
	o.counters.LoadedBytes += bytes
	if o.storeFreeAt.Before(now) {
		o.storeFreeAt = now
	}
	if o.storeRate > 0 {
		o.storeFreeAt = o.storeFreeAt.Add(seconds(bytes / o.storeRate))
	}
	v.loadEndsAt = o.storeFreeAt
	if rate := v.engine.LoadRate; rate > 0 {
		v.loadEndsAt = maxTime(v.loadEndsAt, now.Add(seconds(bytes/rate)))
	}
	o.issueOrder(now, id, v, v.wanted)
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// loadCandidates returns the engines that may be ordered to change, by falling
// priority. It also reports whether other engines have to change but may not be
// ordered yet.
func (o *Owner) loadCandidates(now time.Time) (out []loadCandidate, waiting bool) {
	var holders map[fleet.ModelID][]int
	for n, id := range o.engineIDs {
		v := o.engines[id]
		if sameAssignment(v.wanted, v.intended) || !v.usable(now) {
			continue
		}
		if !o.mayOrder(now, v) {
			waiting = true
			continue
		}
		if holders == nil {
			holders = o.holders()
		}
		out = append(out, loadCandidate{id, loadPriority(v.wanted, holders[v.wanted.Model]), n})
	}
	slices.SortFunc(out, byPriority)
	return out, waiting
}

// holders returns, for each layer of each model, the number of healthy engines
// that hold or load the wanted version.
func (o *Owner) holders() map[fleet.ModelID][]int {
	out := map[fleet.ModelID][]int{}
	for _, m := range o.input.Models {
		out[m.ID] = make([]int, m.Layers)
	}
	for _, v := range o.engines {
		count := out[v.intended.Model]
		if !v.healthy() || v.intended.Role != upstream.RoleServe || v.intended.Version != o.models[v.intended.Model].Version {
			continue
		}
		for l := v.intended.Layers.First; l < min(v.intended.Layers.End, len(count)); l++ {
			count[l]++
		}
	}
	return out
}

// loadPriority returns the mean of 1 / (holders + 1)^2 over the layers of a
// range. The square makes layers without any holder dominate.
func loadPriority(a upstream.Assignment, holders []int) float64 {
	if a.Role != upstream.RoleServe || a.Layers.Len() == 0 {
		return 0
	}
	sum := 0.0
	for l := a.Layers.First; l < min(a.Layers.End, len(holders)); l++ {
		n := float64(holders[l] + 1)
		sum += 1 / (n * n)
	}
	return sum / float64(a.Layers.Len())
}

// stuckLoadTimeout is how long after its expected end a load stops delaying
// other loads.
const stuckLoadTimeout = time.Minute

// activeLoads returns the number of orders in flight and of loads that have not
// ended and are not stuck.
func (o *Owner) activeLoads(now time.Time) int {
	n := 0
	for _, v := range o.engines {
		if v.inFlight || (v.loading(o.config.ReportLag) && now.Sub(v.loadEndsAt) < stuckLoadTimeout) {
			n++
		}
	}
	return n
}

// overdueLoads returns the number of loads that should have ended but are not
// stuck. It allows for the interval between reads and for the report lag.
func (o *Owner) overdueLoads(now time.Time) int {
	n := 0
	for _, v := range o.engines {
		overdueBy := now.Sub(v.loadEndsAt)
		if v.loading(o.config.ReportLag) && overdueBy > o.config.ReadBack+o.config.ReportLag && overdueBy < stuckLoadTimeout {
			n++
		}
	}
	return n
}

// mayReassign reports whether an engine may stop serving its present range.
// Without the engine, the wanted version must keep a complete chain; if it has
// none yet, some version must keep one. The share minShare of the throughput at
// the start of the change must also remain, unless the engine contributes
// nothing. An engine that is the last holder of a layer is therefore never
// reassigned. Neither is one for which it is unknown whether it serves.
//
// Once the wanted version has a complete chain, chains of other versions are not
// protected. Otherwise versions with one chain each would block each other.
func (o *Owner) mayReassign(id fleet.UpstreamID, v *engineView, minShare float64) bool {
	m, ok := o.models[v.intended.Model]
	if !ok || v.intended.Role != upstream.RoleServe || sameWeights(v.intended, v.wanted) {
		return true
	}
	if !v.confirmedServing(o.config.ReportLag) && !v.possiblyServing() {
		return v.confirmedNotServing(o.config.ReportLag)
	}
	total, wanted := o.servedThroughput(m, "", true)
	totalWithout, wantedWithout := o.servedThroughput(m, id, false)
	if total <= 0 {
		return true
	}
	if totalWithout <= 0 || (wanted > 0 && wantedWithout <= 0) {
		return false
	}
	return totalWithout >= minShare*o.baseline[m.ID] || totalWithout >= total*(1-1e-9)
}

// servedThroughput returns the throughput of the engines that are confirmed to
// serve a model, without the excluded engine: the sum over all versions, and
// that of the wanted version. With includeLoading, engines that possibly serve
// count too.
func (o *Owner) servedThroughput(m Model, excluded fleet.UpstreamID, includeLoading bool) (total, wanted float64) {
	type version struct {
		in   Input
		held []upstream.Assignment
	}
	versions := map[string]*version{}
	for _, id := range o.engineIDs {
		v := o.engines[id]
		if id == excluded || v.intended.Model != m.ID || !(v.confirmedServing(o.config.ReportLag) || includeLoading && v.possiblyServing()) {
			continue
		}
		x := versions[v.intended.Version]
		if x == nil {
			x = &version{in: Input{Links: o.input.Links}}
			versions[v.intended.Version] = x
		}
		x.in.Engines = append(x.in.Engines, v.engine)
		x.held = append(x.held, v.intended)
	}
	for name, x := range versions {
		rate := heldThroughput(x.in, m, x.held)
		total += rate
		if name == m.Version {
			wanted = rate
		}
	}
	return total, wanted
}

// heldThroughput returns the throughput of a model on in.Engines with the
// assignments that they hold, given in the same sequence.
func heldThroughput(in Input, m Model, held []upstream.Assignment) float64 {
	top := newTopology(in)
	var stages []stage
	for i, a := range held {
		if within(a.Layers, m.Layers) {
			stages = append(stages, newStage(in, top, m, i, a.Layers))
		}
	}
	total, _ := newChainGraph(stages, m.Layers, len(top.names), top.tokensPerSecond(m)).throughput()
	return total
}
