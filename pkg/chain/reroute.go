package chain

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// maxStages is the largest number of servers that a chain may name.
const maxStages = 32

// maxWidening is the number of stages beside a gap that Reroute gives up at most to cover it.
const maxWidening = 4

// crowdedReadFactor is by how much a read takes longer when many runs read at once, because the
// engines also run the steps of others in between. On the bench the last of 43 to 102 runs read 2.5
// to 3.4 times the sum of what each takes alone; with 2 here, 9 in 10 of the runs that change their
// paths pause for at most 253 ms, with 3 for 252 ms and fewer of them do.
const crowdedReadFactor = 2

// Reroute reserves a path on which a running generation can go on when some servers of its
// chain must be left. It keeps the first stage, and others whose server is not in avoid with
// their layers and their memory, and covers the layers of the rest with the cheapest servers that
// have memory for the whole context. The new servers read contextTokens tokens first. Stages
// beside a gap are given up only if no other servers cover it; their servers may then run more
// layers, and read the tokens again.
//
// The path crosses between data centres no more often than the chain: the pipe between them would
// carry the whole contexts of all runs that look for another path at the same time.
//
// The returned chain is pending: it holds only the memory of its new stages, and c stays as it is
// until Adopt or Release is called for the returned chain. Reroute fails with Full if a layer
// can't be covered, and with Incomplete if the first server is to be left.
func (a *Allocator) Reroute(now time.Time, c *Chain, avoid map[fleet.UpstreamID]bool, contextTokens int) (*Chain, Failure) {
	if c.released || c.replaces != nil || len(c.Stages) == 0 || avoid[c.Stages[0].Server] {
		return nil, Incomplete
	}
	need := c.need
	need.PromptTokens = max(contextTokens, need.PromptTokens) // the new servers read the answer so far as well
	need.AnswerTokens = max(c.need.PromptTokens+c.need.AnswerTokens-need.PromptTokens, 1)
	need.ReservedAnswerTokens = max(c.need.Tokens()-need.PromptTokens, 0)
	r := rerouting{need: need, avoid: avoid, herd: a.runsThrough(c, avoid)}
	next := &Chain{need: c.need, replaces: c, reserved: []Stage{}, ExpectedFirstEvent: c.ExpectedFirstEvent}
	stages := slices.Clone(c.Stages)
	for {
		from := slices.IndexFunc(stages, func(s Stage) bool { return avoid[s.Server] })
		if from < 0 {
			break
		}
		to := from + 1
		for to < len(stages) && avoid[stages[to].Server] {
			to++
		}
		replaced := a.replaceStages(now, stages, from, to, r)
		if replaced == nil {
			return nil, Full
		}
		stages = replaced
	}
	next.Stages = stages
	slowest := time.Duration(0)
	for _, stage := range stages {
		if !slices.Contains(c.Stages, stage) {
			next.reserved = append(next.reserved, stage)
			read := a.readTime(stage, contextTokens)
			next.ExpectedRead += read
			slowest = max(slowest, read)
		}
	}
	next.ExpectedQueue = time.Duration(r.herd * crowdedReadFactor * float64(slowest))
	a.estimate(next)
	tooSlow := need.GapObjective > 0 && next.ExpectedStep.Seconds()*float64(a.engine.TokensPerEvent) > maxStepShareOfGap*need.GapObjective.Seconds()
	if len(next.Stages) > maxStages || tooSlow || next.Crossings > c.Crossings {
		return nil, Full
	}
	next.added = next.reserved
	a.adjustLoads(next, 1)
	return next, NoFailure
}

// rerouting holds what the searches of one call of Reroute share.
type rerouting struct {
	need  Need
	avoid map[fleet.UpstreamID]bool
	// herd is the number of runs that look for another path at the same time.
	herd float64
}

