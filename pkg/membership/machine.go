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
	// ProbeInterval is the time between two probes of a VM.
	ProbeInterval = time.Second
	// AckTimeout is the time after which a direct probe is followed by indirect ones.
	AckTimeout = 400 * time.Millisecond
	// IndirectTimeout is the time after which an indirect probe without answer raises suspicion.
	IndirectTimeout = 500 * time.Millisecond
	// IndirectProbes is the number of members asked to probe on a VM's behalf.
	IndirectProbes = 3
	// SuspicionFactor times the logarithm to base 2 of the number of members, in
	// seconds, is how long a suspicion waits for its refutation. The suspected
	// member hears of it directly and refutes it within a round trip; the rest is
	// for the refutation to overtake the suspicion. At 0.6 a death took 10.1 s to
	// reach all 33 members of a data centre, over the limit of 10 s.
	SuspicionFactor = 0.45
	// SuspicionMin is the least time that a suspicion waits for its refutation.
	SuspicionMin = 2 * time.Second
	// TombstoneTime is how long a dead member is remembered, so that late news
	// of its life does not bring it back. Until then it is pinged at times.
	TombstoneTime = 10 * time.Minute
	// checkInterval is the time between two checks of suspicions.
	checkInterval = 200 * time.Millisecond
	// PauseLimit is the gap between two ticks after which the VM takes itself to
	// have been paused. It then ends its probes without a verdict.
	PauseLimit = 1500 * time.Millisecond

	// SummaryInterval is the time between two rounds of a relay.
	SummaryInterval = 3 * time.Second
	// SummaryRefresh is the age at which a data centre's summary gets a new version
	// without a change of its members. With a new version each second the 18 data
	// centres' versions were more than gossip can carry: at 3,200 nodes some
	// summaries were 59 s old. Now each version reaches nearly all members.
	SummaryRefresh = 8 * time.Second
	// SummaryStale is the age after which a data centre counts as out of reach.
	SummaryStale = 60 * time.Second
	// RelayStale is the age after which a data centre's relay is not relied on to
	// speak for its region.
	RelayStale = 45 * time.Second
	// relayDelay is how long after its start a VM is no relay: it would speak for
	// its data centre before it knows its members.
	relayDelay = 10 * time.Second
	// RelayCount is the number of relays in each data centre.
	RelayCount = 2

	// SeedInterval is the least time between two contacts of a VM with a seed.
	// SeedIntervalPerVM times the number of VMs is used when it is longer, so that
	// all seeds together answer one VM a second at any size. JoinInterval is used
	// while the VM knows no other member.
	SeedInterval      = 20 * time.Second
	SeedIntervalPerVM = time.Second
	JoinInterval      = time.Second
	// startTime is how long after its start a VM contacts seeds at SeedInterval at
	// any size of the fleet, because it may have joined a small group only.
	startTime = 2 * time.Minute
	// PullInterval is the time between two requests for members that this VM lacks.
	PullInterval = time.Second
	// pullFraction and pullPatience limit these requests to members that gossip
	// did not bring. Without them a restart of one of 178 VMs cost 2.5 MB.
	pullFraction = 16
	pullPatience = 20 * time.Second

	// MaxLoad is the largest opaque payload in bytes.
	MaxLoad = 64
	// MaxMembers and MaxSummaries bound the news in a Ping or Ack. Free places
	// are filled with other members in turn, so that the size hardly varies. With
	// 2 summaries some of 800 nodes heard nothing new of one of 18 data centres
	// for 56 s, too close to SummaryStale.
	MaxMembers   = 4
	MaxSummaries = 3
	// MaxJoinMembers bounds the members in the answer to a join. joinAnswers and
	// shortAnswers are the numbers of long and of short answers to joins in a
	// second; beyond them a joining VM gets none and tries again. A flood of joins
	// thus costs a VM at most about 2 x 5 KB and 24 x 700 B a second.
	MaxJoinMembers = 32
	joinAnswers    = 2
	shortAnswers   = 24
	// MaxRelayed bounds the summaries in a message between regions, which are
	// those of the sender's region.
	MaxRelayed = 4
	// SpeakerPassOn and RelayPassOn are the numbers of other summaries in a
	// message within a region: the relays of the data centre that speaks for the
	// region pass on those of the other regions.
	SpeakerPassOn = 7
	RelayPassOn   = 1
	// sampleSize is the number of contacts in a summary beside the relays.
	sampleSize = 1
	// announceFan is the number of members that a leaving VM tells directly at each tick.
	announceFan = 8
	// announceTicks is the number of ticks in which it does so.
	announceTicks = 24
	// summaryNews is how often each VM passes on a new summary before others get their turn.
	summaryNews = 2
	// newsFactor times the logarithm of the number of members is how often each VM passes on a piece of news.
	newsFactor = 2
)

// Config configures a Machine.
type Config struct {
	Self fleet.VM
	// Incarnation must be higher than that of an earlier start of the same VM
	// where possible, such as the start time in milliseconds. The machine
	// corrects it when a peer remembers a higher one.
	Incarnation uint64
	// Domain widens the group whose members probe each other beyond the data
	// centre, for fleets of few VMs: a data centre of one VM would else notice the
	// death of another only after SummaryStale. All VMs of the group must name the
	// same domain. Empty means the data centre.
	Domain fleet.DataCentreID
	// Seeds are peer addresses to join through, in any data centre.
	Seeds []string
}

// Local is the part of a VM's own state that its host sets.
type Local struct {
	Offset uint64
	Load   []byte
	// DataCentreLoad is the payload for the data centre's summary. Only relays use it.
	DataCentreLoad []byte
}

// Action is one of Send and Changed.
type Action any

// Send asks the host to send a message to a peer address.
type Send struct {
	To      string
	Message any
}

