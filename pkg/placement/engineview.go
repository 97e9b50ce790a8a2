package placement

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// engineView is what Owner knows of one engine.
type engineView struct {
	engine Engine
	state  upstream.EngineState
	// heard is set once the engine reported in this tenure; reported once it
	// reported after the last order.
	heard, reported bool
	askedAt         time.Time // last state read
	stateAskedAt    time.Time // start of the read that gave state

	failingSince time.Time // zero while the engine answers
	lost         bool
	losses       int
	returnedAt   time.Time
	heldUntil    time.Time

	// intended is what the engine was last told, or reported before any order.
	intended upstream.Assignment
	// wanted is the plan's assignment.
	wanted     upstream.Assignment
	inFlight   bool
	fenced     bool // an order of this tenure went out
	orderedAt  time.Time
	triedAt    time.Time // last check whether the engine may be taken
	answeredAt time.Time
	loadEnds   time.Time // expected end of the load that was ordered
}

func (v *engineView) startTenure() {
	v.heard, v.reported, v.inFlight, v.fenced = false, false, false, false
	v.orderedAt, v.answeredAt, v.loadEnds = time.Time{}, time.Time{}, time.Time{}
	v.askedAt = time.Time{}
	v.failingSince = time.Time{}
}

// healthy reports whether the engine answers and stays.
func (v *engineView) healthy() bool {
	return v.heard && !v.lost && v.failingSince.IsZero() && !v.state.Leaving
}

// usable reports whether the planner may count on the engine.
func (v *engineView) usable(now time.Time) bool {
	return v.heard && !v.lost && !v.state.Leaving && !now.Before(v.heldUntil) && !v.engine.Unavailable
}

// busy reports whether the engine is read more often: it fails, loads, or has a fresh order.
func (v *engineView) busy() bool {
	return !v.failingSince.IsZero() || v.inFlight || !v.reported || v.state.Loading
}

// serves reports whether the engine certainly serves what it was told: a
// report from after the last order says so and it is no longer loading.
func (v *engineView) serves(lag time.Duration) bool {
	return v.healthy() && !v.inFlight && v.reported && !v.state.Loading &&
		!v.stateAskedAt.Before(v.answeredAt.Add(lag)) &&
		v.intended.Role == upstream.RoleServe && equal(v.state.Assignment, v.intended)
}

// almostServes reports whether the engine loads what it was told. Since reports
// lag, it may serve by now.
func (v *engineView) almostServes() bool {
	return v.healthy() && v.state.Loading && equal(v.state.Assignment, v.intended)
}

// notServing reports whether the engine certainly does not serve what it was told:
// a report from after the last order says so.
func (v *engineView) notServing(lag time.Duration) bool {
	if !v.healthy() {
		return true
	}
	fresh := !v.inFlight && v.reported && !v.stateAskedAt.Before(v.answeredAt.Add(lag))
	return fresh && (v.state.Loading || !equal(v.state.Assignment, v.intended))
}

// loading reports whether a load that was ordered has not ended.
func (v *engineView) loading(lag time.Duration) bool {
	return v.healthy() && v.intended.Role == upstream.RoleServe && !v.serves(lag)
}

// differs reports whether the newest report contradicts what the engine was told.
func (v *engineView) differs(lag time.Duration) bool {
	return v.reported && !v.stateAskedAt.Before(v.answeredAt.Add(lag)) &&
		!equal(v.state.Assignment, v.intended)
}

func (o *Owner) readState(now time.Time, e StateRead) {
	v := o.engines[e.State.Upstream]
	if v == nil || e.AskedAt.Before(v.stateAskedAt) {
		return
	}
	restarted := v.heard && e.State.Incarnation != v.state.Incarnation
	left := e.State.Leaving != v.state.Leaving
	back := v.lost
	v.state = e.State
	v.stateAskedAt = e.AskedAt
	v.failingSince = time.Time{}
	if !v.inFlight && !e.AskedAt.Before(v.answeredAt) {
		v.reported = true
	}
	if !v.heard {
		v.heard = true
		v.intended = e.State.Assignment
		v.intended.Role = normalRole(v.intended.Role)
		v.wanted = v.intended
		v.loadEnds = now // an earlier owner's load may still run for stuckAfter
		o.markDirty()
	}
	if restarted && !back {
		v.losses++
	}
	if back || restarted {
		o.engineBack(now, v)
	}
	if restarted || back {
		// A restarted engine holds nothing; what it reports is the new start.
		v.intended = e.State.Assignment
		v.intended.Role = normalRole(v.intended.Role)
		v.wanted = v.intended
		o.markDirty()
	}
	if left {
		o.markDirty()
	}
}

// engineBack ends a loss. From the second loss on the engine is held down, for
// longer each time, so that an engine that comes and goes causes no loads.
func (o *Owner) engineBack(now time.Time, v *engineView) {
	v.lost = false
	v.returnedAt = now
	if v.losses < 2 {
		return
	}
	hold := o.config.HoldDown
	for n := 2; n < v.losses && hold < o.config.MaxHoldDown; n++ {
		hold *= 2
	}
	v.heldUntil = now.Add(min(hold, o.config.MaxHoldDown))
}

func (o *Owner) stateFailed(now time.Time, id fleet.UpstreamID) {
	v := o.engines[id]
	if v != nil && v.failingSince.IsZero() {
		v.failingSince = now
	}
}

// loseEngine confirms a loss. The plan does not count on an engine that is
// held down, so its loss changes nothing.
func (o *Owner) loseEngine(now time.Time, id fleet.UpstreamID, v *engineView) {
	v.lost = true
	v.inFlight = false
	if v.heard {
		v.losses++
	}
	if now.Before(v.heldUntil) {
		return
	}
	o.markDirty()
	o.note(event.PlacementEngineLost, id, "")
}

// tickHealth confirms losses and ends hold-downs.
func (o *Owner) tickHealth(now time.Time) {
	for _, id := range o.order {
		v := o.engines[id]
		if v.inFlight && now.Sub(v.orderedAt) >= 2*o.config.OrderTimeout {
			v.inFlight = false
			v.answeredAt = now
		}
		if !v.lost && !v.failingSince.IsZero() && now.Sub(v.failingSince) >= o.config.LossConfirm {
			o.loseEngine(now, id, v)
		}
		if !v.lost && !v.heldUntil.IsZero() && !now.Before(v.heldUntil) {
			v.heldUntil = time.Time{}
			o.markDirty()
		}
		if v.losses > 0 && !v.lost && v.heldUntil.IsZero() && now.Sub(v.returnedAt) >= o.config.MaxHoldDown {
			v.losses = 0
		}
	}
}
