//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// heartbeat is heartbeat_ms of the settings: servers write their entries that often.
const heartbeat = 1200 * time.Millisecond

// world holds the stand-ins of the platform, its servers and the processes under test.
type world struct {
	rec     *recorder
	dir     string // temporary folder for settings and logs
	trouble bool
	store   *userplatform.Store
	// storeServer serves the store.
	storeServer *httptest.Server
	runs        *userplatform.Runs
	plain       []*plainServer
	engines     []*engineServer
	vms         []*vm
	stopBeats   chan struct{}
	requests    atomic.Int64

	mu       sync.Mutex
	version  int
	keys     []string
	attempts int
	// editConfig changes the operator's configuration if it is set.
	editConfig func(c map[string]any)
}

// plainServer is a server of the plain service.
type plainServer struct {
	*userplatform.PlainServer
	server  *httptest.Server
	address string
	zone    string
	born    int64
	state   string // of its entry; empty for no entry
}

// engineServer is a model engine.
type engineServer struct {
	*userplatform.Engine
	server *httptest.Server
	zone   string
	state  string
	// wrap replaces the engine's handler while it is set.
	wrap atomic.Pointer[http.HandlerFunc]
}

type worldOptions struct {
	vms, engines, plain int
	memoryMB            int
	events              int
	interval            time.Duration
	storeAddress        func(i int, real string) string
	editConfig          func(c map[string]any)
	// onEngine prepares an engine that takes the place of a crashed one.
	onEngine func(e *engineServer)
	// onPlain replaces the handler of the plain servers if it is set.
	onPlain func(p *plainServer, next http.Handler) http.Handler
}

func newWorld(rec *recorder, o worldOptions) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: userplatform.NewStore(), runs: userplatform.NewRuns(), version: 1, keys: []string{"key-of-the-team"}, stopBeats: make(chan struct{}), attempts: 2, editConfig: o.editConfig}
	w.storeServer = httptest.NewServer(w.store)
	for i := range o.plain {
		p := &plainServer{PlainServer: &userplatform.PlainServer{ID: fmt.Sprintf("p%d", i), Runs: w.runs}, zone: zones[i%len(zones)], born: time.Now().UnixMilli(), state: "ready"}
		var h http.Handler = p.PlainServer
		if o.onPlain != nil {
			h = o.onPlain(p, h)
		}
		p.server = httptest.NewServer(h)
		p.server.Config.ErrorLog = nil
		p.address = p.server.Listener.Addr().String()
		w.plain = append(w.plain, p)
	}
	for i := range o.engines {
		w.engines = append(w.engines, w.newEngine(i, o))
	}
	w.store.Put("keyed.op", "config", w.config())
	w.beat()
	go w.beats()
	w.vms, err = newFleet(dir, o.vms, o.memoryMB, func(i int) string {
		real := w.storeServer.Listener.Addr().String()
		if o.storeAddress != nil {
			return o.storeAddress(i, real)
		}
		return real
	}, rec)
	return w, err
}

// newEngine starts an engine without layers.
func (w *world) newEngine(i int, o worldOptions) *engineServer {
	e := &engineServer{zone: zones[i%len(zones)], state: "ready"}
	e.Engine = &userplatform.Engine{
		ID: fmt.Sprintf("e%d", i), AcceleratorKind: "card", Runs: w.runs, LoadTime: 100 * time.Millisecond, EventCount: o.events, EventInterval: o.interval,
		PeerByAddress:   w.engineAt,
		OnLayersChanged: func(*userplatform.Engine) { w.putEngine(e) },
	}
	e.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if h := e.wrap.Load(); h != nil {
			(*h)(rw, r)
			return
		}
		e.Engine.ServeHTTP(rw, r)
	}))
	e.Engine.Address = e.server.Listener.Addr().String()
	e.CloseConnections = e.server.CloseClientConnections
	return e
}

// engineAt returns the engine at an address, or nil if none runs there.
func (w *world) engineAt(address string) *userplatform.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if e.Engine.Address == address && e.state != "" {
			return e.Engine
		}
	}
	return nil
}

