package userplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Engine is a stand-in of a model engine. The first engine of a chain produces the events
// and checks that the others hold the layers of their parts.
type Engine struct {
	ID              string
	Address         string
	AcceleratorKind string
	Runs            *Runs
	// PeerByAddress returns the engine at an address, or nil.
	PeerByAddress func(address string) *Engine
	// OnLayersChanged is called after each change of the layers.
	OnLayersChanged func(e *Engine)
	// CloseConnections closes all connections to the engine; needed for crashes.
	CloseConnections func()
	// LoadTime is the duration of a load.
	LoadTime time.Duration
	// EventCount is the number of events of a complete answer.
	EventCount int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// FailureBytes is the length of the body of a failure.
	FailureBytes int

	mu            sync.Mutex
	startMillis   int64
	layers        [2]int
	orderSequence int
	fencingToken  uint64
	draining      bool
	// breakAfter is the number of events after which the next stream breaks; 0 for never.
	breakAfter int
	// failing answers each generation with status 500, while reports still succeed.
	failing bool
	// shedding refuses each generation.
	shedding bool
	// resumeFault answers requests that continue a stream with an error:
	//   - "": normally
	//   - "status": status 500 with a text
	//   - "json": status 200, signed, with a JSON object
	//   - "head": an event stream that holds the head and body of another answer
	//   - "text": an event stream that holds a line of text
	//   - "end": an event stream without an event, ended by the connection
	resumeFault string
	crash       Crash
	ending      Ending
	// dark makes chains through the engine stall, and it answers nothing.
	dark bool
	// full refuses new parts of running requests.
	full bool
	// repathFault answers the next orders that change a chain with an error:
	//   - "": normally
	//   - "lost": carried out, but the connection ends without an answer
	//   - "gone": as if no such request ran
	//   - "fenced": as if a higher fencing token had been used
	//   - "ignored": accepted, but never carried out
	repathFault string
	// streams holds the streams that start here, by request.
	streams map[string]*engineStream
	// arrivals counts the generations that this engine was sent.
	arrivals int
	// repaths holds the chains of the orders to change one, by request and in order of arrival.
	repaths map[string][]string
	// downUntil is when the engine is up again after a crash.
	downUntil time.Time
	// OnRequest is called with the path of each request that reaches the engine, and with
	// "part" for each part of a chain; it may be nil.
	OnRequest func(path string)
	Notice
}

// SetShedding sets whether the engine refuses all generations.
func (e *Engine) SetShedding(shedding bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shedding = shedding
}

// SetDark sets whether the engine is dark: it answers nothing, and streams through it stall.
func (e *Engine) SetDark(dark bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = dark
}

func (e *Engine) isDark() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dark
}

// SetFull sets whether the engine has no memory for new parts of running requests.
func (e *Engine) SetFull(full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.full = full
}

// SetRepathFault sets how orders that change a chain are answered; see Engine.repathFault for the
// values.
func (e *Engine) SetRepathFault(fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repathFault = fault
}

// Arrivals returns the number of generations that the engine was sent.
func (e *Engine) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// Repaths returns the chains of the orders to change that of a request.
func (e *Engine) Repaths(id string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.repaths[id])
}

// engineStream is a stream that starts at an engine, with its chain.
type engineStream struct{ chain string }

// Chain returns the chain of a stream that starts at the engine, empty if there is none.
func (e *Engine) Chain(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		return s.chain
	}
	return ""
}

// beginStream records a stream. An earlier one of the same request may not have ended yet.
func (e *Engine) beginStream(id, chain string) *engineStream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams == nil {
		e.streams = make(map[string]*engineStream)
	}
	e.streams[id] = &engineStream{chain: chain}
	return e.streams[id]
}

func (e *Engine) endStream(id string, s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == s {
		delete(e.streams, id)
	}
}

