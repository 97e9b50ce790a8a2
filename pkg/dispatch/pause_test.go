package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestAllEnginesAskForAPauseUnderLoad guards against requests that stay queued while all
// engines ask for a pause of two seconds under full load. Queued and new requests must be
// refused at once with the end of the pause as Retry-After, and accepted again after it.
func TestAllEnginesAskForAPauseUnderLoad(t *testing.T) {
	is := is.New(t)
	f := newFlood(t)
	request := func(i int) dispatch.Request {
		return dispatch.Request{
			ID: fleet.RequestID(fmt.Sprint("p", i)), Team: fleet.TeamID(fmt.Sprint(i % 5)), Rank: 1,
			Objective: objective, FirstEventTimeout: firstEventTimeout, Need: chain.Need{PromptTokens: 800, AnswerTokens: 200},
		}
	}
	waiting := 0
	for i := range 400 { // far more than the chain has memory for
		waiting++
		for range f.queue.Submit(f.now, request(i), nil) {
			waiting--
		}
	}
	is.True(waiting > 0)
	until := f.now.Add(2 * time.Second)
	for first := 0; first < 80; first += 8 {
		f.allocator.Pause(fleet.UpstreamID(fmt.Sprint(first)), until)
	}
	refused := f.queue.Tick(f.now, nil)
	is.Equal(len(refused), waiting)
	for i := range 50 {
		refused = append(refused, f.queue.Submit(f.now, request(1000+i), nil)...)
	}
	is.Equal(len(refused), waiting+50)
	for _, a := range refused {
		is.True(a.Chain == nil)
		is.Equal(a.Reason, chain.Paused)
		is.True(a.RetryAfter >= 2*time.Second && a.RetryAfter < 2500*time.Millisecond)
	}
	is.Equal(f.queue.Len(), 0)
	f.now = until
	resumed := f.queue.Submit(f.now, request(5000), nil)
	is.True(len(resumed) == 0 || resumed[0].Reason != chain.Paused)
}
