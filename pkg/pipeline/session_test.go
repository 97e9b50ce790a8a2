package pipeline_test

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// The seed is fixed so that each run draws the same cases. Flags on the command
// line override both values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
}

// goodToken returns the correct token for an index. Every wrong event carries
// another token.
func goodToken(index int) fleet.Token { return fleet.Token(1000 + index) }

// simulator answers a session's actions at random and checks the session's
// invariants.
type simulator struct {
	t       *rapid.T
	session *pipeline.Session
	now     time.Time
	request pipeline.Request

	planRequest pipeline.PlanRequest
	open        *pipeline.Open
	lastOpen    int
	chain       []upstream.StageRef
	delivered   int
	// held is the number of KV positions that each upstream holds, as last reported
	// or imported.
	held map[fleet.UpstreamID]int
	// transferFaulty is the set of upstreams that may have caused a failed transfer.
	transferFaulty map[fleet.UpstreamID]bool
	// imported is the set of upstreams that imported a KV cache which no Release
	// has freed.
	imported map[fleet.UpstreamID]bool
	// mayHaveRun is set once an attempt may have been sent.
	mayHaveRun bool
	lastEvent  pipeline.Event
	finished   *pipeline.Finish
}

// TestSessionInvariants runs sessions against random plans, probe reports and
// stream events. It guards against:
//   - a token that is delivered twice, out of order, from another session or
//     attempt, or without its receipts;
//   - two open attempts;
//   - a start position that the stage's KV cache does not cover, or for which the
//     stage before it sends no activations;
//   - a transfer of the wrong KV cache, or one that involves a suspect of an
//     earlier failed transfer;
//   - an imported KV cache that a failed session does not free;
//   - an excluded stage in a chain;
//   - success without a matching final event;
//   - the outcome NotRun for a request that may have run.
func TestSessionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulator{t: t, now: time.Unix(0, 0), held: map[fleet.UpstreamID]int{}, transferFaulty: map[fleet.UpstreamID]bool{}, imported: map[fleet.UpstreamID]bool{}}
		sim.request = pipeline.Request{Session: "s", Model: "m", Version: "v1", Layers: 6, Prompt: make([]fleet.Token, rapid.IntRange(1, 40).Draw(t, "prompt")), MaxTokens: rapid.IntRange(1, 6).Draw(t, "max")}
		sim.session = pipeline.NewSession(sim.request, pipeline.Limits{MaxAttempts: 5})
		var event pipeline.Event = pipeline.Begin{}
		for step := 0; sim.finished == nil; step++ {
			if step > 300 {
				event = pipeline.Abandoned{Err: result.New(result.DeadlineExceeded, result.OutcomeUnknown, "late")}
			}
			event = sim.step(event)
		}
		if actions := sim.session.Step(sim.now, pipeline.Begin{}); len(actions) > 0 {
			t.Fatalf("actions after the end: %v", actions)
		}
	})
}

// step applies an event, checks the actions and draws the next event.
func (sim *simulator) step(event pipeline.Event) pipeline.Event {
	sim.now = sim.now.Add(time.Millisecond)
	sim.lastEvent = event
	var next pipeline.Event
	for _, action := range sim.session.Step(sim.now, event) {
		if sim.finished != nil {
			sim.t.Fatalf("%T after Finish", action)
		}
		switch a := action.(type) {
		case pipeline.AskPlan:
			sim.planRequest = a.Request
			next = sim.plan()
		case pipeline.Import:
			next = sim.imports(a.Transfers)
		case pipeline.Open:
			sim.opened(a)
		case pipeline.CloseStream:
			sim.open = nil
		case pipeline.Probe:
			next = sim.probe(a.Stages)
		case pipeline.AskRetry:
			next = pipeline.RetryAnswered{Allowed: rapid.IntRange(0, 9).Draw(sim.t, "budget") > 0}
		case pipeline.Deliver:
			if a.Token != goodToken(sim.delivered) {
				sim.t.Fatalf("token %d delivered as number %d", a.Token, sim.delivered)
			}
			sim.delivered++
		case pipeline.Release:
			for _, s := range a.Stages {
				delete(sim.imported, s.Ref.Upstream)
			}
		case pipeline.Finish:
			sim.finish(a)
		}
	}
	if next == nil && sim.finished == nil {
		next = sim.streamEvent()
	}
	return next
}

