package pipeline

import (
	"fmt"
	"slices"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// phase states which event a session waits for.
type phase uint8

const (
	notStarted phase = iota
	planning
	importing
	streaming
	probing
	awaitingBudget
	ended
)

// trackedStage is the state of a stage that an attempt or a transfer may have reached.
type trackedStage struct {
	stage Stage
	// positions is the number of positions in the stage's KV cache, as last reported
	// or imported. It is -1 if unknown.
	positions int
	// cached is the number of prompt positions that this session added to the stage's
	// prefix cache.
	cached int
	// probeFailed is set if the stage did not answer the last probe.
	probeFailed bool
	// noTransfer is set after a failed transfer for which the stage is a suspect.
	noTransfer bool
}

// Session is the state machine of one generation. It is not safe for concurrent use.
type Session struct {
	request Request
	limits  Limits
	phase   phase
	now     time.Time
	actions []Action

	attempt int
	// plannedEnds counts the attempts that broke off as an upstream ended which had announced it.
	plannedEnds int
	// leaving lists the upstreams that had announced their end when the last attempt failed.
	leaving  []fleet.UpstreamID
	accepted []fleet.Token
	chain    []Stage
	kvPlan   kvPlan
	tracked  []*trackedStage
	// excluded lists the stages that failed in this session or refused their assignment.
	excluded []exclusion
	// reuseFailed is set while the chain may contain stages that failed but answered
	// their probe.
	reuseFailed bool

	// sent is set once a stage may have run an attempt.
	sent bool
	// maxPositions is the highest number of positions that a stage is known to have run.
	maxPositions int
	// symptomAt is the time of the first failure symptom since the last accepted
	// token, zero if there is none.
	symptomAt time.Time
	// failure is the error of the last failed attempt.
	failure error
	// unexplained counts refusals, and failures that neither their error nor the
	// probe reports attributed to a stage.
	unexplained int
	// acceptedAtStart is the number of tokens accepted before the current attempt.
	acceptedAtStart int
}

// NewSession returns a session that starts with the event Begin.
func NewSession(request Request, limits Limits) *Session {
	limits = limits.withDefaults()
	if request.Rank == fleet.Overnight {
		limits.TokenTimeout = limits.OvernightTokenTimeout
	}
	return &Session{request: request, limits: limits}
}

// Accepted returns the number of tokens delivered.
func (s *Session) Accepted() int { return len(s.accepted) }

// Step applies an event and returns the actions to execute. The slice is valid
// until the next call of Step. Events that do not fit the phase are ignored.
func (s *Session) Step(now time.Time, event Event) []Action {
	s.now = now
	s.actions = s.actions[:0]
	switch e := event.(type) {
	case Begin:
		s.inPhase(notStarted, s.askPlan)
	case Planned:
		s.inPhase(planning, func() { s.handlePlanned(e) })
	case Imported:
		s.inPhase(importing, func() { s.handleImported(e) })
	case Received:
		s.inPhase(streaming, func() { s.handleReceived(e.Event) })
	case Broken:
		s.inPhase(streaming, func() { s.handleBroken(e) })
	case Probed:
		s.inPhase(probing, func() { s.handleProbed(e.Reports) })
	case RetryAnswered:
		s.inPhase(awaitingBudget, func() { s.handleRetryAnswered(e.Allowed) })
	case Abandoned:
		if s.phase != ended {
			s.sent = s.sent || s.phase == streaming
			s.giveUp(s.withOutcome(e.Err))
		}
	}
	return s.actions
}

// inPhase calls handle if the session is in phase p.
func (s *Session) inPhase(p phase, handle func()) {
	if s.phase == p {
		handle()
	}
}

func (s *Session) emit(actions ...Action) { s.actions = append(s.actions, actions...) }

// tokens returns the prompt followed by the accepted tokens.
func (s *Session) tokens() []fleet.Token {
	return slices.Concat(s.request.Prompt, s.accepted)
}

// target returns the position that yields the next token. The KV cache must cover
// the positions before it.
func (s *Session) target() int { return len(s.request.Prompt) + len(s.accepted) - 1 }

// exclusion is an upstream that later chains of the session must not contain.
type exclusion struct {
	id fleet.UpstreamID
	// permanent is set if the upstream refused its stage or can't be reached. Other
	// excluded upstreams are used again if there is no chain without them.
	permanent bool
}

// exclusions returns the upstreams that the next chain must not contain.
func (s *Session) exclusions() []fleet.UpstreamID {
	var ids []fleet.UpstreamID
	for _, x := range s.excluded {
		if x.permanent || !s.reuseFailed {
			ids = append(ids, x.id)
		}
	}
	return ids
}

// exclude excludes the upstreams from later chains. An exclusion that is
// permanent stays so.
func (s *Session) exclude(ids []fleet.UpstreamID, isPermanent func(fleet.UpstreamID) bool) {
	for _, id := range ids {
		i := slices.IndexFunc(s.excluded, func(x exclusion) bool { return x.id == id })
		if i < 0 {
			s.excluded = append(s.excluded, exclusion{id: id, permanent: isPermanent(id)})
		} else {
			s.excluded[i].permanent = s.excluded[i].permanent || isPermanent(id)
		}
	}
}

// askPlan asks the planner for the chain of the next attempt.
func (s *Session) askPlan() {
	s.phase = planning
	s.emit(AskPlan{Request: PlanRequest{
		Request:  s.request,
		Attempt:  s.attempt + 1,
		Tokens:   s.target() + 1,
		Excluded: s.exclusions(),
		Holders:  s.holders(),
	}})
}

// handlePlanned prepares an attempt over the planned chain, or handles the lack
// of a valid one.
func (s *Session) handlePlanned(e Planned) {
	err := e.Err
	if err == nil {
		err = s.checkChain(e.Chain)
	}
	if err != nil {
		s.handleNoPlan(err)
		return
	}
	s.chain = slices.Clone(e.Chain)
	s.prepareAttempt()
}

// handleNoPlan asks for a plan again that may use the stages that failed but
// answered their probe. If there are none, the session gives up.
func (s *Session) handleNoPlan(err error) {
	excludedBefore := len(s.exclusions())
	s.reuseFailed = true
	if len(s.exclusions()) < excludedBefore {
		s.askPlan()
		return
	}
	s.giveUp(s.planError(err))
}

// checkChain returns an error if the chain can't serve the request.
func (s *Session) checkChain(chain []Stage) error {
	next := 0
	for _, stage := range chain {
		if stage.Ref.Layers.First != next || stage.Ref.Layers.Len() <= 0 {
			return fmt.Errorf("%w: stage has layers %s, expected a range from layer %d", ErrInvalidChain, stage.Ref.Layers, next)
		}
		if slices.Contains(s.exclusions(), stage.Ref.Upstream) {
			return fmt.Errorf("%w: upstream %s is excluded", ErrInvalidChain, stage.Ref.Upstream)
		}
		next = stage.Ref.Layers.End
	}
	if next != s.request.Layers || next == 0 {
		return fmt.Errorf("%w: it covers %d of %d layers", ErrInvalidChain, next, s.request.Layers)
	}
	return nil
}

// prepareAttempt chooses the KV plan of the next attempt. It starts the transfers
// or, if none are needed, the attempt.
func (s *Session) prepareAttempt() {
	s.kvPlan = chooseKVPlan(s.chain, s.tracked, s.target())
	if len(s.kvPlan.transfers) == 0 {
		s.open()
		return
	}
	s.phase = importing
	for i := range s.kvPlan.transfers {
		t := &s.kvPlan.transfers[i]
		t.Source = s.kvSource(*t)
		// The target is tracked before the transfer ends, so that a session that ends
		// in between frees the KV cache there too.
		s.track(t.To)
	}
	timeout := s.limits.ImportTimeout
	if s.kvPlan.rebuildCost > 0 {
		timeout = min(timeout, s.kvPlan.rebuildCost)
	}
	s.emit(Import{Transfers: s.kvPlan.transfers, Timeout: timeout})
}

// kvSource returns the description of the KV cache that the target of a transfer
// fetches.
func (s *Session) kvSource(t Transfer) upstream.KVSource {
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

// handleImported starts the attempt. After a failed transfer it chooses another
// KV plan that avoids the transfer's suspects.
func (s *Session) handleImported(e Imported) {
	failed := false
	for i, err := range e.Errs {
		transfer := s.kvPlan.transfers[i]
		if err != nil {
			for _, stage := range transferSuspects(transfer, err) {
				s.track(stage).noTransfer = true
			}
			failed = true
			continue
		}
		to := s.track(transfer.To)
		to.positions = transfer.Positions
	}
	if failed {
		s.prepareAttempt()
		return
	}
	s.open()
}

// open starts the next attempt.
func (s *Session) open() {
	s.phase = streaming
	s.attempt++
	s.acceptedAtStart = len(s.accepted)
	refs := make([]upstream.StageRef, len(s.chain))
	for i, stage := range s.chain {
		refs[i] = stage.Ref
		refs[i].Start = s.kvPlan.starts[i]
		s.track(stage).probeFailed = false
	}
	s.notify(Observation{
		Kind:       AttemptStarted,
		Start:      s.kvPlan.starts[0],
		Recomputed: max(0, min(s.maxPositions, s.target())-s.kvPlan.starts[0]),
		Imported:   s.kvPlan.importedPositions(),
	})
	s.emit(Open{Head: s.chain[0], Request: upstream.GenerateRequest{
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

// track returns the state of a stage and starts to track the stage if needed.
func (s *Session) track(stage Stage) *trackedStage {
	if t := findStage(s.tracked, stage.Ref); t != nil {
		t.stage = stage
		return t
	}
	t := &trackedStage{stage: stage, positions: -1}
	s.tracked = append(s.tracked, t)
	return t
}

// handleReceived accepts, drops or rejects an event of the stream.
func (s *Session) handleReceived(e upstream.TokenEvent) {
	s.sent = true
	switch {
	case e.Session != s.request.Session:
		s.drop(fmt.Errorf("%w: event of session %s", upstream.ErrAnswerMismatch, e.Session))
	case e.Attempt != s.attempt:
		s.drop(fmt.Errorf("%w: event of attempt %d", upstream.ErrAnswerMismatch, e.Attempt))
	case e.Final:
		s.handleFinal(e)
	case e.Index < len(s.accepted):
		s.drop(fmt.Errorf("%w: index %d repeated", upstream.ErrAnswerMismatch, e.Index))
	case e.Index > len(s.accepted):
		s.handleBroken(Broken{Err: fmt.Errorf("%w: index %d instead of %d", ErrGap, e.Index, len(s.accepted))})
	case len(s.accepted) >= s.request.MaxTokens:
		s.handleBroken(Broken{Err: fmt.Errorf("%w: token beyond the limit of %d", ErrTokenCount, s.request.MaxTokens)})
	case !s.receiptsFit(e.Receipts):
		s.handleBroken(Broken{Err: fmt.Errorf("%w: receipts %v", ErrReceipts, e.Receipts)})
	default:
		s.accept(e.Token)
	}
}

// receiptsFit reports whether the receipts show that each stage of the chain ran
// its layers exactly once, in order.
func (s *Session) receiptsFit(receipts []upstream.Receipt) bool {
	return slices.EqualFunc(s.chain, receipts, func(stage Stage, r upstream.Receipt) bool {
		return stage.Ref.Upstream == r.Upstream && stage.Ref.Layers == r.Layers
	})
}

// accept records a token, delivers it and ends a pending recovery.
func (s *Session) accept(token fleet.Token) {
	s.accepted = append(s.accepted, token)
	s.maxPositions = max(s.maxPositions, s.target())
	s.emit(Deliver{Token: token})
	s.notifyRecovered()
}

// notifyRecovered reports the end of a recovery, if one is pending.
func (s *Session) notifyRecovered() {
	if s.symptomAt.IsZero() {
		return
	}
	s.notify(Observation{Kind: Recovered, SinceSymptom: s.now.Sub(s.symptomAt)})
	s.symptomAt = time.Time{}
}

// handleFinal ends the session if the final event matches the delivered tokens.
// Otherwise the attempt has failed.
func (s *Session) handleFinal(e upstream.TokenEvent) {
	short := e.FinishReason == "length" && len(s.accepted) != s.request.MaxTokens
	if e.Index != len(s.accepted) || short {
		s.handleBroken(Broken{Err: fmt.Errorf("%w: final event states %d with finish reason %q, %d were accepted", ErrTokenCount, e.Index, e.FinishReason, len(s.accepted))})
		return
	}
	s.notifyRecovered()
	s.phase = ended
	s.notify(Observation{Kind: SessionEnded})
	s.emit(CloseStream{})
	s.release(func(t *trackedStage) bool { return !s.inChain(t.stage.Ref.Upstream) })
	s.emit(Finish{Result: Result{Tokens: len(s.accepted), FinishReason: e.FinishReason, Attempts: s.attempt}})
}

// drop reports an event that does not belong to this point of the attempt. The
// event has no other effect.
func (s *Session) drop(err error) {
	s.notify(Observation{Kind: EventDropped, Err: err})
}

// giveUp ends the session with an error.
func (s *Session) giveUp(err *result.Error) {
	if s.phase == streaming {
		s.emit(CloseStream{})
	}
	s.phase = ended
	s.notify(Observation{Kind: SessionEnded, Err: err, Sent: s.sent})
	s.release(func(*trackedStage) bool { return true })
	s.emit(Finish{Result: Result{Tokens: len(s.accepted), Attempts: s.attempt}, Err: err})
}

// release frees the session on the tracked stages that match.
func (s *Session) release(match func(*trackedStage) bool) {
	var stages []Stage
	for _, t := range s.tracked {
		if match(t) {
			stages = append(stages, t.stage)
		}
	}
	if len(stages) > 0 {
		s.emit(Release{Stages: stages, Attempt: s.attempt})
	}
}

// inChain reports whether the upstream is in the current chain.
func (s *Session) inChain(id fleet.UpstreamID) bool {
	return slices.ContainsFunc(s.chain, func(stage Stage) bool { return stage.Ref.Upstream == id })
}

// notify fills in the common fields of an observation and reports it.
func (s *Session) notify(o Observation) {
	o.At = s.now
	o.Session = s.request.Session
	o.Attempt = s.attempt
	o.Accepted = len(s.accepted)
	for _, stage := range s.chain {
		o.Chain = append(o.Chain, stage.Ref.Upstream)
	}
	s.emit(Notify{Observation: o})
}
