package retry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// SharedLimits are the limits of a retry budget that all VMs share: in any period of length
// Window, the retries for a service are at most Ratio times its requests plus Slack retries.
type SharedLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Usage counts the requests for a service and the retries granted from its shared budget in
// some period.
type Usage struct {
	// Granted is the number of retries that were granted.
	Granted float64
	// Migrations is the number of granted retries for runs that could have stayed on their
	// upstream.
	Migrations float64
	// Requests is the number of requests for the service.
	Requests float64
}

func (u *Usage) add(v Usage) {
	u.Granted += v.Granted
	u.Migrations += v.Migrations
	u.Requests += v.Requests
}

// SharedBudgetConfig holds the limits and the current inputs of a SharedBudget.
type SharedBudgetConfig struct {
	SharedLimits
	// RecentVMs is the number of VMs that may be using the budget, including those that are
	// currently unreachable (see PeakVMs). VMs that reach each other together get
	// ReachableVMs/RecentVMs of the slack, since the others may be using the rest.
	RecentVMs int
	// ReachableVMs is the number of VMs that can currently be reached, including this one.
	ReachableVMs int
	// PropagationTime is the time within which all VMs learn of a granted retry.
	PropagationTime time.Duration
	// RecentlyStarted is set until the process is older than the window. The previous process
	// of this VM may have used the budget, so until then this process grants at most
	// safetyFactor*Ratio retries per request of its own, in addition to the other limits.
	RecentlyStarted bool
	// MigrationShare is the fraction of the budget that migrations may use.
	MigrationShare float64
}

// SharedBudget is this VM's view of a retry budget that all VMs share. It neither reads the
// clock nor draws random numbers itself, and is not safe for concurrent use.
//
// Within the propagation time each of n VMs that reach each other grants at most 1/n of the
// budget that remains after the grants known to all of them, so that together they do not
// exceed it. If 1/n of it is less than one retry, this holds only on average (see
// takeFromShare). A VM whose streams all break at once gets most of the remaining budget
// within a few exchanges of usage.
type SharedBudget struct {
	cfg         SharedBudgetConfig
	slots       [numSlots]Usage // ring buffer; slot n is at index n % numSlots
	newestSlot  int64           // number of the newest slot
	origin      time.Time       // start of slot 0
	remoteUsage map[process]processUsage
	// lastDrawAt is the time of the last random draw for a share below one retry.
	lastDrawAt time.Time
}

// process identifies one process of a VM. Usage is kept by process, so that the grants of
// a process that has ended still count until they leave the window.
type process struct {
	vm fleet.VMID
	// startedAt is the start time of the process in the VM's own unit. It is only compared for
	// equality.
	startedAt int64
}

// processUsage is the usage that a process of another VM reported.
type processUsage struct {
	Usage
	receivedAt time.Time
}

const (
	// numSlots is the number of slots that a budget keeps. 100 of them cover the window; one
	// more is kept so that a retry counts for at least the whole window.
	numSlots = 101
	// safetyFactor is the fraction of the budget that is granted. The platform counts requests
	// and retries when they arrive, so its counts lag behind ours by the time in transit and
	// its windows don't match ours exactly.
	safetyFactor = 0.85
)

// NewSharedBudget returns a budget without any usage.
func NewSharedBudget(cfg SharedBudgetConfig, now time.Time) *SharedBudget {
	return &SharedBudget{cfg: cfg, origin: now, remoteUsage: make(map[process]processUsage)}
}

// SetConfig replaces the limits and keeps the recorded usage. A change of Window also changes
// the width of the slots: a shorter one may clear recorded usage at the next call, and after a
// longer one usage is added to the newest slot until its new time is reached.
func (p *SharedBudget) SetConfig(cfg SharedBudgetConfig) { p.cfg = cfg }

// width returns the duration of a slot. It is at least 1 ms, since it must not be zero.
func (p *SharedBudget) width() time.Duration { return max(p.cfg.Window/(numSlots-1), time.Millisecond) }

// advance moves to the slot of the current time, clears each slot that it enters, and returns
// that slot. It never moves back.
func (p *SharedBudget) advance(now time.Time) *Usage {
	n := max(int64(now.Sub(p.origin)/p.width()), p.newestSlot)
	for i := max(p.newestSlot+1, n-numSlots+1); i <= n; i++ {
		p.slots[i%numSlots] = Usage{}
	}
	p.newestSlot = n
	return &p.slots[n%numSlots]
}

