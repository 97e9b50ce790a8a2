package pipeline

import (
	"errors"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// diagnosis lists the upstreams to exclude after a failed attempt.
type diagnosis struct {
	// suspects are the upstreams that are blamed for the failure.
	suspects []fleet.UpstreamID
	// refusals are the upstreams that refused to run their stage, as they do when
	// they hold other weights than planned. They are healthy.
	refusals []fleet.UpstreamID
}

// diagnose finds the suspects of the failed attempt from its error and the probe
// reports.
func (s *Session) diagnose(reports []Report) diagnosis {
	var failure *upstream.Error
	var refusal *upstream.RefusalError
	errors.As(s.failure, &failure)
	if errors.As(s.failure, &refusal) {
		return s.diagnoseRefusal(failure, refusal)
	}
	byID := map[fleet.UpstreamID]Report{}
	for _, r := range reports {
		byID[r.Upstream] = r
	}
	var d diagnosis
	if failure != nil && s.inChain(failure.FailedStage) {
		d.suspects = append(d.suspects, failure.FailedStage)
	}
	for i, stage := range s.chain {
		id := stage.Ref.Upstream
		if s.hasFailed(i, byID) && !slices.Contains(d.suspects, id) {
			d.suspects = append(d.suspects, id)
		}
	}
	if len(d.suspects) == 0 {
		d.suspects = s.diagnoseReachable(byID)
	}
	return d
}

// diagnoseRefusal excludes a stage that refused its assignment. A stage that
// refused an attempt or a position is retried unless an unexplained failure came
// before, because its probe report shows the positions that it holds.
func (s *Session) diagnoseRefusal(failure *upstream.Error, refusal *upstream.RefusalError) diagnosis {
	id := s.chain[0].Ref.Upstream
	if failure != nil && s.inChain(failure.FailedStage) {
		id = failure.FailedStage
	}
	s.unexplained++
	retriable := refusal.Reason == upstream.RefusedAttempt || refusal.Reason == upstream.RefusedPosition
	if retriable && s.unexplained < 2 {
		return diagnosis{}
	}
	return diagnosis{refusals: []fleet.UpstreamID{id}}
}

// hasFailed reports whether the i-th stage of the chain did not answer its probe
// or has lost KV cache that it must have held, as after a restart.
func (s *Session) hasFailed(i int, reports map[fleet.UpstreamID]Report) bool {
	r, probed := reports[s.chain[i].Ref.Upstream]
	if !probed || r.Err != nil {
		return true
	}
	if r.Progress.Attempt > s.attempt {
		// The session was cancelled on this stage, which freed the KV cache as intended.
		return false
	}
	requiredPositions := s.kvPlan.starts[i]
	if len(s.accepted) > s.acceptedAtStart {
		requiredPositions = s.target()
	}
	return r.Progress.NextPosition < requiredPositions
}

// diagnoseReachable finds the suspect when no stage of the chain has failed. The
// first time, a broken or silent connection alone yields no suspect.
func (s *Session) diagnoseReachable(reports map[fleet.UpstreamID]Report) []fleet.UpstreamID {
	head := s.chain[0].Ref.Upstream
	if isOneOf(s.failure, ErrGap, ErrReceipts, ErrTokenCount, upstream.ErrNoFinalEvent) {
		return []fleet.UpstreamID{head}
	}
	s.unexplained++
	if isOneOf(s.failure, upstream.ErrSilent, ErrTokenTimeout) {
		if id, arrived := s.stalledStage(reports); arrived || id != "" && s.unexplained > 1 {
			return []fleet.UpstreamID{id}
		}
	}
	if s.unexplained > 1 {
		return []fleet.UpstreamID{head}
	}
	return nil
}

// stalledStage returns the first stage that has not run the target position, and
// whether the attempt arrived there. It returns no stage if all have run the
// position, in which case the token was lost on its way back.
func (s *Session) stalledStage(reports map[fleet.UpstreamID]Report) (id fleet.UpstreamID, arrived bool) {
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
