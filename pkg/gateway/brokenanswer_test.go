package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// longUpload does not fit into the buffers of a connection whose other end does not read.
var longUpload = strings.Repeat("x", 8<<20)

// deployForUploads starts a deployment that accepts bodies of the length of longUpload.
func deployForUploads(t *testing.T) *deployment {
	t.Helper()
	d := deploy(t)
	d.store.Put("keyed.op", "config", userplatform.Operator{
		Version: 1, Timeout: 5 * time.Second, StreamAttempts: 2, Keys: []string{"k"}, BodyBytes: len(longUpload),
	}.Config())
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	return d
}

// checkBrokenBookings sends bookings while all servers of the service send the same broken answer, and
// fails unless callers get a failure without a signature and no booking runs twice.
func checkBrokenBookings(t *testing.T, d *deployment, broken *standin.BrokenAnswer, body string, count int) {
	t.Helper()
	for _, p := range d.plain {
		p.SetBroken(broken)
	}
	ran := 0
	for i := range count {
		id := fmt.Sprintf("book-%d", i)
		got := d.sendRequest(http.MethodPost, "/book/1", id, "k", body)
		switch {
		case got.err != nil: // the connection ended without a proper end
		case got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable:
			t.Fatalf("%s: %d %q with the signature %q", id, got.status, got.body, got.header.Get("Response-Signature"))
		case got.header.Get("Response-Signature") != "":
			t.Errorf("%s: a failure of the VM with a signature", id)
		case got.status == http.StatusServiceUnavailable && d.runs.Count(id) > 0: // all servers are known to fail
			t.Errorf("%s: ran, but was refused as not run", id)
		}
		if d.runs.Count(id) > 1 {
			t.Errorf("%s ran %d times", id, d.runs.Count(id))
		}
		ran += d.runs.Count(id)
	}
	if ran == 0 {
		t.Error("no booking reached a server")
	}
}

// checkLookupsElsewhere sends lookups while one of two servers sends a broken answer, and fails unless
// callers get the answer of the other one.
func checkLookupsElsewhere(t *testing.T, d *deployment, broken *standin.BrokenAnswer, body string) {
	t.Helper()
	d.plain[0].SetBroken(broken)
	for i := range 6 { // whichever server is asked first
		got := d.sendRequest(http.MethodPost, "/look/1", fmt.Sprintf("look-%d", i), "k", body)
		if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, body) {
			t.Fatalf("lookup %d: %d, %d bytes, %v", i, got.status, len(got.body), got.err)
		}
	}
}

// TestResetDuringUploadReachesCallersAsFailure guards against giving a caller a part of an answer for the
// whole one when the answer has no length and its server resets the connection during the upload.
func TestResetDuringUploadReachesCallersAsFailure(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]standin.BrokenAnswer{
		"at once":        {Body: "part"},
		"after 1 ms":     {Body: "part", EndAfter: standin.Duration(time.Millisecond)},
		"while streamed": {Body: strings.Repeat("part", 1<<19), EndAfter: standin.Duration(50 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			d := deployForUploads(t)
			broken.Status, broken.Early, broken.End = "200 OK", true, standin.EndReset
			if name != "while streamed" { // else the caller has a part of the answer, and no repeat is possible
				checkLookupsElsewhere(t, d, &broken, longUpload)
			}
			checkBrokenBookings(t, d, &broken, longUpload, 20)
		})
	}
}

// TestEarlyAnswersDuringUpload guards against losing what a server says before it has read the upload,
// after which it resets the connection: an answer whose end is marked, and a promise that the request
// has not run.
func TestEarlyAnswersDuringUpload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deployForUploads(t)
	set := func(broken standin.BrokenAnswer) {
		broken.Early, broken.End = true, standin.EndReset
		for _, p := range d.plain {
			p.SetBroken(&broken)
		}
	}
	set(standin.BrokenAnswer{Status: "413 Content Too Large", Fields: []string{"Content-Length: 5"}, Body: "whole"})
	for i := range 5 {
		got := d.sendRequest(http.MethodPost, "/book/1", fmt.Sprintf("early-%d", i), "k", longUpload)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusRequestEntityTooLarge)
		is.Equal(got.body, "whole")
		is.True(got.header.Get("Response-Signature") != "")
	}
	set(standin.BrokenAnswer{Status: "503 Service Unavailable", Fields: []string{"Not-Executed: 1"}, Body: "part"})
	for i := range 5 {
		got := d.sendRequest(http.MethodPost, "/book/1", fmt.Sprintf("refused-%d", i), "k", longUpload)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
}

// TestResetDuringUploadBreaksStream guards against taking a stream for complete that has no length and
// whose engine resets the connection between two events while the prompt is written.
func TestResetDuringUploadBreaksStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deployForUploads(t)
	d.eventually("layers are placed", func() bool { return d.canGenerate("g" + strconv.Itoa(time.Now().Nanosecond())) })
	for i := range 20 {
		ending := userplatform.Ending{Streams: &atomic.Int32{}, Events: 7, Pause: 5 * time.Millisecond}
		ending.Streams.Store(1)
		for _, e := range d.engines {
			e.SetEnding(ending) // without having read the prompt, so that the kernel resets the connection
		}
		id := fmt.Sprintf("stream-%d", i)
		got := d.sendRequest(http.MethodPost, "/gen/x", id, "k", longUpload)
		is.NoErr(got.err)
		checkStream(t, got.body, 1, 20)
		is.Equal(d.runs.Count(id), 2)
	}
	ending := userplatform.Ending{Streams: &atomic.Int32{}, Events: 7, Pause: 5 * time.Millisecond}
	ending.Streams.Store(2) // as many runs as the route allows
	for _, e := range d.engines {
		e.SetEnding(ending)
	}
	got := d.sendRequest(http.MethodPost, "/gen/x", "both-broken", "k", longUpload)
	is.True(got.err != nil)
	is.Equal(d.runs.Count("both-broken"), 2)
}

// TestFieldNamesReachCallersAsFailure guards against giving a caller the answer of a server in trouble
// whose head holds a malformed field name, and against repeating a booking for it.
func TestFieldNamesReachCallersAsFailure(t *testing.T) {
	t.Parallel()
	for _, field := range []string{"X Y: 1", "X Response-Signature: 2", "Content-Length : 2", "X\x01Y: 1"} {
		t.Run(field, func(t *testing.T) {
			d := deployForUploads(t)
			broken := &standin.BrokenAnswer{Status: "200 OK", Fields: []string{field}, Body: "whole", End: standin.EndClose}
			checkLookupsElsewhere(t, d, broken, "x")
			checkBrokenBookings(t, d, broken, "x", 4)
		})
	}
}
