package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// sendGeneration sends a generation with a prompt of 100 tokens that continues after lastEvent.
func (d *deployment) sendGeneration(id string, maxTokens, lastEvent int) reply {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.Self.Address+"/gen/x", strings.NewReader("prompt"))
	if err != nil {
		d.t.Fatal(err)
	}
	userplatform.CallerRequest{ID: id, Key: "k", Deadline: 20 * time.Second, LastEvent: lastEvent, MaxTokens: maxTokens}.SetHeaders(r)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// TestStoppingVMTakesNoGenerationThatItWouldCut guards against streams that a stopping VM passes on
// late in its grace time and cuts at its exit, because the engines need longer for a token than was
// assumed. The VM is the only one; the engines need 60 ms for each token.
func TestStoppingVMTakesNoGenerationThatItWouldCut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const events = 90
	// excused is the time after the stop order for which the platform excuses a request that the end
	// of the grace time cuts.
	const excused = 3 * time.Second
	d := deploy(t)
	for _, e := range d.engines {
		e.EventCount, e.EventInterval = events, 60*time.Millisecond
	}
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("layers are placed", func() bool {
		return d.sendGeneration("g"+strconv.Itoa(time.Now().Nanosecond()), events, events-20).status == http.StatusOK
	})
	d.stop()
	<-time.After(excused)
	began := time.Now()
	long := d.sendGeneration("long", events, 0)
	is.NoErr(long.err) // cut at the exit
	is.Equal(long.status, http.StatusServiceUnavailable)
	is.True(long.header.Get("Retry-After") != "")
	is.Equal(d.runs.Count("long"), 0)
	is.True(time.Since(began) < time.Second)
	short := d.sendGeneration("short", 20, events-20) // it ends in time
	is.NoErr(short.err)
	checkStream(t, short.body, events-19, events)
}
