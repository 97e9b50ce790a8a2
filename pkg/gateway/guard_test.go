package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/stats"
	"github.com/cornelline/cornelline/platform"
)

func guarded(log *bytes.Buffer) *Gateway {
	g := &Gateway{
		settings: platform.Settings{Self: fleet.VM{ID: "vm", DataCentre: "a"}}, stats: stats.New(), started: time.Now(),
		log: event.New(log, "vm", zerolog.InfoLevel), stopper: newStopper(), budgets: newBudgets(), returns: newReturns(),
	}
	g.view.Store(emptyView())
	g.control = newControl(g)
	return g
}

// TestOnePanicEndsOneEvent: an event, a message or a request that makes the process panic
// ends by itself, with a log line that has its stack; the others go on.
func TestOnePanicEndsOneEvent(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	g := guarded(&log)
	var nothing *peering.State
	handled := 0
	g.control.handle(time.Now(), func(now time.Time) { g.control.heard(now, nothing) })
	g.control.handle(time.Now(), func(time.Time) { handled++ })
	is.Equal(handled, 1)
	is.True(strings.Contains(log.String(), `"task_panicked"`))
	is.True(strings.Contains(log.String(), "guard_test.go"))

	server := httptest.NewServer(g.protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("unexpected")
		}
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	})))
	defer server.Close()
	before := strings.Count(log.String(), `"task_panicked"`)
	_, err := http.Get(server.URL + "/bad")
	is.True(err != nil) // no answer: it is not known what ran
	is.Equal(strings.Count(log.String(), `"task_panicked"`), before+1)
	_, err = http.Get(server.URL + "/broken")
	is.True(err != nil)
	is.Equal(strings.Count(log.String(), `"task_panicked"`), before+1) // a broken stream is no fault
	resp, err := http.Get(server.URL + "/good")
	is.NoErr(err)
	resp.Body.Close()
}

// TestManyPanicsEndTheProcess: state that makes every event fail is given up.
func TestManyPanicsEndTheProcess(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	g := guarded(&log)
	fail := func(time.Time) { panic("always") }
	for range maxPanics {
		g.control.handle(time.Now(), fail)
	}
	ended := false
	func() {
		defer func() { ended = recover() != nil }()
		g.control.handle(time.Now(), fail)
	}()
	is.True(ended)
}

// TestLoopsGoOnAfterAPanic: a follower of the store that panics starts again.
func TestLoopsGoOnAfterAPanic(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	g := guarded(&log)
	ctx, cancel := context.WithCancel(context.Background())
	runs := 0
	g.keepRunning(ctx, "loop", func(context.Context) {
		if runs++; runs < 3 {
			panic("once more")
		}
		cancel()
	})
	g.tasks.Wait()
	is.Equal(runs, 3)
}
