package exchange_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/internal/answer/answertest"
	"github.com/cornelline/cornelline/pkg/exchange"
	"github.com/cornelline/cornelline/pkg/standin"
)

// malformedFields are lines of a head whose field name is not one of HTTP.
var malformedFields = []string{
	"X Y: 1", "X-Y : 1", "X Response-Signature: 2", "Content-Length : 2", "Transfer-Encoding : chunked", " X: 1",
	"X\tY: 1", "X\x00Y: 1", "X\x01Y: 1", "X\x7fY: 1", "X\x80Y: 1", "X\rY: 1", "X[Y]: 1", ": 1", " : 1", "X",
}

// TestFieldNamesOfAnswers guards against passing on the answer of a server in trouble whose head holds a
// malformed field name, with that line or with a body that is not the server's.
func TestFieldNamesOfAnswers(t *testing.T) {
	check := func(t *testing.T, broken standin.BrokenAnswer) {
		t.Helper()
		broken.End = standin.EndClose
		body, err := exchangeBody(t, newPool(), request(answertest.Start(t, broken), "a"))
		if err == nil {
			t.Fatalf("taken for an answer, with the body %q", body)
		}
		var failure *exchange.Error
		if errors.As(err, &failure) && !failure.Sent {
			t.Fatalf("%v; the request may have run", err)
		}
	}
	for _, field := range malformedFields {
		t.Run(field, func(t *testing.T) {
			check(t, standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a", field, "Content-Length: 5"}, Body: "whole"})
			check(t, standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a", field}, Body: "whole"})
		})
	}
	for _, field := range []string{"X Y: 1", "Content-Length : 2", "X\x01Y: 1"} {
		t.Run("trailer "+field, func(t *testing.T) {
			check(t, standin.BrokenAnswer{Status: "200 OK", Fields: []string{"Id: a", "Transfer-Encoding: chunked"}, Body: "5\r\nwhole\r\n0\r\n" + field + "\r\n\r\n"})
		})
		t.Run("interim answer "+field, func(t *testing.T) {
			check(t, standin.BrokenAnswer{Status: "103 Early Hints", Fields: []string{field}, Body: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole"})
		})
	}
	t.Run("all characters of names", func(t *testing.T) {
		is := is.New(t)
		body, err := exchangeBody(t, newPool(), request(answertest.Start(t, standin.BrokenAnswer{
			Status: "200 OK", Fields: []string{"Id: a", "aZ09!#$%&'*+-.^_`|~: 1", "Transfer-Encoding: chunked"}, Body: "5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n", End: standin.EndClose,
		}), "a"))
		is.NoErr(err)
		is.Equal(body, "whole")
	})
}
