package rehearsal_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/internal/httpcall"
	"github.com/cornelline/cornelline/pkg/rehearsal"
)

// TestTransportIsAWrapper guards against calls over a new connection that
// silently use a pooled one because the injector hides the transport below it.
func TestTransportIsAWrapper(t *testing.T) {
	inner := &http.Transport{}
	var transport http.RoundTripper = &rehearsal.Transport{Base: inner, Injector: rehearsal.NewInjector(time.Now)}
	w, ok := transport.(httpcall.Wrapper)
	if !ok || w.Unwrap() != http.RoundTripper(inner) {
		t.Fatal("the injecting transport does not give the one below it")
	}
	if again, ok := w.Rewrap(inner).(*rehearsal.Transport); !ok || again.Injector == nil {
		t.Fatal("a rewrapped transport does not inject faults")
	}
}
