package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/quarantine"
)

// TestSharedPartThatCrashesUpstreams guards against requests that share one message and are otherwise
// not alike, each of which crashes an upstream, and against refusing the sound requests that share
// their other messages.
func TestSharedPartThatCrashesUpstreams(t *testing.T) {
	const (
		settleWindow = 3 * time.Second
		allowedLate  = 3
	)
	for seed := range uint64(10) {
		f := newTestFleet(seed)
		var crashedAt []time.Time
		sound, served := 0, 0
		var late []fleet.RequestID
		for step := range 4000 {
			if step%20 == 0 && step < 3500 {
				id := fleet.RequestID(fmt.Sprint("i", step))
				body := fmt.Appendf(nil, "%s sound work %x %x", id, f.random.Uint64(), f.random.Uint64())
				f.submit(&job{id: id, vm: f.random.IntN(4),
					print: quarantine.NewFingerprint("t", "m", body).WithParts([]string{"the team's guide", fmt.Sprintf("product %c", 'a'+f.random.IntN(26)), "tone"})})
				if len(crashedAt) >= 5 && f.now.After(crashedAt[4].Add(2*settleWindow)) {
					sound++
					late = append(late, id)
				}
			}
			if step%50 == 0 {
				id := fleet.RequestID(fmt.Sprint("p", step))
				body := fmt.Appendf(nil, "%x %x other work each time %x", f.random.Uint64(), f.random.Uint64(), f.random.Uint64())
				f.submit(&job{id: id, poison: true, vm: f.random.IntN(4),
					print: quarantine.NewFingerprint("t", "m", body).WithParts([]string{"the team's guide", "the product that crashes", "tone"})})
			}
			before := f.crashes
			f.step()
			for range f.crashes - before {
				crashedAt = append(crashedAt, f.now)
			}
		}
		lateCrashes := 0
		for i, at := range crashedAt {
			if i >= 5 && at.After(crashedAt[4].Add(settleWindow)) {
				lateCrashes++
			}
		}
		for _, id := range late {
			if f.completed[id] {
				served++
			}
		}
		if lateCrashes > allowedLate || sound < 20 || 2*served < sound {
			t.Errorf("seed %d: %d upstreams crashed, %d of them late, at most %d may; %d of %d sound requests served, at least half must be",
				seed, len(crashedAt), lateCrashes, allowedLate, served, sound)
		}
	}
}
