// Package explain keeps traces of a bounded number of recent requests: what the
// router did with each request and why.
package explain

import (
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Limits of a Store and of a single trace.
const (
	// DefaultCapacity is the number of traces that a VM keeps. At 11 requests/s on each
	// VM (35,000 requests/s over 3,200 VMs) it covers six minutes and takes about 4 MB.
	DefaultCapacity = 4096
	// maxSteps bounds the steps of a trace, which could otherwise grow without limit
	// for a request with many retries.
	maxSteps = 64
)

// Step is one decision or observation about a request.
type Step struct {
	// At is the time since the request arrived.
	At time.Duration `json:"at_ns"`
	// What is the name of the step, for example "admitted", "attempt" or "refused".
	What string `json:"what"`
	// Upstream is the upstream concerned, if any.
	Upstream fleet.UpstreamID `json:"upstream,omitempty"`
	Detail   string           `json:"detail,omitempty"`
}

// Trace is the record of one request on this VM.
type Trace struct {
	Request fleet.RequestID `json:"request"`
	Team    fleet.TeamID    `json:"team"`
	Rank    string          `json:"rank"`
	VM      fleet.VMID      `json:"vm"`
	Target  string          `json:"target"`
	Arrived time.Time       `json:"arrived"`
	Steps   []Step          `json:"steps"`
	// Code is the result code of the final response, 0 for success.
	Code int `json:"code"`
	// Outcome is "ran", "not_run" or "outcome_unknown"; empty while the request is in flight.
	Outcome string `json:"outcome,omitempty"`
}

// Store keeps the traces of the most recent requests. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	byID   map[fleet.RequestID]*Trace
	recent []fleet.RequestID
	next   int
}

// NewStore returns a store that keeps capacity traces.
func NewStore(capacity int) *Store {
	return &Store{byID: make(map[fleet.RequestID]*Trace, capacity), recent: make([]fleet.RequestID, capacity)}
}

// Begin adds a trace and returns its Recorder. A full store drops its oldest trace.
func (s *Store) Begin(t Trace) *Recorder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.recent[s.next]; old != "" {
		delete(s.byID, old)
	}
	s.recent[s.next] = t.Request
	s.next = (s.next + 1) % len(s.recent)
	trace := &t
	s.byID[t.Request] = trace
	return &Recorder{store: s, trace: trace}
}

// Get returns a copy of the trace of a request and whether the store has it.
func (s *Store) Get(id fleet.RequestID) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.byID[id]
	if !ok {
		return Trace{}, false
	}
	c := *t
	c.Steps = append([]Step(nil), t.Steps...)
	return c, true
}

// Recorder adds steps to one trace.
type Recorder struct {
	store *Store
	trace *Trace
}

// Add appends a step, unless the trace already has maxSteps.
func (r *Recorder) Add(now time.Time, what string, upstream fleet.UpstreamID, detail string) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if len(r.trace.Steps) >= maxSteps {
		return
	}
	step := Step{At: now.Sub(r.trace.Arrived), What: what, Upstream: upstream, Detail: detail}
	r.trace.Steps = append(r.trace.Steps, step)
}

// End adds a final step and sets the code and the outcome of the trace.
func (r *Recorder) End(now time.Time, code int, outcome, detail string) {
	r.Add(now, "end", "", detail)
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.trace.Code = code
	r.trace.Outcome = outcome
}
