package exchange_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/exchange"
)

// TestHeadWithoutAStatusOfHTTPIsNoAnswer guards against passing on a head of a server in trouble whose
// status or version HTTP/1.1 does not have.
func TestHeadWithoutAStatusOfHTTPIsNoAnswer(t *testing.T) {
	const rest = "\r\nId: a\r\nContent-Length: 1\r\n\r\nx"
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			_, err := newPool().Do(context.Background(), request(upstream(t, line+rest), "a"))
			var failure *exchange.Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent) // it may have run
			is.True(errors.Is(err, exchange.ErrNotAnAnswer))
		})
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 599 Odd", "HTTP/1.1 418"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			response, err := newPool().Do(context.Background(), request(upstream(t, line+rest), "a"))
			is.NoErr(err)
			is.Equal(read(t, response), "x")
		})
	}
}
