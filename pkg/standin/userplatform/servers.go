package userplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runs counts what servers ran, by request id.
type Runs struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{runs: map[string]int{}} }

func (r *Runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// Of returns the number of runs of a request.
func (r *Runs) Of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Plain is a stand-in of a server of a plain service.
type Plain struct {
	ID   string
	Runs *Runs
	// Arrived is called with the id of each request that reaches the server, Probed for
	// each question for its health; they may be nil.
	Arrived func(id string)
	Probed  func()
	mu      sync.Mutex
	// fault is how the next requests end: "", "shed", "reset", "error", "refuse" (503
	// without the promise that the request did not run), "extra" (a second answer, of
	// another request, follows the own one).
	fault string
	Notice
}

// Notice is what a server says of itself in its answers.
type Notice struct {
	mu      sync.Mutex
	leaving bool
	// pause is the Retry-After of refusals, empty for none.
	pause string
}

// SetLeaving makes the server say in all answers that it is about to end, or no longer does.
func (n *Notice) SetLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
}

// SetPause sets the Retry-After of refusals.
func (n *Notice) SetPause(pause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause = pause
}

// say sets the headers of an answer.
func (n *Notice) say(w http.ResponseWriter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// refuse answers that a request did not run, with the pause if one is set.
func (n *Notice) refuse(w http.ResponseWriter) {
	n.mu.Lock()
	pause := n.pause
	n.mu.Unlock()
	if pause != "" {
		w.Header().Set("Retry-After", pause)
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Entry returns the server's entry in the store; born is the time of its start in
// milliseconds.
func (p *Plain) Entry(address, state string, slots int, born int64) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": "shop", "address": address, "zone": "a", "slots": slots, "state": state, "born": born,
	})
	return data
}

// SetFault sets how requests end.
func (p *Plain) SetFault(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// ServeHTTP runs a request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", p.ID)
	p.say(w)
	if r.URL.Path == "/health" {
		if p.Probed != nil {
			p.Probed()
		}
		return
	}
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if p.Arrived != nil {
		p.Arrived(id)
	}
	switch {
	case r.Header.Get("Expected-Instance") != p.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == "shed":
		p.refuse(w)
		return
	}
	p.Runs.add(id)
	w.Header().Set("Response-Signature", p.ID+"."+id)
	switch fault {
	case "reset":
		panic(http.ErrAbortHandler)
	case "error":
		w.WriteHeader(http.StatusInternalServerError)
	case "refuse":
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	body, _ := io.ReadAll(r.Body)
	text := PlainBody(r.Method, r.RequestURI, r.Header.Get("Tenant"), string(body))
	if fault == "extra" {
		p.answerTwice(w, id, text)
		return
	}
	_, _ = io.WriteString(w, text) // a caller that left reads nothing
}

// answerTwice writes a whole answer and another one behind it, which belongs to a
// request that nobody waits for.
func (p *Plain) answerTwice(w http.ResponseWriter, id, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, id := range []string{id, "older"} {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			p.ID, id, p.ID, id, len(text), text)
	}
	time.Sleep(extraOpen)
}

// extraOpen is how long the connection stays open behind a second answer.
const extraOpen = 500 * time.Millisecond

// Engine is a stand-in of a model engine. The first server of a chain makes the
// events; the others only check that they hold their part.
type Engine struct {
	ID      string
	Address string
	Card    string
	Runs    *Runs
	// Peers are the engines by address.
	Peers func(address string) *Engine
	// Changed is called after each change of the layers.
	Changed func(e *Engine)
	// Load is the time of a load.
	Load time.Duration
	// Events and Pause are the number of events of an answer and the time between them.
	Events int
	Pause  time.Duration

	mu       sync.Mutex
	born     int64
	layers   [2]int
	orders   int
	fence    uint64
	draining bool
	// breakAfter ends the next stream after so many events; 0 for none.
	breakAfter int
	// failing answers each generation with an error of the engine's own, though its
	// reports are good; shedding refuses each one.
	failing  bool
	shedding bool
	// Arrived is called for each request that reaches the engine, with its path, also for
	// the parts of chains; it may be nil.
	Arrived func(path string)
	Notice
}

