// Package notice tracks the notices that upstreams send in the headers of their answers:
// that they are about to shut down, or that they want no requests for a time. It does no
// I/O and reads no clock: callers pass the time.
//
// Invariants:
//   - once an upstream has announced its shutdown, that incarnation gets no more requests;
//   - a pause binds the VM that was asked for it; for other VMs it is only a hint;
//   - the state is bounded: pauses expire, and a shutdown is dropped once the upstream is
//     no longer listed and the retention time has passed.
package notice

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Instance identifies one incarnation of an upstream.
type Instance struct {
	ID fleet.UpstreamID
	// StartMillis is the start time in Unix milliseconds.
	StartMillis int64
}

// InstanceOf returns the incarnation of an upstream that started at a time.
func InstanceOf(id fleet.UpstreamID, startedAt time.Time) Instance {
	return Instance{ID: id, StartMillis: startedAt.UnixMilli()}
}

// StartTime returns the start time.
func (i Instance) StartTime() time.Time { return time.UnixMilli(i.StartMillis) }

const (
	// reportDuration is how long a shutdown that was announced to this VM is reported to the
	// other VMs. It covers many report intervals.
	reportDuration = 3 * time.Second
	// retention is how long the shutdown of an upstream that is no longer listed is
	// remembered. It exceeds the age of the oldest copy from which the store may be
	// restored, because a restored copy may list the upstream again.
	retention = 2 * time.Minute
)

// State says whether an upstream accepts requests from this VM.
type State uint8

// States of an upstream.
const (
	// Open: the upstream accepts requests.
	Open State = iota
	// Paused: the upstream wants no requests for a time.
	Paused
	// ShuttingDown: the upstream accepts no more requests.
	ShuttingDown
)

type shutdown struct {
	// learnedAt is when this VM learned of the shutdown.
	learnedAt time.Time
	// announcedHere is set if the upstream announced the shutdown to this VM.
	announcedHere bool
}

// Registry holds the notices of all upstreams. It is not safe for concurrent use.
type Registry struct {
	shutdowns map[Instance]shutdown
	pauses    map[Instance]time.Time
	hints     map[Instance]time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{shutdowns: make(map[Instance]shutdown), pauses: make(map[Instance]time.Time), hints: make(map[Instance]time.Time)}
}

// RecordShutdown records that an upstream is about to shut down, as it announced to this VM
// (announcedHere) or as another VM reported. It reports whether the shutdown was unknown
// before.
func (r *Registry) RecordShutdown(now time.Time, i Instance, announcedHere bool) bool {
	old, known := r.shutdowns[i]
	if known && (old.announcedHere || !announcedHere) {
		return false
	}
	r.shutdowns[i] = shutdown{learnedAt: now, announcedHere: announcedHere}
	return !known
}

// RecordPause records that an upstream wants no requests from this VM for a time. A shorter
// pause does not end a longer one. It reports whether the upstream was not paused before.
func (r *Registry) RecordPause(now time.Time, i Instance, length time.Duration) bool {
	old := r.pauses[i]
	if until := now.Add(length); until.After(old) {
		r.pauses[i] = until
	}
	return !now.Before(old)
}

// RecordHint records that an upstream asked another VM for a pause.
func (r *Registry) RecordHint(now time.Time, i Instance, length time.Duration) {
	if until := now.Add(length); until.After(r.hints[i]) {
		r.hints[i] = until
	}
}

// State reports whether an upstream accepts requests from this VM now.
func (r *Registry) State(now time.Time, i Instance) State {
	if _, shuttingDown := r.shutdowns[i]; shuttingDown {
		return ShuttingDown
	}
	if now.Before(r.pauses[i]) {
		return Paused
	}
	return Open
}

// PausedUntil returns the end of an upstream's pause, or the zero time if there is none.
func (r *Registry) PausedUntil(i Instance) time.Time { return r.pauses[i] }

// HintedUntil returns the end of the pause that an upstream asked another VM for, or the zero
// time if there is none.
func (r *Registry) HintedUntil(i Instance) time.Time { return r.hints[i] }

// PauseNotice is the pause of an upstream with its remaining time.
type PauseNotice struct {
	Instance
	Remaining time.Duration
}

// Report returns what this VM reports to the other VMs: the shutdowns recently announced to it
// and the pauses it was asked for.
func (r *Registry) Report(now time.Time) (shutdowns []Instance, pauses []PauseNotice) {
	for i, e := range r.shutdowns {
		if e.announcedHere && now.Sub(e.learnedAt) < reportDuration {
			shutdowns = append(shutdowns, i)
		}
	}
	for i, until := range r.pauses {
		if now.Before(until) {
			pauses = append(pauses, PauseNotice{i, until.Sub(now)})
		}
	}
	return shutdowns, pauses
}

// AllShutdowns returns the upstreams of all known shutdowns, for a VM that starts.
func (r *Registry) AllShutdowns() []Instance {
	list := make([]Instance, 0, len(r.shutdowns))
	for i := range r.shutdowns {
		list = append(list, i)
	}
	return list
}

// Prune drops expired pauses, and old shutdowns of upstreams that are no longer listed.
func (r *Registry) Prune(now time.Time, listed func(Instance) bool) {
	for _, list := range []map[Instance]time.Time{r.pauses, r.hints} {
		for i, until := range list {
			if !now.Before(until) {
				delete(list, i)
			}
		}
	}
	for i, e := range r.shutdowns {
		if now.Sub(e.learnedAt) >= retention && !listed(i) {
			delete(r.shutdowns, i)
		}
	}
}
