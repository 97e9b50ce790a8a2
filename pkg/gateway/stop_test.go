package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoppingVMLeavesGenerationsToOthers: what could not end in the grace time is
// not begun, and while no other VM takes callers only what surely ends is.
func TestStoppingVMLeavesGenerationsToOthers(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newStopper()
	is.True(s.takesGeneration(now, time.Hour, true))
	s.begin(now.Add(2*time.Second), now.Add(7*time.Second))
	is.True(s.takesGeneration(now.Add(time.Second), time.Hour, true)) // callers still have the address
	late := now.Add(3 * time.Second)
	is.True(!s.takesGeneration(late, time.Second, true))
	is.True(s.takesGeneration(late, time.Second, false))
	is.True(!s.takesGeneration(late, 4*time.Second, false))
	s.refuseNew()
	is.True(!s.enter())
}
