package chain

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Caution describes the other VMs while this one does not know what all of them have reserved.
type Caution struct {
	// VMs and NearVMs are the assumed numbers of VMs, including this one: all, and those of its
	// data centre.
	VMs, NearVMs int
	// Unseen and UnseenNear are the parts of them whose reservations are not known.
	Unseen, UnseenNear int
	// Seed differs between VMs. Shares below one are rounded by hashes of it.
	Seed uint64
}

const (
	// startQueueTime is the time that the prompts in flight of all VMs may take on one server after
	// a start. It is a third of the shortest usual objective, which leaves time for the rest of
	// the chain and for a wrong estimate of the number of VMs.
	startQueueTime = 150 * time.Millisecond
	// lateAllowance is added to twice the expected time of a first event; a later one halves the
	// window of the servers of its chain.
	lateAllowance = 200 * time.Millisecond
	// promptAllowance is the same for a first event after which a window still grows.
	promptAllowance = 50 * time.Millisecond
	// startPeriod is the time after a start in which a window grows to startGrowth times its first
	// value at most. First events tell of a queue only after it has formed, and all VMs start alike.
	startPeriod = 3 * time.Second
	startGrowth = 2
	// windowGrowthInterval is the least time between two doublings of a window by first events in
	// time. It is longer than a first event takes, so that each step is seen to be sound.
	windowGrowthInterval = 250 * time.Millisecond
	// idleGrowthInterval is the time in which a window doubles without any sign, so that a server
	// that gets few requests is not limited for long.
	idleGrowthInterval = time.Second
	// openWindow is the window per VM, or multiple of the first window, from which a server is no
	// longer limited.
	openWindow = 4
	// drawInterval is the time for which the rounding of a share below one holds. A server works
	// off startQueueTime of prompts meanwhile.
	drawInterval = 250 * time.Millisecond
	// strangerPeriod is the time within which memory that a report showed and that no VM claims is
	// taken to become free: the usual duration of a generation.
	strangerPeriod = 4 * time.Second
	// assumedHeldShare is the share of the memory of a server that is taken to be in use by runs of
	// VMs that ended, from a start on, until a report of the server says otherwise.
	assumedHeldShare = 0.5
	// sharedPart is the part of the memory that is shared while VMs are unseen. The rest is for
	// requests above the mean and for shares that widen.
	sharedPart = 0.85
	// slotAllowance is the multiple of its slots up to which a server gets requests. Reservations of
	// other VMs are known to have ended up to a state interval late; a tenth of the slots becomes
	// free within a few hundred milliseconds.
	slotAllowance = 1.1
	// localShare is the part of a server that the VMs of its data centre share among them while VMs
	// are unseen; the others share the rest.
	localShare = 0.7
	// shareWidening multiplies the shares when no chain remains within them.
	shareWidening = 1.25
	// maxPromptSteps and maxSteps bound the searches with wider shares of prompts and of memory.
	maxPromptSteps = 6
	maxSteps       = 12
	// minShare is the smallest share, so that widening reaches a share of one.
	minShare = 1e-3
	// maxShareWidening bounds the widening. It exceeds the number of VMs of any fleet.
	maxShareWidening = 1 << 14
)

// observed is what is known of a server beyond the reservations of VMs.
type observed struct {
	// awaiting holds, for each of this VM's reservations whose first event has not arrived, when it
	// is late.
	awaiting []time.Time
	// window is the number of them that this VM may have on the server, 0 for any number. A window
	// below 1 is the probability that it may have one.
	window float64
	// windowAt is when the window last changed.
	windowAt time.Time
	// carefulSince is the start of the careful period for which the window was set.
	carefulSince time.Time
	// strangerKV is the memory in use by others that a report of the server showed at reportedAt.
	strangerKV float64
	reportedAt time.Time
}

// widening holds the factors of the shares of prompts in flight and of memory, at least 1.
type widening struct{ prompts, memory float64 }

// careful is the state of the limits that apply while little is known.
type careful struct {
	Caution
	// since is the start of the current careful period, the zero time if there was none.
	since time.Time
	// widening multiplies shares in the current search.
	widening widening
	// limited is set if the limits excluded a server in the current search.
	limited bool
	// widenable says which wider shares might include one of these servers.
	widenable struct{ prompts, memory bool }
	// held counts the searches that found no chain within the limits.
	held uint64
}

