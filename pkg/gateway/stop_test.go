package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopperRefusesNew: requests in flight are counted until the end, new ones are refused.
func TestStopperRefusesNew(t *testing.T) {
	is := is.New(t)
	s := newStopper()
	is.True(s.enter())
	is.True(!s.stopping())
	s.begin(time.Now(), time.Now().Add(time.Second))
	is.True(s.stopping())
	is.True(s.enter())
	s.refuseNew()
	is.True(!s.enter())
	is.Equal(s.running(), 2)
}
