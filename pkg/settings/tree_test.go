package settings

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

// TestDocsSettings guards against a docs/SETTINGS.md that lacks a setting or
// describes it wrongly.
func TestDocsSettings(t *testing.T) {
	const path = "../../docs/SETTINGS.md"
	if *update {
		if err := os.WriteFile(path, []byte(Documentation()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(path)
	if err != nil || string(page) != Documentation() {
		t.Errorf("docs/SETTINGS.md is not up to date (%v); run go test ./pkg/settings -run TestDocs -update", err)
	}
}

// TestEverySettingHasAField guards against a setting that is accepted but not
// stored in a View.
func TestEverySettingHasAField(t *testing.T) {
	for _, def := range Definitions {
		if _, ok := viewFields[def.Name]; !ok && !strings.HasPrefix(def.Name, "links.") {
			t.Errorf("setting %s has no field in View", def.Name)
		}
	}
	for name := range viewFields {
		if definitionsByName[name] == nil {
			t.Errorf("View has a field for %q, which is no setting", name)
		}
	}
}

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// base holds the branches of a small valid fleet as pairs of path and value.
var base = [][2]string{
	{"fleet", `{"operators":{"key_hashes":["` + hashA + `"]},"limits":{"queue":500}}`},
	{"fleet/region/eu", `{"log":{"poll":"100ms"}}`},
	{"fleet/region/eu/dc/x", `{"log":{"poll":"50ms"},"links":{"y":{"latency":"500us","bytes_per_second":1000}}}`},
	{"fleet/region/eu/dc/y", `{}`},
	{"model/m", `{"layers":48,"version":"v1"}`},
	{"upstream/e1", `{"address":"127.0.0.1:1","kind":"engine","data_centre":"x","memory_bytes":100}`},
	{"upstream/s1", `{"address":"127.0.0.1:2","kind":"service","data_centre":"y"}`},
	{"route/orders", `{"path":"/orders","upstreams":["s1"]}`},
	{"team/mill", `{"key_hashes":["` + hashB + `"],"allowed_models":["m"],"weight":2,"limits":{"max_tokens":10}}`},
	{"team/mill/rank/urgent", `{"limits":{"max_tokens":20}}`},
	{"team/mill/model/m", `{"limits":{"max_tokens":30}}`},
}

// newTree returns the tree of base.
func newTree(t testing.TB) *Tree {
	tree := Empty()
	for i, b := range base {
		next, err := tree.Apply(record.Settings{Branch: b[0], Value: []byte(b[1])}, uint64(i+1))
		if err != nil {
			t.Fatal(err)
		}
		tree = next
	}
	return tree
}

// TestRejected guards against the acceptance of settings that are misspelt, have
// a wrong type or unit, or contradict each other. Each row holds the branch, its
// value and the path that the error must name.
func TestRejected(t *testing.T) {
	engine := `{"address":"127.0.0.1:1","kind":"engine","data_centre":"x"`
	for _, row := range [][3]string{
		{"flet", `{}`, "flet"},
		{"rank/idle", `{}`, "rank/idle"},
		{"team/a b", `{}`, "team/a b"},
		{"fleet", `{"limit":{}}`, "fleet:limit"},
		{"fleet", `{"limits":{"bodybytes":1}}`, "fleet:limits.bodybytes"},
		{"fleet", `{"limits":{"body_bytes":"1MB"}}`, "fleet:limits.body_bytes"},
		{"fleet", `{"limits":{"body_bytes":1.5}}`, "fleet:limits.body_bytes"},
		{"fleet", `{"limits":{"body_bytes":0}}`, "fleet:limits.body_bytes"},
		{"fleet", `{"limits":5}`, "fleet:limits"},
		{"fleet", `{"drain":{"max":60}}`, "fleet:drain.max"},
		{"fleet", `{"drain":{"max":"60"}}`, "fleet:drain.max"},
		{"fleet", `{"drain":{"max":"60s","max":"61s"}}`, "fleet:drain.max"},
		{"fleet", `{} {}`, "fleet"},
		{"fleet", `[]`, "fleet"},
		{"fleet", `{"rehearsal":{"allowed":"yes"}}`, "fleet:rehearsal.allowed"},
		{"fleet", `{"operators":{"key_hashes":["secret"]}}`, "fleet:operators.key_hashes"},
		{"fleet", `{"operators":{"key_hashes":["` + hashB + `"]}}`, "fleet:operators.key_hashes"},
		{"fleet", `{"claims":{"window":"24h"}}`, "fleet:claims.window"},
		{"fleet", `{"log":{"retention":"6h"}}`, "fleet:claims.window"},
		{"fleet", `{"address":{"valid_for":"5m"},"drain":{"max":"1m"}}`, "fleet:drain.max"},
		{"fleet", `{"placement":{"read_back":"10s"}}`, "fleet:placement.read_back"},
		{"fleet", `{"membership":{"ping":"300ms"}}`, "fleet:membership"},
		{"route/r", `{"path":"/r","upstreams":["s1"],"timeout":"61s"}`, "route/r:timeout"},
		{"fleet", `{"outlier":{"ejection":"10m"}}`, "fleet:outlier.ejection"},
		{"fleet", `{"overnight":{"dawn":"6:00"}}`, "fleet:overnight.dawn"},
		{"fleet/region/eu", `{"claims":{"window":"1h"}}`, "fleet/region/eu:claims.window"},
		{"fleet/region/us/dc/x", `{}`, "fleet/region/us/dc/x"},
		{"fleet/region/eu/dc/x", ``, "fleet/region/eu/dc/x"},
		{"rank/urgent", `{"guaranteed_share":0.8}`, "rank/urgent:guaranteed_share"},
		{"rank/urgent", `{"guaranteed_share":1.2}`, "rank/urgent:guaranteed_share"},
		{"model/n", `{"layers":4}`, "model/n:version"},
		{"model/n", `{"layers":0,"version":"v"}`, "model/n:layers"},
		{"model/m", ``, "model/m"},
		{"route/r", `{"path":"/r","upstreams":["e1"]}`, "route/r:upstreams"},
		{"route/r", `{"path":"/r","upstreams":["none"]}`, "route/r:upstreams"},
		{"route/r", `{"path":"/r","upstreams":[]}`, "route/r:upstreams"},
		{"route/r", `{"path":"r","upstreams":["s1"]}`, "route/r:path"},
		{"upstream/s1", ``, "upstream/s1:kind"},
		{"upstream/s1", engine + `,"memory_bytes":1}`, "upstream/s1:kind"},
		{"upstream/e2", engine + `}`, "upstream/e2:memory_bytes"},
		{"upstream/e2", engine + `,"memory_bytes":1,"fencing":"maybe"}`, "upstream/e2:fencing"},
		{"upstream/e2", engine + `,"memory_bytes":1,"outlier":{"ejection":"1h"}}`, "upstream/e2:outlier"},
		{"upstream/e2", `{"address":"host:1","kind":"service","data_centre":"x"}`, "upstream/e2:address"},
		{"upstream/e2", `{"address":"127.0.0.1:1","kind":"service","data_centre":"z"}`, "upstream/e2:data_centre"},
		{"team/loom", `{"key_hashes":["` + hashB + `"]}`, "team/loom:key_hashes"},
		{"team/loom", `{"key_hashes":["` + hashA + `"]}`, "team/loom:key_hashes"},
		{"team/loom", `{"allowed_models":["none"]}`, "team/loom:allowed_models"},
		{"team/loom", `{"default_rank":"soon"}`, "team/loom:default_rank"},
		{"team/loom", `{"weight":0}`, "team/loom:weight"},
	} {
		tree := newTree(t)
		before := fmt.Sprint(tree.Save())
		_, err := tree.Apply(record.Settings{Branch: row[0], Base: tree.Version(row[0]), Value: []byte(row[1])}, 99)
		var check *CheckError
		if !errors.As(err, &check) || check.Path != row[2] {
			t.Errorf("%s %s: got %v, want an error at %s", row[0], row[1], err, row[2])
		}
		if fmt.Sprint(tree.Save()) != before {
			t.Errorf("%s %s: the tree changed", row[0], row[1])
		}
	}
}

// TestInheritance guards against a value from the wrong branch and against an
// explanation that names a branch other than the one in force.
func TestInheritance(t *testing.T) {
	tree := newTree(t)
	for _, row := range []struct {
		scope         Scope
		name, branch  string
		want, inForce any
	}{
		{Scope{}, "log.poll", "default", "250ms", tree.Effective(Scope{}).Log.Poll.String()},
		{Scope{Region: "eu"}, "log.poll", "fleet/region/eu", "100ms", tree.Effective(Scope{Region: "eu"}).Log.Poll.String()},
		{Scope{DataCentre: "x"}, "log.poll", "fleet/region/eu/dc/x", "50ms", tree.Effective(Scope{DataCentre: "x"}).Log.Poll.String()},
		{Scope{DataCentre: "y"}, "log.poll", "fleet/region/eu", "100ms", tree.Effective(Scope{DataCentre: "y"}).Log.Poll.String()},
		{Scope{Team: "mill"}, "limits.max_tokens", "team/mill", int64(10), tree.Effective(Scope{Team: "mill"}).Limits.MaxTokens},
		{Scope{Team: "mill", Rank: "urgent"}, "limits.max_tokens", "team/mill/rank/urgent", int64(20), tree.Effective(Scope{Team: "mill", Rank: "urgent"}).Limits.MaxTokens},
		{Scope{Team: "mill", Rank: "urgent", Model: "m"}, "limits.max_tokens", "team/mill/model/m", int64(30), tree.Effective(Scope{Team: "mill", Rank: "urgent", Model: "m"}).Limits.MaxTokens},
		{Scope{Rank: "overnight"}, "guaranteed_share", "default", 0.1, tree.Effective(Scope{Rank: "overnight"}).Rank.GuaranteedShare},
	} {
		e, err := tree.Explain(row.scope, row.name)
		if err != nil || e.Branch != row.branch || e.Value != row.want || row.inForce != row.want {
			t.Errorf("%+v %s: explained as %+v (%v), in force %v, want %v from %s", row.scope, row.name, e, err, row.inForce, row.want, row.branch)
		}
	}
	is := is.New(t)
	is.Equal(tree.Effective(Scope{DataCentre: "x"}).Links["y"], Link{Latency: 500 * time.Microsecond, BytesPerSecond: 1000})
	team, _ := tree.TeamByKeyHash(hashB)
	is.Equal(team, fleet.TeamID("mill"))
	is.True(tree.IsOperatorKeyHash(hashA))
}

// TestTreeMachine applies random changes and compares the tree with a map of
// versions and values. It guards against a lost update, a change to an older tree,
// an index that does not match the branches, and a snapshot that restores a
// different tree.
func TestTreeMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := Empty()
		offset := uint64(0)
		versions := map[string]uint64{}
		values := map[string]string{}
		branches := []string{"fleet", "rank/urgent", "team/a", "team/b", "model/m", "fleet/region/r/dc/d"}
		contents := []string{"", `{}`, `{"limits":{"body_bytes":7}}`, `{"key_hashes":["` + hashA + `"]}`, `{"layers":1,"version":"v"}`, `{"nonsense":1}`}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				offset++
				branch := rapid.SampledFrom(branches).Draw(t, "branch")
				value := rapid.SampledFrom(contents).Draw(t, "value")
				change := record.Settings{Branch: branch, Base: versions[branch], Value: []byte(value)}
				stale := rapid.Bool().Draw(t, "stale")
				if stale {
					change.Base++
				}
				before := fmt.Sprint(tree.Save())
				next, err := tree.Apply(change, offset)
				if fmt.Sprint(tree.Save()) != before {
					t.Fatalf("Apply changed the tree it was called on")
				}
				var conflict *ConflictError
				if errors.As(err, &conflict) != stale {
					t.Fatalf("%+v: got %v, stale is %t", change, err, stale)
				}
				if err == nil {
					tree, versions[branch], values[branch] = next, offset, value
				}
			},
			"": func(t *rapid.T) {
				for branch, version := range versions {
					data, got, _ := tree.Branch(branch)
					if got != version || string(data) != values[branch] {
						t.Fatalf("%s: version %d %s, want %d %s", branch, got, data, version, values[branch])
					}
				}
				restored, err := Restore(tree.Save())
				if err != nil || fmt.Sprint(restored.Save()) != fmt.Sprint(tree.Save()) {
					t.Fatalf("a snapshot restores another tree: %v", err)
				}
				if got, want := fmt.Sprint(tree.index), fmt.Sprint(restored.index); got != want {
					t.Fatalf("index %s, want %s", got, want)
				}
			},
		})
	})
}

