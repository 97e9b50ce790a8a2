package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
	"github.com/cornelline/cornelline/pkg/notice"
	"github.com/cornelline/cornelline/pkg/storeera"
	"github.com/cornelline/cornelline/pkg/storewatch"
	"github.com/cornelline/cornelline/platform"
)

const (
	// leadGroup is the consumer group whose member with partition leadPartition is the
	// leader.
	leadGroup = "placement"
	// leadPartition is the partition whose holder is the leader.
	leadPartition = 0
	// leaseTTL is the time without a renewal after which the group gives the partition to
	// another VM. The platform may set a longer minimum.
	leaseTTL = 3 * time.Second
	// leaseRenewInterval is the interval of renewals.
	leaseRenewInterval = 1 * time.Second
	// orderTimeout bounds a call to an engine.
	orderTimeout = 600 * time.Millisecond
	// orderInterval is the interval at which the leader compares the engines with the plan.
	orderInterval = 300 * time.Millisecond
	// listSettleTime is how long the number of engines must stay the same before a plan from
	// scratch, because their entries arrive over some seconds.
	listSettleTime = 1200 * time.Millisecond
	// maxFirstPlanWait bounds the wait for a settled list.
	maxFirstPlanWait = 4 * time.Second
	// orderRetryAfter is the least time after which an order without a visible effect is
	// repeated. It is repeated later if its load is expected to take longer. Engines may carry
	// out an order up to 12 s late.
	orderRetryAfter = 2500 * time.Millisecond
	// reportInterval is the interval at which the leader requests a report from every
	// engine in service. Each report has a cost, but a slow engine slows down all chains
	// through it and must be found soon.
	reportInterval = time.Second
	// lostEngineAfter is how long an engine must be ejected before its layers are placed
	// elsewhere while its entry still exists.
	lostEngineAfter = 800 * time.Millisecond
)

// placementOrder is a pending order to an engine: its layers count as those that the engine
// will hold.
type placementOrder struct {
	engineStartedAt time.Time
	target          fleet.LayerRange
	orderedAt       time.Time
	// loadDeadline is when the engine should have loaded the layers, orderTimeout included, or
	// when it refused the order.
	loadDeadline time.Time
}

// leader gives placement orders to the engines while it holds the leadership partition, or
// as deputy while the store is unavailable.
type leader struct {
	g *Gateway
	// groupGeneration is the generation of the group. It orders the successive holders of
	// the partition.
	groupGeneration uint64
	// holdsLease is set while this VM holds the partition, according to the last answer of the
	// group.
	holdsLease bool
	// topicExists is set once the group's topic is known to exist.
	topicExists bool
	// renewing is set while a call to the group is in progress.
	renewing bool
	// renewals carries the outcome of that call.
	renewals chan renewal
	// leaseUntil is when the lease ends unless it is renewed, on this VM's clock.
	leaseUntil time.Time
	// deputy is set while this VM leads without having been chosen by the group.
	deputy bool
	// storeBackAt is when the store answered again while this VM led as a deputy.
	storeBackAt time.Time
	// fencingToken is the token of this VM's orders, 0 before its first ones.
	fencingToken uint64
	// tokenRaises counts the raises of the token since an engine last began an order.
	tokenRaises int
	mu          sync.Mutex
	// maxRefusedToken is the highest own token that an engine refused.
	maxRefusedToken uint64
	// orderBegun is set when an engine began an order with the current token.
	orderBegun bool
	orders     map[fleet.UpstreamID]*placementOrder
	// planningSince, engineCountChangedAt, engineCount and lastPlan are shared by all services that
	// have engines.
	planningSince        time.Time
	engineCountChangedAt time.Time
	engineCount          int
	// ejectedSince is when the ejection of each ejected engine was first seen.
	ejectedSince map[fleet.UpstreamID]time.Time
	// firstSeen is when each incarnation of an engine first appeared in the list.
	firstSeen map[notice.Instance]time.Time
	// incompleteSince is when each data centre began to lack layers.
	incompleteSince    map[fleet.DataCentreID]time.Time
	reportsRequestedAt time.Time
	lastPlan           layout.Plan
	// renewAt is the time of the next call to the group.
	renewAt time.Time
	// eraMark identifies the copy of the store to which groupGeneration belongs.
	eraMark storeera.RestoreCount
	// eraChanged is set once the store has been restored from an older copy.
	eraChanged bool
}

