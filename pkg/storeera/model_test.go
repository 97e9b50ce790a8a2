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

var modelSeeds = flag.Int("era.seeds", 60, "seeds of the model of a store that comes back from older copies")

const (
	modelStep     = 200 * time.Millisecond
	modelSteps    = 300
	modelVMs      = 4
	modelServers  = 6
	modelCatchUp  = 4 * time.Second // catch_up_s of the platform
	modelRenewal  = 1200 * time.Millisecond
	copiesKept    = 20 // steps
	lateReadSteps = 5
)

// modelStore is the store's content: the list of upstreams and the operator's record.
type modelStore struct {
	era     storeera.Era
	list    []roster.Entry
	configs []uint64 // version numbers by offset
}

func (s modelStore) copy() modelStore {
	return modelStore{era: s.era, list: slices.Clone(s.list), configs: slices.Clone(s.configs)}
}

func (s *modelStore) newest() map[fleet.UpstreamID]roster.Upstream {
	last := map[fleet.UpstreamID]roster.Upstream{}
	for _, e := range s.list {
		if e.Removed {
			delete(last, e.Upstream.ID)
		} else {
			last[e.Upstream.ID] = e.Upstream
		}
	}
	return last
}

// answer is the answer to a read, which may arrive some steps later.
type answer struct {
	mark    storeera.Mark
	era     storeera.Era
	list    []roster.Entry
	end     uint64
	whole   bool
	expired bool
	config  storeera.Record
	hasConf bool
	confEnd int
	confAll bool
	confOld bool
}

// modelServer is a server as it is.
type modelServer struct {
	up      roster.Upstream
	running bool
	renewAt time.Time
}

// modelVM follows the store as the gateway does.
type modelVM struct {
	tracker  storeera.Tracker
	mark     storeera.Mark // of the follower
	confMark storeera.Mark
	follower *roster.Follower
	roster   *roster.Roster
	config   storeera.Configuration
	confNext int
	confAll  bool
	// cut is set while the store does not reach the VM, alone while no VM does, paused
	// while it does nothing.
	cut, alone, paused bool
	late               []answer
	// passed is the highest version that served a caller since the operator last went
	// back, left the incarnations that were known to end.
	passed storeera.Version
	left   map[fleet.UpstreamID]time.Time
}

func newModelVM() *modelVM {
	return &modelVM{follower: roster.NewFollower(), roster: roster.New(), confAll: true, left: map[fleet.UpstreamID]time.Time{}}
}

type model struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	store   modelStore
	copies  []modelStore
	servers []*modelServer
	version uint64
	rewrite time.Time // when the operator writes again what a copy lacks; zero for no
	vms     []*modelVM
	starts  int
}

// ask makes the answer to both reads of a VM at this moment.
func (m *model) ask(v *modelVM) answer {
	a := answer{mark: v.tracker.Mark(), era: m.store.era}
	next, whole := v.follower.Next()
	whole = whole || v.mark != a.mark
	switch {
	case whole:
		for _, u := range m.store.newest() {
			a.list = append(a.list, roster.Entry{Upstream: u})
		}
	case next > uint64(len(m.store.list)):
		a.expired = true
	default:
		a.list = slices.Clone(m.store.list[next:])
	}
	a.whole, a.end = whole, uint64(len(m.store.list))
	a.confAll = v.confAll || v.confMark != a.mark
	from := v.confNext
	if a.confAll {
		from = max(len(m.store.configs)-1, 0)
	}
	a.confOld = from > len(m.store.configs)
	if !a.confOld && from < len(m.store.configs) {
		at := len(m.store.configs) - 1
		a.hasConf, a.config = true, storeera.Record{Number: m.store.configs[at], Era: m.store.era, Offset: uint64(at), Appended: !a.confAll}
	}
	a.confEnd = len(m.store.configs)
	return a
}

// followEra drops positions of a copy that is no more.
func (v *modelVM) followEra(now time.Time) {
	if mark := v.tracker.Mark(); v.mark != mark {
		v.mark = mark
		v.follower.Restored(v.tracker.Era())
		v.roster.Restored(now)
	}
}

