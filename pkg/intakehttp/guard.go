// Package intakehttp connects the account of what callers hold (pkg/intake) to an HTTP server: it
// admits connections, reports what they read and write, and carries out what the account decides.
package intakehttp

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/intake"
)

// Guard admits the callers of one listener.
type Guard struct {
	account *intake.Account
	// turnedAway is called for each caller that is turned away.
	turnedAway func(cause intake.Cause, address string)
}

// New returns a guard. turnedAway is called for each caller that is turned away; it must not block.
func New(limits intake.Limits, turnedAway func(cause intake.Cause, address string)) *Guard {
	return &Guard{account: intake.New(limits), turnedAway: turnedAway}
}

// Usage returns what callers hold.
func (g *Guard) Usage() intake.Usage { return g.account.Usage() }

// Limits returns the limits of the account.
func (g *Guard) Limits() intake.Limits { return g.account.Limits() }

// Listener returns a listener whose connections are counted.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that the account admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address, _, err := net.SplitHostPort(nc.RemoteAddr().String())
		if err != nil {
			address = nc.RemoteAddr().String()
		}
		c := &conn{Conn: nc, guard: l.guard, address: address}
		entry, endings := l.guard.account.Open(time.Now(), address, c)
		l.guard.carryOut(endings)
		if entry == nil {
			l.guard.turnedAway(intake.NoConnection, address)
			_ = nc.Close()
			continue
		}
		c.entry = entry
		c.inHeader.Store(true)
		return c, nil
	}
}

// carryOut ends connections. A request whose body is being read is refused by its handler, whose
// read fails.
func (g *Guard) carryOut(endings []intake.Ending) {
	for _, e := range endings {
		c, ok := e.Conn.Handle.(*conn)
		if !ok {
			continue
		}
		g.turnedAway(e.Cause, c.address)
		if e.Answer {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
			continue
		}
		_ = c.Close()
	}
}

// conn is a counted connection.
type conn struct {
	net.Conn
	guard    *Guard
	entry    *intake.Conn
	address  string
	inHeader atomic.Bool
	closing  sync.Once
}

// errNoRoom ends the connection of a caller whose header does not fit.
var errNoRoom = errors.New("no room for the header")

// Read reads and counts bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.inHeader.Load() {
		c.entry.Received(n)
		return n, err
	}
	ok, endings := c.guard.account.HeaderRead(time.Now(), c.entry, n, bytes.Count(p[:n], []byte{'\n'}))
	c.guard.carryOut(endings)
	if !ok {
		c.guard.turnedAway(intake.Full, c.address)
		_ = c.Close()
		return 0, errNoRoom
	}
	return n, err
}

// maxWrite is the size of the parts in which a long answer is written, so that a caller that reads
// slowly is told from one that does not read.
const maxWrite = 64 << 10

// Write writes bytes and records whether the caller reads them.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+maxWrite)]
		c.entry.BeginWrite()
		n, err := c.Conn.Write(part)
		c.entry.EndWrite(n)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite lets net/http wait for the caller to read its last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back what it holds.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() { c.guard.account.Close(c.entry) })
	return err
}

type contextKey struct{}

// Attach makes a server report its connections to the guard. Its listener and its handler must be
// those of the guard.
func (g *Guard) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, nc)
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			g.account.BecomeIdle(c.entry)
			c.inHeader.Store(true)
		}
	}
}

// Handler returns a handler that counts the requests of next.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !g.account.BeginRequest(c.entry) {
			panic(http.ErrAbortHandler)
		}
		c.inHeader.Store(false)
		defer g.account.EndRequest(c.entry)
		next.ServeHTTP(w, r)
	})
}
