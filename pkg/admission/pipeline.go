package admission

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// rateHalfLife is the half-life of the measured rates.
const rateHalfLife = 5 * time.Second

// demandHalfLife is the half-life of the mean demand by which slots are reserved for a rank.
const demandHalfLife = 10 * time.Second

// creditFactor scales the credit that a backlogged rank earns. It compensates for the time
// between the credit for a start and the next free slot. With a factor of 1, a backlogged
// rank gets only 94 to 99% of its share.
const creditFactor = 1.12

// lookupTolerance is the factor by which the measured rate of lookups may exceed their share
// before they count as above it. Over a few seconds the rate of short requests varies by a
// tenth, so lookups at 80% of their share would often seem to be above it.
const lookupTolerance = 1.5

// floodFactor is the multiple of a rank's share above which its arrivals count as a flood.
const floodFactor = 1.5

const (
	// paceThreshold is the fraction of the urgent rank's slots in use from which a team may
	// take further slots only at its pace (see team.isWithinPace). Without this limit, the
	// start of a flood fills all slots within a moment. The requests in them end together
	// seconds later, and other teams wait for them.
	paceThreshold = 0.75
	// paceFactor is the multiple of its recent mean that a team may run.
	paceFactor = 1.5
	// paceFreeRequests is the number of requests that a team may run beyond that.
	paceFreeRequests = 2
	// paceHalfLife is the half-life of a team's mean of running requests.
	paceHalfLife = 2 * time.Second
)

// pipeline holds the queues of one model by rank and accounts for its requests in flight.
type pipeline struct {
	slots         int
	declaredRate  float64 // Capacity.Rate
	ranks         [fleet.RankCount]rankQueue
	inFlight      [fleet.RankCount]int
	totalInFlight int // requests in flight of all ranks
	// credit is the cost owed to a backlogged rank under its guaranteed share.
	credit [fleet.RankCount]float64
	// meanDemand is the recent mean of the slots that a rank used or waited for.
	meanDemand [fleet.RankCount]float64
	// startedCost is the started cost of a rank, decaying by rateHalfLife.
	startedCost [fleet.RankCount]float64
	// arrivedCost is the cost of a rank's arrivals, refused requests included, decaying by
	// rateHalfLife.
	arrivedCost [fleet.RankCount]float64
	// finishedCost and finishedTime are the cost and the running time of finished requests,
	// decaying by rateHalfLife.
	finishedCost, finishedTime float64
	decayedAt                  time.Time
}

func newPipeline(now time.Time, slotRate float64) *pipeline {
	p := &pipeline{finishedCost: slotRate * 10, finishedTime: 10, decayedAt: now}
	for r := range p.ranks {
		p.ranks[r].teams = make(map[fleet.TeamID]*team)
	}
	return p
}

// decay updates the decaying means and sums to now.
func (p *pipeline) decay(now time.Time) {
	dt := now.Sub(p.decayedAt)
	if dt <= 0 {
		return
	}
	p.decayedAt = now
	demandDecay := math.Exp2(-float64(dt) / float64(demandHalfLife))
	rateDecay := math.Exp2(-float64(dt) / float64(rateHalfLife))
	for r := range p.meanDemand {
		slotDemand := float64(p.inFlight[r] + p.ranks[r].queued)
		p.meanDemand[r] = p.meanDemand[r]*demandDecay + slotDemand*(1-demandDecay)
		p.startedCost[r] *= rateDecay
		p.arrivedCost[r] *= rateDecay
	}
	// The lower bound of 1 s keeps the last measured rate while no request finishes.
	if p.finishedTime > 1 {
		p.finishedCost *= rateDecay
		p.finishedTime *= rateDecay
	}
}

// slotRate returns the measured cost units per second of one slot.
func (p *pipeline) slotRate() float64 { return p.finishedCost / p.finishedTime }

// rate returns the cost units per second of this VM's slots.
func (p *pipeline) rate() float64 {
	r := float64(p.slots) * p.slotRate()
	if p.declaredRate > 0 {
		r = min(r, p.declaredRate)
	}
	return r
}

// perSecond converts a sum that decays by rateHalfLife into a rate.
func (p *pipeline) perSecond(sum float64) float64 {
	return sum * math.Ln2 / rateHalfLife.Seconds()
}

// rankRate predicts the cost units per second that rank r gets while it is backlogged: what
// the other ranks leave over, but at least its guaranteed share. Ranks below r are counted
// with at most their guaranteed shares.
func (p *pipeline) rankRate(cfg *Config, r fleet.Rank) float64 {
	total := p.rate()
	remaining := total
	for k := range fleet.Rank(fleet.RankCount) {
		if k == r {
			continue
		}
		used := p.perSecond(p.startedCost[k])
		if k > r {
			used = min(used, cfg.Shares[k]*total)
		}
		remaining -= used
	}
	return max(remaining, cfg.Shares[r]*total)
}

// entitledFraction returns the fraction of the slots that rank r may use before other ranks
// take precedence. For lookups this is their share times lookupTolerance. For urgent work it
// is what remains after the guaranteed share of overnight work and after the recent demand
// of lookups within their share.
func (p *pipeline) entitledFraction(cfg *Config, r fleet.Rank) float64 {
	if r != fleet.Urgent {
		return lookupTolerance * cfg.Shares[r]
	}
	lookupDemand := p.wantedSlots(cfg, fleet.Lookup) / float64(max(p.slots, 1))
	return 1 - cfg.Shares[fleet.Overnight] - min(cfg.Shares[fleet.Lookup], lookupDemand)
}

