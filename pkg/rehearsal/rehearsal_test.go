package rehearsal_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/rehearsal"
	"github.com/cornelline/cornelline/pkg/result"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// answering returns a RoundTripper that counts calls and responds with text.
func answering(calls *int, text string) http.RoundTripper {
	return roundTripFunc(func(*http.Request) (*http.Response, error) {
		*calls++
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
	})
}

var bounds = rehearsal.Bounds{MaxDuration: time.Minute, MaxTargets: 1}

// newRehearsal returns a ten-second rehearsal of a fault at target e1.
func newRehearsal(f rehearsal.Fault) rehearsal.Rehearsal {
	return rehearsal.Rehearsal{ID: "r1", Fault: f, Targets: []rehearsal.Target{"e1"}, Duration: 10 * time.Second}
}

// TestFaultsLookLikeIncidents guards against an injected fault that clients can
// distinguish from a real one, a rehearsal that affects another upstream, and one that
// outlasts its duration.
func TestFaultsLookLikeIncidents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		injector := rehearsal.NewInjector(time.Now)
		injector.Bind("127.0.0.1:1", "e1")
		client := &http.Client{Transport: &rehearsal.Transport{Base: answering(&calls, strings.Repeat("x", 1000)), Injector: injector}}
		get := func(host string) (int, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host, nil)
			is.NoErr(err)
			resp, err := client.Do(req)
			if err != nil {
				return 0, err
			}
			data, err := io.ReadAll(resp.Body)
			return len(data), err
		}
		start := func(f rehearsal.Fault) {
			_, err := injector.Start(newRehearsal(f), bounds)
			is.NoErr(err)
		}

		start(rehearsal.Refuse)
		_, err := get("127.0.0.1:1")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.Equal(calls, 0) // a refused request is never executed
		n, err := get("127.0.0.1:2")
		is.NoErr(err) // other hosts are not affected
		is.Equal(n, 1000)

		start(rehearsal.Stall)
		_, err = get("127.0.0.1:1")
		is.True(errors.Is(err, context.DeadlineExceeded))

		start(rehearsal.Cut)
		n, err = get("127.0.0.1:1")
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
		is.True(n < 1000)

		start(rehearsal.LostAnswer)
		before := calls
		_, err = get("127.0.0.1:1")
		is.True(err != nil)
		is.Equal(calls, before+1) // the request took effect

		time.Sleep(11 * time.Second)
		_, err = get("127.0.0.1:1")
		is.NoErr(err) // the rehearsal has ended after its duration
		is.Equal(len(injector.Active()), 0)
	})
}

// TestStartKeepsBounds guards against a rehearsal that exceeds the bounds on duration or
// number of targets, and against one with an unknown fault.
func TestStartKeepsBounds(t *testing.T) {
	is := is.New(t)
	injector := rehearsal.NewInjector(time.Now)
	cases := map[string]func(*rehearsal.Rehearsal){
		"duration too long": func(r *rehearsal.Rehearsal) { r.Duration = time.Hour },
		"no duration":       func(r *rehearsal.Rehearsal) { r.Duration = 0 },
		"too many targets":  func(r *rehearsal.Rehearsal) { r.Targets = append(r.Targets, "e2") },
		"unknown fault":     func(r *rehearsal.Rehearsal) { r.Fault = "flood" },
	}
	for name, change := range cases {
		r := newRehearsal(rehearsal.Refuse)
		change(&r)
		_, err := injector.Start(r, bounds)
		if result.From(err).Code != result.RehearsalOutOfBounds {
			t.Errorf("%s: want code %d, got %v", name, result.RehearsalOutOfBounds, err)
		}
	}
	is.Equal(len(injector.Active()), 0)
}
