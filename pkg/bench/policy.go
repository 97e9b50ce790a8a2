package bench

import (
	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/route"
)

// policy is a service order and a picker. Each baseline replaces one of ours.
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

func (p policy) config() admission.Config {
	cfg := admission.DefaultConfig()
	cfg.Order = p.order
	return cfg
}

func (p policy) routes() route.Policy { return route.Policy{Picker: route.Pickers(p.picker)} }