// wantedSlots returns the slots that rank r needs for its recent demand and the variation of
// this demand.
func (p *pipeline) wantedSlots(cfg *Config, r fleet.Rank) float64 {
	return p.meanDemand[r] + cfg.Headroom*math.Sqrt(p.meanDemand[r])
}

// reservedSlots returns the number of slots that are reserved for rank r and may not be used
// by other ranks.
func (p *pipeline) reservedSlots(cfg *Config, r fleet.Rank) int {
	if r == fleet.Overnight || p.meanDemand[r] < 0.01 {
		return 0
	}
	return int(min(p.wantedSlots(cfg, r), p.entitledFraction(cfg, r)*float64(p.slots)))
}

// mayStart reports whether rank r may start the entry now. The extra depth and the slots
// reserved for other ranks are open to a rank that is owed its guaranteed share, to urgent
// and lookup work within the share of its rank, and to urgent work of a team below its
// share. Their wait would otherwise depend on how long other requests run.
func (p *pipeline) mayStart(cfg *Config, r fleet.Rank, e *entry, owed bool) bool {
	if p.slots <= 0 {
		return false
	}
	// At least one, so that such work can also overtake in a pipeline with few slots.
	depth := max(1, int(cfg.Depth*float64(p.slots)))
	if owed || p.isWithinShare(cfg, r) {
		return p.totalInFlight < p.slots+depth
	}
	if r == fleet.Urgent && p.ranks[r].isBelowFloor(e) {
		// In a flood of urgent work the last quarter of the depth remains for lookups.
		return p.totalInFlight < p.slots+depth*3/4
	}
	reserved := 0
	for k := range fleet.Rank(fleet.RankCount) {
		if k != r {
			reserved += max(0, p.reservedSlots(cfg, k)-p.inFlight[k])
		}
	}
	return p.totalInFlight+reserved < p.slots
}

// isWithinShare reports whether rank r is latency-bound (Urgent or Lookup) and stays within
// its share, by both its started cost and its arrived cost. The arrived cost shows a flood
// at once; the started cost follows with a delay of some seconds.
func (p *pipeline) isWithinShare(cfg *Config, r fleet.Rank) bool {
	if r == fleet.Overnight {
		return false
	}
	share := p.entitledFraction(cfg, r) * p.rate()
	return p.perSecond(p.startedCost[r]) < share && p.perSecond(p.arrivedCost[r]) < floodFactor*share
}

// next returns the entry to start now, or nil if none may start.
func (p *pipeline) next(cfg *Config, now time.Time) *entry {
	if cfg.Order != Fair {
		return p.nextBaseline()
	}
	if e := p.nextOwed(cfg); e != nil {
		return e
	}
	for r := range fleet.Rank(fleet.RankCount) {
		e := p.ranks[r].head()
		if e != nil && r == fleet.Urgent && float64(p.inFlight[r]) >= paceThreshold*p.entitledFraction(cfg, r)*float64(p.slots) {
			e = p.ranks[r].pacedHead(now)
		}
		if e != nil && p.mayStart(cfg, r, e, false) {
			return e
		}
	}
	return nil
}

// nextOwed returns the first entry of the rank with the most credit, among the ranks whose
// credit covers their first entry and which may start it. It returns nil if there is none.
func (p *pipeline) nextOwed(cfg *Config) *entry {
	var best *entry
	most := 0.0
	for r := range fleet.Rank(fleet.RankCount) {
		e := p.ranks[r].head()
		if e == nil || p.credit[r] < e.req.Cost || p.credit[r] <= most {
			continue
		}
		if p.mayStart(cfg, r, e, true) {
			best, most = e, p.credit[r]
		}
	}
	return best
}

// nextBaseline returns the first entry of the highest backlogged rank. Baseline orders
// reserve no slots.
func (p *pipeline) nextBaseline() *entry {
	if p.totalInFlight >= p.slots {
		return nil
	}
	for r := range p.ranks {
		if e := p.ranks[r].head(); e != nil {
			return e
		}
	}
	return nil
}

// recordStart updates the ranks' credits, the started cost and the counts in flight for the
// start of an entry.
func (p *pipeline) recordStart(cfg *Config, e *entry, overnightShare float64) {
	cost := e.req.Cost
	for r := range p.credit {
		head := p.ranks[r].head()
		share := cfg.Shares[r]
		if fleet.Rank(r) == fleet.Overnight {
			share = overnightShare
		}
		if head == nil {
			p.credit[r] = min(p.credit[r], 0) // an idle rank accrues no credit
			continue
		}
		// The bound of one second of the share limits how long a rank can be preferred
		// later. A rank with large requests must still be able to earn enough credit for
		// its next one.
		p.credit[r] = min(p.credit[r]+creditFactor*share*cost, max(share*p.rate(), 1.5*head.req.Cost))
	}
	r := e.req.Rank
	e.team.decay(p.decayedAt)
	p.credit[r] = max(p.credit[r]-cost, -2*cost)
	p.startedCost[r] += cost
	p.inFlight[r]++
	p.totalInFlight++
}
