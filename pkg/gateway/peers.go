package gateway

import (
	"context"
	"errors"
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
	// peerStale is the age of news after which a VM's promises no longer count: it
	// has ended, and its streams with it.
	peerStale = 2500 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration or a list from another VM.
	fetchTimeout = time.Second
)

// errUnknownMessage is returned to a peer for a request that this VM does not know.
var errUnknownMessage = errors.New("unknown message")

// errPanicked is returned to a peer whose request this VM could not handle.
var errPanicked = errors.New("request could not be handled")

// peerState is what another VM last said.
type peerState struct {
	peering.State
	heard time.Time
	// quiet is set while callers are not sent there because no news comes.
	quiet bool
}

// restartSilence is the time without news after which a process of a VM that names an
// earlier start is the newer one all the same: its time of day went back.
const restartSilence = 500 * time.Millisecond

// precedes reports whether news is newer than what the VM said last.
func (p *peerState) precedes(s *peering.State, now time.Time) bool {
	if s.Started == p.Started {
		return s.Sequence > p.Sequence
	}
	return s.Started > p.Started || now.Sub(p.heard) > restartSilence
}

// receive hands a peer's message to the control goroutine.
func (g *Gateway) receive(_ wire.Peer, m wire.Message) {
	g.guard("peer message", func() { g.dispatch(m) })
}

func (g *Gateway) dispatch(m wire.Message) {
	if crash, ok := m.(*peering.Crash); ok {
		g.crashes.add(time.Now(), fingerprint(crash.Request), crash.Upstream)
		return
	}
	if listing, ok := m.(*peering.Listing); ok {
		g.hearListing(listing.Listing)
		return
	}
	g.control.post(func(now time.Time) {
		if state, ok := m.(*peering.State); ok {
			g.control.heard(now, state)
			return
		}
		g.control.send(g.control.members.Receive(now, m))
	})
}

// respond answers a peer's request.
func (g *Gateway) respond(ctx context.Context, _ wire.Peer, m wire.Message) (answer wire.Message, err error) {
	if !g.guard("peer call", func() { answer, err = g.answer(ctx, m) }) {
		return nil, errPanicked
	}
	return answer, err
}

func (g *Gateway) answer(ctx context.Context, m wire.Message) (wire.Message, error) {
	if _, ok := m.(*peering.ListWant); ok {
		return g.offerList(ctx)
	}
	want, ok := m.(*peering.ConfigWant)
	if !ok {
		return nil, errUnknownMessage
	}
	offer := make(chan *peering.ConfigOffer, 1)
	g.control.post(func(time.Time) {
		if v := g.control.configuration.InForce(); g.control.catalog != nil && v.After(want.Version) {
			offer <- &peering.ConfigOffer{Data: g.control.config, Reverted: v.Reverted}
			return
		}
		offer <- &peering.ConfigOffer{}
	})
	select {
	case o := <-offer:
		return o, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// peerFailed notes why a connection to another VM ended.
func (g *Gateway) peerFailed(address string, err error) {
	g.stats.Count("peer_connections_failed")
	g.log.Log(event.PeerConnectionFailed).Str("peer", address).Err(err).Send()
}

// send performs what membership decided.
func (c *control) send(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			_ = c.g.peers.Send(a.To, a.Message) // membership counts on lost messages
		case membership.Changed:
			c.memberChanged(a)
		}
	}
}

func (c *control) memberChanged(a membership.Changed) {
	c.dirty = true
	id := event.MemberJoined
	switch {
	case !a.Live:
		id = event.MemberLost
		delete(c.peers, a.Member.ID)
		c.promised = true
	case a.Member.Leaving:
		id = event.MemberLeaving
	}
	c.g.log.Log(id).Str("member", string(a.Member.ID)).Str("data_centre", string(a.Member.DataCentre)).Send()
}

