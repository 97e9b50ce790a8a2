package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/peering"
)

// gate lets generations of one service through. Request goroutines and the
// control goroutine use it under its lock, for some tens of microseconds.
type gate struct {
	mu      sync.Mutex
	book    *chain.Book
	queue   *dispatch.Queue
	waiting map[fleet.RequestID]chan dispatch.Action
}

func newGate(engine *catalog.Engine, local fleet.DataCentreID) *gate {
	book := chain.New(engine, local)
	return &gate{
		book: book, queue: dispatch.New(dispatch.DefaultConfig(), book, random),
		waiting: make(map[fleet.RequestID]chan dispatch.Action),
	}
}

// update takes in the engines as the control goroutine sees them.
func (g *gate) update(now time.Time, engine *catalog.Engine, servers []chain.Server, v *view) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.SetEngine(engine)
	g.book.SetVMs(v.vms)
	g.book.Share(chain.Sharing{
		Near:   chain.Rivals{Settle: peering.NewsInterval(v.near), VMs: float64(v.near - 1)},
		Far:    chain.Rivals{Settle: peering.FarInterval(v.vms), VMs: float64(v.vms - 1)},
		Random: random,
	})
	g.book.SetServers(servers)
	g.deliver(g.queue.Tick(now, nil))
}

func (g *gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Tick(now, nil))
}

// enter waits until a request may start, is refused or ctx ends. The caller
// releases a chain that it gets.
func (g *gate) enter(ctx context.Context, r dispatch.Request) (dispatch.Action, error) {
	answer := make(chan dispatch.Action, 1)
	g.mu.Lock()
	g.waiting[r.ID] = answer
	g.deliver(g.queue.Arrive(time.Now(), r, nil))
	g.mu.Unlock()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	waited := g.queue.Cancel(r.ID)
	delete(g.waiting, r.ID)
	g.mu.Unlock()
	if !waited { // decided meanwhile
		return <-answer, nil
	}
	return dispatch.Action{}, ctx.Err()
}

// again reserves another chain for a request whose chain failed.
func (g *gate) again(r dispatch.Request, avoid map[fleet.UpstreamID]bool) (*chain.Chain, chain.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Again(time.Now(), r, avoid)
}

// release ends a request's use of a chain and starts what waits for it.
func (g *gate) release(r dispatch.Request, c *chain.Chain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Release(r, c)
	g.deliver(g.queue.Tick(time.Now(), nil))
}

// refused notes an engine that refused its part of a chain.
func (g *gate) refused(id fleet.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Refused(time.Now(), id)
}

// pause leaves an engine out until a time.
func (g *gate) pause(id fleet.UpstreamID, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Pause(id, until)
}

// served notes the first event of a chain that was begun at a time.
func (g *gate) served(c *chain.Chain, began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Served(c, began)
}

// deliver hands decisions to the requests that wait for them. Callers hold the lock.
func (g *gate) deliver(actions []dispatch.Action) {
	for _, a := range actions {
		if answer := g.waiting[a.Request]; answer != nil {
			delete(g.waiting, a.Request)
			answer <- a
		}
	}
}

// waitingCount returns the number of requests that wait.
func (g *gate) waitingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}

// promises returns what this VM has promised, for the other VMs.
func (g *gate) promises(out []peering.Promise) []peering.Promise {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, load := range g.book.Own() {
		out = append(out, peering.NewPromise(id, load.KV, load.Requests, load.Tokens))
	}
	return out
}

func (g *gate) setOthers(load func(fleet.UpstreamID) chain.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.SetOthers(load)
}
