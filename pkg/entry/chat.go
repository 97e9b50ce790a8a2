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
	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/pipeline"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/settings"
)

// promptTokenCost is the cost of one prompt token in output tokens: the ratio of
// the reference accelerator's prefill time to its decode time.
const promptTokenCost = float64(referencePrefillTime) / float64(referenceLayerTime)

// costCorrectionInterval is the number of output tokens between two corrections of a
// request's cost, once the request exceeds its estimate.
const costCorrectionInterval = 32

// generation is one request for a chat completion.
type generation struct {
	*requestInfo
	server  *Server
	request chat.Request
	view    *settings.View
	prompt  []fleet.Token
	// maxTokens is the maximum number of tokens to generate.
	maxTokens int
	// estimatedCost is the cost given to admission.
	estimatedCost float64

	stream       *chat.Stream // nil when the answer is not streamed
	text         strings.Builder
	tokens       int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	planner      *chainPlanner
}

// chatCompletions answers POST /v1/chat/completions.
func (s *Server) chatCompletions(ctx khttp.Context) error {
	r, w := ctx.Request(), ctx.Response()
	info, err := s.beginRequest(r, nil, "chat")
	if err != nil {
		return err
	}
	w.Header().Set(headerRequestID, string(info.id))
	g, err := s.newGeneration(w, r, info)
	if err != nil {
		return s.recordError(info, err)
	}
	runCtx, cancel := context.WithDeadline(r.Context(), info.deadline)
	defer cancel()
	res, err := g.run(runCtx)
	if err != nil {
		return g.fail(err)
	}
	g.server.recordSuccess(info, "finished: "+res.FinishReason)
	return g.writeResponse(w, res)
}

