package admission

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// pruneInterval is the time between two removals of idle teams.
const pruneInterval = time.Minute

// defaultOvernightDeadline is the time from arrival to the deadline of overnight work without
// a deadline.
const defaultOvernightDeadline = 24 * time.Hour

// Queue is the admission state of one entry VM. It is not safe for concurrent use.
type Queue struct {
	cfg         Config
	pipelines   map[fleet.ModelID]*pipeline
	order       []fleet.ModelID // the models in sorted order, so that ticks are deterministic
	entries     map[fleet.RequestID]*entry
	freeEntries []*entry // unused entries, kept to save allocations
	sequence    uint64
	prunedAt    time.Time
	totalWeight float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg, pipelines: make(map[fleet.ModelID]*pipeline), entries: make(map[fleet.RequestID]*entry)}
	for _, w := range cfg.Weights {
		q.totalWeight += w
	}
	return q
}

// SetConfig replaces the limits. Queued requests keep their place. The service order of a
// Queue cannot be changed.
func (q *Queue) SetConfig(cfg Config) {
	cfg.Order = q.cfg.Order
	q.cfg = cfg
	q.totalWeight = 0
	for _, w := range cfg.Weights {
		q.totalWeight += w
	}
	for _, p := range q.pipelines {
		for r := range p.ranks {
			q.updateWeights(&p.ranks[r])
		}
	}
}

// updateWeights applies changed weights to the teams of a rank.
func (q *Queue) updateWeights(rq *rankQueue) {
	rq.activeWeight = 0
	for id, t := range rq.teams {
		t.weight = q.weight(id)
		if t.queued > 0 {
			rq.activeWeight += t.weight
		}
	}
}

func (q *Queue) weight(id fleet.TeamID) float64 {
	if w, ok := q.cfg.Weights[id]; ok && w > 0 {
		return w
	}
	return 1
}

// pipelineOf returns the pipeline of a model, creating it if necessary.
func (q *Queue) pipelineOf(now time.Time, m fleet.ModelID) *pipeline {
	p := q.pipelines[m]
	if p == nil {
		p = newPipeline(now, q.cfg.SlotRate)
		q.pipelines[m] = p
		i, _ := slices.BinarySearch(q.order, m)
		q.order = slices.Insert(q.order, i, m)
	}
	return p
}

// SetCapacity sets this VM's share of a model's slots and appends the resulting actions to
// out.
func (q *Queue) SetCapacity(now time.Time, c Capacity, out []Action) []Action {
	p := q.pipelineOf(now, c.Model)
	p.slots, p.declaredRate = c.Slots, c.Rate
	return q.advance(p, now, out)
}

// Arrive queues, starts or refuses a request. It ignores a request whose ID is already queued
// or running.
func (q *Queue) Arrive(now time.Time, req Request, out []Action) []Action {
	if q.entries[req.ID] != nil {
		return out
	}
	p := q.pipelineOf(now, req.Model)
	p.decay(now)
	req.Cost = max(req.Cost, 1)
	if q.cfg.Order == Fair {
		p.setBurst(&q.cfg, req.Rank, q.totalWeight)
	}
	if req.Rank == fleet.Overnight && req.Deadline.IsZero() && q.cfg.Order == Fair {
		req.Deadline = now.Add(defaultOvernightDeadline)
	}
	p.arrivedCost[req.Rank] += req.Cost
	e := q.newEntry(now, req, p)
	if code, drainTime := q.checkAdmission(p, e, now); code != 0 {
		q.release(e)
		return append(out, Action{Kind: Refuse, Request: req.ID, Code: code, RetryAfter: retryAfter(drainTime, req.ID)})
	}
	q.entries[req.ID] = e
	p.ranks[q.queueRank(req.Rank)].push(e, p.ranks[q.queueRank(req.Rank)].bucketFor(q.bucketEnd(req)))
	return q.dispatch(p, now, out)
}

// Finish records the end of a running request with its actual cost and starts the requests
// that the freed capacity allows. It ignores an ID that is not running.
func (q *Queue) Finish(now time.Time, id fleet.RequestID, actual float64, out []Action) []Action {
	e := q.entries[id]
	if e == nil || e.index >= 0 {
		return out
	}
	p := e.pipe
	p.decay(now)
	q.applyCost(e, actual)
	if ran := now.Sub(e.started).Seconds(); ran > 0 && actual > 0 {
		p.finishedCost += actual
		p.finishedTime += ran
	}
	p.inFlight[e.req.Rank]--
	p.totalInFlight--
	e.team.decay(now)
	e.team.running--
	delete(q.entries, id)
	q.release(e)
	return q.dispatch(p, now, out)
}

