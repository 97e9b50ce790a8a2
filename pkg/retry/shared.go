package retry

import (
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Shared is a budget that all entry VMs hold together: in any window the repeats
// for an upstream service are at most Ratio times its requests plus Slack.
type Shared struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Use is what one VM did within the last window.
type Use struct {
	// Granted are the repeats, Moves those of them for runs that could have stayed.
	Granted  float64
	Moves    float64
	Requests float64
}

func (u *Use) add(v Use) {
	u.Granted += v.Granted
	u.Moves += v.Moves
	u.Requests += v.Requests
}

// PoolConfig holds the limits of a Pool.
type PoolConfig struct {
	Shared
	// VMs is the number of VMs that may hold the budget, Heard that of those heard now,
	// this one included. VMs that do not hear each other divide the budget.
	VMs   int
	Heard int
	// Settle is the time in which all VMs have heard of a repeat.
	Settle time.Duration
	// Fresh is set until the process is older than the window: its predecessor may have
	// used the budget, so that only what its own requests earn is granted.
	Fresh bool
	// MoveShare is the part of the budget that moves may use.
	MoveShare float64
}

// Pool is this VM's view of a budget that all VMs draw from. It is pure and not safe for
// concurrent use.
//
// Invariant: between two rounds of news, each of n VMs takes at most one nth of what is
// left by the grants that all know of. Together they take no more than that, whoever
// needs it, and a VM whose streams break all at once gets most of it within some rounds.
type Pool struct {
	cfg    PoolConfig
	slots  [slots]Use
	head   int64 // number of the newest slot
	epoch  time.Time
	others map[source]heardUse
	// lucky is when a part smaller than one repeat was last drawn for by chance.
	lucky time.Time
}

// source is one process of a VM: what an ended one granted counts on.
type source struct {
	vm      fleet.VMID
	started int64
}

type heardUse struct {
	Use
	at time.Time
}

const (
	// slots divide the window. One slot more is kept, so that a repeat counts for the
	// whole of it.
	slots = 101
	// safety is the part of the budget that is given out: the platform counts requests
	// and repeats at moments that differ from ours by the time on the way.
	safety = 0.85
)

// NewPool returns a pool from which nothing was taken.
func NewPool(cfg PoolConfig, now time.Time) *Pool {
	return &Pool{cfg: cfg, epoch: now, others: make(map[source]heardUse)}
}

// SetConfig replaces the limits and keeps what was taken.
func (p *Pool) SetConfig(cfg PoolConfig) { p.cfg = cfg }

func (p *Pool) width() time.Duration { return max(p.cfg.Window/(slots-1), time.Millisecond) }

// slot returns the slot of now and clears those that passed since the last call.
func (p *Pool) slot(now time.Time) *Use {
	n := max(int64(now.Sub(p.epoch)/p.width()), p.head)
	for i := max(p.head+1, n-slots+1); i <= n; i++ {
		p.slots[i%slots] = Use{}
	}
	p.head = n
	return &p.slots[n%slots]
}

// Request books a request for the service.
func (p *Pool) Request(now time.Time) { p.slot(now).Requests++ }

// Use returns what this VM did within the window, for the other VMs.
func (p *Pool) Use(now time.Time) Use {
	p.slot(now)
	var sum Use
	for i := range p.slots {
		sum.add(p.slots[i])
	}
	return sum
}

// recent returns what was granted within the settling time.
func (p *Pool) recent(now time.Time) float64 {
	p.slot(now)
	granted := 0.0
	for i := range min(int64(p.cfg.Settle/p.width())+1, slots) {
		if n := p.head - i; n >= 0 {
			granted += p.slots[n%slots].Granted
		}
	}
	return granted
}

// Heard takes in what another VM did. started names its process.
func (p *Pool) Heard(now time.Time, vm fleet.VMID, started int64, u Use) {
	p.others[source{vm, started}] = heardUse{Use: u, at: now}
}

// Allow takes one repeat. move says that the run could stay where it is; random is in
// [0, 1).
func (p *Pool) Allow(now time.Time, move bool, random float64) bool {
	own, recent := p.Use(now), p.recent(now)
	all := own
	for s, u := range p.others {
		if now.Sub(u.at) > p.cfg.Window {
			delete(p.others, s)
			continue
		}
		all.add(u.Use)
	}
	vms := float64(max(p.cfg.VMs, p.cfg.Heard, 1))
	allowance := safety * (p.cfg.Ratio*all.Requests + p.cfg.Slack*float64(max(p.cfg.Heard, 1))/vms)
	switch {
	case p.cfg.Fresh && own.Granted+1 > safety*p.cfg.Ratio*own.Requests:
		return false
	case move && all.Moves+1 > p.cfg.MoveShare*allowance:
		return false
	case !p.within(now, recent, (allowance-(all.Granted-recent))/float64(max(p.cfg.Heard, 1)), random):
		return false
	}
	slot := p.slot(now)
	slot.Granted++
	if move {
		slot.Moves++
	}
	return true
}

// within reports whether one more repeat fits into this VM's part of what is left. A part
// below one repeat is drawn for once in a settling time.
func (p *Pool) within(now time.Time, recent, part, random float64) bool {
	if recent+1 <= part {
		return true
	}
	if recent > 0 || now.Sub(p.lucky) < p.cfg.Settle {
		return false
	}
	p.lucky = now
	return random < part
}

// vmsRemembered is how long VMs that are no longer heard still hold their part: a
// VM behind a partition sees no other one, while all of them may be at work.
const vmsRemembered = time.Minute

// Holders counts the VMs among which a budget is divided.
type Holders struct {
	most int
	at   time.Time
}

// Seen notes how many VMs are known and returns among how many the budget is divided.
func (h *Holders) Seen(now time.Time, vms int) int {
	if vms >= h.most || now.Sub(h.at) > vmsRemembered {
		h.most, h.at = vms, now
	}
	return h.most
}
