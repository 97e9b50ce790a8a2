package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
)

const rate = 1000.0

// world connects ledgers in virtual time. Places reach the ledgers as a
// membership view would give them: a data centre that cannot be reached keeps
// its last count, a lost VM of the own data centre disappears after detection.
type world struct {
	now     time.Time
	nodes   []*node
	centres int
	random  *rand.Rand
	loss    float64
	// group numbers the side of a partition on which each node is.
	group  []int
	mail   []letter
	demand []float64
}

type node struct {
	ledger *Ledger
	dc     int
	up     bool
	seen   []RemoteCentre
}

type letter struct {
	at      time.Time
	from    int
	to      string
	message any
}

func newWorld(nodes, centres int, seed uint64) *world {
	w := &world{
		now: time.Unix(0, 0), centres: centres, random: rand.New(rand.NewPCG(seed, 2)),
		group: make([]int, nodes), demand: make([]float64, nodes),
	}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{dc: i % centres, up: true})
		w.boot(i)
	}
	return w
}

func (w *world) boot(i int) {
	n := w.nodes[i]
	n.up = true
	n.ledger = NewLedger(fleet.VMID(fmt.Sprint("vm", i)), fmt.Sprint(i), w.now, rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	n.ledger.SetRate("team/t", rate)
}

// stepTime is long enough to keep the test fast and shorter than all times of the ledger.
const stepTime = 250 * time.Millisecond

// step advances by stepTime.
func (w *world) step() {
	w.now = w.now.Add(stepTime)
	for i, n := range w.nodes {
		if !n.up {
			continue
		}
		n.ledger.SetPlace(w.now, w.place(i))
		n.ledger.Demand("team/t", w.demand[i]*stepTime.Seconds())
		w.post(i, n.ledger.Tick(w.now))
	}
	due := w.mail
	w.mail = nil
	for _, l := range due {
		if l.at.After(w.now) {
			w.mail = append(w.mail, l)
			continue
		}
		var to int
		_, _ = fmt.Sscan(l.to, &to)
		if w.nodes[to].up && w.group[l.from] == w.group[to] && w.random.Float64() >= w.loss {
			w.post(to, w.nodes[to].ledger.Receive(w.now, l.message))
		}
	}
}

func (w *world) post(from int, sends []Send) {
	for _, s := range sends {
		at := w.now.Add(time.Duration(w.random.IntN(3)) * time.Second)
		w.mail = append(w.mail, letter{at, from, s.To, s.Message})
	}
}

// place returns what membership would tell a node.
func (w *world) place(i int) Place {
	var p Place
	self := w.nodes[i]
	live := make([]int, w.centres)
	contact := make([]string, w.centres)
	for j, n := range w.nodes {
		if !n.up || w.group[i] != w.group[j] {
			continue
		}
		live[n.dc]++
		contact[n.dc] = fmt.Sprint(j)
		if n.dc == self.dc {
			p.Members = append(p.Members, Holder{n.ledger.self, fmt.Sprint(j)})
		}
	}
	if self.seen == nil {
		self.seen = w.learn(i)
	}
	for dc := range w.centres {
		if live[dc] > 0 {
			self.seen[dc] = RemoteCentre{ID: fleet.DataCentreID(fmt.Sprint(dc)), Contact: contact[dc], Live: live[dc]}
		}
		if dc != self.dc && self.seen[dc].Live > 0 {
			p.Remotes = append(p.Remotes, self.seen[dc])
		}
	}
	return p
}

// learn returns what a starting node hears of the other data centres: the
// answer to its join holds all summaries that the answering member knows.
func (w *world) learn(i int) []RemoteCentre {
	for j, n := range w.nodes {
		if i != j && n.up && n.seen != nil && w.group[i] == w.group[j] {
			return slices.Clone(n.seen)
		}
	}
	return make([]RemoteCentre, w.centres)
}

func (w *world) total() float64 {
	sum := 0.0
	for _, n := range w.nodes {
		if n.up {
			sum += n.ledger.Part(w.now, "team/t")
		}
	}
	return sum
}

// TestPartsWithinRate guards against parts that together exceed a team's rate
// while messages are lost or late and data centres are apart: the overshoot
// between data centres must be zero.
func TestPartsWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, centres := rapid.IntRange(2, 16).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "centres")
		w := newWorld(nodes, min(nodes, centres), rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
		for phase := range 4 {
			apart := rapid.Bool().Draw(t, "apart")
			for i := range w.nodes {
				w.demand[i] = rapid.Float64Range(0, rate).Draw(t, "demand")
				w.group[i] = 0
				if apart && phase > 0 {
					w.group[i] = w.nodes[i].dc
				}
			}
			for range 250 {
				w.step()
				if sum := w.total(); sum > rate*1.000001 {
					t.Fatalf("parts sum to %.1f of %.1f after %v", sum, rate, w.now.Sub(time.Unix(0, 0)))
				}
			}
		}
	})
}

