// Package dispatch schedules the generations of one service: it decides which request
// starts next, which one waits and which one is refused. It performs no I/O and does not read
// the clock: arrivals, completions and times go in, actions come out. It reserves and
// releases chains in a chain.Allocator.
//
// Rules:
//   - Submit refuses a request whose estimated wait exceeds its first-event timeout, except
//     one without a request ahead of it for which no complete chain exists. The wait may be one
//     in the queue, or one for prompts that the engines have still to read. Tick refuses a
//     queued one that can no longer start deliveryBudget before its first-event timeout;
//   - a rank that is below both its guaranteed share of recent starts and its floor, a
//     fraction of its own recent requests, goes first; otherwise the more urgent rank does;
//   - within a rank, a request that resumes a partial answer goes first;
//   - after that, a request that can still meet its objective goes before one that can't,
//     so that under overload the engines work on answers that are on time;
//   - after that, a request that was refused before goes before a new one, and then the
//     request of the team with the fewest tokens on the engines;
//   - after that, the request that arrived first goes first;
//   - while every complete chain includes a server that asked for a pause, requests are
//     refused: on arrival if no request is ahead of them, otherwise when Tick reaches them;
//   - a full queue evicts the request with the lowest priority, not the latest arrival.
package dispatch

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Request is a generation to schedule.
type Request struct {
	ID   fleet.RequestID
	Team fleet.TeamID
	// Rank is 0 for the most urgent work.
	Rank int
	// Need states the resources and the latency that the request needs.
	Need chain.Need
	// Objective is the target time to the first event.
	Objective time.Duration
	// FirstEventTimeout is the time after arrival by which the first event must be sent. A
	// queued request must start deliveryBudget earlier.
	FirstEventTimeout time.Duration
	// Resumed is set when the caller already has a part of the answer from an interrupted run.
	Resumed bool
	// PreviouslyRefused is set when the caller retries after a refusal.
	PreviouslyRefused bool
	// Isolated is set for a request that may crash the first server of its chain. It starts where the
	// end of that server breaks the fewest requests.
	Isolated bool
}

// Action is the decision to start or to refuse one request. No server has run any part of a
// refused request.
type Action struct {
	Request fleet.RequestID
	// Chain is the chain reserved for a request that starts, nil for a refused one.
	Chain *chain.Chain
	// Reason and RetryAfter are set for a refusal.
	Reason     chain.Failure
	RetryAfter time.Duration
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// QueueLength is the number of queued requests when a request is refused. It includes the
	// refused request, and others refused by the same call, only if they reached their
	// first-event timeout in the queue.
	QueueLength int
}

// Config holds the limits of a Queue.
type Config struct {
	// MaxQueued bounds the queued requests.
	MaxQueued int
	// RankFloor is the fraction of a rank's own requests that should start. A rank goes
	// before more urgent ones while it is below both this floor and its guaranteed share.
	RankFloor float64
	// GuaranteedShares holds, for each rank, the fraction of recent starts below which the
	// rank may go before more urgent ones (see RankFloor). Ranks beyond the list use its last
	// value.
	GuaranteedShares []float64
	// MinRetryAfter is the shortest Retry-After of a request refused for lack of capacity.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest Retry-After of such a request.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{MaxQueued: 256, RankFloor: 0.4, GuaranteedShares: []float64{0.5, 0.25, 0.15}, MinRetryAfter: 500 * time.Millisecond, MaxRetryAfter: 6 * time.Second}
}

type queuedRequest struct {
	Request
	arrived time.Time
	// startDeadline is the latest start that still leaves deliveryBudget before the
	// first-event timeout.
	startDeadline time.Time
	// objectiveDeadline is the latest start that still leaves deliveryBudget before the
	// objective. When a caller sends a refused request again, the objective counts from the
	// new arrival, because the caller now waits for this attempt.
	objectiveDeadline time.Time
}

// Queue holds the queued requests of one service. It is not safe for concurrent use.
type Queue struct {
	cfg            Config
	allocator      *chain.Allocator
	queued         []*queuedRequest         // in order of arrival
	arrivalsByRank map[int]*decayingCount   // recent arrivals
	startsByRank   map[int]*decayingCount   // recent starts
	totalStarts    decayingCount            // recent starts of all ranks
	teamTokens     map[fleet.TeamID]float64 // tokens reserved on the engines
	random         func() float64
	// firstSubmit is the time of the first Submit.
	firstSubmit time.Time
}

