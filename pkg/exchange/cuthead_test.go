package exchange_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/exchange"
)

// TestCutAnswerIsNotWhole guards against taking an answer for a whole one that its server cut off, in
// the head or in the body, and closed. Only an answer without length or chunks ends with its
// connection.
func TestCutAnswerIsNotWhole(t *testing.T) {
	answers := map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nId: a\r\nResponse-Signature: s\r\nContent-Length: 10\r\n\r\n0123456789",
		"length last": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: a\r\n\r\n0123456789",
		"chunks":      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		"bare feeds":  "HTTP/1.1 200 OK\nId: a\nContent-Length: 10\n\n0123456789",
	}
	for name, whole := range answers {
		t.Run(name, func(t *testing.T) {
			for cut := 1; cut < len(whole); cut++ {
				r, err := newPool().Do(context.Background(), request(upstream(t, whole[:cut]), "a"))
				if err != nil {
					var failure *exchange.Error
					if !errors.As(err, &failure) || !failure.Sent {
						t.Fatalf("cut after %q: %v; the request may have run", whole[:cut], err)
					}
					continue
				}
				body, err := io.ReadAll(r.Body)
				r.Close()
				if err == nil {
					t.Fatalf("cut after %q: taken for whole, with body %q", whole[:cut], body)
				}
			}
		})
	}
}

// TestAnswerWithoutLengthEndsWithItsConnection guards against refusing an answer that has neither a
// length nor chunks.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	r, err := newPool().Do(context.Background(), request(upstream(t, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n0123456789"), "a"))
	is.NoErr(err)
	is.True(!r.Framed)
	is.Equal(read(t, r), "0123456789")
}

// TestHeadCutInKeptConnection guards against joining a cut head with the next answer on a connection.
func TestHeadCutInKeptConnection(t *testing.T) {
	is := is.New(t)
	first := answer("a", "1")
	for cut := 1; cut < len(first)-1; cut++ {
		pool := newPool()
		address := upstream(t, first, first[:cut]+strings.Replace(first, "Id: a", "Id: b", 1))
		r, err := pool.Do(context.Background(), request(address, "a"))
		is.NoErr(err)
		is.Equal(read(t, r), "1")
		r, err = pool.Do(context.Background(), request(address, "b"))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(r.Body)
		r.Close()
		if err == nil && (r.Status != http.StatusOK || string(body) != "1" || r.Header.Get("Id") != "b") {
			t.Fatalf("cut after %q: %d, %q", first[:cut], r.Status, body)
		}
	}
}
