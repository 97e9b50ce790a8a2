package pipeline

import (
	"fmt"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// phase is what a session waits for.
type phase uint8

const (
	idle phase = iota
	planning
	importing
	streaming
	probing
	asking
	ended
)

// touchedStage is a stage that an attempt may have reached.
type touchedStage struct {
	stage Stage
	// positions is what the stage last reported; -1 when it is unknown.
	positions int
	// cached is the number of prompt positions that the stage's prefix cache got in this session.
	cached int
	// lost is set when the stage did not answer a probe.
	lost bool
	// noTransfer is set when a transfer failed because of the stage.
	noTransfer bool
}

// Session is the state machine of one generation. It is used by one goroutine.
type Session struct {
	request Request
	limits  Limits
	phase   phase
	now     time.Time
	actions []Action

	attempt  int
	accepted []fleet.Token
	chain    []Stage
	plan     recovery
	touched  []*touchedStage
	// excluded lists the stages that failed in this session or refused their assignment.
	excluded []exclusion
	// relaxed is set while the plan may use stages that failed but answer again.
	relaxed bool

	// sent is set once an attempt may have run somewhere.
	sent bool
	// furthest is the highest number of positions that a stage is known to have run.
	furthest int
	// symptom is the time of the first symptom since the last accepted token.
	symptom time.Time
	// failure is why the current attempt failed.
	failure error
	// unexplained counts failures that the reports did not explain.
	unexplained int
	// acceptedBefore is the number of tokens accepted when the attempt began.
	acceptedBefore int
}

// NewSession returns a session that has not begun.
func NewSession(request Request, limits Limits) *Session {
	limits = limits.withDefaults()
	if request.Rank == fleet.Overnight {
		limits.Token = limits.OvernightToken
	}
	return &Session{request: request, limits: limits}
}

// Accepted returns the number of tokens delivered.
func (s *Session) Accepted() int { return len(s.accepted) }

// Step applies an event and returns what must be done; the slice is valid until
// the next Step. Events that do not fit the phase are ignored.
func (s *Session) Step(now time.Time, event Event) []Action {
	s.now = now
	s.actions = s.actions[:0]
	switch e := event.(type) {
	case Begin:
		s.when(idle, s.askPlan)
	case Planned:
		s.when(planning, func() { s.planned(e) })
	case Imported:
		s.when(importing, func() { s.imported(e) })
	case Received:
		s.when(streaming, func() { s.received(e.Event) })
	case Broken:
		s.when(streaming, func() { s.broken(e.Err, e.SilentFor) })
	case Probed:
		s.when(probing, func() { s.probed(e.Reports) })
	case RetryAnswered:
		s.when(asking, func() { s.retryAnswered(e.Allowed) })
	case Abandoned:
		if s.phase != ended {
			s.sent = s.sent || s.phase == streaming
			s.giveUp(s.stated(e.Err))
		}
	}
	return s.actions
}

// when runs step if the session is in the phase.
func (s *Session) when(p phase, step func()) {
	if s.phase == p {
		step()
	}
}

func (s *Session) do(actions ...Action) { s.actions = append(s.actions, actions...) }

// tokens returns the prompt and the accepted tokens.
func (s *Session) tokens() []fleet.Token {
	return slices.Concat(s.request.Prompt, s.accepted)
}

// target is the number of positions before the one that yields the next token.
func (s *Session) target() int { return len(s.request.Prompt) + len(s.accepted) - 1 }

// exclusion is a stage that the session does not plan again.
type exclusion struct {
	id fleet.UpstreamID
	// hard is set when the stage holds other weights or can't be reached. Other
	// stages are used again when there is no chain without them.
	hard bool
}

// exclusions returns the upstreams that the next chain must not contain.
func (s *Session) exclusions() []fleet.UpstreamID {
	var ids []fleet.UpstreamID
	for _, x := range s.excluded {
		if x.hard || !s.relaxed {
			ids = append(ids, x.id)
		}
	}
	return ids
}

// exclude keeps the stages out of later chains.
func (s *Session) exclude(ids []fleet.UpstreamID, hard func(fleet.UpstreamID) bool) {
	for _, id := range ids {
		i := slices.IndexFunc(s.excluded, func(x exclusion) bool { return x.id == id })
		if i < 0 {
			s.excluded = append(s.excluded, exclusion{id: id, hard: hard(id)})
		} else {
			s.excluded[i].hard = s.excluded[i].hard || hard(id)
		}
	}
}

// askPlan asks for the chain of the next attempt.
func (s *Session) askPlan() {
	s.phase = planning
	s.do(AskPlan{Need: Need{
		Request:  s.request,
		Attempt:  s.attempt + 1,
		Tokens:   s.target() + 1,
		Excluded: s.exclusions(),
		Holding:  s.holders(),
	}})
}

// planned takes the chain, or gives up when there is none.
func (s *Session) planned(e Planned) {
	err := e.Err
	if err == nil {
		err = s.checkChain(e.Chain)
	}
	if err != nil {
		s.noPlan(err)
		return
	}
	s.chain = slices.Clone(e.Chain)
	s.chooseAndGo()
}

// noPlan asks again with the stages that failed but answer, or gives up.
func (s *Session) noPlan(err error) {
	strict := len(s.exclusions())
	s.relaxed = true
	if len(s.exclusions()) < strict {
		s.askPlan()
		return
	}
	s.giveUp(s.planError(err))
}

// checkChain states why the chain can't serve the request.
func (s *Session) checkChain(chain []Stage) error {
	next := 0
	for _, stage := range chain {
		if stage.Ref.Layers.First != next || stage.Ref.Layers.Len() <= 0 {
			return fmt.Errorf("%w: layers %s after layer %d", ErrPlan, stage.Ref.Layers, next)
		}
		if slices.Contains(s.exclusions(), stage.Ref.Upstream) {
			return fmt.Errorf("%w: %s is excluded", ErrPlan, stage.Ref.Upstream)
		}
		next = stage.Ref.Layers.End
	}
	if next != s.request.Layers || next == 0 {
		return fmt.Errorf("%w: %d of %d layers", ErrPlan, next, s.request.Layers)
	}
	return nil
}

// chooseAndGo chooses the start position and begins the imports, or the attempt
// where none are needed.
func (s *Session) chooseAndGo() {
	s.plan = choose(s.chain, s.touched, s.target())
	if len(s.plan.transfers) == 0 {
		s.open()
		return
	}
	s.phase = importing
	for i := range s.plan.transfers {
		t := &s.plan.transfers[i]
		t.Source = s.source(*t)
		// A session that ends before the answer frees the KV cache there too.
		s.touch(t.To)
	}
	limit := s.limits.Import
	if s.plan.rebuild > 0 {
		limit = min(limit, s.plan.rebuild)
	}
	s.do(Import{Transfers: s.plan.transfers, Limit: limit})
}

// source returns the order that makes the target of a transfer fetch the KV cache.
func (s *Session) source(t Transfer) upstream.KVSource {
	return upstream.KVSource{
		Upstream:  t.From.Ref.Upstream,
		Address:   t.From.Ref.Address,
		Session:   s.request.Session,
		Attempt:   s.attempt + 1,
		Model:     s.request.Model,
		Version:   s.request.Version,
		Layers:    t.From.Ref.Layers,
		Positions: t.Positions,
	}
}

// imported opens the attempt, or chooses again without the failed transfers.
func (s *Session) imported(e Imported) {
	failed := false
	for i, err := range e.Errs {
		transfer := s.plan.transfers[i]
		if err != nil {
			for _, stage := range failedSides(transfer, err) {
				s.touch(stage).noTransfer = true
			}
			failed = true
			continue
		}
		to := s.touch(transfer.To)
		to.positions = transfer.Positions
	}
	if failed {
		s.chooseAndGo()
		return
	}
	s.open()
}

// open starts the next attempt.
func (s *Session) open() {
	s.phase = streaming
	s.attempt++
	s.acceptedBefore = len(s.accepted)
	refs := make([]upstream.StageRef, len(s.chain))
	for i, stage := range s.chain {
		refs[i] = stage.Ref
		refs[i].Start = s.plan.starts[i]
		s.touch(stage).lost = false
	}
	s.notify(Observation{
		Kind:       AttemptStarted,
		Start:      s.plan.starts[0],
		Recomputed: max(0, min(s.furthest, s.target())-s.plan.starts[0]),
		Imported:   s.plan.moved(),
	})
	s.do(Open{Head: s.chain[0], Request: upstream.GenerateRequest{
		Session:   s.request.Session,
		Attempt:   s.attempt,
		Model:     s.request.Model,
		Version:   s.request.Version,
		Adapter:   s.request.Adapter,
		Chain:     refs,
		Tokens:    s.tokens(),
		PromptLen: len(s.request.Prompt),
		MaxTokens: s.request.MaxTokens,
		Rank:      s.request.Rank,
	}})
}

// touch returns the record of a stage, a new one if no attempt has reached it.
func (s *Session) touch(stage Stage) *touchedStage {
	if t := find(s.touched, stage.Ref); t != nil {
		t.stage = stage
		return t
	}
	t := &touchedStage{stage: stage, positions: -1}
	s.touched = append(s.touched, t)
	return t
}

// received accepts, drops or rejects an event of the stream.
func (s *Session) received(e upstream.TokenEvent) {
	s.sent = true
	switch {
	case e.Session != s.request.Session:
		s.drop(fmt.Errorf("%w: session %s", upstream.ErrMismatch, e.Session))
	case e.Attempt != s.attempt:
		s.drop(fmt.Errorf("%w: attempt %d", upstream.ErrMismatch, e.Attempt))
	case e.Final:
		s.final(e)
	case e.Index < len(s.accepted):
		s.drop(fmt.Errorf("%w: index %d again", upstream.ErrMismatch, e.Index))
	case e.Index > len(s.accepted):
		s.broken(fmt.Errorf("%w: %d instead of %d", ErrGap, e.Index, len(s.accepted)), 0)
	case len(s.accepted) >= s.request.MaxTokens:
		s.broken(fmt.Errorf("%w: token beyond the limit of %d", ErrCount, s.request.MaxTokens), 0)
	case !s.receiptsFit(e.Receipts):
		s.broken(fmt.Errorf("%w: %v", ErrReceipts, e.Receipts), 0)
	default:
		s.accept(e.Token)
	}
}

// receiptsFit reports whether each stage of the chain ran its layers exactly once, in order.
func (s *Session) receiptsFit(receipts []upstream.Receipt) bool {
	return slices.EqualFunc(s.chain, receipts, func(stage Stage, r upstream.Receipt) bool {
		return stage.Ref.Upstream == r.Upstream && stage.Ref.Layers == r.Layers
	})
}

// accept delivers a token.
func (s *Session) accept(token fleet.Token) {
	s.accepted = append(s.accepted, token)
	s.furthest = max(s.furthest, s.target())
	s.do(Deliver{Token: token})
	s.recovered()
}

// recovered reports the end of a failure, if one was open.
func (s *Session) recovered() {
	if s.symptom.IsZero() {
		return
	}
	s.notify(Observation{Kind: Recovered, SinceSymptom: s.now.Sub(s.symptom)})
	s.symptom = time.Time{}
}

// final ends the session when the final event matches the delivered tokens.
func (s *Session) final(e upstream.TokenEvent) {
	short := e.FinishReason == "length" && len(s.accepted) != s.request.MaxTokens
	if e.Index != len(s.accepted) || short {
		s.broken(fmt.Errorf("%w: %d tokens, %s, after %d", ErrCount, e.Index, e.FinishReason, len(s.accepted)), 0)
		return
	}
	s.recovered()
	s.phase = ended
	s.notify(Observation{Kind: SessionEnded})
	s.do(CloseStream{})
	s.release(func(t *touchedStage) bool { return !s.inChain(t.stage.Ref.Upstream) })
	s.do(Finish{Result: Result{Tokens: len(s.accepted), FinishReason: e.FinishReason, Attempts: s.attempt}})
}

// drop reports an event that is not for this place of this attempt.
func (s *Session) drop(err error) {
	s.notify(Observation{Kind: EventDropped, Err: err})
}

// giveUp ends the session without a final event.
func (s *Session) giveUp(err *result.Error) {
	if s.phase == streaming {
		s.do(CloseStream{})
	}
	s.phase = ended
	s.notify(Observation{Kind: SessionEnded, Err: err, Sent: s.sent})
	s.release(func(*touchedStage) bool { return true })
	s.do(Finish{Result: Result{Tokens: len(s.accepted), Attempts: s.attempt}, Err: err})
}

// release frees the session on the touched stages that match.
func (s *Session) release(match func(*touchedStage) bool) {
	var stages []Stage
	for _, t := range s.touched {
		if match(t) {
			stages = append(stages, t.stage)
		}
	}
	if len(stages) > 0 {
		s.do(Release{Stages: stages, Attempt: s.attempt})
	}
}

// inChain reports whether the upstream is in the current chain.
func (s *Session) inChain(id fleet.UpstreamID) bool {
	return slices.ContainsFunc(s.chain, func(stage Stage) bool { return stage.Ref.Upstream == id })
}

// notify completes an observation.
func (s *Session) notify(o Observation) {
	o.At = s.now
	o.Session = s.request.Session
	o.Attempt = s.attempt
	o.Accepted = len(s.accepted)
	for _, stage := range s.chain {
		o.Chain = append(o.Chain, stage.Ref.Upstream)
	}
	s.do(Notify{Observation: o})
}
