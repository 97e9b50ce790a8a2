package gateway

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/handover"
)

const (
	// acceptShare is the part of the grace time in which a stopping VM still takes
	// requests: callers keep addresses for up to three times addressTTL. Generations, which
	// take seconds and must end within the grace time, are up to pkg/handover.
	acceptShare = 0.5
	// exitMargin is kept before the platform's kill.
	exitMargin = 700 * time.Millisecond
	// leastStop is how long a stopping VM stays though it is idle, so that callers
	// with an older answer of the directory meet a refusal that is safe to repeat
	// and not a closed port.
	leastStop = 3200 * time.Millisecond
	// lastPlain is the time before its exit in which a stopping VM takes no request
	// of a plain service though no other VM takes them: several times their work.
	lastPlain = 700 * time.Millisecond
	// stopPoll is the interval at which a stopping VM looks for its end.
	stopPoll = 50 * time.Millisecond
)

// stopper counts the requests in flight and refuses new ones near the end.
type stopper struct {
	mu       sync.Mutex
	inFlight int
	refuse   bool
	// stop is set, with its times, once this VM was ordered to stop.
	stop handover.VM
}

func newStopper() *stopper { return &stopper{} }

// enter counts a request in; it reports false when no more are taken.
func (s *stopper) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		return false
	}
	s.inFlight++
	return true
}

func (s *stopper) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *stopper) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.Stopping
}

func (s *stopper) begin(ordered, exit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = handover.VM{Stopping: true, Ordered: ordered, Exit: exit}
}

// self returns what pkg/handover is to know of this VM.
func (s *stopper) self(address string) handover.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.stop
	v.Address = address
	return v
}

func (s *stopper) refuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = true
}

func (s *stopper) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// drain takes the VM out of the answers to callers, lets requests in flight end
// and returns before the platform kills the process.
func (g *Gateway) drain() {
	began := time.Now()
	grace := g.bounds.Load().Grace
	g.log.Log(event.DrainStarted).Int("in_flight", g.stopper.running()).Int64("grace_ms", grace.Milliseconds()).Send()
	end := began.Add(grace - exitMargin)
	g.stopper.begin(began, end)
	g.control.post(func(now time.Time) {
		g.control.members.Drain()
		g.control.send(g.control.members.Tick(now))
		g.control.dirty = true
		g.control.news.TellNow()
		g.control.farNews.TellNow()
	})
	acceptUntil := began.Add(time.Duration(acceptShare * float64(grace)))
	for now := began; now.Before(end); now = time.Now() {
		if now.After(acceptUntil) && (handover.Ready(g.view.Load().others) || now.After(end.Add(-lastPlain))) {
			g.stopper.refuseNew()
		}
		if g.stopper.running() == 0 && now.Sub(began) > leastStop {
			break
		}
		time.Sleep(stopPoll)
	}
	g.stopper.refuseNew()
	left := make(chan struct{})
	g.control.post(func(now time.Time) {
		g.control.send(g.control.members.Leave(now))
		close(left)
	})
	select {
	case <-left:
	case <-time.After(stopPoll):
	}
	g.log.Log(event.DrainEnded).Int64("waited_ms", time.Since(began).Milliseconds()).Int("in_flight", g.stopper.running()).Send()
}
