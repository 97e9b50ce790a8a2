package stall_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/stall"
)

const tick = 50 * time.Millisecond

var start = time.Unix(1e9, 0)

// simulation simulates runs on chains of engines, one of which fails.
type simulation struct {
	detector   *stall.Detector
	random     *rand.Rand
	runs       []*stall.Run
	nextEvent  []time.Time // by run
	migratedAt map[int]time.Time
	// wrongBlames counts the stalls blamed on healthy servers.
	wrongBlames int
	unanswered  map[fleet.UpstreamID]time.Time // start of each unanswered probe
	dead        map[fleet.UpstreamID]bool
	// healthyProbes counts the probes of healthy engines.
	healthyProbes int
	lostEngine    fleet.UpstreamID
	lostAt        time.Time
	// unresponsive is set if the lost engine does not answer probes; otherwise it refuses them.
	unresponsive bool
	// From frozenFrom to frozenTo this VM is paused and gets no events and no answers.
	frozenFrom, frozenTo time.Time
}

func (w *simulation) Dead(id fleet.UpstreamID) bool { return w.dead[id] }

func (w *simulation) Unanswered(now time.Time, id fleet.UpstreamID, age time.Duration) bool {
	at, probing := w.unanswered[id]
	return probing && now.Sub(at) >= age
}

// newSimulation returns a simulation of runs on chains of 8 out of 40 engines with an event
// every 40 ms. One event in 1,500 comes 100 ms late, because it waits for the prefill of a
// prompt; that hits 5% of the runs of 3 s.
func newSimulation(runs int, gap time.Duration) *simulation {
	w := &simulation{
		detector: stall.NewDetector(), random: rand.New(rand.NewPCG(uint64(runs), 5)), migratedAt: map[int]time.Time{},
		unanswered: map[fleet.UpstreamID]time.Time{}, dead: map[fleet.UpstreamID]bool{},
	}
	for i := range runs {
		r := &stall.Run{GapObjective: gap, ExpectedFirstEvent: 60 * time.Millisecond, LastEvent: start}
		for j := range 8 {
			r.Stages = append(r.Stages, fleet.UpstreamID(fmt.Sprint("e", j*5+w.random.IntN(5))))
		}
		w.runs, w.nextEvent = append(w.runs, r), append(w.nextEvent, start.Add(time.Duration(i)*time.Millisecond))
	}
	return w
}

func (w *simulation) usesLostEngine(i int) bool {
	for _, id := range w.runs[i].Stages {
		if id == w.lostEngine {
			return true
		}
	}
	return false
}

func (w *simulation) isFrozen(now time.Time) bool {
	return !now.Before(w.frozenFrom) && now.Before(w.frozenTo)
}

func (w *simulation) play(length time.Duration) {
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		if w.isFrozen(now) {
			continue
		}
		for i, r := range w.runs {
			for w.nextEvent[i].Before(now) {
				at := w.nextEvent[i]
				pause := 40 * time.Millisecond
				if w.random.IntN(1500) == 0 {
					pause += 100 * time.Millisecond
				}
				w.nextEvent[i] = at.Add(pause)
				if w.isFrozen(at) || w.usesLostEngine(i) && !at.Before(w.lostAt) {
					continue
				}
				r.Events++
				r.LastEvent = at
			}
		}
		w.detector.Observe(w.runs)
		for i, r := range w.runs {
			if _, migrated := w.migratedAt[i]; migrated {
				continue
			}
			if blamed, stalled := w.detector.Stalled(now, r, w); stalled {
				if blamed != "" && blamed != w.lostEngine {
					w.wrongBlames++
				}
				w.migratedAt[i] = now
				continue
			}
			for _, id := range w.detector.Suspects(now, r) {
				w.probe(now, id)
			}
		}
	}
}

// probe simulates a probe: a healthy engine answers at once, a lost engine refuses it or,
// if unresponsive, leaves it unanswered.
func (w *simulation) probe(now time.Time, id fleet.UpstreamID) {
	switch {
	case id != w.lostEngine || now.Before(w.lostAt):
		w.healthyProbes++
	case w.unresponsive:
		if _, open := w.unanswered[id]; !open {
			w.unanswered[id] = now
		}
	default:
		w.dead[id] = true
	}
}

// TestRunsMigrateFromLostEngineInTime guards against late detection of a crashed engine under
// calm load: pauses over 200 to 300 ms are late, and a new run needs some 60 ms to its first
// event. It also guards against migrations of other runs and against many probes of healthy
// engines.
func TestRunsMigrateFromLostEngineInTime(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		for _, gap := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond} {
			for _, runs := range []int{6, 60} {
				t.Run(fmt.Sprintf("dark %v, gap %v, %d runs", unresponsive, gap, runs), func(t *testing.T) {
					is := is.New(t)
					w := newSimulation(runs, gap)
					w.lostEngine, w.lostAt, w.unresponsive = w.runs[0].Stages[3], start.Add(5*time.Second), unresponsive
					w.play(8 * time.Second)
					limit := gap*55/100 + 40*time.Millisecond + 2*tick
					if unresponsive {
						limit += stall.ProbeTimeout + tick
					}
					for i := range w.runs {
						at, migrated := w.migratedAt[i]
						is.Equal(migrated, w.usesLostEngine(i))
						if migrated {
							is.True(at.Sub(w.lostAt) <= limit)
						}
					}
					is.Equal(w.wrongBlames, 0)
					// At most a tenth of a probe per run and engine, for runs of 2.5 s
					// on 8 engines each during 8 s.
					is.True(float64(w.healthyProbes) <= 0.1*float64(runs)*8/2.5*8)
				})
			}
		}
	}
}

// TestOwnPauseMigratesNothing guards against migrations after a pause of this VM's own
// process: all its runs seem to have had no events and its probes no answers, though the
// engines work.
func TestOwnPauseMigratesNothing(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second} {
		w := newSimulation(30, 200*time.Millisecond)
		w.frozenFrom = start.Add(3 * time.Second)
		w.frozenTo = w.frozenFrom.Add(pause)
		for j := range 40 { // probes sent just before the pause
			w.unanswered[fleet.UpstreamID(fmt.Sprint("e", j))] = w.frozenFrom
		}
		w.play(w.frozenTo.Add(tick).Sub(start))
		is.Equal(len(w.migratedAt), 0)
	}
}

// TestLongPausesWithoutGapObjective guards against the migration of a slow but healthy stream
// with an event every 1.4 s on a route without a gap objective. A run without an event for
// longer than MaxStall must be migrated.
func TestLongPausesWithoutGapObjective(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 0)
	r := w.runs[0]
	for i := range 10 {
		r.LastEvent, r.Events = start.Add(time.Duration(i)*1400*time.Millisecond), int64(i+1)
		w.detector.Observe(w.runs)
		_, stalled := w.detector.Stalled(r.LastEvent.Add(1390*time.Millisecond), r, w)
		is.True(!stalled)
	}
	blamed, stalled := w.detector.Stalled(r.LastEvent.Add(stall.MaxStall+1), r, w)
	is.True(stalled)
	is.Equal(blamed, fleet.UpstreamID("")) // the cause is unknown
}
