// Package gateway is the entry daemon on the users' platform: it serves callers over HTTP,
// follows the platform's store, and connects the decision packages to the platform adapter,
// the upstreams and the other entry VMs.
//
// One goroutine owns the control state (control.go) and publishes an immutable view; request
// goroutines read that view and never wait for the control goroutine. Reservations on
// upstreams change with every request and are guarded by short-held locks of their own.
//
// An upstream is a server of a plain service or an engine, which runs a range of the layers of
// a model. A chain is a sequence of engines that together hold all layers.
package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/intake"
	"github.com/cornelline/cornelline/pkg/intakehttp"
	"github.com/cornelline/cornelline/pkg/peering"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/stats"
	"github.com/cornelline/cornelline/pkg/storewatch"
	"github.com/cornelline/cornelline/pkg/wire"
	"github.com/cornelline/cornelline/platform"
)

const (
	// connectTimeout bounds the opening of a connection. A round trip takes at most 4 ms,
	// and a lost SYN is retransmitted only after a second, so a new attempt is faster than
	// waiting.
	connectTimeout = 400 * time.Millisecond
	// peerConnectTimeout bounds the opening of a connection to another VM. After a loss of power of
	// all VMs some have no power yet; their SYNs are lost, and a VM waits for its first peer.
	peerConnectTimeout = 200 * time.Millisecond
	// unacknowledgedTimeout ends a connection whose sent bytes the peer does not
	// acknowledge. It leaves time for several retransmissions on a lossy link.
	unacknowledgedTimeout = 2 * time.Second
	// storeKeepAlive is the interval of keep-alive probes on connections to the store. Long
	// polls stay open on these connections; a silent one ends within two probes.
	storeKeepAlive = time.Second
	// upstreamIdleTimeout is how long an idle connection to an upstream is kept. Some
	// deployments drop idle connections without notice, so a request on an old one may fail.
	upstreamIdleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 32
	// readHeaderTimeout bounds the time in which a caller must send the header of a request.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is longer than any idle limit of callers in the platform's
	// configurations, so that callers never reuse a connection that this VM has closed.
	callerIdleTimeout = 75 * time.Second
	// maxHeaderBytes bounds the header of a request. It is above the limits that the
	// configurations set.
	maxHeaderBytes = 64 << 10
)

