package stats

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxDuration is the upper end of a histogram's range. It exceeds every deadline;
	// longer durations count as maxDuration.
	maxDuration = 2 * time.Minute
	// significantDigits is the precision of a histogram. A histogram with 2 digits
	// takes 12 KB.
	significantDigits = 2
	// teamSignificantDigits is the precision of a histogram that exists once for each
	// team. There may be thousands of teams, and a histogram with 1 digit takes 2 KB.
	teamSignificantDigits = 1
	// window is the time for which one histogram collects durations. The current and
	// the previous window are printed together.
	window = 2 * time.Minute
)

// quantiles are the quantiles printed for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// histogram holds the durations of the current and the previous window, which cover
// the last two to four minutes, in milliseconds. Its count covers all durations since
// the histogram was created. It is safe for concurrent use.
type histogram struct {
	// The registry accepts only its own metric types. Embedding one of them makes
	// histogram acceptable; its methods are not used.
	metrics.NilHistogram
	mu                sync.Mutex
	count             uint64
	windowStart       time.Time
	current, previous *hdrhistogram.Histogram
}

func newHistogram(forTeam bool) *histogram {
	precision := significantDigits
	if forTeam {
		precision = teamSignificantDigits
	}
	newEmpty := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxDuration.Milliseconds(), precision) }
	return &histogram{current: newEmpty(), previous: newEmpty()}
}

func (h *histogram) record(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	h.count++
	// The value is within the histogram's range, so recording cannot fail.
	_ = h.current.RecordValue(min(max(d, 0), maxDuration).Milliseconds())
}

// rotate starts a new window when the current one is over.
func (h *histogram) rotate(now time.Time) {
	if h.windowStart.IsZero() {
		h.windowStart = now
	}
	age := now.Sub(h.windowStart)
	if age < window {
		return
	}
	h.current, h.previous = h.previous, h.current
	h.current.Reset()
	if age >= 2*window {
		h.previous.Reset()
	}
	h.windowStart = now
}

// format returns the histogram as lines of the Prometheus text format.
func (h *histogram) format(name string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	recent := hdrhistogram.Import(h.current.Export())
	recent.Merge(h.previous)
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	lines := []string{fmt.Sprintf("%s_count{%s} %d\n", base, labels, h.count)}
	for _, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{%s,quantile=\"%g\"} %d\n", base, labels, q, recent.ValueAtQuantile(100*q)))
	}
	return lines
}
