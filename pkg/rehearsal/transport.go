package rehearsal

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// slowDelay is what the Slow fault adds to each answer. It is beyond the 61 ms
// between tokens by an order of magnitude, so outlier detection has to act.
const slowDelay = time.Second

// cutAfter is the number of body bytes that pass before a Cut breaks the answer.
const cutAfter = 256

// errLostAnswer is the error after a request was carried out and its answer lost.
var errLostAnswer = errors.New("connection reset by peer")

// Transport is an http.RoundTripper that injects the faults in force.
type Transport struct {
	Base     http.RoundTripper
	Injector *Injector
}

// Unwrap returns the transport below the injected faults.
func (t *Transport) Unwrap() http.RoundTripper { return t.Base }

// Rewrap returns a transport that injects the same faults above inner.
func (t *Transport) Rewrap(inner http.RoundTripper) http.RoundTripper {
	return &Transport{Base: inner, Injector: t.Injector}
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *Transport) CloseIdleConnections() {
	if idle, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// RoundTrip carries out the request with the fault in force for its host.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	fault, until := t.Injector.faultFor(req.URL.Host)
	switch fault {
	case Refuse:
		closeBody(req)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case Stall:
		closeBody(req)
		return nil, waitUntil(req.Context(), until, t.Injector.now)
	case Slow:
		if err := sleep(req.Context(), slowDelay); err != nil {
			closeBody(req)
			return nil, err
		}
	}
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if fault == LostAnswer {
		_ = resp.Body.Close()
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: errLostAnswer}
	}
	resp.Body = &body{ReadCloser: resp.Body, host: req.URL.Host, ctx: req.Context(), injector: t.Injector}
	return resp, nil
}

// body applies faults that begin while an answer is being read.
type body struct {
	io.ReadCloser
	host     string
	ctx      context.Context
	injector *Injector
	read     int
}

// Read passes data on unless a fault is in force.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	fault, until := b.injector.faultFor(b.host)
	switch fault {
	case Refuse:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case Stall:
		return 0, waitUntil(b.ctx, until, b.injector.now)
	case Cut:
		if b.read+n > cutAfter {
			return max(cutAfter-b.read, 0), io.ErrUnexpectedEOF
		}
	case Slow:
		if err := sleep(b.ctx, slowDelay); err != nil {
			return 0, err
		}
	}
	b.read += n
	return n, err
}

// waitUntil blocks until the fault or the request ends and returns the error of a
// connection that went silent. It never lets a stalled request pass.
func waitUntil(ctx context.Context, until time.Time, now func() time.Time) error {
	if err := sleep(ctx, until.Sub(now())); err != nil {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}
