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

// TestShutdownHoldsForOneIncarnation guards against requests to an upstream that has announced
// its shutdown, whatever notices follow, and against a restarted upstream that is excluded
// because it has the same ID.
func TestShutdownHoldsForOneIncarnation(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	old, next := notice.Instance{ID: "a", Born: 1}, notice.Instance{ID: "a", Born: 2}
	is.True(b.Ends(at(0), old, true))
	is.True(!b.Ends(at(1), old, true)) // a repeated notice
	is.True(!b.Ends(at(1), old, false))
	b.Pause(at(1), old, time.Second)
	is.Equal(b.State(at(100), old), notice.Ending)
	is.Equal(b.State(at(100), next), notice.Open)
	b.Prune(at(1000), func(notice.Instance) bool { return true })
	is.Equal(b.State(at(1000), old), notice.Ending) // still listed
	b.Prune(at(1000), func(notice.Instance) bool { return false })
	is.Equal(len(b.AllEnds()), 0)
}

// TestPauseBindsUntilItEnds guards against a shorter pause that ends a longer one, and against
// another VM's pause that excludes the upstream for this VM.
func TestPauseBindsUntilItEnds(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	a := notice.Instance{ID: "a", Born: 1}
	is.True(b.Pause(at(0), a, 3*time.Second))
	is.True(!b.Pause(at(1), a, time.Second))
	is.Equal(b.State(at(2.9), a), notice.Paused)
	is.Equal(b.PausedUntil(a), at(3))
	is.Equal(b.State(at(3), a), notice.Open)
	is.True(b.Pause(at(3), a, time.Second)) // a new pause
	other := notice.Instance{ID: "b", Born: 1}
	b.Hint(at(0), other, 3*time.Second)
	is.Equal(b.State(at(1), other), notice.Open)
	is.Equal(b.HintedUntil(other), at(3))
}

// TestReportHoldsOwnNoticesOnly guards against reports that circulate forever: what another VM
// reported is not passed on, except to a VM that starts.
func TestReportHoldsOwnNoticesOnly(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	b.Ends(at(0), notice.Instance{ID: "heard", Born: 1}, false)
	b.Ends(at(0), notice.Instance{ID: "own", Born: 1}, true)
	b.Pause(at(0), notice.Instance{ID: "own", Born: 1}, 2*time.Second)
	shutdowns, pauses := b.News(at(1))
	is.Equal(shutdowns, []notice.Instance{{ID: "own", Born: 1}})
	is.Equal(pauses, []notice.Pausing{{Instance: notice.Instance{ID: "own", Born: 1}, Left: time.Second}})
	shutdowns, pauses = b.News(at(60))
	is.Equal(len(shutdowns)+len(pauses), 0)
	is.Equal(len(b.AllEnds()), 2) // for a VM that starts
}

// TestRandomNotices compares random notices with a model that keeps every notice: an upstream
// that has announced its shutdown must stay excluded, and others must be paused exactly while
// a pause of their incarnation lasts.
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
