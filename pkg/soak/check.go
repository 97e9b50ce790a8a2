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
	// drainLimit is how long after announcing its drain a server may still receive
	// requests: drain_ms of the platform plus the transit time of a request.
	drainLimit = 2500 * time.Millisecond
	// settleWindow is the time without a disturbance after which a VM must meet its bounds
	// (settle_window_ms of the platform).
	settleWindow = 3 * time.Second
	// configLimit is the time within which a configuration must be in force: config_ms of
	// the platform plus the transit time of a request.
	configLimit = 2500 * time.Millisecond
	// minServedShare is the minimum share of the requests at the end of the run that must
	// succeed. The platform requires a quarter.
	minServedShare = 0.25
	// servedWindow is the time at the end of the run in which these requests are counted.
	servedWindow = 4 * time.Second
	// directoryPollInterval is the interval at which the directory of a VM is asked again.
	directoryPollInterval = 100 * time.Millisecond
	// maxPublishedAddresses is the largest number of addresses in an answer of the directory.
	maxPublishedAddresses = 64
)

// checker compares what callers and servers observe with the documented guarantees.
type checker struct {
	world *World
	mu    sync.Mutex
	// atMostOnce lists the IDs of requests that may run at most once.
	atMostOnce []string
	// notRun maps requests to the answered status that guarantees they have not run.
	notRun map[string]int
	// drainingSince maps plain servers to the time they announced their drain.
	drainingSince map[string]time.Time
	// requests and successes count the requests sent after countFrom that their callers
	// did not cancel; a zero countFrom disables the count.
	countFrom           time.Time
	requests, successes int
	counts              map[string]int
}

func newChecker(w *World) *checker {
	return &checker{world: w, notRun: map[string]int{}, drainingSince: map[string]time.Time{}, counts: map[string]int{}}
}

// check checks one answer. cancelled is true if the request's context ended before the
// answer was read.
func (c *checker) check(a *answer, timeout time.Duration, cancelled bool) {
	c.mu.Lock()
	c.counts[fmt.Sprintf("%s %d", a.kind, a.status)]++
	if a.kind == "book" {
		c.atMostOnce = append(c.atMostOnce, a.id)
	}
	ok := a.status == http.StatusOK && a.complete
	if !c.countFrom.IsZero() && a.sentAt.After(c.countFrom) && !cancelled {
		c.requests++
		if ok {
			c.successes++
		}
	}
	if promisesNotRun(a.status) {
		c.notRun[a.id] = a.status
	}
	c.mu.Unlock()
	undisturbed := a.vm != nil && a.vm.UndisturbedSince(a.sentAt.Add(-settleWindow))
	switch {
	case a.status == http.StatusOK && a.kind == "gen":
		c.checkStream(a)
	case ok && string(a.body) != a.wantBody:
		c.world.recordViolation(fmt.Sprintf("%s got another body: %q, want %q", a.id, a.body, a.wantBody))
	case a.status == http.StatusTeapot:
		c.world.recordViolation(fmt.Sprintf("%s ran on a chain that does not hold every layer once: %s", a.id, a.body))
	case a.status == http.StatusUnauthorized && c.keyInForce(a):
		c.world.recordViolation(fmt.Sprintf("%s was refused for the key %s, which all configurations in force hold", a.id, a.key))
	case a.status == http.StatusNotFound, a.status == http.StatusBadRequest, a.status == http.StatusRequestEntityTooLarge:
		c.world.recordViolation(fmt.Sprintf("%s, a proper request, got %d: %s", a.id, a.status, a.body))
	case promisesNotRun(a.status) && a.header.Get("Retry-After") == "":
		c.world.recordViolation(fmt.Sprintf("%s got %d without a time to come back", a.id, a.status))
	}
	if ok && !userplatform.SignedFor(a.header, a.id) {
		c.world.recordViolation(fmt.Sprintf("%s got a success that is not its own: %v", a.id, a.header))
	}
	if undisturbed && a.vm.UndisturbedSince(a.sentAt) && a.duration > timeout+deadlineTolerance {
		c.world.recordViolation(fmt.Sprintf("%s had no end after %v, its limit is %v", a.id, a.duration, timeout))
	}
}

