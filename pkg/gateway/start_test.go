package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartingVMHoldsRequests: after a loss of power of all VMs, callers whose streams were
// cut off retry once, at VMs that have been listening for some tenths of a second and do not
// know the configuration yet. They must be served as soon as it is known; a VM that does not
// learn it soon refuses them.
func TestStartingVMHoldsRequests(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.start()
	time.AfterFunc(300*time.Millisecond, func() { d.store.Put("keyed.op", "config", config(1, 2000, "k")) })
	got := d.sendRequest(http.MethodPost, "/book/1", "early", "k", "x")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(d.runs.Count("early"), 1)

	late := deploy(t)
	late.store.SetDown(true)
	late.start()
	began := time.Now()
	is.Equal(late.sendRequest(http.MethodPost, "/book/1", "late", "k", "x").status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 4*time.Second) // 2.5 s, and the overhead of the test
	began = time.Now()
	is.Equal(late.sendRequest(http.MethodPost, "/book/1", "later", "k", "x").status, http.StatusServiceUnavailable)
	is.True(time.Since(began) < time.Second) // no longer held
}

// TestSlowBodyIsGivenUp: a caller that sends half of its request's body and then stops must
// not hold the VM beyond its own deadline.
func TestSlowBodyIsGivenUp(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	c, err := net.Dial("tcp", d.settings.Self.Address)
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\nAuthorization: Bearer k\r\n"+
		"Deadline-Milliseconds: 300\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	answer, err := io.ReadAll(c) // ends when the VM closes
	if err != nil {
		t.Fatalf("%v after %q\n%s", err, answer, d.log.String())
	}
	is.Equal(d.runs.Count("slow"), 0)
}

// TestSlowBodyIsRefusedWhenTheAnswerIsDue guards against a request that gets no answer after its
// route's timeout because its body is still on its way.
func TestSlowBodyIsRefusedWhenTheAnswerIsDue(t *testing.T) {
	is := is.New(t)
	const (
		timeout       = 400 * time.Millisecond
		answerAllowed = 500 * time.Millisecond // after the timeout, by the platform's rules
	)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, int(timeout.Milliseconds()), "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	c, err := net.Dial("tcp", d.settings.Self.Address)
	is.NoErr(err)
	defer c.Close()
	began := time.Now()
	_, err = io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\nAuthorization: Bearer k\r\n"+
		"Deadline-Milliseconds: 20000\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(began.Add(10 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err) // the connection was closed without an answer
	is.True(time.Since(began) < timeout+answerAllowed)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(resp.Close)
	is.Equal(d.runs.Count("slow"), 0)
}

// TestStopWithBodyInFlight: a request whose head arrived before the order to stop and whose
// body arrives after it gets a complete answer. So does a request on a kept-alive connection
// right after the order.
func TestStopWithBodyInFlight(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", d.settings.Self.Address)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
		return c
	}
	head := func(id string, length int) string {
		return fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer k\r\n"+
			"Deadline-Milliseconds: 5000\r\nContent-Length: %d\r\n\r\n", id, length)
	}
	early, kept := dial(), dial()
	reader := bufio.NewReader(kept)
	_, err := io.WriteString(kept, head("before", 2)+"ab")
	is.NoErr(err)
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_, err = io.WriteString(early, head("early", 4)+"ha")
	is.NoErr(err)
	d.stop()
	_, err = io.WriteString(kept, head("after", 2)+"cd")
	is.NoErr(err)
	_, err = io.WriteString(early, "lf")
	is.NoErr(err)
	for id, r := range map[string]*bufio.Reader{"after": reader, "early": bufio.NewReader(early)} {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(len(body) > 0)
		is.Equal(d.runs.Count(id), 1)
	}
}