// SetShedding makes the engine refuse all generations, or no longer does.
func (e *Engine) SetShedding(shedding bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding = shedding
}

func (e *Engine) arrived(path string) {
	if e.Arrived != nil {
		e.Arrived(path)
	}
}

// Entry returns the engine's entry in the store.
func (e *Engine) Entry(service, zone, state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"service": service, "address": e.Address, "zone": zone, "slots": 192, "state": state, "kind": e.Card, "born": e.born,
		"layers": map[string]int{"source": e.layers[0], "to": e.layers[1], "version": 1}, "sequence": e.orders,
	})
	return data
}

// Layers returns what the engine holds.
func (e *Engine) Layers() (first, end int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layers[0], e.layers[1]
}

// Drain makes the engine refuse all work, though it answers reports.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// SetFailing makes the engine answer generations with an error, or no longer does.
func (e *Engine) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// BreakAfter ends the next stream within the event after n events.
func (e *Engine) BreakAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = n
}

// ServeHTTP answers requests, reports and orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.say(w)
	if r.Header.Get("Hop-Count") == "" {
		e.arrived(r.URL.Path)
	}
	switch r.URL.Path {
	case "/v1/report":
		e.report(w)
	case "/v1/order":
		e.order(w, r)
	default:
		e.generate(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"layers": map[string]int{"source": e.layers[0], "to": e.layers[1]}, "sequence": e.orders, "kv_used": 0, "kv_total": 1000, "pace": 1, "born": e.born,
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Source, To, Expected int
		Token                uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Token < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = o.Token
	e.orders++
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(e.Load, func() {
		e.mu.Lock()
		e.layers = [2]int{o.Source, o.To}
		e.mu.Unlock()
		e.Changed(e)
	})
}

// holds reports whether the engine can run a part, and the status if not.
func (e *Engine) holds(first, end int) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return http.StatusServiceUnavailable, false
	case first < e.layers[0] || end > e.layers[1]:
		return http.StatusMisdirectedRequest, false
	}
	return http.StatusOK, true
}

// checkChain returns the first server of a chain that can't run its part, and an
// error text for a chain that does not run every layer once and in order.
func (e *Engine) checkChain(text string, layers int) (fault string, status int, problem string) {
	next := 0
	for part := range strings.SplitSeq(text, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		first, _ := strconv.Atoi(from)
		end, _ := strconv.Atoi(to)
		if first != next {
			return "", 0, fmt.Sprintf("layer %d follows %d", first, next)
		}
		next = end
		peer := e.Peers(address)
		if peer == nil {
			return address, http.StatusServiceUnavailable, ""
		}
		peer.arrived("part")
		if status, ok := peer.holds(first, end); !ok {
			return address, status, ""
		}
	}
	if next != layers {
		return "", 0, fmt.Sprintf("the chain ends at layer %d", next)
	}
	return "", 0, ""
}

// testLayers is the number of layers of the stand-in's model.
const testLayers = 8

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expected-Instance") != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	shedding := e.shedding
	e.mu.Unlock()
	if shedding {
		e.arrived("part")
		e.refuse(w)
		return
	}
	fault, status, problem := e.checkChain(r.Header.Get("Hop-Count"), testLayers)
	if problem != "" {
		http.Error(w, problem, http.StatusTeapot)
		return
	}
	if fault != "" {
		w.Header().Set("At-Server", fault)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.Runs.add(id)
	w.Header().Set("Response-Signature", e.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mu.Lock()
	breakAfter, failing := e.breakAfter, e.failing
	e.breakAfter = 0
	e.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for n := last + 1; n <= e.Events; n++ {
		if breakAfter > 0 && n > last+breakAfter {
			fmt.Fprintf(w, "id: %d\nda", n)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event(n)) // a caller that left reads nothing
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.Pause):
		case <-r.Context().Done():
			return
		}
	}
}
