package bootstrap_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/bootstrap"
	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/roster"
	"github.com/cornelline/cornelline/pkg/storeera"
)

func version(n uint64) storeera.Version { return storeera.Version{Number: n} }

// TestCopySurvivesTheStore guards against a copy that a VM cannot read back, or that ends it.
func TestCopySurvivesTheStore(t *testing.T) {
	is := is.New(t)
	born := time.UnixMilli(1785000000000)
	c := bootstrap.Copy{
		Config: []byte(`{"version":41}`), Version: storeera.Version{RevertEra: 2, Number: 41}, ListOffset: 77, Era: 3,
		Upstreams: []roster.Upstream{{ID: "i-1", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6, Draining: true, Card: "t4", Layers: fleet.LayerRange{First: 3, End: 9}, Born: born}},
	}
	record, err := bootstrap.Encode(c)
	is.NoErr(err)
	got, err := bootstrap.Decode(record)
	is.NoErr(err)
	is.True(got.Upstreams[0].Born.Equal(born))
	got.Upstreams[0].Born = born
	is.Equal(got, c)

	for _, bad := range [][]byte{nil, {1}, {2, 0}, record[:len(record)/2], []byte(`{"version":41}`)} {
		_, err := bootstrap.Decode(bad)
		is.True(errors.Is(err, bootstrap.ErrFormat))
	}
	noise := make([]byte, bootstrap.MaxBytes+1)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	_, err = bootstrap.Encode(bootstrap.Copy{Config: noise})
	is.True(errors.Is(err, bootstrap.ErrTooLarge))
	huge, err := bootstrap.Encode(bootstrap.Copy{Config: make([]byte, 64<<20)})
	if err == nil {
		_, err = bootstrap.Decode(huge)
	}
	is.True(errors.Is(err, bootstrap.ErrTooLarge))
}

// TestNewestCopyIsUsed guards against a start from an older configuration or list than a copy
// that can be read holds.
func TestNewestCopyIsUsed(t *testing.T) {
	is := is.New(t)
	list := []bootstrap.Copy{
		{Version: version(9), ListOffset: 900, Era: 1},
		{Version: storeera.Version{RevertEra: 2, Number: 4}, ListOffset: 10, Era: 2},
		{Version: storeera.Version{RevertEra: 2, Number: 4}, ListOffset: 30, Era: 2},
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		got, ok := bootstrap.Newest([]bootstrap.Copy{list[order[0]], list[order[1]], list[order[2]]})
		is.True(ok)
		is.Equal(got, list[2])
	}
	_, ok := bootstrap.Newest(nil)
	is.True(!ok)
}

// TestPartitionsAreSpread guards against copies that one outage of a third of the partitions takes
// away together with the platform's records.
func TestPartitionsAreSpread(t *testing.T) {
	for parts := range 64 {
		list := bootstrap.Partitions(parts)
		if parts < 2 {
			if !slices.Equal(list, []int{0}) {
				t.Errorf("%d partitions: %v", parts, list)
			}
			continue
		}
		if len(list) != min(bootstrap.Copies, parts-1) || slices.Contains(list, 0) || slices.Max(list) >= parts {
			t.Errorf("%d partitions: %v", parts, list)
		}
		for lost := range parts { // a third of the partitions in a row
			left := slices.DeleteFunc(slices.Clone(list), func(p int) bool { return (p-lost+parts)%parts < parts/3 })
			if parts >= 6 && len(left) == 0 {
				t.Errorf("%d partitions: %v are lost together", parts, list)
			}
		}
	}
}

// TestCopiesAreWrittenInTime guards against a withdrawn key that is valid again after a loss of all
// VMs because its version was not written at once.
func TestCopiesAreWrittenInTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := bootstrap.NewSchedule(now, version(1), []int{3, 7})
	is.Equal(s.Due(now, version(2), 10), []int{3, 7})
	s.Record(now, 3, version(2), 10, nil)
	s.Record(now, 7, version(2), 10, errors.New("away"))
	is.Equal(len(s.Due(now, version(2), 10)), 0) // a failed write waits
	now = now.Add(bootstrap.VersionInterval)
	is.Equal(s.Due(now, version(3), 10), []int{3})
	s.Record(now, 3, version(3), 10, nil)
	now = now.Add(bootstrap.RetryInterval - bootstrap.VersionInterval)
	is.Equal(s.Due(now, version(3), 10), []int{7})
	s.Record(now, 7, version(3), 10, nil)
	is.Equal(len(s.Due(now.Add(time.Hour), version(3), 10)), 0)
}

// TestCopiesCostFewCalls guards against writes that grow with the changes of the list, with the
// versions of a storm, or with the VMs that take turns at writing. Calls to the store are charged.
func TestCopiesCostFewCalls(t *testing.T) {
	is := is.New(t)
	const length = time.Minute
	start := time.Unix(0, 0)
	writes := func(takeover time.Duration, versionOf func(at time.Duration) storeera.Version) (count int) {
		var s *bootstrap.Schedule
		for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
			now, list := start.Add(at), uint64(at)
			if at%takeover == 0 {
				s = bootstrap.NewSchedule(now, versionOf(at), bootstrap.Partitions(12))
			}
			for _, p := range s.Due(now, versionOf(at), list) {
				s.Record(now, p, versionOf(at), list, nil)
				count++
			}
		}
		return count
	}
	one := func(time.Duration) storeera.Version { return version(1) }
	storm := func(at time.Duration) storeera.Version { return version(uint64(at / (100 * time.Millisecond))) }
	const perCopy = int(length / bootstrap.ListInterval)
	is.True(writes(length, one) <= bootstrap.Copies*perCopy)
	is.True(writes(time.Second, one) == 0)
	is.True(writes(length, storm) <= bootstrap.Copies*int(length/bootstrap.VersionInterval))
	is.True(writes(length, storm) >= bootstrap.Copies*int(length/bootstrap.VersionInterval)*9/10)
}
