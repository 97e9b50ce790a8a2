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
	old, next := notice.Instance{ID: "a", StartMillis: 1}, notice.Instance{ID: "a", StartMillis: 2}
	is.True(b.RecordShutdown(at(0), old, true))
	is.True(!b.RecordShutdown(at(1), old, true)) // a repeated notice
	is.True(!b.RecordShutdown(at(1), old, false))
	b.RecordPause(at(1), old, time.Second)
	is.Equal(b.State(at(100), old), notice.ShuttingDown)
	is.Equal(b.State(at(100), next), notice.Open)
	b.Prune(at(1000), func(notice.Instance) bool { return true })
	is.Equal(b.State(at(1000), old), notice.ShuttingDown) // still listed
	b.Prune(at(1000), func(notice.Instance) bool { return false })
	is.Equal(len(b.AllShutdowns()), 0)
}

// TestPauseBindsUntilItEnds guards against a shorter pause that ends a longer one, and against
// another VM's pause that excludes the upstream for this VM.
func TestPauseBindsUntilItEnds(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	a := notice.Instance{ID: "a", StartMillis: 1}
	is.True(b.RecordPause(at(0), a, 3*time.Second))
	is.True(!b.RecordPause(at(1), a, time.Second))
	is.Equal(b.State(at(2.9), a), notice.Paused)
	is.Equal(b.PausedUntil(a), at(3))
	is.Equal(b.State(at(3), a), notice.Open)
	is.True(b.RecordPause(at(3), a, time.Second)) // a new pause
	other := notice.Instance{ID: "b", StartMillis: 1}
	b.RecordHint(at(0), other, 3*time.Second)
	is.Equal(b.State(at(1), other), notice.Open)
	is.Equal(b.HintedUntil(other), at(3))
}

// TestReportHoldsOwnNoticesOnly guards against reports that circulate forever: what another VM
// reported is not passed on, except to a VM that starts.
func TestReportHoldsOwnNoticesOnly(t *testing.T) {
	is := is.New(t)
	b := notice.New()
	b.RecordShutdown(at(0), notice.Instance{ID: "heard", StartMillis: 1}, false)
	b.RecordShutdown(at(0), notice.Instance{ID: "own", StartMillis: 1}, true)
	b.RecordPause(at(0), notice.Instance{ID: "own", StartMillis: 1}, 2*time.Second)
	shutdowns, pauses := b.Report(at(1))
	is.Equal(shutdowns, []notice.Instance{{ID: "own", StartMillis: 1}})
	is.Equal(pauses, []notice.PauseNotice{{Instance: notice.Instance{ID: "own", StartMillis: 1}, Remaining: time.Second}})
	shutdowns, pauses = b.Report(at(60))
	is.Equal(len(shutdowns)+len(pauses), 0)
	is.Equal(len(b.AllShutdowns()), 2) // for a VM that starts
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
			i := notice.Instance{ID: "a", StartMillis: int64(random.IntN(4))}
			switch random.IntN(20) {
			case 0:
				b.RecordShutdown(now, i, random.IntN(2) == 0)
				ended[i] = true
			case 1, 2, 3:
				length := time.Duration(random.IntN(3000)) * time.Millisecond
				b.RecordPause(now, i, length)
				if end := now.Add(length); end.After(until[i]) {
					until[i] = end
				}
			case 4:
				b.Prune(now, func(notice.Instance) bool { return true })
			}
			for born := range int64(4) {
				i := notice.Instance{ID: "a", StartMillis: born}
				want := notice.Open
				switch {
				case ended[i]:
					want = notice.ShuttingDown
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