// replaceStages returns stages with those from index from up to to, and as few as possible beside
// them, replaced by other servers; nil if there are none. The first stage is never replaced.
func (a *Allocator) replaceStages(now time.Time, stages []Stage, from, to int, r rerouting) []Stage {
	for extra := 0; extra <= maxWidening; extra++ {
		for before := extra; before >= 0; before-- {
			first, last := from-before, to+extra-before
			if first < 1 || last > len(stages) {
				continue
			}
			excluded := maps.Clone(r.avoid)
			for i, stage := range stages {
				if i < first || i >= last {
					excluded[stage.Server] = true
				}
			}
			gap := fleet.LayerRange{First: stages[first].Layers.First, End: stages[last-1].Layers.End}
			var following *Stage
			if last < len(stages) {
				following = &stages[last]
			}
			crossings := crossingsOf(stages[first-1 : min(last+1, len(stages))])
			added := a.cover(now, gap, stages[first-1].DataCentre, following, excluded, r)
			if added == nil {
				continue
			}
			within := append([]Stage{stages[first-1]}, added...)
			if following != nil {
				within = append(within, *following)
			}
			if crossingsOf(within) <= crossings {
				return slices.Concat(stages[:first], added, stages[last:])
			}
		}
	}
	return nil
}

// crossingsOf counts the hops between data centres in a list of stages.
func crossingsOf(stages []Stage) int {
	n := 0
	for i := 1; i < len(stages); i++ {
		if stages[i].DataCentre != stages[i-1].DataCentre {
			n++
		}
	}
	return n
}

// Adopt makes a pending chain the reservation of its generation: the memory of the stages that it
// replaces is released, and releasing the pending chain from now on releases everything. It does
// nothing and returns false if either chain has been released.
func (a *Allocator) Adopt(next *Chain) bool {
	old := next.replaces
	if old == nil || next.released || old.released {
		return false
	}
	a.Release(old)
	kept := &Chain{need: next.need, reserved: []Stage{}}
	for _, stage := range next.Stages {
		if !slices.Contains(next.reserved, stage) {
			kept.reserved = append(kept.reserved, stage)
		}
	}
	a.adjustLoads(kept, 1)
	next.replaces, next.reserved = nil, nil
	if next.Crossings > 0 {
		a.crossingChains++
	}
	return true
}

// heldStages returns the stages whose memory a chain has reserved.
func (c *Chain) heldStages() []Stage {
	if c.reserved != nil {
		return c.reserved
	}
	return c.Stages
}

// countsAsCrossing reports whether a chain counts as one across data centres. A pending one counts
// once it is adopted.
func (c *Chain) countsAsCrossing() bool { return c.Crossings > 0 && c.reserved == nil }

// partialCover is a sequence of servers that runs the layers of a gap up to some layer.
type partialCover struct {
	cost       float64
	stage      Stage
	dataCentre fleet.DataCentreID
	previous   *partialCover
}

// cover returns the cheapest servers that run the layers of gap between a server in the data
// centre before and the stage following, which is nil at the end of the chain. It returns nil if
// there are none.
func (a *Allocator) cover(now time.Time, gap fleet.LayerRange, before fleet.DataCentreID, following *Stage, excluded map[fleet.UpstreamID]bool, r rerouting) []Stage {
	need, herd := r.need, r.herd
	a.prepare(now, need, excluded)
	for i := range a.searchState.candidates {
		a.spread(&a.searchState.candidates[i], gap, herd)
	}
	tokens := float64(need.Tokens())
	// known holds for each layer the cheapest covers of the layers below it, one per data centre of
	// the last server.
	known := make([][]partialCover, gap.Len()+1)
	known[0] = []partialCover{{dataCentre: before}}
	for layer := gap.First; layer < gap.End; layer++ {
		for i := range known[layer-gap.First] {
			parent := &known[layer-gap.First][i]
			for j := range a.searchState.candidates {
				c := &a.searchState.candidates[j]
				if c.Layers.First > layer { // the candidates are sorted by first layer
					break
				}
				layers := fleet.LayerRange{First: layer, End: min(c.Layers.End, gap.End)}
				if layers.Len() <= 0 || c.free < tokens*float64(layers.Len()) {
					continue
				}
				extended := partialCover{
					cost:       parent.cost + a.coverCost(c, layers.Len(), parent.dataCentre, need),
					stage:      Stage{Server: c.ID, StartedAt: c.StartedAt, Address: c.Address, DataCentre: c.DataCentre, Layers: layers},
					dataCentre: c.DataCentre, previous: parent,
				}
				if layers.End == gap.End && following != nil {
					extended.cost += hopCost(c.DataCentre, following.DataCentre, need)
				}
				known[layers.End-gap.First] = keepCheapestCover(known[layers.End-gap.First], extended)
			}
		}
	}
	var best *partialCover
	for i := range known[gap.Len()] {
		if c := &known[gap.Len()][i]; best == nil || c.cost < best.cost {
			best = c
		}
	}
	var stages []Stage
	for c := best; c != nil && c.previous != nil; c = c.previous {
		stages = append(stages, c.stage)
	}
	slices.Reverse(stages)
	return stages
}

