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

// PathForward is where a stage calls the next one.
const PathForward = "/v1/forward"

// forwardRequest asks a stage to run positions and to call the stages after it.
type forwardRequest struct {
	Session string        `json:"session"`
	Attempt int           `json:"attempt"`
	Model   fleet.ModelID `json:"model"`
	Version string        `json:"version"`
	Adapter string        `json:"adapter,omitempty"`
	Rank    fleet.Rank    `json:"rank"`
	// Chain begins with the called stage.
	Chain []upstream.StageRef `json:"chain"`
	// Start is set on the first call of an attempt.
	Start bool `json:"start,omitempty"`
	// End states that the generation is over; nothing runs and the KV cache is freed.
	End bool `json:"end,omitempty"`
	// First is the first position; Tokens and Activations hold one value for each.
	First       int           `json:"first"`
	Tokens      []fleet.Token `json:"tokens"`
	Activations []uint64      `json:"activations"`
}

// forwardResult is the answer of a stage: the last activation after all layers.
type forwardResult struct {
	Activation uint64             `json:"activation"`
	Receipts   []upstream.Receipt `json:"receipts"`
}

// forwardLine is one NDJSON line of the answer.
type forwardLine struct {
	Heartbeat bool                `json:"heartbeat,omitempty"`
	Result    *forwardResult      `json:"result,omitempty"`
	Error     *upstream.ErrorBody `json:"error,omitempty"`
}

// forward runs this stage's layers for the positions and then those of the
// stages after it. beat is called while the chain is at work.
func (e *Engine) forward(ctx context.Context, req forwardRequest, beat func()) (forwardResult, error) {
	if req.End {
		e.cancel(req.Session, req.Attempt)
		return e.forwardNext(ctx, req, nil, beat)
	}
	req, err := req.withoutKept()
	if err != nil {
		return forwardResult{}, err
	}
	activations, err := e.runStage(ctx, req, beat)
	if err != nil {
		return forwardResult{}, err
	}
	return e.forwardNext(ctx, req, activations, beat)
}

// withoutKept drops the positions that the called stage keeps in its KV cache.
func (r forwardRequest) withoutKept() (forwardRequest, error) {
	if !r.Start {
		return r, nil
	}
	kept := r.Chain[0].Start - r.First
	if kept < 0 || kept >= len(r.Tokens) {
		return r, refuse(upstream.RefusedPosition, "start at %d does not fit %d positions from %d on", r.Chain[0].Start, len(r.Tokens), r.First)
	}
	r.First += kept
	r.Tokens, r.Activations = r.Tokens[kept:], r.Activations[kept:]
	return r, nil
}

// forwardNext calls the next stage, if any, and puts this stage's receipt in front.
func (e *Engine) forwardNext(ctx context.Context, req forwardRequest, activations []uint64, beat func()) (forwardResult, error) {
	own := upstream.Receipt{Upstream: fleet.UpstreamID(e.id), Layers: req.Chain[0].Layers}
	result := forwardResult{}
	if len(req.Chain) == 1 {
		if len(activations) > 0 {
			result.Activation = activations[len(activations)-1]
		}
		result.Receipts = []upstream.Receipt{own}
		return result, nil
	}
	next := req
	next.Chain = req.Chain[1:]
	next.Activations = activations
	result, err := e.peers.forward(ctx, next, beat)
	if err != nil {
		return forwardResult{}, err
	}
	result.Receipts = append([]upstream.Receipt{own}, result.Receipts...)
	return result, nil
}

// runStage runs this stage's layers for the positions of the request.
func (e *Engine) runStage(ctx context.Context, req forwardRequest, beat func()) ([]uint64, error) {
	if err := e.crashOrStall(ctx, req); err != nil {
		return nil, err
	}
	life := e.lifetime()
	caller := ctx
	ctx, stop := context.WithCancel(caller)
	defer stop()
	s, change, err := e.enter(req, stop)
	if err != nil {
		return nil, err
	}
	w := &work{ctx: ctx, rank: req.Rank, left: e.uncached(req), done: make(chan struct{})}
	e.batch.add(e, w)
	if !e.await(ctx, w.done, beat) {
		e.leave(s, change)
		if life.Err() != nil || caller.Err() != nil {
			return nil, context.Canceled
		}
		return nil, refuse(upstream.RefusedAttempt, "session %s attempt %d was ended", req.Session, req.Attempt)
	}
	return e.compute(s, change, req)
}

// crashOrStall applies the faults that depend on what is about to run.
func (e *Engine) crashOrStall(ctx context.Context, req forwardRequest) error {
	f := e.Faults()
	runs := func(position *int) bool {
		return position != nil && req.First <= *position && *position < req.First+len(req.Tokens)
	}
	if f.CrashOnToken != nil && slices.Contains(req.Tokens, *f.CrashOnToken) || runs(f.CrashAtPosition) {
		e.crash()
		return context.Canceled
	}
	if runs(f.StallAtPosition) {
		f.StallAtPosition, f.Stall = nil, StallCompute
		e.SetFaults(f)
	}
	return ctx.Err()
}

// enter checks that the stage may run the positions and marks the session busy.
func (e *Engine) enter(req forwardRequest, stop context.CancelFunc) (*session, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAssignment(req); err != nil {
		return nil, 0, err
	}
	s := e.session(req.Session)
	if err := e.checkAttempt(s, req); err != nil {
		return nil, 0, err
	}
	if have := e.positions(s); req.First != have {
		return nil, 0, refuse(upstream.RefusedPosition, "position %d is not the next one, %d", req.First, have)
	}
	s.busy = true
	s.stop = stop
	return s, s.change, nil
}

