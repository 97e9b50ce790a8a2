package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// PathRuns is where a service stand-in shows how often each key and request ran.
const PathRuns = "/runs"

// maxServiceBody is the longest request body that a service reads, in bytes.
const maxServiceBody = 1 << 20

// ServiceConfig describes one server of a plain service.
type ServiceConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Work is the time that a call takes.
	Work Duration `json:"work"`
	// Slots limits the calls at work; more are refused with status 429. 0 means no limit.
	Slots int `json:"slots"`
}

// Runs counts how often a server ran calls.
type Runs struct {
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
}

// Service is the stand-in of one server of a plain service. Each path but the
// stand-in's own is a call, which is run without any check for repetition.
type Service struct {
	*part
	config ServiceConfig

	// runsMu guards the fields below.
	runsMu sync.Mutex
	runs   Runs
	busy   int
	calls  int
	last   serviceAnswer
}

// serviceAnswer is what a service answers to a call.
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
		part:   newPart(config.ID),
		config: config,
		runs:   Runs{ByKey: map[string]int{}, ByRequest: map[string]int{}},
	}
}

// ServeHTTP serves calls, the counts at PathRuns and the fault calls.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathRuns {
		writeJSON(w, http.StatusOK, s.Runs())
		return
	}
	s.serve(w, r, http.HandlerFunc(s.call))
}

// Runs returns a copy of the counts. They survive crashes.
func (s *Service) Runs() Runs {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	return Runs{ByKey: maps.Clone(s.runs.ByKey), ByRequest: maps.Clone(s.runs.ByRequest)}
}

// call runs one call and answers as the faults allow.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxServiceBody))
	if err != nil {
		return
	}
	if !s.enter() {
		http.Error(w, "all slots are taken", http.StatusTooManyRequests)
		return
	}
	defer s.leave()
	work := time.Duration(float64(s.config.Work) * s.slow())
	if sleep(r.Context(), work) != nil || s.awaitRunning(r.Context(), StallCompute) != nil {
		return
	}
	own, previous := s.run(r, body)
	if sleep(r.Context(), time.Duration(f.Late)) != nil {
		return
	}
	s.answer(w, f, own, previous)
}

// answer sends the answer of the call, or what a fault makes of it.
func (s *Service) answer(w http.ResponseWriter, f Faults, own, previous serviceAnswer) {
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	if f.Empty {
		w.WriteHeader(http.StatusOK)
		return
	}
	if f.CrossEvery > 0 && s.count()%f.CrossEvery == 0 {
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

func (s *Service) enter() bool {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	if s.config.Slots > 0 && s.busy >= s.config.Slots {
		return false
	}
	s.busy++
	return true
}

func (s *Service) leave() {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	s.busy--
}

func (s *Service) count() int {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	return s.calls
}

// run takes the effect of the call: it counts the key and the request. It
// returns the answer and that of the call before.
func (s *Service) run(r *http.Request, body []byte) (own, previous serviceAnswer) {
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
	previous, s.last = s.last, own
	return own, previous
}
