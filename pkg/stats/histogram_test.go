package stats_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/stats"
)

func text(t *testing.T, s *stats.Stats) string {
	t.Helper()
	var b strings.Builder
	if err := s.WriteText(&b, ""); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestRareSlowAnswersReachTopQuantile guards against quantiles taken from a sample. When
// about 1% of the answers are slow, the 0.99 quantile of a sample of a thousand may miss
// them, however many answers there are.
func TestRareSlowAnswersReachTopQuantile(t *testing.T) {
	is := is.New(t)
	s := stats.New()
	for i := range 100000 {
		d := 10 * time.Millisecond
		if i%90 == 0 {
			d = 5 * time.Second
		}
		s.Answered("idempotent", "whole", 1, 200, d)
	}
	out := text(t, s)
	is.True(strings.Contains(out, `cornelline_answer_ms{kind="idempotent",outcome="whole",quantile="0.5"} 10`))
	var slow int
	for line := range strings.Lines(out) {
		_, _ = fmt.Sscanf(line, `cornelline_answer_ms{kind="idempotent",outcome="whole",quantile="0.99"} %d`, &slow)
	}
	is.True(slow >= 4950 && slow <= 5050) // two significant digits
	is.True(strings.Contains(out, `cornelline_answer_ms_count{kind="idempotent",outcome="whole"} 100000`))
	is.True(strings.Contains(out, `cornelline_answered{kind="idempotent",rank="1",status="200"} 100000`))
}

// TestQuantilesCoverRecentWindows guards against quantiles that cover more than the current
// and the previous window, counts that cover less than all durations, and durations
// beyond the range that are lost instead of counted as the longest.
func TestQuantilesCoverRecentWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := stats.New()
		s.FirstEvent(0, time.Hour)
		is.True(strings.Contains(text(t, s), `cornelline_first_event_ms{rank="0",quantile="0.5"} 12`)) // 120 s with a tolerance of 1%
		time.Sleep(3 * time.Minute)
		s.FirstEvent(0, 20*time.Millisecond)
		is.True(strings.Contains(text(t, s), `cornelline_first_event_ms{rank="0",quantile="0.99"} 12`)) // the previous window still counts
		time.Sleep(2 * time.Minute)
		s.FirstEvent(0, 20*time.Millisecond)
		is.True(strings.Contains(text(t, s), `cornelline_first_event_ms{rank="0",quantile="0.99"} 20`))
		is.True(strings.Contains(text(t, s), `cornelline_first_event_ms_count{rank="0"} 3`))
	})
}
