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

// TestStartingVMHoldsRequests: load pattern of the seconds after a loss of power of all
// VMs: callers whose streams broke off come back once, to VMs that have listened for some
// tenths of a second and do not know the configuration yet. They are served as soon as it
// is known; a VM that does not learn it soon refuses.
func TestStartingVMHoldsRequests(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.start()
	time.AfterFunc(300*time.Millisecond, func() { d.store.Put("keyed.op", "config", config(1, 2000, "k")) })
	got := d.ask(http.MethodPost, "/book/1", "early", "k", "x")
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

// TestSlowBodyIsGivenUp: a caller that sends half of its request's body and then nothing
// must not hold the VM beyond its own deadline.
func TestSlowBodyIsGivenUp(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.ask(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
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
	is.Equal(d.runs.Of("slow"), 0)
}

// TestStopWithABodyOnItsWay: a request whose head came before the order to stop and whose
// body comes after it is answered whole, and so is one that comes on a kept connection
// right after the order.
func TestStopWithABodyOnItsWay(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.ask(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
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
		is.Equal(d.runs.Of(id), 1)
	}
}