// checkAssignment refuses a request for other weights than the engine holds.
func (e *Engine) checkAssignment(req forwardRequest) error {
	a, ref := e.assignment, req.Chain[0]
	switch {
	case e.loading || a.Role != upstream.RoleServe:
		return refuse(upstream.RefusedAssignment, "engine is not serving")
	case ref.Upstream != fleet.UpstreamID(e.id):
		return refuse(upstream.RefusedAssignment, "request is for engine %s", ref.Upstream)
	case a.Model != req.Model || a.Version != req.Version || a.Layers != ref.Layers:
		return refuse(upstream.RefusedAssignment, "engine holds %s %s layers %s, not %s %s layers %s",
			a.Model, a.Version, a.Layers, req.Model, req.Version, ref.Layers)
	case !holdsAdapter(a, req.Adapter):
		return refuse(upstream.RefusedAssignment, "engine does not hold adapter %s", req.Adapter)
	}
	return nil
}

// checkAttempt refuses an attempt that isn't the open one and begins a new one.
func (e *Engine) checkAttempt(s *session, req forwardRequest) error {
	if !req.Start {
		if req.Attempt != s.started || req.Attempt < s.attempt {
			return refuse(upstream.RefusedAttempt, "attempt %d is not open; attempt %d is", req.Attempt, s.started)
		}
		if s.busy {
			return refuse(upstream.RefusedPosition, "a position of attempt %d is running", req.Attempt)
		}
		return nil
	}
	if err := s.checkNew(req.Attempt); err != nil {
		return err
	}
	s.interrupt()
	s.attempt, s.started = req.Attempt, req.Attempt
	keep := req.Chain[0].Start * e.assignment.Layers.Len()
	s.kv = s.kv[:min(keep, len(s.kv))]
	return nil
}

// uncached returns the number of positions that take time: all but those in the prefix cache.
func (e *Engine) uncached(req forwardRequest) int {
	if req.First != 0 {
		return len(req.Tokens)
	}
	hashes := upstream.PrefixHashes(req.Model, req.Version, req.Adapter, req.Tokens)
	cached := e.cache.use(hashes) * upstream.PrefixBlock
	return max(1, len(req.Tokens)-cached)
}

// await waits for done and beats meanwhile, as long as the engine isn't stalled.
func (e *Engine) await(ctx context.Context, done <-chan struct{}, beat func()) bool {
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
				beat()
			}
		}
	}
}

// leave marks the session as not busy unless its work was replaced.
func (e *Engine) leave(s *session, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.change == change {
		s.busy = false
	}
}

// compute folds the positions into the KV digests and returns the activations.
func (e *Engine) compute(s *session, change int, req forwardRequest) ([]uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.change != change {
		return nil, refuse(upstream.RefusedAttempt, "session %s attempt %d was ended", req.Session, req.Attempt)
	}
	layers := e.assignment.Layers
	n := layers.Len()
	activations := make([]uint64, len(req.Activations))
	for i, activation := range req.Activations {
		var before []uint64
		if len(s.kv) > 0 {
			before = s.kv[len(s.kv)-n:]
		}
		after := make([]uint64, n)
		activations[i] = runLayers(layers, req.First+i, activation, before, after)
		s.kv = append(s.kv, after...)
	}
	e.positionsRun += len(activations)
	s.busy = false
	s.touched = time.Now()
	return activations, nil
}

// peers holds the HTTP callers to other stages.
type peers struct {
	client  *http.Client
	mu      sync.Mutex
	callers map[string]*httpcall.Caller
}

func (p *peers) caller(address string) *httpcall.Caller {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.callers[address]
	if c == nil {
		c = httpcall.New(address, p.client)
		p.callers[address] = c
	}
	return c
}

// forward calls the next stage, relays its heartbeats and names it when it fails.
func (p *peers) forward(ctx context.Context, req forwardRequest, beat func()) (forwardResult, error) {
	next := req.Chain[0]
	lost := func(err error) error {
		return &stageError{
			status:  http.StatusBadGateway,
			message: fmt.Sprintf("stage %s: %v", next.Upstream, err),
			failed:  next.Upstream,
		}
	}
	body, err := json.Marshal(req)
	if err != nil {
		return forwardResult{}, lost(err)
	}
	caller := p.caller(next.Address)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, caller.URL(PathForward), bytes.NewReader(body))
	if err != nil {
		return forwardResult{}, lost(err)
	}
	defer func() {
		if ctx.Err() != nil {
			// Other idle connections to the stage may have gone silent too.
			caller.CloseIdle()
		}
	}()
	resp, _, err := caller.Do(httpReq, false)
	if err != nil {
		return forwardResult{}, lost(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		var line forwardLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return forwardResult{}, lost(err)
		}
		switch {
		case line.Heartbeat:
			beat()
		case line.Result != nil:
			// Reading to the end lets the connection be used again.
			lines.Scan()
			return *line.Result, nil
		case line.Error != nil:
			failure := &stageError{status: http.StatusBadGateway, message: line.Error.Message, failed: line.Error.FailedStage, refusal: line.Error.Refusal}
			if failure.failed == "" {
				failure.failed = next.Upstream
			}
			return forwardResult{}, failure
		}
	}
	if err := lines.Err(); err != nil {
		return forwardResult{}, lost(err)
	}
	return forwardResult{}, lost(upstream.ErrNoFinal)
}
