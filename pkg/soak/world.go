// Package soak plays a fleet of real entry processes against stand-ins of the users'
// platform on one machine, disturbs them from outside, and checks what callers and
// servers see. Faults reach the processes only by signals and by loopback proxies
// before the store and the servers; a seed fixes which come when.
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

// Options are those of one run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Binary is the program under test, Dir the place of its settings and logs.
	Binary string
	Dir    string
	// Run tells runs at the same time apart: each has loopback addresses of its own.
	Run     int
	VMs     int
	Callers int
	Engines int
}

const (
	plainServers = 3
	plainSlots   = 50
	plainTimeout = 2 * time.Second
	events       = 30
	// eventPause makes a generation last 0.6 s.
	eventPause = 20 * time.Millisecond
	// settle is how long the fleet has before the first fault, and calm the time without
	// faults at the end, in which service must return (recovery_s of the platform).
	settle = 6 * time.Second
	calm   = 12 * time.Second
	// momentsKept is the number of moments before a violation that are printed with it.
	momentsKept = 40
)

// World is one run.
type World struct {
	options Options
	random  *rand.Rand
	store   *userplatform.Store
	runs    *userplatform.Runs
	plain   []*plainServer
	engines []*engineServer
	vms     []*VM
	servers []*httptest.Server
	began   time.Time

	mu      sync.Mutex
	history []string
	// violations are the broken promises, the first one first; moments are those before
	// the first, and it.
	violations []string
	moments    []string
	version    int
	keys       []string
	changedAt  time.Time
	checker    *checker
}

type plainServer struct {
	*userplatform.Plain
	link *Link
	born int64 // milliseconds; each start of the server is a new one
	// state is what the entry says, empty without one.
	state string
}

type engineServer struct {
	*userplatform.Engine
	link *Link
}

// Result is the outcome of a run.
type Result struct {
	Violations []string
	// Moments are the moments around the first violation, History those of the run.
	Moments []string
	History []string
	Counts  map[string]int
}

// Play plays one run.
func Play(ctx context.Context, o Options) (Result, error) {
	w := &World{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: userplatform.NewStore(), runs: userplatform.NewRuns(),
		began: time.Now(), keys: []string{"k1"}, version: 1,
	}
	w.checker = newChecker(w)
	defer w.close()
	if err := w.build(); err != nil {
		return Result{}, err
	}
	processes, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() { v.run(processes, o.Binary, w.violate) })
	}
	callers, end := context.WithCancel(ctx)
	defer end()
	for i := range o.Callers {
		c := newCaller(w, i)
		all.Go(func() { c.run(callers) })
	}
	w.disturb(ctx)
	w.note("calm until the end")
	w.sleep(ctx, calm)
	w.checker.served(ctx)
	end()
	w.sleep(ctx, time.Second)
	stop()
	for _, v := range w.vms {
		v.stop()
	}
	all.Wait()
	w.checker.finish()
	w.mu.Lock()
	defer w.mu.Unlock()
	return Result{Violations: w.violations, Moments: w.moments, History: w.history, Counts: w.checker.counts}, nil
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
		p := &userplatform.Plain{ID: fmt.Sprintf("p%d", i), Runs: w.runs}
		link, err := w.serve(p)
		if err != nil {
			return err
		}
		server := &plainServer{Plain: p, link: link, born: w.began.UnixMilli()}
		p.Arrived = func(string) { w.checker.arrived(p.ID) }
		w.plain = append(w.plain, server)
		w.list(server, "ready")
	}
	byAddress := map[string]*userplatform.Engine{}
	for i := range w.options.Engines {
		e := &userplatform.Engine{
			ID: fmt.Sprintf("e%d", i), Card: "card", Runs: w.runs, Load: 100 * time.Millisecond, Events: events, Pause: eventPause,
			Peers: func(a string) *userplatform.Engine { return byAddress[a] },
			Changed: func(e *userplatform.Engine) {
				w.store.Put("keyed.servers", e.ID, e.Entry("model", string(rune('a'+i%3)), "ready"))
			},
		}
		link, err := w.serve(e)
		if err != nil {
			return err
		}
		e.Address = link.Address()
		byAddress[e.Address] = e
		w.engines = append(w.engines, &engineServer{e, link})
	}
	for _, e := range w.engines {
		e.Changed(e.Engine)
	}
	w.store.Put("keyed.op", "config", w.config())
	ports, err := freePorts(vmAddress(w.options.Run, 0), 5)
	if err != nil {
		return err
	}
	for i := range w.options.VMs {
		link, err := NewLink(storeServer.Listener.Addr().String())
		if err != nil {
			return err
		}
		v, err := newVM(w.options.Dir, w.options.Run, i, w.options.VMs, ports, link)
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
	}
	return nil
}

// serve starts a server behind a link.
func (w *World) serve(h http.Handler) (*Link, error) {
	s := httptest.NewServer(h)
	s.Config.ErrorLog = nil
	w.servers = append(w.servers, s)
	return NewLink(s.Listener.Addr().String())
}

// list writes a plain server's entry, or drops it without a state.
func (w *World) list(p *plainServer, state string) {
	w.mu.Lock()
	p.state = state
	w.mu.Unlock()
	w.writeEntry(p)
}

func (w *World) writeEntry(p *plainServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entry []byte
	if p.state != "" {
		entry = p.Entry(p.link.Address(), p.state, plainSlots, p.born)
	}
	w.store.Put("keyed.servers", p.ID, entry)
}

// rewrite writes all entries and the configuration again as they are.
func (w *World) rewrite() {
	for _, p := range w.plain {
		w.writeEntry(p)
	}
	for _, e := range w.engines {
		e.Changed(e.Engine)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put("keyed.op", "config", w.config())
}

// config returns the operator's configuration; callers hold the lock or run alone.
func (w *World) config() []byte {
	return userplatform.Operator{Version: w.version, Timeout: plainTimeout, StreamAttempts: 3, Keys: w.keys}.Config()
}

// note keeps a moment for the story of a violation.
func (w *World) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, fmt.Sprintf("%7.3f s  ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// violate books a broken promise, with the moments before it.
func (w *World) violate(what string) {
	w.note("BROKEN %s", what)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) == 0 {
		w.moments = slices.Clone(w.history[max(0, len(w.history)-momentsKept):])
		_ = os.WriteFile(filepath.Join(w.options.Dir, "violation.txt"), []byte(strings.Join(w.moments, "\n")+"\n"), 0o600) // also printed at the end
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
