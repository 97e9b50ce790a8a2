package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// ProbeInterval is the time between two probes that a VM sends.
	ProbeInterval = time.Second
	// AckTimeout is the time to wait for the Ack to a direct probe before indirect probes
	// are sent.
	AckTimeout = 400 * time.Millisecond
	// IndirectTimeout is the time to wait for the Ack to indirect probes before the target
	// becomes suspect.
	IndirectTimeout = 500 * time.Millisecond
	// IndirectProbes is the number of members asked to probe on a VM's behalf.
	IndirectProbes = 3
	// SuspicionFactor sets the suspicion timeout: SuspicionFactor times the base-2 logarithm
	// of the number of members, in seconds. The suspected member is notified directly and
	// refutes within a round trip; the remaining time lets the refutation overtake the
	// suspicion. At 0.6 a death took 10.1 s to reach all 33 members of a data centre,
	// above the limit of 10 s.
	SuspicionFactor = 0.45
	// SuspicionMin is the lower bound of the suspicion timeout.
	SuspicionMin = 2 * time.Second
	// TombstoneTime is how long a dead member is remembered, so that delayed updates
	// which report it alive do not revive it. Until then it is pinged occasionally.
	TombstoneTime = 10 * time.Minute
	// checkInterval is the time between two checks of suspicion timeouts and tombstones.
	checkInterval = 200 * time.Millisecond
	// PauseLimit is the gap between two ticks above which the VM assumes that its own
	// process was paused. It then ends its probes without suspecting their targets.
	PauseLimit = 1500 * time.Millisecond

	// SummaryInterval is the time between two rounds in which a relay sends summaries.
	SummaryInterval = 3 * time.Second
	// SummaryRefresh is the age at which a data centre's summary gets a new version even
	// if its members have not changed. A new version each second exceeded what gossip can
	// carry for 18 data centres: at 3,200 nodes some summaries were 59 s old. At 8 s each
	// version reaches nearly all members.
	SummaryRefresh = 8 * time.Second
	// SummaryStale is the summary age from which a data centre counts as unreachable.
	SummaryStale = 60 * time.Second
	// RelayStale is the summary age from which a data centre is passed over when the
	// representative of its region is chosen.
	RelayStale = 45 * time.Second
	// relayDelay is the time after its start during which a VM does not act as a relay:
	// it would send summaries of its data centre before it knows the members.
	relayDelay = 10 * time.Second
	// RelayCount is the number of relays in each data centre.
	RelayCount = 2

	// SeedInterval is the minimum mean time between two pings of a VM to a seed.
	SeedInterval = 20 * time.Second
	// SeedIntervalPerVM times the number of VMs replaces SeedInterval when it is longer.
	// All seeds together then receive about one such ping a second at any fleet size.
	SeedIntervalPerVM = time.Second
	// JoinInterval replaces SeedInterval while the VM knows no other member, or knows
	// less than half of the members that its data centre's summary counts.
	JoinInterval = time.Second
	// firstJoinInterval is the mean time between the first two pings to seeds of a VM that knows no
	// other member. It doubles, to earlyJoinInterval at most within earlyJoinTime of the start and
	// then up to JoinInterval: after a loss of power of all VMs some start before the seeds do, and
	// each must wait for the configuration of another VM.
	firstJoinInterval = 100 * time.Millisecond
	earlyJoinInterval = 300 * time.Millisecond
	earlyJoinTime     = 2 * time.Second
	// startTime is the time after its start during which a VM contacts seeds at
	// SeedInterval at any fleet size, because it may have joined only a small partition.
	startTime = 2 * time.Minute
	// PullInterval is the minimum time between two requests for missing members.
	PullInterval = time.Second
	// pullGapDivisor defines a small gap: at most 1/pullGapDivisor of the known members
	// are missing. Gossip usually closes a small gap, so it is pulled only after
	// pullGapDelay. Without this limit a restart of one of 178 VMs cost 2.5 MB of traffic.
	pullGapDivisor = 16
	// pullGapDelay is the time that gossip gets to close a small gap.
	pullGapDelay = 20 * time.Second

	// MaxLoad is the largest opaque payload in bytes.
	MaxLoad = 64
	// MaxMembers bounds the members in a Ping or Ack. Places without updates are filled
	// with other members in rotation, so that the message size hardly varies.
	MaxMembers = 4
	// MaxSummaries bounds the summaries in a Ping or Ack. With 2 summaries some of 800
	// nodes received nothing new about one of 18 data centres for 56 s, too close to
	// SummaryStale.
	MaxSummaries = 3
	// MaxJoinMembers bounds the members in the answer to a join.
	MaxJoinMembers = 32
	// pageAnswersPerSecond limits the answers to joins that carry a full page of members.
	// A joining VM above it gets a short answer. A flood of joins thus costs a VM at most
	// about 2 x 5 KB and 24 x 700 B a second.
	pageAnswersPerSecond = 2
	// shortAnswersPerSecond limits the short answers to joins. A joining VM above it gets
	// an answer without members, from which it knows the answering VM.
	shortAnswersPerSecond = 24
	// bareAnswersPerSecond limits the answers without members, of 150 B each. A joining VM above
	// it gets no answer and tries again.
	bareAnswersPerSecond = 24
	// MaxRegionSummaries bounds the summaries in a message between regions. They are
	// those of the sender's region.
	MaxRegionSummaries = 4
	// RepresentativeForwards is the number of other data centres' summaries that a relay
	// of the region's representative data centre adds to each message within the region.
	// It forwards the summaries of the other regions.
	RepresentativeForwards = 7
	// RelayForwards is the number of other data centres' summaries that any other relay
	// adds to each message within the region.
	RelayForwards = 1
	// sampleSize is the number of contacts in a summary besides the relays.
	sampleSize = 1
	// announceFanout is the number of members that a leaving VM notifies directly per tick.
	announceFanout = 8
	// announceTicks is the number of ticks in which a leaving VM sends these notifications.
	announceTicks = 24
	// summaryTransmits is how often each VM transmits a new summary with priority.
	summaryTransmits = 2
	// transmitFactor times the base-2 logarithm of the number of members, rounded up, is
	// how often each VM transmits an update about a member with priority.
	transmitFactor = 2
)

