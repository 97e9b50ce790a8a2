// Package confirm runs a call that must not be repeated: claim, read back, send
// once, record the outcome, answer.
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

// Claims is the part of replica.Runner that a call needs.
type Claims interface {
	Claim(ctx context.Context, req replica.ClaimRequest) (replica.Decision, error)
	Done(ctx context.Context, done record.Done) error
	Abandon(claimID record.ID)
}

// Send sends the call to the service once. Its error is an *upstream.Error.
type Send func(ctx context.Context) (upstream.ServiceResponse, error)

// Shares of the time left before the deadline.
const (
	// claimShare bounds the wait for the claim, so that a slow log leads to an
	// early "not run" and leaves time for the call itself.
	claimShare = 0.5
	// doneShare bounds the wait for the done record, so that the answer still
	// reaches the caller before its deadline.
	doneShare = 0.9
)

// within returns a context that ends after a share of the time left before ctx's deadline.
func within(ctx context.Context, share float64) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(float64(time.Until(deadline))*share))
}

// Call runs a non-repeatable call. send runs at most once here, and nowhere else
// for the same key. ctx carries the caller's deadline. The error is a *result.Error.
func Call(ctx context.Context, claims Claims, req replica.ClaimRequest, send Send) (upstream.ServiceResponse, error) {
	claimCtx, cancel := within(ctx, claimShare)
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
	doneCtx, cancel := within(ctx, doneShare)
	defer cancel()
	// The caller gets its answer even when the record is late: the call ran.
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

// Conclude returns the done record that a send calls for, and the error for the
// caller. The record is nil when it is unknown whether the call ran: the claim
// then stays without an outcome, and others with the key are told so.
func Conclude(claimID record.ID, response upstream.ServiceResponse, err error) (*record.Done, error) {
	if err == nil {
		return &record.Done{Claim: claimID, Status: response.Status, ContentType: response.ContentType, Body: response.Body}, nil
	}
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		return &record.Done{Claim: claimID, NotRun: true},
			result.New(result.UpstreamFailed, result.NotRun, "the service could not be reached").WithCause(err)
	}
	return nil, result.New(result.UpstreamUnknown, result.OutcomeUnknown, "the connection broke after the call was sent").WithCause(err)
}
