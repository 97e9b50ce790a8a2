package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/internal/httpcall"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Values of EngineConfig.Fencing.
const (
	FencingEnforced = "enforced"
	FencingIgnored  = "ignored"
)

// EngineConfig describes an engine stand-in.
type EngineConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Assignment is the initial role and the model, version, layers and adapters loaded at start.
	Assignment upstream.Assignment `json:"assignment"`
	// Fencing is FencingEnforced or FencingIgnored. Default FencingEnforced.
	Fencing string `json:"fencing"`
	// Slots limits the sequences in one step. Default 8.
	Slots int `json:"slots"`
	// Sessions limits the concurrent generations with this engine as head of the chain;
	// further ones queue by rank. A chain of n stages needs n*Slots sessions to fill every
	// step. Default 4*Slots.
	Sessions int `json:"sessions"`
	// StepPerLayer is the duration of one step per layer. Default 1ms.
	StepPerLayer Duration `json:"step_per_layer"`
	// PrefillPerLayer is the additional time per layer for each position after the first
	// of a sequence in a step. Default StepPerLayer/16.
	PrefillPerLayer Duration `json:"prefill_per_layer"`
	// PrefillChunk limits the positions of one sequence in a step. Default 256.
	PrefillChunk int `json:"prefill_chunk"`
	// KVBytes is the size in bytes of the KV cache for one layer and position. Default 4096.
	KVBytes int `json:"kv_bytes"`
	// KVRate limits sending and receiving of KV caches, in bytes per second. Default 100 MB/s.
	KVRate float64 `json:"kv_rate"`
	// CacheBlocks limits the prefix cache, in blocks of upstream.PrefixBlock tokens. Default 256.
	CacheBlocks int `json:"cache_blocks"`
	// CacheEventLag is the delay before a cache event becomes visible to readers.
	CacheEventLag Duration `json:"cache_event_lag"`
	// CacheEventGap drops every n-th cache event; 0 drops none.
	CacheEventGap int `json:"cache_event_gap"`
	// StateLag is the maximum age of the reported state.
	StateLag Duration `json:"state_lag"`
	// LayerBytes is the number of bytes read from the weight store to load one layer.
	LayerBytes int64 `json:"layer_bytes"`
	// AdapterBytes is the number of bytes read from the weight store to load one adapter.
	AdapterBytes int64 `json:"adapter_bytes"`
	// WeightStore is the address of the weight store; if empty, loads complete at once.
	WeightStore string `json:"weight_store"`
	// SessionIdle is the time after which an unused session may be deleted. Default 30s.
	SessionIdle Duration `json:"session_idle"`
}

// withDefaults returns c with default values in place of zero ones.
func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Fencing, FencingEnforced)
	setDefault(&c.Slots, 8)
	setDefault(&c.Sessions, 4*c.Slots)
	setDefault(&c.StepPerLayer, Duration(time.Millisecond))
	setDefault(&c.PrefillPerLayer, c.StepPerLayer/16)
	setDefault(&c.PrefillChunk, 256)
	setDefault(&c.KVBytes, 4096)
	setDefault(&c.KVRate, 100e6)
	setDefault(&c.CacheBlocks, 256)
	setDefault(&c.SessionIdle, Duration(30*time.Second))
	return c
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is the stand-in of a model engine. It is an http.Handler.
type Engine struct {
	*faultable
	config    EngineConfig
	routes    *http.ServeMux
	peers     peerClient
	weights   *httpcall.Caller
	scheduler stepScheduler
	admission admissionQueue
	cache     prefixCache

	// The fields below are guarded by faultable.mu.
	assignment  upstream.Assignment
	loading     bool
	cancelLoad  context.CancelFunc
	epoch       uint64
	incarnation string
	sessions    map[string]*session
	reported    upstream.EngineState
	lastEvent   upstream.TokenEvent
	// positionsRun counts the positions run on this engine over all sessions.
	positionsRun int
	// kvAnswers counts the answers to KV exports and imports; Faults.SwapEvery selects by it.
	kvAnswers int
}

// session is the state of one generation on one stage.
type session struct {
	// minAttempt is the lowest attempt that may run. startedAttempt is the newest attempt
	// that has started here.
	minAttempt, startedAttempt int
	// kv holds one digest per position and layer, ordered by position.
	kv []uint64
	// revision is incremented when an import, a new attempt, a cancel, an order or a crash
	// invalidates the work in progress.
	revision   int
	busy       bool
	cancelWork context.CancelFunc
	lastUsed   time.Time
}

// NewEngine returns an engine stand-in. It calls other stages and the weight store
// with the client; nil means http.DefaultClient.
func NewEngine(config EngineConfig, client *http.Client) *Engine {
	config = config.withDefaults()
	e := &Engine{
		faultable:   newFaultable(config.ID),
		config:      config,
		peers:       peerClient{client: client, callers: map[string]*httpcall.Caller{}},
		assignment:  config.Assignment,
		incarnation: uuid.NewString(),
		sessions:    map[string]*session{},
		admission:   admissionQueue{limit: config.Sessions},
		cache:       prefixCache{limit: config.CacheBlocks, eventGap: config.CacheEventGap},
	}
	if config.WeightStore != "" {
		e.weights = httpcall.New(config.WeightStore, client)
	}
	e.onCrash = append(e.onCrash, e.loseState)
	e.routes = e.handlers()
	return e
}

// ServeHTTP serves the engine protocol and PathFaults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.serve(w, r, e.routes) }

// PositionsRun returns the number of positions run on this engine, including repeated ones.
func (e *Engine) PositionsRun() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.positionsRun
}

