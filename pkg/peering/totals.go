package peering

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Totals is the sum of the reservations of several VMs by upstream. It changes with each state
// message, at a cost that does not depend on the number of VMs. The sums are integers, so that
// reservations which are subtracted leave nothing behind. Totals is not safe for concurrent use.
//
// Invariant: only reservations that were added before are subtracted.
type Totals struct{ byUpstream map[uint32]total }

// total holds sums in the units of Reservation.
type total struct{ kv, requests, tokens uint64 }

// NewTotals returns empty sums.
func NewTotals() *Totals { return &Totals{byUpstream: make(map[uint32]total)} }

// Add adds reservations.
func (t *Totals) Add(list []Reservation) {
	for _, r := range list {
		sum := t.byUpstream[r.Upstream]
		sum.kv += uint64(r.KV)
		sum.requests += uint64(r.Requests)
		sum.tokens += uint64(r.Tokens)
		t.byUpstream[r.Upstream] = sum
	}
}

// Subtract subtracts reservations that were added.
func (t *Totals) Subtract(list []Reservation) {
	for _, r := range list {
		sum := t.byUpstream[r.Upstream]
		sum.kv -= uint64(r.KV)
		sum.requests -= uint64(r.Requests)
		sum.tokens -= uint64(r.Tokens)
		if sum == (total{}) {
			delete(t.byUpstream, r.Upstream)
			continue
		}
		t.byUpstream[r.Upstream] = sum
	}
}

// Of returns the sums at an upstream: memory in tokens x layers, requests and tokens.
func (t *Totals) Of(id fleet.UpstreamID) (kv, requests, tokens float64) {
	sum := t.byUpstream[HashID(id)]
	return float64(sum.kv) * kvUnit, float64(sum.requests), float64(sum.tokens) * tokenUnit
}

// BacklogOf returns the sum of the backlogs at an upstream in tokens x layers, and the mean of the
// waits that VMs tell.
func (t *Totals) BacklogOf(id fleet.UpstreamID) (unread float64, wait time.Duration) {
	sum := t.byUpstream[backlogKey(HashID(id))]
	return float64(sum.kv) * kvUnit, time.Duration(sum.tokens/max(sum.requests, 1)) * time.Millisecond
}

// Len returns the number of upstreams with reservations, and of those with backlogs.
func (t *Totals) Len() int { return len(t.byUpstream) }
