package wire

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// KeepaliveInterval is the time without a received frame after which a
	// connection with unanswered frames sends a keepalive. An idle connection
	// sends none: at 178 peers they would cost 17 KB/s, over the budget of 7 KB/s.
	KeepaliveInterval = time.Second
	// SilenceLimit is the time after which a connection that answers nothing is abandoned.
	SilenceLimit = 3 * time.Second
	// answerTime is the time after a received frame in which a sent one counts as
	// its answer and needs no sign of life: without it each Ack was followed by a
	// keepalive and its answer, 2 of 5.6 frames a second.
	answerTime = 100 * time.Millisecond
	// IdleLimit is the time after which an unused connection is closed.
	IdleLimit = 5 * time.Minute
	// QueueFrames and QueueBytes bound a peer's send queue.
	QueueFrames = 256
	QueueBytes  = 4 * MaxFrame
	// queueAge is the age at which a queued frame is dropped instead of sent:
	// a ping older than this would be answered too late to count.
	queueAge = SilenceLimit

	backoffFirst = 100 * time.Millisecond
	backoffLimit = 5 * time.Second
	dialTimeout  = 2 * time.Second
	acceptPause  = 50 * time.Millisecond
	// frameOverhead bounds the bytes that a frame adds to its payload.
	frameOverhead = 64
)

// ErrSilent is reported for a connection that was abandoned for its silence.
var ErrSilent = errors.New("connection silent: no frame within the limit")

// errReplaced ends a connection that lost against another one to the same peer.
var errReplaced = errors.New("connection replaced by another one to the same peer")

// queued is a frame in a send queue.
type queued struct {
	frame frame
	since time.Time
}

// peer is the send queue of one peer and its connection, if any. At most one
// connection is in use at a time.
type peer struct {
	transport *Transport
	address   string
	wake      chan struct{}

	mu       sync.Mutex
	queue    []queued
	bytes    int
	current  *session
	dialling bool
	closed   bool
	// retired is set when the entry left the transport's table for good.
	retired bool
	// sentSince is when the oldest unanswered frame was sent; zero when there is none.
	sentSince time.Time
	// keepaliveAt is when the last keepalive was queued.
	keepaliveAt time.Time
	heardAt     time.Time
	lastUse     time.Time
}

func newPeer(t *Transport, address string) *peer {
	return &peer{transport: t, address: address, wake: make(chan struct{}, 1)}
}

// push queues a frame and drops the oldest ones beyond the queue's bounds. It
// returns false when the entry is retired; a new one must be used then.
func (p *peer) push(f frame) bool {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return false
	}
	p.queue = append(p.queue, queued{f, time.Now()})
	p.bytes += len(f.Payload)
	for len(p.queue) > QueueFrames || (p.bytes > QueueBytes && len(p.queue) > 1) {
		p.dropOldest()
	}
	start := p.current == nil && !p.dialling && !p.closed
	if start {
		p.dialling = true
	}
	p.mu.Unlock()
	if start {
		p.transport.running.Go(p.dial)
		return true
	}
	p.signal()
	return true
}

// dropOldest discards the queue's first frame. The caller holds the lock.
func (p *peer) dropOldest() {
	p.bytes -= len(p.queue[0].frame.Payload)
	p.queue[0] = queued{}
	p.queue = p.queue[1:]
	p.transport.dropped.Add(1)
}

// signal wakes the connection's writer.
func (p *peer) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dial opens a connection, with exponential backoff and jitter, for as long as
// young frames wait.
func (p *peer) dial() {
	backoff := backoffFirst
	for {
		s, err := p.open()
		if err == nil {
			p.run(s)
			return
		}
		p.transport.config.Failed(p.address, err)
		// Full jitter keeps VMs from reconnecting to a restarted peer in step.
		if !p.transport.sleep(backoff/2 + rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, backoffLimit)
		if !p.keepDialling() {
			return
		}
	}
}

// keepDialling drops frames that are too old and reports whether any remain.
// It ends the dialling state when none do or an accepted connection took over.
func (p *peer) keepDialling() bool {
	p.mu.Lock()
	p.dropAged(time.Now())
	keep := len(p.queue) > 0 && p.current == nil && !p.closed
	p.dialling = keep
	p.mu.Unlock()
	if !keep {
		p.retire()
	}
	return keep
}

// retire removes an unused entry from the transport's table, so that the
// addresses of VMs long gone take no memory.
func (p *peer) retire() {
	p.mu.Lock()
	p.retired = p.current == nil && len(p.queue) == 0 && !p.dialling
	retired := p.retired
	p.mu.Unlock()
	if retired {
		p.transport.forget(p)
	}
}

// dropAged discards frames older than queueAge. The caller holds the lock.
func (p *peer) dropAged(now time.Time) {
	for len(p.queue) > 0 && now.Sub(p.queue[0].since) > queueAge {
		p.dropOldest()
	}
}

