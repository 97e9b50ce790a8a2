package replica

import (
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/record"
)

// proposal is a record that this VM wants on the log.
type proposal struct {
	id    record.ID
	data  []byte
	phase phase
	// sent is set once any append of it was tried and not refused.
	sent bool
	// abandoned is set when nobody waits for the verdict any more.
	abandoned bool
	snapshot  bool
	// internal is set for records that the replica itself proposes.
	internal bool
	// skipped is set when a restored snapshot may cover the record: a void
	// verdict on a repetition then doesn't say what became of the first.
	skipped bool
}

// Propose queues a record. Its verdict follows once it is read back.
func (r *Replica) Propose(id record.ID, data []byte, now time.Time) []Action {
	r.proposals = append(r.proposals, &proposal{id: id, data: data})
	return r.flush(now)
}

// Abandon tells that nobody waits for a proposal any more. One that was never
// sent is dropped. A claim that is or becomes valid is closed as not run, so it
// must not be sent to the service afterwards.
func (r *Replica) Abandon(id record.ID, now time.Time) []Action {
	for i, p := range r.proposals {
		if p.id != id {
			continue
		}
		p.abandoned = true
		if !p.sent && p.phase == queued {
			r.remove(i)
			r.emit(UndecidedAction{ID: id})
			return r.flush(now)
		}
		r.givenUp[id] = now
		r.emit(UndecidedAction{ID: id, Sent: true})
		return r.flush(now)
	}
	r.closeNotRun(id)
	return r.flush(now)
}

// closeNotRun queues the done record of a claim that was never sent to the service.
func (r *Replica) closeNotRun(claimID record.ID) {
	delete(r.givenUp, claimID)
	if !r.state.Claims.IsOpen(claimID) {
		return
	}
	id := r.cfg.NewID()
	data, err := record.Encode(record.Record{ID: id, Kind: record.KindDone, Done: &record.Done{Claim: claimID, NotRun: true}})
	if err == nil {
		r.proposals = append(r.proposals, &proposal{id: id, data: data, internal: true})
	}
}

func (r *Replica) remove(i int) { r.proposals = append(r.proposals[:i:i], r.proposals[i+1:]...) }

func (r *Replica) hasQueued() bool {
	for _, p := range r.proposals {
		if p.phase == queued {
			return true
		}
	}
	return false
}

// startAppend starts the next append when none is in flight and the interval has passed.
func (r *Replica) startAppend(now time.Time) {
	if r.appending || now.Before(r.lastAppend.Add(r.interval)) {
		return
	}
	var batch [][]byte
	size := 0
	for _, p := range r.proposals {
		if p.phase != queued {
			continue
		}
		if len(batch) > 0 && (len(batch) >= r.p.BatchRecords || size+len(p.data) > maxBatchBytes) {
			break
		}
		p.phase, p.sent = inFlight, true
		batch = append(batch, p.data)
		size += len(p.data)
	}
	if len(batch) == 0 {
		return
	}
	r.appending, r.lastAppend = true, now
	r.emit(AppendAction{Records: batch})
}

// AppendDone gives the result of the append in flight.
func (r *Replica) AppendDone(err error, now time.Time) []Action {
	r.appending = false
	r.appendsDone++
	switch {
	case err == nil:
		r.speedUp()
		r.settle(appended, true)
		r.wantRead = true
		r.setLog(true, nil)
	case errors.Is(err, infra.ErrRateLimited):
		// A factor of 2 kept VMs in step, so that one of them was refused again and again.
		r.interval = min(maxInterval, max(r.interval, time.Millisecond)*3/2)
		r.settle(queued, false)
	default:
		r.settle(unknown, true)
		r.wantRead = true
		r.setLog(false, err)
	}
	return r.flush(now)
}

// speedUp raises the append rate by rateGrowth for the time that the interval
// lasted. Growing by time and not by append lets VMs that share a limit approach
// the same rate; with growth by append a refused VM waited for seconds.
func (r *Replica) speedUp() {
	seconds := r.interval.Seconds()
	faster := time.Duration(seconds / (1 + rateGrowth*seconds*seconds) * float64(time.Second))
	r.interval = max(r.p.BatchInterval, faster)
}

// settle moves the proposals of the append in flight to a phase.
func (r *Replica) settle(to phase, sent bool) {
	for _, p := range r.proposals {
		switch {
		case p.phase != inFlight:
		case p.skipped && to == appended:
			p.phase = unknown
		default:
			p.phase, p.sent = to, sent || p.skipped
		}
	}
}

func (r *Replica) setLog(up bool, err error) {
	if up == r.logUp {
		return
	}
	r.logUp = up
	r.emit(LogAction{Available: up, Err: err})
}

// resolveSkipped handles the proposals whose records may lie in the offsets that
// a snapshot skipped. A valid claim shows in the state. Others are appended again
// with the same identity.
func (r *Replica) resolveSkipped() {
	kept := r.proposals[:0:0]
	for _, p := range r.proposals {
		if p.sent && r.state.Claims.IsOpen(p.id) {
			r.decided(p, Verdict{ID: p.id, Offset: r.state.Offset})
			continue
		}
		p.skipped = p.skipped || p.sent
		if p.phase == appended || p.phase == unknown {
			p.phase = queued
		}
		kept = append(kept, p)
	}
	r.proposals = kept
}

// resolve decides the proposal of a record that was read.
func (r *Replica) resolve(id record.ID, v Verdict) {
	for i, p := range r.proposals {
		if p.id != id {
			continue
		}
		r.remove(i)
		r.decided(p, v)
		return
	}
}

// decided tells the verdict on an own proposal, unless nobody waits for it.
func (r *Replica) decided(p *proposal, v Verdict) {
	switch {
	case p.abandoned, p.internal:
	case p.skipped && !v.Valid():
		r.emit(UndecidedAction{ID: p.id, Sent: true})
	default:
		r.emit(DecidedAction{Verdict: v})
	}
}

// repeatMissing queues again, with the same identity, the proposals whose
// answer was lost and which a later read to the end of the stream didn't show.
// An abandoned one is dropped instead; should it still arrive, givenUp closes it.
func (r *Replica) repeatMissing() {
	if r.readStarted != r.appendsDone {
		return
	}
	kept := r.proposals[:0:0]
	for _, p := range r.proposals {
		if p.phase == unknown && p.abandoned {
			continue
		}
		if p.phase == unknown {
			p.phase = queued
		}
		kept = append(kept, p)
	}
	r.proposals = kept
}
