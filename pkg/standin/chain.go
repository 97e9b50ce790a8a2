package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/internal/httpcall"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// PathForward is the path on which a stage calls the next one.
const PathForward = "/v1/forward"

// forwardRequest asks a stage to run positions and to call the next stage with the
// resulting activations.
type forwardRequest struct {
	Session string        `json:"session"`
	Attempt int           `json:"attempt"`
	Model   fleet.ModelID `json:"model"`
	Version string        `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	Rank    fleet.Rank    `json:"rank"`
	// Chain lists the remaining stages, beginning with the called one.
	Chain []upstream.StageRef `json:"chain"`
	// Start is set on the first call of an attempt.
	Start bool `json:"start,omitempty"`
	// End is set when the generation has finished; nothing runs and the KV cache is freed.
	End bool `json:"end,omitempty"`
	// First is the position of the first token.
	First int `json:"first"`
	// Tokens holds one token per position.
	Tokens []fleet.Token `json:"tokens"`
	// Activations holds one activation per position.
	Activations []uint64 `json:"activations"`
}

// forwardResult is the result of a chain: the activation of the last position after all
// layers, and one receipt per stage.
type forwardResult struct {
	Activation uint64             `json:"activation"`
	Receipts   []upstream.Receipt `json:"receipts"`
}

// forwardLine is one NDJSON line of the answer: a heartbeat, the result or an error.
type forwardLine struct {
	Heartbeat bool                `json:"heartbeat,omitempty"`
	Result    *forwardResult      `json:"result,omitempty"`
	Error     *upstream.ErrorBody `json:"error,omitempty"`
}

// forward runs this stage's layers for the positions and then calls the next stage.
// It calls heartbeat periodically until the chain has finished.
func (e *Engine) forward(ctx context.Context, req forwardRequest, heartbeat func()) (forwardResult, error) {
	if req.End {
		e.cancel(req.Session, req.Attempt)
		return e.forwardNext(ctx, req, nil, heartbeat)
	}
	req, err := req.dropKeptPositions()
	if err != nil {
		return forwardResult{}, err
	}
	activations, err := e.runStage(ctx, req, heartbeat)
	if err != nil {
		return forwardResult{}, err
	}
	return e.forwardNext(ctx, req, activations, heartbeat)
}

// dropKeptPositions removes the positions that the called stage still has in its KV cache
// from the first call of an attempt.
func (r forwardRequest) dropKeptPositions() (forwardRequest, error) {
	if !r.Start {
		return r, nil
	}
	kept := r.Chain[0].Start - r.First
	if kept < 0 || kept >= len(r.Tokens) {
		return r, newRefusal(upstream.RefusedPosition, "start at %d does not fit %d positions from %d on", r.Chain[0].Start, len(r.Tokens), r.First)
	}
	r.First += kept
	r.Tokens, r.Activations = r.Tokens[kept:], r.Activations[kept:]
	return r, nil
}

// forwardNext calls the next stage, if any, and prepends this stage's receipt.
func (e *Engine) forwardNext(ctx context.Context, req forwardRequest, activations []uint64, heartbeat func()) (forwardResult, error) {
	receipt := upstream.Receipt{Upstream: fleet.UpstreamID(e.id), Layers: req.Chain[0].Layers}
	result := forwardResult{}
	if len(req.Chain) == 1 {
		if len(activations) > 0 {
			result.Activation = activations[len(activations)-1]
		}
		result.Receipts = []upstream.Receipt{receipt}
		return result, nil
	}
	next := req
	next.Chain = req.Chain[1:]
	next.Activations = activations
	result, err := e.peers.forward(ctx, next, heartbeat)
	if err != nil {
		return forwardResult{}, err
	}
	result.Receipts = append([]upstream.Receipt{receipt}, result.Receipts...)
	return result, nil
}

// runStage runs this stage's layers for the positions of the request and returns their
// activations.
func (e *Engine) runStage(ctx context.Context, req forwardRequest, heartbeat func()) ([]uint64, error) {
	if err := e.applyPositionFaults(ctx, req); err != nil {
		return nil, err
	}
	runCtx := e.runContext()
	callerCtx := ctx
	ctx, cancelWork := context.WithCancel(callerCtx)
	defer cancelWork()
	s, revision, err := e.beginWork(req, cancelWork)
	if err != nil {
		return nil, err
	}
	w := &sequenceWork{ctx: ctx, rank: req.Rank, remaining: e.uncachedPositions(req), done: make(chan struct{})}
	e.scheduler.add(e, w)
	if !e.waitWithHeartbeats(ctx, w.done, heartbeat) {
		e.endWork(s, revision)
		if runCtx.Err() != nil || callerCtx.Err() != nil {
			return nil, context.Canceled
		}
		return nil, newRefusal(upstream.RefusedAttempt, "session %s attempt %d was ended", req.Session, req.Attempt)
	}
	return e.compute(s, revision, req)
}

// applyPositionFaults applies the faults triggered by a token or position of the request.
func (e *Engine) applyPositionFaults(ctx context.Context, req forwardRequest) error {
	f := e.Faults()
	covers := func(position *int) bool {
		return position != nil && req.First <= *position && *position < req.First+len(req.Tokens)
	}
	if f.CrashOnToken != nil && slices.Contains(req.Tokens, *f.CrashOnToken) || covers(f.CrashAtPosition) {
		e.crash()
		return context.Canceled
	}
	if covers(f.StallAtPosition) {
		f.StallAtPosition, f.Stall = nil, StallCompute
		e.SetFaults(f)
	}
	return ctx.Err()
}

// beginWork checks that the stage may run the positions and marks the session busy. It
// returns the session and its revision.
func (e *Engine) beginWork(req forwardRequest, cancelWork context.CancelFunc) (*session, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAssignment(req); err != nil {
		return nil, 0, err
	}
	s := e.session(req.Session)
	if err := e.startOrContinueAttempt(s, req); err != nil {
		return nil, 0, err
	}
	if nextPosition := e.positions(s); req.First != nextPosition {
		return nil, 0, newRefusal(upstream.RefusedPosition, "position %d is not the next one, %d", req.First, nextPosition)
	}
	s.busy = true
	s.cancelWork = cancelWork
	return s, s.revision, nil
}

// checkAssignment returns a refusal if the engine does not serve the requested weights.
// Callers hold e.mu.
func (e *Engine) checkAssignment(req forwardRequest) error {
	a, ref := e.assignment, req.Chain[0]
	switch {
	case e.loading || a.Role != upstream.RoleServe:
		return newRefusal(upstream.RefusedAssignment, "engine is not serving")
	case ref.Upstream != fleet.UpstreamID(e.id):
		return newRefusal(upstream.RefusedAssignment, "request is for engine %s", ref.Upstream)
	case a.Model != req.Model || a.Version != req.Version || a.Layers != ref.Layers:
		return newRefusal(upstream.RefusedAssignment, "engine holds %s %s layers %s, not %s %s layers %s",
			a.Model, a.Version, a.Layers, req.Model, req.Version, ref.Layers)
	case !holdsAdapter(a, req.Adapter):
		return newRefusal(upstream.RefusedAssignment, "engine does not hold adapter %s", req.Adapter)
	}
	return nil
}

// startOrContinueAttempt handles the attempt of a request. The first call of an attempt
// starts it, which ends the work of earlier attempts and truncates the KV cache to the kept
// positions. Any other call must belong to the started attempt, with no position running.
// It returns a refusal otherwise. Callers hold e.mu.
func (e *Engine) startOrContinueAttempt(s *session, req forwardRequest) error {
	if !req.Start {
		if req.Attempt != s.startedAttempt || req.Attempt < s.minAttempt {
			return newRefusal(upstream.RefusedAttempt, "attempt %d is not open; attempt %d is", req.Attempt, s.startedAttempt)
		}
		if s.busy {
			return newRefusal(upstream.RefusedPosition, "a position of attempt %d is running", req.Attempt)
		}
		return nil
	}
	if err := s.checkNewAttempt(req.Attempt); err != nil {
		return err
	}
	s.interrupt()
	s.minAttempt, s.startedAttempt = req.Attempt, req.Attempt
	keep := req.Chain[0].Start * e.assignment.Layers.Len()
	s.kv = s.kv[:min(keep, len(s.kv))]
	return nil
}

// uncachedPositions returns the number of positions that take simulated time: those not in
// the prefix cache, but at least one.
func (e *Engine) uncachedPositions(req forwardRequest) int {
	if req.First != 0 {
		return len(req.Tokens)
	}
	hashes := upstream.PrefixHashes(req.Model, req.Version, req.Adapter, req.Tokens)
	cached := e.cache.lookupAndAdd(hashes) * upstream.PrefixBlock
	return max(1, len(req.Tokens)-cached)
}

// waitWithHeartbeats waits for done and calls heartbeat periodically unless the engine is
// stalled. It returns false if ctx ends first.
func (e *Engine) waitWithHeartbeats(ctx context.Context, done <-chan struct{}, heartbeat func()) bool {
	ticker := time.NewTicker(upstream.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if e.Faults().Stall == "" {
				heartbeat()
			}
		}
	}
}

// endWork marks the session as not busy, unless its revision has changed.
func (e *Engine) endWork(s *session, revision int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.revision == revision {
		s.busy = false
	}
}

// compute runs the layers for the positions, appends their KV digests to the session and
// returns the activations. It refuses if the revision of the session has changed.
func (e *Engine) compute(s *session, revision int, req forwardRequest) ([]uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.revision != revision {
		return nil, newRefusal(upstream.RefusedAttempt, "session %s attempt %d was ended", req.Session, req.Attempt)
	}
	layers := e.assignment.Layers
	layerCount := layers.Len()
	activations := make([]uint64, len(req.Activations))
	for i, activation := range req.Activations {
		var before []uint64
		if len(s.kv) > 0 {
			before = s.kv[len(s.kv)-layerCount:]
		}
		after := make([]uint64, layerCount)
		activations[i] = runLayers(layers, req.First+i, activation, before, after)
		s.kv = append(s.kv, after...)
	}
	e.positionsRun += len(activations)
	s.busy = false
	s.lastUsed = time.Now()
	return activations, nil
}

// peerClient calls other stages and keeps one HTTP caller per address.
type peerClient struct {
	client  *http.Client
	mu      sync.Mutex
	callers map[string]*httpcall.Caller
}

func (p *peerClient) caller(address string) *httpcall.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.callers[address]
	if c == nil {
		c = httpcall.New(address, p.client)
		p.callers[address] = c
	}
	return c
}

// forward calls the next stage and relays its heartbeats. Errors name that stage as the
// failed one, unless it reports a failure of a later stage.
func (p *peerClient) forward(ctx context.Context, req forwardRequest, heartbeat func()) (forwardResult, error) {
	next := req.Chain[0]
	stageFailure := func(err error) error {
		return &stageError{
			status:      http.StatusBadGateway,
			message:     fmt.Sprintf("stage %s: %v", next.Upstream, err),
			failedStage: next.Upstream,
		}
	}
	body, err := json.Marshal(req)
	if err != nil {
		return forwardResult{}, stageFailure(err)
	}
	caller := p.caller(next.Address)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, caller.URL(PathForward), bytes.NewReader(body))
	if err != nil {
		return forwardResult{}, stageFailure(err)
	}
	defer func() {
		if ctx.Err() != nil {
			// The call may have ended because its connection went silent; idle connections to
			// the same stage may be silent too.
			caller.CloseIdle()
		}
	}()
	resp, _, err := caller.Do(httpReq, false)
	if err != nil {
		return forwardResult{}, stageFailure(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		var line forwardLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return forwardResult{}, stageFailure(err)
		}
		switch {
		case line.Heartbeat:
			heartbeat()
		case line.Result != nil:
			// Read to the end so that the connection can be reused.
			lines.Scan()
			return *line.Result, nil
		case line.Error != nil:
			failure := &stageError{status: http.StatusBadGateway, message: line.Error.Message, failedStage: line.Error.FailedStage, refusal: line.Error.Refusal}
			if failure.failedStage == "" {
				failure.failedStage = next.Upstream
			}
			return forwardResult{}, failure
		}
	}
	if err := lines.Err(); err != nil {
		return forwardResult{}, stageFailure(err)
	}
	return forwardResult{}, stageFailure(upstream.ErrNoFinalEvent)
}
