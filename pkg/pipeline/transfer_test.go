package pipeline_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// TestFailedTransfers guards against a session that loses or repeats tokens after
// a failed KV transfer, suspects the wrong engine, uses an unconfirmed KV cache or
// waits longer than necessary. The middle stage a1 stalls but still answers
// probes, and b1 is ordered to fetch the KV cache of a1.
func TestFailedTransfers(t *testing.T) {
	const (
		perPosition = 50 * time.Microsecond
		held        = promptLen + 9 // positions that the transfer copies
		halfway     = held * perPosition / 2
		// estimate is the time of a rebuild according to the planner's costs: the head
		// runs the positions that are not in its prefix cache, the new stage runs all
		// positions and the tail runs one.
		estimate = (held + 1 - promptLen + held + 1 + 1) * stepTime / 16
	)
	now := func(id string, f standin.Faults) func(*testBed) {
		return func(b *testBed) { b.group.StandIns[id].SetFaults(f) }
	}
	dies := func(id string) func(*testBed) {
		return func(b *testBed) { time.AfterFunc(halfway, func() { now(id, standin.Faults{Crashed: true})(b) }) }
	}
	for _, test := range []struct {
		name string
		// during sets faults just before the transfer starts.
		during func(b *testBed)
		// attempts is the number of attempts. start and imported describe the last one.
		attempts, start, imported int
		// chosen is the engine of the middle layers in the last attempt.
		chosen string
		// wasted is the time that the failed transfer adds.
		wasted time.Duration
	}{
		{"source dies", dies("a1"), 2, 0, 0, "b1", halfway},
		// The rebuild on b1 fails after the head ran its part of it. Then the source
		// exports its KV cache to c1.
		{"target dies", dies("b1"), 3, held, held, "c1", halfway + prefillTime(held+1-promptLen)},
		{"slower than the rebuild", now("a1", standin.Faults{Stall: standin.StallCompute, SlowFactor: 1e5}), 2, 0, 0, "b1", estimate},
		{"source sends another session", now("a1", standin.Faults{Stall: standin.StallCompute, SwapEvery: 1}), 2, 0, 0, "b1", 0},
		{"target answers for another session", now("b1", standin.Faults{SwapEvery: 1}), 2, 0, 0, "b1", held * perPosition},
		{"target loses its answer", now("b1", standin.Faults{LoseAnswers: true}), 2, 0, 0, "b1", held * perPosition},
		{"no fault", func(*testBed) {}, 2, held, held, "b1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBed(perPosition, "a", "b", "c")
				defer b.close()
				b.onPlan = func(need pipeline.PlanRequest) {
					if need.Attempt == 2 {
						test.during(b)
					}
				}
				b.fault("a1", standin.Faults{StallAtPosition: at(held)})
				got, err := b.run(t.Context(), "s")
				is.NoErr(err)
				is.Equal(b.tokens, expected())
				is.Equal(got.Attempts, test.attempts)
				started := b.of(pipeline.AttemptStarted)
				last := started[len(started)-1]
				is.Equal(last.Start, test.start)
				is.Equal(last.Imported, test.imported)
				is.Equal(string(last.Chain[1]), test.chosen)
				floor := floorOf(last, upstream.DefaultSilenceTimeout, perPosition, ids("a1"), last.Accepted)
				took := b.of(pipeline.Recovered)[0].SinceSymptom
				t.Logf("symptom to next token %v, floor %v, failed transfer %v", took, floor, test.wasted)
				is.Equal(took, floor+test.wasted)
			})
		})
	}
}
