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

// maxServiceBody is the longest answer of a plain service that is read, in bytes.
const maxServiceBody = 8 << 20

// HTTPService is the HTTP client of one server of a plain service. Calls with an
// idempotency key use a new connection each: an open one may have gone silent,
// and then the outcome would be unknown for nothing. Other calls use pooled
// connections and fail after the silence limit.
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
	return &HTTPService{id: id, path: path, caller: httpcall.New(address, client), options: collect(opts)}
}

// Call sends the request once and never retries. An answer below 500 that names
// the request is returned as it is, also a refusal by the service. Status 429
// promises that the request did not run; any other failure after the connection
// was made leaves that open.
func (s *HTTPService) Call(ctx context.Context, req ServiceRequest) (ServiceResponse, error) {
	if req.Key != "" {
		return s.call(ctx, req)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := httpcall.NewWatchdog(s.options.silence, cancel)
	defer dog.Stop()
	resp, err := s.call(ctx, req)
	var failure *Error
	if dog.Fired() && errors.As(err, &failure) {
		s.caller.CloseIdle()
		err = s.fail(failure.Sent, failure.Status, &SilentError{For: s.options.silence})
	}
	return resp, err
}

// call sends the request over a new connection if it has an idempotency key.
func (s *HTTPService) call(ctx context.Context, req ServiceRequest) (ServiceResponse, error) {
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, s.caller.URL(s.path), bytes.NewReader(req.Body))
	if err != nil {
		return ServiceResponse{}, s.fail(false, 0, err)
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
		return ServiceResponse{}, s.fail(sent, 0, err)
	}
	defer resp.Body.Close()
	return s.answer(req, resp)
}

// answer checks that the response belongs to the request and reads it whole.
func (s *HTTPService) answer(req ServiceRequest, resp *http.Response) (ServiceResponse, error) {
	if resp.StatusCode == http.StatusTooManyRequests {
		return ServiceResponse{}, s.fail(false, resp.StatusCode, ErrRefused)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return ServiceResponse{}, s.fail(true, resp.StatusCode, errors.New(http.StatusText(resp.StatusCode)))
	}
	if got := resp.Header.Get(HeaderRequestID); got != string(req.RequestID) {
		return ServiceResponse{}, s.fail(true, resp.StatusCode, fmt.Errorf("%w: %q", ErrMismatch, got))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBody+1))
	if err != nil {
		return ServiceResponse{}, s.fail(true, resp.StatusCode, fmt.Errorf("read answer: %w", err))
	}
	if len(body) > maxServiceBody {
		return ServiceResponse{}, s.fail(true, resp.StatusCode, fmt.Errorf("answer longer than %d bytes", maxServiceBody))
	}
	return ServiceResponse{
		RequestID:   req.RequestID,
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func (s *HTTPService) fail(sent bool, status int, err error) *Error {
	return &Error{Upstream: s.id, Sent: sent, Status: status, Err: err}
}
