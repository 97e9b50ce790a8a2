package cost

import (
	"container/list"
	"math"
)

const (
	// MaxGroups bounds the groups of a tracker, each of about 400 bytes.
	MaxGroups = 256
	// memory is the mean age in answers after which an answer no longer counts, so that a group
	// follows a shift of the work.
	memory = 200
	// shrinkage is the number of answers as which the wider group counts.
	shrinkage = 12
	// initialSigma is the standard deviation of the logarithm of the length before any answer.
	initialSigma = 1.0
	// hintSigma is that of answer / hint before any answer: hints are right at the median and
	// often far off.
	hintSigma = 0.7
	// ratioBins is the number of bins of answer / hint; they have the width of those of lengths.
	ratioBins = 31
	// scoreMemory is the mean age in answers of the scores of experts.
	scoreMemory = 50
	// scoreWeight scales the scores. Below 1 it keeps chance from deciding between experts that
	// predict equally well.
	scoreWeight = 0.5
	// leastProbability bounds what one answer that an expert held for impossible costs it.
	leastProbability = 1e-3
)

// Request is what is known of a generation when it arrives.
type Request struct {
	Route, Team string
	// Part is the first shared part of the prompt, empty for none.
	Part string
	// Hint is the caller's estimate of the answer's tokens, 0 for none.
	Hint int
	// Limit is the largest number of tokens of the answer, 0 for none.
	Limit int
}

// group is what was learned from the answers to requests that share something.
type group struct {
	key    string
	length [bins]float32
	ratio  [ratioBins]float32
	// lengths and ratios are the sums of the weights.
	lengths, ratios float32
	// scores belongs to the groups of routes: the decayed sum of the logarithms of the
	// probabilities that each expert gave to the answers, without and with the hint.
	scores, hintScores [experts]float64
}

// The experts are the groups of a request by which its length is estimated.
const (
	byRoute = iota
	byTeam
	byPart
	experts
)

// Tracker learns the lengths of the answers of one service. It is not safe for concurrent use.
type Tracker struct {
	initial Distribution
	mean    float64
	service group
	groups  map[string]*list.Element // of *group
	// recent holds the groups, the one used last first.
	recent *list.List
	ratio  [ratioBins]float64 // distribution of answer / hint before any answer
	errors Errors
}

// Errors counts how estimates compare with answers.
type Errors struct {
	// Answers is the number of answers; Inside is the number of those between the 10% and the
	// 90% quantile, Above that of those longer than the 75% quantile.
	Answers, Inside, Above uint64
}

// NewTracker returns a tracker for a service whose answers have the given mean length.
func NewTracker(mean float64) *Tracker {
	t := &Tracker{groups: make(map[string]*list.Element), recent: list.New()}
	t.SetMean(mean)
	sum := 0.0
	for i := range t.ratio {
		x := ratioLog(i) / hintSigma
		t.ratio[i] = math.Exp(-x * x / 2)
		sum += t.ratio[i]
	}
	for i := range t.ratio {
		t.ratio[i] /= sum
	}
	return t
}

// SetMean sets the mean length that is assumed before any answer.
func (t *Tracker) SetMean(mean float64) {
	if mean != t.mean {
		t.mean, t.initial = mean, logNormal(mean, initialSigma)
	}
}

// Sources returns the number of answers from which the groups of a request were learned, by name of
// the group.
func (t *Tracker) Sources(r Request) map[string]int {
	sources := map[string]int{"service": int(t.service.lengths + 0.5)}
	for e, key := range r.keys() {
		if g := t.find(key); key != "" && g != nil {
			sources[[experts]string{"route", "team", "part"}[e]] = int(g.lengths + 0.5)
		}
	}
	return sources
}

// Errors returns how the estimates compared with the answers so far.
func (t *Tracker) Errors() Errors { return t.errors }

// ratioLog returns the natural logarithm of answer / hint in the middle of a bin.
func ratioLog(bin int) float64 {
	return float64(bin-ratioBins/2) * math.Ln2 / binsPerDoubling
}

// ratioBin returns the bin of answer / hint.
func ratioBin(answer, hint float64) int {
	bin := math.Round(binsPerDoubling*math.Log2(answer/hint)) + ratioBins/2
	return int(min(max(bin, 0), ratioBins-1))
}

// keys returns the keys of the groups of a request; empty for a group that it does not have.
func (r *Request) keys() (keys [experts]string) {
	keys[byRoute] = "r\x00" + r.Route
	if r.Team != "" {
		keys[byTeam] = "t\x00" + r.Route + "\x00" + r.Team
	}
	if r.Part != "" {
		keys[byPart] = "p\x00" + r.Route + "\x00" + r.Part
	}
	return keys
}

// find returns a group, or nil if nothing was learned for the key.
func (t *Tracker) find(key string) *group {
	if e := t.groups[key]; e != nil {
		return e.Value.(*group)
	}
	return nil
}

// prediction is what the experts expect of a request.
type prediction struct {
	// without and with are the distributions by expert, without and with the hint.
	without, with [experts]Distribution
	known         [experts]bool
	hinted        bool
}

// predict returns what each expert expects.
func (t *Tracker) predict(r *Request) (p prediction) {
	keys := r.keys()
	p.hinted = r.Hint > 0
	service := shrunk(&t.service, &t.initial)
	route := service
	ratio := t.ratio
	blendRatio(&ratio, &t.service)
	if g := t.find(keys[byRoute]); g != nil {
		route = shrunk(g, &service)
		blendRatio(&ratio, g)
	}
	for e := range experts {
		d, own := route, ratio
		if e != byRoute {
			g := t.find(keys[e])
			if g == nil {
				continue
			}
			d = shrunk(g, &route)
			blendRatio(&own, g)
		}
		p.known[e], p.without[e] = true, d
		if p.hinted {
			p.with[e] = given(&d, &own, float64(r.Hint))
		}
	}
	return p
}

