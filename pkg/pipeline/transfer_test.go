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

// TestFailedTransfers guards against a session that loses or repeats tokens when
// a KV transfer fails, blames the wrong side, goes on with a KV cache that was
// not confirmed, or waits longer than it must. The middle stage a1 stalls, still
// answers, and b1 is told to fetch its KV cache.
func TestFailedTransfers(t *testing.T) {
	const (
		perPosition = 50 * time.Microsecond
		held        = promptLen + 9 // positions that move
		halfway     = held * perPosition / 2
		// estimate is the time that the planner's figures give for the rebuild: the
		// head runs what is not in its prefix cache, the new stage all, the tail one position.
		estimate = (held + 1 - promptLen + held + 1 + 1) * stepTime / 16
	)
	now := func(id string, f standin.Faults) func(*bench) {
		return func(b *bench) { b.group.Parts[id].SetFaults(f) }
	}
	dies := func(id string) func(*bench) {
		return func(b *bench) { time.AfterFunc(halfway, func() { now(id, standin.Faults{Crashed: true})(b) }) }
	}
	for _, test := range []struct {
		name string
		// during sets faults when the transfer begins.
		during func(b *bench)
		// attempts, start and imported describe the attempt that ends the session.
		attempts, start, imported int
		// chosen is the stage of the middle layers in the end.
		chosen string
		// wasted is the time that the failed transfer costs.
		wasted time.Duration
	}{
		{"source dies", dies("a1"), 2, 0, 0, "b1", halfway},
		// The rebuild on b1 fails after the head ran it. The source still exports to c1.
		{"target dies", dies("b1"), 3, held, held, "c1", halfway + prefillTime(held+1-promptLen)},
		{"slower than the rebuild", now("a1", standin.Faults{Stall: standin.StallCompute, Slow: 1e5}), 2, 0, 0, "b1", estimate},
		{"source sends another session", now("a1", standin.Faults{Stall: standin.StallCompute, CrossEvery: 1}), 2, 0, 0, "b1", 0},
		{"target answers for another session", now("b1", standin.Faults{CrossEvery: 1}), 2, 0, 0, "b1", held * perPosition},
		{"target loses its answer", now("b1", standin.Faults{LoseAnswers: true}), 2, 0, 0, "b1", held * perPosition},
		{"no fault", func(*bench) {}, 2, held, held, "b1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(perPosition, "a", "b", "c")
				defer b.close()
				b.onPlan = func(need pipeline.Need) {
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
				floor := floorOf(last, upstream.DefaultSilence, perPosition, ids("a1"), last.Accepted)
				took := b.of(pipeline.Recovered)[0].SinceSymptom
				t.Logf("symptom to next token %v, floor %v, failed transfer %v", took, floor, test.wasted)
				is.Equal(took, floor+test.wasted)
			})
		})
	}
}
