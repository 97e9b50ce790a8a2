package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/catalog"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/platform"
)

// countingEngine answers reports and orders. After its first report it accepts an order of another
// VM, so that the number of accepted orders differs from the reported one.
type countingEngine struct {
	sequence int
	// other is the layers that the order of the other VM left; the reported ones if it changed the
	// path of a stream.
	layers, other [2]int
	reports       int
	placed        []int // the expected number of each order for layers
}

func (e *countingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		_ = json.NewEncoder(w).Encode(map[string]any{"sequence": e.sequence, "pace": 1, "layers": map[string]int{"source": e.layers[0], "to": e.layers[1]}})
		if e.reports++; e.reports == 1 {
			e.sequence++
			e.layers = e.other
		}
		return
	}
	var order struct{ Expected int }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.placed = append(e.placed, order.Expected)
	if order.Expected != e.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// TestLeaderRepeatsAnOrderAfterAChangeOfAPath guards against layers that stay away for seconds
// because another VM changed the path of a stream between the leader's report and its order. An
// order for layers of another leader in between must not be overridden.
func TestLeaderRepeatsAnOrderAfterAChangeOfAPath(t *testing.T) {
	for _, c := range []struct {
		other  [2]int
		placed []int
	}{
		{other: [2]int{0, 4}, placed: []int{7, 8}},
		{other: [2]int{4, 8}, placed: []int{7}},
	} {
		is := is.New(t)
		engine := &countingEngine{sequence: 7, layers: [2]int{0, 4}, other: c.other}
		server := httptest.NewServer(engine)
		defer server.Close()
		var log lockedBuffer
		g := newTestGateway(&log)
		g.notices = newNotices()
		g.servers = platform.NewServerClient((&net.Dialer{Timeout: time.Second}).DialContext)
		l := &leader{g: g, orders: make(map[fleet.UpstreamID]*placementOrder), fencingToken: 1}
		l.orderLayers(context.Background(), time.Now(), &catalog.Engine{Layers: 8}, roster.Upstream{ID: "e", Address: server.Listener.Addr().String()}, fleet.LayerRange{First: 2, End: 6})
		g.tasks.Wait()
		is.Equal(engine.placed, c.placed)
	}
}
