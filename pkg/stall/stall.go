// Package stall detects runs whose chain makes no progress and the servers that cause it. It
// is a pure state machine: events of runs and times go in, servers to probe and runs to
// migrate to another chain come out.
//
// When a server in the middle of a chain dies, the stream only falls silent: the first
// server breaks it off seconds later. For callers a pause of some 200 ms is already late, so
// that the detector must act when only a few events are missing.
//
// Invariants:
//   - a run is migrated only when a server of its chain is dead, when a server has not
//     answered a probe while other runs make progress, or when the run has had no event
//     for MaxStall;
//   - unanswered probes count only if another run has had a later event. Without one, this
//     VM itself may have been paused;
//   - a server is not probed if another run has made progress on it since.
//
// The path of a run may also be changed without a new run. ToLeave decides that on less evidence,
// because a mistake costs little (see early.go).
package stall

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// MaxStall is the time without an event after which a run is migrated even if no server of
	// its chain was found dead. Callers disconnect after 2 s.
	MaxStall = 1500 * time.Millisecond
	// MaxSuspectAfter is the longest time without an event before the servers of a chain are
	// probed. It applies as it is to routes without a gap objective.
	MaxSuspectAfter = 500 * time.Millisecond
	// MinSuspectAfter is the shortest time without an event before the servers of a chain
	// are probed.
	MinSuspectAfter = 100 * time.Millisecond
	// suspectGapShare is the fraction of the gap objective after which the servers are
	// probed. In 95% of generations under calm load no pause is longer.
	suspectGapShare = 0.55
	// ProbeTimeout is the age at which an unanswered probe makes runs leave the server. The
	// probe asks for a report, which needs no slot and takes a few milliseconds.
	ProbeTimeout = 120 * time.Millisecond
	// firstEventFactor extends the expected time to the first event, because the prompt may
	// first have to wait for the batches in the chain.
	firstEventFactor = 1.2
	// minProgressLead is how much later than a run's last event another run must have had
	// one on a server to show that the server works. Events of the same forward pass
	// arrive at about the same time and show nothing.
	minProgressLead = 100 * time.Millisecond
)

// Run is a run in progress. The caller updates LastEvent and Events between calls of the
// Detector.
type Run struct {
	Stages []fleet.UpstreamID
	// DataCentres holds the data centre of each stage.
	DataCentres []fleet.DataCentreID
	// ExpectedFirstEvent is the expected time to the first event.
	ExpectedFirstEvent time.Duration
	// GapObjective is the longest pause between events that still counts as on time; 0 if the
	// route has no objective for it.
	GapObjective time.Duration

	// LastEvent is the time of the last event, or of the start of the run before the first one.
	LastEvent time.Time
	// Events is the number of events so far.
	Events int64

	// observedEvents is the value of Events when the run was last observed.
	observedEvents int64
	// observedAt is the value of LastEvent at that time.
	observedAt time.Time
	// interval is the mean interval between events; 0 before the second one.
	interval time.Duration
	// groupSuspectedAt is the time at which servers that silent runs share were last suspected.
	groupSuspectedAt time.Time
	// suspectedAt is the time at which the run's servers were last suspected.
	suspectedAt time.Time
}

// suspectAfter returns the time without an event after which the run's servers are probed.
func (r *Run) suspectAfter() time.Duration {
	if r.GapObjective <= 0 {
		return MaxSuspectAfter
	}
	return min(max(time.Duration(suspectGapShare*float64(r.GapObjective)), MinSuspectAfter), MaxSuspectAfter)
}

// silence returns for how long the run has had no event. Before the first event it counts only
// the time beyond the expected time to that event, and may be negative.
func (r *Run) silence(now time.Time) time.Duration {
	silence := now.Sub(r.LastEvent)
	if r.Events == 0 {
		silence = time.Duration(float64(silence)/firstEventFactor) - r.ExpectedFirstEvent
	}
	return silence
}

// Health reports what is known about the state of servers.
type Health interface {
	// Dead reports whether a server was found dead.
	Dead(fleet.UpstreamID) bool
	// ProbeTimeout reports whether a probe of the server has been unanswered for at least
	// the given time.
	Unanswered(now time.Time, id fleet.UpstreamID, age time.Duration) bool
}

// Detector detects stalled runs of one VM. It is not safe for concurrent use.
type Detector struct {
	// lastProgress maps each server to the last event of any run through it.
	lastProgress map[fleet.UpstreamID]time.Time
	// lastEvent is the time of the last event of any run.
	lastEvent time.Time
	early     earlyState
}

// NewDetector returns a detector that has observed no runs.
func NewDetector() *Detector { return &Detector{lastProgress: make(map[fleet.UpstreamID]time.Time)} }

// Forget drops the state of a server that was removed or restarted.
func (w *Detector) Forget(id fleet.UpstreamID) { delete(w.lastProgress, id) }

// Observe records the progress of the runs since the last call.
func (w *Detector) Observe(runs []*Run) {
	for _, r := range runs {
		if r.Events <= r.observedEvents {
			continue
		}
		r.recordInterval()
		r.observedEvents = r.Events
		for _, id := range r.Stages {
			if r.LastEvent.After(w.lastProgress[id]) {
				w.lastProgress[id] = r.LastEvent
			}
		}
		if r.LastEvent.After(w.lastEvent) {
			w.lastEvent = r.LastEvent
		}
	}
}

// Stalled reports whether a run should be migrated to another chain, and which server caused
// the stall, if that is known.
func (w *Detector) Stalled(now time.Time, r *Run, h Health) (blamed fleet.UpstreamID, stalled bool) {
	silence := r.silence(now)
	if silence <= 0 {
		return "", false
	}
	for _, id := range r.Stages {
		if h.Dead(id) {
			return id, true
		}
		if silence > r.suspectAfter() && w.lastEvent.After(r.LastEvent.Add(minProgressLead)) && h.Unanswered(now, id, ProbeTimeout) {
			return id, true
		}
	}
	return "", silence > MaxStall
}

// Suspects returns the servers to probe for a run without progress. It returns none if the
// run's servers were suspected only a short time ago.
func (w *Detector) Suspects(now time.Time, r *Run) []fleet.UpstreamID {
	after := r.suspectAfter()
	if r.silence(now) <= after || now.Sub(r.suspectedAt) <= after {
		return nil
	}
	r.suspectedAt = now
	var list []fleet.UpstreamID
	for _, id := range r.Stages {
		if !w.lastProgress[id].After(r.LastEvent.Add(minProgressLead)) {
			list = append(list, id)
		}
	}
	return list
}
