//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/standin/userplatform"
)

const (
	// enginesOfModel is the number of engines. Each holds at most 5 of 8 layers, so that a chain has
	// two of them.
	enginesOfModel = 12
	// eventsOfStream and eventPause say how long a generation takes.
	eventsOfStream = 10
	eventPause     = 40 * time.Millisecond
	// largestPrompt is the number of prompt tokens above which a request is larger than an engine's
	// memory: 100 MB beside four layers, at 1,000 bytes for a token and 8 layers.
	largestPrompt = 200_000
)

// addEngines starts the engines, which write their entries when their layers change and at each
// heartbeat.
func (w *world) addEngines() error {
	byAddress := map[string]*userplatform.Engine{}
	counts := userplatform.NewRuns()
	var list []*userplatform.Engine
	for i := range enginesOfModel {
		e := &userplatform.Engine{
			ID: fmt.Sprintf("i-model-%d", i+1), AcceleratorKind: "card", Runs: counts, LoadTime: 100 * time.Millisecond, EventCount: eventsOfStream, EventInterval: eventPause,
			PeerByAddress: func(address string) *userplatform.Engine { return byAddress[address] },
		}
		zone := string(rune('a' + i%3))
		e.OnLayersChanged = func(e *userplatform.Engine) { w.store.Put("keyed.servers", e.ID, e.Entry("model", zone, "ready")) }
		address, err := w.serve(&soundEngine{e, w})
		if err != nil {
			return err
		}
		e.Address = address
		byAddress[address] = e
		list = append(list, e)
	}
	for _, e := range list {
		e.OnLayersChanged(e)
	}
	return nil
}

// soundEngine adds what the pages say of requests without an id and of requests that are larger than
// the server's memory.
type soundEngine struct {
	*userplatform.Engine
	w *world
}

func (e *soundEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		e.Engine.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	refusal := 0
	switch {
	case id == "":
		refusal = http.StatusBadRequest
	case tokens > largestPrompt:
		refusal = http.StatusServiceUnavailable
	}
	if refusal != 0 {
		w.Header().Set("Request-Id", id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refusal)
		e.w.rec.line("engine %s refuses %q with %d and doesn't run it", e.ID, id, refusal)
		return
	}
	e.w.rec.line("engine %s runs %s", e.ID, id)
	e.Engine.ServeHTTP(w, r)
}