// SetCaution replaces what is assumed of the other VMs.
func (a *Allocator) SetCaution(c Caution) { a.careful.Caution = c }

// StartCarefully limits the prompts in flight on each server until first events arrive in time or
// some seconds have passed, and takes part of the memory of each for held until it reports.
func (a *Allocator) StartCarefully(now time.Time) { a.careful.since = now }

// Held returns the number of searches that found no chain because of the limits on first tries.
func (a *Allocator) Held() uint64 { return a.careful.held }

// StrangerKV returns the memory, in tokens x layers, that reports showed in use and that no VM
// claims, summed over all servers.
func (a *Allocator) StrangerKV(now time.Time) float64 {
	sum := 0.0
	for _, s := range a.servers {
		sum += max(0, a.strangersAt(now, s)-s.otherLoad.KV)
	}
	return sum
}

// RecordReport records the memory in use, in tokens x layers, that a server reported. What exceeds
// this VM's reservations belongs to other VMs or to some that have ended.
func (a *Allocator) RecordReport(now time.Time, id fleet.UpstreamID, usedKV float64) {
	s := a.byID[id]
	if s == nil || math.IsNaN(usedKV) {
		return
	}
	s.strangerKV, s.reportedAt = min(max(0, usedKV-s.ownLoad.KV), s.capacity), now
}

// strangersAt returns the memory that others are taken to use by the last report, or by assumption
// if there was none since a careful start.
func (a *Allocator) strangersAt(now time.Time, s *server) float64 {
	held, at := s.strangerKV, s.reportedAt
	if a.careful.since.After(at) {
		held, at = assumedHeldShare*s.capacity, a.careful.since
	}
	if held <= 0 {
		return 0
	}
	return held * max(0, 1-now.Sub(at).Seconds()/strangerPeriod.Seconds())
}

// freeKV returns the memory, in tokens x layers, that new requests of this VM may use on a server:
// what no VM has reserved and, by the last report, no other uses. It is 0 if the server already has
// this VM's share of the memory or of the prompts in flight.
func (a *Allocator) freeKV(now time.Time, s *server) float64 {
	available := s.capacity*s.Weight - a.strangersAt(now, s)
	free := min(available, s.capacity*s.Weight-s.otherLoad.KV) - s.ownLoad.KV
	a.shrinkOverdue(now, s)
	if window := a.windowAt(now, s); window > 0 {
		widened := max(window, min(window*a.careful.widening.prompts, 1)) // more than one prompt is never a rounded share
		if !a.isWithin(now, s, len(s.awaiting), widened, drawInterval) {
			a.careful.limited = true
			a.careful.widenable.prompts = a.careful.widenable.prompts || widened < 1
			return 0
		}
	}
	if s.slotsFree(a.strangersAt(now, s)) < 1 {
		return 0
	}
	unseen := a.careful.Unseen
	if s.DataCentre == a.localDC {
		unseen = a.careful.UnseenNear
	}
	if unseen > 0 && !a.isWithin(now, s, int(s.ownLoad.Requests), a.requestShare(s, available)*a.careful.widening.memory, strangerPeriod) {
		a.careful.limited, a.careful.widenable.memory = true, true
		return 0
	}
	return free
}

// slotsFree returns the number of requests that may be sent to a server as the first one of their
// chains, given the memory that strangers hold. The strangers are taken to be as many of the slots.
func (s *server) slotsFree(strangerKV float64) float64 {
	if s.Slots <= 0 || s.Layers.First > 0 {
		return math.Inf(1)
	}
	strangers := 0.0
	if s.capacity > 0 {
		strangers = float64(s.Slots) * strangerKV / s.capacity
	}
	return slotAllowance*float64(s.Slots)*s.Weight - s.ownLoad.Requests - max(s.otherLoad.Requests, strangers)
}

// fleetShare returns the part of a server that each VM of the same data centre as this one may use
// if all VMs have equal parts.
func (a *Allocator) fleetShare(s *server) float64 {
	all, near := float64(max(a.careful.VMs, 1)), float64(max(a.careful.NearVMs, 1))
	switch {
	case near >= all:
		return 1 / near
	case s.DataCentre == a.localDC:
		return localShare / near
	}
	return (1 - localShare) / (all - near)
}

