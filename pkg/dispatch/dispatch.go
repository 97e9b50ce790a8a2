// Package dispatch decides which generation starts next, which one waits and
// which one is refused. It is a pure state machine over a chain.Book: arrivals,
// ends and times go in, actions come out.
//
// Invariants:
//   - a request that waits can still have its first event while its caller is there;
//     one that cannot is refused in the same call;
//   - a rank that gets less than its guaranteed part of the starts, and less than
//     its floor of what it asks for, goes first; otherwise the more urgent rank does;
//   - within a rank, a caller who already has a part of the answer goes first;
//   - after that, a request that can still be on time goes before one that can't,
//     so that in a flood the engines' time goes to answers that are on time;
//   - after that, a caller who comes back after a refusal goes before a new one, and
//     then the team that has the least work on the engines;
//   - a request for which every chain needs a server that asked for a pause is refused at
//     once, until the pause ends;
//   - a full queue gives up the request that would go last, not the one that came last.
package dispatch

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Request is an arriving generation.
type Request struct {
	ID   fleet.RequestID
	Team fleet.TeamID
	// Rank is 0 for the most urgent work.
	Rank int
	Need chain.Need
	// Objective is the time to the first event of an answer that is on time.
	Objective time.Duration
	// Patience is how long the caller waits for the first event.
	Patience time.Duration
	// Begun is set when the caller has a part of the answer from a run that broke off,
	// Returned when it was refused before.
	Begun    bool
	Returned bool
}

// Action is a decision about one request.
type Action struct {
	Request fleet.RequestID
	// Chain is set when the request starts; nil when it is refused.
	Chain *chain.Chain
	// Why and RetryAfter are set for a refusal. A refused request ran nowhere.
	Why        chain.Failure
	RetryAfter time.Duration
	Waited     time.Duration
	// Ahead is the number of requests that waited when this one was refused.
	Ahead int
}

// Config holds the limits of a Queue.
type Config struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// RankFloor is the fraction of its requests, and Guaranteed the fraction of all
	// starts by rank, below which a rank goes before a more urgent one. Ranks beyond
	// the list share its last value.
	RankFloor  float64
	Guaranteed []float64
	// BaseRetry is the shortest Retry-After, MaxRetry the longest.
	BaseRetry time.Duration
	MaxRetry  time.Duration
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{MaxQueued: 256, RankFloor: 0.4, Guaranteed: []float64{0.5, 0.25, 0.15}, BaseRetry: 500 * time.Millisecond, MaxRetry: 6 * time.Second}
}

type waiter struct {
	Request
	arrived time.Time
	// latest is when it must start to be of use, onTime when it must start to be on time.
	latest time.Time
	onTime time.Time
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	book    *chain.Book
	waiting []*waiter // by arrival
	asked   map[int]*rate
	started map[int]*rate
	starts  rate
	teams   map[fleet.TeamID]float64 // tokens on the engines
	random  func() float64
}

// New returns an empty queue. random returns numbers in [0, 1).
func New(cfg Config, book *chain.Book, random func() float64) *Queue {
	return &Queue{
		cfg: cfg, book: book, random: random,
		asked: make(map[int]*rate), started: make(map[int]*rate), teams: make(map[fleet.TeamID]float64),
	}
}

// firstEventMargin is kept for the way of the first event to the caller.
const firstEventMargin = 100 * time.Millisecond