// New returns an empty queue. random returns numbers in [0, 1).
func New(cfg Config, allocator *chain.Allocator, random func() float64) *Queue {
	return &Queue{
		cfg: cfg, allocator: allocator, random: random,
		arrivalsByRank: make(map[int]*decayingCount), startsByRank: make(map[int]*decayingCount), teamTokens: make(map[fleet.TeamID]float64),
	}
}

// deliveryBudget is the time kept between the latest start of a request and its first-event
// timeout or objective, for the delivery of the first event to the caller.
const deliveryBudget = 100 * time.Millisecond

// Submit starts, queues or refuses a request and appends the resulting actions to out. A
// queued request has no action yet. If the queue is full, the request with the lowest
// priority is refused, which may be another one.
func (q *Queue) Submit(now time.Time, r Request, out []Action) []Action {
	if q.firstSubmit.IsZero() {
		q.firstSubmit = now
	}
	countForRank(q.arrivalsByRank, r.Rank).add(now, 1)
	q.allocator.RecordArrival(now)
	if len(q.queued) == 0 || !q.hasRequestAhead(now, r) {
		c, failure := q.reserve(now, r, nil)
		switch failure {
		case chain.NoFailure:
			if excess := firstEventExcess(r, c); excess > 0 {
				q.allocator.Release(c)
				return append(out, q.refuse(r, chain.Full, excess, 0))
			}
			return append(out, q.start(now, r, c, 0))
		case chain.Paused:
			return append(out, q.refusePaused(now, r, 0))
		}
		if wait := q.estimateWait(now, r); failure == chain.Full && wait > r.FirstEventTimeout {
			return append(out, q.refuse(r, failure, wait, 0))
		}
	} else if wait := q.estimateWait(now, r); wait > r.FirstEventTimeout {
		return append(out, q.refuse(r, chain.Full, wait, 0))
	}
	q.queued = append(q.queued, newQueuedRequest(now, r))
	if len(q.queued) > q.cfg.MaxQueued {
		i := q.lowestPriorityIndex(now)
		evicted := q.queued[i]
		q.queued = slices.Delete(q.queued, i, i+1)
		out = append(out, q.refuse(evicted.Request, chain.Full, q.cfg.MaxRetryAfter, now.Sub(evicted.arrived)))
	}
	return out
}

// firstEventExcess returns by how much the prompts that wait at the servers of a chain would make
// the first event later than the first-event timeout. The caller gives up then, and the engines
// work for nobody. A caller who has a part of the answer has nothing better to wait for.
func firstEventExcess(r Request, c *chain.Chain) time.Duration {
	if r.Resumed || c.QueueWait == 0 {
		return 0
	}
	return c.QueueWait + c.ExpectedFirstEvent - c.ExpectedWait + deliveryBudget - r.FirstEventTimeout
}

func newQueuedRequest(now time.Time, r Request) *queuedRequest {
	return &queuedRequest{
		Request: r, arrived: now,
		startDeadline: now.Add(r.FirstEventTimeout - deliveryBudget), objectiveDeadline: now.Add(r.Objective - deliveryBudget),
	}
}

// missesObjective reports whether a request can no longer meet its objective.
func (qr *queuedRequest) missesObjective(now time.Time) bool { return now.After(qr.objectiveDeadline) }

// Cancel removes a queued request and reports whether it was queued.
func (q *Queue) Cancel(id fleet.RequestID) bool {
	i := slices.IndexFunc(q.queued, func(qr *queuedRequest) bool { return qr.ID == id })
	if i < 0 {
		return false
	}
	q.queued = slices.Delete(q.queued, i, i+1)
	return true
}

// ReserveForRetry reserves another chain, without any upstream in avoid, for a started request
// whose chain failed or refused it. The request bypasses the queue, because its caller already
// has a part of the answer or has already waited.
func (q *Queue) ReserveForRetry(now time.Time, r Request, avoid map[fleet.UpstreamID]bool) (*chain.Chain, chain.Failure) {
	c, failure := q.reserve(now, r, avoid)
	if failure == chain.NoFailure {
		q.teamTokens[r.Team] += reservedTokens(c.Need())
	}
	return c, failure
}

