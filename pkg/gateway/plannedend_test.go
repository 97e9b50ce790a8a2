package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// runningAt returns the engine at which a stream runs, once that is another one than before.
func (d *deployment) runningAt(s openStream, before *userplatform.Engine) *userplatform.Engine {
	d.t.Helper()
	var first *userplatform.Engine
	d.eventually("the stream runs elsewhere", func() bool {
		for _, e := range d.engines {
			if e != before && e.Chain(s.id) != "" {
				first = e
			}
		}
		return first != nil
	})
	return first
}

// end ends the streams that start at an engine. If that is planned, the VM knows before that the engine
// leaves.
func (d *deployment) end(e *userplatform.Engine, planned bool) {
	d.t.Helper()
	if planned {
		d.store.Put("keyed.servers", e.ID, e.Entry("model", "a", "draining"))
		d.eventually("the VM knows", func() bool {
			return d.logged(`"upstream_changed"`, fmt.Sprintf(`"upstream":"%s"`, e.ID), `"reason":"drains"`)
		})
	}
	go e.CloseConnections() // waits for connections that are being opened
}

// deployTwoAttempts returns a running deployment whose route allows two attempts, with a stream that
// outlasts several ends of engines.
func deployTwoAttempts(t *testing.T) (*deployment, openStream) {
	t.Helper()
	d := deployStreams(t, 25*time.Millisecond)
	return d, d.openStreamOf("s", userplatform.CallerRequest{Key: "k", Deadline: 20 * time.Second})
}

// TestPlannedEndsOfEnginesUseUpNoAttempts guards against a stream that breaks off when two engines in
// turn end according to plan, although others could continue it: the route's two attempts are used up.
func TestPlannedEndsOfEnginesUseUpNoAttempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, s := deployTwoAttempts(t)
	d.end(s.first, true)
	second := d.runningAt(s, s.first)
	d.end(second, true)
	d.runningAt(s, second)
	d.checkWhole(s)
	is.Equal(d.runs.Count(s.id), 3)
}

// TestUnplannedEndsOfEnginesUseUpAttempts guards against a stream that goes on from engine to engine
// although it may be what ends them.
func TestUnplannedEndsOfEnginesUseUpAttempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d, s := deployTwoAttempts(t)
	d.end(s.first, false)
	d.eventually("another run", func() bool { return d.runs.Count(s.id) == 2 })
	for _, e := range d.engines {
		d.end(e, false)
	}
	got := <-s.done
	is.True(got.err != nil) // never complete
	is.Equal(d.runs.Count(s.id), 2)
}
