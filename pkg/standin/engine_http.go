package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/upstream"
)

// handlers returns the routes of the engine protocol.
func (e *Engine) handlers() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+PathForward, e.serveForward)
	mux.HandleFunc("GET "+upstream.PathState, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, e.reportedState())
	})
	mux.HandleFunc("GET "+upstream.PathProgress, func(w http.ResponseWriter, r *http.Request) {
		writeAnswer(w, func() (any, error) { return e.progress(r.URL.Query().Get("session")) })
	})
	mux.HandleFunc("GET "+upstream.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		writeJSON(w, http.StatusOK, e.cache.eventsAfter(after, time.Duration(e.config.CacheEventLag)))
	})
	handleJSON(e, mux, upstream.PathCancel, func(_ context.Context, req upstream.CancelRequest) (any, error) {
		e.cancel(req.Session, req.Attempt)
		return struct{}{}, nil
	})
	mux.HandleFunc("POST "+PathExportKV, e.serveExport)
	handleJSON(e, mux, upstream.PathImportKV, func(ctx context.Context, source upstream.KVSource) (any, error) {
		return e.importFrom(ctx, source)
	})
	handleJSON(e, mux, upstream.PathOrder, func(_ context.Context, order upstream.Order) (any, error) {
		return struct{}{}, e.applyOrder(order)
	})
	return mux
}

// handleJSON adds a POST route with a JSON body. Faults.LoseAnswers drops the connection
// after the call has run.
func handleJSON[T any](e *Engine, mux *http.ServeMux, path string, run func(context.Context, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var body T
		if !readJSON(w, r, &body) {
			return
		}
		writeAnswer(w, func() (any, error) {
			result, err := run(r.Context(), body)
			if e.Faults().LoseAnswers {
				panic(http.ErrAbortHandler)
			}
			return result, err
		})
	})
}

// writeAnswer calls run and writes its value or its error.
func writeAnswer(w http.ResponseWriter, run func() (any, error)) {
	body, err := run()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// serveForward serves a call of the preceding stage, with heartbeats until the result.
func (e *Engine) serveForward(w http.ResponseWriter, r *http.Request) {
	var req forwardRequest
	if !readJSON(w, r, &req) {
		return
	}
	if len(req.Chain) == 0 || len(req.Tokens) != len(req.Activations) {
		writeJSON(w, http.StatusBadRequest, upstream.ErrorBody{Message: "chain or activations do not fit"})
		return
	}
	out := newLineWriter(w)
	result, err := e.forward(r.Context(), req, func() { out.write(forwardLine{Heartbeat: true}) })
	if err == nil {
		out.write(forwardLine{Result: &result})
		return
	}
	var failure *stageError
	if !errors.As(err, &failure) {
		panic(http.ErrAbortHandler)
	}
	out.write(forwardLine{Error: errorBody(e.id, failure)})
}

// load reads the bytes from the weight store, retrying every second, and then marks the
// load as finished. It does nothing more once ctx is done.
func (e *Engine) load(ctx context.Context, bytes int64) {
	for bytes > 0 && e.weights != nil && e.fetchWeights(ctx, bytes) != nil {
		if sleep(ctx, time.Second) != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil {
		e.loading = false
	}
}

// fetchWeights requests the bytes from the weight store, which answers at its own rate.
func (e *Engine) fetchWeights(ctx context.Context, bytes int64) error {
	path := fmt.Sprintf("%s?bytes=%d", PathWeights, bytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.weights.URL(path), nil)
	if err != nil {
		return err
	}
	resp, _, err := e.weights.Do(req, true)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
