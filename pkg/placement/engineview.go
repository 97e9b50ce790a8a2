package placement

import (
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// engineView is Owner's state for one engine.
type engineView struct {
	engine Engine
	state  upstream.EngineState
	// reportedInTerm is set once the engine has reported in this term.
	// reportedSinceOrder is set once a state read that began after the answer to
	// the last order has returned.
	reportedInTerm, reportedSinceOrder bool
	requestedAt                        time.Time // start of the last state read
	stateRequestedAt                   time.Time // start of the read that returned state

	failingSince  time.Time // zero while the engine answers
	lost          bool
	losses        int
	recoveredAt   time.Time
	holdDownUntil time.Time

	// intended is the assignment of the last order, or the reported one if no order
	// was sent in this term or since the engine restarted or recovered.
	intended upstream.Assignment
	// wanted is the assignment of the plan.
	wanted            upstream.Assignment
	inFlight          bool
	fencedInTerm      bool // an order of this term was sent
	orderedAt         time.Time
	reassignCheckedAt time.Time // last check by mayReassign
	answeredAt        time.Time
	loadEndsAt        time.Time // expected end of the load that was ordered
}

// resetForTerm discards what earlier terms recorded about reports and orders.
func (v *engineView) resetForTerm() {
	v.reportedInTerm, v.reportedSinceOrder, v.inFlight, v.fencedInTerm = false, false, false, false
	v.orderedAt, v.answeredAt, v.loadEndsAt = time.Time{}, time.Time{}, time.Time{}
	v.requestedAt = time.Time{}
	v.failingSince = time.Time{}
}

// healthy reports whether the engine answers and is not leaving.
func (v *engineView) healthy() bool {
	return v.reportedInTerm && !v.lost && v.failingSince.IsZero() && !v.state.Leaving
}

// usable reports whether plans may include the engine.
func (v *engineView) usable(now time.Time) bool {
	return v.reportedInTerm && !v.lost && !v.state.Leaving && !now.Before(v.holdDownUntil) && !v.engine.Unavailable
}

// needsFrequentReads reports whether the engine's state is to be read more
// often: it fails, loads, or has not reported since the last order.
func (v *engineView) needsFrequentReads() bool {
	return !v.failingSince.IsZero() || v.inFlight || !v.reportedSinceOrder || v.state.Loading
}

// confirmedServing reports whether the engine is certain to serve its intended
// assignment: a report that was requested at least the report lag after the
// answer to the last order shows that assignment, fully loaded.
func (v *engineView) confirmedServing(lag time.Duration) bool {
	return v.healthy() && !v.inFlight && v.reportedSinceOrder && !v.state.Loading &&
		!v.stateRequestedAt.Before(v.answeredAt.Add(lag)) &&
		v.intended.Role == upstream.RoleServe && sameAssignment(v.state.Assignment, v.intended)
}

// possiblyServing reports whether the engine was loading its intended assignment
// when it last reported. Since reports lag, it may already serve it.
func (v *engineView) possiblyServing() bool {
	return v.healthy() && v.state.Loading && sameAssignment(v.state.Assignment, v.intended)
}

// confirmedNotServing reports whether the engine is certain not to serve its
// intended assignment: it is not healthy, or a report that was requested at
// least the report lag after the answer to the last order shows another
// assignment or a load.
func (v *engineView) confirmedNotServing(lag time.Duration) bool {
	if !v.healthy() {
		return true
	}
	fresh := !v.inFlight && v.reportedSinceOrder && !v.stateRequestedAt.Before(v.answeredAt.Add(lag))
	return fresh && (v.state.Loading || !sameAssignment(v.state.Assignment, v.intended))
}

// loading reports whether the engine is healthy but not yet confirmed to serve
// the range that it was ordered to load.
func (v *engineView) loading(lag time.Duration) bool {
	return v.healthy() && v.intended.Role == upstream.RoleServe && !v.confirmedServing(lag)
}

// contradictsOrder reports whether the last report was requested at least the
// report lag after the answer to the last order and shows another assignment.
func (v *engineView) contradictsOrder(lag time.Duration) bool {
	return v.reportedSinceOrder && !v.stateRequestedAt.Before(v.answeredAt.Add(lag)) &&
		!sameAssignment(v.state.Assignment, v.intended)
}

// onStateRead updates an engine's state from a report. Reports that are older
// than the last one are ignored.
func (o *Owner) onStateRead(now time.Time, e StateRead) {
	v := o.engines[e.State.Upstream]
	if v == nil || e.RequestedAt.Before(v.stateRequestedAt) {
		return
	}
	restarted := v.reportedInTerm && e.State.Incarnation != v.state.Incarnation
	leavingChanged := e.State.Leaving != v.state.Leaving
	recovered := v.lost
	v.state = e.State
	v.stateRequestedAt = e.RequestedAt
	v.failingSince = time.Time{}
	if !v.inFlight && !e.RequestedAt.Before(v.answeredAt) {
		v.reportedSinceOrder = true
	}
	if !v.reportedInTerm {
		v.reportedInTerm = true
		v.intended = e.State.Assignment
		v.intended.Role = normalRole(v.intended.Role)
		v.wanted = v.intended
		// A load of an earlier owner may still run; it counts as active for up to
		// stuckLoadTimeout.
		v.loadEndsAt = now
		o.markDirty()
	}
	if restarted && !recovered {
		v.losses++
	}
	if recovered || restarted {
		o.engineRecovered(now, v)
	}
	if restarted || recovered {
		// A restarted engine has lost its assignment; continue from what it reports.
		v.intended = e.State.Assignment
		v.intended.Role = normalRole(v.intended.Role)
		v.wanted = v.intended
		o.markDirty()
	}
	if leavingChanged {
		o.markDirty()
	}
}

// engineRecovered ends a loss. From the second loss on, the engine is held down
// for a time that doubles with each loss, so that a flapping engine causes no
// loads.
func (o *Owner) engineRecovered(now time.Time, v *engineView) {
	v.lost = false
	v.recoveredAt = now
	if v.losses < 2 {
		return
	}
	hold := o.config.HoldDown
	for n := 2; n < v.losses && hold < o.config.MaxHoldDown; n++ {
		hold *= 2
	}
	v.holdDownUntil = now.Add(min(hold, o.config.MaxHoldDown))
}

// onStateFailed records when an engine began to fail.
func (o *Owner) onStateFailed(now time.Time, id fleet.UpstreamID) {
	v := o.engines[id]
	if v != nil && v.failingSince.IsZero() {
		v.failingSince = now
	}
}

// confirmLoss marks an engine as lost. Plans do not include an engine that is
// held down, so its loss needs no new plan.
func (o *Owner) confirmLoss(now time.Time, id fleet.UpstreamID, v *engineView) {
	v.lost = true
	v.inFlight = false
	if v.reportedInTerm {
		v.losses++
	}
	if now.Before(v.holdDownUntil) {
		return
	}
	o.markDirty()
	o.logEvent(event.PlacementEngineLost, id, "")
}

// tickHealth ends overdue order calls, confirms losses, ends hold-downs, and
// resets the loss count of engines that stayed up for MaxHoldDown.
func (o *Owner) tickHealth(now time.Time) {
	for _, id := range o.engineIDs {
		v := o.engines[id]
		if v.inFlight && now.Sub(v.orderedAt) >= 2*o.config.OrderTimeout {
			v.inFlight = false
			v.answeredAt = now
		}
		if !v.lost && !v.failingSince.IsZero() && now.Sub(v.failingSince) >= o.config.LossConfirm {
			o.confirmLoss(now, id, v)
		}
		if !v.lost && !v.holdDownUntil.IsZero() && !now.Before(v.holdDownUntil) {
			v.holdDownUntil = time.Time{}
			o.markDirty()
		}
		if v.losses > 0 && !v.lost && v.holdDownUntil.IsZero() && now.Sub(v.recoveredAt) >= o.config.MaxHoldDown {
			v.losses = 0
		}
	}
}
