package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// gatherShare is the inverse share of a step in which sequences may still join
// it. Without it sequences that arrive together fall into two steps for good.
const gatherShare = 50

// work is the running of some positions of one sequence.
type work struct {
	ctx  context.Context
	rank fleet.Rank
	left int
	done chan struct{}
}

// batch forms steps of at most slots sequences, lower ranks first.
type batch struct {
	mu      sync.Mutex
	queue   []*work
	running bool
}

// add queues work and starts the step loop unless it runs.
func (b *batch) add(e *Engine, w *work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, w)
	if !b.running {
		b.running = true
		go b.loop(e, e.lifetime())
	}
}

// loop runs steps until the queue is empty or the engine crashes.
func (b *batch) loop(e *Engine, life context.Context) {
	for {
		gather := e.stepTime(0) / gatherShare
		_ = sleep(life, gather)
		step := b.take(e.config.Slots, life)
		if step == nil {
			return
		}
		further := 0
		for _, w := range step {
			n := min(w.left, e.config.PrefillChunk)
			w.left -= n
			further += max(0, n-1)
		}
		if sleep(life, e.stepTime(further)-gather) != nil {
			continue
		}
		if e.awaitRunning(life, StallCompute, StallAll) != nil {
			continue
		}
		b.finish(step)
	}
}

// take removes the next step from the queue. It returns nil, and marks the loop
// as ended, when there is none.
func (b *batch) take(slots int, life context.Context) []*work {
	b.mu.Lock()
	defer b.mu.Unlock()
	if life.Err() != nil {
		b.queue = nil
	}
	var step, rest []*work
	for rank := fleet.Rank(0); rank < fleet.RankCount; rank++ {
		for _, w := range b.queue {
			switch {
			case w.rank != rank || w.ctx.Err() != nil:
			case len(step) < slots:
				step = append(step, w)
			default:
				rest = append(rest, w)
			}
		}
	}
	b.queue = rest
	b.running = len(step) > 0
	return step
}

// finish reports the sequences that are through and puts the others back in front.
func (b *batch) finish(step []*work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var again []*work
	for _, w := range step {
		if w.left > 0 {
			again = append(again, w)
		} else {
			close(w.done)
		}
	}
	b.queue = append(again, b.queue...)
}

// stepTime returns the time of a step with this many positions beyond the first of each sequence.
func (e *Engine) stepTime(further int) time.Duration {
	e.mu.Lock()
	layers := e.assignment.Layers.Len()
	e.mu.Unlock()
	perLayer := time.Duration(e.config.StepPerLayer) + time.Duration(further)*time.Duration(e.config.PrefillPerLayer)
	return time.Duration(float64(layers) * float64(perLayer) * e.slow())
}

// seats admits generations to a head engine, lower ranks first.
type seats struct {
	mu      sync.Mutex
	limit   int
	taken   int
	waiting [fleet.RankCount][]chan struct{}
}

// count returns the admitted and the waiting generations.
func (s *seats) count() (taken, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range s.waiting {
		waiting += len(queue)
	}
	return s.taken, waiting
}

// take returns a channel that is closed when the generation is admitted.
func (s *seats) take(rank fleet.Rank) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	seat := make(chan struct{})
	if s.taken < s.limit {
		s.taken++
		close(seat)
		return seat
	}
	rank = min(rank, fleet.RankCount-1)
	s.waiting[rank] = append(s.waiting[rank], seat)
	return seat
}

// give returns a seat, or withdraws the wait for it, and admits the next generation.
func (s *seats) give(seat chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rank, queue := range s.waiting {
		for i, other := range queue {
			if other == seat {
				s.waiting[rank] = append(queue[:i:i], queue[i+1:]...)
				return
			}
		}
	}
	for rank, queue := range s.waiting {
		if len(queue) > 0 {
			s.waiting[rank] = queue[1:]
			close(queue[0])
			return
		}
	}
	s.taken--
}
