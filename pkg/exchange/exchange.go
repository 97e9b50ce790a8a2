// Package exchange sends single HTTP/1.1 requests to upstreams over kept
// connections and reports truthfully whether a failed request can have reached
// its upstream. It never repeats a request by itself.
//
// net/http's client is not used here: it repeats requests on its own, and it
// takes an extra answer on a kept connection for the answer to the next request.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Errors of an exchange.
var (
	// ErrForeignAnswer: the connection holds answers to other requests only.
	ErrForeignAnswer = errors.New("answer of another request")
	// ErrConnect: no connection could be made, so nothing was sent.
	ErrConnect = errors.New("no connection")
	// ErrHeadTooLarge: no answer's head ended within maxHeadBytes.
	ErrHeadTooLarge = errors.New("head of the answer is too large")
)

// Error is a failed exchange. Sent is false only when no byte of the request
// was written.
type Error struct {
	Sent bool
	Err  error
}

// Error formats the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refused reports whether the upstream's host answered that nothing listens, so
// that the upstream is down rather than out of reach.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Config configures a Pool.
type Config struct {
	// Dial opens a connection within its own time limit.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepIdle is how long an idle connection is kept when the upstream names no limit.
	KeepIdle time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	// IsAnswer reports whether an answer with these headers belongs to the request.
	IsAnswer func(requestID string, status int, h http.Header) bool
	// IdleLimit returns the idle time that an answer names, 0 for none.
	IdleLimit func(h http.Header) time.Duration
	// Now returns the time.
	Now func() time.Time
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	idle   map[string][]*conn // by address, oldest first
	opened uint64
}

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[string][]*conn)} }

// conn is one connection; one exchange uses it at a time.
type conn struct {
	net.Conn
	address string
	source  *boundedSource
	reader  *bufio.Reader // of source
	reused  bool
	expires time.Time
}

func newConn(nc net.Conn, address string) *conn {
	source := &boundedSource{conn: nc}
	return &conn{Conn: nc, address: address, source: source, reader: bufio.NewReaderSize(source, readBuffer)}
}

// boundedSource reads from a connection and fails after a number of bytes while a bound
// is set. http.ReadResponse has no bound of its own.
type boundedSource struct {
	conn    net.Conn
	bounded bool
	left    int
}

func (s *boundedSource) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.conn.Read(p)
	}
	if s.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// readBuffer holds a few events of a stream or a usual plain answer.
const readBuffer = 4 << 10

const (
	// maxHeadBytes bounds the heads that are read until the one of the request's answer
	// has ended, interim ones included: the same as a caller's head.
	maxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of an answer to another request that is passed
	// over. A larger one costs more than a new connection.
	maxForeignBytes = 64 << 10
)

// maxForeign is the number of answers of other requests that are passed over on
// one connection before it is given up.
const maxForeign = 2

// Request is one request to send.
type Request struct {
	Address string
	// ID is what the answer must echo.
	ID     string
	Method string
	Head   []byte
	Body   []byte
	// Fresh asks for a new connection.
	Fresh bool
}

// Answer is an answer whose body is still to be read. Close ends the exchange.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only at the whole body's end, as far as its framing can tell.
	Body io.Reader
	// Framed is set when the body's end is marked, by a length or in chunks.
	Framed bool
	// Reused is set when the connection had served another request before.
	Reused bool

	pool    *Pool
	conn    *conn
	resp    *http.Response
	body    *countingBody
	written *writeResult
	stop    func() bool
	closed  bool
}

// countingBody notes the body's end.
type countingBody struct {
	io.Reader
	ended bool
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Do sends a request and returns its answer when the head of it has come. The
// connection is closed when ctx ends. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.connection(ctx, r)
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("%w to %s: %w", ErrConnect, r.Address, err)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := c.write(r)
	resp, err := p.readAnswer(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: fmt.Errorf("exchange with %s: %w", r.Address, err)}
	}
	body := &countingBody{Reader: resp.Body}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Reused: c.reused,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		pool:   p, conn: c, resp: resp, body: body, written: written, stop: stop,
	}, nil
}

// SetReadTimeout bounds the wait for the next bytes of the body; 0 removes the bound.
func (a *Answer) SetReadTimeout(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = a.conn.SetReadDeadline(deadline) // fails only on a closed connection, which the next read reports
}

// Close ends the exchange. The connection is kept if the answer was read to its
// marked end and nothing else came.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	cancelled := !a.stop()
	if cancelled || !a.body.ended || !a.Framed || a.resp.Close || !a.written.done() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, a.pool.cfg.IdleLimit(a.Header))
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Prune closes idle connections whose time has passed.
func (p *Pool) Prune() {
	now := p.cfg.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

func (p *Pool) connection(ctx context.Context, r Request) (*conn, error) {
	for !r.Fresh {
		c := p.take(r.Address)
		if c == nil {
			break
		}
		if c.quiet() {
			c.reused = true
			_ = c.SetDeadline(time.Time{})
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	nc, err := p.cfg.Dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return newConn(nc, r.Address), nil
}

// take returns the idle connection that was used last, nil when there is none.
func (p *Pool) take(address string) *conn {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Before(c.expires) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// idleMargin is subtracted from the idle time that an upstream names, so that a
// request does not cross its close.
const idleMargin = 500 * time.Millisecond

func (p *Pool) put(c *conn, limit time.Duration) {
	keep := p.cfg.KeepIdle
	if limit > 0 {
		keep = min(keep, limit-idleMargin)
	}
	if keep <= 0 {
		_ = c.Close()
		return
	}
	c.expires = p.cfg.Now().Add(keep)
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= p.cfg.MaxIdle
	if !full {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// quiet reports whether an idle connection is open and holds no unread bytes.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// writeResult is the outcome of writing a request.
type writeResult struct {
	ended chan struct{}
	err   error
}

func (w *writeResult) done() bool {
	select {
	case <-w.ended:
		return w.err == nil
	default:
		return false
	}
}

// inlineBody is the largest body that is written before the answer is read. It
// fits into the socket's buffer. A larger one is written beside the reading,
// because an upstream may answer before it has read the body.
const inlineBody = 16 << 10

func (c *conn) write(r Request) *writeResult {
	w := &writeResult{ended: make(chan struct{})}
	send := func() {
		defer close(w.ended)
		buffers := net.Buffers{r.Head}
		if len(r.Body) > 0 {
			buffers = append(buffers, r.Body)
		}
		_, w.err = buffers.WriteTo(c.Conn)
	}
	if len(r.Body) <= inlineBody {
		send()
	} else {
		go send()
	}
	return w
}

// readAnswer reads the head of the request's answer. Interim answers and late
// answers of earlier requests are passed over.
func (p *Pool) readAnswer(c *conn, r Request) (*http.Response, error) {
	c.source.bounded, c.source.left = true, maxHeadBytes
	defer func() { c.source.bounded = false }()
	for foreign := 0; ; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if p.cfg.IsAnswer(r.ID, resp.StatusCode, resp.Header) {
			return resp, nil
		}
		foreign++
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if foreign > maxForeign || !framed || resp.Close || resp.ContentLength > maxForeignBytes {
			return nil, ErrForeignAnswer
		}
		if err := c.passOver(resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrForeignAnswer, err)
		}
	}
}

// errForeignTooLarge: an answer to another request is not worth reading to its end.
var errForeignTooLarge = errors.New("its body is too large")

// passOver reads the body of an answer to another request to its end.
func (c *conn) passOver(body io.Reader) error {
	c.source.bounded = false
	defer func() { c.source.bounded = true }()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		err = errForeignTooLarge
	}
	return err
}