// shrunk returns the distribution of a group, in which the wider one counts as shrinkage answers.
func shrunk(g *group, wider *Distribution) (d Distribution) {
	total := float64(g.lengths) + shrinkage
	for i := range d.weight {
		d.weight[i] = (float64(g.length[i]) + shrinkage*wider.weight[i]) / total
	}
	return d
}

// blendRatio does the same for the distribution of answer / hint, in place.
func blendRatio(ratio *[ratioBins]float64, g *group) {
	total := float64(g.ratios) + shrinkage
	for i := range ratio {
		ratio[i] = (float64(g.ratio[i]) + shrinkage*ratio[i]) / total
	}
}

// given returns the distribution d of a request with a hint, by the rule of Bayes.
func given(d *Distribution, ratio *[ratioBins]float64, hint float64) Distribution {
	with := *d
	for i := range with.weight {
		with.weight[i] *= ratio[ratioBin(lower(i)*math.Exp2(0.5/binsPerDoubling), hint)]
	}
	if !with.normalize() {
		return *d
	}
	return with
}

// Estimate returns the distribution of the length of an answer.
func (t *Tracker) Estimate(r Request) Distribution {
	p := t.predict(&r)
	return t.mix(&r, &p)
}

// mix returns the mixture of what the experts expect, weighted by their scores.
func (t *Tracker) mix(r *Request, p *prediction) (d Distribution) {
	var scores, hintScores [experts]float64
	if g := t.find("r\x00" + r.Route); g != nil {
		scores, hintScores = g.scores, g.hintScores
	}
	best := math.Inf(-1)
	for e := range experts {
		if p.known[e] {
			best = max(best, scores[e])
			if p.hinted {
				best = max(best, hintScores[e])
			}
		}
	}
	add := func(from *Distribution, score float64) {
		weight := math.Exp(scoreWeight * (score - best))
		for i := range d.weight {
			d.weight[i] += weight * from.weight[i]
		}
	}
	for e := range experts {
		if !p.known[e] {
			continue
		}
		if p.hinted {
			add(&p.with[e], hintScores[e])
		}
		if !p.hinted || t.hintsMeasured(r) {
			add(&p.without[e], scores[e])
		}
	}
	d.normalize()
	d.limit = float64(r.Limit)
	return d
}

// hintsMeasured reports whether the hints of a route were compared with answers. Before that a
// hint is believed as far as hintSigma says.
func (t *Tracker) hintsMeasured(r *Request) bool {
	g := t.find("r\x00" + r.Route)
	return g != nil && g.ratios > 0
}

// Observe learns from a complete answer.
func (t *Tracker) Observe(r Request, tokens int) {
	p := t.predict(&r)
	t.recordError(t.mix(&r, &p), tokens)
	keys := r.keys()
	t.service.add(&r, tokens)
	for e, key := range keys {
		if key == "" {
			continue
		}
		g := t.use(key)
		if e == byRoute {
			g.score(&p, binOf(float64(tokens)))
		}
		g.add(&r, tokens)
	}
}

func (t *Tracker) recordError(d Distribution, tokens int) {
	n := float64(tokens)
	t.errors.Answers++
	if n >= d.Quantile(0.1) && n <= d.Quantile(0.9) {
		t.errors.Inside++
	}
	if n > d.Quantile(0.75) {
		t.errors.Above++
	}
}

// use returns a group as the one used last. It creates the group if necessary and evicts the one
// that was not used for longest.
func (t *Tracker) use(key string) *group {
	if e := t.groups[key]; e != nil {
		t.recent.MoveToFront(e)
		return e.Value.(*group)
	}
	if t.recent.Len() >= MaxGroups {
		oldest := t.recent.Back()
		delete(t.groups, oldest.Value.(*group).key)
		t.recent.Remove(oldest)
	}
	g := &group{key: key}
	t.groups[key] = t.recent.PushFront(g)
	return g
}

// score updates the scores of the experts by the probabilities that they gave to a bin. An expert
// without a group for the request gets the score of the route, so that its weight stays.
func (g *group) score(p *prediction, bin int) {
	const keep = 1 - 1.0/scoreMemory
	for e := range experts {
		known := e
		if !p.known[e] {
			known = byRoute
		}
		without := math.Log(max(p.without[known].weight[bin], leastProbability))
		with := without // without a hint only the comparison of the groups changes
		if p.hinted {
			with = math.Log(max(p.with[known].weight[bin], leastProbability))
		}
		g.scores[e] = keep*g.scores[e] + without
		g.hintScores[e] = keep*g.hintScores[e] + with
	}
}

// add records a length. A part of its weight goes to the neighbouring bins, because a few answers
// do not show that lengths between them are impossible.
func (g *group) add(r *Request, tokens int) {
	const keep = 1 - 1.0/memory
	spread(g.length[:], binOf(float64(tokens)), keep)
	g.lengths = g.lengths*keep + 1
	if r.Hint > 0 {
		spread(g.ratio[:], ratioBin(max(float64(tokens), 1), float64(r.Hint)), keep)
		g.ratios = g.ratios*keep + 1
	}
}

func spread(weights []float32, bin int, keep float32) {
	const side = 0.1
	for i := range weights {
		weights[i] *= keep
	}
	weights[max(bin-1, 0)] += side
	weights[min(bin+1, len(weights)-1)] += side
	weights[bin] += 1 - 2*side
}

// Groups returns the number of groups.
func (t *Tracker) Groups() int { return t.recent.Len() }
