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

// The same cases run each time; the command line can ask for others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "3000")
}

// goodToken is the right token for an index; every wrong event carries another.
func goodToken(index int) fleet.Token { return fleet.Token(1000 + index) }

// world answers a session's actions at random and checks what the session does.
type world struct {
	t       *rapid.T
	session *pipeline.Session
	now     time.Time
	request pipeline.Request

	need      pipeline.Need
	open      *pipeline.Open
	lastOpen  int
	chain     []upstream.StageRef
	delivered int
	// held is what each upstream can have of the KV cache, as last reported or imported.
	held map[fleet.UpstreamID]int
	// sides lists the upstreams because of which a transfer failed.
	sides map[fleet.UpstreamID]bool
	// imported lists the upstreams that got a KV cache which no Release freed.
	imported map[fleet.UpstreamID]bool
	// mayHaveRun is set once an attempt was sent.
	mayHaveRun bool
	lastEvent  pipeline.Event
	finished   *pipeline.Finish
}

// TestSessionInvariants guards against a token delivered twice, out of order,
// from another session or attempt or without its receipts; two open attempts; a
// start position that the stage does not hold, or for which it gets no
// activations; a transfer that names another
// cache or uses a stage that failed one before; an imported cache that a failed
// session leaves behind; an excluded stage in a chain; a
// normal end without a matching final event; "not run" for what may have run.
func TestSessionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(0, 0), held: map[fleet.UpstreamID]int{}, sides: map[fleet.UpstreamID]bool{}, imported: map[fleet.UpstreamID]bool{}}
		w.request = pipeline.Request{Session: "s", Model: "m", Version: "v1", Layers: 6, Prompt: make([]fleet.Token, rapid.IntRange(1, 40).Draw(t, "prompt")), MaxTokens: rapid.IntRange(1, 6).Draw(t, "max")}
		w.session = pipeline.NewSession(w.request, pipeline.Limits{Attempts: 5})
		var event pipeline.Event = pipeline.Begin{}
		for step := 0; w.finished == nil; step++ {
			if step > 300 {
				event = pipeline.Abandoned{Err: result.New(result.DeadlineExceeded, result.OutcomeUnknown, "late")}
			}
			event = w.step(event)
		}
		if actions := w.session.Step(w.now, pipeline.Begin{}); len(actions) > 0 {
			t.Fatalf("actions after the end: %v", actions)
		}
	})
}

// step applies an event, checks the actions and draws the next event.
func (w *world) step(event pipeline.Event) pipeline.Event {
	w.now = w.now.Add(time.Millisecond)
	w.lastEvent = event
	var next pipeline.Event
	for _, action := range w.session.Step(w.now, event) {
		if w.finished != nil {
			w.t.Fatalf("%T after Finish", action)
		}
		switch a := action.(type) {
		case pipeline.AskPlan:
			w.need = a.Need
			next = w.plan()
		case pipeline.Import:
			next = w.imports(a.Transfers)
		case pipeline.Open:
			w.opened(a)
		case pipeline.CloseStream:
			w.open = nil
		case pipeline.Probe:
			next = w.probe(a.Stages)
		case pipeline.AskRetry:
			next = pipeline.RetryAnswered{Allowed: rapid.IntRange(0, 9).Draw(w.t, "budget") > 0}
		case pipeline.Deliver:
			if a.Token != goodToken(w.delivered) {
				w.t.Fatalf("token %d delivered as number %d", a.Token, w.delivered)
			}
			w.delivered++
		case pipeline.Release:
			for _, s := range a.Stages {
				delete(w.imported, s.Ref.Upstream)
			}
		case pipeline.Finish:
			w.finish(a)
		}
	}
	if next == nil && w.finished == nil {
		next = w.streamEvent()
	}
	return next
}

