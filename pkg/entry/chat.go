package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/chat"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/settings"
)

// promptTokenCost is the cost of one prompt token in output tokens: the ratio of
// the reference accelerator's prefill time to its decode time.
const promptTokenCost = float64(referencePrefillTime) / float64(referenceLayerTime)

// correctEvery is the number of output tokens between corrections of a
// request's estimated cost once it is exceeded.
const correctEvery = 32

// generation is one caller's request for a chat completion.
type generation struct {
	*caller
	server  *Server
	request chat.Request
	view    *settings.View
	prompt  []fleet.Token
	// limit is the number of tokens to generate at most.
	limit int
	// estimate is the cost that admission was told.
	estimate float64

	stream  *chat.Stream // nil for a plain answer
	text    strings.Builder
	tokens  int
	first   time.Time
	last    time.Time
	planner *chainPlanner
}

// chatCompletions answers POST /v1/chat/completions.
func (s *Server) chatCompletions(ctx khttp.Context) error {
	r, w := ctx.Request(), ctx.Response()
	c, err := s.identify(r, nil, "chat")
	if err != nil {
		return err
	}
	w.Header().Set(headerRequestID, string(c.id))
	g, err := s.newGeneration(w, r, c)
	if err != nil {
		return s.refuse(c, err)
	}
	run, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	end, err := g.run(run)
	if err != nil {
		return g.fail(err)
	}
	g.server.succeed(c, "finished: "+end.FinishReason)
	return g.answer(w, end)
}

// newGeneration checks the body and the model.
func (s *Server) newGeneration(w http.ResponseWriter, r *http.Request, c *caller) (*generation, error) {
	d := s.directory()
	body, err := readBody(w, r, d.request(c.team, c.rank, "").Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	request, err := chat.Decode(body)
	if err != nil {
		return nil, err
	}
	view := d.request(c.team, c.rank, request.Model)
	if view.Model.Layers == 0 || !d.mayUse(c.team, request.Model) {
		return nil, result.New(result.UnknownModel, result.NotRun, "no model %q for this team", request.Model)
	}
	g := &generation{caller: c, server: s, request: request, view: view}
	g.prompt = s.tokens.Encode(request.Prompt())
	g.limit = request.Limit(int(view.Limits.MaxTokens))
	g.estimate = g.cost(min(g.limit, s.lengths.expected(c.team, request.Model)))
	if request.Stream {
		g.stream = chat.NewStream(w, c.id, request.Model)
	}
	g.planner = newChainPlanner(s, g)
	return g, nil
}

// cost returns the cost of the prompt and a number of output tokens.
func (g *generation) cost(output int) float64 {
	return float64(output) + promptTokenCost*float64(len(g.prompt))
}

// run waits for admission and drives the generation to its end.
func (g *generation) run(ctx context.Context) (pipeline.Result, error) {
	s := g.server
	fingerprint, err := s.suspects.admit(ctx, g)
	if err != nil {
		return pipeline.Result{}, err
	}
	waited, err := s.gate.admit(ctx, admission.Request{
		ID: g.id, Team: g.team, Rank: g.rank, Model: g.request.Model, Deadline: g.deadline, Cost: g.estimate,
	})
	if err != nil {
		s.suspects.ended(g.id, false)
		return pipeline.Result{}, err
	}
	s.stats.Queued(g.rank, waited)
	g.note("admitted", "", "waited "+waited.String())
	g.planner.fingerprint = fingerprint
	end, err := g.drive(ctx)
	g.planner.release()
	s.gate.finish(g.id, g.cost(g.tokens))
	s.suspects.ended(g.id, err == nil)
	if err == nil {
		s.lengths.observe(g.team, g.request.Model, g.tokens)
	}
	return end, err
}

// drive runs the pipeline.
func (g *generation) drive(ctx context.Context) (pipeline.Result, error) {
	driver := pipeline.NewDriver(pipeline.Limits{}, g.planner, g.planner)
	return driver.Run(ctx, pipeline.Request{
		Session: string(g.id), Model: g.request.Model, Version: g.view.Model.Version, Adapter: g.request.Adapter,
		Layers: int(g.view.Model.Layers), Prompt: g.prompt, MaxTokens: g.limit, Rank: g.rank,
	}, g.planner, g)
}

// Token takes the next token of the answer. It implements pipeline.Sink.
func (g *generation) Token(token fleet.Token) error {
	g.observeToken(time.Now())
	g.tokens++
	if cost := g.cost(g.tokens); cost > g.estimate && g.tokens%correctEvery == 0 {
		g.server.gate.correct(g.id, cost+correctEvery)
	}
	piece := g.server.tokens.Decode(token)
	if g.stream != nil {
		return g.stream.Delta(piece)
	}
	g.text.WriteString(piece)
	return nil
}

func (g *generation) observeToken(now time.Time) {
	if g.first.IsZero() {
		g.first = now
		g.server.stats.FirstToken(g.team, g.rank, now.Sub(g.arrived))
		g.note("first_token", "", "")
	} else {
		g.server.stats.BetweenTokens(g.rank, now.Sub(g.last))
	}
	g.last = now
}

// answer writes the end of the answer.
func (g *generation) answer(w http.ResponseWriter, end pipeline.Result) error {
	usage := chat.Usage{PromptTokens: len(g.prompt), CompletionTokens: g.tokens, TotalTokens: len(g.prompt) + g.tokens}
	if g.stream == nil {
		_ = chat.WritePlain(w, g.id, g.request.Model, g.text.String(), end.FinishReason, usage)
		return nil
	}
	wanted := &usage
	if g.request.StreamOptions == nil || !g.request.StreamOptions.IncludeUsage {
		wanted = nil
	}
	_ = g.stream.End(end.FinishReason, wanted) // a failed write means that the caller has gone
	return nil
}

// fail reports the final error: as the answer's status before the first token,
// as a break of the stream after it.
func (g *generation) fail(err error) error {
	e := result.From(err)
	refused := g.server.refuse(g.caller, e)
	if g.stream == nil || !g.stream.Started() {
		return refused
	}
	if !errors.Is(err, context.Canceled) {
		_ = g.stream.Break(e) // a failed write means that the caller has gone
	}
	panic(http.ErrAbortHandler) // closes the connection, so that no client takes the stream for whole
}
