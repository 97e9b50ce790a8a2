package admission

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// pruneInterval is how often idle teams are forgotten.
const pruneInterval = time.Minute

// defaultNight is the deadline of overnight work that names none.
const defaultNight = 24 * time.Hour

// Queue is the admission state of one entry VM. It is not safe for concurrent use.
type Queue struct {
	cfg        Config
	pipes      map[fleet.ModelID]*pipeline
	order      []fleet.ModelID // the models in sorted order, for deterministic ticks
	entries    map[fleet.RequestID]*entry
	free       []*entry
	sequence   uint64
	prunedAt   time.Time
	allWeights float64
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg, pipes: make(map[fleet.ModelID]*pipeline), entries: make(map[fleet.RequestID]*entry)}
	for _, w := range cfg.Weights {
		q.allWeights += w
	}
	return q
}

// SetConfig replaces the limits. Queued requests keep their place; the order cannot change.
func (q *Queue) SetConfig(cfg Config) {
	cfg.Order = q.cfg.Order
	q.cfg = cfg
	q.allWeights = 0
	for _, w := range cfg.Weights {
		q.allWeights += w
	}
	for _, p := range q.pipes {
		for r := range p.ranks {
			q.reweigh(&p.ranks[r])
		}
	}
}

// reweigh applies changed weights to the teams of a rank.
func (q *Queue) reweigh(rq *rankQueue) {
	rq.weight = 0
	for id, t := range rq.teams {
		t.weight = q.weight(id)
		if t.queued > 0 {
			rq.weight += t.weight
		}
	}
}

func (q *Queue) weight(id fleet.TeamID) float64 {
	if w, ok := q.cfg.Weights[id]; ok && w > 0 {
		return w
	}
	return 1
}

func (q *Queue) pipe(now time.Time, m fleet.ModelID) *pipeline {
	p := q.pipes[m]
	if p == nil {
		p = newPipeline(now, q.cfg.SlotRate)
		q.pipes[m] = p
		i, _ := slices.BinarySearch(q.order, m)
		q.order = slices.Insert(q.order, i, m)
	}
	return p
}

// SetCapacity sets this VM's share of a model's slots and appends the actions that follow.
func (q *Queue) SetCapacity(now time.Time, c Capacity, out []Action) []Action {
	p := q.pipe(now, c.Model)
	p.slots, p.declared = c.Slots, c.Rate
	return q.advance(p, now, out)
}

// Arrive queues, starts or refuses a request. A request id that is already
// known is ignored.
func (q *Queue) Arrive(now time.Time, req Request, out []Action) []Action {
	if q.entries[req.ID] != nil {
		return out
	}
	p := q.pipe(now, req.Model)
	p.decay(now)
	req.Cost = max(req.Cost, 1)
	if q.cfg.Order == Fair {
		p.setBurst(&q.cfg, req.Rank, q.allWeights)
	}
	if req.Rank == fleet.Overnight && req.Deadline.IsZero() && q.cfg.Order == Fair {
		req.Deadline = now.Add(defaultNight)
	}
	p.offered[req.Rank] += req.Cost
	e := q.newEntry(now, req, p)
	if code, drain := q.check(p, e, now); code != 0 {
		q.release(e)
		return append(out, Action{Kind: Refuse, Request: req.ID, Code: code, RetryAfter: retryAfter(drain, req.ID)})
	}
	q.entries[req.ID] = e
	p.ranks[q.lane(req.Rank)].push(e, p.ranks[q.lane(req.Rank)].bucketFor(q.bucketEnd(req)))
	return q.drain(p, now, out)
}

// Finish books the end of a running request with its actual cost and starts
// what the freed capacity allows. An id that is not running is ignored.
func (q *Queue) Finish(now time.Time, id fleet.RequestID, actual float64, out []Action) []Action {
	e := q.entries[id]
	if e == nil || e.index >= 0 {
		return out
	}
	p := e.pipe
	p.decay(now)
	q.correct(e, actual)
	if ran := now.Sub(e.started).Seconds(); ran > 0 && actual > 0 {
		p.doneCost += actual
		p.doneTime += ran
	}
	p.inFlight[e.req.Rank]--
	p.total--
	e.team.decay(now)
	e.team.running--
	delete(q.entries, id)
	q.release(e)
	return q.drain(p, now, out)
}

// Correct replaces the estimated cost of a running request, for example when it
// produces more tokens than estimated.
func (q *Queue) Correct(id fleet.RequestID, cost float64) {
	if e := q.entries[id]; e != nil && e.index < 0 {
		q.correct(e, cost)
	}
}

func (q *Queue) correct(e *entry, cost float64) {
	delta := cost - e.req.Cost
	e.req.Cost = cost
	rank := e.req.Rank
	e.pipe.ranks[q.lane(rank)].correct(e.team, delta)
	e.pipe.used[rank] = max(0, e.pipe.used[rank]+delta)
	e.pipe.credit[rank] -= delta
}

// Cancel removes a queued request, or frees the slot of a running one.
func (q *Queue) Cancel(now time.Time, id fleet.RequestID, out []Action) []Action {
	e := q.entries[id]
	if e == nil {
		return out
	}
	if e.index < 0 {
		p := e.pipe
		p.inFlight[e.req.Rank]--
		p.total--
		e.team.decay(now)
		e.team.running--
		delete(q.entries, id)
		q.release(e)
		return q.drain(p, now, out)
	}
	e.pipe.ranks[q.lane(e.req.Rank)].remove(e)
	delete(q.entries, id)
	q.release(e)
	return out
}

