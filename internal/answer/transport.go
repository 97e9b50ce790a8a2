package answer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// Transport is an http.RoundTripper that refuses heads that are not of HTTP/1.x, and whose bodies end
// with io.EOF only if the answer is whole.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport over a copy of base that asks for no compressed bodies: their
// length would be hidden, and a decompressor delays the events of a stream. Over TLS, which marks
// the end of its stream itself, the read and the write of a connection are not combined.
func NewTransport(base *http.Transport) *Transport {
	t := base.Clone()
	t.DisableCompression = true
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return Wrap(t)
}

// Wrap returns a Transport over a RoundTripper that opens its connections itself. Their read and
// their write are not combined.
func Wrap(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip sends a request and returns its response.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var current atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.BeginRequest()
				current.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := current.Load(); c != nil {
				c.EndRequest(info.Err)
			}
		},
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return checkFieldNames(fields) },
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // the error of the head is returned
		return nil, err
	}
	if c := current.Load(); c != nil && !IsDelimited(resp) {
		c.EndsAnswer()
	}
	resp.Body = Body(resp)
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the underlying transport.
func (t *Transport) CloseIdleConnections() {
	if idle, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}
