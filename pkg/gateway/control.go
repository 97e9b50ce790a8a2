package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/stall"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/platform"
)

// controlTick is the interval of the control goroutine's periodic work: half of the shortest
// interval of state messages to other VMs, which is its most frequent task.
const controlTick = 50 * time.Millisecond

// controlQueueSize bounds the events that wait for the control goroutine. A burst of
// failures posts a few events for each request in flight.
const controlQueueSize = 4096

// control is the state that the control goroutine owns.
type control struct {
	g      *Gateway
	events chan func(now time.Time)

	// What this VM knows of the upstreams and the other VMs.
	roster  *roster.Roster
	health  *outlier.Detector
	members *membership.Machine
	peers   map[fleet.VMID]*peerState
	// peerTotals is the sum of the reservations in peers.
	peerTotals *peering.Totals
	// reservationsChanged is set when the reservations of other VMs changed since the gates
	// got them.
	reservationsChanged bool
	// probePhase is this VM's offset among the VMs that probe a dead upstream in turn, in
	// [0, 1).
	probePhase float64
	// slowness holds the factors by which engines are slower than usual.
	slowness map[fleet.UpstreamID]float64
	// reportedLayers holds what engines reported and their entries do not show yet.
	reportedLayers map[fleet.UpstreamID]layerReport
	engineRefusals map[fleet.UpstreamID]*refusalHistory
	// drainingSince is when each upstream announced its end or its entry was removed.
	drainingSince map[fleet.UpstreamID]time.Time
	// crashes finds requests that crash upstreams.
	crashes *crashcause.Tracker
	// crashReports and soundReports hold what this VM has seen since the last tick.
	crashReports map[notice.Instance]crashcause.Crash
	soundReports map[crashcause.Part]int
	// soundReportsDue is when soundReports are sent.
	soundReportsDue time.Time
	// staleGroupParts are those of soundReports that another VM still refuses.
	staleGroupParts map[crashcause.Part]bool
	// knownSound holds parts of crashed runs that are known to be sound, to be sent at knownSoundDue.
	knownSound    []crashcause.Part
	knownSoundDue time.Time
	// crashTrials holds the parts of the trials begun since the last tick.
	crashTrials [][]crashcause.Part
	// crashHistoryComplete is set once this VM knows what the other VMs knew of crashes before its
	// start, and crashHistories counts the answers that it has got to that question.
	crashHistoryComplete bool
	crashHistories       int
	// crashResends are the reports of crashes that are sent again.
	crashResends []crashResend
	// stallWatch finds runs that make no progress.
	stallWatch *stall.Detector
	// stallTimer starts the next check of the runs before the next tick; nil before run.
	stallTimer *time.Timer
	// uncertainReroutes limits the changes of paths on weak evidence.
	uncertainReroutes *rate.Limiter
	// rerouteFenced is set once an engine refused such a change because of its fencing token,
	// which is rerouteRefusedToken. No such order has that token or a lower one again.
	rerouteFenced       bool
	rerouteRefusedToken uint64

	// configuration, catalog and configRecord are the configuration in force: its version, its
	// compiled form and, for other VMs, its record. pendingConfig is an older one that the
	// operator wrote again and that is not in force yet.
	configuration  storeera.Configuration
	catalog        *catalog.Catalog
	configRecord   *configRecord
	pendingConfig  *configRecord
	fetchingConfig bool // a fetch from another VM is in progress
	gates          map[catalog.ServiceID]*gate

	listKnown      bool // the list of upstreams has been read once, or a copy of it
	listFromCopy   bool // the list comes from a copy
	listUpdatedAt  time.Time
	storeUp        bool
	storeDownSince time.Time // start of the last outage
	// lastStoreAnswer is when the store last answered a call of this VM.
	lastStoreAnswer time.Time
	// lastStoreFailure is when a call to the store last failed.
	lastStoreFailure    time.Time
	storeDutyAssignedAt time.Time
	// leaderSeenAt is when a VM was last known to lead.
	leaderSeenAt time.Time
	// fetchingList is set while a fetch of the list from another VM is in progress.
	fetchingList bool
	// peerListReceived is set once another VM has answered such a fetch. Its answer also
	// names the upstreams that are about to end, which the store does not know.
	peerListReceived bool
	// storeDown is the opposite of storeUp, for other goroutines.
	storeDown atomic.Bool

	// initialStateAnnounced is set once the requests held at the start have been released.
	initialStateAnnounced bool

	// listRevision counts the changes of the list.
	listRevision uint64
	// listOffset is the offset of the upstreams' topic up to which the list was read.
	listOffset uint64

	dirty    bool   // a new view must be published
	sequence uint64 // of the state messages to the other VMs
	// sentVersion identifies the last state sent to the VMs of the own data centre.
	sentVersion stateVersion
	// nearStateTimer schedules the state messages to the VMs of the own data centre.
	nearStateTimer peering.StateTimer
	// farStateTimer schedules those to the VMs of other data centres.
	farStateTimer peering.StateTimer
	prunedAt      time.Time
	// lastTick is the time of the last tick.
	lastTick time.Time
	// askAt is when this VM next asks another one for the state that it lacks at its start.
	askAt       time.Time
	askInterval time.Duration
	// sight is what this VM assumes of VMs that it does not receive state from.
	sight sight
	// load measures the work of the control goroutine.
	load controlLoad
	// quietChecksFrom is when the check for quiet VMs resumes after a suspension of this VM.
	quietChecksFrom time.Time
}

