package gateway

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/handover"
)

const (
	// admitShare is the fraction of the grace time in which a stopping VM still admits
	// requests, because callers keep addresses for up to three times addressTTL. For
	// generations, which take seconds and must end within the grace time, pkg/handover
	// decides.
	admitShare = 0.5
	// killReserve is the time between the exit of the process and the moment at which the
	// platform would kill it.
	killReserve = 700 * time.Millisecond
	// minDrainTime is how long a stopping VM keeps running even when idle, so that callers
	// with an older answer of the directory get a refusal, which is safe to retry, and not a
	// closed port.
	minDrainTime = 3200 * time.Millisecond
	// plainRejectBefore is how long before its exit a stopping VM rejects requests of plain
	// services although no other VM is ready for them. It is several times their service
	// time.
	plainRejectBefore = 700 * time.Millisecond
	// drainPollInterval is the interval at which a stopping VM checks whether it can exit.
	drainPollInterval = 50 * time.Millisecond
	// finalAnswersTimeout bounds the time for the final answers of the requests that the exit ends. It
	// is a part of killReserve.
	finalAnswersTimeout = 200 * time.Millisecond
)

// shutdown counts the requests in flight and tracks a planned stop of this VM. It is safe
// for concurrent use.
type shutdown struct {
	mu       sync.Mutex
	inFlight int
	// rejecting is set once no more requests are admitted.
	rejecting bool
	// stopState holds the stop of this VM with its times, once it was ordered.
	stopState handover.VM
}

func newShutdown() *shutdown { return &shutdown{} }

// admitRequest counts a request as in flight, or reports false if no more are admitted.
func (s *shutdown) admitRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejecting {
		return false
	}
	s.inFlight++
	return true
}

func (s *shutdown) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *shutdown) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopState.Stopping
}

func (s *shutdown) begin(ordered, exit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopState = handover.VM{Stopping: true, StopOrderedAt: ordered, ExitDeadline: exit}
}

// handoverVM describes this VM for pkg/handover.
func (s *shutdown) handoverVM(address string) handover.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.stopState
	v.Address = address
	return v
}

func (s *shutdown) rejectNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = true
}

func (s *shutdown) inFlightCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// drain removes the VM from the directory's answers, lets requests in flight end and returns
// before the platform kills the process.
func (g *Gateway) drain() {
	began := time.Now()
	grace := g.platformBounds.Load().Grace
	g.log.Log(event.DrainStarted).Int("in_flight", g.shutdown.inFlightCount()).Int64("grace_ms", grace.Milliseconds()).Send()
	end := began.Add(grace - killReserve)
	g.shutdown.begin(began, end)
	g.control.post(func(now time.Time) {
		g.control.members.Drain()
		g.control.applyMembershipActions(g.control.members.Tick(now))
		g.control.dirty = true
		g.control.nearStateTimer.SendNow()
		g.control.farStateTimer.SendNow()
	})
	acceptUntil := began.Add(time.Duration(admitShare * float64(grace)))
	for now := began; now.Before(end); now = time.Now() {
		if now.After(acceptUntil) && (handover.AnyReady(g.view.Load().otherVMs) || now.After(end.Add(-plainRejectBefore))) {
			g.shutdown.rejectNew()
		}
		if g.shutdown.inFlightCount() == 0 && now.Sub(began) > minDrainTime {
			break
		}
		time.Sleep(drainPollInterval)
	}
	g.shutdown.rejectNew()
	interrupted := g.shutdown.inFlightCount()
	g.answerInFlight()
	leaveSent := make(chan struct{})
	g.control.post(func(now time.Time) {
		g.control.applyMembershipActions(g.control.members.Leave(now))
		close(leaveSent)
	})
	select {
	case <-leaveSent:
	case <-time.After(drainPollInterval):
	}
	g.log.Log(event.DrainEnded).Int64("waited_ms", time.Since(began).Milliseconds()).Int("in_flight", interrupted).Send()
}

// answerInFlight ends the requests in flight, so that their callers get final answers and the log says
// what became of them. The end of the process would only close the connections.
func (g *Gateway) answerInFlight() {
	g.endRequests()
	for until := time.Now().Add(finalAnswersTimeout); g.shutdown.inFlightCount() > 0 && time.Now().Before(until); {
		time.Sleep(finalAnswersTimeout / 10)
	}
}