// keyInForce reports whether the key of a request is in every configuration that may have
// been in force at the VM when the request was sent.
func (c *checker) keyInForce(a *answer) bool {
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	if a.sentAt.Before(c.world.configChangedAt.Add(configLimit)) || !a.vm.UndisturbedSince(a.sentAt.Add(-settleWindow-configLimit)) {
		return false
	}
	for _, k := range c.world.keys {
		if k == a.key {
			return true
		}
	}
	return false
}

// checkStream checks that events arrive once and in order, and that an answer that looks
// complete contains all of them.
func (c *checker) checkStream(a *answer) {
	want := userplatform.Stream(a.lastEvent+1, eventsPerStream)
	switch {
	case a.complete && string(a.body) != want:
		c.world.recordViolation(fmt.Sprintf("stream %s after event %d looks whole and is not: %q", a.id, a.lastEvent, a.body))
	case !strings.HasPrefix(want, string(a.body)):
		c.world.recordViolation(fmt.Sprintf("stream %s after event %d has other bytes than its events in order: %q", a.id, a.lastEvent, a.body))
	}
}

// startDrain records that a server announces its drain. It returns false if the server
// already drains.
func (c *checker) startDrain(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, already := c.drainingSince[id]; already {
		return false
	}
	c.drainingSince[id] = time.Now()
	return true
}

// endDrain records that a server takes requests again.
func (c *checker) endDrain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, id)
}

// checkArrival checks that a draining server receives no request after drainLimit. The
// check applies only if no VM was disturbed from settleWindow before the announcement on.
func (c *checker) checkArrival(id string) {
	c.mu.Lock()
	since, draining := c.drainingSince[id]
	c.mu.Unlock()
	if !draining || time.Since(since) < drainLimit {
		return
	}
	for _, v := range c.world.vms {
		if !v.UndisturbedSince(since.Add(-settleWindow)) {
			return
		}
	}
	c.world.recordViolation(fmt.Sprintf("server %s got a request %v after it announced its end", id, time.Since(since)))
}

// checkServed counts requests for servedWindow and checks that enough of them succeed.
func (c *checker) checkServed(ctx context.Context) {
	c.mu.Lock()
	c.countFrom = time.Now()
	c.mu.Unlock()
	c.world.sleep(ctx, servedWindow)
	c.mu.Lock()
	requests, successes := c.requests, c.successes
	c.mu.Unlock()
	if ctx.Err() == nil && float64(successes) < minServedShare*float64(requests) || requests == 0 {
		c.world.recordViolation(fmt.Sprintf("%d of %d requests were served after %v without a fault", successes, requests, calmTime))
	}
}

// checkDirectories checks that the directory of each VM names all VMs at some time within
// settleWindow. It fails if they do not take each other's messages.
func (c *checker) checkDirectories(ctx context.Context) {
	asking := newCaller(c.world, 0)
	want := min(len(c.world.vms), maxPublishedAddresses)
	end := time.Now().Add(settleWindow)
	for _, v := range c.world.vms {
		named := asking.fetchAddresses(ctx, v)
		for ctx.Err() == nil && len(named) != want && time.Now().Before(end) {
			c.world.sleep(ctx, directoryPollInterval)
			named = asking.fetchAddresses(ctx, v)
		}
		if ctx.Err() == nil && len(named) != want {
			c.world.recordViolation(fmt.Sprintf("the directory of %s names %d VMs of %d after %v without a fault: %v", v.Name, len(named), want, calmTime, named))
		}
	}
}

// checkRuns checks how often requests ran. It is called after all callers and VMs have
// stopped.
func (c *checker) checkRuns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.atMostOnce {
		if n := c.world.runs.Count(id); n > 1 {
			c.world.recordViolation(fmt.Sprintf("%s ran %d times and may run once", id, n))
		}
	}
	for id, status := range c.notRun {
		if n := c.world.runs.Count(id); n > 0 {
			c.world.recordViolation(fmt.Sprintf("%s was answered %d, which says that it has not run; it ran %d times", id, status, n))
		}
	}
}

// promisesNotRun reports whether a status guarantees that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
