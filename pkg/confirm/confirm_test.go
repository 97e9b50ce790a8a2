package confirm

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/replica"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// fakeClaims grants or refuses claims and records the calls that it receives.
type fakeClaims struct {
	decision  replica.Decision
	err       error
	done      []record.Done
	abandoned []record.ID
	granted   func()
}

func (f *fakeClaims) Claim(context.Context, replica.ClaimRequest) (replica.Decision, error) {
	if f.granted != nil {
		f.granted()
	}
	return f.decision, f.err
}

func (f *fakeClaims) Done(_ context.Context, d record.Done) error {
	f.done = append(f.done, d)
	return nil
}

func (f *fakeClaims) Abandon(id record.ID) { f.abandoned = append(f.abandoned, id) }

// TestCall guards against a send without a valid claim or after the deadline, a wrong
// outcome, and a done record that closes a claim although its call may have run.
func TestCall(t *testing.T) {
	id := record.ID{7}
	granted := replica.Decision{Claim: id}
	ok := upstream.ServiceResponse{Status: 201, Body: []byte("x")}
	for _, row := range []struct {
		name    string
		claims  fakeClaims
		late    bool
		sendErr error
		sends   int
		done    []record.Done
		outcome result.Outcome
	}{
		{name: "granted", claims: fakeClaims{decision: granted}, sends: 1, done: []record.Done{{Claim: id, Status: 201, Body: []byte("x")}}},
		{name: "refused", claims: fakeClaims{err: result.New(result.LogUnavailable, result.NotRun, "")}, outcome: result.NotRun},
		{name: "replayed", claims: fakeClaims{decision: replica.Decision{Replay: &record.Done{Status: 201, Body: []byte("x")}}}},
		{name: "late", claims: fakeClaims{decision: granted}, late: true, outcome: result.NotRun},
		{name: "not sent", claims: fakeClaims{decision: granted}, sends: 1, sendErr: &upstream.Error{}, done: []record.Done{{Claim: id, NotRun: true}}, outcome: result.NotRun},
		{name: "broke", claims: fakeClaims{decision: granted}, sends: 1, sendErr: &upstream.Error{Sent: true}, outcome: result.OutcomeUnknown},
		{name: "other error", claims: fakeClaims{decision: granted}, sends: 1, sendErr: errors.New("?"), outcome: result.OutcomeUnknown},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if row.late {
				row.claims.granted = cancel
			}
			sends := 0
			response, err := Call(ctx, &row.claims, replica.ClaimRequest{}, func(context.Context) (upstream.ServiceResponse, error) {
				sends++
				return ok, row.sendErr
			})
			is.Equal(sends, row.sends)
			is.Equal(row.claims.done, row.done)
			is.Equal(len(row.claims.abandoned) == 1, row.late)
			if row.outcome == "" {
				is.NoErr(err)
				is.Equal(string(response.Body), "x")
				return
			}
			is.Equal(result.From(err).Outcome, row.outcome)
		})
	}
}

// slowClaims answers only when the context ends.
type slowClaims struct{ fakeClaims }

func (s *slowClaims) Claim(ctx context.Context, _ replica.ClaimRequest) (replica.Decision, error) {
	<-ctx.Done()
	return s.decision, s.err
}

func (s *slowClaims) Done(ctx context.Context, _ record.Done) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestSlowLog guards against a caller that waits for a slow log until its deadline has
// passed, either before the call is sent or afterwards.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		claims := &slowClaims{fakeClaims{decision: replica.Decision{Claim: record.ID{1}}}}
		start := time.Now()
		_, err := Call(ctx, claims, replica.ClaimRequest{}, func(context.Context) (upstream.ServiceResponse, error) {
			is.Equal(time.Since(start), 5*time.Second)
			return upstream.ServiceResponse{}, nil
		})
		is.NoErr(err)
		is.Equal(time.Since(start), 9500*time.Millisecond)
	})
}
