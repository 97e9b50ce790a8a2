package entry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/settings"
)

// directory holds the compiled settings that request goroutines look up. It is
// immutable and is rebuilt when the settings tree changes.
type directory struct {
	tree  *settings.Tree
	scope settings.Scope
	local *settings.View
	// teamByKeyHash maps the hash of a key to its team.
	teamByKeyHash map[string]fleet.TeamID
	models        []fleet.ModelID
	routes        []fleet.RouteID
	upstreams     map[fleet.UpstreamID]*settings.View
	engines       []fleet.UpstreamID
}

// newDirectory compiles the tree for a VM of the given region and data centre.
func newDirectory(tree *settings.Tree, self fleet.VM) *directory {
	d := &directory{
		tree:          tree,
		scope:         settings.Scope{Region: self.Region, DataCentre: self.DataCentre},
		teamByKeyHash: map[string]fleet.TeamID{},
		models:        tree.Models(),
		routes:        tree.Routes(),
		upstreams:     map[fleet.UpstreamID]*settings.View{},
	}
	d.local = tree.Effective(d.scope)
	for _, id := range tree.Teams() {
		for _, hash := range d.team(id).Team.KeyHashes {
			d.teamByKeyHash[hash] = id
		}
	}
	for _, id := range tree.Upstreams() {
		d.addUpstream(id)
	}
	return d
}

func (d *directory) addUpstream(id fleet.UpstreamID) {
	scope := d.scope
	scope.Upstream = id
	view := d.tree.Effective(scope)
	d.upstreams[id] = view
	if view.Upstream.Kind == settings.UpstreamKindEngine {
		d.engines = append(d.engines, id)
	}
}

// team returns the values in force for a team.
func (d *directory) team(id fleet.TeamID) *settings.View {
	scope := d.scope
	scope.Team = id
	return d.tree.Effective(scope)
}

// request returns the values in force for a team's request.
func (d *directory) request(team fleet.TeamID, rank fleet.Rank, model fleet.ModelID) *settings.View {
	scope := d.scope
	scope.Team, scope.Rank, scope.Model = team, rank.String(), model
	return d.tree.Effective(scope)
}

// route returns the values in force for a team's call of a route.
func (d *directory) route(team fleet.TeamID, rank fleet.Rank, route fleet.RouteID) *settings.View {
	scope := d.scope
	scope.Team, scope.Rank, scope.Route = team, rank.String(), route
	return d.tree.Effective(scope)
}

// rank returns the values in force for a rank.
func (d *directory) rank(r fleet.Rank) *settings.View {
	scope := d.scope
	scope.Rank = r.String()
	return d.tree.Effective(scope)
}

// model returns the values in force for a model and whether it exists.
func (d *directory) model(id fleet.ModelID) (*settings.View, bool) {
	scope := d.scope
	scope.Model = id
	view := d.tree.Effective(scope)
	return view, view.Model.Layers > 0
}

// defaultDeadline returns the deadline of a request whose headers set none: the default
// of its rank, for Overnight at the latest the next dawn.
func (d *directory) defaultDeadline(team fleet.TeamID, rank fleet.Rank, arrived time.Time) time.Time {
	view := d.request(team, rank, "")
	deadline := arrived.Add(view.Rank.DefaultDeadline)
	if rank != fleet.Overnight {
		return deadline
	}
	if dawn := nextDawn(view.Overnight, arrived); dawn.Before(deadline) {
		return dawn
	}
	return deadline
}

// nextDawn returns when Overnight work is due: the next occurrence of the dawn time of
// day in the configured UTC offset.
func nextDawn(o settings.Overnight, now time.Time) time.Time {
	clock, err := time.Parse("15:04", o.Dawn)
	if err != nil {
		return now.Add(12 * time.Hour) // unreachable: the settings accept only HH:MM
	}
	local := now.UTC().Add(o.UTCOffset)
	dawn := time.Date(local.Year(), local.Month(), local.Day(), clock.Hour(), clock.Minute(), 0, 0, time.UTC)
	if !dawn.After(local) {
		dawn = dawn.Add(24 * time.Hour)
	}
	return dawn.Add(-o.UTCOffset)
}
