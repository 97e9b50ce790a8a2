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
	index       int // position in the lane's heap, -1 while running
	lane        *lane
	team        *team
	pipe        *pipeline
}

// before orders entries of one lane by latest start, then by arrival.
func (e *entry) before(o *entry) bool {
	if !e.latestStart.Equal(o.latestStart) {
		return e.latestStart.Before(o.latestStart)
	}
	return e.sequence < o.sequence
}

// entryHeap implements heap.Interface over the entries of one lane.
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

// team holds the virtual token counter of a team within a rank.
type team struct {
	id      fleet.TeamID
	weight  float64
	counter float64 // started cost divided by weight
	queued  int
	running int
	level   float64 // recent mean of running
	levelAt time.Time
	work    float64 // queued cost
}

// decay ages the level to now; it is called before running changes.
func (t *team) decay(now time.Time) {
	keep := math.Exp2(-float64(now.Sub(t.levelAt)) / float64(paceHalfLife))
	t.level = t.level*keep + float64(t.running)*(1-keep)
	t.levelAt = now
}

// paced reports whether the team may take one of the last free slots: it does
// not grow much faster than it has been running.
func (t *team) paced(now time.Time) bool {
	t.decay(now)
	return float64(t.running+1) <= paceFactor*t.level+paceFree
}

// lane holds the queued requests of one team in one bucket.
type lane struct {
	team    *team
	bucket  *bucket
	key     float64 // the team's counter when the lane was last placed in the heap
	index   int
	entries entryHeap
}

// laneHeap implements heap.Interface over the teams of a bucket.
type laneHeap []*lane

func (h laneHeap) Len() int { return len(h) }
func (h laneHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].team.id < h[j].team.id
}
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.index = -1
	return l
}

// bucket holds the queued requests whose deadlines fall into one interval.
type bucket struct {
	end   time.Time // the earliest deadline of the interval; zero for ranks with one bucket
	work  float64
	lanes map[fleet.TeamID]*lane
	heap  laneHeap
}
