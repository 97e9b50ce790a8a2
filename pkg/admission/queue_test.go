package admission_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

var epoch = time.Date(2030, 1, 1, 22, 0, 0, 0, time.UTC)

// slotTokens is the speed of one slot of the test pipeline, in cost units per second.
const slotTokens = 20

type ending struct {
	at  time.Time
	id  fleet.RequestID
	req admission.Request
}

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// pipe runs a queue over slots with a fixed speed in steps of 10 ms.
type pipe struct {
	q       *admission.Queue
	now     time.Time
	slots   int
	running endings
	reqs    map[fleet.RequestID]admission.Request
	answers map[fleet.RequestID]admission.Action
	served  map[string]float64 // started cost by rank and by team
	made    int
	longest time.Duration // wait of a refusal
	late    []fleet.RequestID
}

func newPipe(cfg admission.Config, slots int) *pipe {
	p := &pipe{q: admission.New(cfg), now: epoch, slots: slots,
		reqs: make(map[fleet.RequestID]admission.Request), answers: make(map[fleet.RequestID]admission.Action),
		served: make(map[string]float64)}
	p.apply(p.q.SetCapacity(p.now, admission.Capacity{Model: "m", Slots: slots}, nil))
	return p
}

func (p *pipe) apply(actions []admission.Action) {
	for _, a := range actions {
		p.answers[a.Request] = a
		if a.Kind == admission.Refuse {
			p.longest = max(p.longest, a.Waited)
			continue
		}
		r := p.reqs[a.Request]
		p.served[r.Rank.String()] += r.Cost
		p.served[string(r.Team)] += r.Cost
		heap.Push(&p.running, ending{p.now.Add(time.Duration(r.Cost / slotTokens * float64(time.Second))), r.ID, r})
	}
}

// arrive sends a request and returns its id.
func (p *pipe) arrive(team string, r fleet.Rank, cost float64, deadline time.Duration) fleet.RequestID {
	p.made++
	// Costs vary by half, as otherwise all slots would become free at once.
	cost *= 0.5 + float64(p.made*7%21)/20
	req := admission.Request{ID: fleet.RequestID(fmt.Sprint("r", p.made)), Team: fleet.TeamID(team), Rank: r, Model: "m", Cost: cost}
	if deadline > 0 {
		req.Deadline = epoch.Add(deadline)
	}
	p.reqs[req.ID] = req
	p.apply(p.q.Arrive(p.now, req, nil))
	return req.ID
}

// started reports whether the request was started within the given wait.
func (p *pipe) started(id fleet.RequestID, within time.Duration) bool {
	a, answered := p.answers[id]
	return answered && a.Kind == admission.Start && a.Waited <= within
}

// run advances the time; each step calls load with the step's number.
func (p *pipe) run(d time.Duration, load func(step int)) {
	for step := range int(d / (10 * time.Millisecond)) {
		for len(p.running) > 0 && !p.running[0].at.After(p.now) {
			e := heap.Pop(&p.running).(ending)
			if !e.req.Deadline.IsZero() && p.now.After(e.req.Deadline) {
				p.late = append(p.late, e.id)
			}
			p.apply(p.q.Finish(p.now, e.id, e.req.Cost, nil))
		}
		if load != nil {
			load(step)
		}
		p.apply(p.q.Tick(p.now, nil))
		p.now = p.now.Add(10 * time.Millisecond)
	}
}

// TestUrgentOvertakes guards against urgent work waiting behind overnight work
// that holds all slots.
func TestUrgentOvertakes(t *testing.T) {
	is := is.New(t)
	p := newPipe(admission.DefaultConfig(), 4)
	for range 20 {
		p.arrive("a", fleet.Overnight, 100, 8*time.Hour)
	}
	is.True(p.started(p.arrive("b", fleet.Urgent, 100, 0), 0))
}

