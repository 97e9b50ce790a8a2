package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// flood drives a queue over one chain that holds a few generations at a time.
type flood struct {
	t       *testing.T
	queue   *dispatch.Queue
	book    *chain.Book
	now     time.Time
	next    int
	open    map[fleet.RequestID]dispatch.Request
	arrived map[fleet.RequestID]time.Time
	running []running
	started map[int]int // by rank
	onTime  map[int]int
	refused map[int]int
	teams   map[fleet.TeamID]int
	retries []time.Duration
}

type running struct {
	request dispatch.Request
	chain   *chain.Chain
	ends    time.Time
}

const (
	objective = 500 * time.Millisecond
	patience  = 1600 * time.Millisecond
	// service is the mean time of a generation; it varies by half of it either way.
	service = 2 * time.Second
)

// serviceTime returns the time of the n-th generation.
func serviceTime(n int) time.Duration {
	return service/2 + time.Duration(n*7919%1000)*service/1000
}

func newFlood(t *testing.T) *flood {
	e := &catalog.Engine{
		Layers: 80, LayerMB: 1750, KVBytesPerToken: 590000, Step: time.Millisecond, ReadPerSecond: 196000, Stride: 2,
		UsualPrompt: 800, UsualAnswer: 200,
	}
	book := chain.New(e, "a")
	// 21,600 MB beside 8 layers hold about 129,000 tokens: some 128 generations.
	var servers []chain.Server
	for first := 0; first < 80; first += 8 {
		servers = append(servers, chain.Server{
			ID: fleet.UpstreamID(fmt.Sprint(first)), DataCentre: "a", Card: catalog.Card{MemoryMB: 21600, StepFactor: 16, ReadFactor: 8},
			Layers: fleet.LayerRange{First: first, End: first + 8}, Weight: 1, Slowness: 1,
		})
	}
	book.SetServers(servers)
	return &flood{
		t: t, queue: dispatch.New(dispatch.DefaultConfig(), book, func() float64 { return 0.5 }), book: book, now: start,
		open: map[fleet.RequestID]dispatch.Request{}, arrived: map[fleet.RequestID]time.Time{},
		started: map[int]int{}, onTime: map[int]int{}, refused: map[int]int{}, teams: map[fleet.TeamID]int{},
	}
}

func (f *flood) arrive(rank int, team fleet.TeamID) {
	f.next++
	r := dispatch.Request{
		ID: fleet.RequestID(fmt.Sprint(f.next)), Team: team, Rank: rank, Objective: objective, Patience: patience,
		Need: chain.Need{Prompt: 800, Answer: 200},
	}
	f.open[r.ID] = r
	f.arrived[r.ID] = f.now
	f.apply(f.queue.Arrive(f.now, r, nil))
}

func (f *flood) apply(actions []dispatch.Action) {
	for _, a := range actions {
		r, ok := f.open[a.Request]
		if !ok {
			f.t.Fatalf("second decision about request %s", a.Request)
		}
		delete(f.open, a.Request)
		if a.Chain == nil {
			f.refused[r.Rank]++
			f.retries = append(f.retries, a.RetryAfter)
			continue
		}
		f.started[r.Rank]++
		f.teams[r.Team]++
		if f.now.Sub(f.arrived[r.ID]) <= objective {
			f.onTime[r.Rank]++
		}
		f.running = append(f.running, running{r, a.Chain, f.now.Add(serviceTime(f.next + len(f.running)))})
	}
}

// pass lets time pass.
func (f *flood) pass(d time.Duration) {
	f.now = f.now.Add(d)
	kept := f.running[:0]
	for _, r := range f.running {
		if f.now.Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		f.queue.Release(r.request, r.chain)
	}
	f.running = kept
	f.apply(f.queue.Tick(f.now, nil))
	for id := range f.open {
		if f.now.Sub(f.arrived[id]) > patience {
			f.t.Fatalf("request %s waits %v, longer than its caller", id, f.now.Sub(f.arrived[id]))
		}
	}
}

// TestOvernightFloodLeavesUrgentOnTime answers a flood of the least urgent work at
// three times the capacity: urgent work stays on time.
func TestOvernightFloodLeavesUrgentOnTime(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for i := range 1000 { // 10 s: 20 urgent and 180 overnight requests a second, capacity 64
		if i%5 == 0 {
			f.arrive(0, "shop")
		}
		f.arrive(2, "night")
		if i%5 < 4 {
			f.arrive(2, "night")
		}
		f.pass(10 * time.Millisecond)
	}
	t.Log(f.onTime, f.started, f.refused)
	is.True(float64(f.onTime[0]) >= 0.95*float64(200)) // urgent is a third of the capacity
	is.True(f.refused[2] > 500)
}

// TestUrgentFloodKeepsTheFloorOfOthers answers a flood of the most urgent work: the
// other ranks keep a part of what they ask for.
func TestUrgentFloodKeepsTheFloorOfOthers(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for i := range 1500 {
		f.arrive(0, "shop")
		f.arrive(0, "shop")
		if i%10 == 0 {
			f.arrive(2, "night")
		}
		f.pass(10 * time.Millisecond)
	}
	is.True(float64(f.started[2]) >= 0.3*150) // floor 0.4, measured over a window of 2 s
}

// TestSmallTeamsGetTheirPart answers one large team that asks for 20 times what a
// small one asks for.
func TestSmallTeamsGetTheirPart(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for i := range 1000 {
		f.arrive(1, "large")
		f.arrive(1, "large")
		if i%10 == 0 {
			f.arrive(1, "small")
		}
		f.pass(10 * time.Millisecond)
	}
	t.Log(f.teams)
	is.True(f.teams["small"] >= 95) // of 100
}

// TestFloodIsRefusedAtOnceAndSpread: what can't be of use any more is not held,
// and those refused together are told different times.
func TestFloodIsRefusedAtOnceAndSpread(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for range 2000 {
		f.arrive(1, "team")
	}
	f.pass(10 * time.Millisecond)
	is.True(len(f.open) <= dispatch.DefaultConfig().MaxQueued)
	for _, after := range f.retries {
		is.True(after >= dispatch.DefaultConfig().BaseRetry)
		is.True(after <= dispatch.DefaultConfig().MaxRetry)
	}
	f.pass(patience)
	is.Equal(len(f.open), 0) // all were decided when their callers' patience ended
}

// TestAfterTheFloodNothingIsLeft: a queue that was full serves at once again.
func TestAfterTheFloodNothingIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for range 1000 {
		f.arrive(1, "team")
		f.arrive(1, "team")
		f.pass(10 * time.Millisecond)
	}
	f.pass(2 * service)
	is.Equal(f.queue.Waiting(), 0)
	before := f.started[0]
	f.arrive(0, "shop")
	is.Equal(f.started[0], before+1)
}

// TestCancelForgets: a caller that leaves takes no place.
func TestCancelForgets(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for len(f.open) == 0 {
		f.arrive(1, "team")
	}
	for id := range f.open {
		is.True(f.queue.Cancel(id))
		is.True(!f.queue.Cancel(id))
	}
	is.Equal(f.queue.Waiting(), 0)
}