// Gateway is one entry VM on the platform.
type Gateway struct {
	settings platform.Settings
	log      *event.Logger
	output   *event.Writer
	stats    *stats.Stats
	started  time.Time

	store   *platform.Store
	servers *platform.ServerClient
	pool    *exchange.Pool
	peers   *wire.Transport

	control    *control
	view       atomic.Pointer[view]
	shutdown   *shutdown
	activeRuns *runSet
	// pendingRuns holds the runs without an event so far that are stopped if requests like theirs are
	// found to crash upstreams.
	pendingRuns *runSet

	// platformBounds are the platform's limits in force.
	platformBounds atomic.Pointer[platform.Bounds]

	// leading is set while this VM gives placement orders to the engines.
	leading atomic.Bool
	// highestToken is the highest fencing token known to this VM.
	highestToken atomic.Uint64

	// toldVMs is the number of VMs that this VM names to others, 0 if it knows none; assumedVMs
	// is the number that it assumes.
	toldVMs, assumedVMs atomic.Int64

	// storeDuty says which calls to the store this VM makes.
	storeDuty atomic.Pointer[storewatch.Duty]
	// listings carries the listings received from the VM that reads the list of upstreams
	// for all VMs.
	listings chan roster.Listing
	// snapshots carries the requests for the list from VMs that are starting.
	snapshots chan chan<- roster.Listing

	// storeFailedAt is when a call to the store last failed, as a duration since the start.
	storeFailedAt atomic.Int64
	// cancelOpenConfigRead cancels the configuration read that is in progress.
	cancelOpenConfigRead atomic.Pointer[context.CancelFunc]
	// configPendingUntil is when an older configuration that the operator wrote again may be in
	// force at the earliest, nil if there is none.
	configPendingUntil atomic.Pointer[time.Time]

	// initialStateKnown is closed once the configuration and the list of upstreams are
	// known.
	initialStateKnown chan struct{}

	// requestReceived is set by the first request of a caller that this VM or another one
	// received.
	requestReceived atomic.Bool

	// crashFilter is what requests are checked against; nil if there is nothing to check.
	crashFilter atomic.Pointer[crashcause.Filter]
	crashTrials crashTrials
	// dial opens a connection to an upstream.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// soundRequests are the requests for plain services that were answered lately.
	soundRequests crashcause.SoundRequests
	// crashGroups are the groups of crashFilter, for the store.
	crashGroups atomic.Pointer[[]crashcause.Group]
	// listReadAtStart is set if this VM first got the list of upstreams from the store.
	listReadAtStart atomic.Bool

	panics             panics
	refusedGenerations *refusedSet

	configOffers configOffers
	// copyReads limits the reads of copies.
	copyReads copyReads
	// copiesDue is signalled when the copies may have to be written.
	copiesDue    chan struct{}
	retryBudgets *retryBudgets
	notices      *notices
	eras         eraTracker

	// callers accounts for what the callers of the front hold.
	callers  *intakehttp.Guard
	reporter *intakehttp.Reporter

	front, directory, ready, metrics *khttp.Server
	// exitCtx ends when the grace time of a stop is over: requests still in flight end.
	exitCtx context.Context
	// endRequests ends exitCtx.
	endRequests context.CancelFunc
	// runCtx ends when the gateway stops.
	runCtx context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// New returns a gateway that listens on its addresses but does not serve yet.
func New(settings platform.Settings, log *event.Logger, output *event.Writer) (*Gateway, error) {
	dial := exchange.Dialer(connectTimeout, unacknowledgedTimeout, 0)
	g := &Gateway{
		settings: settings, log: log, output: output, stats: stats.New(), started: time.Now(), dial: dial,
		store: platform.NewStore(settings.Store.Address, exchange.Dialer(connectTimeout, unacknowledgedTimeout, storeKeepAlive)), servers: platform.NewServerClient(dial),
		shutdown: newShutdown(), activeRuns: newRunSet(), pendingRuns: newRunSet(), refusedGenerations: newRefusedSet(), initialStateKnown: make(chan struct{}), retryBudgets: newBudgets(), notices: newNotices(),
		listings: make(chan roster.Listing, listingQueueSize), snapshots: make(chan chan<- roster.Listing), copiesDue: make(chan struct{}, 1),
	}
	g.reporter = intakehttp.NewReporter(log, g.stats)
	g.callers = intakehttp.New(intake.LimitsFor(memoryBytes(settings), descriptors(settings)), g.reporter.TurnedAway)
	g.pool = exchange.New(exchange.Config{
		Dial: dial, IdleTimeout: upstreamIdleTimeout, MaxIdlePerAddress: maxIdlePerUpstream, MaxIdle: g.callers.Limits().Connections / 2, Now: time.Now,
		IsResponseTo: isAnswer, AnnouncedIdleTimeout: func(h http.Header) time.Duration { return platform.ParseReply(http.StatusOK, h).IdleTimeout },
	})
	g.configOffers.limiter = peering.NewOfferLimiter(settings.LinkBytesPerSecond)
	g.view.Store(emptyView())
	g.storeDuty.Store(&storewatch.Duty{AmongFirstWatchers: true})
	g.storeFailedAt.Store(-int64(storeStablePeriod))
	g.platformBounds.Store(&settings.Bounds)
	g.setRetryLimits(g.started)
	g.runCtx, g.cancel = context.WithCancel(context.Background())
	g.exitCtx, g.endRequests = context.WithCancel(context.Background())
	g.control = newControl(g)
	if err := g.openListeners(); err != nil {
		g.cancel()
		return nil, err
	}
	return g, nil
}

// openListeners opens the listeners and creates the servers on them.
func (g *Gateway) openListeners() error {
	peerListener, err := net.Listen("tcp", g.settings.Self.PeerAddress)
	if err != nil {
		return addressError(g.settings.Self.PeerAddress, err)
	}
	peerDialer := net.Dialer{Timeout: peerConnectTimeout}
	g.peers = wire.New(peerListener, wire.Config{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return peerDialer.DialContext(ctx, "tcp", address)
		},
		VM: g.settings.Self.ID, Address: g.settings.Self.PeerAddress, Secret: fleetSecret(g.settings),
		Receive: g.receiveMessage, Respond: g.respond, ConnectionFailed: g.recordPeerFailure,
	})
	if g.front, err = g.newServer(g.settings.Self.Address, http.HandlerFunc(g.serveCaller), g.callers); err != nil {
		return err
	}
	if g.ready, err = g.newServer(g.settings.ReadyAddress, http.HandlerFunc(g.serveReady), g.smallGuard()); err != nil {
		return err
	}
	if g.settings.MetricsAddress != "" {
		if g.metrics, err = g.newServer(g.settings.MetricsAddress, http.HandlerFunc(g.serveOperators), g.smallGuard()); err != nil {
			return err
		}
	}
	if g.settings.DirectoryAddress == "" {
		return nil
	}
	g.directory, err = g.newServer(g.settings.DirectoryAddress, http.HandlerFunc(g.serveDirectory), g.smallGuard())
	return err
}

