package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode determines how a link treats the data that passes through it.
type Mode uint8

const (
	// Pass forwards data without delay.
	Pass Mode = iota
	// Slow delays each chunk by slowDelay.
	Slow
	// SilentToServer holds data on its way to the server, without a reset.
	SilentToServer
	// SilentFromServer holds data that comes from the server, without a reset.
	SilentFromServer
	// Silent holds data in both directions, without a reset.
	Silent
	// Refuse closes new connections immediately.
	Refuse
)

var modeNames = [...]string{"pass", "slow", "silent to the server", "silent from the server", "silent", "refuse"}

// String returns the mode's name.
func (m Mode) String() string { return modeNames[m] }

// slowDelay is the delay of each chunk in mode Slow.
const slowDelay = 150 * time.Millisecond

// Link is a loopback TCP proxy in front of one server.
type Link struct {
	target      string
	listener    net.Listener
	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{} // closed and replaced when the mode changes
	pairs       map[*connectionPair]bool
	closed      bool
}

// connectionPair holds the two connections of one proxied connection.
type connectionPair struct{ client, server net.Conn }

// NewLink starts a proxy in front of the server at target.
func NewLink(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open link listener: %w", err)
	}
	k := &Link{target: target, listener: l, modeChanged: make(chan struct{}), pairs: map[*connectionPair]bool{}}
	go k.accept()
	return k, nil
}

// Address returns the address that the link listens on.
func (k *Link) Address() string { return k.listener.Addr().String() }

// SetMode changes the mode; it applies to open connections too.
func (k *Link) SetMode(m Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
	close(k.modeChanged)
	k.modeChanged = make(chan struct{})
}

// Reset resets all open connections.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.pairs {
		p.reset()
	}
}

// Close stops the listener and resets all connections.
func (k *Link) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	_ = k.listener.Close() // the run ends, so a failure is harmless
	k.SetMode(Pass)
	k.Reset()
}

func (p *connectionPair) reset() {
	for _, c := range []net.Conn{p.client, p.server} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // fails only for a connection that is already closed
		}
		_ = c.Close()
	}
}

func (k *Link) state() (Mode, chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode, k.modeChanged, k.closed
}

func (k *Link) accept() {
	for {
		client, err := k.listener.Accept()
		if err != nil {
			return
		}
		if mode, _, _ := k.state(); mode == Refuse {
			_ = client.Close()
			continue
		}
		go k.serve(client)
	}
}

func (k *Link) serve(client net.Conn) {
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connectionPair{client, server}
	k.mu.Lock()
	k.pairs[p] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.copy(server, client, SilentToServer) })
	both.Go(func() { k.copy(client, server, SilentFromServer) })
	both.Wait()
	_ = client.Close()
	_ = server.Close()
	k.mu.Lock()
	delete(k.pairs, p)
	k.mu.Unlock()
}

// copy forwards bytes until one side ends. An end of stream is forwarded as a half-close;
// a read error resets both connections. silent is the mode that holds this direction.
func (k *Link) copy(to, from net.Conn, silent Mode) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.hold(silent)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			k.hold(silent)
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = t.CloseWrite() // the other side may already be closed
				return
			}
			(&connectionPair{to, from}).reset()
			return
		}
	}
}

// hold blocks while the link is silent in this direction and applies the delay of mode
// Slow.
func (k *Link) hold(silent Mode) {
	for {
		mode, changed, closed := k.state()
		switch {
		case closed:
			return
		case mode == Silent || mode == silent:
			<-changed
		case mode == Slow:
			time.Sleep(slowDelay)
			return
		default:
			return
		}
	}
}