// RecordRequest records a request for the service.
func (p *SharedBudget) RecordRequest(now time.Time) { p.advance(now).Requests++ }

// Usage returns the usage of this process within the window. The caller sends it to the
// other VMs.
func (p *SharedBudget) Usage(now time.Time) Usage {
	p.advance(now)
	var sum Usage
	for i := range p.slots {
		sum.add(p.slots[i])
	}
	return sum
}

// recentlyGranted returns the number of retries that this process granted within the
// propagation time. Other VMs may not know of them yet.
func (p *SharedBudget) recentlyGranted(now time.Time) float64 {
	p.advance(now)
	granted := 0.0
	for i := range min(int64(p.cfg.PropagationTime/p.width())+1, numSlots) {
		if n := p.newestSlot - i; n >= 0 {
			granted += p.slots[n%numSlots].Granted
		}
	}
	return granted
}

// RecordRemoteUsage records the usage that another VM reported. startedAt is the start time of
// its process, in any unit: it only tells the processes of a VM apart.
func (p *SharedBudget) RecordRemoteUsage(now time.Time, vm fleet.VMID, startedAt int64, u Usage) {
	p.remoteUsage[process{vm, startedAt}] = processUsage{Usage: u, receivedAt: now}
}

// Limit names the limit of a SharedBudget that denies a retry.
type Limit string

// The limits of a SharedBudget.
const (
	// NoLimit grants the retry.
	NoLimit Limit = ""
	// LimitAfterStart applies to a process that does not know what its predecessor used.
	LimitAfterStart Limit = "after_start"
	// LimitMigrations is the share of the budget for runs that could stay on their upstream.
	LimitMigrations Limit = "migrations"
	// LimitShare is this VM's share of what remains of the budget.
	LimitShare Limit = "share"
)

// Take takes one retry from the budget if that is possible, and returns the limit that denies it
// otherwise. migration is set for a run that could stay on its upstream. random is a random number
// in [0, 1).
func (p *SharedBudget) Take(now time.Time, migration bool, random float64) Limit {
	own, recentGrants := p.Usage(now), p.recentlyGranted(now)
	all := own
	for id, u := range p.remoteUsage {
		if now.Sub(u.receivedAt) > p.cfg.Window {
			delete(p.remoteUsage, id)
			continue
		}
		all.add(u.Usage)
	}
	recentVMs := float64(max(p.cfg.RecentVMs, p.cfg.ReachableVMs, 1))
	budget := safetyFactor * (p.cfg.Ratio*all.Requests + p.cfg.Slack*float64(max(p.cfg.ReachableVMs, 1))/recentVMs)
	switch {
	case p.cfg.RecentlyStarted && own.Granted+1 > safetyFactor*p.cfg.Ratio*own.Requests:
		return LimitAfterStart
	case migration && all.Migrations+1 > p.cfg.MigrationShare*budget:
		return LimitMigrations
	case !p.takeFromShare(now, recentGrants, (budget-(all.Granted-recentGrants))/float64(max(p.cfg.ReachableVMs, 1)), random):
		return LimitShare
	}
	slot := p.advance(now)
	slot.Granted++
	if migration {
		slot.Migrations++
	}
	return NoLimit
}

// takeFromShare reports whether one more retry is granted from this VM's share of the remaining
// budget. If it exceeds the share and nothing was granted recently, a random draw decides, at
// most once per propagation time; it succeeds with a probability equal to the share.
func (p *SharedBudget) takeFromShare(now time.Time, recentGrants, share, random float64) bool {
	if recentGrants+1 <= share {
		return true
	}
	if recentGrants > 0 || now.Sub(p.lastDrawAt) < p.cfg.PropagationTime {
		return false
	}
	p.lastDrawAt = now
	return random < share
}

// vmRetention is how long VMs that can no longer be reached still count. A VM behind a
// network partition reaches no other VM, while all of them may still be running and using
// the budget.
const vmRetention = time.Minute

// PeakVMs tracks the number of VMs that may be using a budget: the highest number of reachable
// VMs. Once that number is older than vmRetention, the current one replaces it.
type PeakVMs struct {
	highest   int
	highestAt time.Time
}

// Update records the number of VMs that can be reached now and returns the number that may be
// using the budget.
func (p *PeakVMs) Update(now time.Time, vms int) int {
	if vms >= p.highest || now.Sub(p.highestAt) > vmRetention {
		p.highest, p.highestAt = vms, now
	}
	return p.highest
}
