package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestNoChainIsReservedForAnEndedRun: the control goroutine may reserve a chain for a run
// that is just ending. Nobody would release that chain, and its memory would count as
// reserved forever.
func TestNoChainIsReservedForAnEndedRun(t *testing.T) {
	is := is.New(t)
	g, gate := newTestGeneration()
	always := func() bool { return true }
	r := &run{generation: g}
	is.True(g.reserveReplacement(r, nil, always, nil))
	is.True(!g.reserveReplacement(r, nil, always, nil)) // at most one
	is.Equal(len(gate.reservations(nil)), 2)            // one reservation, and its prompt that waits
	gate.release(g.request, r.markEnded().chain)
	is.True(!g.reserveReplacement(r, nil, always, nil))
	is.Equal(len(gate.reservations(nil)), 0)

	// The run ends between the reservation of a chain and its hand-over.
	late := &run{generation: g}
	is.True(!g.reserveReplacement(late, nil, func() bool { late.markEnded(); return true }, nil))
	is.Equal(len(gate.reservations(nil)), 0)
}

// TestChainsOfMovesAreReleased guards against memory that counts as reserved for ever: that of a move
// whose outcome comes before, at or after the end of the run that it was to replace.
func TestChainsOfMovesAreReleased(t *testing.T) {
	is := is.New(t)
	g, gate := newTestGeneration()
	always := func() bool { return true }
	newMove := func() *move { return &move{done: make(chan struct{})} }
	for _, outcome := range []sendOutcome{outcomeAnswered, outcomeUnknown, outcomeContextEnded} {
		r, m := &run{generation: g}, newMove()
		is.True(g.reserveReplacement(r, m, always, nil))
		is.Equal(len(gate.reservations(nil)), 2) // one reservation, and its prompt that waits
		close(m.done)                            // the new run has not begun
		is.Equal(g.awaitSuccessor(r.markEnded(), outcome), nil)
		is.Equal(len(gate.reservations(nil)), 0)
		is.True(m.ctx.Err() != nil)
	}
	late, m := &run{generation: g}, newMove()
	is.True(!g.reserveReplacement(late, m, func() bool { late.markEnded(); return true }, nil))
	is.Equal(len(gate.reservations(nil)), 0)
	is.True(m.ctx.Err() != nil)
}

// newTestGeneration returns a generation of a service with one engine, and the gate of the service.
func newTestGeneration() (*generation, *gate) {
	engine := &catalog.Engine{Layers: 8, LayerMB: 100, KVBytesPerToken: 1000}
	gate := newGate(engine, "a", true)
	gate.update(time.Now(), engine, []chain.Server{{
		ID: "e", DataCentre: "a", Card: catalog.Card{MemoryMB: 2000, StepFactor: 1, PrefillFactor: 1},
		Layers: fleet.LayerRange{First: 0, End: 8}, Weight: 1, SlowdownFactor: 1,
	}}, emptyView())
	g := &generation{
		call: &call{
			gateway: &Gateway{shutdown: newShutdown()}, ctx: context.Background(), route: &catalog.Route{}, answerDeadline: time.Now().Add(time.Hour),
		},
		gate: gate, avoidedUpstreams: make(map[fleet.UpstreamID]bool),
		request: dispatch.Request{ID: "r", Need: chain.Need{PromptTokens: 10, AnswerTokens: 10}},
	}
	return g, gate
}
