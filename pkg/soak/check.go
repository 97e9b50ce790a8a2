package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

const (
	// drainTime is how long after its announcement a draining server may still get
	// requests (drain_ms of the platform and the way of a request), settled the time
	// without disturbance after which a VM is bound by it (settle_window_ms).
	drainTime = 2500 * time.Millisecond
	settled   = 3 * time.Second
	// configTime is the time in which a configuration is in force (config_ms), with the
	// way of a request.
	configTime = 2500 * time.Millisecond
	// servedShare is the least part of the requests at the end of the calm that must be
	// served: the platform asks for a quarter.
	servedShare = 0.25
	// servedFor is the end of the calm in which that is counted.
	servedFor = 4 * time.Second
)

// checker compares what callers and servers see with the promises of the pages.
type checker struct {
	w  *World
	mu sync.Mutex
	// once are requests that may run at most once, notRun those that were answered as not run.
	once   []string
	notRun map[string]int
	// draining holds since when plain servers drain.
	draining map[string]time.Time
	// asked and done count the requests of the last seconds.
	since       time.Time
	asked, done int
	counts      map[string]int
}

func newChecker(w *World) *checker {
	return &checker{w: w, notRun: map[string]int{}, draining: map[string]time.Time{}, counts: map[string]int{}}
}

// check checks one answer. gaveUp is set when the caller left.
func (c *checker) check(a *answer, limit time.Duration, gaveUp bool) {
	c.mu.Lock()
	c.counts[fmt.Sprintf("%s %d", a.kind, a.status)]++
	if a.kind == "book" {
		c.once = append(c.once, a.id)
	}
	ok := a.status == http.StatusOK && a.whole
	if !c.since.IsZero() && a.sent.After(c.since) && !gaveUp {
		c.asked++
		if ok {
			c.done++
		}
	}
	if promisesNotRun(a.status) {
		c.notRun[a.id] = a.status
	}
	c.mu.Unlock()
	calm := a.vm != nil && a.vm.CalmSince(a.sent.Add(-settled))
	switch {
	case a.status == http.StatusOK && a.kind == "gen":
		c.stream(a)
	case ok && string(a.body) != a.want:
		c.w.violate(fmt.Sprintf("%s got another body: %q, want %q", a.id, a.body, a.want))
	case a.status == http.StatusTeapot:
		c.w.violate(fmt.Sprintf("%s ran on a chain that does not hold every layer once: %s", a.id, a.body))
	case a.status == http.StatusUnauthorized && c.keyInForce(a):
		c.w.violate(fmt.Sprintf("%s was refused for the key %s, which all configurations in force hold", a.id, a.key))
	case a.status == http.StatusNotFound, a.status == http.StatusBadRequest, a.status == http.StatusRequestEntityTooLarge:
		c.w.violate(fmt.Sprintf("%s, a proper request, got %d: %s", a.id, a.status, a.body))
	case promisesNotRun(a.status) && a.header.Get("Retry-After") == "":
		c.w.violate(fmt.Sprintf("%s got %d without a time to come back", a.id, a.status))
	}
	if ok && !userplatform.SignedFor(a.header, a.id) {
		c.w.violate(fmt.Sprintf("%s got a success that is not its own: %v", a.id, a.header))
	}
	if calm && a.vm.CalmSince(a.sent) && a.took > limit+late {
		c.w.violate(fmt.Sprintf("%s had no end after %v, its limit is %v", a.id, a.took, limit))
	}
}

// keyInForce reports whether every configuration that may have been in force when a
// request was sent holds its key.
func (c *checker) keyInForce(a *answer) bool {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if a.sent.Before(c.w.changedAt.Add(configTime)) || !a.vm.CalmSince(a.sent.Add(-settled-configTime)) {
		return false
	}
	for _, k := range c.w.keys {
		if k == a.key {
			return true
		}
	}
	return false
}

// stream checks that events come once and in order, and that an answer which looks
// whole has all of them.
func (c *checker) stream(a *answer) {
	want := userplatform.Stream(a.first+1, events)
	switch {
	case a.whole && string(a.body) != want:
		c.w.violate(fmt.Sprintf("stream %s after event %d looks whole and is not: %q", a.id, a.first, a.body))
	case !strings.HasPrefix(want, string(a.body)):
		c.w.violate(fmt.Sprintf("stream %s after event %d has other bytes than its events in order: %q", a.id, a.first, a.body))
	}
}

// drains notes that a server announced its end; false if it did already.
func (c *checker) drains(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, already := c.draining[id]; already {
		return false
	}
	c.draining[id] = time.Now()
	return true
}

func (c *checker) returns(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.draining, id)
}

// arrived checks that a draining server gets nothing new from a fleet that has not been
// disturbed since before the announcement.
func (c *checker) arrived(id string) {
	c.mu.Lock()
	since, draining := c.draining[id]
	c.mu.Unlock()
	if !draining || time.Since(since) < drainTime {
		return
	}
	for _, v := range c.w.vms {
		if !v.CalmSince(since.Add(-settled)) {
			return
		}
	}
	c.w.violate(fmt.Sprintf("server %s got a request %v after it announced its end", id, time.Since(since)))
}

// served checks that service has returned at the end of the calm.
func (c *checker) served(ctx context.Context) {
	c.mu.Lock()
	c.since = time.Now()
	c.mu.Unlock()
	c.w.sleep(ctx, servedFor)
	c.mu.Lock()
	asked, done := c.asked, c.done
	c.mu.Unlock()
	if ctx.Err() == nil && float64(done) < servedShare*float64(asked) || asked == 0 {
		c.w.violate(fmt.Sprintf("%d of %d requests were served after %v without a fault", done, asked, calm))
	}
}

// finish checks what must hold of all runs, once no server works any more.
func (c *checker) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.once {
		if n := c.w.runs.Of(id); n > 1 {
			c.w.violate(fmt.Sprintf("%s ran %d times and may run once", id, n))
		}
	}
	for id, status := range c.notRun {
		if n := c.w.runs.Of(id); n > 0 {
			c.w.violate(fmt.Sprintf("%s was answered %d, which says that it has not run; it ran %d times", id, status, n))
		}
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
