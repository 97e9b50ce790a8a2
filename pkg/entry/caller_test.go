package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cornelline/cornelline/internal/testbed"
	"github.com/cornelline/cornelline/pkg/config"
	"github.com/cornelline/cornelline/pkg/entry"
	"github.com/cornelline/cornelline/pkg/event"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/standin"
)

func client(vm int) openai.Client { return clientOf(shared.VMs[vm].Address) }

func clientOf(address string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+address+"/v1"), option.WithAPIKey(testbed.TeamKey), option.WithMaxRetries(0))
}

func params(prompt string, limit int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: openai.ChatModel(testbed.ModelID), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(limit),
	}
}

// streamed is a streamed answer as the official client received it.
type streamed struct {
	text, finish string
	err          error
}

// stream reads a streamed answer and calls onToken after each piece with the number of
// pieces so far.
func stream(vm int, prompt string, limit int64, onToken func(n int)) streamed {
	return streamVia(shared.VMs[vm].Address, prompt, limit, onToken)
}

func streamVia(address, prompt string, limit int64, onToken func(n int)) streamed {
	c := clientOf(address)
	s := c.Chat.Completions.NewStreaming(context.Background(), params(prompt, limit))
	var out streamed
	for n := 0; s.Next(); {
		for _, choice := range s.Current().Choices {
			out.text += choice.Delta.Content
			out.finish += choice.FinishReason
			if choice.Delta.Content != "" {
				n++
				onToken(n)
			}
		}
	}
	out.err = s.Err()
	return out
}

// TestOfficialClientStreamsThroughACrashedStage guards I1: the crash of a stage in the
// middle of a stream must not change, repeat or lose a token of the answer.
func TestOfficialClientStreamsThroughACrashedStage(t *testing.T) {
	is := is.New(t)
	const limit = 60
	// The prompts differ, because near-identical requests at two crashes are quarantined.
	for i, prompt := range []string{"Describe the harvest festival", "Care label for a wool blanket"} {
		killed := ""
		got := stream(i, prompt, limit, func(n int) {
			if n == 10 {
				killed = shared.busyEngines(i)[i]
				shared.faults(t, killed, standin.Faults{Crashed: true})
			}
		})
		is.NoErr(got.err)
		is.True(killed != "") // a stage was lost
		is.Equal(got.text, testbed.ExpectedText(prompt, limit))
		is.True(got.finish != "")
	}
}

// TestOfficialClientPlain guards the protocol without streaming and the list of models.
func TestOfficialClientPlain(t *testing.T) {
	is := is.New(t)
	c := client(2)
	got, err := c.Chat.Completions.New(t.Context(), params("care notes", 20))
	is.NoErr(err)
	is.Equal(got.Choices[0].Message.Content, testbed.ExpectedText("care notes", 20))
	is.Equal(got.Usage.CompletionTokens, int64(20))
	models, err := c.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(models.Data[0].ID, string(testbed.ModelID))
}

// TestBrokenStreamIsReported guards I2: the client must receive a broken stream as an
// error, never as a complete answer.
func TestBrokenStreamIsReported(t *testing.T) {
	is := is.New(t)
	got := stream(0, "every stage dies", 200, func(n int) {
		if n == 5 {
			for _, e := range shared.Standins.Engines {
				shared.faults(t, e.ID, standin.Faults{Crashed: true})
			}
		}
	})
	is.True(got.err != nil)
	is.Equal(got.finish, "")
	is.True(strings.HasPrefix(testbed.ExpectedText("every stage dies", 200), got.text)) // the part received is correct
}

// TestManyCallersGetTheirOwnAnswers guards I2 when engines send events twice or replace
// them by events of other requests.
func TestManyCallersGetTheirOwnAnswers(t *testing.T) {
	shared.faults(t, "engine-1", standin.Faults{DuplicateEvery: 7, SwapEvery: 11})
	shared.faults(t, "engine-3", standin.Faults{SwapEvery: 13})
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			prompt := "caller " + strings.Repeat("x", i)
			got := stream(i%4, prompt, 30, func(int) {})
			want := testbed.ExpectedText(prompt, 30)
			if got.err == nil && got.text != want || !strings.HasPrefix(want, got.text) {
				t.Errorf("caller %d got %q (error %v), want %q", i, got.text, got.err, want)
			}
		})
	}
	callers.Wait()
}

