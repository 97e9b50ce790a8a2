// Package httpcall sends HTTP requests to one peer and reports truthfully
// whether a failed request can have reached it.
package httpcall

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// idleConnections is the number of idle connections kept for a peer. The default
// of net/http, 2, would open a new connection for most streams of a busy engine.
const idleConnections = 64

// Caller sends requests to one peer. It is safe for concurrent use.
type Caller struct {
	base   string
	pooled *http.Client
	fresh  *http.Client
}

// Wrapper is a RoundTripper around another one. A Caller makes its own pooled and
// fresh transports from the inner one and wraps both again.
type Wrapper interface {
	http.RoundTripper
	Unwrap() http.RoundTripper
	Rewrap(inner http.RoundTripper) http.RoundTripper
}

// New returns a Caller for a peer given as "IP:port" or as a URL. It copies the
// client: an *http.Transport is cloned, so that its connections belong to this
// peer alone, and Client.Timeout is ignored because it would cut streams.
func New(base string, client *http.Client) *Caller {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if client == nil {
		client = http.DefaultClient
	}
	pooled, fresh := copyClient(client), copyClient(client)
	transport := client.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	rewrap := func(rt http.RoundTripper) http.RoundTripper { return rt }
	if w, ok := transport.(Wrapper); ok {
		transport, rewrap = w.Unwrap(), w.Rewrap
	}
	if t, ok := transport.(*http.Transport); ok {
		shared := t.Clone()
		if shared.MaxIdleConnsPerHost == 0 {
			shared.MaxIdleConnsPerHost = idleConnections
		}
		// A compressed stream would be held back in the compressor.
		shared.DisableCompression = true
		pooled.Transport = rewrap(shared)
		single := shared.Clone()
		single.DisableKeepAlives = true
		fresh.Transport = rewrap(single)
	}
	return &Caller{base: strings.TrimSuffix(base, "/"), pooled: pooled, fresh: fresh}
}

// copyClient returns a copy of the client that has no overall timeout and
// follows no redirect: a redirect would send the request a second time.
func copyClient(client *http.Client) *http.Client {
	c := *client
	c.Timeout = 0
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// URL returns the peer's URL for a path.
func (c *Caller) URL(path string) string { return c.base + path }

// CloseIdle closes the idle connections to the peer. Connections in use are not touched.
func (c *Caller) CloseIdle() { c.pooled.CloseIdleConnections() }

// Do sends the request over a pooled connection, or over a new one that is
// closed afterwards when fresh is set. With an error, sent is false only when
// it is certain that no connection was made.
func (c *Caller) Do(req *http.Request, fresh bool) (resp *http.Response, sent bool, err error) {
	// Transport repeats a POST that carries an Idempotency-Key when the connection
	// breaks after it was sent. Without GetBody it can't.
	req.GetBody = nil
	if err := req.Context().Err(); err != nil {
		return nil, false, err
	}
	var waiting, connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { waiting.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	client := c.pooled
	if fresh {
		client = c.fresh
	}
	resp, err = client.Do(req)
	if err == nil {
		return resp, true, nil
	}
	if connected.Load() {
		return nil, true, err
	}
	return nil, !waiting.Load() && !isDialError(err), err
}

// isDialError reports whether the connection could not be made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Watchdog cancels a request when its peer stays silent for longer than a limit.
type Watchdog struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// NewWatchdog starts a watchdog that calls cancel after limit without a Reset.
func NewWatchdog(limit time.Duration, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// Reset starts the limit anew.
func (w *Watchdog) Reset() { w.timer.Reset(w.limit) }

// Stop ends the watch until the next Reset.
func (w *Watchdog) Stop() { w.timer.Stop() }

// Fired reports whether the watchdog cancelled the request.
func (w *Watchdog) Fired() bool { return w.fired.Load() }
