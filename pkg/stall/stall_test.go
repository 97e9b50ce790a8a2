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

// world plays runs on chains of engines, one of which ends.
type world struct {
	watch  *stall.Watch
	random *rand.Rand
	runs   []*stall.Run
	next   []time.Time // of the next event of each run
	moved  map[int]time.Time
	// wrong counts sound servers that were blamed.
	wrong  int
	probed map[fleet.UpstreamID]time.Time // unanswered probes
	dead   map[fleet.UpstreamID]bool
	// probes counts those of sound engines.
	probes int
	lost   fleet.UpstreamID
	lostAt time.Time
	dark   bool
	// frozen is a time in which this VM stands still and gets no event and no answer.
	frozenFrom, frozenTo time.Time
}

func (w *world) Dead(id fleet.UpstreamID) bool { return w.dead[id] }

func (w *world) Unanswered(now time.Time, id fleet.UpstreamID, age time.Duration) bool {
	at, probing := w.probed[id]
	return probing && now.Sub(at) >= age
}

// newWorld has runs on chains of 8 of 40 engines with an event each 40 ms; one event in
// 1,500, in 5 of 100 runs of 3 s, comes 100 ms later, behind a prompt.
func newWorld(runs int, gap time.Duration) *world {
	w := &world{
		watch: stall.NewWatch(), random: rand.New(rand.NewPCG(uint64(runs), 5)), moved: map[int]time.Time{},
		probed: map[fleet.UpstreamID]time.Time{}, dead: map[fleet.UpstreamID]bool{},
	}
	for i := range runs {
		r := &stall.Run{Gap: gap, FirstEvent: 60 * time.Millisecond, Last: start}
		for j := range 8 {
			r.Stages = append(r.Stages, fleet.UpstreamID(fmt.Sprint("e", j*5+w.random.IntN(5))))
		}
		w.runs, w.next = append(w.runs, r), append(w.next, start.Add(time.Duration(i)*time.Millisecond))
	}
	return w
}

func (w *world) hit(i int) bool {
	for _, id := range w.runs[i].Stages {
		if id == w.lost {
			return true
		}
	}
	return false
}

func (w *world) frozen(now time.Time) bool {
	return !now.Before(w.frozenFrom) && now.Before(w.frozenTo)
}

func (w *world) play(length time.Duration) {
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		if w.frozen(now) {
			continue
		}
		for i, r := range w.runs {
			for w.next[i].Before(now) {
				at := w.next[i]
				pause := 40 * time.Millisecond
				if w.random.IntN(1500) == 0 {
					pause += 100 * time.Millisecond
				}
				w.next[i] = at.Add(pause)
				if w.frozen(at) || w.hit(i) && !at.Before(w.lostAt) {
					continue
				}
				r.Events++
				r.Last = at
			}
		}
		w.watch.Observe(w.runs)
		for i, r := range w.runs {
			if _, gone := w.moved[i]; gone {
				continue
			}
			if blamed, stalled := w.watch.Stalled(now, r, w); stalled {
				if blamed != "" && blamed != w.lost {
					w.wrong++
				}
				w.moved[i] = now
				continue
			}
			for _, id := range w.watch.Suspects(now, r) {
				w.probe(now, id)
			}
		}
	}
}

// probe answers at once for a sound engine, refuses for one that ended, and stays open
// for a dark one.
func (w *world) probe(now time.Time, id fleet.UpstreamID) {
	switch {
	case id != w.lost || now.Before(w.lostAt):
		w.probes++
	case w.dark:
		if _, open := w.probed[id]; !open {
			w.probed[id] = now
		}
	default:
		w.dead[id] = true
	}
}

// TestRunsLeaveALostEngineInTime: load pattern of a crash of a busy engine in calm load:
// pauses over 200 to 300 ms are late, and a new run needs some 60 ms. Only the runs
// through the engine move, and probes of sound engines stay few.
func TestRunsLeaveALostEngineInTime(t *testing.T) {
	for _, dark := range []bool{false, true} {
		for _, gap := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond} {
			for _, runs := range []int{6, 60} {
				t.Run(fmt.Sprintf("dark %v, gap %v, %d runs", dark, gap, runs), func(t *testing.T) {
					is := is.New(t)
					w := newWorld(runs, gap)
					w.lost, w.lostAt, w.dark = w.runs[0].Stages[3], start.Add(5*time.Second), dark
					w.play(8 * time.Second)
					limit := gap*55/100 + 40*time.Millisecond + 2*tick
					if dark {
						limit += stall.Unanswered + tick
					}
					for i := range w.runs {
						at, moved := w.moved[i]
						is.Equal(moved, w.hit(i))
						if moved {
							is.True(at.Sub(w.lostAt) <= limit)
						}
					}
					is.Equal(w.wrong, 0)
					// Runs of 2 to 3 s, 8 engines each: a tenth of a probe for each run.
					is.True(float64(w.probes) <= 0.1*float64(runs)*8/2.5*8)
				})
			}
		}
	}
}

// TestOwnPauseMovesNothing: a VM that stood still for up to a second finds all its runs
// silent and its probes unanswered; neither says anything of the engines.
func TestOwnPauseMovesNothing(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second} {
		w := newWorld(30, 200*time.Millisecond)
		w.frozenFrom = start.Add(3 * time.Second)
		w.frozenTo = w.frozenFrom.Add(pause)
		for j := range 40 { // probes that were sent before the pause
			w.probed[fleet.UpstreamID(fmt.Sprint("e", j))] = w.frozenFrom
		}
		w.play(w.frozenTo.Add(tick).Sub(start))
		is.Equal(len(w.moved), 0)
	}
}

// TestLongPausesOfARouteWithoutOne: a slow but sound stream with an event each 1.4 s goes
// on, one that stands still for longer is given up.
func TestLongPausesOfARouteWithoutOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 0)
	r := w.runs[0]
	for i := range 10 {
		r.Last, r.Events = start.Add(time.Duration(i)*1400*time.Millisecond), int64(i+1)
		w.watch.Observe(w.runs)
		_, stalled := w.watch.Stalled(r.Last.Add(1390*time.Millisecond), r, w)
		is.True(!stalled)
	}
	blamed, stalled := w.watch.Stalled(r.Last.Add(stall.Move+1), r, w)
	is.True(stalled)
	is.Equal(blamed, fleet.UpstreamID("")) // no server is found
}
