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

// maxLine is the longest stream line that is read, in bytes.
const maxLine = 1 << 20

// maxErrorBody is the longest error body that is read, in bytes.
const maxErrorBody = 64 << 10

// drainLimit is the longest wait for the end of a stream after its final event.
const drainLimit = 10 * time.Millisecond

// ErrSilent matches the cause of an Error when the connection stayed silent for longer than the limit.
var ErrSilent = errors.New("connection silent")

// SilentError is that cause. It matches ErrSilent.
type SilentError struct {
	// For is how long no byte came.
	For time.Duration
}

// Error states how long no byte came.
func (e *SilentError) Error() string { return fmt.Sprintf("no byte for %s", e.For) }

// Is reports whether target is ErrSilent.
func (e *SilentError) Is(target error) bool { return target == ErrSilent }

// ErrNoFinal is the cause of an Error when a stream ended without a final event.
var ErrNoFinal = errors.New("stream ended without a final event")

// ErrRefused is the cause of an Error when the upstream refused the request before running it.
var ErrRefused = errors.New("refused")

// ErrMismatch is the cause of an Error when the answer belongs to another request.
var ErrMismatch = errors.New("answer of another request")

// Option changes an HTTP client of this package.
type Option func(*options)

type options struct {
	silence time.Duration
}

// WithSilence sets the time without a byte after which a connection is given up.
func WithSilence(limit time.Duration) Option {
	return func(o *options) { o.silence = limit }
}

func collect(opts []Option) options {
	o := options{silence: DefaultSilence}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// HTTPEngine is the HTTP client of an Engine. Token streams and state polls use
// pooled connections. Progress, Cancel, KV transfers and orders use a new
// connection each, so that they work while the pooled ones are silent.
type HTTPEngine struct {
	id      fleet.UpstreamID
	caller  *httpcall.Caller
	options options
}

var _ Engine = (*HTTPEngine)(nil)

// NewHTTPEngine returns a client for the engine at the address, an IP:port or a URL.
// A nil client means http.DefaultClient.
func NewHTTPEngine(id fleet.UpstreamID, address string, client *http.Client, opts ...Option) *HTTPEngine {
	return &HTTPEngine{id: id, caller: httpcall.New(address, client), options: collect(opts)}
}

// State returns the engine's own report. It fails after the silence limit.
func (e *HTTPEngine) State(ctx context.Context) (EngineState, error) {
	var state EngineState
	err := e.callWithin(ctx, http.MethodGet, PathState, nil, &state, false)
	if err == nil && state.Upstream != e.id {
		return EngineState{}, e.fail(true, 0, fmt.Errorf("%w: state of %q", ErrMismatch, state.Upstream))
	}
	return state, err
}

// Progress returns what the engine knows of a session, over a new connection.
func (e *HTTPEngine) Progress(ctx context.Context, session string) (SessionProgress, error) {
	var progress SessionProgress
	path := PathProgress + "?session=" + url.QueryEscape(session)
	err := e.callWithin(ctx, http.MethodGet, path, nil, &progress, true)
	if err == nil && progress.Session != session {
		return SessionProgress{}, e.fail(true, 0, fmt.Errorf("%w: progress of %q", ErrMismatch, progress.Session))
	}
	return progress, err
}

// Cancel ends the session's attempts up to the given one and frees their KV cache.
func (e *HTTPEngine) Cancel(ctx context.Context, session string, attempt int) error {
	return e.callWithin(ctx, http.MethodPost, PathCancel, CancelRequest{Session: session, Attempt: attempt}, nil, true)
}

// ImportFrom makes the engine fetch a KV cache from another one. The whole call
// is bounded by ctx alone, because the answer comes only after the transfer.
func (e *HTTPEngine) ImportFrom(ctx context.Context, source KVSource) error {
	var held SessionProgress
	err := e.call(ctx, http.MethodPost, PathImportKV, source, &held, true)
	if err == nil && (held.Session != source.Session || held.NextPosition != source.Positions) {
		return e.fail(true, http.StatusOK, fmt.Errorf("%w: KV cache of %q with %d positions", ErrMismatch, held.Session, held.NextPosition))
	}
	return err
}

// Order gives the engine its whole wanted assignment.
func (e *HTTPEngine) Order(ctx context.Context, order Order) error {
	return e.callWithin(ctx, http.MethodPost, PathOrder, order, nil, true)
}

// CacheEvents returns the cache events after a sequence number.
func (e *HTTPEngine) CacheEvents(ctx context.Context, after uint64) (CacheEventBatch, error) {
	var batch CacheEventBatch
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := e.callWithin(ctx, http.MethodGet, path, nil, &batch, false)
	return batch, err
}

// Generate opens a generation. The stream ends when ctx does.
func (e *HTTPEngine) Generate(ctx context.Context, req GenerateRequest) (TokenStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	dog := httpcall.NewWatchdog(e.options.silence, cancel)
	resp, err := e.send(ctx, http.MethodPost, PathGenerate, req, false)
	dog.Stop()
	if err != nil {
		cancel()
		return nil, e.silent(dog, err)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxLine)
	return &httpStream{engine: e, body: resp.Body, lines: lines, dog: dog, cancel: cancel}, nil
}

// callWithin is call with the silence limit on the whole call.
func (e *HTTPEngine) callWithin(ctx context.Context, method, path string, in, out any, fresh bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := httpcall.NewWatchdog(e.options.silence, cancel)
	defer dog.Stop()
	return e.silent(dog, e.call(ctx, method, path, in, out, fresh))
}

// call sends one request and decodes the answer into out unless that is nil.
func (e *HTTPEngine) call(ctx context.Context, method, path string, in, out any, fresh bool) error {
	resp, err := e.send(ctx, method, path, in, fresh)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody))
	} else {
		err = json.NewDecoder(resp.Body).Decode(out)
	}
	if err != nil {
		return e.fail(true, resp.StatusCode, fmt.Errorf("read answer: %w", err))
	}
	return nil
}

