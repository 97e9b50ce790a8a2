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

// slowDelay is the delay that the Slow fault adds. It exceeds the 61 ms between tokens by
// more than an order of magnitude, so outlier detection has to react to it.
const slowDelay = time.Second

// cutAfter is the number of body bytes that the Cut fault lets through.
const cutAfter = 256

// errLostAnswer is the cause of the error that the LostAnswer fault returns.
var errLostAnswer = errors.New("connection reset by peer")

// Transport is an http.RoundTripper that injects the active faults.
type Transport struct {
	Base     http.RoundTripper
	Injector *Injector
}

// Unwrap returns the transport that this one wraps.
func (t *Transport) Unwrap() http.RoundTripper { return t.Base }

// Rewrap returns a transport that wraps inner and injects the same faults.
func (t *Transport) Rewrap(inner http.RoundTripper) http.RoundTripper {
	return &Transport{Base: inner, Injector: t.Injector}
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t *Transport) CloseIdleConnections() {
	if idle, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// RoundTrip executes the request and injects the active fault for its host.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	fault, until := t.Injector.faultFor(req.URL.Host)
	switch fault {
	case Refuse:
		closeBody(req)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case Stall:
		closeBody(req)
		return nil, stallUntil(req.Context(), until, t.Injector.now)
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
	resp.Body = &faultBody{ReadCloser: resp.Body, host: req.URL.Host, ctx: req.Context(), injector: t.Injector}
	return resp, nil
}

// faultBody is a response body that injects the fault that is active when it is read.
// The fault may have started after the response began.
type faultBody struct {
	io.ReadCloser
	host      string
	ctx       context.Context
	injector  *Injector
	bytesRead int
}

// Read reads from the response body and injects the active fault.
func (b *faultBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	fault, until := b.injector.faultFor(b.host)
	switch fault {
	case Refuse:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case Stall:
		return 0, stallUntil(b.ctx, until, b.injector.now)
	case Cut:
		if b.bytesRead+n > cutAfter {
			return max(cutAfter-b.bytesRead, 0), io.ErrUnexpectedEOF
		}
	case Slow:
		if err := sleep(b.ctx, slowDelay); err != nil {
			return 0, err
		}
	}
	b.bytesRead += n
	return n, err
}

// stallUntil blocks until the fault or the request ends. It always returns an error: a
// network timeout, or the error of the request's context.
func stallUntil(ctx context.Context, until time.Time, now func() time.Time) error {
	if err := sleep(ctx, until.Sub(now())); err != nil {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
}

// sleep waits for d, or returns the context's error if ctx ends first.
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
