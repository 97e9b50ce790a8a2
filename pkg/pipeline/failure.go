package pipeline

import (
	"errors"

	"github.com/cornelline/cornelline/pkg/result"
)

// outcome states whether the request ran, did not run or may have run.
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

// withOutcome returns a copy of the error with the session's outcome.
func (s *Session) withOutcome(err *result.Error) *result.Error {
	c := *err
	c.Outcome = s.outcome()
	return &c
}

// newError returns the error of a session that ends without a final event. After
// the first token the code is always StreamBroken.
func (s *Session) newError(code result.Code, reason string) *result.Error {
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

// attemptsError returns the error of a session that has used all its attempts.
func (s *Session) attemptsError() *result.Error {
	if isOneOf(s.failure, ErrGap, ErrReceipts, ErrTokenCount) {
		return s.newError(result.AnswerMismatch, "the last attempt was answered wrongly")
	}
	return s.newError(result.UpstreamFailed, "the last attempt failed")
}

// planError returns the error of a session without a valid chain. A *result.Error
// of the planner keeps its retry-after time and, before the first token, its code.
func (s *Session) planError(err error) *result.Error {
	var planned *result.Error
	switch {
	case errors.As(err, &planned):
		failed := s.newError(planned.Code, planned.Detail).WithCause(err)
		if planned.RetryAfter > 0 {
			failed = failed.WithRetryAfter(planned.RetryAfter)
		}
		return failed
	case errors.Is(err, ErrInvalidChain):
		return s.newError(result.Internal, "the planned chain does not fit").WithCause(err)
	default:
		return s.newError(result.NoUpstream, "no chain of engines is available").WithCause(err)
	}
}