// runsThrough returns the largest number of runs of all VMs through a server of a chain that is to
// be avoided. All of them look for another path at about the same time.
func (a *Allocator) runsThrough(c *Chain, avoid map[fleet.UpstreamID]bool) float64 {
	most := 0.0
	for _, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil && avoid[stage.Server] {
			most = max(most, s.ownLoad.Requests+s.otherLoad.Requests)
		}
	}
	return most
}

// spread adds a random penalty to a candidate, up to the time in which it would read the tokens of
// all runs of the herd. Without it all runs would choose the same server, and the last one would
// wait for the reads of all others; with it they choose servers about in proportion to their speed.
func (a *Allocator) spread(c *candidate, gap fleet.LayerRange, herd float64) {
	layers := min(c.Layers.End, gap.End) - max(c.Layers.First, gap.First)
	if a.sharing.Random == nil || layers <= 0 {
		return
	}
	c.penalty += a.sharing.Random() * herd * c.prefillPerLayer * float64(layers)
}

// coverCost returns the expected seconds that a server adds to the rest of a generation, plus
// penalties.
func (a *Allocator) coverCost(c *candidate, layerCount int, before fleet.DataCentreID, need Need) float64 {
	return c.penalty + float64(layerCount)*(c.prefillPerLayer+float64(need.AnswerTokens)*c.stepPerLayer) + hopCost(before, c.DataCentre, need)
}

// hopCost returns the expected seconds of a hop for the rest of a generation, with the penalty for
// chains across data centres.
func hopCost(from, to fleet.DataCentreID, need Need) float64 {
	if from != to {
		return float64(need.AnswerTokens)*crossDCLatency.Seconds() + crossDCPenalty.Seconds()
	}
	return float64(need.AnswerTokens) * hopLatency.Seconds()
}

// keepCheapestCover adds a cover to those that end at the same layer. It keeps only the cheapest
// one per data centre of the last server. A cover that others extend is never replaced, because
// the layers are visited in order.
func keepCheapestCover(covers []partialCover, next partialCover) []partialCover {
	for i := range covers {
		if covers[i].dataCentre == next.dataCentre {
			if next.cost < covers[i].cost {
				covers[i] = next
			}
			return covers
		}
	}
	return append(covers, next)
}

// readTime returns the expected time in which the server of a stage reads tokens.
func (a *Allocator) readTime(stage Stage, tokens int) time.Duration {
	s := a.byID[stage.Server]
	if s == nil {
		return 0
	}
	return time.Duration(float64(PrefillTime(a.engine, s.Card, float64(tokens), stage.Layers.Len())) * max(s.SlowdownFactor, 1))
}

// estimate sets the expected step and the number of crossings of a chain.
func (a *Allocator) estimate(c *Chain) {
	c.Crossings = crossingsOf(c.Stages)
	seconds := 0.0
	for i, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil {
			seconds += a.stepSeconds(s, stage.Layers.Len())
		}
		before := a.localDC
		if i > 0 {
			before = c.Stages[i-1].DataCentre
		}
		hop := hopLatency
		if before != stage.DataCentre {
			hop = crossDCLatency
		}
		seconds += hop.Seconds()
	}
	c.ExpectedStep = toDuration(seconds)
}

// AddedStages returns the stages that the chain which a rerouted one replaces does not have.
func (c *Chain) AddedStages() []Stage { return c.added }
