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

// testBed is a fleet of stand-in engines on an in-memory network, with three layer
// ranges and one engine per range and replica name: a0, a1, a2, b0, b1, b2. It
// implements the planner, sink, budget and observer of the sessions that it runs.
type testBed struct {
	group        *standin.Group
	engines      map[fleet.UpstreamID]*upstream.HTTPEngine
	stages       [][]pipeline.Stage
	driver       *pipeline.Driver
	tokens       []fleet.Token
	onToken      func(n int)
	onPlan       func(pipeline.PlanRequest)
	denyRetry    bool
	leaving      []fleet.UpstreamID
	observations []pipeline.Observation
	faultAt      time.Time
}

// newTestBed starts the named replicas of all layer ranges, by default a and b.
func newTestBed(transferPerPosition time.Duration, names ...string) *testBed {
	if len(names) == 0 {
		names = []string{"a", "b"}
	}
	b := &testBed{
		engines: map[fleet.UpstreamID]*upstream.HTTPEngine{},
		onToken: func(int) {},
		onPlan:  func(pipeline.PlanRequest) {},
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
				// Both ends run at this rate and work concurrently, so that a transfer
				// takes transferPerPosition once per position.
				KVRate: float64(stageLayers*4096) / transferPerPosition.Seconds(),
			}
			config.Engines = append(config.Engines, c)
			id := fleet.UpstreamID(c.ID)
			b.engines[id] = upstream.NewHTTPEngine(id, c.Listen, network.Client())
			replicas = append(replicas, pipeline.Stage{
				Ref:    upstream.StageRef{Upstream: id, Address: c.Listen, Layers: r},
				Engine: b.engines[id],
				// The stand-in's default is a sixteenth of a step.
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

func (b *testBed) close() {
	b.driver.Wait()
	b.group.Close()
}

// fault sets the faults of an engine and records the time.
func (b *testBed) fault(id string, f standin.Faults) {
	b.faultAt = time.Now()
	b.group.StandIns[id].SetFaults(f)
}

func (b *testBed) Plan(ctx context.Context, request pipeline.PlanRequest) ([]pipeline.Stage, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	b.onPlan(request)
	var chain []pipeline.Stage
	for _, replicas := range b.stages {
		i := slices.IndexFunc(replicas, func(s pipeline.Stage) bool {
			return !slices.Contains(request.Excluded, s.Ref.Upstream)
		})
		if i < 0 {
			return nil, errors.New("no replica left")
		}
		chain = append(chain, replicas[i])
	}
	return chain, nil
}

func (b *testBed) Leaving([]pipeline.Stage) []fleet.UpstreamID { return b.leaving }

func (b *testBed) Token(token fleet.Token) error {
	b.tokens = append(b.tokens, token)
	b.onToken(len(b.tokens))
	return nil
}

func (b *testBed) AllowRetry([]fleet.UpstreamID) bool { return !b.denyRetry }

func (b *testBed) Observe(o pipeline.Observation) { b.observations = append(b.observations, o) }

// of returns the observations of one kind.
func (b *testBed) of(kind pipeline.ObservationKind) []pipeline.Observation {
	return slices.DeleteFunc(slices.Clone(b.observations), func(o pipeline.Observation) bool { return o.Kind != kind })
}

func testPrompt() []fleet.Token {
	prompt := make([]fleet.Token, promptLen)
	for i := range prompt {
		prompt[i] = fleet.Token(3*i + 5)
	}
	return prompt
}

func (b *testBed) run(ctx context.Context, session string) (pipeline.Result, error) {
	return b.driver.Run(ctx, pipeline.Request{
		Session: session, Model: "m", Version: "v1", Layers: layers, Prompt: testPrompt(), MaxTokens: maxTokens,
	}, b, b)
}

func expected() []fleet.Token {
	return standin.ExpectedTokens("m", "v1", "", layers, testPrompt(), maxTokens)
}

func at(position int) *int { return &position }

// failures are faults during one session, each with the recovery that is expected.
var failures = []struct {
	name string
	// before sets faults before the session starts.
	before func(b *testBed)
	// during may set faults after the n-th token.
	during func(b *testBed, n int)
	// suspects are those of the first failed attempt.
	suspects []fleet.UpstreamID
	attempts int
	// start is the start position of the last attempt's first stage.
	start int
	// transfer is set if the last attempt imports KV cache.
	transfer bool
	// unreachable are the suspects that do not answer their probe.
	unreachable []fleet.UpstreamID
	// triesImport is set if a transfer is started that takes longer than a rebuild.
	triesImport bool
	// swallowed is the number of tokens that were computed but not delivered
	// before the failure was detected.
	swallowed int
	// detection is the maximum time from the first symptom to the detection of the
	// failure.
	detection time.Duration
}{
	{name: "no fault", attempts: 1},
	{name: "head dies before the first token", before: func(b *testBed) { b.fault("a0", standin.Faults{CrashAtPosition: at(0)}) },
		suspects: []fleet.UpstreamID{"a0"}, unreachable: []fleet.UpstreamID{"a0"}, attempts: 2},
	{name: "middle dies before the first token", before: func(b *testBed) { b.fault("a1", standin.Faults{CrashAtPosition: at(0)}) },
		suspects: []fleet.UpstreamID{"a1"}, unreachable: []fleet.UpstreamID{"a1"}, attempts: 2},
	{name: "tail dies in the middle", before: func(b *testBed) { b.fault("a2", standin.Faults{CrashAtPosition: at(promptLen + 9)}) },
		suspects: []fleet.UpstreamID{"a2"}, unreachable: []fleet.UpstreamID{"a2"}, attempts: 2},
	{name: "head dies in the middle", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a0", standin.Faults{Crashed: true})
		}
	}, suspects: []fleet.UpstreamID{"a0"}, unreachable: []fleet.UpstreamID{"a0"}, attempts: 2},
	{name: "middle dies at the last token", before: func(b *testBed) { b.fault("a1", standin.Faults{CrashAtPosition: at(promptLen + maxTokens - 2)}) },
		suspects: []fleet.UpstreamID{"a1"}, unreachable: []fleet.UpstreamID{"a1"}, attempts: 2},
	{name: "two stages die at once", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a1", standin.Faults{Crashed: true})
			b.fault("a2", standin.Faults{Crashed: true})
		}
	}, suspects: []fleet.UpstreamID{"a1", "a2"}, unreachable: []fleet.UpstreamID{"a1", "a2"}, attempts: 2},
	{name: "middle stalls and still answers", before: func(b *testBed) { b.fault("a1", standin.Faults{StallAtPosition: at(promptLen + 9)}) },
		suspects: []fleet.UpstreamID{"a1"}, attempts: 2, start: promptLen + 9, transfer: true, detection: upstream.DefaultSilenceTimeout},
	{name: "head stalls and still answers", before: func(b *testBed) { b.fault("a0", standin.Faults{StallAtPosition: at(promptLen + 9)}) },
		suspects: []fleet.UpstreamID{"a0"}, attempts: 2, start: promptLen + 9, transfer: true, detection: upstream.DefaultSilenceTimeout},
	{name: "tail stalls without an answer", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a2", standin.Faults{Stall: standin.StallAll})
		}
	}, suspects: []fleet.UpstreamID{"a2"}, unreachable: []fleet.UpstreamID{"a2"}, attempts: 2, detection: upstream.DefaultSilenceTimeout + 250*time.Millisecond},
	{name: "middle is far too slow", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a1", standin.Faults{SlowFactor: 1e5})
		}
	}, suspects: []fleet.UpstreamID{"a1"}, attempts: 2, detection: 3 * time.Second, triesImport: true},
	{name: "head restarts at once", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a0", standin.Faults{Crashed: true})
			b.fault("a0", standin.Faults{})
		}
	}, suspects: []fleet.UpstreamID{"a0"}, attempts: 2},
	{name: "a stage forgets the session", during: func(b *testBed, n int) {
		if n == 10 {
			_ = b.engines["a2"].Cancel(context.Background(), "s", 1)
		}
	}, attempts: 2},
	{name: "events come twice", before: func(b *testBed) { b.fault("a0", standin.Faults{DuplicateEvery: 1}) }, attempts: 1},
	{name: "events come late", before: func(b *testBed) { b.fault("a0", standin.Faults{AnswerDelay: standin.Duration(700 * time.Millisecond)}) }, attempts: 1},
	{name: "an event is crossed", before: func(b *testBed) { b.fault("a0", standin.Faults{SwapEvery: 8}) },
		suspects: []fleet.UpstreamID{"a0"}, attempts: 2, start: promptLen + 6, transfer: true, swallowed: 2},
	{name: "empty answer", before: func(b *testBed) { b.fault("a0", standin.Faults{Empty: true}) },
		suspects: []fleet.UpstreamID{"a0"}, attempts: 2, start: promptLen - 1, transfer: true},
	{name: "stream is cut again and again", before: func(b *testBed) { b.fault("a0", standin.Faults{CutAfter: 5}) },
		attempts: 3, start: promptLen + 9, transfer: true},
	{name: "connections to the head go silent", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a0", standin.Faults{SilenceConnections: true})
		}
	}, attempts: 2, detection: upstream.DefaultSilenceTimeout},
	// The probe reports can't distinguish this from a stall of a2. It is replaced,
	// but not reported as unreachable.
	{name: "connections between stages go silent", during: func(b *testBed, n int) {
		if n == 10 {
			b.fault("a2", standin.Faults{SilenceConnections: true})
		}
	}, suspects: []fleet.UpstreamID{"a2"}, attempts: 2, start: promptLen + 9, transfer: true, detection: upstream.DefaultSilenceTimeout},
}

