package stall

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// The path of a run can be changed while it runs, which costs a read of its tokens by one server
// if the server that it leaves was only slow. That needs less certainty than a new run, which
// costs a whole prompt and a retry, so that the detector acts on a shorter silence and on a probe
// that has been unanswered for a shorter time. What it demands instead is a comparison in the same
// data centre since the silence began: something there works, and this VM has received it.

const (
	// minEarlySuspectAfter is the shortest time without an event after which a run's servers are
	// probed. Under calm load 4 to 10 in 100 streams of the data sheets of the users have a longer
	// pause, so that probes stay rare.
	minEarlySuspectAfter = 90 * time.Millisecond
	// earlySuspectIntervals is that time in usual intervals between events of the run.
	earlySuspectIntervals = 2.25
	// minGroupSuspectAfter and groupSuspectIntervals replace the two above for servers that
	// several runs share, if all these runs are silent and others are not.
	minGroupSuspectAfter  = 60 * time.Millisecond
	groupSuspectIntervals = 1.5
	// minGroupRuns is the least number of such runs.
	minGroupRuns = 2
	// EarlyProbeTimeout is the age at which an unanswered probe makes a run change its path.
	// Answers took 3 to 10 ms on the bench, at most 22.
	EarlyProbeTimeout = 30 * time.Millisecond
	// earlyProgressLead is minProgressLead for these decisions. It exceeds the usual time between
	// the events of one forward pass at several runs.
	earlyProgressLead = 40 * time.Millisecond
	// witnessAge is how long ago another server must have answered. Answers that arrived while
	// this VM was paused are received one shortly after the other.
	witnessAge = 20 * time.Millisecond
	// maxCheckInterval is the time between two checks above which this VM counts as paused in
	// between.
	maxCheckInterval = 110 * time.Millisecond
	// pauseRecovery is the time after such a pause without early decisions, so that what arrived
	// meanwhile is received first.
	pauseRecovery = 150 * time.Millisecond
	// intervalSmoothing is the weight of a new sample in the mean interval between events.
	intervalSmoothing = 1.0 / 16
	// checkAgainAfter is the time until the next check while a run is silent.
	checkAgainAfter = 10 * time.Millisecond
)

// Evidence reports what is known about the state of servers, with the times of answers.
type Evidence interface {
	Health
	// AnsweredAt returns when the server last answered a probe.
	AnsweredAt(id fleet.UpstreamID) time.Time
}

// earlyState is the part of a Detector for changes of paths.
type earlyState struct {
	runs      []*Run
	checkedAt time.Time
	resumedAt time.Time // end of the last pause of this VM
}

// Check records the progress of all runs, and notices pauses of this VM. It replaces Observe for
// callers that change paths.
func (w *Detector) Check(now time.Time, runs []*Run) {
	if !w.early.checkedAt.IsZero() && now.Sub(w.early.checkedAt) > maxCheckInterval {
		w.early.resumedAt = now
	}
	w.early.checkedAt, w.early.runs = now, runs
	w.Observe(runs)
}

// recordInterval updates the mean interval between the events of a run.
func (r *Run) recordInterval() {
	if r.observedEvents > 0 && r.LastEvent.After(r.observedAt) {
		interval := r.LastEvent.Sub(r.observedAt) / time.Duration(r.Events-r.observedEvents)
		if r.interval == 0 {
			r.interval = interval
		}
		r.interval += time.Duration(intervalSmoothing * float64(interval-r.interval))
	}
	r.observedAt = r.LastEvent
}

// earlySuspectAfter returns the time without an event after which the run's servers are probed.
func (r *Run) earlySuspectAfter() time.Duration {
	return min(max(minEarlySuspectAfter, time.Duration(earlySuspectIntervals*float64(r.interval))), r.suspectAfter())
}

// groupSuspectAfter returns that time for servers that several silent runs share.
func (r *Run) groupSuspectAfter() time.Duration {
	return min(max(minGroupSuspectAfter, time.Duration(groupSuspectIntervals*float64(r.interval))), r.earlySuspectAfter())
}

// progresses reports whether a run has had an event that is later than another one's last event
// by more than those of the same forward pass are.
func (r *Run) progresses(since time.Time) bool {
	return r.LastEvent.After(since.Add(earlyProgressLead))
}

// isPaused reports whether this VM was paused a short time ago.
func (w *Detector) isPaused(now time.Time) bool {
	return !w.early.resumedAt.IsZero() && now.Sub(w.early.resumedAt) < pauseRecovery
}

