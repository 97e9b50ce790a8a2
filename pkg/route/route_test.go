package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/route"
)

// threeDCs returns an input of n engines, each of which holds a quarter of a
// 40-layer model, in three data centres.
func threeDCs(n int) route.Input {
	in := route.Input{Self: "dc0", Models: []route.Model{{ID: "m", Version: "v1", Layers: 40, Block: 16}}}
	for i := range n {
		q := i % 4
		in.Engines = append(in.Engines, route.Engine{
			ID: fleet.UpstreamID(fmt.Sprintf("e%03d", i)), DataCentre: fleet.DataCentreID(fmt.Sprintf("dc%d", i/4%3)),
			Model: "m", Version: "v1", Layers: fleet.LayerRange{First: q * 10, End: q*10 + 10}, Slots: 16,
			StageTime: 10 * time.Millisecond, PrefillPerToken: 100 * time.Microsecond,
			Load: new(route.Load), Prefixes: new(route.PrefixTable),
		})
	}
	for a := range 3 {
		for b := range 3 {
			d := 50 * time.Microsecond
			if a != b {
				d = 550 * time.Microsecond
			}
			in.Links = append(in.Links, route.Link{From: fleet.DataCentreID(fmt.Sprintf("dc%d", a)), To: fleet.DataCentreID(fmt.Sprintf("dc%d", b)), Latency: d})
		}
	}
	return in
}

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// TestChainCoversLayers guards against a chain with a gap, an overlap or an
// excluded engine.
func TestChainCoversLayers(t *testing.T) {
	is := is.New(t)
	in := threeDCs(24)
	in.Engines = append(in.Engines, route.Engine{ID: "wide", DataCentre: "dc1", Model: "m", Version: "v1", Layers: fleet.LayerRange{First: 0, End: 20}, Slots: 16, StageTime: 20 * time.Millisecond})
	s := route.Build(in)
	r := rng(1)
	for range 200 {
		req := &route.Request{Model: "m", PromptTokens: 100, OutputTokens: 50, Exclude: []fleet.UpstreamID{"e000"}}
		chain, err := route.PickChain(s, req, r)
		is.NoErr(err)
		at := 0
		for _, st := range chain {
			is.Equal(st.Layers.First, at)
			is.True(st.Upstream != "e000")
			at = st.Layers.End
		}
		is.Equal(at, 40)
	}
}

// TestStaleReportsDoNotHerd guards against all VMs sending to the engine that is
// idle according to a stale report. No engine may exceed its batch limit while
// other engines have free slots.
func TestStaleReportsDoNotHerd(t *testing.T) {
	const vms, engines, step = 4, 8, 10 * time.Millisecond
	now := time.Unix(1e9, 0)
	load := make([]int, engines) // actual requests in flight
	var history [][]int
	type request struct {
		ends   time.Time
		engine int
		load   *route.Load
	}
	var running []request
	loads := make([][]*route.Load, vms)
	snapshots := make([]*route.Snapshot, vms)
	for v := range vms {
		in := route.Input{Self: "dc0", Models: []route.Model{{ID: "m", Layers: 10}}}
		for i := range engines {
			l := new(route.Load)
			loads[v] = append(loads[v], l)
			in.Engines = append(in.Engines, route.Engine{ID: fleet.UpstreamID(fmt.Sprint(i)), DataCentre: "dc0", Model: "m",
				Layers: fleet.LayerRange{First: 0, End: 10}, Slots: 20, StageTime: 10 * time.Millisecond, Load: l})
		}
		snapshots[v] = route.Build(in)
	}
	r, worst := rng(3), 0
	for n := range 2000 {
		now = now.Add(step)
		history = append(history, append([]int(nil), load...))
		kept := running[:0]
		for _, q := range running {
			if q.ends.After(now) {
				kept = append(kept, q)
				continue
			}
			load[q.engine]--
			q.load.RecordEnded(now)
		}
		running = kept
		for v := range vms {
			if n%100 == 25*v && n >= 100 { // one report a second, half a second old
				for i := range engines {
					loads[v][i].RecordReport(now.Add(-50*step), history[n-50][i], vms-1)
				}
			}
			if n%2 != 0 {
				continue // each VM sends 50 requests a second that run for half a second
			}
			chain, err := route.PickChain(snapshots[v], &route.Request{Model: "m", OutputTokens: 10}, r)
			if err != nil {
				t.Fatal(err)
			}
			chain[0].Load.RecordSent(now)
			var i int
			fmt.Sscan(string(chain[0].Upstream), &i)
			load[i]++
			if n > 300 {
				worst = max(worst, load[i])
			}
			running = append(running, request{now.Add(50 * step), i, chain[0].Load})
		}
	}
	if worst > 20 {
		t.Fatalf("an engine had %d requests, mean 12.5, batch limit 20", worst)
	}
}

