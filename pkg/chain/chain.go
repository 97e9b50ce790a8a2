// Package chain selects the chain of servers that runs a generation: servers whose layer
// ranges together cover the model from the first layer to the last. It tracks what this VM
// has reserved on each server, in KV memory, requests and tokens, and what the other VMs
// report to have reserved. It does no I/O and reads no clock: callers pass the time.
//
// Invariants:
//   - a chain runs every layer once and in order, and contains no server twice;
//   - a new reservation never exceeds the free part of the KV memory that a server's layers
//     leave, as far as the other VMs' reservations are known;
//   - each reservation is released once.
package chain

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Server is a model engine that accepts requests.
type Server struct {
	ID         fleet.UpstreamID
	Address    string
	DataCentre fleet.DataCentreID
	Card       catalog.Card
	// Layers is the range of layers that the server holds.
	Layers fleet.LayerRange
	// Slots is the number of requests that the server runs at a time as the first one of their
	// chains, 0 if it is not known. It queues further ones.
	Slots int
	// Weight is the fraction of the normal load that the server may get, 0 for none.
	Weight float64
	// SlowdownFactor multiplies the server's step and prefill times; 1 is normal speed.
	SlowdownFactor float64
	// StartedAt is the start time of the server; it identifies the incarnation.
	StartedAt time.Time
	// DeprioritizedUntil is the time until which the server's cost is raised, because it asked
	// another VM for a pause.
	DeprioritizedUntil time.Time
}

// Stage is a server of a chain with the layers that it runs.
type Stage struct {
	Server     fleet.UpstreamID
	StartedAt  time.Time
	Address    string
	DataCentre fleet.DataCentreID
	Layers     fleet.LayerRange
}

// Need describes the resources and the latency that a generation needs.
type Need struct {
	// PromptTokens is the number of prompt tokens.
	PromptTokens int
	// AnswerTokens is the expected number of answer tokens.
	AnswerTokens int
	// ReservedAnswerTokens is the number of answer tokens for which memory is reserved; 0
	// reserves it for AnswerTokens.
	ReservedAnswerTokens int
	// FirstEventObjective is the time to the next event of the caller that still counts as on
	// time; 0 weighs the wait for other prompts like any other time.
	FirstEventObjective time.Duration
	// GapObjective is the longest pause between events that still counts as on time; 0 sets no
	// bound.
	GapObjective time.Duration
}

// Tokens returns the number of tokens for which memory is reserved.
func (n Need) Tokens() int { return n.PromptTokens + max(n.AnswerTokens, n.ReservedAnswerTokens) }

// Chain is a chain of servers reserved for a generation.
type Chain struct {
	Stages []Stage
	// ExpectedStep is the expected time per answer token.
	ExpectedStep time.Duration
	// ExpectedFirstEvent is the expected time to the first event. It includes ExpectedWait.
	ExpectedFirstEvent time.Duration
	// ExpectedWait is the expected time until the servers have read the prompts that were
	// reserved before and not read yet, as far as this VM knows of them. It is at most
	// maxExpectedWait.
	ExpectedWait time.Duration
	// QueueWait is the same without that limit.
	QueueWait time.Duration
	// Crossings counts the hops between data centres within the chain.
	Crossings int

	// ExpectedRead is the expected time in which the new servers of a rerouted chain read the
	// tokens so far.
	ExpectedRead time.Duration
	// ExpectedQueue is the expected time in which the slowest of them has read the tokens of all
	// runs that look for another path at the same time.
	ExpectedQueue time.Duration

	need     Need
	released bool
	// replaces is the chain that a pending chain is to replace; nil for any other.
	replaces *Chain
	// reserved holds the stages whose memory a pending chain has reserved; nil for all stages.
	reserved []Stage
	// added holds the stages that the replaced chain does not have.
	added []Stage
	// lateAt is when the first event of the run is late, the zero time once it has arrived.
	lateAt time.Time
	// reservedAt is when the chain was reserved.
	reservedAt time.Time
	// promptWaiting is set until the servers have read the prompt, or the chain was released.
	promptWaiting bool
}

// Need returns what was reserved.
func (c *Chain) Need() Need { return c.need }

// Load is the sum of the reservations on a server.
type Load struct {
	// KV is the reserved KV memory in tokens x layers.
	KV float64
	// Requests is the number of requests.
	Requests float64
	// Tokens is the number of tokens in the contexts of the requests.
	Tokens float64
	// Unread is the part of the prompts that has not been read yet, in tokens x layers.
	Unread float64
	// Wait is how long runs have waited lately for the prompts of others; 0 if they did not. It is
	// set only for other VMs.
	Wait time.Duration
}

// Failure says why no chain could be reserved.
type Failure uint8

