package pipeline

import (
	"errors"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// broken closes the attempt's stream and asks the stages for their progress.
func (s *Session) broken(err error, silentFor time.Duration) {
	s.failure = err
	if s.symptom.IsZero() {
		s.symptom = s.now.Add(-silentFor)
	}
	s.sent = s.sent || wasSent(err)
	s.do(CloseStream{})
	if s.attempt >= s.limits.Attempts {
		s.notifyFailed(verdict{})
		s.giveUp(s.exhausted())
		return
	}
	var stages []Stage
	for _, t := range s.touched {
		if !t.lost {
			stages = append(stages, t.stage)
		}
	}
	s.phase = probing
	s.do(Probe{Stages: stages})
}

// wasSent reports whether the attempt may have run.
func wasSent(err error) bool {
	var failure *upstream.Error
	return !errors.As(err, &failure) || failure.Sent
}

// probed finds the suspects and asks whether another attempt is allowed.
func (s *Session) probed(reports []Report) {
	s.record(reports)
	v := s.judge(reports)
	lost := s.unreachable(v.suspects)
	s.exclude(v.suspects, func(id fleet.UpstreamID) bool { return slices.Contains(lost, id) })
	s.exclude(v.refusals, func(fleet.UpstreamID) bool { return true })
	s.relaxed = false
	s.notifyFailed(v)
	s.phase = asking
	s.do(AskRetry{Blamed: v.suspects})
}

// record notes what the stages hold.
func (s *Session) record(reports []Report) {
	for _, r := range reports {
		for _, t := range s.touched {
			if t.stage.Ref.Upstream != r.Upstream {
				continue
			}
			t.lost = r.Err != nil
			t.positions = -1
			if r.Err == nil {
				t.positions = r.Progress.NextPosition
				s.furthest = max(s.furthest, r.Progress.NextPosition)
				t.cached = max(t.cached, s.cachedBy(t))
			}
		}
	}
}

// unreachable returns those of the upstreams that did not answer the last probe.
func (s *Session) unreachable(ids []fleet.UpstreamID) []fleet.UpstreamID {
	var lost []fleet.UpstreamID
	for _, t := range s.touched {
		if t.lost && slices.Contains(ids, t.stage.Ref.Upstream) {
			lost = append(lost, t.stage.Ref.Upstream)
		}
	}
	return lost
}

// cachedBy returns the prompt positions that the attempt has put into the prefix
// cache of a stage: those that it ran from an empty KV cache.
func (s *Session) cachedBy(t *touchedStage) int {
	i := slices.IndexFunc(s.chain, func(stage Stage) bool {
		return stage.Ref.Upstream == t.stage.Ref.Upstream && stage.Ref.Layers == t.stage.Ref.Layers
	})
	if i < 0 || s.plan.starts[i] > 0 {
		return 0
	}
	return min(t.positions, len(s.request.Prompt)) / upstream.PrefixBlock * upstream.PrefixBlock
}

// retryAnswered plans the next attempt or gives up.
func (s *Session) retryAnswered(allowed bool) {
	if allowed {
		s.askPlan()
		return
	}
	s.giveUp(s.failed(result.RetryBudgetSpent, "the retry budget is spent"))
}

// notifyFailed reports the failed attempt.
func (s *Session) notifyFailed(v verdict) {
	s.notify(Observation{
		Kind: AttemptFailed, Suspects: v.suspects, Unreachable: s.unreachable(v.suspects), Refusals: v.refusals,
		Sent: wasSent(s.failure), SinceSymptom: s.now.Sub(s.symptom), Err: s.failure,
	})
}
