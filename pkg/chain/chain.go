// Package chain chooses the chain of servers that runs a generation: servers
// whose layer ranges follow each other from the first layer to the last. It
// keeps what this VM has promised to each server, in KV memory and requests, and
// what the other VMs said that they have. It is pure: times are handed in.
//
// Invariants:
//   - a chain runs every layer once and in order, and names no server twice;
//   - no server is promised more KV memory than its layers leave, as far as the
//     other VMs' promises are known;
//   - what was reserved is released once.
package chain

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Server is a model engine that takes requests.
type Server struct {
	ID         fleet.UpstreamID
	Address    string
	DataCentre fleet.DataCentreID
	Card       catalog.Card
	// Layers is what the server holds.
	Layers fleet.LayerRange
	// Weight is the fraction of normal work that it may take, 0 for none.
	Weight float64
	// Slowness multiplies its times; 1 is usual.
	Slowness float64
	// Born is the start of the server.
	Born time.Time
	// SparedUntil is until when it is used only if others would cost more: it asked
	// another VM for a pause.
	SparedUntil time.Time
}

// Stage is a part of a chain.
type Stage struct {
	Server     fleet.UpstreamID
	Born       time.Time
	Address    string
	DataCentre fleet.DataCentreID
	Layers     fleet.LayerRange
}

// Need is what a generation needs.
type Need struct {
	// Prompt and Answer are the tokens read and the tokens expected to be written.
	Prompt int
	Answer int
	// Gap is the longest pause between events that is on time; 0 sets no bound.
	Gap time.Duration
}

// Chain is a reserved chain.
type Chain struct {
	Stages []Stage
	// Step is the expected time of one token, FirstEvent that to the first event.
	Step       time.Duration
	FirstEvent time.Duration
	// Crossings counts the changes of data centre within the chain.
	Crossings int

	need     Need
	released bool
}

// Load is what was promised to a server.
type Load struct {
	// KV is the promised memory in tokens x layers.
	KV float64
	// Requests and Tokens are the requests and the tokens of their contexts.
	Requests float64
	Tokens   float64
}

// Failure says why there is no chain.
type Failure uint8

// The failures.
const (
	// NoFailure: a chain was reserved.
	NoFailure Failure = iota
	// Incomplete: the servers that take work do not hold every layer.
	Incomplete
	// Full: every chain is short of memory or would be too slow.
	Full
	// Paused: servers without which no chain is complete want no requests for a time.
	Paused
)

// String returns the failure's name.
func (f Failure) String() string {
	return [...]string{"none", "layers missing", "chains full", "servers ask for a pause"}[f]
}

type server struct {
	Server
	// capacity is the KV memory in tokens x layers.
	capacity float64
	// refusals counts the refusals since the last event, the newest at refusedAt.
	refusals  int
	refusedAt time.Time
	fullUntil time.Time
	// pausedUntil is until when the server wants no requests of this VM.
	pausedUntil time.Time
	own         Load
	// others is what the other VMs have promised.
	others Load
}

// Book holds the servers of one service and the promises made to them. It is
// not safe for concurrent use.
type Book struct {
	engine  *catalog.Engine
	local   fleet.DataCentreID
	servers []*server // by first layer
	byID    map[fleet.UpstreamID]*server
	// crossings counts this VM's chains that change the data centre.
	crossings int
	// maxCrossings bounds them.
	maxCrossings int
	vms          int
	sharing      sharing
}

// New returns a book without servers for a VM in the data centre local.
func New(engine *catalog.Engine, local fleet.DataCentreID) *Book {
	b := &Book{local: local, byID: make(map[fleet.UpstreamID]*server), vms: 1}
	b.SetEngine(engine)
	return b
}

// SetEngine replaces the description of the engines.
func (b *Book) SetEngine(engine *catalog.Engine) {
	b.engine = engine
	b.limitCrossings()
}

// SetVMs sets the number of entry VMs that use the servers.
func (b *Book) SetVMs(n int) {
	b.vms = max(n, 1)
	b.limitCrossings()
}

// pipeShare is the part of the capacity between data centres that chains may
// plan to use; transfers queue behind each other, so that a full pipe stalls
// every chain on it.
const pipeShare = 0.5

// usualDuration is the time of a generation assumed for the share of the pipe
// that its chain takes.
const usualDuration = 3 * time.Second

func (b *Book) limitCrossings() {
	each := (b.engine.UsualPrompt + b.engine.UsualAnswer) * b.engine.ActivationBytes
	if each <= 0 || b.engine.PipeBytesPerSecond <= 0 {
		b.maxCrossings = math.MaxInt
		return
	}
	all := pipeShare * b.engine.PipeBytesPerSecond * usualDuration.Seconds() / each
	b.maxCrossings = max(1, int(all)/b.vms)
}

