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
	// crashesToRefuse is the number of upstreams that must have ended under the same
	// request before it is refused: fewer may be a coincidence, more would let it
	// take further upstreams with it.
	crashesToRefuse = 3
	// crashMemory is how long a crash counts. A caller sends such a request again
	// within seconds.
	crashMemory = 30 * time.Second
	// maxSuspects bounds the requests remembered; the loss of a data centre makes
	// suspects of all requests in flight there.
	maxSuspects = 4096
	// crashRetryAfter is when a refused caller comes back: when the crashes are forgotten.
	crashRetryAfter = crashMemory
)

// fingerprint identifies a request that is sent again: same team, path, prompt and body.
type fingerprint uint64

func (c *call) fingerprint() fingerprint {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(c.team), []byte(c.r.Method), []byte(c.r.RequestURI), []byte(c.caller.PromptParts), c.body} {
		_, _ = h.Write(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	return fingerprint(h.Sum64())
}

// crashes remembers under which requests upstreams ended. It is safe for
// concurrent use.
type crashes struct {
	mu       sync.Mutex
	requests map[fingerprint]map[fleet.UpstreamID]time.Time
}

func newCrashes() *crashes {
	return &crashes{requests: make(map[fingerprint]map[fleet.UpstreamID]time.Time)}
}

// add notes that an upstream ended under a request and returns the number of
// such upstreams that still counts.
func (c *crashes) add(now time.Time, f fingerprint, up fleet.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[f] == nil {
		if len(c.requests) >= maxSuspects {
			c.forget(now)
		}
		if len(c.requests) >= maxSuspects {
			return 0
		}
		c.requests[f] = make(map[fleet.UpstreamID]time.Time)
	}
	c.requests[f][up] = now
	return c.count(now, f)
}

// suspected reports whether a request is refused.
func (c *crashes) suspected(now time.Time, f fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count(now, f) >= crashesToRefuse
}

func (c *crashes) count(now time.Time, f fingerprint) int {
	for up, when := range c.requests[f] {
		if now.Sub(when) > crashMemory {
			delete(c.requests[f], up)
		}
	}
	if len(c.requests[f]) == 0 {
		delete(c.requests, f)
	}
	return len(c.requests[f])
}

func (c *crashes) forget(now time.Time) {
	for f := range c.requests {
		c.count(now, f)
	}
}

// crashed notes that an upstream broke off while it ran the request, and tells the
// other VMs, because the caller may send it again through any of them.
func (c *call) crashed(up fleet.UpstreamID) {
	f := c.print
	if n := c.g.crashes.add(time.Now(), f, up); n > 1 {
		c.line(event.RequestSuspected).Str("upstream", string(up)).Int("crashes", n).Send()
	}
	c.g.tell(&peering.Crash{Request: uint64(f), Upstream: up}) // a lost message delays the refusal by one crash
}
