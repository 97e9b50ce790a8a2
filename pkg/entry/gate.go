package entry

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// gate passes requests through the admission queue and delivers the queue's decisions
// to the waiting request goroutines.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[fleet.RequestID]chan admission.Action
	actions []admission.Action
	// running counts the admitted requests that have not ended.
	running int
}

func newGate(cfg admission.Config) *gate {
	return &gate{queue: admission.New(cfg), waiting: map[fleet.RequestID]chan admission.Action{}}
}

// admit waits until the request may start and returns the time it waited. The
// error is a *result.Error; a request that is not admitted has not run anywhere.
func (g *gate) admit(ctx context.Context, req admission.Request) (time.Duration, error) {
	decided := make(chan admission.Action, 1)
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		g.waiting[req.ID] = decided
		return g.queue.Arrive(now, req, out)
	})
	select {
	case action := <-decided:
		return action.Waited, refusal(action)
	case <-ctx.Done():
		g.cancelRequest(req.ID, decided)
		return 0, result.New(result.CancelledByCaller, result.NotRun, "the caller left while the request was queued")
	}
}

// finish records the end of an admitted request and its actual cost.
func (g *gate) finish(id fleet.RequestID, cost float64) {
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		g.running--
		return g.queue.Finish(now, id, cost, out)
	})
}

// correct replaces the estimated cost of a running request.
func (g *gate) correct(id fleet.RequestID, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.CorrectCost(id, cost)
}

// cancelRequest removes a request whose caller has disconnected. The request may be
// queued, or may have been started or refused meanwhile.
func (g *gate) cancelRequest(id fleet.RequestID, decided <-chan admission.Action) {
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		if _, queued := g.waiting[id]; !queued && (<-decided).Kind == admission.Start {
			g.running--
		}
		delete(g.waiting, id)
		return g.queue.Cancel(now, id, out)
	})
}

// setCapacity sets this VM's share of a model's generation slots.
func (g *gate) setCapacity(c admission.Capacity) {
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		return g.queue.SetCapacity(now, c, out)
	})
}

// setConfig replaces the admission limits.
func (g *gate) setConfig(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetConfig(cfg)
}

// tick lets the queue refuse requests that can no longer be served in time.
func (g *gate) tick() {
	g.step(g.queue.Tick)
}

// queued returns the number of waiting requests by rank.
func (g *gate) queued() [fleet.RankCount]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var n [fleet.RankCount]int
	for r := range n {
		n[r] = g.queue.Queued(fleet.Rank(r))
	}
	return n
}

// demand returns the number of requests in flight and queued here.
func (g *gate) demand() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.running
	for r := range fleet.RankCount {
		n += g.queue.Queued(fleet.Rank(r))
	}
	return float64(n)
}

// step applies an event to the queue and delivers the resulting actions.
func (g *gate) step(event func(time.Time, []admission.Action) []admission.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = event(time.Now(), g.actions[:0])
	for _, action := range g.actions {
		if decided, ok := g.waiting[action.Request]; ok {
			delete(g.waiting, action.Request)
			if action.Kind == admission.Start {
				g.running++
			}
			decided <- action // never blocks: the channel is buffered, and a request is decided once
		}
	}
}

// refusal returns the error of a refused request, nil for a started one.
func refusal(a admission.Action) error {
	if a.Kind == admission.Start {
		return nil
	}
	return result.New(a.Code, result.NotRun, "%s", refusalDetail(a.Code)).WithRetryAfter(a.RetryAfter)
}

func refusalDetail(code result.Code) string {
	switch code {
	case result.QueueFull:
		return "the queue of this rank is full"
	case result.TeamOverShare:
		return "the team is over its share while others wait"
	case result.NoUpstream:
		return "no complete chain of engines serves this model now"
	}
	return "the request cannot be done before its deadline"
}

// encodeDemand encodes a demand as the payload that members exchange.
func encodeDemand(demand float64) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(demand))
}

// decodeDemand parses a member's payload. A payload that is too short counts as no demand.
func decodeDemand(payload []byte) float64 {
	if len(payload) < 4 {
		return 0
	}
	return float64(binary.BigEndian.Uint32(payload))
}
