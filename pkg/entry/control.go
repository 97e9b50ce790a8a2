package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/placement"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Intervals of the control goroutine and of the poll that feeds it.
const (
	// controlInterval is the time between two ticks, which advance membership and
	// outlier detection and publish the view.
	controlInterval = 100 * time.Millisecond
	// vmListPollInterval is the time between two reads of the platform's VM list. The
	// list lags by seconds anyway; the engines' own reports are polled more often.
	vmListPollInterval = 2 * time.Second
)

// controlQueueSize is the maximum number of events that wait for the control goroutine.
const controlQueueSize = 4096

// control owns all control state. Only the goroutine of run accesses its fields,
// except for events and view.
type control struct {
	server            *Server
	events            chan func(now time.Time)
	view              atomic.Pointer[fleetView]
	tracked           map[fleet.UpstreamID]*trackedUpstream
	detector          *outlier.Detector
	members           *membership.Machine
	placer            *placer
	lastPlacementTick time.Time
	actions           []outlier.Action
	// dirty is set when publish must rebuild the view.
	dirty       bool
	transitions *transitionLogger
	shares      *admission.Shares
	// demandVersions holds, for each member, the version of its state whose demand was
	// last recorded in shares.
	demandVersions map[fleet.VMID]uint64
	// notifiedOffset is the highest settings offset that the replica was notified of.
	notifiedOffset uint64
	done           chan struct{}
}

func newControl(ctx context.Context, s *Server, now time.Time) *control {
	c := &control{
		server:         s,
		events:         make(chan func(time.Time), controlQueueSize),
		tracked:        map[fleet.UpstreamID]*trackedUpstream{},
		detector:       outlier.New(outlier.DefaultConfig()),
		done:           make(chan struct{}),
		transitions:    newTransitionLogger(s),
		shares:         admission.NewShares(s.cfg.VM),
		demandVersions: map[fleet.VMID]uint64{},
	}
	random := rand.New(rand.NewPCG(uint64(now.UnixNano()), fnvHash(string(s.cfg.VM))))
	c.members = membership.New(membership.Config{Self: s.self, Domain: s.cfg.Domain, Incarnation: uint64(now.UnixMilli()), Seeds: s.cfg.Seeds}, now, random)
	c.publish(now)
	c.placer = newPlacer(ctx, c, now)
	return c
}

// post queues an event for the control goroutine. It never blocks, because requests
// call it: when the queue is full, the event is dropped and counted.
func (c *control) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	default:
		c.server.stats.Count("control_dropped")
	}
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f(time.Now())
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

func (c *control) tick(now time.Time) {
	c.exchangeOffsets()
	c.applyMembershipActions(c.members.Tick(now))
	c.applyOutlierActions(c.detector.Tick(now, c.actions[:0]))
	if now.Sub(c.lastPlacementTick) >= placement.TickInterval {
		c.lastPlacementTick = now
		c.placer.handle(now, placement.Tick{})
		c.server.log.LogSuppressed()
	}
	c.publish(now)
	c.server.gate.tick()
	c.server.suspects.tick(c.vmIDs())
	c.transitions.tick(now)
	c.setCapacities(now)
}

// exchangeOffsets sends the members this VM's settings offset and demand, and
// notifies the replica of the highest offset that any member has in force.
func (c *control) exchangeOffsets() {
	view := c.server.settings.View()
	c.members.SetLocal(membership.Local{Offset: view.Offset, Load: encodeDemand(c.server.gate.demand())})
	highest := c.view.Load().members.HighestOffset
	if highest <= view.HighestOffset || c.notifiedOffset >= highest {
		return
	}
	c.notifiedOffset = highest
	go c.server.settings.PeerOffsetReceived(c.server.runCtx, "members", highest)
}

// applyMembershipActions carries out the actions of the membership machine.
func (c *control) applyMembershipActions(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			_ = c.server.peers.Send(a.To, a.Message) // the protocol repeats lost messages
		case membership.Changed:
			c.server.log.Log(memberEvent(a)).Str("member", string(a.Member.ID)).Str("data_centre", string(a.Member.DataCentre)).Send()
			c.dirty = true
		}
	}
}

// memberEvent returns the log event for a change in membership.
func memberEvent(c membership.Changed) event.ID {
	switch {
	case !c.Live:
		return event.MemberLost
	case c.Member.Leaving:
		return event.MemberLeaving
	}
	return event.MemberJoined
}

