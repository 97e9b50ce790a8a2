package storeera_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
)

var modelSeeds = flag.Int("era.seeds", 60, "number of seeds of the model of a store that is restored from older copies")

const (
	modelStep          = 200 * time.Millisecond
	modelSteps         = 300
	modelVMs           = 4
	modelServers       = 6
	modelCatchUp       = 4 * time.Second // catch_up_s of the platform
	modelRenewInterval = 1200 * time.Millisecond
	copiesKept         = 20 // one per step, so that copies are up to 4 s old
	delayedAnswerSteps = 5  // mean number of steps by which a delayed answer arrives late
	// maxWritePause bounds the pause between two writes of the operator, and with the step of the
	// model and a delayed answer's mean lateness lies within SettleTime.
	maxWritePause = 1800 * time.Millisecond
)

// modelStore is the content of the store: the list of upstreams and the operator's records.
type modelStore struct {
	era     storeera.Era
	list    []roster.Record
	configs []uint64 // version number of the record at each offset
	// written is the number of the operator's writes up to this content.
	written int
}

func (s modelStore) copy() modelStore {
	s.list, s.configs = slices.Clone(s.list), slices.Clone(s.configs)
	return s
}

func (s *modelStore) newest() map[fleet.UpstreamID]roster.Upstream {
	entries := map[fleet.UpstreamID]roster.Upstream{}
	for _, e := range s.list {
		if e.Removed {
			delete(entries, e.Upstream.ID)
		} else {
			entries[e.Upstream.ID] = e.Upstream
		}
	}
	return entries
}

// answer holds the answers to a VM's reads of both topics. It may arrive some steps later.
type answer struct {
	readStart     time.Time
	restoreCount  storeera.RestoreCount
	era           storeera.Era
	list          []roster.Record
	end           uint64
	whole         bool
	expired       bool
	config        storeera.Record
	hasConfig     bool
	configEnd     int
	configWhole   bool
	configExpired bool
}

// modelServer is the actual state of a server.
type modelServer struct {
	up      roster.Upstream
	running bool
	renewAt time.Time
}

// modelVM follows the store like the gateway does.
type modelVM struct {
	tracker            storeera.Tracker
	listRestoreCount   storeera.RestoreCount // at the follower's last read
	configRestoreCount storeera.RestoreCount
	follower           *roster.Follower
	roster             *roster.Roster
	config             storeera.Configuration
	configNext         int
	configWhole        bool
	// storeCut is set while the VM cannot reach the store, isolated while it cannot reach
	// the other VMs, paused while its process is paused.
	storeCut, isolated, paused bool
	delayed                    []answer
	// lastInForce is the version that was in force at the last check.
	lastInForce storeera.Version
	// draining holds the start times of the incarnations that were seen draining.
	draining map[fleet.UpstreamID]time.Time
}

func newModelVM() *modelVM {
	return &modelVM{follower: roster.NewFollower(), roster: roster.New(), configWhole: true, draining: map[fleet.UpstreamID]time.Time{}}
}

type model struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	store   modelStore
	copies  []modelStore
	servers []*modelServer
	// The operator's writes so far, and those that follow from writeAt on, with pauses. After a
	// restore it writes again what was lost, in order.
	version uint64 // highest number so far
	written []uint64
	queue   []uint64
	writeAt time.Time
	// returns is set if the operator may leave out the last versions that a restore lost, and so
	// return to an older one.
	returns bool
	vms     []*modelVM
	starts  int
}

// writeNext writes the next version of the operator's queue when it is due.
func (m *model) writeNext() {
	if len(m.queue) == 0 || m.now.Before(m.writeAt) {
		return
	}
	m.store.configs = append(m.store.configs, m.queue[0])
	m.written = append(m.written, m.queue[0])
	m.store.written = len(m.written)
	m.queue = m.queue[1:]
	m.writeAt = m.now.Add(time.Duration(m.random.Int64N(int64(maxWritePause))))
}