// requestShare returns the number of mean requests that this VM may have on a server if all VMs have
// equal parts of the given memory and of the slots. It leaves out what random rounding of that number
// may add in the whole fleet.
func (a *Allocator) requestShare(s *server, available float64) float64 {
	request := (a.engine.MeanPromptTokens + a.engine.MeanAnswerTokens) * float64(s.Layers.Len())
	requests := max(available-(1-sharedPart)*s.capacity, 0) / max(request, 1)
	if s.Slots > 0 && s.Layers.First == 0 && s.capacity > 0 {
		requests = min(requests, float64(s.Slots)*max(available, 0)/s.capacity)
	}
	part := a.fleetShare(s)
	share := requests * part
	_, fraction := math.Modf(share)
	return max(share-demandDeviations*math.Sqrt(fraction*(1-fraction)*part), minShare)
}

// isWithin reports whether one more than count stays within a limit. The fraction of the limit is
// rounded up or down by a hash that holds for the given interval, about as long as what is counted,
// so that the fleet as a whole uses all of the limit and not more.
func (a *Allocator) isWithin(now time.Time, s *server, count int, limit float64, interval time.Duration) bool {
	return float64(count) < math.Floor(limit+a.draw(now, s, interval))
}

// draw returns a number in [0, 1) for a server that holds for an interval and differs between VMs.
func (a *Allocator) draw(now time.Time, s *server, interval time.Duration) float64 {
	h := xxhash.Sum64String(string(s.ID)) ^ a.careful.Seed
	h += uint64((now.UnixNano()+int64(a.careful.Seed%uint64(interval)))/int64(interval)) * 0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 29
	h *= 0x94d049bb133111eb
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}

// firstWindow returns this VM's share of the prompts that a server may have in flight after a start. A
// prompt takes its prefill and, in between, the steps for one event of the other requests.
func (a *Allocator) firstWindow(s *server) float64 {
	steps := a.engine.Step.Seconds() * float64(a.engine.TokensPerEvent) * s.Card.StepFactor * float64(s.Layers.Len()) / float64(max(a.engine.Layers, 1))
	prompt := (PrefillTime(a.engine, s.Card, a.engine.MeanPromptTokens, s.Layers.Len()).Seconds() + steps) * max(s.SlowdownFactor, 1)
	prompts := startQueueTime.Seconds() / max(prompt, 1e-4)
	return max(prompts, 1) * a.fleetShare(s)
}

// windowAt returns the window of a server now, 0 if it has none. It begins and ends windows.
func (a *Allocator) windowAt(now time.Time, s *server) float64 {
	if !s.carefulSince.Equal(a.careful.since) {
		s.carefulSince = a.careful.since
		s.window, s.windowAt = a.firstWindow(s), a.careful.since
	}
	if s.window <= 0 {
		return 0
	}
	if steps := math.Floor(now.Sub(s.windowAt).Seconds() / idleGrowthInterval.Seconds()); steps > 0 {
		s.windowAt = s.windowAt.Add(time.Duration(steps) * idleGrowthInterval)
		a.growWindow(now, s, math.Exp2(steps))
	}
	return s.window
}

func (a *Allocator) growWindow(now time.Time, s *server, factor float64) {
	s.window *= factor
	first := a.firstWindow(s)
	switch {
	case now.Sub(a.careful.since) < startPeriod:
		s.window = min(s.window, startGrowth*first)
	case s.window >= openWindow*max(1, first):
		s.window = 0
	}
}

// shrinkWindow halves the window of a server, or begins one at half of the prompts in flight. It is
// never below a floor.
func (a *Allocator) shrinkWindow(now time.Time, s *server, floor float64) {
	window := a.windowAt(now, s)
	if window <= 0 {
		window = float64(max(len(s.awaiting), 1))
	}
	s.window, s.windowAt = max(window/2, floor), now
}