// plan draws a chain. In rare cases it is invalid or there is none.
func (sim *simulator) plan() pipeline.Event {
	if rapid.IntRange(0, 19).Draw(sim.t, "no plan") == 0 {
		return pipeline.Planned{Err: errors.New("none")}
	}
	var chain []pipeline.Stage
	for i := range 3 {
		id := fleet.UpstreamID(fmt.Sprintf("e%d%d", i, rapid.IntRange(0, 2).Draw(sim.t, "replica")))
		chain = append(chain, pipeline.Stage{
			Ref:                 upstream.StageRef{Upstream: id, Layers: fleet.LayerRange{First: 2 * i, End: 2*i + 2}},
			PrefillPerPosition:  time.Duration(rapid.IntRange(0, 3).Draw(sim.t, "prefill")),
			TransferPerPosition: time.Duration(rapid.IntRange(0, 3).Draw(sim.t, "transfer")),
		})
	}
	if rapid.IntRange(0, 19).Draw(sim.t, "short") == 0 {
		chain = chain[:2]
	}
	return pipeline.Planned{Chain: chain}
}

// imports checks the transfers and draws their results. In rare cases the caller
// cancels in between.
func (sim *simulator) imports(transfers []pipeline.Transfer) pipeline.Event {
	errs := make([]error, len(transfers))
	for i, t := range transfers {
		if t.From.Ref.Layers != t.To.Ref.Layers || sim.held[t.From.Ref.Upstream] < t.Positions {
			sim.t.Fatalf("transfer of %d positions from %s, which holds %d", t.Positions, t.From.Ref.Upstream, sim.held[t.From.Ref.Upstream])
		}
		want := upstream.KVSource{
			Upstream: t.From.Ref.Upstream, Address: t.From.Ref.Address, Session: sim.request.Session, Attempt: sim.lastOpen + 1,
			Model: sim.request.Model, Version: sim.request.Version, Layers: t.To.Ref.Layers, Positions: t.Positions,
		}
		if t.Source != want {
			sim.t.Fatalf("transfer source %+v instead of %+v", t.Source, want)
		}
		if sim.transferFaulty[t.From.Ref.Upstream] || sim.transferFaulty[t.To.Ref.Upstream] {
			sim.t.Fatalf("transfer from %s to %s although earlier failed transfers have the suspects %v", t.From.Ref.Upstream, t.To.Ref.Upstream, sim.transferFaulty)
		}
		if rapid.Bool().Draw(sim.t, "transfer fails") {
			errs[i] = sim.transferError(t)
			continue
		}
		sim.held[t.To.Ref.Upstream] = t.Positions
		sim.imported[t.To.Ref.Upstream] = true
	}
	if rapid.IntRange(0, 9).Draw(sim.t, "caller leaves") == 0 {
		return pipeline.Abandoned{Err: result.New(result.CancelledByCaller, result.OutcomeUnknown, "left")}
	}
	return pipeline.Imported{Errs: errs}
}

// transferError draws the error of a transfer and records its suspects.
func (sim *simulator) transferError(t pipeline.Transfer) error {
	from, to := t.From.Ref.Upstream, t.To.Ref.Upstream
	switch rapid.IntRange(0, 2).Draw(sim.t, "side") {
	case 0:
		sim.transferFaulty[from] = true
		return &upstream.Error{Upstream: to, Sent: true, Status: 502, FailedStage: from, Err: errors.New("lost")}
	case 1:
		sim.transferFaulty[to] = true
		return &upstream.Error{Upstream: to, Err: errors.New("refused")}
	default:
		sim.transferFaulty[from], sim.transferFaulty[to] = true, true
		return fmt.Errorf("%w: slow", pipeline.ErrImportTimeout)
	}
}

// opened checks an attempt when it starts.
func (sim *simulator) opened(a pipeline.Open) {
	r := a.Request
	target := len(sim.request.Prompt) + sim.delivered - 1
	layer, start := 0, 0
	for _, ref := range r.Chain {
		if ref.Layers.First != layer || slices.Contains(sim.planRequest.Excluded, ref.Upstream) {
			sim.t.Fatalf("chain %v with %v excluded", r.Chain, sim.planRequest.Excluded)
		}
		layer = ref.Layers.End
		if ref.Start < start || ref.Start > target || sim.held[ref.Upstream] < ref.Start {
			sim.t.Fatalf("start at %d on %s, which holds %d, after %d, target %d", ref.Start, ref.Upstream, sim.held[ref.Upstream], start, target)
		}
		start = ref.Start
	}
	if sim.open != nil || r.Attempt <= sim.lastOpen || layer != 6 || len(r.Tokens) != target+1 {
		sim.t.Fatalf("open %+v after attempt %d, target %d", r, sim.lastOpen, target)
	}
	sim.open, sim.lastOpen, sim.chain = &a, r.Attempt, r.Chain
}

