// Package retry keeps retry budgets by team and upstream. It is pure: times are
// handed in. Only the entry VM retries, so these budgets bound all repeated work.
// Attempts whose connection was refused ran nowhere; they need no budget.
//
// Invariant: over any interval the retries granted for a key are at most
// Ratio times its successes plus MinPerSecond times the seconds plus Burst.
package retry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Config holds the limits of a budget.
type Config struct {
	// Ratio is the retries earned by one success.
	Ratio float64
	// MinPerSecond is earned without any success, so that a quiet team can retry.
	MinPerSecond float64
	// Burst bounds the saved retries. The loss of a data centre breaks most
	// generations of a VM at once, so it covers a VM's share of the batch slots.
	Burst float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config { return Config{Ratio: 0.1, MinPerSecond: 0.5, Burst: 40} }

// idleAfter is when a bucket is full again in any case and can be forgotten.
const idleAfter = 10 * time.Minute

type bucket struct {
	tokens float64
	at     time.Time
}

// Budget holds the budgets of one entry VM. It is not safe for concurrent use.
type Budget struct {
	cfg       Config
	teams     map[fleet.TeamID]*bucket
	upstreams map[fleet.UpstreamID]*bucket
}

// New returns budgets with full buckets.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, teams: make(map[fleet.TeamID]*bucket), upstreams: make(map[fleet.UpstreamID]*bucket)}
}

// SetConfig replaces the limits and keeps what is saved.
func (b *Budget) SetConfig(cfg Config) { b.cfg = cfg }

// Success books a success of the team on the upstream.
func (b *Budget) Success(now time.Time, team fleet.TeamID, up fleet.UpstreamID) {
	for _, k := range [2]*bucket{bucketOf(b, b.teams, team, now), bucketOf(b, b.upstreams, up, now)} {
		k.tokens = min(k.tokens+b.cfg.Ratio, b.cfg.Burst)
	}
}

// Allow takes one retry from the team and from the failed upstream, from both or
// from neither. When it refuses, it returns the time until both have one.
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

// Prune forgets buckets that have not been used for long enough to be full.
func (b *Budget) Prune(now time.Time) {
	prune(b.teams, now)
	prune(b.upstreams, now)
}

func prune[K comparable](m map[K]*bucket, now time.Time) {
	for k, v := range m {
		if now.Sub(v.at) > idleAfter {
			delete(m, k)
		}
	}
}

// bucketOf returns the bucket of a key, filled up to now.
func bucketOf[K comparable](b *Budget, m map[K]*bucket, key K, now time.Time) *bucket {
	k := m[key]
	if k == nil {
		k = &bucket{at: now, tokens: b.cfg.Burst}
		m[key] = k
		return k
	}
	if dt := now.Sub(k.at).Seconds(); dt > 0 {
		k.tokens = min(k.tokens+dt*b.cfg.MinPerSecond, b.cfg.Burst)
		k.at = now
	}
	return k
}
