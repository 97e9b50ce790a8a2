package entry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// fleetView is the state of the fleet that request goroutines read. It is immutable
// except for the counters in route.Load.
type fleetView struct {
	routes  *route.Snapshot
	engines map[fleet.UpstreamID]upstream.Engine
	members membership.View
	// expected is each engine's expected time for one token.
	expected  map[fleet.UpstreamID]time.Duration
	upstreams []upstreamStatus
}

// upstreamStatus is one upstream in the answer of GET /v1/status.
type upstreamStatus struct {
	Upstream      fleet.UpstreamID   `json:"upstream"`
	Kind          string             `json:"kind"`
	Address       string             `json:"address"`
	Model         fleet.ModelID      `json:"model,omitempty"`
	Layers        string             `json:"layers,omitempty"`
	Ready         bool               `json:"ready"`
	Leaving       bool               `json:"leaving"`
	Ejected       bool               `json:"ejected"`
	Weight        float64            `json:"weight"`
	InFlightHere  int                `json:"in_flight_here"`
	QueueEstimate float64            `json:"queue_estimate"`
	Epoch         uint64             `json:"epoch,omitempty"`
	DataCentre    fleet.DataCentreID `json:"data_centre"`
	load          *route.Load
	// incarnation is the engine's incarnation in its latest report.
	incarnation string
}

// current returns the status with the current load.
func (s upstreamStatus) current() upstreamStatus {
	s.InFlightHere, s.QueueEstimate = s.load.OwnInFlight(), s.load.Queue()
	return s
}

// crashID identifies the crash of an upstream by its last reported incarnation.
func (v *fleetView) crashID(id fleet.UpstreamID) quarantine.CrashID {
	crash := quarantine.CrashID{Upstream: id}
	for _, u := range v.upstreams {
		if u.Upstream == id {
			crash.Incarnation = u.incarnation
		}
	}
	return crash
}

// ejected reports whether the view shows the upstream as ejected.
func (v *fleetView) ejected(id fleet.UpstreamID) bool {
	for _, u := range v.upstreams {
		if u.Upstream == id {
			return u.Ejected
		}
	}
	return false
}

// publish publishes a new view. When nothing but the membership can have changed, it
// copies the rest of the previous view.
func (c *control) publish(time.Time) {
	members := c.members.View()
	old := c.view.Load()
	if old != nil && !c.dirty {
		next := *old
		next.members = members
		c.view.Store(&next)
		return
	}
	c.dirty = false
	c.detector.SetMembers(c.outlierMembers())
	next := &fleetView{members: members, engines: map[fleet.UpstreamID]upstream.Engine{}, expected: map[fleet.UpstreamID]time.Duration{}}
	in := route.Input{Self: c.server.cfg.DataCentre, Models: c.models(), Links: c.links()}
	for id, u := range c.tracked {
		ejected, weight := c.detector.IsEjected(id), c.detector.Weight(id)
		next.upstreams = append(next.upstreams, c.status(u, ejected, weight))
		if u.isEngine() {
			in.Engines = append(in.Engines, u.routeEngine(ejected, weight))
			next.engines[id] = u.engine
			next.expected[id] = u.stageTime()
		}
	}
	in.Servers = c.servers()
	sortEngines(in.Engines)
	sortStatus(next.upstreams)
	next.routes = route.Build(in)
	c.view.Store(next)
}

// outlierMembers returns what each upstream serves, for the ejection caps of outlier
// detection.
func (c *control) outlierMembers() []outlier.Member {
	d := c.server.directory()
	var list []outlier.Member
	for id, u := range c.tracked {
		if !u.isEngine() {
			continue
		}
		a := u.state.Assignment
		layers := 0
		if view, ok := d.model(a.Model); ok {
			layers = int(view.Model.Layers)
		}
		list = append(list, outlier.Member{ID: id, Model: a.Model, Layers: a.Layers, ModelLayers: layers})
	}
	for _, server := range c.servers() {
		list = append(list, outlier.Member{ID: server.ID, Route: server.Route})
	}
	return list
}

func (c *control) models() []route.Model {
	d := c.server.directory()
	var list []route.Model
	for _, id := range d.models {
		view, _ := d.model(id)
		list = append(list, route.Model{ID: id, Version: view.Model.Version, Layers: int(view.Model.Layers), Block: upstream.PrefixBlock})
	}
	return list
}

// links returns the links between data centres in both directions.
func (c *control) links() []route.Link {
	d := c.server.directory()
	var list []route.Link
	for dc, region := range d.tree.DataCentres() {
		scope := d.scope
		scope.Region, scope.DataCentre = region, dc
		for to, link := range d.tree.Effective(scope).Links {
			list = append(list, route.Link{From: dc, To: to, Latency: link.Latency})
		}
	}
	return list
}

// servers returns the servers of all routes.
func (c *control) servers() []route.Server {
	d := c.server.directory()
	var list []route.Server
	for _, id := range d.routes {
		for _, name := range d.route("", fleet.Lookup, id).Route.Upstreams {
			u, ok := c.tracked[fleet.UpstreamID(name)]
			if !ok {
				continue
			}
			list = append(list, u.routeServer(id, c.detector.IsEjected(u.id), c.detector.Weight(u.id)))
		}
	}
	return list
}

func (c *control) status(u *trackedUpstream, ejected bool, weight float64) upstreamStatus {
	s := upstreamStatus{
		Upstream: u.id, Kind: u.view.Upstream.Kind, Address: u.address, DataCentre: fleet.DataCentreID(u.view.Upstream.DataCentre),
		Ready: !u.isEngine() || u.reported && !u.state.Loading, Leaving: u.isLeaving(), Ejected: ejected, Weight: weight,
		Epoch: u.state.Epoch, Model: u.state.Assignment.Model, load: u.load, incarnation: u.state.Incarnation,
	}
	if u.isEngine() {
		s.Layers = u.state.Assignment.Layers.String()
	}
	return s
}