// CorrectCost replaces the estimated cost of a running request, for example when it produces
// more tokens than estimated.
func (q *Queue) CorrectCost(id fleet.RequestID, cost float64) {
	if e := q.entries[id]; e != nil && e.index < 0 {
		q.applyCost(e, cost)
	}
}

func (q *Queue) applyCost(e *entry, cost float64) {
	delta := cost - e.req.Cost
	e.req.Cost = cost
	rank := e.req.Rank
	e.pipe.ranks[q.queueRank(rank)].correctCounter(e.team, delta)
	e.pipe.startedCost[rank] = max(0, e.pipe.startedCost[rank]+delta)
	e.pipe.credit[rank] -= delta
}

// Cancel removes a queued request or frees the slot of a running one.
func (q *Queue) Cancel(now time.Time, id fleet.RequestID, out []Action) []Action {
	e := q.entries[id]
	if e == nil {
		return out
	}
	if e.index < 0 {
		p := e.pipe
		p.inFlight[e.req.Rank]--
		p.totalInFlight--
		e.team.decay(now)
		e.team.running--
		delete(q.entries, id)
		q.release(e)
		return q.dispatch(p, now, out)
	}
	e.pipe.ranks[q.queueRank(e.req.Rank)].remove(e)
	delete(q.entries, id)
	q.release(e)
	return out
}

// Tick refuses queued requests that can no longer be served in time and starts requests while
// the limits allow. It must be called at least every 100 ms.
func (q *Queue) Tick(now time.Time, out []Action) []Action {
	for _, m := range q.order {
		out = q.advance(q.pipelines[m], now, out)
	}
	if now.Sub(q.prunedAt) >= pruneInterval {
		q.prunedAt = now
		for _, p := range q.pipelines {
			for r := range p.ranks {
				p.ranks[r].prune()
			}
		}
	}
	return out
}

// Queued returns the number of queued requests of a rank over all models.
func (q *Queue) Queued(r fleet.Rank) int {
	n := 0
	for _, p := range q.pipelines {
		n += p.ranks[q.queueRank(r)].queued
	}
	return n
}

// InFlight returns the number of running requests of a model.
func (q *Queue) InFlight(m fleet.ModelID) int {
	if p := q.pipelines[m]; p != nil {
		return p.totalInFlight
	}
	return 0
}

// advance updates the measured rates of a pipeline, refuses requests that would start too
// late and starts requests.
func (q *Queue) advance(p *pipeline, now time.Time, out []Action) []Action {
	p.decay(now)
	if q.cfg.Order == Fair {
		out = q.sweep(p, fleet.Urgent, now, out)
		out = q.sweep(p, fleet.Lookup, now, out)
	}
	return q.dispatch(p, now, out)
}

// dispatch refuses expired requests at the heads of the queues and starts requests while the
// limits allow.
func (q *Queue) dispatch(p *pipeline, now time.Time, out []Action) []Action {
	for r := range p.ranks {
		for e := p.ranks[r].head(); e != nil && q.isExpired(e, now); e = p.ranks[r].head() {
			out = q.refuse(p, e, now, p.predictWait(&q.cfg, fleet.Rank(r), e.team, e.team.queuedCost), out)
		}
	}
	for {
		e := p.next(&q.cfg, now)
		if e == nil {
			return out
		}
		out = q.start(p, e, now, out)
	}
}

func (q *Queue) start(p *pipeline, e *entry, now time.Time, out []Action) []Action {
	share := q.cfg.Shares[fleet.Overnight]
	if q.cfg.Order == Fair {
		share = p.overnightShare(&q.cfg, now)
	}
	p.recordStart(&q.cfg, e, share)
	rq := &p.ranks[q.queueRank(e.req.Rank)]
	rq.remove(e)
	rq.charge(e.team, e.req.Cost)
	e.team.running++
	e.started = now
	return append(out, Action{Kind: Start, Request: e.req.ID, Waited: now.Sub(e.arrived)})
}

// refuse removes a queued request and appends the action that refuses it.
func (q *Queue) refuse(p *pipeline, e *entry, now time.Time, drainTime time.Duration, out []Action) []Action {
	id := e.req.ID
	waited := now.Sub(e.arrived)
	p.ranks[q.queueRank(e.req.Rank)].remove(e)
	delete(q.entries, id)
	q.release(e)
	return append(out, Action{Kind: Refuse, Request: id, Code: result.DeadlineCannotBeMet, RetryAfter: retryAfter(drainTime, id), Waited: waited})
}

