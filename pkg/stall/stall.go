// Package stall finds runs whose chain makes no progress, and the servers to blame. It is
// a pure state machine: events of runs and times go in, servers to probe and runs to move
// come out.
//
// A dead server in the middle of a chain shows only as silence: the first server cuts the
// stream seconds later. Callers count a pause as late after some 200 ms, so that the
// silence of a few events must do.
//
// Invariants:
//   - a run is moved only when a server of its chain is dead, does not answer a probe
//     while others do, or the run stood still for Move;
//   - while no run at all has had an event, nothing is concluded from unanswered probes:
//     this VM itself may have stood still;
//   - servers on which another run made progress since are not probed.
package stall

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// Move is the time without an event after which a run is given up though no server
	// of its chain was found dead. Callers leave after 2 s.
	Move = 1500 * time.Millisecond
	// SuspectMost is the time without an event after which the servers of a chain are
	// probed when the route names no longest pause, SuspectLeast the shortest such time.
	SuspectMost  = 500 * time.Millisecond
	SuspectLeast = 100 * time.Millisecond
	// suspectShare is the part of the longest pause that is on time after which the
	// servers are probed: 95 in 100 generations of a calm day have no longer pause.
	suspectShare = 0.55
	// Unanswered is the age of a probe without an answer after which runs leave the
	// server. Reports need no slot and take a few milliseconds.
	Unanswered = 120 * time.Millisecond
	// firstFactor multiplies the times for the first event, before which a prompt may
	// wait in the chain's batches.
	firstFactor = 1.2
	// progressMargin is how much newer than a run's last event the progress of another
	// run must be to clear a server: events of one pass come about together.
	progressMargin = 100 * time.Millisecond
)

// Run is a run in progress. Its state belongs to the Watch between two calls.
type Run struct {
	Stages []fleet.UpstreamID
	// FirstEvent is the expected time to the first event, Gap the longest pause that is
	// on time, 0 for none.
	FirstEvent time.Duration
	Gap        time.Duration

	// Last is the time of the last event, of the start before the first one; Events
	// counts them.
	Last   time.Time
	Events int64

	counted   int64
	suspected time.Time
}

// suspectAfter returns the silence after which the run's servers are probed.
func (r *Run) suspectAfter() time.Duration {
	if r.Gap <= 0 {
		return SuspectMost
	}
	return min(max(time.Duration(suspectShare*float64(r.Gap)), SuspectLeast), SuspectMost)
}

// still returns how long the run has stood still beyond what is expected of it.
func (r *Run) still(now time.Time) time.Duration {
	still := now.Sub(r.Last)
	if r.Events == 0 {
		still = time.Duration(float64(still)/firstFactor) - r.FirstEvent
	}
	return still
}

// Health is what is known of the servers.
type Health interface {
	// Dead reports whether a server was found dead.
	Dead(fleet.UpstreamID) bool
	// Unanswered reports whether a probe of the server has waited for an answer for a time.
	Unanswered(now time.Time, id fleet.UpstreamID, age time.Duration) bool
}

// Watch follows the runs of one VM. It is not safe for concurrent use.
type Watch struct {
	// progress holds when a run through a server last had an event.
	progress map[fleet.UpstreamID]time.Time
	// lastEvent is that of any run.
	lastEvent time.Time
}

// NewWatch returns a watch without runs.
func NewWatch() *Watch { return &Watch{progress: make(map[fleet.UpstreamID]time.Time)} }

// Forget drops what is known of a server that left or started anew.
func (w *Watch) Forget(id fleet.UpstreamID) { delete(w.progress, id) }

// Observe books the events of the runs since the last call.
func (w *Watch) Observe(runs []*Run) {
	for _, r := range runs {
		if r.Events <= r.counted {
			continue
		}
		r.counted = r.Events
		for _, id := range r.Stages {
			if r.Last.After(w.progress[id]) {
				w.progress[id] = r.Last
			}
		}
		if r.Last.After(w.lastEvent) {
			w.lastEvent = r.Last
		}
	}
}

// Stalled reports whether a run should go on with another chain, and the server to blame,
// if one is known.
func (w *Watch) Stalled(now time.Time, r *Run, h Health) (blamed fleet.UpstreamID, stalled bool) {
	still := r.still(now)
	if still <= 0 {
		return "", false
	}
	for _, id := range r.Stages {
		if h.Dead(id) {
			return id, true
		}
		if still > r.suspectAfter() && w.lastEvent.After(r.Last.Add(progressMargin)) && h.Unanswered(now, id, Unanswered) {
			return id, true
		}
	}
	return "", still > Move
}

// Suspects returns the servers to probe for a run that stands still, none if it was asked
// for a short time ago.
func (w *Watch) Suspects(now time.Time, r *Run) []fleet.UpstreamID {
	after := r.suspectAfter()
	if r.still(now) <= after || now.Sub(r.suspected) <= after {
		return nil
	}
	r.suspected = now
	var list []fleet.UpstreamID
	for _, id := range r.Stages {
		if !w.progress[id].After(r.Last.Add(progressMargin)) {
			list = append(list, id)
		}
	}
	return list
}
