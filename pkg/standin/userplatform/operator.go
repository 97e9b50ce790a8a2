package userplatform

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Operator holds the values that differ between the configurations of tests. The rest is
// fixed: a model of 8 layers behind /gen/, and a shop behind /book/ (requests run at most
// once) and /look/ (requests may be repeated).
type Operator struct {
	Version int
	// Timeout is the timeout of the shop's routes.
	Timeout time.Duration
	// StreamAttempts is the maximum number of servers that may run a generation, one after
	// another.
	StreamAttempts int
	Keys           []string
	// BodyBytes is the largest body of a request, 0 for 1,000 bytes.
	BodyBytes int
}

// Config returns the operator's configuration as JSON.
func (o Operator) Config() []byte {
	timeout := o.Timeout.Milliseconds()
	bodyBytes := o.BodyBytes
	if bodyBytes == 0 {
		bodyBytes = 1000
	}
	data, _ := json.Marshal(map[string]any{
		"version": o.Version,
		"routes": []map[string]any{
			{"name": "gen", "host": "h.example", "path_prefix": "/gen/", "kind": "streaming", "timeout_ms": 20000, "response_target_ms": 500, "gap_target_ms": 200, "service": "model", "attempts": o.StreamAttempts, "resumable": true},
			{"name": "book", "host": "h.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": timeout, "service": "shop", "attempts": 1},
			{"name": "look", "host": "h.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": timeout, "service": "shop", "attempts": 2},
		},
		"services": []map[string]any{
			{"name": "model", "engine": map[string]any{
				"slots": 192, "kv_token_bytes": 1000, "stride": 1, "models": []map[string]any{{"name": "m", "load_s": 0.1}}, "step_ms": 0.1, "read_per_s": 1e6,
				"layers": modelLayers, "layer_mb": 100, "activation_bytes": 1000, "pipe_mbps": 10000, "loads_at_once": 6, "usual": map[string]any{"prompt": 100, "answer": 20},
				"kinds": []map[string]any{{"name": "card", "megabytes": 500, "pace": 1, "read_factor": 1}},
			}},
			{"name": "shop", "health_path": "/health"},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": bodyBytes, "header_ms": 3000, "idle_ms": 15000},
		"tenants": []map[string]any{{"name": "team", "keys": o.Keys}},
	})
	return data
}

// formatEvent returns the n-th event of a stream in its wire format.
func formatEvent(n int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n) }

// Stream returns the events of a stream from first to last, both included.
func Stream(first, last int) string {
	var all strings.Builder
	for n := first; n <= last; n++ {
		all.WriteString(formatEvent(n))
	}
	return all.String()
}

// PlainBody returns the body of the answer of a plain server.
func PlainBody(method, target, team, body string) string {
	return fmt.Sprintf("%s %s team=%s body=%s", method, target, team, body)
}