// TestOvershootBound guards against a worse overshoot than stated when one data
// centre splits into groups and VMs join unseen:
// rate * (1 + (groups-1)*L/N + groups*J/N), with N VMs, L of them in the data
// centre and J joining, while the split is younger than HoldLocal. Each group
// hands out its data centre's part, and joins raise that part by at most J/N.
func TestOvershootBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, centres := rapid.IntRange(4, 20).Draw(t, "nodes"), rapid.IntRange(1, 4).Draw(t, "centres")
		groups, joins := rapid.IntRange(1, 3).Draw(t, "groups"), rapid.IntRange(0, 3).Draw(t, "joins")
		w := newWorld(nodes+joins, centres, rapid.Uint64().Draw(t, "seed"))
		for i := range w.nodes {
			w.demand[i] = rapid.Float64Range(0, rate).Draw(t, "demand")
			w.nodes[i].up = i < nodes
		}
		for range 160 {
			w.step()
		}
		local := 0
		for i, n := range w.nodes {
			if n.dc != 0 {
				continue
			}
			w.group[i] = w.random.IntN(groups)
			if i < nodes {
				local++
			}
		}
		for i := nodes; i < nodes+joins; i++ {
			w.boot(i)
		}
		bound := rate * (1 + float64((groups-1)*local+groups*joins)/float64(nodes))
		for range int(HoldLocal/stepTime) - 1 {
			w.step()
			if sum := w.total(); sum > bound*1.000001 {
				t.Fatalf("parts sum to %.1f, bound %.1f", sum, bound)
			}
		}
	})
}

// TestPartsFollowDemand guards against rate that lies idle at VMs without
// demand: against the baseline of equal parts, the only busy VM of four must
// get at least three quarters of the rate.
func TestPartsFollowDemand(t *testing.T) {
	for _, layout := range []struct{ nodes, centres int }{{4, 3}, {40, 2}} {
		is := is.New(t)
		w := newWorld(layout.nodes, layout.centres, 1)
		w.demand[0] = rate
		for range 360 {
			w.step()
		}
		part := w.nodes[0].ledger.Part(w.now, "team/t")
		t.Logf("%d VMs: busy VM holds %.0f of %.0f; equal parts %.0f", layout.nodes, part, rate, rate/float64(layout.nodes))
		is.True(part >= 0.75*rate)
	}
}

// TestSubsetSpread guards against upstreams that most VMs or none use, local
// upstreams passed over, and a join that reshuffles what VMs use.
func TestSubsetSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		count := rapid.IntRange(1, 200).Draw(t, "vms")
		upstreams := names("local", rapid.IntRange(1, 600).Draw(t, "upstreams"))
		size := min(len(upstreams), rapid.IntRange(1, 60).Draw(t, "size"))
		uses := make(map[fleet.UpstreamID]int)
		for i := range count {
			for _, u := range Subset("dc", i, count, size, upstreams, names("remote", 50)) {
				uses[u]++
			}
		}
		most, least := 0, count
		for _, u := range upstreams {
			most, least = max(most, uses[u]), min(least, uses[u])
		}
		is.Equal(uses["remote0"], 0)
		is.True(least >= count*size/len(upstreams)-1)
		is.True(most <= (count*size+len(upstreams)-1)/len(upstreams)+1)
	})
	is := is.New(t)
	local, remote := names("local", 5), names("remote", 50)
	chosen := Subset("dc", 0, 3, 12, local, remote)
	is.Equal(len(chosen), 12)
	for _, u := range chosen[:5] {
		is.Equal(u[:5], fleet.UpstreamID("local"))
	}
	all := names("local", 560)
	kept := 0
	for i := range 178 {
		before := set(Subset("dc", i, 178, 60, all, nil))
		for _, u := range Subset("dc", i, 179, 60, all, nil) {
			if before[u] {
				kept++
			}
		}
	}
	is.True(kept >= 178*60*9/10) // a join changes at most a tenth of the uses
}

func names(prefix string, n int) []fleet.UpstreamID {
	list := make([]fleet.UpstreamID, n)
	for i := range list {
		list[i] = fleet.UpstreamID(fmt.Sprint(prefix, i))
	}
	return list
}

func set(list []fleet.UpstreamID) map[fleet.UpstreamID]bool {
	s := make(map[fleet.UpstreamID]bool)
	for _, u := range list {
		s[u] = true
	}
	return s
}
