// Package stats holds the router's counters, gauges and latency histograms. Every
// refusal is counted by its code and every retry by its reason.
package stats

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
)

// Stats is the set of metrics of one VM. It is safe for concurrent use.
type Stats struct {
	registry metrics.Registry
}

// New returns a Stats without metrics. Each metric is created on its first use.
func New() *Stats { return &Stats{registry: metrics.NewRegistry()} }

// Refused counts a refusal by code and rank, and by team and code.
func (s *Stats) Refused(team fleet.TeamID, rank fleet.Rank, code result.Code) {
	s.count("refused", "code", code.Name(), "rank", rank.String())
	s.count("refused_team", "team", string(team), "code", code.Name())
}

// Retried counts a retry by reason.
func (s *Stats) Retried(reason string) { s.count("retried", "reason", reason) }

// Done counts a request that was answered completely and records its duration.
func (s *Stats) Done(team fleet.TeamID, rank fleet.Rank, d time.Duration) {
	s.count("done", "team", string(team), "rank", rank.String())
	s.observe("request_ms", d, "rank", rank.String())
	s.observe("request_team_ms", d, "team", string(team))
}

// FirstToken records the time from arrival to the first token.
func (s *Stats) FirstToken(team fleet.TeamID, rank fleet.Rank, d time.Duration) {
	s.observe("first_token_ms", d, "rank", rank.String())
	s.observe("first_token_team_ms", d, "team", string(team))
}

// Answered counts an answered request by kind, rank and HTTP status, and records its
// duration by kind and outcome.
func (s *Stats) Answered(kind, outcome string, rank, status int, d time.Duration) {
	s.count("answered", "kind", kind, "rank", fmt.Sprint(rank), "status", fmt.Sprint(status))
	s.observe("answer_ms", d, "kind", kind, "outcome", outcome)
}

// Waited records how long a generation waited for its chain.
func (s *Stats) Waited(outcome string, d time.Duration) {
	s.observe("waited_ms", d, "outcome", outcome)
}

// LongestGap records the longest time between two events of a stream.
func (s *Stats) LongestGap(rank int, d time.Duration) {
	s.observe("longest_gap_ms", d, "rank", fmt.Sprint(rank))
}

// FirstEvent records the time from arrival to the first event of a stream.
func (s *Stats) FirstEvent(rank int, d time.Duration) {
	s.observe("first_event_ms", d, "rank", fmt.Sprint(rank))
}

// BetweenTokens records the time between two tokens of a stream.
func (s *Stats) BetweenTokens(rank fleet.Rank, d time.Duration) {
	s.observe("between_tokens_ms", d, "rank", rank.String())
}

// Queued records how long a request waited in the queue before it started.
func (s *Stats) Queued(rank fleet.Rank, d time.Duration) {
	s.observe("queued_ms", d, "rank", rank.String())
}

// Recovered records the time from the first symptom of a failure to the next token.
func (s *Stats) Recovered(d time.Duration) { s.observe("recovery_ms", d, "part", "generation") }

// Count increments a counter. labels are pairs of label name and value.
func (s *Stats) Count(name string, labels ...string) { s.count(name, labels...) }

// SetGauge sets a gauge. labels are pairs of label name and value.
func (s *Stats) SetGauge(name string, value int64, labels ...string) {
	metrics.GetOrRegisterGauge(key(name, labels), s.registry).Update(value)
}

func (s *Stats) count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(key(name, labels), s.registry).Inc(1)
}

// observe records a duration in a histogram. The histograms of single teams have a
// lower precision.
func (s *Stats) observe(name string, d time.Duration, labels ...string) {
	metric := s.registry.GetOrRegister(key(name, labels), func() *histogram { return newHistogram(slices.Contains(labels, "team")) })
	if h, ok := metric.(*histogram); ok {
		h.record(time.Now(), d)
	}
}

// key returns the registry key of a metric, cornelline_name{label="value",...}, which
// is also the form in which WriteText prints the metric.
func key(name string, labels []string) string {
	if len(labels) == 0 {
		return "cornelline_" + name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return "cornelline_" + name + "{" + strings.Join(pairs, ",") + "}"
}

// WriteText writes all metrics in the Prometheus text format. A non-empty team
// limits the output to the metrics with this team as label.
func (s *Stats) WriteText(w io.Writer, team fleet.TeamID) error {
	lines := []string{}
	s.registry.Each(func(name string, metric any) {
		if team == "" || strings.Contains(name, fmt.Sprintf("team=%q", string(team))) {
			lines = append(lines, format(name, metric)...)
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func format(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d\n", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d\n", name, m.Value())}
	case *histogram:
		return m.format(name, time.Now())
	}
	return nil
}