// open dials the peer and authenticates.
func (p *peer) open() (*session, error) {
	ctx, cancel := context.WithTimeout(p.transport.ctx, dialTimeout)
	defer cancel()
	conn, err := p.transport.config.Dial(ctx, p.address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	stop := context.AfterFunc(p.transport.ctx, func() { conn.Close() })
	defer stop()
	s, err := handshake(conn, p.transport.hello(), p.transport.config.Secret, true)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// run uses an authenticated connection until it ends.
func (p *peer) run(s *session) {
	if !p.adopt(s) {
		s.net.Close()
		return
	}
	t := p.transport
	written := make(chan error, 1)
	done := make(chan struct{})
	t.running.Go(func() {
		err := p.writeLoop(s, done)
		s.net.Close() // also ends the reader
		written <- err
	})
	err := p.readLoop(s)
	close(done)
	s.net.Close()
	if writeErr := <-written; writeErr != nil {
		err = writeErr
	}
	p.release(s)
	if t.ctx.Err() == nil && err != nil {
		t.config.Failed(p.address, err)
	}
}

// adopt makes the connection the peer's current one. Of two connections that
// both sides opened at the same time, both sides keep the one dialled by the
// lower address; a connection from a new instance of the peer always wins.
func (p *peer) adopt(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.dialled {
		p.dialling = false
	}
	if p.closed || p.retired {
		return false
	}
	old := p.current
	if old != nil && old.peer.instance == s.peer.instance && old.dialled != s.dialled {
		own := p.transport.config.Address
		if s.dialled != (own < p.address) {
			return false
		}
	}
	if old != nil {
		old.net.Close()
	}
	p.current = s
	p.sentSince = time.Time{}
	p.lastUse = time.Now()
	p.signal()
	return true
}

// release ends the connection's use and dials again when frames wait.
func (p *peer) release(s *session) {
	p.mu.Lock()
	if p.current == s {
		p.current = nil
	}
	p.dropAged(time.Now())
	start := p.current == nil && len(p.queue) > 0 && !p.dialling && !p.closed
	if start {
		p.dialling = true
	}
	p.mu.Unlock()
	if start {
		p.transport.running.Go(p.dial)
		return
	}
	p.retire()
}

func (p *peer) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

// close ends the connection for good.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.current != nil {
		p.current.net.Close()
	}
}

// readLoop handles frames until the connection ends.
func (p *peer) readLoop(s *session) error {
	t := p.transport
	for {
		f, n, err := s.reader.read()
		if err != nil {
			return err
		}
		t.bytesReceived.Add(uint64(n))
		t.framesReceived.Add(1)
		p.heard()
		if err := t.handle(p, s.peer, f); err != nil {
			return err
		}
	}
}

// heard notes that the peer is not silent.
func (p *peer) heard() {
	p.mu.Lock()
	p.sentSince = time.Time{}
	p.heardAt = time.Now()
	p.lastUse = p.heardAt
	p.mu.Unlock()
}

// writeLoop sends queued frames and keepalives, and ends a silent or idle connection.
func (p *peer) writeLoop(s *session, done <-chan struct{}) error {
	timer := time.NewTimer(KeepaliveInterval)
	defer timer.Stop()
	for {
		frames, ok := p.take(s)
		if !ok {
			return errReplaced
		}
		if err := p.writeFrames(s, frames); err != nil {
			return err
		}
		wait, err := p.supervise(time.Now())
		if err != nil {
			return err
		}
		timer.Reset(wait)
		select {
		case <-p.wake:
		case <-timer.C:
		case <-done:
			return nil
		}
	}
}

// take removes all frames that are young enough from the queue. It reports
// false when the session is no longer the current one.
func (p *peer) take(s *session) ([]queued, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != s {
		p.signal() // the wake-up may have been meant for the current session's writer
		return nil, false
	}
	p.dropAged(time.Now())
	frames := p.queue
	p.queue, p.bytes = nil, 0
	return frames, true
}

// writeFrames sends frames and flushes the connection.
func (p *peer) writeFrames(s *session, frames []queued) error {
	if len(frames) == 0 {
		return nil
	}
	t := p.transport
	if err := s.net.SetWriteDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return err
	}
	expectsAnswer := false
	for _, q := range frames {
		n, err := s.writer.write(q.frame)
		if err != nil {
			return err
		}
		t.bytesSent.Add(uint64(n))
		t.framesSent.Add(1)
		expectsAnswer = expectsAnswer || q.frame.Kind != kindKeepaliveAck
	}
	if err := s.writer.w.Flush(); err != nil {
		return err
	}
	if expectsAnswer {
		p.sent()
	}
	return nil
}

// sent notes that a frame waits for a sign of life.
func (p *peer) sent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lastUse = now
	if p.sentSince.IsZero() && now.Sub(p.heardAt) > answerTime {
		p.sentSince = now
	}
}

// supervise queues a keepalive or ends the connection when it is due, and
// returns the time to the next check.
func (p *peer) supervise(now time.Time) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sentSince.IsZero() {
		idle := now.Sub(p.lastUse)
		if idle >= IdleLimit {
			return 0, errIdle
		}
		return IdleLimit - idle, nil
	}
	silent := now.Sub(p.sentSince)
	if silent >= SilenceLimit {
		return 0, ErrSilent
	}
	if silent >= KeepaliveInterval && now.Sub(p.keepaliveAt) >= KeepaliveInterval {
		p.keepaliveAt = now
		p.queue = append(p.queue, queued{frame{Kind: kindKeepalive}, now})
		p.signal()
	}
	return KeepaliveInterval, nil
}

// errIdle ends an unused connection.
var errIdle = errors.New("connection idle")