// layerReport holds the layers that an engine itself reported, which is newer than its entry
// in the store.
type layerReport struct {
	layers          fleet.LayerRange
	engineStartedAt time.Time
	// reportedAt is when the report arrived.
	reportedAt time.Time
}

// layerReportTTL is how long an engine's own report takes precedence over its entry in the
// store. The entry is renewed with each heartbeat and read with a lag.
const layerReportTTL = 3 * time.Second

func newControl(g *Gateway) *control {
	self := g.settings.Self
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &control{
		g: g, events: make(chan func(time.Time), controlQueueSize),
		roster: roster.New(), health: outlier.New(healthConfig(1, 0)), probePhase: random.Float64(),
		members: membership.New(membership.Config{
			Self: self, Incarnation: uint64(now.UnixMilli()), Domain: fleet.DataCentreID(self.Region), Seeds: g.settings.Seeds,
		}, now, random),
		gates: make(map[catalog.ServiceID]*gate), peers: make(map[fleet.VMID]*peerState), peerTotals: peering.NewTotals(),
		slowness: make(map[fleet.UpstreamID]float64), reportedLayers: make(map[fleet.UpstreamID]layerReport),
		storeUp: true, stallWatch: stall.NewDetector(), uncertainReroutes: newUncertainReroutes(), sight: newSight(now, g.settings),
		crashHistoryComplete: g.settings.FirstStart,
		crashes:              crashcause.NewTracker(), crashReports: make(map[notice.Instance]crashcause.Crash), soundReports: make(map[crashcause.Part]int), staleGroupParts: make(map[crashcause.Part]bool),
		engineRefusals: make(map[fleet.UpstreamID]*refusalHistory), drainingSince: make(map[fleet.UpstreamID]time.Time),
	}
}

// post passes an event to the control goroutine. An event that does not fit into the queue
// is dropped and counted; a later event of its kind replaces it.
func (c *control) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	default:
		c.g.stats.Count("control_events_dropped")
	}
}

// run processes events and ticks until ctx ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.stallTimer = time.NewTimer(controlTick)
	defer c.stallTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.stallTimer.C:
			c.runEvent(time.Now(), c.checkRuns)
		case f := <-c.events:
			now := time.Now()
			c.runEvent(now, f)
			c.load.recordEvent(len(c.events))
			for range len(c.events) { // publish once for all queued events
				c.runEvent(now, <-c.events)
				c.load.recordEvent(len(c.events))
			}
		case <-ticker.C:
			c.runEvent(time.Now(), c.tick)
		}
		if c.dirty {
			ejectedBefore, began := len(c.g.view.Load().ejected), time.Now()
			c.publish(began)
			c.load.recordView(time.Since(began))
			if len(c.g.view.Load().ejected) > ejectedBefore { // its runs need not wait for the next tick
				c.checkRuns(time.Now())
			}
		}
	}
}

