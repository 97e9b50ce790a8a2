package bench

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// Targets for urgent requests in seconds: time to the first token, and mean time between
// tokens.
const (
	targetFirstToken = 1.4
	targetTokenGap   = 0.061
)

// immediateRefusal is the longest time until a refusal that counts as immediate.
const immediateRefusal = 100 * time.Millisecond

// The measured windows of a run.
const (
	during = iota // the event and, if the scenario has one, the second flood
	after
	windowCount
)

// window holds the measurements of one window. Requests count by the time of their
// arrival, produced cost by the time of its production, and onTargetCost by the time of
// completion.
type window struct {
	from, to                           float64
	firstTokenMicros                   [fleet.RankCount]*hdrhistogram.Histogram // microseconds to the first token
	tokenGapMicros                     [fleet.RankCount]*hdrhistogram.Histogram // microseconds between tokens
	offered                            [fleet.RankCount]float64                 // cost
	produced                           [fleet.RankCount]float64                 // cost
	onTargetCost                       float64                                  // cost of requests that met their targets
	urgentByTeam                       []tally                                  // urgent requests by team
	servedByTeam                       []float64                                // urgent cost on target by team
	immediateRefusals, delayedRefusals int                                      // refused within immediateRefusal, and later
	longestRefusal                     float64                                  // seconds until a refusal
	perSecond                          []tally                                  // urgent requests by second of arrival
}

// tally counts urgent requests and those that met the targets.
type tally struct{ offered, onTarget int }

// metrics holds the measurements of one run.
type metrics struct {
	windows        [windowCount]window
	bound          [windowCount]float64     // capacity bound without the engines lost in the window
	accepted       int                      // overnight requests accepted
	finishedByDawn int                      // overnight requests finished
	unfinished     map[fleet.RequestID]bool // overnight requests accepted and not finished
	sentAfterLoss  int                      // requests sent to an engine that had been down for over 1 s
	failedCount    int                      // requests that failed after they were accepted
}

func newMetrics(s *sim) *metrics {
	m := &metrics{unfinished: make(map[fleet.RequestID]bool)}
	end := eventEnd
	if s.scenario.aftermathFactor != rankFactors(1, 1, 1) {
		end += 120
	}
	m.windows[during] = newWindow(eventStart, end, len(s.teams))
	m.windows[after] = newWindow(end, runEnd, len(s.teams))
	m.bound[after] = s.capacity
	d := s.deployment
	d.engines = append([]engine(nil), s.engines...)
	if s.scenario.lostEngines != nil {
		for _, i := range s.scenario.lostEngines(&s.deployment) {
			d.engines[i].down = true
		}
	}
	m.bound[during] = d.capacityBound()
	return m
}

func newWindow(from, to float64, teams int) window {
	w := window{from: from, to: to, urgentByTeam: make([]tally, teams), servedByTeam: make([]float64, teams), perSecond: make([]tally, int(to-from)+1)}
	for r := range w.firstTokenMicros {
		w.firstTokenMicros[r] = hdrhistogram.New(1, 1e9, 3)
		w.tokenGapMicros[r] = hdrhistogram.New(1, 1e8, 3)
	}
	return w
}

// windowAt returns the window that contains a time, or nil.
func (m *metrics) windowAt(t float64) *window {
	for i := range m.windows {
		if w := &m.windows[i]; t >= w.from && t < w.to {
			return w
		}
	}
	return nil
}

// recordOffered records the arrival of a request. Overnight requests count as accepted
// until recordRefused or recordFailed removes them.
func (m *metrics) recordOffered(j *job) {
	if j.rank == fleet.Overnight {
		m.accepted++
		m.unfinished[j.id] = true
	}
	w := m.windowAt(j.arrived)
	if w == nil {
		return
	}
	if j.resends == 0 { // a resent request is not additional demand
		w.offered[j.rank] += cost(j.prompt, float64(j.output))
	}
	if j.rank == fleet.Urgent {
		w.urgentByTeam[j.team].offered++
		w.perSecond[int(j.arrived-w.from)].offered++
	}
}

// recordRefused records a refusal. An overnight request counts as not accepted only if it
// was refused without a wait.
func (m *metrics) recordRefused(j *job, a admission.Action) {
	if j.rank == fleet.Overnight && a.Waited == 0 {
		m.accepted--
		delete(m.unfinished, j.id)
	}
	if w := m.windowAt(j.arrived); w != nil {
		if a.Waited > immediateRefusal {
			w.delayedRefusals++
		} else {
			w.immediateRefusals++
		}
		w.longestRefusal = max(w.longestRefusal, a.Waited.Seconds())
	}
}

func (m *metrics) recordStarted(*job) {}

// recordFailed records a request that ended without a complete answer. An overnight request
// that its caller sends again counts only once, with its last try.
func (m *metrics) recordFailed(j *job) {
	m.failedCount++
	if j.rank == fleet.Overnight {
		m.accepted--
		delete(m.unfinished, j.id)
	}
}