func (q *Queue) reserve(now time.Time, r Request, avoid map[fleet.UpstreamID]bool) (*chain.Chain, chain.Failure) {
	if r.Isolated {
		return q.allocator.ReserveIsolated(now, r.Need, avoid)
	}
	return q.allocator.Reserve(now, r.Need, avoid)
}

// Release frees the chain c that was reserved for r.
func (q *Queue) Release(r Request, c *chain.Chain) {
	q.allocator.Release(c)
	if q.teamTokens[r.Team] -= reservedTokens(c.Need()); q.teamTokens[r.Team] <= 0 {
		delete(q.teamTokens, r.Team)
	}
}

// Tick refuses the queued requests that can no longer meet their first-event timeout. It then
// starts requests in order of priority until one cannot get a chain, and refuses those that
// cannot start because servers are paused. It must be called after each change of the
// allocator and a few times a second.
func (q *Queue) Tick(now time.Time, out []Action) []Action {
	q.queued = slices.DeleteFunc(q.queued, func(qr *queuedRequest) bool {
		if now.Before(qr.startDeadline) {
			return false
		}
		out = append(out, q.refuse(qr.Request, chain.Full, q.estimateWait(now, qr.Request), now.Sub(qr.arrived)))
		return true
	})
	for len(q.queued) > 0 {
		i := q.highestPriorityIndex(now)
		qr := q.queued[i]
		c, failure := q.reserve(now, qr.Request, nil)
		if failure == chain.Paused {
			q.queued = slices.Delete(q.queued, i, i+1)
			out = append(out, q.refusePaused(now, qr.Request, now.Sub(qr.arrived)))
			continue
		}
		if failure != chain.NoFailure {
			return out
		}
		q.queued = slices.Delete(q.queued, i, i+1)
		out = append(out, q.start(now, qr.Request, c, now.Sub(qr.arrived)))
	}
	return out
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.queued) }

func reservedTokens(n chain.Need) float64 { return float64(n.PromptTokens + n.AnswerTokens) }

func (q *Queue) start(now time.Time, r Request, c *chain.Chain, waited time.Duration) Action {
	countForRank(q.startsByRank, r.Rank).add(now, 1)
	q.totalStarts.add(now, 1)
	q.teamTokens[r.Team] += reservedTokens(r.Need)
	return Action{Request: r.ID, Chain: c, Waited: waited}
}

func (q *Queue) refuse(r Request, reason chain.Failure, expectedWait, waited time.Duration) Action {
	// The jitter keeps callers that are refused together from retrying together. It has no
	// effect on a wait of MaxRetryAfter or more.
	retryAfter := max(expectedWait, q.cfg.MinRetryAfter)
	retryAfter += time.Duration(q.random() * float64(retryAfter))
	return Action{Request: r.ID, Reason: reason, RetryAfter: min(retryAfter, q.cfg.MaxRetryAfter), Waited: waited, QueueLength: len(q.queued)}
}

// maxPauseJitter is the longest random delay that a Retry-After adds to the end of a pause, so
// that the refused callers do not all retry at that moment.
const maxPauseJitter = 250 * time.Millisecond

// refusePaused refuses a request because of paused servers. Its Retry-After lasts until enough
// pauses have ended for a complete chain, plus jitter.
func (q *Queue) refusePaused(now time.Time, r Request, waited time.Duration) Action {
	retryAfter := q.allocator.PausedUntil(now).Sub(now) + time.Duration(q.random()*float64(maxPauseJitter))
	return Action{Request: r.ID, Reason: chain.Paused, RetryAfter: retryAfter, Waited: waited, QueueLength: len(q.queued)}
}

// highestPriorityIndex returns the index of the queued request with the highest priority.
func (q *Queue) highestPriorityIndex(now time.Time) int {
	best := 0
	for i := 1; i < len(q.queued); i++ {
		if q.overtakes(now, q.queued[i], q.queued[best]) {
			best = i
		}
	}
	return best
}

// lowestPriorityIndex returns the index of the queued request with the lowest priority.
func (q *Queue) lowestPriorityIndex(now time.Time) int {
	worst := 0
	for i := 1; i < len(q.queued); i++ {
		if !q.overtakes(now, q.queued[i], q.queued[worst]) {
			worst = i
		}
	}
	return worst
}