// runEvent runs one event. The control goroutine continues after a panic: later messages
// replace its state, while a new process would cost all streams that this one serves.
func (c *control) runEvent(now time.Time, f func(time.Time)) {
	c.g.runRecovered("control event", func() { f(now) })
}

// storeDutyInterval is the interval at which this VM's store duty is assigned again, which
// is about the interval of the other VMs' state messages.
const storeDutyInterval = 200 * time.Millisecond

func (c *control) tick(now time.Time) {
	c.applyRosterChanges(now, c.roster.Tick(now, nil))
	c.applyHealthActions(now, c.health.Tick(now, nil))
	c.applyMembershipActions(c.members.Tick(now))
	c.expireRefusals(now)
	c.checkRuns(now)
	if now.Sub(c.storeDutyAssignedAt) >= storeDutyInterval {
		c.storeDutyAssignedAt = now
		c.assignStoreDuty(now)
	}
	c.resendCrashReports()
	c.updateCrashCauses(now)
	c.sendState(now)
	c.updateQuietPeers(now)
	c.dropSilentPeers(now)
	c.askAtStart(now)
	c.updateSight(now)
	c.requestStartReports(now)
	c.updatePeerReservations()
	for _, gate := range c.gates {
		gate.tick(now)
	}
	if now.Sub(c.prunedAt) >= time.Second {
		c.prunedAt = now
		c.g.pool.Prune()
		c.pruneNotices(now)
		c.g.log.LogSuppressed()
		c.reportLoad()
		c.g.setRetryLimits(now)
		c.health.SetConfig(healthConfig(c.g.view.Load().vms, c.probePhase))
		for id, since := range c.drainingSince {
			if now.Sub(since) > drainRetention {
				delete(c.drainingSince, id)
			}
		}
	}
}

// drainRetention is how long the end of an upstream is remembered. It is longer than a
// generation lasts.
const drainRetention = time.Minute

// applyRosterChanges applies changes of the list of upstreams.
func (c *control) applyRosterChanges(now time.Time, changes []roster.Change) {
	for _, change := range changes {
		c.dirty = true
		c.listRevision++
		u := change.Upstream
		c.g.log.Log(event.UpstreamChanged).Str("upstream", string(u.ID)).Str("service", string(u.Service)).
			Str("address", u.Address).Str("reason", change.Reason.String()).Stringer("layers", u.Layers).Send()
		drains := change.Reason == roster.Drains || change.Reason == roster.Leaves
		if change.Gone || drains || change.Reason == roster.Listed {
			c.g.pool.CloseIdle(u.Address)
		}
		if change.Gone || change.Reason == roster.Listed {
			delete(c.slowness, u.ID)
			delete(c.reportedLayers, u.ID)
			c.stallWatch.Forget(u.ID)
			delete(c.engineRefusals, u.ID)
		}
		switch {
		case change.Reason == roster.Listed:
			c.health.Forget(u.ID) // the state of a previous incarnation
			delete(c.drainingSince, u.ID)
		case change.Gone || drains:
			if _, known := c.drainingSince[u.ID]; !known {
				c.drainingSince[u.ID] = now
			}
		}
	}
}

func (c *control) outlierMembers(list []roster.Upstream) []outlier.Member {
	members := make([]outlier.Member, 0, len(list))
	for _, u := range list {
		members = append(members, c.outlierMember(u))
	}
	return members
}

// outlierMember describes what an upstream serves, for its comparison with others.
func (c *control) outlierMember(u roster.Upstream) outlier.Member {
	m := outlier.Member{ID: u.ID, Route: fleet.RouteID(u.Service)}
	if c.catalog == nil {
		return m
	}
	if s := c.catalog.Services[u.Service]; s != nil && s.Engine != nil {
		layers := c.currentLayers(u)
		m = outlier.Member{ID: u.ID, Model: fleet.ModelID(u.Service), Layers: layers, ModelLayers: s.Engine.Layers}
	}
	return m
}

