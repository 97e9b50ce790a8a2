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
	// sends none: keepalives to 178 peers would cost 17 KB/s, and the budget for
	// the traffic is 7 KB/s.
	KeepaliveInterval = time.Second
	// SilenceTimeout is the time without a received frame after which a
	// connection with unanswered frames is closed.
	SilenceTimeout = 3 * time.Second
	// answerWindow is the time after a received frame in which a sent frame counts
	// as the answer to it, so that the peer need not answer it in turn. Without
	// this window each Ack was followed by a keepalive and a keepalive
	// acknowledgement, 2 of 5.6 frames a second.
	answerWindow = 100 * time.Millisecond
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout = 5 * time.Minute
	// MaxQueueFrames is the largest number of frames in a peer's send queue.
	MaxQueueFrames = 256
	// MaxQueueBytes is the largest total size of the payloads in a peer's send queue.
	MaxQueueBytes = 4 * MaxFrameSize
	// maxQueueAge is the age after which a queued frame is dropped instead of sent:
	// the answer to an older ping would come too late to count.
	maxQueueAge = SilenceTimeout

	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = 5 * time.Second
	dialTimeout      = 2 * time.Second
	acceptRetryDelay = 50 * time.Millisecond
	// frameOverhead is an upper bound of the bytes that a frame adds to its payload.
	frameOverhead = 64
)

// ErrSilent is reported for a connection that was closed after SilenceTimeout.
var ErrSilent = errors.New("connection silent: no frame within the limit")

// errReplaced ends a connection after another one to the same peer replaced it.
var errReplaced = errors.New("connection replaced by another one to the same peer")

// queuedFrame is a frame in a send queue.
type queuedFrame struct {
	frame    frame
	queuedAt time.Time
}

// peer holds the send queue of one peer and the connection to it, if any. At
// most one connection is in use at a time.
type peer struct {
	transport *Transport
	address   string
	// wake tells the connection's writer that there may be frames to send.
	wake chan struct{}

	mu       sync.Mutex
	queue    []queuedFrame
	bytes    int
	current  *session
	dialling bool
	closed   bool
	// retired is set when the peer is removed from the transport's table. A
	// retired peer is never used again.
	retired bool
	// unansweredSince is when the oldest unanswered frame was sent; zero when there is none.
	unansweredSince time.Time
	// keepaliveAt is when the last keepalive was queued.
	keepaliveAt time.Time
	receivedAt  time.Time
	lastUsed    time.Time
}

func newPeer(t *Transport, address string) *peer {
	return &peer{transport: t, address: address, wake: make(chan struct{}, 1)}
}

// push queues a frame, drops the oldest frames beyond the queue's bounds and
// dials the peer if there is no connection. It returns false when the peer is
// retired; the caller must then get a new peer for the address.
func (p *peer) push(f frame) bool {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return false
	}
	p.queue = append(p.queue, queuedFrame{f, time.Now()})
	p.bytes += len(f.Payload)
	for len(p.queue) > MaxQueueFrames || (p.bytes > MaxQueueBytes && len(p.queue) > 1) {
		p.dropOldest()
	}
	startDial := p.current == nil && !p.dialling && !p.closed
	if startDial {
		p.dialling = true
	}
	p.mu.Unlock()
	if startDial {
		p.transport.goroutines.Go(p.dial)
		return true
	}
	p.wakeWriter()
	return true
}

// dropOldest discards the queue's first frame. The caller holds p.mu.
func (p *peer) dropOldest() {
	p.bytes -= len(p.queue[0].frame.Payload)
	p.queue[0] = queuedFrame{}
	p.queue = p.queue[1:]
	p.transport.dropped.Add(1)
}

