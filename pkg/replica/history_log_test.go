package replica_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/infra"
)

// fault is one kind of trouble in a history.
type fault string

const (
	faultLostAnswer fault = "lost-answer" // the append took effect, its answer was lost
	faultLate       fault = "late-append" // the append takes effect long after its answer was lost
	faultRepeat     fault = "repeat"      // an append takes effect twice
	faultOutage     fault = "outage"      // the log refuses everything for a while
	faultSlow       fault = "slow"        // the log answers slowly
	faultPause      fault = "pause"       // a VM stands still past its lease
	faultCrash      fault = "crash"       // a VM ends at any step and another starts from a peer's snapshot
	faultApart      fault = "apart"       // one VM can't reach the log
	faultService    fault = "service"     // the service loses answers or refuses calls
	faultBehind     fault = "behind"      // a VM starts during an outage, from a peer that is behind
)

var allFaults = []fault{
	faultLostAnswer, faultLate, faultRepeat, faultOutage, faultSlow, faultPause, faultCrash, faultApart, faultService, faultBehind,
}

// dice gives reproducible draws that don't depend on the order of goroutines:
// each draw is a hash of the seed and of what it is for.
type dice int64

func (d dice) draw(n uint64, what ...any) uint64 {
	return xxhash.Sum64String(fmt.Sprint(int64(d), what)) % n
}

// between returns a time in [low, high), to the nanosecond so that no two events coincide.
func (d dice) between(low, high time.Duration, what ...any) time.Duration {
	return low + time.Duration(d.draw(uint64(high-low), what...))
}

// window is a time span in which a fault is active.
type window struct {
	fault    fault
	vm       string // empty for all
	from, to time.Time
}

// history is the world of one run: the log, its faults and what was recorded.
type history struct {
	dice    dice
	start   time.Time
	windows []window

	mu      sync.Mutex
	streams map[string][]infra.Record
	first   map[string]uint64
	calls   map[string]int
}

// active reports whether a fault is active for a VM now.
func (h *history) active(f fault, vm string) bool {
	now := time.Now()
	for _, w := range h.windows {
		if w.fault == f && (w.vm == "" || w.vm == vm) && !now.Before(w.from) && now.Before(w.to) {
			return true
		}
	}
	return false
}

// count numbers the calls of one caller, which makes them one after another.
func (h *history) count(what string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[what]++
	return h.calls[what]
}

// takeEffect adds records and forgets those past retention.
func (h *history) takeEffect(stream string, records [][]byte) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	first := uint64(len(h.streams[stream])) + 1
	for i, data := range records {
		h.streams[stream] = append(h.streams[stream], infra.Record{Offset: first + uint64(i), AppendedAt: now, Data: data})
	}
	h.trim(stream, now)
	return first
}

func (h *history) trim(stream string, now time.Time) {
	all := h.streams[stream]
	for int(h.first[stream]) < len(all) && now.Sub(all[h.first[stream]].AppendedAt) > historyParams.Retention {
		h.first[stream]++
	}
}

// vmLog is the log as one VM sees it.
type vmLog struct {
	h  *history
	vm string
}

func (l vmLog) latency(n int, stream, what string) time.Duration {
	d := l.h.dice.between(2*time.Millisecond, 12*time.Millisecond, l.vm, stream, what, n)
	if l.h.active(faultSlow, l.vm) {
		d *= 100
	}
	return d
}

func (l vmLog) down() bool {
	return l.h.active(faultOutage, l.vm) || l.h.active(faultBehind, l.vm) || l.h.active(faultApart, l.vm)
}

func (l vmLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	n := l.h.count("append " + l.vm + stream)
	time.Sleep(l.latency(n, stream, "append"))
	if l.down() {
		return 0, infra.ErrUnavailable
	}
	unlucky := l.h.dice.draw(3, "unlucky", l.vm, stream, n) == 0
	switch {
	case unlucky && l.h.active(faultLate, l.vm):
		late := l.h.dice.between(time.Millisecond, 50*time.Second, "late", l.vm, stream, n)
		time.AfterFunc(late, func() { l.h.takeEffect(stream, records) })
		return 0, infra.ErrUnavailable
	case unlucky && l.h.active(faultRepeat, l.vm):
		late := l.h.dice.between(time.Millisecond, 30*time.Second, "repeat", l.vm, stream, n)
		time.AfterFunc(late, func() { l.h.takeEffect(stream, records) })
	}
	first := l.h.takeEffect(stream, records)
	time.Sleep(l.latency(n, stream, "answer"))
	if unlucky && l.h.active(faultLostAnswer, l.vm) {
		return 0, infra.ErrUnavailable
	}
	return first, nil
}

func (l vmLog) Read(_ context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	n := l.h.count("read " + l.vm + stream)
	time.Sleep(l.latency(n, stream, "read"))
	if l.down() {
		return infra.Batch{}, infra.ErrUnavailable
	}
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	l.h.trim(stream, time.Now())
	all := l.h.streams[stream]
	b := infra.Batch{First: l.h.first[stream] + 1, Next: uint64(len(all)) + 1}
	if from < b.First {
		return b, infra.ErrTruncated
	}
	for o := from; o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, all[o-1])
	}
	return b, nil
}
