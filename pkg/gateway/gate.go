package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/cost"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pace"
	"github.com/cornelline/cornelline/pkg/peering"
)

// gate admits the generations of one service: it queues them and reserves chains for them.
// Request goroutines and the control goroutine share it under its lock, which is held for
// a few tens of microseconds.
type gate struct {
	mu      sync.Mutex
	chains  *chain.Allocator
	queue   *dispatch.Queue
	waiting map[fleet.RequestID]chan dispatch.Action
	// pace is learned from the runs of this VM.
	pace           pace.Tracker
	tokensPerEvent int
	// reportsRequested is set once engines were asked for reports after the start.
	reportsRequested bool
	// lengths is learned from the answers that callers of this VM got. It is nil if requests are
	// not placed by their likely cost.
	lengths *cost.Tracker
	// meanAnswerTokens is the mean that the operator states.
	meanAnswerTokens float64
}

// newGate returns the gate of a service. likelyCost says whether requests are placed by their
// likely cost and by the prompts that engines have still to read.
func newGate(engine *catalog.Engine, local fleet.DataCentreID, likelyCost bool) *gate {
	chains := chain.New(engine, local)
	chains.SetBacklogAware(likelyCost)
	var lengths *cost.Tracker
	if likelyCost {
		lengths = cost.NewTracker(engine.MeanAnswerTokens)
	}
	return &gate{
		lengths: lengths, meanAnswerTokens: engine.MeanAnswerTokens, chains: chains, queue: dispatch.New(dispatch.DefaultConfig(), chains, random),
		waiting: make(map[fleet.RequestID]chan dispatch.Action),
	}
}

// update adopts the engines and the fleet size that the control goroutine knows.
func (g *gate) update(now time.Time, engine *catalog.Engine, servers []chain.Server, v *view) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.SetEngine(engine)
	g.tokensPerEvent, g.meanAnswerTokens = engine.TokensPerEvent, engine.MeanAnswerTokens
	if g.lengths != nil {
		g.lengths.SetMean(engine.MeanAnswerTokens)
	}
	vms, nearVMs := max(v.vms, v.assumedVMs), max(v.nearVMs, v.assumedNearVMs)
	g.chains.SetVMs(vms)
	g.chains.SetSharing(chain.Sharing{
		Near:   chain.Competitors{PropagationDelay: peering.StateInterval(nearVMs), VMs: float64(nearVMs - 1)},
		Far:    chain.Competitors{PropagationDelay: peering.RemoteStateInterval(vms), VMs: float64(vms - 1)},
		Random: random,
	})
	g.chains.SetServers(servers)
	g.chains.RecordPower(now)
	g.deliver(g.queue.Tick(now, nil))
}

func (g *gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.queue.Tick(now, nil))
}

// admit waits until a request may start or is refused, or until ctx ends. The caller must
// release the chain that it gets.
func (g *gate) admit(ctx context.Context, r dispatch.Request) (dispatch.Action, error) {
	answer := make(chan dispatch.Action, 1)
	g.mu.Lock()
	g.waiting[r.ID] = answer
	g.deliver(g.queue.Submit(time.Now(), r, nil))
	g.mu.Unlock()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	wasQueued := g.queue.Cancel(r.ID)
	delete(g.waiting, r.ID)
	g.mu.Unlock()
	if !wasQueued { // decided in the meantime
		return <-answer, nil
	}
	return dispatch.Action{}, ctx.Err()
}

// reserveAnother reserves another chain for a request whose chain failed, refused it or is to
// be replaced. The chain uses no upstream in avoid.
func (g *gate) reserveAnother(r dispatch.Request, avoid map[fleet.UpstreamID]bool) (*chain.Chain, chain.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ReserveForRetry(time.Now(), r, avoid)
}

// recordRetry records a further run of a request, for which the retry budget was spent.
func (g *gate) recordRetry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.RecordRetry(time.Now())
}

// canIsolate reports whether the engines can bear the crash of one by an isolated request.
func (g *gate) canIsolate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chains.CanIsolate(time.Now())
}

// release ends a request's use of a chain and starts queued requests that now fit.
func (g *gate) release(r dispatch.Request, c *chain.Chain) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Release(r, c)
	g.deliver(g.queue.Tick(time.Now(), nil))
}

// recordRefusal records that an engine refused its part of a chain.
func (g *gate) recordRefusal(id fleet.UpstreamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.RecordRefusal(time.Now(), id)
}

// excludeUntil excludes an engine from new chains until the given time.
func (g *gate) excludeUntil(id fleet.UpstreamID, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.Pause(id, until)
}

// recordFirstEvent records the first event of a chain whose run started at the given time.
func (g *gate) recordFirstEvent(c *chain.Chain, startedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.chains.RecordPromptWait(now, c, startedAt)
	g.chains.RecordProgress(c, startedAt)
	g.chains.RecordFirstEvent(now, c, now.Sub(startedAt))
	if g.queue.Len() > 0 { // the next prompt may start
		g.deliver(g.queue.Tick(now, nil))
	}
}