// Config configures a Machine.
type Config struct {
	Self fleet.VM
	// Incarnation should be higher than in any earlier start of the same VM; the start
	// time in milliseconds is a good value. The machine raises it when a peer remembers a
	// higher one.
	Incarnation uint64
	// Domain widens the probing group beyond the data centre. It is meant for fleets of
	// few VMs: if each data centre had one VM, the failure of another VM would be noticed
	// only after SummaryStale. All VMs of the group must set the same domain. Empty means
	// the data centre.
	Domain fleet.DataCentreID
	// Seeds are peer addresses to join through, in any data centre.
	Seeds []string
}

// Local is the part of a VM's own state that the host process sets.
type Local struct {
	Offset uint64
	Load   []byte
	// DataCentreLoad is the payload for the data centre's summary. Only relays send it.
	DataCentreLoad []byte
}

// Action is a Send, a Changed or an Updated.
type Action any

// Send asks the host to send a message to a peer address.
type Send struct {
	To      string
	Message any
}

// Changed reports a member that appeared, changed its Leaving flag or is no longer live.
type Changed struct {
	Member Member
	Live   bool
}

// Updated reports that a live member became suspect or alive again, or has other addresses. A change
// that Changed reports as well is not repeated.
type Updated struct{ Member Member }

// member is the state kept about another VM of the own domain.
type member struct {
	Member
	// suspectUntil is when a suspect member is declared dead.
	suspectUntil time.Time
	// deadSince is when the member became Dead or Left.
	deadSince time.Time
	// transmitsLeft is the number of messages that still carry this member with priority.
	transmitsLeft int
	// rank is the member's rendezvous hash for the choice of relays; the lowest ranks win.
	rank uint64
}

// probe is the probe in flight.
type probe struct {
	target   fleet.VMID
	sequence uint64
	sentAt   time.Time
	indirect bool
}