// tokenShift reserves the low bits of a fencing token for takeovers by deputies, which count
// up from the shifted generation of the group. The token of the next holder of the partition is
// above all of them.
const tokenShift = 20

// observeToken raises the highest known fencing token to one that some VM uses.
func (g *Gateway) observeToken(token uint64) {
	for {
		old := g.highestToken.Load()
		if token <= old || g.highestToken.CompareAndSwap(old, token) {
			return
		}
	}
}

// assignStoreDuty updates which calls to the store this VM makes and whether it should lead as
// a deputy. Two deputies that cannot reach each other may lead at the same time. Each order also
// states the number of orders that its engine must have accepted before, so that the engine
// does not accept orders of both that were based on the same state.
func (c *control) assignStoreDuty(now time.Time) {
	peers := make([]storewatch.Peer, 0, len(c.peers))
	for id, p := range c.peers {
		peers = append(peers, storewatch.Peer{
			ID: id, ReceivedAt: p.receivedAt, StoreUnavailable: p.StoreUnavailable, StoreReached: p.StoreReached, Watching: p.Watching, Leading: p.Leading, Stopping: p.Stopping,
		})
	}
	if c.g.leading.Load() || c.leaderSeenAt.IsZero() {
		c.leaderSeenAt = now
	}
	d := storewatch.Assign(now, storewatch.Self{
		ID: c.g.settings.Self.ID, Forming: len(c.g.settings.Seeds) > 0 && now.Sub(c.g.started) < storewatch.FormationTime, IsSeed: c.g.settings.IsSeed,
		StoreUnavailable: !c.storeUp, UnavailableSince: c.storeDownSince, Stopping: c.g.shutdown.isStopping(),
		LeaderLastSeen: c.leaderSeenAt, LiveVMs: c.g.view.Load().vms,
	}, peers)
	if d.OtherLeads {
		c.leaderSeenAt = now
	}
	if before := c.g.storeDuty.Swap(&d); d.ReadsList && !before.ReadsList {
		c.g.cancelConfigRead() // the polls of the VM that reads the list are short
	}
}

// lead takes part in the leader election and gives orders while this VM is the leader.
func (g *Gateway) lead(ctx context.Context) {
	l := &leader{
		g: g, orders: make(map[fleet.UpstreamID]*placementOrder), ejectedSince: make(map[fleet.UpstreamID]time.Time), firstSeen: make(map[notice.Instance]time.Time),
		incompleteSince: make(map[fleet.DataCentreID]time.Time), renewals: make(chan renewal, 1), eraMark: g.eras.restoreCount(),
	}
	for sleep(ctx, orderInterval) {
		if g.shutdown.isStopping() {
			g.leading.Store(false)
			l.resign()
			return
		}
		if v := g.view.Load(); v.catalog == nil || len(v.gates) == 0 {
			continue
		}
		select {
		case r := <-l.renewals:
			l.applyRenewal(r)
		default:
		}
		l.resetOnNewEra()
		if now := time.Now(); !now.Before(l.renewAt) && !l.renewing && (l.holdsLease || g.storeDuty.Load().Candidate) {
			l.renewAt = now.Add(leaseRenewInterval)
			l.renew(ctx)
		}
		l.updateDeputy()
		l.raiseToken()
		active := l.isActive(time.Now())
		g.leading.Store(active)
		if active {
			l.placeLayers(ctx)
			l.requestReports(ctx)
		}
	}
}

