package gateway

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/retry"
)

const (
	// migrationShare is the fraction of the retry budget for runs that migrate from a server
	// that is about to end. These runs could stay on it and must not use up the budget that
	// failures need.
	migrationShare = 0.35
	// messageDelayAllowance is added to two intervals of the state messages for the delivery
	// of a message.
	messageDelayAllowance = 100 * time.Millisecond
)

// retryBudgets are the retry budgets of the services, which all VMs share. They are safe for
// concurrent use.
type retryBudgets struct {
	mu      sync.Mutex
	cfg     retry.SharedBudgetConfig
	budgets map[uint32]*retry.SharedBudget // by hash of the service
	// peakVMs tracks the number of VMs that share the budgets.
	peakVMs retry.PeakVMs
}

func newBudgets() *retryBudgets { return &retryBudgets{budgets: make(map[uint32]*retry.SharedBudget)} }

func (b *retryBudgets) budget(now time.Time, service uint32) *retry.SharedBudget {
	p := b.budgets[service]
	if p == nil {
		p = retry.NewSharedBudget(b.cfg, now)
		b.budgets[service] = p
	}
	return p
}

func serviceKey(id catalog.ServiceID) uint32 { return peering.HashID(fleet.UpstreamID(id)) }

// recordRequest records a request for a service.
func (b *retryBudgets) recordRequest(now time.Time, service catalog.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, serviceKey(service)).RecordRequest(now)
}

// take takes one retry from a service's budget, or returns the limit that denies it.
func (b *retryBudgets) take(now time.Time, service catalog.ServiceID, migration bool) retry.Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(now, serviceKey(service)).Take(now, migration, random())
}

// recordPeerUsage records the usage of the budgets that another VM reported.
func (b *retryBudgets) recordPeerUsage(now time.Time, s *peering.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range s.Budgets {
		b.budget(now, u.Service).RecordRemoteUsage(now, s.VM, s.Started, retry.Usage{
			Granted: float64(u.Granted), Migrations: float64(u.Migrations), Requests: float64(u.Requests),
		})
	}
}

// ownUsage returns this VM's usage of the budgets, to be sent to the other VMs.
func (b *retryBudgets) ownUsage(now time.Time) []peering.BudgetUse {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]peering.BudgetUse, 0, len(b.budgets))
	for service, p := range b.budgets {
		u := p.Usage(now)
		if u != (retry.Usage{}) {
			list = append(list, peering.BudgetUse{Service: service, Granted: uint32(u.Granted), Migrations: uint32(u.Migrations), Requests: uint32(u.Requests)})
		}
	}
	return list
}

// setLimits applies the platform's limits and the number of live VMs that share the budgets.
// recentlyStarted is set while this process is younger than the window of the budgets.
func (b *retryBudgets) setLimits(now time.Time, shared retry.SharedLimits, liveVMs int, recentlyStarted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	vms := b.peakVMs.Update(now, liveVMs)
	b.cfg = retry.SharedBudgetConfig{
		SharedLimits: shared, RecentVMs: vms, ReachableVMs: liveVMs, PropagationTime: 2*peering.RemoteStateInterval(vms) + messageDelayAllowance, RecentlyStarted: recentlyStarted, MigrationShare: migrationShare,
	}
	for _, p := range b.budgets {
		p.SetConfig(b.cfg)
	}
}

// setRetryLimits applies the limits of the retry budgets. A process younger than the
// budgets' window does not know what its predecessor used, except at the first start of the
// fleet, when there was none.
func (g *Gateway) setRetryLimits(now time.Time) {
	bounds := g.platformBounds.Load()
	shared := retry.SharedLimits{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}
	recentlyStarted := !g.settings.FirstStart && now.Sub(g.started) < bounds.RetryWindow
	g.retryBudgets.setLimits(now, shared, g.view.Load().vms, recentlyStarted)
}
