package wire

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// bufferSize is the size of a connection's read buffer and of its write buffer,
// in bytes. A control message is under 1 KiB; the buffers of 178 connections
// take 1.4 MB.
const bufferSize = 4 << 10

// ErrClosed is returned by a closed transport.
var ErrClosed = errors.New("transport closed")

// Config configures a Transport.
type Config struct {
	VM fleet.VMID
	// Address is where peers connect to this VM, as IP:port. Empty means the listener's address.
	Address string
	// Secret is the fleet secret that all entry VMs share.
	Secret []byte
	// Receive handles a message that expects no response. It runs on the
	// connection's goroutine and must not block.
	Receive func(from Peer, m Message)
	// Respond handles a request that a peer sent with Call. It runs on its own goroutine.
	Respond func(ctx context.Context, from Peer, m Message) (Message, error)
	// Dial opens a connection. Nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectionFailed is called with the reason when a connection ends or cannot
	// be opened. The address is empty when the listener failed. It may be nil.
	ConnectionFailed func(address string, err error)
}

// Counters count a transport's traffic since its start.
type Counters struct {
	BytesSent, BytesReceived   uint64
	FramesSent, FramesReceived uint64
	// Dropped counts messages that were discarded because their queue was full or
	// because they were too old.
	Dropped uint64
}

// Transport exchanges messages with other entry VMs.
type Transport struct {
	config     Config
	instance   uint64
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu    sync.Mutex
	peers map[string]*peer

	nextCall atomic.Uint64
	calls    sync.Map // call number -> chan callResult

	bytesSent, bytesReceived, framesSent, framesReceived, dropped atomic.Uint64
}

// callResult is the response to a call, or the reason why there is none.
type callResult struct {
	message Message
	err     error
}

// New returns a transport that accepts connections on the listener until Close.
func New(listener net.Listener, config Config) *Transport {
	if config.Address == "" {
		config.Address = listener.Addr().String()
	}
	if config.Dial == nil {
		var d net.Dialer
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if config.ConnectionFailed == nil {
		config.ConnectionFailed = func(string, error) {}
	}
	t := &Transport{config: config, listener: listener, peers: make(map[string]*peer)}
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never returns an error since Go 1.24
	t.instance = binary.BigEndian.Uint64(seed[:])
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.goroutines.Go(t.acceptLoop)
	return t
}

// Address returns the address at which peers connect to this transport.
func (t *Transport) Address() string { return t.config.Address }

// Counters returns the traffic since the transport's start.
func (t *Transport) Counters() Counters {
	return Counters{
		BytesSent: t.bytesSent.Load(), BytesReceived: t.bytesReceived.Load(),
		FramesSent: t.framesSent.Load(), FramesReceived: t.framesReceived.Load(),
		Dropped: t.dropped.Load(),
	}
}

// Send queues a message for a peer and never blocks. A full queue drops its
// oldest message, so that delivery is not guaranteed.
func (t *Transport) Send(address string, m Message) error {
	return t.Broadcast([]string{address}, m)
}

// Broadcast queues a message for several peers, as Send does for one. It encodes the message
// once.
func (t *Transport) Broadcast(addresses []string, m Message) error {
	kind, payload, err := Encode(m)
	if err != nil {
		return err
	}
	var errs []error
	for _, address := range addresses {
		errs = append(errs, t.enqueue(address, frame{Kind: kind, Payload: payload}))
	}
	return errors.Join(errs...)
}

// Call sends a request to a peer and waits for the response or the end of ctx.
func (t *Transport) Call(ctx context.Context, address string, m Message) (Message, error) {
	kind, payload, err := Encode(m)
	if err != nil {
		return nil, err
	}
	call := t.nextCall.Add(1)
	results := make(chan callResult, 1)
	t.calls.Store(call, results)
	defer t.calls.Delete(call)
	if err := t.enqueue(address, frame{Kind: kind, Call: call, Payload: payload}); err != nil {
		return nil, err
	}
	select {
	case r := <-results:
		return r.message, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("call %s: %w", address, ctx.Err())
	case <-t.ctx.Done():
		return nil, ErrClosed
	}
}

// Close ends all connections and waits for the transport's goroutines.
func (t *Transport) Close() error {
	t.cancel()
	err := t.listener.Close()
	t.mu.Lock()
	peers := t.peers
	t.peers = map[string]*peer{}
	t.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
	t.goroutines.Wait()
	return err
}

// enqueue checks the frame's size and adds it to the peer's send queue.
func (t *Transport) enqueue(address string, f frame) error {
	if len(f.Payload) > MaxFrameSize-frameOverhead {
		return fmt.Errorf("send to %s: %w: payload of %d bytes", address, ErrFrameTooLarge, len(f.Payload))
	}
	for {
		p, err := t.getOrCreatePeer(address)
		if err != nil {
			return err
		}
		if p.push(f) {
			return nil
		}
	}
}

// removePeer removes a retired peer from the table.
func (t *Transport) removePeer(p *peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers[p.address] == p {
		delete(t.peers, p.address)
	}
}

// getOrCreatePeer returns the peer with the address. It creates one if the table
// has none or a retired one.
func (t *Transport) getOrCreatePeer(address string) (*peer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return nil, ErrClosed
	}
	p, ok := t.peers[address]
	if !ok || p.isRetired() {
		p = newPeer(t, address)
		t.peers[address] = p
	}
	return p, nil
}

