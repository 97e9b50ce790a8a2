package share

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const (
	// GrantTime is how long a grant lasts unless it is renewed.
	GrantTime = 10 * time.Second
	// RenewAfter is the age at which a borrower renews a grant that it still needs.
	RenewAfter = 4 * time.Second
	// AskInterval is the time between two rounds of requests of a VM.
	AskInterval = time.Second
	// MaxWants bounds the resources in one Ask.
	MaxWants = 8
	// Holders is the number of VMs of a data centre that hold its base part of a
	// resource. With 178 VMs a base part for each would be too small to admit one request.
	Holders = 4
	// HoldLocal is how long a lost VM still counts, and HoldRemote the same for a
	// data centre out of reach. Regions are apart for an hour now and then.
	HoldLocal  = time.Minute
	HoldRemote = 2 * time.Hour
	// SettleTime is how long a VM holds no base part after its start, or after it
	// became a holder: until then the others may not count it, and grants of its
	// predecessor may be in use.
	SettleTime = 30 * time.Second
	// reserve is the fraction of the base part that a holder never lends.
	reserve = 0.1
	// demandWeight is the weight of the last second in the moving average of the demand.
	demandWeight = 0.1
	// needRatio is the demand over the part from which a VM asks for more.
	needRatio = 0.8
)

// Holder is a live VM of the own data centre.
type Holder struct {
	ID      fleet.VMID
	Address string
}

// RemoteCentre is another data centre as membership reports it.
type RemoteCentre struct {
	ID      fleet.DataCentreID
	Contact string // peer address
	Live    int
	// Age is the time since the last summary.
	Age time.Duration
	// Gone is set when the platform's VM list names no VM of it any more.
	Gone bool
}

// Place is where this VM stands in the fleet.
type Place struct {
	// Members are the live VMs of the own data centre that do not leave, this VM
	// included, by identity.
	Members []Holder
	Remotes []RemoteCentre
	// Alone is set when no other VM exists: no seed is configured but this VM, or
	// the platform's VM list names no other. Without it a VM that has never heard
	// of another one holds no base part, because it may be cut off.
	Alone bool
}

// Send asks the host to send a message to a peer address.
type Send struct {
	To      string
	Message any
}

// grant is a part that was lent or borrowed until a time.
type grant struct {
	rate   float64
	until  time.Time
	asked  time.Time
	lender string // peer address of the lender, on the borrower's side
}

// resource is the state of one shared rate.
type resource struct {
	rate     float64
	used     float64 // demand since the last tick
	demand   float64
	holder   bool
	since    time.Time // since when this VM is a holder
	lent     map[fleet.VMID][]grant
	borrowed map[fleet.VMID]grant
}

// Ledger holds this VM's parts of shared rates. The parts of all VMs together
// exceed a rate only within the bound that docs/CAPACITY.md states: a part moves
// by a grant, which the lender subtracts from its own part before it sends it
// and for longer than the borrower uses it. Lost messages lose rate for
// GrantTime and never add any.
type Ledger struct {
	self    fleet.VMID
	address string
	rand    *rand.Rand

	place Place
	began time.Time
	local heldCount
	// met is set once this VM has known another one or knows that it is alone.
	met       bool
	hashes    []uint64 // of the place's members
	remote    map[fleet.DataCentreID]*heldCount
	resources map[string]*resource
	names     []string // sorted keys of resources

	now       time.Time
	nextRound time.Time
	sequence  uint64
	asked     map[uint64]time.Time
	turn      int
	actions   []Send
}

// heldCount is a count that grows at once and shrinks after HoldLocal.
type heldCount struct {
	value int
	// lower is the largest count since it fell below value, 0 while it has not.
	lower int
	since time.Time
}

func (h *heldCount) set(now time.Time, n int) {
	if n >= h.value {
		h.value, h.lower = n, 0
		return
	}
	if h.lower == 0 {
		h.lower, h.since = n, now
	}
	h.lower = max(h.lower, n)
	if now.Sub(h.since) >= HoldLocal {
		h.value, h.lower = h.lower, 0
	}
}

// NewLedger returns a ledger without resources.
func NewLedger(self fleet.VMID, address string, now time.Time, random *rand.Rand) *Ledger {
	return &Ledger{
		self: self, address: address, rand: random, began: now, now: now,
		nextRound: now.Add(time.Duration(random.Int64N(int64(AskInterval)))),
		resources: make(map[string]*resource), asked: make(map[uint64]time.Time),
		remote:   make(map[fleet.DataCentreID]*heldCount),
		sequence: random.Uint64() >> 32, // differs from an earlier start's sequences
	}
}

// SetRate sets the fleet-wide rate of a resource, such as "team/T"; 0 removes it.
func (l *Ledger) SetRate(name string, rate float64) {
	if rate <= 0 {
		delete(l.resources, name)
		l.names = slices.DeleteFunc(l.names, func(n string) bool { return n == name })
		return
	}
	r := l.resources[name]
	if r == nil {
		r = &resource{lent: make(map[fleet.VMID][]grant), borrowed: make(map[fleet.VMID]grant)}
		l.resources[name] = r
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Insert(l.names, i, name)
		l.setHolder(name, r)
	}
	r.rate = rate
}

