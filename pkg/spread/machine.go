package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// Readers is the number of VMs of a data centre that read the log.
	Readers = 2
	// DirectLimit is the number of VMs in a data centre up to which all read the log.
	DirectLimit = 4
	// FanOut is the number of VMs to which a VM passes records on.
	FanOut = 8
	// ReadInterval is the time between two reads of a reader.
	ReadInterval = time.Second
	// TreeReadInterval is the time between two reads of a reader that feeds a
	// tree. Each message down the tree then carries two seconds' records, which
	// saves a tree parent about 0.7 KB/s of headers and keepalives.
	TreeReadInterval = 2 * time.Second
	// LoneReadInterval is used while a VM knows no other VM anywhere. When the
	// whole fleet starts at once, each VM is alone at first; 3,200 reads a second
	// would be far over the log's several hundred.
	LoneReadInterval = 8 * time.Second
	// ReadBackoffLimit is the longest time between two reads while the log fails.
	ReadBackoffLimit = 8 * time.Second
	// ReadMax is the largest number of records in a read. At 300 bytes a record
	// a burst then sends at most 8 x 38 KB a second.
	ReadMax = 128
	// TakeoverDelay is how long the second reader waits for the first one to
	// spread a record before it does so itself.
	TakeoverDelay = 2 * time.Second
	// GapPatience is how long a VM lacks a record it knows of before it asks for it.
	GapPatience = time.Second
	// RepairInterval is the time between two requests for lacking records.
	RepairInterval = time.Second
	// RepairsBeforeLog is the number of requests to peers before a VM that is no
	// reader asks the log.
	RepairsBeforeLog = 4
	// StatusInterval is the time between two Status messages of a VM.
	StatusInterval = 2 * time.Second

	// KeepRecords and KeepBytes bound the records kept for repairs.
	KeepRecords = 1024
	KeepBytes   = 512 << 10
	// messageBytes bounds the record data in a message.
	messageBytes = 64 << 10
	// passOnRepaired is the number of repaired records up to which they are
	// passed on: the VMs below lack them too. More means that only this VM was behind.
	passOnRepaired = 16
)

// Config configures a Machine.
type Config struct {
	Stream  string
	Self    fleet.VMID
	Address string // peer address of this VM
}

// Peer is a live VM of the own data centre as membership reports it.
type Peer struct {
	ID      fleet.VMID
	Address string
	Offset  uint64
	Leaving bool
}

// Action is one of Send, Read, Deliver, Notify and NeedSnapshot.
type Action any

// Send asks the host to send a message to a peer address.
type Send struct {
	To      string
	Message any
}

// Read asks the host to read the log after an offset and to report by ReadDone.
type Read struct {
	After uint64
	Max   int
}

// Deliver hands records to the host in offset order, without gap and each once.
type Deliver struct{ Records []Record }

// Notify hands a new notice to the host.
type Notify struct{ Notice Notice }

// NeedSnapshot tells the host that the log no longer keeps the records after
// the applied offset. The host loads a snapshot from the log or from peers and
// calls Start.
type NeedSnapshot struct{ Oldest uint64 }

// ReadResult is the result of a Read.
type ReadResult struct {
	// Failed is set when the log did not answer in time or refused.
	Failed bool
	// First is the oldest offset that the log keeps, Next the offset after the newest.
	First, Next uint64
	// Records are in offset order. Previous need not be set.
	Records []Record
}

// Machine is the spread state of one VM and one stream.
type Machine struct {
	config Config
	rand   *rand.Rand

	// peers are ordered by rendezvous hash with this VM among them; position is its place.
	peers    []Peer
	position int
	// remotes are peer addresses in other data centres, for readers without log.
	remotes []string
	// relays are the data centre's relays; they have work enough.
	relays []fleet.VMID

	applied uint64
	highest uint64
	// kept holds the last applied records; waiting those after a gap.
	kept      []Record
	keptBytes int
	waiting   map[uint64]Record

	now          time.Time
	reading      bool
	lone         bool
	nextRead     time.Time
	readBackoff  time.Duration
	lackingSince time.Time
	nextRepair   time.Time
	repairs      int
	nextStatus   time.Time
	statusIndex  int
	// firstReaderAt is the highest offset that the first reader is known to have spread.
	firstReaderAt uint64
	takeoverAt    time.Time
	logHeard      bool

	notices     map[noticeKey]*keptNotice
	sequence    uint64
	tokens      float64
	tokensAt    time.Time
	repairIndex int

	actions []Action
}

