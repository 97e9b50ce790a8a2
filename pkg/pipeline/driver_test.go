package pipeline_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

const (
	promptLen   = 64
	maxTokens   = 24
	layers      = 12
	stageLayers = 4
	stepTime    = stageLayers * time.Millisecond
)

// bench is a fleet of three layer ranges with two engines each, a0 and b0 to a2
// and b2, over a network in memory. It is planner, sink, budget and observer.
type bench struct {
	group    *standin.Group
	engines  map[fleet.UpstreamID]*upstream.HTTPEngine
	stages   [][]pipeline.Stage
	driver   *pipeline.Driver
	tokens   []fleet.Token
	onToken  func(n int)
	onPlan   func(pipeline.Need)
	refusing bool
	seen     []pipeline.Observation
	faultAt  time.Time
}

// newBench starts the replicas, a and b where none are named.
func newBench(transferPerPosition time.Duration, names ...string) *bench {
	if len(names) == 0 {
		names = []string{"a", "b"}
	}
	b := &bench{
		engines: map[fleet.UpstreamID]*upstream.HTTPEngine{},
		onToken: func(int) {},
		onPlan:  func(pipeline.Need) {},
	}
	network := standin.NewNetwork()
	var config standin.Config
	for i := range layers / stageLayers {
		r := fleet.LayerRange{First: i * stageLayers, End: (i + 1) * stageLayers}
		var replicas []pipeline.Stage
		for j, name := range names {
			c := standin.EngineConfig{
				ID: fmt.Sprint(name, i), Listen: fmt.Sprintf("10.0.%d.%d:80", i, j),
				Assignment: upstream.Assignment{Role: upstream.RoleServe, Model: "m", Version: "v1", Layers: r},
				// Both ends keep pace, so that the transfer takes the time once.
				KVRate: float64(stageLayers*4096) / transferPerPosition.Seconds(),
			}
			config.Engines = append(config.Engines, c)
			id := fleet.UpstreamID(c.ID)
			b.engines[id] = upstream.NewHTTPEngine(id, c.Listen, network.Client())
			replicas = append(replicas, pipeline.Stage{
				Ref:    upstream.StageRef{Upstream: id, Address: c.Listen, Layers: r},
				Engine: b.engines[id],
				// The stand-in's default: a sixteenth of a step.
				PrefillPerPosition:  stepTime / 16,
				TransferPerPosition: transferPerPosition,
			})
		}
		b.stages = append(b.stages, replicas)
	}
	group, err := standin.Start(config, network.Listen, network.Client())
	if err != nil {
		panic(err)
	}
	b.group = group
	b.driver = pipeline.NewDriver(pipeline.Limits{}, b, b)
	return b
}

func (b *bench) close() {
	b.driver.Wait()
	b.group.Close()
}

// fault sets faults and notes the time.
func (b *bench) fault(id string, f standin.Faults) {
	b.faultAt = time.Now()
	b.group.Parts[id].SetFaults(f)
}

func (b *bench) Plan(ctx context.Context, need pipeline.Need) ([]pipeline.Stage, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	b.onPlan(need)
	var chain []pipeline.Stage
	for _, replicas := range b.stages {
		i := slices.IndexFunc(replicas, func(s pipeline.Stage) bool {
			return !slices.Contains(need.Excluded, s.Ref.Upstream)
		})
		if i < 0 {
			return nil, errors.New("no replica left")
		}
		chain = append(chain, replicas[i])
	}
	return chain, nil
}

func (b *bench) Token(token fleet.Token) error {
	b.tokens = append(b.tokens, token)
	b.onToken(len(b.tokens))
	return nil
}

func (b *bench) AllowRetry([]fleet.UpstreamID) bool { return !b.refusing }

func (b *bench) Observe(o pipeline.Observation) { b.seen = append(b.seen, o) }

func (b *bench) of(kind pipeline.ObservationKind) []pipeline.Observation {
	return slices.DeleteFunc(slices.Clone(b.seen), func(o pipeline.Observation) bool { return o.Kind != kind })
}

func testPrompt() []fleet.Token {
	prompt := make([]fleet.Token, promptLen)
	for i := range prompt {
		prompt[i] = fleet.Token(3*i + 5)
	}
	return prompt
}

func (b *bench) run(ctx context.Context, session string) (pipeline.Result, error) {
	return b.driver.Run(ctx, pipeline.Request{
		Session: session, Model: "m", Version: "v1", Layers: layers, Prompt: testPrompt(), MaxTokens: maxTokens,
	}, b, b)
}

