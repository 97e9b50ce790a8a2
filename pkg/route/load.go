package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// loadHistory is how many changes of the own in-flight count are kept; a report
// that is older than all of them is corrected by the oldest.
const loadHistory = 256

// Load is the corrected queue of one upstream: the last report plus what this
// VM has sent and seen end since then. It is safe for concurrent use and
// shared by successive snapshots.
type Load struct {
	own     atomic.Int64
	base    atomic.Int64 // reported count less this VM's own part of it
	atBase  atomic.Int64 // own in-flight count at the time of the report
	peers   atomic.Int64 // other VMs expected to send like this one
	mu      sync.Mutex
	changes [loadHistory]change
	next    int
	count   int
}

type change struct {
	at  time.Time
	own int64
}

// Sent books a request sent to the upstream.
func (l *Load) Sent(now time.Time) { l.add(now, 1) }

// Ended books the end of a request sent before.
func (l *Load) Ended(now time.Time) { l.add(now, -1) }

func (l *Load) add(now time.Time, d int64) {
	l.mu.Lock()
	own := l.own.Add(d)
	l.changes[l.next] = change{now, own}
	l.next = (l.next + 1) % loadHistory
	l.count = min(l.count+1, loadHistory)
	l.mu.Unlock()
}

// Report books the upstream's own count of running and waiting requests. asOf is
// this VM's time that the count describes: when the poll was sent, or earlier by
// the known lag. peers is the number of other live VMs that send to the upstream.
func (l *Load) Report(asOf time.Time, reported, peers int) {
	l.mu.Lock()
	own := l.ownAt(asOf)
	l.base.Store(max(0, int64(reported)-own))
	l.atBase.Store(own)
	l.peers.Store(int64(peers))
	l.mu.Unlock()
}

// ownAt returns this VM's in-flight count at a past time.
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

// Queue estimates the requests on the upstream now. Other VMs read the same
// reports, so what this VM added since the report is assumed of each of them:
// without this, a stale low report draws all VMs to the same upstream.
func (l *Load) Queue() float64 {
	own := l.own.Load()
	sent := max(0, own-l.atBase.Load())
	return float64(l.base.Load()) + float64(own) + float64(sent*l.peers.Load())
}

// Own returns this VM's requests in flight on the upstream.
func (l *Load) Own() int { return int(l.own.Load()) }
