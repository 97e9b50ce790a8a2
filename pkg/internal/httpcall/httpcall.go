// Package httpcall sends HTTP requests to one peer and reports whether a failed
// request may have reached the peer.
package httpcall

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cornelline/cornelline/internal/answer"
)

// maxIdleConnections is the maximum number of idle connections kept for a peer. With
// net/http's default of 2, most streams of a busy engine would need a new connection.
const maxIdleConnections = 64

// Caller sends requests to one peer. It is safe for concurrent use.
type Caller struct {
	base   string
	pooled *http.Client // reuses connections
	fresh  *http.Client // opens a new connection for each request
}

// Wrapper is a RoundTripper that wraps another one. New unwraps it, clones the inner
// transport for pooled and for fresh connections, and wraps both clones.
type Wrapper interface {
	http.RoundTripper
	Unwrap() http.RoundTripper
	Rewrap(inner http.RoundTripper) http.RoundTripper
}

// New returns a Caller for a peer given as "IP:port" or as a URL. A nil client means
// http.DefaultClient. New copies the client. It clones an *http.Transport, so that the
// connections belong to this peer alone, and it ignores Client.Timeout, which would
// break off long streams.
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
		pooledTransport := t.Clone()
		if pooledTransport.MaxIdleConnsPerHost == 0 {
			pooledTransport.MaxIdleConnsPerHost = maxIdleConnections
		}
		pooled.Transport = rewrap(answer.NewTransport(pooledTransport))
		freshTransport := pooledTransport.Clone()
		freshTransport.DisableKeepAlives = true
		fresh.Transport = rewrap(answer.NewTransport(freshTransport))
	} else {
		pooled.Transport = rewrap(answer.Wrap(transport))
		fresh.Transport = pooled.Transport
	}
	return &Caller{base: strings.TrimSuffix(base, "/"), pooled: pooled, fresh: fresh}
}

// copyClient returns a copy of the client without an overall timeout. The copy does not
// follow redirects, because following one would send the request a second time.
func copyClient(client *http.Client) *http.Client {
	c := *client
	c.Timeout = 0
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// URL returns the URL of a path on the peer.
func (c *Caller) URL(path string) string { return c.base + path }

// CloseIdle closes the idle connections to the peer. It does not affect connections in
// use.
func (c *Caller) CloseIdle() { c.pooled.CloseIdleConnections() }

// Do sends the request over a pooled connection or, if fresh is set, over a new
// connection that is closed afterwards. If it returns an error, sent is false only when
// it is certain that the request did not get a connection.
func (c *Caller) Do(req *http.Request, fresh bool) (resp *http.Response, sent bool, err error) {
	// http.Transport repeats a POST that carries an Idempotency-Key if the connection
	// breaks after the request was sent. Without GetBody it can't.
	req.GetBody = nil
	if err := req.Context().Err(); err != nil {
		return nil, false, err
	}
	var connRequested, connObtained atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connObtained.Store(true) },
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
	if connObtained.Load() {
		return nil, true, err
	}
	return nil, !connRequested.Load() && !isDialError(err), err
}

// errTooLong reports a body that is longer than the caller reads.
var errTooLong = errors.New("body is too long")

// DecodeJSON decodes the body of a response, of at most maxBytes, into out. It reads the body to its
// end, because the value alone does not show that the answer is whole.
func DecodeJSON(resp *http.Response, out any, maxBytes int64) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > maxBytes {
		return fmt.Errorf("%w: more than %d bytes", errTooLong, maxBytes)
	}
	return json.Unmarshal(data, out)
}

// isDialError reports whether the error came from establishing the connection.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Watchdog cancels a request whose peer sends nothing for longer than a limit.
type Watchdog struct {
	limit time.Duration
	timer *time.Timer
	fired atomic.Bool
}

// NewWatchdog starts a watchdog that calls cancel when limit passes without a call of
// Reset.
func NewWatchdog(limit time.Duration, cancel context.CancelFunc) *Watchdog {
	w := &Watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		w.fired.Store(true)
		cancel()
	})
	return w
}

// Reset restarts the timer with the full limit.
func (w *Watchdog) Reset() { w.timer.Reset(w.limit) }

// Stop stops the timer until the next Reset.
func (w *Watchdog) Stop() { w.timer.Stop() }

// Fired reports whether the watchdog has cancelled the request.
func (w *Watchdog) Fired() bool { return w.fired.Load() }
