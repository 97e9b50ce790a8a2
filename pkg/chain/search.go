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
	costSeconds  float64    // expected seconds of the whole generation, plus penalties
	stepSeconds  float64    // expected seconds per answer token
	server       *candidate // last server of the path; nil at the start
	firstLayer   int        // first layer that the server runs
	previous     int        // index of the path without its last server in searchState.paths[firstLayer]
	crossings    int        // hops between servers in different data centres
	waitSeconds  float64    // expected seconds until the prompts queued at each server are read
	knownWait    float64    // the part of waitSeconds without assumptions about other VMs
	pieceSeconds float64    // expected seconds by which a piece of the prompt lengthens a step of others
	jitter       float64    // factor on what other VMs are assumed to send unseen to the path
}

// candidate is a server that a search may use, with the values that all paths through it share.
type candidate struct {
	*server
	local           bool    // the server is in the data centre of this VM
	stepPerLayer    float64 // expected seconds per answer token and layer
	prefillPerLayer float64 // expected seconds of the prefill per layer
	piecePerLayer   float64 // expected seconds that the largest piece of the prompt takes per layer
	penalty         float64 // penalties of the server in seconds
	free            float64 // free KV memory in tokens x layers; 0 during the backoff that follows a refusal
	backlog         backlog // prompts that the server has still to read
}

// searchState holds the memory that successive searches use again. A search takes some
// thousand steps and runs for each request, so that it allocates only its result.
type searchState struct {
	candidates []candidate // sorted by first layer
	// paths holds for each layer the cheapest paths that run the layers below it, one per data
	// centre of the last server.
	paths [][]path
}

// prepare sets the candidates of a search and clears the paths of the previous one.
func (a *Allocator) prepare(now time.Time, need Need, avoid map[fleet.UpstreamID]bool) {
	st := &a.searchState
	st.candidates = st.candidates[:0]
	flow := a.unseenFlow(now)
	a.updatePendingWaits(now)
	for _, s := range a.servers {
		if !s.isAvailable(now, avoid) {
			continue
		}
		c := candidate{
			server: s, local: s.DataCentre == a.localDC, stepPerLayer: a.stepSeconds(s, 1),
			prefillPerLayer: PrefillTime(a.engine, s.Card, float64(need.PromptTokens), 1).Seconds() * max(s.SlowdownFactor, 1),
			// A server whose weight is below 1 costs more, so that it gets less work.
			penalty: (1 - s.Weight) * recoveryPenalty.Seconds(),
		}
		if now.Before(s.DeprioritizedUntil) {
			c.penalty += deprioritizedPenalty.Seconds()
		}
		if chunk := a.engine.PrefillChunk; chunk > 0 && !a.backlog.off {
			c.piecePerLayer = c.prefillPerLayer * min(1, float64(chunk)/float64(max(need.PromptTokens, 1)))
		}
		c.backlog = a.backlogOf(now, s, flow)
		if !now.Before(s.backoffUntil) {
			c.free = a.freeKV(now, s)
		}
		st.candidates = append(st.candidates, c)
	}
	for len(st.paths) <= a.engine.Layers {
		st.paths = append(st.paths, nil)
	}
	for i := range st.paths {
		st.paths[i] = st.paths[i][:0]
	}
}

// isAvailable reports whether a server may be used at all: it is not in avoid, not paused and
// has a weight above 0.
func (s *server) isAvailable(now time.Time, avoid map[fleet.UpstreamID]bool) bool {
	return s.Weight > 0 && !avoid[s.ID] && !now.Before(s.pausedUntil)
}

// search returns the chain with the lowest cost, or false if no chain remains. It uses only
// available servers with free memory for the request, and leaves out chains too slow for the gap
// objective, and chains across data centres once this VM has maxCrossingChains of them. The
// gap objective is checked only for the cheapest chain per data centre of the last server, so
// search may miss a chain that costs more and meets it.
func (a *Allocator) search(now time.Time, need Need, avoid map[fleet.UpstreamID]bool) (*Chain, bool) {
	a.prepare(now, need, avoid)
	a.extendPaths(need)
	var cheapest *path
	lowest := 0.0
	complete := a.searchState.paths[a.engine.Layers]
	for i := range complete {
		known := &complete[i]
		if need.GapObjective > 0 && known.stepSeconds*float64(a.engine.TokensPerEvent) > maxStepShareOfGap*need.GapObjective.Seconds() {
			continue
		}
		if score := known.score(need) + a.pausePenalty(known, need); cheapest == nil || score < lowest {
			cheapest, lowest = known, score
		}
	}
	if cheapest == nil {
		return nil, false
	}
	return a.assemble(cheapest, need), true
}

