package outlier

import (
	"slices"
	"time"
)

// evidence says how sure it is that an upstream is down.
type evidence uint8

const (
	unsure evidence = iota // requests failed or were slow
	silent                 // a probe got no answer
	down                   // a connection was refused
)

// eject takes the upstream out of service unless the cap for the evidence keeps it.
func (d *Detector) eject(now time.Time, u *state, why Reason, sure evidence, out []Action) []Action {
	capped := sure == unsure && d.overCap(u) || sure != down && d.lastWay(u)
	if u.phase != ejected && capped {
		u.failures = 0
		return append(out, Action{Kind: Spared, Upstream: u.member.ID, Reason: why})
	}
	if u.phase == ejected {
		return d.stayEjected(now, u, sure != unsure, out)
	}
	u.phase, u.why = ejected, why
	u.until = now.Add(d.untilProbe(u.ejections))
	u.cleanAt = u.until
	u.ejections++
	u.failures = 0
	return append(out, Action{Kind: Eject, Upstream: u.member.ID, Reason: why})
}

// stayEjected schedules the next probe after a failed one. Only an ejection that
// follows a return doubles the time: state polls of an upstream that stays down
// would otherwise double it twice a second and keep it out for minutes after its
// restart. Other failures of an ejected upstream are late news.
func (d *Detector) stayEjected(now time.Time, u *state, probed bool, out []Action) []Action {
	if probed {
		u.until = now.Add(d.untilProbe(0))
		u.cleanAt = u.until
	}
	return out
}

// untilProbe returns the time until the next probe of an upstream that was ejected
// before as often as ejections says.
func (d *Detector) untilProbe(ejections int) time.Duration {
	t := min(d.cfg.BaseEjection<<min(ejections, 16), d.cfg.MaxEjection)
	if shared := time.Duration(2 * d.cfg.Phase * float64(d.cfg.Reprobe)); shared > t {
		return shared
	}
	return t
}

// ramp raises the weight of a returning upstream from a tenth to 1.
func (d *Detector) ramp(now time.Time, u *state, out []Action) []Action {
	u.weight = 0.1 + 0.9*min(1, float64(now.Sub(u.since))/float64(max(d.cfg.Ramp, 1)))
	if u.weight >= 1 {
		u.phase, u.cleanAt = healthy, now
	}
	return append(out, Action{Kind: Return, Upstream: u.member.ID, Weight: u.weight})
}

// overCap reports whether ejecting u would exceed MaxEjected for its duty.
func (d *Detector) overCap(u *state) bool {
	all, out := 0, 1
	for _, o := range d.order {
		same := o.member.duty() == u.member.duty()
		if d.cfg.CapByModel && u.member.ModelLayers > 0 {
			same = o.member.Model == u.member.Model
		}
		if !same {
			continue
		}
		all++
		if o.phase == ejected {
			out++
		}
	}
	return float64(out) > d.cfg.MaxEjected*float64(all)
}

// lastWay reports whether without u no way is left: no server of its route, or
// no chain over its model's layers.
func (d *Detector) lastWay(u *state) bool {
	if u.member.ModelLayers == 0 {
		for _, o := range d.order {
			if o != u && o.phase != ejected && o.member.Route == u.member.Route && o.member.ModelLayers == 0 {
				return false
			}
		}
		return true
	}
	return d.covers(u.member, nil) && !d.covers(u.member, u)
}

// covers reports whether the members in service, other than without, form a
// chain over the model of m.
func (d *Detector) covers(m Member, without *state) bool {
	reached := make([]bool, m.ModelLayers+1)
	reached[0] = true
	for at := range m.ModelLayers {
		if !reached[at] {
			continue
		}
		for _, o := range d.order {
			l := o.member.Layers
			if o != without && o.phase != ejected && o.member.Model == m.Model && l.First == at && l.End > at && l.End <= m.ModelLayers {
				reached[l.End] = true
			}
		}
	}
	return reached[m.ModelLayers]
}

// minPeers is the number of peers with a measured latency that a median needs.
const minPeers = 3

// judgeLatency ejects healthy upstreams that are far slower than the median of
// their peers with the same duty.
func (d *Detector) judgeLatency(now time.Time, out []Action) []Action {
	means := make(map[duty][]float64)
	for _, u := range d.order {
		if u.phase != ejected && u.samples >= d.cfg.MinSamples {
			k := u.member.duty()
			means[k] = append(means[k], u.mean)
		}
	}
	for _, m := range means {
		slices.Sort(m)
	}
	for _, u := range d.order {
		peers := means[u.member.duty()]
		if u.phase == ejected || u.samples < d.cfg.MinSamples || len(peers) < minPeers {
			continue
		}
		if u.mean > d.cfg.LatencyFactor*peers[(len(peers)-1)/2] {
			u.samples, u.mean = 0, 0
			out = d.eject(now, u, ReasonLatency, unsure, out)
		}
	}
	return out
}