// probe checks that all stages of the failed attempt are probed and draws their
// reports.
func (sim *simulator) probe(stages []pipeline.Stage) pipeline.Event {
	var reports []pipeline.Report
	for _, ref := range sim.chain {
		if !slices.ContainsFunc(stages, func(s pipeline.Stage) bool { return s.Ref.Upstream == ref.Upstream }) {
			sim.t.Fatalf("%s of the failed attempt is not probed", ref.Upstream)
		}
	}
	for _, s := range stages {
		r := pipeline.Report{Upstream: s.Ref.Upstream}
		if rapid.IntRange(0, 3).Draw(sim.t, "answers") == 0 {
			r.Err = errors.New("gone")
			sim.held[s.Ref.Upstream] = 0
		} else {
			r.Progress = upstream.SessionProgress{Session: "s", Attempt: sim.lastOpen, NextPosition: rapid.IntRange(0, 50).Draw(sim.t, "next")}
			sim.held[s.Ref.Upstream] = r.Progress.NextPosition
		}
		reports = append(reports, r)
	}
	return pipeline.Probed{Reports: reports}
}

// streamEvent draws an event of the open stream: a correct one, a wrong one or a
// failure.
func (sim *simulator) streamEvent() pipeline.Event {
	if sim.open == nil {
		sim.t.Fatalf("no open stream and no pending answer after %#v", sim.lastEvent)
	}
	e := upstream.TokenEvent{Session: "s", Attempt: sim.lastOpen, Index: sim.delivered, Token: goodToken(sim.delivered)}
	for _, ref := range sim.open.Request.Chain {
		e.Receipts = append(e.Receipts, upstream.Receipt{Upstream: ref.Upstream, Layers: ref.Layers})
	}
	kind := rapid.IntRange(0, 14).Draw(sim.t, "event")
	if kind == 0 {
		sent := rapid.Bool().Draw(sim.t, "sent")
		sim.mayHaveRun = sim.mayHaveRun || sent
		return pipeline.Broken{Err: &upstream.Error{Sent: sent, Err: drawCause(sim.t)}}
	}
	sim.mayHaveRun = true
	if kind < 7 {
		e.Token = 1
	}
	switch kind {
	case 1:
		e.Session = "other"
	case 2:
		e.Attempt--
	case 3:
		e.Index--
	case 4:
		e.Index++
	case 5:
		e.Receipts = slices.Delete(e.Receipts, 1, 2)
	case 6:
		e.Receipts = append(e.Receipts, e.Receipts[0])
	case 7:
		e.Final, e.FinishReason = true, "stop"
		e.Index += rapid.IntRange(-1, 1).Draw(sim.t, "count")
	case 8:
		e.Final, e.FinishReason = true, "length"
	}
	return pipeline.Received{Event: e}
}

func drawCause(t *rapid.T) error {
	return rapid.SampledFrom([]error{
		&upstream.SilentError{For: time.Millisecond},
		upstream.ErrNoFinalEvent,
		&upstream.RefusalError{Reason: upstream.RefusedPosition},
		&upstream.RefusalError{Reason: upstream.RefusedAssignment},
		errors.New("reset"),
	}).Draw(t, "cause")
}

// finish checks that the session's result matches the events before it.
func (sim *simulator) finish(f pipeline.Finish) {
	sim.finished = &f
	if f.Err != nil && len(sim.imported) > 0 {
		sim.t.Fatalf("KV caches on %v are not freed", sim.imported)
	}
	received, _ := sim.lastEvent.(pipeline.Received)
	short := received.Event.FinishReason == "length" && sim.delivered < sim.request.MaxTokens
	ok := received.Event.Final && !short && received.Event.Index == sim.delivered && received.Event.Attempt == sim.lastOpen
	if (f.Err == nil) != ok || f.Result.Tokens != sim.delivered {
		sim.t.Fatalf("finish %+v after %+v", f, sim.lastEvent)
	}
	if f.Err != nil && (f.Err.Outcome == result.NotRun) != (!sim.mayHaveRun && sim.open == nil) {
		sim.t.Fatalf("outcome %s although mayHaveRun is %t", f.Err.Outcome, sim.mayHaveRun)
	}
}

