// Package notice keeps what upstreams say of themselves in the heads of their answers:
// that they are about to end, and that they want no requests for a time. It is pure:
// times are handed in.
//
// Invariants:
//   - an upstream that said that it ends takes nothing any more in that incarnation;
//   - a pause binds the VM that was asked for it; for other VMs it is a hint;
//   - what is kept is bounded: pauses end, and ends are dropped once the upstream is
//     neither listed nor young in memory.
package notice

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Instance is one start of an upstream.
type Instance struct {
	ID fleet.UpstreamID
	// Born is the start in milliseconds.
	Born int64
}

// InstanceOf returns the start of an upstream at a time.
func InstanceOf(id fleet.UpstreamID, born time.Time) Instance {
	return Instance{ID: id, Born: born.UnixMilli()}
}

// Started returns the time of the start.
func (i Instance) Started() time.Time { return time.UnixMilli(i.Born) }

const (
	// tellFor is how long other VMs are told of an end that was found here: many
	// intervals of the news.
	tellFor = 3 * time.Second
	// kept is how long the end of an upstream that is not listed is remembered: longer
	// than the store's oldest copy is old when it comes back from one.
	kept = 2 * time.Minute
)

// State says whether an upstream takes requests of this VM.
type State uint8

// The states.
const (
	// Open: the upstream takes requests.
	Open State = iota
	// Paused: it wants none for a time.
	Paused
	// Ending: it takes none any more.
	Ending
)

type ending struct {
	// since is when the end became known here, own is set if an answer to this VM said so.
	since time.Time
	own   bool
}

// Book holds the notices of all upstreams. It is not safe for concurrent use.
type Book struct {
	ends   map[Instance]ending
	pauses map[Instance]time.Time
	hints  map[Instance]time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{ends: make(map[Instance]ending), pauses: make(map[Instance]time.Time), hints: make(map[Instance]time.Time)}
}

// Ends notes that an upstream is about to end, as an answer to this VM (own) or another
// VM says. It reports whether that is new.
func (b *Book) Ends(now time.Time, i Instance, own bool) bool {
	old, known := b.ends[i]
	if known && (old.own || !own) {
		return false
	}
	b.ends[i] = ending{since: now, own: own}
	return !known
}

// Pause notes that an upstream wants no requests of this VM for a time. A shorter pause
// does not end a longer one. It reports whether no pause held before.
func (b *Book) Pause(now time.Time, i Instance, length time.Duration) bool {
	old := b.pauses[i]
	if until := now.Add(length); until.After(old) {
		b.pauses[i] = until
	}
	return !now.Before(old)
}

// Hint notes that an upstream asked another VM for a pause.
func (b *Book) Hint(now time.Time, i Instance, length time.Duration) {
	if until := now.Add(length); until.After(b.hints[i]) {
		b.hints[i] = until
	}
}

// State reports whether an upstream takes requests of this VM now.
func (b *Book) State(now time.Time, i Instance) State {
	if _, ends := b.ends[i]; ends {
		return Ending
	}
	if now.Before(b.pauses[i]) {
		return Paused
	}
	return Open
}

// PausedUntil returns the end of an upstream's pause, the zero time if there is none.
func (b *Book) PausedUntil(i Instance) time.Time { return b.pauses[i] }

// HintedUntil returns until when another VM is to leave an upstream alone.
func (b *Book) HintedUntil(i Instance) time.Time { return b.hints[i] }

// Pausing is a pause with the time that is left of it.
type Pausing struct {
	Instance
	Left time.Duration
}

// News returns what the other VMs are to know: ends found here of late, and own pauses.
func (b *Book) News(now time.Time) (ends []Instance, pauses []Pausing) {
	for i, e := range b.ends {
		if e.own && now.Sub(e.since) < tellFor {
			ends = append(ends, i)
		}
	}
	for i, until := range b.pauses {
		if now.Before(until) {
			pauses = append(pauses, Pausing{i, until.Sub(now)})
		}
	}
	return ends, pauses
}

// AllEnds returns all known ends, for a VM that starts.
func (b *Book) AllEnds() []Instance {
	list := make([]Instance, 0, len(b.ends))
	for i := range b.ends {
		list = append(list, i)
	}
	return list
}

// Prune drops pauses that are over and ends that nothing can bring back.
func (b *Book) Prune(now time.Time, listed func(Instance) bool) {
	for _, list := range []map[Instance]time.Time{b.pauses, b.hints} {
		for i, until := range list {
			if !now.Before(until) {
				delete(list, i)
			}
		}
	}
	for i, e := range b.ends {
		if now.Sub(e.since) >= kept && !listed(i) {
			delete(b.ends, i)
		}
	}
}
