package bench

import "github.com/cornelline/cornelline/pkg/fleet"

// The timeline of every run in virtual seconds: warm-up, event, and the time
// after it. The hour after an event is scaled to ten minutes, sixty times the
// longest wait that the policies allow to urgent work.
const (
	eventAt  = 60.0
	eventEnd = 180.0
	runEnd   = 780.0
	dawn     = 900.0
)

// scenario is a load and a fault.
type scenario struct {
	name string
	// load is the offered load by rank as a fraction of the bound.
	load [fleet.RankCount]float64
	// flood multiplies a rank's load during the event.
	flood [fleet.RankCount]float64
	// second multiplies a rank's load during the 120 s after the event.
	second [fleet.RankCount]float64
	// greedy multiplies the large teams' urgent load during the event.
	greedy float64
	// small multiplies the small teams' urgent load during the event.
	small float64
	// lost lists the engines lost during the event.
	lost func(d *deployment) []int
	// lostVM takes away the first entry VM during the event.
	lostVM bool
	// badLink slows the links between two data centres a hundredfold.
	badLink bool
}

// mix splits a load over the ranks: 45% urgent, 10% lookup, 45% overnight.
func mix(load float64) [fleet.RankCount]float64 {
	return [fleet.RankCount]float64{0.45 * load, 0.10 * load, 0.45 * load}
}

func times(urgent, lookup, overnight float64) [fleet.RankCount]float64 {
	return [fleet.RankCount]float64{urgent, lookup, overnight}
}

func scenarios() []scenario {
	one := times(1, 1, 1)
	s := []scenario{
		{name: "steady 50%", load: mix(0.5)},
		{name: "steady 90%", load: mix(0.9)},
		{name: "steady 100%", load: mix(1.0)},
		{name: "overnight flood 10x", load: mix(0.8), flood: times(1, 1, 10)},
		{name: "urgent flood 10x", load: mix(0.8), flood: times(10, 2, 1)},
		{name: "overnight then urgent flood", load: mix(0.8), flood: times(1, 1, 10), second: times(10, 2, 1)},
		{name: "3 teams at 50x", load: mix(0.8), greedy: 50},
		{name: "3 teams at 50x, all over share", load: mix(0.8), greedy: 50, small: 4},
		{name: "engine lost", load: mix(0.8), lost: func(*deployment) []int { return []int{0} }},
		{name: "third of engines lost", load: mix(0.8), lost: everyThird},
		{name: "data centre lost", load: mix(0.8), lost: dataCentre},
		{name: "entry VM lost", load: mix(0.8), lostVM: true},
		{name: "link 100x slower", load: mix(0.8), badLink: true},
	}
	for i := range s {
		if s[i].flood == times(0, 0, 0) {
			s[i].flood = one
		}
		if s[i].second == times(0, 0, 0) {
			s[i].second = one
		}
		s[i].greedy, s[i].small = max(s[i].greedy, 1), max(s[i].small, 1)
	}
	return s
}

// everyThird returns a third of the engines, of every layer range and data centre.
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

func dataCentre(d *deployment) []int {
	var lost []int
	for i := range d.engines {
		if d.engines[i].dc == 0 {
			lost = append(lost, i)
		}
	}
	return lost
}

// factor returns the multiple of a team's load of a rank at a time.
func (s *scenario) factor(t teamSpec, r fleet.Rank, now float64) float64 {
	f := 1.0
	if now >= eventAt && now < eventEnd {
		f = s.flood[r]
		if r == fleet.Urgent && t.large {
			f *= s.greedy
		} else if r == fleet.Urgent {
			f *= s.small
		}
	} else if now >= eventEnd && now < eventEnd+120 {
		f = s.second[r]
	}
	return f
}
