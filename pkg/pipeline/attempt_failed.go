package pipeline

import (
	"errors"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// handleBroken closes the stream of the failed attempt and probes the stages for
// their progress. The session gives up instead if it has used all its attempts, unless the probes may
// show that this one broke off as an upstream ended according to plan.
func (s *Session) handleBroken(b Broken) {
	s.failure, s.leaving = b.Err, b.Leaving
	if s.symptomAt.IsZero() {
		s.symptomAt = s.now.Add(-b.SilentFor)
	}
	s.sent = s.sent || wasSent(b.Err)
	s.emit(CloseStream{})
	if s.attemptsUsedUp() && len(s.leaving) == 0 {
		s.notifyFailed(diagnosis{})
		s.giveUp(s.attemptsError())
		return
	}
	var stages []Stage
	for _, t := range s.tracked {
		if !t.probeFailed {
			stages = append(stages, t.stage)
		}
	}
	s.phase = probing
	s.emit(Probe{Stages: stages})
}

// attemptsUsedUp reports whether the session has no attempts left. Ends of upstreams that were announced
// say nothing about the request and use up none.
func (s *Session) attemptsUsedUp() bool { return s.attempt-s.plannedEnds >= s.limits.MaxAttempts }

// wasSent reports whether the failed attempt may have run.
func wasSent(err error) bool {
	var failure *upstream.Error
	return !errors.As(err, &failure) || failure.Sent
}

// handleProbed finds the suspects, excludes them and asks the retry budget whether
// another attempt is allowed.
func (s *Session) handleProbed(reports []Report) {
	s.record(reports)
	d := s.diagnose(reports)
	unreachableIDs := s.unreachable(d.suspects)
	if len(s.unreachable(s.leaving)) > 0 {
		s.plannedEnds++
	}
	s.exclude(d.suspects, func(id fleet.UpstreamID) bool { return slices.Contains(unreachableIDs, id) })
	s.exclude(d.refusals, func(fleet.UpstreamID) bool { return true })
	s.reuseFailed = false
	s.notifyFailed(d)
	if s.attemptsUsedUp() {
		s.giveUp(s.attemptsError())
		return
	}
	s.phase = awaitingBudget
	s.emit(AskRetry{Blamed: d.suspects})
}

// record updates the tracked stages from the probe reports.
func (s *Session) record(reports []Report) {
	for _, r := range reports {
		for _, t := range s.tracked {
			if t.stage.Ref.Upstream != r.Upstream {
				continue
			}
			t.probeFailed = r.Err != nil
			t.positions = -1
			if r.Err == nil {
				t.positions = r.Progress.NextPosition
				s.maxPositions = max(s.maxPositions, r.Progress.NextPosition)
				t.cached = max(t.cached, s.cachedBy(t))
			}
		}
	}
}

// unreachable returns the given upstreams that did not answer the last probe.
func (s *Session) unreachable(ids []fleet.UpstreamID) []fleet.UpstreamID {
	var unreachableIDs []fleet.UpstreamID
	for _, t := range s.tracked {
		if t.probeFailed && slices.Contains(ids, t.stage.Ref.Upstream) {
			unreachableIDs = append(unreachableIDs, t.stage.Ref.Upstream)
		}
	}
	return unreachableIDs
}

// cachedBy returns the number of prompt positions that the attempt added to the
// prefix cache of a stage. Only a run from an empty KV cache adds any, in whole
// prefix blocks.
func (s *Session) cachedBy(t *trackedStage) int {
	i := slices.IndexFunc(s.chain, func(stage Stage) bool {
		return stage.Ref.Upstream == t.stage.Ref.Upstream && stage.Ref.Layers == t.stage.Ref.Layers
	})
	if i < 0 || s.kvPlan.starts[i] > 0 {
		return 0
	}
	return min(t.positions, len(s.request.Prompt)) / upstream.PrefixBlock * upstream.PrefixBlock
}

// handleRetryAnswered plans the next attempt if the retry budget allows it, and
// gives up otherwise.
func (s *Session) handleRetryAnswered(allowed bool) {
	if allowed {
		s.askPlan()
		return
	}
	s.giveUp(s.newError(result.RetryBudgetSpent, "the retry budget is spent"))
}

// notifyFailed reports the failed attempt and its diagnosis.
func (s *Session) notifyFailed(d diagnosis) {
	s.notify(Observation{
		Kind: AttemptFailed, Suspects: d.suspects, Unreachable: s.unreachable(d.suspects), Refusals: d.refusals,
		Sent: wasSent(s.failure), SinceSymptom: s.now.Sub(s.symptomAt), Err: s.failure,
	})
}
