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
	choices := o.choices(now)
	started := false
	for _, c := range choices {
		if o.storeFreeAt.Sub(now) > o.config.StoreLead {
			return
		}
		v := o.engines[c.id]
		if o.mayTake(c.id, v, o.config.KeepShare) {
			o.load(now, c.id, v)
			started = true
		}
	}
	if started || len(choices) == 0 || o.loads(now) > 0 {
		return
	}
	o.unblock(now, choices)
}

// unblock handles the case that every change would take down too much and
// nothing is under way: first it gives up KeepShare; then, when no chain of
// the model serves anyway, it takes the first engine.
func (o *Owner) unblock(now time.Time, choices []loadChoice) {
	for _, c := range choices {
		if v := o.engines[c.id]; o.mayTake(c.id, v, 0) {
			o.load(now, c.id, v)
			return
		}
	}
	for _, c := range choices {
		v := o.engines[c.id]
		if m := v.intended.Model; !o.complete(m, v.intended.Version, "") {
			o.load(now, c.id, v)
			return
		}
	}
	if !o.blocked {
		o.blocked = true
		o.note(event.PlacementBlocked, choices[0].id, "the change would take down the last chain")
	}
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

// choices returns the engines whose change may be ordered, the most needed first.
func (o *Owner) choices(now time.Time) []loadChoice {
	var out []loadChoice
	var holders map[fleet.ModelID][]int
	for n, id := range o.order {
		v := o.engines[id]
		if equal(v.wanted, v.intended) || !o.mayOrder(now, v) || !v.usable(now) {
			continue
		}
		if holders == nil {
			holders = o.holders()
		}
		out = append(out, loadChoice{id, need(v.wanted, holders[v.wanted.Model]), n})
	}
	slices.SortFunc(out, byNeed)
	return out
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

// mayTake reports whether an engine may leave what it serves: its model and
// version keep a complete chain without it, or the wanted version has one, and
// a share of the throughput stays. An engine that is the last to hold a layer
// is never taken.
func (o *Owner) mayTake(id fleet.UpstreamID, v *engineView, keep float64) bool {
	m, ok := o.models[v.intended.Model]
	if !ok || v.intended.Role != upstream.RoleServe || sameWeights(v.intended, v.wanted) {
		return true
	}
	if !v.serves(o.config.ReportLag) {
		return v.notServing(o.config.ReportLag)
	}
	rest := o.serving(m, v.intended.Version, id)
	newer := 0.0
	if v.intended.Version != m.Version {
		newer = o.serving(m, m.Version, "")
	}
	if rest <= 0 && newer <= 0 {
		return false
	}
	if rest+newer >= keep*o.plan.Throughput[m.ID] {
		return true
	}
	return rest >= o.serving(m, v.intended.Version, "")*(1-1e-9)
}

// complete reports whether the serving engines other than without form a chain.
func (o *Owner) complete(model fleet.ModelID, version string, without fleet.UpstreamID) bool {
	m, ok := o.models[model]
	if !ok {
		return false
	}
	return o.serving(m, version, without) > 0
}

// serving returns the throughput of the engines that serve a version.
func (o *Owner) serving(m Model, version string, without fleet.UpstreamID) float64 {
	in := Input{Engines: make([]Engine, 0, len(o.order)), Links: o.input.Links}
	var held []upstream.Assignment
	for _, id := range o.order {
		v := o.engines[id]
		if id == without || v.intended.Model != m.ID || v.intended.Version != version || !v.serves(o.config.ReportLag) {
			continue
		}
		in.Engines = append(in.Engines, v.engine)
		held = append(held, v.intended)
	}
	return heldThroughput(in, m, held)
}

// heldThroughput returns the throughput of engines with the assignments that they hold.
func heldThroughput(in Input, m Model, held []upstream.Assignment) float64 {
	top := newTopology(in)
	var stages []stage
	for i, a := range held {
		if a.Layers.Len() > 0 && a.Layers.First >= 0 && a.Layers.End <= m.Layers {
			stages = append(stages, newStage(in, top, m, i, a.Layers))
		}
	}
	total, _ := newChainGraph(stages, m.Layers, len(top.names), top.tokens(m)).throughput()
	return total
}
