package chain

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// The prompts that a server has still to read delay the first event of each request that
// arrives after them. What this VM sent is known exactly; what other VMs sent is known from
// their state messages, and assumed for the time since those.

const (
	// burstWindow is the time over which the count of arrivals decays that shows a burst: callers
	// that come back together after an outage, or streams that leave a server together.
	burstWindow = 500 * time.Millisecond
	// queueSlackShare is the fraction of the objective that may pass in the queue of prompts at
	// no extra cost. The rest is for the own prompt, the first steps and the error of the estimate.
	queueSlackShare = 0.4
	// lateSecondCost is the cost of each second in the queue beyond that slack, in seconds of
	// running time. An event that is late costs the caller about 0.75 of the value of the answer. A
	// running stream meets the end of a server of its chain once in about 50 s on the deployments
	// that were measured, so that the same loss is worth many seconds of a longer run.
	lateSecondCost = 16.0
	// pauseCost is the cost in seconds of a chain whose steps and prompt pieces together exceed
	// the gap objective of the request.
	pauseCost = 1.0
	// maxExpectedWait bounds Chain.ExpectedWait, because a chain that is silent for longer is
	// suspected to have failed.
	maxExpectedWait = 500 * time.Millisecond
	// measuredWaitLifetime is the time after which the wait that a run met no longer counts.
	measuredWaitLifetime = time.Second
	// evidenceLifetime is the time for which a run with a short wait shows that the servers of its
	// chain are not the cause of a longer one.
	evidenceLifetime = 300 * time.Millisecond
	// unseenShare is the part of the unseen requests of other VMs that a server is assumed to get:
	// VMs with the same view prefer the same server. With 0.25 or 0.75 in place of it, 18 to 36%
	// more streams were late in the simulated bursts of the tests of package dispatch.
	unseenShare = 0.5
	// minToldWait is the shortest wait that this VM tells the others: shorter ones are usual, and
	// messages would carry one for each server.
	minToldWait = 50 * time.Millisecond
	// stateAge is the time that a state message of another VM takes to be applied, in addition
	// to half of the interval between messages.
	stateAge = 50 * time.Millisecond
)

// backlogState is what the estimate of unread prompts needs beside the reservations.
type backlogState struct {
	// off turns the estimate off.
	off bool
	// arrivals is the decayed count of arrivals within burstWindow as of arrivalsAt.
	arrivals   float64
	arrivalsAt time.Time
	// unread are the chains whose first event has not arrived yet.
	unread []*Chain
}

// SetBacklogAware sets whether searches account for the prompts that servers have still to read.
func (a *Allocator) SetBacklogAware(aware bool) { a.backlog.off = !aware }

// RecordRetry records a further run of a request. When a server ends, all VMs move their streams at
// the same time.
func (a *Allocator) RecordRetry(now time.Time) { a.backlog.recordArrival(now) }

func (b *backlogState) recordArrival(now time.Time) {
	b.arrivals = b.at(now) + 1
	b.arrivalsAt = now
}

func (b *backlogState) at(now time.Time) float64 {
	if b.arrivalsAt.IsZero() {
		return 0
	}
	return b.arrivals * max(0, 1-now.Sub(b.arrivalsAt).Seconds()/burstWindow.Seconds())
}

// adjustUnread adds the prompt of a chain to what its servers have still to read, or removes it.
func (a *Allocator) adjustUnread(c *Chain, sign float64) {
	for _, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil {
			s.ownLoad.Unread = max(0, s.ownLoad.Unread+sign*float64(c.need.PromptTokens*stage.Layers.Len()))
		}
	}
}

// recordPromptSent records that the servers of a chain have to read its prompt.
func (a *Allocator) recordPromptSent(now time.Time, c *Chain) {
	c.reservedAt, c.promptWaiting = now, true
	a.adjustUnread(c, 1)
	a.backlog.unread = append(a.backlog.unread, c)
}

