package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShutdownRejectsNewRequests: requests in flight are counted until they end, and new
// ones are rejected.
func TestShutdownRejectsNewRequests(t *testing.T) {
	is := is.New(t)
	s := newShutdown()
	is.True(s.admitRequest())
	is.True(!s.isStopping())
	s.begin(time.Now(), time.Now().Add(time.Second))
	is.True(s.isStopping())
	is.True(s.admitRequest())
	s.rejectNew()
	is.True(!s.admitRequest())
	is.Equal(s.inFlightCount(), 2)
}
