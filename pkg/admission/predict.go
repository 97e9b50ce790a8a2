package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// overnightCommitFraction is the fraction of the guaranteed overnight capacity that is
	// promised to accepted work. The rest covers costs that were estimated too low.
	overnightCommitFraction = 0.85
	// overnightOpenFraction is the fraction of the promised capacity that any team may take.
	// Beyond it, a team gets no more than its weighted part, so that a large team cannot take
	// the capacity of the whole night before small teams arrive.
	overnightOpenFraction = 0.7
	// overnightMaxShare bounds the share of the capacity that accepted work may take when it
	// would miss its deadline because capacity was lost after it was accepted.
	overnightMaxShare = 0.3
	// atRiskFactor scales the share that such work needs. With just enough capacity it would
	// start in time, but its last requests would not complete in time.
	atRiskFactor = 1.15
	// overtakeFactor scales the queued cost of a rank in predictions. It allows for work that
	// arrives later and is served before the queued work of a team that is ahead of its share.
	overtakeFactor = 1.5
	// sweepTolerance is the factor by which a predicted wait must exceed the time until the
	// latest start before an accepted request is refused early, because predictions of short
	// waits vary.
	sweepTolerance = 1.5

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Minute
)

// runTime estimates how long a request of the given cost occupies a slot.
func (p *pipeline) runTime(cost float64) time.Duration {
	return seconds(cost / p.slotRate())
}

// predictWait predicts the queueing time of a request of rank r with ahead cost units of its
// own team queued before it. The prediction is the smaller of two times: the time to serve
// all queued work of the rank and the work that may overtake it, and the time to serve the
// team's own backlog at its weighted rate. If the team's counter lags behind the floor, the
// cost of this lag is served first, at the full rate of the rank. If the counter leads, the
// team is served only after the other teams have caught up.
func (p *pipeline) predictWait(cfg *Config, r fleet.Rank, t *team, ahead float64) time.Duration {
	rate := p.rankRate(cfg, r)
	if rate <= 0 {
		return maxRetryAfter
	}
	q := &p.ranks[r]
	weight := q.activeWeight
	counter := t.counter
	if t.queued == 0 {
		weight += t.weight
		counter = max(counter, q.floor-q.burst/t.weight)
	}
	lag := max(0, q.floor-counter) * t.weight
	lead := max(0, counter-q.floor) * t.weight
	lagCost := min(ahead, lag)
	teamWait := lagCost/rate + (ahead-lagCost+lead)/(rate*t.weight/weight)
	return seconds(min(overtakeFactor*q.queuedCost/rate, teamWait))
}

// setBurst derives the burst of the rank's teams from TeamBurst and the rank's rate.
func (p *pipeline) setBurst(cfg *Config, r fleet.Rank, totalWeight float64) {
	q := &p.ranks[r]
	q.burst = cfg.TeamBurst.Seconds() * p.rankRate(cfg, r) / max(totalWeight, q.activeWeight, 1)
}

// overnightFits reports whether the guaranteed overnight share can complete additional work
// of the given cost by end without making accepted work miss its deadline. If not, it also
// returns the excess in cost units.
func (p *pipeline) overnightFits(cfg *Config, now, end time.Time, t *team, cost, totalWeight float64) (bool, float64) {
	rate := cfg.Shares[fleet.Overnight] * p.rate() * overnightCommitFraction
	q := &p.ranks[fleet.Overnight]
	capacity := rate * end.Sub(now).Seconds()
	promised := cost
	for _, b := range q.buckets {
		promised += b.queuedCost
		if b.end.Before(end) {
			continue
		}
		if limit := rate * b.end.Sub(now).Seconds(); promised > limit {
			return false, promised - limit
		}
	}
	if promised > capacity && (len(q.buckets) == 0 || q.buckets[len(q.buckets)-1].end.Before(end)) {
		return false, promised - capacity
	}
	teamPart := capacity * t.weight / max(totalWeight, t.weight)
	if q.queuedCost+cost > overnightOpenFraction*capacity && t.queuedCost+cost > teamPart {
		return false, t.queuedCost + cost - teamPart
	}
	return true, 0
}

// overnightShare returns the share of the capacity that accepted overnight work needs now:
// the guaranteed share, or more if capacity was lost after the work was accepted.
func (p *pipeline) overnightShare(cfg *Config, now time.Time) float64 {
	share := cfg.Shares[fleet.Overnight]
	total := p.rate()
	if total <= 0 {
		return share
	}
	promised := 0.0
	for _, b := range p.ranks[fleet.Overnight].buckets {
		promised += b.queuedCost
		remaining := max(b.end.Sub(now).Seconds(), 1)
		share = max(share, atRiskFactor*promised/remaining/total)
	}
	return min(share, max(overnightMaxShare, cfg.Shares[fleet.Overnight]))
}

// retryAfter returns the time after which the caller of a refused request should retry: the
// time in which the queue drains, plus up to a quarter of it by a hash of the request ID.
// The addition spreads the retries of callers that were refused together.
func retryAfter(drainTime time.Duration, id fleet.RequestID) time.Duration {
	drainTime = min(max(drainTime, minRetryAfter), maxRetryAfter)
	jitter := float64(xxhash.Sum64String(string(id))%1024) / 1024
	return drainTime + time.Duration(jitter*float64(drainTime)/4)
}

// sweep refuses queued requests whose predicted start is now after their latest start, because
// capacity was lost or other requests overtook them. It visits every queued request of the
// rank; MaxWait keeps their number low.
func (q *Queue) sweep(p *pipeline, r fleet.Rank, now time.Time, out []Action) []Action {
	for _, b := range p.ranks[r].buckets {
		for _, tq := range slices.Clone(b.heap) {
			ahead := 0.0
			entries := slices.Clone(tq.entries)
			slices.SortFunc(entries, func(a, b *entry) int {
				if a.before(b) {
					return -1
				}
				return 1
			})
			for _, e := range entries {
				wait := p.predictWait(&q.cfg, r, tq.team, ahead)
				if scale(wait, 1/sweepTolerance) > e.latestStart.Sub(now) {
					out = q.refuse(p, e, now, wait, out)
					continue
				}
				ahead += e.req.Cost
			}
		}
	}
	return out
}

// seconds converts seconds to a duration, limited to 1,000 times maxRetryAfter to prevent an
// overflow.
func seconds(s float64) time.Duration {
	if s > maxRetryAfter.Seconds()*1e3 {
		s = maxRetryAfter.Seconds() * 1e3
	}
	return time.Duration(s * float64(time.Second))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