// restore replaces the store by an older copy. The operator writes again what was lost.
func (m *model) restore(older modelStore) {
	era := m.highestEra() + 1
	m.store = older.copy()
	m.store.era = era
	var lost []uint64
	for _, number := range append(slices.Clone(m.written[older.written:]), m.queue...) {
		lost = append(slices.DeleteFunc(lost, func(n uint64) bool { return n == number }), number)
	}
	if m.returns && len(lost) > 1 && m.random.IntN(2) == 0 {
		lost = lost[:1+m.random.IntN(len(lost)-1)]
	}
	m.queue, m.writeAt = lost, m.now.Add(time.Second)
}

// readStore returns the store's present answers to a VM's reads of both topics.
func (m *model) readStore(v *modelVM) answer {
	a := answer{readStart: m.now, restoreCount: v.tracker.RestoreCount(), era: m.store.era}
	next, whole := v.follower.ReadPosition()
	whole = whole || v.listRestoreCount != a.restoreCount
	switch {
	case whole:
		for _, u := range m.store.newest() {
			a.list = append(a.list, roster.Record{Upstream: u})
		}
	case next > uint64(len(m.store.list)):
		a.expired = true
	default:
		a.list = slices.Clone(m.store.list[next:])
	}
	a.whole, a.end = whole, uint64(len(m.store.list))
	a.configWhole = v.configWhole || v.configRestoreCount != a.restoreCount
	from := v.configNext
	if a.configWhole {
		from = max(len(m.store.configs)-1, 0)
	}
	a.configExpired = from > len(m.store.configs)
	if !a.configExpired && from < len(m.store.configs) {
		at := len(m.store.configs) - 1
		a.hasConfig, a.config = true, storeera.Record{Number: m.store.configs[at], Era: m.store.era, Offset: uint64(at), Appended: !a.configWhole}
	}
	a.configEnd = len(m.store.configs)
	return a
}

// followEra invalidates positions of a copy that was replaced.
func (v *modelVM) followEra(now time.Time) {
	if restoreCount := v.tracker.RestoreCount(); v.listRestoreCount != restoreCount {
		v.listRestoreCount = restoreCount
		v.follower.RecordStoreRestore(v.tracker.Era())
		v.roster.RecordStoreRestore(now)
	}
}

// applyAnswer applies an answer, and returns the listing to publish to the other VMs.
func (m *model) applyAnswer(v *modelVM, a answer) *roster.Listing {
	if v.tracker.ObserveAnswer(a.restoreCount, a.era) != storeera.Current {
		v.followEra(m.now)
		return nil
	}
	v.followEra(m.now)
	if v.configRestoreCount != v.tracker.RestoreCount() {
		v.configRestoreCount, v.configWhole = v.tracker.RestoreCount(), true
	}
	switch {
	case a.restoreCount != v.tracker.RestoreCount() || a.configWhole != v.configWhole:
	case a.configExpired:
		v.configWhole = true
	default:
		v.configWhole, v.configNext = false, a.configEnd
		if a.hasConfig {
			v.config.ObserveRecord(m.now, a.config)
		} else if !a.configWhole {
			v.config.ConfirmPending(a.readStart, a.era)
		}
	}
	next, whole := v.follower.ReadPosition()
	if a.restoreCount != v.tracker.RestoreCount() || a.whole != whole || !whole && next != a.end-uint64(len(a.list)) {
		return nil // another answer was applied first
	}
	if a.expired {
		v.follower.RequireFullRead()
		return nil
	}
	if v.follower.Era() == 0 {
		v.follower.SetEra(a.era)
	}
	initialized := v.follower.Initialized()
	l := v.follower.ApplyRecords(a.list, a.end, a.whole)
	published := l
	if l.AfterRestore {
		published = v.follower.Snapshot()
	}
	l.StoreHealthyFor = v.roster.StoreHealthyFor(m.now)
	published.StoreHealthyFor = l.StoreHealthyFor
	v.roster.ApplyListing(m.now, l, nil)
	if !initialized {
		return nil
	}
	return &published
}

