package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

const (
	// leadGroup is the group whose member with the first partition gives orders.
	leadGroup = "placement"
	// leadPartition is that partition.
	leadPartition = 0
	// leadTTL is how long the leader is missed before another takes over, leadRenew
	// the interval of renewals.
	leadTTL   = 3 * time.Second
	leadRenew = 1 * time.Second
	// orderTimeout bounds a call to an engine.
	orderTimeout = 600 * time.Millisecond
	// orderInterval is the interval at which the leader looks at the engines.
	orderInterval = 300 * time.Millisecond
	// settleTime is how long the list of upstreams must stay the same before the
	// first plan; firstPlanBy bounds the wait. Entries arrive over some seconds.
	settleTime  = 1200 * time.Millisecond
	firstPlanBy = 4 * time.Second
	// orderWait is the time in which an order that was answered with "begun" or not
	// at all must show before it is repeated. Orders may be carried out up to 12 s late.
	orderWait = 2500 * time.Millisecond
	// askInterval is the interval at which the leader asks all engines for their
	// state. Reports are priced; a slow engine holds up all chains through it.
	askInterval = time.Second
	// deputyAfter is how long the store must be away before a deputy leads, and
	// peerFresh the age of news that counts in its choice.
	deputyAfter = 600 * time.Millisecond
	peerFresh   = 1500 * time.Millisecond
	// lostAfter is how long an engine must be dead before its layers are placed
	// anew though its entry still stands.
	lostAfter = 800 * time.Millisecond
)

// placed is what the leader knows of its orders to one engine.
type placed struct {
	born   time.Time
	target fleet.LayerRange
	since  time.Time
	// loadEnds is when the load of a begun order should have ended.
	loadEnds time.Time
}

// leader gives orders to the engines while it holds the partition, or as deputy
// while the store is away.
type leader struct {
	g *Gateway
	// generation is that of the group, which orders the holders of the partition.
	generation uint64
	holds      bool
	// until is when the membership ends unless it is renewed, on this VM's clock.
	until time.Time
	// acting is set while this VM leads as deputy; storeBack is when the store
	// answered again meanwhile.
	acting    bool
	storeBack time.Time
	// fence is the fencing token of this VM's orders, 0 while it gives none.
	fence     uint64
	fenced    uint64 // the highest token that an engine refused
	mu        sync.Mutex
	orders    map[fleet.UpstreamID]*placed
	listedAt  time.Time
	changedAt time.Time
	count     int
	deadSince map[fleet.UpstreamID]time.Time
	// lackSince holds since when data centres lack layers.
	lackSince map[fleet.DataCentreID]time.Time
	askedAt   time.Time
	lastPlan  layout.Plan
}

// tokenShift leaves room below a group's generation for the takeovers of deputies,
// which count up from it, so that a new holder's token is above all of them.
const tokenShift = 20

// seeToken notes a fencing token that some VM uses.
func (g *Gateway) seeToken(token uint64) {
	for {
		old := g.token.Load()
		if token <= old || g.token.CompareAndSwap(old, token) {
			return
		}
	}
}

// mayDeputise reports whether this VM may lead while the store is away: nobody
// who is heard leads or reaches the store, and it is the first of those heard.
// Two deputies that do not hear each other use tokens of their own, and each order
// names the number of orders that its engine must have accepted before.
func (c *control) mayDeputise(now time.Time) bool {
	if c.storeUp || now.Sub(c.storeBad) < deputyAfter {
		return false
	}
	for id, p := range c.peers {
		if now.Sub(p.heard) > peerFresh || p.Stopping {
			continue
		}
		if p.Leading || !p.StoreAway || id < c.g.settings.Self.ID {
			return false
		}
	}
	return true
}

// anotherLeads reports whether a VM that was heard lately gives orders.
func (c *control) anotherLeads(now time.Time) bool {
	for _, p := range c.peers {
		if p.Leading && now.Sub(p.heard) <= peerFresh {
			return true
		}
	}
	return false
}

// lead takes part in the choice of the leader and gives orders while this VM is it.
func (g *Gateway) lead(ctx context.Context) {
	l := &leader{
		g: g, orders: make(map[fleet.UpstreamID]*placed), deadSince: make(map[fleet.UpstreamID]time.Time),
		lackSince: make(map[fleet.DataCentreID]time.Time),
	}
	touched := false
	var renewAt time.Time
	for pause(ctx, orderInterval) {
		if g.stopper.stopping() {
			g.leading.Store(false)
			l.resign()
			return
		}
		if v := g.view.Load(); v.catalog == nil || len(v.gates) == 0 {
			continue
		}
		if now := time.Now(); !now.Before(renewAt) {
			renewAt = now.Add(leadRenew)
			l.renew(ctx, &touched)
		}
		l.deputise()
		active := (l.holds && time.Now().Before(l.until) || l.acting) && l.fence > l.fenced
		g.leading.Store(active)
		if active {
			l.give(ctx)
			l.askAll(ctx)
		}
	}
}

// deputise begins or ends the lead without the store.
func (l *leader) deputise() {
	holding := l.holds && time.Now().Before(l.until)
	if !l.acting || !l.g.control.storeIsUp() {
		l.storeBack = time.Time{}
	} else if l.storeBack.IsZero() {
		l.storeBack = time.Now()
	}
	// The group may still count a member that ended in the outage, so that a deputy
	// goes on until another VM leads or the group has had time to find out.
	found := !l.storeBack.IsZero() && time.Since(l.storeBack) > leadTTL+leadRenew
	switch {
	case l.acting && (holding || found || l.g.otherLeads.Load()):
		l.acting = false
		l.g.log.Log(event.PlacementLeaseLost).Uint64("epoch", l.fence).Str("reason", "the group has a leader again").Send()
	case !l.acting && !holding && l.g.deputy.Load():
		l.acting = true
		l.fence = l.g.token.Load() + 1
		l.g.seeToken(l.fence)
		l.forget()
		l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fence).Str("reason", "deputy while the store is away").Send()
	}
}

