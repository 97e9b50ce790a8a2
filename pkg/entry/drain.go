package entry

import (
	"net/http"
	"sync"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/result"
)

// drainer counts the requests in flight and tracks the planned stop.
type drainer struct {
	mu       sync.Mutex
	inFlight int
	// stop holds the planned stop with its times, once it has begun.
	stop handover.VM
	// closed is set when new requests are refused.
	closed bool
	// idle is closed when new requests are refused and none is in flight.
	idle chan struct{}
	// ended is closed when the planned stop is complete.
	ended chan struct{}
}

func newDrainer() *drainer {
	return &drainer{idle: make(chan struct{}), ended: make(chan struct{})}
}

// enter counts a request as in flight. It reports false once the VM refuses new requests.
func (d *drainer) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.inFlight++
	return true
}

// exit ends a request that enter counted.
func (d *drainer) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.signalIdle()
}

// begin starts the planned stop, which ends all requests at exitAt. It reports false when one has
// already begun.
func (d *drainer) begin(now, exitAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stop.Stopping {
		return false
	}
	d.stop = handover.VM{Stopping: true, StopOrderedAt: now, ExitDeadline: exitAt}
	return true
}

// beginsRun reports whether this VM begins a run now. It may stop.
func (d *drainer) beginsRun(now time.Time, r handover.Run) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stop.BeginsRun(now, r)
}

// close makes enter refuse all further requests.
func (d *drainer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	d.signalIdle()
}

// signalIdle closes idle when new requests are refused and none is in flight. The
// caller holds d.mu.
func (d *drainer) signalIdle() {
	if d.closed && d.inFlight == 0 {
		select {
		case <-d.idle:
		default:
			close(d.idle)
		}
	}
}

// state returns the number of requests in flight and whether the planned stop has begun.
func (d *drainer) state() (inFlight int, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight, d.stop.Stopping
}

// trackInFlight wraps a handler whose requests a planned stop waits for.
func (s *Server) trackInFlight(handler khttp.HandlerFunc) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if !s.drain.enter() {
			return stopping(refusedOutcome(ctx.Request()))
		}
		defer s.drain.exit()
		return handler(ctx)
	}
}

// stopping returns the refusal of a request by a VM that stops.
func stopping(outcome result.Outcome) error {
	return result.New(result.Draining, outcome, "this VM stops; ask GET /v1/address again").WithRetryAfter(time.Millisecond)
}

// refusedOutcome returns the outcome of a request that is refused unread. A request
// with an idempotency key may repeat one that ran through another VM.
func refusedOutcome(r *http.Request) result.Outcome {
	if r.Header.Get(headerIdempotencyKey) != "" {
		return result.OutcomeUnknown
	}
	return result.NotRun
}

// addressGracePeriod is how long this VM accepts requests after the last address answer
// that named it has expired. It covers the transit of the answer to its caller and of
// the caller's request back, which takes about a millisecond today, far less than 2 s.
const addressGracePeriod = 2 * time.Second

// startDrain answers POST /v1/drain and stops the VM in the background.
func (s *Server) startDrain(ctx khttp.Context) error {
	go func() { _ = s.app.Stop() }()
	return ctx.JSON(http.StatusAccepted, map[string]string{"drain": "started"})
}

// drainAll carries out the planned stop: it withdraws this VM from address answers,
// accepts requests until every answer that named the VM has expired, and then waits
// for the requests in flight, at most for the drain.max setting.
func (s *Server) drainAll() {
	start := time.Now()
	d := s.directory()
	until := start.Add(d.local.Address.ValidFor + addressGracePeriod)
	if !s.drain.begin(start, until.Add(d.local.Drain.Max)) {
		<-s.drain.ended // a second stop order must not cut the first one short
		return
	}
	defer close(s.drain.ended)
	s.log.Log(event.DrainStarted).Time("until", until).Send()
	s.control.post(func(time.Time) {
		s.control.members.Drain()
		s.control.placer.owner.Resign()
	})
	time.Sleep(time.Until(until))
	s.drain.close()
	select {
	case <-s.drain.idle:
	case <-time.After(d.local.Drain.Max):
	}
	s.log.Log(event.DrainEnded).Int64("waited_ms", time.Since(start).Milliseconds()).Send()
}

// announceLeave notifies the other VMs that this one leaves, and closes the peer
// connections.
func (s *Server) announceLeave() {
	sent := make(chan struct{})
	s.control.post(func(now time.Time) {
		s.control.applyMembershipActions(s.control.members.Leave(now))
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

// getAddress answers GET /v1/address: the live VMs of this data centre first, then
// those known in other data centres. VMs that are leaving are left out.
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
