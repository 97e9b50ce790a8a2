package retry

import "time"

// Shared is a budget that all entry VMs hold together: in any window the repeats
// for an upstream are at most Ratio times its requests plus Slack.
type Shared struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safety is the part of the budget that is given out: VMs know of each other with a
// lag, and each keeps a fraction of a repeat from one window to the next.
const safety = 0.85

// burstShare is the part of the slack that is saved for the loss of a server,
// which breaks all streams through it at once.
const burstShare = 0.75

// Part returns the limits of one of several VMs, of which this budget gets a share.
// age is the time since the VM's process started. Until a whole window has passed,
// the VM may repeat only what its own requests earn: its process before may have
// used up its part of the slack, and it does not yet know how many VMs there are.
func (s Shared) Part(vms int, age time.Duration, share float64) Config {
	share *= safety
	c := Config{Ratio: share * s.Ratio, Burst: share * burstShare * s.Slack / float64(max(vms, 1))}
	if age < s.Window {
		c.Empty = true
		return c
	}
	// What is saved and what accrues over the window together do not exceed the slack.
	c.MinPerSecond = share * (1 - burstShare) * s.Slack / float64(max(vms, 1)) / max(s.Window.Seconds(), 1)
	return c
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
