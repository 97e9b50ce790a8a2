// Package retry limits retries: Budget by team and upstream on one entry VM, SharedBudget by
// service across all VMs. It does not read the clock: callers pass the current time. Only
// the entry VM retries, so these budgets bound all repeated work. An attempt whose connection
// was refused ran on no upstream and needs no budget.
//
// Invariant of Budget: over any interval, the retries granted to a team or for an upstream
// are at most Ratio times its successes plus MinPerSecond times the seconds plus Burst.
package retry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Config holds the limits of a Budget.
type Config struct {
	// Ratio is the number of retries that one success adds to a budget.
	Ratio float64
	// MinPerSecond is the number of retries added per second even without any success, so
	// that a team with little traffic can retry.
	MinPerSecond float64
	// Burst bounds the retries that can accumulate. It covers a VM's share of the batch
	// slots, because the loss of a data centre breaks most generations of a VM at once.
	Burst float64
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config { return Config{Ratio: 0.1, MinPerSecond: 0.5, Burst: 40} }

// idleTimeout is the time without use after which a bucket counts as full again and can be
// deleted.
const idleTimeout = 10 * time.Minute

// bucket is a token bucket; a retry costs one token.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Budget holds the retry budgets of one entry VM. It is not safe for concurrent use.
type Budget struct {
	cfg       Config
	teams     map[fleet.TeamID]*bucket
	upstreams map[fleet.UpstreamID]*bucket
}

// New returns a Budget whose buckets start full.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, teams: make(map[fleet.TeamID]*bucket), upstreams: make(map[fleet.UpstreamID]*bucket)}
}

// SetConfig replaces the limits and keeps the accumulated retries.
func (b *Budget) SetConfig(cfg Config) { b.cfg = cfg }

// RecordSuccess adds Ratio retries to the budgets of the team and of the upstream that served
// it.
func (b *Budget) RecordSuccess(now time.Time, team fleet.TeamID, up fleet.UpstreamID) {
	for _, k := range [2]*bucket{bucketOf(b, b.teams, team, now), bucketOf(b, b.upstreams, up, now)} {
		k.tokens = min(k.tokens+b.cfg.Ratio, b.cfg.Burst)
	}
}

// Allow takes one retry from the budgets of both the team and the failed upstream, or from
// neither if one of them is used up. When it refuses, it returns the time after which both
// have a retry available without any further success.
func (b *Budget) Allow(now time.Time, team fleet.TeamID, failed fleet.UpstreamID) (bool, time.Duration) {
	t := bucketOf(b, b.teams, team, now)
	u := bucketOf(b, b.upstreams, failed, now)
	if t.tokens >= 1 && u.tokens >= 1 {
		t.tokens--
		u.tokens--
		return true, 0
	}
	missing := 1 - min(t.tokens, u.tokens)
	wait := time.Duration(missing / max(b.cfg.MinPerSecond, 0.01) * float64(time.Second))
	return false, max(wait, time.Millisecond)
}

// Prune deletes buckets that have been idle for longer than idleTimeout.
func (b *Budget) Prune(now time.Time) {
	prune(b.teams, now)
	prune(b.upstreams, now)
}

func prune[K comparable](m map[K]*bucket, now time.Time) {
	for k, v := range m {
		if now.Sub(v.refilledAt) > idleTimeout {
			delete(m, k)
		}
	}
}

// bucketOf returns the bucket of a key, refilled up to now.
func bucketOf[K comparable](b *Budget, m map[K]*bucket, key K, now time.Time) *bucket {
	k := m[key]
	if k == nil {
		k = &bucket{refilledAt: now, tokens: b.cfg.Burst}
		m[key] = k
		return k
	}
	if elapsed := now.Sub(k.refilledAt).Seconds(); elapsed > 0 {
		k.tokens = min(k.tokens+elapsed*b.cfg.MinPerSecond, b.cfg.Burst)
		k.refilledAt = now
	}
	return k
}
