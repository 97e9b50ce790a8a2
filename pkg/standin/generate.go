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

// freeDelay is the time between the final event and freeing the KV caches, so that a
// retry after a lost final event does not race with freeing them.
const freeDelay = 100 * time.Millisecond

// endCallTimeout is the timeout of the calls that end the generation on all stages.
const endCallTimeout = time.Second

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
	em := &emitter{engine: e, out: out, faults: e.Faults}
	err := e.generate(r.Context(), req, em)
	var failure *stageError
	if errors.As(err, &failure) && r.Context().Err() == nil {
		out.write(upstream.StreamLine{Error: errorBody(e.id, failure)})
	}
	if err != nil && failure == nil {
		panic(http.ErrAbortHandler)
	}
}

// checkGenerate validates a request before any position runs.
func (e *Engine) checkGenerate(req upstream.GenerateRequest) error {
	if req.PromptLen < 1 || req.PromptLen > len(req.Tokens) || !validStarts(req.Chain, len(req.Tokens)) {
		return &stageError{status: http.StatusBadRequest, message: "chain, prompt or start positions do not fit", refusal: upstream.RefusedOther}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAssignment(newForwardRequest(req)); err != nil {
		return err
	}
	return e.sessions[req.Session].checkNewAttempt(req.Attempt)
}

// validStarts reports whether the start positions do not decrease along the chain, so that
// each stage receives the activations it needs, and each stage runs at least the last
// position. An empty chain is invalid.
func validStarts(chain []upstream.StageRef, positions int) bool {
	start := 0
	for _, ref := range chain {
		if ref.Start < start || ref.Start >= positions {
			return false
		}
		start = ref.Start
	}
	return len(chain) > 0
}

// newForwardRequest returns a forward request with the fields that all calls of the
// generation share.
func newForwardRequest(req upstream.GenerateRequest) forwardRequest {
	return forwardRequest{
		Session: req.Session, Attempt: req.Attempt, Model: req.Model, Version: req.Version,
		Adapter: req.Adapter, Rank: req.Rank, Chain: req.Chain,
	}
}

// generate waits for admission, runs the positions from the start position of the head
// on, and emits the tokens and the final event.
func (e *Engine) generate(ctx context.Context, req upstream.GenerateRequest, em *emitter) error {
	grant := e.admission.acquire(req.Rank)
	defer e.admission.release(grant)
	if !e.waitWithHeartbeats(ctx, grant, em.heartbeat) {
		return ctx.Err()
	}
	seed := modelSeed(req.Model, req.Version, req.Adapter)
	call := newForwardRequest(req)
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
		result, err := e.forward(ctx, call, em.heartbeat)
		if err != nil {
			return err
		}
		token, end := sample(result.Activation)
		if end {
			finish = "stop"
			break
		}
		event := upstream.TokenEvent{Session: req.Session, Attempt: req.Attempt, Index: index, Token: token, Receipts: result.Receipts}
		if err := em.writeEvent(ctx, event); err != nil {
			return err
		}
		index++
		call.Start = false
		call.First += len(call.Tokens)
		call.Tokens = []fleet.Token{token}
	}
	final := upstream.TokenEvent{Session: req.Session, Attempt: req.Attempt, Index: index, Final: true, FinishReason: finish}
	if err := em.writeEvent(ctx, final); err != nil {
		return err
	}
	call.End = true
	call.Tokens, call.Activations = nil, nil
	go func() {
		ctx, cancel := context.WithTimeout(e.runContext(), freeDelay+endCallTimeout)
		defer cancel()
		_ = sleep(ctx, freeDelay)
		_, _ = e.forward(ctx, call, func() {})
	}()
	return nil
}

// errStreamCut aborts a stream for Faults.CutAfter.
var errStreamCut = errors.New("stream cut by a fault")

// emitter writes a token stream and applies the faults that affect answers.
type emitter struct {
	engine  *Engine
	out     *lineWriter
	faults  func() Faults
	emitted int
}

// heartbeat writes a heartbeat line.
func (m *emitter) heartbeat() { m.out.write(upstream.StreamLine{Heartbeat: true}) }

// writeEvent writes an event, after applying the faults to it.
func (m *emitter) writeEvent(ctx context.Context, event upstream.TokenEvent) error {
	f := m.faults()
	m.emitted++
	if f.CutAfter > 0 && m.emitted > f.CutAfter {
		return errStreamCut
	}
	if err := m.delayEvent(ctx, time.Duration(f.AnswerDelay)); err != nil {
		return err
	}
	if f.Empty {
		return nil
	}
	other := m.engine.swapEvent(event)
	if f.SwapEvery > 0 && m.emitted%f.SwapEvery == 0 {
		event = other
	}
	m.out.write(upstream.StreamLine{Event: &event})
	if f.DuplicateEvery > 0 && m.emitted%f.DuplicateEvery == 0 {
		m.out.write(upstream.StreamLine{Event: &event})
	}
	return nil
}

// delayEvent waits for d and writes heartbeats meanwhile.
func (m *emitter) delayEvent(ctx context.Context, d time.Duration) error {
	for d > 0 {
		step := min(d, upstream.HeartbeatInterval)
		if err := sleep(ctx, step); err != nil {
			return err
		}
		m.heartbeat()
		d -= step
	}
	return ctx.Err()
}

// swapEvent stores the event as the last one and returns the event stored before it. If
// that is missing or of the same session, it returns event with another session ID and
// token.
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

// lineWriter writes NDJSON lines and flushes after each.
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

// errorBody returns the body for a failure. The failed stage is the engine with the given
// ID if err names no other.
func errorBody(id string, err *stageError) *upstream.ErrorBody {
	failed := err.failedStage
	if failed == "" {
		failed = fleet.UpstreamID(id)
	}
	return &upstream.ErrorBody{Message: err.message, FailedStage: failed, Refusal: err.refusal}
}

// writeError answers with the status of a stageError, or with 503 for any other error.
func writeError(w http.ResponseWriter, err error) {
	var failure *stageError
	if !errors.As(err, &failure) {
		failure = &stageError{status: http.StatusServiceUnavailable, message: err.Error()}
	}
	writeJSON(w, failure.status, upstream.ErrorBody{Message: failure.message, FailedStage: failure.failedStage, Refusal: failure.refusal})
}

// readJSON decodes the request body. It answers with status 400 and returns false if that
// fails.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		writeJSON(w, http.StatusBadRequest, upstream.ErrorBody{Message: err.Error()})
		return false
	}
	return true
}

// holdsAdapter reports whether the assignment includes the adapter. The empty name means
// no adapter and is always included.
func holdsAdapter(a upstream.Assignment, adapter string) bool {
	return adapter == "" || slices.Contains(a.Adapters, adapter)
}
