package gateway

import (
	"context"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/outlier"
)

// probeTimeout is how long a probe may stay unanswered before it counts as failed. It is about
// a hundred round trips.
const probeTimeout = 350 * time.Millisecond

// healthConfig returns the configuration of failure detection. An engine that is the only one
// with its layer range has no peers to compare with, so latency is not evaluated here.
func healthConfig(vms int, phase float64) outlier.Config {
	c := outlier.DefaultConfig()
	c.BaseEjection = time.Second
	c.MaxEjection = 4 * time.Second // entries in the store reflect the loss of an upstream within seconds
	c.Ramp = 2 * time.Second
	c.ProbeTimeout = probeTimeout
	c.LatencyFactor = 1e9
	c.ProbeCooldown = probeValidity
	c.CapByModel = true
	c.ModelConsecutiveFailures = engineEjectionFailures
	c.ReprobePhase = phase
	if vms > probingVMs {
		c.ReprobeInterval = c.BaseEjection * time.Duration(vms) / probingVMs
	}
	return c
}

// probeValidity is how long an answered probe shows that a server is up. It is a few times the
// pause after which a run requests probes of the servers of its chain.
const probeValidity = 300 * time.Millisecond

// engineEjectionFailures is the number of consecutive failures that ejects an engine. An
// engine that loses the answers of two requests in five, a fault that the platform injects,
// reaches it once in a hundred or so requests; one that fails all requests reaches it within
// a second.
const engineEjectionFailures = 5

// probingVMs is the number of VMs that probe an ejected upstream in each BaseEjection. In a
// larger fleet each VM probes less often and learns from the others when the upstream is up.
const probingVMs = 4

// applyHealthActions carries out what failure detection decided.
func (c *control) applyHealthActions(now time.Time, actions []outlier.Action) {
	for _, a := range actions {
		switch a.Kind {
		case outlier.Eject:
			c.dirty = true
			c.g.stats.Count("upstreams_ejected", "reason", a.Reason.String())
			c.g.log.Log(event.UpstreamEjected).Str("upstream", string(a.Upstream)).Str("reason", a.Reason.String()).Send()
			if u, ok := c.roster.Get(a.Upstream); ok {
				c.g.pool.CloseIdle(u.Address)
			}
		case outlier.SetWeight:
			c.dirty = true
			if a.Weight >= 1 || a.Weight <= initialReturnWeight {
				c.g.log.Log(event.UpstreamReturned).Str("upstream", string(a.Upstream)).Float64("weight", a.Weight).Send()
			}
		case outlier.Probe:
			c.probe(a.Upstream)
		case outlier.KeepInService:
			c.g.stats.Count("upstreams_spared")
		}
	}
}

// initialReturnWeight is the largest weight that counts as the start of an upstream's return,
// which is logged.
const initialReturnWeight = 0.15

// requestProbe requests a probe of an upstream that did not answer or makes no progress.
func (c *control) requestProbe(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.applyHealthActions(now, c.health.RecordSilent(now, id, nil)) })
}

// recordConnectionRefused records a refused connection.
func (c *control) recordConnectionRefused(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.applyHealthActions(now, c.health.RecordRefused(now, id, nil)) })
}

// recordFailure records that a request failed after it was sent.
func (c *control) recordFailure(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.applyHealthActions(now, c.health.RecordFailure(now, id, nil)) })
}

// recordSuccess records a successful answer and the time that it took.
func (c *control) recordSuccess(id fleet.UpstreamID, took time.Duration) {
	c.post(func(now time.Time) { c.applyHealthActions(now, c.health.RecordSuccess(now, id, took, nil)) })
}

// probe checks over a new connection whether an upstream is alive.
func (c *control) probe(id fleet.UpstreamID) {
	u, ok := c.roster.Get(id)
	if !ok || c.catalog == nil {
		return
	}
	service := c.catalog.Services[u.Service]
	if service == nil {
		return
	}
	if c.g.notices.state(time.Now(), notice.InstanceOf(id, u.Born)) == notice.Paused {
		c.recordProbe(time.Now(), id, nil, true) // its request for a pause shows that it is alive
		return
	}
	c.g.stats.Count("probes")
	c.g.spawn("probe", func() {
		ctx, cancel := context.WithTimeout(c.g.runCtx, probeTimeout)
		defer cancel()
		if service.Engine == nil {
			answer, err := c.g.servers.Health(ctx, u.Address, service.HealthPath)
			sameUpstream := answer.Upstream == "" || answer.Upstream == id
			if sameUpstream {
				c.g.recordNotice(id, u.Born, answer.Notice)
			}
			c.post(func(now time.Time) { c.recordProbe(now, id, err, answer.Healthy && sameUpstream) })
			return
		}
		report, err := c.g.servers.Report(ctx, u.Address)
		c.g.recordNotice(id, u.Born, report.Notice)
		c.post(func(now time.Time) {
			if err == nil {
				c.recordReport(now, id, report)
			}
			c.recordProbe(now, id, err, true)
		})
	})
}

// recordProbe records the result of a probe: healthy says what an answer showed. A probe
// that failed for another reason than a refused connection is left to the detector's timeout.
func (c *control) recordProbe(now time.Time, id fleet.UpstreamID, err error, healthy bool) {
	switch {
	case err == nil:
		c.applyHealthActions(now, c.health.RecordProbe(now, id, healthy, nil))
	case exchange.IsConnectionRefused(err):
		c.applyHealthActions(now, c.health.RecordProbe(now, id, false, nil))
	}
}
