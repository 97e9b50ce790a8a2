package placement

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// maxOverdue is the number of loads past their expected end at which no
// further load starts: the weight store is slower than it says.
const maxOverdue = 3

// maxTried limits the engines for which one tick computes the throughput
// without them, and retryTake is when one is tried again: at 2,000 engines
// each computation takes about a millisecond.
const (
	maxTried  = 24
	retryTake = time.Second
)

// loadChoice is an engine whose wanted assignment could be ordered.
type loadChoice struct {
	id       fleet.UpstreamID
	need     float64
	position int
}

// startLoads orders wanted assignments while the weight store has room, those
// for the layers with the fewest holders first.
func (o *Owner) startLoads(now time.Time) {
	if !o.planned || o.overdue(now) >= maxOverdue {
		return
	}
	choices, waiting := o.choices(now)
	started := false
	tried := 0
	for _, c := range choices {
		if o.storeFreeAt.Sub(now) > o.config.StoreLead || tried == maxTried {
			return
		}
		v := o.engines[c.id]
		if now.Before(v.triedAt.Add(retryTake)) {
			continue
		}
		tried++
		v.triedAt = now
		if o.mayTake(c.id, v, o.config.KeepShare) {
			o.load(now, c.id, v)
			started = true
		}
	}
	if started || waiting || o.loads(now) > 0 || o.dirty || o.planInFlight {
		return
	}
	if len(choices) == 0 {
		o.endDetour()
		return
	}
	o.unblock(now, choices)
}

// unblock handles the case that every change would take down too much and
// nothing is under way: first it gives up KeepShare; then, when no chain of
// the model serves anyway, it takes the first engine; at last it asks for a
// plan that leaves the blocking engines as they are, so that the others
// complete a chain that relieves them.
func (o *Owner) unblock(now time.Time, choices []loadChoice) {
	best, most := fleet.UpstreamID(""), -1.0
	for _, c := range choices {
		v := o.engines[c.id]
		if !o.mayTake(c.id, v, 0) {
			continue
		}
		if rest, _ := o.serving(o.models[v.intended.Model], c.id, false); rest > most {
			best, most = c.id, rest
		}
	}
	if most >= 0 {
		o.load(now, best, o.engines[best])
		return
	}
	for _, c := range choices {
		v := o.engines[c.id]
		m, ok := o.models[v.intended.Model]
		if total, _ := o.serving(m, "", false); !ok || total <= 0 {
			o.load(now, c.id, v)
			return
		}
	}
	if o.blocked {
		return
	}
	o.blocked = true
	o.note(event.PlacementBlocked, choices[0].id, "the change would take down the last chain")
	if o.detours < maxDetours {
		o.detours++
		o.detour = map[fleet.UpstreamID]bool{}
		for _, c := range choices {
			o.detour[c.id] = true
		}
		o.dirty = true
	}
}

// maxDetours limits plans around blocking engines until a plan is complete.
const maxDetours = 3

// endDetour asks for the plan proper once the chain beside the blocking engines serves.
func (o *Owner) endDetour() {
	if len(o.detour) == 0 {
		o.detours = 0
		return
	}
	o.detour = nil
	o.dirty = true
}

// load sends the wanted assignment and books its bytes at the weight store.
func (o *Owner) load(now time.Time, id fleet.UpstreamID, v *engineView) {
	bytes := loadBytes(o.models[v.wanted.Model], v.intended, v.wanted)
	o.counters.LoadedBytes += bytes
	if o.storeFreeAt.Before(now) {
		o.storeFreeAt = now
	}
	if o.storeRate > 0 {
		o.storeFreeAt = o.storeFreeAt.Add(seconds(bytes / o.storeRate))
	}
	v.loadEnds = o.storeFreeAt
	if rate := v.engine.LoadRate; rate > 0 {
		v.loadEnds = later(v.loadEnds, now.Add(seconds(bytes/rate)))
	}
	o.send(now, id, v, v.wanted)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// choices returns the engines whose change may be ordered, the most needed
// first, and whether others still wait until they may be.
func (o *Owner) choices(now time.Time) (out []loadChoice, waiting bool) {
	var holders map[fleet.ModelID][]int
	for n, id := range o.order {
		v := o.engines[id]
		if equal(v.wanted, v.intended) || !v.usable(now) {
			continue
		}
		if !o.mayOrder(now, v) {
			waiting = true
			continue
		}
		if holders == nil {
			holders = o.holders()
		}
		out = append(out, loadChoice{id, need(v.wanted, holders[v.wanted.Model]), n})
	}
	slices.SortFunc(out, byNeed)
	return out, waiting
}

// holders counts for each layer the engines that hold or load the wanted version.
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

// need is the mean over the layers of a range of 1 / (holders + 1), squared so
// that layers without any holder dominate.
func need(a upstream.Assignment, holders []int) float64 {
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

// stuckAfter is how long after its expected end a load no longer holds up others.
const stuckAfter = time.Minute

// loads counts the loads under way.
func (o *Owner) loads(now time.Time) int {
	n := 0
	for _, v := range o.engines {
		if v.inFlight || (v.loading(o.config.ReportLag) && now.Sub(v.loadEnds) < stuckAfter) {
			n++
		}
	}
	return n
}

// overdue counts the loads that should have ended.
func (o *Owner) overdue(now time.Time) int {
	n := 0
	for _, v := range o.engines {
		late := now.Sub(v.loadEnds)
		if v.loading(o.config.ReportLag) && late > o.config.ReadBack+o.config.ReportLag && late < stuckAfter {
			n++
		}
	}
	return n
}

// mayTake reports whether an engine may leave what it serves: the wanted
// version keeps its complete chain without it, or where it has none yet, some
// version keeps one; and a share of the throughput stays. So an engine that is
// the last to hold a layer is never taken. Chains of other versions are not
// protected once the wanted one is complete, otherwise versions with one chain
// each would block each other.
func (o *Owner) mayTake(id fleet.UpstreamID, v *engineView, keep float64) bool {
	m, ok := o.models[v.intended.Model]
	if !ok || v.intended.Role != upstream.RoleServe || sameWeights(v.intended, v.wanted) {
		return true
	}
	if !v.serves(o.config.ReportLag) && !v.almostServes() {
		return v.notServing(o.config.ReportLag)
	}
	total, wanted := o.serving(m, "", true)
	rest, restWanted := o.serving(m, id, false)
	if total <= 0 {
		return true
	}
	if rest <= 0 || (wanted > 0 && restWanted <= 0) {
		return false
	}
	return rest >= keep*o.base[m.ID] || rest >= total*(1-1e-9)
}

// serving returns the throughput of the engines other than without that
// certainly serve a model: summed over its versions, and of the wanted one.
// With soon set, engines that may serve by now count too.
func (o *Owner) serving(m Model, without fleet.UpstreamID, soon bool) (total, wanted float64) {
	type version struct {
		in   Input
		held []upstream.Assignment
	}
	versions := map[string]*version{}
	for _, id := range o.order {
		v := o.engines[id]
		if id == without || v.intended.Model != m.ID || !(v.serves(o.config.ReportLag) || soon && v.almostServes()) {
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

// heldThroughput returns the throughput of engines with the assignments that they hold.
func heldThroughput(in Input, m Model, held []upstream.Assignment) float64 {
	top := newTopology(in)
	var stages []stage
	for i, a := range held {
		if within(a.Layers, m.Layers) {
			stages = append(stages, newStage(in, top, m, i, a.Layers))
		}
	}
	total, _ := newChainGraph(stages, m.Layers, len(top.names), top.tokens(m)).throughput()
	return total
}