// smallGuard returns the guard of a listener with few and short requests. A crowd at the front cannot
// take its room.
func (g *Gateway) smallGuard() *intakehttp.Guard {
	return intakehttp.New(intake.SmallLimitsFor(memoryBytes(g.settings), descriptors(g.settings)), g.reporter.TurnedAway)
}

// memoryBytes returns the memory that the process may use.
func memoryBytes(s platform.Settings) int64 {
	if s.MemoryLimitMB > 0 {
		return int64(s.MemoryLimitMB) << 20
	}
	return intakehttp.MachineMemory()
}

// descriptors returns the number of descriptors that the process may have open.
func descriptors(s platform.Settings) int {
	if s.FileDescriptors > 0 {
		return s.FileDescriptors
	}
	return intakehttp.MachineDescriptors()
}

// newServer returns a kratos HTTP server that passes every request to handler. A router in
// front of it would clean paths, which must be forwarded unchanged.
func (g *Gateway) newServer(address string, handler http.Handler, guard *intakehttp.Guard) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, addressError(address, err)
	}
	// Without an endpoint the library enumerates the network interfaces, which the platform
	// does not expose.
	endpoint := &url.URL{Scheme: "http", Host: address}
	s := khttp.NewServer(khttp.Listener(guard.Listener(listener)), khttp.Endpoint(endpoint), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return guard.Handler(g.recoverMiddleware(handler)) }))
	guard.Attach(s.Server)
	s.ReadHeaderTimeout = readHeaderTimeout
	s.IdleTimeout = callerIdleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	s.ErrorLog = nil
	return s, nil
}

func addressError(address string, err error) error {
	return result.New(result.AddressInUse, result.NotRun, "cannot listen on %s", address).WithCause(err)
}

// fleetSecret returns the secret with which entry VMs authenticate each other. Without one in
// the settings, whoever knows the store's address is trusted as part of the system. The store
// itself applies the same rule.
func fleetSecret(s platform.Settings) []byte {
	if s.FleetSecret != "" {
		return []byte(s.FleetSecret)
	}
	sum := sha256.Sum256([]byte("cornelline " + s.Store.Address))
	return sum[:]
}

// isAnswer reports whether a response belongs to a request, that is, echoes its id. A
// failure that a server sends before it has read the id carries none. On a connection that
// has served other requests, such a failure may be the late copy of an earlier one.
func isAnswer(id string, onlyRequest bool, status int, h http.Header) bool {
	reply := platform.ParseReply(status, h)
	return string(reply.ID) == id || reply.ID == "" && onlyRequest && status >= http.StatusBadRequest
}

// Run serves until ctx ends, then drains and stops.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Log(event.Started).Str("address", g.settings.Self.Address).
		Str("data_centre", string(g.settings.Self.DataCentre)).Bool("first_start", g.settings.FirstStart).
		Int("pid", os.Getpid()).Send()
	failed := make(chan error, 4)
	for _, s := range []*khttp.Server{g.front, g.ready, g.directory, g.metrics} {
		if s == nil {
			continue
		}
		g.tasks.Go(func() {
			if err := s.Start(g.runCtx); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve: %w", err)
			}
		})
	}
	g.supervise(g.runCtx, "control", g.control.run)
	g.supervise(g.runCtx, "configuration", g.followConfig)
	g.supervise(g.runCtx, "upstreams", g.followUpstreams)
	g.supervise(g.runCtx, "lead", g.lead)
	g.supervise(g.runCtx, "copies", g.followCopies)
	var err error
	select {
	case <-ctx.Done():
		g.drain()
	case err = <-failed:
	}
	g.cancel()
	_ = g.peers.Close() // the process exits anyway
	g.log.LogSuppressed()
	g.log.Log(event.Stopped).AnErr("reason", err).Send()
	g.output.Close()
	return err
}

// randomSeed returns a random number that differs between VMs.
func randomSeed() uint64 { return rand.Uint64() }

// random returns a number in [0, 1).
func random() float64 { return rand.Float64() }

// hasReceivedRequest reports whether a caller has sent a request to this VM or, as far as known,
// to another one.
func (g *Gateway) hasReceivedRequest() bool { return g.requestReceived.Load() }