// updateDeputy starts or ends leadership without the group.
func (l *leader) updateDeputy() {
	holding := l.holdsLease && time.Now().Before(l.leaseUntil)
	if !l.deputy || !l.g.control.isStoreUp() {
		l.storeBackAt = time.Time{}
	} else if l.storeBackAt.IsZero() {
		l.storeBackAt = time.Now()
	}
	// The group may still count a member that ended during the outage. A deputy therefore
	// continues until another VM leads or the group has had time to expire that member.
	groupSettled := !l.storeBackAt.IsZero() && time.Since(l.storeBackAt) > leaseTTL+leaseRenewInterval
	switch {
	case l.deputy && (holding || groupSettled || l.g.storeDuty.Load().OtherLeads):
		l.deputy = false
		l.g.log.Log(event.PlacementLeaseLost).Uint64("epoch", l.fencingToken).Str("reason", "the group has a leader again").Send()
	case !l.deputy && !holding && l.g.storeDuty.Load().LeadsAsDeputy:
		l.deputy = true
		l.fencingToken = l.g.highestToken.Load() + 1
		l.g.observeToken(l.fencingToken)
		l.forgetOrders()
		l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fencingToken).Bool("store_away", !l.g.control.isStoreUp()).Str("reason", "deputy: no leader is heard").Send()
	}
}

// isActive reports whether this VM gives orders.
func (l *leader) isActive(now time.Time) bool {
	return (l.holdsLease && now.Before(l.leaseUntil) || l.deputy) && l.fencingToken > l.highestRefusedToken()
}

// highestRefusedToken returns the highest own token that an engine refused.
func (l *leader) highestRefusedToken() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxRefusedToken
}

// recordRefusedToken records that an engine refused a token of this VM.
func (l *leader) recordRefusedToken(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxRefusedToken = max(l.maxRefusedToken, token)
}

// raiseToken gives the leader a token above all known ones after an engine refused its token:
// another VM led in the meantime, or before all VMs lost their memory. It waits until no other
// VM reports that it leads. As only the engines may know the token that they compare with, each
// further raise is larger.
func (l *leader) raiseToken() {
	l.mu.Lock()
	refused := l.maxRefusedToken
	if l.orderBegun {
		l.orderBegun, l.tokenRaises = false, 0
	}
	l.mu.Unlock()
	if !l.holdsLease && !l.deputy || l.fencingToken > refused || !l.seesNoOtherLeader() {
		return
	}
	l.fencingToken = max(l.g.highestToken.Load(), refused) + 1<<min(tokenRaiseShift*l.tokenRaises, maxTokenRaiseShift)
	l.tokenRaises++
	l.g.observeToken(l.fencingToken)
	l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fencingToken).Str("reason", "no other leads any more").Send()
}

const (
	// tokenRaiseShift is the number of bits by which each further raise of a token exceeds the
	// one before. Four raises pass 1,024 generations of the group.
	tokenRaiseShift = 10
	// maxTokenRaiseShift keeps tokens exact in JSON numbers, which have 53 bits.
	maxTokenRaiseShift = 40
)

// renewal is the outcome of a call that joins the group or renews the membership.
type renewal struct {
	began      time.Time
	mark       storeera.RestoreCount
	call       string
	groupState platform.Membership
	err        error
}

// renew joins the group or renews the membership. The call runs in its own goroutine so that
// an unresponsive store does not delay the orders; applyRenewal handles its outcome.
func (l *leader) renew(ctx context.Context) {
	generation, touch, mark := l.groupGeneration, !l.topicExists, l.eraMark
	l.renewing = true
	l.g.spawn("group call", func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		r := renewal{began: time.Now(), mark: mark, call: "touch"}
		if touch {
			r.groupState.Era, r.err = l.g.store.Touch(ctx, platform.LeadTopic)
		}
		if r.err == nil {
			r.call = "join"
			r.groupState, r.err = l.g.store.Join(ctx, leadGroup, l.g.settings.Self.ID, l.ttl(), generation)
		}
		l.renewals <- r
	})
}

