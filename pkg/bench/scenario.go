package bench

import "github.com/cornelline/cornelline/pkg/fleet"

// The timeline of every run in virtual seconds: warm-up, event, and the time after it.
// The hour after an event is scaled to ten minutes, sixty times the longest wait that
// the policies allow for urgent work.
const (
	eventStart = 60.0
	eventEnd   = 180.0
	runEnd     = 780.0 // no requests arrive after it
	dawn       = 900.0 // deadline of overnight requests
)

// scenario describes the offered load of a run and the fault during its event.
type scenario struct {
	name string
	// load is the offered load of each rank as a fraction of the capacity bound.
	load [fleet.RankCount]float64
	// eventFactor is the factor of each rank's load during the event.
	eventFactor [fleet.RankCount]float64
	// aftermathFactor is the factor of each rank's load during the 120 s after the event.
	aftermathFactor [fleet.RankCount]float64
	// largeTeamFactor is the factor of the large teams' urgent load during the event.
	largeTeamFactor float64
	// smallTeamFactor is the factor of the small teams' urgent load during the event.
	smallTeamFactor float64
	// lostEngines returns the indices of the engines that are down during the event.
	lostEngines func(d *deployment) []int
	// lostVM is true if the first entry VM is down during the event.
	lostVM bool
	// slowLink is true if the links between the data centres 0 and 1 are 100 times slower
	// during the event.
	slowLink bool
}

// rankMix divides a load among the ranks: 45% urgent, 10% lookup, 45% overnight.
func rankMix(load float64) [fleet.RankCount]float64 {
	return [fleet.RankCount]float64{0.45 * load, 0.10 * load, 0.45 * load}
}

func rankFactors(urgent, lookup, overnight float64) [fleet.RankCount]float64 {
	return [fleet.RankCount]float64{urgent, lookup, overnight}
}

func scenarios() []scenario {
	one := rankFactors(1, 1, 1)
	s := []scenario{
		{name: "steady 50%", load: rankMix(0.5)},
		{name: "steady 90%", load: rankMix(0.9)},
		{name: "steady 100%", load: rankMix(1.0)},
		{name: "overnight flood 10x", load: rankMix(0.8), eventFactor: rankFactors(1, 1, 10)},
		{name: "urgent flood 10x", load: rankMix(0.8), eventFactor: rankFactors(10, 2, 1)},
		{name: "overnight then urgent flood", load: rankMix(0.8), eventFactor: rankFactors(1, 1, 10), aftermathFactor: rankFactors(10, 2, 1)},
		{name: "3 teams at 50x", load: rankMix(0.8), largeTeamFactor: 50},
		{name: "3 teams at 50x, all over share", load: rankMix(0.8), largeTeamFactor: 50, smallTeamFactor: 4},
		{name: "engine lost", load: rankMix(0.8), lostEngines: func(*deployment) []int { return []int{0} }},
		{name: "third of engines lost", load: rankMix(0.8), lostEngines: everyThird},
		{name: "data centre lost", load: rankMix(0.8), lostEngines: firstDataCentre},
		{name: "entry VM lost", load: rankMix(0.8), lostVM: true},
		{name: "link 100x slower", load: rankMix(0.8), slowLink: true},
	}
	for i := range s {
		if s[i].eventFactor == rankFactors(0, 0, 0) {
			s[i].eventFactor = one
		}
		if s[i].aftermathFactor == rankFactors(0, 0, 0) {
			s[i].aftermathFactor = one
		}
		s[i].largeTeamFactor, s[i].smallTeamFactor = max(s[i].largeTeamFactor, 1), max(s[i].smallTeamFactor, 1)
	}
	return s
}

// everyThird returns every third engine of each layer range.
func everyThird(d *deployment) []int {
	var lost []int
	seen := make(map[fleet.LayerRange]int)
	for i := range d.engines {
		if seen[d.engines[i].layers]++; seen[d.engines[i].layers]%3 == 0 {
			lost = append(lost, i)
		}
	}
	return lost
}

// firstDataCentre returns the engines of data centre 0.
func firstDataCentre(d *deployment) []int {
	var lost []int
	for i := range d.engines {
		if d.engines[i].dc == 0 {
			lost = append(lost, i)
		}
	}
	return lost
}

// loadFactor returns the load factor of a team's requests of a rank at a given time.
func (s *scenario) loadFactor(t teamSpec, r fleet.Rank, now float64) float64 {
	f := 1.0
	if now >= eventStart && now < eventEnd {
		f = s.eventFactor[r]
		if r == fleet.Urgent && t.large {
			f *= s.largeTeamFactor
		} else if r == fleet.Urgent {
			f *= s.smallTeamFactor
		}
	} else if now >= eventEnd && now < eventEnd+120 {
		f = s.aftermathFactor[r]
	}
	return f
}
