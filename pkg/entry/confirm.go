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

// confirmed is the end of a call under a claim.
type confirmed struct {
	answer upstream.ServiceResponse
	err    error
}

// confirm runs a call that may not be repeated. Once it is sent it goes on when
// the caller leaves or its deadline passes, so that its outcome is recorded.
func (c *serviceCall) confirm(ctx context.Context) (upstream.ServiceResponse, error) {
	if !c.server.drain.enter() {
		return upstream.ServiceResponse{}, result.New(result.Draining, result.NotRun, "this VM stops")
	}
	ended := make(chan confirmed, 1)
	sent := make(chan struct{})
	go func() {
		defer c.server.drain.exit()
		answer, err := c.claimAndSend(ctx, sent)
		ended <- confirmed{answer, err}
	}()
	select {
	case end := <-ended:
		return end.answer, end.err
	case <-ctx.Done():
	}
	return c.leftBehind(ctx, ended, sent)
}

// leftBehind answers a caller whose deadline passed or who left while the call
// goes on. Before the send nothing has run and the claim gives up by itself.
func (c *serviceCall) leftBehind(ctx context.Context, ended <-chan confirmed, sent <-chan struct{}) (upstream.ServiceResponse, error) {
	select {
	case end := <-ended:
		return end.answer, end.err
	case <-sent:
	}
	code, detail := result.DeadlineExceeded, "the deadline passed after the call was sent; ask again with the same key"
	if errors.Is(ctx.Err(), context.Canceled) {
		code, detail = result.CancelledByCaller, "the caller left after the call was sent"
	}
	return upstream.ServiceResponse{}, result.New(code, result.OutcomeUnknown, "%s", detail)
}

// claimWait bounds the wait for a claim to be read back. An append and a read
// take tens of milliseconds; a log that needs longer than 3 s is as good as away,
// and the caller is told at once to come back.
const claimWait = 3 * time.Second

// claimAndSend claims the key, sends the call once and records its outcome.
// sent is closed just before the call is sent.
func (c *serviceCall) claimAndSend(ctx context.Context, sent chan<- struct{}) (upstream.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	request := replica.ClaimRequest{Team: c.team, Route: c.route, Key: c.keyText(), Body: sha256.Sum256(c.body)}
	return confirm.Call(ctx, c.server.claims, request, func(context.Context) (upstream.ServiceResponse, error) {
		c.note("claimed", "", "key "+c.keyText())
		close(sent)
		answer, _, err := c.send(context.WithoutCancel(ctx), nil)
		return answer, notSent(err)
	})
}

// notSent marks errors from before the choice of a server as certainly not sent.
func notSent(err error) error {
	if errors.Is(err, route.ErrNoServer) || errors.Is(err, route.ErrUnknownRoute) {
		return &upstream.Error{Sent: false, Err: err}
	}
	return err
}
