package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// PathFaults is the path of the faults of each stand-in. GET returns them, POST replaces
// the whole set.
const PathFaults = "/faults"

// Values of Faults.Stall.
const (
	// StallCompute blocks running layers and service and log calls; other calls are
	// still answered.
	StallCompute = "compute"
	// StallAll blocks every call except those to PathFaults; connections stay open.
	StallAll = "all"
)

// Faults is the set of faults injected into a stand-in; the zero value injects none.
// Fields that do not apply to a kind of stand-in are ignored.
type Faults struct {
	// Crashed closes all connections, refuses new ones and discards the KV caches.
	Crashed bool `json:"crashed,omitempty"`
	// CrashOnToken crashes the engine when it is about to run this token.
	CrashOnToken *fleet.Token `json:"crash_on_token,omitempty"`
	// CrashOnText crashes the service when it is about to run a call whose body holds this text.
	CrashOnText string `json:"crash_on_text,omitempty"`
	// CrashAtPosition crashes the engine when it is about to run this position.
	CrashAtPosition *int `json:"crash_at_position,omitempty"`
	// Stall is empty, StallCompute or StallAll.
	Stall string `json:"stall,omitempty"`
	// StallAtPosition sets StallCompute when the engine is about to run this position.
	StallAtPosition *int `json:"stall_at_position,omitempty"`
	// SlowFactor multiplies the duration of each step or answer; 0 means 1.
	SlowFactor float64 `json:"slow,omitempty"`
	// SilenceConnections makes the currently open connections silent for good. It applies
	// once and reads as false afterwards.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// AnswerDelay delays each answer or stream event after the call took effect.
	AnswerDelay Duration `json:"late,omitempty"`
	// DuplicateEvery sends every n-th stream event twice.
	DuplicateEvery int `json:"double_every,omitempty"`
	// SwapEvery replaces every n-th answer or event by one of another request.
	SwapEvery int `json:"cross_every,omitempty"`
	// Empty answers with success and no content.
	Empty bool `json:"empty,omitempty"`
	// CutAfter breaks each stream after this many events. Any value above 0 breaks a service
	// answer before its end.
	CutAfter int `json:"cut_after,omitempty"`
	// LoseAnswers runs each call and then closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Outage refuses each call with status 503 before it takes effect.
	Outage bool `json:"outage,omitempty"`
	// Broken is sent instead of each answer of a service, after the call ran.
	Broken *BrokenAnswer `json:"broken,omitempty"`
	// Leaving announces a planned shutdown in the engine's state.
	Leaving bool `json:"leaving,omitempty"`
}

// faultable is embedded in all stand-ins: it holds the fault set and applies crashes,
// stalls and outages.
type faultable struct {
	id string

	mu     sync.Mutex
	faults Faults
	// runCtx ends when the stand-in crashes and is replaced when it is restored.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// changed is closed and replaced whenever the faults change.
	changed chan struct{}
	// onCrash, onRestore and onSilence are called without holding mu when the stand-in
	// crashes, is restored from a crash, or silences its connections.
	onCrash, onRestore, onSilence []func()
}

func newFaultable(id string) *faultable {
	s := &faultable{id: id, changed: make(chan struct{})}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	return s
}

// ID returns the ID of the stand-in in the configuration.
func (s *faultable) ID() string { return s.id }

// Faults returns the current faults.
func (s *faultable) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults and crashes, restores or silences the stand-in accordingly.
func (s *faultable) SetFaults(f Faults) {
	s.mu.Lock()
	wasCrashed := s.faults.Crashed
	silence := f.SilenceConnections
	f.SilenceConnections = false
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
	var hooks []func()
	switch {
	case f.Crashed && !wasCrashed:
		s.cancelRun()
		hooks = append(hooks, s.onCrash...)
	case wasCrashed && !f.Crashed:
		s.runCtx, s.cancelRun = context.WithCancel(context.Background())
		hooks = append(hooks, s.onRestore...)
	}
	if silence {
		hooks = append(hooks, s.onSilence...)
	}
	s.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// crash sets Faults.Crashed and keeps the other faults.
func (s *faultable) crash() {
	f := s.Faults()
	f.Crashed = true
	s.SetFaults(f)
}

// runContext returns a context that is cancelled when the stand-in crashes.
func (s *faultable) runContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCtx
}

// awaitRunning blocks while Faults.Stall has one of the given values. It returns the error
// of ctx.
func (s *faultable) awaitRunning(ctx context.Context, stalls ...string) error {
	for {
		s.mu.Lock()
		stalled := false
		for _, stall := range stalls {
			stalled = stalled || s.faults.Stall == stall
		}
		changed := s.changed
		s.mu.Unlock()
		if !stalled {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// slowFactor returns Faults.SlowFactor, or 1 if it is unset.
func (s *faultable) slowFactor() float64 {
	if f := s.Faults().SlowFactor; f > 0 {
		return f
	}
	return 1
}

// serve answers calls to PathFaults itself, applies StallAll and Outage, and passes other
// calls to the handler. Requests in flight during a crash get no answer.
func (s *faultable) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	if r.URL.Path == PathFaults {
		s.serveFaults(w, r)
		return
	}
	runCtx := s.runContext()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(runCtx, cancel)()
	switch {
	case s.awaitRunning(ctx, StallAll) != nil:
	case s.Faults().Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	default:
		handler.ServeHTTP(w, r.WithContext(ctx))
	}
	if runCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveFaults returns the faults, after replacing them on POST.
func (s *faultable) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, s.Faults())
}

// writeJSON answers with the status and a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
