package placement

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/record"
)

// leaseState is Owner's view of the lease. The holder counts its lease from the
// time it sent the record, the other VMs from the later time they read it, so
// the holder stops before another VM takes over.
type leaseState struct {
	epoch             uint64
	lastRecordAt      time.Time
	pending           map[record.ID]time.Time // send times of the VM's own records
	lastAppendAt      time.Time
	holding           bool
	expiresAt         time.Time // end of the VM's own lease
	renewAt           time.Time
	unfencedFrom      time.Time // start of orders to engines that ignore fencing
	hadPreviousHolder bool
}

// clockSkewDivisor sets how much earlier than the lease period the holder stops:
// a twentieth of the period, which allows for clocks that run at different speeds.
const clockSkewDivisor = 20

// validAt reports whether the VM holds the lease and may issue orders.
func (l *leaseState) validAt(now time.Time) bool { return l.holding && now.Before(l.expiresAt) }

// onLeaseRead starts, renews or ends the VM's own lease. Only a record that this
// Owner appended since the previous lease record starts or renews it; any other
// record ends it.
func (o *Owner) onLeaseRead(now time.Time, e LeaseRead) {
	l := &o.leaseState
	if e.Epoch <= l.epoch {
		return
	}
	l.epoch = e.Epoch
	l.lastRecordAt = now
	sent, own := l.pending[e.ID]
	clear(l.pending)
	if !own {
		if l.holding {
			o.logEvent(event.PlacementLeaseLost, "", "holder "+string(e.Holder))
		}
		l.holding = false
		l.hadPreviousHolder = true
		return
	}
	wasHolding := l.holding
	l.holding = true
	l.expiresAt = sent.Add(o.config.LeasePeriod - o.config.LeasePeriod/clockSkewDivisor)
	l.renewAt = sent.Add(o.config.LeasePeriod / 3)
	if !wasHolding {
		o.beginTerm(now)
	}
}

// beginTerm starts a term as the lease holder. It discards what earlier terms
// recorded about the engines, since other VMs may have issued orders meanwhile.
func (o *Owner) beginTerm(now time.Time) {
	l := &o.leaseState
	l.unfencedFrom = now
	if l.hadPreviousHolder {
		// A former holder that was paused may still issue orders until its lease
		// ends by its own clock.
		l.unfencedFrom = now.Add(o.config.LeasePeriod)
	}
	o.logEvent(event.PlacementLeaseTaken, "", "")
	o.planInFlight = false
	o.planned = false
	o.markDirty()
	o.generation++
	o.storeFreeAt = now
	for _, v := range o.engines {
		v.resetForTerm()
	}
}

// tickLease ends an expired lease, renews the VM's own lease and claims a free one.
func (o *Owner) tickLease(now time.Time) {
	l := &o.leaseState
	if l.holding && !now.Before(l.expiresAt) {
		l.holding = false
		l.hadPreviousHolder = true
		o.logEvent(event.PlacementLeaseLost, "", "lease ended without renewal")
	}
	if now.Sub(l.lastAppendAt) < o.config.LeasePeriod/6 {
		return
	}
	if l.holding {
		if !now.Before(l.renewAt) {
			o.appendLease(now)
		}
		return
	}
	wait := o.config.TakeoverDelay
	if l.epoch > 0 {
		wait += o.config.LeasePeriod
	}
	if !o.resigned && now.Sub(l.lastRecordAt) >= wait {
		o.appendLease(now)
	}
}

// appendLease appends a lease record based on the last epoch read. Only the first
// record for an epoch takes effect.
func (o *Owner) appendLease(now time.Time) {
	l := &o.leaseState
	id := o.config.NewID()
	l.pending[id] = now
	l.lastAppendAt = now
	o.emit(AppendLease{record.Record{
		ID: id, Kind: record.KindLease,
		Lease: &record.Lease{Resource: o.config.Resource, Holder: o.config.Self, Base: l.epoch},
	}})
}
