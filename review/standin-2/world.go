//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// world holds the processes and stand-ins of a case.
type world struct {
	rec   *record
	dir   string
	store *userplatform.Store
	link  *storeLink
	vms   []*vm
	stops []func()
	runs  *runs
	// plainAddresses are the addresses of the plain servers.
	plainAddresses []string
	ends           chan struct{} // closed when the case ends
}

// runs lists what servers have run.
type runs struct {
	mu   sync.Mutex
	list []served
}

// served is a request that a server ran.
type served struct {
	id, server string
	at         time.Time
}

func (r *runs) add(s served) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, s)
}

func (r *runs) of(id string) []served {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []served
	for _, s := range r.list {
		if s.id == id {
			found = append(found, s)
		}
	}
	return found
}

// errNotReady says that the VMs did not become ready.
var errNotReady = errors.New("VMs did not become ready")

// newWorld starts the store's stand-in with a link in front, and prepares the VMs.
func newWorld(rec *record, vms, memoryMB, fileDescriptors int) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	w := &world{rec: rec, dir: dir, store: userplatform.NewStore(), runs: &runs{}, ends: make(chan struct{})}
	address, err := w.serve(w.store)
	if err != nil {
		return nil, err
	}
	if w.link, err = newStoreLink(address, func() []*vm { return w.vms }); err != nil {
		return nil, err
	}
	w.vms, err = newVMs(dir, vms, w.link.address(), memoryMB, fileDescriptors)
	return w, err
}

// serve serves a handler on a free loopback port until the case ends.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("serve: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.stops = append(w.stops, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// heartbeat writes an entry now and at each heartbeat until the case ends; write returns false to
// leave one out.
func (w *world) heartbeat(write func(sequence int) ([]byte, bool), id string) {
	put := func(sequence int) {
		if entry, ok := write(sequence); ok {
			w.store.Put("keyed.servers", id, entry)
		}
	}
	put(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-w.ends:
				return
			case <-time.After(heartbeatInterval):
				put(sequence)
			}
		}
	}()
}

// addPlain starts a server of a plain service that writes its entry at each heartbeat.
func (w *world) addPlain(id, service, zone string) error {
	s := &plainServer{id: id, w: w}
	address, err := w.serve(s)
	if err != nil {
		return err
	}
	w.plainAddresses = append(w.plainAddresses, address)
	born := time.Now().UnixMilli()
	w.heartbeat(func(sequence int) ([]byte, bool) {
		entry, _ := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": zone, "version": "1", "slots": 6, "state": "ready", "cold_ms": 0, "sequence": sequence, "born": born,
		})
		return entry, true
	}, id)
	return nil
}

// plainServer is a sound server of a plain service.
type plainServer struct {
	id string
	w  *world
}

// serviceTime is the work of a request.
const serviceTime = 15 * time.Millisecond

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.w.runs.add(served{id: id, server: s.id, at: time.Now()})
	s.w.rec.line("server %s runs %s, tenant %q", s.id, id, r.Header.Get("Tenant"))
	time.Sleep(serviceTime)
	w.Header().Set("Response-Signature", s.id+"."+id)
	fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, s.id)
}

// startAll starts all VMs and waits until each is ready.
func (w *world) startAll() error {
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, v := range w.vms {
		for !isReady(v) {
			if time.Now().After(until) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(v *vm) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins. The logs of the VMs are kept if KEEP is set.
func (w *world) close() {
	close(w.ends)
	for _, v := range w.vms {
		v.stop()
		_ = v.log.Close()
	}
	_ = w.link.listener.Close()
	for _, stop := range w.stops {
		stop()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}
