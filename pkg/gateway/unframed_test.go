package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// TestStreamWithoutLengthOrChunks guards against a stream that ends with its connection being taken
// for whole when it ends inside an event or before the first one, or for broken when it is whole.
func TestStreamWithoutLengthOrChunks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 5000, "k"))
	d.start()
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	for _, c := range []struct {
		id          string
		events      int
		insideEvent bool
		runs        int
	}{
		{"whole", 20, false, 1},
		{"inside-event", 7, true, 2},
		{"inside-first-event", 0, true, 2},
		{"before-first-event", 0, false, 2},
	} {
		ending := userplatform.Ending{Streams: &atomic.Int32{}, Events: c.events, InsideEvent: c.insideEvent}
		ending.Streams.Store(1)
		for _, e := range d.engines {
			e.SetEnding(ending)
		}
		got := d.sendRequest(http.MethodPost, "/gen/x", c.id, "k", "prompt")
		is.NoErr(got.err)
		checkStream(t, got.body, 1, 20)
		is.Equal(d.runs.Count(c.id), c.runs)
	}
	is.True(strings.Contains(d.log.String(), `"run_broken"`))
}
