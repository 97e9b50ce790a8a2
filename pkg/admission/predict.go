package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// overnightFill is the fraction of the guaranteed overnight capacity that is
	// promised; the rest covers estimates that turn out too low.
	overnightFill = 0.85
	// overnightOpen is the fraction of the promised capacity that any team may
	// take; beyond it a team gets no more than its weighted part, so that a
	// large team cannot take the whole night before small teams arrive.
	overnightOpen = 0.7
	// overnightMaxShare bounds the share that accepted work in danger may take
	// when capacity was lost after it was accepted.
	overnightMaxShare = 0.3
	// dangerMargin is how much more than just enough work in danger gets, as the
	// last requests of a bucket still have to run.
	dangerMargin = 1.15
	// overtaken allows for work that arrives later and is served before the
	// queued work of a team that is ahead of its share.
	overtaken = 1.5
	// sweepMargin is how far a prediction must miss the latest start before an
	// accepted request is refused early; predictions of short waits vary.
	sweepMargin   = 1.5
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Minute
)

// runTime estimates how long a request of the given cost occupies a slot.
func (p *pipeline) runTime(cost float64) time.Duration {
	return seconds(cost / p.slotRate())
}

// wait predicts the queueing time of a request behind ahead cost units of its
// own team: the least of the time for all queued work (and what may overtake it)
// and of the time for the team's backlog at its weighted rate. What the team's counter lags behind the
// floor is served first, at the whole rate; what it leads is served after the others caught up.
func (p *pipeline) wait(cfg *Config, r fleet.Rank, t *team, ahead float64) time.Duration {
	rate := p.rankRate(cfg, r)
	if rate <= 0 {
		return maxRetryAfter
	}
	q := &p.ranks[r]
	weight := q.weight
	counter := t.counter
	if t.queued == 0 {
		weight += t.weight
		counter = max(counter, q.floor-q.burst/t.weight)
	}
	lag := max(0, q.floor-counter) * t.weight
	lead := max(0, counter-q.floor) * t.weight
	first := min(ahead, lag)
	own := first/rate + (ahead-first+lead)/(rate*t.weight/weight)
	return seconds(min(overtaken*q.work/rate, own))
}

// setBurst derives the burst of a team from TeamBurst and the rank's rate.
func (p *pipeline) setBurst(cfg *Config, r fleet.Rank, allWeights float64) {
	q := &p.ranks[r]
	q.burst = cfg.TeamBurst.Seconds() * p.rankRate(cfg, r) / max(allWeights, q.weight, 1)
}

// overnightFits reports whether the guaranteed share finishes cost more units by
// the deadline bucket end without making any accepted work late, and how much
// too much there is, in cost units.
func (p *pipeline) overnightFits(cfg *Config, now, end time.Time, t *team, cost, allWeights float64) (bool, float64) {
	rate := cfg.Shares[fleet.Overnight] * p.rate() * overnightFill
	q := &p.ranks[fleet.Overnight]
	room := rate * end.Sub(now).Seconds()
	sum := cost
	for _, b := range q.buckets {
		sum += b.work
		if b.end.Before(end) {
			continue
		}
		if limit := rate * b.end.Sub(now).Seconds(); sum > limit {
			return false, sum - limit
		}
	}
	if sum > room && (len(q.buckets) == 0 || q.buckets[len(q.buckets)-1].end.Before(end)) {
		return false, sum - room
	}
	part := room * t.weight / max(allWeights, t.weight)
	if q.work+cost > overnightOpen*room && t.work+cost > part {
		return false, t.work + cost - part
	}
	return true, 0
}

// overnightShare returns the share that accepted overnight work needs now: the
// guaranteed one, or more when capacity fell after the work was accepted.
func (p *pipeline) overnightShare(cfg *Config, now time.Time) float64 {
	share := cfg.Shares[fleet.Overnight]
	total := p.rate()
	if total <= 0 {
		return share
	}
	sum := 0.0
	for _, b := range p.ranks[fleet.Overnight].buckets {
		sum += b.work
		left := max(b.end.Sub(now).Seconds(), 1)
		share = max(share, dangerMargin*sum/left/total)
	}
	return min(share, max(overnightMaxShare, cfg.Shares[fleet.Overnight]))
}

// retryAfter spreads callers that were refused together over a quarter of the
// drain time, by their request id.
func retryAfter(drain time.Duration, id fleet.RequestID) time.Duration {
	drain = min(max(drain, minRetryAfter), maxRetryAfter)
	spread := float64(xxhash.Sum64String(string(id))%1024) / 1024
	return drain + time.Duration(spread*float64(drain)/4)
}

// sweep refuses queued requests whose predicted start has moved past their
// latest start, because capacity fell or others came first. It visits every
// queued request of the rank; MaxWait keeps these few.
func (q *Queue) sweep(p *pipeline, r fleet.Rank, now time.Time, out []Action) []Action {
	for _, b := range p.ranks[r].buckets {
		for _, l := range slices.Clone(b.heap) {
			ahead := 0.0
			entries := slices.Clone(l.entries)
			slices.SortFunc(entries, func(a, b *entry) int {
				if a.before(b) {
					return -1
				}
				return 1
			})
			for _, e := range entries {
				wait := p.wait(&q.cfg, r, l.team, ahead)
				if scale(wait, 1/sweepMargin) > e.latestStart.Sub(now) {
					out = q.refuse(p, e, now, wait, out)
					continue
				}
				ahead += e.req.Cost
			}
		}
	}
	return out
}

func seconds(s float64) time.Duration {
	if s > maxRetryAfter.Seconds()*1e3 {
		s = maxRetryAfter.Seconds() * 1e3
	}
	return time.Duration(s * float64(time.Second))
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
