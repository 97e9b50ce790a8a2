package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// TickInterval is how often Owner expects a Tick.
const TickInterval = 250 * time.Millisecond

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Self fleet.VMID
	// Resource is the name of the lease.
	Resource string
	// NewID returns identities of lease records.
	NewID func() record.ID
	// LeasePeriod is how long a lease record counts. All VMs must use the same
	// one: a VM with a shorter one would take over while the holder still acts.
	// That is why it is no setting, which VMs read at different times.
	LeasePeriod time.Duration
	// TakeoverDelay is how much longer than LeasePeriod this VM waits before it
	// takes a free lease. It differs between VMs, so that one append suffices.
	TakeoverDelay time.Duration
	// ReadBack is the interval between state reads of an engine.
	ReadBack time.Duration
	// ReportLag is how long a report may lag behind an order's answer.
	ReportLag time.Duration
	// LossConfirm is how long an engine must fail before its ranges are re-placed.
	LossConfirm time.Duration
	// HoldDown is how long an engine that came back a second time is left alone;
	// it doubles with each further loss up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	// StoreLead is how much work may wait at the weight store, in time at its rate.
	StoreLead time.Duration
	// KeepShare is the share of what a model serves at the start of a change that
	// stays, unless the change cannot go on otherwise.
	KeepShare float64
	// OrderTimeout is how long an order's call may last.
	OrderTimeout time.Duration
}

// DefaultOwnerConfig returns the configuration of a VM with default settings.
func DefaultOwnerConfig(self fleet.VMID) OwnerConfig {
	return OwnerConfig{
		Self: self, Resource: "placement", NewID: record.NewID,
		LeasePeriod: 10 * time.Second, ReadBack: 2 * time.Second, ReportLag: time.Second,
		LossConfirm: 2 * time.Second, HoldDown: 30 * time.Second, MaxHoldDown: 15 * time.Minute,
		StoreLead: time.Second, KeepShare: 0.75, OrderTimeout: 2 * time.Second,
	}
}

// Owner is the state machine of the VM that gives orders to engines. Every VM
// runs one; the lease decides which of them acts. Invariants: an order is
// given only within the own lease; an engine is taken off its range only when
// what it serves stays complete without it; orders start no faster than the
// weight store delivers.
type Owner struct {
	config  OwnerConfig
	tenure  tenure
	input   Input
	models  map[fleet.ModelID]Model
	engines map[fleet.UpstreamID]*engineView
	order   []fleet.UpstreamID // of engines, as in the input

	plan         Plan
	base         map[fleet.ModelID]float64 // served when the plan was adopted
	planned      bool
	dirty        bool
	planInFlight bool
	generation   int

	storeRate   float64
	storeFreeAt time.Time
	rateAskedAt time.Time
	blocked     bool
	detour      map[fleet.UpstreamID]bool // engines that a plan must leave as they are
	detours     int
	leaving     bool
	actions     []Action
	counters    Counters
}

// Counters count what Owner did.
type Counters struct {
	Orders, Reissues, Plans, Refused int
	// LoadedBytes is the sum of the loads that orders asked for.
	LoadedBytes float64
}

// NewOwner returns an Owner that does not hold the lease. It needs the last
// valid lease record of the resource as LeaseRead once the log has been read,
// the settings as InputChanged, and a Tick every TickInterval. Without the
// lease record it takes the lease for free and its own records stay void.
func NewOwner(config OwnerConfig, now time.Time) *Owner {
	return &Owner{
		config:  config,
		tenure:  tenure{lastSeen: now, pending: map[record.ID]time.Time{}, sentAt: now.Add(-config.LeasePeriod)},
		models:  map[fleet.ModelID]Model{},
		engines: map[fleet.UpstreamID]*engineView{},
	}
}

// Holding reports whether the lease is held at a time.
func (o *Owner) Holding(now time.Time) bool { return o.tenure.held(now) }

// Epoch returns the last epoch read from the log.
func (o *Owner) Epoch() uint64 { return o.tenure.epoch }

// Counters returns the counts since the start.
func (o *Owner) Counters() Counters { return o.counters }

// Plan returns the plan in force of the present tenure.
func (o *Owner) Plan() Plan { return o.plan }

// Leave stops the Owner from renewing or taking the lease, for a planned stop.
func (o *Owner) Leave() { o.leaving = true }

// SetReadBack replaces the interval between state reads of an engine. A failing
// engine is read four times as often; that must be within LossConfirm, so that
// one failed read alone loses no engine.
func (o *Owner) SetReadBack(d time.Duration) { o.config.ReadBack = d }

// Handle applies an event and returns what is to be done.
func (o *Owner) Handle(now time.Time, e Event) []Action {
	o.actions = nil
	switch e := e.(type) {
	case LeaseRead:
		o.readLease(now, e)
	case InputChanged:
		o.changeInput(now, e.Input)
	case StateRead:
		o.readState(now, e)
	case StateFailed:
		o.stateFailed(now, e.Upstream)
	case OrderAnswered:
		o.orderAnswered(now, e)
	case RateRead:
		o.storeRate = e.BytesPerSecond
	case PlanReady:
		o.planReady(now, e)
	case Tick:
		o.tick(now)
	}
	return o.actions
}

func (o *Owner) act(a Action) { o.actions = append(o.actions, a) }

func (o *Owner) note(id event.ID, u fleet.UpstreamID, text string) {
	o.act(Note{Event: id, Upstream: u, Epoch: o.tenure.epoch, Text: text})
}

