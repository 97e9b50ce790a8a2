// Package roster keeps the upstreams that the platform's store lists. It is a
// pure state machine: entries, removals and the state of the store go in, the
// current list comes out.
package roster

import (
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Upstream is what an upstream last said of itself.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    catalog.ServiceID
	Address    string
	DataCentre fleet.DataCentreID
	Slots      int
	// Draining is set before a planned end: the upstream takes no new work.
	Draining bool
	// Slow is how much longer the upstream remains slow after its start.
	Slow time.Duration
	// Card is the kind of accelerator, empty for a server of a plain service.
	Card string
	// Layers is the range of layers in memory; empty when it holds none.
	Layers fleet.LayerRange
	// Version is the version of the weights.
	Version int
	// Orders counts the orders that the upstream accepted since its start.
	Orders int
	// Born is the time of the upstream's start, which names its incarnation
	// together with ID.
	Born time.Time
}

// SameIncarnation reports whether two entries come from one start of an upstream.
func (u *Upstream) SameIncarnation(o *Upstream) bool {
	return u.ID == o.ID && u.Born.Equal(o.Born) && u.Address == o.Address
}