// hasRequestAhead reports whether any queued request goes before an arriving one.
func (q *Queue) hasRequestAhead(now time.Time, r Request) bool {
	arriving := newQueuedRequest(now, r)
	for _, qr := range q.queued {
		if !q.overtakes(now, arriving, qr) {
			return true
		}
	}
	return false
}

// overtakes reports whether a goes before b. b must be the request that arrived first; it goes
// first in a tie.
func (q *Queue) overtakes(now time.Time, a, b *queuedRequest) bool {
	if a.Rank != b.Rank {
		belowA, belowB := q.belowGuarantee(now, a.Rank), q.belowGuarantee(now, b.Rank)
		if belowA != belowB {
			return belowA
		}
		return a.Rank < b.Rank
	}
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if missed := a.missesObjective(now); missed != b.missesObjective(now) {
		return !missed
	}
	if a.PreviouslyRefused != b.PreviouslyRefused {
		return a.PreviouslyRefused
	}
	return q.teamTokens[a.Team] < q.teamTokens[b.Team]
}

// belowGuarantee reports whether a rank is below both its floor and its guaranteed share.
func (q *Queue) belowGuarantee(now time.Time, rank int) bool {
	started := countForRank(q.startsByRank, rank).at(now)
	return started < q.cfg.RankFloor*countForRank(q.arrivalsByRank, rank).at(now) && started < q.guaranteedShare(rank)*q.totalStarts.at(now)
}

func (q *Queue) guaranteedShare(rank int) float64 {
	if len(q.cfg.GuaranteedShares) == 0 {
		return 0
	}
	return q.cfg.GuaranteedShares[min(max(rank, 0), len(q.cfg.GuaranteedShares)-1)]
}

// Ahead returns the number of queued requests that go before one that arrives now, and the
// estimated wait behind them.
func (q *Queue) Ahead(now time.Time, r Request) (ahead int, wait time.Duration) {
	arriving := newQueuedRequest(now, r)
	for _, qr := range q.queued {
		if !q.overtakes(now, arriving, qr) {
			ahead++
		}
	}
	if ahead > 0 {
		wait = q.estimateWait(now, r)
	}
	return ahead, wait
}

// estimateWait returns the shorter of two estimates for a request that arrives now: the
// requests ahead of it divided by the current rate of starts, and the requests ahead of it in
// its own rank, plus itself, divided by the rank's guaranteed share of that rate. It returns 0
// if there was no recent start. A request that is still queued may count itself as ahead.
func (q *Queue) estimateWait(now time.Time, r Request) time.Duration {
	observed := min(max(now.Sub(q.firstSubmit), minRateTime), decayTime)
	startsPerSecond := q.totalStarts.at(now) / observed.Seconds()
	if startsPerSecond <= 0 {
		return 0 // no recent start to estimate from
	}
	ahead, sameRank := 0, 0
	arriving := newQueuedRequest(now, r)
	for _, qr := range q.queued {
		if q.overtakes(now, arriving, qr) {
			continue
		}
		ahead++
		if qr.Rank == r.Rank {
			sameRank++
		}
	}
	wait := float64(ahead) / startsPerSecond
	if guaranteedStartsPerSecond := q.guaranteedShare(r.Rank) * startsPerSecond; guaranteedStartsPerSecond > 0 {
		wait = min(wait, (float64(sameRank)+1)/guaranteedStartsPerSecond)
	}
	return time.Duration(wait * float64(time.Second))
}

// minRateTime is the shortest time over which the rate of starts is computed. The requests that waited
// for the configuration of a VM arrive together, and the first ones start at once.
const minRateTime = 200 * time.Millisecond

// decayTime is the time in which a count decays to zero if nothing is added: long enough to
// cover a few dozen requests of one VM, short enough to follow a sudden overload.
const decayTime = 2 * time.Second

// decayingCount is a count that decays linearly to zero within decayTime of the last addition.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingCount) at(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	remaining := 1 - now.Sub(d.updatedAt).Seconds()/decayTime.Seconds()
	return d.value * max(remaining, 0)
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.value = d.at(now) + n
	d.updatedAt = now
}

// countForRank returns the count of a rank, which it creates if necessary.
func countForRank(counts map[int]*decayingCount, rank int) *decayingCount {
	d := counts[rank]
	if d == nil {
		d = &decayingCount{}
		counts[rank] = d
	}
	return d
}
