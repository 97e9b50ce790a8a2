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

// view is the control state that request goroutines use. It is immutable except for the
// gates and the loads of plain servers, which are safe for concurrent use.
type view struct {
	// catalog is nil until a configuration is known.
	catalog *catalog.Catalog
	// gates are the gates of the services with model engines.
	gates map[catalog.ServiceID]*gate
	// plain holds the servers of the plain services.
	plain map[catalog.ServiceID][]plainServer
	// byAddress maps the addresses of all known upstreams to their ids.
	byAddress map[string]fleet.UpstreamID
	// upstreams are all known upstreams.
	upstreams []roster.Upstream
	// vms counts the live VMs, including this one.
	vms int
	// assumedVMs and assumedNearVMs are the numbers of VMs assumed to use the upstreams, including
	// some that are not known after a start or a loss of sight.
	assumedVMs, assumedNearVMs int
	// addresses are where the directory sends callers while this VM is not stopping.
	addresses []string
	// otherVMs are the other VMs, for handover.
	otherVMs []handover.VM
	// peerAddresses are the addresses of the other VMs for peer messages.
	peerAddresses map[fleet.VMID]string
	// nearVMs counts the live VMs of the own data centre, including this one.
	nearVMs int
	// inOwnDataCentre holds the other VMs of the own data centre.
	inOwnDataCentre map[fleet.VMID]bool
	// listKnown is set once the list of upstreams has been read.
	listKnown bool
	// ejected holds the upstreams that this VM has ejected.
	ejected map[fleet.UpstreamID]bool
	// leaving holds the upstreams that have announced their end or whose entry is gone.
	leaving map[fleet.UpstreamID]bool
}

// plainServer is a server of a plain service.
type plainServer struct {
	id         fleet.UpstreamID
	service    catalog.ServiceID
	address    string
	dataCentre fleet.DataCentreID
	startedAt  time.Time
	slots      int
	weight     float64
	load       *plainLoad
}

func (s *plainServer) instance() notice.Instance { return notice.InstanceOf(s.id, s.startedAt) }

func emptyView() *view { return &view{vms: 1, nearVMs: 1} }

// publish creates and stores a new view.
func (c *control) publish(now time.Time) {
	c.dirty = false
	list := c.roster.List()
	v := &view{
		catalog: c.catalog, upstreams: list, listKnown: c.listKnown,
		gates: make(map[catalog.ServiceID]*gate), plain: make(map[catalog.ServiceID][]plainServer),
		byAddress: make(map[string]fleet.UpstreamID, len(list)), ejected: make(map[fleet.UpstreamID]bool),
		leaving: make(map[fleet.UpstreamID]bool, len(c.drainingSince)),
	}
	for id := range c.drainingSince {
		v.leaving[id] = true
	}
	c.fillVMs(v)
	v.assumedVMs, v.assumedNearVMs = max(v.vms, c.sight.caution.VMs), max(v.nearVMs, c.sight.caution.NearVMs)
	usable := make([]roster.Upstream, 0, len(list))
	for i, u := range list {
		u.Layers = c.currentLayers(u)
		instance := notice.InstanceOf(u.ID, u.Born)
		u.Draining = u.Draining || c.isRefusing(now, u.ID) || c.g.notices.state(now, instance) == notice.ShuttingDown
		list[i] = u
		v.byAddress[u.Address] = u.ID
		if !u.Draining {
			usable = append(usable, u)
		}
	}
	c.health.SetMembers(c.outlierMembers(usable))
	for _, u := range usable {
		if c.health.Weight(u.ID) <= 0 {
			v.ejected[u.ID] = true
		}
	}
	if c.catalog != nil {
		c.publishServices(now, v, usable)
	}
	c.g.view.Store(v)
	if v.catalog != nil && v.listKnown && !c.initialStateAnnounced {
		c.initialStateAnnounced = true
		close(c.g.initialStateKnown)
	}
}

// publishServices fills in the parts of a view that depend on the services. usable are the
// upstreams that are not draining.
func (c *control) publishServices(now time.Time, v *view, usable []roster.Upstream) {
	for id, service := range c.catalog.Services {
		if service.Engine == nil {
			v.plain[id] = c.plainServers(id, usable)
			continue
		}
		g := c.gates[id]
		if g == nil {
			g = newGate(service.Engine, c.g.settings.Self.DataCentre, !c.g.settings.IgnoreLikelyCost)
			c.gates[id] = g
			g.setCaution(c.sight.caution)
			if c.isYoung(now) {
				g.startCarefully(now)
			}
		}
		g.update(now, service.Engine, c.chainServers(service, usable), v)
		v.gates[id] = g
	}
}

// chainServers describes the engines of a service for its gate.
func (c *control) chainServers(service *catalog.Service, usable []roster.Upstream) []chain.Server {
	var servers []chain.Server
	for _, u := range usable {
		if u.Service != service.ID {
			continue
		}
		servers = append(servers, chain.Server{
			ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Card: service.Engine.Cards[u.Card],
			Layers: u.Layers, Slots: u.Slots, Weight: c.health.Weight(u.ID), SlowdownFactor: max(c.slowness[u.ID], 1),
			StartedAt: u.Born, DeprioritizedUntil: c.g.notices.hintedUntil(notice.InstanceOf(u.ID, u.Born)),
		})
	}
	return servers
}

// plainServers returns the servers of a plain service. It keeps the load of servers that the
// previous view had.
func (c *control) plainServers(id catalog.ServiceID, usable []roster.Upstream) []plainServer {
	var servers []plainServer
	old := c.g.view.Load().plain[id]
	for _, u := range usable {
		if u.Service != id {
			continue
		}
		s := plainServer{
			id: u.ID, service: id, address: u.Address, dataCentre: u.DataCentre, startedAt: u.Born, slots: u.Slots, weight: c.health.Weight(u.ID), load: &plainLoad{},
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

// fillVMs fills in the fields of a view about the entry VMs.
func (c *control) fillVMs(v *view) {
	members := c.members.View()
	v.peerAddresses = make(map[fleet.VMID]string, len(members.Members))
	v.inOwnDataCentre = make(map[fleet.VMID]bool)
	v.vms, v.nearVMs = 1, 1
	for _, m := range members.Members {
		v.peerAddresses[m.ID] = m.PeerAddress
		v.vms++
		if m.DataCentre == c.g.settings.Self.DataCentre {
			v.nearVMs++
			v.inOwnDataCentre[m.ID] = true
		}
		// In a large fleet membership takes many seconds to detect that a VM has ended, so a
		// VM whose state messages are overdue gets no callers.
		if p := c.peers[m.ID]; m.Status == membership.Alive && p != nil {
			other := handover.VM{Address: m.Address, Stale: p.quiet, Stopping: p.Stopping || m.Leaving}
			if p.Stopping {
				other.StopOrderedAt, other.ExitDeadline = p.receivedAt.Add(-p.StopOrderedAgo), p.receivedAt.Add(p.ExitIn)
			}
			v.otherVMs = append(v.otherVMs, other)
		}
	}
	v.addresses = handover.PublishedAddresses(time.Now(), append([]handover.VM{c.g.handoverSelf()}, v.otherVMs...))
}

// handoverSelf describes this VM for pkg/handover.
func (g *Gateway) handoverSelf() handover.VM { return g.shutdown.handoverVM(g.settings.Self.Address) }
