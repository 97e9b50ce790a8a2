package entry

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/settings"
)

// treeOf returns a settings tree of the given size.
func treeOf(tb testing.TB, teams, models, upstreams int) *settings.Tree {
	tb.Helper()
	tree, offset := settings.Empty(), uint64(0)
	set := func(branch, value string) {
		offset++
		next, err := tree.Apply(record.Settings{Branch: branch, Value: []byte(value)}, offset)
		if err != nil {
			tb.Fatal(err)
		}
		tree = next
	}
	set("fleet/region/r", `{}`)
	set("fleet/region/r/dc/d", `{}`)
	for i := range models {
		set(fmt.Sprintf("model/m%d", i), `{"layers": 60, "version": "v1"}`)
	}
	for i := range upstreams {
		set(fmt.Sprintf("upstream/u%d", i), fmt.Sprintf(`{"kind": "engine", "data_centre": "d", "address": "127.0.0.1:%d", "memory_bytes": 80000000000}`, i%60000+1))
	}
	for i := range teams {
		set(fmt.Sprintf("team/t%d", i), fmt.Sprintf(`{"weight": 2, "key_hashes": ["%064x"]}`, i))
	}
	return tree
}

// TestDirectoryFindsKeys guards against a key that is missing from the directory or
// belongs to another team there.
func TestDirectoryFindsKeys(t *testing.T) {
	is := is.New(t)
	d := newDirectory(treeOf(t, 3, 1, 2), fleet.VM{Region: "r", DataCentre: "d"})
	is.Equal(d.teamByKeyHash[fmt.Sprintf("%064x", 2)], fleet.TeamID("t2"))
	is.Equal(len(d.teamByKeyHash), 3)
	is.Equal(len(d.engines), 2)
	_, ok := d.model("m0")
	is.True(ok)
	_, ok = d.model("m1")
	is.True(!ok)
}

// BenchmarkDirectory measures the time to compile a directory after a settings change,
// and the memory that the tree and the directory hold.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range []struct{ teams, models, upstreams int }{{10, 2, 43}, {280, 29, 1000}, {2800, 29, 10000}} {
		b.Run(fmt.Sprintf("teams=%d/upstreams=%d", size.teams, size.upstreams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tree := treeOf(b, size.teams, size.models, size.upstreams)
			self := fleet.VM{Region: "r", DataCentre: "d"}
			d := newDirectory(tree, self)
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			b.ResetTimer()
			for b.Loop() {
				d = newDirectory(tree, self)
			}
			b.ReportMetric(held/1e6, "MB-held")
			runtime.KeepAlive(d)
		})
	}
}