// Arrive starts, queues or refuses a request.
func (q *Queue) Arrive(now time.Time, r Request, out []Action) []Action {
	rateOf(q.asked, r.Rank).add(now, 1)
	q.book.Arrived(now)
	if len(q.waiting) == 0 || !q.preferred(now, r) {
		c, failure := q.book.Reserve(now, r.Need, nil)
		switch failure {
		case chain.NoFailure:
			return append(out, q.start(now, r, c, 0))
		case chain.Paused:
			return append(out, q.paused(now, r, 0))
		}
		if wait := q.predict(now, r); failure == chain.Full && wait > r.Patience {
			return append(out, q.refuse(r, failure, wait, 0))
		}
	} else if wait := q.predict(now, r); wait > r.Patience {
		return append(out, q.refuse(r, chain.Full, wait, 0))
	}
	q.waiting = append(q.waiting, newWaiter(now, r))
	if len(q.waiting) > q.cfg.MaxQueued {
		i := q.last(now)
		w := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		out = append(out, q.refuse(w.Request, chain.Full, q.cfg.MaxRetry, now.Sub(w.arrived)))
	}
	return out
}

func newWaiter(now time.Time, r Request) *waiter {
	return &waiter{
		Request: r, arrived: now,
		latest: now.Add(r.Patience - firstEventMargin), onTime: now.Add(r.Objective - firstEventMargin),
	}
}

// late reports whether a request can't be on time any more. That of a caller who comes
// back counts from its return: the caller waits for this attempt now.
func (w *waiter) late(now time.Time) bool { return now.After(w.onTime) }

