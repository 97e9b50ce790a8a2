package standin_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// relay listens on an address and forwards calls to an engine, altering its answers.
func relay(t *testing.T, network *standin.Network, address, engine string, alter func([]byte) []byte) {
	t.Helper()
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	client := network.Client()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := client.Post("http://"+engine+r.URL.Path, "application/json", r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(alter(body))
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close(); client.CloseIdleConnections() })
}

// replace returns a function that replaces the first occurrence of a text.
func replace(old, new string) func([]byte) []byte {
	return func(body []byte) []byte { return bytes.Replace(body, []byte(old), []byte(new), 1) }
}

// TestImportIsCheckedByTarget guards against a stage that imports a KV cache of another
// session, model, version, layer range, engine or length, or one for a cancelled attempt,
// and against errors that name the wrong stage as the failed one.
func TestImportIsCheckedByTarget(t *testing.T) {
	source, target := fleet.UpstreamID("e1"), fleet.UpstreamID("")
	for _, test := range []struct {
		name   string
		order  func(*upstream.KVSource)
		alter  func([]byte) []byte
		faults standin.Faults // of the target
		cause  error
		// refusal is the reason of a refusal; empty for other failures.
		refusal upstream.RefusalReason
		failed  fleet.UpstreamID
	}{
		{name: "other session sent", alter: replace(`"s1"`, `"s2"`), refusal: upstream.RefusedOther, failed: source},
		{name: "other version sent", alter: replace(`"v1"`, `"v2"`), refusal: upstream.RefusedOther, failed: source},
		{name: "other model sent", alter: replace(`"m"`, `"n"`), refusal: upstream.RefusedOther, failed: source},
		{name: "other layers sent", alter: replace(`"first":4`, `"first":5`), refusal: upstream.RefusedOther, failed: source},
		{name: "other engine answers", alter: replace(`"e1"`, `"e7"`), refusal: upstream.RefusedOther, failed: source},
		{name: "fewer positions sent", alter: replace(`"positions":40`, `"positions":39`), refusal: upstream.RefusedOther, failed: source},
		{name: "cut", alter: func(b []byte) []byte { return b[:len(b)-1] }, cause: errAny, failed: source},
		{name: "longer", alter: func(b []byte) []byte { return append(b, 0) }, cause: errAny, failed: source},
		{name: "empty", alter: func([]byte) []byte { return nil }, cause: errAny, failed: source},
		{name: "nobody at the address", order: func(s *upstream.KVSource) { s.Address = "10.0.9.2:80" }, cause: errAny, failed: source},
		{name: "session unknown to the source", order: func(s *upstream.KVSource) { s.Session = "s2" }, refusal: upstream.RefusedPosition, failed: source},
		{name: "more positions than the source has", order: func(s *upstream.KVSource) { s.Positions = 400 }, refusal: upstream.RefusedPosition, failed: source},
		{name: "no position", order: func(s *upstream.KVSource) { s.Positions = 0 }, refusal: upstream.RefusedPosition, failed: source},
		{name: "target has another version", order: func(s *upstream.KVSource) { s.Version = "v2" }, refusal: upstream.RefusedAssignment, failed: target},
		{name: "target has another model", order: func(s *upstream.KVSource) { s.Model = "n" }, refusal: upstream.RefusedAssignment, failed: target},
		{name: "target has other layers", order: func(s *upstream.KVSource) { s.Layers.End = 7 }, refusal: upstream.RefusedAssignment, failed: target},
		{name: "attempt was cancelled", order: func(s *upstream.KVSource) { s.Attempt = 1 }, refusal: upstream.RefusedAttempt, failed: target},
		{name: "target answers for another session", faults: standin.Faults{SwapEvery: 1}, cause: upstream.ErrAnswerMismatch, failed: target},
		{name: "target is gone", faults: standin.Faults{Crashed: true}, cause: errAny, failed: target},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := newKVFixture(t, test.alter)
				defer k.close()
				is.NoErr(k.client.Cancel(t.Context(), "s1", 1))
				k.target.SetFaults(test.faults)
				order := k.order
				if test.order != nil {
					test.order(&order)
				}
				err := k.client.ImportFrom(t.Context(), order)
				var failure *upstream.Error
				is.True(errors.As(err, &failure))
				is.Equal(failure.Upstream, fleet.UpstreamID("t1"))
				is.Equal(failure.FailedStage, test.failed)
				var refusal *upstream.RefusalError
				if test.refusal != "" {
					is.True(errors.As(err, &refusal))
					is.Equal(refusal.Reason, test.refusal)
				} else {
					is.True(!errors.As(err, &refusal))
					is.True(test.cause == errAny || errors.Is(err, test.cause))
				}
				if test.cause == upstream.ErrAnswerMismatch {
					return // the import succeeded, only its answer was altered
				}
				k.target.SetFaults(standin.Faults{})
				progress, err := k.client.Progress(t.Context(), "s1")
				is.NoErr(err)
				is.Equal(progress.NextPosition, 0)
			})
		})
	}
}