// loseState discards the state that a process loses in a crash. The assignment stays,
// and its weights count as loaded again at once.
func (e *Engine) loseState() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		s.interrupt()
	}
	e.sessions = map[string]*session{}
	e.incarnation = uuid.NewString()
	e.reported = upstream.EngineState{}
	e.cache.clear()
}

// checkNewAttempt returns a refusal if the attempt has already started, was cancelled,
// or is lower than one that has started. A nil session accepts every attempt.
func (s *session) checkNewAttempt(attempt int) error {
	if s != nil && (attempt <= s.startedAttempt || attempt < s.minAttempt) {
		return newRefusal(upstream.RefusedAttempt, "attempt %d is not higher than %d", attempt, max(s.startedAttempt, s.minAttempt-1))
	}
	return nil
}

// interrupt cancels the session's work in progress.
func (s *session) interrupt() {
	if s.cancelWork != nil {
		s.cancelWork()
	}
	s.revision++
	s.busy = false
}

// stageError is a refusal or a failure of a stage, reported in an upstream.ErrorBody.
type stageError struct {
	status  int
	message string
	// failedStage is the stage that failed; empty means the stage that reports the error.
	failedStage fleet.UpstreamID
	refusal     upstream.RefusalReason
}

// Error returns the message.
func (e *stageError) Error() string { return e.message }

// newRefusal returns the error for a request that this stage did not run.
func newRefusal(reason upstream.RefusalReason, format string, args ...any) *stageError {
	return &stageError{status: http.StatusConflict, message: fmt.Sprintf(format, args...), refusal: reason}
}

// reportedState returns the engine state, at most EngineConfig.StateLag old.
func (e *Engine) reportedState() upstream.EngineState {
	running, waiting := e.admission.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.reported.Upstream != "" && now.Sub(e.reported.ReportedAt) < time.Duration(e.config.StateLag) {
		return e.reported
	}
	e.reported = upstream.EngineState{
		Upstream:    fleet.UpstreamID(e.id),
		Assignment:  e.assignment,
		Loading:     e.loading,
		Epoch:       e.epoch,
		Leaving:     e.faults.Leaving,
		Running:     running,
		Waiting:     waiting,
		Slots:       e.config.Slots,
		Incarnation: e.incarnation,
		ReportedAt:  now,
	}
	return e.reported
}

// applyOrder sets the wanted assignment and loads missing weights in the background. It
// drops all sessions when the assignment changes. With fencing enforced, it refuses an
// order whose epoch is lower than the highest one seen.
func (e *Engine) applyOrder(o upstream.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing == FencingEnforced && o.Epoch < e.epoch {
		return newRefusal(upstream.RefusedOrder, "epoch %d is older than %d", o.Epoch, e.epoch)
	}
	e.epoch = max(e.epoch, o.Epoch)
	if sameAssignment(e.assignment, o.Wanted) {
		return nil
	}
	loadBytes := e.loadSize(e.assignment, o.Wanted)
	if e.cancelLoad != nil {
		e.cancelLoad()
	}
	ctx, cancel := context.WithCancel(e.runCtx)
	e.cancelLoad = cancel
	e.assignment = o.Wanted
	e.loading = true
	for _, s := range e.sessions {
		s.interrupt()
	}
	e.sessions = map[string]*session{}
	go e.load(ctx, loadBytes)
	return nil
}

// loadSize returns the bytes to load for the wanted assignment, given the held one.
// Nothing is reused while a load is in progress. Callers hold e.mu.
func (e *Engine) loadSize(held, wanted upstream.Assignment) int64 {
	keptLayers := 0
	sameWeights := held.Model == wanted.Model && held.Version == wanted.Version && !e.loading
	if sameWeights {
		keptLayers = max(0, min(held.Layers.End, wanted.Layers.End)-max(held.Layers.First, wanted.Layers.First))
	}
	adapters := 0
	for _, a := range wanted.Adapters {
		if !sameWeights || !slices.Contains(held.Adapters, a) {
			adapters++
		}
	}
	return int64(wanted.Layers.Len()-keptLayers)*e.config.LayerBytes + int64(adapters)*e.config.AdapterBytes
}

// sameAssignment reports whether a and b are equal.
func sameAssignment(a, b upstream.Assignment) bool {
	return a.Role == b.Role && a.Model == b.Model && a.Version == b.Version &&
		a.Layers == b.Layers && slices.Equal(a.Adapters, b.Adapters)
}

// progress returns the lowest attempt that may run and the next position of a session. Both
// are 0 if it is unknown.
func (e *Engine) progress(id string) (upstream.SessionProgress, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[id]
	if s == nil {
		return upstream.SessionProgress{Session: id}, nil
	}
	return upstream.SessionProgress{Session: id, Attempt: s.minAttempt, NextPosition: e.positions(s)}, nil
}

// positions returns the number of positions in the session's KV cache. Callers hold e.mu.
func (e *Engine) positions(s *session) int {
	if n := e.assignment.Layers.Len(); n > 0 {
		return len(s.kv) / n
	}
	return 0
}

// cancel ends all attempts up to the given one. The session is kept so that delayed
// calls of those attempts are refused.
func (e *Engine) cancel(id string, attempt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.session(id)
	if attempt < s.minAttempt {
		return
	}
	s.interrupt()
	s.minAttempt = attempt + 1
	s.kv = nil
}

// session returns the session with the given ID. If there is none, it deletes idle
// sessions and creates one. Callers hold e.mu.
func (e *Engine) session(id string) *session {
	now := time.Now()
	s := e.sessions[id]
	if s == nil {
		for other, o := range e.sessions {
			if !o.busy && now.Sub(o.lastUsed) > time.Duration(e.config.SessionIdle) {
				delete(e.sessions, other)
			}
		}
		s = &session{}
		e.sessions[id] = s
	}
	s.lastUsed = now
	return s
}
