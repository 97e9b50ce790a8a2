package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/membership"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/pkg/storewatch"
	"github.com/cornelline/cornelline/pkg/wire"
)

const (
	// peerStateTTL is the age of a VM's last state message after which its reservations no
	// longer count. The VM has then ended, and its streams with it.
	peerStateTTL = 2500 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration or a list from another VM.
	fetchTimeout = time.Second
)

// errUnknownMessage is returned to a peer for a request of an unknown type.
var errUnknownMessage = errors.New("unknown message")

// errHandlerPanicked is returned to a peer whose request made the handler panic.
var errHandlerPanicked = errors.New("request could not be handled")

// peerState is the last state that another VM sent.
type peerState struct {
	peering.State
	receivedAt time.Time
	// quiet is set while callers are not sent to the VM because its state messages are
	// overdue.
	quiet bool
}

// restartSilence is the time without state messages after which a process with an earlier
// start time is accepted as the newer one. The wall clock may have been set back between the
// two starts.
const restartSilence = 500 * time.Millisecond

// isSupersededBy reports whether a state message is newer than the recorded state.
func (p *peerState) isSupersededBy(s *peering.State, now time.Time) bool {
	if s.Started == p.Started {
		return s.Sequence > p.Sequence
	}
	return s.Started > p.Started || now.Sub(p.receivedAt) > restartSilence
}

// receiveMessage handles a peer's message. A panic ends only the handling of that message.
func (g *Gateway) receiveMessage(_ wire.Peer, m wire.Message) {
	g.runRecovered("peer message", func() { g.dispatchMessage(m) })
}

func (g *Gateway) dispatchMessage(m wire.Message) {
	if listing, ok := m.(*peering.Listing); ok {
		g.enqueueListing(listing.Listing)
		return
	}
	g.control.post(func(now time.Time) {
		switch m := m.(type) {
		case *peering.State:
			g.control.receiveState(now, m)
		case *peering.CrashEvidence:
			g.control.receiveCrashEvidence(now, m)
		default:
			g.control.applyMembershipActions(g.control.members.Receive(now, m))
		}
	})
}

// respond answers a peer's request and converts a panic of the handler into an error.
func (g *Gateway) respond(ctx context.Context, from wire.Peer, m wire.Message) (answer wire.Message, err error) {
	if !g.runRecovered("peer call", func() { answer, err = g.answer(ctx, from, m) }) {
		return nil, errHandlerPanicked
	}
	return answer, err
}

func (g *Gateway) answer(ctx context.Context, from wire.Peer, m wire.Message) (wire.Message, error) {
	if _, ok := m.(*peering.ListWant); ok {
		offer, err := g.offerList(ctx)
		if err != nil || !from.Supports(wire.SizedLists) {
			return offer, err
		}
		sized := peering.SizedListOffer{Offer: *offer, FleetSize: int(g.toldVMs.Load())}
		if !from.Supports(wire.CrashHistories) {
			return &sized, nil
		}
		return g.startOffer(ctx, sized)
	}
	want, ok := m.(*peering.ConfigWant)
	if !ok {
		return nil, errUnknownMessage
	}
	return g.offerConfig(ctx, from, want)
}

// recordPeerFailure records why a connection to another VM ended.
func (g *Gateway) recordPeerFailure(address string, err error) {
	g.stats.Count("peer_connections_failed")
	g.log.Log(event.PeerConnectionFailed).Str("peer", address).Err(err).Send()
}

// applyMembershipActions carries out what membership decided.
func (c *control) applyMembershipActions(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			_ = c.g.peers.Send(a.To, a.Message) // membership tolerates lost messages
		case membership.Changed:
			c.applyMemberChange(a)
		case membership.Updated:
			c.dirty = true
		}
	}
}

func (c *control) applyMemberChange(a membership.Changed) {
	c.dirty = true
	id := event.MemberJoined
	switch {
	case !a.Live:
		id = event.MemberLost
		c.removePeer(a.Member.ID)
	case a.Member.Leaving:
		id = event.MemberLeaving
	}
	c.g.log.Log(id).Str("member", string(a.Member.ID)).Str("data_centre", string(a.Member.DataCentre)).Send()
}