// Reasons why no chain could be reserved.
const (
	// NoFailure: a chain was reserved.
	NoFailure Failure = iota
	// Incomplete: the available servers together do not hold every layer.
	Incomplete
	// Full: the available servers hold every layer, but no chain was found that has free
	// memory, is fast enough and stays within the limit on chains across data centres.
	Full
	// Paused: the available servers do not hold every layer, but they will when a pause that
	// a server asked for ends. Servers to avoid count as available then.
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
	// refusals counts the refusals since the last progress of a run that began after all
	// earlier ones. It sets the length of the next backoff.
	refusals int
	// refusedAt is the time of the last refusal.
	refusedAt time.Time
	// backoffUntil is the end of the backoff after a refusal.
	backoffUntil time.Time
	// pausedUntil is the end of the pause that the server asked this VM for.
	pausedUntil time.Time
	// ownLoad is the sum of this VM's reservations.
	ownLoad Load
	// otherLoad is the sum of the other VMs' reservations, as last reported.
	otherLoad Load
	observed
	// measuredWait is the wait of the run through the server that had its first event last, in
	// seconds, and measuredAt the time of that event.
	measuredWait float64
	measuredAt   time.Time
	// pendingWait is the longest time by which a first event of a run through the server is
	// overdue, in seconds. It is set by each search.
	pendingWait float64
}

// Allocator holds the servers of one service with the reservations on them and selects chains.
// It is not safe for concurrent use.
type Allocator struct {
	engine  *catalog.Engine
	localDC fleet.DataCentreID
	servers []*server // sorted by first layer
	byID    map[fleet.UpstreamID]*server
	// crossingChains is the number of this VM's reserved chains that span data centres.
	crossingChains int
	// maxCrossingChains is the highest number of such chains: this VM's share of the link
	// between the data centres.
	maxCrossingChains int
	vms               int
	// changes counts the reservations made and released.
	changes     uint64
	sharing     sharingState
	careful     careful
	backlog     backlogState
	searchState searchState
	power       power
}

// New returns an allocator without servers for a VM in the data centre localDC.
func New(engine *catalog.Engine, localDC fleet.DataCentreID) *Allocator {
	a := &Allocator{localDC: localDC, byID: make(map[fleet.UpstreamID]*server), vms: 1}
	a.SetEngine(engine)
	return a
}

// SetEngine replaces the description of the engines.
func (a *Allocator) SetEngine(engine *catalog.Engine) {
	a.engine = engine
	a.updateMaxCrossingChains()
}

// SetVMs sets the number of entry VMs that use the servers.
func (a *Allocator) SetVMs(n int) {
	a.vms = max(n, 1)
	a.updateMaxCrossingChains()
}

// plannedPipeShare is the fraction of the pipe, the network link between two data centres,
// that may be planned for chains. Transfers queue behind each other, so that a full link stalls
// every chain that uses it.
const plannedPipeShare = 0.5

// assumedDuration is the duration of a generation that is assumed to compute how much of the
// link its chain uses.
const assumedDuration = 3 * time.Second

func (a *Allocator) updateMaxCrossingChains() {
	bytesPerGeneration := (a.engine.MeanPromptTokens + a.engine.MeanAnswerTokens) * a.engine.ActivationBytes
	if bytesPerGeneration <= 0 || a.engine.PipeBytesPerSecond <= 0 {
		a.maxCrossingChains = math.MaxInt
		return
	}
	concurrent := plannedPipeShare * a.engine.PipeBytesPerSecond * assumedDuration.Seconds() / bytesPerGeneration
	a.maxCrossingChains = max(1, int(concurrent)/a.vms)
}

// SetServers replaces the servers and leaves out those whose layer range is empty or exceeds
// the model. Reservations on servers that remain are kept. A server that has restarted is no
// longer paused.
func (a *Allocator) SetServers(list []Server) {
	old := a.byID
	a.byID = make(map[fleet.UpstreamID]*server, len(list))
	a.servers = a.servers[:0]
	for _, s := range list {
		if s.Layers.First < 0 || s.Layers.End <= s.Layers.First || s.Layers.End > a.engine.Layers {
			continue
		}
		entry := old[s.ID]
		if entry == nil {
			entry = &server{}
		} else if !entry.StartedAt.Equal(s.StartedAt) {
			entry.pausedUntil = time.Time{}
			entry.unclaimedKV = 0
		}
		entry.Server = s
		entry.capacity = Capacity(a.engine, s.Card, s.Layers.End-s.Layers.First)
		a.byID[s.ID] = entry
		a.servers = append(a.servers, entry)
	}
	slices.SortFunc(a.servers, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.ID, y.ID))
	})
}

const bytesPerMB = 1e6

// Capacity returns the KV memory, in tokens x layers, that a card has left when it holds the
// given number of layers.
func Capacity(e *catalog.Engine, card catalog.Card, layers int) float64 {
	free := (card.MemoryMB - float64(layers)*e.LayerMB) * bytesPerMB
	perLayer := e.KVBytesPerToken / float64(e.Layers)
	if free <= 0 || perLayer <= 0 {
		return 0
	}
	return free / perLayer
}

