package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/admission"
	"github.com/cornelline/cornelline/pkg/fleet"
)

var epoch = time.Date(2030, 1, 1, 22, 0, 0, 0, time.UTC)

// TestUrgentOvertakes guards against urgent work waiting behind queued overnight work.
func TestUrgentOvertakes(t *testing.T) {
	is := is.New(t)
	q := admission.New(admission.DefaultConfig())
	q.SetCapacity(epoch, admission.Capacity{Model: "m", Slots: 4}, nil)
	var started []fleet.RequestID
	apply := func(actions []admission.Action) {
		for _, a := range actions {
			is.Equal(a.Kind, admission.Start)
			started = append(started, a.Request)
		}
	}
	for i := range 20 {
		apply(q.Arrive(epoch, admission.Request{ID: fleet.RequestID(fmt.Sprint("o", i)), Team: "a", Rank: fleet.Overnight, Model: "m", Deadline: epoch.Add(8 * time.Hour), Cost: 100}, nil))
	}
	n := len(started)
	is.True(n <= 4)
	apply(q.Arrive(epoch, admission.Request{ID: "u", Team: "b", Rank: fleet.Urgent, Model: "m", Cost: 100}, nil))
	is.Equal(started[n], fleet.RequestID("u"))
}
