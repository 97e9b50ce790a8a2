package pipeline

import (
	"errors"

	"github.com/cornelline/cornelline/pkg/result"
)

// outcome states truthfully whether the request ran.
func (s *Session) outcome() result.Outcome {
	switch {
	case len(s.accepted) > 0:
		return result.Ran
	case s.sent:
		return result.OutcomeUnknown
	default:
		return result.NotRun
	}
}

// stated returns the error with the session's outcome.
func (s *Session) stated(err *result.Error) *result.Error {
	c := *err
	c.Outcome = s.outcome()
	return &c
}

// failed returns the error of a session that ends without a final event. After
// the first token the code is StreamBroken, whatever the reason.
func (s *Session) failed(code result.Code, reason string) *result.Error {
	outcome := s.outcome()
	err := result.New(code, outcome, "%s", reason)
	if outcome == result.Ran {
		err = result.New(result.StreamBroken, outcome, "the stream broke after %d tokens: %s", len(s.accepted), reason)
	}
	if s.failure != nil {
		err = err.WithCause(s.failure)
	}
	return err.WithRetryAfter(s.limits.RetryAfter)
}

// exhausted returns the error of a session that has used its attempts.
func (s *Session) exhausted() *result.Error {
	if isOneOf(s.failure, ErrGap, ErrReceipts, ErrCount) {
		return s.failed(result.AnswerMismatch, "the last attempt was answered wrongly")
	}
	return s.failed(result.UpstreamFailed, "the last attempt failed")
}

// planError returns the error of a session for which there is no chain. A
// *result.Error of the planner keeps its code and retry-after time.
func (s *Session) planError(err error) *result.Error {
	var planned *result.Error
	switch {
	case errors.As(err, &planned):
		failed := s.failed(planned.Code, planned.Detail).WithCause(err)
		if planned.RetryAfter > 0 {
			failed = failed.WithRetryAfter(planned.RetryAfter)
		}
		return failed
	case errors.Is(err, ErrPlan):
		return s.failed(result.Internal, "the planned chain does not fit").WithCause(err)
	default:
		return s.failed(result.NoUpstream, "no chain of engines is available").WithCause(err)
	}
}
