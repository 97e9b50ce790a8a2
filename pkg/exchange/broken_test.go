package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/standin"
)

// brokenUpstream starts a server that sends the same answer to each request and returns its address.
func brokenUpstream(t *testing.T, a standin.BrokenAnswer) string {
	t.Helper()
	s := httptest.NewServer(&a)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// longUpload does not fit into the buffers of a connection whose other end does not read.
const longUpload = 16 << 20

// upload returns a request with a body.
func upload(address string, size int) exchange.Request {
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	return exchange.Request{Address: address, ID: "a", Method: http.MethodPost, Head: []byte(head), Body: [][]byte{bytes.Repeat([]byte("x"), size)}}
}

// poolOf returns a pool with the dial function, or that of the product if it is nil.
func poolOf(dial func(ctx context.Context, network, address string) (net.Conn, error)) *exchange.Pool {
	if dial == nil {
		dial = exchange.Dialer(time.Second, time.Second, 0)
	}
	return exchange.New(exchange.Config{
		Dial: dial, IdleTimeout: time.Minute, MaxIdlePerAddress: 4, Now: time.Now,
		IsResponseTo:         func(id string, _ bool, _ int, h http.Header) bool { return h.Get("Id") == id },
		AnnouncedIdleTimeout: func(http.Header) time.Duration { return 0 },
	})
}

// exchangeBody sends a request and reads the body of its response.
func exchangeBody(t *testing.T, pool *exchange.Pool, r exchange.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var dials = map[string]func(ctx context.Context, network, address string) (net.Conn, error){
	"reset reported as the kernel does": nil,
	"reset reported to the write":       standin.DialReportingToWrite(false),
	"reset reported to the write late":  standin.DialReportingToWrite(true),
}

// TestResetDuringUploadBreaksAnswerWithoutLength guards against taking a part of an answer for the whole
// one: its end is that of the connection, and the connection was reset while the request was written.
func TestResetDuringUploadBreaksAnswerWithoutLength(t *testing.T) {
	for name, dial := range dials {
		t.Run(name, func(t *testing.T) {
			for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				address := brokenUpstream(t, standin.BrokenAnswer{
					Status: "200 OK", Fields: []string{"Id: a"}, Body: "part", Early: true, End: standin.EndReset, EndAfter: standin.Duration(after),
				})
				for range 10 {
					body, err := exchangeBody(t, poolOf(dial), upload(address, longUpload))
					if err == nil {
						t.Fatalf("reset after %s: %q taken for whole", after, body)
					}
					if errors.Is(err, context.DeadlineExceeded) {
						t.Fatalf("reset after %s: only noticed at the deadline", after)
					}
				}
			}
		})
	}
}

// TestEarlyAnswerWithMarkedEndIsWhole guards against refusing an answer that came as a whole before the
// connection was reset, a refusal of a long upload for example.
func TestEarlyAnswerWithMarkedEndIsWhole(t *testing.T) {
	framings := map[string]standin.BrokenAnswer{
		"length":           {Status: "200 OK", Fields: []string{"Id: a", "Content-Length: 5"}, Body: "whole"},
		"chunks":           {Status: "200 OK", Fields: []string{"Id: a", "Transfer-Encoding: chunked"}, Body: "5\r\nwhole\r\n0\r\n\r\n"},
		"refusal":          {Status: "413 Content Too Large", Fields: []string{"Id: a", "Content-Length: 5"}, Body: "whole"},
		"no body expected": {Status: "204 No Content", Fields: []string{"Id: a"}},
	}
	for framing, answer := range framings {
		for name, dial := range dials {
			t.Run(framing+", "+name, func(t *testing.T) {
				is := is.New(t)
				want := "whole"
				if framing == "no body expected" {
					want = ""
				}
				answer.Early, answer.End = true, standin.EndReset
				pool, address := poolOf(dial), brokenUpstream(t, answer)
				for range 3 {
					body, err := exchangeBody(t, pool, upload(address, longUpload))
					is.NoErr(err)
					is.Equal(body, want)
				}
				is.Equal(pool.Opened(), uint64(3)) // a connection on which the request was cut off is not reused
			})
		}
	}
}

// TestEarlyRefusalIsReadFromItsHead guards against losing a refusal that has no length, as soon as its
// connection is reset: its head says all that counts.
func TestEarlyRefusalIsReadFromItsHead(t *testing.T) {
	for name, dial := range dials {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := brokenUpstream(t, standin.BrokenAnswer{
				Status: "503 Service Unavailable", Fields: []string{"Id: a", "Not-Executed: 1"}, Body: "part", Early: true, End: standin.EndReset,
			})
			for range 10 {
				response, err := poolOf(dial).Do(t.Context(), upload(address, longUpload))
				is.NoErr(err)
				is.Equal(response.Status, http.StatusServiceUnavailable)
				is.Equal(response.Header.Get("Not-Executed"), "1")
				response.Close()
			}
		})
	}
}

// TestAnswerWithoutLengthAfterUploadIsWhole guards against refusing an answer that ends with its
// connection after the request was taken, also if the answer ended first.
func TestAnswerWithoutLengthAfterUploadIsWhole(t *testing.T) {
	cases := map[string]standin.BrokenAnswer{
		"after the request":    {End: standin.EndClose},
		"request read on":      {Early: true, End: standin.EndReadOn},
		"request read on late": {Early: true, End: standin.EndReadOn, EndAfter: standin.Duration(20 * time.Millisecond)},
	}
	for name, answer := range cases {
		for _, size := range []int{0, 17 << 10, longUpload} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, size), func(t *testing.T) {
				is := is.New(t)
				answer.Status, answer.Fields, answer.Body = "200 OK", []string{"Id: a"}, "whole"
				address := brokenUpstream(t, answer)
				for range 5 {
					body, err := exchangeBody(t, poolOf(nil), upload(address, size))
					is.NoErr(err)
					is.Equal(body, "whole")
				}
			})
		}
	}
}

// TestUnfinishedUploadDoesNotDelayFailure guards against waiting for the rest of an upload when the
// connection has ended inside the answer's head or its marked body.
func TestUnfinishedUploadDoesNotDelayFailure(t *testing.T) {
	for name, answer := range map[string]string{
		"head":   "HTTP/1.1 200 OK\r\nId: a\r\n",
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			done := make(chan struct{})
			t.Cleanup(func() { close(done) })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, answer)
				_ = c.(*net.TCPConn).CloseWrite() // and reads nothing
				<-done
			}()
			_, err = exchangeBody(t, poolOf(nil), upload(l.Addr().String(), longUpload))
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Fatalf("got %v, want a failure at once", err)
			}
		})
	}
}