// renew joins the group or stays in it.
func (l *leader) renew(ctx context.Context, touched *bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !*touched {
		if err := l.g.store.Touch(ctx, platform.LeadTopic); err != nil {
			l.g.control.storeFailed("touch", err)
			return
		}
		*touched = true
	}
	began := time.Now()
	ttl := max(leadTTL, l.g.settings.Store.MinMemberTTL)
	m, err := l.g.store.Join(ctx, leadGroup, l.g.settings.Self.ID, ttl, l.generation)
	if err != nil {
		// While the store is away nobody can take over: the leader goes on, and the
		// fencing token stops it if the store only refuses this VM.
		if l.holds {
			l.until = time.Now().Add(ttl)
		}
		l.g.control.storeFailed("join", err)
		return
	}
	held := l.holds
	l.generation, l.holds = m.Generation, false
	for _, p := range m.Partitions {
		l.holds = l.holds || p == leadPartition
	}
	l.until = began.Add(ttl)
	if l.holds {
		l.fence = l.generation << tokenShift
		l.g.seeToken(l.fence)
	}
	if l.holds != held {
		id := event.PlacementLeaseTaken
		if held {
			id = event.PlacementLeaseLost
		}
		l.g.log.Log(id).Uint64("epoch", l.fence).Str("reason", "group").Send()
		l.forget()
	}
}

// forget drops what was known of orders: another leader may have given others since.
func (l *leader) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.orders)
	l.listedAt = time.Time{}
}

// resign leaves the group at a planned stop, so that another takes over at once.
func (l *leader) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if l.generation == 0 {
		return
	}
	if err := l.g.store.Leave(ctx, leadGroup, l.g.settings.Self.ID); err != nil {
		l.g.control.storeFailed("leave", err)
	}
}

// give compares what the engines hold with the plan and gives orders.
func (l *leader) give(ctx context.Context) {
	v := l.g.view.Load()
	now := time.Now()
	for id, service := range v.catalog.Services {
		if service.Engine != nil {
			l.giveService(ctx, now, v, id, service)
		}
	}
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
		if target := plan[u.ID]; target.Len() > 0 && target != u.Layers && (p == nil || p.target != target || now.Sub(p.since) > orderWait) {
			wanted = append(wanted, u)
		}
	}
	l.mu.Unlock()
	limit := len(wanted)
	if l.g.trafficSeen() {
		limit = max(0, max(service.Engine.LoadsAtOnce, 1)-loading)
	}
	sortByLoad(wanted, plan)
	for _, u := range wanted[:min(limit, len(wanted))] {
		target := plan[u.ID]
		// Waiting for the requests that pass takes as long as a generation. Where
		// layers are missing, few chains are left to wait for.
		disjoint := target.First >= u.Layers.End || target.End <= u.Layers.First
		l.order(ctx, now, service.Engine, u, target, disjoint && !layout.Whole(service.Engine, serving, u.DataCentre))
	}
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
		l.g.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			report, err := l.g.servers.RegularReport(ctx, u.Address)
			if err != nil {
				l.g.control.suspect(u.ID)
				return
			}
			l.g.control.post(func(now time.Time) { l.g.control.reported(now, u.ID, report) })
		})
	}
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
	if !samePlan(plan, l.lastPlan) {
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

func samePlan(a, b layout.Plan) bool {
	if len(a) != len(b) {
		return false
	}
	for id, r := range a {
		if b[id] != r {
			return false
		}
	}
	return true
}

// sortByLoad puts the longest loads first.
func sortByLoad(list []roster.Upstream, plan layout.Plan) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && plan[list[j].ID].Len() > plan[list[j-1].ID].Len(); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

// order asks an engine for its state and orders it to hold a range, in a
// goroutine of its own, so that a silent engine delays no other.
func (l *leader) order(ctx context.Context, now time.Time, e *catalog.Engine, u roster.Upstream, target fleet.LayerRange, cut bool) {
	load := time.Duration(float64(e.Load) * float64(target.Len()) / float64(max(e.Layers, 1)))
	p := &placed{born: u.Born, target: target, since: now, loadEnds: now.Add(load + orderTimeout)}
	l.mu.Lock()
	l.orders[u.ID] = p
	l.mu.Unlock()
	fence := l.fence
	l.g.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, 2*orderTimeout)
		defer cancel()
		report, err := l.g.servers.Report(ctx, u.Address)
		if err != nil {
			l.orderFailed(u, fence, "report", err)
			return
		}
		l.g.control.post(func(now time.Time) { l.g.control.reported(now, u.ID, report) })
		if report.Busy || report.Layers == target {
			return
		}
		got, err := l.g.servers.Place(ctx, u.Address, u.ID, platform.Order{
			Layers: target, Fence: fence, Expected: report.Orders, Cut: cut,
		})
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
	l.g.tasks.Go(func() {
		if !pause(l.g.running, load+watchMargin) {
			return
		}
		ctx, cancel := context.WithTimeout(l.g.running, orderTimeout)
		defer cancel()
		report, err := l.g.servers.Report(ctx, u.Address)
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