// relayedProbe is a probe made on behalf of another VM.
type relayedProbe struct {
	requester string
	sequence  uint64
	until     time.Time
}

// dataCentreState is the state kept about a data centre, including the own one.
type dataCentreState struct {
	Summary
	// madeAt is the local time at which the summary was made, estimated from its age.
	madeAt time.Time
	// transmitsLeft is the number of messages that still carry this summary with priority.
	transmitsLeft int
}

// Machine is the membership state of one VM.
type Machine struct {
	config Config
	rand   *rand.Rand
	self   Member
	local  Local
	// members holds the other VMs of the domain. order holds their IDs in probing order.
	members     map[fleet.VMID]*member
	order       []fleet.VMID
	dataCentres map[fleet.DataCentreID]*dataCentreState
	// dataCentreOrder holds the keys of dataCentres, sorted.
	dataCentreOrder []fleet.DataCentreID

	startedAt         time.Time
	now               time.Time
	lastTick          time.Time
	nextProbe         time.Time
	nextSummary       time.Time
	nextSeed          time.Time
	joinInterval      time.Duration // of the next ping while no other member is known
	nextCheck         time.Time
	nextPull          time.Time
	gapSince          time.Time
	nextContact       time.Time
	pullAfter         fleet.VMID
	probe             *probe
	relayedProbes     map[uint64]relayedProbe
	sequence          uint64
	probeIndex        int
	fillIndex         int
	summaryIndex      int
	forwardIndex      int
	seedIndex         int
	sampleIndex       int
	round             int
	announceTicksLeft int
	// bareLimiter limits those without members.
	pageLimiter, shortLimiter, bareLimiter tokenBucket
	actions                                []Action
}

// New returns a machine that starts to join at its first tick. The random
// source must be seeded by the host.
func New(config Config, now time.Time, random *rand.Rand) *Machine {
	v := config.Self
	m := &Machine{
		config: config,
		rand:   random,
		self: Member{
			ID: v.ID, DataCentre: v.DataCentre, Region: v.Region,
			Address: v.Address, PeerAddress: v.PeerAddress, Domain: config.Domain,
			Incarnation: config.Incarnation,
		},
		members:       make(map[fleet.VMID]*member),
		dataCentres:   make(map[fleet.DataCentreID]*dataCentreState),
		relayedProbes: make(map[uint64]relayedProbe),
		pageLimiter:   tokenBucket{rate: pageAnswersPerSecond, tokens: pageAnswersPerSecond, at: now},
		shortLimiter:  tokenBucket{rate: shortAnswersPerSecond, tokens: shortAnswersPerSecond, at: now},
		bareLimiter:   tokenBucket{rate: bareAnswersPerSecond, tokens: bareAnswersPerSecond, at: now},
		now:           now, lastTick: now, nextSeed: now,
	}
	// A random phase spreads the messages of all VMs over the interval.
	m.nextProbe = now.Add(time.Duration(random.Int64N(int64(ProbeInterval))))
	m.nextSummary = now.Add(time.Duration(random.Int64N(int64(SummaryInterval))))
	if len(config.Seeds) > 0 {
		m.seedIndex = random.IntN(len(config.Seeds))
	}
	return m
}

// SetLocal sets the VM's own offset and payloads. Payloads are truncated to MaxLoad bytes.
func (m *Machine) SetLocal(l Local) {
	l.Load = l.Load[:min(len(l.Load), MaxLoad)]
	l.DataCentreLoad = l.DataCentreLoad[:min(len(l.DataCentreLoad), MaxLoad)]
	if l.Offset != m.self.Offset || !slices.Equal(l.Load, m.self.Load) {
		m.self.Version++
	}
	m.local = l
	m.self.Offset, m.self.Load = l.Offset, l.Load
}

// Drain marks the VM as leaving and announces it.
func (m *Machine) Drain() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.self.Version++
	m.announceTicksLeft = announceTicks
}

