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

// Periods of the control goroutine.
const (
	// controlTick is the step of membership, outlier detection and publishing.
	controlTick = 100 * time.Millisecond
	// vmListPoll is how often the platform's VM list is read. It lags by
	// seconds anyway; the engines' own reports are polled more often.
	vmListPoll = 2 * time.Second
)

// controlQueue is the number of events that may wait for the control goroutine.
const controlQueue = 4096

// control owns all control state. Its fields are touched by the goroutine of
// run only, except for events and view.
type control struct {
	server     *Server
	events     chan func(now time.Time)
	view       atomic.Pointer[fleetView]
	conditions map[fleet.UpstreamID]*condition
	detector   *outlier.Detector
	members    *membership.Machine
	placer     *placer
	placedAt   time.Time
	actions    []outlier.Action
	dirty      bool
	changes    *changeLog
	shares     *admission.Shares
	// heard is the version of each member whose demand the shares hold.
	heard map[fleet.VMID]uint64
	// told is the highest settings offset that the replica was told of.
	told uint64
	done chan struct{}
}

func newControl(ctx context.Context, s *Server, now time.Time) *control {
	c := &control{
		server:     s,
		events:     make(chan func(time.Time), controlQueue),
		conditions: map[fleet.UpstreamID]*condition{},
		detector:   outlier.New(outlier.DefaultConfig()),
		done:       make(chan struct{}),
		changes:    newChangeLog(s),
		shares:     admission.NewShares(s.cfg.VM),
		heard:      map[fleet.VMID]uint64{},
	}
	random := rand.New(rand.NewPCG(uint64(now.UnixNano()), hashOf(string(s.cfg.VM))))
	c.members = membership.New(membership.Config{Self: s.self, Domain: s.cfg.Domain, Incarnation: uint64(now.UnixMilli()), Seeds: s.cfg.Seeds}, now, random)
	c.publish(now)
	c.placer = newPlacer(ctx, c, now)
	return c
}

// post hands an event to the control goroutine. It never blocks a request: when
// the queue is full the event is dropped and counted.
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
	ticker := time.NewTicker(controlTick)
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
	c.shareOffset()
	c.send(c.members.Tick(now))
	c.act(c.detector.Tick(now, c.actions[:0]))
	if now.Sub(c.placedAt) >= placement.TickInterval {
		c.placedAt = now
		c.placer.handle(now, placement.Tick{})
		c.server.log.Suppressed()
	}
	c.publish(now)
	c.server.gate.tick()
	c.server.suspects.tick(c.vmIDs())
	c.changes.tick(now)
	c.setCapacities(now)
}

// shareOffset tells the members which settings are in force here, and the
// replica of the highest offset that any member has in force.
func (c *control) shareOffset() {
	view := c.server.settings.View()
	c.members.SetLocal(membership.Local{Offset: view.Offset, Load: encodeDemand(c.server.gate.demand())})
	highest := c.view.Load().members.Highest
	if highest <= view.Highest || c.told >= highest {
		return
	}
	c.told = highest
	go c.server.settings.HighestHeard(c.server.running, "members", highest)
}

// send carries out the actions of the membership machine.
func (c *control) send(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			_ = c.server.peers.Send(a.To, a.Message) // a lost message is repeated by the protocol
		case membership.Changed:
			c.server.log.Log(memberEvent(a)).Str("member", string(a.Member.ID)).Str("data_centre", string(a.Member.DataCentre)).Send()
			c.dirty = true
		}
	}
}

// memberEvent returns the log event of a change in membership.
func memberEvent(c membership.Changed) event.ID {
	switch {
	case !c.Live:
		return event.MemberLost
	case c.Member.Leaving:
		return event.MemberLeaving
	}
	return event.MemberJoined
}

