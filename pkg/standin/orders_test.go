package standin_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// TestOrdersAreFencedAndPaced guards against an engine that enforces fencing but accepts
// an order of an older epoch, and against loads faster than the rate of the weight store.
func TestOrdersAreFencedAndPaced(t *testing.T) {
	for _, fencing := range []string{standin.FencingEnforced, standin.FencingIgnored} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			network := standin.NewNetwork()
			config := standin.Config{WeightStore: &standin.WeightStoreConfig{Listen: "10.0.1.1:80", BytesPerSecond: 100}}
			var engines []*upstream.HTTPEngine
			for i := range 2 {
				c := standin.EngineConfig{ID: fmt.Sprintf("e%d", i), Listen: fmt.Sprintf("10.0.0.%d:80", i), Fencing: fencing, LayerBytes: 50}
				config.Engines = append(config.Engines, c)
				engines = append(engines, upstream.NewHTTPEngine(fleet.UpstreamID(c.ID), c.Listen, network.Client()))
			}
			group, err := standin.Start(config, network.Listen, network.Client())
			is.NoErr(err)
			defer group.Close()
			ctx := t.Context()
			wanted := upstream.Assignment{Role: upstream.RoleServe, Model: "m", Version: "v1", Layers: fleet.LayerRange{First: 0, End: 4}}
			start := time.Now()
			for _, e := range engines {
				is.NoErr(e.Order(ctx, upstream.Order{Epoch: 5, Wanted: wanted}))
			}
			is.Equal(loaded(ctx, is, engines).Sub(start).Round(time.Second), 4*time.Second) // 400 bytes at 100 bytes/s
			wanted.Layers.End = 5
			err = engines[0].Order(ctx, upstream.Order{Epoch: 4, Wanted: wanted})
			is.Equal(err != nil, fencing == standin.FencingEnforced)
			state, err := engines[0].State(ctx)
			is.NoErr(err)
			is.Equal(state.Epoch, uint64(5))
			is.Equal(state.Loading, fencing == standin.FencingIgnored)
		})
	}
}

// loaded waits until no engine is loading and returns the current time.
func loaded(ctx context.Context, is *is.I, engines []*upstream.HTTPEngine) time.Time {
	for {
		busy := false
		for _, e := range engines {
			state, err := e.State(ctx)
			is.NoErr(err)
			busy = busy || state.Loading
		}
		if !busy {
			return time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCacheEventsLateAndWithGaps guards against cache events without the configured lag
// and gaps, which would make a prefix cache easier to follow than that of a real engine.
func TestCacheEventsLateAndWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := standin.NewNetwork()
		config := standin.EngineConfig{
			ID: "e1", CacheBlocks: 4, CacheEventLag: standin.Duration(time.Second), CacheEventGap: 3,
			Assignment: upstream.Assignment{Role: upstream.RoleServe, Model: "m", Version: "v1", Layers: fleet.LayerRange{First: 0, End: 2}},
		}
		server, err := standin.NewServer(standin.NewEngine(config, network.Client()), "10.0.0.1:80", network.Listen)
		is.NoErr(err)
		defer server.Close()
		engine := upstream.NewHTTPEngine("e1", "10.0.0.1:80", network.Client())
		chain := []upstream.StageRef{{Upstream: "e1", Address: "10.0.0.1:80", Layers: config.Assignment.Layers}}
		_, err = drain(t.Context(), engine, upstream.GenerateRequest{
			Session: "s", Attempt: 1, Model: "m", Version: "v1", Chain: chain, Tokens: prompt(96), PromptLen: 96, MaxTokens: 2,
		})
		is.NoErr(err)
		batch, err := engine.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		is.Equal(len(batch.Events), 0)
		time.Sleep(2 * time.Second)
		batch, err = engine.CacheEvents(t.Context(), 0)
		is.NoErr(err)
		var sequences []uint64
		dropped := 0
		for _, e := range batch.Events {
			sequences = append(sequences, e.Sequence)
			if e.Dropped {
				dropped++
			}
		}
		is.Equal(sequences, []uint64{1, 2, 4, 5, 7, 8}) // 6 blocks added and 2 evicted; events 3 and 6 are gaps
		is.Equal(dropped, 2)
		is.Equal(batch.Events[0].PrefixHash, upstream.PrefixHashes("m", "v1", "", prompt(96))[0])
	})
}

// throughput returns the tokens per second of a chain of 3 stages with the given number of
// callers, each of which runs one generation after another.
func throughput(t *testing.T, callers int) float64 {
	const seconds = 2
	tokens := 0
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		defer f.group.Close()
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		counts := make(chan int)
		for i := range callers {
			go func() {
				count := 0
				for n := 0; ctx.Err() == nil; n++ {
					req := f.request([]fleet.Token{fleet.Token(i), 1}, 1000)
					req.Session = fmt.Sprintf("s%d-%d", i, n)
					got, _ := drain(ctx, f.clients[0], req)
					count += len(got)
				}
				counts <- count
			}()
		}
		for range callers {
			tokens += <-counts
		}
	})
	return float64(tokens) / seconds
}

// TestBatchesReachTheHardwareBound guards against batching that falls short of the upper
// bound, the slots per step time of the slowest stage. It logs the measured rates.
func TestBatchesReachTheHardwareBound(t *testing.T) {
	const slots, step = 8, 4 * time.Millisecond
	bound := slots / step.Seconds()
	for _, callers := range []int{slots, 3 * slots, 4 * slots} {
		got := throughput(t, callers)
		t.Logf("%2d callers, 3 stages: %.0f tokens/s, %.3f of the bound", callers, got, got/bound)
		if callers >= 3*slots && got < 0.95*bound {
			t.Errorf("%d callers reach %.3f of the bound", callers, got/bound)
		}
	}
}

// TestUrgentOvertakes guards against steps that run Overnight work while Urgent work waits
// for a slot.
func TestUrgentOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1)
		defer f.group.Close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i := range 24 {
			req := f.request(prompt(4), 10000)
			req.Session, req.Rank = fmt.Sprintf("o%d", i), fleet.Overnight
			go func() { _, _ = drain(ctx, f.clients[0], req) }()
		}
		time.Sleep(time.Second)
		start := time.Now()
		_, err := drain(ctx, f.clients[0], f.request(prompt(4), 100))
		is.NoErr(err)
		// Each token waits for at most one step in progress and then takes one step itself.
		is.True(time.Since(start) <= 101*2*4*time.Millisecond)
	})
}
