package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/peering"
)

const (
	// quarantineThreshold is the number of upstreams that must have crashed while running
	// the same request before the request is refused. Fewer may be a coincidence; more would
	// cost further upstreams.
	quarantineThreshold = 3
	// crashRetention is how long a crash counts. A caller retries such a request within
	// seconds.
	crashRetention = 30 * time.Second
	// maxTrackedRequests bounds the requests that are tracked. The loss of a data centre
	// adds all requests in flight there.
	maxTrackedRequests = 4096
	// quarantineRetryAfter is the retry delay for a quarantined request: its crashes have
	// expired by then.
	quarantineRetryAfter = crashRetention
)

// fingerprint identifies a request that a caller sends again. It covers the team, method, URI,
// prompt parts and body.
type fingerprint uint64

func (c *call) fingerprint() fingerprint {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(c.team), []byte(c.httpRequest.Method), []byte(c.httpRequest.RequestURI), []byte(c.caller.PromptParts), c.body} {
		_, _ = h.Write(part) // a hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	return fingerprint(h.Sum64())
}

// crashHistory records which upstreams crashed while they ran a request. It is safe for
// concurrent use.
type crashHistory struct {
	mu       sync.Mutex
	requests map[fingerprint]map[fleet.UpstreamID]time.Time
}

func newCrashHistory() *crashHistory {
	return &crashHistory{requests: make(map[fingerprint]map[fleet.UpstreamID]time.Time)}
}

// recordCrash records that an upstream crashed while it ran a request and returns the number
// of such upstreams within crashRetention.
func (c *crashHistory) recordCrash(now time.Time, f fingerprint, up fleet.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[f] == nil {
		if len(c.requests) >= maxTrackedRequests {
			c.prune(now)
		}
		if len(c.requests) >= maxTrackedRequests {
			return 0
		}
		c.requests[f] = make(map[fleet.UpstreamID]time.Time)
	}
	c.requests[f][up] = now
	return c.pruneAndCount(now, f)
}

// isQuarantined reports whether a request is refused.
func (c *crashHistory) isQuarantined(now time.Time, f fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pruneAndCount(now, f) >= quarantineThreshold
}

// pruneAndCount drops expired crashes of a request and returns the number that remains. The
// caller holds the lock.
func (c *crashHistory) pruneAndCount(now time.Time, f fingerprint) int {
	for up, when := range c.requests[f] {
		if now.Sub(when) > crashRetention {
			delete(c.requests[f], up)
		}
	}
	if len(c.requests[f]) == 0 {
		delete(c.requests, f)
	}
	return len(c.requests[f])
}

// prune drops all expired crashes. The caller holds the lock.
func (c *crashHistory) prune(now time.Time) {
	for f := range c.requests {
		c.pruneAndCount(now, f)
	}
}

// reportCrash records that an upstream broke the connection while it ran the request. It
// informs the other VMs, because the caller may repeat the request through any of them.
func (c *call) reportCrash(up fleet.UpstreamID) {
	f := c.print
	if n := c.gateway.crashes.recordCrash(time.Now(), f, up); n > 1 {
		c.logLine(event.RequestSuspected).Str("upstream", string(up)).Int("crashes", n).Send()
	}
	c.gateway.broadcast(&peering.Crash{Request: uint64(f), Upstream: up}) // a lost message delays the refusal by one crash
}

// maxLoggedParts bounds the prompt parts that a log line names.
const maxLoggedParts = 8

// logBroken logs that an upstream ended a run without a complete answer. began is set if it had
// begun its answer.
func (c *call) logBroken(up fleet.UpstreamID, began bool, events int64) {
	parts := c.caller.SharedParts()
	c.logLine(event.RunBroken).Str("upstream", string(up)).Bool("began", began).Int64("events", events).
		Int("shared_parts", len(parts)).Strs("parts", parts[:min(len(parts), maxLoggedParts)]).Send()
}
