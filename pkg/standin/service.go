package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// PathRuns is the path on which a service stand-in returns its Runs.
const PathRuns = "/runs"

// maxServiceBody is the maximum number of bytes read of a request body.
const maxServiceBody = 1 << 20

// ServiceConfig describes the stand-in of one server of a plain service.
type ServiceConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Work is the duration of a call.
	Work Duration `json:"work"`
	// Slots limits the concurrent calls; further ones get status 429. 0 means no limit.
	Slots int `json:"slots"`
}

// Runs counts the executed calls by idempotency key and by request ID.
type Runs struct {
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
}

// Service is the stand-in of one server of a plain service. Every path except PathRuns
// and PathFaults is a call. Calls run without deduplication, so that Runs shows repetitions.
type Service struct {
	*faultable
	config ServiceConfig

	// runsMu guards the fields below.
	runsMu     sync.Mutex
	runs       Runs
	busy       int
	calls      int
	lastAnswer serviceAnswer
}

// serviceAnswer is the answer to a call.
type serviceAnswer struct {
	requestID string
	Server    string          `json:"server"`
	Path      string          `json:"path"`
	Key       string          `json:"key,omitempty"`
	Run       int             `json:"run"`
	Echo      json.RawMessage `json:"echo,omitempty"`
}

// NewService returns a service stand-in.
func NewService(config ServiceConfig) *Service {
	return &Service{
		faultable: newFaultable(config.ID),
		config:    config,
		runs:      Runs{ByKey: map[string]int{}, ByRequest: map[string]int{}},
	}
}

// ServeHTTP serves calls, PathRuns and PathFaults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathRuns {
		writeJSON(w, http.StatusOK, s.Runs())
		return
	}
	s.serve(w, r, http.HandlerFunc(s.serveCall))
}

// Runs returns a copy of the counts, which survive crashes.
func (s *Service) Runs() Runs {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	return Runs{ByKey: maps.Clone(s.runs.ByKey), ByRequest: maps.Clone(s.runs.ByRequest)}
}

// serveCall runs one call and answers it, subject to the faults.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if f.Broken != nil {
		own, _ := s.recordRun(r, nil)
		w.Header().Set(upstream.HeaderRequestID, own.requestID)
		f.Broken.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBody))
	if err != nil {
		return
	}
	if f.CrashOnText != "" && bytes.Contains(body, []byte(f.CrashOnText)) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if !s.acquireSlot() {
		http.Error(w, "all slots are taken", http.StatusTooManyRequests)
		return
	}
	defer s.releaseSlot()
	work := time.Duration(float64(s.config.Work) * s.slowFactor())
	if sleep(r.Context(), work) != nil || s.awaitRunning(r.Context(), StallCompute) != nil {
		return
	}
	own, previous := s.recordRun(r, body)
	if sleep(r.Context(), time.Duration(f.AnswerDelay)) != nil {
		return
	}
	s.writeCallAnswer(w, f, own, previous)
}

// writeCallAnswer sends the answer of a call, altered or dropped by the faults.
func (s *Service) writeCallAnswer(w http.ResponseWriter, f Faults, own, previous serviceAnswer) {
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if f.Empty {
		w.WriteHeader(http.StatusOK)
		return
	}
	if f.SwapEvery > 0 && s.callCount()%f.SwapEvery == 0 {
		own = previous
	}
	w.Header().Set(upstream.HeaderRequestID, own.requestID)
	if f.CutAfter > 0 {
		w.Header().Set("Content-Length", "1000")
		_, _ = fmt.Fprint(w, `{"server":`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, own)
}

// acquireSlot reserves a slot and reports whether one was free.
func (s *Service) acquireSlot() bool {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	if s.config.Slots > 0 && s.busy >= s.config.Slots {
		return false
	}
	s.busy++
	return true
}

func (s *Service) releaseSlot() {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	s.busy--
}

func (s *Service) callCount() int {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	return s.calls
}

// recordRun counts the call by key and by request. It returns the answer and the answer
// of the previous call.
func (s *Service) recordRun(r *http.Request, body []byte) (own, previous serviceAnswer) {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	request, key := r.Header.Get(upstream.HeaderRequestID), r.Header.Get(upstream.HeaderIdempotencyKey)
	s.calls++
	s.runs.ByRequest[request]++
	run := s.runs.ByRequest[request]
	if key != "" {
		s.runs.ByKey[key]++
		run = s.runs.ByKey[key]
	}
	own = serviceAnswer{requestID: request, Server: s.id, Path: r.URL.Path, Key: key, Run: run}
	if json.Valid(body) {
		own.Echo = body
	}
	previous, s.lastAnswer = s.lastAnswer, own
	return own, previous
}