// applyPeer applies another VM's era, version and listing.
func (m *model) applyPeer(v, from *modelVM, l *roster.Listing) {
	if v.tracker.ObservePeerEra(from.tracker.Era()) {
		v.followEra(m.now)
	}
	v.config.ObservePeerVersion(from.config.InForce(), v.tracker.Era())
	if l == nil {
		return
	}
	applied, adopted := v.follower.AdoptSnapshot(*l)
	if adopted || v.follower.ApplyPeerListing(applied) {
		v.listRestoreCount = v.tracker.RestoreCount()
		v.roster.ApplyListing(m.now, applied, nil)
	}
}

// write appends a server's entry.
func (m *model) write(s *modelServer, removed bool) {
	m.store.list = append(m.store.list, roster.Record{Upstream: s.up, Removed: removed})
	s.renewAt = m.now.Add(modelRenewInterval)
}

// injectFault applies one random change or fault.
func (m *model) injectFault() {
	s := m.servers[m.random.IntN(len(m.servers))]
	v := m.vms[m.random.IntN(len(m.vms))]
	switch m.random.IntN(24) {
	case 0, 1:
		m.version += 1 + m.random.Uint64N(3)
		m.queue = append(m.queue, m.version)
	case 2:
		if s.running && !s.up.Draining {
			s.up.Draining = true
			m.write(s, false)
		}
	case 3, 4:
		if s.running && s.up.Draining {
			s.running = false
			m.write(s, true)
		}
	case 5, 6:
		if !s.running {
			m.starts++
			s.running, s.up.Draining, s.up.Born = true, false, m.now
			m.write(s, false)
		}
	case 7:
		m.restore(m.copies[m.random.IntN(len(m.copies))])
	case 8:
		v.storeCut = !v.storeCut
	case 9:
		v.isolated = !v.isolated
	case 10:
		v.paused = !v.paused
	case 11:
		*v = *newModelVM()
	case 12: // a server announces its end to one VM before its entry is removed
		if !v.paused && s.running && s.up.Draining {
			v.roster.MarkLeaving(m.now, s.up.ID, s.up.Born, nil)
		}
	}
}

// highestEra returns the highest era that the store has had.
func (m *model) highestEra() storeera.Era {
	highest := m.store.era
	for _, c := range m.copies {
		highest = max(highest, c.era)
	}
	return highest
}

// step advances time: servers renew their entries, VMs read the store and exchange
// their state.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	m.copies = append(m.copies, m.store.copy())
	m.copies = m.copies[max(0, len(m.copies)-copiesKept):]
	for _, s := range m.servers {
		if s.running && !m.now.Before(s.renewAt) {
			m.write(s, false)
		}
		if _, listed := m.store.newest()[s.up.ID]; !s.running && listed && !m.now.Before(s.renewAt.Add(3*modelRenewInterval)) {
			m.write(s, true) // its entry expires
		}
	}
	m.writeNext()
	var published *roster.Listing
	var reader *modelVM
	for _, v := range m.vms {
		if v.paused {
			continue
		}
		if !v.storeCut {
			a := m.readStore(v)
			if m.random.IntN(8) == 0 {
				v.delayed = append(v.delayed, a)
			} else if l := m.applyAnswer(v, a); l != nil && published == nil && !v.isolated {
				published, reader = l, v
			}
		}
		if len(v.delayed) > 0 && m.random.IntN(delayedAnswerSteps) == 0 {
			m.applyAnswer(v, v.delayed[0])
			v.delayed = v.delayed[1:]
		}
		v.roster.Tick(m.now, nil)
	}
	for _, v := range m.vms {
		for _, from := range m.vms {
			if v == from || v.paused || from.paused || v.isolated || from.isolated {
				continue
			}
			var l *roster.Listing
			if from == reader {
				l = published
			}
			m.applyPeer(v, from, l)
		}
	}
}

