package gateway

import (
	"context"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/fleetsize"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/platform"
)

// startReports is the number of engines that a VM asks for a report when it starts, those that its
// first requests are likely to use. The number does not grow with the engines, because all VMs of a
// fleet may start at once. It covers the chain of the most servers that deployments have so far, and a
// second one in part.
const startReports = 16

// sight is what this VM assumes of the other VMs. Only the control goroutine uses it.
type sight struct {
	estimator *fleetsize.Estimator
	caution   chain.Caution
	// loggedUnseen is set while the last event said that VMs are unseen.
	loggedUnseen bool
	loggedAt     time.Time
}

// newSight returns what a VM assumes at its start. At the first start of a fleet no engine holds
// anything and no request arrives before the VMs know each other.
func newSight(now time.Time, s platform.Settings) sight {
	alone := s.FirstStart || len(s.Seeds) == 0
	return sight{estimator: fleetsize.New(now, alone), caution: chain.Caution{VMs: 1, NearVMs: 1, Seed: randomSeed()}}
}

// isYoung reports whether this VM started so recently that engines may hold runs of VMs that ended.
func (c *control) isYoung(now time.Time) bool {
	return !c.g.settings.FirstStart && now.Sub(c.g.started) < fleetsize.Period
}

// updateSight updates how many VMs are assumed and tells the gates.
func (c *control) updateSight(now time.Time) {
	v := c.g.view.Load()
	seen, nearSeen := 1, 1
	for id, p := range c.peers {
		if p.quiet {
			continue
		}
		seen++
		if v.inOwnDataCentre[id] {
			nearSeen++
		}
	}
	s := &c.sight
	s.estimator.RecordSeen(now, seen)
	caution := chain.Caution{VMs: s.estimator.Assumed(now), Seed: s.caution.Seed}
	caution.Unseen = fleetsize.Unseen(caution.VMs, seen)
	caution.NearVMs = nearSeen
	if caution.Unseen > 0 { // the unseen VMs are taken to be spread evenly over the data centres
		dcs := make(map[fleet.DataCentreID]bool)
		for _, u := range v.upstreams {
			dcs[u.DataCentre] = true
		}
		caution.NearVMs = max(nearSeen, (caution.VMs+len(dcs))/max(len(dcs), 1))
		caution.UnseenNear = fleetsize.Unseen(caution.NearVMs, nearSeen)
	}
	c.g.toldVMs.Store(int64(s.estimator.Told(now)))
	c.g.assumedVMs.Store(int64(caution.VMs))
	if caution == s.caution {
		return
	}
	if caution.VMs != s.caution.VMs {
		c.dirty = true
	}
	s.caution = caution
	for _, gate := range c.gates {
		gate.setCaution(caution)
	}
	c.logSight(now, seen)
}

// sightLogInterval is the least time between two events that say that VMs are unseen.
const sightLogInterval = time.Second

func (c *control) logSight(now time.Time, seen int) {
	s := &c.sight
	switch {
	case s.caution.Unseen > 0 && (!s.loggedUnseen || now.Sub(s.loggedAt) >= sightLogInterval):
		s.loggedUnseen, s.loggedAt = true, now
		c.g.log.Log(event.VMsUnseen).Int("assumed", s.caution.VMs).Int("seen", seen).Int("assumed_near", s.caution.NearVMs).Send()
	case s.caution.Unseen == 0 && s.loggedUnseen:
		s.loggedUnseen = false
		c.g.log.Log(event.VMsSeen).Int("assumed", s.caution.VMs).Int("seen", seen).Send()
	}
}

// recordTold records the number of VMs that another VM or a copy in the store names.
func (c *control) recordTold(vms int) {
	if vms > 0 {
		c.sight.estimator.RecordTold(vms)
	}
}

// recordHeldMemory passes the memory in use that an engine reported to its gate, while this VM does
// not know all reservations. Afterwards those are more recent than a report.
func (c *control) recordHeldMemory(now time.Time, id fleet.UpstreamID, r platform.Report) {
	if c.sight.caution.Unseen == 0 && !c.isYoung(now) {
		return
	}
	u, ok := c.roster.Get(id)
	if !ok || c.gates[u.Service] == nil {
		return
	}
	c.gates[u.Service].recordReport(now, id, r.KVUsed)
}

// requestStartReports asks the engines that the first requests are likely to use for the memory in
// use, once for each service with engines after a start.
func (c *control) requestStartReports(now time.Time) {
	if !c.isYoung(now) || c.catalog == nil {
		return
	}
	for id, gate := range c.gates {
		service := c.catalog.Services[id]
		if service == nil || service.Engine == nil {
			continue
		}
		need := chain.Need{PromptTokens: int(service.Engine.MeanPromptTokens), AnswerTokens: int(service.Engine.MeanAnswerTokens)}
		for _, upstream := range gate.startReportsDue(now, need) {
			c.requestReport(upstream)
		}
	}
}

// requestReport asks an engine for a report.
func (c *control) requestReport(id fleet.UpstreamID) {
	u, ok := c.roster.Get(id)
	if !ok || c.g.notices.state(time.Now(), notice.InstanceOf(id, u.Born)) != notice.Open {
		return
	}
	c.g.stats.Count("start_reports")
	c.g.spawn("report", func() {
		ctx, cancel := context.WithTimeout(c.g.runCtx, probeTimeout)
		defer cancel()
		report, err := c.g.servers.Report(ctx, u.Address)
		c.g.recordNotice(id, u.Born, report.Notice)
		if err != nil {
			c.requestProbe(id)
			return
		}
		c.post(func(now time.Time) { c.recordReport(now, id, report) })
	})
}

// toldInCopies reads the copies for the number of VMs that they name. Only seeds do, so that the
// calls do not grow with the fleet; the other VMs learn it from them.
func (g *Gateway) toldInCopies(ctx context.Context) {
	if g.settings.FirstStart || !g.settings.IsSeed || len(g.settings.Seeds) == 0 {
		return
	}
	told := 0
	for _, c := range g.readCopies(ctx) {
		told = max(told, c.VMs)
	}
	g.control.post(func(time.Time) { g.control.recordTold(told) })
}