// SetOtherLoads replaces the other VMs' reservations on each server.
func (a *Allocator) SetOtherLoads(load func(fleet.UpstreamID) Load) {
	for id, s := range a.byID {
		s.otherLoad = load(id)
	}
}

// OwnLoads returns this VM's reservations by server.
func (a *Allocator) OwnLoads() map[fleet.UpstreamID]Load {
	loads := make(map[fleet.UpstreamID]Load, len(a.servers))
	for id, s := range a.byID {
		if s.ownLoad.Requests > 0 {
			loads[id] = s.ownLoad
		}
	}
	return loads
}

// Changes returns a number that increases with each reservation and each release.
func (a *Allocator) Changes() uint64 { return a.changes }

const (
	// refusalBackoff is the first backoff after a server refused its stage of a chain: the
	// memory that it lacked becomes free as generations end. The backoff doubles with
	// each further refusal, because a server that drains or unloads its layers refuses
	// all work until its entry in the store says so.
	refusalBackoff = 250 * time.Millisecond
	// maxRefusalBackoff is the longest backoff.
	maxRefusalBackoff = 4 * time.Second
)

// RecordRefusal records that a server refused its stage of a chain and starts or extends the
// server's backoff.
func (a *Allocator) RecordRefusal(now time.Time, id fleet.UpstreamID) {
	s := a.byID[id]
	if s == nil || now.Before(s.backoffUntil) {
		return // the request was sent before the backoff began; its refusal is not counted
	}
	s.backoffUntil = now.Add(min(refusalBackoff<<min(s.refusals, 8), maxRefusalBackoff))
	s.refusals++
	s.refusedAt = now
	a.shrinkWindow(now, s, min(a.firstWindow(s), 1))
}

// RecordProgress records an event of a run that began at the given time. It resets the count
// of refusals, which sets the length of the next backoff, of those servers of the chain that
// last refused before that time. The event also shows that the prompt has been read.
func (a *Allocator) RecordProgress(c *Chain, began time.Time) {
	a.endAwaiting(c)
	a.recordPromptRead(c)
	for _, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil && began.After(s.refusedAt) {
			s.refusals = 0
		}
	}
}

// Pause excludes a server from all chains until a time. A shorter pause does not end a
// longer one.
func (a *Allocator) Pause(id fleet.UpstreamID, until time.Time) {
	if s := a.byID[id]; s != nil && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// PausedUntil returns the earliest end of a pause at which the available servers hold
// every layer, or the zero time if they don't even when all pauses are over.
func (a *Allocator) PausedUntil(now time.Time) time.Time {
	var ends []time.Time
	for _, s := range a.servers {
		if now.Before(s.pausedUntil) {
			ends = append(ends, s.pausedUntil)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for _, end := range ends {
		if a.IsComplete(end, nil) {
			return end
		}
	}
	return time.Time{}
}

// IsComplete reports whether the available servers, without those in avoid, hold every layer.
func (a *Allocator) IsComplete(now time.Time, avoid map[fleet.UpstreamID]bool) bool {
	held := 0 // the layers below it are held
	// The servers are sorted by first layer.
	for _, s := range a.servers {
		if s.Layers.First <= held && s.isAvailable(now, avoid) {
			held = max(held, s.Layers.End)
		}
	}
	return held >= a.engine.Layers
}

// Reserve finds the chain with the lowest cost, which is mostly its expected time, and
// reserves the memory that the generation needs on each of its servers.
func (a *Allocator) Reserve(now time.Time, need Need, avoid map[fleet.UpstreamID]bool) (*Chain, Failure) {
	c, ok := a.searchWithinShares(now, need, avoid)
	switch {
	case ok:
	case a.IsComplete(now, avoid):
		return nil, Full
	case !a.PausedUntil(now).IsZero():
		return nil, Paused
	default:
		return nil, Incomplete
	}
	a.adjustLoads(c, 1)
	a.beginAwaiting(now, c)
	a.recordPromptSent(now, c)
	return c, NoFailure
}

// Release ends the reservation of a chain. Further calls do nothing.
func (a *Allocator) Release(c *Chain) {
	if c.released {
		return
	}
	c.released = true
	a.endAwaiting(c)
	a.adjustLoads(c, -1)
	a.recordPromptRead(c)
}

func (a *Allocator) adjustLoads(c *Chain, sign float64) {
	a.changes++
	tokens := float64(c.need.Tokens())
	for _, stage := range c.heldStages() {
		s := a.byID[stage.Server]
		if s == nil {
			continue
		}
		s.ownLoad.KV = max(0, s.ownLoad.KV+sign*tokens*float64(stage.Layers.End-stage.Layers.First))
		s.ownLoad.Requests = max(0, s.ownLoad.Requests+sign)
		s.ownLoad.Tokens = max(0, s.ownLoad.Tokens+sign*tokens)
	}
	if c.countsAsCrossing() {
		a.crossingChains += int(sign)
	}
}