// RecordPromptWait records the first event of a run on a chain that began at the given time. It
// shows how long prompts wait at the servers of the chain, also behind those of VMs that this
// one does not know of. It must be called before RecordProgress.
func (a *Allocator) RecordPromptWait(now time.Time, c *Chain, began time.Time) {
	if !c.promptWaiting {
		return
	}
	wait := now.Sub(began) - (c.ExpectedFirstEvent - c.ExpectedWait)
	for _, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil {
			s.measuredWait, s.measuredAt = s.attributable(now, max(wait.Seconds(), 0)), now
		}
	}
	a.recordPromptRead(c)
}

// updatePendingWaits sets the pending wait of each server.
func (a *Allocator) updatePendingWaits(now time.Time) {
	for _, s := range a.servers {
		s.pendingWait = 0
	}
	for _, c := range a.backlog.unread {
		overdue := (now.Sub(c.reservedAt) - (c.ExpectedFirstEvent - c.ExpectedWait)).Seconds()
		if overdue <= 0 {
			continue
		}
		for _, stage := range c.Stages {
			if s := a.byID[stage.Server]; s != nil {
				s.pendingWait = max(s.pendingWait, s.attributable(now, overdue))
			}
		}
	}
}

// attributable returns the part of a run's wait in seconds that a server may have caused. The
// wait of a run is that of its slowest server. If another run through the server waited less a
// moment ago, most of the wait is due to another server of the chain: a queue grows by at most a
// second each second, as long as it gets no more than twice what the server can read.
func (s *server) attributable(now time.Time, wait float64) float64 {
	age := now.Sub(s.measuredAt)
	if age < 0 || age > evidenceLifetime {
		return wait
	}
	return min(wait, s.measuredWait+age.Seconds())
}

// observedWait returns the wait in seconds that runs of this VM have met at a server.
func (s *server) observedWait(now time.Time) float64 {
	age := now.Sub(s.measuredAt).Seconds() / measuredWaitLifetime.Seconds()
	return max(s.pendingWait, s.measuredWait*max(0, 1-age))
}

// ToldWaits returns, for each server where runs of this VM have lately waited for longer than
// minToldWait, how long they waited.
func (a *Allocator) ToldWaits(now time.Time) map[fleet.UpstreamID]time.Duration {
	waits := make(map[fleet.UpstreamID]time.Duration)
	if a.backlog.off {
		return waits
	}
	a.updatePendingWaits(now)
	for id, s := range a.byID {
		if wait := s.observedWait(now); wait > minToldWait.Seconds() {
			waits[id] = toDuration(wait)
		}
	}
	return waits
}

// recordPromptRead records that the prompt of a chain needs no more work.
func (a *Allocator) recordPromptRead(c *Chain) {
	if !c.promptWaiting {
		return
	}
	c.promptWaiting = false
	a.changes++
	a.adjustUnread(c, -1)
	if i := slices.Index(a.backlog.unread, c); i >= 0 {
		a.backlog.unread = slices.Delete(a.backlog.unread, i, i+1)
	}
}

// unseenFlow is what other VMs may send to servers before this VM learns of it.
type unseenFlow struct {
	// tokens is the number of prompt tokens within age.
	tokens float64
	// age is the mean age of what is known of other VMs.
	age time.Duration
}

// unseenFlow assumes that the other VMs get as many requests as this one.
func (a *Allocator) unseenFlow(now time.Time) unseenFlow {
	sharing := &a.sharing
	if a.backlog.off || sharing.Random == nil || sharing.Far.VMs <= 0 {
		return unseenFlow{}
	}
	sharing.decay(now)
	// One arrival alone shows no burst.
	perSecond := max(sharing.arrivals/arrivalWindow.Seconds(), (a.backlog.at(now)-1)/burstWindow.Seconds())
	farVMs := max(sharing.Far.VMs-sharing.Near.VMs, 0)
	nearAge, farAge := sharing.Near.PropagationDelay/2+stateAge, sharing.Far.PropagationDelay/2+stateAge
	vmSeconds := sharing.Near.VMs*nearAge.Seconds() + farVMs*farAge.Seconds()
	return unseenFlow{
		tokens: vmSeconds * perSecond * a.engine.MeanPromptTokens,
		age:    time.Duration(vmSeconds / max(sharing.Near.VMs+farVMs, 1) * float64(time.Second)),
	}
}

