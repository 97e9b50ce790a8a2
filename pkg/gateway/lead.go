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
	// leadGroup is the group whose member with the first partition gives orders.
	leadGroup = "placement"
	// leadPartition is that partition.
	leadPartition = 0
	// leadTTL is how long the leader is missed before another takes over, leadRenew
	// the interval of renewals.
	leadTTL   = 3 * time.Second
	leadRenew = 1 * time.Second
	// orderTimeout bounds a call to an engine.
	orderTimeout = 600 * time.Millisecond
	// orderInterval is the interval at which the leader looks at the engines.
	orderInterval = 300 * time.Millisecond
	// settleTime is how long the list of upstreams must stay the same before the
	// first plan; firstPlanBy bounds the wait. Entries arrive over some seconds.
	settleTime  = 1200 * time.Millisecond
	firstPlanBy = 4 * time.Second
	// orderWait is the time in which an order that was answered with "begun" or not
	// at all must show before it is repeated. Orders may be carried out up to 12 s late.
	orderWait = 2500 * time.Millisecond
	// askInterval is the interval at which the leader asks all engines for their
	// state. Reports are priced; a slow engine holds up all chains through it.
	askInterval = time.Second
	// lostAfter is how long an engine must be dead before its layers are placed
	// anew though its entry still stands.
	lostAfter = 800 * time.Millisecond
)

// placed is what the leader knows of its orders to one engine.
type placed struct {
	born   time.Time
	target fleet.LayerRange
	since  time.Time
	// loadEnds is when the load of a begun order should have ended.
	loadEnds time.Time
}

// leader gives orders to the engines while it holds the partition, or as deputy
// while the store is away.
type leader struct {
	g *Gateway
	// generation is that of the group, which orders the holders of the partition.
	generation uint64
	holds      bool
	// touched is set once the group's topic exists, renewing while a call to the group is
	// open; renewals has its outcome.
	touched  bool
	renewing bool
	renewals chan renewal
	// until is when the membership ends unless it is renewed, on this VM's clock.
	until time.Time
	// acting is set while this VM leads as deputy; storeBack is when the store
	// answered again meanwhile.
	acting    bool
	storeBack time.Time
	// fence is the fencing token of this VM's orders, 0 while it gives none.
	fence     uint64
	fenced    uint64 // the highest token that an engine refused
	mu        sync.Mutex
	orders    map[fleet.UpstreamID]*placed
	listedAt  time.Time
	changedAt time.Time
	count     int
	deadSince map[fleet.UpstreamID]time.Time
	// seen is when engines were first seen in the list, with their starts.
	seen map[notice.Instance]time.Time
	// lackSince holds since when data centres lack layers.
	lackSince map[fleet.DataCentreID]time.Time
	askedAt   time.Time
	lastPlan  layout.Plan
	// renewAt is the time of the next call to the group.
	renewAt time.Time
	// mark is that of the copy of the store to which generation belongs; restored is set
	// once there was another one before.
	mark     storeera.Mark
	restored bool
}

// tokenShift leaves room below a group's generation for the takeovers of deputies,
// which count up from it, so that a new holder's token is above all of them.
const tokenShift = 20

// seeToken notes a fencing token that some VM uses.
func (g *Gateway) seeToken(token uint64) {
	for {
		old := g.token.Load()
		if token <= old || g.token.CompareAndSwap(old, token) {
			return
		}
	}
}

// assignDuty finds out what this VM does at the store. Two deputies that do not hear
// each other use tokens of their own, and each order names the number of orders that
// its engine must have accepted before.
func (c *control) assignDuty(now time.Time) {
	peers := make([]storewatch.Peer, 0, len(c.peers))
	for id, p := range c.peers {
		peers = append(peers, storewatch.Peer{
			ID: id, Heard: p.heard, Away: p.StoreAway, Reached: p.StoreReached, Watching: p.Watching, Leading: p.Leading, Stopping: p.Stopping,
		})
	}
	if c.g.leading.Load() || c.leaderHeard.IsZero() {
		c.leaderHeard = now
	}
	d := storewatch.Assign(now, storewatch.Self{
		ID: c.g.settings.Self.ID, Away: !c.storeUp, AwaySince: c.storeBad, Stopping: c.g.stopper.stopping(),
		LeaderHeard: c.leaderHeard, VMs: c.g.view.Load().vms,
	}, peers)
	if d.OtherLeads {
		c.leaderHeard = now
	}
	c.g.duty.Store(&d)
}

// lead takes part in the choice of the leader and gives orders while this VM is it.
func (g *Gateway) lead(ctx context.Context) {
	l := &leader{
		g: g, orders: make(map[fleet.UpstreamID]*placed), deadSince: make(map[fleet.UpstreamID]time.Time), seen: make(map[notice.Instance]time.Time),
		lackSince: make(map[fleet.DataCentreID]time.Time), renewals: make(chan renewal, 1), mark: g.eras.mark(),
	}
	for pause(ctx, orderInterval) {
		if g.stopper.stopping() {
			g.leading.Store(false)
			l.resign()
			return
		}
		if v := g.view.Load(); v.catalog == nil || len(v.gates) == 0 {
			continue
		}
		select {
		case r := <-l.renewals:
			l.renewed(r)
		default:
		}
		l.followEra()
		if now := time.Now(); !now.Before(l.renewAt) && !l.renewing && (l.holds || g.duty.Load().Candidate) {
			l.renewAt = now.Add(leadRenew)
			l.renew(ctx)
		}
		l.deputise()
		l.passFence()
		active := (l.holds && time.Now().Before(l.until) || l.acting) && l.fence > l.fenced
		g.leading.Store(active)
		if active {
			l.give(ctx)
			l.askAll(ctx)
		}
	}
}

