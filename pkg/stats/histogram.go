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
	// longest is the longest duration that is told apart: more than any deadline.
	longest = 2 * time.Minute
	// digits is the precision of a histogram in significant digits, teamDigits that of
	// one for each team, of which there may be thousands: 1 takes 2 KB, 2 take 12 KB.
	digits     = 2
	teamDigits = 1
	// period is how long durations are gathered; the last full period and the present
	// one are printed together.
	period = 2 * time.Minute
)

// quantiles are those printed for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// histogram holds the durations of the last two to four minutes in milliseconds, and
// counts all since its start. It is safe for concurrent use.
type histogram struct {
	// The registry keeps only metrics of its own kinds; none of these methods is used.
	metrics.NilHistogram
	mu            sync.Mutex
	count         uint64
	began         time.Time
	present, last *hdrhistogram.Histogram
}

func newHistogram(forTeam bool) *histogram {
	precision := digits
	if forTeam {
		precision = teamDigits
	}
	fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest.Milliseconds(), precision) }
	return &histogram{present: fresh(), last: fresh()}
}

func (h *histogram) record(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn(now)
	h.count++
	// The value is within the histogram's range, so that recording can't fail.
	_ = h.present.RecordValue(min(max(d, 0), longest).Milliseconds())
}

// turn begins a new period when the present one is over.
func (h *histogram) turn(now time.Time) {
	if h.began.IsZero() {
		h.began = now
	}
	age := now.Sub(h.began)
	if age < period {
		return
	}
	h.present, h.last = h.last, h.present
	h.present.Reset()
	if age >= 2*period {
		h.last.Reset()
	}
	h.began = now
}

// format returns the lines of the histogram in the Prometheus text format.
func (h *histogram) format(name string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn(now)
	recent := hdrhistogram.Import(h.present.Export())
	recent.Merge(h.last)
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	lines := []string{fmt.Sprintf("%s_count{%s} %d\n", base, labels, h.count)}
	for _, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{%s,quantile=\"%g\"} %d\n", base, labels, q, recent.ValueAtQuantile(100*q)))
	}
	return lines
}
