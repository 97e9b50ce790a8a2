package replica_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/infra"
)

// fault is a kind of injected failure.
type fault string

const (
	faultLostAnswer fault = "lost-answer" // an append takes effect, but its answer is lost
	faultLate       fault = "late-append" // an append fails and takes effect later
	faultRepeat     fault = "repeat"      // an append takes effect a second time later
	faultOutage     fault = "outage"      // the log is unavailable to all VMs
	faultSlow       fault = "slow"        // the log answers slowly
	faultPause      fault = "pause"       // a VM stops executing, possibly for longer than its lease
	faultCrash      fault = "crash"       // a VM crashes at any step and another starts from a peer's snapshot
	faultPartition  fault = "apart"       // the log is unavailable to one VM
	faultService    fault = "service"     // the service's answers are lost, or it refuses calls
	faultBehind     fault = "behind"      // a VM starts during an outage, from the snapshot of a peer that may lag behind
)

var allFaults = []fault{
	faultLostAnswer, faultLate, faultRepeat, faultOutage, faultSlow, faultPause, faultCrash, faultPartition, faultService, faultBehind,
}

// seededRand returns pseudo-random values that don't depend on the order of
// goroutines: each value is a hash of the seed and the purpose of the draw.
type seededRand int64

func (r seededRand) draw(n uint64, what ...any) uint64 {
	return xxhash.Sum64String(fmt.Sprint(int64(r), what)) % n
}

// between returns a duration in [low, high). Its nanosecond resolution makes it unlikely
// that two events coincide.
func (r seededRand) between(low, high time.Duration, what ...any) time.Duration {
	return low + time.Duration(r.draw(uint64(high-low), what...))
}

// faultWindow is a time span in which a fault is active.
type faultWindow struct {
	fault    fault
	vm       string // empty for all VMs
	from, to time.Time
}

// faultyLog is the simulated log of one run with its faults.
type faultyLog struct {
	rand    seededRand
	start   time.Time
	windows []faultWindow

	mu         sync.Mutex
	streams    map[string][]infra.Record
	first      map[string]uint64 // number of dropped records by stream
	callCounts map[string]int
}

// active reports whether a fault is active for a VM now.
func (l *faultyLog) active(f fault, vm string) bool {
	now := time.Now()
	for _, w := range l.windows {
		if w.fault == f && (w.vm == "" || w.vm == vm) && !now.Before(w.from) && now.Before(w.to) {
			return true
		}
	}
	return false
}

// count returns the sequence number of a call, starting at 1, among those with the same
// purpose. A VM or caller makes these calls one after another.
func (l *faultyLog) count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callCounts[what]++
	return l.callCounts[what]
}

// applyAppend adds records to a stream and drops those past retention.
func (l *faultyLog) applyAppend(stream string, records [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	first := uint64(len(l.streams[stream])) + 1
	for i, data := range records {
		l.streams[stream] = append(l.streams[stream], infra.Record{Offset: first + uint64(i), AppendedAt: now, Data: data})
	}
	l.trim(stream, now)
	return first
}

// trim drops the records of a stream that are past retention.
func (l *faultyLog) trim(stream string, now time.Time) {
	all := l.streams[stream]
	for int(l.first[stream]) < len(all) && now.Sub(all[l.first[stream]].AppendedAt) > historyParams.Retention {
		l.first[stream]++
	}
}

// vmLog is the infra.Log of one VM.
type vmLog struct {
	log *faultyLog
	vm  string
}

// latency returns the latency of one direction of a call.
func (l vmLog) latency(n int, stream, what string) time.Duration {
	d := l.log.rand.between(2*time.Millisecond, 12*time.Millisecond, l.vm, stream, what, n)
	if l.log.active(faultSlow, l.vm) {
		d *= 100
	}
	return d
}

// down reports whether the log is unavailable to the VM.
func (l vmLog) down() bool {
	return l.log.active(faultOutage, l.vm) || l.log.active(faultBehind, l.vm) || l.log.active(faultPartition, l.vm)
}

func (l vmLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	n := l.log.count("append " + l.vm + stream)
	time.Sleep(l.latency(n, stream, "append"))
	if l.down() {
		return 0, infra.ErrUnavailable
	}
	faulty := l.log.rand.draw(3, "unlucky", l.vm, stream, n) == 0
	switch {
	case faulty && l.log.active(faultLate, l.vm):
		delay := l.log.rand.between(time.Millisecond, 50*time.Second, "late", l.vm, stream, n)
		time.AfterFunc(delay, func() { l.log.applyAppend(stream, records) })
		return 0, infra.ErrUnavailable
	case faulty && l.log.active(faultRepeat, l.vm):
		delay := l.log.rand.between(time.Millisecond, 30*time.Second, "repeat", l.vm, stream, n)
		time.AfterFunc(delay, func() { l.log.applyAppend(stream, records) })
	}
	first := l.log.applyAppend(stream, records)
	time.Sleep(l.latency(n, stream, "answer"))
	if faulty && l.log.active(faultLostAnswer, l.vm) {
		return 0, infra.ErrUnavailable
	}
	return first, nil
}

func (l vmLog) Read(_ context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	n := l.log.count("read " + l.vm + stream)
	time.Sleep(l.latency(n, stream, "read"))
	if l.down() {
		return infra.Batch{}, infra.ErrUnavailable
	}
	l.log.mu.Lock()
	defer l.log.mu.Unlock()
	l.log.trim(stream, time.Now())
	all := l.log.streams[stream]
	b := infra.Batch{First: l.log.first[stream] + 1, Next: uint64(len(all)) + 1}
	if from < b.First {
		return b, infra.ErrTruncated
	}
	for o := from; o < b.Next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, all[o-1])
	}
	return b, nil
}
