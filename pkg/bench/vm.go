package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/outlier"
	"github.com/cornelline/cornelline/pkg/retry"
	"github.com/cornelline/cornelline/pkg/route"
)

// vm is a simulated entry VM: the real decision code with its own view of the engines.
type vm struct {
	index        int
	dc           int
	down         bool
	queue        *admission.Queue
	health       *outlier.Detector
	budget       *retry.Budget
	loads        []*route.Load
	stepSeconds  []float64 // step time of each engine at its last report
	measuredLoad []float64 // fraction of each engine's slots in use at that report
	links        []route.Link
	routePolicy  route.Policy
	snapshot     *route.Snapshot
	peers        int // other VMs that membership counts as live
	rng          *rand.Rand
	actions      []admission.Action
}

func dcID(i int) fleet.DataCentreID { return fleet.DataCentreID(fmt.Sprint("dc", i)) }

func newVM(s *sim, i int) *vm {
	v := &vm{
		index: i, dc: i % dcCount, queue: admission.New(weighted(s)), health: outlier.New(DefaultConfigs().Outlier),
		budget: retry.New(DefaultConfigs().Retry), routePolicy: s.policy.routes(), peers: vmCount - 1,
		rng: rand.New(rand.NewPCG(s.seed, uint64(i)+100)),
	}
	var members []outlier.Member
	for k := range s.engines {
		e := &s.engines[k]
		v.loads = append(v.loads, new(route.Load))
		v.stepSeconds = append(v.stepSeconds, e.stepTime(0))
		v.measuredLoad = append(v.measuredLoad, 0)
		members = append(members, outlier.Member{ID: e.id, Model: modelID, Layers: e.layers, ModelLayers: modelLayers})
	}
	v.health.SetMembers(members)
	return v
}

func weighted(s *sim) admission.Config {
	cfg := s.policy.config()
	cfg.Weights = make(map[fleet.TeamID]float64)
	for _, t := range s.teams {
		cfg.Weights[t.id] = t.weight
	}
	return cfg
}

// pollLag is the age of an engine's report on arrival, in seconds.
const pollLag = 0.5

// poll reads the reports of all engines and the link times; it runs once a second.
func (v *vm) poll(s *sim) {
	now := s.time()
	for k := range s.engines {
		e := &s.engines[k]
		if e.down {
			v.handleHealthActions(s, v.health.RecordRefused(now, e.id, nil))
			continue
		}
		v.loads[k].RecordReport(now.Add(-duration(pollLag)), s.delayedLoads[k], v.peers)
		v.stepSeconds[k] = e.stepTime(s.delayedLoads[k])
		v.measuredLoad[k] = min(1, float64(s.delayedLoads[k])/float64(e.slots))
	}
	v.handleHealthActions(s, v.health.Tick(now, nil))
	v.links = s.measuredLinks()
	v.publishSnapshot(s)
	v.budget.Prune(now)
}

// handleHealthActions executes the actions of the outlier detector: it answers probes
// immediately and publishes a snapshot after an ejection or a return.
func (v *vm) handleHealthActions(s *sim, actions []outlier.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case outlier.Probe:
			actions = v.health.RecordProbe(s.time(), a.Upstream, !s.engine(a.Upstream).down, actions)
		case outlier.Eject, outlier.SetWeight:
			v.publishSnapshot(s)
		}
	}
}

// publishSnapshot builds the route snapshot and sets the queue's capacity to this VM's
// share of the slots.
func (v *vm) publishSnapshot(s *sim) {
	in := route.Input{Self: dcID(v.dc), Links: v.links, Policy: v.routePolicy, Models: []route.Model{{ID: modelID, Layers: modelLayers, Block: 16}}}
	for k := range s.engines {
		e := &s.engines[k]
		in.Engines = append(in.Engines, route.Engine{
			ID: e.id, DataCentre: dcID(e.dc), Model: modelID, Layers: e.layers, Slots: e.slots,
			StageTime: duration(v.stepSeconds[k]), MeasuredLoad: v.measuredLoad[k], PrefillPerToken: duration(e.prefill),
			Ejected: v.health.IsEjected(e.id), Weight: v.health.Weight(e.id), Load: v.loads[k],
		})
	}
	v.snapshot = route.Build(in)
	slots := admission.SlotShare(v.snapshot.Concurrency(modelID), v.peers+1, v.index%(v.peers+1))
	v.actions = v.queue.SetCapacity(s.time(), admission.Capacity{Model: modelID, Slots: slots}, v.actions[:0])
	s.applyQueueActions(v, v.actions)
}

// pick chooses a chain for a generation.
func (v *vm) pick(j *job, exclude, prefer []fleet.UpstreamID) ([]route.Stage, error) {
	req := route.Request{
		Model: modelID, Rank: j.rank, PromptTokens: int(j.prompt) + j.tokensDone,
		OutputTokens: max(int(meansByRank[j.rank].output)-j.tokensDone, 1), Exclude: exclude, Prefer: prefer,
	}
	return route.PickChain(v.snapshot, &req, v.rng)
}

func (s *sim) time() time.Time { return start.Add(duration(s.now)) }

var start = time.Date(2030, 1, 1, 21, 0, 0, 0, time.UTC)
