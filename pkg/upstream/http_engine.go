package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/internal/httpcall"
)

// maxLineSize is the largest size of a stream line that is read, in bytes.
const maxLineSize = 1 << 20

// maxErrorBody is the largest number of bytes that are read from an error answer,
// or from an answer whose body is discarded.
const maxErrorBody = 64 << 10

// maxAnswerBody is the largest number of bytes that are read of an answer that is no stream, such as
// a batch of cache events.
const maxAnswerBody = 8 << 20

// drainTimeout is the longest wait for the end of the body after a stream's final event.
const drainTimeout = 10 * time.Millisecond

// ErrSilent matches the cause of an Error when no byte arrived within the silence timeout.
var ErrSilent = errors.New("connection silent")

// SilentError is the cause of an Error when no byte arrived within the silence
// timeout. errors.Is matches it with ErrSilent.
type SilentError struct {
	// For is the time during which no byte arrived.
	For time.Duration
}

// Error states for how long no byte arrived.
func (e *SilentError) Error() string { return fmt.Sprintf("no byte for %s", e.For) }

// Is reports whether target is ErrSilent.
func (e *SilentError) Is(target error) bool { return target == ErrSilent }

// ErrNoFinalEvent is the cause of an Error when a stream ended without a final event.
var ErrNoFinalEvent = errors.New("stream ended without a final event")

// ErrRefused is the cause of an Error when the upstream refused the request before running it.
var ErrRefused = errors.New("refused")

// ErrAnswerMismatch is the cause of an Error when the answer belongs to another request.
var ErrAnswerMismatch = errors.New("answer of another request")

// Option changes an HTTP client of this package.
type Option func(*options)

type options struct {
	silenceTimeout time.Duration
}

// WithSilenceTimeout sets the time without a received byte after which a connection
// is abandoned.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(o *options) { o.silenceTimeout = timeout }
}

func applyOptions(opts []Option) options {
	o := options{silenceTimeout: DefaultSilenceTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// HTTPEngine is the HTTP client of an Engine. Token streams and state polls use
// pooled connections. Progress, Cancel, ImportFrom and Order open a new connection
// for each call, so that they work while the pooled connections are silent.
type HTTPEngine struct {
	id      fleet.UpstreamID
	caller  *httpcall.Caller
	options options
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns a client for the engine at the address, an IP:port or a URL.
// A nil client means http.DefaultClient.
func NewHTTPEngine(id fleet.UpstreamID, address string, client *http.Client, opts ...Option) *HTTPEngine {
	return &HTTPEngine{id: id, caller: httpcall.New(address, client), options: applyOptions(opts)}
}

// State returns the engine's own report. It fails if the call takes longer than
// the silence timeout.
func (e *HTTPEngine) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	err := e.callWithTimeout(ctx, http.MethodGet, PathState, nil, &state, false)
	if err == nil && state.Upstream != e.id {
		return EngineState{}, e.newError(true, 0, fmt.Errorf("%w: state of %q", ErrAnswerMismatch, state.Upstream))
	}
	return state, err
}

// Progress returns the engine's report about a session, over a new connection.
func (e *HTTPEngine) Progress(ctx context.Context, session string) (SessionProgress, error) {
	var progress SessionProgress
	path := PathProgress + "?session=" + url.QueryEscape(session)
	err := e.callWithTimeout(ctx, http.MethodGet, path, nil, &progress, true)
	if err == nil && progress.Session != session {
		return SessionProgress{}, e.newError(true, 0, fmt.Errorf("%w: progress of %q", ErrAnswerMismatch, progress.Session))
	}
	return progress, err
}

// Cancel ends the session's attempts up to the given one and frees their KV cache.
func (e *HTTPEngine) Cancel(ctx context.Context, session string, attempt int) error {
	return e.callWithTimeout(ctx, http.MethodPost, PathCancel, CancelRequest{Session: session, Attempt: attempt}, nil, true)
}

// ImportFrom makes the engine fetch a KV cache from another engine. The silence
// timeout does not apply, because the answer comes only after the transfer; ctx
// alone bounds the call.
func (e *HTTPEngine) ImportFrom(ctx context.Context, source KVSource) error {
	var imported SessionProgress
	err := e.call(ctx, http.MethodPost, PathImportKV, source, &imported, true)
	if err == nil && (imported.Session != source.Session || imported.NextPosition != source.Positions) {
		return e.newError(true, http.StatusOK, fmt.Errorf("%w: KV cache of %q with %d positions", ErrAnswerMismatch, imported.Session, imported.NextPosition))
	}
	return err
}

// Order gives the engine its whole wanted assignment.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	return e.callWithTimeout(ctx, http.MethodPost, PathOrder, order, nil, true)
}

// CacheEvents returns a page of the cache events after a sequence number.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) (CacheEventBatch, error) {
	var batch CacheEventBatch
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := e.callWithTimeout(ctx, http.MethodGet, path, nil, &batch, false)
	return batch, err
}

