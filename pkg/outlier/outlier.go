// Package outlier detects upstreams that fail or are slower than their peers and
// ejects them temporarily. It is a pure state machine: observations and the current
// time go in, actions come out. An upstream is either an engine, which runs a layer
// range of a model, or a server of a route.
//
// Invariants:
//   - Failures and latency never eject more than the fraction MaxEjected of a peer group
//     or, if CapByModel is set, of all engines of a model.
//   - An upstream that is the last server of its route, or without which no chain covers
//     the layers of a model, is ejected only when it refuses the connection of a probe or
//     answers it as unhealthy. It is down then, and keeping it in service would not
//     complete any request. A connection that it refuses to a request only triggers a
//     probe. A probe timeout does not eject it, because the fault may be in this VM's own
//     network.
//   - An upstream whose connection went silent is probed over a new connection before
//     it is ejected, unless it answered a probe within ProbeCooldown. A failed request to
//     a healthy upstream triggers a probe as well. An upstream that is lost is therefore
//     ejected, unless a limit forbids it, by the first Tick after ProbeTimeout, even when
//     traffic is low.
//   - An ejected upstream returns only after a successful probe, and its weight then
//     rises gradually.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Config configures a Detector.
type Config struct {
	// ConsecutiveFailures is the number of consecutive failures that ejects an upstream.
	ConsecutiveFailures int
	// ModelConsecutiveFailures replaces ConsecutiveFailures for the engines of a model,
	// because the ejection of an engine takes a share of the model's chains out of service.
	// 0 means ConsecutiveFailures.
	ModelConsecutiveFailures int
	// An upstream is ejected if its mean latency is more than LatencyFactor times the median
	// of its peer group.
	LatencyFactor float64
	// MinSamples is the number of latency samples needed before an upstream is compared
	// with its peers. The mean latency is a moving average over about as many samples.
	MinSamples int
	// MaxEjected bounds the fraction of a peer group that failures and latency eject. If
	// CapByModel is set, it bounds the fraction of all engines of a model instead.
	MaxEjected float64
	// CapByModel applies MaxEjected to all engines of a model together. It is meant for
	// fleets in which each engine has its own layer range: a peer group of one engine would
	// never allow an ejection. Engines without which no chain covers the model stay in
	// service regardless of this cap.
	CapByModel bool
	// BaseEjection is the duration of the first ejection. Each further ejection lasts twice
	// as long, up to MaxEjection, until the doubling is reset.
	BaseEjection time.Duration
	// MaxEjection bounds the duration of an ejection. The doubling is reset once an upstream
	// has been in service at full weight for longer than MaxEjection.
	MaxEjection time.Duration
	// Ramp is the time over which a returning upstream's weight rises to 1.
	Ramp time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before the upstream is ejected,
	// unless nothing can replace it.
	ProbeTimeout time.Duration
	// ProbeCooldown is how long after an answered probe a silent connection triggers no
	// further probe. Probes and their connections have a cost, and under congestion every
	// request finds the connections to all engines of its chain silent.
	ProbeCooldown time.Duration
	// ReprobeInterval is the time that a VM waits between two probes of an ejected upstream,
	// as a mean over VMs whose phases are spread over [0, 1). Fleets whose VMs share the
	// probing, and tell each other which upstreams returned, set it in proportion to the
	// number of VMs.
	ReprobeInterval time.Duration
	// ReprobePhase, in [0, 1), differs between VMs so that they do not probe at the same
	// time: a VM waits 2 * ReprobePhase * ReprobeInterval between two probes, or the ejection
	// time if that is longer. A VM with phase 0 probes after each ejection time, as if it did
	// not share the probing.
	ReprobePhase float64
}

// DefaultConfig returns the default configuration. Its ProbeCooldown of 0 lets every silent
// connection trigger a probe, and its ReprobeInterval of 0 lets a VM probe an ejected upstream
// after each ejection time.
func DefaultConfig() Config {
	return Config{
		ConsecutiveFailures: 3, LatencyFactor: 3, MinSamples: 20, MaxEjected: 0.5,
		BaseEjection: 2 * time.Second, MaxEjection: 2 * time.Minute,
		Ramp: 10 * time.Second, ProbeTimeout: 500 * time.Millisecond,
	}
}