// check fails if a VM returned to an older configuration although the operator did not, lists
// two upstreams at one address, or uses an upstream again that was draining.
func (m *model) check() {
	for i, v := range m.vms {
		inForce := v.config.InForce()
		if v.lastInForce.After(inForce) || !m.returns && inForce.Number < v.lastInForce.Number {
			m.t.Fatalf("seed %d, %v: VM %d has version %v after %v", m.seed, m.now.Sub(start), i, inForce, v.lastInForce)
		}
		v.lastInForce = inForce
		listed := map[fleet.UpstreamID]bool{}
		addresses := map[string]bool{}
		for _, u := range v.roster.List() {
			listed[u.ID] = true
			if addresses[u.Address] {
				m.t.Fatalf("seed %d: VM %d has two upstreams at %s", m.seed, i, u.Address)
			}
			addresses[u.Address] = true
			if born, wasDraining := v.draining[u.ID]; wasDraining && !u.Draining && !u.Born.After(born) {
				m.t.Fatalf("seed %d, %v: VM %d uses %s again after it was draining", m.seed, m.now.Sub(start), i, u.ID)
			}
			if u.Draining {
				v.draining[u.ID] = u.Born
			}
		}
	}
}

// settle ends all faults and fails unless every VM has the store's content within the
// time that the platform states.
func (m *model) settle() {
	for _, v := range m.vms {
		v.storeCut, v.isolated, v.paused = false, false, false
	}
	for len(m.queue) > 0 {
		m.step()
		m.check()
	}
	for range modelCatchUp/modelStep + delayedAnswerSteps {
		m.step()
		m.check()
	}
	want := m.store.newest()
	for i, v := range m.vms {
		if got, want := v.config.InForce().Number, m.written[len(m.written)-1]; got != want {
			m.t.Fatalf("seed %d: VM %d has version %d at the end, want %d", m.seed, i, got, want)
		}
		have := map[fleet.UpstreamID]bool{}
		for _, u := range v.roster.List() {
			have[u.ID] = true
			if w, ok := want[u.ID]; !ok || !w.Born.Equal(u.Born) {
				m.t.Fatalf("seed %d: VM %d lists %s, which the store does not list", m.seed, i, u.ID)
			}
		}
		for id, w := range want {
			if !have[id] && !w.Draining && m.isRunning(id) {
				m.t.Fatalf("seed %d: VM %d does not list %s, which runs", m.seed, i, id)
			}
		}
	}
}

func (m *model) isRunning(id fleet.UpstreamID) bool {
	return slices.ContainsFunc(m.servers, func(s *modelServer) bool { return s.up.ID == id && s.running })
}

// TestModelOfRestores simulates an operator, servers, VMs that restart, lose
// connections or are paused, delayed answers, and a store that is restored from copies
// up to 4 s old. The operator writes again what is lost, in order. Guards against VMs that
// return to older state, such as all VMs that follow one which lost sight of the store between
// two of these writes, or do not converge after such faults.
func TestModelOfRestores(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		newModel(t, seed, false).play()
	}
}

// TestModelOfReturns is the opposite of TestModelOfRestores: after a restore the operator may leave
// out the newest versions. Guards against VMs that keep a version which the operator has returned
// from.
func TestModelOfReturns(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		newModel(t, seed, true).play()
	}
}

func newModel(t *testing.T, seed uint64, returns bool) *model {
	m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: start, returns: returns}
	for i := range modelServers {
		id := fmt.Sprintf("s%d", i)
		s := &modelServer{up: roster.Upstream{ID: fleet.UpstreamID(id), Service: "s", Address: id + ":1", Born: start}, running: true}
		m.servers = append(m.servers, s)
		m.write(s, false)
	}
	m.version, m.written = 1, []uint64{1}
	m.store.era, m.store.configs, m.store.written = 1, []uint64{1}, 1
	for range modelVMs {
		m.vms = append(m.vms, newModelVM())
	}
	return m
}

// play applies random faults for modelSteps and ends with settle.
func (m *model) play() {
	for range modelSteps {
		m.step()
		m.check()
		m.injectFault()
		m.check()
	}
	m.settle()
}
