package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusedGenerationsAreSharedBetweenVMs: in an overload, refused callers retry at
// another VM than the one that refused them.
func TestRefusedGenerationsAreSharedBetweenVMs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	a, b := newRefusedSet(), newRefusedSet()
	for f := range fingerprint(300) {
		a.add(now, f, true)
	}
	news := a.takeUnsent()
	is.Equal(len(news), maxUnsentRefusals) // bounded
	is.Equal(len(a.takeUnsent()), 0)
	for _, f := range news {
		b.add(now, fingerprint(f), false)
	}
	is.Equal(len(b.takeUnsent()), 0) // received refusals are not sent on
	is.True(b.consume(now.Add(3*time.Second), 7))
	is.True(!b.consume(now.Add(3*time.Second), 7)) // once for each refusal
	is.True(!b.consume(now, 9999))
	is.True(!b.consume(now.Add(refusedGenerationTTL+time.Second), 8))
}

// TestRefusedGenerationsAreBounded guards against unbounded memory in an overload with many
// refusals. Expired ones are pruned.
func TestRefusedGenerationsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1e9, 0)
	r := newRefusedSet()
	for f := range fingerprint(3 * maxRefusedGenerations) {
		r.add(now, f, false)
	}
	is.Equal(len(r.refusedAt), maxRefusedGenerations)
	later := now.Add(refusedGenerationTTL + 2*time.Second)
	r.add(later, 1<<40, false)
	is.Equal(len(r.refusedAt), 1)
}