// Cancel forgets a waiting request and reports whether it waited.
func (q *Queue) Cancel(id fleet.RequestID) bool {
	i := slices.IndexFunc(q.waiting, func(w *waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Again reserves a chain for a request that has started before and whose chain
// failed. It does not wait behind others, because its caller already has a part
// of the answer or has already waited.
func (q *Queue) Again(now time.Time, r Request, avoid map[fleet.UpstreamID]bool) (*chain.Chain, chain.Failure) {
	c, failure := q.book.Reserve(now, r.Need, avoid)
	if failure == chain.NoFailure {
		q.teams[r.Team] += tokens(r.Need)
	}
	return c, failure
}

// Release ends a request's use of a chain.
func (q *Queue) Release(r Request, c *chain.Chain) {
	q.book.Release(c)
	if q.teams[r.Team] -= tokens(r.Need); q.teams[r.Team] <= 0 {
		delete(q.teams, r.Team)
	}
}

// Tick refuses requests that can't be of use any more and starts those for which
// there is room. It is called after each change of the book and a few times a second.
func (q *Queue) Tick(now time.Time, out []Action) []Action {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool {
		if now.Before(w.latest) {
			return false
		}
		out = append(out, q.refuse(w.Request, chain.Full, q.predict(now, w.Request), now.Sub(w.arrived)))
		return true
	})
	for len(q.waiting) > 0 {
		i := q.next(now)
		w := q.waiting[i]
		c, failure := q.book.Reserve(now, w.Need, nil)
		if failure == chain.Paused {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			out = append(out, q.paused(now, w.Request, now.Sub(w.arrived)))
			continue
		}
		if failure != chain.NoFailure {
			return out
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		out = append(out, q.start(now, w.Request, c, now.Sub(w.arrived)))
	}
	return out
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

func tokens(n chain.Need) float64 { return float64(n.Prompt + n.Answer) }

func (q *Queue) start(now time.Time, r Request, c *chain.Chain, waited time.Duration) Action {
	rateOf(q.started, r.Rank).add(now, 1)
	q.starts.add(now, 1)
	q.teams[r.Team] += tokens(r.Need)
	return Action{Request: r.ID, Chain: c, Waited: waited}
}

func (q *Queue) refuse(r Request, why chain.Failure, wait, waited time.Duration) Action {
	// The spread keeps those refused together from coming back together.
	after := max(wait, q.cfg.BaseRetry)
	after += time.Duration(q.random() * float64(after))
	return Action{Request: r.ID, Why: why, RetryAfter: min(after, q.cfg.MaxRetry), Waited: waited, Ahead: len(q.waiting)}
}

// pausedSpread is the time over which those come back who are refused for pauses of
// servers, so that they do not all come with the end of the pause.
const pausedSpread = 250 * time.Millisecond

// paused refuses a request until servers without which no chain is complete take requests
// again.
func (q *Queue) paused(now time.Time, r Request, waited time.Duration) Action {
	after := q.book.PausedUntil(now).Sub(now) + time.Duration(q.random()*float64(pausedSpread))
	return Action{Request: r.ID, Why: chain.Paused, RetryAfter: after, Waited: waited, Ahead: len(q.waiting)}
}

// next returns the index of the waiting request that goes first.
func (q *Queue) next(now time.Time) int {
	best := 0
	for i := 1; i < len(q.waiting); i++ {
		if q.before(now, q.waiting[i], q.waiting[best]) {
			best = i
		}
	}
	return best
}

// last returns the index of the waiting request that goes last.
func (q *Queue) last(now time.Time) int {
	worst := 0
	for i := 1; i < len(q.waiting); i++ {
		if !q.before(now, q.waiting[i], q.waiting[worst]) {
			worst = i
		}
	}
	return worst
}

// preferred reports whether a waiting request goes before a new one.
func (q *Queue) preferred(now time.Time, r Request) bool {
	arriving := newWaiter(now, r)
	for _, w := range q.waiting {
		if !q.before(now, arriving, w) {
			return true
		}
	}
	return false
}

// before reports whether a goes before b, when b arrived first.
func (q *Queue) before(now time.Time, a, b *waiter) bool {
	if a.Rank != b.Rank {
		shortA, shortB := q.short(now, a.Rank), q.short(now, b.Rank)
		if shortA != shortB {
			return shortA
		}
		return a.Rank < b.Rank
	}
	if a.Begun != b.Begun {
		return a.Begun
	}
	if late := a.late(now); late != b.late(now) {
		return !late
	}
	if a.Returned != b.Returned {
		return a.Returned
	}
	return q.teams[a.Team] < q.teams[b.Team]
}

// short reports whether a rank gets less than it is guaranteed.
func (q *Queue) short(now time.Time, rank int) bool {
	started := rateOf(q.started, rank).at(now)
	return started < q.cfg.RankFloor*rateOf(q.asked, rank).at(now) && started < q.guaranteed(rank)*q.starts.at(now)
}

func (q *Queue) guaranteed(rank int) float64 {
	if len(q.cfg.Guaranteed) == 0 {
		return 0
	}
	return q.cfg.Guaranteed[min(max(rank, 0), len(q.cfg.Guaranteed)-1)]
}

// predict returns the expected wait of a request that arrives now: behind all that
// go before it, or behind those of its rank at the rank's guaranteed part, whichever
// is shorter.
func (q *Queue) predict(now time.Time, r Request) time.Duration {
	perSecond := q.starts.at(now) / rateWindow.Seconds()
	if perSecond <= 0 {
		return 0 // nothing started lately: there is nothing to predict from
	}
	ahead, same := 0, 0
	arriving := newWaiter(now, r)
	for _, w := range q.waiting {
		if q.before(now, arriving, w) {
			continue
		}
		ahead++
		if w.Rank == r.Rank {
			same++
		}
	}
	wait := float64(ahead) / perSecond
	if part := q.guaranteed(r.Rank) * perSecond; part > 0 {
		wait = min(wait, (float64(same)+1)/part)
	}
	return time.Duration(wait * float64(time.Second))
}

// rateWindow is the memory of a rate: long enough for some tens of requests of a
// VM, short enough to follow a flood.
const rateWindow = 2 * time.Second

// rate is a count that decays over rateWindow.
type rate struct {
	value float64
	when  time.Time
}

func (r *rate) at(now time.Time) float64 {
	if r.when.IsZero() {
		return 0
	}
	left := 1 - now.Sub(r.when).Seconds()/rateWindow.Seconds()
	return r.value * max(left, 0)
}

func (r *rate) add(now time.Time, n float64) {
	r.value = r.at(now) + n
	r.when = now
}

func rateOf(rates map[int]*rate, rank int) *rate {
	r := rates[rank]
	if r == nil {
		r = &rate{}
		rates[rank] = r
	}
	return r
}
