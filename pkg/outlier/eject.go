package outlier

import (
	"slices"
	"time"
)

// evidence ranks how strongly an observation indicates that an upstream is down.
type evidence uint8

const (
	evidenceFailures     evidence = iota // requests failed or were slow
	evidenceProbeTimeout                 // a probe timed out
	evidenceRefused                      // a connection was refused, or a probe was answered as unhealthy
)

// eject takes the upstream out of service unless a limit forbids it. MaxEjected applies to
// failed and slow requests only. An upstream that nothing can replace is ejected only with
// evidenceRefused. An upstream that is already ejected is scheduled for its next probe.
func (d *Detector) eject(now time.Time, u *upstreamState, reason Reason, strength evidence, out []Action) []Action {
	capped := strength == evidenceFailures && d.overCap(u) || strength != evidenceRefused && d.isIrreplaceable(u)
	if u.phase != ejected && capped {
		u.consecutiveFailures = 0
		return append(out, Action{Kind: KeepInService, Upstream: u.member.ID, Reason: reason})
	}
	if u.phase == ejected {
		return d.scheduleReprobe(now, u, strength != evidenceFailures, out)
	}
	u.phase, u.lastReason = ejected, reason
	u.ejectedUntil = now.Add(d.probeDelay(u.ejections))
	u.recoveredAt = u.ejectedUntil
	u.ejections++
	u.consecutiveFailures = 0
	return append(out, Action{Kind: Eject, Upstream: u.member.ID, Reason: reason})
}

// scheduleReprobe schedules the next probe of an ejected upstream after a failed one.
// The delay is not doubled here, only by an ejection that follows a return: otherwise
// state polls of an upstream that stays down would double it twice a second and keep
// the upstream ejected for minutes after its restart. Failed requests of an ejected
// upstream were sent before the ejection and change nothing.
func (d *Detector) scheduleReprobe(now time.Time, u *upstreamState, probeFailed bool, out []Action) []Action {
	if probeFailed {
		u.ejectedUntil = now.Add(d.probeDelay(0))
		u.recoveredAt = u.ejectedUntil
	}
	return out
}

// probeDelay returns the time until the next probe of an upstream that was ejected the given
// number of times before. It doubles with each of them, and is at least this VM's wait
// according to ReprobeInterval and ReprobePhase.
func (d *Detector) probeDelay(ejections int) time.Duration {
	delay := min(d.cfg.BaseEjection<<min(ejections, 16), d.cfg.MaxEjection)
	if staggered := time.Duration(2 * d.cfg.ReprobePhase * float64(d.cfg.ReprobeInterval)); staggered > delay {
		return staggered
	}
	return delay
}

// ramp raises the weight of a returning upstream from 0.1 to 1 over the ramp time.
func (d *Detector) ramp(now time.Time, u *upstreamState, out []Action) []Action {
	u.weight = 0.1 + 0.9*min(1, float64(now.Sub(u.returningSince))/float64(max(d.cfg.Ramp, 1)))
	if u.weight >= 1 {
		u.phase, u.recoveredAt = healthy, now
	}
	return append(out, Action{Kind: SetWeight, Upstream: u.member.ID, Weight: u.weight})
}

// overCap reports whether ejecting u would exceed MaxEjected within its peer group or, for
// an engine if CapByModel is set, within its model.
func (d *Detector) overCap(u *upstreamState) bool {
	total, ejectedCount := 0, 1
	for _, o := range d.order {
		same := o.member.peerGroup() == u.member.peerGroup()
		if d.cfg.CapByModel && u.member.ModelLayers > 0 {
			same = o.member.Model == u.member.Model
		}
		if !same {
			continue
		}
		total++
		if o.phase == ejected {
			ejectedCount++
		}
	}
	return float64(ejectedCount) > d.cfg.MaxEjected*float64(total)
}

// isIrreplaceable reports whether u is the last server of its route in service, or
// whether without u no chain covers the layers of its model.
func (d *Detector) isIrreplaceable(u *upstreamState) bool {
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

// covers reports whether the upstreams in service, leaving out the one passed as
// without, form a chain over all layers of m's model: layer ranges that follow each other
// without overlap.
func (d *Detector) covers(m Member, without *upstreamState) bool {
	reached := make([]bool, m.ModelLayers+1)
	reached[0] = true
	for boundary := range m.ModelLayers {
		if !reached[boundary] {
			continue
		}
		for _, o := range d.order {
			layers := o.member.Layers
			if o != without && o.phase != ejected && o.member.Model == m.Model && layers.First == boundary && layers.End > boundary && layers.End <= m.ModelLayers {
				reached[layers.End] = true
			}
		}
	}
	return reached[m.ModelLayers]
}

// minPeers is the minimum number of upstreams with MinSamples latencies in a peer group; the
// median of fewer is not used.
const minPeers = 3

// ejectSlow ejects upstreams whose mean latency exceeds LatencyFactor times the median of
// their peer group.
func (d *Detector) ejectSlow(now time.Time, out []Action) []Action {
	means := make(map[peerGroup][]float64)
	for _, u := range d.order {
		if u.phase != ejected && u.samples >= d.cfg.MinSamples {
			group := u.member.peerGroup()
			means[group] = append(means[group], u.meanLatency)
		}
	}
	for _, m := range means {
		slices.Sort(m)
	}
	for _, u := range d.order {
		peers := means[u.member.peerGroup()]
		if u.phase == ejected || u.samples < d.cfg.MinSamples || len(peers) < minPeers {
			continue
		}
		if u.meanLatency > d.cfg.LatencyFactor*peers[(len(peers)-1)/2] {
			u.samples, u.meanLatency = 0, 0
			out = d.eject(now, u, ReasonLatency, evidenceFailures, out)
		}
	}
	return out
}