// SetPlace takes in the membership view.
func (l *Ledger) SetPlace(now time.Time, p Place) {
	l.now = now
	same := slices.Equal(l.place.Members, p.Members)
	l.place = p
	l.local.set(now, len(p.Members))
	l.holdRemotes()
	l.met = l.met || p.Alone || len(p.Members) > 1 || len(p.Remotes) > 0
	if same {
		return // 2,800 teams x 178 members are too many hashes for each second
	}
	l.hashes = l.hashes[:0]
	for _, h := range p.Members {
		l.hashes = append(l.hashes, xxhash.Sum64String(string(h.ID)))
	}
	for name, r := range l.resources {
		l.setHolder(name, r)
	}
}

// holdRemotes takes in the counts of the other data centres. They are held as
// the own one is: the summary of a data centre that is split counts one side only.
func (l *Ledger) holdRemotes() {
	for _, c := range l.place.Remotes {
		h := l.remote[c.ID]
		if h == nil {
			h = &heldCount{}
			l.remote[c.ID] = h
		}
		if c.Gone || c.Age >= HoldRemote {
			h.value = 0
			continue
		}
		h.set(l.now, c.Live)
	}
}

// setHolder decides whether this VM is a holder of the resource.
func (l *Ledger) setHolder(name string, r *resource) {
	holder := slices.ContainsFunc(l.holders(name), func(h Holder) bool { return h.ID == l.self })
	if holder && !r.holder {
		r.since = l.now
	}
	r.holder = holder
}

// holders returns the VMs of the data centre that hold its base part of a resource.
func (l *Ledger) holders(name string) []Holder {
	if len(l.place.Members) <= Holders {
		return l.place.Members
	}
	type ranked struct {
		holder Holder
		rank   uint64
	}
	best := make([]ranked, 0, Holders+1)
	key := xxhash.Sum64String(name)
	for k, h := range l.place.Members {
		x := ranked{h, mix(key ^ l.hashes[k])}
		if len(best) == Holders && x.rank >= best[Holders-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, x, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		if i < Holders {
			best = slices.Insert(best, i, x)
			best = best[:min(len(best), Holders)]
		}
	}
	holders := make([]Holder, len(best))
	for i, x := range best {
		holders[i] = x.holder
	}
	return holders
}

// mix is the finalizer of splitmix64. Hashing each name with each member in full
// took 54 ms for 2,800 teams and 178 members.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Demand notes that callers asked for an amount of a resource, admitted or not.
func (l *Ledger) Demand(name string, amount float64) {
	if r := l.resources[name]; r != nil {
		r.used += amount
	}
}

// Part returns the rate of a resource that this VM may admit at a time. The
// host asks for it once a second and admits by a token bucket of that rate.
func (l *Ledger) Part(now time.Time, name string) float64 {
	r := l.resources[name]
	if r == nil {
		return 0
	}
	return max(0, l.base(now, r)-r.outstanding(now, "")) + r.borrowedExcept(now, "")
}

// base returns the part that this VM holds of its own right.
func (l *Ledger) base(now time.Time, r *resource) float64 {
	if !r.holder || !l.met || now.Sub(l.began) < SettleTime || now.Sub(r.since) < SettleTime {
		return 0
	}
	local := l.local.value
	total := local
	for _, h := range l.remote {
		total += h.value
	}
	return r.rate * float64(local) / float64(total) / float64(min(Holders, local))
}

// outstanding returns what is lent to all VMs but one. Of several grants to one
// VM only the largest counts, because each replaces the one before.
func (r *resource) outstanding(now time.Time, except fleet.VMID) float64 {
	sum := 0.0
	for to, grants := range r.lent {
		if to != except {
			sum += largest(now, grants)
		}
	}
	return sum
}

func largest(now time.Time, grants []grant) float64 {
	most := 0.0
	for _, g := range grants {
		if now.Before(g.until) {
			most = max(most, g.rate)
		}
	}
	return most
}

// borrowedExcept returns what is borrowed from all lenders but one.
func (r *resource) borrowedExcept(now time.Time, except fleet.VMID) float64 {
	sum := 0.0
	for from, g := range r.borrowed {
		if from != except && now.Before(g.until) {
			sum += g.rate
		}
	}
	return sum
}

// Tick runs what is due. The host calls it about every 100 ms.
func (l *Ledger) Tick(now time.Time) []Send {
	l.now = now
	if now.Before(l.nextRound) {
		return nil
	}
	l.nextRound = l.nextRound.Add(AskInterval)
	if l.nextRound.Before(now) {
		l.nextRound = now.Add(AskInterval)
	}
	for _, r := range l.resources {
		r.demand += demandWeight * (r.used/AskInterval.Seconds() - r.demand)
		r.used = 0
		r.dropEnded(now)
	}
	for sequence, at := range l.asked {
		if now.Sub(at) >= GrantTime {
			delete(l.asked, sequence)
		}
	}
	l.renew()
	l.explore()
	return l.take()
}

// dropEnded forgets grants whose time is over.
func (r *resource) dropEnded(now time.Time) {
	for to, grants := range r.lent {
		grants = slices.DeleteFunc(grants, func(g grant) bool { return !now.Before(g.until) })
		if len(grants) == 0 {
			delete(r.lent, to)
			continue
		}
		r.lent[to] = grants
	}
	for from, g := range r.borrowed {
		if !now.Before(g.until) {
			delete(r.borrowed, from)
		}
	}
}

// Receive handles a message of a peer: *Ask or *Grant.
func (l *Ledger) Receive(now time.Time, message any) []Send {
	l.now = now
	switch x := message.(type) {
	case *Ask:
		l.lend(x)
	case *Grant:
		l.accept(x)
	}
	return l.take()
}

func (l *Ledger) take() []Send {
	a := l.actions
	l.actions = nil
	return a
}
