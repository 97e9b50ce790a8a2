// Package outlier detects upstreams that fail or are slower than their peers and
// ejects them temporarily. It is a pure state machine: observations and the current
// time go in, actions come out.
//
// Invariants:
//   - Failures and latency never eject more than MaxEjected of the upstreams of a
//     peer group, or of a model with CapByModel.
//   - An upstream without which no chain covers a model's layers, or which is the
//     last server of its route, is ejected only when the connection of a probe is
//     refused; one refused connection of a request only triggers that probe. Such an
//     upstream is down, so keeping it serves no request. A probe timeout doesn't eject
//     it, as the fault may be in this VM's own network.
//   - An upstream whose connection went silent is probed over a new connection before
//     it is ejected. Any failed request triggers a probe as well, so that a lost
//     upstream is ejected within the probe timeout even when traffic is low.
//   - An ejected upstream returns only after a successful probe, and its weight then
//     rises gradually.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Config holds the limits of a Detector.
type Config struct {
	// ConsecutiveFailures is the number of consecutive failures that ejects an upstream.
	ConsecutiveFailures int
	// ModelConsecutiveFailures replaces ConsecutiveFailures for engines of a model, where an
	// ejection takes a part of all chains out of service; 0 means ConsecutiveFailures.
	ModelConsecutiveFailures int
	// LatencyFactor ejects an upstream whose mean latency is more than this
	// multiple of the median of its peers.
	LatencyFactor float64
	// MinSamples is the number of latency samples needed before an upstream is compared
	// with its peers.
	MinSamples int
	// MaxEjected bounds the ejected fraction of a peer group, or of all engines of a model
	// with CapByModel.
	MaxEjected float64
	// CapByModel applies MaxEjected to all engines of a model together. It is meant for
	// fleets in which each engine has its own layer range and so no peers: there, an engine
	// is kept because no chain covers the model without it, not because of the cap.
	CapByModel bool
	// BaseEjection is the duration of the first ejection. Each ejection that follows soon
	// after a return doubles it, up to MaxEjection.
	BaseEjection time.Duration
	// MaxEjection bounds the duration of an ejection. The doubling is reset once an upstream
	// has been back in service for longer than MaxEjection.
	MaxEjection time.Duration
	// Ramp is the time over which a returning upstream's weight rises to 1.
	Ramp time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before the upstream is ejected.
	ProbeTimeout time.Duration
	// ProbeCooldown is how long after an answered probe a silent connection triggers no
	// further probe. Probes and their connections have a cost, and under congestion every
	// run suspects all engines of its chain.
	ProbeCooldown time.Duration
	// ReprobeInterval is the mean time between two probes of an ejected upstream. Fleets whose
	// VMs share the probing, and tell each other which upstreams returned, set it in
	// proportion to the number of VMs.
	ReprobeInterval time.Duration
	// ReprobePhase, in [0, 1), staggers the VMs: a VM waits 2 * ReprobePhase *
	// ReprobeInterval between two probes, or the ejection time if that is longer. A VM
	// with phase 0 probes as often as a VM alone.
	ReprobePhase float64
}

// DefaultConfig returns the documented defaults.
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
	// ModelLayers is the number of layers of the model, 0 for a server of a plain service.
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

// The reasons for ejections and probes.
const (
	ReasonRefused Reason = iota
	ReasonFailures
	ReasonLatency
	ReasonSilent
)

var reasonNames = [...]string{"connection refused", "consecutive failures", "latency", "silent"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// Eject stops new work on the upstream.
	Eject ActionKind = iota
	// Probe requests a probe over a new connection. The host reports its result with
	// RecordProbe.
	Probe
	// Return gives the upstream new work again, in proportion to Weight.
	Return
	// Spared reports an upstream that stays in service only because a limit on ejections
	// forbids its ejection.
	Spared
)

// Action is a decision about one upstream.
type Action struct {
	Kind     ActionKind
	Upstream fleet.UpstreamID
	Reason   Reason
	// Weight is the fraction of normal work, set on Return.
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
	ejections           int // ejections since the doubling was last reset
	ejectedUntil        time.Time
	returningSince      time.Time
	recoveredAt         time.Time // end of the last ejection, or of the return that followed it
	probing             bool
	probeStartedAt      time.Time
	reason              Reason    // reason of the last probe or ejection
	reportProbedAt      time.Time // last probe that another VM's report triggered
	probeAnsweredAt     time.Time
	weight              float64
}

// Detector holds the health of all upstreams as one entry VM observes it. It is not
// safe for concurrent use.
type Detector struct {
	cfg       Config
	upstreams map[fleet.UpstreamID]*upstreamState
	order     []*upstreamState // sorted by ID, so that actions are deterministic
}

// New returns a detector without members.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, upstreams: make(map[fleet.UpstreamID]*upstreamState)}
}

// SetConfig replaces the limits and keeps the state of all upstreams.
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
	slices.SortFunc(d.order, func(a, b *upstreamState) int { return cmp.Compare(a.member.ID, b.member.ID) })
}