// TestGuaranteedShares guards against a flood of one rank that takes the
// guaranteed share of another.
func TestGuaranteedShares(t *testing.T) {
	shares := admission.DefaultConfig().Shares
	for flood := range fleet.Rank(fleet.RankCount) {
		t.Run(flood.String(), func(t *testing.T) {
			p := newPipe(admission.DefaultConfig(), 20) // 400 cost units per second
			p.run(60*time.Second, func(step int) {
				for r := range fleet.Rank(fleet.RankCount) {
					every := 5 // 20 requests of 20 per second: as much as the pipeline can do
					if r == flood {
						every = 1
					}
					if step%every == 0 {
						p.arrive("t", r, 20, 24*time.Hour)
					}
				}
			})
			for r := range fleet.Rank(fleet.RankCount) {
				if got := p.served[r.String()] / (60 * 400); got < 0.95*shares[r] {
					t.Errorf("%s got %.3f of the capacity, guaranteed %.3f", r, got, shares[r])
				}
			}
		})
	}
}

// TestSmallTeamBesideLarge guards against a team at 50 times its share that
// crowds out a team within its share.
func TestSmallTeamBesideLarge(t *testing.T) {
	is := is.New(t)
	p := newPipe(admission.DefaultConfig(), 20)
	var small []fleet.RequestID
	p.run(60*time.Second, func(step int) {
		for range 5 {
			p.arrive("large", fleet.Urgent, 20, 0) // 10,000 of 400 cost units per second
		}
		if step%25 == 0 {
			small = append(small, p.arrive("small", fleet.Urgent, 20, 0)) // 80 per second
		}
	})
	started := 0
	for _, id := range small {
		if p.started(id, 700*time.Millisecond) {
			started++
		}
	}
	is.True(float64(started) >= 0.99*float64(len(small)))
}

// TestIdleTeamGetsNoCredit guards against a team that saves its share while idle
// and then takes the pipeline for as long.
func TestIdleTeamGetsNoCredit(t *testing.T) {
	is := is.New(t)
	cfg := admission.DefaultConfig()
	p := newPipe(cfg, 20)
	flood := func(teams ...string) func(int) {
		return func(int) {
			for _, team := range teams {
				p.arrive(team, fleet.Urgent, 20, 0)
			}
		}
	}
	p.run(10*time.Second, flood("busy", "idle"))
	p.run(10*time.Minute, flood("busy"))
	before, all := p.served["idle"], p.served["urgent"]
	p.run(60*time.Second, flood("busy", "idle"))
	got := (p.served["idle"] - before) / (p.served["urgent"] - all)
	// Half of what is left after the burst, and the burst: TeamBurst of the rate.
	is.True(got < 0.5+cfg.TeamBurst.Seconds()*0.5/60+0.02)
	is.True(got > 0.45)
}

// TestRefusalAtOnce guards against holding a request that cannot meet its
// deadline, and against a refusal without a time to come back.
func TestRefusalAtOnce(t *testing.T) {
	is := is.New(t)
	p := newPipe(admission.DefaultConfig(), 20)
	refused, late := 0, 0
	p.run(20*time.Second, func(int) {
		id := p.arrive("t", fleet.Urgent, 20, 0) // five times the capacity
		if a := p.answers[id]; a.Kind == admission.Refuse {
			refused++
			is.True(a.RetryAfter > 0)
			is.True(a.Code == result.DeadlineUnmet || a.Code == result.TeamOverShare)
		}
	})
	for _, a := range p.answers {
		if a.Kind == admission.Refuse && a.Waited > 0 {
			late++
		}
	}
	is.True(refused > 1000)
	is.True(late*100 <= refused) // under a steady flood predictions hold
	is.True(p.longest <= admission.DefaultConfig().MaxWait[fleet.Urgent]+100*time.Millisecond)
}

// TestOvernightDoneByDawn guards against accepting overnight work that is not
// done by its deadline, also when other ranks take all that they may and half
// of the slots are lost on the way.
func TestOvernightDoneByDawn(t *testing.T) {
	is := is.New(t)
	p := newPipe(admission.DefaultConfig(), 20)
	accepted := 0
	for i := range 4000 {
		id := p.arrive(fmt.Sprint("t", i%10), fleet.Overnight, 50, time.Duration(20+i%3*20)*time.Minute)
		if a, done := p.answers[id]; !done || a.Kind == admission.Start {
			accepted++
		}
	}
	is.True(accepted > 500 && accepted < 4000)
	flood := func(step int) {
		if step%2 == 0 {
			p.arrive("u", fleet.Urgent, 20, 0)
			p.arrive("u", fleet.Lookup, 20, 0)
		}
	}
	p.run(5*time.Minute, flood)
	p.apply(p.q.SetCapacity(p.now, admission.Capacity{Model: "m", Slots: 10}, nil))
	p.run(55*time.Minute, flood)
	done := 0
	for id, a := range p.answers {
		if p.reqs[id].Rank == fleet.Overnight && a.Kind == admission.Start {
			done++
		}
	}
	is.Equal(done, accepted)
	is.Equal(len(p.late), 0)
}