// TestLoadCorrection guards against counting this VM's requests twice or not at
// all when a report arrives.
func TestLoadCorrection(t *testing.T) {
	is := is.New(t)
	l, now := new(route.Load), time.Unix(1e9, 0)
	l.RecordSent(now)
	l.RecordSent(now.Add(2 * time.Second))
	l.RecordReport(now.Add(time.Second), 5, 0) // one of the 5 is this VM's
	is.Equal(l.Queue(), 6.0)
	l.RecordEnded(now.Add(3 * time.Second))
	is.Equal(l.Queue(), 5.0)
	l.RecordSent(now.Add(4 * time.Second))
	l.RecordReport(now.Add(time.Second), 5, 2) // each of the 2 peers is assumed to have sent one more
	is.Equal(l.Queue(), 8.0)
}

// countPicks returns how often each engine is part of the chosen chain.
func countPicks(t *testing.T, s *route.Snapshot, req *route.Request) map[fleet.UpstreamID]int {
	t.Helper()
	r, count := rng(5), map[fleet.UpstreamID]int{}
	for range 400 {
		chain, err := route.PickChain(s, req, r)
		if err != nil {
			t.Fatal(err)
		}
		for _, st := range chain {
			count[st.Upstream]++
		}
	}
	return count
}

// TestAffinity guards against ignoring cached prefixes, loaded adapters and kept
// KV caches, and against a cached prefix that attracts requests to a full engine.
func TestAffinity(t *testing.T) {
	is := is.New(t)
	in := threeDCs(40)
	in.Models[0].Block = 600
	hot := in.Engines[4]
	prefix := []uint64{11, 22, 33}
	hot.Prefixes.Add(33)
	in.Engines[9].Adapters = []string{"wool"}
	s := route.Build(in)
	req := &route.Request{Model: "m", PromptTokens: 2000, OutputTokens: 5, Prefix: prefix}
	is.True(countPicks(t, s, req)[hot.ID] > 390)
	req.Exclude = []fleet.UpstreamID{hot.ID}
	is.Equal(countPicks(t, s, req)[hot.ID], 0)
	is.True(countPicks(t, s, &route.Request{Model: "m", OutputTokens: 5, Adapter: "wool"})[in.Engines[9].ID] > 390)
	kept := countPicks(t, s, &route.Request{Model: "m", PromptTokens: 2000, OutputTokens: 5, Prefer: []fleet.UpstreamID{"e002"}})
	is.True(kept["e002"] > 390)
	for range 16 {
		hot.Load.RecordSent(time.Unix(1e9, 0))
	}
	is.True(countPicks(t, s, &route.Request{Model: "m", PromptTokens: 2000, OutputTokens: 5, Prefix: prefix})[hot.ID] < 40)
	hot.Prefixes.Drop(33)
	is.Equal(hot.Prefixes.Match(prefix), 0)
}

// TestDegradedLinkAvoided guards against chains over a link that has become a
// hundred times slower while another path exists.
func TestDegradedLinkAvoided(t *testing.T) {
	in := threeDCs(40)
	for i, l := range in.Links {
		if l.From != l.To && l.From != "dc2" && l.To != "dc2" {
			in.Links[i].Latency *= 100
		}
	}
	s := route.Build(in)
	at := map[fleet.UpstreamID]fleet.DataCentreID{}
	for _, e := range in.Engines {
		at[e.ID] = e.DataCentre
	}
	r := rng(7)
	for range 400 {
		chain, err := route.PickChain(s, &route.Request{Model: "m", PromptTokens: 100, OutputTokens: 50}, r)
		if err != nil {
			t.Fatal(err)
		}
		from := fleet.DataCentreID("dc0")
		for _, st := range chain {
			if to := at[st.Upstream]; from != to && from != "dc2" && to != "dc2" {
				t.Fatalf("chain crosses %s-%s", from, to)
			}
			from = at[st.Upstream]
		}
	}
}

