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
	// ReaderCount is the number of VMs in a data centre that read the log.
	ReaderCount = 2
	// DirectLimit is the number of VMs in a data centre up to which all of them read the log.
	DirectLimit = 4
	// FanOut is the number of VMs to which a VM forwards records.
	FanOut = 8
	// ReadInterval is the time between two reads of a reader.
	ReadInterval = time.Second
	// TreeReadInterval is the time between two reads of a reader in a data centre with a tree.
	// Each message down the tree then carries the records of two seconds, which saves a VM
	// with children about 0.7 KB/s of headers and keepalives.
	TreeReadInterval = 2 * time.Second
	// LoneReadInterval is the mean time between two reads while a VM knows no other VM. When
	// the whole fleet starts at once, each VM knows no other at first. 3,200 reads a second
	// would then be far above the several hundred that the log can serve.
	LoneReadInterval = 8 * time.Second
	// ReadBackoffLimit bounds the backoff between two reads while the log fails.
	ReadBackoffLimit = 8 * time.Second
	// ReadMax is the maximum number of records in a read. With records of 300 bytes, a VM
	// sends at most 8 x 38 KB a second to its children during a burst.
	ReadMax = 128
	// TakeoverDelay is how long the second reader waits for the first reader to forward a
	// record before it forwards the record itself.
	TakeoverDelay = 2 * time.Second
	// RepairDelay is how long a record that is known to exist may be missing before a VM
	// requests it.
	RepairDelay = time.Second
	// RepairInterval is the minimum time between two requests for missing records.
	RepairInterval = time.Second
	// RepairsBeforeLog is the number of requests to peers before a VM that is not a reader
	// reads the log.
	RepairsBeforeLog = 4
	// StatusInterval is the time between two Status messages of a VM.
	StatusInterval = 2 * time.Second

	// KeepRecords bounds the number of records kept for repairs.
	KeepRecords = 1024
	// KeepBytes bounds the size of the records kept for repairs.
	KeepBytes = 512 << 10
	// maxMessageBytes bounds the record data in a message.
	maxMessageBytes = 64 << 10
	// maxForwardedRepairs is the maximum number of repaired records that a VM forwards to its
	// children. If a few records are missing, the children lack them too. If more are
	// missing, only this VM was behind.
	maxForwardedRepairs = 16
)

// Config configures a Machine.
type Config struct {
	Stream  string
	Self    fleet.VMID
	Address string // peer address of this VM
}

// Peer is a live VM of this VM's data centre as membership reports it.
type Peer struct {
	ID      fleet.VMID
	Address string
	Offset  uint64
	Leaving bool
}

// Action is one of Send, Read, Deliver, Notify and NeedSnapshot.
type Action any

// Send requests that the host sends a message to a peer address.
type Send struct {
	To      string
	Message any
}

// Read requests that the host reads the log after an offset and reports the result with
// ReadDone.
type Read struct {
	After uint64
	Max   int
}

// Deliver passes records to the host in offset order, without gaps and each record once.
type Deliver struct{ Records []Record }

// Notify passes a new notice to the host.
type Notify struct{ Notice Notice }

// NeedSnapshot tells the host that the log no longer keeps the records after the applied
// offset. The host must load a snapshot from the log or from peers and call
// ResumeAfterSnapshot.
type NeedSnapshot struct{ Oldest uint64 }

// ReadResult is the result of a Read.
type ReadResult struct {
	// Failed is set if the log did not answer in time or refused the read.
	Failed bool
	// First is the oldest offset that the log keeps. Next is the offset after the newest.
	First, Next uint64
	// Records are in offset order. Their Previous need not be set.
	Records []Record
}

// Machine is the state of one VM for one stream.
type Machine struct {
	config Config
	rand   *rand.Rand

	// peers are the VMs of the data centre, this VM included, in the order of their rendezvous
	// hashes. Leaving VMs and relays come last.
	peers []Peer
	// position is the index of this VM in peers.
	position int
	// remotes are peer addresses in other data centres, to which notices and Status messages
	// are sent. They also repair missing records that no peer has, so that a data centre
	// whose readers cannot read the log still gets them.
	remotes []string
	// relays are the data centre's relays (see SetRelays).
	relays []fleet.VMID

	applied uint64 // all records up to this offset were delivered
	highest uint64 // highest offset known to exist
	// kept holds the last applied records for repairs.
	kept      []Record
	keptBytes int
	// pending holds records after a gap by their previous offset.
	pending map[uint64]Record

	now            time.Time
	reading        bool
	alone          bool
	nextRead       time.Time
	readBackoff    time.Duration
	missingSince   time.Time
	nextRepair     time.Time
	repairAttempts int
	nextStatus     time.Time
	statusCount    int
	// firstReaderOffset is the highest offset that the first reader is known to have
	// forwarded.
	firstReaderOffset uint64
	takeoverAt        time.Time // time of the scheduled takeover, zero if none is scheduled
	hasReadLog        bool

	notices          map[noticeKey]*keptNotice
	sequence         uint64
	noticeTokens     float64
	tokensRefilledAt time.Time
	noticeCursor     int

	actions []Action
}

