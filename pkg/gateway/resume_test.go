package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestErrorOfTheNextServerStaysOutOfTheStream guards against callers that find the error of the
// server which continues their broken stream among its events, or a stream that ends as if it
// were complete.
func TestErrorOfTheNextServerStaysOutOfTheStream(t *testing.T) {
	is := is.New(t)
	const eventsBefore = 5
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	for _, fault := range []string{"status", "json", "head", "text", "end"} {
		d.eventually("served again", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
		for _, e := range d.engines {
			e.BreakNextStream(eventsBefore)
			e.SetResumeFault(fault)
		}
		got := d.sendRequest(http.MethodPost, "/gen/x", "broken-"+fault, "k", "prompt")
		if got.err == nil {
			t.Errorf("%s: the stream ends as if it were complete", fault)
		}
		is.Equal(got.status, http.StatusOK)
		checkStream(t, got.body, 1, eventsBefore)
		for _, e := range d.engines {
			e.BreakNextStream(0)
			e.SetResumeFault("")
		}
	}
}
