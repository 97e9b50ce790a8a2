// Package roster maintains the list of upstreams from their entries in the platform's
// store. It consists of deterministic state machines that perform no I/O: Follower turns
// the store's records into listings, and Roster turns listings and the health of the
// store into the current list.
package roster

import (
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Upstream is the latest entry of an upstream, which it writes itself.
type Upstream struct {
	ID         fleet.UpstreamID
	Service    catalog.ServiceID
	Address    string
	DataCentre fleet.DataCentreID
	Slots      int
	// Draining is set before a planned end. The upstream accepts no new work.
	Draining bool
	// SlowFor is how much longer the upstream remains slow after its start.
	SlowFor time.Duration
	// Card is the kind of accelerator, empty for a server of a plain service.
	Card string
	// Layers is the range of layers in memory; empty if there are none.
	Layers fleet.LayerRange
	// Version is the version of the weights.
	Version int
	// Orders is the number of orders that the upstream has accepted since its start.
	Orders int
	// Born is the start time of the upstream. Together with ID it identifies an incarnation.
	Born time.Time
}

// SameIncarnation reports whether two entries belong to the same start of an upstream at
// the same address.
func (u *Upstream) SameIncarnation(o *Upstream) bool {
	return u.ID == o.ID && u.Born.Equal(o.Born) && u.Address == o.Address
}
