package replica

import (
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
)

// proposal is a record that this VM appends to the log.
type proposal struct {
	id    record.ID
	data  []byte
	phase phase
	// sent is set when an append of the record starts, and cleared when the log
	// refuses that append, unless maybeCovered is set.
	sent bool
	// abandoned is set when no caller waits for the verdict any longer.
	abandoned bool
	snapshot  bool
	// internal is set for records that the replica proposes itself.
	internal bool
	// maybeCovered is set when a restored snapshot may cover the record. A void
	// verdict on a repeated append then doesn't tell whether the first append was
	// valid.
	maybeCovered bool
}

// Propose queues a record. A DecidedAction with its verdict follows once the
// record is read back.
func (r *Replica) Propose(id record.ID, data []byte, now time.Time) []Action {
	r.proposals = append(r.proposals, &proposal{id: id, data: data})
	return r.flush(now)
}

// Abandon handles a caller that stopped waiting for a proposal. A proposal that was
// never sent to the log is dropped. A claim that is or becomes valid is closed as
// not run, so its call must not be sent to the service afterwards.
func (r *Replica) Abandon(id record.ID, now time.Time) []Action {
	for i, p := range r.proposals {
		if p.id != id {
			continue
		}
		p.abandoned = true
		if !p.sent && p.phase == phaseQueued {
			r.remove(i)
			r.emit(UndecidedAction{ID: id})
			return r.flush(now)
		}
		r.abandonedAt[id] = now
		r.emit(UndecidedAction{ID: id, Sent: true})
		return r.flush(now)
	}
	r.closeUnsentClaim(id)
	return r.flush(now)
}

// closeUnsentClaim queues a done record for a pending claim whose call was never sent
// to the service.
func (r *Replica) closeUnsentClaim(claimID record.ID) {
	delete(r.abandonedAt, claimID)
	if !r.state.Claims.IsPending(claimID) {
		return
	}
	id := r.cfg.NewID()
	data, err := record.Encode(record.Record{ID: id, Kind: record.KindDone, Done: &record.Done{Claim: claimID, NotRun: true}})
	if err == nil {
		r.proposals = append(r.proposals, &proposal{id: id, data: data, internal: true})
	}
}

// remove removes the proposal at index i and leaves the old slice unchanged.
func (r *Replica) remove(i int) { r.proposals = append(r.proposals[:i:i], r.proposals[i+1:]...) }

func (r *Replica) hasQueued() bool {
	for _, p := range r.proposals {
		if p.phase == phaseQueued {
			return true
		}
	}
	return false
}

// startAppend starts an append of the queued proposals when none is in flight and
// the interval has passed.
func (r *Replica) startAppend(now time.Time) {
	if r.appendInFlight || now.Before(r.lastAppendStart.Add(r.appendInterval)) {
		return
	}
	var batch [][]byte
	size := 0
	for _, p := range r.proposals {
		if p.phase != phaseQueued {
			continue
		}
		if len(batch) > 0 && (len(batch) >= r.params.BatchRecords || size+len(p.data) > maxBatchBytes) {
			break
		}
		p.phase, p.sent = phaseInFlight, true
		batch = append(batch, p.data)
		size += len(p.data)
	}
	if len(batch) == 0 {
		return
	}
	r.appendInFlight, r.lastAppendStart = true, now
	r.emit(AppendAction{Records: batch})
}

// AppendDone handles the result of the append in flight.
func (r *Replica) AppendDone(err error, now time.Time) []Action {
	r.appendInFlight = false
	r.appendsDone++
	switch {
	case err == nil:
		r.raiseAppendRate()
		r.finishInFlight(phaseAppended, true)
		r.readRequested = true
		r.setLogUp(true, nil)
	case errors.Is(err, infra.ErrRateLimited):
		// Back off by 1.5. A factor of 2 kept VMs synchronized, so that one of them
		// was refused repeatedly.
		r.appendInterval = min(maxAppendInterval, max(r.appendInterval, time.Millisecond)*3/2)
		r.finishInFlight(phaseQueued, false)
	default:
		r.finishInFlight(phaseUnknown, true)
		r.readRequested = true
		r.setLogUp(false, err)
	}
	return r.flush(now)
}

// raiseAppendRate raises the append rate by appendRateGrowth for the length of the
// interval that just passed. Because growth depends on time, not on the number of
// appends, VMs that share a limit converge to the same rate. With growth per append,
// a refused VM had to wait for seconds.
func (r *Replica) raiseAppendRate() {
	seconds := r.appendInterval.Seconds()
	faster := time.Duration(seconds / (1 + appendRateGrowth*seconds*seconds) * float64(time.Second))
	r.appendInterval = max(r.params.BatchInterval, faster)
}

// finishInFlight moves the proposals of the append in flight to their next phase. sent
// reports whether the append may have taken effect.
func (r *Replica) finishInFlight(to phase, sent bool) {
	for _, p := range r.proposals {
		switch {
		case p.phase != phaseInFlight:
		case p.maybeCovered && to == phaseAppended:
			p.phase = phaseUnknown
		default:
			p.phase, p.sent = to, sent || p.maybeCovered
		}
	}
}

func (r *Replica) setLogUp(up bool, err error) {
	if up == r.logUp {
		return
	}
	r.logUp = up
	r.emit(LogAction{Available: up, Err: err})
}

// reconcileRestored handles the proposals whose records a restored snapshot may
// cover. A claim that is pending in the restored state is valid. The other records
// are appended again with the same identity.
func (r *Replica) reconcileRestored() {
	kept := r.proposals[:0:0]
	for _, p := range r.proposals {
		if p.sent && r.state.Claims.IsPending(p.id) {
			r.emitVerdict(p, Verdict{ID: p.id, Offset: r.state.Offset})
			continue
		}
		p.maybeCovered = p.maybeCovered || p.sent
		if p.phase == phaseAppended || p.phase == phaseUnknown {
			p.phase = phaseQueued
		}
		kept = append(kept, p)
	}
	r.proposals = kept
}

// resolve removes the proposal of a record that was read and emits its verdict.
func (r *Replica) resolve(id record.ID, v Verdict) {
	for i, p := range r.proposals {
		if p.id != id {
			continue
		}
		r.remove(i)
		r.emitVerdict(p, v)
		return
	}
}

// emitVerdict emits the verdict on a proposal, unless no caller waits for it.
func (r *Replica) emitVerdict(p *proposal, v Verdict) {
	switch {
	case p.abandoned, p.internal:
	case p.maybeCovered && !v.Valid():
		r.emit(UndecidedAction{ID: p.id, Sent: true})
	default:
		r.emit(DecidedAction{Verdict: v})
	}
}

// requeueMissing queues, with the same identity, the proposals whose append had an
// unknown result and whose records are missing from the stream. It acts only after a
// read that started after the last append ended and that reached the end of the
// stream. An abandoned proposal is dropped instead: if its record still appears as
// a valid claim, the entry in abandonedAt makes the replica close it.
func (r *Replica) requeueMissing() {
	if r.appendsDoneAtReadStart != r.appendsDone {
		return
	}
	kept := r.proposals[:0:0]
	for _, p := range r.proposals {
		if p.phase == phaseUnknown && p.abandoned {
			continue
		}
		if p.phase == phaseUnknown {
			p.phase = phaseQueued
		}
		kept = append(kept, p)
	}
	r.proposals = kept
}