// New returns a machine that has applied the stream up to an offset; 0 means no records.
func New(config Config, applied uint64, now time.Time, random *rand.Rand) *Machine {
	m := &Machine{
		config: config, rand: random, applied: applied, highest: applied, now: now,
		pending: make(map[uint64]Record), notices: make(map[noticeKey]*keptNotice),
		noticeTokens: noticeBurst, tokensRefilledAt: now,
		// Starting at the time keeps the sequence numbers of a restarted VM different from
		// its earlier ones.
		sequence: uint64(now.UnixMicro()),
	}
	m.SetPeers(nil)
	m.nextRead = now
	m.nextStatus = now.Add(time.Duration(random.Int64N(int64(StatusInterval))))
	return m
}

// Applied returns the offset up to which all records were delivered.
func (m *Machine) Applied() uint64 { return m.applied }

// Highest returns the highest offset known to exist. While it is higher than Applied, this
// VM's copy of the stream is stale.
func (m *Machine) Highest() uint64 { return m.highest }

// HasReadLog reports whether a read of the log has succeeded since the start.
func (m *Machine) HasReadLog() bool { return m.hasReadLog }

// ResumeAfterSnapshot continues the stream after a snapshot that covers all records up to an
// offset. If the snapshot is not newer than the applied records, it changes nothing and
// returns false, because settings must never revert.
func (m *Machine) ResumeAfterSnapshot(covers uint64) bool {
	if covers <= m.applied {
		return false
	}
	m.applied = covers
	m.recordOffset(covers)
	m.kept, m.keptBytes = nil, 0
	for offset := range m.pending {
		if offset <= covers {
			delete(m.pending, offset)
		}
	}
	return true
}

// SetRelays sets the data centre's relays, which become leaves of the tree. A relay that also
// forwarded records would exceed its bandwidth budget. The change takes effect with the next
// SetPeers.
func (m *Machine) SetRelays(relays []fleet.VMID) { m.relays = relays }

// SetPeers replaces the other live VMs of this VM's data centre.
func (m *Machine) SetPeers(peers []Peer) {
	all := append(slices.Clone(peers), Peer{ID: m.config.Self, Address: m.config.Address})
	rank := make(map[fleet.VMID]uint64, len(all))
	for _, p := range all {
		rank[p.ID] = xxhash.Sum64String("spread\x00" + m.config.Stream + "\x00" + string(p.ID))
		m.recordOffset(p.Offset)
	}
	slices.SortFunc(all, func(a, b Peer) int {
		if x, y := m.isLeaf(a), m.isLeaf(b); x != y {
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

// isLeaf reports whether a VM should be a leaf of the tree, so that it forwards no records
// unless there are too few other VMs.
func (m *Machine) isLeaf(p Peer) bool { return p.Leaving || slices.Contains(m.relays, p.ID) }

// SetRemotes replaces the peer addresses in other data centres, one for each data centre, and
// records the highest offset known there.
func (m *Machine) SetRemotes(addresses []string, highest uint64) {
	m.remotes = addresses
	m.recordOffset(highest)
}

// recordOffset records that an offset exists in the stream.
func (m *Machine) recordOffset(offset uint64) { m.highest = max(m.highest, offset) }

// IsReader reports whether this VM reads the log regularly.
func (m *Machine) IsReader() bool { return len(m.peers) <= DirectLimit || m.position < ReaderCount }

// Tick starts the reads, takeovers, repairs and Status messages that are due and drops expired
// notices. The host calls it about every 100 ms.
func (m *Machine) Tick(now time.Time) []Action {
	m.now = now
	m.readLog()
	m.takeOver()
	m.repair()
	m.sendStatus()
	m.expireNotices()
	return m.takeActions()
}

// Receive handles a message of a peer, which is a *Records, *Want, *Status or *Notices.
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
	return m.takeActions()
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
