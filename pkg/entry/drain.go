package entry

import (
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// drainer follows the requests in flight and the planned stop.
type drainer struct {
	mu       sync.Mutex
	inFlight int
	started  bool
	closed   bool
	idle     chan struct{}
	ended    chan struct{}
}

func newDrainer() *drainer {
	return &drainer{idle: make(chan struct{}), ended: make(chan struct{})}
}

// enter counts a request in; it reports false once the VM takes no more.
func (d *drainer) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.inFlight++
	return true
}

// exit counts a request out.
func (d *drainer) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.signal()
}

// begin starts the planned stop; it reports false when one is under way.
func (d *drainer) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.started
	d.started = true
	return first
}

// close refuses new requests from now on.
func (d *drainer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.signal()
}

// signal closes idle when the VM is closed and nothing is in flight.
func (d *drainer) signal() {
	if d.closed && d.inFlight == 0 {
		select {
		case <-d.idle:
		default:
			close(d.idle)
		}
	}
}

func (d *drainer) state() (inFlight int, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight, d.started
}

// inFlight wraps a handler whose requests a planned stop waits for.
func (s *Server) inFlight(handle khttp.HandlerFunc) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if !s.drain.enter() {
			return result.New(result.Draining, keyedOutcome(ctx.Request()), "this VM stops; ask GET /v1/address again").WithRetryAfter(time.Millisecond)
		}
		defer s.drain.exit()
		return handle(ctx)
	}
}

// keyedOutcome returns what is certain of a request that is refused unread. With
// an idempotency key it may be the repetition of one that ran through another VM.
func keyedOutcome(r *http.Request) result.Outcome {
	if r.Header.Get(headerIdempotencyKey) != "" {
		return result.OutcomeUnknown
	}
	return result.NotRun
}

// drainMargin covers the way of an address answer to its caller and of the
// caller's request back, far above today's millisecond.
const drainMargin = 2 * time.Second

// startDrain answers POST /v1/drain and stops the VM in the background.
func (s *Server) startDrain(ctx khttp.Context) error {
	go func() { _ = s.app.Stop() }()
	return ctx.JSON(http.StatusAccepted, map[string]string{"drain": "started"})
}

// drainAll carries out the planned stop: the VM is no longer named to callers,
// accepts requests until every address answer that named it has run out, and
// waits for those in flight.
func (s *Server) drainAll() {
	began := time.Now()
	d := s.directory()
	until := began.Add(d.local.Address.ValidFor + drainMargin)
	if !s.drain.begin() {
		<-s.drain.ended // a second stop order must not cut the first one short
		return
	}
	defer close(s.drain.ended)
	s.log.Log(event.DrainStarted).Time("until", until).Send()
	s.control.post(func(time.Time) {
		s.control.members.Drain()
		s.control.placer.owner.Leave()
	})
	time.Sleep(time.Until(until))
	s.drain.close()
	select {
	case <-s.drain.idle:
	case <-time.After(d.local.Drain.Max):
	}
	s.log.Log(event.DrainEnded).Int64("waited_ms", time.Since(began).Milliseconds()).Send()
}

// leave tells the other VMs that this one ends.
func (s *Server) leave() {
	sent := make(chan struct{})
	s.control.post(func(now time.Time) {
		s.control.send(s.control.members.Leave(now))
		close(sent)
	})
	select {
	case <-sent:
	case <-time.After(time.Second):
	}
	_ = s.peers.Close()
}

// addressBody is the answer of GET /v1/address.
type addressBody struct {
	Addresses []vmAddress `json:"addresses"`
	// ValidForMS is how long the caller may keep the answer, in milliseconds.
	ValidForMS int64 `json:"valid_for_ms"`
}

type vmAddress struct {
	VM         fleet.VMID         `json:"vm"`
	Address    string             `json:"address"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
}

// getAddress answers GET /v1/address: the live VMs of this data centre first,
// then those known in others, without the leaving ones.
func (s *Server) getAddress(ctx khttp.Context) error {
	members := s.fleetView().members
	body := addressBody{Addresses: []vmAddress{}, ValidForMS: s.directory().local.Address.ValidFor.Milliseconds()}
	if _, draining := s.drain.state(); !draining && s.ready() {
		body.Addresses = append(body.Addresses, vmAddress{s.cfg.VM, s.cfg.Address, s.cfg.DataCentre})
	}
	for _, m := range members.Members {
		if !m.Leaving {
			body.Addresses = append(body.Addresses, vmAddress{m.ID, m.Address, m.DataCentre})
		}
	}
	for _, dc := range members.DataCentres {
		if dc.DataCentre == s.cfg.DomainID() || !dc.Reachable {
			continue
		}
		for _, c := range append(dc.Relays, dc.Sample...) {
			body.Addresses = append(body.Addresses, vmAddress{c.ID, c.Address, dc.DataCentre})
		}
	}
	return ctx.JSON(http.StatusOK, body)
}