// Tick refuses waiting requests that can no longer be served in time and starts
// what may start. It is called at least every 100 ms.
func (q *Queue) Tick(now time.Time, out []Action) []Action {
	for _, m := range q.order {
		out = q.advance(q.pipes[m], now, out)
	}
	if now.Sub(q.prunedAt) >= pruneInterval {
		q.prunedAt = now
		for _, p := range q.pipes {
			for r := range p.ranks {
				p.ranks[r].prune()
			}
		}
	}
	return out
}

// Queued returns the waiting requests of a rank over all models.
func (q *Queue) Queued(r fleet.Rank) int {
	n := 0
	for _, p := range q.pipes {
		n += p.ranks[q.lane(r)].queued
	}
	return n
}

// InFlight returns the running requests of a model.
func (q *Queue) InFlight(m fleet.ModelID) int {
	if p := q.pipes[m]; p != nil {
		return p.total
	}
	return 0
}

// advance ages the measures of a pipeline, checks deadlines and starts requests.
func (q *Queue) advance(p *pipeline, now time.Time, out []Action) []Action {
	p.decay(now)
	if q.cfg.Order == Fair {
		out = q.sweep(p, fleet.Urgent, now, out)
		out = q.sweep(p, fleet.Lookup, now, out)
	}
	return q.drain(p, now, out)
}

// drain refuses expired heads and starts requests while the limits allow.
func (q *Queue) drain(p *pipeline, now time.Time, out []Action) []Action {
	for r := range p.ranks {
		for e := p.ranks[r].head(); e != nil && q.expired(e, now); e = p.ranks[r].head() {
			out = q.refuse(p, e, now, p.wait(&q.cfg, fleet.Rank(r), e.team, e.team.work), out)
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
	p.account(&q.cfg, e, share)
	rq := &p.ranks[q.lane(e.req.Rank)]
	rq.remove(e)
	rq.charge(e.team, e.req.Cost)
	e.team.running++
	e.started = now
	return append(out, Action{Kind: Start, Request: e.req.ID, Waited: now.Sub(e.arrived)})
}

// refuse removes a waiting request and tells its caller.
func (q *Queue) refuse(p *pipeline, e *entry, now time.Time, drain time.Duration, out []Action) []Action {
	id := e.req.ID
	waited := now.Sub(e.arrived)
	p.ranks[q.lane(e.req.Rank)].remove(e)
	delete(q.entries, id)
	q.release(e)
	return append(out, Action{Kind: Refuse, Request: id, Code: result.DeadlineUnmet, RetryAfter: retryAfter(drain, id), Waited: waited})
}

// check returns the code with which an arriving request is refused, 0 when it
// is accepted, and the time after which coming back helps.
func (q *Queue) check(p *pipeline, e *entry, now time.Time) (result.Code, time.Duration) {
	r := e.req.Rank
	rq := &p.ranks[q.lane(r)]
	if limit := q.cfg.MaxQueued[r]; limit > 0 && rq.queued >= limit {
		return result.QueueFull, p.wait(&q.cfg, r, e.team, rq.work)
	}
	if q.cfg.Order != Fair {
		return 0, 0
	}
	if p.slots <= 0 {
		return result.NoUpstream, time.Second
	}
	if r == fleet.Overnight {
		fits, excess := p.overnightFits(&q.cfg, now, q.bucketEnd(e.req).Add(-p.runTime(e.req.Cost)), e.team, e.req.Cost, q.allWeights)
		if !fits {
			rate := max(q.cfg.Shares[r]*p.rate(), 1)
			return result.DeadlineUnmet, seconds(excess / rate)
		}
		return 0, 0
	}
	wait := p.wait(&q.cfg, r, e.team, e.team.work)
	budget := e.latestStart.Sub(now)
	if scale(wait, q.cfg.Safety) <= budget {
		return 0, 0
	}
	// The caller comes back when the work ahead has fallen to half the budget.
	drain := wait - budget/2
	if e.team.work > rq.work*e.team.weight/max(rq.weight, e.team.weight) && rq.weight > e.team.weight {
		return result.TeamOverShare, drain
	}
	return result.DeadlineUnmet, drain
}

// lane returns the rank queue that holds rank r: FIFO keeps all ranks in one.
func (q *Queue) lane(r fleet.Rank) fleet.Rank {
	if q.cfg.Order == FIFO {
		return 0
	}
	return r
}

// bucketEnd returns the deadline bucket of a request; ranks other than
// overnight have a single one.
func (q *Queue) bucketEnd(req Request) time.Time {
	if q.cfg.Order != Fair || req.Rank != fleet.Overnight {
		return time.Time{}
	}
	return req.Deadline.Truncate(overnightBucket)
}

func (q *Queue) newEntry(now time.Time, req Request, p *pipeline) *entry {
	var e *entry
	if n := len(q.free); n > 0 {
		e = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		e = new(entry)
	}
	q.sequence++
	*e = entry{req: req, arrived: now, sequence: q.sequence, index: -1, pipe: p, latestStart: q.latestStart(now, req, p)}
	id := req.Team
	if q.cfg.Order != Fair {
		id = ""
	}
	e.team = p.ranks[q.lane(req.Rank)].teamOf(id, q.weight(id))
	return e
}

// maxWait stands for no bound in the order of a lane.
const maxWait = 30 * 24 * time.Hour

// latestStart returns the last time at which starting the request is useful.
func (q *Queue) latestStart(now time.Time, req Request, p *pipeline) time.Time {
	latest := now.Add(maxWait)
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

// expired reports whether starting a waiting request is no longer useful.
func (q *Queue) expired(e *entry, now time.Time) bool {
	if q.cfg.Order != Fair {
		return !e.req.Deadline.IsZero() && now.After(e.req.Deadline)
	}
	return now.After(e.latestStart)
}

func (q *Queue) release(e *entry) {
	*e = entry{}
	if len(q.free) < 1024 {
		q.free = append(q.free, e)
	}
}
