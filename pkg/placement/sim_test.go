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

// simStep is the resolution of virtual time.
const simStep = 50 * time.Millisecond

var errSim = errors.New("lost")

// sim runs owners against engines, a log and a weight store in virtual time.
type sim struct {
	now     time.Time
	start   time.Time
	in      Input
	engines map[fleet.UpstreamID]*simEngine
	vms     []*simVM
	due     []simCall
	seq     int
	epoch   uint64
	lease   LeaseRead
	logDown bool
	rate    float64
	nextID  byte
	replan  func(Input) Plan
	// orderFault and delayOrder inject faults into orders.
	orderFault func() fault
	delayOrder func(vm int) time.Duration
	ordered    float64 // bytes of loads that engines accepted
	biggest    float64 // largest of these loads
	takenDown  []string
	refused    int
}

type fault int

const (
	noFault fault = iota
	orderLost
	answerLost
)

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
	hw          Engine
	held        upstream.Assignment
	remaining   float64
	epoch       uint64
	down        bool
	incarnation int
	loads       int
	past        []upstream.EngineState
}

func newSim(in Input, vms int, rate float64) *sim {
	s := &sim{in: in, rate: rate, engines: map[fleet.UpstreamID]*simEngine{}, replan: NewPlanner().Replan}
	s.start = time.Unix(1e9, 0)
	s.now = s.start
	s.orderFault = func() fault { return noFault }
	s.delayOrder = func(int) time.Duration { return 0 }
	for _, e := range in.Engines {
		s.engines[e.ID] = &simEngine{hw: e, held: e.Current}
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

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	s.due = append(s.due, simCall{s.now.Add(d), s.seq, run})
}

// deliver hands an event to a VM; a paused one gets it when it wakes.
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

func (s *sim) wake(vm int) {
	v := s.vms[vm]
	v.paused = false
	inbox := v.inbox
	v.inbox = nil
	for _, e := range inbox {
		s.deliver(vm, e)
	}
}

// answer delivers to the process that asked, unless it was replaced meanwhile.
func (s *sim) answer(vm int, d time.Duration, e func() Event) {
	asker := s.vms[vm].owner
	s.after(d, func() {
		if s.vms[vm].owner == asker {
			s.deliver(vm, e())
		}
	})
}

func (s *sim) perform(vm int, a Action) {
	switch a := a.(type) {
	case AppendLease:
		s.after(20*time.Millisecond, func() { s.append(a.Record) })
	case SendOrder:
		late := s.delayOrder(vm)
		var err error
		s.after(late+5*time.Millisecond, func() { err = s.order(a) })
		s.answer(vm, late+10*time.Millisecond, func() Event { return OrderAnswered{a.Upstream, a.Order, err} })
	case ReadState:
		s.state(vm, a.Upstream)
	case ReadRate:
		s.deliver(vm, RateRead{s.rate})
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
	s.lease = e
	for vm := range s.vms {
		s.after(30*time.Millisecond, func() { s.deliver(vm, e) })
	}
}

func (s *sim) order(a SendOrder) error {
	e := s.engines[a.Upstream]
	f := s.orderFault()
	if e.down || f == orderLost {
		return errSim
	}
	if e.hw.Fencing != FencingIgnored && a.Order.Epoch < e.epoch {
		s.refused++
		return errSim
	}
	s.accept(e, a.Order)
	if f == answerLost {
		return errSim
	}
	return nil
}

func (s *sim) accept(e *simEngine, o upstream.Order) {
	e.epoch = max(e.epoch, o.Epoch)
	if equal(e.held, o.Wanted) {
		return
	}
	served := s.served()
	bytes := loadBytes(s.in.Models[0], e.held, o.Wanted)
	same := sameWeights(e.held, o.Wanted)
	e.held = o.Wanted
	if same {
		return
	}
	s.ordered += bytes
	s.biggest = max(s.biggest, bytes)
	e.remaining = bytes
	e.loads++
	if served > 0 && s.served() == 0 {
		s.takenDown = append(s.takenDown, string(e.hw.ID))
	}
}

// state answers after 5 ms with what the engine holds now, or fails after 300 ms.
func (s *sim) state(vm int, id fleet.UpstreamID) {
	e := s.engines[id]
	if e.down {
		s.answer(vm, 300*time.Millisecond, func() Event { return StateFailed{id} })
		return
	}
	st := StateRead{AskedAt: s.now, State: e.report()}
	if len(e.past) == reportLagSteps {
		st.State = e.past[0]
	}
	s.answer(vm, 5*time.Millisecond, func() Event { return st })
}

// reportLagSteps is how far an engine's report lags behind.
const reportLagSteps = int(500 * time.Millisecond / simStep)

func (e *simEngine) report() upstream.EngineState {
	return upstream.EngineState{
		Upstream: e.hw.ID, Assignment: e.held, Loading: e.remaining > 0, Epoch: e.epoch, Incarnation: fmt.Sprint(e.incarnation),
	}
}

// fail takes an engine away; back returns it, empty or with what it held.
func (s *sim) fail(id fleet.UpstreamID) { s.engines[id].down = true }

func (s *sim) back(id fleet.UpstreamID, empty bool) {
	e := s.engines[id]
	e.down = false
	if empty {
		e.incarnation++
		e.held, e.remaining, e.epoch = upstream.Assignment{}, 0, 0
		e.past = nil
	}
}

// served returns the throughput of the first model over the best version.
func (s *sim) served() float64 {
	best := 0.0
	m := s.in.Models[0]
	held := map[string][]upstream.Assignment{}
	hw := map[string][]Engine{}
	for _, e := range s.in.Engines {
		v := s.engines[e.ID]
		if !v.down && v.remaining <= 0 && v.held.Role == upstream.RoleServe && v.held.Model == m.ID {
			held[v.held.Version] = append(held[v.held.Version], v.held)
			hw[v.held.Version] = append(hw[v.held.Version], v.hw)
		}
	}
	for version := range held {
		best = max(best, heldThroughput(Input{Engines: hw[version], Links: s.in.Links}, m, held[version]))
	}
	return best
}

// step advances virtual time and the store, which shares its rate equally.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, e := range s.engines {
		if e.past = append(e.past, e.report()); len(e.past) > reportLagSteps {
			e.past = e.past[1:]
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
		slices.SortFunc(s.due, func(a, b simCall) int {
			if c := a.at.Compare(b.at); c != 0 {
				return c
			}
			return a.seq - b.seq
		})
		if len(s.due) == 0 || s.due[0].at.After(s.now) {
			break
		}
		c := s.due[0]
		s.due = s.due[1:]
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

// run advances until a condition holds, and reports whether it did within the limit.
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

// owner returns the VM that holds the lease, -1 when none does.
func (s *sim) owner() int {
	for i, v := range s.vms {
		if !v.paused && v.owner.Holding(s.now) {
			return i
		}
	}
	return -1
}

// change delivers new settings to all VMs.
func (s *sim) change(edit func(*Input)) {
	s.in.Engines, s.in.Models = slices.Clone(s.in.Engines), slices.Clone(s.in.Models)
	edit(&s.in)
	for vm := range s.vms {
		s.deliver(vm, InputChanged{s.in})
	}
}

// settled reports whether all engines that are up serve the owner's plan.
func (s *sim) settled() bool {
	o := s.owner()
	if o < 0 || len(s.vms[o].owner.detour) > 0 || !s.vms[o].owner.planned || s.vms[o].owner.dirty || s.vms[o].owner.planInFlight {
		return false
	}
	for id, e := range s.engines {
		if !e.down && (e.remaining > 0 || !equal(e.held, s.vms[o].owner.engines[id].wanted)) {
			return false
		}
	}
	return true
}
