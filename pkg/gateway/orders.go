package gateway

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

// give compares what the engines hold with the plan and gives orders.
func (l *leader) give(ctx context.Context) {
	v := l.g.view.Load()
	now := time.Now()
	for id, service := range v.catalog.Services {
		if service.Engine != nil {
			l.giveService(ctx, now, v, id, service)
		}
	}
	l.forgetSeen(v.list)
}

// forgetSeen drops engines that left the list, once they are as many as those in it.
func (l *leader) forgetSeen(list []roster.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) <= 2*len(list) {
		return
	}
	listed := make(map[notice.Instance]bool, len(list))
	for _, u := range list {
		listed[notice.InstanceOf(u.ID, u.Born)] = true
	}
	maps.DeleteFunc(l.seen, func(i notice.Instance, _ time.Time) bool { return !listed[i] })
}

func (l *leader) giveService(ctx context.Context, now time.Time, v *view, id catalog.ServiceID, service *catalog.Service) {
	engines := make([]layout.Engine, 0, len(v.list))
	// serving are the engines with what they hold now.
	serving := make([]layout.Engine, 0, len(v.list))
	byID := make(map[fleet.UpstreamID]roster.Upstream, len(v.list))
	l.mu.Lock()
	for _, u := range v.list {
		if u.Service != id || u.Draining || l.lost(now, v, u.ID) {
			continue
		}
		byID[u.ID] = u
		x := layout.Engine{ID: u.ID, DataCentre: u.DataCentre, Card: service.Engine.Cards[u.Card], Holds: u.Layers}
		serving = append(serving, x)
		x.Holds = l.expected(now, u)
		x.Settling = l.settling(now, u)
		engines = append(engines, x)
	}
	l.mu.Unlock()
	plan, ok := l.plan(now, service.Engine, engines)
	if !ok {
		return
	}
	loading := 0
	var wanted []roster.Upstream
	l.mu.Lock()
	for _, u := range byID {
		p := l.orders[u.ID]
		if p != nil && now.Before(p.loadEnds) && u.Layers != p.target {
			loading++
			continue
		}
		if target := plan[u.ID]; target.Len() > 0 && target != u.Layers && !l.wantsNothing(u) && (p == nil || p.target != target || now.Sub(p.since) > orderWait) {
			wanted = append(wanted, u)
		}
	}
	l.mu.Unlock()
	limit := len(wanted)
	if l.g.trafficSeen() {
		limit = max(0, max(service.Engine.LoadsAtOnce, 1)-loading)
	}
	slices.SortStableFunc(wanted, func(a, b roster.Upstream) int { // the longest loads first
		return cmp.Compare(plan[b.ID].Len(), plan[a.ID].Len())
	})
	for _, u := range wanted[:min(limit, len(wanted))] {
		target := plan[u.ID]
		// Waiting for the requests that pass takes as long as a generation. Where
		// layers are missing, few chains are left to wait for.
		disjoint := target.First >= u.Layers.End || target.End <= u.Layers.First
		l.order(ctx, now, service.Engine, u, target, disjoint && !layout.Whole(service.Engine, serving, u.DataCentre))
	}
}

// wantsNothing reports whether an engine asked for a pause, or ends.
func (l *leader) wantsNothing(u roster.Upstream) bool {
	return l.g.notices.state(time.Now(), notice.InstanceOf(u.ID, u.Born)) != notice.Open
}

// askAll asks every engine for its state when it is time: how fast it works, what
// it holds and how much memory is in use.
func (l *leader) askAll(ctx context.Context) {
	if now := time.Now(); now.Sub(l.askedAt) < askInterval || !l.g.trafficSeen() {
		return
	} else {
		l.askedAt = now
	}
	v := l.g.view.Load()
	for _, u := range v.list {
		if v.gates[u.Service] == nil || v.dead[u.ID] {
			continue
		}
		l.g.spawn("order", func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			if l.wantsNothing(u) {
				return
			}
			report, err := l.g.servers.RegularReport(ctx, u.Address)
			l.g.noticed(u.ID, u.Born, report.Notice)
			if err != nil {
				l.g.control.suspect(u.ID)
				return
			}
			l.g.control.post(func(now time.Time) { l.g.control.reported(now, u.ID, report) })
		})
	}
}

// settleNew is how long an engine that appears under load takes missing layers only. In a
// release the one that it replaces drains about a second later, and the list is read each
// second.
const settleNew = 2500 * time.Millisecond

// settling reports whether an engine appeared a short time ago. Callers hold the lock.
func (l *leader) settling(now time.Time, u roster.Upstream) bool {
	i := notice.InstanceOf(u.ID, u.Born)
	since, known := l.seen[i]
	if !known {
		since = now
		l.seen[i] = now
	}
	return l.g.trafficSeen() && now.Sub(since) < settleNew
}

// lost reports whether an engine is dead for so long that its layers are placed
// elsewhere. Callers hold the lock.
func (l *leader) lost(now time.Time, v *view, id fleet.UpstreamID) bool {
	if !v.dead[id] {
		delete(l.deadSince, id)
		return false
	}
	since, ok := l.deadSince[id]
	if !ok {
		l.deadSince[id] = now
		return false
	}
	return now.Sub(since) > lostAfter
}

// expected returns what an engine holds or will hold after its order. Callers
// hold the lock.
func (l *leader) expected(now time.Time, u roster.Upstream) fleet.LayerRange {
	p := l.orders[u.ID]
	if p == nil {
		return u.Layers
	}
	if !p.born.Equal(u.Born) || p.target == u.Layers || now.Sub(p.since) > orderWait && now.After(p.loadEnds.Add(orderWait)) {
		delete(l.orders, u.ID)
		return u.Layers
	}
	return p.target
}

