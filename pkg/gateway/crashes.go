package gateway

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/result"
)

const (
	// soundAfter is the time after its first event from which a run counts as sound. What
	// crashes an engine does so as the engine begins to write.
	soundAfter = 250 * time.Millisecond
	// maxReportedGroups bounds the groups in a state message.
	maxReportedGroups = 16
	// minCrashRetryAfter is the shortest retry delay for a request that crashes upstreams.
	minCrashRetryAfter = 30 * time.Second
	// maxLoggedParts bounds the prompt parts that a log line names.
	maxLoggedParts = 8
)

// fingerprint identifies a request that a caller sends again. It covers the team, method, URI,
// prompt parts and body.
type fingerprint uint64

func (c *call) fingerprint() fingerprint {
	h := xxhash.New()
	for _, part := range [][]byte{[]byte(c.team), []byte(c.httpRequest.Method), []byte(c.httpRequest.RequestURI), []byte(c.caller.PromptParts)} {
		_, _ = h.Write(part) // a hash never returns an error
		_, _ = h.Write([]byte{0})
	}
	for _, segment := range c.body {
		_, _ = h.Write(segment)
	}
	_, _ = h.Write([]byte{0})
	return fingerprint(h.Sum64())
}

// sharedParts returns the shared parts of the request's prompt.
func (c *call) sharedParts() []crashcause.Part {
	if c.parts == nil {
		ids := c.caller.SharedParts()
		c.parts = make([]crashcause.Part, min(len(ids), crashcause.MaxParts))
		for i := range c.parts {
			c.parts[i] = crashcause.PartOf(ids[i])
		}
	}
	return c.parts
}

// allParts returns the shared parts of the request's prompt and the request itself.
func (c *call) allParts() []crashcause.Part {
	return append(slices.Clone(c.sharedParts()), crashcause.Part(c.print))
}

// crashesUpstreams reports whether the request is refused because requests like it have crashed
// upstreams, and after what time a caller may try again. It lets a request through if this VM is to
// find out whether it still does.
func (c *call) crashesUpstreams() (retryAfter time.Duration, refused bool) {
	f := c.gateway.crashFilter.Load()
	if f == nil || !f.RefusesAny() {
		return 0, false
	}
	group, found := f.Match(c.allParts())
	if !found {
		return 0, false
	}
	now := time.Now()
	if c.trial == nil && group.TrialDue(now) && c.isTrialBearable(now, group) && c.gateway.claimTrial(now, group) {
		c.trial = group.Parts
	}
	if c.trial != nil && !c.broken {
		return 0, false
	}
	c.gateway.stats.Count("crashing_refused")
	if group.FailedTrials == 0 {
		return max(group.TrialFrom.Sub(now), trialCheckInterval) + jitter(crashcause.TrialSpacing), true
	}
	return max(group.TrialFrom.Sub(now), minCrashRetryAfter), true
}

// awaitDecision waits while a suspected part of the request may be found sound at any moment.
func (c *call) awaitDecision() {
	for {
		f := c.gateway.crashFilter.Load()
		if f == nil || !f.RefusesAny() {
			return
		}
		group, found := f.Match(c.allParts())
		if !found || !group.Undecided(time.Now()) || !sleep(c.ctx, controlTick) {
			return
		}
	}
}

// errCrashesUpstreams means that a request gets no further run because requests like it crash
// upstreams.
var errCrashesUpstreams = errors.New("requests like this one crash upstreams")

// refuseCrashing refuses a request that crashes upstreams, and reports whether it did.
func (c *call) refuseCrashing() bool {
	retryAfter, refused := c.crashesUpstreams()
	if refused {
		c.answerCrashing(c.possibleRuns > 0, retryAfter)
	}
	return refused
}

// answerCrashing refuses a request that crashes upstreams. One that may have run fails instead.
func (c *call) answerCrashing(mayHaveRun bool, retryAfter time.Duration) {
	if mayHaveRun {
		c.fail(result.New(result.Quarantined, result.OutcomeUnknown, "%v", errCrashesUpstreams))
		return
	}
	c.refuse(result.Quarantined, retryAfter)
}

// retryShare is the share of the remaining time for which the retry of a request waits that may have
// crashed its server.
const retryShare = 0.5

// mayRetryAfterCrash reports whether a request for a plain service may be sent to another server. If
// it may have crashed the former one, it waits until the VMs have told each other what they know.
func (c *call) mayRetryAfterCrash() bool {
	if !c.suspected {
		return true
	}
	c.ended.Until = time.Now().Add(time.Duration(retryShare * float64(c.timeRemaining())))
	for {
		now := time.Now()
		switch decision, next := c.gateway.crashFilter.Load().Retry(now, c.allParts(), c.ended); decision {
		case crashcause.RetryWait:
			if !sleep(c.ctx, next.Sub(now)) {
				return false
			}
		case crashcause.RetryNow:
			c.beginRetryTrial()
			return c.timeRemaining() > minSendTime
		default:
			return false
		}
	}
}

// awaitCrashHeard delays the failure of a repeatable request that may have crashed its server until the
// other VMs have heard of it: its caller repeats it there at once.
func (c *call) awaitCrashHeard() {
	if c.suspected && c.route.Repeatable() && len(c.view.otherVMs) > 0 {
		heard := time.Until(c.ended.First.Add(crashcause.HeardTime))
		sleep(c.ctx, min(heard, c.timeRemaining()-minSendTime))
	}
}

// mayRunAgain reports whether a generation may run again after a run that may have crashed its
// server. It waits for the reports of the other VMs, which may show another cause.
func (g *generation) mayRunAgain() (retryAfter time.Duration, again bool) {
	if len(g.view.otherVMs) > 0 && !sleep(g.ctx, crashcause.ReportingTime) {
		return 0, false
	}
	retryAfter, refused := g.crashesUpstreams()
	g.suspected, g.request.Isolated = refused, g.trial != nil
	return retryAfter, !refused
}

// endCrashing ends a generation that gets no further run because requests like it crash engines.
func (g *generation) endCrashing(retryAfter time.Duration) {
	if g.headerSent {
		g.abortStream(result.Quarantined, errCrashesUpstreams)
		return
	}
	g.answerCrashing(g.unknownRuns > 0, retryAfter)
}
