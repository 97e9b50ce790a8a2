package pipeline_test

import (
	"context"
	"testing"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// instantEngine is an engine whose stream yields correct events without delay.
type instantEngine struct {
	upstream.Engine
	event upstream.TokenEvent
	last  int
}

func (e *instantEngine) Generate(context.Context, upstream.GenerateRequest) (upstream.TokenStream, error) {
	return e, nil
}

func (e *instantEngine) Next(context.Context) (upstream.TokenEvent, error) {
	event := e.event
	e.event.Index++
	if event.Index == e.last {
		event.Final, event.FinishReason = true, "length"
	}
	return event, nil
}

func (e *instantEngine) Close() error { return nil }

// onePlan is a planner that always returns the same chain.
type onePlan []pipeline.Stage

func (onePlan) Leaving([]pipeline.Stage) []fleet.UpstreamID { return nil }

func (p onePlan) Plan(context.Context, pipeline.PlanRequest) ([]pipeline.Stage, error) { return p, nil }

type discard struct{}

func (discard) Token(fleet.Token) error { return nil }

// BenchmarkToken measures the cost of one token in Driver and Session, without the
// HTTP client.
func BenchmarkToken(b *testing.B) {
	whole := fleet.LayerRange{First: 0, End: 1}
	engine := &instantEngine{last: b.N, event: upstream.TokenEvent{Session: "s", Attempt: 1, Receipts: []upstream.Receipt{{Upstream: "e", Layers: whole}}}}
	chain := onePlan{{Ref: upstream.StageRef{Upstream: "e", Layers: whole}, Engine: engine}}
	driver := pipeline.NewDriver(pipeline.Limits{}, nil, nil)
	b.ReportAllocs()
	request := pipeline.Request{Session: "s", Layers: 1, Prompt: []fleet.Token{1}, MaxTokens: b.N}
	if _, err := driver.Run(b.Context(), request, chain, discard{}); err != nil {
		b.Fatal(err)
	}
}