// awaitChain waits until no engine of a stream's chain is dark or gone, or ctx ends.
func (e *Engine) awaitChain(ctx context.Context, s *engineStream) {
	for ctx.Err() == nil {
		e.mu.Lock()
		chain, stalled := s.chain, e.dark
		e.mu.Unlock()
		for part := range strings.SplitSeq(chain, ",") {
			address, _, _ := strings.Cut(part, "=")
			peer := e.PeerByAddress(address)
			stalled = stalled || peer == nil || peer.isDark() || peer.isDown()
		}
		if !stalled {
			return
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// repath carries out an order that changes the chain of a running stream.
func (e *Engine) repath(w http.ResponseWriter, id, path string, token uint64) {
	e.mu.Lock()
	fault, stream, fencingToken := e.repathFault, e.streams[id], e.fencingToken
	current := ""
	if stream != nil {
		current = stream.chain
	}
	if e.repaths == nil {
		e.repaths = make(map[string][]string)
	}
	e.repaths[id] = append(e.repaths[id], path)
	e.mu.Unlock()
	firstPart := func(chain string) string { part, _, _ := strings.Cut(chain, ","); return part }
	switch {
	case fault == "fenced" || token < fencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case fault == "gone" || current == "":
		w.WriteHeader(http.StatusNotFound)
		return
	case firstPart(path) != firstPart(current):
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	failedAddress, _, problem := e.checkChain(path, modelLayers)
	for part := range strings.SplitSeq(path, ",") {
		address, _, _ := strings.Cut(part, "=")
		peer := e.PeerByAddress(address)
		isNew := !strings.Contains(","+current+",", ","+part+",")
		if failedAddress == "" && peer != nil && (peer.isDark() || peer.isDown() || isNew && peer.isFull()) {
			failedAddress = address
		}
	}
	if problem != "" || failedAddress != "" {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"address": failedAddress}) // fails if the caller has disconnected
		return
	}
	e.mu.Lock()
	e.orderSequence++
	if fault != "ignored" {
		stream.chain = path
	}
	e.mu.Unlock()
	if fault == "lost" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) isFull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.full
}

// Ending makes streams have neither a length nor chunks.
type Ending struct {
	// Streams is the number of streams that are still to end so, over all engines that share it.
	Streams *atomic.Int32
	// Events is the number of events after which they end.
	Events int
	// InsideEvent ends them in the middle of the next event.
	InsideEvent bool
	// Pause is the time between their last event and their end.
	Pause time.Duration
}

// SetEnding sets how streams end.
func (e *Engine) SetEnding(ending Ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ending = ending
}

// writeUnframed writes a stream that ends with its connection if one is due, and reports whether it
// did.
func (e *Engine) writeUnframed(w http.ResponseWriter, last int) bool {
	e.mu.Lock()
	ending := e.ending
	e.mu.Unlock()
	if ending.Streams == nil || ending.Streams.Add(-1) < 0 {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn) // fails if the caller has disconnected
	_, _ = io.WriteString(conn, "\r\n")
	for n := last + 1; n <= min(last+ending.Events, e.EventCount); n++ {
		_, _ = io.WriteString(conn, formatEvent(n))
	}
	if ending.InsideEvent {
		fmt.Fprintf(conn, "id: %d\nda", last+ending.Events+1)
	}
	time.Sleep(ending.Pause)
	return true
}

// Crash says which generations crash an engine.
type Crash struct {
	// Part is the ID of the prompt part that crashes the engine as it begins to write; empty for
	// none.
	Part string
	// Once crashes the engine at the next generation, whatever it holds.
	Once bool
	// Down is how long the engine is gone after a crash.
	Down time.Duration
	// OnArrival is called with the ID of each generation with Part that reaches the engine; it may
	// be nil.
	OnArrival func(id string)
}

// SetCrash sets which generations crash the engine.
func (e *Engine) SetCrash(c Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = c
}

// isDown reports whether the engine is gone after a crash.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// startAgain makes the engine a new incarnation. Unlike a real one it keeps its layers.
func (e *Engine) startAgain() {
	e.mu.Lock()
	e.startMillis = time.Now().UnixMilli()
	e.mu.Unlock()
	e.OnLayersChanged(e)
}

// crashOn ends the engine if a generation crashes it: it sends the head of the answer, breaks all
// connections and does not return.
func (e *Engine) crashOn(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	c := e.crash
	holdsPart := c.Part != "" && strings.Contains(","+r.Header.Get("Prompt-Prefix"), ","+c.Part+":")
	crashes := holdsPart || c.Once
	e.crash.Once = false
	if crashes {
		e.downUntil = time.Now().Add(c.Down)
	}
	e.mu.Unlock()
	if holdsPart && c.OnArrival != nil {
		c.OnArrival(r.Header.Get("Request-Id"))
	}
	if !crashes {
		return
	}
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	e.end(c.Down)
	panic(http.ErrAbortHandler)
}

// CrashWithin crashes the engine at the next generation, or after a time if none arrives until then.
func (e *Engine) CrashWithin(limit, down time.Duration) {
	e.SetCrash(Crash{Once: true, Down: down})
	time.AfterFunc(limit, func() {
		e.mu.Lock()
		pending := e.crash.Once
		if e.crash.Once = false; pending {
			e.downUntil = time.Now().Add(down)
		}
		e.mu.Unlock()
		if pending {
			e.end(down)
		}
	})
}

// end breaks all connections and starts the engine again later.
func (e *Engine) end(down time.Duration) {
	go e.CloseConnections() // waits for handlers
	time.AfterFunc(down, e.startAgain)
}

// SetResumeFault sets how requests that continue a stream are answered; see
// Engine.resumeFault for the values.
func (e *Engine) SetResumeFault(fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumeFault = fault
}

// writeResumeFault answers with an error if a fault is set, and reports whether it did.
func (e *Engine) writeResumeFault(w http.ResponseWriter) bool {
	e.mu.Lock()
	fault := e.resumeFault
	e.mu.Unlock()
	const text = "engine overloaded"
	switch fault {
	case "status":
		http.Error(w, text+"\n", http.StatusInternalServerError)
	case "json":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"error":"`+text+"\"}\n\n")
	case "head":
		_, _ = io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\n"+text+"\n\n")
	case "text":
		_, _ = io.WriteString(w, "error: "+text+"\n\n")
	case "end":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(conn) // fails if the caller has disconnected
		_, _ = io.WriteString(conn, "\r\n")
	default:
		return false
	}
	return true
}

