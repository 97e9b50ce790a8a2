package gateway

import (
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/roster"
)

// view is what request goroutines see of the control state. It is immutable,
// but for the gates, which have locks of their own.
type view struct {
	// catalog is nil until a configuration is known.
	catalog *catalog.Catalog
	// gates are those of the services with model engines.
	gates map[catalog.ServiceID]*gate
	// plain are the servers of the plain services.
	plain map[catalog.ServiceID][]plainServer
	// upstreams are all known, by address.
	byAddress map[string]fleet.UpstreamID
	list      []roster.Upstream
	// vms counts the live VMs, this one included.
	vms int
	// addresses are where callers are sent while a VM is ready; others are the other VMs.
	addresses []string
	others    []handover.VM
	peers     map[fleet.VMID]string
	// near counts those of them in the own data centre, this one included; nearby names them.
	near   int
	nearby map[fleet.VMID]bool
	// listed is set once the list of upstreams was read.
	listed bool
	// dead are the upstreams ejected here.
	dead map[fleet.UpstreamID]bool
}

// plainServer is a server of a plain service.
type plainServer struct {
	id         fleet.UpstreamID
	service    catalog.ServiceID
	address    string
	dataCentre fleet.DataCentreID
	born       time.Time
	slots      int
	weight     float64
	load       *plainLoad
}

func (s *plainServer) instance() notice.Instance { return notice.InstanceOf(s.id, s.born) }

func emptyView() *view { return &view{vms: 1, near: 1} }

// publish makes a new view.
func (c *control) publish(now time.Time) {
	c.dirty = false
	list := c.roster.List()
	v := &view{
		catalog: c.catalog, list: list, listed: c.listed,
		gates: make(map[catalog.ServiceID]*gate), plain: make(map[catalog.ServiceID][]plainServer),
		byAddress: make(map[string]fleet.UpstreamID, len(list)), dead: make(map[fleet.UpstreamID]bool),
	}
	c.placeVMs(v)
	members := make([]roster.Upstream, 0, len(list))
	for i, u := range list {
		u.Layers = c.held(u)
		instance := notice.InstanceOf(u.ID, u.Born)
		u.Draining = u.Draining || c.refusing(now, u.ID) || c.g.notices.state(now, instance) == notice.Ending
		list[i] = u
		v.byAddress[u.Address] = u.ID
		if !u.Draining {
			members = append(members, u)
		}
	}
	c.health.SetMembers(c.duties(members))
	for _, u := range members {
		if c.health.Weight(u.ID) <= 0 {
			v.dead[u.ID] = true
		}
	}
	if c.catalog != nil {
		c.publishServices(now, v, members)
	}
	c.g.view.Store(v)
	if v.catalog != nil && v.listed && !c.announced {
		c.announced = true
		close(c.g.known)
	}
}

func (c *control) publishServices(now time.Time, v *view, members []roster.Upstream) {
	for id, service := range c.catalog.Services {
		if service.Engine == nil {
			v.plain[id] = c.plainServers(id, members)
			continue
		}
		g := c.gates[id]
		if g == nil {
			g = newGate(service.Engine, c.g.settings.Self.DataCentre)
			c.gates[id] = g
		}
		g.update(now, service.Engine, c.engines(service, members), v)
		v.gates[id] = g
	}
}

func (c *control) engines(service *catalog.Service, members []roster.Upstream) []chain.Server {
	var servers []chain.Server
	for _, u := range members {
		if u.Service != service.ID {
			continue
		}
		servers = append(servers, chain.Server{
			ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Card: service.Engine.Cards[u.Card],
			Layers: u.Layers, Weight: c.health.Weight(u.ID), Slowness: max(c.slow[u.ID], 1),
			Born: u.Born, SparedUntil: c.g.notices.hintedUntil(notice.InstanceOf(u.ID, u.Born)),
		})
	}
	return servers
}

func (c *control) plainServers(id catalog.ServiceID, members []roster.Upstream) []plainServer {
	var servers []plainServer
	old := c.g.view.Load().plain[id]
	for _, u := range members {
		if u.Service != id {
			continue
		}
		s := plainServer{
			id: u.ID, service: id, address: u.Address, dataCentre: u.DataCentre, born: u.Born, slots: u.Slots, weight: c.health.Weight(u.ID), load: &plainLoad{},
		}
		for _, o := range old {
			if o.id == u.ID {
				s.load = o.load
			}
		}
		servers = append(servers, s)
	}
	return servers
}

// placeVMs fills in what the view says of the entry VMs.
func (c *control) placeVMs(v *view) {
	members := c.members.View()
	v.peers = make(map[fleet.VMID]string, len(members.Members))
	v.nearby = make(map[fleet.VMID]bool)
	v.vms, v.near = 1, 1
	for _, m := range members.Members {
		v.peers[m.ID] = m.PeerAddress
		v.vms++
		if m.DataCentre == c.g.settings.Self.DataCentre {
			v.near++
			v.nearby[m.ID] = true
		}
		// Membership takes many seconds in a large fleet to find that a VM ended; one that
		// is not heard of late takes no callers.
		if p := c.peers[m.ID]; m.Status == membership.Alive && p != nil {
			other := handover.VM{Address: m.Address, Quiet: p.quiet, Stopping: p.Stopping || m.Leaving}
			if p.Stopping {
				other.Ordered, other.Exit = p.heard.Add(-p.OrderedAgo), p.heard.Add(p.ExitIn)
			}
			v.others = append(v.others, other)
		}
	}
	v.addresses = handover.Named(time.Now(), append([]handover.VM{c.g.self()}, v.others...))
}

// self returns what pkg/handover is to know of this VM.
func (g *Gateway) self() handover.VM { return g.stopper.self(g.settings.Self.Address) }
