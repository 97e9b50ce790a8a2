package pipeline

import (
	"errors"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// verdict says who is excluded after a failed attempt.
type verdict struct {
	// suspects are blamed for the failure.
	suspects []fleet.UpstreamID
	// refusals hold other weights than planned; they are well.
	refusals []fleet.UpstreamID
}

// judge finds the suspects of the failed attempt from its error and the reports.
func (s *Session) judge(reports []Report) verdict {
	var failure *upstream.Error
	var refusal *upstream.RefusalError
	errors.As(s.failure, &failure)
	if errors.As(s.failure, &refusal) {
		return s.judgeRefusal(failure, refusal)
	}
	byID := map[fleet.UpstreamID]Report{}
	for _, r := range reports {
		byID[r.Upstream] = r
	}
	var v verdict
	if failure != nil && s.inChain(failure.FailedStage) {
		v.suspects = append(v.suspects, failure.FailedStage)
	}
	for i, stage := range s.chain {
		id := stage.Ref.Upstream
		if s.dead(i, byID) && !slices.Contains(v.suspects, id) {
			v.suspects = append(v.suspects, id)
		}
	}
	if len(v.suspects) == 0 {
		v.suspects = s.judgeLiving(byID)
	}
	return v
}

// judgeRefusal excludes a stage that holds other weights. A stage that refused
// an attempt or a position is asked again: its report shows what it holds.
func (s *Session) judgeRefusal(failure *upstream.Error, refusal *upstream.RefusalError) verdict {
	id := s.chain[0].Ref.Upstream
	if failure != nil && s.inChain(failure.FailedStage) {
		id = failure.FailedStage
	}
	s.unexplained++
	again := refusal.Refusal == upstream.RefusedAttempt || refusal.Refusal == upstream.RefusedPosition
	if again && s.unexplained < 2 {
		return verdict{}
	}
	return verdict{refusals: []fleet.UpstreamID{id}}
}

// dead reports whether the i-th stage of the chain does not answer, or has lost KV cache that it
// must have had, as after a restart.
func (s *Session) dead(i int, reports map[fleet.UpstreamID]Report) bool {
	r, probed := reports[s.chain[i].Ref.Upstream]
	if !probed || r.Err != nil {
		return true
	}
	if r.Progress.Attempt > s.attempt {
		// The stage ended the session in good order and freed the KV cache.
		return false
	}
	had := s.plan.starts[i]
	if len(s.accepted) > s.acceptedBefore {
		had = s.target()
	}
	return r.Progress.NextPosition < had
}

// judgeLiving finds the suspect when every stage answers. A broken or silent
// connection alone blames nobody the first time.
func (s *Session) judgeLiving(reports map[fleet.UpstreamID]Report) []fleet.UpstreamID {
	head := s.chain[0].Ref.Upstream
	if isOneOf(s.failure, ErrGap, ErrReceipts, ErrCount, upstream.ErrNoFinal) {
		return []fleet.UpstreamID{head}
	}
	s.unexplained++
	if isOneOf(s.failure, upstream.ErrSilent, ErrTokenLimit) {
		if id, arrived := s.stuck(reports); arrived || id != "" && s.unexplained > 1 {
			return []fleet.UpstreamID{id}
		}
	}
	if s.unexplained > 1 {
		return []fleet.UpstreamID{head}
	}
	return nil
}

// stuck returns the first stage that has not run the awaited position, and
// whether the attempt arrived there. It returns no stage when all have run it:
// then the token was lost on its way back.
func (s *Session) stuck(reports map[fleet.UpstreamID]Report) (id fleet.UpstreamID, arrived bool) {
	for _, stage := range s.chain {
		r := reports[stage.Ref.Upstream]
		if r.Progress.NextPosition <= s.target() {
			return r.Upstream, r.Progress.Attempt == s.attempt
		}
	}
	return "", false
}

// isOneOf reports whether err matches one of the targets.
func isOneOf(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
