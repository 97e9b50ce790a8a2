package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// dropConnection closes the connection of a request without a response.
func dropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// respond returns a handler that responds with a status and a body.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// truncateBody sends less of the body than its Content-Length announces.
func truncateBody(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"version":`))
}

// TestExitCodes guards against the exit code of a failed change for a change of unknown
// outcome, after which a script would send the change again, and against the reverse.
func TestExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	set := "settings set --version 1 team/t " + file
	for _, c := range []struct {
		name, args string
		handler    http.HandlerFunc // nil: no server listens
		want       int
	}{
		{"set done", set, respond(200, `{"version":2}`), ExitOK},
		{"help", "--help", nil, ExitOK},
		{"set refused", set, respond(400, `{"error":{"code":5001,"outcome":"not_run"}}`), ExitFailed},
		{"set refused by another server", set, respond(404, "none"), ExitFailed},
		{"set with log unavailable", set, respond(503, `{"error":{"code":4001,"outcome":"not_run"}}`), ExitFailed},
		{"set without a listener", set, nil, ExitFailed},
		{"set of a file that is not there", set + ".none", nil, ExitFailed},
		{"get dropped", "settings get team/t", dropConnection, ExitFailed},
		{"get cut off", "settings get team/t", truncateBody, ExitFailed},
		{"unknown flag", set + " --force", nil, ExitUsage},
		{"no branch", "settings set", nil, ExitUsage},
		{"no such command", "settings put", nil, ExitUsage},
		{"set lost", set, respond(409, `{"error":{"code":5002,"outcome":"not_run"}}`), ExitConflict},
		{"set pending", set, respond(504, `{"error":{"code":5004,"outcome":"outcome_unknown"}}`), ExitUnknown},
		{"set dropped", set, dropConnection, ExitUnknown},
		{"remove dropped", "settings set --remove --version 1 team/t", dropConnection, ExitUnknown},
		{"set cut off", set, truncateBody, ExitUnknown},
		{"set answered by a proxy", set, respond(502, "bad gateway"), ExitUnknown},
		{"drain dropped", "drain", dropConnection, ExitUnknown},
		{"set answered with status 000", set, sendBroken("000 Trouble"), ExitUnknown},
		{"set answered with status 999", set, sendBroken("999 Odd"), ExitUnknown},
		{"set answered with a blank in a field name", set, sendBroken("200 OK", "X Y: 1"), ExitUnknown},
		{"get answered with a control byte in a field name", "settings get team/t", sendBroken("200 OK", "X\x01Y: 1"), ExitFailed},
		{"get answered with status 000", "settings get team/t", sendBroken("000 Trouble"), ExitFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			if c.handler == nil {
				server.Close()
			}
			got, text := run(t.Context(), server, c.args)
			t.Log(text)
			is.Equal(got, c.want)
		})
	}
}

// TestExitCodeWithoutAnswer guards against a change that is reported as failed although
// its outcome is unknown, because the wait for its response ended by the timeout or, as
// in this test, by an interrupt.
func TestExitCodeWithoutAnswer(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	got, _ := run(ctx, server, "settings set --remove --version 1 team/t")
	is.Equal(got, ExitUnknown)
}

// run executes a command line against the server.
func run(ctx context.Context, server *httptest.Server, args string) (int, string) {
	var out, errOut bytes.Buffer
	address := strings.TrimPrefix(server.URL, "http://")
	code := Run(ctx, append([]string{"--address", address}, strings.Fields(args)...), &out, &errOut)
	return code, out.String() + errOut.String()
}

// nodeFile is a platform's settings file of a VM.
const nodeFile = `node_name: vm-0
zone: a
region: r
ip: 127.0.0.1
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", control: "127.0.0.1:3", directory: "127.0.0.1:4"}
internal_ports: [5, 5]
seeds: ["127.0.0.1:3"]
heartbeat_ms: 1000
bounds: {settle_window_ms: 3000, drain_ms: 2000, grace_s: 8, config_ms: 2000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 200, stall_ms: 3000, ttl_max_s: 5}
platform: {address: "127.0.0.1:6", min_ttl_ms: 1000}
`

// TestShortFleetSecretIsRefused guards against a secret of the VMs that is easily guessed.
func TestShortFleetSecretIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(file, []byte(nodeFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for secret, want := range map[string]int{"": ExitOK, "fifteen bytes!!": ExitFailed, "sixteen bytes!!!": ExitOK} {
		t.Run(secret, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("CORNELLINE_FLEET_SECRET", secret)
			var out, errOut bytes.Buffer
			is.Equal(Run(t.Context(), []string{"gateway", "--check", "--settings", file}, &out, &errOut), want)
			t.Log(out.String() + errOut.String())
		})
	}
}
