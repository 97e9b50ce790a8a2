package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// endDelay is how long the KV cache stays after the final event, so that a final
// event that got lost does not race with the freeing.
const endDelay = 100 * time.Millisecond

// endLimit bounds the calls that tell the other stages of the end.
const endLimit = time.Second

// serveGenerate runs a generation as the head of its chain.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req upstream.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	if err := e.checkGenerate(req); err != nil {
		writeError(w, err)
		return
	}
	out := newLineWriter(w)
	emit := &emitter{engine: e, out: out, faults: e.Faults}
	err := e.generate(r.Context(), req, emit)
	var failure *stageError
	if errors.As(err, &failure) && r.Context().Err() == nil {
		out.write(upstream.StreamLine{Error: errorBody(e.id, failure)})
	}
	if err != nil && failure == nil {
		panic(http.ErrAbortHandler)
	}
}

// checkGenerate refuses a request before anything runs.
func (e *Engine) checkGenerate(req upstream.GenerateRequest) error {
	if req.PromptLen < 1 || req.PromptLen > len(req.Tokens) || !startsFit(req.Chain, len(req.Tokens)) {
		return &stageError{status: http.StatusBadRequest, message: "chain, prompt or start positions do not fit", refusal: upstream.RefusedOther}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAssignment(headRequest(req)); err != nil {
		return err
	}
	return e.sessions[req.Session].checkNew(req.Attempt)
}

// startsFit reports whether each stage gets the activations that it needs and
// runs at least the last of the positions.
func startsFit(chain []upstream.StageRef, positions int) bool {
	start := 0
	for _, ref := range chain {
		if ref.Start < start || ref.Start >= positions {
			return false
		}
		start = ref.Start
	}
	return len(chain) > 0
}

// headRequest returns what the calls of one generation have in common.
func headRequest(req upstream.GenerateRequest) forwardRequest {
	return forwardRequest{
		Session: req.Session, Attempt: req.Attempt, Model: req.Model, Version: req.Version,
		Adapter: req.Adapter, Rank: req.Rank, Chain: req.Chain,
	}
}

// generate runs the positions from the start position on and emits the tokens.
func (e *Engine) generate(ctx context.Context, req upstream.GenerateRequest, emit *emitter) error {
	seat := e.seats.take(req.Rank)
	defer e.seats.give(seat)
	if !e.await(ctx, seat, emit.beat) {
		return ctx.Err()
	}
	seed := modelSeed(req.Model, req.Version, req.Adapter)
	call := headRequest(req)
	call.Start = true
	call.First = req.Chain[0].Start
	call.Tokens = req.Tokens[call.First:]
	index := len(req.Tokens) - req.PromptLen
	finish := "length"
	for index < req.MaxTokens {
		call.Activations = make([]uint64, len(call.Tokens))
		for i, token := range call.Tokens {
			call.Activations[i] = embed(seed, call.First+i, token)
		}
		result, err := e.forward(ctx, call, emit.beat)
		if err != nil {
			return err
		}
		token, end := sample(result.Activation)
		if end {
			finish = "stop"
			break
		}
		event := upstream.TokenEvent{Session: req.Session, Attempt: req.Attempt, Index: index, Token: token, Receipts: result.Receipts}
		if err := emit.event(ctx, event); err != nil {
			return err
		}
		index++
		call.Start = false
		call.First += len(call.Tokens)
		call.Tokens = []fleet.Token{token}
	}
	final := upstream.TokenEvent{Session: req.Session, Attempt: req.Attempt, Index: index, Final: true, FinishReason: finish}
	if err := emit.event(ctx, final); err != nil {
		return err
	}
	call.End = true
	call.Tokens, call.Activations = nil, nil
	go func() {
		ctx, cancel := context.WithTimeout(e.lifetime(), endDelay+endLimit)
		defer cancel()
		_ = sleep(ctx, endDelay)
		_, _ = e.forward(ctx, call, func() {})
	}()
	return nil
}

// errCut ends a stream in its middle.
var errCut = errors.New("stream cut by a fault")

// emitter writes a token stream and applies the faults of answers.
type emitter struct {
	engine *Engine
	out    *lineWriter
	faults func() Faults
	count  int
}

// beat writes a heartbeat line.
func (m *emitter) beat() { m.out.write(upstream.StreamLine{Heartbeat: true}) }

// event writes an event as the faults allow.
func (m *emitter) event(ctx context.Context, event upstream.TokenEvent) error {
	f := m.faults()
	m.count++
	if f.CutAfter > 0 && m.count > f.CutAfter {
		return errCut
	}
	if err := m.late(ctx, time.Duration(f.Late)); err != nil {
		return err
	}
	if f.Empty {
		return nil
	}
	other := m.engine.swapEvent(event)
	if f.CrossEvery > 0 && m.count%f.CrossEvery == 0 {
		event = other
	}
	m.out.write(upstream.StreamLine{Event: &event})
	if f.DoubleEvery > 0 && m.count%f.DoubleEvery == 0 {
		m.out.write(upstream.StreamLine{Event: &event})
	}
	return nil
}

// late waits and keeps the heartbeats going.
func (m *emitter) late(ctx context.Context, d time.Duration) error {
	for d > 0 {
		step := min(d, upstream.HeartbeatInterval)
		if err := sleep(ctx, step); err != nil {
			return err
		}
		m.beat()
		d -= step
	}
	return ctx.Err()
}

// swapEvent remembers the event and returns the last one of another session, or
// the same event under another session's name if there is none.
func (e *Engine) swapEvent(event upstream.TokenEvent) upstream.TokenEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.lastEvent
	e.lastEvent = event
	if other.Session == "" || other.Session == event.Session {
		other = event
		other.Session = "other-" + event.Session
		other.Token++
	}
	return other
}

// lineWriter writes NDJSON lines and flushes each.
type lineWriter struct {
	encoder *json.Encoder
	flush   func() error
}

func newLineWriter(w http.ResponseWriter) *lineWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	l := &lineWriter{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	_ = l.flush()
	return l
}

func (l *lineWriter) write(line any) {
	_ = l.encoder.Encode(line)
	_ = l.flush()
}

// errorBody describes a failure; it names this engine when no other stage failed.
func errorBody(id string, err *stageError) *upstream.ErrorBody {
	failed := err.failed
	if failed == "" {
		failed = fleet.UpstreamID(id)
	}
	return &upstream.ErrorBody{Message: err.message, FailedStage: failed, Refusal: err.refusal}
}

// writeError answers with the status of the error.
func writeError(w http.ResponseWriter, err error) {
	var failure *stageError
	if !errors.As(err, &failure) {
		failure = &stageError{status: http.StatusServiceUnavailable, message: err.Error()}
	}
	writeJSON(w, failure.status, upstream.ErrorBody{Message: failure.message, FailedStage: failure.failed, Refusal: failure.refusal})
}

// readJSON decodes the body, or answers with status 400.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeJSON(w, http.StatusBadRequest, upstream.ErrorBody{Message: err.Error()})
		return false
	}
	return true
}

// holdsAdapter reports whether the assignment has the adapter; every one has the empty one.
func holdsAdapter(a upstream.Assignment, adapter string) bool {
	return adapter == "" || slices.Contains(a.Adapters, adapter)
}
