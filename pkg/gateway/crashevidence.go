package gateway

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/peering"
)

// addSoundReports schedules a report of sound parts to the other VMs. Its delay leaves time for
// another VM to report the same, so that few of the VMs of a large fleet do.
func (c *control) addSoundReports(parts []crashcause.Part) {
	if len(c.soundReports) == 0 {
		c.soundReportsDue = time.Now().Add(time.Duration(random() * float64(peering.StateInterval(c.g.view.Load().vms))))
	}
	for _, p := range parts {
		c.soundReports[p]++
	}
}

// updateCrashCauses sends what this VM has seen since the last tick to the other VMs, and draws the
// conclusions from it and from what they have sent.
func (c *control) updateCrashCauses(now time.Time) {
	m := &peering.CrashEvidence{}
	for _, report := range c.crashReports {
		m.Crashes = append(m.Crashes, report)
		if report.HasStarting() {
			c.crashResends = append(c.crashResends, crashResend{report, crashReportResends})
		}
	}
	clear(c.crashReports)
	if len(c.soundReports) > 0 && !now.Before(c.soundReportsDue) {
		for p, runs := range c.soundReports {
			if c.crashes.IsSuspected(p) || c.staleGroupParts[p] {
				m.Sound = append(m.Sound, crashcause.SoundRuns{Part: p, Runs: runs})
			}
		}
		clear(c.soundReports)
		clear(c.staleGroupParts)
	}
	m.Known = c.takeKnownSound(now)
	m.Trials, c.crashTrials = c.crashTrials, nil
	if len(m.Crashes)+len(m.Sound)+len(m.Known)+len(m.Trials) > 0 {
		c.recordCrashEvidence(now, m)
		c.g.broadcast(m) // state messages repeat what it leads to
	}
	c.concludeCrashCauses(now)
}

// crashReportResends is the number of ticks at which a report of a crash with a starting run is sent
// again. A message may be lost, and the caller may repeat the request at the VM that lacks it.
const crashReportResends = 3

// crashResend is a report that is still to be sent some times.
type crashResend struct {
	report crashcause.Crash
	left   int
}

// resendCrashReports sends the latest reports of crashes once more.
func (c *control) resendCrashReports() {
	if len(c.crashResends) == 0 {
		return
	}
	m := &peering.CrashEvidence{}
	for i := range c.crashResends {
		m.Crashes = append(m.Crashes, c.crashResends[i].report)
		c.crashResends[i].left--
	}
	c.crashResends = slices.DeleteFunc(c.crashResends, func(r crashResend) bool { return r.left == 0 })
	c.g.broadcast(m)
}

// concludeCrashCauses draws the conclusions from what is known of crashes and puts them in force.
func (c *control) concludeCrashCauses(now time.Time) {
	c.crashes.SetAlone(c.g.view.Load().vms <= 1)
	added, changed := c.crashes.Update(now)
	for _, p := range c.crashes.TakeSuspected() {
		c.g.stats.Count("crash_suspicions")
		c.g.log.Log(event.CrashSuspected).Uint64("part", uint64(p)).Send()
	}
	for _, g := range added {
		c.g.stats.Count("crash_causes_found")
		c.g.log.Log(event.CrashCauseFound).Int("parts", len(g.Parts)).Uint64("first_part", uint64(g.Parts[0])).Int("crashes", g.Crashes).Send()
	}
	if changed {
		c.publishCrashFilter()
	}
}

func (c *control) publishCrashFilter() {
	groups, filter := c.crashes.Groups(), c.crashes.Filter()
	c.g.crashFilter.Store(filter)
	c.g.crashGroups.Store(&groups)
	c.g.stats.SetGauge("crash_causes", int64(len(groups)))
	if filter == nil || !filter.RefusesAny() {
		return
	}
	for _, r := range c.g.pendingRuns.all(nil) {
		if _, found := filter.Match(r.parts); found {
			r.cancel(errCrashesUpstreams)
		}
	}
}

// receiveCrashEvidence records what another VM has seen. It acts at once on the start of a trial and
// on a crash while an answer was about to begin: a request like it may be on its way.
func (c *control) receiveCrashEvidence(now time.Time, m *peering.CrashEvidence) {
	c.recordCrashEvidence(now, m)
	if len(m.Trials) > 0 || slices.ContainsFunc(m.Crashes, func(report crashcause.Crash) bool { return report.HasStarting() }) {
		c.concludeCrashCauses(now)
	}
}

// recordCrashEvidence records what this VM or another one has seen.
func (c *control) recordCrashEvidence(now time.Time, m *peering.CrashEvidence) {
	for _, report := range m.Crashes {
		c.crashes.RecordKnownSound(c.g.soundRequests.Of(&report))
		if !c.crashes.RecordCrash(now, report) {
			continue
		}
		if known := c.crashes.KnownSound(&report); len(known) > 0 {
			c.addKnownSound(now, known)
		}
	}
	c.crashes.RecordSound(now, m.Sound)
	c.crashes.RecordKnownSound(m.Known)
	c.knownSound = slices.DeleteFunc(c.knownSound, func(p crashcause.Part) bool { return slices.Contains(m.Known, p) })
	for _, parts := range m.Trials {
		c.crashes.RecordTrial(now, parts)
	}
}

// takeKnownSound returns the parts that this VM is to tell the others to be sound now. No other VM has
// told them meanwhile.
func (c *control) takeKnownSound(now time.Time) []crashcause.Part {
	if now.Before(c.knownSoundDue) {
		return nil
	}
	parts := c.knownSound
	c.knownSound = nil
	return parts
}

// addKnownSound schedules a message that parts are known to be sound. Its delay leaves time for
// another VM to say the same.
func (c *control) addKnownSound(now time.Time, parts []crashcause.Part) {
	if len(c.knownSound) == 0 {
		c.knownSoundDue = now.Add(time.Duration(random() * float64(peering.StateInterval(c.g.view.Load().vms))))
	}
	c.knownSound = append(c.knownSound, parts...)
}

// crashGroups returns the groups for a state message, in turn if there are many.
func (c *control) crashGroups(now time.Time) []peering.CrashGroup {
	groups := c.crashes.Groups()
	var list []peering.CrashGroup
	for i := range min(len(groups), maxReportedGroups) {
		g := groups[(int(c.sequence)*maxReportedGroups+i)%len(groups)]
		list = append(list, peering.CrashGroup{Parts: g.Parts, Crashes: g.Crashes, FailedTrials: g.FailedTrials, LastCrashAgo: now.Sub(g.LastCrash)})
	}
	return list
}

// adoptCrashGroups takes over the groups that another VM refuses. If this VM knows that some of
// their parts are sound, the other one has missed that message.
func (c *control) adoptCrashGroups(now time.Time, groups []peering.CrashGroup) {
	for _, g := range groups {
		cleared := c.crashes.Adopt(crashcause.Group{Parts: g.Parts, Crashes: g.Crashes, FailedTrials: g.FailedTrials, LastCrash: now.Add(-g.LastCrashAgo)})
		for _, p := range cleared {
			c.staleGroupParts[p] = true
		}
		if len(cleared) > 0 {
			c.addSoundReports(cleared)
		}
	}
}
