//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// soundWork is how long a server works on a sound request.
const soundWork = 150 * time.Millisecond

// crashable is a server of the plain service that a request may crash. It comes back under a new
// id at the same address.
type crashable struct {
	w       *world
	name    string
	zone    string
	address string
	// work is how long a sound request takes.
	work time.Duration
	// crashes reports whether a request crashes the server as it begins to run it.
	crashes func(r *http.Request) bool
	// onArrival is called for each request that reaches the server, before it runs.
	onArrival func(s *crashable, r *http.Request)
	// onCrash is called when the server crashes.
	onCrash func(s *crashable, r *http.Request)
	// down is how long the server is gone after a crash.
	down time.Duration

	mu         sync.Mutex
	id         string
	generation int
	born       int64
	up         bool
	listener   net.Listener
	conns      map[net.Conn]bool
}

// newCrashable starts a server.
func newCrashable(w *world, name, zone string) (*crashable, error) {
	s := &crashable{w: w, name: name, zone: zone, address: "127.0.0.1:0", work: soundWork, down: 3 * time.Second, conns: map[net.Conn]bool{}}
	return s, s.start()
}

// start opens the server's address as a new incarnation and registers it.
func (s *crashable) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.generation++
	s.id = fmt.Sprintf("%s-%d", s.name, s.generation)
	s.born, s.up, s.listener, s.address = time.Now().UnixMilli(), true, l, l.Addr().String()
	id := s.id
	s.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(id, rw, r) }), IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch state {
			case http.StateNew:
				s.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(s.conns, c)
			}
		}}
	go func() { _ = server.Serve(l) }()
	go s.beat(id)
	return nil
}

// beat writes the entry of an incarnation every heartbeat while it runs. A server that crashed
// sends nothing; its entry is removed after three intervals.
func (s *crashable) beat(id string) {
	for {
		s.mu.Lock()
		alive := s.up && s.id == id
		entry := (&userplatform.PlainServer{ID: id}).Entry(s.address, "ready", 50, s.born)
		s.mu.Unlock()
		if !alive {
			time.Sleep(3*heartbeat - time.Second)
			s.w.store.Put("keyed.servers", id, nil)
			return
		}
		s.w.store.Put("keyed.servers", id, entry)
		time.Sleep(heartbeat)
	}
}

func (s *crashable) serve(id string, rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Instance-Id", id)
	if r.URL.Path == "/health" {
		return
	}
	request := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", request)
	body, _ := io.ReadAll(r.Body)
	if s.onArrival != nil {
		s.onArrival(s, r)
	}
	if r.Header.Get("Expected-Instance") != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.w.runs.Add(request)
	if s.crashes != nil && s.crashes(r) {
		s.crash(r)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	rw.Header().Set("Response-Signature", id+"."+request)
	_, _ = io.WriteString(rw, userplatform.PlainBody(r.Method, r.RequestURI, r.Header.Get("Tenant"), string(body)))
}

// crash ends the process: its connections are reset and its port is closed until it is back.
func (s *crashable) crash(r *http.Request) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash(s, r)
	}
	time.AfterFunc(s.down, func() {
		if err := s.start(); err != nil {
			s.w.rec.log("%s does not start again: %v", s.name, err)
		}
	})
}