// backlog is what a server has still to read, in seconds of its work.
type backlog struct {
	own, others float64
	// known is the total without assumptions.
	known float64
	// unseen is what other VMs may have sent in the last age seconds.
	unseen, age float64
	// observed is the wait that runs of this VM met, or those of others if longer.
	observed float64
	// jitter is a factor on unseen and observed. Drawn for each search, it keeps VMs that see the
	// same backlog from choosing the same server.
	jitter float64
}

// expected returns the expected backlog in seconds. The server has worked off a part of the
// others' prompts since their state messages.
func (b *backlog) expected(jitter float64) float64 {
	return max(b.own+max(0, b.others+b.unseen*jitter-b.age), b.observed*jitter)
}

// backlogOf returns what a server has still to read.
func (a *Allocator) backlogOf(now time.Time, s *server, flow unseenFlow) backlog {
	if a.backlog.off {
		return backlog{}
	}
	perUnit := a.readSeconds(s)
	b := backlog{own: s.ownLoad.Unread * perUnit, others: s.otherLoad.Unread * perUnit, age: flow.age.Seconds(), jitter: 1}
	b.observed = max(s.observedWait(now), s.otherLoad.Wait.Seconds())
	b.known = max(b.own+max(0, b.others-b.age), b.observed)
	if flow.tokens > 0 {
		b.unseen = unseenShare * flow.tokens * float64(s.Layers.Len()) * perUnit
	}
	if a.sharing.Random != nil && (b.unseen > 0 || b.observed > 0) {
		b.jitter = 2 * a.sharing.Random()
	}
	return b
}

// readSeconds returns the seconds in which a server reads one token of a prompt on one layer,
// while it also makes the tokens of the requests that run on it.
func (a *Allocator) readSeconds(s *server) float64 {
	seconds := PrefillTime(a.engine, s.Card, 1e6, 1).Seconds() / 1e6 * max(s.SlowdownFactor, 1)
	if seconds > 0 && a.engine.PrefillChunk > 0 && s.ownLoad.Requests+s.otherLoad.Requests > 0 {
		seconds += a.stepSeconds(s, 1) / float64(a.engine.PrefillChunk)
	}
	return seconds
}

// score returns the cost of a path with the wait for the prompts queued at its servers. The
// servers read at the same time, so that the slowest one determines the wait.
func (p *path) score(need Need) float64 {
	if p.waitSeconds == 0 {
		return p.costSeconds
	}
	score := p.costSeconds + p.waitSeconds
	if objective := need.FirstEventObjective.Seconds(); objective > 0 {
		score += lateSecondCost * max(0, p.waitSeconds-queueSlackShare*objective)
	}
	return score
}

// pausePenalty returns pauseCost if the prompt, read in pieces between the steps of the streams
// on a path, would make their pauses longer than the gap objective, and else 0. The streams of a
// service have similar objectives.
func (a *Allocator) pausePenalty(p *path, need Need) float64 {
	pause := (p.stepSeconds + p.pieceSeconds) * float64(a.engine.TokensPerEvent)
	if p.pieceSeconds > 0 && need.GapObjective > 0 && pause > need.GapObjective.Seconds() {
		return pauseCost
	}
	return 0
}

// LongestWait returns the longest wait for prompts that a server has still to read, as far as this
// VM knows.
func (a *Allocator) LongestWait(now time.Time) time.Duration {
	a.updatePendingWaits(now)
	longest := 0.0
	for _, s := range a.servers {
		b := a.backlogOf(now, s, unseenFlow{})
		longest = max(longest, b.known)
	}
	return toDuration(longest)
}
