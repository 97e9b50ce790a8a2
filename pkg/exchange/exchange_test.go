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

// upstream answers each request on a connection with the next of its answers; an
// empty one closes the connection.
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

func newPool() *exchange.Pool {
	return exchange.New(exchange.Config{
		Dial: exchange.Dialer(time.Second, time.Second, 0), KeepIdle: time.Minute, MaxIdle: 4, Now: time.Now,
		IsAnswer:  func(id string, _ int, h http.Header) bool { return h.Get("Id") == id },
		IdleLimit: func(http.Header) time.Duration { return 0 },
	})
}

func request(address, id string) exchange.Request {
	return exchange.Request{Address: address, ID: id, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}
}

func read(t *testing.T, a *exchange.Answer) string {
	t.Helper()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	return string(body)
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + body
}

// TestKeptConnectionServesTheNextRequest: an answer that was read whole leaves the
// connection for the next request.
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

// TestLateAnswerOfAnotherRequestIsPassedOver: the answer that a caller gets is its own.
func TestLateAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	is := is.New(t)
	address := upstream(t, answer("old", "x")+answer("1", "a"))
	a, err := newPool().Do(context.Background(), request(address, "1"))
	is.NoErr(err)
	is.Equal(read(t, a), "a")
}

// TestExtraBytesEndTheConnection: bytes after a whole answer belong to no request.
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

// TestOnlyForeignAnswersFail: a connection without an answer of the request fails,
// and the request may have run.
func TestOnlyForeignAnswersFail(t *testing.T) {
	is := is.New(t)
	address := upstream(t, answer("x", "x")+answer("y", "y")+answer("z", "z")+answer("w", "w"))
	_, err := newPool().Do(context.Background(), request(address, "1"))
	var failure *exchange.Error
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
	is.True(errors.Is(err, exchange.ErrForeignAnswer))
}

// TestRefusedConnectionSentNothing: only then a request is safe to send elsewhere.
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
	is.True(exchange.Refused(err))
}

// TestClosedConnectionMayHaveRun: a request whose connection closes without an
// answer is not sent again by the pool.
func TestClosedConnectionMayHaveRun(t *testing.T) {
	is := is.New(t)
	address := upstream(t, "", answer("1", "a"))
	_, err := newPool().Do(context.Background(), request(address, "1"))
	var failure *exchange.Error
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
}

// TestTruncatedBodyIsNoWholeBody: an answer that ends early must not look whole.
func TestTruncatedBodyIsNoWholeBody(t *testing.T) {
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

// TestCancelClosesTheConnection: an upstream must notice that its caller has left.
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