// Member describes an upstream and what it serves: a layer range of a model, or a route.
type Member struct {
	ID     fleet.UpstreamID
	Model  fleet.ModelID
	Layers fleet.LayerRange
	// ModelLayers is the number of layers of the model, 0 for a server of a route.
	ModelLayers int
	Route       fleet.RouteID
}

// peerGroup identifies the upstreams that do the same work, so that their latencies
// can be compared.
type peerGroup struct {
	model  fleet.ModelID
	layers fleet.LayerRange
	route  fleet.RouteID
}

func (m Member) peerGroup() peerGroup { return peerGroup{m.Model, m.Layers, m.Route} }

// Reason is the cause of an ejection or a probe.
type Reason uint8

const (
	// ReasonRefused: a connection was refused.
	ReasonRefused Reason = iota
	// ReasonFailures: requests failed.
	ReasonFailures
	// ReasonLatency: the upstream is slower than its peers.
	ReasonLatency
	// ReasonSilent: a connection went silent, or another VM found the upstream unreachable.
	ReasonSilent
)

var reasonNames = [...]string{"connection refused", "consecutive failures", "latency", "silent"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Eject stops new work on the upstream.
	Eject ActionKind = iota
	// Probe requests a probe over a new connection. The caller reports its result with
	// RecordProbe.
	Probe
	// SetWeight gives a returning upstream work again, in proportion to Weight. Each Tick
	// repeats it until the weight has risen to 1.
	SetWeight
	// KeepInService reports an upstream that would have been ejected but stays in service,
	// because of MaxEjected or because nothing can replace it.
	KeepInService
)

// Action is a decision about one upstream.
type Action struct {
	Kind     ActionKind
	Upstream fleet.UpstreamID
	Reason   Reason
	// Weight is the fraction of normal work; it is set only for SetWeight.
	Weight float64
}

type phase uint8

const (
	healthy phase = iota
	ejected
	returning
)

type upstreamState struct {
	member              Member
	phase               phase
	consecutiveFailures int
	meanLatency         float64 // exponential moving average of the latency in seconds
	samples             int
	ejections           int // ejections since the doubling of their duration was last reset
	ejectedUntil        time.Time
	returningSince      time.Time
	recoveredAt         time.Time // end of the last ejection time or, once its weight is 1 again, of the return
	probing             bool
	probeStartedAt      time.Time
	lastReason          Reason    // reason of the last probe or ejection
	reportedProbeAt     time.Time // last probe that another VM's report triggered
	probeAnsweredAt     time.Time
	weight              float64
}

// Detector holds the health of all upstreams as one entry VM observes it. The Record methods
// and Tick append their actions to the slice out and return it. A Detector is not safe for
// concurrent use.
type Detector struct {
	cfg       Config
	upstreams map[fleet.UpstreamID]*upstreamState
	order     []*upstreamState // sorted by ID, so that actions are deterministic
}

// New returns a detector without members.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, upstreams: make(map[fleet.UpstreamID]*upstreamState)}
}

// SetConfig replaces the configuration and keeps the state of all upstreams.
func (d *Detector) SetConfig(cfg Config) { d.cfg = cfg }

// SetMembers replaces the set of upstreams and keeps the state of those that remain.
// The latency of an upstream that moved to another peer group is discarded.
func (d *Detector) SetMembers(members []Member) {
	kept := make(map[fleet.UpstreamID]*upstreamState, len(members))
	d.order = d.order[:0]
	for _, m := range members {
		u := d.upstreams[m.ID]
		if u == nil {
			u = &upstreamState{weight: 1}
		}
		if u.member.peerGroup() != m.peerGroup() {
			u.meanLatency, u.samples = 0, 0
		}
		u.member = m
		kept[m.ID] = u
		d.order = append(d.order, u)
	}
	d.upstreams = kept
	byID := func(a, b *upstreamState) int { return cmp.Compare(a.member.ID, b.member.ID) }
	if !slices.IsSortedFunc(d.order, byID) {
		slices.SortFunc(d.order, byID)
	}
}

