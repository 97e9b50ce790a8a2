package userplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/standin"
)

// Runs counts executed requests by request ID, over all servers that share it.
type Runs struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRuns returns a Runs without counts.
func NewRuns() *Runs { return &Runs{runs: map[string]int{}} }

// Add counts a run of a request.
func (r *Runs) Add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// Count returns how often a request ran.
func (r *Runs) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// PlainServer is a stand-in of a server of a plain service.
type PlainServer struct {
	ID   string
	Runs *Runs
	// OnRequest is called with the ID of each request that reaches the server; it may be nil.
	OnRequest func(id string)
	// OnProbe is called for each health check; it may be nil.
	OnProbe func()
	mu      sync.Mutex
	// fault decides how requests end:
	//   - "": normally
	//   - "shed": refused, with the header that promises that the request did not run
	//   - "reset": the connection is closed without an answer after the request ran
	//   - "error": status 500 after the request ran
	//   - "refuse": status 503 without that header, after the request ran
	//   - "extra": the answer is followed by a second one, to another request
	//   - "hang": not before the caller disconnects, after the request ran
	fault string
	// broken is sent instead of an answer after the request ran; nil for none.
	broken *standin.BrokenAnswer
	Notice
}

// Notice holds what a server announces about itself in its answers.
type Notice struct {
	mu      sync.Mutex
	leaving bool
	// pause is the Retry-After header of refusals; empty for none.
	pause string
}

// SetLeaving sets whether all answers announce that the server is about to shut down.
func (n *Notice) SetLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
}

// SetPause sets the Retry-After header of refusals; empty omits it.
func (n *Notice) SetPause(pause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause = pause
}

// setLeavingHeader sets the header that announces the shutdown, if the server is leaving.
func (n *Notice) setLeavingHeader(w http.ResponseWriter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

// writeRefusal answers that the request did not run, with a Retry-After header if one is
// set.
func (n *Notice) writeRefusal(w http.ResponseWriter) {
	n.mu.Lock()
	pause := n.pause
	n.mu.Unlock()
	if pause != "" {
		w.Header().Set("Retry-After", pause)
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Entry returns the server's entry in the store. startMillis is its start time in
// milliseconds.
func (p *PlainServer) Entry(address, state string, slots int, startMillis int64) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": "shop", "address": address, "zone": "a", "slots": slots, "state": state, "born": startMillis,
	})
	return data
}

// SetFault sets how requests end; see PlainServer.fault for the values.
func (p *PlainServer) SetFault(fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// SetBroken sets the answer that the server sends after a request ran; nil restores its own.
func (p *PlainServer) SetBroken(broken *standin.BrokenAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = broken
}

// ServeHTTP serves health checks and requests.
func (p *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", p.ID)
	p.setLeavingHeader(w)
	if r.URL.Path == "/health" {
		if p.OnProbe != nil {
			p.OnProbe()
		}
		return
	}
	p.mu.Lock()
	fault, broken := p.fault, p.broken
	p.mu.Unlock()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if p.OnRequest != nil {
		p.OnRequest(id)
	}
	switch {
	case r.Header.Get("Expected-Instance") != p.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case fault == "shed":
		p.writeRefusal(w)
		return
	}
	p.Runs.Add(id)
	w.Header().Set("Response-Signature", p.ID+"."+id)
	if broken != nil {
		broken.ServeHTTP(w, r)
		return
	}
	switch fault {
	case "reset":
		panic(http.ErrAbortHandler)
	case "hang":
		_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not notice the end of the connection
		<-r.Context().Done()
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
	_, _ = io.WriteString(w, text) // fails if the caller has disconnected
}

// answerTwice writes a complete answer, followed by one to another request that no caller
// is waiting for.
func (p *PlainServer) answerTwice(w http.ResponseWriter, id, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, id := range []string{id, "older"} {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			p.ID, id, p.ID, id, len(text), text)
	}
	time.Sleep(extraAnswerLinger)
}

// extraAnswerLinger is how long the connection stays open after the second answer.
const extraAnswerLinger = 500 * time.Millisecond
