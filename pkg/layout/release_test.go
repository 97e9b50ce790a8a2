package layout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/layout"
)

const (
	releaseStep     = 100 * time.Millisecond
	releaseInterval = time.Second
	// drainDelay is the time from the start of an engine until the engine that it
	// replaces begins to drain.
	drainDelay = time.Second
	// drainDuration is the time for which a draining engine still serves.
	drainDuration = 2 * time.Second
)

// releaseSim simulates a release under load, which replaces engines one after the other.
type releaseSim struct {
	engine  *catalog.Engine
	engines map[fleet.UpstreamID]*simEngine
	settle  time.Duration
	// loadedLayers counts the layers that were loaded.
	loadedLayers int
	// missingSeconds is the sum, over data centres and layers, of the seconds in which no
	// serving engine of the data centre held the layer.
	missingSeconds float64
}

type simEngine struct {
	layout.Engine
	startedAt time.Duration
	target    fleet.LayerRange
	loadedAt  time.Duration // when target is loaded
	draining  bool
}

func (r *releaseSim) tick(now time.Duration) {
	var list []layout.Engine
	for _, e := range r.engines {
		if e.target.Len() > 0 && now >= e.loadedAt {
			e.HeldLayers, e.target = e.target, fleet.LayerRange{}
		}
		if e.draining {
			continue
		}
		x := e.Engine
		if e.target.Len() > 0 {
			x.HeldLayers = e.target
		}
		x.Settling = e.startedAt > 0 && now-e.startedAt < r.settle
		list = append(list, x)
	}
	plan := layout.Repair(r.engine, list, func(fleet.DataCentreID) bool { return false })
	for _, x := range list {
		e := r.engines[x.ID]
		if want := plan[x.ID]; e.target.Len() == 0 && want != e.HeldLayers && want.Len() > 0 {
			for l := want.First; l < want.End; l++ {
				if l < e.HeldLayers.First || l >= e.HeldLayers.End {
					r.loadedLayers++
				}
			}
			e.target, e.loadedAt = want, now+time.Duration(float64(r.engine.LoadTime)*float64(want.Len())/float64(r.engine.Layers))
			e.HeldLayers = fleet.LayerRange{}
		}
	}
	for _, dc := range []fleet.DataCentreID{"a", "b", "c"} {
		held := make([]bool, r.engine.Layers)
		for _, e := range r.engines {
			if e.DataCentre == dc {
				for l := e.HeldLayers.First; l < e.HeldLayers.End; l++ {
					held[l] = true
				}
			}
		}
		for _, ok := range held {
			if !ok {
				r.missingSeconds += releaseStep.Seconds()
			}
		}
	}
}

// playRelease simulates a release that replaces six engines, some of them fast.
func playRelease(settle time.Duration) *releaseSim {
	e := testEngine()
	r := &releaseSim{engine: e, engines: map[fleet.UpstreamID]*simEngine{}, settle: settle}
	engines := testEngines(e)
	plan := layout.PlanFromScratch(e, engines)
	for _, x := range engines {
		x.HeldLayers = plan[x.ID]
		r.engines[x.ID] = &simEngine{Engine: x}
	}
	replaced := []fleet.UpstreamID{"c-t4-0", "c-a100s-0", "c-l4-1", "a-l4-3", "b-a100s-1", "b-l4-2"}
	for now := releaseStep; now < 20*time.Second; now += releaseStep {
		for i, id := range replaced {
			starts := time.Duration(i+1) * releaseInterval
			switch now {
			case starts:
				old := r.engines[id]
				id := fleet.UpstreamID(fmt.Sprint("new-", id))
				r.engines[id] = &simEngine{startedAt: now, Engine: layout.Engine{ID: id, DataCentre: old.DataCentre, Card: old.Card}}
			case starts + drainDelay:
				r.engines[id].draining = true
			case starts + drainDelay + drainDuration:
				delete(r.engines, id)
			}
		}
		r.tick(now)
	}
	return r
}

// TestReleaseUnderLoad guards against new engines that are busy loading second copies when
// the engines that they replace drain. Engines are replaced a second apart, as on the large
// days. A new engine must wait for the layers of the draining one.
func TestReleaseUnderLoad(t *testing.T) {
	without, with := playRelease(0), playRelease(2500*time.Millisecond)
	t.Logf("layers loaded %d -> %d, layer-seconds missing %.1f -> %.1f", without.loadedLayers, with.loadedLayers, without.missingSeconds, with.missingSeconds)
	if with.loadedLayers >= without.loadedLayers || with.missingSeconds > 0.8*without.missingSeconds {
		t.Errorf("settling does not reduce loads: %d -> %d layers loaded, %.1f -> %.1f layer-seconds missing",
			without.loadedLayers, with.loadedLayers, without.missingSeconds, with.missingSeconds)
	}
}
