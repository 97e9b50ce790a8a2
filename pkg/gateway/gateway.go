// Package gateway is the entry daemon on the users' platform: it serves callers
// over HTTP, follows the platform's store, and wires the decision packages to the
// adapter, the upstreams and the other entry VMs.
//
// One goroutine owns the control state (control.go) and publishes an immutable
// view; request goroutines read that view and never wait for control. Promises to
// upstreams change with every request and stand behind short locks of their own.
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

	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/stats"
	"github.com/cornelline/cornelline/pkg/storewatch"
	"github.com/cornelline/cornelline/pkg/wire"
	"github.com/cornelline/cornelline/platform"
)

const (
	// connectTimeout bounds the opening of a connection. A round trip takes 4 ms at
	// most; a lost opening packet is sent again only after a second, so that a new
	// try is faster than waiting.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout ends a connection whose sent bytes the other side does
	// not acknowledge: several retransmissions on a link that loses packets.
	unacknowledgedTimeout = 2 * time.Second
	// storeKeepAlive is the interval of keep-alive probes on connections to the store,
	// on which reads stay open: one that went silent ends within two of them.
	storeKeepAlive = time.Second
	// keepIdle is how long an idle connection to an upstream is kept. Grown
	// deployments drop idle ones without notice, so that old ones are a risk.
	keepIdle = 4 * time.Second
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 32
	// headTimeout bounds the time in which a caller sends a request's head while no
	// configuration says otherwise.
	headTimeout = 10 * time.Second
	// idleTimeout is longer than any idle limit of a caller that the platform's
	// configurations state, so that callers never meet a close of ours.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes bounds a request's head above the limits that configurations state.
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
	servers *platform.Servers
	pool    *exchange.Pool
	peers   *wire.Transport

	control *control
	view    atomic.Pointer[view]
	stopper *stopper
	streams *streams

	// bounds are the platform's limits in force.
	bounds atomic.Pointer[platform.Bounds]

	// leading is set while this VM gives orders; token is the highest fencing token
	// known here.
	leading atomic.Bool
	token   atomic.Uint64

	// duty is what this VM does at the store; listings are those of the VM that reads
	// the list of upstreams for all, snapshots the requests of VMs that start.
	duty      atomic.Pointer[storewatch.Duty]
	listings  chan roster.Listing
	snapshots chan chan<- roster.Listing

	// storeFailedAt is when a call to the store last failed, as time since the start;
	// endConfigRead ends the read of the configuration that is open.
	storeFailedAt atomic.Int64
	endConfigRead atomic.Pointer[context.CancelFunc]

	// known is closed once the configuration and the list of upstreams are known.
	known chan struct{}

	// traffic is set by the first request of a caller.
	traffic atomic.Bool

	crashes *crashes
	panics  panics
	returns *returns

	budgets *budgets
	notices *notices
	eras    eras

	front, directory, ready, metrics *khttp.Server
	running                          context.Context
	cancel                           context.CancelFunc
	tasks                            sync.WaitGroup
}

// New returns a gateway that listens on its addresses but does not serve yet.
func New(settings platform.Settings, log *event.Logger, output *event.Writer) (*Gateway, error) {
	dial := exchange.Dialer(connectTimeout, unacknowledgedTimeout, 0)
	g := &Gateway{
		settings: settings, log: log, output: output, stats: stats.New(), started: time.Now(),
		store: platform.NewStore(settings.Store.Address, exchange.Dialer(connectTimeout, unacknowledgedTimeout, storeKeepAlive)), servers: platform.NewServers(dial),
		stopper: newStopper(), streams: newStreams(), crashes: newCrashes(), returns: newReturns(), known: make(chan struct{}), budgets: newBudgets(), notices: newNotices(),
		listings: make(chan roster.Listing, listingQueue), snapshots: make(chan chan<- roster.Listing),
	}
	g.pool = exchange.New(exchange.Config{
		Dial: dial, KeepIdle: keepIdle, MaxIdle: maxIdle, Now: time.Now,
		IsAnswer: isAnswer, IdleLimit: func(h http.Header) time.Duration { return platform.ParseReply(http.StatusOK, h).IdleLimit },
	})
	g.view.Store(emptyView())
	g.duty.Store(&storewatch.Duty{First: true})
	g.storeFailedAt.Store(-int64(storeCalm))
	g.bounds.Store(&settings.Bounds)
	g.setRetryLimits(g.started)
	g.running, g.cancel = context.WithCancel(context.Background())
	g.control = newControl(g)
	if err := g.listen(); err != nil {
		g.cancel()
		return nil, err
	}
	return g, nil
}

