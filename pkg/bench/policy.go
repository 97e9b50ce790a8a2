package bench

import (
	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/retry"
	"github.com/cornelline/cornelline/pkg/route"
)

// policy combines a service order with a picker. Each baseline replaces one of the two in
// the policy cornelline.
type policy struct {
	name   string
	order  admission.Order
	picker string
}

func policies() []policy {
	return []policy{
		{"cornelline", admission.Fair, "two_choices"},
		{"FIFO", admission.FIFO, "two_choices"},
		{"strict priority", admission.StrictPriority, "two_choices"},
		{"round robin", admission.Fair, "round_robin"},
		{"least loaded", admission.Fair, "least_loaded"},
	}
}

// Configs holds the configurations of the decision packages.
type Configs struct {
	Admission admission.Config
	Outlier   outlier.Config
	Retry     retry.Config
}

// DefaultConfigs returns the configurations that the bench measures; a simulation adds
// the teams' weights. A daemon with default settings uses the same ones.
func DefaultConfigs() Configs {
	return Configs{Admission: admission.DefaultConfig(), Outlier: outlier.DefaultConfig(), Retry: retry.DefaultConfig()}
}

func (p policy) config() admission.Config {
	cfg := DefaultConfigs().Admission
	cfg.Order = p.order
	return cfg
}

func (p policy) routes() route.Policy { return route.Policy{Picker: route.NewPicker(p.picker)} }
