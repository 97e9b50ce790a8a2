package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/stall"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

// controlTick is the interval of the control goroutine's own work: half of the
// interval of the news to other VMs, the most frequent of it.
const controlTick = 50 * time.Millisecond

// controlQueue bounds the events that wait for the control goroutine. A flood of
// failures posts a few for each request in flight.
const controlQueue = 4096

// control is the state that one goroutine owns.
type control struct {
	g      *Gateway
	events chan func(now time.Time)

	// What is believed of the platform, the upstreams and the other VMs.
	roster  *roster.Roster
	health  *outlier.Detector
	members *membership.Machine
	peers   map[fleet.VMID]*peerState
	// promised is set when the promises of other VMs changed since the gates got them.
	promised bool
	// phase is this VM's place among those that probe a dead upstream, in [0, 1).
	phase float64
	// slow holds the engines that work more slowly than usual, with their factor.
	slow map[fleet.UpstreamID]float64
	// layers holds what engines reported and their entries do not show yet.
	layers   map[fleet.UpstreamID]heldLayers
	refusals map[fleet.UpstreamID]*refusals
	// drains holds when upstreams announced their end, or their entry was removed.
	drains map[fleet.UpstreamID]time.Time
	// stall finds runs that make no progress.
	stall *stall.Watch

	// The configuration in force, also as it stands in the store, for other VMs. rewritten
	// is an older one that the operator wrote anew and that is not in force yet.
	configuration storeera.Configuration
	catalog       *catalog.Catalog
	config        []byte
	rewritten     *configRecord
	fetching      bool // a configuration is on its way from another VM
	gates         map[catalog.ServiceID]*gate

	listed   bool // the list of upstreams was read once
	listedAt time.Time
	storeUp  bool
	storeBad time.Time // the begin of the last outage
	// reachedAt is when the store last answered a call of this VM, failedAt when one
	// last failed.
	reachedAt  time.Time
	failedAt   time.Time
	assignedAt time.Time
	// leaderHeard is when a VM was last known to lead.
	leaderHeard time.Time
	// fetchingList is set while the list is on its way from another VM, askedList once one
	// has answered: it also knows which upstreams are about to end.
	fetchingList bool
	askedList    bool
	// storeAway is the opposite of storeUp, for other goroutines.
	storeAway atomic.Bool

	// announced is set once requests that were held at the start go on.
	announced bool

	dirty    bool   // a new view must be published
	sequence uint64 // of the news to the other VMs
	// news is for the VMs of the own data centre, farNews for the others.
	news     peering.NewsTimer
	farNews  peering.NewsTimer
	prunedAt time.Time
	// tickedAt is the last tick; judgeFrom is until when silent VMs are not judged after a
	// pause of this VM's own.
	tickedAt  time.Time
	judgeFrom time.Time
}

// heldLayers are the layers that an engine itself reported, newer than its entry
// in the store.
type heldLayers struct {
	layers fleet.LayerRange
	born   time.Time
	// since is when the report came; entries read reportedFor later replace it.
	since time.Time
}

// reportedFor is how long an engine's own report goes before its entry in the
// store, which is renewed with each heartbeat and read with a lag.
const reportedFor = 3 * time.Second

func newControl(g *Gateway) *control {
	self := g.settings.Self
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &control{
		g: g, events: make(chan func(time.Time), controlQueue),
		roster: roster.New(), health: outlier.New(healthConfig(1, 0)), phase: random.Float64(),
		members: membership.New(membership.Config{
			Self: self, Incarnation: uint64(now.UnixMilli()), Domain: fleet.DataCentreID(self.Region), Seeds: g.settings.Seeds,
		}, now, random),
		gates: make(map[catalog.ServiceID]*gate), peers: make(map[fleet.VMID]*peerState),
		slow: make(map[fleet.UpstreamID]float64), layers: make(map[fleet.UpstreamID]heldLayers),
		storeUp: true, stall: stall.NewWatch(),
		refusals: make(map[fleet.UpstreamID]*refusals), drains: make(map[fleet.UpstreamID]time.Time),
	}
}