// listen opens the listeners and makes the servers on them.
func (g *Gateway) listen() error {
	inner, err := net.Listen("tcp", g.settings.Self.PeerAddress)
	if err != nil {
		return addressError(g.settings.Self.PeerAddress, err)
	}
	g.peers = wire.New(inner, wire.Config{
		VM: g.settings.Self.ID, Address: g.settings.Self.PeerAddress, Secret: fleetSecret(g.settings),
		Receive: g.receive, Respond: g.respond, Failed: g.peerFailed,
	})
	if g.front, err = g.newServer(g.settings.Self.Address, http.HandlerFunc(g.serveCaller)); err != nil {
		return err
	}
	if g.ready, err = g.newServer(g.settings.ReadyAddress, http.HandlerFunc(g.serveReady)); err != nil {
		return err
	}
	if g.settings.MetricsAddress != "" {
		if g.metrics, err = g.newServer(g.settings.MetricsAddress, http.HandlerFunc(g.serveMetrics)); err != nil {
			return err
		}
	}
	if g.settings.DirectoryAddress == "" {
		return nil
	}
	g.directory, err = g.newServer(g.settings.DirectoryAddress, http.HandlerFunc(g.serveDirectory))
	return err
}

// newServer returns an HTTP server of kratos whose requests all go to the
// handler: a router before it would clean the paths that are passed on unchanged.
func (g *Gateway) newServer(address string, handler http.Handler) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, addressError(address, err)
	}
	// Without an endpoint the library asks the system for its network interfaces,
	// which the platform does not show.
	endpoint := &url.URL{Scheme: "http", Host: address}
	s := khttp.NewServer(khttp.Listener(listener), khttp.Endpoint(endpoint), khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return g.protect(handler) }))
	s.ReadHeaderTimeout = headTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	s.ErrorLog = nil
	return s, nil
}

func addressError(address string, err error) error {
	return result.New(result.AddressInUse, result.NotRun, "cannot listen on %s", address).WithCause(err)
}

// fleetSecret derives what authenticates the entry VMs to each other. The
// platform's settings have no secret: whoever knows the store's address counts
// as part of the system, as it does for the store itself.
func fleetSecret(s platform.Settings) []byte {
	sum := sha256.Sum256([]byte("cornelline " + s.Store.Address))
	return sum[:]
}

// isAnswer reports whether an answer belongs to a request: it echoes its id. A
// failure that a server sends before it has read the id has none.
func isAnswer(id string, status int, h http.Header) bool {
	reply := platform.ParseReply(status, h)
	return string(reply.ID) == id || reply.ID == "" && status >= http.StatusBadRequest
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
			if err := s.Start(g.running); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("serve: %w", err)
			}
		})
	}
	g.keepRunning(g.running, "control", g.control.run)
	g.keepRunning(g.running, "configuration", g.followConfig)
	g.keepRunning(g.running, "upstreams", g.followUpstreams)
	g.keepRunning(g.running, "lead", g.lead)
	var err error
	select {
	case <-ctx.Done():
		g.drain()
	case err = <-failed:
	}
	g.cancel()
	_ = g.peers.Close() // the process ends: a listener that fails to close changes nothing
	g.log.Suppressed()
	g.log.Log(event.Stopped).AnErr("reason", err).Send()
	g.output.Close()
	return err
}

// random returns a number in [0, 1).
func random() float64 { return rand.Float64() }

// trafficSeen reports whether a caller has sent a request to this VM.
func (g *Gateway) trafficSeen() bool { return g.traffic.Load() }