// TestEachTokenOnceThroughFailures guards against tokens that are missing,
// duplicated, out of order or computed from a wrong KV cache after a failure,
// against wrong suspects, and against recovery that repeats work needlessly.
func TestEachTokenOnceThroughFailures(t *testing.T) {
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBed(50 * time.Microsecond)
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
				for _, o := range b.observations {
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

// TestGivesUpAtOnce guards against an error that is returned late although the
// session has given up, and against a wrong outcome in it.
func TestGivesUpAtOnce(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(b *testBed)
		code    result.Code
		outcome result.Outcome
	}{
		{"no engine answers", func(b *testBed) {
			for id := range b.engines {
				b.fault(string(id), standin.Faults{Crashed: true})
			}
		}, result.NoUpstream, result.NotRun},
		{"budget is spent before the first token", func(b *testBed) {
			b.denyRetry = true
			b.fault("a1", standin.Faults{CrashAtPosition: at(0)})
		}, result.RetryBudgetSpent, result.OutcomeUnknown},
		{"budget is spent after tokens", func(b *testBed) {
			b.denyRetry = true
			b.fault("a1", standin.Faults{CrashAtPosition: at(promptLen + 4)})
		}, result.StreamBroken, result.Ran},
		{"every head cuts every stream", func(b *testBed) {
			b.fault("a0", standin.Faults{CutAfter: 1})
			b.fault("b0", standin.Faults{CutAfter: 1})
		}, result.StreamBroken, result.Ran},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newTestBed(50 * time.Microsecond)
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
					is.Equal(ended[0].At, failed[len(failed)-1].At) // no delay after the last failure
				}
			})
		})
	}
}

// TestPlannedEndsOfEnginesUseUpNoAttempts guards against a stream that breaks off when more engines in
// turn end according to plan than a session has attempts, and against one that goes on from engine to
// engine although it may be what ends them.
func TestPlannedEndsOfEnginesUseUpNoAttempts(t *testing.T) {
	const ends = 5
	for name, announced := range map[string]bool{"announced": true, "unannounced": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				names := []string{"a", "b", "c", "d", "e", "f"}
				b := newTestBed(50*time.Microsecond, names...)
				defer b.close()
				b.onToken = func(n int) {
					if end := n/4 - 1; n%4 == 0 && end < ends {
						if id := names[end] + "0"; announced {
							b.leaving = append(b.leaving, fleet.UpstreamID(id))
						}
						b.fault(names[end]+"0", standin.Faults{Crashed: true})
					}
				}
				got, err := b.run(t.Context(), "s")
				if announced {
					is.NoErr(err)
					is.Equal(b.tokens, expected())
					is.Equal(got.Attempts, ends+1)
					return
				}
				is.Equal(result.From(err).Code, result.StreamBroken)
				is.Equal(got.Attempts, 4)
			})
		})
	}
}
