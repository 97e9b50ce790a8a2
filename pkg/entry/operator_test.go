package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/cornelline/cornelline/internal/testbed"
	"github.com/cornelline/cornelline/pkg/explain"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/standin"
)

// statusBody is the part of GET /v1/status that the tests read.
type statusBody struct {
	LogAvailable bool `json:"log_available"`
	Upstreams    []struct {
		Upstream string
		Kind     string
		InFlight int `json:"in_flight_here"`
	}
}

func (f *testFleet) status(vm int) statusBody {
	var s statusBody
	_ = json.Unmarshal(f.get(vm, "/v1/status", testbed.OperatorKey).body, &s)
	return s
}

// version returns the version of the branch in an answer, 0 when there is none.
func (a answer) version() uint64 {
	var branch struct{ Version uint64 }
	_ = json.Unmarshal(a.body, &branch)
	return branch.Version
}

// set changes a branch; version is the one that the change builds on.
func (f *testFleet) set(vm int, branch, version, value string) answer {
	return f.send(vm, http.MethodPut, "/v1/settings/"+branch, testbed.OperatorKey, http.Header{"If-Match": {version}}, []byte(value))
}

// TestOperatorsRace guards I7: of concurrent changes to one branch exactly one is
// accepted and the others are conflicts, and a change to another branch is accepted.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	answers := make([]answer, 4)
	var operators sync.WaitGroup
	for i := range answers {
		branch := "team/race"
		if i == 3 {
			branch = "team/race-other"
		}
		operators.Go(func() { answers[i] = shared.set(i, branch, "0", `{"weight": `+string(rune('1'+i))+`}`) })
	}
	operators.Wait()
	accepted, version := 0, uint64(0)
	for _, a := range answers[:3] {
		if a.status == http.StatusOK {
			accepted++
			version = a.version()
			continue
		}
		is.Equal(a.failure().Code, result.SettingsConflict)
		is.Equal(a.failure().Outcome, result.NotRun)
	}
	is.Equal(accepted, 1)
	is.Equal(answers[3].status, http.StatusOK)
	for vm := range shared.VMs {
		waitFor(t, func() bool {
			return shared.get(vm, "/v1/settings/team/race", testbed.OperatorKey).version() == version
		})
	}
}

// TestSettingsErrorsNameThePath guards against a change with a typo that is accepted,
// or rejected without the name of the setting.
func TestSettingsErrorsNameThePath(t *testing.T) {
	is := is.New(t)
	for value, want := range map[string]string{
		`{"wieght": 2}`:      "wieght",
		`{"weight": "much"}`: "weight",
		`{"weight": -1}`:     "weight",
	} {
		a := shared.set(0, "team/typo", "0", value)
		is.Equal(a.failure().Code, result.SettingsInvalid)
		is.True(strings.Contains(a.failure().Message, want))
	}
	is.Equal(shared.get(0, "/v1/settings/team/typo", testbed.OperatorKey).failure().Code, result.UnknownBranch)
	value := shared.get(1, "/v1/settings-effective?team=kranzhost&name=default_rank", testbed.OperatorKey)
	is.True(strings.Contains(string(value.body), `"branch":"team/kranzhost"`)) // the answer names the branch that sets the value
}

// runs returns how often a key ran, summed over all servers of the booking service.
func (f *testFleet) runs(key string) int {
	total := 0
	for _, s := range f.Standins.Services {
		resp, err := http.Get("http://" + s.Listen + standin.PathRuns)
		if err != nil {
			continue
		}
		var counts standin.Runs
		_ = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		total += counts.ByKey[key]
	}
	return total
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return key.String()
}

// TestOneKeyThroughAllVMsRunsOnce guards I4 when callers send one key through different
// VMs at the same time: the call runs once, repeats get the recorded answer, and another
// body under the key is refused.
func TestOneKeyThroughAllVMsRunsOnce(t *testing.T) {
	is := is.New(t)
	key := newKey(t)
	header := http.Header{"Idempotency-Key": {key}}
	var callers sync.WaitGroup
	for vm := range shared.VMs {
		for range 3 {
			callers.Go(func() {
				a := shared.send(vm, http.MethodPost, "/v1/services/booking", testbed.TeamKey, header, map[string]int{"slot": 7})
				if a.status != http.StatusOK && a.failure().Code != result.ClaimInProgress {
					t.Errorf("unexpected answer: %d %s", a.status, a.body)
				}
			})
		}
	}
	callers.Wait()
	is.Equal(shared.runs(key), 1)
	var first []byte
	for vm := range shared.VMs {
		waitFor(t, func() bool {
			a := shared.send(vm, http.MethodPost, "/v1/services/booking", testbed.TeamKey, header, map[string]int{"slot": 7})
			if a.status != http.StatusOK {
				return false
			}
			if first == nil {
				first = a.body
			}
			return string(a.body) == string(first)
		})
	}
	reused := shared.send(0, http.MethodPost, "/v1/services/booking", testbed.TeamKey, header, map[string]int{"slot": 8})
	is.Equal(reused.failure().Code, result.KeyReused)
	is.Equal(shared.runs(key), 1)
}