// Forget drops the state of an upstream, whose next incarnation starts without it. The upstream
// is unknown until SetMembers names it again.
func (d *Detector) Forget(id fleet.UpstreamID) {
	if d.upstreams[id] == nil {
		return
	}
	delete(d.upstreams, id)
	d.order = slices.DeleteFunc(d.order, func(u *upstreamState) bool { return u.member.ID == id })
}

// RecordSuccess records a successful request and its latency. The latencies of all upstreams
// of a peer group must be measured alike, for example as the time of one step of a stage or of
// one call. RecordSuccess causes no actions; its signature is that of the other Record methods.
func (d *Detector) RecordSuccess(now time.Time, id fleet.UpstreamID, latency time.Duration, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil {
		return out
	}
	u.consecutiveFailures = 0
	u.samples++
	// Exponential moving average over about MinSamples samples.
	smoothing := max(1/float64(u.samples), 1/float64(max(d.cfg.MinSamples, 1)))
	u.meanLatency += (latency.Seconds() - u.meanLatency) * smoothing
	return out
}

// RecordFailure records that a request failed after it was sent. A refused connection is
// recorded with RecordRefused.
func (d *Detector) RecordFailure(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil {
		return out
	}
	u.consecutiveFailures++
	if u.consecutiveFailures >= d.failureLimit(u) {
		return d.eject(now, u, ReasonFailures, evidenceFailures, out)
	}
	if u.phase == healthy {
		return d.probe(now, u, ReasonFailures, out)
	}
	return out
}

// failureLimit returns the number of consecutive failures that ejects an upstream. A
// returning upstream is ejected by its first failure. For a returning engine the limit is
// returningModelFailureLimit if ModelConsecutiveFailures is set.
func (d *Detector) failureLimit(u *upstreamState) int {
	limit, returningLimit := d.cfg.ConsecutiveFailures, 1
	if u.member.ModelLayers > 0 && d.cfg.ModelConsecutiveFailures > 0 {
		limit, returningLimit = d.cfg.ModelConsecutiveFailures, returningModelFailureLimit
	}
	if u.phase == returning {
		return returningLimit
	}
	return limit
}

// returningModelFailureLimit is the number of consecutive failures that ejects a returning
// engine again. With a limit of 1, an engine that fails only a part of its requests
// would be ejected nearly all the time.
const returningModelFailureLimit = 2

// RecordRefused records a refused connection. The upstream is taken to be down and is ejected
// at once, unless nothing can replace it: then it is probed first.
func (d *Detector) RecordRefused(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || u.phase == ejected {
		return out
	}
	if d.isIrreplaceable(u) {
		return d.probe(now, u, ReasonRefused, out)
	}
	return d.eject(now, u, ReasonRefused, evidenceRefused, out)
}

// RecordSilent records that a connection went silent: the caller got no data on it for longer
// than it allows. The upstream is probed before it is ejected. RecordSilent does
// nothing within ProbeCooldown of an answered probe.
func (d *Detector) RecordSilent(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || u.phase == ejected || now.Sub(u.probeAnsweredAt) < d.cfg.ProbeCooldown {
		return out
	}
	return d.probe(now, u, ReasonSilent, out)
}

// reportedProbeInterval is the minimum time between two probes of an upstream that
// reports of other VMs trigger. VMs repeat a report in every state message.
const reportedProbeInterval = 2 * time.Second

// RecordReportedDown handles a report that another VM found the upstream unreachable. It
// requests a probe, because a VM ejects an upstream only on its own evidence.
func (d *Detector) RecordReportedDown(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || u.phase != healthy {
		return out
	}
	return d.probeReported(now, u, ReasonSilent, out)
}

// RecordReportedUp handles a report that an upstream that was unreachable answered another
// VM. It requests a probe, because a VM returns an upstream to service only after an answer to
// its own probe.
func (d *Detector) RecordReportedUp(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || u.phase != ejected {
		return out
	}
	return d.probeReported(now, u, u.lastReason, out)
}

// probeReported requests a probe of an upstream that another VM reported, at most once per
// reportedProbeInterval.
func (d *Detector) probeReported(now time.Time, u *upstreamState, reason Reason, out []Action) []Action {
	if u.probing || now.Sub(u.reportedProbeAt) < reportedProbeInterval {
		return out
	}
	u.reportedProbeAt = now
	return d.probe(now, u, reason, out)
}