// post hands an event to the control goroutine. An event that does not fit is
// dropped and counted: the state that it would have changed is found again by
// the next one of its kind.
func (c *control) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	default:
		c.g.stats.Count("control_events_dropped")
	}
}

// run owns the state until ctx ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			now := time.Now()
			c.handle(now, f)
			for range len(c.events) { // one publication for all that waits
				c.handle(now, <-c.events)
			}
		case <-ticker.C:
			c.handle(time.Now(), c.tick)
		}
		if c.dirty {
			died := len(c.g.view.Load().dead)
			c.publish(time.Now())
			if len(c.g.view.Load().dead) > died { // its runs need not wait for the next tick
				c.sweep(time.Now())
			}
		}
	}
}

// handle runs one event. The state goes on after a panic: it is made of beliefs that the
// next news replaces, and a new process would cost all streams that this one carries.
func (c *control) handle(now time.Time, f func(time.Time)) {
	c.g.guard("control event", func() { f(now) })
}

// dutyInterval is the interval at which this VM's duty at the store is found anew: news of
// the others comes about as often.
const dutyInterval = 200 * time.Millisecond

func (c *control) tick(now time.Time) {
	c.upstreamsChanged(now, c.roster.Tick(now, nil))
	c.act(now, c.health.Tick(now, nil))
	c.send(c.members.Tick(now))
	c.endRefusals(now)
	c.sweep(now)
	if c.configuration.Tick(now) {
		c.putConfig(now, c.rewritten, "store, written anew by the operator")
	}
	if now.Sub(c.assignedAt) >= dutyInterval {
		c.assignedAt = now
		c.assignDuty(now)
	}
	c.tellPeers(now)
	c.judgeQuiet(now)
	c.forgetPeers(now)
	c.shareOthers()
	for _, gate := range c.gates {
		gate.tick(now)
	}
	if now.Sub(c.prunedAt) >= time.Second {
		c.prunedAt = now
		c.g.pool.Prune()
		c.pruneNotices(now)
		c.g.log.Suppressed()
		c.g.setRetryLimits(now)
		c.health.SetConfig(healthConfig(c.g.view.Load().vms, c.phase))
		for id, since := range c.drains {
			if now.Sub(since) > drainsKept {
				delete(c.drains, id)
			}
		}
	}
}

// drainsKept is how long an end is remembered: longer than a generation lasts.
const drainsKept = time.Minute

// upstreamsChanged books changes of the list of upstreams.
func (c *control) upstreamsChanged(now time.Time, changes []roster.Change) {
	for _, change := range changes {
		c.dirty = true
		u := change.Upstream
		c.g.log.Log(event.UpstreamChanged).Str("upstream", string(u.ID)).Str("service", string(u.Service)).
			Str("address", u.Address).Str("reason", change.Why.String()).Stringer("layers", u.Layers).Send()
		drains := change.Why == roster.Drains || change.Why == roster.Leaves
		if change.Gone || drains || change.Why == roster.Listed {
			c.g.pool.CloseIdle(u.Address)
		}
		if change.Gone || change.Why == roster.Listed {
			delete(c.slow, u.ID)
			delete(c.layers, u.ID)
			c.stall.Forget(u.ID)
			delete(c.refusals, u.ID)
		}
		switch {
		case change.Why == roster.Listed:
			c.forgetHealth(u.ID)
			delete(c.drains, u.ID)
		case change.Gone || drains:
			if _, known := c.drains[u.ID]; !known {
				c.drains[u.ID] = now
			}
		}
	}
}

// forgetHealth starts the health of a new incarnation afresh.
func (c *control) forgetHealth(id fleet.UpstreamID) {
	var others []roster.Upstream
	for _, u := range c.roster.List() {
		if u.ID != id {
			others = append(others, u)
		}
	}
	c.health.SetMembers(c.duties(others))
}

func (c *control) duties(list []roster.Upstream) []outlier.Member {
	members := make([]outlier.Member, 0, len(list))
	for _, u := range list {
		members = append(members, c.duty(u))
	}
	return members
}

