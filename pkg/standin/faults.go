package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// PathFaults is where each stand-in takes its faults. A POST replaces the whole set.
const PathFaults = "/faults"

// Values of Faults.Stall.
const (
	// StallCompute stops the running of layers; calls about sessions still answer.
	StallCompute = "compute"
	// StallAll stops every answer; connections stay open.
	StallAll = "all"
)

// Faults is what is wrong with a stand-in. The zero value is a healthy one.
// Fields that a kind of stand-in has no use for are ignored.
type Faults struct {
	// Crashed drops all connections, refuses new ones and loses the KV caches.
	Crashed bool `json:"crashed,omitempty"`
	// CrashOnToken crashes the engine when it is given this prompt token.
	CrashOnToken *fleet.Token `json:"crash_on_token,omitempty"`
	// CrashAtPosition crashes the engine when it is about to run this position.
	CrashAtPosition *int `json:"crash_at_position,omitempty"`
	// Stall is empty, StallCompute or StallAll.
	Stall string `json:"stall,omitempty"`
	// StallAtPosition sets StallCompute when the engine is about to run this position.
	StallAtPosition *int `json:"stall_at_position,omitempty"`
	// Slow multiplies the time of each step or answer; 0 counts as 1.
	Slow float64 `json:"slow,omitempty"`
	// SilenceConnections makes the connections that are open now go quiet for good.
	SilenceConnections bool `json:"silence_connections,omitempty"`
	// Late delays each answer or stream event after its effect.
	Late Duration `json:"late,omitempty"`
	// DoubleEvery sends every n-th stream event twice.
	DoubleEvery int `json:"double_every,omitempty"`
	// CrossEvery replaces every n-th answer or event by one of another request.
	CrossEvery int `json:"cross_every,omitempty"`
	// Empty answers with success and no content.
	Empty bool `json:"empty,omitempty"`
	// CutAfter breaks each stream after this many events, or an answer in its middle when above 0.
	CutAfter int `json:"cut_after,omitempty"`
	// LoseAnswers runs each call and then drops the connection.
	LoseAnswers bool `json:"lose_answers,omitempty"`
	// Outage refuses each call with status 503 before any effect.
	Outage bool `json:"outage,omitempty"`
	// Leaving announces a planned stop in the engine's state.
	Leaving bool `json:"leaving,omitempty"`
}

// part is what all stand-ins share: the fault set, crash and stall.
type part struct {
	id string

	mu      sync.Mutex
	faults  Faults
	life    context.Context
	endLife context.CancelFunc
	// changed is closed and replaced at each change of the faults.
	changed chan struct{}
	// hooks run without the lock when the part crashes, comes back or silences connections.
	onCrash, onRestore, onSilence []func()
}

func newPart(id string) *part {
	p := &part{id: id, changed: make(chan struct{})}
	p.life, p.endLife = context.WithCancel(context.Background())
	return p
}

// ID returns the stand-in's name in the configuration.
func (p *part) ID() string { return p.id }

// Faults returns the current faults.
func (p *part) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *part) SetFaults(f Faults) {
	p.mu.Lock()
	was := p.faults.Crashed
	silence := f.SilenceConnections
	f.SilenceConnections = false
	p.faults = f
	close(p.changed)
	p.changed = make(chan struct{})
	var hooks []func()
	switch {
	case f.Crashed && !was:
		p.endLife()
		hooks = append(hooks, p.onCrash...)
	case was && !f.Crashed:
		p.life, p.endLife = context.WithCancel(context.Background())
		hooks = append(hooks, p.onRestore...)
	}
	if silence {
		hooks = append(hooks, p.onSilence...)
	}
	p.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}

// crash sets the crash fault and keeps the others.
func (p *part) crash() {
	f := p.Faults()
	f.Crashed = true
	p.SetFaults(f)
}

// lifetime returns a context that ends when the part crashes.
func (p *part) lifetime() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// awaitRunning blocks while the part is stalled in one of the given ways.
func (p *part) awaitRunning(ctx context.Context, stalls ...string) error {
	for {
		p.mu.Lock()
		stalled := false
		for _, stall := range stalls {
			stalled = stalled || p.faults.Stall == stall
		}
		changed := p.changed
		p.mu.Unlock()
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

// slow returns the factor by which everything takes longer.
func (p *part) slow() float64 {
	if f := p.Faults().Slow; f > 0 {
		return f
	}
	return 1
}

// serve answers the fault calls itself, applies crash and full stall, and hands
// the rest to the handler. A request in flight when the part crashes is dropped.
func (p *part) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	if r.URL.Path == PathFaults {
		p.serveFaults(w, r)
		return
	}
	life := p.lifetime()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	switch {
	case p.awaitRunning(ctx, StallAll) != nil:
	case p.Faults().Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	default:
		handler.ServeHTTP(w, r.WithContext(ctx))
	}
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// serveFaults shows the faults, or replaces them on POST.
func (p *part) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, p.Faults())
}

// writeJSON sends a JSON answer.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
