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
	// maxPanics within panicWindow end the process: state that makes every event fail is
	// better read anew by a fresh one. A single malformed message or request must not cost
	// the streams of all callers.
	maxPanics   = 20
	panicWindow = 10 * time.Second
	// restartPause is the pause before a loop that panicked goes on.
	restartPause = 100 * time.Millisecond
)

// panics counts recovered panics. It is safe for concurrent use.
type panics struct {
	mu    sync.Mutex
	count int
	since time.Time
}

// tooMany books a panic and reports whether the process should end.
func (p *panics) tooMany(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.since) > panicWindow {
		p.count, p.since = 0, now
	}
	p.count++
	return p.count > maxPanics
}

// recovered is deferred by a task. A panic ends that task, is counted and logged with its
// stack, and reported by failed.
func (g *Gateway) recovered(task string, failed *bool) {
	p := recover()
	if p == nil {
		return
	}
	*failed = true
	g.stats.Count("panics", "task", task)
	g.log.Log(event.TaskPanicked).Str("task", task).Str("error", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Send()
	if g.panics.tooMany(time.Now()) {
		panic(p)
	}
}

// guard runs a task and reports whether it ended without a panic.
func (g *Gateway) guard(task string, f func()) bool {
	failed := false
	func() {
		defer g.recovered(task, &failed)
		f()
	}()
	return !failed
}

// spawn runs a task in a goroutine of its own.
func (g *Gateway) spawn(task string, f func()) {
	g.tasks.Go(func() { g.guard(task, f) })
}

// keepRunning runs a loop until ctx ends; it goes on after a panic.
func (g *Gateway) keepRunning(ctx context.Context, task string, loop func(context.Context)) {
	g.tasks.Go(func() {
		for !g.guard(task, func() { loop(ctx) }) && pause(ctx, restartPause) {
		}
	})
}

// protect ends the connection of a request whose handler panicked, without an answer: it
// is not known what ran.
func (g *Gateway) protect(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		abort := false
		ok := g.guard("request", func() {
			defer func() {
				// A deliberate end of the connection is no fault.
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
