package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cornelline/cornelline/pkg/internal/httpcall"
)

// Paths of the platform's services. The log's are under PathStreams/{stream}/records.
const (
	PathStreams    = "/v1/streams/"
	PathWeightRate = "/v1/rate"
	PathVMs        = "/v1/vms"
)

// callLimit bounds a call whose context has no earlier deadline.
const callLimit = 10 * time.Second

// Error is a failed call to a platform service. It wraps one of the errors of
// this package and the cause.
type Error struct {
	// Sent is false only when it is certain that the call had no effect: no
	// connection was made, or the service refused it.
	Sent   bool
	Status int
	Kind   error
	Err    error
}

// Error formats the kind, the status and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%v: status %d, sent %t: %v", e.Kind, e.Status, e.Sent, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Err} }

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	First uint64 `json:"first"`
}

// RateResponse is the weight store's answer.
type RateResponse struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// VMListResponse is the VM list's answer.
type VMListResponse struct {
	VMs []VMEntry `json:"vms"`
}

// HTTPLog is the HTTP client of the log service.
type HTTPLog struct{ caller *httpcall.Caller }

// HTTPWeightStore is the HTTP client of the weight store.
type HTTPWeightStore struct{ caller *httpcall.Caller }

// HTTPVMList is the HTTP client of the VM list.
type HTTPVMList struct{ caller *httpcall.Caller }

var (
	_ Log         = (*HTTPLog)(nil)
	_ WeightStore = (*HTTPWeightStore)(nil)
	_ VMList      = (*HTTPVMList)(nil)
)

// NewHTTPLog returns a client of the log. A nil client means http.DefaultClient.
func NewHTTPLog(baseURL string, client *http.Client) *HTTPLog {
	return &HTTPLog{caller: httpcall.New(baseURL, client)}
}

// NewHTTPWeightStore returns a client of the weight store. A nil client means http.DefaultClient.
func NewHTTPWeightStore(baseURL string, client *http.Client) *HTTPWeightStore {
	return &HTTPWeightStore{caller: httpcall.New(baseURL, client)}
}

// NewHTTPVMList returns a client of the VM list. A nil client means http.DefaultClient.
func NewHTTPVMList(baseURL string, client *http.Client) *HTTPVMList {
	return &HTTPVMList{caller: httpcall.New(baseURL, client)}
}

// Append adds records to a stream in one call. Only an *Error with Sent false
// states that nothing was added.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var answer AppendResponse
	path := PathStreams + url.PathEscape(stream) + "/records"
	err := call(ctx, l.caller, http.MethodPost, path, AppendRequest{Records: records}, &answer)
	return answer.First, err
}

// Read returns at most max records from an offset on. With ErrTruncated the
// batch says which offsets the log still has.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, max int) (Batch, error) {
	var batch Batch
	path := fmt.Sprintf("%s%s/records?from=%d&max=%d", PathStreams, url.PathEscape(stream), from, max)
	err := call(ctx, l.caller, http.MethodGet, path, nil, &batch)
	return batch, err
}

// Rate returns the total rate of the store in bytes per second.
func (w *HTTPWeightStore) Rate(ctx context.Context) (float64, error) {
	var answer RateResponse
	err := call(ctx, w.caller, http.MethodGet, PathWeightRate, nil, &answer)
	return answer.BytesPerSecond, err
}

// List returns the VMs that the platform lists.
func (v *HTTPVMList) List(ctx context.Context) ([]VMEntry, error) {
	var answer VMListResponse
	err := call(ctx, v.caller, http.MethodGet, PathVMs, nil, &answer)
	return answer.VMs, err
}

// call sends one request and decodes the answer into out, also when the error is ErrTruncated.
func call(ctx context.Context, caller *httpcall.Caller, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, caller.URL(path), body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, sent, err := caller.Do(req, false)
	if err != nil {
		if ctx.Err() != nil {
			// Other idle connections may have gone silent together with this one.
			caller.CloseIdle()
		}
		return &Error{Sent: sent, Kind: ErrUnavailable, Err: err}
	}
	defer resp.Body.Close()
	return decode(resp, out)
}

// decode maps the status to an error and reads the answer.
func decode(resp *http.Response, out any) error {
	failure := &Error{Sent: true, Status: resp.StatusCode, Kind: ErrUnavailable, Err: errors.New(http.StatusText(resp.StatusCode))}
	switch resp.StatusCode {
	case http.StatusOK:
		failure = nil
	case http.StatusTooManyRequests:
		failure.Sent, failure.Kind = false, ErrRateLimited
		return failure
	case http.StatusGone:
		failure.Kind = ErrTruncated
	default:
		return failure
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return &Error{Sent: true, Status: resp.StatusCode, Kind: ErrUnavailable, Err: fmt.Errorf("read answer: %w", err)}
	}
	if failure != nil {
		return failure
	}
	return nil
}
