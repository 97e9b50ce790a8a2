package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/standin"
	"github.com/cornelline/cornelline/pkg/upstream"
)

// TestStageRefuses guards against a stage that runs a position twice or out of order, a
// superseded attempt, or a request for another version or other layers.
func TestStageRefuses(t *testing.T) {
	call := func(attempt, first int, start bool, version string, end int) string {
		return fmt.Sprintf(`{"session":"s","attempt":%d,"model":"m","version":%q,"start":%t,"first":%d,"tokens":[7],"activations":[9],`+
			`"chain":[{"upstream":"e1","layers":{"first":2,"end":%d}}]}`, attempt, version, start, first, end)
	}
	for _, test := range []struct {
		name, call string
		refusal    upstream.RefusalReason
	}{
		{"next position", call(2, 1, false, "v1", 4), ""},
		{"position again", call(2, 0, false, "v1", 4), upstream.RefusedPosition},
		{"position skipped", call(2, 2, false, "v1", 4), upstream.RefusedPosition},
		{"attempt again", call(2, 0, true, "v1", 4), upstream.RefusedAttempt},
		{"lower attempt", call(1, 0, true, "v1", 4), upstream.RefusedAttempt},
		{"position of a lower attempt", call(1, 1, false, "v1", 4), upstream.RefusedAttempt},
		{"attempt without its start", call(3, 1, false, "v1", 4), upstream.RefusedAttempt},
		{"higher attempt from an empty KV cache", call(3, 0, true, "v1", 4), ""},
		{"higher attempt with a KV cache that is not kept", call(3, 1, true, "v1", 4), upstream.RefusedPosition},
		{"start beyond the positions sent", strings.Replace(call(3, 0, true, "v1", 4), `"layers"`, `"start":1,"layers"`, 1), upstream.RefusedPosition},
		{"start before the positions sent", strings.Replace(call(3, 2, true, "v1", 4), `"layers"`, `"start":1,"layers"`, 1), upstream.RefusedPosition},
		{"start beyond the KV cache", strings.Replace(call(3, 2, true, "v1", 4), `"layers"`, `"start":2,"layers"`, 1), upstream.RefusedPosition},
		{"start at the end of the KV cache", strings.Replace(call(3, 1, true, "v1", 4), `"layers"`, `"start":1,"layers"`, 1), ""},
		{"other version", call(2, 1, false, "v2", 4), upstream.RefusedAssignment},
		{"other layers", call(2, 1, false, "v1", 5), upstream.RefusedAssignment},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := standin.NewNetwork()
				engine := standin.NewEngine(standin.EngineConfig{ID: "e1", Assignment: upstream.Assignment{
					Role: upstream.RoleServe, Model: "m", Version: "v1", Layers: fleet.LayerRange{First: 2, End: 4},
				}}, network.Client())
				server, err := standin.NewServer(engine, "10.0.0.1:80", network.Listen)
				is.NoErr(err)
				defer server.Close()
				client := network.Client()
				post := func(body string) string {
					resp, err := client.Post("http://10.0.0.1:80"+standin.PathForward, "application/json", strings.NewReader(body))
					is.NoErr(err)
					defer resp.Body.Close()
					is.Equal(resp.StatusCode, http.StatusOK)
					answer, err := io.ReadAll(resp.Body)
					is.NoErr(err)
					return string(answer)
				}
				is.True(strings.Contains(post(call(2, 0, true, "v1", 4)), `"result"`))
				answer := post(test.call)
				if test.refusal == "" {
					is.True(strings.Contains(answer, `"result"`))
				} else {
					is.True(strings.Contains(answer, fmt.Sprintf(`"refusal":%q`, test.refusal)))
				}
			})
		})
	}
}