// plan returns the plan for the engines. Before there is traffic, loads are cheap
// and the plan is made anew for each new engine; afterwards it is repaired.
func (l *leader) plan(now time.Time, e *catalog.Engine, engines []layout.Engine) (layout.Plan, bool) {
	if l.listedAt.IsZero() {
		l.listedAt, l.changedAt = now, now
	}
	if len(engines) != l.count {
		l.count, l.changedAt = len(engines), now
	}
	held := false
	for _, x := range engines {
		held = held || x.Holds.Len() > 0
	}
	fresh := !held || !l.g.trafficSeen() && l.g.settings.FirstStart && time.Since(l.g.started) < freshTime
	if fresh && now.Sub(l.changedAt) < settleTime && now.Sub(l.listedAt) < firstPlanBy {
		return nil, false
	}
	plan := layout.Repair(e, engines, l.mayRevise(now, e, engines))
	if fresh {
		plan = layout.Fresh(e, engines)
	}
	if !maps.Equal(plan, l.lastPlan) {
		l.lastPlan = plan
		line := l.g.log.Log(event.PlacementPlanned).Uint64("epoch", l.fence).Bool("fresh", fresh).Int("engines", len(engines))
		for id, r := range plan {
			line = line.Stringer(string(id), r)
		}
		line.Send()
	}
	return plan, true
}

// reviseAfter is how long a data centre must lack layers before it is planned anew:
// longer than a crashed engine usually takes to come back.
const reviseAfter = 5 * time.Second

// mayRevise returns which data centres may be planned anew: those that have lacked
// layers for long, and any while no data centre has a chain of its own.
func (l *leader) mayRevise(now time.Time, e *catalog.Engine, engines []layout.Engine) func(fleet.DataCentreID) bool {
	whole := 0
	for _, x := range engines {
		if layout.Whole(e, engines, x.DataCentre) {
			delete(l.lackSince, x.DataCentre)
			whole++
		} else if _, known := l.lackSince[x.DataCentre]; !known {
			l.lackSince[x.DataCentre] = now
		}
	}
	return func(dc fleet.DataCentreID) bool {
		since, lacks := l.lackSince[dc]
		return lacks && (whole == 0 || now.Sub(since) > reviseAfter)
	}
}

// freshTime bounds the time after the start in which loads count as cheap.
const freshTime = 9 * time.Second

// order asks an engine for its state and orders it to hold a range, in a
// goroutine of its own, so that a silent engine delays no other.
func (l *leader) order(ctx context.Context, now time.Time, e *catalog.Engine, u roster.Upstream, target fleet.LayerRange, cut bool) {
	load := time.Duration(float64(e.Load) * float64(target.Len()) / float64(max(e.Layers, 1)))
	p := &placed{born: u.Born, target: target, since: now, loadEnds: now.Add(load + orderTimeout)}
	l.mu.Lock()
	l.orders[u.ID] = p
	l.mu.Unlock()
	fence := l.fence
	l.g.spawn("order", func() {
		ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
		defer cancel()
		report, err := l.g.servers.Report(ctx, u.Address)
		l.g.noticed(u.ID, u.Born, report.Notice)
		if err != nil {
			l.orderFailed(u, fence, "report", err)
			return
		}
		l.g.control.post(func(now time.Time) { l.g.control.reported(now, u.ID, report) })
		if report.Busy || report.Layers == target || l.wantsNothing(u) {
			return
		}
		got, said, err := l.g.servers.Place(ctx, u.Address, u.ID, platform.Order{
			Layers: target, Fence: fence, Expected: report.Orders, Cut: cut,
		})
		l.g.noticed(u.ID, u.Born, said)
		l.g.stats.Count("orders", "result", got.String())
		l.g.log.Log(event.PlacementOrdered).Str("upstream", string(u.ID)).Stringer("layers", target).Stringer("held", report.Layers).
			Uint64("epoch", fence).Int("expected", report.Orders).Str("result", got.String()).AnErr("cause", err).Send()
		if got == platform.OrderBegun || got == platform.OrderUnknown {
			l.watch(u, load)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		switch got {
		case platform.OrderFenced:
			l.fenced = max(l.fenced, fence)
		case platform.OrderConflict, platform.OrderRefused:
			p.loadEnds = time.Now()
		}
	})
}

// watchMargin is added to the expected time of a load before the engine is asked.
const watchMargin = 150 * time.Millisecond

// watch asks an engine for its layers when its load should have ended: its entry
// in the store shows them later, or not at all while the store is away.
func (l *leader) watch(u roster.Upstream, load time.Duration) {
	if !l.g.trafficSeen() {
		return
	}
	l.g.spawn("order", func() {
		if !pause(l.g.running, load+watchMargin) {
			return
		}
		ctx, cancel := context.WithTimeout(l.g.running, orderTimeout)
		defer cancel()
		if l.wantsNothing(u) {
			return
		}
		report, err := l.g.servers.Report(ctx, u.Address)
		l.g.noticed(u.ID, u.Born, report.Notice)
		if err != nil {
			l.g.control.suspect(u.ID)
			return
		}
		l.g.control.post(func(now time.Time) { l.g.control.reported(now, u.ID, report) })
	})
}

// errNoReport is the cause of an order that was not given.
var errNoReport = errors.New("engine gave no report")

func (l *leader) orderFailed(u roster.Upstream, fence uint64, call string, err error) {
	l.g.stats.Count("orders", "result", "no_report")
	l.g.log.Log(event.PlacementOrderFailed).Str("upstream", string(u.ID)).Uint64("epoch", fence).
		Str("reason", call).Err(errors.Join(errNoReport, err)).Send()
	l.g.control.suspect(u.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.orders, u.ID)
}