func expected() []fleet.Token {
	return standin.ExpectedTokens("m", "v1", "", layers, testPrompt(), maxTokens)
}

func at(position int) *int { return &position }

// failures are the faults of one session, each with the tokens that it may cost.
var failures = []struct {
	name string
	// before sets faults before the session; during after n tokens.
	before func(b *bench)
	during func(b *bench, n int)
	// suspects of the first failed attempt.
	suspects []fleet.UpstreamID
	attempts int
	// start is the start position of the last attempt.
	start int
	// transfer is set when KV cache is imported.
	transfer bool
	// unreachable are the suspects that do not answer a probe.
	unreachable []fleet.UpstreamID
	// triesImport is set when a transfer is begun that turns out slower than a rebuild.
	triesImport bool
	// swallowed is the number of tokens that were computed but not delivered before the failure showed.
	swallowed int
	// detection is the longest time until a failure shows by itself.
	detection time.Duration
}{
	{name: "no fault", attempts: 1},
	{name: "head dies before the first token", before: func(b *bench) { b.fault("a0", standin.Faults{CrashAtPosition: at(0)}) },
		suspects: []fleet.UpstreamID{"a0"}, unreachable: []fleet.UpstreamID{"a0"}, attempts: 2},
	{name: "middle dies before the first token", before: func(b *bench) { b.fault("a1", standin.Faults{CrashAtPosition: at(0)}) },
		suspects: []fleet.UpstreamID{"a1"}, unreachable: []fleet.UpstreamID{"a1"}, attempts: 2},
	{name: "tail dies in the middle", before: func(b *bench) { b.fault("a2", standin.Faults{CrashAtPosition: at(promptLen + 9)}) },
		suspects: []fleet.UpstreamID{"a2"}, unreachable: []fleet.UpstreamID{"a2"}, attempts: 2},
	{name: "head dies in the middle", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a0", standin.Faults{Crashed: true})
		}
	}, suspects: []fleet.UpstreamID{"a0"}, unreachable: []fleet.UpstreamID{"a0"}, attempts: 2},
	{name: "middle dies at the last token", before: func(b *bench) { b.fault("a1", standin.Faults{CrashAtPosition: at(promptLen + maxTokens - 2)}) },
		suspects: []fleet.UpstreamID{"a1"}, unreachable: []fleet.UpstreamID{"a1"}, attempts: 2},
	{name: "two stages die at once", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a1", standin.Faults{Crashed: true})
			b.fault("a2", standin.Faults{Crashed: true})
		}
	}, suspects: []fleet.UpstreamID{"a1", "a2"}, unreachable: []fleet.UpstreamID{"a1", "a2"}, attempts: 2},
	{name: "middle stalls and still answers", before: func(b *bench) { b.fault("a1", standin.Faults{StallAtPosition: at(promptLen + 9)}) },
		suspects: []fleet.UpstreamID{"a1"}, attempts: 2, start: promptLen + 9, transfer: true, detection: upstream.DefaultSilence},
	{name: "head stalls and still answers", before: func(b *bench) { b.fault("a0", standin.Faults{StallAtPosition: at(promptLen + 9)}) },
		suspects: []fleet.UpstreamID{"a0"}, attempts: 2, start: promptLen + 9, transfer: true, detection: upstream.DefaultSilence},
	{name: "tail stalls without an answer", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a2", standin.Faults{Stall: standin.StallAll})
		}
	}, suspects: []fleet.UpstreamID{"a2"}, unreachable: []fleet.UpstreamID{"a2"}, attempts: 2, detection: upstream.DefaultSilence + 250*time.Millisecond},
	{name: "middle is far too slow", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a1", standin.Faults{Slow: 1e5})
		}
	}, suspects: []fleet.UpstreamID{"a1"}, attempts: 2, detection: 3 * time.Second, triesImport: true},
	{name: "head restarts at once", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a0", standin.Faults{Crashed: true})
			b.fault("a0", standin.Faults{})
		}
	}, suspects: []fleet.UpstreamID{"a0"}, attempts: 2},
	{name: "a stage forgets the session", during: func(b *bench, n int) {
		if n == 10 {
			_ = b.engines["a2"].Cancel(context.Background(), "s", 1)
		}
	}, attempts: 2},
	{name: "events come twice", before: func(b *bench) { b.fault("a0", standin.Faults{DoubleEvery: 1}) }, attempts: 1},
	{name: "events come late", before: func(b *bench) { b.fault("a0", standin.Faults{Late: standin.Duration(700 * time.Millisecond)}) }, attempts: 1},
	{name: "an event is crossed", before: func(b *bench) { b.fault("a0", standin.Faults{CrossEvery: 8}) },
		suspects: []fleet.UpstreamID{"a0"}, attempts: 2, start: promptLen + 6, transfer: true, swallowed: 2},
	{name: "empty answer", before: func(b *bench) { b.fault("a0", standin.Faults{Empty: true}) },
		suspects: []fleet.UpstreamID{"a0"}, attempts: 2, start: promptLen - 1, transfer: true},
	{name: "stream is cut again and again", before: func(b *bench) { b.fault("a0", standin.Faults{CutAfter: 5}) },
		attempts: 3, start: promptLen + 9, transfer: true},
	{name: "connections to the head go silent", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a0", standin.Faults{SilenceConnections: true})
		}
	}, attempts: 2, detection: upstream.DefaultSilence},
	// The reports can't tell this from a stall of a2: it is replaced, but named as reachable.
	{name: "connections between stages go silent", during: func(b *bench, n int) {
		if n == 10 {
			b.fault("a2", standin.Faults{SilenceConnections: true})
		}
	}, suspects: []fleet.UpstreamID{"a2"}, attempts: 2, start: promptLen + 9, transfer: true, detection: upstream.DefaultSilence},
}

