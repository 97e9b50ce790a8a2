package chain

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// hopLatency is the one-way latency of a hop within a data centre, including
	// processing, as the users' sheets state it.
	hopLatency = 250 * time.Microsecond
	// crossDCLatency is the one-way latency of a hop between data centres, including
	// processing, as the users' sheets state it.
	crossDCLatency = 700 * time.Microsecond
	// crossDCPenalty is added for each hop between data centres, because all chains share
	// the pipe. It exceeds the duration of a generation plus the contention penalties of
	// 32 servers, so that such a chain is chosen only when all others are full.
	crossDCPenalty = 10 * time.Minute
	// maxGapShare is the fraction of the longest on-time pause between events that the
	// steps of an event may take. The rest is reserved for the prefill of other prompts,
	// which the servers run between steps.
	maxGapShare = 0.7
)

// path is the cheapest known path through the servers that runs the layers up to a
// position.
type path struct {
	cost          float64 // expected seconds of the whole generation, plus penalties
	step          float64 // expected seconds per answer token
	server        *server // last server of the path; nil at the start
	firstLayer    int     // first layer that server runs
	previous      *path
	pathCrossings int // hops between data centres
}

// search returns the chain with the lowest cost. With enforceLimits, it leaves out servers
// without free memory for the request, chains too slow for the gap objective, and further
// chains across data centres beyond this VM's share. One pass in the order of the layers
// suffices, because each server extends a path to a higher layer.
func (a *Allocator) search(now time.Time, need Need, avoid map[fleet.UpstreamID]bool, enforceLimits bool) (*Chain, bool) {
	layers := a.engine.Layers
	// best[p] holds the cheapest paths that end before layer p, one per data centre of
	// the last server.
	best := make([][]*path, layers+1)
	best[0] = []*path{{}}
	for p := 0; p < layers; p++ {
		if len(best[p]) == 0 {
			continue
		}
		for _, s := range a.servers {
			if s.Layers.First > p {
				break
			}
			if s.Layers.End <= p || s.Weight <= 0 || avoid[s.ID] || now.Before(s.pausedUntil) {
				continue
			}
			count := s.Layers.End - p
			extraCost := 0.0
			if enforceLimits {
				freeRequests := s.freeRequests(now, need, count)
				if freeRequests < 1 {
					continue
				}
				extraCost = a.sharing.contentionPenalty(freeRequests, s.DataCentre == a.localDC)
			}
			for _, known := range best[p] {
				next := a.extend(now, known, s, p, count, need)
				next.cost += extraCost
				if enforceLimits && next.pathCrossings > 0 && a.crossingChains >= a.maxCrossingChains {
					continue
				}
				best[s.Layers.End] = keepCheapest(best[s.Layers.End], next)
			}
		}
	}
	var cheapest *path
	for _, known := range best[layers] {
		if enforceLimits && need.GapObjective > 0 && known.step*float64(a.engine.TokensPerEvent) > maxGapShare*need.GapObjective.Seconds() {
			continue
		}
		if cheapest == nil || known.cost < cheapest.cost {
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
			if next.cost < known.cost {
				paths[i] = next
			}
			return paths
		}
	}
	return append(paths, next)
}

// freeRequests returns the number of requests, each running a number of layers, for which the
// server has free memory.
func (s *server) freeRequests(now time.Time, need Need, layers int) float64 {
	if now.Before(s.backoffUntil) {
		return 0
	}
	free := s.capacity*s.Weight - s.ownLoad.KV - s.otherLoad.KV
	return free / max(float64((need.PromptTokens+need.AnswerTokens)*layers), 1)
}

// extend returns a path extended by a server that runs count layers from layer p.
func (a *Allocator) extend(now time.Time, parent *path, s *server, p, count int, need Need) *path {
	step := a.stepTime(s, count)
	prefill := PrefillTime(a.engine, s.Card, float64(need.PromptTokens), count).Seconds() * max(s.SlowdownFactor, 1)
	next := &path{server: s, firstLayer: p, previous: parent, pathCrossings: parent.pathCrossings}
	hop, penalty := hopLatency, time.Duration(0)
	switch {
	case parent.server != nil && parent.server.DataCentre != s.DataCentre:
		hop, penalty = crossDCLatency, crossDCPenalty
		next.pathCrossings++
	case parent.server == nil && s.DataCentre != a.localDC:
		hop = crossDCLatency
	}
	next.step = parent.step + step + hop.Seconds()
	next.cost = parent.cost + prefill + penalty.Seconds() + float64(need.AnswerTokens)*(step+hop.Seconds())
	// A server that recovers from a failure gets work according to its weight.
	next.cost += (1 - s.Weight) * recoveryPenalty.Seconds()
	if now.Before(s.DeprioritizedUntil) {
		next.cost += pausePenalty.Seconds()
	}
	return next
}

// recoveryPenalty is the cost added for a recovered server at weight 0. It falls to zero as
// the weight rises to 1.
const recoveryPenalty = time.Second

// pausePenalty is the cost added for a server that asked another VM for a pause. It
// equals the cost added at weight 0.5.
const pausePenalty = recoveryPenalty / 2

// stepTime returns the expected seconds per answer token on a number of a server's layers,
// with the requests that are reserved on it.
func (a *Allocator) stepTime(s *server, count int) float64 {
	e := a.engine
	requests := s.ownLoad.Requests + s.otherLoad.Requests + 1
	tokens := s.ownLoad.Tokens + s.otherLoad.Tokens
	seconds := e.Step.Seconds() + requests*e.StepPerRequest.Seconds() + tokens/1000*e.StepPerThousandTokens.Seconds()
	share := float64(count) / float64(e.Layers)
	// The server runs the prefill of its other requests between steps.
	activeRequests := s.ownLoad.Requests + s.otherLoad.Requests
	return seconds * share * s.Card.StepFactor * max(s.SlowdownFactor, 1) * (1 + activeRequests*queueingOverhead)
}

// queueingOverhead is the fraction by which each request on a server lengthens a step, because
// the step waits for the forward passes of the others.
const queueingOverhead = 0.01

// PrefillTime returns the time for the prefill of a prompt on a number of layers of a card.
func PrefillTime(e *catalog.Engine, card catalog.Card, tokens float64, count int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := tokens / e.PrefillTokensPerSecond * card.PrefillFactor * float64(count) / float64(e.Layers)
	return time.Duration(seconds * float64(time.Second))
}

func (a *Allocator) assemble(last *path, need Need) *Chain {
	c := &Chain{need: need, Crossings: last.pathCrossings, ExpectedStep: toDuration(last.step)}
	var prefill time.Duration
	for node := last; node.server != nil; node = node.previous {
		s := node.server
		c.Stages = append(c.Stages, Stage{
			Server: s.ID, StartedAt: s.StartedAt, Address: s.Address, DataCentre: s.DataCentre,
			Layers: fleet.LayerRange{First: node.firstLayer, End: s.Layers.End},
		})
		prefill += PrefillTime(a.engine, s.Card, float64(need.PromptTokens), s.Layers.End-node.firstLayer)
	}
	for i, j := 0, len(c.Stages)-1; i < j; i, j = i+1, j-1 {
		c.Stages[i], c.Stages[j] = c.Stages[j], c.Stages[i]
	}
	c.ExpectedFirstEvent = prefill + time.Duration(a.engine.TokensPerEvent)*c.ExpectedStep
	return c
}

func toDuration(seconds float64) time.Duration {
	if math.IsInf(seconds, 0) || math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
