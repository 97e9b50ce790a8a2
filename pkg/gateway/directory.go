package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/platform"
)

const (
	// addressTTL is how long callers keep an answer of the directory: short, so that
	// they leave a VM that stops within its grace time, some of them after three
	// times as long.
	addressTTL = time.Second
	// maxAddresses is the number of addresses that callers take.
	maxAddresses = 64
)

// serveReady answers whether this VM takes callers.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if !platform.IsReadiness(r) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v := g.view.Load()
	if v.catalog == nil || !v.listed && !g.bootstrapped() || g.stopper.stopping() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// bootstrapped reports whether the VM has waited long enough for the list of
// upstreams: with a configuration alone it can refuse truthfully.
func (g *Gateway) bootstrapped() bool { return time.Since(g.started) > bootstrapTime }

// bootstrapTime is how long a VM that has a configuration waits for the list of
// upstreams before it counts as ready without it.
const bootstrapTime = 3 * time.Second

// serveDirectory tells callers which addresses to use.
func (g *Gateway) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if !platform.IsResolution(r) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v := g.view.Load()
	addresses := v.addresses
	if self := g.self(); self.Stopping { // what it takes, and for how long, changes with time
		addresses = handover.Named(time.Now(), append([]handover.VM{self}, v.others...))
	}
	if len(addresses) > maxAddresses {
		start := int(random() * float64(len(addresses)))
		rotated := append(append([]string(nil), addresses[start:]...), addresses[:start]...)
		addresses = rotated[:maxAddresses]
	}
	ttl := min(addressTTL, max(g.bounds.Load().MaxAddressTTL, time.Second))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(platform.Resolution{Addresses: addresses, TTLSeconds: ttl.Seconds()}) // a caller that left reads nothing
}

// serveMetrics writes counters and histograms as text.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	v := g.view.Load()
	g.stats.Gauge("vms", int64(v.vms))
	g.stats.Gauge("upstreams", int64(len(v.list)))
	g.stats.Gauge("upstreams_out", int64(len(v.dead)))
	g.stats.Gauge("in_flight", int64(g.stopper.running()))
	g.stats.Gauge("connections_opened", int64(g.pool.Opened()))
	g.stats.Gauge("log_lines_dropped", int64(g.output.Dropped()))
	storeUp := int64(0)
	if g.control.storeIsUp() {
		storeUp = 1
	}
	g.stats.Gauge("store_up", storeUp)
	if v.catalog != nil {
		g.stats.Gauge("config_version", int64(v.catalog.Version))
	}
	for id, gate := range v.gates {
		g.stats.Gauge("waiting", int64(gate.waitingCount()), "service", string(id))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = g.stats.WriteText(w, "") // a reader that left reads nothing
}
