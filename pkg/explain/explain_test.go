package explain_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/explain"
	"github.com/cornelline/cornelline/pkg/fleet"
)

// TestStoreIsBounded guards against memory that grows without limit with the number
// of requests or with the steps of a request.
func TestStoreIsBounded(t *testing.T) {
	is := is.New(t)
	s := explain.NewStore(3)
	arrived := time.Unix(100, 0)
	for i := range 5 {
		r := s.Begin(explain.Trace{Request: fleet.RequestID(strconv.Itoa(i)), Arrived: arrived})
		for range 1000 {
			r.Add(arrived.Add(time.Second), "attempt", "e1", "")
		}
		r.End(arrived.Add(2*time.Second), 0, "ran", "")
	}
	_, ok := s.Get("1")
	is.True(!ok) // the oldest traces are dropped
	last, ok := s.Get("4")
	is.True(ok)
	is.True(len(last.Steps) <= 64)
	is.Equal(last.Steps[0].At, time.Second)
	is.Equal(last.Outcome, "ran")
}