// TestRecoveryAfterFlood guards against a queue that after a flood keeps
// refusing, or works off requests that nobody waits for any more. 5 s after its
// end also the team that flooded starts at once.
func TestRecoveryAfterFlood(t *testing.T) {
	is := is.New(t)
	p := newPipe(admission.DefaultConfig(), 20)
	var after []fleet.RequestID
	steady := func(step int) {
		if step%20 == 0 { // half of the capacity
			after = append(after, p.arrive("t", fleet.Urgent, 20, 0), p.arrive("flood", fleet.Urgent, 20, 0))
		}
	}
	p.run(60*time.Second, func(step int) {
		for range 5 {
			p.arrive("flood", fleet.Urgent, 20, 0)
		}
		steady(step)
	})
	p.run(5*time.Second, steady)
	after = after[:0]
	p.run(60*time.Second, steady)
	for _, id := range after {
		is.True(p.started(id, 0))
	}
}

// TestEveryRequestIsAnsweredOnce guards against lost or doubled answers, against
// more requests in flight than the limit, and against requests left behind.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := admission.DefaultConfig()
		cfg.Order = admission.Order(rapid.IntRange(0, 2).Draw(t, "order"))
		q := admission.New(cfg)
		now, slots := epoch, 8
		open, running := map[fleet.RequestID]bool{}, map[fleet.RequestID]bool{}
		apply := func(actions []admission.Action) {
			for _, a := range actions {
				if !open[a.Request] {
					t.Fatalf("second answer for %s", a.Request)
				}
				delete(open, a.Request)
				if a.Kind == admission.Start {
					running[a.Request] = true
				}
			}
			if limit := slots + max(1, int(cfg.Depth*float64(slots))); len(running) > limit {
				t.Fatalf("%d in flight, limit %d", len(running), limit)
			}
			if q.InFlight("m") != len(running) {
				t.Fatalf("queue counts %d in flight, want %d", q.InFlight("m"), len(running))
			}
		}
		apply(q.SetCapacity(now, admission.Capacity{Model: "m", Slots: slots}, nil))
		pick := func(m map[fleet.RequestID]bool) fleet.RequestID {
			var ids []fleet.RequestID
			for i := range 400 {
				if id := fleet.RequestID(fmt.Sprint(i)); m[id] {
					ids = append(ids, id)
				}
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		for i := range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch event := rapid.IntRange(0, 9).Draw(t, "event"); {
			case event < 5:
				id := fleet.RequestID(fmt.Sprint(i))
				open[id] = true
				apply(q.Arrive(now, admission.Request{ID: id, Model: "m",
					Team: fleet.TeamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")),
					Rank: fleet.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), Cost: float64(rapid.IntRange(1, 300).Draw(t, "cost")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 7200).Draw(t, "deadline")) * time.Second)}, nil))
			case event < 8 && len(running) > 0:
				id := pick(running)
				q.Correct(id, float64(rapid.IntRange(1, 300).Draw(t, "corrected")))
				delete(running, id)
				apply(q.Finish(now, id, float64(rapid.IntRange(1, 300).Draw(t, "actual")), nil))
			case event == 8 && len(open) > 0:
				id := pick(open)
				delete(open, id)
				apply(q.Cancel(now, id, nil))
			default:
				apply(q.Tick(now, nil))
			}
		}
		for len(running) > 0 || len(open) > 0 {
			now = now.Add(time.Second)
			apply(q.Tick(now, nil))
			for id := range running {
				delete(running, id)
				apply(q.Finish(now, id, 10, nil))
				break
			}
			if now.Sub(epoch) > 24*time.Hour {
				t.Fatalf("%d requests were never answered", len(open))
			}
		}
		if q.Queued(fleet.Urgent)+q.Queued(fleet.Lookup)+q.Queued(fleet.Overnight) != 0 {
			t.Fatal("requests left in the queue")
		}
	})
}
