package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/bench"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/placement"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/settings"
)

func directoryWith(t *testing.T, branches ...[2]string) *directory {
	t.Helper()
	tree := settings.Empty()
	for i, b := range branches {
		next, err := tree.Apply(record.Settings{Branch: b[0], Value: []byte(b[1])}, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		tree = next
	}
	return newDirectory(tree, fleet.VM{ID: "vm-1", Region: "eu", DataCentre: "x"})
}

// TestDefaultsAreMeasured guards against default settings that differ from the
// configuration that the policy bench measures.
func TestDefaultsAreMeasured(t *testing.T) {
	is := is.New(t)
	d := directoryWith(t)
	measured := bench.DefaultConfigs()

	admission := admissionConfig(d)
	is.Equal(len(admission.Weights), 0)
	admission.Weights = measured.Admission.Weights
	is.Equal(admission, measured.Admission)
	is.Equal(outlierConfig(d.local), measured.Outlier)
	is.Equal(d.local.Retry.Ratio, measured.Retry.Ratio)
	is.Equal(float64(d.local.Retry.Minimum), measured.Retry.Burst)

	is.Equal(quarantineConfig(d.local), quarantine.DefaultConfig())
	is.Equal(d.local.Placement.ReadBack, placement.DefaultOwnerConfig("vm-1").ReadBack)
}

// TestSettingsReachTheirLimits guards against a setting that changes another limit than
// its own.
func TestSettingsReachTheirLimits(t *testing.T) {
	is := is.New(t)
	d := directoryWith(t,
		[2]string{"fleet", `{"admission":{"depth":0.5,"headroom":0.3,"team_burst":"7s","safety":3},"limits":{"queue":5},
			"outlier":{"consecutive_failures":4,"slow_factor":5,"min_requests":6,"max_ejected":0.4,"ejection":"8s","ejection_max":"9m","return_over":"11s"},
			"placement":{"read_back":"3s"},"upstreams":{"connect_timeout":"4s"},
			"quarantine":{"suspicion":"12m","duration":"13m","entries":14000}}`},
		[2]string{"rank/lookup", `{"admission":{"max_wait":"15ms"},"guaranteed_share":0.16,"limits":{"queue":17}}`},
	)
	want := bench.DefaultConfigs()
	a := want.Admission
	a.Depth, a.Headroom, a.TeamBurst, a.SafetyFactor = 0.5, 0.3, 7*time.Second, 3
	a.MaxQueued = [fleet.RankCount]int{5, 17, 5}
	a.MaxWait[fleet.Lookup] = 15 * time.Millisecond
	a.Shares[fleet.Lookup] = 0.16
	got := admissionConfig(d)
	got.Weights = a.Weights
	is.Equal(got, a)

	o := want.Outlier
	o.ConsecutiveFailures, o.LatencyFactor, o.MinSamples, o.MaxEjected = 4, 5, 6, 0.4
	o.BaseEjection, o.MaxEjection, o.Ramp = 8*time.Second, 9*time.Minute, 11*time.Second
	is.Equal(outlierConfig(d.local), o)

	q := quarantine.DefaultConfig()
	q.SuspicionPeriod, q.QuarantineDuration, q.MaxSuspects = 12*time.Minute, 13*time.Minute, 14000
	is.Equal(quarantineConfig(d.local), q)

	s := &Server{}
	s.currentDirectory.Store(d)
	is.Equal(s.connectTimeout(), 4*time.Second)
	is.Equal(d.local.Placement.ReadBack, 3*time.Second)
}

// TestOvernightDeadline guards against a default_deadline of rank Overnight that is
// accepted but ignored, or that exceeds dawn.
func TestOvernightDeadline(t *testing.T) {
	is := is.New(t)
	evening := time.Date(2030, 1, 1, 21, 0, 0, 0, time.UTC)
	dawn := evening.Add(9 * time.Hour)
	is.Equal(directoryWith(t).defaultDeadline("t", fleet.Overnight, evening), dawn)
	longer := directoryWith(t, [2]string{"rank/overnight", `{"default_deadline":"10h"}`})
	is.Equal(longer.defaultDeadline("t", fleet.Overnight, evening), dawn)
	shorter := directoryWith(t, [2]string{"rank/overnight", `{"default_deadline":"1h"}`})
	is.Equal(shorter.defaultDeadline("t", fleet.Overnight, evening), evening.Add(time.Hour))
}

// TestClaimOutlivesRoute guards against a claim that is abandoned while its call may
// still run: a repeat by the caller would get 4003 before the answer is known.
func TestClaimOutlivesRoute(t *testing.T) {
	is := is.New(t)
	const logCalls = 15 * time.Second
	for _, def := range settings.Definitions {
		if def.Name == "timeout" {
			is.True(time.Duration(def.Max)+logCalls <= pendingClaimTimeout)
			return
		}
	}
	t.Fatal("no setting timeout")
}
