// Package soak runs a fleet of real entry processes against stand-ins for the users'
// platform on one machine, injects faults from outside, and checks what callers and
// servers observe. Faults reach the processes only through signals, the stand-ins, and
// loopback proxies in front of the store and the servers. A seed determines the sequence
// of faults.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// Options configures one run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Binary string // path of the program under test
	Dir    string // directory for settings and logs
	// RunIndex distinguishes concurrent runs, which need different loopback addresses.
	RunIndex int
	VMs      int
	Callers  int
	Engines  int
	// OnlyCrashingPart replaces the drawn faults with one: requests with a part that crashes engines.
	OnlyCrashingPart bool
}

const (
	// plainServers is the number of servers for plain requests.
	plainServers = 3
	// plainSlots is the number of slots of each plain server.
	plainSlots = 50
	// plainTimeout is the timeout of plain requests in the operator's configuration.
	plainTimeout = 2 * time.Second
	// eventsPerStream is the number of events of a complete stream.
	eventsPerStream = 30
	// eventInterval is the time between two events of a stream. With eventsPerStream, a
	// generation takes 0.6 s.
	eventInterval = 20 * time.Millisecond
	// startupTime is the time that the fleet has before the first fault.
	startupTime = 6 * time.Second
	// calmTime is the time without faults at the end of a run, within which service must
	// recover (recovery_s of the platform).
	calmTime = 12 * time.Second
	// historyTailLines is the number of history lines that are printed with a violation.
	historyTailLines = 40
)

// World holds the processes, stand-ins and results of one run.
type World struct {
	options   Options
	random    *rand.Rand
	store     *userplatform.Store
	runs      *userplatform.Runs
	plain     []*plainServer
	engines   []*engineServer
	vms       []*VM
	servers   []*httptest.Server
	startedAt time.Time

	mu      sync.Mutex
	history []string
	// violations lists the broken guarantees in order of time.
	violations []string
	// historyTail is the end of the history up to and including the first violation.
	historyTail     []string
	version         int
	keys            []string // valid caller keys, the newest last
	configChangedAt time.Time
	engineEnds      int
	checker         *checker
}

// plainServer is a stand-in server that answers plain requests, behind a link.
type plainServer struct {
	*userplatform.PlainServer
	link          *Link
	startedMillis int64 // Unix time in milliseconds at which this incarnation started
	// entryState is the state in the server's entry, empty while the server has no entry.
	entryState string
}

// engineServer is a stand-in model engine behind a link.
type engineServer struct {
	*userplatform.Engine
	link *Link
}

// Result is the outcome of a run.
type Result struct {
	Violations []string
	// HistoryTail is the end of the history up to and including the first violation.
	HistoryTail []string
	// History lists all faults and violations of the run with their times.
	History []string
	// Counts is the number of answers by request kind and status.
	Counts map[string]int
	// EngineEnds is the number of times that a request with a crashing part ended an engine.
	EngineEnds int
}

