package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoppingVMTakesNoPlainRequestThatItWouldCut guards against plain requests that a stopping VM
// passes on late in its grace time and cuts at the end, without an answer, because their route may
// last longer.
func TestStoppingVMTakesNoPlainRequestThatItWouldCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	// excused is the time after the stop order for which the platform excuses a request that the end
	// of the grace time cuts.
	const excused = 3 * time.Second
	d := deploy(t)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	for _, p := range d.plain {
		p.OnRequest = func(id string) {
			if strings.HasPrefix(id, "slow") {
				<-release
			}
		}
	}
	d.store.Put("keyed.op", "config", config(1, 20000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	d.stop()
	<-time.After(excused)
	for _, c := range []struct{ method, path, id string }{{http.MethodPost, "/book/1", "slow-booking"}, {http.MethodGet, "/look/1", "slow-lookup"}} {
		began := time.Now()
		got := d.sendRequest(c.method, c.path, c.id, "k", "")
		is.NoErr(got.err) // cut without an answer
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
		is.True(time.Since(began) < time.Second)
	}
	is.Equal(d.sendWithDeadline(http.MethodGet, "/look/1", "short", "k", "", 500*time.Millisecond).status, http.StatusOK) // it ends in time
}