// send returns the answer when its status is 200.
func (e *HTTPEngine) send(ctx context.Context, method, path string, in any, fresh bool) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, e.fail(false, 0, err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, e.caller.URL(path), body)
	if err != nil {
		return nil, e.fail(false, 0, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := e.caller.Do(req, fresh)
	if err != nil {
		return nil, e.fail(sent, 0, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, e.refusal(resp)
	}
	return resp, nil
}

// refusal returns the error of an answer other than 200. The engine protocol
// promises that a request answered with a 4xx status did not run.
func (e *HTTPEngine) refusal(resp *http.Response) *Error {
	var body ErrorBody
	if json.NewDecoder(io.LimitReader(resp.Body, maxErrorBody)).Decode(&body) != nil {
		body.Message = http.StatusText(resp.StatusCode)
	}
	refused := resp.StatusCode >= 400 && resp.StatusCode < 500
	if refused && body.Refusal == "" {
		body.Refusal = RefusedOther
	}
	failure := e.fail(!refused, resp.StatusCode, body.cause())
	failure.FailedStage = body.FailedStage
	return failure
}

// cause returns the message as an error, a *RefusalError for a refusal.
func (b *ErrorBody) cause() error {
	if b.Refusal != "" {
		return &RefusalError{Refusal: b.Refusal, Message: b.Message}
	}
	return errors.New(b.Message)
}

// silent replaces the cause of err when the watchdog cancelled the call.
func (e *HTTPEngine) silent(dog *httpcall.Watchdog, err error) error {
	var failure *Error
	if err == nil || !dog.Fired() || !errors.As(err, &failure) {
		return err
	}
	e.caller.CloseIdle()
	return e.fail(failure.Sent, failure.Status, &SilentError{For: e.options.silence})
}

func (e *HTTPEngine) fail(sent bool, status int, err error) *Error {
	return &Error{Upstream: e.id, Sent: sent, Status: status, Err: err}
}

// httpStream is an open generation over HTTP. Next is called by one goroutine at a time.
type httpStream struct {
	engine *HTTPEngine
	body   io.ReadCloser
	lines  *bufio.Scanner
	dog    *httpcall.Watchdog
	cancel context.CancelFunc
	ended  bool
	close  sync.Once
}

// Next returns the next event. After the final event it returns io.EOF.
func (s *httpStream) Next(ctx context.Context) (TokenEvent, error) {
	if s.ended {
		return TokenEvent{}, io.EOF
	}
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	s.dog.Reset()
	defer s.dog.Stop()
	for s.lines.Scan() {
		s.dog.Reset()
		var line StreamLine
		if err := json.Unmarshal(s.lines.Bytes(), &line); err != nil {
			return TokenEvent{}, s.fail(fmt.Errorf("stream line: %w", err))
		}
		switch {
		case line.Error != nil:
			failure := s.engine.fail(true, 0, line.Error.cause())
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
		err = ErrNoFinal
	}
	return TokenEvent{}, s.fail(err)
}

// fail closes the stream and returns its error.
func (s *httpStream) fail(err error) error {
	s.Close()
	return s.engine.silent(s.dog, s.engine.fail(true, 0, err))
}

// Close cancels the generation if it has not ended. It is safe to call twice.
func (s *httpStream) Close() error {
	s.close.Do(func() {
		s.dog.Stop()
		if s.ended {
			// Reading to the end lets the connection be used again.
			defer time.AfterFunc(drainLimit, s.cancel).Stop()
			_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxErrorBody))
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
