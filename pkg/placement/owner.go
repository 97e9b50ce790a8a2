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

// TickInterval is the interval at which Owner expects Tick events.
const TickInterval = 250 * time.Millisecond

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Self fleet.VMID
	// Resource is the name of the lease.
	Resource string
	// NewID returns a new ID for a lease record.
	NewID func() record.ID
	// LeasePeriod is how long a lease record is valid. All VMs must use the same
	// value: a VM with a shorter period would take over while the holder still
	// acts. It is not an operator setting because VMs apply settings at different
	// times.
	LeasePeriod time.Duration
	// TakeoverDelay is how long this VM waits, beyond LeasePeriod, before it claims
	// a free lease. It differs between VMs, so that usually only one of them
	// appends a record.
	TakeoverDelay time.Duration
	// ReadBack is the interval between state reads of an engine.
	ReadBack time.Duration
	// ReportLag is how long after an order's answer an engine's report may still
	// show the state before the order.
	ReportLag time.Duration
	// LossConfirm is how long an engine must fail to report before it counts as
	// lost and its ranges are placed on other engines.
	LossConfirm time.Duration
	// HoldDown is how long an engine stays out of plans when it recovers from its
	// second loss. The time doubles with each further loss up to MaxHoldDown.
	HoldDown, MaxHoldDown time.Duration
	// MaxStoreBacklog is the backlog of loads at the weight store, as time at the
	// store's rate, above which no further load is ordered.
	MaxStoreBacklog time.Duration
	// MinServedShare is the share of a model's throughput at the start of a change
	// that must remain during the change. It is ignored when the change cannot
	// proceed otherwise.
	MinServedShare float64
	// OrderTimeout limits the call that sends an order. After twice this time the
	// call counts as answered.
	OrderTimeout time.Duration
}

// DefaultOwnerConfig returns the default configuration of a VM.
func DefaultOwnerConfig(self fleet.VMID) OwnerConfig {
	return OwnerConfig{
		Self: self, Resource: "placement", NewID: record.NewID,
		LeasePeriod: 10 * time.Second, ReadBack: 2 * time.Second, ReportLag: time.Second,
		LossConfirm: 2 * time.Second, HoldDown: 30 * time.Second, MaxHoldDown: 15 * time.Minute,
		MaxStoreBacklog: time.Second, MinServedShare: 0.75, OrderTimeout: 2 * time.Second,
	}
}

// Owner is the state machine that issues orders to engines. Every VM runs one;
// the lease decides which of them acts. Its invariants are:
//   - It issues orders only while it holds the lease.
//   - It reassigns an engine only if a complete chain of the model remains.
//   - It starts loads no faster than the weight store delivers them.
type Owner struct {
	config     OwnerConfig
	leaseState leaseState
	input      Input
	models     map[fleet.ModelID]Model
	engines    map[fleet.UpstreamID]*engineView
	engineIDs  []fleet.UpstreamID // in the sequence of the input

	plan         Plan
	baseline     map[fleet.ModelID]float64 // throughput when the plan was adopted
	planned      bool                      // a plan was adopted in this term
	dirty        bool                      // a new plan is needed
	planInFlight bool
	generation   int // number of the last plan request

	storeRate       float64
	storeFreeAt     time.Time
	rateRequestedAt time.Time
	blocked         bool                      // unblock found no engine that may be reassigned
	pinned          map[fleet.UpstreamID]bool // engines that keep what they hold; see unblock
	pinnedPlans     int                       // plans with pinned engines since the last complete one
	resigned        bool
	actions         []Action
	counters        Counters
}

// Counters counts Owner's orders, repeated orders, adopted plans and failed orders.
type Counters struct {
	Orders, Reissues, Plans, FailedOrders int
	// LoadedBytes is the total size of the loads that orders caused.
	LoadedBytes float64
}

// NewOwner returns an Owner that does not hold the lease. It needs the settings
// as InputChanged, a Tick every TickInterval, and the last valid lease record of
// the resource as LeaseRead once the log has been read. Without that record it
// would treat the lease as free, and the records that it appends would be void.
func NewOwner(config OwnerConfig, now time.Time) *Owner {
	return &Owner{
		config:     config,
		leaseState: leaseState{lastRecordAt: now, pending: map[record.ID]time.Time{}, lastAppendAt: now.Add(-config.LeasePeriod)},
		models:     map[fleet.ModelID]Model{},
		engines:    map[fleet.UpstreamID]*engineView{},
	}
}

