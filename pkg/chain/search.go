package chain

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// hopLatency is the one-way latency of a hop within a data centre, including
	// processing, as given in the data sheets of the users.
	hopLatency = 250 * time.Microsecond
	// crossDCLatency is the one-way latency of a hop between data centres, including
	// processing, as given in the data sheets of the users.
	crossDCLatency = 700 * time.Microsecond
	// crossDCPenalty is added for each hop between servers in different data centres, because
	// all chains share the link between them. The hop from this VM to the first server is not
	// counted. The penalty exceeds the duration of a generation plus the contention penalties
	// of a chain of 32 servers, so that such a chain is chosen only when no other is
	// admissible.
	crossDCPenalty = 10 * time.Minute
	// maxStepShareOfGap is the fraction of Need.GapObjective that the steps of one event may
	// take. The rest is reserved for the prefill of other prompts, which the servers run
	// between steps.
	maxStepShareOfGap = 0.7
)

// path is a sequence of servers that runs the layers from 0 up to a given one. It is linked
// from its last server to its first.
type path struct {
	costSeconds float64 // expected seconds of the whole generation, plus penalties
	stepSeconds float64 // expected seconds per answer token
	server      *server // last server of the path; nil at the start
	firstLayer  int     // first layer that the server runs
	previous    *path
	crossings   int // hops between servers in different data centres
}

// search returns the chain with the lowest cost, or false if no chain remains. Servers in
// avoid, paused servers and servers of weight 0 are always left out. With enforceLimits, it
// also leaves out servers without free memory for the request, chains too slow for the gap
// objective, and chains across data centres once this VM has maxCrossingChains of them. The
// gap objective is checked only for the cheapest chain per data centre of the last server, so
// search may miss a chain that costs more and meets it. One pass in the order of the layers
// suffices, because each server extends a path to a higher layer.
func (a *Allocator) search(now time.Time, need Need, avoid map[fleet.UpstreamID]bool, enforceLimits bool) (*Chain, bool) {
	layers := a.engine.Layers
	// best[i] holds the cheapest paths that run the layers below i, one per data centre of
	// the last server.
	best := make([][]*path, layers+1)
	best[0] = []*path{{}}
	for firstLayer := 0; firstLayer < layers; firstLayer++ {
		if len(best[firstLayer]) == 0 {
			continue
		}
		for _, s := range a.servers {
			if s.Layers.First > firstLayer { // a.servers is sorted by first layer
				break
			}
			if s.Layers.End <= firstLayer || s.Weight <= 0 || avoid[s.ID] || now.Before(s.pausedUntil) {
				continue
			}
			layerCount := s.Layers.End - firstLayer
			extraCost := 0.0
			if enforceLimits {
				requestsThatFit := s.requestsThatFit(now, need, layerCount)
				if requestsThatFit < 1 {
					continue
				}
				extraCost = a.sharing.contentionPenalty(requestsThatFit, s.DataCentre == a.localDC)
			}
			for _, known := range best[firstLayer] {
				next := a.extend(now, known, s, firstLayer, layerCount, need)
				next.costSeconds += extraCost
				if enforceLimits && next.crossings > 0 && a.crossingChains >= a.maxCrossingChains {
					continue
				}
				best[s.Layers.End] = keepCheapest(best[s.Layers.End], next)
			}
		}
	}
	var cheapest *path
	for _, known := range best[layers] {
		if enforceLimits && need.GapObjective > 0 && known.stepSeconds*float64(a.engine.TokensPerEvent) > maxStepShareOfGap*need.GapObjective.Seconds() {
			continue
		}
		if cheapest == nil || known.costSeconds < cheapest.costSeconds {
			cheapest = known
		}
	}
	if cheapest == nil {
		return nil, false
	}
	return a.assemble(cheapest, need), true
}

// keepCheapest adds a path to those that end at the same layer. It keeps only the cheapest
// path per data centre of the last server.
func keepCheapest(paths []*path, next *path) []*path {
	for i, known := range paths {
		if known.server.DataCentre == next.server.DataCentre {
			if next.costSeconds < known.costSeconds {
				paths[i] = next
			}
			return paths
		}
	}
	return append(paths, next)
}

// requestsThatFit returns how many requests like need, on the given number of layers, fit in
// the free memory of the server. The memory counts in proportion to the server's weight, and
// as none during the backoff that follows a refusal.
func (s *server) requestsThatFit(now time.Time, need Need, layers int) float64 {
	if now.Before(s.backoffUntil) {
		return 0
	}
	free := s.capacity*s.Weight - s.ownLoad.KV - s.otherLoad.KV
	return free / max(float64((need.PromptTokens+need.AnswerTokens)*layers), 1)
}

