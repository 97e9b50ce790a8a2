package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// gatherDivisor sets how long sequences may still join a step after its start:
// 1/gatherDivisor of the duration of a step. Without this window, sequences that arrive
// together split into two alternating groups and never run in the same step again.
const gatherDivisor = 50

// sequenceWork is a request to run positions of one sequence. done is closed when
// none remain.
type sequenceWork struct {
	ctx       context.Context
	rank      fleet.Rank
	remaining int
	done      chan struct{}
}

// stepScheduler groups queued sequences into steps of at most EngineConfig.Slots
// sequences, in order of rank, most urgent first.
type stepScheduler struct {
	mu      sync.Mutex
	queue   []*sequenceWork
	running bool
}

// add queues work and starts the step loop if it is not running.
func (s *stepScheduler) add(e *Engine, w *sequenceWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, w)
	if !s.running {
		s.running = true
		go s.loop(e, e.runContext())
	}
}

// loop runs steps until the queue is empty or the engine crashes.
func (s *stepScheduler) loop(e *Engine, runCtx context.Context) {
	for {
		gatherTime := e.stepTime(0) / gatherDivisor
		_ = sleep(runCtx, gatherTime)
		step := s.nextStep(e.config.Slots, runCtx)
		if step == nil {
			return
		}
		extraPositions := 0
		for _, w := range step {
			n := min(w.remaining, e.config.PrefillChunk)
			w.remaining -= n
			extraPositions += max(0, n-1)
		}
		if sleep(runCtx, e.stepTime(extraPositions)-gatherTime) != nil {
			continue
		}
		if e.awaitRunning(runCtx, StallCompute, StallAll) != nil {
			continue
		}
		s.completeStep(step)
	}
}

// nextStep removes the sequences of the next step from the queue, and drops cancelled
// ones. If there are none, it marks the loop as stopped and returns nil. It empties the
// queue when runCtx is done.
func (s *stepScheduler) nextStep(slots int, runCtx context.Context) []*sequenceWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	if runCtx.Err() != nil {
		s.queue = nil
	}
	var step, rest []*sequenceWork
	for rank := fleet.Rank(0); rank < fleet.RankCount; rank++ {
		for _, w := range s.queue {
			switch {
			case w.rank != rank || w.ctx.Err() != nil:
			case len(step) < slots:
				step = append(step, w)
			default:
				rest = append(rest, w)
			}
		}
	}
	s.queue = rest
	s.running = len(step) > 0
	return step
}

// completeStep closes done of the sequences that have no positions left and puts the
// others back at the front of the queue.
func (s *stepScheduler) completeStep(step []*sequenceWork) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var unfinished []*sequenceWork
	for _, w := range step {
		if w.remaining > 0 {
			unfinished = append(unfinished, w)
		} else {
			close(w.done)
		}
	}
	s.queue = append(unfinished, s.queue...)
}

// stepTime returns the duration of a step. extraPositions is the number of positions
// after the first of each sequence.
func (e *Engine) stepTime(extraPositions int) time.Duration {
	e.mu.Lock()
	layers := e.assignment.Layers.Len()
	e.mu.Unlock()
	perLayer := time.Duration(e.config.StepPerLayer) + time.Duration(extraPositions)*time.Duration(e.config.PrefillPerLayer)
	return time.Duration(float64(layers) * float64(perLayer) * e.slowFactor())
}

// admissionQueue limits the concurrent generations of a head engine and queues further
// ones by rank, most urgent first.
type admissionQueue struct {
	mu       sync.Mutex
	limit    int
	admitted int
	waiting  [fleet.RankCount][]chan struct{}
}

// counts returns the number of admitted and of waiting generations.
func (q *admissionQueue) counts() (admitted, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, queue := range q.waiting {
		waiting += len(queue)
	}
	return q.admitted, waiting
}

// acquire requests admission. The returned channel is closed when the generation is
// admitted; the caller passes it to release in any case.
func (q *admissionQueue) acquire(rank fleet.Rank) chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	grant := make(chan struct{})
	if q.admitted < q.limit {
		q.admitted++
		close(grant)
		return grant
	}
	rank = min(rank, fleet.RankCount-1)
	q.waiting[rank] = append(q.waiting[rank], grant)
	return grant
}

// release withdraws the request if it is still waiting. Otherwise it ends the admission
// and admits the next waiting generation.
func (q *admissionQueue) release(grant chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for rank, queue := range q.waiting {
		for i, other := range queue {
			if other == grant {
				q.waiting[rank] = append(queue[:i:i], queue[i+1:]...)
				return
			}
		}
	}
	for rank, queue := range q.waiting {
		if len(queue) > 0 {
			q.waiting[rank] = queue[1:]
			close(queue[0])
			return
		}
	}
	q.admitted--
}