// act carries out the actions of outlier detection.
func (c *control) act(actions []outlier.Action) {
	for _, a := range actions {
		c.dirty = true
		switch a.Kind {
		case outlier.Probe:
			c.probe(a.Upstream)
		case outlier.Eject:
			c.server.stats.Count("ejected", "reason", a.Reason.String())
			c.server.log.Log(event.UpstreamEjected).Str("upstream", string(a.Upstream)).Str("reason", a.Reason.String()).Send()
		case outlier.Return:
			c.returned(a)
		case outlier.Spared:
			c.server.stats.Count("ejection_spared")
		}
	}
	c.actions = actions[:0]
}

// returned logs the begin and the end of a gradual return.
func (c *control) returned(a outlier.Action) {
	begins := c.view.Load().ejected(a.Upstream)
	if begins || a.Weight >= 1 {
		c.server.log.Log(event.UpstreamReturned).Str("upstream", string(a.Upstream)).Float64("weight", a.Weight).Send()
	}
}

// probe asks the upstream for an answer over a new connection.
func (c *control) probe(id fleet.UpstreamID) {
	condition, ok := c.conditions[id]
	if !ok {
		return
	}
	timeout := condition.view.Upstreams.Silence
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		err := c.server.probe(ctx, condition)
		if err != nil && classify(err) != refused {
			return // the detector times unanswered probes out; only a refusal proves the upstream down
		}
		c.post(func(now time.Time) { c.act(c.detector.Probed(now, id, err == nil, c.actions[:0])) })
	}()
}

// outcome books the result of a request on an upstream. latency is per token
// for engines and per call for plain services.
func (c *control) outcome(id fleet.UpstreamID, latency time.Duration, err error) {
	c.post(func(now time.Time) {
		out := c.actions[:0]
		switch classify(err) {
		case succeeded:
			out = c.detector.Succeeded(now, id, latency, out)
			c.served(id, latency)
		case refused:
			out = c.detector.Refused(now, id, out)
		case silent:
			out = c.detector.Silent(now, id, out)
		case failed:
			out = c.detector.Failed(now, id, out)
		}
		c.act(out)
		if err != nil {
			c.publish(now) // the next request must not meet the failed upstream
		}
	})
}

// served books the answer time of a plain service's server.
func (c *control) served(id fleet.UpstreamID, latency time.Duration) {
	if condition, ok := c.conditions[id]; ok && !condition.isEngine() {
		condition.served(latency)
		c.dirty = true
	}
}

// suspected books that a stage is blamed for a broken generation. One that did not
// answer a probe is ejected at once; any other is probed again before.
func (c *control) suspected(id fleet.UpstreamID, cause error, unreachable bool) {
	c.post(func(now time.Time) {
		if _, ok := c.conditions[id]; !ok {
			return
		}
		out := c.actions[:0]
		switch {
		case unreachable:
			out = c.detector.Refused(now, id, out)
		case classify(cause) == silent:
			out = c.detector.Silent(now, id, out)
		default:
			out = c.detector.Silent(now, id, c.detector.Failed(now, id, out))
		}
		c.act(out)
		c.publish(now)
	})
}

// probeSoon probes an upstream that another VM found crashed, instead of waiting
// for the next state poll or for a request to fail on it.
func (c *control) probeSoon(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.act(c.detector.Silent(now, id, c.actions[:0])) })
}

// measured books the time per token of a whole chain. It is apportioned to the
// stages by their expected times.
func (c *control) measured(chain []fleet.UpstreamID, perToken time.Duration) {
	c.post(func(now time.Time) {
		var expected time.Duration
		for _, id := range chain {
			if condition, ok := c.conditions[id]; ok {
				expected += condition.stageTime()
			}
		}
		if expected <= 0 {
			return
		}
		out := c.actions[:0]
		for _, id := range chain {
			if condition, ok := c.conditions[id]; ok {
				condition.measured(float64(perToken) / float64(expected))
				out = c.detector.Succeeded(now, id, condition.stageTime(), out)
			}
		}
		c.act(out)
		c.dirty = true
	})
}

