package outlier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
)

var epoch = time.Unix(1e9, 0)

// halves returns n engines for each half of a model of 40 layers: a0, a1, ... for the
// first half and b0, b1, ... for the second.
func halves(n int) []outlier.Member {
	var members []outlier.Member
	for i := range n {
		for h, name := range []string{"a", "b"} {
			members = append(members, outlier.Member{ID: fleet.UpstreamID(fmt.Sprint(name, i)), Model: "m",
				Layers: fleet.LayerRange{First: 20 * h, End: 20*h + 20}, ModelLayers: 40})
		}
	}
	return members
}

// newDetector returns a detector of halves(n) with the default configuration.
func newDetector(n int) *outlier.Detector {
	d := outlier.New(outlier.DefaultConfig())
	d.SetMembers(halves(n))
	return d
}

// TestRefusedEjectsAtOnce guards against sending new work to an upstream that
// refuses connections.
func TestRefusedEjectsAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDetector(3)
	out := d.RecordRefused(epoch, "a0", nil)
	is.Equal(out, []outlier.Action{{Kind: outlier.Eject, Upstream: "a0", Reason: outlier.ReasonRefused}})
	is.True(d.IsEjected("a0"))
	is.Equal(d.Weight("a0"), 0.0)
}

// TestFailureIsProbed guards against a lost upstream that stays in service because
// traffic is too low for three consecutive failures.
func TestFailureIsProbed(t *testing.T) {
	is := is.New(t)
	d := newDetector(3)
	is.Equal(d.RecordFailure(epoch, "a0", nil)[0].Kind, outlier.Probe)
	is.Equal(len(d.Tick(epoch.Add(200*time.Millisecond), nil)), 0)
	is.Equal(d.Tick(epoch.Add(600*time.Millisecond), nil)[0].Kind, outlier.Eject)
}

// TestConsecutiveFailures guards against keeping an upstream that answers probes but
// fails every request.
func TestConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	d := newDetector(3)
	d.RecordFailure(epoch, "a0", nil)
	d.RecordProbe(epoch, "a0", true, nil)
	d.RecordFailure(epoch, "a0", nil)
	d.RecordProbe(epoch, "a0", true, nil)
	is.True(!d.IsEjected("a0"))
	d.RecordFailure(epoch, "a0", nil)
	is.True(d.IsEjected("a0"))
}

// TestSilentIsProbedFirst guards against ejecting an upstream for a connection that
// went silent while the upstream itself still answers.
func TestSilentIsProbedFirst(t *testing.T) {
	is := is.New(t)
	d := newDetector(3)
	is.Equal(d.RecordSilent(epoch, "a0", nil), []outlier.Action{{Kind: outlier.Probe, Upstream: "a0", Reason: outlier.ReasonSilent}})
	is.True(!d.IsEjected("a0"))
	is.Equal(len(d.RecordProbe(epoch, "a0", true, nil)), 0)
	d.RecordSilent(epoch, "a1", nil)
	d.RecordProbe(epoch, "a1", false, nil)
	is.True(!d.IsEjected("a0"))
	is.True(d.IsEjected("a1"))
}

// TestLatencyOutlier guards against keeping an upstream several times slower than its
// peers, and against ejecting the upstreams of a group that is slow as a whole.
func TestLatencyOutlier(t *testing.T) {
	is := is.New(t)
	d := newDetector(5)
	for range 50 {
		for i := range 5 {
			latency := 10 * time.Millisecond
			if i == 3 {
				latency = 50 * time.Millisecond
			}
			d.RecordSuccess(epoch, fleet.UpstreamID(fmt.Sprint("a", i)), latency, nil)
			d.RecordSuccess(epoch, fleet.UpstreamID(fmt.Sprint("b", i)), 50*time.Millisecond, nil)
		}
	}
	is.Equal(d.Tick(epoch, nil), []outlier.Action{{Kind: outlier.Eject, Upstream: "a3", Reason: outlier.ReasonLatency}})
}

// TestGradualReturn guards against an upstream that returns without a probe or at full
// weight at once, and against ejections that don't grow while an upstream flaps.
func TestGradualReturn(t *testing.T) {
	is := is.New(t)
	d := newDetector(3)
	now := epoch
	var lastEjection time.Duration
	for round := range 4 {
		d.RecordRefused(now, "a0", nil)
		ejectedAt := now
		for {
			now = now.Add(200 * time.Millisecond)
			if out := d.Tick(now, nil); len(out) > 0 {
				is.Equal(out[0].Kind, outlier.Probe)
				break
			}
		}
		is.True(round == 0 || now.Sub(ejectedAt) > 3*lastEjection/2) // each ejection is longer
		lastEjection = now.Sub(ejectedAt)
		out := d.RecordProbe(now, "a0", true, nil)
		is.Equal(out[0].Kind, outlier.SetWeight)
		is.True(d.Weight("a0") <= 0.1)
	}
	weight := d.Weight("a0")
	for range 12 {
		now = now.Add(time.Second)
		d.Tick(now, nil)
		is.True(d.Weight("a0") >= weight)
		weight = d.Weight("a0")
	}
	is.Equal(weight, 1.0)
}