// receiveState applies the state message of another VM.
func (c *control) receiveState(now time.Time, s *peering.State) {
	old := c.peers[s.VM]
	if old != nil && !old.isSupersededBy(s, now) {
		return
	}
	if old == nil || old.quiet || old.Stopping != s.Stopping {
		c.dirty = true // whether callers are sent there may change
	}
	if old != nil {
		c.peerTotals.Subtract(old.Reservations)
	}
	c.peerTotals.Add(s.Reservations)
	c.peers[s.VM] = &peerState{State: *s, receivedAt: now}
	if s.Leading && !c.g.leading.Load() {
		c.replaceSlowness(s.Slow)
	}
	for _, id := range s.Dead { // another VM's finding triggers a probe, not an ejection
		c.applyHealthActions(now, c.health.RecordReportedDown(now, id, nil))
	}
	for _, id := range s.Recovered {
		c.applyHealthActions(now, c.health.RecordReportedUp(now, id, nil))
	}
	for _, id := range s.Refusing {
		if _, ok := c.roster.Get(id); ok {
			c.markDraining(now, id, string(s.VM))
		}
	}
	for _, h := range s.HeldLayers {
		if u, ok := c.roster.Get(h.Upstream); ok && u.Born.UnixMilli() == h.Born {
			if _, own := c.reportedLayers[h.Upstream]; !own {
				c.recordLayers(now, u, h.Layers)
			}
		}
	}
	for _, f := range s.Refused {
		c.g.refusedGenerations.add(now, fingerprint(f), false)
	}
	c.adoptCrashGroups(now, s.CrashGroups)
	c.g.retryBudgets.recordPeerUsage(now, s)
	c.g.observeToken(s.FencingToken)
	c.recordPeerNotices(now, s)
	c.g.observePeerEra(s.Era, string(s.VM))
	c.reservationsChanged = true
	if hasRequests(s) {
		c.g.requestReceived.Store(true)
	}
	if offered := (storeera.Version{RevertEra: s.RevertEra, Number: s.ConfigVersion}); c.configuration.ObserveOffer(offered) {
		c.fetchConfig(s.VM)
	}
	if s.HasList && (!c.listKnown || !c.peerListReceived || c.wantsCrashHistory(now)) {
		c.fetchList(s.VM)
	}
}

// hasRequests reports whether another VM serves requests or has received some recently.
func hasRequests(s *peering.State) bool {
	return len(s.Reservations) > 0 || slices.ContainsFunc(s.Budgets, func(b peering.BudgetUse) bool { return b.Requests > 0 })
}

// removePeer drops the state of another VM, with its reservations.
func (c *control) removePeer(id fleet.VMID) {
	if p := c.peers[id]; p != nil {
		c.peerTotals.Subtract(p.Reservations)
		c.reservationsChanged = true
	}
	delete(c.peers, id)
}

// updatePeerReservations gives the gates what the other VMs have reserved, if that changed.
// It runs once per tick and not per state message, because those arrive more often in a large
// fleet.
func (c *control) updatePeerReservations() {
	if !c.reservationsChanged {
		return
	}
	c.reservationsChanged = false
	others := func(id fleet.UpstreamID) chain.Load {
		kv, requests, tokens := c.peerTotals.Of(id)
		unread, wait := c.peerTotals.BacklogOf(id)
		return chain.Load{KV: kv, Requests: requests, Tokens: tokens, Unread: unread, Wait: wait}
	}
	for _, gate := range c.gates {
		gate.setPeerLoad(others)
	}
}

// dropSilentPeers drops the state of VMs whose last message is older than peerStateTTL.
func (c *control) dropSilentPeers(now time.Time) {
	for id, p := range c.peers {
		if now.Sub(p.receivedAt) > peerStateTTL {
			c.removePeer(id)
			c.dirty = true
		}
	}
}

// updateQuietPeers updates which VMs are quiet. After a suspension of this VM the others
// only look quiet because their messages have not been read yet, so the check waits for a
// while.
func (c *control) updateQuietPeers(now time.Time) {
	v := c.g.view.Load()
	gap := now.Sub(c.lastTick)
	if !c.lastTick.IsZero() {
		c.load.recordTick(gap)
	}
	if gap > suspensionThreshold {
		c.quietChecksFrom = now.Add(peering.RemoteStateInterval(v.vms))
	}
	c.lastTick = now
	if now.Before(c.quietChecksFrom) {
		return
	}
	near, far := peering.StateInterval(v.nearVMs), peering.RemoteStateInterval(v.vms)
	for id, p := range c.peers {
		interval := far
		if v.inOwnDataCentre[id] {
			interval = near
		}
		if quiet := handover.IsStale(now, p.receivedAt, interval); quiet != p.quiet {
			p.quiet, c.dirty = quiet, true
		}
	}
}

// suspensionThreshold is the time between two ticks from which this VM counts as having been
// suspended or as too busy. Probes time out after probeTimeout, so that a VM that is much later
// takes healthy servers for dead ones.
const suspensionThreshold = 4 * controlTick

