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

// probeTimeout is how long a probe may stay unanswered before its upstream is blamed:
// some hundred round trips.
const probeTimeout = 350 * time.Millisecond

// healthConfig returns the limits of failure detection. Engines in one layer
// range have no peers to compare with, so that latency is not judged here.
func healthConfig(vms int, phase float64) outlier.Config {
	c := outlier.DefaultConfig()
	c.BaseEjection = time.Second
	c.MaxEjection = 4 * time.Second // entries in the store follow a lost upstream within seconds
	c.Ramp = 2 * time.Second
	c.ProbeTimeout = probeTimeout
	c.LatencyFactor = 1e9
	c.ProbeRest = probeRest
	c.CapByModel = true
	c.ModelConsecutive = engineFailures
	c.Phase = phase
	if vms > probingVMs {
		c.Reprobe = c.BaseEjection * time.Duration(vms) / probingVMs
	}
	return c
}

// probeRest is how long the answer to a probe speaks for a server: a few of the pauses after
// which runs suspect the servers of their chain.
const probeRest = 300 * time.Millisecond

// engineFailures is the number of failures in a row that ejects an engine. One that loses
// the answers of two requests in five, which the platform plays, reaches it once in some
// hundred requests; one that fails all reaches it within a second.
const engineFailures = 5

// probingVMs is the number of VMs that probe a dead upstream each BaseEjection. In a
// larger fleet each VM probes less often, and learns from the others of a return.
const probingVMs = 4

// act performs what failure detection decided.
func (c *control) act(now time.Time, actions []outlier.Action) {
	for _, a := range actions {
		switch a.Kind {
		case outlier.Eject:
			c.dirty = true
			c.g.stats.Count("upstreams_ejected", "reason", a.Reason.String())
			c.g.log.Log(event.UpstreamEjected).Str("upstream", string(a.Upstream)).Str("reason", a.Reason.String()).Send()
			if u, ok := c.roster.Get(a.Upstream); ok {
				c.g.pool.CloseIdle(u.Address)
			}
		case outlier.Return:
			c.dirty = true
			if a.Weight >= 1 || a.Weight <= firstWeight {
				c.g.log.Log(event.UpstreamReturned).Str("upstream", string(a.Upstream)).Float64("weight", a.Weight).Send()
			}
		case outlier.Probe:
			c.probe(a.Upstream)
		case outlier.Spared:
			c.g.stats.Count("upstreams_spared")
		}
	}
}

// firstWeight bounds the weight of an upstream at the start of its return.
const firstWeight = 0.15

// suspect asks for a probe of an upstream that does not make progress.
func (c *control) suspect(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.act(now, c.health.Silent(now, id, nil)) })
}

// refused books a refused connection.
func (c *control) refused(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.act(now, c.health.Refused(now, id, nil)) })
}

// failed books a failure of a request that was sent.
func (c *control) failed(id fleet.UpstreamID) {
	c.post(func(now time.Time) { c.act(now, c.health.Failed(now, id, nil)) })
}

// succeeded books an answer.
func (c *control) succeeded(id fleet.UpstreamID, took time.Duration) {
	c.post(func(now time.Time) { c.act(now, c.health.Succeeded(now, id, took, nil)) })
}

// probe asks an upstream over a new connection whether it is there.
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
		c.probed(time.Now(), id, nil, true) // it answered that it wants nothing now
		return
	}
	c.g.stats.Count("probes")
	c.g.spawn("probe", func() {
		ctx, cancel := context.WithTimeout(c.g.running, probeTimeout)
		defer cancel()
		if service.Engine == nil {
			answer, err := c.g.servers.Health(ctx, u.Address, service.HealthPath)
			same := answer.Upstream == "" || answer.Upstream == id
			if same {
				c.g.noticed(id, u.Born, answer.Notice)
			}
			c.post(func(now time.Time) { c.probed(now, id, err, answer.Healthy && same) })
			return
		}
		report, err := c.g.servers.Report(ctx, u.Address)
		c.g.noticed(id, u.Born, report.Notice)
		c.post(func(now time.Time) {
			if err == nil {
				c.reported(now, id, report)
			}
			c.probed(now, id, err, true)
		})
	})
}

// probed books the end of a probe. A probe without an answer is left to the
// detector's time limit.
func (c *control) probed(now time.Time, id fleet.UpstreamID, err error, healthy bool) {
	switch {
	case err == nil:
		c.act(now, c.health.Probed(now, id, healthy, nil))
	case exchange.Refused(err):
		c.act(now, c.health.Probed(now, id, false, nil))
	}
}
