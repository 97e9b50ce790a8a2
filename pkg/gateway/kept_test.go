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

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

// scriptedServer is a plain server that runs each request and answers it. Before the answer to a
// request on a connection that has served another one, it writes an earlier refusal once more.
type scriptedServer struct {
	id   string
	runs *userplatform.Runs
	work time.Duration
}

func (s *scriptedServer) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *scriptedServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for served := 0; ; served++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		id := r.Header.Get("Request-Id")
		if served > 0 {
			_, _ = io.WriteString(c, refusalWithoutID)
		}
		s.runs.Add(id)
		time.Sleep(s.work)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: 4\r\n\r\ndone", s.id, id, id)
	}
}

const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// TestRepeatedRefusalOnAKeptConnection guards against a request that is answered as not run, or
// that runs at a second server, because its server wrote an earlier refusal once more on the
// connection: the server runs the request.
func TestRepeatedRefusalOnAKeptConnection(t *testing.T) {
	is := is.New(t)
	d := deploy(t)
	for _, p := range d.plain {
		d.store.Put("keyed.servers", p.ID, nil)
	}
	for i := range 2 {
		s := &scriptedServer{id: fmt.Sprintf("s%d", i), runs: d.runs, work: 20 * time.Millisecond}
		d.store.Put("keyed.servers", s.id, (&userplatform.PlainServer{}).Entry(s.start(t), "ready", 6, 1000))
	}
	d.store.Put("keyed.op", "config", config(1, 2000, "k"))
	d.start()
	d.eventually("served", func() bool { return d.sendRequest(http.MethodGet, "/look/1", "l", "k", "").status == http.StatusOK })
	for i := range 8 {
		for _, kind := range []struct{ method, path, body string }{{http.MethodPost, "/book/1", "x"}, {http.MethodGet, "/look/1", ""}} {
			id := fmt.Sprintf("%s%d", kind.method, i)
			got := d.sendRequest(kind.method, kind.path, id, "k", kind.body)
			is.Equal(got.status, http.StatusOK)
			is.Equal(d.runs.Count(id), 1)
		}
	}
}
