package placement

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/record"
)

// tenure is Owner's view of the lease. A lease record counts from the moment
// it was sent, by the sender's clock, so the holder always ends before others begin.
type tenure struct {
	epoch     uint64
	lastSeen  time.Time
	pending   map[record.ID]time.Time // own records, by the time they were sent
	sentAt    time.Time               // of the last append
	holding   bool
	end       time.Time // of the own lease
	renewAt   time.Time
	openAt    time.Time // from when engines that ignore fencing may be ordered
	hadHolder bool
}

// clockMargin is the part of the lease period by which the holder stops early,
// for clocks of unequal speed.
const clockMargin = 20

// held reports whether orders may be given.
func (t *tenure) held(now time.Time) bool { return t.holding && now.Before(t.end) }

// readLease takes over or gives up the ownership as the log says.
func (o *Owner) readLease(now time.Time, e LeaseRead) {
	t := &o.tenure
	if e.Epoch <= t.epoch {
		return
	}
	t.epoch = e.Epoch
	t.lastSeen = now
	sent, own := t.pending[e.ID]
	clear(t.pending)
	if !own {
		if t.holding {
			o.note(event.PlacementLeaseLost, "", "holder "+string(e.Holder))
		}
		t.holding = false
		t.hadHolder = true
		return
	}
	wasHolding := t.holding
	t.holding = true
	t.end = sent.Add(o.config.LeasePeriod - o.config.LeasePeriod/clockMargin)
	t.renewAt = sent.Add(o.config.LeasePeriod / 3)
	if !wasHolding {
		o.takeOver(now)
	}
}

// takeOver starts a tenure: nothing that an earlier tenure knew is trusted.
func (o *Owner) takeOver(now time.Time) {
	t := &o.tenure
	t.openAt = now
	if t.hadHolder {
		// A paused former holder may act until its lease ends by its own clock.
		t.openAt = now.Add(o.config.LeasePeriod)
	}
	o.note(event.PlacementLeaseTaken, "", "")
	o.planInFlight = false
	o.planned = false
	o.markDirty()
	o.generation++
	o.storeFreeAt = now
	for _, v := range o.engines {
		v.startTenure()
	}
}

// tickLease appends lease records: renewals, and the first one when nobody holds the lease.
func (o *Owner) tickLease(now time.Time) {
	t := &o.tenure
	if t.holding && !now.Before(t.end) {
		t.holding = false
		t.hadHolder = true
		o.note(event.PlacementLeaseLost, "", "lease ended without renewal")
	}
	if now.Sub(t.sentAt) < o.config.LeasePeriod/6 {
		return
	}
	if t.holding {
		if !now.Before(t.renewAt) {
			o.appendLease(now)
		}
		return
	}
	wait := o.config.TakeoverDelay
	if t.epoch > 0 {
		wait += o.config.LeasePeriod
	}
	if !o.leaving && now.Sub(t.lastSeen) >= wait {
		o.appendLease(now)
	}
}

func (o *Owner) appendLease(now time.Time) {
	t := &o.tenure
	id := o.config.NewID()
	t.pending[id] = now
	t.sentAt = now
	o.act(AppendLease{record.Record{
		ID: id, Kind: record.KindLease,
		Lease: &record.Lease{Resource: o.config.Resource, Holder: o.config.Self, Base: t.epoch},
	}})
}