// TestLostServiceAnswerIsUnknown guards I3 and I4: a call whose answer was lost must
// not be sent again nor be reported as not run.
func TestLostServiceAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	for _, s := range shared.Standins.Services {
		shared.faults(t, s.ID, standin.Faults{LoseAnswers: true})
	}
	key := newKey(t)
	a := shared.send(0, http.MethodPost, "/v1/services/booking", testbed.TeamKey, http.Header{"Idempotency-Key": {key}}, map[string]int{"slot": 1})
	is.Equal(a.failure().Code, result.UpstreamOutcomeUnknown)
	is.Equal(a.failure().Outcome, result.OutcomeUnknown)
	is.Equal(shared.runs(key), 1)
}

// TestLogUnavailable guards I3 during an outage of the log: non-repeatable calls are
// refused without being sent, settings changes are refused, chat continues, and calls
// succeed again afterwards.
func TestLogUnavailable(t *testing.T) {
	is := is.New(t)
	shared.faults(t, "log", standin.Faults{Outage: true})
	waitFor(t, func() bool { return !shared.status(0).LogAvailable })
	key := newKey(t)
	header := http.Header{"Idempotency-Key": {key}}
	booking := shared.send(0, http.MethodPost, "/v1/services/booking", testbed.TeamKey, header, map[string]int{"slot": 2})
	is.Equal(booking.failure().Code, result.LogUnavailable)
	is.Equal(booking.failure().Outcome, result.OutcomeUnknown) // an earlier call with the key may have run elsewhere
	is.True(booking.failure().RetryAfterMS > 0)
	is.Equal(shared.runs(key), 0)
	is.Equal(shared.set(0, "team/away", "0", `{}`).failure().Code, result.LogUnavailable)
	is.Equal(shared.send(0, http.MethodPost, "/v1/chat/completions", testbed.TeamKey, nil, testbed.ChatBody("log away", 3, false)).status, http.StatusOK)
	shared.group.StandIns["log"].SetFaults(standin.Faults{})
	waitFor(t, func() bool {
		return shared.send(0, http.MethodPost, "/v1/services/booking", testbed.TeamKey, header, map[string]int{"slot": 2}).status == http.StatusOK
	})
	is.Equal(shared.runs(key), 1)
}

// decisions returns the steps and the outcome of a request's explanation, without times
// and texts.
func decisions(t *testing.T, a answer) []string {
	t.Helper()
	waitFor(t, func() bool {
		return shared.get(0, "/v1/requests/"+a.header.Get("Cornelline-Request-Id"), testbed.TeamKey).status == http.StatusOK
	})
	var trace explain.Trace
	if err := json.Unmarshal(shared.get(0, "/v1/requests/"+a.header.Get("Cornelline-Request-Id"), testbed.TeamKey).body, &trace); err != nil {
		t.Fatal(err)
	}
	var steps []string
	for _, s := range trace.Steps {
		steps = append(steps, s.What)
	}
	return append(steps, trace.Outcome)
}

// TestRehearsalDecidesAsAnIncident guards against a rehearsed loss of the answers of a
// route's servers that leads to other decisions than a real one.
func TestRehearsalDecidesAsAnIncident(t *testing.T) {
	is := is.New(t)
	call := func() answer {
		return shared.send(0, http.MethodPost, "/v1/services/stock", testbed.TeamKey, nil, map[string]int{"item": 1})
	}
	// Successes on all servers reset their failure counts, so that earlier failures do
	// not eject a server here.
	healthy := func() {
		for range 20 {
			waitFor(t, func() bool { return call().status == http.StatusOK })
		}
	}
	healthy()

	rehearsal := shared.send(0, http.MethodPost, "/v1/rehearsals", testbed.OperatorKey, nil,
		map[string]any{"fault": "lost_answer", "targets": []string{"booking-1", "booking-2", "booking-3"}, "for": "1m"})
	is.Equal(rehearsal.status, http.StatusOK)
	rehearsed := call()
	var started struct{ ID string }
	is.NoErr(json.Unmarshal(rehearsal.body, &started))
	is.Equal(shared.send(0, http.MethodDelete, "/v1/rehearsals/"+started.ID, testbed.OperatorKey, nil, nil).status, http.StatusOK)
	healthy()

	for _, s := range shared.Standins.Services {
		shared.faults(t, s.ID, standin.Faults{LoseAnswers: true})
	}
	incident := call()
	is.Equal(rehearsed.failure().Code, incident.failure().Code)
	is.Equal(rehearsed.failure().Outcome, incident.failure().Outcome)
	is.Equal(decisions(t, rehearsed), decisions(t, incident))

	unbounded := shared.send(0, http.MethodPost, "/v1/rehearsals", testbed.OperatorKey, nil,
		map[string]any{"fault": "refuse", "targets": []string{"engine-1"}, "for": "48h"})
	is.Equal(unbounded.failure().Code, result.RehearsalOutOfBounds)
}
