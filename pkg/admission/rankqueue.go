package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// overnightBucket is the interval by which overnight deadlines are grouped into buckets.
// Buckets are served by deadline, and the teams within a bucket by counter.
const overnightBucket = 10 * time.Minute

// maxBuckets bounds the number of overnight buckets. Once it is reached, a request without a
// matching bucket joins the bucket before its deadline.
const maxBuckets = 256

// rankQueue holds the queued requests of one rank and model.
type rankQueue struct {
	buckets      []*bucket // sorted by end
	teams        map[fleet.TeamID]*team
	queued       int
	queuedCost   float64
	activeWeight float64 // sum of the weights of teams with queued requests
	floor        float64 // highest counter at which a team was served
	burst        float64 // cost by which the counter of an idle team may be below the floor
}

// teamOf returns the team, creating it with a counter at the floor minus the burst.
func (q *rankQueue) teamOf(id fleet.TeamID, weight float64) *team {
	t := q.teams[id]
	if t == nil {
		t = &team{id: id, weight: weight, counter: q.floor - q.burst/weight}
		q.teams[id] = t
	}
	return t
}

// bucketFor returns the bucket with the given end, creating it if necessary.
func (q *rankQueue) bucketFor(end time.Time) *bucket {
	i, found := slices.BinarySearchFunc(q.buckets, end, func(b *bucket, t time.Time) int { return b.end.Compare(t) })
	if found {
		return q.buckets[i]
	}
	if len(q.buckets) >= maxBuckets && i > 0 {
		return q.buckets[i-1]
	}
	b := &bucket{end: end, teamQueues: make(map[fleet.TeamID]*teamQueue)}
	q.buckets = slices.Insert(q.buckets, i, b)
	return b
}

// push queues an entry in the bucket.
func (q *rankQueue) push(e *entry, b *bucket) {
	t := e.team
	if t.queued == 0 {
		q.activeWeight += t.weight
		// An idle team accrues no credit: its counter is at least the floor minus the burst.
		t.counter = max(t.counter, q.floor-q.burst/t.weight)
	}
	tq := b.teamQueues[t.id]
	if tq == nil {
		tq = &teamQueue{team: t, bucket: b, index: -1}
		b.teamQueues[t.id] = tq
	}
	e.teamQueue = tq
	heap.Push(&tq.entries, e)
	if tq.index < 0 {
		tq.key = t.counter
		heap.Push(&b.heap, tq)
	}
	t.queued++
	t.queuedCost += e.req.Cost
	b.queuedCost += e.req.Cost
	q.queued++
	q.queuedCost += e.req.Cost
}

// head returns the next entry to serve, or nil if the queue is empty.
func (q *rankQueue) head() *entry {
	if q.queued == 0 {
		return nil
	}
	b := q.buckets[0]
	for {
		tq := b.heap[0]
		if tq.key >= tq.team.counter {
			return tq.entries[0]
		}
		// The counter has grown since the key was set, by a start in another bucket or by a
		// cost correction.
		tq.key = tq.team.counter
		heap.Fix(&b.heap, 0)
	}
}

// isBelowFloor reports whether the counter of the entry's team stays at or below the floor
// even after the entry starts. The team then got less than the other teams.
func (q *rankQueue) isBelowFloor(e *entry) bool {
	return e.team.counter+e.req.Cost/e.team.weight <= q.floor
}

// maxPaceChecks bounds the number of teams that pacedHead checks. It checks the first teams
// in the heap, which are approximately those with the lowest counters.
const maxPaceChecks = 16

// pacedHead returns the first entry of the team with the lowest counter among those within
// their pace, or nil if none of the checked teams is within its pace.
func (q *rankQueue) pacedHead(now time.Time) *entry {
	if e := q.head(); e == nil || e.team.isWithinPace(now) {
		return e
	}
	var best *teamQueue
	h := q.buckets[0].heap
	for _, tq := range h[:min(len(h), maxPaceChecks)] {
		if tq.team.isWithinPace(now) && (best == nil || tq.team.counter < best.team.counter) {
			best = tq
		}
	}
	if best == nil {
		return nil
	}
	return best.entries[0]
}

// remove removes an entry from its teamQueue. An empty teamQueue leaves the heap, and an
// empty deadline bucket is dropped.
func (q *rankQueue) remove(e *entry) {
	tq, t := e.teamQueue, e.team
	b := tq.bucket
	heap.Remove(&tq.entries, e.index)
	e.teamQueue = nil
	t.queued--
	t.queuedCost -= e.req.Cost
	b.queuedCost -= e.req.Cost
	q.queued--
	q.queuedCost -= e.req.Cost
	if t.queued == 0 {
		t.queuedCost = 0
		q.activeWeight -= t.weight
	}
	if len(tq.entries) == 0 {
		heap.Remove(&b.heap, tq.index)
	}
	// The single bucket of a rank without deadline buckets is kept with its teamQueues, so
	// that an arrival at an empty queue allocates nothing.
	if len(b.heap) == 0 && !b.end.IsZero() {
		i := slices.Index(q.buckets, b)
		q.buckets = slices.Delete(q.buckets, i, i+1)
	}
	if q.queued == 0 {
		q.queuedCost, q.activeWeight = 0, 0
	}
}

// charge adds the cost of a request that starts to its team's counter.
func (q *rankQueue) charge(t *team, cost float64) {
	q.floor = max(q.floor, t.counter)
	t.counter += cost / t.weight
}

// correctCounter adjusts the team's counter after a cost correction.
func (q *rankQueue) correctCounter(t *team, delta float64) {
	t.counter += delta / t.weight
	if delta >= 0 || t.queued == 0 || len(q.buckets) == 0 {
		return // head updates the keys of counters that have grown
	}
	if tq := q.buckets[0].teamQueues[t.id]; tq != nil {
		tq.key = t.counter
		heap.Fix(&q.buckets[0].heap, tq.index)
	}
}

// prune deletes idle teams whose counter is not above the floor. A team above it must keep
// its counter, as it was served more than its share.
func (q *rankQueue) prune() {
	for id, t := range q.teams {
		if t.queued == 0 && t.running == 0 && t.counter <= q.floor {
			delete(q.teams, id)
			for _, b := range q.buckets {
				delete(b.teamQueues, id)
			}
		}
	}
}