// sendState sends this VM's state to the other VMs when it is due, more often to those of
// its own data centre.
func (c *control) sendState(now time.Time) {
	v := c.g.view.Load()
	if len(v.peerAddresses) == 0 {
		return
	}
	oneGroup := v.vms <= v.nearVMs || peering.RemoteStateInterval(v.vms) == peering.StateInterval(v.nearVMs)
	version := c.stateVersion()
	near := c.nearStateTimer.DueIfChanged(now, peering.StateInterval(v.nearVMs), random(), oneGroup || version != c.sentVersion)
	far := c.farStateTimer.Due(now, peering.RemoteStateInterval(v.vms), random())
	if oneGroup {
		far = near // one message serves both groups
	}
	if !near && !far {
		return
	}
	if near {
		c.sentVersion = version
	}
	c.sequence++
	s := &peering.State{
		VM: c.g.settings.Self.ID, Started: c.g.started.UnixMilli(), Sequence: c.sequence, Stopping: c.g.shutdown.isStopping(),
		StoreUnavailable: !c.storeUp, StoreReached: c.storeUp && now.Sub(c.lastStoreAnswer) < storewatch.StoreAnswerLifetime, Watching: c.g.storeDuty.Load().WatchesConfig,
		HasList: c.listKnown && now.Sub(c.listUpdatedAt) < maxListAge,
		Leading: c.g.leading.Load(), FencingToken: c.g.highestToken.Load(), Refused: c.g.refusedGenerations.takeUnsent(), Budgets: c.g.retryBudgets.ownUsage(now),
	}
	if self := c.g.handoverSelf(); self.Stopping {
		s.StopOrderedAgo, s.ExitIn = now.Sub(self.StopOrderedAt), self.ExitDeadline.Sub(now)
	}
	c.addNotices(now, s)
	s.CrashGroups = c.crashGroups(now)
	s.Era = c.g.eras.era()
	if c.catalog != nil {
		v := c.configuration.InForce()
		s.ConfigVersion, s.RevertEra = v.Number, v.RevertEra
	}
	for _, gate := range c.gates {
		s.Reservations = gate.reservations(s.Reservations)
	}
	for id := range v.ejected {
		s.Dead = append(s.Dead, id)
	}
	for _, u := range v.upstreams {
		if c.health.IsReturning(u.ID) {
			s.Recovered = append(s.Recovered, u.ID)
		}
	}
	for id, r := range c.engineRefusals { // only own findings, otherwise VMs would repeat each other forever
		if r.count >= drainingRefusals && now.Before(r.drainingUntil) {
			s.Refusing = append(s.Refusing, id)
		}
	}
	for id, h := range c.reportedLayers {
		s.HeldLayers = append(s.HeldLayers, peering.HeldLayers{Upstream: id, Born: h.engineStartedAt.UnixMilli(), Layers: h.layers})
	}
	if s.Leading {
		s.Slow = make(map[fleet.UpstreamID]float32, len(c.slowness))
		for id, factor := range c.slowness {
			s.Slow[id] = float32(factor)
		}
	}
	addresses := make([]string, 0, len(v.peerAddresses))
	for id, address := range v.peerAddresses {
		if isNear := v.inOwnDataCentre[id]; isNear && near || !isNear && far {
			addresses = append(addresses, address)
		}
	}
	_ = c.g.peers.Broadcast(addresses, s) // the next state message replaces a lost one
}

// stateVersion identifies what a state message says, apart from counters and ages.
type stateVersion struct {
	view              *view
	reservations      uint64
	refused           bool
	leading, stopping bool
}

func (c *control) stateVersion() stateVersion {
	s := stateVersion{view: c.g.view.Load(), refused: c.g.refusedGenerations.hasUnsent(), leading: c.g.leading.Load(), stopping: c.g.shutdown.isStopping()}
	for _, gate := range c.gates {
		s.reservations += gate.reservationChanges()
	}
	return s
}

// broadcastListing sends a listing to the other VMs. An empty one confirms that the list has
// not changed.
func (c *control) broadcastListing(l roster.Listing) {
	c.g.broadcast(&peering.Listing{VM: c.g.settings.Self.ID, Listing: l}) // a VM that misses it reads the store
}

// broadcast sends a message to all other VMs. Delivery is not guaranteed: a receiver gets what
// it missed from a later message or from another source.
func (g *Gateway) broadcast(m wire.Message) {
	_ = g.peers.Broadcast(slices.Collect(maps.Values(g.view.Load().peerAddresses)), m)
}