// changeInput takes new settings. Engines that are named no longer are forgotten.
func (o *Owner) changeInput(now time.Time, in Input) {
	o.input = in
	clear(o.models)
	for _, m := range in.Models {
		o.models[m.ID] = m
	}
	old := o.engines
	o.engines = make(map[fleet.UpstreamID]*engineView, len(in.Engines))
	o.order = o.order[:0]
	for _, e := range in.Engines {
		v := old[e.ID]
		if v == nil {
			v = &engineView{failingSince: now}
		}
		v.engine = e
		o.engines[e.ID] = v
		o.order = append(o.order, e.ID)
	}
	o.markDirty()
}

// markDirty asks for a new plan because something outside changed.
func (o *Owner) markDirty() {
	o.dirty = true
	o.detour, o.detours = nil, 0
}

// tick does what is due.
func (o *Owner) tick(now time.Time) {
	if o.tenure.holding && o.leaving {
		o.tenure.holding = false
	}
	o.tickLease(now)
	if !o.tenure.held(now) {
		return
	}
	o.tickReads(now)
	o.tickHealth(now)
	o.tickPlan(now)
	o.reissue(now)
	o.startLoads(now)
}

// tickReads asks for states and for the weight store's rate.
func (o *Owner) tickReads(now time.Time) {
	for _, id := range o.order {
		v := o.engines[id]
		interval := o.config.ReadBack
		if v.busy() {
			interval /= 4
		}
		if now.Sub(v.askedAt) >= interval {
			v.askedAt = now
			o.act(ReadState{id})
		}
	}
	if now.Sub(o.rateAskedAt) >= rateInterval {
		o.rateAskedAt = now
		o.act(ReadRate{})
	}
}

// rateInterval is how often the weight store's rate is read.
const rateInterval = 5 * time.Second

// tickPlan asks for a plan when something changed and every engine has
// reported or failed in this tenure.
func (o *Owner) tickPlan(now time.Time) {
	if !o.dirty || o.planInFlight || len(o.input.Models) == 0 {
		return
	}
	for _, v := range o.engines {
		if !v.heard && !v.lost {
			return
		}
	}
	o.dirty = false
	o.planInFlight = true
	o.generation++
	in := o.input
	in.Engines = slices.Clone(in.Engines)
	for i := range in.Engines {
		v := o.engines[in.Engines[i].ID]
		in.Engines[i].Unavailable = !v.usable(now) || o.detour[in.Engines[i].ID]
		in.Engines[i].Current = v.intended
	}
	o.act(ComputePlan{o.generation, in})
}

// planReady adopts a plan, unless a newer tenure began.
func (o *Owner) planReady(now time.Time, e PlanReady) {
	if e.Generation != o.generation || !o.planInFlight {
		return
	}
	o.planInFlight = false
	if len(o.detour) > 0 && e.Plan.Scale <= 0 {
		o.detour = nil // the others cannot form a chain; only an operator can help
		return
	}
	o.plan = e.Plan
	o.planned = true
	o.base = map[fleet.ModelID]float64{}
	for _, m := range o.input.Models {
		o.base[m.ID], _ = o.serving(m, "", false)
	}
	o.blocked = false
	o.counters.Plans++
	for id, v := range o.engines {
		if w, ok := e.Plan.Wanted[id]; ok && v.usable(now) && !o.detour[id] {
			v.wanted = w
		} else {
			v.wanted = v.intended
		}
	}
	o.note(event.PlacementPlanned, "", "")
}

// reissue repeats orders where the report differs from what the engine was
// last told, and raises the fence of engines that only know an earlier owner.
func (o *Owner) reissue(now time.Time) {
	if !o.planned {
		return
	}
	for _, id := range o.order {
		v := o.engines[id]
		if !o.mayOrder(now, v) || now.Sub(v.orderedAt) < o.config.ReadBack {
			continue
		}
		differs := v.differs(o.config.ReportLag)
		stale := v.engine.Fencing != FencingIgnored && !v.fenced
		if !differs && !stale {
			continue
		}
		if differs {
			o.counters.Reissues++
			o.note(event.PlacementReissued, id, "report differs from order")
		}
		o.send(now, id, v, v.intended)
	}
}

// mayOrder reports whether an order may be sent to an engine now.
func (o *Owner) mayOrder(now time.Time, v *engineView) bool {
	if v.inFlight || !v.healthy() || !o.tenure.held(now) {
		return false
	}
	return v.engine.Fencing != FencingIgnored || !now.Before(o.tenure.openAt)
}

// send gives an order; the engine's intended assignment is its content.
func (o *Owner) send(now time.Time, id fleet.UpstreamID, v *engineView, a upstream.Assignment) {
	a.Role = normalRole(a.Role)
	v.intended = a
	v.inFlight = true
	v.fenced = true
	v.orderedAt = now
	v.askedAt = now
	v.reported = false
	o.counters.Orders++
	o.act(SendOrder{id, upstream.Order{Epoch: o.tenure.epoch, Wanted: a}, o.tenure.end})
}

func (o *Owner) orderAnswered(now time.Time, e OrderAnswered) {
	v := o.engines[e.Upstream]
	if v == nil || !v.inFlight || !equal(v.intended, e.Order.Wanted) {
		return
	}
	v.inFlight = false
	v.answeredAt = now
	if e.Err != nil {
		o.counters.Refused++
		o.note(event.PlacementOrderFailed, e.Upstream, e.Err.Error())
	}
}

// byNeed sorts engines for startLoads.
func byNeed(a, b loadChoice) int {
	if c := cmp.Compare(b.need, a.need); c != 0 {
		return c
	}
	return cmp.Compare(a.position, b.position)
}
