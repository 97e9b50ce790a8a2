package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/exchange"
)

// endlessServer starts a server that responds to each request with beginning and
// then repeats piece until the client closes the connection. It returns the
// server's address.
func endlessServer(t *testing.T, beginning, piece string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := c.Write([]byte(beginning))
				for many := []byte(strings.Repeat(piece, 1000)); err == nil; {
					_, err = c.Write(many)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEndlessHeadFails guards against reading a head without end until the
// request's deadline instead of failing at maxHeadBytes.
func TestEndlessHeadFails(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ beginning, piece string }{
		"header lines":       {head, "X-Filler: 0123456789\r\n"},
		"one header line":    {head + "X-Filler: ", "0123456789"},
		"status line":        {"HTTP/1.1 200 ", "0123456789"},
		"no protocol at all": {"", "0123456789"},
		"interim answers":    {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789\r\n\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := newPool().Do(ctx, request(endlessServer(t, c.beginning, c.piece), "a"))
			var failure *exchange.Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
			is.NoErr(ctx.Err())
			is.True(!errors.Is(err, context.DeadlineExceeded))
		})
	}
}

// TestEndlessForeignResponseFails guards against discarding the body of a response
// to another request without a bound.
func TestEndlessForeignResponseFails(t *testing.T) {
	cases := map[string]struct{ beginning, piece string }{
		"length": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", "0123456789"},
		"chunks": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := newPool().Do(ctx, request(endlessServer(t, c.beginning, c.piece), "a"))
			is.True(errors.Is(err, exchange.ErrForeignResponse))
			is.NoErr(ctx.Err())
		})
	}
}

// TestDuplicateResponseOnReusedConnection guards against giving a caller the
// response to an earlier request. The server sends a complete or partial duplicate
// of its first response after the connection was reused. The second request must
// get its own response or fail.
func TestDuplicateResponseOnReusedConnection(t *testing.T) {
	first := answer("a", "1")
	cases := map[string]struct {
		second string
		fails  bool
	}{
		"whole copy":              {first + answer("b", "2"), false},
		"two copies":              {first + first + answer("b", "2"), false},
		"half a head":             {"HTTP/1.1 200 OK\r\nId: a\r\nCont" + answer("b", "2"), true},
		"head without body":       {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\n" + answer("b", "2"), true},
		"body only":               {"1" + answer("b", "2"), true},
		"only the copy":           {first, true},
		"copy without own length": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n1" + answer("b", "2"), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := newPool()
			address := upstream(t, first, c.second)
			got, err := pool.Do(context.Background(), request(address, "a"))
			is.NoErr(err)
			is.Equal(read(t, got), "1")
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			got, err = pool.Do(ctx, request(address, "b"))
			if c.fails {
				var failure *exchange.Error
				is.True(errors.As(err, &failure))
				is.True(failure.Sent) // the request may have run
				return
			}
			is.NoErr(err)
			is.Equal(got.Header.Get("Id"), "b")
			is.Equal(read(t, got), "2")
		})
	}
}
