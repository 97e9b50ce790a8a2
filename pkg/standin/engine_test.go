package standin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// fixture is a chain of stages on an in-memory network.
type fixture struct {
	group   *standin.Group
	network *standin.Network
	chain   []upstream.StageRef
	clients []*upstream.HTTPEngine
}

// newFixture starts a chain of stages with 4 layers each.
func newFixture(t *testing.T, stages int) *fixture {
	t.Helper()
	f := &fixture{network: standin.NewNetwork()}
	var config standin.Config
	for i := range stages {
		layers := fleet.LayerRange{First: 4 * i, End: 4*i + 4}
		c := standin.EngineConfig{
			ID:         fmt.Sprintf("e%d", i),
			Listen:     fmt.Sprintf("10.0.0.%d:80", i+1),
			Assignment: upstream.Assignment{Role: upstream.RoleServe, Model: "m", Version: "v1", Layers: layers},
		}
		config.Engines = append(config.Engines, c)
		f.chain = append(f.chain, upstream.StageRef{Upstream: fleet.UpstreamID(c.ID), Address: c.Listen, Layers: layers})
		f.clients = append(f.clients, upstream.NewHTTPEngine(fleet.UpstreamID(c.ID), c.Listen, f.network.Client()))
	}
	group, err := standin.Start(config, f.network.Listen, f.network.Client())
	if err != nil {
		t.Fatal(err)
	}
	f.group = group
	return f
}

func (f *fixture) engine(i int) *standin.Engine {
	return f.group.StandIns[fmt.Sprintf("e%d", i)].(*standin.Engine)
}

func (f *fixture) request(prompt []fleet.Token, max int) upstream.GenerateRequest {
	return upstream.GenerateRequest{
		Session: "s1", Attempt: 1, Model: "m", Version: "v1", Chain: f.chain,
		Tokens: prompt, PromptLen: len(prompt), MaxTokens: max,
	}
}

func drain(ctx context.Context, engine *upstream.HTTPEngine, req upstream.GenerateRequest) ([]fleet.Token, error) {
	stream, err := engine.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var tokens []fleet.Token
	for {
		event, err := stream.Next(ctx)
		if err != nil {
			return tokens, err
		}
		if event.Final {
			return tokens, nil
		}
		tokens = append(tokens, event.Token)
	}
}

func prompt(n int) []fleet.Token {
	tokens := make([]fleet.Token, n)
	for i := range tokens {
		tokens[i] = fleet.Token(i*7 + 1)
	}
	return tokens
}

// TestChainMatchesExpectedTokens guards against tokens that depend on how the layers are
// split into stages.
func TestChainMatchesExpectedTokens(t *testing.T) {
	for _, stages := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, stages)
			defer f.group.Close()
			got, err := drain(t.Context(), f.clients[0], f.request(prompt(40), 20))
			is.NoErr(err)
			is.Equal(got, standin.ExpectedTokens("m", "v1", "", 4*stages, prompt(40), 20))
		})
	}
}

// TestResumeKeepsKV guards against a resumed generation that repeats positions already in
// the KV cache or continues from a wrong KV cache.
func TestResumeKeepsKV(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 3)
		defer f.group.Close()
		ctx := t.Context()
		stream, err := f.clients[0].Generate(ctx, f.request(prompt(40), 20))
		is.NoErr(err)
		tokens := prompt(40)
		for range 5 {
			event, err := stream.Next(ctx)
			is.NoErr(err)
			tokens = append(tokens, event.Token)
		}
		stream.Close()
		before := f.engine(2).PositionsRun()
		req := f.request(tokens, 20)
		req.Attempt, req.PromptLen = 2, 40
		for i := range req.Chain {
			req.Chain[i].Start = len(tokens) - 1
		}
		rest, err := drain(ctx, f.clients[0], req)
		is.NoErr(err)
		is.Equal(append(tokens[40:], rest...), standin.ExpectedTokens("m", "v1", "", 12, prompt(40), 20))
		is.True(f.engine(2).PositionsRun()-before <= 16) // at most one position beyond the remaining tokens
		_, err = f.clients[0].Generate(ctx, f.request(prompt(40), 20))
		var failure *upstream.Error
		is.True(errors.As(err, &failure))
		is.True(!failure.Sent) // attempt 1 after attempt 2 runs nowhere
		is.True(errors.Is(err, upstream.ErrRefused))
	})
}

