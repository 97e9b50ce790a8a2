package replica

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/record"
)

// TestSnapshotKeepsItsTimes guards against a restored state that loses the time of the
// last snapshot or of the first record, or that sets one of them when it was unset.
func TestSnapshotKeepsItsTimes(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1e9, 123456789).UTC()
	for _, c := range []struct{ since, snapshotAt time.Time }{{at, at.Add(time.Hour)}, {at, time.Time{}}, {time.Time{}, time.Time{}}} {
		s := NewState()
		s.Offset, s.FirstAppendedAt, s.SnapshotAt = 5, c.since, c.snapshotAt
		data, err := s.encode(at)
		is.NoErr(err)
		back, err := decodeState(record.Snapshot{State: data, Hash: sha256.Sum256(data), Covers: 5})
		is.NoErr(err)
		is.Equal(back.FirstAppendedAt, c.since)
		is.Equal(back.SnapshotAt, c.snapshotAt)
	}
}
