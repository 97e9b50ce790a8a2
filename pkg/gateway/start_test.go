package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartingVMHoldsRequests: load pattern of the seconds after a loss of power of all
// VMs: callers whose streams broke off come back once, to VMs that have listened for some
// tenths of a second and do not know the configuration yet. They are served as soon as it
// is known; a VM that does not learn it soon refuses.
func TestStartingVMHoldsRequests(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.start()
	answers := make(chan reply, 1)
	go func() { answers <- d.ask(http.MethodPost, "/book/1", "early", "k", "x") }()
	time.Sleep(300 * time.Millisecond)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	got := <-answers
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(d.runs.Of("early"), 1)

	late := deploy(t)
	late.store.SetDown(true)
	late.start()
	began := time.Now()
	is.Equal(late.ask(http.MethodPost, "/book/1", "late", "k", "x").status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 4*time.Second) // 2.5 s, and the way of the test
	began = time.Now()
	is.Equal(late.ask(http.MethodPost, "/book/1", "later", "k", "x").status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second) // not held any more
}