// HoldsLease reports whether this VM holds the lease at a time.
func (o *Owner) HoldsLease(now time.Time) bool { return o.leaseState.validAt(now) }

// Epoch returns the last epoch read from the log.
func (o *Owner) Epoch() uint64 { return o.leaseState.epoch }

// Counters returns the counts since the start.
func (o *Owner) Counters() Counters { return o.counters }

// Plan returns the plan that was adopted last.
func (o *Owner) Plan() Plan { return o.plan }

// Resign ends the lease at the next Tick and keeps Owner from claiming it again.
// It is called before a planned stop.
func (o *Owner) Resign() { o.resigned = true }

// SetReadBack sets the interval between state reads of an engine. Failing
// engines are read four times as often. A quarter of the interval must be
// shorter than LossConfirm, so that a single failed read is not taken for the
// loss of the engine.
func (o *Owner) SetReadBack(d time.Duration) { o.config.ReadBack = d }

// Handle applies an event and returns the actions to perform.
func (o *Owner) Handle(now time.Time, e Event) []Action {
	o.actions = nil
	switch e := e.(type) {
	case LeaseRead:
		o.onLeaseRead(now, e)
	case InputChanged:
		o.onInputChanged(now, e.Input)
	case StateRead:
		o.onStateRead(now, e)
	case StateFailed:
		o.onStateFailed(now, e.Upstream)
	case OrderAnswered:
		o.onOrderAnswered(now, e)
	case StoreRateRead:
		o.storeRate = e.BytesPerSecond
	case PlanReady:
		o.onPlanReady(now, e)
	case Tick:
		o.tick(now)
	}
	return o.actions
}

func (o *Owner) emit(a Action) { o.actions = append(o.actions, a) }

func (o *Owner) logEvent(id event.ID, u fleet.UpstreamID, text string) {
	o.emit(LogEvent{Event: id, Upstream: u, Epoch: o.leaseState.epoch, Reason: text})
}

// onInputChanged applies new settings. It drops the state of engines that they
// no longer contain.
func (o *Owner) onInputChanged(now time.Time, in Input) {
	o.input = in
	clear(o.models)
	for _, m := range in.Models {
		o.models[m.ID] = m
	}
	old := o.engines
	o.engines = make(map[fleet.UpstreamID]*engineView, len(in.Engines))
	o.engineIDs = o.engineIDs[:0]
	for _, e := range in.Engines {
		v := old[e.ID]
		if v == nil {
			v = &engineView{failingSince: now}
		}
		v.engine = e
		o.engines[e.ID] = v
		o.engineIDs = append(o.engineIDs, e.ID)
	}
	o.markDirty()
}

// markDirty requests a new plan after a change in the input or in the engines'
// state, and releases pinned engines.
func (o *Owner) markDirty() {
	o.dirty = true
	o.pinned, o.pinnedPlans = nil, 0
}

// tick does all periodic work.
func (o *Owner) tick(now time.Time) {
	if o.leaseState.holding && o.resigned {
		o.leaseState.holding = false
	}
	o.tickLease(now)
	if !o.leaseState.validAt(now) {
		return
	}
	o.tickReads(now)
	o.tickHealth(now)
	o.tickPlan(now)
	o.reissue(now)
	o.startLoads(now)
}

// tickReads requests the engines' states and the weight store's rate when they
// are due.
func (o *Owner) tickReads(now time.Time) {
	for _, id := range o.engineIDs {
		v := o.engines[id]
		interval := o.config.ReadBack
		if v.needsFrequentReads() {
			interval /= 4
		}
		if now.Sub(v.requestedAt) >= interval {
			v.requestedAt = now
			o.emit(ReadState{id})
		}
	}
	if now.Sub(o.rateRequestedAt) >= rateReadInterval {
		o.rateRequestedAt = now
		o.emit(ReadStoreRate{})
	}
}

// rateReadInterval is the interval at which the weight store's rate is read.
const rateReadInterval = 5 * time.Second

