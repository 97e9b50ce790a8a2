package outlier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
)

// runOutage ticks a detector while connections to the upstream e1 are refused and its probes
// fail, until e1 is in service again or an hour has passed, and returns that time.
func runOutage(d *outlier.Detector, from time.Time, outage time.Duration, up func(time.Time) bool) time.Time {
	for now := from; ; now = now.Add(100 * time.Millisecond) {
		if now.Sub(from) < outage {
			d.RecordRefused(now, "e1", nil)
		}
		for _, a := range d.Tick(now, nil) {
			if a.Kind == outlier.Probe {
				d.RecordProbe(now, a.Upstream, up(now), nil)
			}
		}
		if !d.IsEjected("e1") || now.Sub(from) > time.Hour {
			return now
		}
	}
}

// TestReturnSoonAfterLongOutage guards against failed probes that lengthen an ejection: an
// upstream that was down for ten minutes must be back in service one base ejection after
// it answers again.
func TestReturnSoonAfterLongOutage(t *testing.T) {
	is := is.New(t)
	cfg := outlier.DefaultConfig()
	d := outlier.New(cfg)
	var members []outlier.Member
	for _, id := range []fleet.UpstreamID{"e1", "e2", "e3"} {
		members = append(members, outlier.Member{ID: id, Route: "stock"})
	}
	d.SetMembers(members)
	start := time.Unix(1000, 0)
	const down = 10 * time.Minute
	d.RecordRefused(start, "e1", nil)
	is.True(d.IsEjected("e1"))
	back := runOutage(d, start, down, func(now time.Time) bool { return now.Sub(start) >= down })
	is.True(back.Sub(start) <= down+cfg.BaseEjection+200*time.Millisecond)
}
