// Package settings holds the settings tree: its schema, strict decoding of each
// branch, branch versions, and the values in force for a scope. A Tree is
// immutable; Apply returns a new one that shares the unchanged branches.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cornelline/cornelline/pkg/fleet"
	"github.com/cornelline/cornelline/pkg/record"
)

// ConflictError reports a change that builds on an outdated version of its branch.
type ConflictError struct {
	Branch string
	// Base is the version that the change builds on. Current is the branch's version.
	Base, Current uint64
}

// Error formats the branch and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: the change builds on version %d, the branch has version %d", e.Branch, e.Base, e.Current)
}

// branch is one branch of the tree. A removed branch stays in the tree with the
// version of its removal, so that a change based on an earlier version conflicts.
type branch struct {
	version uint64
	// raw is the compact JSON; nil for a removed branch.
	raw  []byte
	vals values
}

// shardCount is the number of maps that hold the branches. Each change copies
// one map; with 64 maps the copy stays small at the 10,000 branches of the
// fleet planned for in two years.
const shardCount = 64

// maxCachedViews bounds the cache of resolved views. When it is full, views that
// are not in it are resolved on every lookup.
const maxCachedViews = 4096

// Tree is an immutable settings tree.
type Tree struct {
	shards      [shardCount]map[branchKey]*branch
	offset      uint64
	index       *index
	views       sync.Map // maps Scope to *View
	cacheMisses atomic.Int64
}

// Empty returns a tree without branches, in which every setting has its default.
func Empty() *Tree { return &Tree{index: newIndex()} }

func shardOf(k branchKey) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte{byte(k.level)})
	_, _ = h.Write([]byte(k.a))
	_, _ = h.Write([]byte(k.b))
	return int(h.Sum32() % shardCount)
}

// lookup returns a branch, which may be a removed one, or nil.
func (t *Tree) lookup(k branchKey) *branch { return t.shards[shardOf(k)][k] }

// live returns a branch that has not been removed, or nil.
func (t *Tree) live(k branchKey) *branch {
	if b := t.lookup(k); b != nil && b.raw != nil {
		return b
	}
	return nil
}

// Offset returns the log offset of the last change in the tree.
func (t *Tree) Offset() uint64 { return t.offset }

// Version returns the version of a branch: the offset of its last valid change, or 0 when
// there is none.
func (t *Tree) Version(path string) uint64 {
	k, err := parseBranch(path)
	if err != nil {
		return 0
	}
	if b := t.lookup(k); b != nil {
		return b.version
	}
	return 0
}

// Branch returns the branch's own JSON and its version. A removed branch has no
// JSON. The error is a *CheckError when the path is not a valid branch path.
func (t *Tree) Branch(path string) (data []byte, version uint64, err error) {
	k, checkErr := parseBranch(path)
	if checkErr != nil {
		return nil, 0, checkErr
	}
	if b := t.lookup(k); b != nil {
		return b.raw, b.version, nil
	}
	return nil, 0, nil
}

// Check returns the error with which Apply would reject the change now, or nil
// when Apply would accept it.
func (t *Tree) Check(change record.Settings) error {
	_, err := t.Apply(change, t.offset+1)
	return err
}

// Apply returns a tree that includes the change recorded at the given log offset.
// The error is a *ConflictError or a *CheckError. The receiver never changes.
func (t *Tree) Apply(change record.Settings, offset uint64) (*Tree, error) {
	k, checkErr := parseBranch(change.Branch)
	if checkErr != nil {
		return nil, checkErr
	}
	if current := t.Version(change.Branch); current != change.Base {
		return nil, &ConflictError{Branch: change.Branch, Base: change.Base, Current: current}
	}
	next, checkErr := newBranch(k, change.Value, offset)
	if checkErr != nil {
		return nil, checkErr
	}
	changed := t.replace(k, next)
	changed.offset = offset
	if checkErr := changed.checkConstraints(k, t); checkErr != nil {
		return nil, checkErr
	}
	return changed, nil
}

// newBranch decodes the value of a branch. An empty value makes a removed branch.
func newBranch(k branchKey, value []byte, version uint64) (*branch, *CheckError) {
	if len(value) == 0 {
		return &branch{version: version}, nil
	}
	vals, checkErr := decodeBranch(k, value)
	if checkErr != nil {
		return nil, checkErr
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return nil, &CheckError{Path: k.String(), Reason: err.Error()}
	}
	return &branch{version: version, raw: compact.Bytes(), vals: vals}, nil
}

// replace returns a copy of the tree with one branch replaced.
func (t *Tree) replace(k branchKey, b *branch) *Tree {
	next := &Tree{shards: t.shards, offset: t.offset}
	s := shardOf(k)
	shard := make(map[branchKey]*branch, len(t.shards[s])+1)
	maps.Copy(shard, t.shards[s])
	shard[k] = b
	next.shards[s] = shard
	next.index = t.index.withBranch(k, t.live(k), next.live(k))
	return next
}