// take takes in an answer, and returns what the other VMs are told.
func (m *model) take(v *modelVM, a answer) *roster.Listing {
	if v.tracker.Answered(a.mark, a.era) != storeera.Current {
		v.followEra(m.now)
		return nil
	}
	v.followEra(m.now)
	if v.confMark != v.tracker.Mark() {
		v.confMark, v.confAll = v.tracker.Mark(), true
	}
	switch {
	case a.mark != v.tracker.Mark() || a.confAll != v.confAll:
	case a.confOld:
		v.confAll = true
	default:
		v.confAll, v.confNext = false, a.confEnd
		if a.hasConf {
			v.config.Read(m.now, a.config)
		}
	}
	next, whole := v.follower.Next()
	if a.mark != v.tracker.Mark() || a.whole != whole || !whole && next != a.end-uint64(len(a.list)) {
		return nil // another answer came first
	}
	if a.expired {
		v.follower.Expired()
		return nil
	}
	if v.follower.Era() == 0 {
		v.follower.SetEra(a.era)
	}
	begun := v.follower.Begun()
	l := v.follower.Read(a.list, a.end, a.whole)
	told := l
	if l.Copied {
		told = v.follower.Snapshot()
	}
	l.SoundFor = v.roster.SoundFor(m.now)
	told.SoundFor = l.SoundFor
	v.roster.Take(m.now, l, nil)
	if !begun {
		return nil
	}
	return &told
}

// hear takes in another VM's listing, era and version.
func (m *model) hear(v, from *modelVM, l *roster.Listing) {
	if v.tracker.Heard(from.tracker.Era()) {
		v.followEra(m.now)
	}
	v.config.Heard(from.config.InForce(), v.tracker.Era())
	if l == nil {
		return
	}
	taken, adopted := v.follower.Adopt(*l)
	if adopted || v.follower.Hear(taken) {
		v.mark = v.tracker.Mark()
		v.roster.Take(m.now, taken, nil)
	}
}

// write appends a server's entry.
func (m *model) write(s *modelServer, removed bool) {
	m.store.list = append(m.store.list, roster.Entry{Upstream: s.up, Removed: removed})
	s.renewAt = m.now.Add(modelRenewal)
}

// disturb does one random thing.
func (m *model) disturb() {
	s := m.servers[m.random.IntN(len(m.servers))]
	v := m.vms[m.random.IntN(len(m.vms))]
	switch m.random.IntN(24) {
	case 0, 1:
		m.version += 1 + m.random.Uint64N(3)
		m.store.configs = append(m.store.configs, m.version)
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
		m.store, m.rewrite = m.copies[m.random.IntN(len(m.copies))].copy(), m.now.Add(time.Second)
		m.store.era = m.era() + 1
	case 8:
		v.cut = !v.cut
	case 9:
		v.alone = !v.alone
	case 10:
		v.paused = !v.paused
	case 11:
		*v = *newModelVM()
	case 12: // a server says to one VM that it ends, before its entry does
		if !v.paused && s.running && s.up.Draining {
			v.roster.Leave(m.now, s.up.ID, s.up.Born, nil)
		}
	}
}

// era returns the highest era that was in force.
func (m *model) era() storeera.Era {
	highest := m.store.era
	for _, c := range m.copies {
		highest = max(highest, c.era)
	}
	return highest
}