// EarlySuspects returns the servers to probe for a run without progress, earlier than Suspects
// does: those that all silent runs share, or after a longer silence all servers of the run. It
// leaves out those that other runs made progress on since. It applies to runs with a gap objective
// after their first event.
func (w *Detector) EarlySuspects(now time.Time, r *Run) []fleet.UpstreamID {
	silence := r.silence(now)
	if r.GapObjective <= 0 || r.Events == 0 || silence <= r.groupSuspectAfter() || w.isPaused(now) {
		return nil
	}
	if silence <= r.earlySuspectAfter() {
		if now.Sub(r.groupSuspectedAt) <= r.suspectAfter() {
			return nil
		}
		shared := w.sharedBySilent(now, r)
		if len(shared) > 0 {
			r.groupSuspectedAt = now
		}
		return shared
	}
	if now.Sub(r.suspectedAt) <= r.suspectAfter() {
		return nil
	}
	r.suspectedAt = now
	return slices.DeleteFunc(slices.Clone(r.Stages), func(id fleet.UpstreamID) bool {
		return w.lastProgress[id].After(r.LastEvent.Add(earlyProgressLead))
	})
}

// sharedBySilent returns the servers of a silent run through which at least one other run passes
// and all runs are silent, if another run makes progress.
func (w *Detector) sharedBySilent(now time.Time, r *Run) []fleet.UpstreamID {
	var shared []fleet.UpstreamID
	progress := slices.ContainsFunc(w.early.runs, func(o *Run) bool { return o.progresses(r.LastEvent) })
	if !progress {
		return nil
	}
	for _, id := range r.Stages {
		silent, moving := 0, false
		for _, o := range w.early.runs {
			if !slices.Contains(o.Stages, id) || o.Events == 0 {
				continue
			}
			if o.silence(now) > o.groupSuspectAfter() {
				silent++
			} else {
				moving = true
			}
		}
		if !moving && silent >= minGroupRuns {
			shared = append(shared, id)
		}
	}
	return shared
}

// ToLeave returns the servers that a run should leave by a change of its path: those found dead
// and those that have not answered a probe, if other servers or runs of their data centre show
// since that it and this VM work. certain is false if none of them was found dead.
func (w *Detector) ToLeave(now time.Time, r *Run, h Evidence) (list []fleet.UpstreamID, certain bool) {
	silence := r.silence(now)
	if silence <= 0 {
		return nil, false
	}
	early := r.GapObjective > 0 && r.Events > 0 && silence > r.groupSuspectAfter() && !w.isPaused(now)
	for i, id := range r.Stages {
		switch {
		case h.Dead(id):
			list, certain = append(list, id), true
		case early && h.Unanswered(now, id, EarlyProbeTimeout) && !w.lastProgress[id].After(r.LastEvent.Add(earlyProgressLead)) && w.hasWitness(now, r, i, h):
			list = append(list, id)
		}
	}
	return list, certain
}

// hasWitness reports whether, since a run's last event, another of its servers in the data centre
// of the given stage has answered a probe, or another run has made progress on a server there but
// not on that of the stage.
func (w *Detector) hasWitness(now time.Time, r *Run, stage int, h Evidence) bool {
	since := r.LastEvent.Add(earlyProgressLead)
	for i, id := range r.Stages {
		if at := h.AnsweredAt(id); i != stage && r.dataCentre(i) == r.dataCentre(stage) && at.After(since) && now.Sub(at) >= witnessAge {
			return true
		}
	}
	for _, o := range w.early.runs {
		if o == r || !o.progresses(r.LastEvent) || slices.Contains(o.Stages, r.Stages[stage]) {
			continue
		}
		for i := range o.Stages {
			if o.dataCentre(i) == r.dataCentre(stage) {
				return true
			}
		}
	}
	return false
}

// dataCentre returns the data centre of a stage, empty if it is not known.
func (r *Run) dataCentre(stage int) fleet.DataCentreID {
	if stage >= len(r.DataCentres) {
		return ""
	}
	return r.DataCentres[stage]
}

// NextCheck returns when a run may next have been silent for long enough to be suspected, or false
// if there is none to check. While a run is silent, its probes are checked at short intervals.
func (w *Detector) NextCheck(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, r := range w.early.runs {
		if r.GapObjective <= 0 || r.Events == 0 {
			continue
		}
		at := r.LastEvent.Add(r.groupSuspectAfter() + 1)
		if !at.After(now) {
			at = now.Add(checkAgainAfter)
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}