// Effective returns the values in force for a scope. The result is shared between
// callers and must not be changed.
func (t *Tree) Effective(s Scope) *View {
	s = t.normalise(s)
	if v, ok := t.views.Load(s); ok {
		return v.(*View)
	}
	v := &View{}
	v.set(defaultValues[""])
	v.set(defaultValues[s.Rank])
	var buffer [levelCount]branchKey
	for _, k := range s.appendKeys(buffer[:0]) {
		if b := t.live(k); b != nil {
			v.set(b.vals)
		}
	}
	if t.cacheMisses.Add(1) <= maxCachedViews {
		t.views.Store(s, v)
	}
	return v
}

// normalise fills in the region and clears an unknown rank, model, route or
// upstream, so that scopes with names made up by callers share cached views.
func (t *Tree) normalise(s Scope) Scope {
	if s.Region == "" {
		s.Region = t.index.regions[s.DataCentre]
	}
	if _, ok := defaultValues[s.Rank]; !ok {
		s.Rank = ""
	}
	if s.Model != "" && !t.index.models[s.Model] && t.live(branchKey{LevelTeamModel, string(s.Team), string(s.Model)}) == nil {
		s.Model = ""
	}
	if s.Route != "" && t.live(branchKey{LevelRoute, string(s.Route), ""}) == nil {
		s.Route = ""
	}
	if s.Upstream != "" && t.live(branchKey{LevelUpstream, string(s.Upstream), ""}) == nil {
		s.Upstream = ""
	}
	return s
}

// Explanation is the value of a setting in force for a scope and the branch that
// sets it.
type Explanation struct {
	Name  string `json:"name"`
	Value any    `json:"value"`
	// Branch is the branch that sets the value, or "default" when none does.
	Branch string `json:"branch"`
	// Version is the version of Branch, 0 for a default.
	Version uint64 `json:"version"`
}

// Explain returns the value of a setting for a scope and the branch that sets it.
// The error is a *CheckError when there is no such setting.
func (t *Tree) Explain(s Scope, name string) (Explanation, error) {
	if s.Region == "" {
		s.Region = t.index.regions[s.DataCentre]
	}
	def := definitionOf(name)
	if def == nil {
		return Explanation{}, &CheckError{Path: name, Reason: "unknown name"}
	}
	e := Explanation{Name: name, Branch: "default", Value: display(defaultValues[""][def.Name])}
	if v, ok := defaultValues[s.Rank][def.Name]; ok {
		e.Value = display(v)
	}
	for _, k := range s.appendKeys(nil) {
		b := t.live(k)
		if b == nil {
			continue
		}
		if v, ok := b.vals[name]; ok {
			e = Explanation{Name: name, Value: display(v), Branch: k.String(), Version: b.version}
		}
	}
	return e, nil
}

// ExplainAll returns the explanation of every setting for a scope, sorted by name.
func (t *Tree) ExplainAll(s Scope) []Explanation {
	var all []Explanation
	for i := range Definitions {
		if strings.Contains(Definitions[i].Name, "*") {
			continue
		}
		if e, err := t.Explain(s, Definitions[i].Name); err == nil && e.Value != nil {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b Explanation) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// definitionOf returns the definition of a setting, or nil when there is none. It
// also finds a wildcard definition by a name that matches it.
func definitionOf(name string) *Definition {
	if def := definitionsByName[name]; def != nil {
		return def
	}
	if parts := strings.Split(name, "."); len(parts) == 3 {
		return definitionsByName[parts[0]+".*."+parts[2]]
	}
	return nil
}

// display returns a value in the form that it has in the settings' JSON.
func display(v any) any {
	if s, ok := v.(fmt.Stringer); ok {
		return s.String()
	}
	return v
}

// Saved is one branch in a snapshot.
type Saved struct {
	Branch  string `msgpack:"b"`
	Version uint64 `msgpack:"v"`
	// Value is nil for a removed branch.
	Value []byte `msgpack:"j"`
}

// Save returns all branches sorted by path, so that equal trees have equal snapshots.
func (t *Tree) Save() []Saved {
	var all []Saved
	for _, shard := range t.shards {
		for k, b := range shard {
			all = append(all, Saved{Branch: k.String(), Version: b.version, Value: b.raw})
		}
	}
	slices.SortFunc(all, func(a, b Saved) int { return strings.Compare(a.Branch, b.Branch) })
	return all
}

// Restore builds the tree of a snapshot. It decodes each branch but repeats none
// of the checks across branches, which passed when the branches were applied.
func Restore(saved []Saved) (*Tree, error) {
	t := Empty()
	for _, s := range saved {
		k, checkErr := parseBranch(s.Branch)
		if checkErr != nil {
			return nil, checkErr
		}
		b, checkErr := newBranch(k, s.Value, s.Version)
		if checkErr != nil {
			return nil, checkErr
		}
		i := shardOf(k)
		if t.shards[i] == nil {
			t.shards[i] = map[branchKey]*branch{}
		}
		t.shards[i][k] = b
		t.offset = max(t.offset, s.Version)
	}
	t.index = t.buildIndex()
	return t, nil
}

// DataCentres returns the region of each data centre in the tree.
func (t *Tree) DataCentres() map[fleet.DataCentreID]fleet.RegionID {
	return maps.Clone(t.index.regions)
}