// crashEngine ends an engine: its connections break, its port is closed and its entry expires.
// After a while another engine, without layers and with a new id, takes its place.
func (w *world) crashEngine(e *engineServer, down time.Duration, o worldOptions) {
	w.mu.Lock()
	if e.state == "" {
		w.mu.Unlock()
		return
	}
	e.state = ""
	w.mu.Unlock()
	_ = e.server.Listener.Close()
	go e.server.CloseClientConnections() // waits for the handler that crashes it
	time.AfterFunc(3*heartbeat, func() { w.store.Put("keyed.servers", e.ID, nil) })
	time.AfterFunc(down, func() {
		w.mu.Lock()
		n := len(w.engines)
		w.mu.Unlock()
		next := w.newEngine(n, o)
		next.zone = e.zone
		if h := e.wrap.Load(); h != nil && o.onEngine != nil {
			o.onEngine(next)
		}
		w.mu.Lock()
		w.engines = append(w.engines, next)
		w.mu.Unlock()
		w.putEngine(next)
	})
}

func (w *world) startVMs() {
	for _, v := range w.vms {
		go v.run()
	}
}

// config returns the operator's configuration.
func (w *world) config() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	data := userplatform.Operator{Version: w.version, Timeout: 2 * time.Second, StreamAttempts: w.attempts, Keys: w.keys}.Config()
	if w.editConfig == nil {
		return data
	}
	var c map[string]any
	if json.Unmarshal(data, &c) != nil {
		return data
	}
	w.editConfig(c)
	data, _ = json.Marshal(c)
	return data
}

func (w *world) putEngine(e *engineServer) {
	w.mu.Lock()
	state := e.state
	w.mu.Unlock()
	if state != "" {
		w.store.Put("keyed.servers", e.ID, e.Entry("model", e.zone, state))
	}
}

func (w *world) putPlain(p *plainServer) {
	w.mu.Lock()
	state, born := p.state, p.born
	w.mu.Unlock()
	if state != "" {
		entry := p.Entry(p.address, state, 50, born)
		w.store.Put("keyed.servers", p.ID, entry)
	}
}

func (w *world) beat() {
	for _, p := range w.plain {
		w.putPlain(p)
	}
	w.mu.Lock()
	engines := append([]*engineServer(nil), w.engines...)
	w.mu.Unlock()
	for _, e := range engines {
		w.putEngine(e)
	}
}

// beats writes the entries of the servers every heartbeat.
func (w *world) beats() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.beat()
		case <-w.stopBeats:
			return
		}
	}
}

func (w *world) close() {
	close(w.stopBeats)
	for _, v := range w.vms {
		v.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// awaitReady waits until all VMs answer that they are ready, and the layers are placed.
func (w *world) awaitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		ready := 0
		for _, v := range w.vms {
			c := http.Client{Timeout: time.Second}
			resp, err := c.Get("http://" + v.ready() + "/v1/readiness")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				ready++
			}
		}
		if ready == len(w.vms) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// reply is what a client got.
type reply struct {
	id       string
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
	took     time.Duration
}

// isLost reports whether the request was taken and lost: the answer says that the outcome is not
// known, or broke off.
func (a *reply) isLost() bool {
	return a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout || a.status == http.StatusOK && !a.complete
}

// newClient returns a client that keeps connections, as callers do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
	}}
}

// nextID returns the id of a new client attempt.
func (w *world) nextID(kind string) string { return fmt.Sprintf("%s-%d", kind, w.requests.Add(1)) }

// send sends one request of a kind (gen, book, look) to an address and reads its answer.
func (w *world) send(c *http.Client, address, id, kind, parts string, deadline time.Duration) reply {
	method := http.MethodPost
	if kind == "look" {
		method = http.MethodGet
	}
	return w.sendPath(c, address, id, method, "/"+kind+"/x?q="+id, parts, deadline)
}

// sendPath sends one request to an address and reads its answer.
func (w *world) sendPath(c *http.Client, address, id, method, path, parts string, deadline time.Duration) reply {
	body := "body of " + path
	if method == http.MethodGet {
		body = ""
	}
	r, err := http.NewRequest(method, "http://"+address+path, stringsReader(body))
	if err != nil {
		return reply{id: id, err: err}
	}
	r.GetBody = nil
	w.mu.Lock()
	key := w.keys[len(w.keys)-1]
	w.mu.Unlock()
	userplatform.CallerRequest{ID: id, Key: key, Deadline: deadline, PromptParts: parts}.SetHeaders(r)
	began := time.Now()
	a := reply{id: id}
	resp, err := c.Do(r)
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.err, a.complete, a.took = err, err == nil, time.Since(began)
	w.rec.log("client %s %s to %s: status %d, %d bytes, complete %v, %d ms, %v", id, path, address, a.status, len(a.body), a.complete, a.took.Milliseconds(), a.err)
	return a
}
