package entry

import (
	"context"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/placement"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// placementContextTokens is the number of tokens of KV cache that placement reserves
// for each batch slot. Beyond it, engines move out the less-used caches.
const placementContextTokens = 1024

// assumedAdapterBytes is the assumed size of an adapter: about 1% of a 70 GB model's
// weights for each of a few dozen adapters.
const assumedAdapterBytes = 64 << 20

// placer runs the placement owner on the control goroutine. Every VM runs one;
// the lease on the log decides which of them issues orders.
type placer struct {
	control  *control
	owner    *placement.Owner
	executor *placement.Executor
	ctx      context.Context
	resource string
}

// newPlacer returns a placer whose calls are cancelled with ctx.
func newPlacer(ctx context.Context, c *control, now time.Time) *placer {
	s := c.server
	cfg := placement.DefaultOwnerConfig(s.cfg.VM)
	cfg.TakeoverDelay = time.Duration(fnvHash(string(s.cfg.VM)) % uint64(cfg.LeasePeriod/2))
	p := &placer{control: c, owner: placement.NewOwner(cfg, now), ctx: ctx, resource: cfg.Resource}
	p.executor = &placement.Executor{
		Engine:  func(id fleet.UpstreamID) upstream.Engine { return s.fleetView().engines[id] },
		Append:  s.settings.Append,
		Store:   s.weights,
		Replan:  placement.NewPlanner().Replan,
		Now:     time.Now,
		Deliver: p.deliver,
		Log:     p.recordNote,
		Timeout: cfg.OrderTimeout,
	}
	return p
}

// deliver queues an event for the owner. Results of calls must not be lost, so it
// waits for room in the control goroutine's queue.
func (p *placer) deliver(e placement.Event) {
	select {
	case p.control.events <- func(now time.Time) { p.handle(now, e) }:
	case <-p.ctx.Done():
	}
}

// handle passes an event to the owner and executes the resulting actions. It runs on
// the control goroutine.
func (p *placer) handle(now time.Time, e placement.Event) {
	p.executor.Run(p.ctx, p.owner.Handle(now, e))
}

// recordNote counts and logs a placement event.
func (p *placer) recordNote(n placement.LogEvent) {
	p.control.server.stats.Count("placement", "event", n.Event.Name())
	p.control.server.log.Log(n.Event).Str("upstream", string(n.Upstream)).Uint64("epoch", n.Epoch).Str("reason", n.Reason).Send()
}

// handleLease passes a valid lease record to the owner.
func (p *placer) handleLease(a replica.LeasesAction) {
	if a.Lease.Resource != p.resource {
		return
	}
	p.control.post(func(now time.Time) {
		p.handle(now, placement.LeaseRead{ID: a.Verdict.ID, Holder: a.Lease.Holder, Epoch: a.Verdict.Epoch})
	})
}

// handleRestoredLeases passes the lease epoch of a restored state to the owner. After
// a restore from a snapshot, this VM has not read the lease records themselves.
func (p *placer) handleRestoredLeases(view *replica.View) {
	entry := view.Leases.Get(p.resource)
	if entry.Epoch == 0 {
		return
	}
	p.control.post(func(now time.Time) {
		if entry.Epoch > p.owner.Epoch() {
			p.handle(now, placement.LeaseRead{Holder: entry.Holder, Epoch: entry.Epoch})
		}
	})
}

// configure passes changed hardware and models to the owner.
func (p *placer) configure(now time.Time, d *directory) {
	p.owner.SetReadBack(d.local.Placement.ReadBack)
	p.handle(now, placement.InputChanged{Input: placementInput(d)})
}

// placementInput returns the hardware and the models that the settings describe.
func placementInput(d *directory) placement.Input {
	var in placement.Input
	for _, id := range d.engines {
		in.Engines = append(in.Engines, placementEngine(id, d.upstreams[id]))
	}
	for _, id := range d.models {
		view, _ := d.model(id)
		in.Models = append(in.Models, placementModel(id, view, 1/float64(len(d.models))))
	}
	in.Links = placementLinks(d)
	return in
}

func placementEngine(id fleet.UpstreamID, view *settings.View) placement.Engine {
	u := view.Upstream
	return placement.Engine{
		ID: id, Kind: u.Accelerator, DataCentre: fleet.DataCentreID(u.DataCentre),
		Memory: float64(u.MemoryBytes) * (1 - view.Placement.KVReserve),
		Speed:  float64(u.Slots) * u.Speed / referenceLayerTime.Seconds(),
		Slots:  int(u.Slots), Fencing: placement.Fencing(u.Fencing),
	}
}

func placementModel(id fleet.ModelID, view *settings.View, demand float64) placement.Model {
	m := placement.Model{
		ID: id, Version: view.Model.Version, Layers: int(view.Model.Layers),
		BytesPerLayer: float64(view.Model.BytesPerLayer), KVBytesPerToken: float64(view.Model.KVBytesPerTokenLayer),
		ContextTokens: placementContextTokens, Demand: demand,
	}
	for _, name := range view.Model.Adapters {
		m.Adapters = append(m.Adapters, placement.Adapter{Name: name, Bytes: assumedAdapterBytes, Demand: 1 / float64(len(view.Model.Adapters))})
	}
	return m
}

// placementLinks returns the rate between each pair of data centres, the lower of both
// directions.
func placementLinks(d *directory) []placement.Link {
	rates := map[[2]fleet.DataCentreID]float64{}
	for dc, region := range d.tree.DataCentres() {
		scope := d.scope
		scope.Region, scope.DataCentre = region, dc
		for to, link := range d.tree.Effective(scope).Links {
			key := [2]fleet.DataCentreID{min(dc, to), max(dc, to)}
			rate := float64(link.BytesPerSecond)
			if known, ok := rates[key]; ok {
				rate = min(rate, known)
			}
			rates[key] = rate
		}
	}
	var links []placement.Link
	for key, rate := range rates {
		links = append(links, placement.Link{A: key[0], B: key[1], BytesPerSecond: rate})
	}
	return links
}
