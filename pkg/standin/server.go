package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
)

// Part is a stand-in that a Server can serve.
type Part interface {
	http.Handler
	ID() string
	Faults() Faults
	SetFaults(Faults)
	base() *part
}

func (p *part) base() *part { return p }

// Listen opens a listener on an address.
type Listen func(address string) (net.Listener, error)

// ListenTCP listens on a TCP address.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Server serves a stand-in on an address, refuses connections while it is
// crashed, and can make open connections go silent.
type Server struct {
	part    Part
	address string
	listen  Listen

	mu     sync.Mutex
	http   *http.Server
	conns  map[*silentConn]struct{}
	closed bool
}

// NewServer listens on the address and starts serving.
func NewServer(part Part, address string, listen Listen) (*Server, error) {
	s := &Server{part: part, address: address, listen: listen, conns: map[*silentConn]struct{}{}}
	if err := s.open(); err != nil {
		return nil, err
	}
	b := part.base()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onCrash = append(b.onCrash, s.shut)
	b.onRestore = append(b.onRestore, func() { _ = s.open() })
	b.onSilence = append(b.onSilence, s.silence)
	return s, nil
}

// open listens and serves in the background.
func (s *Server) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.http != nil {
		return nil
	}
	listener, err := s.listen(s.address)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", s.part.ID(), err)
	}
	s.http = &http.Server{Handler: s.part, ErrorLog: log.New(io.Discard, "", 0)}
	go func(server *http.Server) { _ = server.Serve(&silentListener{Listener: listener, server: s}) }(s.http)
	return nil
}

// shut closes the listener and all connections.
func (s *Server) shut() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Close ends the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.shut()
	s.part.base().endLife()
}

// silence makes the connections that are open now go quiet for good.
func (s *Server) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

type silentListener struct {
	net.Listener
	server *Server
}

// Accept returns a connection that the server can make silent.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, server: l.server, closed: make(chan struct{})}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[c] = struct{}{}
	return c, nil
}

// silentConn is a connection that, once silent, swallows what either side writes.
type silentConn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	closed chan struct{}
	close  sync.Once
}

// Read returns what the peer sent before the silence. The peer's closing is not
// seen after that either.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			<-c.closed
			return 0, net.ErrClosed
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write claims success during the silence.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.close.Do(func() {
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		close(c.closed)
	})
	return c.Conn.Close()
}

// Network is a network in memory for tests: addresses without sockets.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// NewNetwork returns an empty network.
func NewNetwork() *Network { return &Network{listeners: map[string]*memoryListener{}} }

// errRefused is the cause of a dial error when nothing listens on the address.
var errRefused = errors.New("connection refused")

// Listen opens a listener on an address of the network.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &memoryListener{network: n, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address of the network.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Err: errRefused}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// Client returns an HTTP client whose connections go through the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 64}}
}

type memoryListener struct {
	network *Network
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr returns the listener's address.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network names the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
