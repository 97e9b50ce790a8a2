package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

// placeLayers plans the layers of the engines of each service and orders engines whose layers
// differ from the plan to load others.
func (l *leader) placeLayers(ctx context.Context) {
	v := l.g.view.Load()
	now := time.Now()
	for id, service := range v.catalog.Services {
		if service.Engine != nil {
			l.placeServiceLayers(ctx, now, v, id, service)
		}
	}
	l.pruneFirstSeen(v.upstreams)
}

// pruneFirstSeen removes instances that are no longer listed from firstSeen, once it has more
// than twice as many entries as the list.
func (l *leader) pruneFirstSeen(upstreams []roster.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.firstSeen) <= 2*len(upstreams) {
		return
	}
	listed := make(map[notice.Instance]bool, len(upstreams))
	for _, u := range upstreams {
		listed[notice.InstanceOf(u.ID, u.Born)] = true
	}
	maps.DeleteFunc(l.firstSeen, func(i notice.Instance, _ time.Time) bool { return !listed[i] })
}

// placeServiceLayers orders the engines of a service to hold the layers that the plan gives
// them. Once requests have arrived, it limits the number of engines that load at once to
// FullSpeedLoads.
func (l *leader) placeServiceLayers(ctx context.Context, now time.Time, v *view, id catalog.ServiceID, service *catalog.Service) {
	engines := make([]layout.Engine, 0, len(v.upstreams))
	byID := make(map[fleet.UpstreamID]roster.Upstream, len(v.upstreams))
	l.mu.Lock()
	for _, u := range v.upstreams {
		if u.Service != id || u.Draining || l.isLost(now, v, u.ID) {
			continue
		}
		byID[u.ID] = u
		engine := layout.Engine{ID: u.ID, DataCentre: u.DataCentre, Card: service.Engine.Cards[u.Card], HeldLayers: u.Layers, Unavailable: v.ejected[u.ID]}
		engine.HeldLayers = l.expectedLayers(now, u)
		engine.Settling = l.isSettling(now, u)
		engines = append(engines, engine)
	}
	l.mu.Unlock()
	plan, ok := l.plan(now, service.Engine, engines)
	if !ok {
		return
	}
	loading := 0
	var wanted []fleet.UpstreamID
	l.mu.Lock()
	for _, u := range byID {
		pending := l.orders[u.ID]
		if pending != nil && now.Before(pending.loadDeadline) && u.Layers != pending.target {
			loading++
			continue
		}
		// An engine that is not paused or stopping is ordered to load its target, unless an order
		// for the same target was given less than orderRetryAfter ago.
		if target := plan[u.ID]; target.Len() > 0 && target != u.Layers && !l.isPausedOrEnding(u) && (pending == nil || pending.target != target || now.Sub(pending.orderedAt) > orderRetryAfter) {
			wanted = append(wanted, u.ID)
		}
	}
	l.mu.Unlock()
	// Before the first request, loads of layers delay no request, so that all start at once.
	limit := len(wanted)
	if l.g.hasReceivedRequest() {
		limit = max(0, max(service.Engine.FullSpeedLoads, 1)-loading)
	}
	for _, id := range layout.NextLoads(service.Engine, engines, plan, wanted, limit) {
		l.orderLayers(ctx, now, service.Engine, byID[id], plan[id])
	}
}

// isPausedOrEnding reports whether an engine asked for a pause or announced that it will stop.
func (l *leader) isPausedOrEnding(u roster.Upstream) bool {
	return l.g.notices.state(time.Now(), notice.InstanceOf(u.ID, u.Born)) != notice.Open
}

// requestReports requests reports from the engines in service, at most once per reportInterval
// and not before the first request. A report says how fast the engine works, which layers it
// holds and how much memory is in use. An engine that returns no report is probed.
func (l *leader) requestReports(ctx context.Context) {
	if now := time.Now(); now.Sub(l.reportsRequestedAt) < reportInterval || !l.g.hasReceivedRequest() {
		return
	} else {
		l.reportsRequestedAt = now
	}
	v := l.g.view.Load()
	for _, u := range v.upstreams {
		if v.gates[u.Service] == nil || v.ejected[u.ID] {
			continue
		}
		l.g.spawn("order", func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			if l.isPausedOrEnding(u) {
				return
			}
			report, err := l.g.servers.RegularReport(ctx, u.Address)
			l.g.recordNotice(u.ID, u.Born, report.Notice)
			if err != nil {
				l.g.control.requestProbe(u.ID)
				return
			}
			l.g.control.post(func(now time.Time) { l.g.control.recordReport(now, u.ID, report) })
		})
	}
}

// newEngineSettleTime is how long an engine that appears after the first request is given
// missing layers only. In a release, the engine that it replaces starts to drain about a second
// later, and the list is read every second. Only then is it known which layers the new engine
// should take over.
const newEngineSettleTime = 2500 * time.Millisecond

