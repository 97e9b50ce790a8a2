package chain

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Weighed is a chain that a search compared with others.
type Weighed struct {
	Stages []Stage
	// Score is the cost in seconds that the search minimizes; the lowest one is chosen.
	Score float64
	// RunningSeconds is the part of Score for the prompt, the answer and penalties of servers, and
	// WaitSeconds the wait for other prompts, with what other VMs may have sent unseen.
	RunningSeconds, WaitSeconds float64
	// Step is the expected time per answer token.
	Step time.Duration
	// TooSlow is set if the steps alone take too much of the gap objective.
	TooSlow bool
	// LongPauses is set if the prompt would make pauses on the chain longer than the gap objective.
	LongPauses bool
}

// Excluded is a server that no chain may use, and why.
type Excluded struct {
	Server fleet.UpstreamID
	Reason string
}

// Decision is what a search would do now.
type Decision struct {
	// Failure says why there is no chain.
	Failure Failure
	// Chains are the best ones that the search compared at its end, the best one first.
	Chains []Weighed
	// Excluded are the servers without a part in them.
	Excluded []Excluded
}

// Explain returns what Reserve would do now, without reserving anything. With contention control
// a search draws random numbers, so that the next one may choose another chain.
func (a *Allocator) Explain(now time.Time, need Need) Decision {
	var d Decision
	best, ok := a.search(now, need, nil)
	switch {
	case ok:
	case a.IsComplete(now, nil):
		d.Failure = Full
	case !a.PausedUntil(now).IsZero():
		d.Failure = Paused
	default:
		d.Failure = Incomplete
	}
	complete := a.searchState.paths[a.engine.Layers]
	for i := range complete {
		p := &complete[i]
		w := Weighed{
			RunningSeconds: p.costSeconds, WaitSeconds: p.waitSeconds, Step: toDuration(p.stepSeconds), LongPauses: a.pausePenalty(p, need) > 0,
			TooSlow: need.GapObjective > 0 && p.stepSeconds*float64(a.engine.TokensPerEvent) > maxStepShareOfGap*need.GapObjective.Seconds(),
		}
		w.Score = p.score(need) + a.pausePenalty(p, need)
		if w.Stages = a.assemble(p, need).Stages; ok && slices.Equal(w.Stages, best.Stages) {
			d.Chains = append([]Weighed{w}, d.Chains...)
			continue
		}
		d.Chains = append(d.Chains, w)
	}
	if len(d.Chains) > 0 {
		slices.SortFunc(d.Chains[min(1, len(d.Chains)):], func(x, y Weighed) int { return cmp.Compare(x.Score, y.Score) })
	}
	for _, s := range a.servers {
		if reason := a.exclusion(now, s, need); reason != "" {
			d.Excluded = append(d.Excluded, Excluded{s.ID, reason})
		}
	}
	return d
}

// exclusion returns why no chain may use a server, or an empty string.
func (a *Allocator) exclusion(now time.Time, s *server, need Need) string {
	switch {
	case s.Weight <= 0:
		return "ejected by failure detection"
	case now.Before(s.pausedUntil):
		return "asked for a pause"
	case now.Before(s.backoffUntil):
		return "refused its part of a chain lately"
	case s.capacity*s.Weight-s.ownLoad.KV-s.otherLoad.KV < float64(need.Tokens()):
		return "has no free memory for one layer"
	}
	return ""
}
