// Package exchange sends single HTTP/1.1 requests to upstreams over pooled
// connections and reports whether a failed request may have reached its upstream.
// It never retries a request by itself.
//
// The client of net/http is not used for two reasons. It retries some requests on
// its own, and it may take an extra response on a pooled connection for the
// response to the next request.
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

	"github.com/cornelline/cornelline/internal/answer"
)

// Errors of an exchange.
var (
	// ErrForeignResponse reports that the connection delivered only responses to
	// other requests.
	ErrForeignResponse = errors.New("response to another request")
	// ErrConnect reports that no connection could be opened, so nothing was sent.
	ErrConnect = errors.New("no connection")
	// ErrHeadTooLarge reports that the heads before the response's body exceed
	// maxHeadBytes.
	ErrHeadTooLarge = errors.New("response head is too large")
	// ErrNotAnAnswer reports a head that is not one of HTTP/1.x. The upstream goes on, but does
	// not work.
	ErrNotAnAnswer = answer.ErrNotAnAnswer
)

// Error is the error of a failed exchange. Sent is false only if no byte of the
// request was written.
type Error struct {
	Sent bool
	Err  error
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsConnectionRefused reports whether the upstream's host refused the connection.
// In this case the upstream is down rather than unreachable.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Config configures a Pool.
type Config struct {
	// Dial opens a connection. It must enforce its own timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout bounds the time for which an idle connection is kept. The upstream
	// may announce a shorter one.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the number of idle connections to one address.
	MaxIdlePerAddress int
	// MaxIdle bounds the number of idle connections to all addresses. 0 means no bound.
	MaxIdle int
	// IsResponseTo reports whether a response with this status and these headers
	// belongs to the request. onlyRequest is set if the connection has served no other
	// request and delivered no other response: only then does a response without an ID
	// belong to the request for certain.
	IsResponseTo func(requestID string, onlyRequest bool, status int, h http.Header) bool
	// AnnouncedIdleTimeout returns the idle timeout that a response announces, 0 if
	// there is none.
	AnnouncedIdleTimeout func(h http.Header) time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	idle   map[string][]*conn // by address, oldest first
	idles  int                // number of idle connections
	opened uint64
}

// New returns an empty pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[string][]*conn)} }

// conn is a connection to an upstream. It serves one exchange at a time.
type conn struct {
	*answer.Conn
	address string
	source  *boundedReader
	reader  *bufio.Reader // of source
	reused  bool
	expires time.Time
}

func newConn(nc net.Conn, address string) *conn {
	c := answer.NewConn(nc)
	source := &boundedReader{conn: c}
	return &conn{Conn: c, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferSize)}
}

// boundedReader reads from a connection. While bounded is set, reads fail once the
// number of remaining bytes is used up. http.ReadResponse itself does not bound the
// size of a head.
type boundedReader struct {
	conn      net.Conn
	bounded   bool
	remaining int
}

func (s *boundedReader) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.conn.Read(p)
	}
	if s.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := s.conn.Read(p[:min(len(p), s.remaining)])
	s.remaining -= n
	return n, err
}

// readBufferSize is large enough for a few events of a stream or a typical plain
// response.
const readBufferSize = 4 << 10

const (
	// maxHeadBytes bounds the total size of the heads that are read for a request,
	// including those of informational responses. It equals the limit for the head
	// of a caller's request.
	maxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of a response to another request that is read
	// and discarded. Reading a larger one costs more than a new connection.
	maxForeignBytes = 64 << 10
)

// maxForeignResponses is the number of responses to other requests that are
// discarded while waiting for a response. With one more, the exchange fails.
const maxForeignResponses = 2

// Request is one request to send.
type Request struct {
	Address string
	// ID must be echoed by the response. It is passed to Config.IsResponseTo.
	ID     string
	Method string
	// Head is the encoded request line and header section with the empty line at its end.
	Head []byte
	// Body holds the body in segments.
	Body [][]byte
	// NewConnection forces a new connection instead of a pooled one.
	NewConnection bool
}

// Response is a response whose body has yet to be read. Close ends the exchange.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if the response does not state it.
	Length int64
	// Body returns io.EOF only at the end of the complete body. If the body ends with the
	// connection, a read at its end also waits until the request has been written.
	Body io.Reader
	// Framed is set if the end of the body is marked by more than the end of the
	// connection, such as a content length or chunked encoding.
	Framed bool
	// Reused is set if the connection has served an earlier request.
	Reused bool

	pool              *Pool
	conn              *conn
	resp              *http.Response
	body              *eofRecorder
	stopCloseOnCancel func() bool
	closed            bool
}

// eofRecorder records whether the end of the body was read.
type eofRecorder struct {
	io.Reader
	reachedEOF bool
}

func (b *eofRecorder) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.reachedEOF = true
	}
	return n, err
}

