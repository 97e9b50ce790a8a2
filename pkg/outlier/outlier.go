// Package outlier detects upstreams that fail or lag behind their peers and
// ejects them for a time. It is a pure state machine: observations and a time
// go in, actions come out.
//
// Invariants:
//   - failures and latency never eject more than MaxEjected of the upstreams
//     with the same duty;
//   - only refused connections, twice, eject an upstream without which no chain
//     covers a model's layers: it is down, so keeping it serves nobody. Probes
//     without an answer do not, as the fault may be this VM's own network;
//   - an upstream whose connection went silent is probed over a new connection
//     before it is blamed, and any failed request asks for a probe, so that a lost
//     upstream is ejected within the probe timeout even when traffic is low;
//   - an ejected upstream returns only after a successful probe, and its weight
//     then rises gradually.
package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Config holds the limits of a Detector.
type Config struct {
	// Consecutive is the number of failures in a row that ejects.
	Consecutive int
	// ModelConsecutive is the same for engines of a model, where an ejection takes a part of
	// all chains out of use; 0 stands for Consecutive.
	ModelConsecutive int
	// LatencyFactor ejects an upstream whose mean latency is more than this
	// multiple of the median of its peers.
	LatencyFactor float64
	// MinSamples is the observations needed before latency is judged.
	MinSamples int
	// MaxEjected bounds the ejected fraction of upstreams with the same duty, or of those
	// of the same model with CapByModel: where each engine has a range of its own, that an
	// upstream is the last way of its layers is what spares it.
	MaxEjected float64
	CapByModel bool
	// BaseEjection is the time of the first ejection; each one soon after doubles it.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// Ramp is the time over which a returning upstream's weight rises to 1.
	Ramp time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before the upstream is blamed.
	ProbeTimeout time.Duration
	// ProbeRest is how long an answer to a probe speaks for an upstream: suspicions within
	// that time ask for no further probe. Probes and their connections are priced, and under
	// congestion every run suspects all engines of its chain.
	ProbeRest time.Duration
	// Reprobe is the mean time between two probes of an ejected upstream. A fleet that
	// shares the probing and tells each other of returns grows it with the number of VMs.
	// Phase, in [0, 1), is this VM's place in it: the first probe as often as a VM alone.
	Reprobe time.Duration
	Phase   float64
}

// DefaultConfig returns the documented defaults.
func DefaultConfig() Config {
	return Config{
		Consecutive: 3, LatencyFactor: 3, MinSamples: 20, MaxEjected: 0.5,
		BaseEjection: 2 * time.Second, MaxEjection: 2 * time.Minute,
		Ramp: 10 * time.Second, ProbeTimeout: 500 * time.Millisecond,
	}
}

// Member describes an upstream's duty: a layer range of a model, or a route.
type Member struct {
	ID     fleet.UpstreamID
	Model  fleet.ModelID
	Layers fleet.LayerRange
	// ModelLayers is the number of layers of the model, 0 for a server of a plain service.
	ModelLayers int
	Route       fleet.RouteID
}

type duty struct {
	model  fleet.ModelID
	layers fleet.LayerRange
	route  fleet.RouteID
}

func (m Member) duty() duty { return duty{m.Model, m.Layers, m.Route} }

// Reason says why an upstream was ejected.
type Reason uint8

// The reasons.
const (
	ReasonRefused Reason = iota
	ReasonFailures
	ReasonLatency
	ReasonSilent
)

