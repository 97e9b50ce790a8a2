// Package route chooses the chain of engines for a generation and the server
// for a call of a plain service. It does no I/O: decisions depend only on a
// Snapshot and on the random source that the caller passes.
//
// Filters drop engines that must not be used, scorers estimate the seconds that a
// stage adds to the request, and a picker chooses among the candidates for the
// next stage. Each is a small plugin behind a one-method interface and has a
// name by which settings select it.
package route

import (
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Engine describes one engine as this VM currently knows it.
type Engine struct {
	ID         fleet.UpstreamID
	Address    string
	DataCentre fleet.DataCentreID
	Model      fleet.ModelID
	Version    string
	Layers     fleet.LayerRange
	Adapters   []string
	// Slots is the maximum number of generations in a batch.
	Slots int
	// StageTime is the measured time of one decode step on this engine.
	StageTime time.Duration
	// MeasuredLoad is the number of generations per slot when StageTime was measured.
	MeasuredLoad float64
	// PrefillPerToken is the measured prefill time of one prompt token.
	PrefillPerToken time.Duration
	Loading         bool
	Leaving         bool
	Ejected         bool
	Quarantined     bool
	// Weight is 1 in normal service and lower while an engine that was ejected is
	// gradually given traffic again.
	Weight   float64
	Load     *Load
	Prefixes *PrefixTable

	dc int // index into Snapshot.dcs
}

// Server describes one server of a plain service as this VM currently knows it.
type Server struct {
	ID          fleet.UpstreamID
	Address     string
	DataCentre  fleet.DataCentreID
	Route       fleet.RouteID
	ServiceTime time.Duration // measured time of one call
	Slots       int
	Leaving     bool
	Ejected     bool
	Weight      float64
	Load        *Load
}

// Model describes a model's layers.
type Model struct {
	ID      fleet.ModelID
	Version string
	Layers  int
	// Block is the number of prompt tokens of one prefix block.
	Block int
}

// Link is the measured one-way latency between two data centres.
type Link struct {
	From, To fleet.DataCentreID
	Latency  time.Duration
}

// Snapshot is a view of the upstreams that is immutable except for their Load and
// PrefixTable.
type Snapshot struct {
	self    int // data centre of this entry VM, an index into dcs
	engines []Engine
	servers []Server
	models  map[fleet.ModelID]*modelView
	routes  map[fleet.RouteID][]int // indexes into servers
	dcs     []fleet.DataCentreID
	links   []float64 // seconds, by from*len(dcs)+to
	policy  Policy
}

// modelView groups a model's engines by layer range.
type modelView struct {
	Model
	groups     []group // one for each layer range, in order of first appearance
	groupsFrom [][]int // by layer, the indexes of the groups that start at it
}

// group lists the engines of a model that hold the same layer range.
type group struct {
	layers  fleet.LayerRange
	engines []int // indexes into Snapshot.engines
}

// defaultLink is the assumed latency between data centres without a measured one.
const defaultLink = 2 * time.Millisecond

// Input is the data from which Build makes a Snapshot. Self is the data centre of
// this entry VM.
type Input struct {
	Self    fleet.DataCentreID
	Engines []Engine
	Servers []Server
	Models  []Model
	Links   []Link
	Policy  Policy
}

// Build returns a snapshot of the input. It takes ownership of the slices.
func Build(in Input) *Snapshot {
	s := &Snapshot{
		engines: in.Engines, servers: in.Servers, policy: in.Policy.withDefaults(),
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
		s.models[m.ID] = s.newModelView(m)
	}
	return s
}

// dcIndex returns the index of a data centre and adds the data centre if needed.
func (s *Snapshot) dcIndex(dc fleet.DataCentreID) int {
	if i := slices.Index(s.dcs, dc); i >= 0 {
		return i
	}
	s.dcs = append(s.dcs, dc)
	return len(s.dcs) - 1
}

// setLinks fills the matrix of link latencies.
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
			s.links[from*n+to] = l.Latency.Seconds()
		}
	}
}

// newModelView groups the engines that hold a valid layer range of the model.
func (s *Snapshot) newModelView(m Model) *modelView {
	v := &modelView{Model: m, groupsFrom: make([][]int, m.Layers+1)}
	groupIndex := make(map[fleet.LayerRange]int)
	for i := range s.engines {
		e := &s.engines[i]
		l := e.Layers
		if e.Model != m.ID || l.First < 0 || l.Len() <= 0 || l.End > m.Layers {
			continue
		}
		g, ok := groupIndex[l]
		if !ok {
			g = len(v.groups)
			groupIndex[l] = g
			v.groups = append(v.groups, group{layers: l})
			v.groupsFrom[l.First] = append(v.groupsFrom[l.First], g)
		}
		v.groups[g].engines = append(v.groups[g].engines, i)
	}
	return v
}

// link returns the latency in seconds from one data centre to another.
func (s *Snapshot) link(from, to int) float64 { return s.links[from*len(s.dcs)+to] }

// Concurrency returns the number of generations of a model that the usable engines
// can run at once: the lowest sum of weighted batch slots of any layer.
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

// Engine returns the engine with the given ID, nil if there is none.
func (s *Snapshot) Engine(id fleet.UpstreamID) *Engine {
	for i := range s.engines {
		if s.engines[i].ID == id {
			return &s.engines[i]
		}
	}
	return nil
}
