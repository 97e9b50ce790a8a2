package admission

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// entry is a queued or running request.
type entry struct {
	req         Request
	arrived     time.Time
	started     time.Time
	latestStart time.Time
	sequence    uint64
	index       int // position in the heap of the teamQueue, -1 while running
	teamQueue   *teamQueue
	team        *team
	pipe        *pipeline
}

// before orders the entries of a teamQueue by latest start, then by arrival.
func (e *entry) before(o *entry) bool {
	if !e.latestStart.Equal(o.latestStart) {
		return e.latestStart.Before(o.latestStart)
	}
	return e.sequence < o.sequence
}

// entryHeap implements heap.Interface over the entries of a teamQueue.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *entryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

// team holds the virtual token counter and the load of a team within a rank.
type team struct {
	id            fleet.TeamID
	weight        float64
	counter       float64 // started cost divided by weight
	queued        int
	running       int
	meanRunning   float64 // exponentially decaying mean of running
	meanDecayedAt time.Time
	queuedCost    float64
}

// decay updates meanRunning to now. It must be called before running changes.
func (t *team) decay(now time.Time) {
	keep := math.Exp2(-float64(now.Sub(t.meanDecayedAt)) / float64(paceHalfLife))
	t.meanRunning = t.meanRunning*keep + float64(t.running)*(1-keep)
	t.meanDecayedAt = now
}

// isWithinPace reports whether the team may take one of the last free slots: with one more
// request it still runs at most paceFactor times its recent mean plus paceFreeRequests.
func (t *team) isWithinPace(now time.Time) bool {
	t.decay(now)
	return float64(t.running+1) <= paceFactor*t.meanRunning+paceFreeRequests
}

// teamQueue holds the queued requests of one team in one bucket.
type teamQueue struct {
	team    *team
	bucket  *bucket
	key     float64 // the team's counter when its position in the heap was last updated
	index   int     // position in the heap of the bucket, -1 while not in it
	entries entryHeap
}

// teamQueueHeap implements heap.Interface over the teamQueues of a bucket, by team counter.
type teamQueueHeap []*teamQueue

func (h teamQueueHeap) Len() int { return len(h) }
func (h teamQueueHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].team.id < h[j].team.id
}
func (h teamQueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *teamQueueHeap) Push(x any) {
	tq := x.(*teamQueue)
	tq.index = len(*h)
	*h = append(*h, tq)
}
func (h *teamQueueHeap) Pop() any {
	old := *h
	tq := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	tq.index = -1
	return tq
}

// bucket holds the queued requests of a rank whose deadlines fall into one interval.
type bucket struct {
	end        time.Time // the earliest deadline of the interval, zero for ranks with a single bucket
	queuedCost float64
	teamQueues map[fleet.TeamID]*teamQueue
	heap       teamQueueHeap
}
