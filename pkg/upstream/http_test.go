package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// newTestService returns a plain service on an in-memory network, its client and a
// function that stops it.
func newTestService(t *testing.T) (*standin.Service, *upstream.HTTPService, func()) {
	t.Helper()
	network := standin.NewNetwork()
	service := standin.NewService(standin.ServiceConfig{ID: "s1", Work: standin.Duration(10 * time.Millisecond)})
	server, err := standin.NewServer(service, "10.0.0.1:80", network.Listen)
	if err != nil {
		t.Fatal(err)
	}
	return service, upstream.NewHTTPService("s1", "10.0.0.1:80", "/bookings", network.Client()), server.Close
}

func call(ctx context.Context, s *upstream.HTTPService, request fleet.RequestID, key string) (upstream.ServiceResponse, *upstream.Error) {
	resp, err := s.Call(ctx, upstream.ServiceRequest{RequestID: request, Route: "bookings", Key: key, Body: []byte("{}")})
	var failure *upstream.Error
	errors.As(err, &failure)
	return resp, failure
}

// TestServiceErrorsSayWhetherSent guards against an error that says "not sent" for a
// call that ran, against accepting the answer to another request, and against a call
// that the client or the transport repeats.
func TestServiceErrorsSayWhetherSent(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults standin.Faults
		sent   bool
		runs   int
		cause  error
	}{
		{"refused connection", standin.Faults{Crashed: true}, false, 0, nil},
		{"lost answer", standin.Faults{LoseAnswers: true}, true, 1, nil},
		{"crossed answer", standin.Faults{SwapEvery: 1}, true, 1, upstream.ErrAnswerMismatch},
		{"empty answer", standin.Faults{Empty: true}, true, 1, upstream.ErrAnswerMismatch},
		{"cut answer", standin.Faults{CutAfter: 1}, true, 1, nil},
		{"outage", standin.Faults{Outage: true}, true, 0, nil},
		{"stall", standin.Faults{Stall: standin.StallAll}, true, 0, nil},
	} {
		for _, key := range []string{"", "k1"} {
			t.Run(fmt.Sprintf("%s key=%q", test.name, key), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					service, client, stop := newTestService(t)
					defer stop()
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					resp, failure := call(ctx, client, "r-0", "")
					is.True(failure == nil)
					is.Equal(resp.Status, http.StatusOK)
					service.SetFaults(test.faults)
					synctest.Wait() // until the client has detected the end of its pooled connections
					_, failure = call(ctx, client, "r-1", key)
					is.True(failure != nil)
					is.Equal(failure.Sent, test.sent)
					is.Equal(service.Runs().ByRequest["r-1"], test.runs)
					is.True(test.cause == nil || errors.Is(failure, test.cause))
				})
			})
		}
	}
}

// TestKeyedCallAvoidsSilentConnection guards against an unknown outcome of a keyed
// call because a pooled connection had gone silent, and against a call without a key
// that waits on a silent connection until its deadline.
func TestKeyedCallAvoidsSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, client, stop := newTestService(t)
		defer stop()
		ctx := t.Context()
		_, failure := call(ctx, client, "r-1", "")
		is.True(failure == nil)
		service.SetFaults(standin.Faults{SilenceConnections: true})
		_, failure = call(ctx, client, "r-1", "k1")
		is.True(failure == nil)
		is.Equal(service.Runs().ByKey["k1"], 1)
		start := time.Now()
		_, failure = call(ctx, client, "r-1", "")
		is.True(errors.Is(failure, upstream.ErrSilent))
		is.Equal(time.Since(start), upstream.DefaultSilenceTimeout)
		_, failure = call(ctx, client, "r-1", "")
		is.True(failure == nil) // the silent connections are no longer used
	})
}

// TestEngineCallsAfterSilence guards against a progress probe over a silent pooled
// connection, and against polls that try one silent pooled connection after another.
func TestEngineCallsAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := standin.NewNetwork()
		stand := standin.NewEngine(standin.EngineConfig{ID: "e1"}, network.Client())
		server, err := standin.NewServer(stand, "10.0.0.1:80", network.Listen)
		is.NoErr(err)
		defer server.Close()
		engine := upstream.NewHTTPEngine("e1", "10.0.0.1:80", network.Client())
		ctx := t.Context()
		stand.SetFaults(standin.Faults{Stall: standin.StallAll})
		polls := make(chan error)
		for range 3 {
			go func() { _, err := engine.State(ctx); polls <- err }()
		}
		synctest.Wait()
		stand.SetFaults(standin.Faults{})
		for range 3 {
			is.NoErr(<-polls)
		}
		stand.SetFaults(standin.Faults{SilenceConnections: true})
		start := time.Now()
		_, err = engine.Progress(ctx, "s1")
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
		_, err = engine.State(ctx)
		is.True(errors.Is(err, upstream.ErrSilent))
		_, err = engine.State(ctx)
		is.NoErr(err)
	})
}

// TestBrokenPooledConnectionIsNotRetried guards against a retry by net/http, which
// repeats a POST with an Idempotency-Key when a pooled connection breaks.
func TestBrokenPooledConnectionIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := standin.NewNetwork()
		listener, err := network.Listen("10.0.0.1:80")
		is.NoErr(err)
		defer listener.Close()
		runs := make(chan struct{}, 10)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			runs <- struct{}{}
			if len(runs) > 1 {
				conn, _, _ := http.NewResponseController(w).Hijack()
				conn.Close()
				return
			}
			w.Header().Set(upstream.HeaderRequestID, "r-1")
		})}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		// The client can open new connections only with a transport that it knows to
		// be an *http.Transport. With any other, the keyed call uses the pooled connection.
		pooled := &http.Client{Transport: opaqueTransport{network.Client().Transport}}
		client := upstream.NewHTTPService("s1", "10.0.0.1:80", "/", pooled)
		_, failure := call(t.Context(), client, "r-1", "k1")
		is.True(failure == nil)
		_, failure = call(t.Context(), client, "r-1", "k1")
		is.True(failure != nil && failure.Sent)
		is.Equal(len(runs), 2)
		pooled.CloseIdleConnections()
	})
}

// opaqueTransport hides the type of a transport.
type opaqueTransport struct{ http.RoundTripper }

// TestNotSentWhenRefusedAtDial guards against Sent set to false after a connection
// was made, and against Sent set to true when none was made.
func TestNotSentWhenRefusedAtDial(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			conn.Close()
		}
	}()
	engine := upstream.NewHTTPEngine("e1", address, nil)
	var failure *upstream.Error
	_, err = engine.State(t.Context())
	is.True(errors.As(err, &failure))
	is.True(failure.Sent)
	listener.Close()
	_, err = engine.State(t.Context())
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = engine.Generate(ended, upstream.GenerateRequest{})
	is.True(errors.As(err, &failure))
	is.True(!failure.Sent)
}
