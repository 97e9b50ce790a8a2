package rehearsal_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/internal/httpcall"
	"github.com/cornelline/cornelline/pkg/rehearsal"
)

// TestTransportIsAWrapper guards against calls that should use a new connection but use
// a pooled one, because httpcall can't reach the transport that the injecting one wraps.
func TestTransportIsAWrapper(t *testing.T) {
	inner := &http.Transport{}
	var transport http.RoundTripper = &rehearsal.Transport{Base: inner, Injector: rehearsal.NewInjector(time.Now)}
	w, ok := transport.(httpcall.Wrapper)
	if !ok || w.Unwrap() != http.RoundTripper(inner) {
		t.Fatal("Unwrap of the injecting transport does not return the wrapped transport")
	}
	if again, ok := w.Rewrap(inner).(*rehearsal.Transport); !ok || again.Injector == nil {
		t.Fatal("the transport that Rewrap returns does not inject faults")
	}
}
