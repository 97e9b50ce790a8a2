package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/internal/httpcall"
)

// maxServiceBody is the largest size of a plain service's answer, in bytes.
const maxServiceBody = 8 << 20

// HTTPService is the HTTP client of one server of a plain service. Each call with
// an idempotency key opens a new connection: a pooled connection may have gone
// silent, and the outcome of the call would then be unknown needlessly. Other calls
// use pooled connections and fail after the silence timeout.
type HTTPService struct {
	id      fleet.UpstreamID
	path    string
	caller  *httpcall.Caller
	options options
}

var _ Service = (*HTTPService)(nil)

// NewHTTPService returns a client that posts to the path at the address, an
// IP:port or a URL. A nil client means http.DefaultClient.
func NewHTTPService(id fleet.UpstreamID, address, path string, client *http.Client, opts ...Option) *HTTPService {
	return &HTTPService{id: id, path: path, caller: httpcall.New(address, client), options: applyOptions(opts)}
}

// Call sends the request once and never retries. An answer with a status below 500,
// other than 429, and with the request's ID is returned as it is, also if the service
// refused the request. Status 429 guarantees that the request did not run. After any
// other failure on an open connection the request may have run.
func (s *HTTPService) Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error) {
	if req.Key != "" {
		return s.call(ctx, req)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := httpcall.NewWatchdog(s.options.silenceTimeout, cancel)
	defer watchdog.Stop()
	resp, err := s.call(ctx, req)
	var failure *Error
	if watchdog.Fired() && errors.As(err, &failure) {
		s.caller.CloseIdle()
		err = s.newError(failure.Sent, failure.Status, &SilentError{For: s.options.silenceTimeout})
	}
	return resp, err
}

// call sends the request over a new connection if it has an idempotency key.
func (s *HTTPService) call(ctx context.Context, req ServiceRequest) (ServiceResponse, error) {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, s.caller.URL(s.path), bytes.NewReader(req.Body))
	if err != nil {
		return ServiceResponse{}, s.newError(false, 0, err)
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set(HeaderRequestID, string(req.RequestID))
	httpReq.Header.Set(HeaderRoute, string(req.Route))
	httpReq.Header.Set(HeaderTeam, string(req.Team))
	if req.Key != "" {
		httpReq.Header.Set(HeaderIdempotencyKey, req.Key)
	}
	resp, sent, err := s.caller.Do(httpReq, req.Key != "")
	if err != nil {
		return ServiceResponse{}, s.newError(sent, 0, err)
	}
	defer resp.Body.Close()
	return s.readAnswer(req, resp)
}

// readAnswer checks that the response belongs to the request and reads its whole body.
func (s *HTTPService) readAnswer(req ServiceRequest, resp *http.Response) (ServiceResponse, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return ServiceResponse{}, s.newError(false, resp.StatusCode, ErrRefused)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return ServiceResponse{}, s.newError(true, resp.StatusCode, errors.New(http.StatusText(resp.StatusCode)))
	}
	if got := resp.Header.Get(HeaderRequestID); got != string(req.RequestID) {
		return ServiceResponse{}, s.newError(true, resp.StatusCode, fmt.Errorf("%w: %q", ErrAnswerMismatch, got))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBody+1))
	if err != nil {
		return ServiceResponse{}, s.newError(true, resp.StatusCode, fmt.Errorf("read answer: %w", err))
	}
	if len(body) > maxServiceBody {
		return ServiceResponse{}, s.newError(true, resp.StatusCode, fmt.Errorf("answer longer than %d bytes", maxServiceBody))
	}
	return ServiceResponse{
		RequestID:   req.RequestID,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func (s *HTTPService) newError(sent bool, status int, err error) *Error {
	return &Error{Upstream: s.id, Sent: sent, Status: status, Err: err}
}
