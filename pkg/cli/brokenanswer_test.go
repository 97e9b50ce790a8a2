package cli

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/standin"
)

// TestResetDuringChangeIsUnknown guards against reporting a change as made whose answer has no length and
// whose connection was reset while the change was sent.
func TestResetDuringChangeIsUnknown(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(file, []byte(`{"x":"`+strings.Repeat("x", 8<<20)+`"}`), 0o600))
	server := httptest.NewServer(&standin.BrokenAnswer{
		Status: "200 OK", Body: `{"version":2}`, Early: true, End: standin.EndReset, EndAfter: standin.Duration(5 * time.Millisecond),
	})
	defer server.Close()
	for range 20 {
		got, _ := run(t.Context(), server, "settings set --version 1 team/t "+file)
		is.Equal(got, ExitUnknown)
	}
}

// sendBroken returns a handler that sends an answer whose head is given by its status and further fields.
func sendBroken(status string, fields ...string) http.HandlerFunc {
	broken := standin.BrokenAnswer{Status: status, Fields: append(fields, "Content-Length: 2"), Body: "{}", End: standin.EndClose}
	return broken.ServeHTTP
}
