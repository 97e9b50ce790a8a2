package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// overnightBucket is the interval by which overnight deadlines are grouped:
// buckets are served by deadline, teams within a bucket by counter.
const overnightBucket = 10 * time.Minute

// maxBuckets bounds the distinct overnight deadlines; later ones share the last bucket's order.
const maxBuckets = 256

// rankQueue holds the queued requests of one rank and model.
type rankQueue struct {
	buckets []*bucket // by end
	teams   map[fleet.TeamID]*team
	queued  int
	work    float64 // queued cost
	weight  float64 // sum of the weights of teams with queued requests
	floor   float64 // highest counter at which a team was served
	burst   float64 // cost by which a team may re-enter below the floor
}

// teamOf returns the team's counter, creating it at the floor less the burst.
func (q *rankQueue) teamOf(id fleet.TeamID, weight float64) *team {
	t := q.teams[id]
	if t == nil {
		t = &team{id: id, weight: weight, counter: q.floor - q.burst/weight}
		q.teams[id] = t
	}
	return t
}

// bucketFor returns the bucket of a deadline, creating it in order.
func (q *rankQueue) bucketFor(end time.Time) *bucket {
	i, found := slices.BinarySearchFunc(q.buckets, end, func(b *bucket, t time.Time) int { return b.end.Compare(t) })
	if found {
		return q.buckets[i]
	}
	if len(q.buckets) >= maxBuckets && i > 0 {
		return q.buckets[i-1]
	}
	b := &bucket{end: end, lanes: make(map[fleet.TeamID]*lane)}
	q.buckets = slices.Insert(q.buckets, i, b)
	return b
}

// push queues an entry of the team in the bucket.
func (q *rankQueue) push(e *entry, b *bucket) {
	t := e.team
	if t.queued == 0 {
		q.weight += t.weight
		// An idle team accrues no credit: it re-enters at the floor less the burst.
		t.counter = max(t.counter, q.floor-q.burst/t.weight)
	}
	l := b.lanes[t.id]
	if l == nil {
		l = &lane{team: t, bucket: b, index: -1}
		b.lanes[t.id] = l
	}
	e.lane = l
	heap.Push(&l.entries, e)
	if l.index < 0 {
		l.key = t.counter
		heap.Push(&b.heap, l)
	}
	t.queued++
	t.work += e.req.Cost
	b.work += e.req.Cost
	q.queued++
	q.work += e.req.Cost
}

// head returns the next entry to serve, nil when the queue is empty.
func (q *rankQueue) head() *entry {
	if q.queued == 0 {
		return nil
	}
	b := q.buckets[0]
	for {
		l := b.heap[0]
		if l.key >= l.team.counter {
			return l.entries[0]
		}
		// The counter grew since the lane was placed, by a start in another
		// bucket or by a cost correction.
		l.key = l.team.counter
		heap.Fix(&b.heap, 0)
	}
}

// behind reports whether the entry's team stays below the floor when the entry
// starts: it got less than the others.
func (q *rankQueue) behind(e *entry) bool {
	return e.team.counter+e.req.Cost/e.team.weight <= q.floor
}

// pacedLook bounds the teams that pacedHead looks at; they are about those with
// the lowest counters.
const pacedLook = 16

// pacedHead returns the first entry of a team within its pace, nil if none of
// the first teams is.
func (q *rankQueue) pacedHead(now time.Time) *entry {
	if e := q.head(); e == nil || e.team.paced(now) {
		return e
	}
	var best *lane
	h := q.buckets[0].heap
	for _, l := range h[:min(len(h), pacedLook)] {
		if l.team.paced(now) && (best == nil || l.team.counter < best.team.counter) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.entries[0]
}

// remove takes an entry out of its lane and drops empty lanes and buckets.
func (q *rankQueue) remove(e *entry) {
	l, t := e.lane, e.team
	b := l.bucket
	heap.Remove(&l.entries, e.index)
	e.lane = nil
	t.queued--
	t.work -= e.req.Cost
	b.work -= e.req.Cost
	q.queued--
	q.work -= e.req.Cost
	if t.queued == 0 {
		t.work = 0
		q.weight -= t.weight
	}
	if len(l.entries) == 0 {
		heap.Remove(&b.heap, l.index)
	}
	// The single bucket of a rank without deadline buckets stays, with its
	// lanes, so that an arrival at an empty queue allocates nothing.
	if len(b.heap) == 0 && !b.end.IsZero() {
		i := slices.Index(q.buckets, b)
		q.buckets = slices.Delete(q.buckets, i, i+1)
	}
	if q.queued == 0 {
		q.work, q.weight = 0, 0
	}
}

// charge adds cost to the team's counter when one of its requests starts.
func (q *rankQueue) charge(t *team, cost float64) {
	q.floor = max(q.floor, t.counter)
	t.counter += cost / t.weight
}

// correct moves the team's counter after a cost correction.
func (q *rankQueue) correct(t *team, delta float64) {
	t.counter += delta / t.weight
	if delta >= 0 || t.queued == 0 || len(q.buckets) == 0 {
		return // head follows counters that grew
	}
	if l := q.buckets[0].lanes[t.id]; l != nil {
		l.key = t.counter
		heap.Fix(&q.buckets[0].heap, l.index)
	}
}

// prune forgets idle teams that owe nothing.
func (q *rankQueue) prune() {
	for id, t := range q.teams {
		if t.queued == 0 && t.running == 0 && t.counter <= q.floor {
			delete(q.teams, id)
			for _, b := range q.buckets {
				delete(b.lanes, id)
			}
		}
	}
}
