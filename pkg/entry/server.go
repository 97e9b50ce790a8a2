// Package entry is the entry daemon: it serves callers and operators over HTTP,
// runs the control goroutine, and wires the decision packages to the platform,
// the upstreams and the other entry VMs.
package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/crashcause"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/explain"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/intake"
	"github.com/cornelline/cornelline/pkg/intakehttp"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/rehearsal"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/retry"
	"github.com/cornelline/cornelline/pkg/settings"
	"github.com/cornelline/cornelline/pkg/stats"
	"github.com/cornelline/cornelline/pkg/tokens"
	"github.com/cornelline/cornelline/pkg/wire"
)

// Version is the version of the daemon.
const Version = "0.1.0"

// Server is one entry VM.
type Server struct {
	cfg      config.Config
	self     fleet.VM
	log      *event.Logger
	stats    *stats.Stats
	traces   *explain.Store
	injector *rehearsal.Injector
	client   *http.Client
	weights  infra.WeightStore
	vmList   infra.VMList
	tokens   tokens.Tokenizer

	settings         *replica.Runner
	claims           *replica.Runner
	peers            *wire.Transport
	control          *control
	gate             *gate
	drain            *drainer
	suspects         *suspects
	soundCalls       crashcause.SoundRequests // calls of services that were answered lately
	lengths          *lengthEstimator
	durations        durations
	services         *serviceClients
	offered          offeredSnapshot
	currentDirectory atomic.Pointer[directory]
	// settingsInForce is set once settings that were read completely have been put in force.
	settingsInForce atomic.Bool

	retryMu sync.Mutex
	retries *retry.Budget

	// callers accounts for what callers and operators hold.
	callers *intakehttp.Guard

	http *khttp.Server
	app  *kratos.App
	// runCtx is cancelled when the server has stopped.
	runCtx   context.Context
	cancel   context.CancelFunc
	watchers sync.WaitGroup
}

// New returns a server that listens on its addresses but does not serve yet.
// The error is a *result.Error.
func New(cfg config.Config, log *event.Logger) (*Server, error) {
	callers, err := listen(cfg.Address)
	if err != nil {
		return nil, err
	}
	peers, err := listen(cfg.PeerAddress)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	s := &Server{
		cfg: cfg, self: cfg.Self(), log: log,
		stats:    stats.New(),
		traces:   explain.NewStore(explain.DefaultCapacity),
		injector: rehearsal.NewInjector(time.Now),
		tokens:   tokens.ByteLevel{},
		gate:     newGate(admission.DefaultConfig()),
		retries:  retry.New(retry.DefaultConfig()),
		drain:    newDrainer(),
		lengths:  newLengthEstimator(),
	}
	s.suspects = newSuspects(quarantine.DefaultConfig(), cfg.VM, s.sendQuarantineMessage)
	s.client = &http.Client{Transport: &rehearsal.Transport{Base: newTransport(s.connectTimeout), Injector: s.injector}}
	s.services = newServiceClients(s.client)
	s.connectPlatform()
	s.currentDirectory.Store(newDirectory(settings.Empty(), s.self))
	ctx, cancel := context.WithCancel(context.Background())
	s.runCtx, s.cancel = ctx, cancel
	s.control = newControl(ctx, s, time.Now())
	s.peers = wire.New(peers, wire.Config{
		VM: cfg.VM, Address: cfg.PeerAddress, Secret: []byte(cfg.FleetSecret), Receive: s.receive, Respond: s.respond, ConnectionFailed: s.peerFailed,
	})
	limits := intake.LimitsFor(intakehttp.MachineMemory(), intakehttp.MachineDescriptors())
	s.callers = intakehttp.New(limits, intakehttp.NewReporter(log, s.stats).TurnedAway)
	s.http = s.newHTTP(callers)
	return s, nil
}

// Run serves until ctx is cancelled or a stop is requested, then drains and stops.
func (s *Server) Run(ctx context.Context) error {
	defer s.cancel()
	s.start(s.runCtx)
	s.app = kratos.New(
		kratos.ID(string(s.cfg.VM)), kratos.Name("cornelline"), kratos.Version(Version),
		kratos.Context(context.WithoutCancel(ctx)), kratos.Server(s.http), kratos.Logger(kratosLogger{s.log}),
		kratos.BeforeStop(func(context.Context) error { s.drainAll(); return nil }),
		kratos.StopTimeout(s.directory().local.Drain.Max),
	)
	s.log.Log(event.Started).Str("address", s.cfg.Address).Str("version", Version).Send()
	// The cancellation of ctx must start a drain: an app that ran under ctx itself
	// would close its connections at once.
	stopping := context.AfterFunc(ctx, func() { _ = s.app.Stop() })
	defer stopping()
	err := s.app.Run()
	s.announceLeave()
	s.cancel()
	s.watchers.Wait()
	s.log.LogSuppressed()
	s.log.Log(event.Stopped).AnErr("reason", err).Send()
	return err
}