// RecordFirstEvent records the first event of a chain, took after the run began, and adapts the
// windows of its servers.
func (a *Allocator) RecordFirstEvent(now time.Time, c *Chain, took time.Duration) {
	a.endAwaiting(c)
	late := took > 2*c.ExpectedFirstEvent+lateAllowance
	inTime := took <= 2*c.ExpectedFirstEvent+promptAllowance
	for _, stage := range c.Stages {
		s := a.byID[stage.Server]
		switch {
		case s == nil || now.Sub(s.windowAt) < windowGrowthInterval:
		case late:
			a.shrinkWindow(now, s, a.firstWindow(s))
		case inTime && a.windowAt(now, s) > 0:
			s.windowAt = now
			a.growWindow(now, s, 2)
		}
	}
}

// shrinkOverdue halves the window of a server with a first event that is late and has not arrived. It
// does so in startPeriod only, when many prompts may have begun before the first event arrives.
func (a *Allocator) shrinkOverdue(now time.Time, s *server) {
	if now.Sub(a.careful.since) >= startPeriod || now.Sub(s.windowAt) < windowGrowthInterval {
		return
	}
	for _, lateAt := range s.awaiting {
		if now.After(lateAt) {
			a.shrinkWindow(now, s, a.firstWindow(s))
			return
		}
	}
}

func (a *Allocator) beginAwaiting(now time.Time, c *Chain) {
	c.lateAt = now.Add(2*c.ExpectedFirstEvent + lateAllowance)
	for _, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil {
			s.awaiting = append(s.awaiting, c.lateAt)
		}
	}
}

func (a *Allocator) endAwaiting(c *Chain) {
	if c.lateAt.IsZero() {
		return
	}
	for _, stage := range c.Stages {
		if s := a.byID[stage.Server]; s != nil {
			if i := slices.Index(s.awaiting, c.lateAt); i >= 0 {
				s.awaiting = slices.Delete(s.awaiting, i, i+1)
			}
		}
	}
	c.lateAt = time.Time{}
}

// searchWithinShares searches for a chain within this VM's shares, and then within wider ones, so
// that nothing waits because of a fraction of a share that was rounded down. It widens the shares of
// prompts first: a queue on a server is short, while a lack of memory leads to a refusal. It widens
// in small steps, so that requests above the shares do not all take the cheapest chain.
func (a *Allocator) searchWithinShares(now time.Time, need Need, avoid map[fleet.UpstreamID]bool) (*Chain, bool) {
	k := &a.careful
	attempt := func() (*Chain, bool) {
		k.widenable.prompts, k.widenable.memory = false, false
		return a.search(now, need, avoid)
	}
	k.limited, k.widening = false, widening{1, 1}
	c, ok := attempt()
	limited := k.limited
	for !ok && k.widenable.prompts && k.widening.prompts < maxShareWidening {
		k.widening.prompts *= a.promptWidening()
		c, ok = attempt()
	}
	for step := 0; !ok && k.widenable.memory && k.widening.memory < maxShareWidening; step++ {
		if k.widening.memory *= shareWidening; step >= maxSteps {
			k.widening.memory = maxShareWidening
		}
		c, ok = attempt()
	}
	if !ok && limited {
		k.held++
	}
	return c, ok
}

// promptWidening returns the factor of one step, by which maxPromptSteps steps raise any window to one.
func (a *Allocator) promptWidening() float64 {
	smallest := 1.0
	for _, s := range a.servers {
		if s.window > 0 {
			smallest = min(smallest, s.window)
		}
	}
	return max(shareWidening, math.Pow(smallest, -1.0/maxPromptSteps))
}

// LikelyServers returns up to limit servers that requests of this VM are likely to use: those of the
// chains with the lowest cost, each without the first server of those before it.
func (a *Allocator) LikelyServers(now time.Time, need Need, limit int) []fleet.UpstreamID {
	var list []fleet.UpstreamID
	known, avoid := make(map[fleet.UpstreamID]bool), make(map[fleet.UpstreamID]bool)
	for len(list) < limit {
		a.careful.widening = widening{maxShareWidening, maxShareWidening}
		c, ok := a.search(now, need, avoid)
		if !ok {
			return list
		}
		for _, stage := range c.Stages {
			if !known[stage.Server] && len(list) < limit {
				known[stage.Server] = true
				list = append(list, stage.Server)
			}
		}
		avoid[c.Stages[0].Server] = true
	}
	return list
}
