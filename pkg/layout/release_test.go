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
	releaseStep = 100 * time.Millisecond
	releaseGap  = time.Second
	// drainsAfter is the time from the start of an engine to the drain of the one that it
	// replaces; that one serves for drainFor more.
	drainsAfter = time.Second
	drainFor    = 2 * time.Second
)

// releasing is a release under load: engines are replaced one after the other.
type releasing struct {
	engine  *catalog.Engine
	engines map[fleet.UpstreamID]*releasedEngine
	settle  time.Duration
	// loaded counts the layers that were loaded, missing the layer-seconds for which no
	// engine of a data centre that serves held a layer.
	loaded  int
	missing float64
}

type releasedEngine struct {
	layout.Engine
	since    time.Duration
	target   fleet.LayerRange
	ready    time.Duration // when target is loaded
	draining bool
}

func (r *releasing) tick(now time.Duration) {
	var list []layout.Engine
	for _, e := range r.engines {
		if e.target.Len() > 0 && now >= e.ready {
			e.Holds, e.target = e.target, fleet.LayerRange{}
		}
		if e.draining {
			continue
		}
		x := e.Engine
		if e.target.Len() > 0 {
			x.Holds = e.target
		}
		x.Settling = e.since > 0 && now-e.since < r.settle
		list = append(list, x)
	}
	plan := layout.Repair(r.engine, list, func(fleet.DataCentreID) bool { return false })
	for _, x := range list {
		e := r.engines[x.ID]
		if want := plan[x.ID]; e.target.Len() == 0 && want != e.Holds && want.Len() > 0 {
			for l := want.First; l < want.End; l++ {
				if l < e.Holds.First || l >= e.Holds.End {
					r.loaded++
				}
			}
			e.target, e.ready = want, now+time.Duration(float64(r.engine.Load)*float64(want.Len())/float64(r.engine.Layers))
			e.Holds = fleet.LayerRange{}
		}
	}
	for _, dc := range []fleet.DataCentreID{"a", "b", "c"} {
		held := make([]bool, r.engine.Layers)
		for _, e := range r.engines {
			if e.DataCentre == dc {
				for l := e.Holds.First; l < e.Holds.End; l++ {
					held[l] = true
				}
			}
		}
		for _, ok := range held {
			if !ok {
				r.missing += releaseStep.Seconds()
			}
		}
	}
}

// playRelease replaces six engines, among them fast ones, under load.
func playRelease(settle time.Duration) *releasing {
	e := testEngine()
	r := &releasing{engine: e, engines: map[fleet.UpstreamID]*releasedEngine{}, settle: settle}
	engines := testEngines(e)
	plan := layout.Fresh(e, engines)
	for _, x := range engines {
		x.Holds = plan[x.ID]
		r.engines[x.ID] = &releasedEngine{Engine: x}
	}
	replaced := []fleet.UpstreamID{"c-t4-0", "c-a100s-0", "c-l4-1", "a-l4-3", "b-a100s-1", "b-l4-2"}
	for now := releaseStep; now < 20*time.Second; now += releaseStep {
		for i, id := range replaced {
			starts := time.Duration(i+1) * releaseGap
			switch now {
			case starts:
				old := r.engines[id]
				id := fleet.UpstreamID(fmt.Sprint("new-", id))
				r.engines[id] = &releasedEngine{since: now, Engine: layout.Engine{ID: id, DataCentre: old.DataCentre, Card: old.Card}}
			case starts + drainsAfter:
				r.engines[id].draining = true
			case starts + drainsAfter + drainFor:
				delete(r.engines, id)
			}
		}
		r.tick(now)
	}
	return r
}

// TestReleaseUnderLoad: load pattern of a release of engines a second apart, as the large
// days play it. An engine that starts waits for what the one that drains leaves, in place of
// loading a copy that keeps it busy.
func TestReleaseUnderLoad(t *testing.T) {
	before, after := playRelease(0), playRelease(2500*time.Millisecond)
	t.Logf("layers loaded %d -> %d, layer-seconds missing %.1f -> %.1f", before.loaded, after.loaded, before.missing, after.missing)
	if after.loaded >= before.loaded || after.missing > 0.8*before.missing {
		t.Errorf("waiting does not spare loads: %d -> %d layers, %.1f -> %.1f layer-seconds missing",
			before.loaded, after.loaded, before.missing, after.missing)
	}
}
