package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// loadHistory is the number of changes of this VM's in-flight count that are
// kept. A report that is older than all of them is corrected by the oldest.
const loadHistory = 256

// Load estimates the number of requests on one upstream from its last report,
// corrected by the requests that this VM has started and ended since then. It is
// safe for concurrent use and shared by successive snapshots.
type Load struct {
	own            atomic.Int64 // this VM's in-flight count
	othersAtReport atomic.Int64 // reported count minus this VM's share of it
	ownAtReport    atomic.Int64 // this VM's in-flight count at the time of the report
	peers          atomic.Int64 // number of other VMs, assumed to send as this one does
	mu             sync.Mutex
	changes        [loadHistory]change // ring buffer
	next           int                 // index of the next change
	count          int                 // number of valid changes
}

// change is a past value of this VM's in-flight count.
type change struct {
	at  time.Time
	own int64
}

// RecordSent records that a request was sent to the upstream.
func (l *Load) RecordSent(now time.Time) { l.recordChange(now, 1) }

// RecordEnded records the end of a request that RecordSent has recorded.
func (l *Load) RecordEnded(now time.Time) { l.recordChange(now, -1) }

func (l *Load) recordChange(now time.Time, delta int64) {
	l.mu.Lock()
	own := l.own.Add(delta)
	l.changes[l.next] = change{now, own}
	l.next = (l.next + 1) % loadHistory
	l.count = min(l.count+1, loadHistory)
	l.mu.Unlock()
}

// RecordReport records the upstream's own count of running and waiting requests.
// asOf is the time on this VM's clock that the count refers to: when the poll was
// sent, or earlier by the known lag. peers is the number of other live VMs that
// send to the upstream.
func (l *Load) RecordReport(asOf time.Time, reported, peers int) {
	l.mu.Lock()
	own := l.ownAt(asOf)
	l.othersAtReport.Store(max(0, int64(reported)-own))
	l.ownAtReport.Store(own)
	l.peers.Store(int64(peers))
	l.mu.Unlock()
}

// ownAt returns this VM's in-flight count at a past time. l.mu must be held.
func (l *Load) ownAt(asOf time.Time) int64 {
	if l.count == 0 {
		return 0
	}
	for i := 1; i <= l.count; i++ {
		c := l.changes[(l.next-i+loadHistory)%loadHistory]
		if !c.at.After(asOf) {
			return c.own
		}
	}
	if l.count < loadHistory {
		return 0
	}
	return l.changes[l.next].own
}

// Queue estimates the current number of requests on the upstream. Other VMs read
// the same reports, so each of them is assumed to have added as many requests
// since the report as this VM. Otherwise a stale low report would attract all VMs
// to the same upstream.
func (l *Load) Queue() float64 {
	own := l.own.Load()
	sent := max(0, own-l.ownAtReport.Load())
	return float64(l.othersAtReport.Load()) + float64(own) + float64(sent*l.peers.Load())
}

// OwnInFlight returns the number of this VM's requests in flight on the upstream.
func (l *Load) OwnInFlight() int { return int(l.own.Load()) }