// Leave announces the VM's exit to members directly. The host must send the returned
// messages before it exits. Members remove the VM without a suspicion period.
func (m *Machine) Leave(now time.Time) []Action {
	m.now = now
	m.self.Status = Left
	for range announceTicks {
		m.announce()
	}
	return m.takeActions()
}

// Tick runs the periodic tasks that are due. The host calls it about every 100 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.now = now
	if gap := now.Sub(m.lastTick); gap > PauseLimit {
		m.handlePause(gap)
	}
	m.lastTick = now
	m.checkProbe()
	m.checkSuspicions()
	if m.announceTicksLeft > 0 {
		m.announceTicksLeft--
		m.announce()
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = nextDue(m.nextProbe, ProbeInterval, now)
		m.startProbe()
	}
	if !now.Before(m.nextSummary) {
		m.nextSummary = nextDue(m.nextSummary, SummaryInterval, now)
		m.sendSummaries()
	}
	if !now.Before(m.nextSeed) {
		m.contactSeed()
	}
	return m.takeActions()
}

// Receive handles a message from a peer: *Ping, *Ack, *PingReq or *Summaries. It ignores
// other types.
func (m *Machine) Receive(now time.Time, message any) []Action {
	m.now = now
	switch x := message.(type) {
	case *Ping:
		m.receivePing(x)
	case *Ack:
		m.receiveAck(x)
	case *PingReq:
		m.receivePingReq(x)
	case *Summaries:
		m.receiveSummaries(x)
	}
	return m.takeActions()
}

// nextDue returns the next run time of a periodic task. Missed runs are skipped.
func nextDue(last time.Time, interval time.Duration, now time.Time) time.Time {
	next := last.Add(interval)
	if next.Before(now) {
		return now.Add(interval)
	}
	return next
}

// takeActions returns the collected actions and clears them.
func (m *Machine) takeActions() []Action {
	a := m.actions
	m.actions = nil
	return a
}

func (m *Machine) send(to string, message any) {
	m.actions = append(m.actions, Send{To: to, Message: message})
}

// handlePause ends the probe in flight and extends the suspicion timeouts after this VM
// was paused: missing answers during the pause say nothing about the other VMs.
func (m *Machine) handlePause(gap time.Duration) {
	m.probe = nil
	clear(m.relayedProbes)
	for _, x := range m.members {
		if x.Status == Suspect {
			x.suspectUntil = x.suspectUntil.Add(gap)
		}
	}
}

// suspicionTimeout returns how long a suspect member has to refute its suspicion.
func (m *Machine) suspicionTimeout() time.Duration {
	t := time.Duration(SuspicionFactor * math.Log2(float64(len(m.members)+2)) * float64(time.Second))
	return max(t, SuspicionMin)
}

// transmitLimit returns how often an update about a member is transmitted with priority.
func (m *Machine) transmitLimit() int {
	return transmitFactor * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

// relayRank returns the rendezvous hash by which relays are chosen.
func relayRank(dc fleet.DataCentreID, id fleet.VMID) uint64 {
	return xxhash.Sum64String("relay\x00" + string(dc) + "\x00" + string(id))
}

// Relays returns the relays of this VM's domain according to its own view, in order of
// precedence.
func (m *Machine) Relays() []Contact {
	type candidate struct {
		contact Contact
		rank    uint64
	}
	all := make([]candidate, 0, RelayCount+1)
	consider := func(c candidate) {
		all = append(all, c)
		slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
		all = all[:min(len(all), RelayCount)]
	}
	if !m.self.Leaving {
		consider(candidate{m.self.contact(), relayRank(m.self.DomainID(), m.self.ID)})
	}
	for _, x := range m.members {
		if x.Status == Alive && !x.Leaving {
			if len(all) == RelayCount && x.rank >= all[RelayCount-1].rank {
				continue
			}
			consider(candidate{x.contact(), x.rank})
		}
	}
	relays := make([]Contact, len(all))
	for i, c := range all {
		relays[i] = c.contact
	}
	return relays
}

// contact returns the member's ID and addresses.
func (m Member) contact() Contact {
	return Contact{ID: m.ID, Address: m.Address, PeerAddress: m.PeerAddress}
}