// Changed reports a member that appeared, changed its leaving flag or disappeared.
type Changed struct {
	Member Member
	Live   bool
}

// member is the state kept of another VM of the data centre.
type member struct {
	Member
	// suspectUntil is when a suspicion becomes a verdict.
	suspectUntil time.Time
	// deadSince is when the member was declared dead or left.
	deadSince time.Time
	// news is the number of messages that still carry this member first.
	news int
	// rank is the member's rendezvous hash among relays.
	rank uint64
}

// probe is the probe in flight.
type probe struct {
	target   fleet.VMID
	sequence uint64
	sentAt   time.Time
	indirect bool
}

// relayedProbe is a probe made on another VM's behalf.
type relayedProbe struct {
	requester string
	sequence  uint64
	until     time.Time
}

// remote is the state kept of another data centre.
type remote struct {
	Summary
	heardAt time.Time
	// news is the number of messages that still carry this summary first.
	news int
}

// Machine is the membership state of one VM.
type Machine struct {
	config Config
	rand   *rand.Rand
	self   Member
	local  Local
	// members holds the other VMs of the data centre, and order their
	// identities in the order of probing.
	members map[fleet.VMID]*member
	order   []fleet.VMID
	remotes map[fleet.DataCentreID]*remote
	// remoteOrder lists the keys of remotes, sorted.
	remoteOrder []fleet.DataCentreID

	began        time.Time
	now          time.Time
	lastTick     time.Time
	nextProbe    time.Time
	nextSummary  time.Time
	nextSeed     time.Time
	nextCheck    time.Time
	nextPull     time.Time
	lackingSince time.Time
	nextContact  time.Time
	pullAfter    fleet.VMID
	probe        *probe
	relayed      map[uint64]relayedProbe
	sequence     uint64
	probeIndex   int
	fillIndex    int
	summaryIndex int
	passOnIndex  int
	seedIndex    int
	sampleIndex  int
	round        int
	announcing   int
	long, short  bucket
	actions      []Action
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
		members: make(map[fleet.VMID]*member),
		remotes: make(map[fleet.DataCentreID]*remote),
		relayed: make(map[uint64]relayedProbe),
		long:    bucket{rate: joinAnswers, tokens: joinAnswers, at: now},
		short:   bucket{rate: shortAnswers, tokens: shortAnswers, at: now},
		now:     now, lastTick: now, nextSeed: now,
	}
	// A random phase spreads the VMs' work over the interval.
	m.nextProbe = now.Add(time.Duration(random.Int64N(int64(ProbeInterval))))
	m.nextSummary = now.Add(time.Duration(random.Int64N(int64(SummaryInterval))))
	if len(config.Seeds) > 0 {
		m.seedIndex = random.IntN(len(config.Seeds))
	}
	return m
}

// SetLocal changes the VM's own offset and payloads. Payloads over MaxLoad bytes are cut off.
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
	m.announcing = announceTicks
}

// Leave announces the VM's end to members directly. The host sends the
// actions before it exits; members believe it at once.
func (m *Machine) Leave(now time.Time) []Action {
	m.now = now
	m.self.Status = Left
	for range announceTicks {
		m.announce()
	}
	return m.take()
}

// Tick runs what is due. The host calls it about every 100 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.now = now
	if gap := now.Sub(m.lastTick); gap > PauseLimit {
		m.forgive(gap)
	}
	m.lastTick = now
	m.checkProbe()
	m.checkSuspicions()
	if m.announcing > 0 {
		m.announcing--
		m.announce()
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = due(m.nextProbe, ProbeInterval, now)
		m.startProbe()
	}
	if !now.Before(m.nextSummary) {
		m.nextSummary = due(m.nextSummary, SummaryInterval, now)
		m.sendSummaries()
	}
	if !now.Before(m.nextSeed) {
		m.contactSeed()
	}
	return m.take()
}

// Receive handles a message of a peer: *Ping, *Ack, *PingReq or *Summaries.
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
	return m.take()
}

// due returns the next time of a periodic task, without catching up on missed ones.
func due(last time.Time, interval time.Duration, now time.Time) time.Time {
	next := last.Add(interval)
	if next.Before(now) {
		return now.Add(interval)
	}
	return next
}

// take returns the collected actions.
func (m *Machine) take() []Action {
	a := m.actions
	m.actions = nil
	return a
}

func (m *Machine) send(to string, message any) {
	m.actions = append(m.actions, Send{To: to, Message: message})
}

// forgive ends the probe in flight and extends suspicions after a pause of
// this VM: silence during the pause says nothing of the others.
func (m *Machine) forgive(gap time.Duration) {
	m.probe = nil
	clear(m.relayed)
	for _, x := range m.members {
		if x.Status == Suspect {
			x.suspectUntil = x.suspectUntil.Add(gap)
		}
	}
}

// suspicionTime returns how long a suspicion waits for its refutation.
func (m *Machine) suspicionTime() time.Duration {
	t := time.Duration(SuspicionFactor * math.Log2(float64(len(m.members)+2)) * float64(time.Second))
	return max(t, SuspicionMin)
}

// newsCount returns how often a piece of news is passed on.
func (m *Machine) newsCount() int {
	return newsFactor * int(math.Ceil(math.Log2(float64(len(m.members)+2))))
}

// relayRank is the rendezvous hash by which relays are chosen.
func relayRank(dc fleet.DataCentreID, id fleet.VMID) uint64 {
	return xxhash.Sum64String("relay\x00" + string(dc) + "\x00" + string(id))
}

// Relays returns the data centre's relays as this VM sees them, the first one first.
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

// contact returns how to reach the member.
func (m Member) contact() Contact {
	return Contact{ID: m.ID, Address: m.Address, PeerAddress: m.PeerAddress}
}