// isSettling reports whether an engine appeared less than newEngineSettleTime ago, and requests
// have arrived. It records when the engine was first seen. The caller must hold l.mu.
func (l *leader) isSettling(now time.Time, u roster.Upstream) bool {
	instance := notice.InstanceOf(u.ID, u.Born)
	since, known := l.firstSeen[instance]
	if !known {
		since = now
		l.firstSeen[instance] = now
	}
	return l.g.hasReceivedRequest() && now.Sub(since) < newEngineSettleTime
}

// isLost reports whether an engine has been ejected for longer than lostEngineAfter, so that
// its layers are placed elsewhere. It records when the ejection was first seen. The caller must
// hold l.mu.
func (l *leader) isLost(now time.Time, v *view, id fleet.UpstreamID) bool {
	if !v.ejected[id] {
		delete(l.ejectedSince, id)
		return false
	}
	since, ok := l.ejectedSince[id]
	if !ok {
		l.ejectedSince[id] = now
		return false
	}
	return now.Sub(since) > lostEngineAfter
}

// expectedLayers returns the layers that an engine holds, or will hold after its pending
// order. It forgets an order that is complete, expired or for an earlier incarnation of the
// engine. The caller must hold l.mu.
func (l *leader) expectedLayers(now time.Time, u roster.Upstream) fleet.LayerRange {
	pending := l.orders[u.ID]
	if pending == nil {
		return u.Layers
	}
	if !pending.engineStartedAt.Equal(u.Born) || pending.target == u.Layers || now.Sub(pending.orderedAt) > orderRetryAfter && now.After(pending.loadDeadline.Add(orderRetryAfter)) {
		delete(l.orders, u.ID)
		return u.Layers
	}
	return pending.target
}

// plan returns the layers that each engine should hold. It plans from scratch if no engine
// holds layers, and on a first start until the first request or the end of fromScratchPeriod:
// no request waits for the layers yet. Otherwise it repairs the existing placement. It returns
// false while it waits for more engines to be listed before a plan from scratch.
func (l *leader) plan(now time.Time, e *catalog.Engine, engines []layout.Engine) (layout.Plan, bool) {
	if l.planningSince.IsZero() {
		l.planningSince, l.engineCountChangedAt = now, now
	}
	if len(engines) != l.engineCount {
		l.engineCount, l.engineCountChangedAt = len(engines), now
	}
	anyHeld := false
	for _, x := range engines {
		anyHeld = anyHeld || x.HeldLayers.Len() > 0
	}
	fromScratch := !anyHeld || !l.g.hasReceivedRequest() && l.g.settings.FirstStart && time.Since(l.g.started) < fromScratchPeriod
	if fromScratch && now.Sub(l.engineCountChangedAt) < listSettleTime && now.Sub(l.planningSince) < maxFirstPlanWait {
		return nil, false
	}
	plan := layout.Repair(e, engines, l.replannable(now, e, engines))
	if fromScratch {
		plan = layout.PlanFromScratch(e, engines)
	}
	if !maps.Equal(plan, l.lastPlan) {
		l.lastPlan = plan
		line := l.g.log.Log(event.PlacementPlanned).Uint64("epoch", l.fencingToken).Bool("fresh", fromScratch).Int("engines", len(engines))
		for id, r := range plan {
			line = line.Stringer(string(id), r)
		}
		line.Send()
	}
	return plan, true
}

// replanAfter is how long a data centre must lack layers before it is replanned. It is
// longer than a crashed engine usually takes to restart.
const replanAfter = 5 * time.Second

// replannable returns a function that reports whether a data centre may be replanned: one that
// has lacked layers for longer than replanAfter or, while no data centre holds all layers, any.
// It updates incompleteSince.
func (l *leader) replannable(now time.Time, e *catalog.Engine, engines []layout.Engine) func(fleet.DataCentreID) bool {
	enginesInCompleteDC := 0
	for _, x := range engines {
		if layout.HoldsAllLayers(e, engines, x.DataCentre) {
			delete(l.incompleteSince, x.DataCentre)
			enginesInCompleteDC++
		} else if _, known := l.incompleteSince[x.DataCentre]; !known {
			l.incompleteSince[x.DataCentre] = now
		}
	}
	return func(dc fleet.DataCentreID) bool {
		since, incomplete := l.incompleteSince[dc]
		return incomplete && (enginesInCompleteDC == 0 || now.Sub(since) > replanAfter)
	}
}

// fromScratchPeriod is how long after the start of the gateway a plan from scratch may replace
// layers that engines hold, if it is a first start and no request has arrived.
const fromScratchPeriod = 9 * time.Second