// currentLayers returns the layers of an engine. Its own report, if there is one for this
// incarnation, takes precedence over its entry.
func (c *control) currentLayers(u roster.Upstream) fleet.LayerRange {
	if report, ok := c.reportedLayers[u.ID]; ok && report.engineStartedAt.Equal(u.Born) {
		return report.layers
	}
	return u.Layers
}

// recordReport records an engine's own report.
func (c *control) recordReport(now time.Time, id fleet.UpstreamID, r platform.Report) {
	u, ok := c.roster.Get(id)
	if !ok || !r.Born.IsZero() && !r.Born.Equal(u.Born) && r.Born.Before(u.Born) {
		return
	}
	c.recordLayers(now, u, r.Layers)
	c.setSlowness(id, r.Slowness)
	c.checkRefusals(now, u, r)
	c.recordHeldMemory(now, id, r)
}

// recordLayers records the layers that an engine reported.
func (c *control) recordLayers(now time.Time, u roster.Upstream, layers fleet.LayerRange) {
	if layers != c.currentLayers(u) {
		c.reportedLayers[u.ID] = layerReport{layers: layers, engineStartedAt: u.Born, reportedAt: now}
		c.dirty = true
	}
}

// expireLayerReport drops an engine's own report once its entry in the store replaces it.
func (c *control) expireLayerReport(now time.Time, id fleet.UpstreamID) {
	if report, ok := c.reportedLayers[id]; ok && now.Sub(report.reportedAt) > layerReportTTL {
		delete(c.reportedLayers, id)
		c.dirty = true
	}
}

// slownessThreshold is the relative change of an engine's slowness that causes a new view.
const slownessThreshold = 0.2

func (c *control) setSlowness(id fleet.UpstreamID, factor float64) {
	factor = max(factor, 1)
	old := max(c.slowness[id], 1)
	if factor > old*(1+slownessThreshold) || factor < old/(1+slownessThreshold) {
		c.g.log.Log(event.UpstreamSlow).Str("upstream", string(id)).Float64("factor", factor).Float64("before", old).Send()
		c.slowness[id] = factor
		if factor == 1 {
			delete(c.slowness, id)
		}
		c.dirty = true
	}
}

// replaceSlowness replaces the slowness factors of all engines by the leader's.
func (c *control) replaceSlowness(slow map[fleet.UpstreamID]float32) {
	for id := range c.slowness {
		if _, still := slow[id]; !still {
			c.setSlowness(id, 1)
		}
	}
	for id, factor := range slow {
		c.setSlowness(id, float64(factor))
	}
}

// recordStoreAnswer records that the store answered a call of this VM.
func (c *control) recordStoreAnswer() {
	c.post(func(now time.Time) {
		c.lastStoreAnswer = now
		c.roster.RecordStoreAnswer(now)
		c.markStoreUp(now, "own call")
	})
}

// markStoreUp ends an outage of the store for this VM.
func (c *control) markStoreUp(now time.Time, source string) {
	if c.storeUp {
		return
	}
	c.storeUp = true
	c.storeDown.Store(false)
	c.g.log.Log(event.LogAvailable).Str("stream", "store").Str("source", source).Int64("away_ms", now.Sub(c.storeDownSince).Milliseconds()).Send()
}

// isStoreUp reports whether the store counts as available to this VM. It is safe for
// concurrent use.
func (c *control) isStoreUp() bool { return !c.storeDown.Load() }

// recordStoreFailure records a failed call to the store.
func (c *control) recordStoreFailure(call string, err error) {
	c.g.stats.Count("store_calls_failed", "call", call)
	c.g.storeFailedAt.Store(int64(time.Since(c.g.started)))
	c.post(func(now time.Time) {
		c.lastStoreFailure = now
		c.roster.RecordStoreFailure(now)
		if c.storeUp {
			c.g.cancelConfigRead() // the answer to this read may be lost
			c.storeUp, c.storeDownSince = false, now
			c.storeDown.Store(true)
			c.g.log.Log(event.LogUnavailable).Str("stream", "store").Str("call", call).Err(err).Send()
		}
	})
}