// heard takes in another VM's news.
func (c *control) heard(now time.Time, s *peering.State) {
	old := c.peers[s.VM]
	if old != nil && !old.precedes(s, now) {
		return
	}
	if old == nil || old.quiet || old.Stopping != s.Stopping {
		c.dirty = true // callers may be sent there from now on, or no more
	}
	c.peers[s.VM] = &peerState{State: *s, heard: now}
	if s.Leading && !c.g.leading.Load() {
		c.takeSlowness(s.Slow)
	}
	for _, id := range s.Dead { // another VM's finding is a reason to look, not a verdict
		c.act(now, c.health.HeardDown(now, id, nil))
	}
	for _, id := range s.Back {
		c.act(now, c.health.HeardBack(now, id, nil))
	}
	for _, id := range s.Refusing {
		if _, ok := c.roster.Get(id); ok {
			c.takeAsDraining(now, id, string(s.VM))
		}
	}
	for _, h := range s.Held {
		if u, ok := c.roster.Get(h.Upstream); ok && u.Born.UnixMilli() == h.Born {
			if _, own := c.layers[h.Upstream]; !own {
				c.holds(now, u, h.Layers)
			}
		}
	}
	for _, f := range s.Refused {
		c.g.returns.add(now, fingerprint(f), false)
	}
	c.g.budgets.heard(now, s)
	c.g.seeToken(s.Token)
	c.heardNotices(now, s)
	c.g.heardEra(s.Era, string(s.VM))
	c.promised = true
	if offered := (storeera.Version{Reverted: s.Reverted, Number: s.Config}); offered.After(c.configuration.InForce()) {
		c.fetchConfig(s.VM)
	}
	if s.Listed && (!c.listed || !c.askedList) {
		c.fetchList(s.VM)
	}
}

// shareOthers gives the gates what the other VMs have promised, if that changed. It
// runs with each tick: in a large fleet news comes more often.
func (c *control) shareOthers() {
	if !c.promised {
		return
	}
	c.promised = false
	sums := make(map[uint32]chain.Load)
	for _, p := range c.peers {
		for _, x := range p.Promises {
			kv, requests, tokens := x.Values()
			l := sums[x.Upstream]
			l.KV, l.Requests, l.Tokens = l.KV+kv, l.Requests+requests, l.Tokens+tokens
			sums[x.Upstream] = l
		}
	}
	others := func(id fleet.UpstreamID) chain.Load { return sums[peering.Key(id)] }
	for _, gate := range c.gates {
		gate.setOthers(others)
	}
}

// forgetPeers drops the promises of VMs that fell silent.
func (c *control) forgetPeers(now time.Time) {
	for id, p := range c.peers {
		if now.Sub(p.heard) > peerStale {
			delete(c.peers, id)
			c.promised = true
			c.dirty = true
		}
	}
}

// judgeQuiet notes which VMs callers are not sent to because no news comes from them. After
// a pause of this VM's own it is the news that waits to be read.
func (c *control) judgeQuiet(now time.Time) {
	v := c.g.view.Load()
	if now.Sub(c.tickedAt) > ownPause {
		c.judgeFrom = now.Add(peering.FarInterval(v.vms))
	}
	c.tickedAt = now
	if now.Before(c.judgeFrom) {
		return
	}
	near, far := peering.NewsInterval(v.near), peering.FarInterval(v.vms)
	for id, p := range c.peers {
		interval := far
		if v.nearby[id] {
			interval = near
		}
		if quiet := handover.Quiet(now, p.heard, interval); quiet != p.quiet {
			p.quiet, c.dirty = quiet, true
		}
	}
}

// ownPause is the time between two ticks that tells that this VM stood still.
const ownPause = 4 * controlTick

