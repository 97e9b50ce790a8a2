package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cornelline/cornelline/pkg/infra"
)

// PathWeights is the path from which engines load weights. The answer has no content; it
// is sent when the load would have finished.
const PathWeights = "/v1/weights"

// WeightStoreConfig describes the stand-in of the weight store.
type WeightStoreConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// BytesPerSecond is the rate shared by all loads. Default 1 GB/s.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// WeightStore is the stand-in of the weight store. Loads are served one at a time, in the
// order of their requests.
type WeightStore struct {
	*faultable
	config WeightStoreConfig
	routes *http.ServeMux

	loadMu sync.Mutex
	// busyUntil is the time at which the last queued load finishes.
	busyUntil time.Time
	served    int64
}

// NewWeightStore returns a weight store stand-in.
func NewWeightStore(config WeightStoreConfig) *WeightStore {
	setDefault(&config.ID, "weight-store")
	setDefault(&config.BytesPerSecond, 1e9)
	s := &WeightStore{faultable: newFaultable(config.ID), config: config, routes: http.NewServeMux()}
	s.routes.HandleFunc("GET "+infra.PathWeightRate, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, infra.RateResponse{BytesPerSecond: config.BytesPerSecond / s.slowFactor()})
	})
	s.routes.HandleFunc("GET "+PathWeights, s.serveWeights)
	return s
}

// ServeHTTP serves the rate, loads and PathFaults.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, s.routes)
}

// Served returns the total size of all loads requested so far, in bytes.
func (s *WeightStore) Served() int64 {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	return s.served
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	bytes, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || bytes < 0 {
		http.Error(w, "bytes must be a number", http.StatusBadRequest)
		return
	}
	if s.awaitLoad(r.Context(), bytes) == nil {
		w.WriteHeader(http.StatusOK)
	}
}

// awaitLoad queues a load behind the earlier ones and waits until it has finished.
func (s *WeightStore) awaitLoad(ctx context.Context, bytes int64) error {
	seconds := float64(bytes) / s.config.BytesPerSecond * s.slowFactor()
	s.loadMu.Lock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(seconds * float64(time.Second)))
	s.served += bytes
	wait := s.busyUntil.Sub(now)
	s.loadMu.Unlock()
	return sleep(ctx, wait)
}

// VMListConfig describes the stand-in of the VM list.
type VMListConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Lag is the delay before a change becomes visible.
	Lag Duration        `json:"lag"`
	VMs []infra.VMEntry `json:"vms"`
}

// VMList is the stand-in of the VM list. A PUT to infra.PathVMs replaces the list.
type VMList struct {
	*faultable
	config VMListConfig
	routes *http.ServeMux

	listMu  sync.Mutex
	visible []infra.VMEntry
	pending []listChange
}

// listChange is a replacement of the VM list that may not be visible yet.
type listChange struct {
	at  time.Time
	vms []infra.VMEntry
}

// NewVMList returns a VM list stand-in.
func NewVMList(config VMListConfig) *VMList {
	setDefault(&config.ID, "vm-list")
	v := &VMList{faultable: newFaultable(config.ID), config: config, routes: http.NewServeMux(), visible: config.VMs}
	v.routes.HandleFunc("GET "+infra.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, infra.VMListResponse{VMs: v.list()})
	})
	v.routes.HandleFunc("PUT "+infra.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		var body infra.VMListResponse
		if readJSON(w, r, &body) {
			v.Set(body.VMs)
			writeJSON(w, http.StatusOK, body)
		}
	})
	return v
}

// ServeHTTP serves the list and PathFaults.
func (v *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.serve(w, r, v.routes)
}

// Set replaces the list; the change becomes visible after VMListConfig.Lag.
func (v *VMList) Set(vms []infra.VMEntry) {
	v.listMu.Lock()
	defer v.listMu.Unlock()
	v.pending = append(v.pending, listChange{at: time.Now(), vms: vms})
}

// list applies the changes that are older than the lag and returns the visible list.
func (v *VMList) list() []infra.VMEntry {
	v.listMu.Lock()
	defer v.listMu.Unlock()
	for len(v.pending) > 0 && time.Since(v.pending[0].at) >= time.Duration(v.config.Lag) {
		v.visible = v.pending[0].vms
		v.pending = v.pending[1:]
	}
	return v.visible
}