// SetServers replaces the servers; promises to those that stay are kept.
func (b *Book) SetServers(list []Server) {
	old := b.byID
	b.byID = make(map[fleet.UpstreamID]*server, len(list))
	b.servers = b.servers[:0]
	for _, s := range list {
		if s.Layers.End <= s.Layers.First || s.Layers.End > b.engine.Layers {
			continue
		}
		e := old[s.ID]
		if e == nil {
			e = &server{}
		} else if !e.Born.Equal(s.Born) {
			e.pausedUntil = time.Time{}
		}
		e.Server = s
		e.capacity = Capacity(b.engine, s.Card, s.Layers.End-s.Layers.First)
		b.byID[s.ID] = e
		b.servers = append(b.servers, e)
	}
	slices.SortFunc(b.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.ID, y.ID))
	})
}

const bytesPerMB = 1e6

// Capacity returns the KV memory in tokens x layers that a card has beside a
// number of layers.
func Capacity(e *catalog.Engine, card catalog.Card, layers int) float64 {
	free := (card.MemoryMB - float64(layers)*e.LayerMB) * bytesPerMB
	perLayer := e.KVBytesPerToken / float64(e.Layers)
	if free <= 0 || perLayer <= 0 {
		return 0
	}
	return free / perLayer
}

// SetOthers replaces what the other VMs have promised to each server.
func (b *Book) SetOthers(load func(fleet.UpstreamID) Load) {
	for id, s := range b.byID {
		s.others = load(id)
	}
}

// Own returns this VM's promises to a server.
func (b *Book) Own() map[fleet.UpstreamID]Load {
	loads := make(map[fleet.UpstreamID]Load, len(b.servers))
	for id, s := range b.byID {
		if s.own.Requests > 0 {
			loads[id] = s.own
		}
	}
	return loads
}

const (
	// refusedTime is how long a server that refused its part gets no new work: the
	// memory that it is short of frees with the end of generations. The time doubles
	// with each further refusal, up to maxRefusedTime, because a server that drains
	// or gives up its layers refuses all that comes until its entry says so.
	refusedTime    = 250 * time.Millisecond
	maxRefusedTime = 4 * time.Second
)

// Refused notes that a server refused its part of a chain.
func (b *Book) Refused(now time.Time, id fleet.UpstreamID) {
	s := b.byID[id]
	if s == nil || now.Before(s.fullUntil) {
		return // requests that were sent together are refused together
	}
	s.fullUntil = now.Add(min(refusedTime<<min(s.refusals, 8), maxRefusedTime))
	s.refusals++
	s.refusedAt = now
}

// Served notes that a chain made an event that began after the refusals of its servers.
func (b *Book) Served(c *Chain, began time.Time) {
	for _, stage := range c.Stages {
		if s := b.byID[stage.Server]; s != nil && began.After(s.refusedAt) {
			s.refusals = 0
		}
	}
}

// Pause keeps a server out of all chains until a time. A shorter pause does not end a
// longer one.
func (b *Book) Pause(id fleet.UpstreamID, until time.Time) {
	if s := b.byID[id]; s != nil && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// PausedUntil returns the time at which enough pauses are over for a complete chain, the
// zero time if the servers that take work can't make one even then.
func (b *Book) PausedUntil(now time.Time) time.Time {
	var ends []time.Time
	for _, s := range b.servers {
		if now.Before(s.pausedUntil) {
			ends = append(ends, s.pausedUntil)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for _, end := range ends {
		if b.Complete(end, nil) {
			return end
		}
	}
	return time.Time{}
}

// Complete reports whether the servers that take work hold every layer.
func (b *Book) Complete(now time.Time, avoid map[fleet.UpstreamID]bool) bool {
	_, ok := b.search(now, Need{}, avoid, false)
	return ok
}

// Reserve finds the chain with the shortest expected time and promises it the
// memory that the generation needs.
func (b *Book) Reserve(now time.Time, need Need, avoid map[fleet.UpstreamID]bool) (*Chain, Failure) {
	c, ok := b.search(now, need, avoid, true)
	switch {
	case ok:
	case b.Complete(now, avoid):
		return nil, Full
	case !b.PausedUntil(now).IsZero():
		return nil, Paused
	default:
		return nil, Incomplete
	}
	b.book(c, 1)
	return c, NoFailure
}

// Release returns what a chain has reserved. Further calls do nothing.
func (b *Book) Release(c *Chain) {
	if c.released {
		return
	}
	c.released = true
	b.book(c, -1)
}

func (b *Book) book(c *Chain, sign float64) {
	tokens := float64(c.need.Prompt + c.need.Answer)
	for _, stage := range c.Stages {
		s := b.byID[stage.Server]
		if s == nil {
			continue
		}
		s.own.KV = max(0, s.own.KV+sign*tokens*float64(stage.Layers.End-stage.Layers.First))
		s.own.Requests = max(0, s.own.Requests+sign)
		s.own.Tokens = max(0, s.own.Tokens+sign*tokens)
	}
	if c.Crossings > 0 {
		b.crossings += int(sign)
	}
}
