package gateway

import (
	"sync"
	"time"
)

const (
	// refusedGenerationTTL is how long a refusal is remembered. Callers retry within a third
	// of their deadline, which is 20 s for a generation.
	refusedGenerationTTL = 8 * time.Second
	// maxRefusedGenerations bounds the refusals that are remembered.
	maxRefusedGenerations = 16384
	// maxUnsentRefusals bounds the refusals that wait to be sent to the other VMs.
	maxUnsentRefusals = 256
)

// refusedSet remembers the refused generations of all VMs, because a refused caller
// may retry at any of them. It is safe for concurrent use.
type refusedSet struct {
	mu         sync.Mutex
	refusedAt  map[fingerprint]time.Time
	unsent     []uint64
	lastPruned time.Time
}

func newRefusedSet() *refusedSet { return &refusedSet{refusedAt: make(map[fingerprint]time.Time)} }

// add records a refusal. Refusals by this VM (own) are also sent to the other VMs.
func (r *refusedSet) add(now time.Time, f fingerprint, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refusedAt) >= maxRefusedGenerations && now.Sub(r.lastPruned) > time.Second {
		r.lastPruned = now
		for old, when := range r.refusedAt {
			if now.Sub(when) > refusedGenerationTTL {
				delete(r.refusedAt, old)
			}
		}
	}
	if len(r.refusedAt) >= maxRefusedGenerations {
		return // its retry is treated as a new request
	}
	r.refusedAt[f] = now
	if own && len(r.unsent) < maxUnsentRefusals {
		r.unsent = append(r.unsent, uint64(f))
	}
}

// consume reports whether a request is a retry after a refusal, and forgets that refusal.
func (r *refusedSet) consume(now time.Time, f fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	when, ok := r.refusedAt[f]
	delete(r.refusedAt, f)
	return ok && now.Sub(when) <= refusedGenerationTTL
}

// hasUnsent reports whether takeUnsent would return any.
func (r *refusedSet) hasUnsent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unsent) > 0
}

// takeUnsent returns the refusals by this VM since the last call.
func (r *refusedSet) takeUnsent() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	unsent := r.unsent
	r.unsent = nil
	return unsent
}