// New returns a machine that has applied the stream up to an offset, 0 for nothing.
func New(config Config, applied uint64, now time.Time, random *rand.Rand) *Machine {
	m := &Machine{
		config: config, rand: random, applied: applied, highest: applied, now: now,
		waiting: make(map[uint64]Record), notices: make(map[noticeKey]*keptNotice),
		tokens: noticeBurst, tokensAt: now,
		// The time makes sequences of a restarted VM differ from its earlier ones.
		sequence: uint64(now.UnixMicro()),
	}
	m.SetPeers(nil)
	m.nextRead = now
	m.nextStatus = now.Add(time.Duration(random.Int64N(int64(StatusInterval))))
	return m
}

// Applied returns the offset up to which all records were delivered.
func (m *Machine) Applied() uint64 { return m.applied }

// Highest returns the highest offset heard of anywhere. The copy is stale while it exceeds Applied.
func (m *Machine) Highest() uint64 { return m.highest }

// LogHeard reports whether a read of the log has succeeded since the start.
func (m *Machine) LogHeard() bool { return m.logHeard }

// Start continues after a snapshot that covers an offset. A snapshot that is
// not newer than what is applied changes nothing and returns false: settings never revert.
func (m *Machine) Start(covers uint64) bool {
	if covers <= m.applied {
		return false
	}
	m.applied = covers
	m.hear(covers)
	m.kept, m.keptBytes = nil, 0
	for offset := range m.waiting {
		if offset <= covers {
			delete(m.waiting, offset)
		}
	}
	return true
}

// SetRelays names the data centre's relays, which become leaves of the tree:
// a relay that also passed records on would exceed the budget of bytes. It takes
// effect with the next SetPeers.
func (m *Machine) SetRelays(relays []fleet.VMID) { m.relays = relays }

// SetPeers replaces the live VMs of the own data centre, without this VM.
func (m *Machine) SetPeers(peers []Peer) {
	all := append(slices.Clone(peers), Peer{ID: m.config.Self, Address: m.config.Address})
	rank := make(map[fleet.VMID]uint64, len(all))
	for _, p := range all {
		rank[p.ID] = xxhash.Sum64String("spread\x00" + m.config.Stream + "\x00" + string(p.ID))
		m.hear(p.Offset)
	}
	slices.SortFunc(all, func(a, b Peer) int {
		if x, y := m.leaf(a), m.leaf(b); x != y {
			if x {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(rank[a.ID], rank[b.ID]), cmp.Compare(a.ID, b.ID))
	})
	m.peers = all
	m.position = slices.IndexFunc(all, func(p Peer) bool { return p.ID == m.config.Self })
}

// leaf reports whether a VM passes no records on where others can.
func (m *Machine) leaf(p Peer) bool { return p.Leaving || slices.Contains(m.relays, p.ID) }

// SetRemotes replaces the peer addresses in other data centres, one for each,
// and notes the highest offset heard from them.
func (m *Machine) SetRemotes(addresses []string, highest uint64) {
	m.remotes = addresses
	m.hear(highest)
}

// hear notes an offset that exists in the stream.
func (m *Machine) hear(offset uint64) { m.highest = max(m.highest, offset) }

// Reader reports whether this VM reads the log at each interval.
func (m *Machine) Reader() bool { return len(m.peers) <= DirectLimit || m.position < Readers }

// Tick runs what is due. The host calls it about every 100 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.now = now
	m.readLog()
	m.takeOver()
	m.repair()
	m.sendStatus()
	m.expireNotices()
	return m.take()
}

// Receive handles a message of a peer: *Records, *Want, *Status or *Notices.
func (m *Machine) Receive(now time.Time, message any) []Action {
	m.now = now
	switch x := message.(type) {
	case *Records:
		m.receiveRecords(x)
	case *Want:
		m.answerWant(x)
	case *Status:
		m.receiveStatus(x)
	case *Notices:
		m.receiveNotices(x)
	}
	return m.take()
}

func (m *Machine) take() []Action {
	a := m.actions
	m.actions = nil
	return a
}

func (m *Machine) send(to string, message any) {
	m.actions = append(m.actions, Send{To: to, Message: message})
}
