package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cornelline/cornelline/pkg/handover"
	"github.com/cornelline/cornelline/pkg/intakehttp"
	"github.com/cornelline/cornelline/platform"
)

const (
	// addressTTL is how long callers may cache an answer of the directory. It is short so
	// that callers leave a stopping VM within its grace time, although some of them use an
	// answer for three times as long.
	addressTTL = time.Second
	// maxAddresses is the largest number of addresses that callers accept in an answer.
	maxAddresses = 64
)

// serveReady answers whether this VM is ready for callers.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if !platform.IsReadinessRequest(r) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v := g.view.Load()
	if v.catalog == nil || !v.listKnown && !g.hasWaitedForList() || g.shutdown.isStopping() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// hasWaitedForList reports whether the VM has waited long enough for the list of upstreams.
// With the configuration alone it can at least refuse requests with the correct error.
func (g *Gateway) hasWaitedForList() bool { return time.Since(g.started) > maxListWait }

// maxListWait is the age at which a VM with a configuration counts as ready without the list
// of upstreams.
const maxListWait = 3 * time.Second

// serveDirectory answers which addresses callers should use.
func (g *Gateway) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if !platform.IsResolutionRequest(r) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	v := g.view.Load()
	addresses := v.addresses
	if self := g.handoverSelf(); self.Stopping { // what a stopping VM admits changes with time
		addresses = handover.PublishedAddresses(time.Now(), append([]handover.VM{self}, v.otherVMs...))
	}
	if len(addresses) > maxAddresses {
		start := int(random() * float64(len(addresses)))
		rotated := append(append([]string(nil), addresses[start:]...), addresses[:start]...)
		addresses = rotated[:maxAddresses]
	}
	ttl := min(addressTTL, max(g.platformBounds.Load().MaxAddressTTL, time.Second))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(platform.Resolution{Addresses: addresses, TTLSeconds: ttl.Seconds()}) // the caller may have disconnected
}

// serveOperators answers operators, and the platform that collects the metrics.
func (g *Gateway) serveOperators(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wherePath {
		g.serveWhere(w, r)
		return
	}
	g.serveMetrics(w, r)
}

// serveMetrics writes the metrics in text format.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	v := g.view.Load()
	g.stats.SetGauge("vms", int64(v.vms))
	g.stats.SetGauge("vms_assumed", g.assumedVMs.Load())
	g.stats.SetGauge("upstreams", int64(len(v.upstreams)))
	g.stats.SetGauge("upstreams_out", int64(len(v.ejected)))
	g.stats.SetGauge("in_flight", int64(g.shutdown.inFlightCount()))
	g.stats.SetGauge("connections_opened", int64(g.pool.Opened()))
	g.stats.SetGauge("log_lines_dropped", int64(g.output.Dropped()))
	intakehttp.SetGauges(g.stats, g.callers)
	storeUp := int64(0)
	if g.control.isStoreUp() {
		storeUp = 1
	}
	g.stats.SetGauge("store_up", storeUp)
	if v.catalog != nil {
		g.stats.SetGauge("config_version", int64(v.catalog.Version))
	}
	for id, gate := range v.gates {
		g.stats.SetGauge("waiting", int64(gate.waitingCount()), "service", string(id))
		held, unclaimedKV := gate.firstTries(time.Now())
		g.stats.SetGauge("first_tries_held", int64(held), "service", string(id))
		g.stats.SetGauge("unclaimed_kv", int64(unclaimedKV), "service", string(id))
		errors, wait := gate.costs(time.Now())
		g.stats.SetGauge("engine_backlog_ms", wait.Milliseconds(), "service", string(id))
		g.stats.SetGauge("lengths_observed", int64(errors.Answers), "service", string(id))
		g.stats.SetGauge("lengths_inside", int64(errors.Inside), "service", string(id))
		g.stats.SetGauge("lengths_above", int64(errors.Above), "service", string(id))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = g.stats.WriteText(w, "") // the reader may have disconnected
}
