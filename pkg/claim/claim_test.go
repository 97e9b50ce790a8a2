package claim

import (
	"encoding/binary"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/record"
)

var start = time.UnixMilli(1_800_000_000_000)

func keyAt(t time.Time, n byte) (key [16]byte) {
	binary.BigEndian.PutUint64(key[:8], uint64(t.UnixMilli())<<16)
	key[6], key[8], key[15] = 0x70, 0x80, n
	return key
}

func newClaim(key [16]byte) *record.Claim { return &record.Claim{Team: "t", Route: "r", Key: key} }

// TestRegister guards against a second valid claim for a key, a done record that
// replaces an earlier one, and a claim that is valid although its key is older than
// the horizon.
func TestRegister(t *testing.T) {
	is := is.New(t)
	r := New()
	key := keyAt(start, 1)
	first, second := record.ID{1}, record.ID{2}
	is.Equal(r.Claim(first, newClaim(key), start), Valid)
	is.Equal(r.Claim(first, newClaim(key), start), Duplicate)
	is.Equal(r.Claim(second, newClaim(key), start), Taken)
	is.Equal(r.Lookup("t", "r", key, [32]byte{}).Status, Pending)
	is.Equal(r.Lookup("t", "r", key, [32]byte{1}).Status, Reused)
	is.Equal(r.Lookup("t", "other", key, [32]byte{}).Status, Free)
	is.True(!r.Done(&record.Done{Claim: second}, 3))
	is.True(r.Done(&record.Done{Claim: first}, 4))
	is.True(!r.Done(&record.Done{Claim: first, NotRun: true}, 5))
	is.Equal(r.Lookup("t", "r", key, [32]byte{}), Info{Status: Finished, DoneOffset: 4})
	is.Equal(r.Claim(record.ID{3}, newClaim(keyAt(start, 2)), start), Valid)

	restored, err := Restore(r.Save())
	is.NoErr(err)
	is.True(reflect.DeepEqual(r.Save(), restored.Save()))
	is.Equal(restored.Lookup("t", "r", keyAt(start, 2), [32]byte{}).Claim, record.ID{3})

	r.Advance(start.Add(time.Millisecond))
	is.Equal(r.Len(), 0)
	is.Equal(r.Claim(record.ID{4}, newClaim(key), start), Expired)
	is.True(!r.Done(&record.Done{Claim: record.ID{3}}, 6))
	r.Advance(start)
	is.Equal(r.Claim(record.ID{4}, newClaim(key), start), Expired)
	is.Equal(r.Claim(record.ID{5}, newClaim([16]byte{0: 1, 6: 0x40, 8: 0x80}), start), Expired)
}

// BenchmarkMemory reports the memory of one finished claim. The sizing in the
// documentation assumes 48 B.
func BenchmarkMemory(b *testing.B) {
	const claims = 340_000 // 1,000/s for 6 h over 64 streams
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := New()
		for i := range claims {
			id := record.ID{byte(i), byte(i >> 8), byte(i >> 16), 1}
			r.Claim(id, newClaim(keyAt(start.Add(time.Duration(i)*time.Millisecond), 1)), start)
			r.Done(&record.Done{Claim: id}, uint64(i+1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "B/claim")
}