// duty describes what an upstream serves, for its comparison with others.
func (c *control) duty(u roster.Upstream) outlier.Member {
	m := outlier.Member{ID: u.ID, Route: fleet.RouteID(u.Service)}
	if c.catalog == nil {
		return m
	}
	if s := c.catalog.Services[u.Service]; s != nil && s.Engine != nil {
		held := c.held(u)
		m = outlier.Member{ID: u.ID, Model: fleet.ModelID(u.Service), Layers: held, ModelLayers: s.Engine.Layers}
	}
	return m
}

// held returns the layers of an engine: its own newer report before its entry.
func (c *control) held(u roster.Upstream) fleet.LayerRange {
	if h, ok := c.layers[u.ID]; ok && h.born.Equal(u.Born) {
		return h.layers
	}
	return u.Layers
}

// reported books an engine's own report.
func (c *control) reported(now time.Time, id fleet.UpstreamID, r platform.Report) {
	u, ok := c.roster.Get(id)
	if !ok || !r.Born.IsZero() && !r.Born.Equal(u.Born) && r.Born.Before(u.Born) {
		return
	}
	c.holds(now, u, r.Layers)
	c.noteSlowness(id, r.Slowness)
	c.judgeRefusals(now, u, r)
}

// holds notes the layers that an engine reported.
func (c *control) holds(now time.Time, u roster.Upstream, layers fleet.LayerRange) {
	if layers != c.held(u) {
		c.layers[u.ID] = heldLayers{layers: layers, born: u.Born, since: now}
		c.dirty = true
	}
}

// entryRead drops an engine's own report that its entry in the store replaces.
func (c *control) entryRead(now time.Time, id fleet.UpstreamID) {
	if h, ok := c.layers[id]; ok && now.Sub(h.since) > reportedFor {
		delete(c.layers, id)
		c.dirty = true
	}
}

// slowChange is the relative change of an engine's slowness that is worth a new view.
const slowChange = 0.2

func (c *control) noteSlowness(id fleet.UpstreamID, factor float64) {
	factor = max(factor, 1)
	old := max(c.slow[id], 1)
	if factor > old*(1+slowChange) || factor < old/(1+slowChange) {
		c.g.log.Log(event.UpstreamSlow).Str("upstream", string(id)).Float64("factor", factor).Float64("before", old).Send()
		c.slow[id] = factor
		if factor == 1 {
			delete(c.slow, id)
		}
		c.dirty = true
	}
}

// takeSlowness replaces what is known of slow engines by the leader's findings.
func (c *control) takeSlowness(slow map[fleet.UpstreamID]float32) {
	for id := range c.slow {
		if _, still := slow[id]; !still {
			c.noteSlowness(id, 1)
		}
	}
	for id, factor := range slow {
		c.noteSlowness(id, float64(factor))
	}
}

// storeAnswered and storeFailed follow the store's health.
func (c *control) storeAnswered() {
	c.post(func(now time.Time) {
		c.reachedAt = now
		c.roster.StoreAnswered(now)
		c.storeIsBack(now, "own call")
	})
}

// storeIsBack ends an outage of the store for this VM.
func (c *control) storeIsBack(now time.Time, source string) {
	if c.storeUp {
		return
	}
	c.storeUp = true
	c.storeAway.Store(false)
	c.g.log.Log(event.LogBack).Str("stream", "store").Str("source", source).Int64("away_ms", now.Sub(c.storeBad).Milliseconds()).Send()
}

// storeIsUp reports whether the store answered last, for other goroutines.
func (c *control) storeIsUp() bool { return !c.storeAway.Load() }

func (c *control) storeFailed(call string, err error) {
	c.g.stats.Count("store_calls_failed", "call", call)
	c.g.storeFailedAt.Store(int64(time.Since(c.g.started)))
	c.post(func(now time.Time) {
		c.failedAt = now
		c.roster.StoreFailed(now)
		if c.storeUp {
			if end := c.g.endConfigRead.Load(); end != nil {
				(*end)() // it may wait for an answer that is lost
			}
			c.storeUp, c.storeBad = false, now
			c.storeAway.Store(true)
			c.g.log.Log(event.LogUnavailable).Str("stream", "store").Str("call", call).Err(err).Send()
		}
	})
}