// plan draws a chain, in rare cases one that does not fit.
func (w *world) plan() pipeline.Event {
	if rapid.IntRange(0, 19).Draw(w.t, "no plan") == 0 {
		return pipeline.Planned{Err: errors.New("none")}
	}
	var chain []pipeline.Stage
	for i := range 3 {
		id := fleet.UpstreamID(fmt.Sprintf("e%d%d", i, rapid.IntRange(0, 2).Draw(w.t, "replica")))
		chain = append(chain, pipeline.Stage{
			Ref:                 upstream.StageRef{Upstream: id, Layers: fleet.LayerRange{First: 2 * i, End: 2*i + 2}},
			PrefillPerPosition:  time.Duration(rapid.IntRange(0, 3).Draw(w.t, "prefill")),
			TransferPerPosition: time.Duration(rapid.IntRange(0, 3).Draw(w.t, "transfer")),
		})
	}
	if rapid.IntRange(0, 19).Draw(w.t, "short") == 0 {
		chain = chain[:2]
	}
	return pipeline.Planned{Chain: chain}
}

func (w *world) imports(transfers []pipeline.Transfer) pipeline.Event {
	errs := make([]error, len(transfers))
	for i, t := range transfers {
		if t.From.Ref.Layers != t.To.Ref.Layers || w.held[t.From.Ref.Upstream] < t.Positions {
			w.t.Fatalf("transfer of %d positions from %s, which holds %d", t.Positions, t.From.Ref.Upstream, w.held[t.From.Ref.Upstream])
		}
		want := upstream.KVSource{
			Upstream: t.From.Ref.Upstream, Address: t.From.Ref.Address, Session: w.request.Session, Attempt: w.lastOpen + 1,
			Model: w.request.Model, Version: w.request.Version, Layers: t.To.Ref.Layers, Positions: t.Positions,
		}
		if t.Source != want {
			w.t.Fatalf("order %+v instead of %+v", t.Source, want)
		}
		if w.sides[t.From.Ref.Upstream] || w.sides[t.To.Ref.Upstream] {
			w.t.Fatalf("transfer from %s to %s after one that failed because of %v", t.From.Ref.Upstream, t.To.Ref.Upstream, w.sides)
		}
		if rapid.Bool().Draw(w.t, "transfer fails") {
			errs[i] = w.transferError(t)
			continue
		}
		w.held[t.To.Ref.Upstream] = t.Positions
		w.imported[t.To.Ref.Upstream] = true
	}
	if rapid.IntRange(0, 9).Draw(w.t, "caller leaves") == 0 {
		return pipeline.Abandoned{Err: result.New(result.CancelledByCaller, result.OutcomeUnknown, "left")}
	}
	return pipeline.Imported{Errs: errs}
}

// transferError draws the error of a transfer and notes whom it speaks against.
func (w *world) transferError(t pipeline.Transfer) error {
	from, to := t.From.Ref.Upstream, t.To.Ref.Upstream
	switch rapid.IntRange(0, 2).Draw(w.t, "side") {
	case 0:
		w.sides[from] = true
		return &upstream.Error{Upstream: to, Sent: true, Status: 502, FailedStage: from, Err: errors.New("lost")}
	case 1:
		w.sides[to] = true
		return &upstream.Error{Upstream: to, Err: errors.New("refused")}
	default:
		w.sides[from], w.sides[to] = true, true
		return fmt.Errorf("%w: slow", pipeline.ErrImportLimit)
	}
}

// opened checks an attempt as it begins.
func (w *world) opened(a pipeline.Open) {
	r := a.Request
	target := len(w.request.Prompt) + w.delivered - 1
	layer, start := 0, 0
	for _, ref := range r.Chain {
		if ref.Layers.First != layer || slices.Contains(w.need.Excluded, ref.Upstream) {
			w.t.Fatalf("chain %v with %v excluded", r.Chain, w.need.Excluded)
		}
		layer = ref.Layers.End
		if ref.Start < start || ref.Start > target || w.held[ref.Upstream] < ref.Start {
			w.t.Fatalf("start at %d on %s, which holds %d, after %d, target %d", ref.Start, ref.Upstream, w.held[ref.Upstream], start, target)
		}
		start = ref.Start
	}
	if w.open != nil || r.Attempt <= w.lastOpen || layer != 6 || len(r.Tokens) != target+1 {
		w.t.Fatalf("open %+v after attempt %d, target %d", r, w.lastOpen, target)
	}
	w.open, w.lastOpen, w.chain = &a, r.Attempt, r.Chain
}