// TestSuspects guards against suspecting the wrong stage after a failure, and
// against suspecting any stage if the connection alone may have failed.
func TestSuspects(t *testing.T) {
	const target = 4 // target position after a prompt of 4 tokens and 1 accepted token
	silent, reset := &upstream.SilentError{For: time.Second}, errors.New("reset")
	type report struct{ attempt, next int }
	gone := report{-1, 0}
	for _, test := range []struct {
		name    string
		err     *upstream.Error
		reports [3]report
		want    []fleet.UpstreamID
	}{
		{"named by the stage before", &upstream.Error{Sent: true, FailedStage: "e1", Err: reset}, [3]report{{1, 5}, {1, 4}, {1, 4}}, ids("e1")},
		{"named and not in the chain", &upstream.Error{Sent: true, FailedStage: "x", Err: reset}, [3]report{{1, 5}, {1, 4}, {1, 4}}, nil},
		{"connection reset", &upstream.Error{Sent: true, Err: reset}, [3]report{{1, 5}, {1, 4}, {1, 4}}, nil},
		{"silent, all layers ran", &upstream.Error{Sent: true, Err: silent}, [3]report{{1, 6}, {1, 5}, {1, 5}}, nil},
		{"silent, stuck in the middle", &upstream.Error{Sent: true, Err: silent}, [3]report{{1, 5}, {1, 4}, {1, 4}}, ids("e1")},
		{"silent, stuck at the head", &upstream.Error{Sent: true, Err: silent}, [3]report{{1, 4}, {1, 4}, {1, 4}}, ids("e0")},
		{"silent, the attempt never arrived", &upstream.Error{Sent: true, Err: silent}, [3]report{{0, 4}, {0, 4}, {0, 4}}, nil},
		{"tail gone", &upstream.Error{Sent: true, Err: silent}, [3]report{{1, 5}, {1, 5}, gone}, ids("e2")},
		{"two gone", &upstream.Error{Sent: true, FailedStage: "e2", Err: reset}, [3]report{{1, 5}, gone, gone}, ids("e2", "e1")},
		{"restarted", &upstream.Error{Sent: true, Err: reset}, [3]report{{0, 0}, {1, 4}, {1, 4}}, ids("e0")},
		{"ended in good order", &upstream.Error{Sent: true, Err: silent}, [3]report{{2, 0}, {2, 0}, {2, 0}}, nil},
		{"no final event", &upstream.Error{Sent: true, Err: upstream.ErrNoFinalEvent}, [3]report{{1, 5}, {1, 5}, {1, 5}}, ids("e0")},
		{"refused assignment", &upstream.Error{Sent: true, FailedStage: "e1", Err: &upstream.RefusalError{Reason: upstream.RefusedAssignment}}, [3]report{{1, 5}, {1, 4}, {1, 4}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := pipeline.NewSession(pipeline.Request{Session: "s", Layers: 3, Prompt: make([]fleet.Token, target), MaxTokens: 9}, pipeline.Limits{})
			var chain []pipeline.Stage
			e := upstream.TokenEvent{Session: "s", Attempt: 1}
			probed := pipeline.Probed{}
			for i, r := range test.reports {
				ref := upstream.StageRef{Upstream: fleet.UpstreamID(fmt.Sprint("e", i)), Layers: fleet.LayerRange{First: i, End: i + 1}}
				chain = append(chain, pipeline.Stage{Ref: ref})
				e.Receipts = append(e.Receipts, upstream.Receipt{Upstream: ref.Upstream, Layers: ref.Layers})
				report := pipeline.Report{Upstream: ref.Upstream, Progress: upstream.SessionProgress{Attempt: r.attempt, NextPosition: r.next}}
				if r == gone {
					report.Err = errors.New("refused")
				}
				probed.Reports = append(probed.Reports, report)
			}
			now := time.Unix(0, 0)
			for _, event := range []pipeline.Event{pipeline.Begin{}, pipeline.Planned{Chain: chain}, pipeline.Received{Event: e}, pipeline.Broken{Err: test.err}} {
				s.Step(now, event)
			}
			for _, action := range s.Step(now, probed) {
				if ask, ok := action.(pipeline.AskRetry); ok && !slices.Equal(ask.Blamed, test.want) {
					t.Errorf("blamed %v instead of %v", ask.Blamed, test.want)
				}
			}
		})
	}
}

func ids(ids ...fleet.UpstreamID) []fleet.UpstreamID { return ids }
