package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/exchange"
)

// upstream starts a server that responds to each request with the next of the
// given texts and returns its address. An empty text closes the connection.
func upstream(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for next := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for next < len(answers) {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, req.Body)
				answer := answers[next]
				next++
				if answer == "" {
					break
				}
				if _, err := io.WriteString(c, answer); err != nil {
					break
				}
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// newPool returns a pool that matches responses by their header Id.
func newPool() *exchange.Pool {
	return exchange.New(exchange.Config{
		Dial: exchange.Dialer(time.Second, time.Second, 0), IdleTimeout: time.Minute, MaxIdlePerAddress: 4, Now: time.Now,
		IsResponseTo:         func(id string, _ bool, _ int, h http.Header) bool { return h.Get("Id") == id },
		AnnouncedIdleTimeout: func(http.Header) time.Duration { return 0 },
	})
}

func request(address, id string) exchange.Request {
	return exchange.Request{Address: address, ID: id, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}
}

// read returns the body and closes the response.
func read(t *testing.T, a *exchange.Response) string {
	t.Helper()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	return string(body)
}

// answer returns the text of a response with a body of one byte.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + body
}

// TestKeptConnectionServesTheNextRequest guards against opening a new connection
// although the response before was read to its end.
func TestKeptConnectionServesTheNextRequest(t *testing.T) {
	is := is.New(t)
	address := upstream(t, answer("1", "a"), answer("2", "b"))
	p := newPool()
	for id, body := range map[string]string{"1": "a"} {
		a, err := p.Do(context.Background(), request(address, id))
		is.NoErr(err)
		is.Equal(read(t, a), body)
	}
	a, err := p.Do(context.Background(), request(address, "2"))
	is.NoErr(err)
	is.True(a.Reused)
	is.Equal(read(t, a), "b")
	is.Equal(p.Opened(), uint64(1))
}

// TestLateResponseToAnotherRequestIsDiscarded guards against returning a response
// to another request that arrives first.
func TestLateResponseToAnotherRequestIsDiscarded(t *testing.T) {
	is := is.New(t)
	address := upstream(t, answer("old", "x")+answer("1", "a"))
	a, err := newPool().Do(context.Background(), request(address, "1"))
	is.NoErr(err)
	is.Equal(read(t, a), "a")
}

// TestExtraBytesEndTheConnection guards against reusing a connection on which
// further bytes follow a complete response. They belong to no request.
func TestExtraBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	address := upstream(t, answer("1", "a")+answer("1", "a"), answer("2", "b"))
	p := newPool()
	a, err := p.Do(context.Background(), request(address, "1"))
	is.NoErr(err)
	is.Equal(read(t, a), "a")
	a, err = p.Do(context.Background(), request(address, "2"))
	is.NoErr(err)
	is.True(!a.Reused)
	is.Equal(read(t, a), "b")
}

// TestOnlyForeignResponsesFail guards against waiting for a response after too many
// responses to other requests. The request may have run.
func TestOnlyForeignResponsesFail(t *testing.T) {
	is := is.New(t)
	address := upstream(t, answer("x", "x")+answer("y", "y")+answer("z", "z")+answer("w", "w"))
	_, err := newPool().Do(context.Background(), request(address, "1"))
	var failure *exchange.Error
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
	is.True(errors.Is(err, exchange.ErrForeignResponse))
}

// TestRefusedConnectionSentNothing guards against reporting a request as sent
// although the connection was refused. Only an unsent request is safe to send to
// another upstream.
func TestRefusedConnectionSentNothing(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = newPool().Do(context.Background(), request(address, "1"))
	var failure *exchange.Error
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
	is.True(exchange.IsConnectionRefused(err))
}

// TestClosedConnectionMayHaveRun guards against a retry by the pool after the
// connection was closed without a response. The request may have run.
func TestClosedConnectionMayHaveRun(t *testing.T) {
	is := is.New(t)
	address := upstream(t, "", answer("1", "a"))
	_, err := newPool().Do(context.Background(), request(address, "1"))
	var failure *exchange.Error
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
}

// TestTruncatedBodyFails guards against reporting the end of a body that was cut
// off.
func TestTruncatedBodyFails(t *testing.T) {
	is := is.New(t)
	for _, short := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		a, err := newPool().Do(context.Background(), request(upstream(t, short, ""), "1"))
		is.NoErr(err)
		body := make(chan error, 1)
		go func() { _, err := io.ReadAll(a.Body); body <- err }()
		a.SetReadTimeout(200 * time.Millisecond)
		is.True(<-body != nil)
		a.Close()
	}
}

// TestCancelClosesTheConnection guards against a connection that stays open after
// the caller cancelled, so that the upstream would go on with the request.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		_, err = io.Copy(io.Discard, c)
		closed <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = newPool().Do(ctx, request(l.Addr().String(), "1"))
	is.True(errors.Is(err, context.DeadlineExceeded))
	<-closed
}
