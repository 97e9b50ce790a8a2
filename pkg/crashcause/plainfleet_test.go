package crashcause_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
)

// plainLoad says what a simulated fleet before a plain service is exposed to. Its servers show nothing
// of an answer before it is whole.
type plainLoad struct {
	vms, servers int
	// back is how long a server is gone after a crash; it then has a new incarnation.
	back time.Duration
	// comings is how often the crashing request comes, every so often, at one VM or at four at once.
	comings  int
	every    time.Duration
	together bool
	// attempts is the number of servers to which a VM may send one request. A caller repeats a failed
	// request retries times at other VMs, each time after retryAfter.
	attempts, retries int
	retryAfter        time.Duration
	// maxDelay bounds the delay of messages between VMs, and loss is the share that is lost.
	maxDelay time.Duration
	loss     float64
	// slow bounds the delay with which the first VM draws its conclusions.
	slow time.Duration
	// soundPerSecond is the rate of sound requests. One in popularEvery is the same request.
	soundPerSecond float64
	popularEvery   int
	// failures are ends of servers for another reason.
	failures []failure
	length   time.Duration
}

// plainOutcome is what callers and servers have seen.
type plainOutcome struct {
	// endedBy counts the servers that each coming of the crashing request ended.
	endedBy []int
	crashes []time.Duration
	// arrivals are those of the crashing request at servers, and trials those of them that a verdict
	// or a suspicion let through.
	arrivals, trials []time.Duration
	// broken counts the sound requests whose server ended, unserved those of them that were not
	// answered by their deadline although their route allows another attempt, and refused the sound
	// requests that were refused.
	sound, broken, unserved, refused int
}

// late counts the arrivals in a list that are later than the settle time after the third crash.
func (o *plainOutcome) late(arrivals []time.Duration) (late int) {
	for _, at := range arrivals {
		if len(o.crashes) >= 3 && at > o.crashes[2]+settleWindow {
			late++
		}
	}
	return late
}

// plainRequest is one attempt of a caller.
type plainRequest struct {
	vm       *simVM
	request  crashcause.Part
	coming   int // of the crashing request, -1 for a sound one
	deadline time.Duration
	ended    crashcause.Ended
	runs     int
	tried    []*simEngine
	onTrial  bool
	fails    func()
}

type plainSimulation struct {
	plainLoad
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	vms     []*simVM
	servers []*simEngine
	running map[*simEngine][]*plainRequest
	outcome plainOutcome
	// nextWake is when the first VM handles events next, or did last.
	nextWake time.Duration
}

const (
	plainBad      crashcause.Part = 7
	plainPopular  crashcause.Part = 8
	plainDeadline                 = 1500 * time.Millisecond
	plainWork                     = 100 * time.Millisecond
	reportResends                 = 3
)

func simulatePlain(l plainLoad, seed uint64) plainOutcome {
	s := &plainSimulation{plainLoad: l, random: rand.New(rand.NewPCG(seed, 2)), running: map[*simEngine][]*plainRequest{}}
	for i := range l.vms {
		s.vms = append(s.vms, newVM(i))
		s.vms[i].tracker.SetAlone(l.vms == 1)
		s.at(s.upTo(tick), func() { s.tick(s.vms[i]) })
	}
	for i := range l.servers {
		s.servers = append(s.servers, &simEngine{id: i, up: true})
	}
	if l.soundPerSecond > 0 {
		s.at(0, s.arriveSound)
	}
	s.outcome.endedBy = make([]int, l.comings)
	for n := range l.comings {
		vm := n
		if l.together {
			vm = n % 4
		}
		s.at(2*time.Second+l.every*time.Duration(n), func() { s.come(n, vm, 0) })
	}
	for _, f := range l.failures {
		for i := range f.engines {
			s.at(f.at+time.Duration(i)*f.apart, func() { s.end(s.servers[i]) })
		}
	}
	for len(s.events) > 0 && s.events[0].at <= l.length {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s.outcome
}

func (s *plainSimulation) at(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{d, s.seq, f})
}

func (s *plainSimulation) clock() time.Time { return epoch.Add(s.now) }

func (s *plainSimulation) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(d)))
}

