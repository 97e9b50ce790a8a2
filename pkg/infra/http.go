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

// Paths of the platform's services. The log serves each stream under
// PathStreams + "{stream}/records".
const (
	PathStreams    = "/v1/streams/"
	PathWeightRate = "/v1/rate"
	PathVMs        = "/v1/vms"
)

// callTimeout is the deadline of a call whose context has no earlier one.
const callTimeout = 10 * time.Second

// Error is a failed call to a platform service. It wraps ErrUnavailable, ErrRateLimited
// or ErrTruncated, and the cause.
type Error struct {
	// Sent is false only when it is certain that the call had no effect: no
	// connection was made, or the service refused the call.
	Sent bool
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Kind is ErrUnavailable, ErrRateLimited or ErrTruncated.
	Kind error
	// Err is the cause.
	Err error
}

// Error returns the kind, the status, whether the call was sent, and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%v: status %d, sent %t: %v", e.Kind, e.Status, e.Sent, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Err} }

// AppendRequest is the request body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response body of an append.
type AppendResponse struct {
	// First is the offset of the first appended record.
	First uint64 `json:"first"`
}

// RateResponse is the weight store's response body.
type RateResponse struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// VMListResponse is the VM list's response body.
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

// Append adds records to a stream in one call and returns the offset of the first one.
// Only an *Error whose Sent is false guarantees that no record was added.
func (l *HTTPLog) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var response AppendResponse
	path := PathStreams + url.PathEscape(stream) + "/records"
	err := call(ctx, l.caller, http.MethodPost, path, AppendRequest{Records: records}, &response, maxResponseBytes)
	return response.First, err
}

// Read returns at most max records, starting at offset from. If the error is
// ErrTruncated, the batch holds the range of offsets that the log keeps.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, max int) (Batch, error) {
	var batch Batch
	path := fmt.Sprintf("%s%s/records?from=%d&max=%d", PathStreams, url.PathEscape(stream), from, max)
	err := call(ctx, l.caller, http.MethodGet, path, nil, &batch, maxBatchBytes)
	return batch, err
}

// Rate returns the store's total transfer rate in bytes per second.
func (w *HTTPWeightStore) Rate(ctx context.Context) (float64, error) {
	var response RateResponse
	err := call(ctx, w.caller, http.MethodGet, PathWeightRate, nil, &response, maxResponseBytes)
	return response.BytesPerSecond, err
}

// List returns the platform's VM list.
func (v *HTTPVMList) List(ctx context.Context) ([]VMEntry, error) {
	var response VMListResponse
	err := call(ctx, v.caller, http.MethodGet, PathVMs, nil, &response, maxResponseBytes)
	return response.VMs, err
}

// call sends one request and decodes the response, of which it reads at most maxBytes, into out. It
// also decodes the response if the error is ErrTruncated.
func call(ctx context.Context, caller *httpcall.Caller, method, path string, in, out any, maxBytes int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
			// The peer may have stopped answering on the idle connections as well, so
			// later calls must not reuse them.
			caller.CloseIdle()
		}
		return &Error{Sent: sent, Kind: ErrUnavailable, Err: err}
	}
	defer resp.Body.Close()
	return decodeResponse(resp, out, maxBytes)
}

const (
	// maxResponseBytes bounds what is read of most responses. The list of 3,248 VMs is well below it.
	maxResponseBytes = 4 << 20
	// maxBatchBytes bounds what is read of a batch of records.
	maxBatchBytes = 16 << 20
)

// decodeResponse maps the status to an error and decodes the response body.
func decodeResponse(resp *http.Response, out any, maxBytes int64) error {
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
	if err := httpcall.DecodeJSON(resp, out, maxBytes); err != nil {
		return &Error{Sent: true, Status: resp.StatusCode, Kind: ErrUnavailable, Err: fmt.Errorf("decode response: %w", err)}
	}
	if failure != nil {
		return failure
	}
	return nil
}