// TestRefusalsAreNumbered guards against a refusal without its error code or with an
// outcome that states more or less than is known.
func TestRefusalsAreNumbered(t *testing.T) {
	key := testbed.TeamKey
	body := testbed.ChatBody("x", 1, false)
	other := testbed.ChatBody("x", 1, false)
	other["model"] = "no-such-model"
	cases := map[string]struct {
		path, key string
		header    http.Header
		body      any
		want      result.Code
	}{
		"wrong key":          {"/v1/chat/completions", "wrong", nil, body, result.Unauthenticated},
		"no key":             {"/v1/chat/completions", "", nil, body, result.Unauthenticated},
		"malformed body":     {"/v1/chat/completions", key, nil, []byte("{"), result.MalformedBody},
		"no messages":        {"/v1/chat/completions", key, nil, map[string]any{"model": "m"}, result.MalformedBody},
		"oversized body":     {"/v1/chat/completions", key, nil, testbed.ChatBody(strings.Repeat("x", 2<<20), 1, false), result.BodyTooLarge},
		"unknown model":      {"/v1/chat/completions", key, nil, other, result.UnknownModel},
		"unknown rank":       {"/v1/chat/completions", key, http.Header{"Cornelline-Rank": {"soon"}}, body, result.InvalidHeader},
		"past deadline":      {"/v1/chat/completions", key, http.Header{"Cornelline-Deadline": {"2001-01-01T00:00:00Z"}}, body, result.InvalidHeader},
		"hopeless deadline":  {"/v1/chat/completions", key, http.Header{"Cornelline-Deadline": {"1ms"}}, testbed.ChatBody("x", 500, false), result.DeadlineCannotBeMet},
		"unknown route":      {"/v1/services/none", key, nil, body, result.UnknownRoute},
		"key required":       {"/v1/services/booking", key, nil, body, result.KeyRequired},
		"key without a time": {"/v1/services/booking", key, http.Header{"Idempotency-Key": {"f47ac10b-58cc-4372-a567-0e02b2c3d479"}}, body, result.InvalidHeader},
		"key expired":        {"/v1/services/booking", key, http.Header{"Idempotency-Key": {"0180b2a0-0000-7000-8000-000000000000"}}, body, result.KeyExpired},
		"no such resource":   {"/v1/nothing", key, nil, body, result.UnknownRoute},
	}
	for name, c := range cases {
		got := shared.send(0, http.MethodPost, c.path, c.key, c.header, c.body)
		detail := got.failure()
		if detail.Code != c.want || got.status != c.want.HTTPStatus() {
			t.Errorf("%s: got code %d, status %d (%v), want code %d", name, detail.Code, got.status, got.err, c.want)
		}
		wantOutcome := result.NotRun
		if c.want == result.KeyExpired {
			wantOutcome = result.OutcomeUnknown
		}
		if detail.Outcome != wantOutcome {
			t.Errorf("%s: got outcome %q, want %q", name, detail.Outcome, wantOutcome)
		}
	}
}

// TestStartErrorsAreNumbered guards against an error without its code for an address
// that is in use.
func TestStartErrorsAreNumbered(t *testing.T) {
	is := is.New(t)
	_, err := entry.New(config.Config{Address: shared.VMs[0].Address, PeerAddress: "127.0.0.1:0"}, event.Discard())
	is.Equal(result.From(err).Code, result.AddressInUse)
}

// TestExplanationSaysWhy guards against an explanation that names the chain without the
// reason, or that omits the engines that were passed over.
func TestExplanationSaysWhy(t *testing.T) {
	is := is.New(t)
	shared.faults(t, "engine-4", standin.Faults{Leaving: true})
	waitFor(t, func() bool {
		return strings.Contains(string(shared.get(0, "/v1/status", testbed.OperatorKey).body), `"leaving":true`)
	})
	done := shared.send(0, http.MethodPost, "/v1/chat/completions", testbed.TeamKey, nil, testbed.ChatBody("why", 2, false))
	is.Equal(done.status, http.StatusOK)
	explanation := string(shared.get(0, "/v1/requests/"+done.header.Get("Cornelline-Request-Id"), testbed.TeamKey).body)
	for _, want := range []string{"admitted", "planned", "a token", "slots taken", "passed over: engine-4 leaving", "attempt", "first_token"} {
		is.True(strings.Contains(explanation, want)) // the explanation holds the step or reason
	}
}

// TestTeamsDoNotSeeEachOther guards against a team key that can read another team's
// explanations or counters.
func TestTeamsDoNotSeeEachOther(t *testing.T) {
	is := is.New(t)
	done := shared.send(0, http.MethodPost, "/v1/chat/completions", testbed.TeamKey, nil, testbed.ChatBody("secret", 2, false))
	is.Equal(done.status, http.StatusOK)
	id := done.header.Get("Cornelline-Request-Id")
	for vm := range 2 { // the VM that received the request, and one that asks that VM
		own := shared.get(vm, "/v1/requests/"+id, testbed.TeamKey)
		is.Equal(own.status, http.StatusOK)
		foreign := shared.get(vm, "/v1/requests/"+id, testbed.OtherTeamKey)
		is.Equal(foreign.failure().Code, result.UnknownRequest)
	}
	counters := string(shared.get(0, "/metrics", testbed.OtherTeamKey).body)
	is.True(!strings.Contains(counters, string(testbed.TeamID)))
	is.Equal(shared.get(0, "/v1/status", testbed.TeamKey).failure().Code, result.Forbidden)
}

// busyEngines returns the engines that run requests of a VM, in the order of their IDs.
func (f *testFleet) busyEngines(vm int) []string {
	var list []string
	for _, u := range f.status(vm).Upstreams {
		if u.InFlight > 0 && u.Kind == "engine" {
			list = append(list, u.Upstream)
		}
	}
	return list
}
