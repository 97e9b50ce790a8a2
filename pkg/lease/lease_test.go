package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
)

// TestApply guards against two holders of one epoch and against an epoch that
// decreases.
func TestApply(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table, ok := table.Apply(&record.Lease{Resource: "r", Holder: "a"}, 1)
	is.True(ok)
	same, ok := table.Apply(&record.Lease{Resource: "r", Holder: "b"}, 2)
	is.True(!ok)
	is.Equal(same.Get("r"), Entry{Epoch: 1, Holder: "a", Offset: 1})
	next, ok := table.Apply(&record.Lease{Resource: "r", Holder: "b", Base: 1}, 3)
	is.True(ok)
	is.Equal(next.Get("r"), Entry{Epoch: 2, Holder: "b", Offset: 3})
	is.Equal(table.Get("r").Epoch, uint64(1))
	is.Equal(Restore(next.Save()).Get("r"), next.Get("r"))
}

// TestNext guards against a VM that acquires a lease before it expires, and against a
// holder that lets its own lease expire.
func TestNext(t *testing.T) {
	seen := time.Unix(100, 0)
	for _, row := range []struct {
		entry Entry
		me    fleet.VMID
		age   time.Duration
		want  Action
	}{
		{Entry{}, "a", 0, Acquire},
		{Entry{Epoch: 1, Holder: "b"}, "a", 5 * time.Second, Wait},
		{Entry{Epoch: 1, Holder: "b"}, "a", 10 * time.Second, Acquire},
		{Entry{Epoch: 1, Holder: "a"}, "a", time.Second, Hold},
		{Entry{Epoch: 1, Holder: "a"}, "a", 4 * time.Second, Renew},
	} {
		if got := Next(row.entry, row.me, seen, seen.Add(row.age), 10*time.Second); got != row.want {
			t.Errorf("%+v: Next returned action %v", row, got)
		}
	}
	if MayAct(seen, seen.Add(10*time.Second), 10*time.Second) {
		t.Error("MayAct is true after the holder's period has passed")
	}
}
