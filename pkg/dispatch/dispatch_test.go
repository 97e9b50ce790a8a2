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

// flood drives a queue over one chain that holds about 128 generations at a time.
type flood struct {
	t            *testing.T
	queue        *dispatch.Queue
	allocator    *chain.Allocator
	now          time.Time
	lastID       int
	undecided    map[fleet.RequestID]dispatch.Request
	arrivedAt    map[fleet.RequestID]time.Time
	running      []running
	started      map[int]int // by rank
	onTime       map[int]int
	refused      map[int]int
	startsByTeam map[fleet.TeamID]int
	retryAfters  []time.Duration
}

type running struct {
	request dispatch.Request
	chain   *chain.Chain
	endsAt  time.Time
}

const (
	objective         = 500 * time.Millisecond
	firstEventTimeout = 1600 * time.Millisecond
	// meanGenerationTime is the mean duration of a generation; durations vary by up to half of it
	// in both directions.
	meanGenerationTime = 2 * time.Second
)

// generationTime returns the duration of the n-th generation.
func generationTime(n int) time.Duration {
	return meanGenerationTime/2 + time.Duration(n*7919%1000)*meanGenerationTime/1000
}

func newFlood(t *testing.T) *flood {
	engine := &catalog.Engine{
		Layers: 80, LayerMB: 1750, KVBytesPerToken: 590000, Step: time.Millisecond, PrefillTokensPerSecond: 196000, TokensPerEvent: 2,
		MeanPromptTokens: 800, MeanAnswerTokens: 200,
	}
	allocator := chain.New(engine, "a")
	// 21,600 MB minus 8 layers of 1,750 MB hold the KV cache of about 129,000 tokens,
	// which is some 128 generations.
	var servers []chain.Server
	for first := 0; first < 80; first += 8 {
		servers = append(servers, chain.Server{
			ID: fleet.UpstreamID(fmt.Sprint(first)), DataCentre: "a", Card: catalog.Card{MemoryMB: 21600, StepFactor: 16, PrefillFactor: 8},
			Layers: fleet.LayerRange{First: first, End: first + 8}, Weight: 1, SlowdownFactor: 1,
		})
	}
	allocator.SetServers(servers)
	return &flood{
		t: t, queue: dispatch.New(dispatch.DefaultConfig(), allocator, func() float64 { return 0.5 }), allocator: allocator, now: start,
		undecided: map[fleet.RequestID]dispatch.Request{}, arrivedAt: map[fleet.RequestID]time.Time{},
		started: map[int]int{}, onTime: map[int]int{}, refused: map[int]int{}, startsByTeam: map[fleet.TeamID]int{},
	}
}

func (f *flood) arrive(rank int, team fleet.TeamID) {
	f.lastID++
	r := dispatch.Request{
		ID: fleet.RequestID(fmt.Sprint(f.lastID)), Team: team, Rank: rank, Objective: objective, FirstEventTimeout: firstEventTimeout,
		Need: chain.Need{PromptTokens: 800, AnswerTokens: 200},
	}
	f.undecided[r.ID] = r
	f.arrivedAt[r.ID] = f.now
	f.apply(f.queue.Submit(f.now, r, nil))
}

func (f *flood) apply(actions []dispatch.Action) {
	for _, a := range actions {
		r, ok := f.undecided[a.Request]
		if !ok {
			f.t.Fatalf("second decision about request %s", a.Request)
		}
		delete(f.undecided, a.Request)
		if a.Chain == nil {
			f.refused[r.Rank]++
			f.retryAfters = append(f.retryAfters, a.RetryAfter)
			continue
		}
		f.started[r.Rank]++
		f.startsByTeam[r.Team]++
		if f.now.Sub(f.arrivedAt[r.ID]) <= objective {
			f.onTime[r.Rank]++
		}
		f.running = append(f.running, running{r, a.Chain, f.now.Add(generationTime(f.lastID + len(f.running)))})
	}
}

// advance advances the time, releases the generations that end by then and calls Tick.
func (f *flood) advance(d time.Duration) {
	f.now = f.now.Add(d)
	kept := f.running[:0]
	for _, r := range f.running {
		if f.now.Before(r.endsAt) {
			kept = append(kept, r)
			continue
		}
		f.queue.Release(r.request, r.chain)
	}
	f.running = kept
	f.apply(f.queue.Tick(f.now, nil))
	for id := range f.undecided {
		if f.now.Sub(f.arrivedAt[id]) > firstEventTimeout {
			f.t.Fatalf("request %s has waited %v, longer than its first-event timeout", id, f.now.Sub(f.arrivedAt[id]))
		}
	}
}

// TestOvernightFloodLeavesUrgentOnTime guards against urgent requests that miss their
// objective because the queue is full of overnight work at three times the capacity.
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
		f.advance(10 * time.Millisecond)
	}
	t.Log(f.onTime, f.started, f.refused)
	is.True(float64(f.onTime[0]) >= 0.95*float64(200)) // urgent is a third of the capacity
	is.True(f.refused[2] > 500)
}

// TestUrgentFloodKeepsFloorOfOtherRanks guards against starvation: while urgent requests
// exceed the capacity, the other ranks still start a part of theirs.
func TestUrgentFloodKeepsFloorOfOtherRanks(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for i := range 1500 {
		f.arrive(0, "shop")
		f.arrive(0, "shop")
		if i%10 == 0 {
			f.arrive(2, "night")
		}
		f.advance(10 * time.Millisecond)
	}
	is.True(float64(f.started[2]) >= 0.3*150) // floor 0.4, measured over a window of 2 s
}

// TestSmallTeamsGetTheirShare guards against a large team that crowds out a small one of
// the same rank by sending 20 times as many requests.
func TestSmallTeamsGetTheirShare(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for i := range 1000 {
		f.arrive(1, "large")
		f.arrive(1, "large")
		if i%10 == 0 {
			f.arrive(1, "small")
		}
		f.advance(10 * time.Millisecond)
	}
	t.Log(f.startsByTeam)
	is.True(f.startsByTeam["small"] >= 95) // of 100
}

// TestFloodIsRefusedAtOnce guards against a queue that holds requests which can
// no longer get their first event in time, and against Retry-After values out of bounds.
func TestFloodIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for range 2000 {
		f.arrive(1, "team")
	}
	f.advance(10 * time.Millisecond)
	is.True(len(f.undecided) <= dispatch.DefaultConfig().MaxQueued)
	for _, after := range f.retryAfters {
		is.True(after >= dispatch.DefaultConfig().MinRetryAfter)
		is.True(after <= dispatch.DefaultConfig().MaxRetryAfter)
	}
	f.advance(firstEventTimeout)
	is.Equal(len(f.undecided), 0) // every request was decided before its first-event timeout
}

// TestQueueRecoversAfterFlood guards against state that outlives an overload: once the
// running generations have ended, a new request must start at once.
func TestQueueRecoversAfterFlood(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for range 1000 {
		f.arrive(1, "team")
		f.arrive(1, "team")
		f.advance(10 * time.Millisecond)
	}
	f.advance(2 * meanGenerationTime)
	is.Equal(f.queue.Len(), 0)
	before := f.started[0]
	f.arrive(0, "shop")
	is.Equal(f.started[0], before+1)
}

// TestCancelRemovesRequest guards against a disconnected caller's request that keeps its place
// in the queue.
func TestCancelRemovesRequest(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	for len(f.undecided) == 0 {
		f.arrive(1, "team")
	}
	for id := range f.undecided {
		is.True(f.queue.Cancel(id))
		is.True(!f.queue.Cancel(id))
	}
	is.Equal(f.queue.Len(), 0)
}
