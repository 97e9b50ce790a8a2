package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
)

const (
	// maxPanics is the number of panics within panicWindow above which the process ends: if
	// the state makes every event fail, a new process that reads it again is better. A
	// single malformed message or request must not cost the streams of all callers.
	maxPanics   = 20
	panicWindow = 10 * time.Second
	// restartPause is the pause before a loop that panicked is restarted.
	restartPause = 100 * time.Millisecond
)

// panics counts recovered panics. It is safe for concurrent use.
type panics struct {
	mu    sync.Mutex
	count int
	since time.Time
}

// recordAndCheckLimit records a panic and reports whether the process should end.
func (p *panics) recordAndCheckLimit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) > panicWindow {
		p.count, p.since = 0, now
	}
	p.count++
	return p.count > maxPanics
}

// handlePanic is deferred around a task. It recovers a panic, counts it, logs it with its
// stack and sets failed; it panics again if the process should end.
func (g *Gateway) handlePanic(task string, failed *bool) {
	p := recover()
	if p == nil {
		return
	}
	*failed = true
	g.stats.Count("panics", "task", task)
	g.log.Log(event.TaskPanicked).Str("task", task).Str("error", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Send()
	if g.panics.recordAndCheckLimit(time.Now()) {
		panic(p)
	}
}

// runRecovered runs a task and reports whether it ended without a panic.
func (g *Gateway) runRecovered(task string, f func()) bool {
	failed := false
	func() {
		defer g.handlePanic(task, &failed)
		f()
	}()
	return !failed
}

// spawn runs a task in a goroutine of its own.
func (g *Gateway) spawn(task string, f func()) {
	g.tasks.Go(func() { g.runRecovered(task, f) })
}

// supervise runs a loop until ctx ends and restarts it after a panic.
func (g *Gateway) supervise(ctx context.Context, task string, loop func(context.Context)) {
	g.tasks.Go(func() {
		for !g.runRecovered(task, func() { loop(ctx) }) && sleep(ctx, restartPause) {
		}
	})
}

// recoverMiddleware closes the connection of a request whose handler panicked. It sends no
// answer, because it is not known what ran.
func (g *Gateway) recoverMiddleware(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		abort := false
		ok := g.runRecovered("request", func() {
			defer func() {
				// Aborting the connection on purpose is not a fault.
				if p := recover(); p != nil {
					if err, is := p.(error); is && errors.Is(err, http.ErrAbortHandler) {
						abort = true
						return
					}
					panic(p)
				}
			}()
			handler.ServeHTTP(w, r)
		})
		if abort || !ok {
			panic(http.ErrAbortHandler)
		}
	})
}