// recordSentToLost counts a request sent to engine i more than 1 s after its loss.
func (m *metrics) recordSentToLost(s *sim, i int) {
	if s.now > s.engines[i].downAt+1 {
		m.sentAfterLoss++
	}
}

func (m *metrics) recordFirstToken(j *job) {
	if w := m.windowAt(j.arrived); w != nil {
		_ = w.firstTokenMicros[j.rank].RecordValue(int64(min((j.firstTokenAt-j.arrived)*1e6, 9e8)))
	}
}

func (m *metrics) recordTokens(j *job, gap float64, n int) {
	if w := m.windowAt(j.arrived); w != nil {
		_ = w.tokenGapMicros[j.rank].RecordValues(int64(min(gap*1e6, 9e7)), int64(n))
	}
}

// recordProduced records the cost of tokens at the time of their production. The first
// tokens of a request include the cost of the prompt.
func (m *metrics) recordProduced(s *sim, j *job, tokens int) {
	w := m.windowAt(s.now)
	if w == nil {
		return
	}
	c := float64(tokens)
	if j.tokensDone == tokens {
		c += cost(j.prompt, 0)
	}
	w.produced[j.rank] += c
}

// recordFinished records a complete request. An urgent one is on target if both the time to
// its first token and its mean time between tokens are.
func (m *metrics) recordFinished(j *job, now float64) {
	if j.rank == fleet.Overnight {
		delete(m.unfinished, j.id)
		m.finishedByDawn++
	}
	c := cost(j.prompt, float64(j.output))
	onTarget := j.rank != fleet.Urgent ||
		j.firstTokenAt-j.arrived <= targetFirstToken && (now-j.firstTokenAt)/math.Max(1, float64(j.output-1)) <= targetTokenGap
	if !onTarget {
		return
	}
	if w := m.windowAt(now); w != nil {
		w.onTargetCost += c
	}
	w := m.windowAt(j.arrived)
	if w == nil || j.rank != fleet.Urgent {
		return
	}
	w.urgentByTeam[j.team].onTarget++
	w.servedByTeam[j.team] += c
	w.perSecond[int(j.arrived-w.from)].onTarget++
}

// p95 returns the 95th percentile in seconds.
func p95(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(95)) / 1e6 }

// shareServed returns the cost that a rank produced as a fraction of its guaranteed share,
// or of its offered load if that is less.
func (m *metrics) shareServed(i int, r fleet.Rank, share float64) float64 {
	w := &m.windows[i]
	return w.produced[r] / math.Min(w.offered[r], share*m.bound[i]*(w.to-w.from))
}

// throughput returns the produced cost as a fraction of the bound.
func (m *metrics) throughput(i int) float64 {
	w := &m.windows[i]
	sum := 0.0
	for _, c := range w.produced {
		sum += c
	}
	return sum / (m.bound[i] * (w.to - w.from))
}

// goodput returns the cost of requests that met their targets as a fraction of the
// bound.
func (m *metrics) goodput(i int) float64 {
	w := &m.windows[i]
	return w.onTargetCost / (m.bound[i] * (w.to - w.from))
}

// worstSmall returns the fraction of urgent requests that met the targets, for the small
// team where it is lowest.
func (m *metrics) worstSmall(i int, teams []teamSpec) float64 {
	worst := 1.0
	for t, spec := range teams {
		if u := m.windows[i].urgentByTeam[t]; !spec.large && u.offered > 0 {
			worst = min(worst, float64(u.onTarget)/float64(u.offered))
		}
	}
	return worst
}

// fairness returns the ratio of the least urgent service of a small team to the most of a
// large team, both divided by the team's weight.
func (m *metrics) fairness(i int, teams []teamSpec) float64 {
	small, large := math.Inf(1), 0.0
	for t, spec := range teams {
		served := m.windows[i].servedByTeam[t] / spec.weight
		if spec.large {
			large = max(large, served)
		} else {
			small = min(small, served)
		}
	}
	return small / large
}

// recoverySeconds is the number of consecutive seconds in which the urgent service must
// meet its targets to count as recovered.
const recoverySeconds = 5

// recovery returns the seconds from the start of a window until at least 95% of the
// urgent requests of the following recoverySeconds met the targets, or infinity.
func (m *metrics) recovery(i int) float64 {
	bins := m.windows[i].perSecond
	for t := 0; t+recoverySeconds < len(bins); t++ {
		offered, good := 0, 0
		for _, b := range bins[t : t+recoverySeconds] {
			offered += b.offered
			good += b.onTarget
		}
		if float64(good) >= 0.95*float64(offered) {
			return float64(t)
		}
	}
	return math.Inf(1)
}

// dawnRate returns the fraction of the accepted overnight requests that finished by dawn.
func (m *metrics) dawnRate() float64 {
	if m.accepted == 0 {
		return 1
	}
	return float64(m.finishedByDawn) / float64(m.accepted)
}
