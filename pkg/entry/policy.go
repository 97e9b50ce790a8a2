package entry

import (
	"sort"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/settings"
)

// admissionConfig returns the admission limits in force for a directory.
func admissionConfig(d *directory) admission.Config {
	cfg := admission.DefaultConfig()
	cfg.Depth = d.local.Admission.Depth
	cfg.Headroom = d.local.Admission.Headroom
	cfg.TeamBurst = d.local.Admission.TeamBurst
	cfg.SafetyFactor = d.local.Admission.Safety
	teams := d.tree.Teams()
	cfg.Weights = make(map[fleet.TeamID]float64, len(teams))
	for _, id := range teams {
		cfg.Weights[id] = d.team(id).Team.Weight
	}
	for r := range cfg.Shares {
		view := d.rank(fleet.Rank(r))
		cfg.Shares[r] = view.Rank.GuaranteedShare
		cfg.MaxWait[r] = view.Admission.MaxWait
		cfg.MaxQueued[r] = int(view.Limits.Queue)
	}
	return cfg
}

// outlierConfig returns the limits of outlier detection in force.
func outlierConfig(view *settings.View) outlier.Config {
	cfg := outlier.DefaultConfig()
	cfg.ConsecutiveFailures = int(view.Outlier.ConsecutiveFailures)
	cfg.LatencyFactor = view.Outlier.SlowFactor
	cfg.MinSamples = int(view.Outlier.MinRequests)
	cfg.MaxEjected = view.Outlier.MaxEjected
	cfg.BaseEjection = view.Outlier.Ejection
	cfg.MaxEjection = view.Outlier.EjectionMax
	cfg.Ramp = view.Outlier.ReturnOver
	return cfg
}

// quarantineConfig returns the limits of the quarantine in force.
func quarantineConfig(view *settings.View) quarantine.Config {
	cfg := quarantine.DefaultConfig()
	cfg.SuspicionPeriod = view.Quarantine.Suspicion
	cfg.QuarantineDuration = view.Quarantine.Duration
	cfg.MaxSuspects = int(view.Quarantine.Entries)
	return cfg
}

// mayUse reports whether a team may use a model.
func (d *directory) mayUse(team fleet.TeamID, model fleet.ModelID) bool {
	allowed := d.team(team).Team.AllowedModels
	if len(allowed) == 0 {
		return true
	}
	for _, name := range allowed {
		if name == string(model) {
			return true
		}
	}
	return false
}

func sortEngines(list []route.Engine) {
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
}

func sortStatus(list []upstreamStatus) {
	sort.Slice(list, func(a, b int) bool { return list[a].Upstream < list[b].Upstream })
}
