package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/infra"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// oddServer starts a server that answers each request with a text and then repeats piece, if there is
// one, until the client closes the connection. It returns the server's address.
func oddServer(t *testing.T, beginning, piece string) string {
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
			go func() {
				defer c.Close()
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, err = io.WriteString(c, strings.ReplaceAll(beginning, "ID", request.Header.Get(upstream.HeaderRequestID)))
				for many := strings.Repeat(piece, 10_000); err == nil && piece != ""; {
					_, err = io.WriteString(c, many)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestServiceAnswerWithoutAStatusOfHTTP guards against giving a caller the answer of a server in trouble
// whose status is 000, and against saying that the request did not run.
func TestServiceAnswerWithoutAStatusOfHTTP(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			address := oddServer(t, "HTTP/1.1 "+status+" Odd\r\n"+upstream.HeaderRequestID+": ID\r\nContent-Length: 2\r\n\r\n{}", "")
			_, err := upstream.NewHTTPService("s1", address, "/bookings", nil).Call(t.Context(), upstream.ServiceRequest{RequestID: "r1", Route: "bookings", Body: []byte("{}")})
			var failure *upstream.Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent)
		})
	}
}

// maxKeptBytes is how much the heap may grow while an answer without an end is read.
const maxKeptBytes = 64 << 20

// TestAnswersWithoutEnd guards against keeping all that a faulty engine or service of the platform sends
// without an end, until the process runs out of memory.
func TestAnswersWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	text := oddServer(t, head+`{"model":"`, "0123456789")
	list := oddServer(t, head+`{"vms":[`, `{"id":"vm"},`)
	for name, call := range map[string]func(ctx context.Context) error{
		"state of an engine": func(ctx context.Context) error {
			_, err := upstream.NewHTTPEngine("e1", text, nil).State(ctx)
			return err
		},
		"list of VMs": func(ctx context.Context) error {
			_, err := infra.NewHTTPVMList("http://"+list, nil).List(ctx)
			return err
		},
		"records of the log": func(ctx context.Context) error {
			_, err := infra.NewHTTPLog("http://"+text, nil).Read(ctx, "s", 0, 10)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			done, most := make(chan error, 1), uint64(0)
			before := heapBytes()
			go func() { done <- call(ctx) }()
			ticker := time.NewTicker(20 * time.Millisecond)
			defer ticker.Stop()
			for {
				select {
				case err := <-done:
					is.True(err != nil)
					is.NoErr(ctx.Err()) // it ends by its size, not by its time
					if most > before+maxKeptBytes {
						t.Errorf("the heap grew by %d MB, at most %d may be kept", (most-before)>>20, maxKeptBytes>>20)
					}
					return
				case <-ticker.C:
					if most = max(most, heapBytes()); most > before+8*maxKeptBytes {
						cancel() // it has no bound
					}
				}
			}
		})
	}
}

// heapBytes returns the size of the objects on the heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
