package chain

import (
	"math"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// hopTime is the time of a hop within a data centre, crossTime that between two.
	// Both are one way, as the users' sheets state them, with their processing.
	hopTime   = 250 * time.Microsecond
	crossTime = 700 * time.Microsecond
	// crossPenalty is added for a hop between data centres, whose pipe all chains
	// share: it exceeds the time of a generation and all that the sharing of room adds
	// on 32 servers, so that such a chain is taken when the others are full.
	crossPenalty = 10 * time.Minute
	// gapShare is the part of the longest pause between events that a chain may be
	// expected to need; the rest is for prompts that are read between the steps.
	gapShare = 0.7
)

// partial is the best way found to run the layers up to a position.
type partial struct {
	cost     float64 // expected seconds of the whole generation
	step     float64 // expected seconds of one token
	server   *server // the last server of the way; nil at the start
	from     int     // its first layer
	previous *partial
	crossed  int
}

// search returns the chain with the lowest expected time. With limits, servers
// without memory for the request and chains too slow for its gaps are left out.
// It relaxes ways in the order of the layers, which never cycle.
func (b *Book) search(now time.Time, need Need, avoid map[fleet.UpstreamID]bool, limits bool) (*Chain, bool) {
	layers := b.engine.Layers
	// best[p] holds the best ways that end before layer p, one for each data centre.
	best := make([][]*partial, layers+1)
	best[0] = []*partial{{}}
	for p := 0; p < layers; p++ {
		if len(best[p]) == 0 {
			continue
		}
		for _, s := range b.servers {
			if s.Layers.First > p {
				break
			}
			if s.Layers.End <= p || s.Weight <= 0 || avoid[s.ID] || now.Before(s.pausedUntil) {
				continue
			}
			count := s.Layers.End - p
			extra := 0.0
			if limits {
				room := s.room(now, need, count)
				if room < 1 {
					continue
				}
				extra = b.sharing.cost(room, s.DataCentre == b.local)
			}
			for _, way := range best[p] {
				next := b.extend(now, way, s, p, count, need)
				next.cost += extra
				if limits && next.crossed > 0 && b.crossings >= b.maxCrossings {
					continue
				}
				best[s.Layers.End] = keep(best[s.Layers.End], next)
			}
		}
	}
	var found *partial
	for _, way := range best[layers] {
		if limits && need.Gap > 0 && way.step*float64(b.engine.Stride) > gapShare*need.Gap.Seconds() {
			continue
		}
		if found == nil || way.cost < found.cost {
			found = way
		}
	}
	if found == nil {
		return nil, false
	}
	return b.assemble(found, need), true
}

// keep adds a way to those that end at the same layer: the best of each data centre.
func keep(ways []*partial, next *partial) []*partial {
	for i, way := range ways {
		if way.server.DataCentre == next.server.DataCentre {
			if next.cost < way.cost {
				ways[i] = next
			}
			return ways
		}
	}
	return append(ways, next)
}

// room returns the number of requests on some of its layers for which a server has memory.
func (s *server) room(now time.Time, need Need, layers int) float64 {
	if now.Before(s.fullUntil) {
		return 0
	}
	free := s.capacity*s.Weight - s.own.KV - s.others.KV
	return free / max(float64((need.Prompt+need.Answer)*layers), 1)
}

// extend returns the way on through a server from layer p.
func (b *Book) extend(now time.Time, way *partial, s *server, p, count int, need Need) *partial {
	step := b.stepTime(s, count)
	read := ReadTime(b.engine, s.Card, float64(need.Prompt), count).Seconds() * max(s.Slowness, 1)
	next := &partial{server: s, from: p, previous: way, crossed: way.crossed}
	hop, penalty := hopTime, time.Duration(0)
	switch {
	case way.server != nil && way.server.DataCentre != s.DataCentre:
		hop, penalty = crossTime, crossPenalty
		next.crossed++
	case way.server == nil && s.DataCentre != b.local:
		hop = crossTime
	}
	next.step = way.step + step + hop.Seconds()
	next.cost = way.cost + read + penalty.Seconds() + float64(need.Answer)*(step+hop.Seconds())
	// A server that returns after a failure takes work in proportion to its weight.
	next.cost += (1 - s.Weight) * returnPenalty.Seconds()
	if now.Before(s.SparedUntil) {
		next.cost += sparedPenalty.Seconds()
	}
	return next
}

// returnPenalty is the handicap of a server that just returned.
const returnPenalty = time.Second

// sparedPenalty is the handicap of a server that asked another VM for a pause: that of one
// with half of its weight.
const sparedPenalty = returnPenalty / 2

// stepTime returns the expected seconds of one token on a number of a server's
// layers, with the requests that are on it.
func (b *Book) stepTime(s *server, count int) float64 {
	e := b.engine
	requests := s.own.Requests + s.others.Requests + 1
	tokens := s.own.Tokens + s.others.Tokens
	seconds := e.Step.Seconds() + requests*e.StepPerRequest.Seconds() + tokens/1000*e.StepPerThousandTokens.Seconds()
	share := float64(count) / float64(e.Layers)
	// The prompts of a server's requests are read between its steps.
	busy := s.own.Requests + s.others.Requests
	return seconds * share * s.Card.StepFactor * max(s.Slowness, 1) * (1 + busy*crowding)
}

// crowding is the relative time that each request on a server adds to a step for
// the wait behind the passes of the others.
const crowding = 0.01

// ReadTime returns the time to read a prompt on a number of layers of a card.
func ReadTime(e *catalog.Engine, card catalog.Card, tokens float64, count int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	seconds := tokens / e.ReadPerSecond * card.ReadFactor * float64(count) / float64(e.Layers)
	return time.Duration(seconds * float64(time.Second))
}

func (b *Book) assemble(last *partial, need Need) *Chain {
	c := &Chain{need: need, Crossings: last.crossed, Step: duration(last.step)}
	var read time.Duration
	for way := last; way.server != nil; way = way.previous {
		s := way.server
		c.Stages = append(c.Stages, Stage{
			Server: s.ID, Born: s.Born, Address: s.Address, DataCentre: s.DataCentre,
			Layers: fleet.LayerRange{First: way.from, End: s.Layers.End},
		})
		read += ReadTime(b.engine, s.Card, float64(need.Prompt), s.Layers.End-way.from)
	}
	for i, j := 0, len(c.Stages)-1; i < j; i, j = i+1, j-1 {
		c.Stages[i], c.Stages[j] = c.Stages[j], c.Stages[i]
	}
	c.FirstEvent = read + time.Duration(b.engine.Stride)*c.Step
	return c
}

func duration(seconds float64) time.Duration {
	if math.IsInf(seconds, 0) || math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