// wakeWriter wakes the connection's writer without blocking.
func (p *peer) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dial opens a connection and runs it. After a failure it tries again with
// exponential backoff and jitter, as long as frames are queued that are not too old.
func (p *peer) dial() {
	backoff := initialBackoff
	for {
		s, err := p.open()
		if err == nil {
			p.run(s)
			return
		}
		p.transport.config.ConnectionFailed(p.address, err)
		// Jitter keeps VMs from reconnecting to a restarted peer all at once.
		if !p.transport.sleep(backoff/2 + rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
		if !p.keepDialling() {
			return
		}
	}
}

// keepDialling drops expired frames and reports whether dialling must go on. It
// ends dialling when no frame remains, when an accepted connection is in use, or
// when the peer is closed.
func (p *peer) keepDialling() bool {
	p.mu.Lock()
	p.dropExpired(time.Now())
	keep := len(p.queue) > 0 && p.current == nil && !p.closed
	p.dialling = keep
	p.mu.Unlock()
	if !keep {
		p.retireIfUnused()
	}
	return keep
}

// retireIfUnused removes an unused peer from the transport's table, so that the
// addresses of VMs that no longer exist take no memory.
func (p *peer) retireIfUnused() {
	p.mu.Lock()
	p.retired = p.current == nil && len(p.queue) == 0 && !p.dialling
	retired := p.retired
	p.mu.Unlock()
	if retired {
		p.transport.removePeer(p)
	}
}

// dropExpired discards frames older than maxQueueAge. The caller holds p.mu.
func (p *peer) dropExpired(now time.Time) {
	for len(p.queue) > 0 && now.Sub(p.queue[0].queuedAt) > maxQueueAge {
		p.dropOldest()
	}
}

// open dials the peer and authenticates the connection.
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

// run sends and receives on an authenticated connection until it ends.
func (p *peer) run(s *session) {
	if !p.adopt(s) {
		s.net.Close()
		return
	}
	t := p.transport
	written := make(chan error, 1)
	done := make(chan struct{})
	t.goroutines.Go(func() {
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
		t.config.ConnectionFailed(p.address, err)
	}
}

// adopt makes s the peer's current session and reports whether it did. If both
// sides dial at the same time, both keep the connection that the side with the
// lower address dialled. A connection to a new instance of the peer always
// replaces the current one.
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
	p.unansweredSince = time.Time{}
	p.lastUsed = time.Now()
	p.wakeWriter()
	return true
}

// release ends the use of s as the current session and dials again if frames are queued.
func (p *peer) release(s *session) {
	p.mu.Lock()
	if p.current == s {
		p.current = nil
	}
	p.dropExpired(time.Now())
	startDial := p.current == nil && len(p.queue) > 0 && !p.dialling && !p.closed
	if startDial {
		p.dialling = true
	}
	p.mu.Unlock()
	if startDial {
		p.transport.goroutines.Go(p.dial)
		return
	}
	p.retireIfUnused()
}

func (p *peer) isRetired() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retired
}

// close closes the connection and prevents new ones.
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
		p.recordReceived()
		if err := t.handle(p, s.peer, f); err != nil {
			return err
		}
	}
}

// recordReceived records the receipt of a frame, which answers all sent frames.
func (p *peer) recordReceived() {
	p.mu.Lock()
	p.unansweredSince = time.Time{}
	p.receivedAt = time.Now()
	p.lastUsed = p.receivedAt
	p.mu.Unlock()
}

// writeLoop sends queued frames and keepalives, and ends a silent or idle connection.
func (p *peer) writeLoop(s *session, done <-chan struct{}) error {
	timer := time.NewTimer(KeepaliveInterval)
	defer timer.Stop()
	for {
		frames, ok := p.takeFrames(s)
		if !ok {
			return errReplaced
		}
		if err := p.writeFrames(s, frames); err != nil {
			return err
		}
		wait, err := p.checkLiveness(time.Now())
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

// takeFrames empties the queue and returns its frames without the expired ones.
// It reports false when s is no longer the current session.
func (p *peer) takeFrames(s *session) ([]queuedFrame, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != s {
		p.wakeWriter() // the wake-up may have been meant for the current session's writer
		return nil, false
	}
	p.dropExpired(time.Now())
	frames := p.queue
	p.queue, p.bytes = nil, 0
	return frames, true
}

// writeFrames writes the frames and flushes the connection's buffer.
func (p *peer) writeFrames(s *session, frames []queuedFrame) error {
	if len(frames) == 0 {
		return nil
	}
	t := p.transport
	if err := s.net.SetWriteDeadline(time.Now().Add(SilenceTimeout)); err != nil {
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
		p.recordSent()
	}
	return nil
}

// recordSent records that a frame was sent that the peer must answer, unless the
// frame counts as an answer itself (see answerWindow).
func (p *peer) recordSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.lastUsed = now
	if p.unansweredSince.IsZero() && now.Sub(p.receivedAt) > answerWindow {
		p.unansweredSince = now
	}
}

// checkLiveness queues a keepalive when one is due and returns the time until the
// next check. It returns an error for a silent or idle connection, which must end.
func (p *peer) checkLiveness(now time.Time) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unansweredSince.IsZero() {
		idle := now.Sub(p.lastUsed)
		if idle >= IdleTimeout {
			return 0, errIdle
		}
		return IdleTimeout - idle, nil
	}
	unanswered := now.Sub(p.unansweredSince)
	if unanswered >= SilenceTimeout {
		return 0, ErrSilent
	}
	if unanswered >= KeepaliveInterval && now.Sub(p.keepaliveAt) >= KeepaliveInterval {
		p.keepaliveAt = now
		p.queue = append(p.queue, queuedFrame{frame{Kind: kindKeepalive}, now})
		p.wakeWriter()
	}
	return KeepaliveInterval, nil
}

// errIdle ends a connection that was unused for IdleTimeout.
var errIdle = errors.New("connection idle")