// step lets the servers renew their entries, the VMs read and the news go round.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	m.copies = append(m.copies, m.store.copy())
	m.copies = m.copies[max(0, len(m.copies)-copiesKept):]
	for _, s := range m.servers {
		if s.running && !m.now.Before(s.renewAt) {
			m.write(s, false)
		}
		if _, listed := m.store.newest()[s.up.ID]; !s.running && listed && !m.now.Before(s.renewAt.Add(3*modelRenewal)) {
			m.write(s, true) // its entry lapses
		}
	}
	if !m.rewrite.IsZero() && m.now.After(m.rewrite) {
		m.rewrite = time.Time{}
		if len(m.store.configs) == 0 || m.store.configs[len(m.store.configs)-1] != m.version {
			m.store.configs = append(m.store.configs, m.version)
		}
	}
	var told *roster.Listing
	var reader *modelVM
	for _, v := range m.vms {
		if v.paused {
			continue
		}
		if !v.cut {
			a := m.ask(v)
			if m.random.IntN(8) == 0 {
				v.late = append(v.late, a)
			} else if l := m.take(v, a); l != nil && told == nil && !v.alone {
				told, reader = l, v
			}
		}
		if len(v.late) > 0 && m.random.IntN(lateReadSteps) == 0 {
			m.take(v, v.late[0])
			v.late = v.late[1:]
		}
		v.config.Tick(m.now)
		v.roster.Tick(m.now, nil)
	}
	for _, v := range m.vms {
		for _, from := range m.vms {
			if v == from || v.paused || from.paused || v.alone || from.alone {
				continue
			}
			var l *roster.Listing
			if from == reader {
				l = told
			}
			m.hear(v, from, l)
		}
	}
}

// check fails if a VM serves from a state that is older than what it passed on before.
func (m *model) check() {
	for i, v := range m.vms {
		inForce := v.config.InForce()
		if v.passed.After(inForce) {
			m.t.Fatalf("seed %d, %v: VM %d has version %v after %v", m.seed, m.now.Sub(start), i, inForce, v.passed)
		}
		v.passed = inForce
		listed := map[fleet.UpstreamID]bool{}
		addresses := map[string]bool{}
		for _, u := range v.roster.List() {
			listed[u.ID] = true
			if addresses[u.Address] {
				m.t.Fatalf("seed %d: VM %d has two upstreams at %s", m.seed, i, u.Address)
			}
			addresses[u.Address] = true
			if born, left := v.left[u.ID]; left && !u.Draining && !u.Born.After(born) {
				m.t.Fatalf("seed %d, %v: VM %d uses %s again, which left", m.seed, m.now.Sub(start), i, u.ID)
			}
			if u.Draining {
				v.left[u.ID] = u.Born
			}
		}
	}
}

// settle ends all trouble and fails unless every VM has the store's content within the
// time that the platform states.
func (m *model) settle() {
	for _, v := range m.vms {
		v.cut, v.alone, v.paused = false, false, false
	}
	m.rewrite = m.now
	for range modelCatchUp/modelStep + lateReadSteps {
		m.step()
		m.check()
	}
	want := m.store.newest()
	for i, v := range m.vms {
		if got := v.config.InForce().Number; got != m.version {
			m.t.Fatalf("seed %d: VM %d has version %d at the end, want %d", m.seed, i, got, m.version)
		}
		have := map[fleet.UpstreamID]bool{}
		for _, u := range v.roster.List() {
			have[u.ID] = true
			if w, ok := want[u.ID]; !ok || !w.Born.Equal(u.Born) {
				m.t.Fatalf("seed %d: VM %d lists %s, which the store does not", m.seed, i, u.ID)
			}
		}
		for id, w := range want {
			if !have[id] && !w.Draining && m.runs(id) {
				m.t.Fatalf("seed %d: VM %d lacks %s", m.seed, i, id)
			}
		}
	}
}

func (m *model) runs(id fleet.UpstreamID) bool {
	return slices.ContainsFunc(m.servers, func(s *modelServer) bool { return s.up.ID == id && s.running })
}

// TestModelOfRestores plays operators, servers, VMs that restart, are cut off or paused,
// answers that come late, and a store that comes back from copies up to 4 s old.
func TestModelOfRestores(t *testing.T) {
	for seed := range uint64(*modelSeeds) {
		m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: start, store: modelStore{era: 1}}
		for i := range modelServers {
			id := fmt.Sprintf("s%d", i)
			s := &modelServer{up: roster.Upstream{ID: fleet.UpstreamID(id), Service: "s", Address: id + ":1", Born: start}, running: true}
			m.servers = append(m.servers, s)
			m.write(s, false)
		}
		m.version = 1
		m.store.configs = []uint64{1}
		for range modelVMs {
			m.vms = append(m.vms, newModelVM())
		}
		for range modelSteps {
			m.step()
			m.check()
			m.disturb()
			m.check()
		}
		m.settle()
	}
}