// tick draws conclusions and exchanges state with another VM.
func (s *plainSimulation) tick(vm *simVM) {
	if len(vm.known) > 0 && s.now >= vm.knownDue {
		known := vm.known
		vm.known = nil
		s.broadcast(vm, func(to *simVM) {
			to.tracker.RecordKnownSound(known)
			to.known = slices.DeleteFunc(to.known, func(p crashcause.Part) bool { return slices.Contains(known, p) })
		})
	}
	if peer := s.vms[s.random.IntN(len(s.vms))]; peer != vm {
		for _, g := range peer.tracker.Groups() {
			vm.tracker.Adopt(g)
		}
	}
	s.conclude(vm)
	late := time.Duration(0)
	if vm.index == 0 {
		late = s.upTo(s.slow)
	}
	s.at(s.now+tick+late, func() { s.tick(vm) })
}

func (s *plainSimulation) conclude(vm *simVM) {
	if _, changed := vm.tracker.Update(s.clock()); changed {
		vm.filter = vm.tracker.Filter()
	}
}

// broadcast lets the sender handle a message, and the other VMs late or never.
func (s *plainSimulation) broadcast(from *simVM, handle func(to *simVM)) {
	for _, vm := range s.vms {
		if vm == from {
			handle(vm)
			s.conclude(vm)
		} else if s.random.Float64() >= s.loss {
			s.handle(vm, s.now+time.Millisecond+s.upTo(s.maxDelay), func() { handle(vm) })
		}
	}
}

// handle lets the control goroutine of a VM handle an event. That of the first VM may be late; it then
// handles all events that wait.
func (s *plainSimulation) handle(vm *simVM, at time.Duration, f func()) {
	if vm.index == 0 {
		if at > s.nextWake {
			s.nextWake = at + s.upTo(s.slow)
		}
		at = s.nextWake
	}
	s.at(at, func() { f(); s.conclude(vm) })
}

// report tells all VMs of a run that a server ended.
func (s *plainSimulation) report(r *plainRequest, server notice.Instance) {
	c := crashcause.Crash{Upstream: server, Runs: []crashcause.Run{{Starting: true, Request: r.request}}}
	receive := func(to *simVM) {
		if !to.tracker.RecordCrash(s.clock(), c) {
			return
		}
		if known := to.tracker.KnownSound(&c); len(known) > 0 {
			if len(to.known) == 0 {
				to.knownDue = s.now + s.upTo(100*time.Millisecond)
			}
			to.known = append(to.known, known...)
		}
	}
	for i := range 1 + reportResends {
		s.at(s.now+time.Duration(i)*tick, func() { s.handle(r.vm, s.now, func() { s.broadcast(r.vm, receive) }) })
	}
}

// come sends the crashing request to a VM, and after each failure to the next one.
func (s *plainSimulation) come(coming, vm, retry int) {
	r := &plainRequest{vm: s.vms[vm%len(s.vms)], request: plainBad, coming: coming, deadline: s.now + plainDeadline}
	r.fails = func() {
		if retry < s.retries {
			s.at(s.now+time.Millisecond+s.retryAfter, func() { s.come(coming, vm+1, retry+1) })
		}
	}
	s.send(r)
}

func (s *plainSimulation) arriveSound() {
	s.at(s.now+time.Duration(s.random.ExpFloat64()/s.soundPerSecond*float64(time.Second)), s.arriveSound)
	s.outcome.sound++
	r := &plainRequest{vm: s.vms[s.random.IntN(len(s.vms))], request: crashcause.Part(1000 + s.seq), coming: -1, deadline: s.now + plainDeadline}
	if s.popularEvery > 0 && s.outcome.sound%s.popularEvery == 0 {
		r.request = plainPopular
	}
	s.send(r)
}

// send does what a VM does with a request that has arrived.
func (s *plainSimulation) send(r *plainRequest) {
	parts := []crashcause.Part{r.request}
	if f := r.vm.filter; f != nil {
		if g, found := f.Match(parts); found {
			if g.Undecided(s.clock()) && s.now+tick < r.deadline {
				s.at(s.now+tick, func() { s.send(r) })
				return
			}
			rank := (r.vm.index + int(r.request)) % len(s.vms)
			if s.now-r.vm.trialAt < crashcause.TrialSpacing || s.clock().Before(g.TrialFrom.Add(crashcause.TrialDelay(rank))) {
				s.fail(r, true)
				return
			}
			s.beginTrial(r)
		}
	}
	s.run(r)
}