// tellPeers sends this VM's news to the others when it is time: more often to those of
// its data centre.
func (c *control) tellPeers(now time.Time) {
	v := c.g.view.Load()
	if len(v.peers) == 0 {
		return
	}
	near := c.news.Due(now, peering.NewsInterval(v.near), random())
	far := c.farNews.Due(now, peering.FarInterval(v.vms), random())
	if v.vms <= v.near || peering.FarInterval(v.vms) == peering.NewsInterval(v.near) {
		far = near // one message serves both
	}
	if !near && !far {
		return
	}
	c.sequence++
	s := &peering.State{
		VM: c.g.settings.Self.ID, Started: c.g.started.UnixMilli(), Sequence: c.sequence, Stopping: c.g.stopper.stopping(),
		StoreAway: !c.storeUp, StoreReached: c.storeUp && now.Sub(c.reachedAt) < storewatch.ReachedFor, Watching: c.g.duty.Load().Watches,
		Listed:  c.listed && now.Sub(c.listedAt) < listFresh,
		Leading: c.g.leading.Load(), Token: c.g.token.Load(), Refused: c.g.returns.takeNews(), Budgets: c.g.budgets.news(now),
	}
	if self := c.g.self(); self.Stopping {
		s.OrderedAgo, s.ExitIn = now.Sub(self.Ordered), self.Exit.Sub(now)
	}
	c.tellNotices(now, s)
	s.Era = c.g.eras.era()
	if c.catalog != nil {
		v := c.configuration.InForce()
		s.Config, s.Reverted = v.Number, v.Reverted
	}
	for _, gate := range c.gates {
		s.Promises = gate.promises(s.Promises)
	}
	for id := range v.dead {
		s.Dead = append(s.Dead, id)
	}
	for _, u := range v.list {
		if c.health.Returning(u.ID) {
			s.Back = append(s.Back, u.ID)
		}
	}
	for id, r := range c.refusals { // only own findings, so that news does not go round for ever
		if r.count >= refusalsToJudge && now.Before(r.until) {
			s.Refusing = append(s.Refusing, id)
		}
	}
	for id, h := range c.layers {
		s.Held = append(s.Held, peering.Held{Upstream: id, Born: h.born.UnixMilli(), Layers: h.layers})
	}
	if s.Leading {
		s.Slow = make(map[fleet.UpstreamID]float32, len(c.slow))
		for id, factor := range c.slow {
			s.Slow[id] = float32(factor)
		}
	}
	for id, address := range v.peers {
		if isNear := v.nearby[id]; isNear && near || !isNear && far {
			_ = c.g.peers.Send(address, s) // the next news replaces what is lost
		}
	}
}

// tellListing sends a listing to the other VMs, also an empty one: it says that the
// list stands.
func (c *control) tellListing(l roster.Listing) {
	c.g.tell(&peering.Listing{VM: c.g.settings.Self.ID, Listing: l}) // a VM that misses one reads the store
}

// tell sends a message to all other VMs. One that is lost is made up for by a later
// one or by another source.
func (g *Gateway) tell(m wire.Message) {
	for _, address := range g.view.Load().peers {
		_ = g.peers.Send(address, m)
	}
}

// fetchConfig asks another VM for its configuration, which is newer.
func (c *control) fetchConfig(vm fleet.VMID) {
	if c.fetching {
		return
	}
	address, ok := c.g.view.Load().peers[vm]
	if !ok {
		return
	}
	c.fetching = true
	want := &peering.ConfigWant{Version: c.configuration.InForce()}
	c.g.spawn("fetch", func() {
		ctx, cancel := context.WithTimeout(c.g.running, fetchTimeout)
		defer cancel()
		answer, err := c.g.peers.Call(ctx, address, want)
		if offer, ok := answer.(*peering.ConfigOffer); ok && len(offer.Data) > 0 {
			c.configHeard(offer.Data, offer.Reverted, string(vm))
		}
		if err != nil {
			c.g.stats.Count("config_fetches_failed")
		}
		c.post(func(time.Time) { c.fetching = false })
	})
}

// fetchList asks another VM for the list of upstreams, in place of an own read at the
// start.
func (c *control) fetchList(vm fleet.VMID) {
	address, ok := c.g.view.Load().peers[vm]
	if c.fetchingList || !ok {
		return
	}
	c.fetchingList = true
	c.g.spawn("fetch", func() {
		ctx, cancel := context.WithTimeout(c.g.running, fetchTimeout)
		defer cancel()
		answer, err := c.g.peers.Call(ctx, address, &peering.ListWant{})
		if offer, ok := answer.(*peering.ListOffer); ok {
			c.post(func(now time.Time) {
				c.askedList = true
				for _, i := range offer.Ends {
					c.g.upstreamEnds(now, i, false)
				}
			})
			if offer.Whole {
				c.g.hearListing(offer.Listing)
			}
		}
		if err != nil {
			c.g.stats.Count("list_fetches_failed")
		}
		c.post(func(time.Time) { c.fetchingList = false })
	})
}

// offerList answers a VM that starts.
func (g *Gateway) offerList(ctx context.Context) (wire.Message, error) {
	answer := make(chan roster.Listing, 1)
	select {
	case g.snapshots <- answer:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(fetchTimeout): // the follower waits for the store
		return &peering.ListOffer{}, nil
	}
	return &peering.ListOffer{Listing: <-answer, Ends: g.notices.allEnds()}, nil
}

// hearListing hands another VM's listing to the follower of the list.
func (g *Gateway) hearListing(l roster.Listing) {
	select {
	case g.listings <- l:
	default: // a listing that is lost leaves a gap, which is read from the store
		g.stats.Count("listings_dropped")
	}
}
