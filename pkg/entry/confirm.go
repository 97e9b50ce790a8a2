package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/cornelline/cornelline/pkg/confirm"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/route"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// callResult is the result of a call under a claim.
type callResult struct {
	answer upstream.ServiceResponse
	err    error
}

// runOnce runs a call that may not be repeated. Once sent, the call continues when
// the caller disconnects or the deadline passes, so that its outcome is recorded.
func (c *serviceCall) runOnce(ctx context.Context) (upstream.ServiceResponse, error) {
	if !c.server.drain.enter() {
		return upstream.ServiceResponse{}, result.New(result.Draining, result.NotRun, "this VM stops")
	}
	results := make(chan callResult, 1)
	sent := make(chan struct{})
	go func() {
		defer c.server.drain.exit()
		answer, err := c.claimAndSend(ctx, sent)
		results <- callResult{answer, err}
	}()
	select {
	case res := <-results:
		return res.answer, res.err
	case <-ctx.Done():
	}
	return c.answerAbandoned(ctx, results, sent)
}

// answerAbandoned returns the error for a call whose deadline passed or whose caller
// disconnected while the call continues. It first waits until the call is sent or
// ends: before the send nothing has run, and claiming the key stops with ctx.
func (c *serviceCall) answerAbandoned(ctx context.Context, results <-chan callResult, sent <-chan struct{}) (upstream.ServiceResponse, error) {
	select {
	case res := <-results:
		return res.answer, res.err
	case <-sent:
	}
	code, detail := result.DeadlineExceeded, "the deadline passed after the call was sent; ask again with the same key"
	if errors.Is(ctx.Err(), context.Canceled) {
		code, detail = result.CancelledByCaller, "the caller left after the call was sent"
	}
	return upstream.ServiceResponse{}, result.New(code, result.OutcomeUnknown, "%s", detail)
}

// claimTimeout bounds the wait for a claim to be read back. An append and a read
// take tens of milliseconds; a log that needs longer than 3 s is treated as
// unavailable, and the caller is told at once to retry.
const claimTimeout = 3 * time.Second

// claimAndSend claims the key, sends the call once and records its outcome.
// sent is closed just before the call is sent.
func (c *serviceCall) claimAndSend(ctx context.Context, sent chan<- struct{}) (upstream.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	request := replica.ClaimRequest{Team: c.team, Route: c.route, Key: c.keyString(), BodyHash: sha256.Sum256(c.body)}
	return confirm.Call(ctx, c.server.claims, request, func(context.Context) (upstream.ServiceResponse, error) {
		c.addStep("claimed", "", "key "+c.keyString())
		close(sent)
		answer, _, err := c.send(context.WithoutCancel(ctx), nil)
		return answer, markNotSent(err)
	})
}

// markNotSent marks an error that arose before a server was chosen as one of a call
// that was not sent.
func markNotSent(err error) error {
	if errors.Is(err, route.ErrNoServer) || errors.Is(err, route.ErrUnknownRoute) {
		return &upstream.Error{Sent: false, Err: err}
	}
	return err
}
