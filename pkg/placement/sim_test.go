package placement

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// simStep is the step of virtual time.
const simStep = 50 * time.Millisecond

var errSim = errors.New("simulated failure")

// sim runs owners against simulated engines, a log and a weight store in virtual time.
type sim struct {
	now       time.Time
	start     time.Time
	in        Input
	engines   map[fleet.UpstreamID]*simEngine
	vms       []*simVM
	scheduled []simCall
	seq       int
	epoch     uint64
	lastLease LeaseRead
	logDown   bool
	rate      float64
	nextID    byte
	replan    func(Input) Plan
	// orderFault and delayOrder inject faults into orders.
	orderFault   func() fault
	delayOrder   func(vm int) time.Duration
	orderedBytes float64  // total of the loads that engines accepted
	largestLoad  float64  // largest of these loads in bytes
	outageCauses []string // engines whose change left no complete chain
	refused      int      // orders refused for a stale epoch
}

type fault int

const (
	noFault fault = iota
	orderLost
	answerLost
)

// simCall is a call that is scheduled for a point in virtual time.
type simCall struct {
	at  time.Time
	seq int
	run func()
}

type simVM struct {
	owner  *Owner
	paused bool
	inbox  []Event
}

type simEngine struct {
	hardware    Engine
	held        upstream.Assignment
	remaining   float64 // bytes to load
	epoch       uint64
	down        bool
	incarnation int
	loads       int
	pastReports []upstream.EngineState // reports of the last reportLagSteps steps, oldest first
}

func newSim(in Input, vms int, rate float64) *sim {
	s := &sim{in: in, rate: rate, engines: map[fleet.UpstreamID]*simEngine{}, replan: NewPlanner().Replan}
	s.start = time.Unix(1e9, 0)
	s.now = s.start
	s.orderFault = func() fault { return noFault }
	s.delayOrder = func(int) time.Duration { return 0 }
	for _, e := range in.Engines {
		s.engines[e.ID] = &simEngine{hardware: e, held: e.Current}
	}
	for range vms {
		s.addVM()
	}
	return s
}

func (s *sim) addVM() {
	n := len(s.vms)
	c := DefaultOwnerConfig(fleet.VMID(fmt.Sprintf("vm%d", n)))
	c.TakeoverDelay = time.Duration(n) * time.Second
	c.NewID = func() record.ID { s.nextID++; return record.ID{s.nextID, byte(n), byte(s.epoch)} }
	s.vms = append(s.vms, &simVM{owner: NewOwner(c, s.now)})
	s.deliver(n, InputChanged{s.in})
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	s.scheduled = append(s.scheduled, simCall{s.now.Add(d), s.seq, run})
}

// deliver passes an event to a VM's owner. A paused VM receives it when it resumes.
func (s *sim) deliver(vm int, e Event) {
	v := s.vms[vm]
	if v.paused {
		v.inbox = append(v.inbox, e)
		return
	}
	for _, a := range v.owner.Handle(s.now, e) {
		s.perform(vm, a)
	}
}

func (s *sim) resume(vm int) {
	v := s.vms[vm]
	v.paused = false
	inbox := v.inbox
	v.inbox = nil
	for _, e := range inbox {
		s.deliver(vm, e)
	}
}

// answer delivers an event after d, unless the VM's owner was replaced meanwhile.
func (s *sim) answer(vm int, d time.Duration, e func() Event) {
	asker := s.vms[vm].owner
	s.schedule(d, func() {
		if s.vms[vm].owner == asker {
			s.deliver(vm, e())
		}
	})
}

func (s *sim) perform(vm int, a Action) {
	switch a := a.(type) {
	case AppendLease:
		s.schedule(20*time.Millisecond, func() { s.append(a.Record) })
	case SendOrder:
		late := s.delayOrder(vm)
		var err error
		s.schedule(late+5*time.Millisecond, func() { err = s.deliverOrder(a) })
		s.answer(vm, late+10*time.Millisecond, func() Event { return OrderAnswered{a.Upstream, a.Order, err} })
	case ReadState:
		s.reportState(vm, a.Upstream)
	case ReadStoreRate:
		s.deliver(vm, StoreRateRead{s.rate})
	case ComputePlan:
		s.answer(vm, 300*time.Millisecond, func() Event { return PlanReady{a.Generation, s.replan(a.Input)} })
	}
}

func (s *sim) append(r record.Record) {
	if s.logDown || r.Lease.Base != s.epoch {
		return
	}
	s.epoch++
	e := LeaseRead{r.ID, r.Lease.Holder, s.epoch}
	s.lastLease = e
	for vm := range s.vms {
		s.schedule(30*time.Millisecond, func() { s.deliver(vm, e) })
	}
}

func (s *sim) deliverOrder(a SendOrder) error {
	e := s.engines[a.Upstream]
	f := s.orderFault()
	if e.down || f == orderLost {
		return errSim
	}
	if e.hardware.Fencing != FencingIgnored && a.Order.Epoch < e.epoch {
		s.refused++
		return errSim
	}
	s.accept(e, a.Order)
	if f == answerLost {
		return errSim
	}
	return nil
}