func (w *world) probe(stages []pipeline.Stage) pipeline.Event {
	var reports []pipeline.Report
	for _, ref := range w.chain {
		if !slices.ContainsFunc(stages, func(s pipeline.Stage) bool { return s.Ref.Upstream == ref.Upstream }) {
			w.t.Fatalf("%s of the failed attempt is not probed", ref.Upstream)
		}
	}
	for _, s := range stages {
		r := pipeline.Report{Upstream: s.Ref.Upstream}
		if rapid.IntRange(0, 3).Draw(w.t, "answers") == 0 {
			r.Err = errors.New("gone")
			w.held[s.Ref.Upstream] = 0
		} else {
			r.Progress = upstream.SessionProgress{Session: "s", Attempt: w.lastOpen, NextPosition: rapid.IntRange(0, 50).Draw(w.t, "next")}
			w.held[s.Ref.Upstream] = r.Progress.NextPosition
		}
		reports = append(reports, r)
	}
	return pipeline.Probed{Reports: reports}
}

// streamEvent draws an event of the open stream: a right one, a wrong one or a failure.
func (w *world) streamEvent() pipeline.Event {
	if w.open == nil {
		w.t.Fatalf("nothing to wait for after %#v", w.lastEvent)
	}
	e := upstream.TokenEvent{Session: "s", Attempt: w.lastOpen, Index: w.delivered, Token: goodToken(w.delivered)}
	for _, ref := range w.open.Request.Chain {
		e.Receipts = append(e.Receipts, upstream.Receipt{Upstream: ref.Upstream, Layers: ref.Layers})
	}
	kind := rapid.IntRange(0, 14).Draw(w.t, "event")
	if kind == 0 {
		sent := rapid.Bool().Draw(w.t, "sent")
		w.mayHaveRun = w.mayHaveRun || sent
		return pipeline.Broken{Err: &upstream.Error{Sent: sent, Err: drawCause(w.t)}}
	}
	w.mayHaveRun = true
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
		e.Index += rapid.IntRange(-1, 1).Draw(w.t, "count")
	case 8:
		e.Final, e.FinishReason = true, "length"
	}
	return pipeline.Received{Event: e}
}

func drawCause(t *rapid.T) error {
	return rapid.SampledFrom([]error{
		&upstream.SilentError{For: time.Millisecond},
		upstream.ErrNoFinal,
		&upstream.RefusalError{Refusal: upstream.RefusedPosition},
		&upstream.RefusalError{Refusal: upstream.RefusedAssignment},
		errors.New("reset"),
	}).Draw(t, "cause")
}

// finish checks the end against what happened.
func (w *world) finish(f pipeline.Finish) {
	w.finished = &f
	if f.Err != nil && len(w.imported) > 0 {
		w.t.Fatalf("KV caches on %v are not freed", w.imported)
	}
	received, _ := w.lastEvent.(pipeline.Received)
	short := received.Event.FinishReason == "length" && w.delivered < w.request.MaxTokens
	ok := received.Event.Final && !short && received.Event.Index == w.delivered && received.Event.Attempt == w.lastOpen
	if (f.Err == nil) != ok || f.Result.Tokens != w.delivered {
		w.t.Fatalf("finish %+v after %+v", f, w.lastEvent)
	}
	if f.Err != nil && (f.Err.Outcome == result.NotRun) != (!w.mayHaveRun && w.open == nil) {
		w.t.Fatalf("outcome %s although run is %t", f.Err.Outcome, w.mayHaveRun)
	}
}

// TestSuspects guards against blame for the wrong stage, and for any stage when
// a connection alone may be at fault.
func TestSuspects(t *testing.T) {
	const target = 4 // a prompt of 4 tokens and 1 accepted token
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
		{"no final event", &upstream.Error{Sent: true, Err: upstream.ErrNoFinal}, [3]report{{1, 5}, {1, 5}, {1, 5}}, ids("e0")},
		{"refused assignment", &upstream.Error{Sent: true, FailedStage: "e1", Err: &upstream.RefusalError{Refusal: upstream.RefusedAssignment}}, [3]report{{1, 5}, {1, 4}, {1, 4}}, nil},
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