// acceptLoop accepts connections until the transport closes. While maxHandshakes are in progress,
// further ones wait in the queue of the listener.
func (t *Transport) acceptLoop() {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		select {
		case handshakes <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			t.config.ConnectionFailed("", fmt.Errorf("accept: %w", err))
			<-handshakes
			if !t.sleep(acceptRetryDelay) {
				return
			}
			continue
		}
		t.goroutines.Go(func() { t.serveConn(conn, func() { <-handshakes }) })
	}
}

// serveConn authenticates an accepted connection and runs it until it ends.
func (t *Transport) serveConn(conn net.Conn, handshakeEnded func()) {
	stop := context.AfterFunc(t.ctx, func() { conn.Close() })
	defer stop()
	s, err := handshake(conn, t.hello(), t.config.Secret, false)
	handshakeEnded()
	if err != nil {
		conn.Close()
		t.config.ConnectionFailed(conn.RemoteAddr().String(), err)
		return
	}
	p, err := t.getOrCreatePeer(s.peer.Address)
	if err != nil {
		conn.Close()
		return
	}
	p.run(s)
}

// hello returns this side's handshake message.
func (t *Transport) hello() hello {
	return hello{VM: t.config.VM, Address: t.config.Address, Instance: t.instance}
}

// sleep waits for d. It reports false when the transport closes before that.
func (t *Transport) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// handle dispatches a received frame.
func (t *Transport) handle(p *peer, from Peer, f frame) error {
	switch {
	case f.Response:
		t.finishCall(f)
		return nil
	case f.Kind == kindKeepalive:
		p.push(frame{Kind: kindKeepaliveAck})
		return nil
	case f.Kind == kindKeepaliveAck:
		return nil
	}
	m, err := Decode(f.Kind, f.Payload)
	if err != nil {
		return err
	}
	if f.Call == 0 {
		if t.config.Receive != nil {
			t.config.Receive(from, m)
		}
		return nil
	}
	t.goroutines.Go(func() { t.respond(p, from, f.Call, m) })
	return nil
}

// respond queues the response to a request, which is an error text if the request failed.
func (t *Transport) respond(p *peer, from Peer, call uint64, m Message) {
	response := frame{Call: call, Response: true}
	answer, err := t.callResponder(from, m)
	if err == nil {
		response.Kind, response.Payload, err = Encode(answer)
	}
	if err == nil && len(response.Payload) > MaxFrameSize-frameOverhead {
		err = ErrFrameTooLarge
	}
	if err != nil {
		response.Kind, response.Payload = kindFailure, []byte(err.Error())
	}
	p.push(response)
}

// callResponder returns the configured responder's answer to a request.
func (t *Transport) callResponder(from Peer, m Message) (Message, error) {
	if t.config.Respond == nil {
		return nil, errors.New("this VM answers no calls")
	}
	return t.config.Respond(t.ctx, from, m)
}

// finishCall passes a response to the waiting Call. The response is dropped if
// Call has returned.
func (t *Transport) finishCall(f frame) {
	results, ok := t.calls.LoadAndDelete(f.Call)
	if !ok {
		return
	}
	var r callResult
	if f.Kind == kindFailure {
		r.err = fmt.Errorf("peer refused the call: %s", f.Payload)
	} else {
		r.message, r.err = Decode(f.Kind, f.Payload)
	}
	results.(chan callResult) <- r
}