// notifyRequest calls OnRequest if it is set.
func (e *Engine) notifyRequest(path string) {
	if e.OnRequest != nil {
		e.OnRequest(path)
	}
}

// Entry returns the engine's entry in the store.
func (e *Engine) Entry(service, zone, state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, _ := json.Marshal(map[string]any{
		"service": service, "address": e.Address, "zone": zone, "slots": 192, "state": state, "kind": e.AcceleratorKind, "born": e.startMillis,
		"layers": map[string]int{"source": e.layers[0], "to": e.layers[1], "version": 1}, "sequence": e.orderSequence,
	})
	return data
}

// Layers returns the range of layers that the engine holds; end is exclusive.
func (e *Engine) Layers() (first, end int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.layers[0], e.layers[1]
}

// Drain makes the engine refuse all generations. It still answers reports.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// SetFailing sets whether the engine answers generations with status 500.
func (e *Engine) SetFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// BreakNextStream breaks the next stream in the middle of the event that follows n complete
// ones.
func (e *Engine) BreakNextStream(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = n
}

// ServeHTTP serves generations, reports and orders.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	if e.isDark() {
		<-r.Context().Done()
		return
	}
	e.setLeavingHeader(w)
	if r.Header.Get("Hop-Count") == "" {
		e.notifyRequest(r.URL.Path)
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
		"layers": map[string]int{"source": e.layers[0], "to": e.layers[1]}, "sequence": e.orderSequence, "kv_used": 0, "kv_total": 1000, "pace": 1, "born": e.startMillis,
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, ID, Path  string
		Mode                 string
		Source, To, Expected int
		Token                uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o.Operation == "repath" {
		e.repath(w, o.ID, o.Path, o.Token)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Token < e.fencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case o.Expected != e.orderSequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fencingToken = o.Token
	e.orderSequence++
	if o.Mode == "cut" {
		go e.CloseConnections() // waits for this handler
	}
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(e.LoadTime, func() { e.load(o.Source, o.To) })
}

// load changes the layers once no stream that starts here needs those that it gives up.
func (e *Engine) load(first, end int) {
	e.mu.Lock()
	if gaveUp := first > e.layers[0] || end < e.layers[1]; gaveUp && len(e.streams) > 0 {
		e.mu.Unlock()
		time.AfterFunc(e.LoadTime, func() { e.load(first, end) })
		return
	}
	e.layers = [2]int{first, end}
	e.mu.Unlock()
	e.OnLayersChanged(e)
}

// checkPart reports whether the engine can run a part of a chain. If not, it returns the
// status of the answer.
func (e *Engine) checkPart(first, end int) (int, bool) {
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

// checkChain returns the address of the first engine of a chain that can't run its part,
// with the status of the answer. problem is set instead if the chain does not run every
// layer once and in order. The chain has the form "ADDRESS=FIRST-END,...".
func (e *Engine) checkChain(chain string, layers int) (failedAddress string, status int, problem string) {
	next := 0
	for part := range strings.SplitSeq(chain, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		first, _ := strconv.Atoi(from)
		end, _ := strconv.Atoi(to)
		if first != next {
			return "", 0, fmt.Sprintf("layer %d follows %d", first, next)
		}
		next = end
		peer := e.PeerByAddress(address)
		if peer == nil {
			return address, http.StatusServiceUnavailable, ""
		}
		peer.notifyRequest("part")
		if status, ok := peer.checkPart(first, end); !ok {
			return address, status, ""
		}
	}
	if next != layers {
		return "", 0, fmt.Sprintf("the chain ends at layer %d", next)
	}
	return "", 0, ""
}

// modelLayers is the number of layers of the model.
const modelLayers = 8

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expected-Instance") != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	shedding := e.shedding
	e.arrivals++
	e.mu.Unlock()
	if shedding {
		e.notifyRequest("part")
		e.writeRefusal(w)
		return
	}
	failedAddress, status, problem := e.checkChain(r.Header.Get("Hop-Count"), modelLayers)
	if problem != "" {
		http.Error(w, problem, http.StatusTeapot)
		return
	}
	if failedAddress != "" {
		w.Header().Set("At-Server", failedAddress)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.Runs.Add(id)
	stream := e.beginStream(id, r.Header.Get("Hop-Count"))
	defer e.endStream(id, stream)
	w.Header().Set("Response-Signature", e.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("Last-Event-Id") != "" && e.writeResumeFault(w) {
		return
	}
	e.crashOn(w, r)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if e.writeUnframed(w, last) {
		return
	}
	e.mu.Lock()
	breakAfter, failing := e.breakAfter, e.failing
	e.breakAfter = 0
	e.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, e.FailureBytes)) // fails if the caller has disconnected
		return
	}
	for n := last + 1; n <= e.EventCount; n++ {
		if breakAfter > 0 && n > last+breakAfter {
			fmt.Fprintf(w, "id: %d\nda", n)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		e.awaitChain(r.Context(), stream)
		_, _ = io.WriteString(w, formatEvent(n)) // fails if the caller has disconnected
		w.(http.Flusher).Flush()
		select {
		case <-time.After(e.EventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