// beginTrial tells all VMs that a request runs as the trial of its suspicion, if it is suspected.
func (s *plainSimulation) beginTrial(r *plainRequest) {
	r.onTrial, r.vm.trialAt = true, s.now
	s.handle(r.vm, s.now, func() {
		if !r.vm.tracker.IsSuspected(r.request) {
			return
		}
		s.broadcast(r.vm, func(to *simVM) { to.tracker.RecordTrial(s.clock(), []crashcause.Part{r.request}) })
	})
}

func (s *plainSimulation) run(r *plainRequest) {
	var usable []*simEngine
	for _, e := range s.servers {
		if e.up && !slices.Contains(r.tried, e) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		s.fail(r, r.runs == 0)
		return
	}
	server := usable[s.random.IntN(len(usable))]
	r.runs++
	r.tried = append(r.tried, server)
	s.running[server] = append(s.running[server], r)
	if r.coming < 0 {
		s.at(s.now+plainWork, func() { s.answer(r, server) })
		return
	}
	s.outcome.arrivals = append(s.outcome.arrivals, s.now)
	if r.onTrial && r.ended.Upstreams == 0 {
		s.outcome.trials = append(s.outcome.trials, s.now)
	}
	s.at(s.now+200*time.Microsecond, func() {
		if server.up && slices.Contains(s.running[server], r) {
			s.outcome.crashes = append(s.outcome.crashes, s.now)
			s.outcome.endedBy[r.coming]++
			s.end(server)
		}
	})
}

// answer ends a sound run.
func (s *plainSimulation) answer(r *plainRequest, server *simEngine) {
	i := slices.Index(s.running[server], r)
	if i < 0 {
		return // the server has ended
	}
	s.running[server] = slices.Delete(s.running[server], i, i+1)
	if s.now > r.deadline {
		s.outcome.unserved++
	}
	r.vm.tracker.RecordKnownSound([]crashcause.Part{r.request})
	if r.vm.tracker.IsSuspected(r.request) {
		s.broadcast(r.vm, func(to *simVM) {
			to.tracker.RecordSound(s.clock(), []crashcause.SoundRuns{{Part: r.request, Runs: 1}})
		})
	}
}

// end ends a server with all its runs.
func (s *plainSimulation) end(server *simEngine) {
	if !server.up {
		return
	}
	ended := s.running[server]
	s.running[server] = nil
	up := notice.Instance{ID: fleet.UpstreamID(fmt.Sprint("s", server.id)), StartMillis: server.start}
	server.up = false
	s.at(s.now+s.back, func() { server.up, server.start = true, server.start+1 })
	for _, r := range ended {
		if r.ended.Upstreams++; r.ended.Upstreams == 1 {
			r.ended.First, r.ended.Until = s.clock(), epoch.Add(s.now+(r.deadline-s.now)/2)
			if r.coming < 0 {
				s.outcome.broken++
			}
		}
		s.report(r, up)
		s.at(s.now+time.Millisecond, func() { s.retry(r) })
	}
}

// retry does what a VM does with a request whose server has ended.
func (s *plainSimulation) retry(r *plainRequest) {
	decision, next := crashcause.RetryNever, time.Time{}
	if r.runs < s.attempts {
		decision, next = r.vm.filter.Retry(s.clock(), []crashcause.Part{r.request}, r.ended)
	}
	switch decision {
	case crashcause.RetryWait:
		s.at(max(next.Sub(epoch), s.now+time.Millisecond), func() { s.retry(r) })
	case crashcause.RetryNow:
		s.beginTrial(r)
		s.run(r)
	case crashcause.RetryNever:
		heard := min(r.ended.First.Add(crashcause.HeardTime).Sub(epoch), r.deadline)
		s.at(max(heard, s.now), func() { s.fail(r, false) })
	}
}

// fail tells the caller of a failure, or that the request was refused.
func (s *plainSimulation) fail(r *plainRequest, refused bool) {
	switch {
	case r.coming >= 0:
		r.fails()
	case refused:
		s.outcome.refused++
	case s.attempts > 1:
		s.outcome.unserved++
	}
}