// tickPlan requests a plan if one is needed, once every engine has reported in
// this term or is lost.
func (o *Owner) tickPlan(now time.Time) {
	if !o.dirty || o.planInFlight || len(o.input.Models) == 0 {
		return
	}
	for _, v := range o.engines {
		if !v.reportedInTerm && !v.lost {
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
		in.Engines[i].Unavailable = !v.usable(now) || o.pinned[in.Engines[i].ID]
		in.Engines[i].Current = v.intended
	}
	o.emit(ComputePlan{o.generation, in})
}

// onPlanReady adopts a plan unless it was requested in an earlier term.
func (o *Owner) onPlanReady(now time.Time, e PlanReady) {
	if e.Generation != o.generation || !o.planInFlight {
		return
	}
	o.planInFlight = false
	if len(o.pinned) > 0 && e.Plan.Scale <= 0 {
		// The engines that are not pinned cannot form a chain. Owner cannot resolve
		// this; an operator must.
		o.pinned = nil
		return
	}
	o.plan = e.Plan
	o.planned = true
	o.baseline = map[fleet.ModelID]float64{}
	for _, m := range o.input.Models {
		o.baseline[m.ID], _ = o.servedThroughput(m, "", false)
	}
	o.blocked = false
	o.counters.Plans++
	for id, v := range o.engines {
		if w, ok := e.Plan.Wanted[id]; ok && v.usable(now) && !o.pinned[id] {
			v.wanted = w
		} else {
			v.wanted = v.intended
		}
	}
	o.logEvent(event.PlacementPlanned, "", "")
}

// reissue repeats the last order to engines whose reports contradict it. It also
// orders engines that have no order of this term yet to keep what they hold, so
// that they learn the new fencing token and refuse orders of earlier owners.
func (o *Owner) reissue(now time.Time) {
	if !o.planned {
		return
	}
	for _, id := range o.engineIDs {
		v := o.engines[id]
		if !o.mayOrder(now, v) || now.Sub(v.orderedAt) < o.config.ReadBack {
			continue
		}
		contradicts := v.contradictsOrder(o.config.ReportLag)
		stale := v.engine.Fencing != FencingIgnored && !v.fencedInTerm
		if !contradicts && !stale {
			continue
		}
		if contradicts {
			o.counters.Reissues++
			o.logEvent(event.PlacementReissued, id, "report differs from order")
		}
		o.issueOrder(now, id, v, v.intended)
	}
}

// mayOrder reports whether an order may be sent to an engine now. Engines that
// ignore fencing get none before unfencedFrom.
func (o *Owner) mayOrder(now time.Time, v *engineView) bool {
	if v.inFlight || !v.healthy() || !o.leaseState.validAt(now) {
		return false
	}
	return v.engine.Fencing != FencingIgnored || !now.Before(o.leaseState.unfencedFrom)
}

// issueOrder sends an assignment to an engine and makes it the intended one.
func (o *Owner) issueOrder(now time.Time, id fleet.UpstreamID, v *engineView, a upstream.Assignment) {
	a.Role = normalRole(a.Role)
	v.intended = a
	v.inFlight = true
	v.fencedInTerm = true
	v.orderedAt = now
	v.requestedAt = now
	v.reportedSinceOrder = false
	o.counters.Orders++
	o.emit(SendOrder{id, upstream.Order{Epoch: o.leaseState.epoch, Wanted: a}, o.leaseState.expiresAt})
}

func (o *Owner) onOrderAnswered(now time.Time, e OrderAnswered) {
	v := o.engines[e.Upstream]
	if v == nil || !v.inFlight || !sameAssignment(v.intended, e.Order.Wanted) {
		return
	}
	v.inFlight = false
	v.answeredAt = now
	if e.Err != nil {
		o.counters.FailedOrders++
		o.logEvent(event.PlacementOrderFailed, e.Upstream, e.Err.Error())
	}
}

// byPriority compares load candidates by falling priority, then by position.
func byPriority(a, b loadCandidate) int {
	if c := cmp.Compare(b.priority, a.priority); c != 0 {
		return c
	}
	return cmp.Compare(a.position, b.position)
}