// checkAdmission returns the code with which an arriving request is refused, or 0 if it is
// accepted. For a refused request it also returns the time after which a retry can succeed.
func (q *Queue) checkAdmission(p *pipeline, e *entry, now time.Time) (result.Code, time.Duration) {
	r := e.req.Rank
	rq := &p.ranks[q.queueRank(r)]
	if limit := q.cfg.MaxQueued[r]; limit > 0 && rq.queued >= limit {
		return result.QueueFull, p.predictWait(&q.cfg, r, e.team, rq.queuedCost)
	}
	if q.cfg.Order != Fair {
		return 0, 0
	}
	if p.slots <= 0 {
		return result.NoUpstream, time.Second
	}
	if r == fleet.Overnight {
		fits, excess := p.overnightFits(&q.cfg, now, q.bucketEnd(e.req).Add(-p.runTime(e.req.Cost)), e.team, e.req.Cost, q.totalWeight)
		if !fits {
			rate := max(q.cfg.Shares[r]*p.rate(), 1)
			return result.DeadlineCannotBeMet, seconds(excess / rate)
		}
		return 0, 0
	}
	wait := p.predictWait(&q.cfg, r, e.team, e.team.queuedCost)
	untilLatestStart := e.latestStart.Sub(now)
	if scale(wait, q.cfg.SafetyFactor) <= untilLatestStart {
		return 0, 0
	}
	// By then the predicted wait has fallen to half the time until the latest start.
	drainTime := wait - untilLatestStart/2
	if e.team.queuedCost > rq.queuedCost*e.team.weight/max(rq.activeWeight, e.team.weight) && rq.activeWeight > e.team.weight {
		return result.TeamOverShare, drainTime
	}
	return result.DeadlineCannotBeMet, drainTime
}

// queueRank returns the rank whose rankQueue holds the requests of rank r. FIFO holds the
// requests of all ranks in the first one.
func (q *Queue) queueRank(r fleet.Rank) fleet.Rank {
	if q.cfg.Order == FIFO {
		return 0
	}
	return r
}

// bucketEnd returns the end of the deadline bucket of a request. It is zero for ranks other
// than Overnight, which have a single bucket.
func (q *Queue) bucketEnd(req Request) time.Time {
	if q.cfg.Order != Fair || req.Rank != fleet.Overnight {
		return time.Time{}
	}
	return req.Deadline.Truncate(overnightBucket)
}

func (q *Queue) newEntry(now time.Time, req Request, p *pipeline) *entry {
	var e *entry
	if n := len(q.freeEntries); n > 0 {
		e = q.freeEntries[n-1]
		q.freeEntries = q.freeEntries[:n-1]
	} else {
		e = new(entry)
	}
	q.sequence++
	*e = entry{req: req, arrived: now, sequence: q.sequence, index: -1, pipe: p, latestStart: q.latestStart(now, req, p)}
	id := req.Team
	if q.cfg.Order != Fair {
		id = ""
	}
	e.team = p.ranks[q.queueRank(req.Rank)].teamOf(id, q.weight(id))
	return e
}

// unlimitedWait is the time until the latest start of a request without any limit. It is
// finite because entries are ordered by their latest start.
const unlimitedWait = 30 * 24 * time.Hour

// latestStart returns the latest time at which the request may start: it must start within
// MaxWait and complete by its deadline.
func (q *Queue) latestStart(now time.Time, req Request, p *pipeline) time.Time {
	latest := now.Add(unlimitedWait)
	if q.cfg.Order != Fair {
		return latest
	}
	if w := q.cfg.MaxWait[req.Rank]; w > 0 {
		latest = now.Add(w)
	}
	if !req.Deadline.IsZero() {
		if by := req.Deadline.Add(-p.runTime(req.Cost)); by.Before(latest) {
			latest = by
		}
	}
	return latest
}

// isExpired reports whether it is too late to start a queued request.
func (q *Queue) isExpired(e *entry, now time.Time) bool {
	if q.cfg.Order != Fair {
		return !e.req.Deadline.IsZero() && now.After(e.req.Deadline)
	}
	return now.After(e.latestStart)
}

// release clears an entry and keeps it for reuse.
func (q *Queue) release(e *entry) {
	*e = entry{}
	if len(q.freeEntries) < 1024 {
		q.freeEntries = append(q.freeEntries, e)
	}
}