// RunSeed executes one run. It returns an error only if the run could not be set up.
func RunSeed(ctx context.Context, o Options) (Result, error) {
	w := &World{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: userplatform.NewStore(), runs: userplatform.NewRuns(),
		startedAt: time.Now(), keys: []string{"k1"}, version: 1,
	}
	w.checker = newChecker(w)
	defer w.close()
	if err := w.build(); err != nil {
		return Result{}, err
	}
	processesCtx, stopProcesses := context.WithCancel(ctx)
	defer stopProcesses()
	var goroutines sync.WaitGroup
	for _, v := range w.vms {
		goroutines.Go(func() { v.run(processesCtx, o.Binary, w.recordViolation) })
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for i := range o.Callers {
		c := newCaller(w, i)
		goroutines.Go(func() { c.run(callersCtx) })
	}
	w.injectFaults(ctx)
	w.record("calm until the end")
	w.sleep(ctx, calmTime)
	w.checker.checkServed(ctx)
	w.checker.checkDirectories(ctx)
	stopCallers()
	w.sleep(ctx, time.Second)
	stopProcesses()
	for _, v := range w.vms {
		v.stop()
	}
	goroutines.Wait()
	w.checker.checkRuns()
	w.mu.Lock()
	defer w.mu.Unlock()
	return Result{Violations: w.violations, HistoryTail: w.historyTail, History: w.history, Counts: w.checker.counts, EngineEnds: w.engineEnds}, nil
}

func (w *World) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// build starts the stand-ins and prepares the VMs.
func (w *World) build() error {
	storeServer := httptest.NewServer(w.store)
	w.servers = append(w.servers, storeServer)
	for i := range plainServers {
		p := &userplatform.PlainServer{ID: fmt.Sprintf("p%d", i), Runs: w.runs}
		link, err := w.serveBehindLink(p)
		if err != nil {
			return err
		}
		server := &plainServer{PlainServer: p, link: link, startedMillis: w.startedAt.UnixMilli()}
		p.OnRequest = func(string) { w.checker.checkArrival(p.ID) }
		w.plain = append(w.plain, server)
		w.setEntryState(server, "ready")
	}
	byAddress := map[string]*userplatform.Engine{}
	for i := range w.options.Engines {
		e := &userplatform.Engine{
			ID: fmt.Sprintf("e%d", i), AcceleratorKind: "card", Runs: w.runs, LoadTime: 100 * time.Millisecond, EventCount: eventsPerStream, EventInterval: eventInterval,
			PeerByAddress: func(a string) *userplatform.Engine { return byAddress[a] },
			OnLayersChanged: func(e *userplatform.Engine) {
				w.store.Put("keyed.servers", e.ID, e.Entry("model", string(rune('a'+i%3)), "ready"))
			},
		}
		link, err := w.serveBehindLink(e)
		if err != nil {
			return err
		}
		e.CloseConnections = w.servers[len(w.servers)-1].CloseClientConnections
		e.Address = link.Address()
		byAddress[e.Address] = e
		w.engines = append(w.engines, &engineServer{e, link})
	}
	for _, e := range w.engines {
		e.OnLayersChanged(e.Engine)
	}
	w.store.Put("keyed.op", "config", w.config())
	ports, err := freePorts(vmAddress(w.options.RunIndex, 0), 5)
	if err != nil {
		return err
	}
	for i := range w.options.VMs {
		link, err := NewLink(storeServer.Listener.Addr().String())
		if err != nil {
			return err
		}
		v, err := newVM(w.options.Dir, w.options.RunIndex, i, w.options.VMs, ports, link)
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	return nil
}

// serveBehindLink starts an HTTP server and a link in front of it.
func (w *World) serveBehindLink(h http.Handler) (*Link, error) {
	s := httptest.NewServer(h)
	s.Config.ErrorLog = nil
	w.servers = append(w.servers, s)
	return NewLink(s.Listener.Addr().String())
}

// setEntryState writes a plain server's entry with a state, or removes the entry if the
// state is empty.
func (w *World) setEntryState(p *plainServer, state string) {
	w.mu.Lock()
	p.entryState = state
	w.mu.Unlock()
	w.writeEntry(p)
}

func (w *World) writeEntry(p *plainServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entry []byte
	if p.entryState != "" {
		entry = p.Entry(p.link.Address(), p.entryState, plainSlots, p.startedMillis)
	}
	w.store.Put("keyed.servers", p.ID, entry)
}

// rewriteAll writes all entries and the configuration again with their current values.
func (w *World) rewriteAll() {
	for _, p := range w.plain {
		w.writeEntry(p)
	}
	for _, e := range w.engines {
		e.OnLayersChanged(e.Engine)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put("keyed.op", "config", w.config())
}

// config returns the operator's configuration. The caller must hold w.mu, except during
// build.
func (w *World) config() []byte {
	return userplatform.Operator{Version: w.version, Timeout: plainTimeout, StreamAttempts: 3, Keys: w.keys}.Config()
}

// record appends a line to the history.
func (w *World) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, fmt.Sprintf("%7.3f s  ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// recordViolation records a broken guarantee. The first one also saves the end of the
// history, to a file as well.
func (w *World) recordViolation(what string) {
	w.record("BROKEN %s", what)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) == 0 {
		w.historyTail = slices.Clone(w.history[max(0, len(w.history)-historyTailLines):])
		_ = os.WriteFile(filepath.Join(w.options.Dir, "violation.txt"), []byte(strings.Join(w.historyTail, "\n")+"\n"), 0o600) // best effort: it is also printed at the end
	}
	w.violations = append(w.violations, what)
}

func (w *World) close() {
	for _, v := range w.vms {
		v.stop()
		v.Store.Close()
	}
	for _, p := range w.plain {
		p.link.Close()
	}
	for _, e := range w.engines {
		e.link.Close()
	}
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