// reported books an engine's state, or the failure to get it.
func (c *control) reported(id fleet.UpstreamID, asked time.Time, state upstream.EngineState, err error) {
	c.post(func(now time.Time) {
		condition, ok := c.conditions[id]
		if !ok {
			return
		}
		if err != nil {
			c.outcome(id, 0, err)
			return
		}
		c.dirty = c.dirty || !condition.reported || changesRouting(condition.state, state)
		condition.state, condition.reported = state, true
		condition.load.Report(asked, state.Running+state.Waiting, c.otherVMs())
	})
}

// changesRouting reports whether a new state changes more than the load, which
// path choice reads from route.Load. Only then is the view made anew.
func changesRouting(old, state upstream.EngineState) bool {
	old.Running, old.Waiting, old.ReportedAt = state.Running, state.Waiting, state.ReportedAt
	return !reflect.DeepEqual(old, state)
}

// listed books the platform's VM list.
func (c *control) listed(entries []infra.VMEntry) {
	c.post(func(time.Time) {
		leaving := map[string]bool{}
		for _, e := range entries {
			leaving[e.Address] = e.Leaving
		}
		for _, condition := range c.conditions {
			if state, ok := leaving[condition.address]; ok {
				condition.listedLeaving = state
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

// vmIDs returns the entry VMs known here, this one included.
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

// configure applies a new directory: upstreams that come and go, and limits.
func (c *control) configure(d *directory) {
	c.post(func(now time.Time) {
		for id, condition := range c.conditions {
			view, ok := d.upstreams[id]
			if !ok || view.Upstream.Address != condition.address {
				condition.stop()
				delete(c.conditions, id)
			}
		}
		for id, view := range d.upstreams {
			if condition, ok := c.conditions[id]; ok {
				condition.view = view
				continue
			}
			c.conditions[id] = c.server.newCondition(id, view)
		}
		c.detector.SetConfig(outlierConfig(d.local))
		c.placer.configure(now, d)
		c.dirty = true
		c.publish(now)
	})
}

// setCapacities tells admission this VM's share of each model's pipelines.
func (c *control) setCapacities(now time.Time) {
	fraction := c.share(now)
	d := c.server.directory()
	for _, id := range d.models {
		view, _ := d.model(id)
		slots := c.modelSlots(id, int(view.Model.Layers))
		c.server.gate.setCapacity(admission.Capacity{Model: id, Slots: int(math.Ceil(slots * fraction))})
	}
}

// share returns this VM's part of the slots by the demands that the VMs of its
// domain tell each other; VMs of other domains count evenly.
func (c *control) share(now time.Time) float64 {
	view := c.view.Load().members
	live := []fleet.VMID{c.server.cfg.VM}
	c.shares.Heard(now, c.server.cfg.VM, c.server.gate.demand())
	for _, m := range view.Members {
		live = append(live, m.ID)
		if m.Version != c.heard[m.ID] {
			c.heard[m.ID] = m.Version
			c.shares.Heard(now, m.ID, decodeDemand(m.Load))
		}
	}
	c.shares.Forget(live)
	domain := float64(len(live)) / float64(c.otherVMs()+1)
	return domain * c.shares.Fraction(now, live)
}

// modelSlots returns how many generations keep the layer that fewest usable
// engines hold busy. A generation uses a stage for a part of the time only, so an
// engine that holds a quarter of the layers needs four for each batch slot.
func (c *control) modelSlots(id fleet.ModelID, layers int) float64 {
	perLayer := make([]float64, layers)
	for _, condition := range c.conditions {
		a := condition.state.Assignment
		if !condition.usable() || a.Model != id || a.Layers.End > layers || c.detector.Ejected(condition.id) {
			continue
		}
		for l := a.Layers.First; l < a.Layers.End; l++ {
			perLayer[l] += float64(condition.slots()) * float64(layers) / float64(a.Layers.Len())
		}
	}
	if layers == 0 {
		return 0
	}
	return slices.Min(perLayer)
}