// applyOutlierActions carries out the actions of outlier detection.
func (c *control) applyOutlierActions(actions []outlier.Action) {
	for _, a := range actions {
		c.dirty = true
		switch a.Kind {
		case outlier.Probe:
			c.probe(a.Upstream)
		case outlier.Eject:
			c.server.stats.Count("ejected", "reason", a.Reason.String())
			c.server.log.Log(event.UpstreamEjected).Str("upstream", string(a.Upstream)).Str("reason", a.Reason.String()).Send()
		case outlier.SetWeight:
			c.logReturn(a)
		case outlier.KeepInService:
			c.server.stats.Count("ejection_spared")
		}
	}
	c.actions = actions[:0]
}

// logReturn logs the beginning and the end of an upstream's gradual return after an
// ejection, but not the steps between.
func (c *control) logReturn(a outlier.Action) {
	begins := c.view.Load().ejected(a.Upstream)
	if begins || a.Weight >= 1 {
		c.server.log.Log(event.UpstreamReturned).Str("upstream", string(a.Upstream)).Float64("weight", a.Weight).Send()
	}
}

// probe probes the upstream in the background and reports the result to the detector.
func (c *control) probe(id fleet.UpstreamID) {
	u, ok := c.tracked[id]
	if !ok {
		return
	}
	timeout := u.view.Upstreams.Silence
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err := c.server.probe(ctx, u)
		if err != nil && classify(err) != verdictRefused {
			return // the detector times out unanswered probes; only a refusal proves the upstream down
		}
		c.post(func(now time.Time) { c.applyOutlierActions(c.detector.RecordProbe(now, id, err == nil, c.actions[:0])) })
	}()
}

// recordOutcome records the result of a request to an upstream. latency is per token
// for engines and per call for plain services.
func (c *control) recordOutcome(id fleet.UpstreamID, latency time.Duration, err error) {
	c.post(func(now time.Time) {
		out := c.actions[:0]
		switch classify(err) {
		case verdictSucceeded:
			out = c.detector.RecordSuccess(now, id, latency, out)
			c.recordCallTime(id, latency)
		case verdictRefused:
			out = c.detector.RecordRefused(now, id, out)
		case verdictSilent:
			out = c.detector.RecordSilent(now, id, out)
		case verdictFailed:
			out = c.detector.RecordFailure(now, id, out)
		}
		c.applyOutlierActions(out)
		if err != nil {
			c.publish(now) // the next request must not be sent to the failed upstream
		}
	})
}

// recordCallTime records the response time of a plain service's server.
func (c *control) recordCallTime(id fleet.UpstreamID, latency time.Duration) {
	if u, ok := c.tracked[id]; ok && !u.isEngine() {
		u.updateCallTime(latency)
		c.dirty = true
	}
}

// recordSuspect records that a stage is suspected of having broken a generation. A
// stage that did not answer a probe is ejected at once; any other is probed again
// before it is ejected.
func (c *control) recordSuspect(id fleet.UpstreamID, cause error, unreachable bool) {
	c.post(func(now time.Time) {
		if _, ok := c.tracked[id]; !ok {
			return
		}
		out := c.actions[:0]
		switch {
		case unreachable:
			out = c.detector.RecordRefused(now, id, out)
		case classify(cause) == verdictSilent:
			out = c.detector.RecordSilent(now, id, out)
		default:
			out = c.detector.RecordSilent(now, id, c.detector.RecordFailure(now, id, out))
		}
		c.applyOutlierActions(out)
		c.publish(now)
	})
}

// probeSoon has the detector probe an upstream that another VM found crashed, instead
// of waiting for the next state poll or for a request to fail on it.
func (c *control) probeSoon(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.applyOutlierActions(c.detector.RecordSilent(now, id, c.actions[:0])) })
}

// recordTokenTime records the measured time per token of a whole chain. The time is
// apportioned to the stages by their expected times.
func (c *control) recordTokenTime(chain []fleet.UpstreamID, perToken time.Duration) {
	c.post(func(now time.Time) {
		var expected time.Duration
		for _, id := range chain {
			if u, ok := c.tracked[id]; ok {
				expected += u.stageTime()
			}
		}
		if expected <= 0 {
			return
		}
		out := c.actions[:0]
		for _, id := range chain {
			if u, ok := c.tracked[id]; ok {
				u.updateStageScale(float64(perToken) / float64(expected))
				out = c.detector.RecordSuccess(now, id, u.stageTime(), out)
			}
		}
		c.applyOutlierActions(out)
		c.dirty = true
	})
}

// recordEngineState records an engine's state, or the failure to get it. asked is
// when the state was requested.
func (c *control) recordEngineState(id fleet.UpstreamID, asked time.Time, state upstream.EngineState, err error) {
	c.post(func(now time.Time) {
		u, ok := c.tracked[id]
		if !ok {
			return
		}
		if err != nil {
			c.recordOutcome(id, 0, err)
			return
		}
		c.dirty = c.dirty || !u.reported || changesRouting(u.state, state)
		u.state, u.reported = state, true
		u.load.RecordReport(asked, state.Running+state.Waiting, c.otherVMs())
	})
}

