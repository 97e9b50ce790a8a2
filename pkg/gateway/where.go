package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/chain"
	"github.com/cornelline/cornelline/pkg/cost"
	"github.com/cornelline/cornelline/pkg/dispatch"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// wherePath is the path, at the address of the metrics, that tells where a request would go.
const wherePath = "/v1/where"

// Where is the answer of wherePath: where a generation with the given head would go if it arrived
// at this VM now. Nothing is sent or reserved.
type Where struct {
	VM      fleet.VMID        `json:"vm"`
	Route   fleet.RouteID     `json:"route"`
	Service catalog.ServiceID `json:"service"`
	Team    fleet.TeamID      `json:"team,omitempty"`
	Rank    int               `json:"rank"`
	// PromptTokens is the stated or the usual size of the prompt.
	PromptTokens int         `json:"prompt_tokens"`
	Answer       WhereAnswer `json:"answer_tokens"`
	// Ahead is the number of queued requests that would go first; they are expected to take
	// WaitMS.
	Ahead  int   `json:"ahead"`
	WaitMS int64 `json:"wait_ms"`
	// Outcome is "starts", "waits", or why no chain can be reserved.
	Outcome string `json:"outcome"`
	// PausedForMS is the time until enough pauses of servers have ended, if Outcome names them.
	PausedForMS int64           `json:"paused_for_ms,omitempty"`
	Chains      []WhereChain    `json:"chains"`
	Excluded    []WhereExcluded `json:"excluded"`
}

// WhereAnswer is the estimated length of the answer.
type WhereAnswer struct {
	Mean     int `json:"mean"`
	Reserved int `json:"reserved"`
	P10      int `json:"p10"`
	P50      int `json:"p50"`
	P90      int `json:"p90"`
	// LearnedFrom is the number of recent answers by group; empty if lengths are not learned.
	LearnedFrom map[string]int `json:"learned_from"`
}

// WhereChain is a chain that was weighed, the best one first.
type WhereChain struct {
	Servers    []string `json:"servers"`
	Score      float64  `json:"score_s"`
	Running    float64  `json:"running_s"`
	Wait       float64  `json:"wait_s"`
	StepMS     float64  `json:"step_ms"`
	TooSlow    bool     `json:"too_slow,omitempty"`
	LongPauses bool     `json:"long_pauses,omitempty"`
}

// WhereExcluded is a server that no chain may use.
type WhereExcluded struct {
	Server fleet.UpstreamID `json:"server"`
	Reason string           `json:"reason"`
}

// serveWhere answers wherePath. The query has host, path, and optionally team, part, prompt, hint
// and limit.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	answer, status, err := g.where(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the reader may have disconnected
}

func (g *Gateway) where(query url.Values) (answer Where, status int, err error) {
	v := g.view.Load()
	if v.catalog == nil {
		return answer, http.StatusServiceUnavailable, fmt.Errorf("VM %s has no configuration yet", g.settings.Self.ID)
	}
	route := v.catalog.Route(query.Get("host"), query.Get("path"))
	if route == nil {
		return answer, http.StatusNotFound, fmt.Errorf("no route for host %q and path %q", query.Get("host"), query.Get("path"))
	}
	service := v.catalog.Services[route.Pick(random())]
	if service == nil || v.gates[service.ID] == nil {
		return answer, http.StatusNotFound, fmt.Errorf("route %s leads to no service with model engines", route.ID)
	}
	likely := cost.Request{Route: string(route.ID), Team: query.Get("team"), Part: query.Get("part")}
	prompt := int(service.Engine.MeanPromptTokens)
	for name, value := range map[string]*int{"prompt": &prompt, "hint": &likely.Hint, "limit": &likely.Limit} {
		if text := query.Get(name); text != "" {
			if *value, err = strconv.Atoi(text); err != nil || *value < 0 {
				return answer, http.StatusBadRequest, fmt.Errorf("%s: %q is no count", name, text)
			}
		}
	}
	answer = Where{VM: g.settings.Self.ID, Route: route.ID, Service: service.ID, Team: fleet.TeamID(likely.Team), Rank: route.Rank, PromptTokens: prompt}
	v.gates[service.ID].explain(time.Now(), route, likely, &answer)
	return answer, http.StatusOK, nil
}

// explain fills in what depends on the state of the gate.
func (g *gate) explain(now time.Time, route *catalog.Route, likely cost.Request, answer *Where) {
	expected, reserved := g.estimate(likely, 0)
	need := chain.Need{
		PromptTokens: answer.PromptTokens, AnswerTokens: expected, ReservedAnswerTokens: reserved,
		GapObjective: route.GapObjective, FirstEventObjective: route.Objective,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	answer.Answer = WhereAnswer{Mean: expected, Reserved: reserved, LearnedFrom: map[string]int{}}
	if g.lengths != nil {
		d := g.lengths.Estimate(likely)
		answer.Answer.P10, answer.Answer.P50, answer.Answer.P90 = int(d.Quantile(0.1)), int(d.Quantile(0.5)), int(d.Quantile(0.9))
		answer.Answer.LearnedFrom = g.lengths.Sources(likely)
	}
	ahead, wait := g.queue.Ahead(now, dispatch.Request{Team: answer.Team, Rank: route.Rank, Need: need, Objective: route.Objective})
	answer.Ahead, answer.WaitMS = ahead, wait.Milliseconds()
	decision := g.chains.Explain(now, need)
	switch {
	case decision.Failure != chain.NoFailure:
		answer.Outcome = decision.Failure.String()
		if until := g.chains.PausedUntil(now); decision.Failure == chain.Paused && !until.IsZero() {
			answer.PausedForMS = until.Sub(now).Milliseconds()
		}
	case ahead > 0:
		answer.Outcome = "waits"
	default:
		answer.Outcome = "starts"
	}
	for _, c := range decision.Chains {
		answer.Chains = append(answer.Chains, WhereChain{
			Servers: formatStages(&chain.Chain{Stages: c.Stages}), Score: c.Score, Running: c.RunningSeconds, Wait: c.WaitSeconds,
			StepMS: float64(c.Step) / float64(time.Millisecond), TooSlow: c.TooSlow, LongPauses: c.LongPauses,
		})
	}
	for _, x := range decision.Excluded {
		answer.Excluded = append(answer.Excluded, WhereExcluded(x))
	}
}