// extendPaths finds the cheapest paths up to each layer. One pass in the order of the layers
// suffices, because each server extends a path to a higher layer.
func (a *Allocator) extendPaths(need Need) {
	st := &a.searchState
	st.paths[0] = append(st.paths[0], path{})
	tokens := float64(need.Tokens())
	crossingsAllowed := a.crossingChains < a.maxCrossingChains
	for firstLayer := 0; firstLayer < a.engine.Layers; firstLayer++ {
		known := st.paths[firstLayer]
		if len(known) == 0 {
			continue
		}
		for i := range st.candidates {
			c := &st.candidates[i]
			if c.Layers.First > firstLayer { // the candidates are sorted by first layer
				break
			}
			layerCount := c.Layers.End - firstLayer
			if layerCount <= 0 {
				continue
			}
			requestsThatFit := c.free / max(tokens*float64(layerCount), 1)
			if requestsThatFit < 1 {
				continue
			}
			contention := a.sharing.contentionPenalty(requestsThatFit, c.local)
			for j := range known {
				next := a.extend(&known[j], j, c, firstLayer, layerCount, need)
				if next.crossings > 0 && !crossingsAllowed {
					continue
				}
				next.costSeconds += contention
				st.paths[c.Layers.End] = keepCheapest(st.paths[c.Layers.End], next, need)
			}
		}
	}
}

// maxPathsPerDataCentre bounds the paths that are kept per layer and data centre. More than one
// is kept only while prompts wait.
const maxPathsPerDataCentre = 3

// keepCheapest adds a path to those that end at the same layer. Of the paths of one data centre
// of the last server it keeps those that no other one beats in both cost and wait, at most
// maxPathsPerDataCentre of them.
func keepCheapest(paths []path, next path, need Need) []path {
	kept, worst := 0, -1
	for i := 0; i < len(paths); i++ {
		p := &paths[i]
		if p.server.DataCentre != next.server.DataCentre {
			continue
		}
		if p.costSeconds <= next.costSeconds && p.waitSeconds <= next.waitSeconds {
			return paths
		}
		if next.costSeconds <= p.costSeconds && next.waitSeconds <= p.waitSeconds {
			paths[i] = paths[len(paths)-1]
			paths = paths[:len(paths)-1]
			i--
			continue
		}
		kept++
		if worst < 0 || p.score(need) > paths[worst].score(need) {
			worst = i
		}
	}
	if kept < maxPathsPerDataCentre {
		return append(paths, next)
	}
	if next.score(need) < paths[worst].score(need) {
		paths[worst] = next
	}
	return paths
}

// extend returns the path at index, parent, extended by server c, which runs layerCount layers
// from firstLayer.
func (a *Allocator) extend(parent *path, index int, c *candidate, firstLayer, layerCount int, need Need) path {
	step := c.stepPerLayer * float64(layerCount)
	next := path{server: c, firstLayer: firstLayer, previous: index, crossings: parent.crossings, jitter: parent.jitter}
	if parent.server == nil {
		next.jitter = c.backlog.jitter
	}
	next.pieceSeconds = parent.pieceSeconds + c.piecePerLayer*float64(layerCount)
	next.knownWait = max(parent.knownWait, c.backlog.known)
	next.waitSeconds = max(parent.waitSeconds, c.backlog.expected(next.jitter))
	hop, penalty := hopLatency.Seconds(), c.penalty
	switch {
	case parent.server != nil && parent.server.DataCentre != c.DataCentre:
		hop, penalty = crossDCLatency.Seconds(), penalty+crossDCPenalty.Seconds()
		next.crossings++
	case parent.server == nil && !c.local:
		hop = crossDCLatency.Seconds()
	}
	next.stepSeconds = parent.stepSeconds + step + hop
	next.costSeconds = parent.costSeconds + c.prefillPerLayer*float64(layerCount) + penalty + float64(need.AnswerTokens)*(step+hop)
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
// SlowdownFactor of the servers out of the prefill, though not out of the steps and the wait.
func (a *Allocator) assemble(last *path, need Need) *Chain {
	c := &Chain{need: need, Crossings: last.crossings, ExpectedStep: toDuration(last.stepSeconds)}
	var prefill time.Duration
	for part := last; part.server != nil; part = &a.searchState.paths[part.firstLayer][part.previous] {
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
	c.QueueWait = toDuration(last.knownWait)
	c.ExpectedWait = min(c.QueueWait, maxExpectedWait)
	c.ExpectedFirstEvent = c.ExpectedWait + prefill + time.Duration(a.engine.TokensPerEvent)*c.ExpectedStep
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