// Do sends a request and returns its response as soon as the response's head has
// been read. The connection is closed when ctx is done. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, &Error{Err: fmt.Errorf("%w to %s: %w", ErrConnect, r.Address, err)}
	}
	stopCloseOnCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.write(r)
	resp, err := p.readResponse(c, r)
	if err != nil {
		stopCloseOnCancel()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: fmt.Errorf("exchange with %s: %w", r.Address, err)}
	}
	framed := answer.IsDelimited(resp)
	if !framed {
		c.EndsAnswer()
	}
	body := &eofRecorder{Reader: answer.Body(resp)}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: body, Reused: c.reused,
		Framed: framed, pool: p, conn: c, resp: resp, body: body, stopCloseOnCancel: stopCloseOnCancel,
	}, nil
}

// SetReadTimeout makes reads of the body fail after d from now. 0 removes the bound. It does not
// bound the wait for the request's write at the end of a body that ends with its connection.
func (r *Response) SetReadTimeout(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	_ = r.conn.SetReadDeadline(deadline) // fails only on a closed connection, which the next read reports as well
}

// Close ends the exchange. The connection returns to the pool if the body was read
// to its marked end, the request was written completely and no further bytes have
// been received. Otherwise it is closed.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	cancelled := !r.stopCloseOnCancel()
	if cancelled || !r.body.reachedEOF || !r.Framed || r.resp.Close || !r.conn.RequestWritten() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.putIdle(r.conn, r.pool.cfg.AnnouncedIdleTimeout(r.Header))
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
	p.idles -= len(list)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Prune closes the idle connections that have expired.
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
	p.idles -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// acquire returns a usable idle connection or opens a new one.
func (p *Pool) acquire(ctx context.Context, r Request) (*conn, error) {
	for !r.NewConnection {
		c := p.takeIdle(r.Address)
		if c == nil {
			break
		}
		if c.isReusable() {
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

// takeIdle removes and returns the most recently used idle connection to an
// address that has not expired, nil if there is none.
func (p *Pool) takeIdle(address string) *conn {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		p.idles--
		if now.Before(c.expires) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// idleTimeoutReduction is subtracted from the idle timeout that an upstream
// announces, so that no request is sent while the upstream closes the connection.
const idleTimeoutReduction = 500 * time.Millisecond

// putIdle adds a connection to the pool, or closes it if it may not be kept.
func (p *Pool) putIdle(c *conn, announced time.Duration) {
	keep := p.cfg.IdleTimeout
	if announced > 0 {
		keep = min(keep, announced-idleTimeoutReduction)
	}
	if keep <= 0 {
		_ = c.Close()
		return
	}
	c.expires = p.cfg.Now().Add(keep)
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= p.cfg.MaxIdlePerAddress || p.cfg.MaxIdle > 0 && p.idles >= p.cfg.MaxIdle
	if !full {
		p.idle[c.address] = append(list, c)
		p.idles++
	}
	p.mu.Unlock()
	if full {
		_ = c.Close()
	}
}

// isReusable reports whether an idle connection is still open and has no unread
// bytes.
func (c *conn) isReusable() bool {
	sc, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = e == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// maxInlineBody is the largest body that is written before the response is read.
// It fits into the socket's buffer. A larger body is written concurrently with
// reading, because an upstream may respond before it has read the body.
const maxInlineBody = 16 << 10

// write sends the request. A large body may still be in transmission when it
// returns.
func (c *conn) write(r Request) {
	c.BeginRequest()
	send := func() {
		// WriteTo consumes the list, so that the caller's must be copied.
		buffers := append(net.Buffers{r.Head}, r.Body...)
		_, err := buffers.WriteTo(c.NetConn())
		c.EndRequest(err)
	}
	length := 0
	for _, segment := range r.Body {
		length += len(segment)
	}
	if length <= maxInlineBody {
		send()
	} else {
		go send()
	}
}

// readResponse reads the head of the response to the request. Informational (1xx)
// responses and late responses to earlier requests are discarded.
func (p *Pool) readResponse(c *conn, r Request) (*http.Response, error) {
	c.source.bounded, c.source.remaining = true, maxHeadBytes
	defer func() { c.source.bounded = false }()
	for foreign := 0; ; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if err := answer.CheckHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if p.cfg.IsResponseTo(r.ID, !c.reused && foreign == 0, resp.StatusCode, resp.Header) {
			return resp, nil
		}
		foreign++
		if foreign > maxForeignResponses || !answer.IsDelimited(resp) || resp.Close || resp.ContentLength > maxForeignBytes {
			return nil, ErrForeignResponse
		}
		if err := c.discard(resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrForeignResponse, err)
		}
	}
}

// errForeignTooLarge reports that the body of a response to another request
// exceeds maxForeignBytes.
var errForeignTooLarge = errors.New("body is too large")

// discard reads the body of a response to another request to its end.
func (c *conn) discard(body io.Reader) error {
	c.source.bounded = false
	defer func() { c.source.bounded = true }()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		err = errForeignTooLarge
	}
	return err
}
