package entry

import (
	"context"
	"errors"
	"net"
	"net/url"

	"github.com/cornelline/cornelline/internal/liveness"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/quarantine"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// admit waits until the call may run. Calls that resemble it may have crashed their servers.
func (c *serviceCall) admit(ctx context.Context) error {
	f := quarantine.NewFingerprint(c.team, fleet.ModelID("service "+string(c.route)), c.body)
	if c.server.soundCalls.Contains(f.RequestPart()) {
		return nil
	}
	c.suspect = &f
	return c.server.suspects.admitRequest(ctx, c.id, c.suspect)
}

// readmit waits until the call may run again after a failed attempt. One that may have crashed its
// server runs under a permit, and not at all after two crashes.
func (c *serviceCall) readmit(ctx context.Context, failure error, target fleet.UpstreamID) error {
	if c.suspect == nil || !isBroken(failure) {
		return nil
	}
	c.server.suspects.recordEnd(c.id, false)
	err := c.server.suspects.admitRequest(ctx, c.id, c.suspect)
	if err == nil {
		return nil
	}
	c.addStep("held back", target, err.Error())
	c.suspect = nil // it runs no more
	return result.New(result.From(err).Code, result.OutcomeUnknown, "the server ended with the call, and it is not sent to another one").WithCause(failure)
}

// recordEnd records the end of the call.
func (c *serviceCall) recordEnd(answered bool) {
	if c.suspect == nil {
		return
	}
	c.server.suspects.recordEnd(c.id, answered)
	if answered {
		c.server.soundCalls.Add(c.suspect.RequestPart())
	}
}

// isBroken reports whether an attempt was sent and its connection broke without an answer.
func isBroken(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure) && failure.Sent && failure.Status == 0 && !errors.Is(err, upstream.ErrSilent)
}

// hasEnded reports whether an attempt broke and the process of its server has ended.
func hasEnded(ctx context.Context, address string, err error) bool {
	if !isBroken(err) {
		return false
	}
	if u, parseErr := url.Parse(address); parseErr == nil && u.Host != "" {
		address = u.Host
	}
	return liveness.HasEnded(ctx, new(net.Dialer).DialContext, address)
}
