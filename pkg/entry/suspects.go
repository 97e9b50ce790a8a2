package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/result"
)

// suspects delivers the decisions of the quarantine tracker to request goroutines and
// its messages to the other VMs.
type suspects struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	waiting map[fleet.RequestID]chan quarantine.Action
	// avoidByRequest holds, for each request, the upstreams that run other suspected
	// requests.
	avoidByRequest map[fleet.RequestID][]fleet.UpstreamID
	send           func(quarantine.Message)
}

func newSuspects(cfg quarantine.Config, self fleet.VMID, send func(quarantine.Message)) *suspects {
	return &suspects{
		tracker: quarantine.New(cfg, self), send: send,
		waiting:        map[fleet.RequestID]chan quarantine.Action{},
		avoidByRequest: map[fleet.RequestID][]fleet.UpstreamID{},
	}
}

// admit waits until the generation may run. One that is not suspected is admitted at once.
func (q *suspects) admit(ctx context.Context, g *generation) (*quarantine.Fingerprint, error) {
	fingerprint := quarantine.NewFingerprint(g.team, g.request.Model, []byte(g.request.Prompt())).WithParts(g.request.SharedParts())
	return &fingerprint, q.admitRequest(ctx, g.id, &fingerprint)
}

// admitRequest waits until a request may run.
func (q *suspects) admitRequest(ctx context.Context, id fleet.RequestID, fingerprint *quarantine.Fingerprint) error {
	decided := make(chan quarantine.Action, 1)
	q.step(func(now time.Time) []quarantine.Action {
		q.waiting[id] = decided
		return q.tracker.Admit(now, id, fingerprint, nil)
	})
	select {
	case a := <-decided:
		if a.Kind == quarantine.Refuse {
			return result.New(a.Code, result.NotRun, "%s", suspectDetail(a.Code)).WithRetryAfter(a.RetryAfter)
		}
		return nil
	case <-ctx.Done():
		q.recordEnd(id, false)
		return result.New(result.CancelledByCaller, result.NotRun, "the caller left while the request was held back")
	}
}

func suspectDetail(code result.Code) string {
	if code == result.Quarantined {
		return "near-identical requests crashed the upstreams that ran them"
	}
	return "the request ran on an upstream that crashed and waited too long behind others like it"
}

// recordStart records the chain on which a request runs.
func (q *suspects) recordStart(id fleet.RequestID, f *quarantine.Fingerprint, chain []fleet.UpstreamID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RecordStart(time.Now(), id, f, append([]fleet.UpstreamID(nil), chain...))
}

// recordProgress records that the answer to a request has begun.
func (q *suspects) recordProgress(id fleet.RequestID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RecordProgress(id)
}

// recordEnd records the end of a request.
func (q *suspects) recordEnd(id fleet.RequestID, ok bool) {
	q.step(func(now time.Time) []quarantine.Action {
		delete(q.waiting, id)
		delete(q.avoidByRequest, id)
		return q.tracker.RecordEnd(now, id, ok, nil)
	})
}

// upstreamsToAvoid returns the upstreams that run other suspected requests.
func (q *suspects) upstreamsToAvoid(id fleet.RequestID) []fleet.UpstreamID {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.avoidByRequest[id]
}

// recordCrash records that an upstream crashed while it ran requests.
func (q *suspects) recordCrash(id quarantine.CrashID) {
	q.step(func(now time.Time) []quarantine.Action { return q.tracker.RecordCrash(now, id, nil) })
}

// handleMessage passes a message of another VM to the tracker.
func (q *suspects) handleMessage(m quarantine.Message) {
	q.step(func(now time.Time) []quarantine.Action { return q.tracker.Receive(now, m, nil) })
}

func (q *suspects) tick(vms []fleet.VMID) {
	q.step(func(now time.Time) []quarantine.Action {
		q.tracker.SetVMs(now, vms)
		return q.tracker.Tick(now, nil)
	})
}

// setConfig replaces the quarantine limits.
func (q *suspects) setConfig(cfg quarantine.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.SetConfig(cfg)
}

// step applies an event to the tracker and delivers the resulting actions.
func (q *suspects) step(event func(time.Time) []quarantine.Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range event(time.Now()) {
		if a.Kind == quarantine.Send {
			q.send(a.Message)
			continue
		}
		if decided, ok := q.waiting[a.Request]; ok {
			delete(q.waiting, a.Request)
			q.avoidByRequest[a.Request] = a.Avoid
			decided <- a // never blocks: the channel is buffered, and a request is decided once
		}
	}
}