var reasonNames = [...]string{"connection refused", "consecutive failures", "latency", "silent"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// ActionKind says what to do with an upstream.
type ActionKind uint8

// The kinds of actions.
const (
	// Eject stops new work on the upstream.
	Eject ActionKind = iota
	// Probe asks for a probe over a new connection, answered by Probed.
	Probe
	// Return lets the upstream take work again with Weight.
	Return
	// Spared reports that the cap kept an upstream that would have been ejected.
	Spared
)

// Action is a decision about one upstream.
type Action struct {
	Kind     ActionKind
	Upstream fleet.UpstreamID
	Reason   Reason
	// Weight is set on Return: the fraction of normal work.
	Weight float64
}

type phase uint8

const (
	healthy phase = iota
	ejected
	returning
)

type state struct {
	member    Member
	phase     phase
	failures  int // consecutive
	mean      float64
	samples   int
	ejections int
	until     time.Time // end of the ejection
	since     time.Time // start of the return
	cleanAt   time.Time // last ejection ended
	probing   bool
	probedAt  time.Time
	why       Reason    // why the running probe was asked for
	heardAt   time.Time // when another VM's finding last led to a probe
	soundAt   time.Time // when a probe was last answered
	weight    float64
}

// Detector holds the health of all upstreams of one entry VM. It is not safe
// for concurrent use.
type Detector struct {
	cfg   Config
	ups   map[fleet.UpstreamID]*state
	order []*state // by id, for deterministic actions
}

// New returns a detector without members.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, ups: make(map[fleet.UpstreamID]*state)}
}

// SetConfig replaces the limits and keeps the state.
func (d *Detector) SetConfig(cfg Config) { d.cfg = cfg }

// SetMembers replaces the known upstreams and keeps the state of those that stay.
func (d *Detector) SetMembers(members []Member) {
	kept := make(map[fleet.UpstreamID]*state, len(members))
	d.order = d.order[:0]
	for _, m := range members {
		u := d.ups[m.ID]
		if u == nil {
			u = &state{weight: 1}
		}
		if u.member.duty() != m.duty() {
			u.mean, u.samples = 0, 0
		}
		u.member = m
		kept[m.ID] = u
		d.order = append(d.order, u)
	}
	d.ups = kept
	slices.SortFunc(d.order, func(a, b *state) int { return cmp.Compare(a.member.ID, b.member.ID) })
}

// Succeeded books a success with its latency (per stage step or per call).
func (d *Detector) Succeeded(now time.Time, id fleet.UpstreamID, latency time.Duration, out []Action) []Action {
	u := d.ups[id]
	if u == nil {
		return out
	}
	u.failures = 0
	u.samples++
	// An exponential mean over about MinSamples observations.
	weight := max(1/float64(u.samples), 1/float64(max(d.cfg.MinSamples, 1)))
	u.mean += (latency.Seconds() - u.mean) * weight
	return out
}

// Failed books a failure of a request that was sent.
func (d *Detector) Failed(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.ups[id]
	if u == nil {
		return out
	}
	u.failures++
	if u.failures >= d.tolerated(u) {
		return d.eject(now, u, ReasonFailures, unsure, out)
	}
	if u.phase == healthy {
		return d.probe(now, u, ReasonFailures, out)
	}
	return out
}

// tolerated returns the number of failures in a row that ejects an upstream. One that
// returns is out again sooner.
func (d *Detector) tolerated(u *state) int {
	limit, again := d.cfg.Consecutive, 1
	if u.member.ModelLayers > 0 && d.cfg.ModelConsecutive > 0 {
		limit, again = d.cfg.ModelConsecutive, modelAgain
	}
	if u.phase == returning {
		return again
	}
	return limit
}

// modelAgain is the number of failures in a row that ejects an engine again that returns:
// one that fails a part of its requests must not be out for all of the time.
const modelAgain = 2

// Refused books a refused connection: the upstream is not there, so it is
// ejected at once. When it belongs to the last chain, a probe decides.
func (d *Detector) Refused(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.ups[id]
	if u == nil || u.phase == ejected {
		return out
	}
	if d.lastWay(u) {
		return d.probe(now, u, ReasonRefused, out)
	}
	return d.eject(now, u, ReasonRefused, down, out)
}

// Silent books a connection that went silent; the upstream is probed before it is blamed.
func (d *Detector) Silent(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.ups[id]
	if u == nil || u.phase == ejected || now.Sub(u.soundAt) < d.cfg.ProbeRest {
		return out
	}
	return d.probe(now, u, ReasonSilent, out)
}

// hearsayInterval is the least time between two probes of an upstream for what other
// VMs say of it: they repeat it with all their news.
const hearsayInterval = 2 * time.Second