// Generate starts a generation. The stream fails when ctx ends.
func (e *HTTPEngine) Generate(ctx context.Context, req GenerateRequest) (TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := httpcall.NewWatchdog(e.options.silenceTimeout, cancel)
	resp, err := e.send(ctx, http.MethodPost, PathGenerate, req, false)
	watchdog.Stop()
	if err != nil {
		cancel()
		return nil, e.replaceSilenceCause(watchdog, err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLineSize)
	return &httpStream{engine: e, body: resp.Body, lines: lines, watchdog: watchdog, cancel: cancel}, nil
}

// callWithTimeout is call with the silence timeout on the whole call.
func (e *HTTPEngine) callWithTimeout(ctx context.Context, method, path string, in, out any, newConn bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := httpcall.NewWatchdog(e.options.silenceTimeout, cancel)
	defer watchdog.Stop()
	return e.replaceSilenceCause(watchdog, e.call(ctx, method, path, in, out, newConn))
}

// call sends one request and decodes the answer into out, or discards it if out is nil.
func (e *HTTPEngine) call(ctx context.Context, method, path string, in, out any, newConn bool) error {
	resp, err := e.send(ctx, method, path, in, newConn)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody))
	} else {
		err = httpcall.DecodeJSON(resp, out, maxAnswerBody)
	}
	if err != nil {
		return e.newError(true, resp.StatusCode, fmt.Errorf("read answer: %w", err))
	}
	return nil
}

// send sends one request and returns the answer if its status is 200. It uses a
// new connection if newConn is set.
func (e *HTTPEngine) send(ctx context.Context, method, path string, in any, newConn bool) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, e.newError(false, 0, err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, e.caller.URL(path), body)
	if err != nil {
		return nil, e.newError(false, 0, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := e.caller.Do(req, newConn)
	if err != nil {
		return nil, e.newError(sent, 0, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, e.statusError(resp)
	}
	return resp, nil
}

// statusError returns the error for an answer with a status other than 200. The
// engine protocol guarantees that a request answered with a 4xx status did not run.
func (e *HTTPEngine) statusError(resp *http.Response) *Error {
	var body ErrorBody
	if json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&body) != nil {
		body.Message = http.StatusText(resp.StatusCode)
	}
	refused := resp.StatusCode >= 400 && resp.StatusCode < 500
	if refused && body.Refusal == "" {
		body.Refusal = RefusedOther
	}
	failure := e.newError(!refused, resp.StatusCode, body.cause())
	failure.FailedStage = body.FailedStage
	return failure
}

// cause returns the body as an error, which is a *RefusalError for a refusal.
func (b *ErrorBody) cause() error {
	if b.Refusal != "" {
		return &RefusalError{Reason: b.Refusal, Message: b.Message}
	}
	return errors.New(b.Message)
}

// replaceSilenceCause returns err with a *SilentError as its cause if the watchdog
// cancelled the call. It also closes the idle connections, which may be silent too.
func (e *HTTPEngine) replaceSilenceCause(watchdog *httpcall.Watchdog, err error) error {
	var failure *Error
	if err == nil || !watchdog.Fired() || !errors.As(err, &failure) {
		return err
	}
	e.caller.CloseIdle()
	return e.newError(failure.Sent, failure.Status, &SilentError{For: e.options.silenceTimeout})
}

func (e *HTTPEngine) newError(sent bool, status int, err error) *Error {
	return &Error{Upstream: e.id, Sent: sent, Status: status, Err: err}
}

// httpStream is an open generation over HTTP. Next is called by one goroutine at a time.
type httpStream struct {
	engine   *HTTPEngine
	body     io.ReadCloser
	lines    *bufio.Scanner
	watchdog *httpcall.Watchdog
	cancel   context.CancelFunc
	ended    bool
	close    sync.Once
}

// Next returns the next event. After the final event it returns io.EOF.
func (s *httpStream) Next(ctx context.Context) (TokenEvent, error) {
	if s.ended {
		return TokenEvent{}, io.EOF
	}
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	s.watchdog.Reset()
	defer s.watchdog.Stop()
	for s.lines.Scan() {
		s.watchdog.Reset()
		var line StreamLine
		if err := json.Unmarshal(s.lines.Bytes(), &line); err != nil {
			return TokenEvent{}, s.closeWithError(fmt.Errorf("stream line: %w", err))
		}
		switch {
		case line.Error != nil:
			failure := s.engine.newError(true, 0, line.Error.cause())
			failure.FailedStage = line.Error.FailedStage
			s.Close()
			return TokenEvent{}, failure
		case line.Event != nil:
			s.ended = line.Event.Final
			return *line.Event, nil
		}
	}
	err := s.lines.Err()
	if err == nil {
		err = ErrNoFinalEvent
	}
	return TokenEvent{}, s.closeWithError(err)
}

// closeWithError closes the stream and returns err as an *Error.
func (s *httpStream) closeWithError(err error) error {
	s.Close()
	return s.engine.replaceSilenceCause(s.watchdog, s.engine.newError(true, 0, err))
}

// Close cancels the generation if it has not ended. It is safe to call twice.
func (s *httpStream) Close() error {
	s.close.Do(func() {
		s.watchdog.Stop()
		if s.ended {
			// The connection can be used again only after the body is read to its end.
			defer time.AfterFunc(drainTimeout, s.cancel).Stop()
			_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBody))
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