// RecordSuccess records a successful request and its latency (per stage step or per call).
func (d *Detector) RecordSuccess(now time.Time, id fleet.UpstreamID, latency time.Duration, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil {
		return out
	}
	u.consecutiveFailures = 0
	u.samples++
	// Exponential moving average over about MinSamples samples.
	weight := max(1/float64(u.samples), 1/float64(max(d.cfg.MinSamples, 1)))
	u.meanLatency += (latency.Seconds() - u.meanLatency) * weight
	return out
}

// RecordFailure records the failure of a request that was sent.
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

// failureLimit returns the number of consecutive failures that ejects an upstream. The
// limit is lower for an upstream that is returning from an ejection.
func (d *Detector) failureLimit(u *upstreamState) int {
	limit, returningLimit := d.cfg.ConsecutiveFailures, 1
	if u.member.ModelLayers > 0 && d.cfg.ModelConsecutiveFailures > 0 {
		limit, returningLimit = d.cfg.ModelConsecutiveFailures, returningModelFailures
	}
	if u.phase == returning {
		return returningLimit
	}
	return limit
}

// returningModelFailures is the number of consecutive failures that ejects a returning
// engine again. With a limit of 1, an engine that fails only a part of its requests
// would be ejected nearly all the time.
const returningModelFailures = 2

// RecordRefused records a refused connection. A refused connection means that the
// upstream is down, so it is ejected at once, unless nothing can replace it: then a
// probe decides.
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

// RecordSilent records a connection that went silent. The upstream is probed before it
// is ejected.
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

// RecordReportedDown records that another VM found the upstream unreachable. This VM
// probes the upstream itself before it ejects it.
func (d *Detector) RecordReportedDown(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || u.phase != healthy {
		return out
	}
	return d.probeReported(now, u, ReasonSilent, out)
}

// RecordReportedUp records that an upstream that was unreachable answered another VM.
// This VM probes the upstream itself before it returns it to service.
func (d *Detector) RecordReportedUp(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || u.phase != ejected {
		return out
	}
	return d.probeReported(now, u, u.reason, out)
}

// probeReported probes an upstream that another VM reported, at most once per
// reportedProbeInterval.
func (d *Detector) probeReported(now time.Time, u *upstreamState, reason Reason, out []Action) []Action {
	if u.probing || now.Sub(u.reportProbedAt) < reportedProbeInterval {
		return out
	}
	u.reportProbedAt = now
	return d.probe(now, u, reason, out)
}

// Unanswered reports whether a probe of the upstream has been without an answer for at
// least the given age.
func (d *Detector) Unanswered(now time.Time, id fleet.UpstreamID, age time.Duration) bool {
	u := d.upstreams[id]
	return u != nil && u.probing && now.Sub(u.probeStartedAt) >= age
}

// IsReturning reports whether the upstream answered a probe after its ejection and its
// weight is still rising.
func (d *Detector) IsReturning(id fleet.UpstreamID) bool {
	u := d.upstreams[id]
	return u != nil && u.phase == returning
}

// RecordProbe records the result of a probe over a new connection: answered is true if
// the upstream answered, and false if it refused the connection. The host doesn't record
// a probe that got no answer; Tick handles it after ProbeTimeout.
func (d *Detector) RecordProbe(now time.Time, id fleet.UpstreamID, answered bool, out []Action) []Action {
	u := d.upstreams[id]
	if u == nil || !u.probing {
		return out
	}
	u.probing = false
	if !answered {
		return d.eject(now, u, u.reason, evidenceRefused, out)
	}
	u.probeAnsweredAt = now
	if u.phase != ejected {
		return out // the failure was one of the connection, not of the upstream
	}
	u.phase, u.returningSince, u.consecutiveFailures = returning, now, 0
	u.meanLatency, u.samples = 0, 0
	return d.ramp(now, u, out)
}

// Tick probes upstreams whose ejection time has passed, raises the weights of returning
// ones, compares latencies and times out probes. It must be called at least every 200 ms;
// probe timeouts are only as precise as the interval of its calls.
func (d *Detector) Tick(now time.Time, out []Action) []Action {
	for _, u := range d.order {
		switch {
		case u.probing && now.Sub(u.probeStartedAt) >= d.cfg.ProbeTimeout:
			u.probing = false
			out = d.eject(now, u, u.reason, evidenceProbeTimeout, out)
		case u.phase == ejected && !u.probing && !now.Before(u.ejectedUntil):
			out = d.probe(now, u, u.reason, out)
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

// IsUnreachable reports whether the upstream is ejected because it refused connections or
// left a probe unanswered. Requests that run on it will not complete.
func (d *Detector) IsUnreachable(id fleet.UpstreamID) bool {
	u := d.upstreams[id]
	return u != nil && u.phase == ejected && (u.reason == ReasonRefused || u.reason == ReasonSilent)
}

// Weight returns the fraction of normal work that the upstream should get: 0 while
// ejected, rising to 1 while it returns.
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
	u.probing, u.probeStartedAt, u.reason = true, now, reason
	return append(out, Action{Kind: Probe, Upstream: u.member.ID, Reason: reason})
}