// orderLayers records a pending order and starts a goroutine, so that an unresponsive engine
// delays no other. The goroutine requests a report and, unless the engine is busy, paused,
// stopping or holds the layers already, orders it to hold target. The engine waits for the requests
// on the layers that it gives up: any VM may have sent some just now.
func (l *leader) orderLayers(ctx context.Context, now time.Time, e *catalog.Engine, u roster.Upstream, target fleet.LayerRange) {
	loadDuration := time.Duration(float64(e.LoadTime) * float64(target.Len()) / float64(max(e.Layers, 1)))
	pending := &placementOrder{engineStartedAt: u.Born, target: target, orderedAt: now, loadDeadline: now.Add(loadDuration + orderTimeout)}
	l.mu.Lock()
	l.orders[u.ID] = pending
	l.mu.Unlock()
	fencingToken := l.fencingToken
	l.g.spawn("order", func() {
		ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
		defer cancel()
		report, err := l.g.servers.Report(ctx, u.Address)
		l.g.recordNotice(u.ID, u.Born, report.Notice)
		if err != nil {
			l.recordMissingReport(u, fencingToken, "report", err)
			return
		}
		l.g.control.post(func(now time.Time) { l.g.control.recordReport(now, u.ID, report) })
		if report.Busy || report.Layers == target || l.isPausedOrEnding(u) {
			return // the pending order stays and is repeated or forgotten as if it had been sent
		}
		order := platform.Order{Layers: target, FencingToken: fencingToken, ExpectedOrders: report.AcceptedOrders}
		result, err := l.place(ctx, u, order)
		if result == platform.OrderConflict {
			if again, ok := l.reportAfterConflict(ctx, u, report); ok {
				order.ExpectedOrders, report = again.AcceptedOrders, again
				result, err = l.place(ctx, u, order)
			}
		}
		l.g.stats.Count("orders", "result", result.String())
		l.g.log.Log(event.PlacementOrdered).Str("upstream", string(u.ID)).Stringer("layers", target).Stringer("held", report.Layers).
			Uint64("epoch", fencingToken).Int("expected", report.AcceptedOrders).Str("result", result.String()).AnErr("cause", err).Send()
		if result == platform.OrderBegun || result == platform.OrderUnknown {
			l.checkLoad(u, loadDuration)
		}
		if result == platform.OrderFenced {
			l.recordRefusedToken(fencingToken)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		switch result {
		case platform.OrderBegun:
			l.orderBegun = true
		case platform.OrderConflict, platform.OrderRefused:
			pending.loadDeadline = time.Now()
		}
	})
}

// place sends an order to an engine.
func (l *leader) place(ctx context.Context, u roster.Upstream, order platform.Order) (platform.OrderResult, error) {
	result, answerNotice, err := l.g.servers.Place(ctx, u.Address, u.ID, order)
	l.g.recordNotice(u.ID, u.Born, answerNotice)
	return result, err
}

// reportAfterConflict reads the report of an engine again whose state did not fit an order. It
// returns false unless the engine has accepted orders since that changed no layers: those that
// change the path of a running stream count as well. Another leader's order for layers makes the
// engine busy, or has changed its layers.
func (l *leader) reportAfterConflict(ctx context.Context, u roster.Upstream, before platform.Report) (platform.Report, bool) {
	report, err := l.g.servers.Report(ctx, u.Address)
	l.g.recordNotice(u.ID, u.Born, report.Notice)
	return report, err == nil && !report.Busy && report.Layers == before.Layers && report.AcceptedOrders != before.AcceptedOrders && report.Born.Equal(before.Born)
}

// loadCheckDelay is added to the expected duration of a load of layers before the engine is
// asked for its layers.
const loadCheckDelay = 150 * time.Millisecond

// checkLoad asks an engine for its layers when it should have loaded them. The entry of the
// engine in the store shows them later, or not at all while the store is unavailable. Before
// the first request checkLoad does nothing.
func (l *leader) checkLoad(u roster.Upstream, loadDuration time.Duration) {
	if !l.g.hasReceivedRequest() {
		return
	}
	l.g.spawn("order", func() {
		if !sleep(l.g.runCtx, loadDuration+loadCheckDelay) {
			return
		}
		ctx, cancel := context.WithTimeout(l.g.runCtx, orderTimeout)
		defer cancel()
		if l.isPausedOrEnding(u) {
			return
		}
		report, err := l.g.servers.Report(ctx, u.Address)
		l.g.recordNotice(u.ID, u.Born, report.Notice)
		if err != nil {
			l.g.control.requestProbe(u.ID)
			return
		}
		l.g.control.post(func(now time.Time) { l.g.control.recordReport(now, u.ID, report) })
	})
}

// errNoReport is why an order was not sent: the engine returned no report.
var errNoReport = errors.New("engine did not return a report")

// recordMissingReport logs that an order was not sent, forgets it and requests a probe of the
// engine.
func (l *leader) recordMissingReport(u roster.Upstream, fencingToken uint64, reason string, err error) {
	l.g.stats.Count("orders", "result", "no_report")
	l.g.log.Log(event.PlacementOrderFailed).Str("upstream", string(u.ID)).Uint64("epoch", fencingToken).
		Str("reason", reason).Err(errors.Join(errNoReport, err)).Send()
	l.g.control.requestProbe(u.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.orders, u.ID)
}