// TestNoChain guards against a chain although all engines of a layer range are
// unusable.
func TestNoChain(t *testing.T) {
	is := is.New(t)
	for _, spoil := range []func(*route.Engine){
		func(e *route.Engine) { e.Ejected = true }, func(e *route.Engine) { e.Leaving = true },
		func(e *route.Engine) { e.Loading = true }, func(e *route.Engine) { e.Quarantined = true },
		func(e *route.Engine) { e.Version = "other" },
	} {
		in := threeDCs(24)
		for i := range in.Engines {
			if in.Engines[i].Layers.First == 20 {
				spoil(&in.Engines[i])
			}
		}
		_, err := route.PickChain(route.Build(in), &route.Request{Model: "m", OutputTokens: 1}, rng(1))
		is.Equal(err, route.ErrNoChain)
	}
	_, err := route.PickChain(route.Build(threeDCs(4)), &route.Request{Model: "x"}, rng(1))
	is.Equal(err, route.ErrUnknownModel)
}

// TestPickService guards against calls to servers that are leaving, ejected or
// excluded.
func TestPickService(t *testing.T) {
	is := is.New(t)
	in := route.Input{Self: "dc0"}
	for i := range 4 {
		in.Servers = append(in.Servers, route.Server{ID: fleet.UpstreamID(fmt.Sprint("s", i)), Route: "stock", DataCentre: "dc0",
			ServiceTime: time.Millisecond, Slots: 4, Leaving: i == 0, Ejected: i == 1})
	}
	s := route.Build(in)
	target, err := route.PickService(s, "stock", []fleet.UpstreamID{"s2"}, rng(1))
	is.NoErr(err)
	is.Equal(target.Upstream, fleet.UpstreamID("s3"))
	_, err = route.PickService(s, "stock", []fleet.UpstreamID{"s2", "s3"}, rng(1))
	is.Equal(err, route.ErrNoServer)
	_, err = route.PickService(s, "none", nil, rng(1))
	is.Equal(err, route.ErrUnknownRoute)
}

// TestDecisionAllocations guards against more than 2 allocations per decision (1.8).
func TestDecisionAllocations(t *testing.T) {
	s, r := route.Build(threeDCs(40)), rng(1)
	req := &route.Request{Model: "m", PromptTokens: 300, OutputTokens: 60, Prefix: []uint64{1, 2, 3}}
	if n := testing.AllocsPerRun(1000, func() { _, _ = route.PickChain(s, req, r) }); n > 2 {
		t.Fatalf("PickChain made %v allocations, at most 2 are allowed", n)
	}
}

func BenchmarkPickChain(b *testing.B) {
	for _, n := range []int{40, 400, 4000, 40000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, r := route.Build(threeDCs(n)), rng(1)
			req := &route.Request{Model: "m", PromptTokens: 300, OutputTokens: 60, Prefix: []uint64{1, 2, 3}}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = route.PickChain(s, req, r)
			}
		})
	}
}

// TestLeastLoaded guards against a baseline that picks a candidate with more load
// than another.
func TestLeastLoaded(t *testing.T) {
	is := is.New(t)
	is.Equal(route.LeastLoaded{}.Pick(nil, []route.Candidate{{Load: 0.5}, {Load: 0.1}, {Load: 0.9}, {Load: 0.1}}), 1)
}

// TestConcurrency guards against counting unusable engines, ignoring weights, or
// counting more than the layers with the fewest slots allow. Unknown models and
// models without layers have a concurrency of 0.
func TestConcurrency(t *testing.T) {
	is := is.New(t)
	in := threeDCs(8) // two engines of 16 slots for each quarter
	for i := range in.Engines {
		in.Engines[i].Weight = 1
	}
	is.Equal(route.Build(in).Concurrency("m"), 32)
	is.Equal(route.Build(in).Concurrency("other"), 0)
	in.Engines[2].Leaving = true
	is.Equal(route.Build(in).Concurrency("m"), 16)
	in.Engines[6].Weight = 0.25
	is.Equal(route.Build(in).Concurrency("m"), 4)
	in.Models[0].Layers = 0
	in.Engines = nil
	is.Equal(route.Build(in).Concurrency("m"), 0)
}