// FuzzApply guards against a branch that panics the decoder, an error without
// the branch's path, and an accepted branch that a snapshot can't restore.
func FuzzApply(f *testing.F) {
	for _, b := range base {
		f.Add(b[0], []byte(b[1]))
	}
	f.Add("fleet", []byte(`{"limits":{"limits":{"limits":{}}}}`))
	f.Add("fleet/region/eu/dc/z", []byte(`{"links":{"a.b":{"latency":"1ns"}}}`))
	f.Add("rank/urgent", []byte("{\"worth\":1e400}"))
	tree := newTree(f)
	f.Fuzz(func(t *testing.T, branch string, value []byte) {
		next, err := tree.Apply(record.Settings{Branch: branch, Base: tree.Version(branch), Value: value}, 50)
		if err != nil {
			var check *CheckError
			if !errors.As(err, &check) || !strings.HasPrefix(check.Path, branch) || check.Reason == "" {
				t.Fatalf("%q %q: %v", branch, value, err)
			}
			return
		}
		restored, err := Restore(next.Save())
		if err != nil || restored.Version(branch) != 50 {
			t.Fatalf("%q %q: restored %v", branch, value, err)
		}
	})
}

// largeTree returns a tree of the size planned for in two years: 2,800 teams and
// 10,000 upstreams.
func largeTree(b *testing.B) *Tree {
	saved := []Saved{{Branch: "fleet/region/r/dc/d", Version: 1, Value: []byte(`{}`)}}
	for i := range 10_000 {
		value := fmt.Sprintf(`{"address":"127.0.0.1:%d","kind":"engine","data_centre":"d","memory_bytes":80000000000}`, i+1)
		saved = append(saved, Saved{Branch: fmt.Sprintf("upstream/u%d", i), Version: uint64(i + 2), Value: []byte(value)})
	}
	for i := range 2_800 {
		value := fmt.Sprintf(`{"key_hashes":["%064x"],"weight":2}`, i)
		saved = append(saved, Saved{Branch: fmt.Sprintf("team/t%d", i), Version: uint64(i + 20_000), Value: []byte(value)})
	}
	t, err := Restore(saved)
	if err != nil {
		b.Fatal(err)
	}
	return t
}

// BenchmarkApply measures one change of a team's weight in a large tree.
func BenchmarkApply(b *testing.B) {
	t := largeTree(b)
	change := record.Settings{Branch: "team/t7", Base: t.Version("team/t7"), Value: []byte(fmt.Sprintf(`{"key_hashes":["%064x"],"weight":3}`, 7))}
	for b.Loop() {
		if _, err := t.Apply(change, 50_000); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEffective measures the lookup of a request's view in a large tree.
func BenchmarkEffective(b *testing.B) {
	t := largeTree(b)
	s := Scope{DataCentre: "d", Team: "t7", Rank: "urgent"}
	for b.Loop() {
		t.Effective(s)
	}
}
