package gateway_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// announceEnd makes the last engine of a stream's chain announce its end, after which it goes on. The
// stream can leave it by a move only.
func (d *deployment) announceEnd(s openStream) {
	for _, e := range d.engines {
		e.SetRepathFault("gone")
	}
	last := d.engines[s.chain[len(s.chain)-1]]
	d.store.Put("keyed.servers", last.ID, last.Entry("model", "a", "draining"))
}

// arrivals returns the number of generations that engines were sent.
func (d *deployment) arrivals() int {
	n := 0
	for _, e := range d.engines {
		n += e.Arrivals()
	}
	return n
}

// TestRefusedMoveEndsNoSoundRun guards against a stream that is cut with nothing running: its VM ends a
// sound run to move it, the next chain refuses, and the retry budget allows no further run. It also
// guards against refused moves beyond the budget. The engines refuse until the stream has ended, and
// the budget allows a single move.
func TestRefusedMoveEndsNoSoundRun(t *testing.T) {
	for name, stopping := range map[string]bool{"running VM": false, "stopping VM": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := deployStopping(t, func(*deployment) {}, func(d *deployment) { d.settings.Bounds.RetryRatio, d.settings.Bounds.RetrySlack = 0, 4 })
			s := d.openStreamOf("s", largeAnswer)
			before := d.arrivals()
			d.setShedding(true)
			if stopping {
				d.orderStop()
			}
			d.announceEnd(s)
			d.checkWhole(s)
			is.True(d.logged(`"move_refused"`, requestField(s.id)))
			is.True(d.logged(`"retry_denied"`, requestField(s.id), `"migrations"`))
			is.Equal(d.runs.Count(s.id), 1)
			is.Equal(d.arrivals(), before+1)
		})
	}
}

// TestMovedRunEndsAfterItsSuccessorHasBegun guards against a pause, or a lost stream, while the next
// chain has not yet accepted a stream that its VM moves. The chain accepts it once the former run would
// have ended if its VM had ended it.
func TestMovedRunEndsAfterItsSuccessorHasBegun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var former atomic.Pointer[openStream]
	var endedBefore atomic.Bool
	d := deployStopping(t, func(d *deployment) {
		s := former.Swap(nil)
		if s == nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
		endedBefore.Store(s.first.Chain(s.id) == "")
	})
	s := d.openStreamOf("s", largeAnswer)
	former.Store(&s)
	d.announceEnd(s)
	d.checkWhole(s)
	is.True(!endedBefore.Load())
	is.True(d.logged(`"run_moved"`, requestField(s.id), "about to end"))
	is.Equal(d.runs.Count(s.id), 2)
	d.eventually("no run of it is left", func() bool {
		for _, e := range d.engines {
			if e.Chain(s.id) != "" {
				return false
			}
		}
		return true
	})
}

// TestFailedMovesUseUpAttempts guards against a request that runs more often than its route allows,
// because moves that fail after the request may have run are tried again. The first run is sound and
// completes the stream.
func TestFailedMovesUseUpAttempts(t *testing.T) {
	for _, fault := range []string{"status", "json", "head", "text", "end"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := deployStopping(t, func(*deployment) {})
			for _, e := range d.engines {
				e.SetResumeFault(fault)
			}
			s := d.openStreamOf("s", largeAnswer)
			d.announceEnd(s)
			d.checkWhole(s)
			is.True(d.logged(`"move_refused"`, requestField(s.id), `"unknown"`))
			is.Equal(d.runs.Count(s.id), 2)
		})
	}
}

// TestExitDuringAMove guards against a VM that outlasts its grace time because a move has no answer yet.
// The engines fall silent for new runs; the stream goes on until the exit.
func TestExitDuringAMove(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const grace = 4 * time.Second
	var waiting, armed atomic.Bool
	release := make(chan struct{})
	defer close(release)
	d := deployStopping(t, func(d *deployment) {
		if armed.Load() {
			waiting.Store(true)
			<-release
		}
	}, func(d *deployment) { d.settings.Bounds.Grace = grace })
	for _, e := range d.engines {
		e.EventCount = 1_000_000
	}
	ended := d.ended
	s := d.openStreamOf("s", largeAnswer)
	armed.Store(true)
	d.announceEnd(s)
	d.eventually("the move waits", waiting.Load)
	ordered := time.Now()
	d.stop()
	err := <-ended
	ended <- err // for the end of the test
	is.NoErr(err)
	is.True(time.Since(ordered) < grace)
	got := <-s.done
	is.True(got.err != nil) // not complete
	checkStream(t, got.body, 1, strings.Count(got.body, "\n\n"))
	is.True(len(got.body) > len(userplatform.Stream(1, 60)))
}