// accept applies an order. It records the load that the order causes, and
// whether it left the model without a complete chain.
func (s *sim) accept(e *simEngine, o upstream.Order) {
	e.epoch = max(e.epoch, o.Epoch)
	if sameAssignment(e.held, o.Wanted) {
		return
	}
	served := s.served()
	bytes := loadBytes(s.in.Models[0], e.held, o.Wanted)
	same := sameWeights(e.held, o.Wanted)
	e.held = o.Wanted
	if same {
		return
	}
	s.orderedBytes += bytes
	s.largestLoad = max(s.largestLoad, bytes)
	e.remaining = bytes
	e.loads++
	if served > 0 && s.served() == 0 {
		s.outageCauses = append(s.outageCauses, string(e.hardware.ID))
	}
}

// reportState answers a state read after 5 ms with a report that lags by
// reportLagSteps. If the engine is down, the read fails after 300 ms.
func (s *sim) reportState(vm int, id fleet.UpstreamID) {
	e := s.engines[id]
	if e.down {
		s.answer(vm, 300*time.Millisecond, func() Event { return StateFailed{id} })
		return
	}
	st := StateRead{RequestedAt: s.now, State: e.report()}
	if len(e.pastReports) == reportLagSteps {
		st.State = e.pastReports[0]
	}
	s.answer(vm, 5*time.Millisecond, func() Event { return st })
}

// reportLagSteps is the number of steps by which an engine's report lags.
const reportLagSteps = int(500 * time.Millisecond / simStep)

func (e *simEngine) report() upstream.EngineState {
	return upstream.EngineState{
		Upstream: e.hardware.ID, Assignment: e.held, Loading: e.remaining > 0, Epoch: e.epoch, Incarnation: fmt.Sprint(e.incarnation),
	}
}

// fail makes an engine unreachable.
func (s *sim) fail(id fleet.UpstreamID) { s.engines[id].down = true }

// restore makes a failed engine reachable again, either restarted and empty or
// with the assignment that it held.
func (s *sim) restore(id fleet.UpstreamID, empty bool) {
	e := s.engines[id]
	e.down = false
	if empty {
		e.incarnation++
		e.held, e.remaining, e.epoch = upstream.Assignment{}, 0, 0
		e.pastReports = nil
	}
}

// served returns the throughput of the first model in the version with the most.
func (s *sim) served() float64 {
	best := 0.0
	m := s.in.Models[0]
	held := map[string][]upstream.Assignment{}
	hardware := map[string][]Engine{}
	for _, e := range s.in.Engines {
		v := s.engines[e.ID]
		if !v.down && v.remaining <= 0 && v.held.Role == upstream.RoleServe && v.held.Model == m.ID {
			held[v.held.Version] = append(held[v.held.Version], v.held)
			hardware[v.held.Version] = append(hardware[v.held.Version], v.hardware)
		}
	}
	for version := range held {
		best = max(best, heldThroughput(Input{Engines: hardware[version], Links: s.in.Links}, m, held[version]))
	}
	return best
}

// step advances virtual time by simStep. The weight store divides its rate
// equally among the engines that load.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, e := range s.engines {
		if e.pastReports = append(e.pastReports, e.report()); len(e.pastReports) > reportLagSteps {
			e.pastReports = e.pastReports[1:]
		}
	}
	var loading []*simEngine
	for _, e := range s.engines {
		if e.remaining > 0 && !e.down {
			loading = append(loading, e)
		}
	}
	for _, e := range loading {
		e.remaining -= s.rate / float64(len(loading)) * simStep.Seconds()
	}
	for {
		slices.SortFunc(s.scheduled, func(a, b simCall) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			return a.seq - b.seq
		})
		if len(s.scheduled) == 0 || s.scheduled[0].at.After(s.now) {
			break
		}
		c := s.scheduled[0]
		s.scheduled = s.scheduled[1:]
		c.run()
	}
	if s.now.Sub(s.start)%TickInterval == 0 {
		for vm, v := range s.vms {
			if !v.paused {
				s.deliver(vm, Tick{})
			}
		}
	}
}

// run advances virtual time until a condition holds, and reports whether it held
// within the limit. Without a condition it advances by the limit and returns true.
func (s *sim) run(limit time.Duration, until func() bool) bool {
	end := s.now.Add(limit)
	for s.now.Before(end) {
		s.step()
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

// owner returns the index of the VM that holds the lease and is not paused, or
// -1 if there is none.
func (s *sim) owner() int {
	for i, v := range s.vms {
		if !v.paused && v.owner.HoldsLease(s.now) {
			return i
		}
	}
	return -1
}

// updateInput edits the input and delivers it to all VMs.
func (s *sim) updateInput(edit func(*Input)) {
	s.in.Engines, s.in.Models = slices.Clone(s.in.Engines), slices.Clone(s.in.Models)
	edit(&s.in)
	for vm := range s.vms {
		s.deliver(vm, InputChanged{s.in})
	}
}

// settled reports whether all engines that are up have loaded the assignments
// that the owner wants, and no plan is pending.
func (s *sim) settled() bool {
	o := s.owner()
	if o < 0 || len(s.vms[o].owner.pinned) > 0 || !s.vms[o].owner.planned || s.vms[o].owner.dirty || s.vms[o].owner.planInFlight {
		return false
	}
	for id, e := range s.engines {
		if !e.down && (e.remaining > 0 || !sameAssignment(e.held, s.vms[o].owner.engines[id].wanted)) {
			return false
		}
	}
	return true
}