// newGeneration reads and checks the body, and checks that the team may use the model.
func (s *Server) newGeneration(w http.ResponseWriter, r *http.Request, info *requestInfo) (*generation, error) {
	d := s.directory()
	body, err := readBody(w, r, d.request(info.team, info.rank, "").Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	request, err := chat.Decode(body)
	if err != nil {
		return nil, err
	}
	view := d.request(info.team, info.rank, request.Model)
	if view.Model.Layers == 0 || !d.mayUse(info.team, request.Model) {
		return nil, result.New(result.UnknownModel, result.NotRun, "no model %q for this team", request.Model)
	}
	g := &generation{requestInfo: info, server: s, request: request, view: view}
	g.prompt = s.tokens.Encode(request.Prompt())
	g.maxTokens = request.Limit(int(view.Limits.MaxTokens))
	g.estimatedCost = g.cost(min(g.maxTokens, s.lengths.expected(info.team, request.Model)))
	if request.Stream {
		g.stream = chat.NewStream(w, info.id, request.Model)
	}
	g.planner = newChainPlanner(s, g)
	return g, nil
}

// cost returns the cost of the prompt and of outputTokens tokens of output.
func (g *generation) cost(outputTokens int) float64 {
	return float64(outputTokens) + promptTokenCost*float64(len(g.prompt))
}

// run waits for the quarantine and for admission, then runs the generation to its end.
func (g *generation) run(ctx context.Context) (pipeline.Result, error) {
	s := g.server
	if !g.beginsRun() {
		return pipeline.Result{}, stopping(result.NotRun)
	}
	fingerprint, err := s.suspects.admit(ctx, g)
	if err != nil {
		return pipeline.Result{}, err
	}
	waited, err := s.gate.admit(ctx, admission.Request{
		ID: g.id, Team: g.team, Rank: g.rank, Model: g.request.Model, Deadline: g.deadline, Cost: g.estimatedCost,
	})
	if err != nil {
		s.suspects.recordEnd(g.id, false)
		return pipeline.Result{}, err
	}
	s.stats.Queued(g.rank, waited)
	g.addStep("admitted", "", "waited "+waited.String())
	if !g.beginsRun() { // the stop was ordered while the request was queued
		s.gate.finish(g.id, 0)
		s.suspects.recordEnd(g.id, false)
		return pipeline.Result{}, stopping(result.NotRun)
	}
	g.planner.fingerprint = fingerprint
	startedAt := time.Now()
	res, err := g.runPipeline(ctx)
	g.planner.release()
	s.gate.finish(g.id, g.cost(g.tokens))
	s.suspects.recordEnd(g.id, err == nil)
	if err == nil {
		s.lengths.observe(g.team, g.request.Model, g.tokens)
		s.durations.observe(startedAt, g.firstTokenAt, g.lastTokenAt, g.tokens)
	}
	return res, err
}

// beginsRun reports whether this VM begins a run of the generation now. It may stop. The generation
// ends at its deadline at the latest.
func (g *generation) beginsRun() bool {
	d := &g.server.durations
	return g.server.drain.beginsRun(time.Now(), handover.Run{
		Continues: g.stream != nil && g.stream.Started(), FirstPart: d.bound(0), Longest: min(d.bound(g.maxTokens-g.tokens), time.Until(g.deadline)),
	})
}

// runPipeline drives the session over one or more chains of engines.
func (g *generation) runPipeline(ctx context.Context) (pipeline.Result, error) {
	driver := pipeline.NewDriver(pipeline.Limits{}, g.planner, g.planner)
	return driver.Run(ctx, pipeline.Request{
		Session: string(g.id), Model: g.request.Model, Version: g.view.Model.Version, Adapter: g.request.Adapter,
		Layers: int(g.view.Model.Layers), Prompt: g.prompt, MaxTokens: g.maxTokens, Rank: g.rank,
	}, g.planner, g)
}

// Token receives the next token of the answer. It implements pipeline.Sink.
func (g *generation) Token(token fleet.Token) error {
	g.observeToken(time.Now())
	g.tokens++
	if cost := g.cost(g.tokens); cost > g.estimatedCost && g.tokens%costCorrectionInterval == 0 {
		g.server.gate.correct(g.id, cost+costCorrectionInterval)
	}
	piece := g.server.tokens.Decode(token)
	if g.stream != nil {
		return g.stream.Delta(piece)
	}
	g.text.WriteString(piece)
	return nil
}

func (g *generation) observeToken(now time.Time) {
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = now
		g.server.suspects.recordProgress(g.id)
		g.server.stats.FirstToken(g.team, g.rank, now.Sub(g.arrived))
		g.addStep("first_token", "", "")
	} else {
		g.server.stats.BetweenTokens(g.rank, now.Sub(g.lastTokenAt))
	}
	g.lastTokenAt = now
}

// writeResponse writes a plain answer whole, and the end of a streamed one.
func (g *generation) writeResponse(w http.ResponseWriter, res pipeline.Result) error {
	usage := chat.Usage{PromptTokens: len(g.prompt), CompletionTokens: g.tokens, TotalTokens: len(g.prompt) + g.tokens}
	if g.stream == nil {
		_ = chat.WriteCompletion(w, g.id, g.request.Model, g.text.String(), res.FinishReason, usage)
		return nil
	}
	includedUsage := &usage
	if g.request.StreamOptions == nil || !g.request.StreamOptions.IncludeUsage {
		includedUsage = nil
	}
	_ = g.stream.End(res.FinishReason, includedUsage) // a write error means that the caller has disconnected
	return nil
}

// fail records the final error and reports it to the caller: by the response status
// before the first token, else by an error event and an aborted connection.
func (g *generation) fail(err error) error {
	e := result.From(err)
	finalErr := g.server.recordError(g.requestInfo, e)
	if g.stream == nil || !g.stream.Started() {
		return finalErr
	}
	if !errors.Is(err, context.Canceled) {
		_ = g.stream.Abort(e) // a write error means that the caller has disconnected
	}
	panic(http.ErrAbortHandler) // aborts the connection, so that no client takes the stream for complete
}
