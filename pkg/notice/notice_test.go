package notice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/notice"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestEndHoldsForOneIncarnation: an upstream that said that it ends takes nothing any more,
// whatever else is heard; one that starts again under its id does.
func TestEndHoldsForOneIncarnation(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	old, next := notice.Instance{ID: "a", Born: 1}, notice.Instance{ID: "a", Born: 2}
	is.True(b.Ends(at(0), old, true))
	is.True(!b.Ends(at(1), old, true)) // said again
	is.True(!b.Ends(at(1), old, false))
	b.Pause(at(1), old, time.Second)
	is.Equal(b.State(at(100), old), notice.Ending)
	is.Equal(b.State(at(100), next), notice.Open)
	b.Prune(at(1000), func(notice.Instance) bool { return true })
	is.Equal(b.State(at(1000), old), notice.Ending) // still listed
	b.Prune(at(1000), func(notice.Instance) bool { return false })
	is.Equal(len(b.AllEnds()), 0)
}

// TestPauseBindsUntilItEnds: a shorter pause does not end a longer one, and another VM's
// pause is no ban here.
func TestPauseBindsUntilItEnds(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	a := notice.Instance{ID: "a", Born: 1}
	is.True(b.Pause(at(0), a, 3*time.Second))
	is.True(!b.Pause(at(1), a, time.Second))
	is.Equal(b.State(at(2.9), a), notice.Paused)
	is.Equal(b.PausedUntil(a), at(3))
	is.Equal(b.State(at(3), a), notice.Open)
	is.True(b.Pause(at(3), a, time.Second)) // a new one
	other := notice.Instance{ID: "b", Born: 1}
	b.Hint(at(0), other, 3*time.Second)
	is.Equal(b.State(at(1), other), notice.Open)
	is.Equal(b.HintedUntil(other), at(3))
}

// TestNewsIsOwn: what was heard from another VM is not told on, so that news does not go
// round for ever.
func TestNewsIsOwn(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	b.Ends(at(0), notice.Instance{ID: "heard", Born: 1}, false)
	b.Ends(at(0), notice.Instance{ID: "own", Born: 1}, true)
	b.Pause(at(0), notice.Instance{ID: "own", Born: 1}, 2*time.Second)
	ends, pauses := b.News(at(1))
	is.Equal(ends, []notice.Instance{{ID: "own", Born: 1}})
	is.Equal(pauses, []notice.Pausing{{Instance: notice.Instance{ID: "own", Born: 1}, Left: time.Second}})
	ends, pauses = b.News(at(60))
	is.Equal(len(ends)+len(pauses), 0)
	is.Equal(len(b.AllEnds()), 2) // for a VM that starts
}

// TestRandomNotices: against a model that remembers every notice, an upstream that ended is
// never open, and one is paused exactly while a pause of its incarnation runs.
func TestRandomNotices(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := notice.New()
		now := start
		ended, until := map[notice.Instance]bool{}, map[notice.Instance]time.Time{}
		for range 300 {
			now = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
			i := notice.Instance{ID: "a", Born: int64(random.IntN(4))}
			switch random.IntN(20) {
			case 0:
				b.Ends(now, i, random.IntN(2) == 0)
				ended[i] = true
			case 1, 2, 3:
				length := time.Duration(random.IntN(3000)) * time.Millisecond
				b.Pause(now, i, length)
				if end := now.Add(length); end.After(until[i]) {
					until[i] = end
				}
			case 4:
				b.Prune(now, func(notice.Instance) bool { return true })
			}
			for born := range int64(4) {
				i := notice.Instance{ID: "a", Born: born}
				want := notice.Open
				switch {
				case ended[i]:
					want = notice.Ending
				case now.Before(until[i]):
					want = notice.Paused
				}
				if got := b.State(now, i); got != want {
					t.Fatalf("seed %d: state %d, want %d", seed, got, want)
				}
			}
		}
	}
}
