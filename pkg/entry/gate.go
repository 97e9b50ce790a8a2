package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// gate lets requests through the admission queue. It carries the queue's
// actions to the waiting request goroutines.
type gate struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[fleet.RequestID]chan admission.Action
	actions []admission.Action
}

func newGate(cfg admission.Config) *gate {
	return &gate{queue: admission.New(cfg), waiting: map[fleet.RequestID]chan admission.Action{}}
}

// admit waits until the request may start and returns the time it waited. The
// error is a *result.Error; a request that is not admitted ran nowhere.
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
		g.cancel(req.ID)
		return 0, result.New(result.CancelledByCaller, result.NotRun, "the caller left while the request was queued")
	}
}

// finish books the end of an admitted request with its actual cost.
func (g *gate) finish(id fleet.RequestID, cost float64) {
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		return g.queue.Finish(now, id, cost, out)
	})
}

// correct replaces the estimated cost of a running request.
func (g *gate) correct(id fleet.RequestID, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Correct(id, cost)
}

// cancel removes a request, queued or started meanwhile.
func (g *gate) cancel(id fleet.RequestID) {
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		delete(g.waiting, id)
		return g.queue.Cancel(now, id, out)
	})
}

// setCapacity sets this VM's share of a model's pipelines.
func (g *gate) setCapacity(c admission.Capacity) {
	g.step(func(now time.Time, out []admission.Action) []admission.Action {
		return g.queue.SetCapacity(now, c, out)
	})
}

// setConfig replaces the limits.
func (g *gate) setConfig(cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetConfig(cfg)
}

// tick lets the queue refuse what can no longer be served in time.
func (g *gate) tick() {
	g.step(g.queue.Tick)
}

// queued returns the waiting requests by rank.
func (g *gate) queued() [fleet.RankCount]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var n [fleet.RankCount]int
	for r := range n {
		n[r] = g.queue.Queued(fleet.Rank(r))
	}
	return n
}

// step runs one event of the queue and delivers the actions that follow.
func (g *gate) step(event func(time.Time, []admission.Action) []admission.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = event(time.Now(), g.actions[:0])
	for _, action := range g.actions {
		if decided, ok := g.waiting[action.Request]; ok {
			delete(g.waiting, action.Request)
			decided <- action // buffered: one action decides a request
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
