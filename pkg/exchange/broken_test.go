package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/internal/answer/answertest"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/standin"
)

// longUpload does not fit into the buffers of a connection whose other end does not read.
const longUpload = 16 << 20

// upload returns a request with a body.
func upload(address string, size int) exchange.Request {
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	return exchange.Request{Address: address, ID: "a", Method: http.MethodPost, Head: []byte(head), Body: [][]byte{bytes.Repeat([]byte("x"), size)}}
}

// poolOf returns a pool with the dial function.
func poolOf(dial answertest.DialFunc) *exchange.Pool {
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

// TestResetDuringUploadBreaksAnswerWithoutLength guards against taking a part of an answer for the whole
// one: its end is that of the connection, and the connection was reset while the request was written.
func TestResetDuringUploadBreaksAnswerWithoutLength(t *testing.T) {
	for name, dial := range answertest.ResetReports() {
		t.Run(name, func(t *testing.T) {
			for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				address := answertest.Start(t, standin.BrokenAnswer{
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
		for name, dial := range answertest.ResetReports() {
			t.Run(framing+", "+name, func(t *testing.T) {
				is := is.New(t)
				want := "whole"
				if framing == "no body expected" {
					want = ""
				}
				answer.Early, answer.End = true, standin.EndReset
				pool, address := poolOf(dial), answertest.Start(t, answer)
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
	for name, dial := range answertest.ResetReports() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := answertest.Start(t, standin.BrokenAnswer{
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
				address := answertest.Start(t, answer)
				for range 5 {
					body, err := exchangeBody(t, newPool(), upload(address, size))
					is.NoErr(err)
					is.Equal(body, "whole")
				}
			})
		}
	}
}

// TestUnfinishedUploadAfterTheEnd guards against waiting for the rest of an upload when the connection has
// ended inside the answer's head or its marked body, and against waiting for it beyond the deadline.
func TestUnfinishedUploadAfterTheEnd(t *testing.T) {
	for name, c := range map[string]struct {
		answer   standin.BrokenAnswer
		deadline bool
	}{
		"inside the head":   {standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a\r\nX"}}, false},
		"inside the length": {standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a", "Content-Length: 9"}, Body: "part"}, false},
		"inside a chunk":    {standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a", "Transfer-Encoding: chunked"}, Body: "9\r\npart"}, false},
		"without a length":  {standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a"}, Body: "whole?"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.answer.Early, c.answer.End, c.answer.EndAfter = true, standin.EndHold, standin.Duration(10*time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			response, err := newPool().Do(ctx, upload(answertest.Start(t, c.answer), longUpload))
			if err == nil {
				defer response.Close()
				_, err = io.ReadAll(response.Body)
			}
			is.True(err != nil)
			is.Equal(ctx.Err() != nil, c.deadline)
		})
	}
}

// TestTransferEncodingOfHTTP10 guards against giving a caller the chunks of an HTTP/1.0 answer as its
// body. Such an answer has a faulty framing (RFC 9112, 6.1).
func TestTransferEncodingOfHTTP10(t *testing.T) {
	body, err := exchangeBody(t, newPool(), request(upstream(t, "HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), "a"))
	if err == nil {
		t.Fatalf("taken for an answer, with the body %q", body)
	}
}