// TestKeptStageDropsActivations guards against a stage that repeats positions that are
// still in its KV cache, and against accepting start positions that decrease along the
// chain.
func TestKeptStageDropsActivations(t *testing.T) {
	for _, test := range []struct {
		starts [3]int
		again  [3]int // repeated positions per stage
		fits   bool
	}{
		{[3]int{0, 0, 0}, [3]int{40, 40, 40}, true},
		{[3]int{0, 0, 40}, [3]int{40, 40, 0}, true},
		{[3]int{0, 40, 40}, [3]int{40, 0, 0}, true},
		{[3]int{10, 30, 40}, [3]int{30, 10, 0}, true},
		{[3]int{0, 40, 0}, [3]int{}, false},
		{[3]int{0, 0, 41}, [3]int{}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 3)
			defer f.group.Close()
			ctx := t.Context()
			stream, err := f.clients[0].Generate(ctx, f.request(prompt(40), 20))
			is.NoErr(err)
			event, err := stream.Next(ctx)
			is.NoErr(err)
			stream.Close()
			synctest.Wait()
			var before [3]int
			for i := range before {
				before[i] = f.engine(i).PositionsRun()
			}
			req := f.request(append(prompt(40), event.Token), 20)
			req.Attempt, req.PromptLen = 2, 40
			for i := range req.Chain {
				req.Chain[i].Start = test.starts[i]
			}
			rest, err := drain(ctx, f.clients[0], req)
			is.Equal(err == nil, test.fits)
			if test.fits {
				is.Equal(append([]fleet.Token{event.Token}, rest...), standin.ExpectedTokens("m", "v1", "", 12, prompt(40), 20))
			}
			for i := range before {
				is.Equal(f.engine(i).PositionsRun()-before[i], test.again[i]+len(rest))
			}
		})
	}
}

// TestSilentConnection guards against a stream that waits forever on a silent connection,
// and against a progress call that reuses that connection.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		defer f.group.Close()
		ctx := t.Context()
		stream, err := f.clients[0].Generate(ctx, f.request(prompt(40), 20))
		is.NoErr(err)
		_, err = stream.Next(ctx)
		is.NoErr(err)
		f.engine(0).SetFaults(standin.Faults{SilenceConnections: true})
		start := time.Now()
		for err == nil {
			_, err = stream.Next(ctx)
		}
		is.True(errors.Is(err, upstream.ErrSilent))
		is.True(time.Since(start) <= upstream.DefaultSilenceTimeout+time.Second)
		_, err = f.clients[0].Progress(ctx, "s1")
		is.NoErr(err)
	})
}

// TestCrashRefusesAndRestores guards against sessions that survive a crash, and against
// an error with Sent set although no connection was made.
func TestCrashRefusesAndRestores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2)
		defer f.group.Close()
		ctx := t.Context()
		position := 45
		f.engine(1).SetFaults(standin.Faults{CrashAtPosition: &position})
		got, err := drain(ctx, f.clients[0], f.request(prompt(40), 20))
		var failure *upstream.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.FailedStage, fleet.UpstreamID("e1"))
		is.Equal(len(got), 6) // positions 39 to 44
		_, err = f.clients[1].State(ctx)
		is.True(errors.As(err, &failure))
		is.True(!failure.Sent)
		f.engine(1).SetFaults(standin.Faults{})
		progress, err := f.clients[1].Progress(ctx, "s1")
		is.NoErr(err)
		is.Equal(progress.NextPosition, 0)
	})
}

// TestStreamWithoutFinal guards against a stream without final event that is taken for a
// complete one.
func TestStreamWithoutFinal(t *testing.T) {
	for _, faults := range []standin.Faults{{CutAfter: 3}, {Empty: true}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 1)
			defer f.group.Close()
			f.engine(0).SetFaults(faults)
			_, err := drain(t.Context(), f.clients[0], f.request(prompt(4), 20))
			is.True(err != nil && !errors.Is(err, io.EOF))
		})
	}
}