// reservedQuantile is the quantile of the answer's length for which memory is reserved. Engines
// preempt the newest request when the requests together outgrow their memory.
const reservedQuantile = 0.75

// estimate returns the expected number of answer tokens still to come, and the number for which
// memory is reserved, of a request of which the caller has got the given number of tokens.
func (g *gate) estimate(r cost.Request, produced int) (expected, reserved int) {
	if g.lengths == nil {
		return statedAnswerTokens(r, g.meanAnswerTokens), 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.lengths.Estimate(r)
	if produced > 0 {
		d = d.After(float64(produced))
	}
	return max(int(d.Mean())-produced, 1), max(int(d.Quantile(reservedQuantile))-produced, 1)
}

// statedAnswerTokens returns the number of answer tokens that a caller expects, or the mean of the
// service if the caller states none.
func statedAnswerTokens(r cost.Request, mean float64) int {
	expected := r.Hint
	if expected == 0 {
		expected = int(mean)
	}
	if r.Limit > 0 {
		expected = min(expected, r.Limit)
	}
	return expected
}

// recordAnswer records the length of a complete answer.
func (g *gate) recordAnswer(r cost.Request, events int64) {
	if g.lengths == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lengths.Observe(r, int(events)*max(g.tokensPerEvent, 1))
}

// costs returns how the estimated lengths compared with the answers, and the longest wait for
// prompts that an engine has still to read.
func (g *gate) costs(now time.Time) (errors cost.Errors, longestWait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lengths != nil {
		errors = g.lengths.Errors()
	}
	return errors, g.chains.LongestWait(now)
}

// recordDuration records how long a run took.
func (g *gate) recordDuration(r *run) {
	if r.changedPath() { // it measures two chains and the pause between them
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if measured, ok := r.measured(g.tokensPerEvent); ok {
		g.pace.Observe(pace.Expectation{FirstEvent: r.chain.ExpectedFirstEvent, Step: r.chain.ExpectedStep}, measured)
	}
}

// boundDuration returns the longest time that a run of the given number of tokens is expected to
// take on a chain.
func (g *gate) boundDuration(c *chain.Chain, tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.Bound(pace.Expectation{FirstEvent: c.ExpectedFirstEvent, Step: c.ExpectedStep}, tokens)
}

// recentDuration returns the longest time that a run of the given number of tokens is expected to
// take on the chains of recent runs; 0 without such runs.
func (g *gate) recentDuration(tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace.RecentBound(tokens)
}

// deliver passes decisions to the requests that wait for them. The caller holds the lock.
func (g *gate) deliver(actions []dispatch.Action) {
	for _, a := range actions {
		if answer := g.waiting[a.Request]; answer != nil {
			delete(g.waiting, a.Request)
			answer <- a
		}
	}
}

// waitingCount returns the number of queued requests.
func (g *gate) waitingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}

// reservations appends what this VM has reserved on each engine, to be sent to the other
// VMs.
func (g *gate) reservations(out []peering.Reservation) []peering.Reservation {
	g.mu.Lock()
	defer g.mu.Unlock()
	waits := g.chains.ToldWaits(time.Now())
	for id, load := range g.chains.OwnLoads() {
		out = append(out, peering.NewReservation(id, load.KV, load.Requests, load.Tokens))
		if load.Unread > 0 || waits[id] > 0 {
			out = append(out, peering.NewBacklog(id, load.Unread, waits[id]))
			delete(waits, id)
		}
	}
	for id, wait := range waits {
		out = append(out, peering.NewBacklog(id, 0, wait))
	}
	return out
}

// reservationChanges returns a number that increases when this VM's reservations change.
func (g *gate) reservationChanges() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chains.Changes()
}

// setPeerLoad sets the load that the other VMs have reserved on each engine.
func (g *gate) setPeerLoad(load func(fleet.UpstreamID) chain.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.SetOtherLoads(load)
}

// startCarefully limits first tries after a start of this VM.
func (g *gate) startCarefully(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.StartCarefully(now)
}

// setCaution sets what is assumed of the other VMs.
func (g *gate) setCaution(c chain.Caution) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.SetCaution(c)
}

// recordReport records the memory in use that an engine reported.
func (g *gate) recordReport(now time.Time, id fleet.UpstreamID, usedKV float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chains.RecordReport(now, id, usedKV)
}

// startReportsDue returns the engines to ask for a report after a start. It returns some only once,
// when the engines hold a complete chain.
func (g *gate) startReportsDue(now time.Time, need chain.Need) []fleet.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reportsRequested || !g.chains.IsComplete(now, nil) {
		return nil
	}
	g.reportsRequested = true
	return g.chains.LikelyServers(now, need, startReports)
}

// firstTries returns the number of searches that found no chain within the limits on first tries,
// and the memory, in tokens x layers, that engines hold for no known VM.
func (g *gate) firstTries(now time.Time) (held uint64, unclaimedKV float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chains.Held(), g.chains.UnclaimedKV(now)
}