// TestEachTokenOnceThroughFailures guards against a token that is missing,
// doubled, out of order or computed from a wrong KV cache after a failure,
// against a wrong suspect, and against work that the recovery need not repeat.
func TestEachTokenOnceThroughFailures(t *testing.T) {
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(50 * time.Microsecond)
				defer b.close()
				if test.before != nil {
					test.before(b)
				}
				if test.during != nil {
					b.onToken = func(n int) { test.during(b, n) }
				}
				got, err := b.run(t.Context(), "s")
				is.NoErr(err)
				is.Equal(b.tokens, expected())
				is.Equal(got.Tokens, maxTokens)
				for _, o := range b.seen {
					t.Logf("%+v", o)
				}
				is.Equal(got.Attempts, test.attempts)
				if failed := b.of(pipeline.AttemptFailed); len(failed) > 0 {
					is.Equal(failed[0].Suspects, test.suspects)
					is.Equal(failed[0].Unreachable, test.unreachable)
					is.Equal(len(failed[0].Refusals), 0)
				}
				started := b.of(pipeline.AttemptStarted)
				last := started[len(started)-1]
				is.Equal(last.Start, test.start)
				is.Equal(last.Imported > 0, test.transfer)
			})
		})
	}
}

// TestGivesUpAtOnce guards against a response that is held after the session
// gave up, and against a false statement that nothing ran.
func TestGivesUpAtOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(b *bench)
		code    result.Code
		outcome result.Outcome
	}{
		{"no engine answers", func(b *bench) {
			for id := range b.engines {
				b.fault(string(id), standin.Faults{Crashed: true})
			}
		}, result.NoUpstream, result.NotRun},
		{"budget is spent before the first token", func(b *bench) {
			b.refusing = true
			b.fault("a1", standin.Faults{CrashAtPosition: at(0)})
		}, result.RetryBudgetSpent, result.OutcomeUnknown},
		{"budget is spent after tokens", func(b *bench) {
			b.refusing = true
			b.fault("a1", standin.Faults{CrashAtPosition: at(promptLen + 4)})
		}, result.StreamBroken, result.Ran},
		{"every head cuts every stream", func(b *bench) {
			b.fault("a0", standin.Faults{CutAfter: 1})
			b.fault("b0", standin.Faults{CutAfter: 1})
		}, result.StreamBroken, result.Ran},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(50 * time.Microsecond)
				defer b.close()
				test.prepare(b)
				got, err := b.run(t.Context(), "s")
				var failure *result.Error
				is.True(errors.As(err, &failure))
				is.True(got.Attempts <= 4)
				is.Equal(failure.Code, test.code)
				is.Equal(failure.Outcome, test.outcome)
				is.True(failure.RetryAfter > 0)
				if failed := b.of(pipeline.AttemptFailed); len(failed) > 0 {
					ended := b.of(pipeline.SessionEnded)
					is.Equal(ended[0].At, failed[len(failed)-1].At) // no wait after the last failure
				}
			})
		})
	}
}
