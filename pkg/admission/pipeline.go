package admission

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// rateHalfLife is how fast measured rates follow a change.
const rateHalfLife = 5 * time.Second

// levelHalfLife is how fast the slots kept for a rank follow its demand.
const levelHalfLife = 10 * time.Second

// shareMargin covers what a rank loses between being owed a start and a slot
// becoming free; without it a backlogged rank gets 94 to 99% of its share.
const shareMargin = 1.12

// withinMargin is how far the measured rate of lookups may exceed their share
// before they count as over it: over a few seconds the rate of short requests
// varies by a tenth, and lookups at 80% of their share would often seem above.
const withinMargin = 1.5

// floodFactor is the multiple of a rank's share above which arrivals count as a flood.
const floodFactor = 1.5

const (
	// paceFrom is the fraction of the urgent rank's slots in use from which a team
	// may take further ones only at its pace. Without it the start of a flood fills all
	// slots within a moment with requests that end together seconds later, and
	// other teams wait for them.
	paceFrom     = 0.75
	paceFactor   = 1.5
	paceFree     = 2 // requests that any team may run
	paceHalfLife = 2 * time.Second
)

// pipeline is the queue and the in-flight account of one model.
type pipeline struct {
	slots    int
	declared float64 // Capacity.Rate
	ranks    [fleet.RankCount]rankQueue
	inFlight [fleet.RankCount]int
	total    int
	// credit is the cost owed to a backlogged rank under its guaranteed share.
	credit [fleet.RankCount]float64
	// level is the recent mean of the slots that a rank used or waited for.
	level [fleet.RankCount]float64
	// used is the recent started cost of a rank, decaying by rateHalfLife.
	used [fleet.RankCount]float64
	// offered is the same of arrivals, refused ones included.
	offered [fleet.RankCount]float64
	// doneCost and doneTime are decaying sums over finished requests.
	doneCost, doneTime float64
	decayedAt          time.Time
}

func newPipeline(now time.Time, slotRate float64) *pipeline {
	p := &pipeline{doneCost: slotRate * 10, doneTime: 10, decayedAt: now}
	for r := range p.ranks {
		p.ranks[r].teams = make(map[fleet.TeamID]*team)
	}
	return p
}

// decay ages the measured sums to now.
func (p *pipeline) decay(now time.Time) {
	dt := now.Sub(p.decayedAt)
	if dt <= 0 {
		return
	}
	p.decayedAt = now
	level := math.Exp2(-float64(dt) / float64(levelHalfLife))
	rate := math.Exp2(-float64(dt) / float64(rateHalfLife))
	for r := range p.level {
		wanted := float64(p.inFlight[r] + p.ranks[r].queued)
		p.level[r] = p.level[r]*level + wanted*(1-level)
		p.used[r] *= rate
		p.offered[r] *= rate
	}
	// A floor keeps the last measured rate while nothing finishes.
	if p.doneTime > 1 {
		p.doneCost *= rate
		p.doneTime *= rate
	}
}

// slotRate returns the measured cost units per second of one slot.
func (p *pipeline) slotRate() float64 { return p.doneCost / p.doneTime }

// rate returns the cost units per second of this VM's slots.
func (p *pipeline) rate() float64 {
	r := float64(p.slots) * p.slotRate()
	if p.declared > 0 {
		r = min(r, p.declared)
	}
	return r
}

// perSecond converts a sum that decays by rateHalfLife into a rate.
func (p *pipeline) perSecond(sum float64) float64 {
	return sum * math.Ln2 / rateHalfLife.Seconds()
}

// rankRate predicts the cost units per second that rank r gets while backlogged:
// what the others leave, at least its guaranteed share. A lower rank takes no
// more than its guarantee from a higher one.
func (p *pipeline) rankRate(cfg *Config, r fleet.Rank) float64 {
	total := p.rate()
	left := total
	for k := range fleet.Rank(fleet.RankCount) {
		if k == r {
			continue
		}
		used := p.perSecond(p.used[k])
		if k > r {
			used = min(used, cfg.Shares[k]*total)
		}
		left -= used
	}
	return max(left, cfg.Shares[r]*total)
}

// entitled returns the fraction of the slots that rank r may use before others
// come first: its share, and for urgent all that is neither guaranteed to
// overnight work nor lately used by lookups within their share.
func (p *pipeline) entitled(cfg *Config, r fleet.Rank) float64 {
	if r != fleet.Urgent {
		return withinMargin * cfg.Shares[r]
	}
	lookups := p.wanted(cfg, fleet.Lookup) / float64(max(p.slots, 1))
	return 1 - cfg.Shares[fleet.Overnight] - min(cfg.Shares[fleet.Lookup], lookups)
}

