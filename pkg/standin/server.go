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

// StandIn is a stand-in that a Server can serve.
type StandIn interface {
	http.Handler
	ID() string
	Faults() Faults
	SetFaults(Faults)
	base() *faultable
}

func (s *faultable) base() *faultable { return s }

// ListenFunc opens a listener on an address.
type ListenFunc func(address string) (net.Listener, error)

// ListenTCP listens on a TCP address.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Server serves a stand-in on an address. While the stand-in is crashed, it refuses
// connections. It can make open connections silent.
type Server struct {
	standIn StandIn
	address string
	listen  ListenFunc

	mu     sync.Mutex
	http   *http.Server
	conns  map[*silentConn]struct{}
	closed bool
}

// NewServer listens on the address and starts serving the stand-in.
func NewServer(standIn StandIn, address string, listen ListenFunc) (*Server, error) {
	s := &Server{standIn: standIn, address: address, listen: listen, conns: map[*silentConn]struct{}{}}
	if err := s.open(); err != nil {
		return nil, err
	}
	b := standIn.base()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onCrash = append(b.onCrash, s.closeAll)
	b.onRestore = append(b.onRestore, func() { _ = s.open() })
	b.onSilence = append(b.onSilence, s.silence)
	return s, nil
}

// open listens and serves in the background unless the server is open or closed for good.
func (s *Server) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.http != nil {
		return nil
	}
	listener, err := s.listen(s.address)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", s.standIn.ID(), err)
	}
	s.http = &http.Server{Handler: s.standIn, ErrorLog: log.New(io.Discard, "", 0)}
	go func(server *http.Server) { _ = server.Serve(&silentListener{Listener: listener, server: s}) }(s.http)
	return nil
}

// closeAll closes the listener and all connections; open can reopen the server.
func (s *Server) closeAll() {
	s.mu.Lock()
	server := s.http
	s.http = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Close stops the server and the work of the stand-in for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.closeAll()
	s.standIn.base().cancelRun()
}

// silence makes the currently open connections silent for good.
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

// Accept returns a connection that Server.silence can make silent.
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

// silentConn is a connection that, once silent, discards the data of both sides.
type silentConn struct {
	net.Conn
	server *Server
	silent atomic.Bool
	closed chan struct{}
	close  sync.Once
}

// Read returns the data received before the connection became silent. After that it
// discards data, and hides that the peer closed the connection until Close is called.
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

// Write discards b and reports success if the connection is silent.
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

// Network is an in-memory network for tests.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// NewNetwork returns an empty network.
func NewNetwork() *Network { return &Network{listeners: map[string]*memoryListener{}} }

// errConnectionRefused is the cause of a dial error when nothing listens on the address.
var errConnectionRefused = errors.New("connection refused")

// Listen opens a listener on an address of the network. It has the type ListenFunc.
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
	refused := &net.OpError{Op: "dial", Net: network, Err: errConnectionRefused}
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

// Client returns an HTTP client that connects over the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial, MaxIdleConnsPerHost: 64}}
}

type memoryListener struct {
	network   *Network
	address   string
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
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
	l.closeOnce.Do(func() {
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

// Network returns the name of the network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