// deputise begins or ends the lead without the store.
func (l *leader) deputise() {
	holding := l.holds && time.Now().Before(l.until)
	if !l.acting || !l.g.control.storeIsUp() {
		l.storeBack = time.Time{}
	} else if l.storeBack.IsZero() {
		l.storeBack = time.Now()
	}
	// The group may still count a member that ended in the outage, so that a deputy
	// goes on until another VM leads or the group has had time to find out.
	found := !l.storeBack.IsZero() && time.Since(l.storeBack) > leadTTL+leadRenew
	switch {
	case l.acting && (holding || found || l.g.duty.Load().OtherLeads):
		l.acting = false
		l.g.log.Log(event.PlacementLeaseLost).Uint64("epoch", l.fence).Str("reason", "the group has a leader again").Send()
	case !l.acting && !holding && l.g.duty.Load().MayDeputise:
		l.acting = true
		l.fence = l.g.token.Load() + 1
		l.g.seeToken(l.fence)
		l.forget()
		l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fence).Bool("store_away", !l.g.control.storeIsUp()).Str("reason", "deputy: no leader is heard").Send()
	}
}

// passFence gives the group's leader a token above that of a deputy that has led
// meanwhile and is not heard to lead any more.
func (l *leader) passFence() {
	if d := l.g.duty.Load(); !l.holds || l.fence > l.fenced || d.OtherLeads || !d.Most {
		return
	}
	l.fence = max(l.g.token.Load(), l.fenced) + 1
	l.g.seeToken(l.fence)
	l.g.log.Log(event.PlacementLeaseTaken).Uint64("epoch", l.fence).Str("reason", "no other leads any more").Send()
}

// renewal is the outcome of a call that joins the group or stays in it.
type renewal struct {
	began time.Time
	mark  storeera.Mark
	call  string
	got   platform.Membership
	err   error
}

// renew joins the group or stays in it. The call is made beside the orders, which a
// silent store must not hold up; its outcome is taken by renewed.
func (l *leader) renew(ctx context.Context) {
	generation, touch, mark := l.generation, !l.touched, l.mark
	l.renewing = true
	l.g.spawn("group call", func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		r := renewal{began: time.Now(), mark: mark, call: "touch"}
		if touch {
			r.got.Era, r.err = l.g.store.Touch(ctx, platform.LeadTopic)
		}
		if r.err == nil {
			r.call = "join"
			r.got, r.err = l.g.store.Join(ctx, leadGroup, l.g.settings.Self.ID, l.ttl(), generation)
		}
		l.renewals <- r
	})
}

func (l *leader) ttl() time.Duration { return max(leadTTL, l.g.settings.Store.MinMemberTTL) }

// renewed takes in the outcome of a call.
func (l *leader) renewed(r renewal) {
	l.renewing = false
	verdict := l.g.judgeCall(r.mark, r.got.Era, r.err, r.call)
	if l.followEra() || verdict != storeera.Current { // the group of the copy before is no more
		return
	}
	l.touched = l.touched || r.call != "touch"
	if r.err != nil {
		// While the store is away nobody can take over: the leader goes on, and the
		// fencing token stops it if the store only refuses this VM.
		if l.holds {
			l.until = time.Now().Add(l.ttl())
		}
		l.g.control.storeFailed(r.call, r.err)
		return
	}
	held := l.holds
	l.generation, l.holds = r.got.Generation, false
	for _, p := range r.got.Partitions {
		l.holds = l.holds || p == leadPartition
	}
	l.until = r.began.Add(l.ttl())
	if l.holds {
		l.fence = l.token(held)
		l.g.seeToken(l.fence)
	}
	if l.holds != held {
		id := event.PlacementLeaseTaken
		if held {
			id = event.PlacementLeaseLost
		}
		l.g.log.Log(id).Uint64("epoch", l.fence).Str("reason", "group").Send()
		l.forget()
	}
}

// followEra gives up a lead that came from a copy of the store that is no more, and
// reports whether it did so now. The group is joined anew at once.
func (l *leader) followEra() bool {
	now := l.g.eras.mark()
	if now == l.mark {
		return false
	}
	l.mark = now
	if l.holds {
		l.g.log.Log(event.PlacementLeaseLost).Uint64("epoch", l.fence).Str("reason", "store came back from an older copy").Send()
	}
	l.holds, l.touched, l.generation, l.restored = false, false, 0, true
	l.renewAt = time.Time{}
	l.forget()
	return true
}

// token returns the fencing token of a holder of the partition. After the store came back
// from an older copy the group's generations are given out again: then a new holder's
// token is above all that any VM has used.
func (l *leader) token(held bool) uint64 {
	token := max(l.fence, l.generation<<tokenShift)
	if l.restored && !held {
		token = max(token, l.g.token.Load()+1)
	}
	return token
}

// forget drops what was known of orders: another leader may have given others since.
func (l *leader) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.orders)
	l.listedAt = time.Time{}
}

// resign leaves the group at a planned stop, so that another takes over at once.
func (l *leader) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if l.generation == 0 {
		return
	}
	if err := l.g.store.Leave(ctx, leadGroup, l.g.settings.Self.ID); err != nil {
		l.g.control.storeFailed("leave", err)
	}
}
