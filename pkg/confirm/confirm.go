// Package confirm runs calls that must not be repeated. It claims the idempotency key,
// reads the claim back, sends the call once, records the outcome and answers the caller.
package confirm

import (
	"context"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// Claims is the part of replica.Runner that Call needs.
type Claims interface {
	Claim(ctx context.Context, req replica.ClaimRequest) (replica.Decision, error)
	Done(ctx context.Context, done record.Done) error
	Abandon(claimID record.ID)
}

// Send sends the call to the service once. Its error is an *upstream.Error.
type Send func(ctx context.Context) (upstream.ServiceResponse, error)

// Timeouts of calls to the log, as fractions of the time left before the caller's deadline.
const (
	// claimShare bounds the wait for the claim. With a slow log the caller gets an early
	// "not run" error; otherwise the call itself has time left.
	claimShare = 0.5
	// doneShare bounds the wait for the done record, so that the response still reaches
	// the caller before its deadline.
	doneShare = 0.9
)

// withShare returns a context that ends after a share of the time left before ctx's
// deadline. Without a deadline it never ends by itself.
func withShare(ctx context.Context, share float64) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(time.Until(deadline))*share))
}

// Call runs a call that must not be repeated. It runs send at most once, and no other
// call with the same key runs send. ctx carries the caller's deadline. The error is a
// *result.Error.
func Call(ctx context.Context, claims Claims, req replica.ClaimRequest, send Send) (upstream.ServiceResponse, error) {
	claimCtx, cancel := withShare(ctx, claimShare)
	d, err := claims.Claim(claimCtx, req)
	cancel()
	if err != nil {
		return upstream.ServiceResponse{}, err
	}
	if d.Replay != nil {
		return Replay(d.Replay)
	}
	if ctx.Err() != nil {
		claims.Abandon(d.Claim)
		return upstream.ServiceResponse{}, result.New(result.DeadlineExceeded, result.NotRun, "the deadline passed before the call was sent")
	}
	response, err := send(ctx)
	done, failure := Conclude(d.Claim, response, err)
	if done == nil {
		return upstream.ServiceResponse{}, failure
	}
	doneCtx, cancel := withShare(ctx, doneShare)
	defer cancel()
	// The call has run, so the caller gets its response even if the done record was not
	// appended in time.
	_ = claims.Done(doneCtx, *done)
	if failure != nil {
		return upstream.ServiceResponse{}, failure
	}
	return response, nil
}

// Replay returns the recorded outcome of an earlier call.
func Replay(done *record.Done) (upstream.ServiceResponse, error) {
	return upstream.ServiceResponse{Status: done.Status, ContentType: done.ContentType, Body: done.Body}, nil
}

// Conclude returns the done record to append after a send, and the error for the caller.
// The record is nil if it is unknown whether the call ran. The claim then stays without
// an outcome, and other requests with the key get an error that says so.
func Conclude(claimID record.ID, response upstream.ServiceResponse, err error) (*record.Done, error) {
	if err == nil {
		return &record.Done{Claim: claimID, Status: response.Status, ContentType: response.ContentType, Body: response.Body}, nil
	}
	var upstreamErr *upstream.Error
	if errors.As(err, &upstreamErr) && !upstreamErr.Sent {
		return &record.Done{Claim: claimID, NotRun: true},
			result.New(result.UpstreamFailed, result.NotRun, "the service could not be reached").WithCause(err)
	}
	return nil, result.New(result.UpstreamOutcomeUnknown, result.OutcomeUnknown, "the connection broke after the call was sent").WithCause(err)
}