// TestCap guards against ejecting too many engines at once: for any sequence of failures,
// slow answers and unanswered probes a chain over all layers stays in service, and
// failures and slow answers alone eject at most half of the engines of a layer range.
func TestCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "engines of each half")
		dropProbes := rapid.Bool().Draw(t, "with unanswered probes")
		d := newDetector(n)
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := fleet.UpstreamID(fmt.Sprint(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "half"), rapid.IntRange(0, n-1).Draw(t, "engine")))
			var out []outlier.Action
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				out = d.RecordFailure(now, id, nil)
			case 1:
				out = d.RecordSuccess(now, id, time.Duration(rapid.IntRange(1, 500).Draw(t, "latency"))*time.Millisecond, nil)
			case 2:
				out = d.RecordSilent(now, id, nil)
			case 3:
				out = d.Tick(now, nil)
			}
			for i := 0; i < len(out); i++ {
				if out[i].Kind == outlier.Probe && !dropProbes {
					out = d.RecordProbe(now, out[i].Upstream, true, out)
				}
			}
			for _, half := range []string{"a", "b"} {
				ejected := 0
				for i := range n {
					if d.IsEjected(fleet.UpstreamID(fmt.Sprint(half, i))) {
						ejected++
					}
				}
				if ejected == n || !dropProbes && 2*ejected > n {
					t.Fatalf("%d of %d of half %s ejected", ejected, n, half)
				}
			}
		}
	})
}

// TestLastChainNeedsTwoRefusals guards against ejecting an engine of the only chain after
// one refused connection, and against keeping it when the probe is refused as well.
func TestLastChainNeedsTwoRefusals(t *testing.T) {
	is := is.New(t)
	d := newDetector(1)
	is.Equal(d.RecordRefused(epoch, "a0", nil)[0].Kind, outlier.Probe)
	is.True(!d.IsEjected("a0"))
	d.RecordProbe(epoch, "a0", false, nil)
	is.True(d.IsEjected("a0"))
}

// TestLatencyOfAnotherPeerGroup guards against comparing an engine that was assigned other
// layers by the latency of its former ones, and against discarding the latency of an
// engine whose layers stay the same.
func TestLatencyOfAnotherPeerGroup(t *testing.T) {
	is := is.New(t)
	measured := func() *outlier.Detector {
		d := newDetector(5)
		for range 50 {
			for i := range 5 {
				latency := 10 * time.Millisecond
				if i == 3 {
					latency = 50 * time.Millisecond
				}
				d.RecordSuccess(epoch, fleet.UpstreamID(fmt.Sprint("a", i)), latency, nil)
			}
		}
		return d
	}
	same := measured()
	same.SetMembers(halves(5))
	is.Equal(same.Tick(epoch, nil), []outlier.Action{{Kind: outlier.Eject, Upstream: "a3", Reason: outlier.ReasonLatency}})

	reassigned := measured()
	members := halves(5)
	for i := range members {
		if members[i].ID == "a3" {
			members[i].Layers = fleet.LayerRange{First: 20, End: 40}
		}
	}
	reassigned.SetMembers(members)
	is.Equal(len(reassigned.Tick(epoch, nil)), 0)
}

// TestLastServerOfARoute guards against ejecting the last server of a route without a
// probe. Servers of other routes, ejected servers and engines don't replace it.
func TestLastServerOfARoute(t *testing.T) {
	is := is.New(t)
	d := outlier.New(outlier.DefaultConfig())
	d.SetMembers([]outlier.Member{
		{ID: "s0", Route: "stock"}, {ID: "s1", Route: "stock"}, {ID: "b0", Route: "booking"}, {ID: "b1", Route: "booking"},
		{ID: "e0", Route: "stock", Model: "m", Layers: fleet.LayerRange{First: 0, End: 4}, ModelLayers: 4},
		{ID: "e1", Model: "m", Layers: fleet.LayerRange{First: 0, End: 4}, ModelLayers: 4},
	})
	is.Equal(d.RecordRefused(epoch, "s0", nil)[0].Kind, outlier.Eject)
	is.Equal(d.RecordRefused(epoch, "s1", nil)[0].Kind, outlier.Probe)
	is.Equal(d.RecordRefused(epoch, "b0", nil)[0].Kind, outlier.Eject)
}
