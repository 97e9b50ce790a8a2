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
	// Assignment is what the engine holds at start.
	Assignment upstream.Assignment `json:"assignment"`
	// Fencing is "enforced" or "ignored"; empty counts as enforced.
	Fencing string `json:"fencing"`
	// Slots limits the sequences in one step. Default 8.
	Slots int `json:"slots"`
	// Sessions limits the generations that run with this engine as head; more wait
	// by rank. A chain of n stages needs n times Slots to fill every step. Default 4 times Slots.
	Sessions int `json:"sessions"`
	// StepPerLayer is the time of one step for each layer. Default 1ms.
	StepPerLayer Duration `json:"step_per_layer"`
	// PrefillPerLayer is the additional time for each layer and each further position of a sequence in a step. Default StepPerLayer/16.
	PrefillPerLayer Duration `json:"prefill_per_layer"`
	// PrefillChunk limits the positions of one sequence in a step. Default 256.
	PrefillChunk int `json:"prefill_chunk"`
	// KVBytes is the size of the KV cache of one layer and position. Default 4096.
	KVBytes int `json:"kv_bytes"`
	// KVRate paces both sides of a KV transfer, in bytes per second. Default 100 MB/s.
	KVRate float64 `json:"kv_rate"`
	// CacheBlocks limits the prefix cache, in blocks of upstream.PrefixBlock tokens. Default 256.
	CacheBlocks int `json:"cache_blocks"`
	// CacheEventLag is the time until a cache event shows.
	CacheEventLag Duration `json:"cache_event_lag"`
	// CacheEventGap loses every n-th cache event; 0 loses none.
	CacheEventGap int `json:"cache_event_gap"`
	// StateLag is the longest age of the reported state.
	StateLag Duration `json:"state_lag"`
	// LayerBytes and AdapterBytes are the sizes that a load takes from the weight store.
	LayerBytes   int64 `json:"layer_bytes"`
	AdapterBytes int64 `json:"adapter_bytes"`
	// WeightStore is the address of the weight store; without it loads take no time.
	WeightStore string `json:"weight_store"`
	// SessionIdle is the time after which an untouched session is forgotten. Default 30s.
	SessionIdle Duration `json:"session_idle"`
}

// withDefaults fills the fields that are zero.
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

// setDefault gives *field the value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine is the stand-in of a model engine. It is an http.Handler.
type Engine struct {
	*part
	config  EngineConfig
	routes  *http.ServeMux
	peers   peers
	weights *httpcall.Caller
	batch   batch
	seats   seats
	cache   prefixCache

	// Guarded by part.mu.
	assignment  upstream.Assignment
	loading     bool
	stopLoading context.CancelFunc
	epoch       uint64
	incarnation string
	sessions    map[string]*session
	reported    upstream.EngineState
	lastEvent   upstream.TokenEvent
	// positionsRun counts positions that ran here, for all sessions.
	positionsRun int
	// transfers counts the answers to KV calls, for the fault that crosses them.
	transfers int
}

// session is what a stage holds of one generation.
type session struct {
	// attempt is the lowest attempt that may run; started is the one that runs.
	attempt, started int
	// kv holds one digest for each position and layer, by position.
	kv []uint64
	// change counts replacements of kv by an import, a new attempt or a cancel.
	change  int
	busy    bool
	stop    context.CancelFunc
	touched time.Time
}

// NewEngine returns an engine stand-in. The client reaches other stages and the
// weight store; nil means http.DefaultClient.
func NewEngine(config EngineConfig, client *http.Client) *Engine {
	config = config.withDefaults()
	e := &Engine{
		part:        newPart(config.ID),
		config:      config,
		peers:       peers{client: client, callers: map[string]*httpcall.Caller{}},
		assignment:  config.Assignment,
		incarnation: uuid.NewString(),
		sessions:    map[string]*session{},
		seats:       seats{limit: config.Sessions},
		cache:       prefixCache{limit: config.CacheBlocks, gap: config.CacheEventGap},
	}
	if config.WeightStore != "" {
		e.weights = httpcall.New(config.WeightStore, client)
	}
	e.onCrash = append(e.onCrash, e.loseState)
	e.routes = e.handlers()
	return e
}

// ServeHTTP serves the engine protocol and the fault calls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.serve(w, r, e.routes) }

// PositionsRun returns how many positions ran on this engine, repeated ones included.
func (e *Engine) PositionsRun() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.positionsRun
}