// fetchConfig fetches a newer configuration from another VM.
func (c *control) fetchConfig(vm fleet.VMID) {
	if c.fetchingConfig {
		return
	}
	address, ok := c.g.view.Load().peerAddresses[vm]
	if !ok {
		return
	}
	c.fetchingConfig = true
	want := &peering.ConfigWant{Version: c.configuration.InForce()}
	c.g.spawn("fetch", func() {
		ctx, cancel := context.WithTimeout(c.g.runCtx, fetchTimeout)
		defer cancel()
		began := time.Now()
		answer, err := c.g.peers.Call(ctx, address, want)
		took := time.Since(began)
		if offer, ok := answer.(*peering.ConfigOffer); ok && len(offer.Data) > 0 {
			c.applyPeerConfig(offer, string(vm), took)
		}
		if err != nil {
			c.g.stats.Count("config_fetches_failed")
			c.g.log.Log(event.ConfigNotFetched).Str("peer", string(vm)).Int64("ms", took.Milliseconds()).Err(err).Send()
		}
		c.post(func(time.Time) { c.fetchingConfig = false })
	})
}

const (
	// firstAskInterval is the time between the first two requests of a VM that lacks the
	// configuration or the list to other VMs. It doubles with each, so that the calls stay few.
	firstAskInterval = 100 * time.Millisecond
	// maxAskInterval is the longest such time.
	maxAskInterval = 800 * time.Millisecond
)

// askAtStart asks a VM at random for the configuration and the list while this VM lacks one of
// them. The state messages that name a VM which has them may come only after some intervals.
func (c *control) askAtStart(now time.Time) {
	if !c.g.waitsForPeers() || now.Before(c.askAt) || c.catalog != nil && c.listKnown {
		return
	}
	addresses := c.g.view.Load().peerAddresses
	if len(addresses) == 0 {
		return
	}
	c.askInterval = min(max(2*c.askInterval, firstAskInterval), maxAskInterval)
	c.askAt = now.Add(c.askInterval)
	ids := slices.Sorted(maps.Keys(addresses))
	id := ids[int(random()*float64(len(ids)))]
	if c.catalog == nil {
		c.fetchConfig(id)
	}
	if !c.listKnown {
		c.fetchList(id)
	}
}

// fetchList fetches the list of upstreams from another VM at the start, in place of an own
// read.
func (c *control) fetchList(vm fleet.VMID) {
	address, ok := c.g.view.Load().peerAddresses[vm]
	if c.fetchingList || !ok {
		return
	}
	c.fetchingList = true
	c.g.spawn("fetch", func() {
		ctx, cancel := context.WithTimeout(c.g.runCtx, fetchTimeout)
		defer cancel()
		answer, err := c.g.peers.Call(ctx, address, &peering.ListWant{})
		if start, ok := answer.(*peering.StartOffer); ok {
			c.post(func(now time.Time) { c.adoptCrashHistory(now, start) })
			answer = &start.Sized
		}
		if sized, ok := answer.(*peering.SizedListOffer); ok {
			c.post(func(time.Time) { c.recordTold(sized.FleetSize) })
			answer = &sized.Offer
		}
		if offer, ok := answer.(*peering.ListOffer); ok {
			c.post(func(now time.Time) {
				c.peerListReceived = true
				for _, i := range offer.Ending {
					c.g.recordUpstreamShutdown(now, i, false)
				}
			})
			if offer.Whole {
				c.g.enqueueListing(offer.Listing)
			}
		}
		if err != nil {
			c.g.stats.Count("list_fetches_failed")
		}
		c.post(func(time.Time) { c.fetchingList = false })
	})
}

// offerList answers the request for the list from a VM that is starting.
func (g *Gateway) offerList(ctx context.Context) (*peering.ListOffer, error) {
	answer := make(chan roster.Listing, 1)
	select {
	case g.snapshots <- answer:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(fetchTimeout): // the list follower is blocked in a read from the store
		return &peering.ListOffer{}, nil
	}
	offer := &peering.ListOffer{Listing: <-answer, Ending: g.notices.allShutdowns()}
	offer.StoreHealthyFor = g.storeHealthyFor(ctx)
	return offer, nil
}

// storeHealthyFor returns how long the store has answered without a failure, or 0 if the control
// goroutine does not say in time.
func (g *Gateway) storeHealthyFor(ctx context.Context) time.Duration {
	answer := make(chan time.Duration, 1)
	g.control.post(func(now time.Time) { answer <- g.control.roster.StoreHealthyFor(now) })
	select {
	case healthy := <-answer:
		return healthy
	case <-ctx.Done():
	case <-time.After(fetchTimeout):
	}
	return 0
}

// enqueueListing passes another VM's listing to the list follower.
func (g *Gateway) enqueueListing(l roster.Listing) {
	select {
	case g.listings <- l:
	default: // the resulting gap is read from the store
		g.stats.Count("listings_dropped")
	}
}
