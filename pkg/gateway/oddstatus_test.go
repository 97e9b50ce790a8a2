package gateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin"
)

// TestAnswerWithStatus000IsAFailure guards against giving a caller the head of a server in trouble whose
// status is 000 as an answer, against ending the caller's connection over it, and against a second run of
// a request that may not be repeated.
func TestAnswerWithStatus000IsAFailure(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 5000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	broken := &standin.BrokenAnswer{Status: "000 Trouble", Fields: []string{"Content-Length: 2"}, Body: "no", End: standin.EndClose}
	d.plain[0].SetBroken(broken)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} { // whichever server is asked first
		is.Equal(d.sendRequest(http.MethodGet, "/look/1", "look-"+id, "k", "").status, http.StatusOK)
	}
	d.plain[1].SetBroken(broken)
	for _, id := range []string{"a", "b", "c"} {
		got := d.sendRequest(http.MethodPost, "/book/1", "book-"+id, "k", "x")
		is.NoErr(got.err)
		is.True(got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable) // 503: not sent, both servers are known to fail
		is.True(got.header.Get("Response-Signature") == "")
		is.True(d.runs.Count("book-"+id) <= 1)
	}
}