// start starts the control goroutine and the goroutines that feed it.
func (s *Server) start(ctx context.Context) {
	changed := make(chan struct{}, 1)
	s.settings.OnChange(func(*replica.View) {
		select {
		case changed <- struct{}{}:
		default: // a signal is already pending; the watcher reads the latest view
		}
	})
	s.settings.OnLease(s.control.placer.handleLease)
	s.watchers.Go(func() { s.watchSettings(ctx, changed) })
	s.watchers.Go(func() { s.control.run(ctx) })
	s.watchers.Go(func() { s.settings.Run(ctx) })
	s.watchers.Go(func() { s.claims.Run(ctx) })
	s.watchers.Go(func() { s.fetchFromPeers(ctx) })
	s.watchers.Go(func() { s.pollVMList(ctx) })
}

// watchSettings puts each new settings tree in force. Of trees that arrive faster than
// they can be compiled, only the latest is used, so a burst of changes costs little.
func (s *Server) watchSettings(ctx context.Context, signals <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		view := s.settings.View()
		s.control.placer.handleRestoredLeases(view)
		start, wasReady := time.Now(), s.ready()
		changed := view.Tree != s.directory().tree
		if changed {
			s.activateSettings(ctx, view.Tree)
		}
		if view.Ready {
			s.settingsInForce.Store(true)
		}
		// Until this VM is ready, a pause would delay that.
		if changed && wasReady && !sleep(ctx, compilePauseFactor*time.Since(start)) {
			return
		}
	}
}

// compilePauseFactor is the pause after putting a settings tree in force, as a multiple
// of the time that this took. Compiling settings then uses at most 2% of a core at any
// rate of changes. With 2,800 teams and 10,000 upstreams, compiling takes 0.14 s, and a
// change waits here for up to 7 s of the 18 s within which it must be in force.
const compilePauseFactor = 49

// sleep waits for d. It reports false when ctx is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// activateSettings compiles a settings tree and applies it to all parts of the server.
func (s *Server) activateSettings(ctx context.Context, tree *settings.Tree) {
	d := newDirectory(tree, s.self)
	s.currentDirectory.Store(d)
	s.gate.setConfig(admissionConfig(d))
	s.setRetryConfig(d)
	s.suspects.setConfig(quarantineConfig(d.local))
	s.settings.Reconfigure(ctx, replica.ParametersOf(d.local))
	s.claims.Reconfigure(ctx, replica.ParametersOf(d.local))
	for id, view := range d.upstreams {
		s.injector.Bind(view.Upstream.Address, rehearsal.Target(id))
	}
	s.control.configure(d)
}

// directory returns the settings in force.
func (s *Server) directory() *directory { return s.currentDirectory.Load() }

// fleetView returns the view that the control goroutine published last.
func (s *Server) fleetView() *fleetView { return s.control.view.Load() }

// connectTimeout returns the timeout in force for connecting to an upstream or to the
// platform.
func (s *Server) connectTimeout() time.Duration {
	return s.directory().local.Upstreams.ConnectTimeout
}

// connectPlatform creates the clients of the platform's services.
func (s *Server) connectPlatform() {
	s.injector.Bind(hostOf(s.cfg.LogURL), rehearsal.LogTarget)
	log := infra.NewHTTPLog(s.cfg.LogURL, s.client)
	s.weights = infra.NewHTTPWeightStore(s.cfg.WeightStoreURL, s.client)
	s.vmList = infra.NewHTTPVMList(s.cfg.VMListURL, s.client)
	s.settings = s.newRunner(log, infra.SettingsStream)
	s.claims = s.newRunner(log, infra.ClaimsStream)
}

// pollVMList polls the platform's VM list until ctx is cancelled.
func (s *Server) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(vmListPollInterval)
	defer ticker.Stop()
	for {
		entries, err := s.vmList.List(ctx)
		if err == nil {
			s.control.applyVMList(entries)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// listen opens a TCP listener. A failure has the code AddressInUse.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.New(result.AddressInUse, result.NotRun, "cannot listen on %s", address).WithCause(err)
	}
	return l, nil
}

// newTransport returns the transport for calls to the upstreams and the platform.
// Compression is disabled, because token streams must not be buffered. timeout is
// called for each dial, so that changed settings apply to new connections.
func newTransport(timeout func() time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: timeout()}).DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

const (
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
)

// fnvHash returns the 64-bit FNV-1a hash of a text. Applied to a VM's ID, it makes random
// seeds and delays differ between VMs.
func fnvHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// newRandom returns a random source for one request's decisions.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// kratosLogger logs the warnings and errors of kratos as daemon events.
type kratosLogger struct{ log *event.Logger }

// Log implements the Logger interface of kratos.
func (l kratosLogger) Log(level klog.Level, pairs ...any) error {
	if level >= klog.LevelWarn {
		l.log.Log(event.TransportWarning).Str("message", fmt.Sprint(pairs...)).Send()
	}
	return nil
}