func (l *leader) ttl() time.Duration { return max(leaseTTL, l.g.settings.Store.MinMemberTTL) }

// applyRenewal applies the outcome of a call to the group.
func (l *leader) applyRenewal(r renewal) {
	l.renewing = false
	verdict := l.g.checkCallEra(r.mark, r.groupState.Era, r.err, r.call)
	if l.resetOnNewEra() || verdict != storeera.Current { // the call reached a group of another copy of the store
		return
	}
	l.topicExists = l.topicExists || r.call != "touch"
	if r.err != nil {
		// While the store is unavailable the group gives the partition to no other VM, so the
		// leader continues. If the store only refuses this VM, another leader's fencing token
		// stops it.
		if l.holdsLease {
			l.leaseUntil = time.Now().Add(l.ttl())
		}
		l.g.control.recordStoreFailure(r.call, r.err)
		return
	}
	heldBefore, leaseValid := l.holdsLease, time.Now().Before(l.leaseUntil)
	l.groupGeneration, l.holdsLease = r.groupState.Generation, false
	for _, p := range r.groupState.Partitions {
		l.holdsLease = l.holdsLease || p == leadPartition
	}
	l.leaseUntil = r.began.Add(l.ttl())
	if l.holdsLease {
		l.fencingToken = l.nextToken(heldBefore)
		l.g.observeToken(l.fencingToken)
	}
	if l.holdsLease == heldBefore {
		return
	}
	switch {
	case l.holdsLease:
		l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fencingToken).Str("reason", "group").Send()
	case leaseValid && l.seesNoOtherLeader():
		// The VM that holds the partition now learns it with its next renewal, if it lives.
		// Until it leads, the orders continue; its token is higher.
		l.deputy = true
		l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fencingToken).Str("reason", "deputy: until the VM that the group chose leads").Send()
		return
	default:
		l.g.log.Log(event.PlacementLeaseLost).Uint64("epoch", l.fencingToken).Str("reason", "group").Send()
	}
	l.forgetOrders()
}

// seesNoOtherLeader reports whether this VM receives state from most of the fleet, so that it
// would know of another leader, and knows of none.
func (l *leader) seesNoOtherLeader() bool {
	d := l.g.storeDuty.Load()
	return d.SeesMajority && !d.OtherLeads
}

// resetOnNewEra discards the membership and any lease from a replaced copy of the store, and
// reports whether the store has been replaced. The group is joined again without delay.
func (l *leader) resetOnNewEra() bool {
	now := l.g.eras.restoreCount()
	if now == l.eraMark {
		return false
	}
	l.eraMark = now
	if l.holdsLease {
		l.g.log.Log(event.PlacementLeaseLost).Uint64("epoch", l.fencingToken).Str("reason", "store came back from an older copy").Send()
	}
	l.holdsLease, l.topicExists, l.groupGeneration, l.eraChanged = false, false, 0, true
	l.renewAt = time.Time{}
	l.forgetOrders()
	return true
}

// nextToken returns the fencing token of the holder of the partition. After the store has
// been restored from an older copy, the group reuses generations; a new holder's token must
// then be above all tokens that any VM has used.
func (l *leader) nextToken(heldBefore bool) uint64 {
	token := max(l.fencingToken, l.groupGeneration<<tokenShift)
	if l.eraChanged && !heldBefore {
		token = max(token, l.g.highestToken.Load()+1)
	}
	return token
}

// forgetOrders drops the recorded orders, because another leader may have given others
// since. It also restarts the wait for a settled list.
func (l *leader) forgetOrders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.orders)
	l.planningSince = time.Time{}
}

// resign leaves the group at a planned stop, so that the group need not wait for the lease to
// expire before it chooses another VM.
func (l *leader) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if l.groupGeneration == 0 {
		return
	}
	if err := l.g.store.Leave(ctx, leadGroup, l.g.settings.Self.ID); err != nil {
		l.g.control.recordStoreFailure("leave", err)
	}
}