// errAny matches any cause.
var errAny = errors.New("any")

// TestImportedKVDecidesTokens guards against an import that changes the tokens. With the
// altered cache, it checks that a wrong KV cache does change them, so that such a fault
// can't pass unnoticed.
func TestImportedKVDecidesTokens(t *testing.T) {
	for _, altered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			k := newKVFixture(t, func(b []byte) []byte {
				if altered {
					b[len(b)-1]++
				}
				return b
			})
			defer k.close()
			is.NoErr(k.client.ImportFrom(t.Context(), k.order))
			req := k.request(append(prompt(40), k.token), 20)
			req.Attempt, req.PromptLen = 2, 40
			req.Chain = slices.Clone(req.Chain)
			req.Chain[1].Upstream, req.Chain[1].Address = "t1", "10.0.9.1:80"
			for i := range req.Chain {
				req.Chain[i].Start = 40
			}
			rest, err := drain(t.Context(), k.clients[0], req)
			is.NoErr(err)
			expected := standin.ExpectedTokens("m", "v1", "", 8, prompt(40), 20)[1:]
			is.Equal(slices.Equal(rest, expected), !altered)
			is.True(altered == (rest[0] != expected[0]))
			is.Equal(k.target.PositionsRun(), len(rest)) // no imported position ran again
			// An import after the attempt has started is refused.
			err = k.client.ImportFrom(t.Context(), k.order)
			var refusal *upstream.RefusalError
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Reason, upstream.RefusedAttempt)
		})
	}
}

// kvFixture is a chain of two stages that has run a prompt of 40 tokens, and an engine t1
// with the layers of the second stage. t1 imports from the second stage through a relay.
type kvFixture struct {
	*fixture
	token  fleet.Token
	target *standin.Engine
	client *upstream.HTTPEngine
	order  upstream.KVSource
	close  func()
}

func newKVFixture(t *testing.T, alter func([]byte) []byte) *kvFixture {
	t.Helper()
	is := is.New(t)
	if alter == nil {
		alter = func(body []byte) []byte { return body }
	}
	f := newFixture(t, 2)
	stream, err := f.clients[0].Generate(t.Context(), f.request(prompt(40), 20))
	is.NoErr(err)
	event, err := stream.Next(t.Context())
	is.NoErr(err)
	stream.Close()
	layers := f.chain[1].Layers
	target := standin.NewEngine(standin.EngineConfig{ID: "t1", Assignment: upstream.Assignment{
		Role: upstream.RoleServe, Model: "m", Version: "v1", Layers: layers,
	}}, f.network.Client())
	server, err := standin.NewServer(target, "10.0.9.1:80", f.network.Listen)
	is.NoErr(err)
	relay(t, f.network, "10.0.9.3:80", f.chain[1].Address, alter)
	return &kvFixture{
		fixture: f, token: event.Token, target: target,
		client: upstream.NewHTTPEngine("t1", "10.0.9.1:80", f.network.Client()),
		order: upstream.KVSource{
			Upstream: "e1", Address: "10.0.9.3:80", Session: "s1", Attempt: 2,
			Model: "m", Version: "v1", Layers: layers, Positions: 40,
		},
		close: func() { server.Close(); f.group.Close() },
	}
}
