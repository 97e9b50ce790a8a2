package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/internal/testbed"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/standin"
)

// addServiceRoute adds a route over all servers of the service that accepts bodies of up to 16 MB, and
// waits until it is in force.
func addServiceRoute(t *testing.T, name string, repeatable bool) {
	t.Helper()
	var servers []string
	for _, s := range shared.Standins.Services {
		servers = append(servers, `"`+s.ID+`"`)
	}
	settings := fmt.Sprintf(`{"path": "/%s", "repeatable": %t, "upstreams": [%s], "limits": {"body_bytes": %d}}`, name, repeatable, strings.Join(servers, ","), 16<<20)
	version := shared.get(0, "/v1/settings/route/"+name, testbed.OperatorKey).version() // 0 unless the test runs again
	if a := shared.set(0, "route/"+name, strconv.FormatUint(version, 10), settings); a.status != http.StatusOK {
		t.Fatalf("route %s: %d %s", name, a.status, a.body)
	}
	waitFor(t, func() bool {
		a := shared.send(0, http.MethodPost, "/v1/services/"+name, testbed.TeamKey, http.Header{"Idempotency-Key": {newKey(t)}}, map[string]int{"slot": 1})
		return a.status == http.StatusOK
	})
}

// breakServices makes all servers of the service send a broken answer. At the end of the test it waits
// until the first VM uses them again.
func breakServices(t *testing.T, broken standin.BrokenAnswer) {
	t.Helper()
	t.Cleanup(func() {
		for range 20 {
			waitFor(t, func() bool {
				return shared.send(0, http.MethodPost, "/v1/services/stock", testbed.TeamKey, nil, map[string]int{"item": 1}).status == http.StatusOK
			})
		}
	})
	for _, s := range shared.Standins.Services {
		shared.faults(t, s.ID, standin.Faults{Broken: &broken})
	}
}

// checkBrokenCalls sends calls under a key and fails unless callers get a numbered failure whose outcome
// is true and no call runs twice.
func checkBrokenCalls(t *testing.T, route string, body []byte, count int) {
	t.Helper()
	ran := 0
	for range count {
		key := newKey(t)
		a := shared.send(0, http.MethodPost, "/v1/services/"+route, testbed.TeamKey, http.Header{"Idempotency-Key": {key}}, body)
		runs := shared.runs(key)
		ran += runs
		switch {
		case a.err != nil || a.status < http.StatusInternalServerError:
			t.Fatalf("%d %q, %v; want a numbered failure", a.status, a.body, a.err)
		case runs > 1:
			t.Errorf("one call ran %d times", runs)
		case runs > 0 && a.failure().Outcome != result.OutcomeUnknown:
			t.Errorf("a call ran, and its outcome is %q", a.failure().Outcome)
		}
	}
	if ran == 0 {
		t.Error("no call reached a server")
	}
}

// TestResetDuringUploadIsAnUnknownOutcome guards against giving a caller a part of an answer for the
// whole one when the answer has no length and its server resets the connection during the upload, and
// against repeating a call that may not be repeated.
func TestResetDuringUploadIsAnUnknownOutcome(t *testing.T) {
	addServiceRoute(t, "upload", false)
	breakServices(t, standin.BrokenAnswer{Status: "200 OK", Body: "part", Early: true, End: standin.EndReset, EndAfter: standin.Duration(5 * time.Millisecond)})
	checkBrokenCalls(t, "upload", []byte(strings.Repeat("x", 8<<20)), 20)
}

// TestAnswerWithoutLengthIsWhole guards against refusing an answer that ends with its connection after
// the request was taken.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	is := is.New(t)
	addServiceRoute(t, "unframed", true)
	breakServices(t, standin.BrokenAnswer{Status: "200 OK", Body: "whole", End: standin.EndClose})
	for range 5 {
		a := shared.send(0, http.MethodPost, "/v1/services/unframed", testbed.TeamKey, nil, []byte(strings.Repeat("x", 8<<20)))
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		is.Equal(string(a.body), "whole")
	}
}

// TestFieldNamesAreAnUnknownOutcome guards against giving a caller the answer of a server in trouble
// whose head holds a malformed field name, and against repeating the call for it.
func TestFieldNamesAreAnUnknownOutcome(t *testing.T) {
	addServiceRoute(t, "fields", false)
	for _, field := range []string{"X Y: 1", "Content-Length : 2", "X\x01Y: 1"} {
		t.Run(field, func(t *testing.T) {
			breakServices(t, standin.BrokenAnswer{Status: "200 OK", Fields: []string{field}, Body: "whole", End: standin.EndClose})
			checkBrokenCalls(t, "fields", []byte("{}"), 3)
		})
	}
}