// wanted returns the slots that rank r needs for its recent use and its variation.
func (p *pipeline) wanted(cfg *Config, r fleet.Rank) float64 {
	return p.level[r] + cfg.Headroom*math.Sqrt(p.level[r])
}

// reserve returns the slots kept for rank r against other ranks.
func (p *pipeline) reserve(cfg *Config, r fleet.Rank) int {
	if r == fleet.Overnight || p.level[r] < 0.01 {
		return 0
	}
	return int(min(p.wanted(cfg, r), p.entitled(cfg, r)*float64(p.slots)))
}

// allowed reports whether rank r may start another request. A rank that is owed
// its guaranteed share, urgent and lookup work within theirs, and urgent work of
// a team below its share may use the extra depth and other ranks' reserves: its
// wait would otherwise depend on how long other requests run.
func (p *pipeline) allowed(cfg *Config, r fleet.Rank, e *entry, owed bool) bool {
	if p.slots <= 0 {
		return false
	}
	// At least one, so that a pipeline of few slots also lets them overtake.
	depth := max(1, int(cfg.Depth*float64(p.slots)))
	if owed || p.within(cfg, r) {
		return p.total < p.slots+depth
	}
	if r == fleet.Urgent && p.ranks[r].behind(e) {
		// In a flood of urgent work the rest stays for lookups.
		return p.total < p.slots+depth*3/4
	}
	kept := 0
	for k := range fleet.Rank(fleet.RankCount) {
		if k != r {
			kept += max(0, p.reserve(cfg, k)-p.inFlight[k])
		}
	}
	return p.total+kept < p.slots
}

// within reports whether a latency-bound rank stays within its share, by what it
// started and by what arrived. The arrivals show a flood at once; the starts
// follow it with a delay of some seconds.
func (p *pipeline) within(cfg *Config, r fleet.Rank) bool {
	if r == fleet.Overnight {
		return false
	}
	share := p.entitled(cfg, r) * p.rate()
	return p.perSecond(p.used[r]) < share && p.perSecond(p.offered[r]) < floodFactor*share
}

// next returns the entry to start now, nil when none may start.
func (p *pipeline) next(cfg *Config, now time.Time) *entry {
	if cfg.Order != Fair {
		return p.nextBaseline()
	}
	if e := p.nextOwed(cfg); e != nil {
		return e
	}
	for r := range fleet.Rank(fleet.RankCount) {
		e := p.ranks[r].head()
		if e != nil && r == fleet.Urgent && float64(p.inFlight[r]) >= paceFrom*p.entitled(cfg, r)*float64(p.slots) {
			e = p.ranks[r].pacedHead(now)
		}
		if e != nil && p.allowed(cfg, r, e, false) {
			return e
		}
	}
	return nil
}

// nextOwed returns the head of the rank that is owed the most, if any may start.
func (p *pipeline) nextOwed(cfg *Config) *entry {
	var best *entry
	most := 0.0
	for r := range fleet.Rank(fleet.RankCount) {
		e := p.ranks[r].head()
		if e == nil || p.credit[r] < e.req.Cost || p.credit[r] <= most {
			continue
		}
		if p.allowed(cfg, r, e, true) {
			best, most = e, p.credit[r]
		}
	}
	return best
}

// nextBaseline returns the head of the first backlogged rank without any reserve.
func (p *pipeline) nextBaseline() *entry {
	if p.total >= p.slots {
		return nil
	}
	for r := range p.ranks {
		if e := p.ranks[r].head(); e != nil {
			return e
		}
	}
	return nil
}

// account books the start of an entry: guaranteed credits, use and in-flight counts.
func (p *pipeline) account(cfg *Config, e *entry, overnightShare float64) {
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
		// One second of the share bounds how long a rank may be favoured later,
		// but a rank of large requests must be able to save for its next one.
		p.credit[r] = min(p.credit[r]+shareMargin*share*cost, max(share*p.rate(), 1.5*head.req.Cost))
	}
	r := e.req.Rank
	e.team.decay(p.decayedAt)
	p.credit[r] = max(p.credit[r]-cost, -2*cost)
	p.used[r] += cost
	p.inFlight[r]++
	p.total++
}