// HeardDown notes that another VM found the upstream dead, which is a reason to look.
func (d *Detector) HeardDown(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.ups[id]
	if u == nil || u.phase != healthy {
		return out
	}
	return d.probeHearsay(now, u, ReasonSilent, out)
}

// HeardBack notes that an upstream that was dead answered another VM.
func (d *Detector) HeardBack(now time.Time, id fleet.UpstreamID, out []Action) []Action {
	u := d.ups[id]
	if u == nil || u.phase != ejected {
		return out
	}
	return d.probeHearsay(now, u, u.why, out)
}

func (d *Detector) probeHearsay(now time.Time, u *state, why Reason, out []Action) []Action {
	if u.probing || now.Sub(u.heardAt) < hearsayInterval {
		return out
	}
	u.heardAt = now
	return d.probe(now, u, why, out)
}

// Unanswered reports whether a probe of the upstream has waited for its answer for a time.
func (d *Detector) Unanswered(now time.Time, id fleet.UpstreamID, age time.Duration) bool {
	u := d.ups[id]
	return u != nil && u.probing && now.Sub(u.probedAt) >= age
}

// Returning reports whether the upstream answered a probe after it was ejected, not long ago.
func (d *Detector) Returning(id fleet.UpstreamID) bool {
	u := d.ups[id]
	return u != nil && u.phase == returning
}

// Probed books the end of a probe over a new connection: ok when the upstream
// answered, not ok when it refused the connection. A probe without an answer is
// not booked; Tick counts it after ProbeTimeout.
func (d *Detector) Probed(now time.Time, id fleet.UpstreamID, ok bool, out []Action) []Action {
	u := d.ups[id]
	if u == nil || !u.probing {
		return out
	}
	u.probing = false
	if !ok {
		return d.eject(now, u, u.why, down, out)
	}
	u.soundAt = now
	if u.phase != ejected {
		return out // the connection was at fault, not the upstream
	}
	u.phase, u.since, u.failures = returning, now, 0
	u.mean, u.samples = 0, 0
	return d.ramp(now, u, out)
}

// Tick ends ejections, raises weights, judges latencies and times out probes. It
// is called at least every 200 ms; probe timeouts are as exact as its calls.
func (d *Detector) Tick(now time.Time, out []Action) []Action {
	for _, u := range d.order {
		switch {
		case u.probing && now.Sub(u.probedAt) >= d.cfg.ProbeTimeout:
			u.probing = false
			out = d.eject(now, u, u.why, silent, out)
		case u.phase == ejected && !u.probing && !now.Before(u.until):
			out = d.probe(now, u, u.why, out)
		case u.phase == returning:
			out = d.ramp(now, u, out)
		case u.ejections > 0 && now.Sub(u.cleanAt) > d.cfg.MaxEjection:
			u.ejections = 0
		}
	}
	return d.judgeLatency(now, out)
}

// Ejected reports whether the upstream takes no new work.
func (d *Detector) Ejected(id fleet.UpstreamID) bool {
	u := d.ups[id]
	return u != nil && u.phase == ejected
}

// Unreachable reports whether the upstream was ejected because it refused connections or
// left a probe unanswered: requests that it runs will not end.
func (d *Detector) Unreachable(id fleet.UpstreamID) bool {
	u := d.ups[id]
	return u != nil && u.phase == ejected && (u.why == ReasonRefused || u.why == ReasonSilent)
}

// Weight returns the fraction of normal work that the upstream takes: 0 while
// ejected, rising to 1 while it returns.
func (d *Detector) Weight(id fleet.UpstreamID) float64 {
	u := d.ups[id]
	switch {
	case u == nil:
		return 1
	case u.phase == ejected:
		return 0
	}
	return u.weight
}

func (d *Detector) probe(now time.Time, u *state, why Reason, out []Action) []Action {
	if u.probing {
		return out
	}
	u.probing, u.probedAt, u.why = true, now, why
	return append(out, Action{Kind: Probe, Upstream: u.member.ID, Reason: why})
}