// loseState forgets what a crashed process loses. Its weights are loaded again at once.
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

// checkNew refuses an attempt that has started or was passed by a higher one.
func (s *session) checkNew(attempt int) error {
	if s != nil && (attempt <= s.started || attempt < s.attempt) {
		return refuse(upstream.RefusedAttempt, "attempt %d is not higher than %d", attempt, max(s.started, s.attempt-1))
	}
	return nil
}

// interrupt stops the session's work in flight.
func (s *session) interrupt() {
	if s.stop != nil {
		s.stop()
	}
	s.change++
	s.busy = false
}

// stageError is a refusal or failure of a stage.
type stageError struct {
	status  int
	message string
	// failed names the stage that failed when it isn't the one that reports.
	failed  fleet.UpstreamID
	refusal upstream.Refusal
}

// Error returns the message.
func (e *stageError) Error() string { return e.message }

// refuse returns the error of a request that did not run here.
func refuse(reason upstream.Refusal, format string, args ...any) *stageError {
	return &stageError{status: http.StatusConflict, message: fmt.Sprintf(format, args...), refusal: reason}
}

// state returns the report, which may be as old as the configured lag.
func (e *Engine) state() upstream.EngineState {
	running, waiting := e.seats.count()
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

// order accepts an absolute order and loads what is missing in the background.
func (e *Engine) order(o upstream.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing == FencingEnforced && o.Epoch < e.epoch {
		return refuse(upstream.RefusedOrder, "epoch %d is older than %d", o.Epoch, e.epoch)
	}
	e.epoch = max(e.epoch, o.Epoch)
	if sameAssignment(e.assignment, o.Wanted) {
		return nil
	}
	bytes := e.loadSize(e.assignment, o.Wanted)
	if e.stopLoading != nil {
		e.stopLoading()
	}
	ctx, cancel := context.WithCancel(e.life)
	e.stopLoading = cancel
	e.assignment = o.Wanted
	e.loading = true
	for _, s := range e.sessions {
		s.interrupt()
	}
	e.sessions = map[string]*session{}
	go e.load(ctx, bytes)
	return nil
}

// loadSize returns the bytes that the wanted assignment needs beyond the held one.
func (e *Engine) loadSize(held, wanted upstream.Assignment) int64 {
	kept := 0
	same := held.Model == wanted.Model && held.Version == wanted.Version && !e.loading
	if same {
		kept = max(0, min(held.Layers.End, wanted.Layers.End)-max(held.Layers.First, wanted.Layers.First))
	}
	adapters := 0
	for _, a := range wanted.Adapters {
		if !same || !slices.Contains(held.Adapters, a) {
			adapters++
		}
	}
	return int64(wanted.Layers.Len()-kept)*e.config.LayerBytes + int64(adapters)*e.config.AdapterBytes
}

// sameAssignment compares two assignments.
func sameAssignment(a, b upstream.Assignment) bool {
	return a.Role == b.Role && a.Model == b.Model && a.Version == b.Version &&
		a.Layers == b.Layers && slices.Equal(a.Adapters, b.Adapters)
}

// progress returns what the stage knows of a session.
func (e *Engine) progress(id string) (upstream.SessionProgress, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sessions[id]
	if s == nil {
		return upstream.SessionProgress{Session: id}, nil
	}
	return upstream.SessionProgress{Session: id, Attempt: s.attempt, NextPosition: e.positions(s)}, nil
}

// positions returns the number of positions in the session's KV cache.
func (e *Engine) positions(s *session) int {
	if n := e.assignment.Layers.Len(); n > 0 {
		return len(s.kv) / n
	}
	return 0
}

// cancel ends the attempts up to the given one. The session stays known, so that
// late calls of those attempts are refused.
func (e *Engine) cancel(id string, attempt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.session(id)
	if attempt < s.attempt {
		return
	}
	s.interrupt()
	s.attempt = attempt + 1
	s.kv = nil
}

// session returns the session, a new one if it is unknown, and forgets idle ones.
func (e *Engine) session(id string) *session {
	now := time.Now()
	s := e.sessions[id]
	if s == nil {
		for other, o := range e.sessions {
			if !o.busy && now.Sub(o.touched) > time.Duration(e.config.SessionIdle) {
				delete(e.sessions, other)
			}
		}
		s = &session{}
		e.sessions[id] = s
	}
	s.touched = now
	return s
}
