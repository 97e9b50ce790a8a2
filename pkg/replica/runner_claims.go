package replica

import (
	"context"
	"time"

	"github.com/cornelline/cornelline/pkg/claim"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/result"
)

// claimUnavailable returns the error for a call whose idempotency key can't be
// checked. This attempt was not sent, but an earlier one with the same key may have
// run through another VM, so the outcome "not run" could be wrong.
func claimUnavailable(detail string) *result.Error {
	e := unavailable(detail + "; whether an earlier call with the key ran is not known")
	e.Outcome = result.OutcomeUnknown
	return e
}

// ClaimRequest requests the exclusive right to send one call that must not be repeated.
type ClaimRequest struct {
	Team  fleet.TeamID
	Route fleet.RouteID
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is the SHA-256 hash of the request body.
	BodyHash [32]byte
}

// Decision is the result of a successful ClaimRequest.
type Decision struct {
	// Claim is the identity of the valid claim if Replay is nil. The call may then be
	// sent once.
	Claim record.ID
	// Replay is the recorded outcome of an earlier call with the same key and body, or nil.
	Replay *record.Done
}

// Claim claims a key and waits until the claim is read back as valid. If it returns
// an error, the call was not sent and must not be sent. The error is a *result.Error.
func (r *Runner) Claim(ctx context.Context, req ClaimRequest) (Decision, error) {
	key, err := claim.ParseKey(req.Key)
	if err != nil {
		return Decision{}, result.New(result.InvalidHeader, result.NotRun, "the idempotency key must be a version 7 UUID").WithCause(err)
	}
	c := &record.Claim{Team: req.Team, Route: req.Route, Key: key, BodyHash: req.BodyHash, Holder: r.cfg.VM}
	id := r.cfg.NewID()
	refusal := claimUnavailable("nothing was claimed")
	var info claim.Info
	o := r.propose(ctx, record.Record{ID: id, Kind: record.KindClaim, Claim: c}, func(now time.Time) bool {
		info, refusal = r.lookup(c, now)
		return refusal == nil && info.Status == claim.Free
	})
	switch {
	case refusal != nil:
		return Decision{}, refusal
	case info.Status == claim.Finished:
		return r.replay(ctx, info.DoneOffset)
	case !o.decided:
		return Decision{}, claimUnavailable("the claim was given up before anything was sent")
	case o.verdict.Valid():
		return Decision{Claim: id}, nil
	case o.verdict.Reason == Expired:
		return Decision{}, keyExpired()
	}
	return r.resolveLostClaim(ctx, c)
}

// resolveLostClaim returns the result for a claim that is void because an earlier
// claim holds the key.
func (r *Runner) resolveLostClaim(ctx context.Context, c *record.Claim) (Decision, error) {
	refusal := claimUnavailable("nothing was claimed")
	var info claim.Info
	r.do(ctx, func(now time.Time) []Action {
		info, refusal = r.lookup(c, now)
		return nil
	})
	if refusal == nil && info.Status == claim.Finished {
		return r.replay(ctx, info.DoneOffset)
	}
	if refusal == nil {
		refusal = claimUnavailable("the other claim was forgotten meanwhile")
	}
	return Decision{}, refusal
}

// keyExpired returns the error for a key older than the window. Its outcome is
// unknown, because an earlier call with the key may have run.
func keyExpired() *result.Error {
	return result.New(result.KeyExpired, result.OutcomeUnknown, "the idempotency key is older than claims.window; an earlier call with it may have run")
}

// lookup returns the state of a key, and an error for the caller unless the key is
// free or its call has finished. It must run in the runner's goroutine.
func (r *Runner) lookup(c *record.Claim, now time.Time) (claim.Info, *result.Error) {
	keyTime, _ := claim.KeyTime(c.Key)
	info := r.replica.Lookup(c)
	switch {
	case keyTime.After(now.Add(maxKeyClockSkew)):
		return info, result.New(result.InvalidHeader, result.NotRun, "the idempotency key's time is in the future")
	case now.Sub(keyTime) > r.replica.params.Window, info.Status == claim.Forgotten:
		return info, keyExpired()
	case info.Status == claim.Reused:
		return info, result.New(result.KeyReused, result.NotRun, "the idempotency key was used with another body")
	case info.Status == claim.Abandoned:
		return info, result.New(result.ClaimAbandoned, result.NotRun, "an earlier call with the key was given up before it was sent; use a new key")
	case info.Status == claim.Pending:
		return info, r.pendingError(info, now)
	case info.Status == claim.Free && !r.replica.LogUp():
		return info, claimUnavailable("nothing was claimed")
	}
	return info, nil
}

// pendingError returns the error for a key with a pending claim. The call is reported
// as in progress, or as unknown if the claim's holder has terminated or the claim is
// older than PendingLimit.
func (r *Runner) pendingError(info claim.Info, now time.Time) *result.Error {
	terminated := r.cfg.HolderTerminated != nil && r.cfg.HolderTerminated(info.Holder)
	if terminated || now.Sub(info.Since) > r.cfg.PendingLimit {
		return result.New(result.ClaimOutcomeUnknown, result.OutcomeUnknown, "the holder of the claim recorded no outcome; the call may have run")
	}
	return result.New(result.ClaimInProgress, result.OutcomeUnknown, "a call with this key is in progress").WithRetryAfter(progressRetryAfter)
}

// replay reads the done record of a finished claim from the log.
func (r *Runner) replay(ctx context.Context, offset uint64) (Decision, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch, err := r.cfg.Log.Read(callCtx, r.cfg.Stream, offset, 1)
	if err == nil && len(batch.Records) > 0 && batch.Records[0].Offset == offset {
		rec, err := record.Decode(batch.Records[0].Data)
		if err == nil && rec.Kind == record.KindDone {
			return Decision{Replay: rec.Done}, nil
		}
	}
	return Decision{}, result.New(result.LogUnavailable, result.Ran, "the call ran, its recorded answer could not be read").
		WithRetryAfter(outageRetryAfter).WithCause(err)
}

// Abandon releases a valid claim whose call was certainly not sent. The call must not
// be sent afterwards.
func (r *Runner) Abandon(claimID record.ID) {
	r.do(context.Background(), func(now time.Time) []Action { return r.replica.Abandon(claimID, now) })
}

// Done records the outcome of a claimed call and waits until the record is read back
// or ctx ends. The record is appended even if ctx has ended.
func (r *Runner) Done(ctx context.Context, done record.Done) error {
	id := r.cfg.NewID()
	data, err := record.Encode(record.Record{ID: id, Kind: record.KindDone, Done: &done})
	if err != nil {
		return err
	}
	answer := make(chan outcome, 1)
	r.do(context.Background(), func(now time.Time) []Action {
		r.waiters[id] = answer
		return r.replica.Propose(id, data, now)
	})
	select {
	case <-answer:
		return nil
	case <-r.stopped:
	case <-ctx.Done():
	}
	return unavailable("the outcome is not recorded yet")
}
