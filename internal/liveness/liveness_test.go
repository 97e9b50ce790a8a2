package liveness_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/internal/liveness"
)

// TestHasEnded guards against a crash that is taken for a broken connection, because the process
// closes its port a moment after its connections, and the opposite.
func TestHasEnded(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(l net.Listener) // runs beside the check
		ended bool
	}{
		{"port is closed after a connection was accepted", func(l net.Listener) {
			conn, err := l.Accept()
			_ = l.Close()
			if err == nil {
				_ = conn.Close()
			}
		}, true},
		{"process goes on", func(l net.Listener) {
			conn, err := l.Accept()
			if err == nil {
				time.AfterFunc(time.Second, func() { _ = conn.Close() })
			}
		}, false},
		{"process closes connections and goes on", func(l net.Listener) {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go c.serve(l)
			address := l.Addr().String()
			is.Equal(liveness.HasEnded(t.Context(), new(net.Dialer).DialContext, address), c.ended)
			_ = l.Close()
			is.True(liveness.HasEnded(t.Context(), new(net.Dialer).DialContext, address))
		})
	}
}