// changesRouting reports whether a new state changes more than the load. A changed
// load needs no new view, because the choice of chains reads it from route.Load.
func changesRouting(old, state upstream.EngineState) bool {
	old.Running, old.Waiting, old.ReportedAt = state.Running, state.Waiting, state.ReportedAt
	return !reflect.DeepEqual(old, state)
}

// applyVMList records which upstreams the platform's VM list names as leaving.
func (c *control) applyVMList(entries []infra.VMEntry) {
	c.post(func(time.Time) {
		leaving := map[string]bool{}
		for _, e := range entries {
			leaving[e.Address] = e.Leaving
		}
		for _, u := range c.tracked {
			if state, ok := leaving[u.address]; ok {
				u.listedLeaving = state
			}
		}
		c.dirty = true
	})
}

// otherVMs returns the number of other live entry VMs in the fleet.
func (c *control) otherVMs() int {
	view := c.view.Load().members
	n := len(view.Members)
	for _, dc := range view.DataCentres {
		if dc.DataCentre != c.server.cfg.DomainID() {
			n += int(dc.Live)
		}
	}
	return n
}

// vmIDs returns the sorted IDs of the entry VMs known here, including this one.
func (c *control) vmIDs() []fleet.VMID {
	view := c.view.Load().members
	ids := []fleet.VMID{c.server.cfg.VM}
	for _, m := range view.Members {
		ids = append(ids, m.ID)
	}
	for _, dc := range view.DataCentres {
		if dc.DataCentre == c.server.cfg.DomainID() {
			continue
		}
		for _, contact := range dc.Relays {
			ids = append(ids, contact.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// configure applies a new directory: it adds, updates and removes upstreams, and
// passes the new limits to outlier detection and placement.
func (c *control) configure(d *directory) {
	c.post(func(now time.Time) {
		for id, u := range c.tracked {
			view, ok := d.upstreams[id]
			if !ok || view.Upstream.Address != u.address {
				u.stop()
				delete(c.tracked, id)
			}
		}
		for id, view := range d.upstreams {
			if u, ok := c.tracked[id]; ok {
				u.view = view
				continue
			}
			c.tracked[id] = c.server.newTrackedUpstream(id, view)
		}
		c.detector.SetConfig(outlierConfig(d.local))
		c.placer.configure(now, d)
		c.dirty = true
		c.publish(now)
	})
}

// setCapacities passes this VM's share of each model's generation slots to admission.
func (c *control) setCapacities(now time.Time) {
	fraction := c.slotShare(now)
	d := c.server.directory()
	for _, id := range d.models {
		view, _ := d.model(id)
		slots := c.modelSlots(id, int(view.Model.Layers))
		c.server.gate.setCapacity(admission.Capacity{Model: id, Slots: int(math.Ceil(slots * fraction))})
	}
}

// slotShare returns the fraction of the slots that this VM may use. The slots
// are divided between domains in proportion to their numbers of VMs, and within this
// VM's domain by the demands that its VMs report to each other.
func (c *control) slotShare(now time.Time) float64 {
	view := c.view.Load().members
	live := []fleet.VMID{c.server.cfg.VM}
	c.shares.RecordDemand(now, c.server.cfg.VM, c.server.gate.demand())
	for _, m := range view.Members {
		live = append(live, m.ID)
		if m.Version != c.demandVersions[m.ID] {
			c.demandVersions[m.ID] = m.Version
			c.shares.RecordDemand(now, m.ID, decodeDemand(m.Load))
		}
	}
	c.shares.Retain(live)
	domain := float64(len(live)) / float64(c.otherVMs()+1)
	return domain * c.shares.Fraction(now, live)
}

// modelSlots returns how many generations keep the layer with the least capacity
// busy. A generation uses each stage only part of the time, so an engine that holds
// a quarter of the layers needs four generations for each batch slot.
func (c *control) modelSlots(id fleet.ModelID, layers int) float64 {
	perLayer := make([]float64, layers)
	for _, u := range c.tracked {
		a := u.state.Assignment
		if !u.isUsable() || a.Model != id || a.Layers.End > layers || c.detector.IsEjected(u.id) {
			continue
		}
		for l := a.Layers.First; l < a.Layers.End; l++ {
			perLayer[l] += float64(u.slots()) * float64(layers) / float64(a.Layers.Len())
		}
	}
	if layers == 0 {
		return 0
	}
	return slices.Min(perLayer)
}