// Unanswered reports whether a probe of the upstream has been unanswered for at least the
// given duration.
func (d *Detector) Unanswered(now time.Time, id fleet.UpstreamID, atLeast time.Duration) bool {
	u := d.upstreams[id]
	return u != nil && u.probing && now.Sub(u.probeStartedAt) >= atLeast
}

// AnsweredAt returns when the upstream last answered a probe as healthy; the zero time if it has
// not.
func (d *Detector) AnsweredAt(id fleet.UpstreamID) time.Time {
	if u := d.upstreams[id]; u != nil {
		return u.probeAnsweredAt
	}
	return time.Time{}
}

// IsReturning reports whether the upstream answered a probe after its ejection and its
// weight is still rising.
func (d *Detector) IsReturning(id fleet.UpstreamID) bool {
	u := d.upstreams[id]
	return u != nil && u.phase == returning
}

// RecordProbe records the result of a probe over a new connection: up is true if the
// upstream answered as healthy, and false if it refused the connection or answered as
// unhealthy. A probe without any answer is not recorded; Tick ends it after ProbeTimeout.
func (d *Detector) RecordProbe(now time.Time, id fleet.UpstreamID, up bool, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || !u.probing {
		return out
	}
	u.probing = false
	if !up {
		return d.eject(now, u, u.lastReason, evidenceRefused, out)
	}
	u.probeAnsweredAt = now
	if u.phase != ejected {
		return out // the upstream is up: the fault was one of the old connection, or of another VM's
	}
	u.phase, u.returningSince, u.consecutiveFailures = returning, now, 0
	u.meanLatency, u.samples = 0, 0
	return d.ramp(now, u, out)
}

// Tick does what depends on time. It ejects upstreams whose probes timed out and those slower
// than their peers, probes ejected upstreams when their ejection time has passed, raises the
// weights of returning ones, and resets the doubling of ejection times. It must be called at
// least every 200 ms, because probe timeouts are only as precise as the interval between calls.
func (d *Detector) Tick(now time.Time, out []Action) []Action {
	for _, u := range d.order {
		switch {
		case u.probing && now.Sub(u.probeStartedAt) >= d.cfg.ProbeTimeout:
			u.probing = false
			out = d.eject(now, u, u.lastReason, evidenceProbeTimeout, out)
		case u.phase == ejected && !u.probing && !now.Before(u.ejectedUntil):
			out = d.probe(now, u, u.lastReason, out)
		case u.phase == returning:
			out = d.ramp(now, u, out)
		case u.ejections > 0 && now.Sub(u.recoveredAt) > d.cfg.MaxEjection:
			u.ejections = 0
		}
	}
	return d.ejectSlow(now, out)
}

// IsEjected reports whether the upstream is ejected and gets no new work.
func (d *Detector) IsEjected(id fleet.UpstreamID) bool {
	u := d.upstreams[id]
	return u != nil && u.phase == ejected
}

// IsUnreachable reports whether the upstream is ejected with ReasonRefused or ReasonSilent:
// it refused a connection, or it failed a probe that a refused or silent connection or a report
// of another VM had triggered. Requests that run on it will not complete. An upstream that
// failed a probe triggered by a failed request is ejected with ReasonFailures and is not
// counted.
func (d *Detector) IsUnreachable(id fleet.UpstreamID) bool {
	u := d.upstreams[id]
	return u != nil && u.phase == ejected && (u.lastReason == ReasonRefused || u.lastReason == ReasonSilent)
}

// Weight returns the fraction of normal work that the upstream should get: 0 while
// ejected, rising to 1 while it returns. It is 1 for an unknown upstream.
func (d *Detector) Weight(id fleet.UpstreamID) float64 {
	u := d.upstreams[id]
	switch {
	case u == nil:
		return 1
	case u.phase == ejected:
		return 0
	}
	return u.weight
}

// probe requests a probe of the upstream unless one is already running.
func (d *Detector) probe(now time.Time, u *upstreamState, reason Reason, out []Action) []Action {
	if u.probing {
		return out
	}
	u.probing, u.probeStartedAt, u.lastReason = true, now, reason
	return append(out, Action{Kind: Probe, Upstream: u.member.ID, Reason: reason})
}
