// Package route chooses the chain of engines for a generation and the server
// for a call of a plain service. It is pure: it reads an immutable Snapshot and
// a random source that is handed in.
//
// Filters drop upstreams that must not be used, scorers add up the expected
// seconds that a stage costs, and a picker chooses among the candidates for the
// next stage. Each is a small plugin behind a one-method interface and has a
// name by which settings select it.
package route

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Engine is the view of one engine.
type Engine struct {
	ID         fleet.UpstreamID
	Address    string
	DataCentre fleet.DataCentreID
	Model      fleet.ModelID
	Version    string
	Layers     fleet.LayerRange
	Adapters   []string
	// Slots is the batch limit.
	Slots int
	// StageTime is the measured time of one decode step of this stage.
	StageTime time.Duration
	// MeasuredLoad is the generations over the slots when StageTime was measured.
	MeasuredLoad float64
	// PrefillPerToken is the measured prefill time of one prompt token.
	PrefillPerToken time.Duration
	Loading         bool
	Leaving         bool
	Ejected         bool
	Quarantined     bool
	// Weight is 1 in normal service and lower while the engine returns gradually.
	Weight   float64
	Load     *Load
	Prefixes *PrefixTable

	dc int // index into Snapshot.dcs
}

// Server is the view of one server of a plain service.
type Server struct {
	ID         fleet.UpstreamID
	Address    string
	DataCentre fleet.DataCentreID
	Route      fleet.RouteID
	Time       time.Duration // measured service time
	Slots      int
	Leaving    bool
	Ejected    bool
	Weight     float64
	Load       *Load
}

// Model describes a model's layers.
type Model struct {
	ID      fleet.ModelID
	Version string
	Layers  int
	// Block is the number of prompt tokens of one prefix block.
	Block int
}

// Link is the measured one-way time between two data centres.
type Link struct {
	From, To fleet.DataCentreID
	Time     time.Duration
}

// Snapshot is an immutable view of the upstreams. Load and PrefixTable are the
// only parts that change after Build.
type Snapshot struct {
	// Self is the data centre of this entry VM.
	self    int
	engines []Engine
	servers []Server
	models  map[fleet.ModelID]*modelView
	routes  map[fleet.RouteID][]int
	dcs     []fleet.DataCentreID
	links   []float64 // seconds, by from*len(dcs)+to
	plan    Policy
}

// modelView groups a model's engines by layer range.
type modelView struct {
	Model
	groups []group // by first layer, then end
	from   [][]int // groups that start at a layer
}

type group struct {
	layers  fleet.LayerRange
	engines []int
}

// defaultLink is assumed between data centres without a measure.
const defaultLink = 2 * time.Millisecond

// Input is what a Snapshot is built from.
type Input struct {
	Self    fleet.DataCentreID
	Engines []Engine
	Servers []Server
	Models  []Model
	Links   []Link
	Policy  Policy
}

// Build returns a snapshot. It takes ownership of the slices.
func Build(in Input) *Snapshot {
	s := &Snapshot{
		engines: in.Engines, servers: in.Servers, plan: in.Policy.withDefaults(),
		models: make(map[fleet.ModelID]*modelView), routes: make(map[fleet.RouteID][]int),
	}
	s.self = s.dcIndex(in.Self)
	for i := range s.engines {
		e := &s.engines[i]
		e.dc = s.dcIndex(e.DataCentre)
		if e.Load == nil {
			e.Load = new(Load)
		}
		if e.Weight <= 0 {
			e.Weight = 1
		}
	}
	for i := range s.servers {
		v := &s.servers[i]
		s.dcIndex(v.DataCentre)
		if v.Load == nil {
			v.Load = new(Load)
		}
		if v.Weight <= 0 {
			v.Weight = 1
		}
		s.routes[v.Route] = append(s.routes[v.Route], i)
	}
	s.setLinks(in.Links)
	for _, m := range in.Models {
		s.models[m.ID] = s.viewOf(m)
	}
	return s
}

// dcIndex returns the index of a data centre, adding it when it is new.
func (s *Snapshot) dcIndex(dc fleet.DataCentreID) int {
	if i := slices.Index(s.dcs, dc); i >= 0 {
		return i
	}
	s.dcs = append(s.dcs, dc)
	return len(s.dcs) - 1
}

func (s *Snapshot) setLinks(links []Link) {
	n := len(s.dcs)
	s.links = make([]float64, n*n)
	for i := range s.links {
		if i/n != i%n {
			s.links[i] = defaultLink.Seconds()
		}
	}
	for _, l := range links {
		from, to := slices.Index(s.dcs, l.From), slices.Index(s.dcs, l.To)
		if from >= 0 && to >= 0 {
			s.links[from*n+to] = l.Time.Seconds()
		}
	}
}

// viewOf groups the engines that hold a valid layer range of the model.
func (s *Snapshot) viewOf(m Model) *modelView {
	v := &modelView{Model: m, from: make([][]int, m.Layers+1)}
	at := make(map[fleet.LayerRange]int)
	for i := range s.engines {
		e := &s.engines[i]
		l := e.Layers
		if e.Model != m.ID || l.First < 0 || l.Len() <= 0 || l.End > m.Layers {
			continue
		}
		g, ok := at[l]
		if !ok {
			g = len(v.groups)
			at[l] = g
			v.groups = append(v.groups, group{layers: l})
			v.from[l.First] = append(v.from[l.First], g)
		}
		v.groups[g].engines = append(v.groups[g].engines, i)
	}
	return v
}

// link returns the seconds from one data centre to another.
func (s *Snapshot) link(from, to int) float64 { return s.links[from*len(s.dcs)+to] }

// Concurrency returns how many generations of a model the usable engines can run
// at once: the least sum of batch slots over all layers. Returning engines count
// with their weight.
func (s *Snapshot) Concurrency(id fleet.ModelID) int {
	m := s.models[id]
	if m == nil || m.Layers == 0 {
		return 0
	}
	slots := make([]float64, m.Layers)
	for _, g := range m.groups {
		for _, i := range g.engines {
			e := &s.engines[i]
			if e.Loading || e.Leaving || e.Ejected || e.Quarantined {
				continue
			}
			for l := g.layers.First; l < g.layers.End; l++ {
				slots[l] += float64(e.Slots) * e.Weight
			}
		}
	}
	return int(slices.Min(slots))
}

// Engines returns the engines. Callers must not change them.
func (s *Snapshot) Engines() []Engine { return s.engines }

// Engine returns the engine with the given id, nil when there is none.
func (s *Snapshot) Engine(id fleet.UpstreamID) *Engine {
	for i := range s.engines {
		if s.engines[i].ID == id {
			return &s.engines[i]
		}
	}
	return nil
}