// extend returns parent extended by server s, which runs layerCount layers from firstLayer.
func (a *Allocator) extend(now time.Time, parent *path, s *server, firstLayer, layerCount int, need Need) *path {
	step := a.stepSeconds(s, layerCount)
	prefill := PrefillTime(a.engine, s.Card, float64(need.PromptTokens), layerCount).Seconds() * max(s.SlowdownFactor, 1)
	next := &path{server: s, firstLayer: firstLayer, previous: parent, crossings: parent.crossings}
	hop, penalty := hopLatency, time.Duration(0)
	switch {
	case parent.server != nil && parent.server.DataCentre != s.DataCentre:
		hop, penalty = crossDCLatency, crossDCPenalty
		next.crossings++
	case parent.server == nil && s.DataCentre != a.localDC:
		hop = crossDCLatency
	}
	next.stepSeconds = parent.stepSeconds + step + hop.Seconds()
	next.costSeconds = parent.costSeconds + prefill + penalty.Seconds() + float64(need.AnswerTokens)*(step+hop.Seconds())
	// A server whose weight is below 1 costs more, so that it gets less work.
	next.costSeconds += (1 - s.Weight) * recoveryPenalty.Seconds()
	if now.Before(s.DeprioritizedUntil) {
		next.costSeconds += deprioritizedPenalty.Seconds()
	}
	return next
}

// recoveryPenalty, multiplied by 1 minus the weight of the server, is the cost added for a
// server that returns to service after a failure.
const recoveryPenalty = time.Second

// deprioritizedPenalty is the cost added while a server is deprioritized because it asked
// another VM for a pause. It is that of a server of weight 0.5.
const deprioritizedPenalty = recoveryPenalty / 2

// stepSeconds returns the expected seconds per answer token on layerCount layers of a server
// that also runs the requests reserved on it.
func (a *Allocator) stepSeconds(s *server, layerCount int) float64 {
	e := a.engine
	requests := s.ownLoad.Requests + s.otherLoad.Requests + 1
	tokens := s.ownLoad.Tokens + s.otherLoad.Tokens
	seconds := e.Step.Seconds() + requests*e.StepPerRequest.Seconds() + tokens/1000*e.StepPerThousandTokens.Seconds()
	share := float64(layerCount) / float64(e.Layers)
	otherRequests := s.ownLoad.Requests + s.otherLoad.Requests
	return seconds * share * s.Card.StepFactor * max(s.SlowdownFactor, 1) * (1 + otherRequests*queueingOverhead)
}

// queueingOverhead is the fraction by which each other request on a server lengthens a step,
// because the step waits for the prefill and the steps of the others.
const queueingOverhead = 0.01

// PrefillTime returns the expected time for the prefill of a prompt on the given number of
// layers by an engine with the given card. It is 0 if the prefill speed is not known.
func PrefillTime(e *catalog.Engine, card catalog.Card, tokens float64, layerCount int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := tokens / e.PrefillTokensPerSecond * card.PrefillFactor * float64(layerCount) / float64(e.Layers)
	return time.Duration(seconds * float64(time.Second))
}

// assemble returns the chain of the path that ends with last. ExpectedFirstEvent leaves the
// SlowdownFactor of the servers out of the prefill, though not out of the steps.
func (a *Allocator) assemble(last *path, need Need) *Chain {
	c := &Chain{need: need, Crossings: last.crossings, ExpectedStep: toDuration(last.stepSeconds)}
	var prefill time.Duration
	for part := last; part.server != nil; part = part.previous {
		s := part.server
		c.Stages = append(c.Stages, Stage{
			Server: s.ID, StartedAt: s.StartedAt, Address: s.Address, DataCentre: s.DataCentre,
			Layers: fleet.LayerRange{First: part.firstLayer, End: s.Layers.End},
		})
		prefill += PrefillTime(a.engine, s.Card, float64(need.PromptTokens), s.Layers.End-part.firstLayer)
	}
	for i, j := 0, len(c.Stages)-1; i < j; i, j = i+1, j-1 {
		c.Stages[i], c.Stages[j] = c.Stages[j], c.Stages[i]
	}
	c.ExpectedFirstEvent = prefill + time.Duration(a.engine.TokensPerEvent)*c.ExpectedStep
	return c
}

// toDuration returns 0 for infinities and NaN, because the result of converting them to an
// integer is not defined.
func toDuration(seconds float64) time.Duration {
	if math.IsInf(seconds, 0) || math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
