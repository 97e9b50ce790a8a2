package settings

import (
	"maps"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// index holds the names that the branches of a tree define, for lookups that would
// otherwise scan all branches. Successive trees share an index until a change
// adds, removes or moves an entry.
type index struct {
	regions   map[fleet.DataCentreID]fleet.RegionID
	teams     map[fleet.TeamID]bool
	models    map[fleet.ModelID]bool
	routes    map[fleet.RouteID]bool
	upstreams map[fleet.UpstreamID]bool
	// teamsByKey maps the hash of a team's key to the team.
	teamsByKey map[string]fleet.TeamID
}

func newIndex() *index {
	return &index{
		regions: map[fleet.DataCentreID]fleet.RegionID{}, teams: map[fleet.TeamID]bool{},
		models: map[fleet.ModelID]bool{}, routes: map[fleet.RouteID]bool{},
		upstreams: map[fleet.UpstreamID]bool{}, teamsByKey: map[string]fleet.TeamID{},
	}
}

// withBranch returns the index after branch k changes from before to after; nil
// stands for an absent branch.
func (x *index) withBranch(k branchKey, before, after *branch) *index {
	if !isIndexed(k.level) || sameEntries(k, before, after) {
		return x
	}
	next := &index{
		regions: maps.Clone(x.regions), teams: maps.Clone(x.teams), models: maps.Clone(x.models),
		routes: maps.Clone(x.routes), upstreams: maps.Clone(x.upstreams), teamsByKey: maps.Clone(x.teamsByKey),
	}
	if before != nil {
		next.remove(k, before)
	}
	if after != nil {
		next.add(k, after)
	}
	return next
}

func isIndexed(l Level) bool {
	switch l {
	case LevelDataCentre, LevelTeam, LevelModel, LevelRoute, LevelUpstream:
		return true
	}
	return false
}

// sameEntries reports whether both versions of a branch have the same index entries.
func sameEntries(k branchKey, before, after *branch) bool {
	if before == nil || after == nil {
		return before == after
	}
	return k.level != LevelTeam || slices.Equal(before.stringList("key_hashes"), after.stringList("key_hashes"))
}

// stringList returns the value of a list setting of the branch.
func (b *branch) stringList(name string) []string {
	list, _ := b.vals[name].([]string)
	return list
}

// stringValue returns the value of a text setting of the branch.
func (b *branch) stringValue(name string) string {
	s, _ := b.vals[name].(string)
	return s
}

func (x *index) add(k branchKey, b *branch) {
	switch k.level {
	case LevelDataCentre:
		x.regions[fleet.DataCentreID(k.b)] = fleet.RegionID(k.a)
	case LevelTeam:
		x.teams[fleet.TeamID(k.a)] = true
		for _, h := range b.stringList("key_hashes") {
			x.teamsByKey[h] = fleet.TeamID(k.a)
		}
	case LevelModel:
		x.models[fleet.ModelID(k.a)] = true
	case LevelRoute:
		x.routes[fleet.RouteID(k.a)] = true
	case LevelUpstream:
		x.upstreams[fleet.UpstreamID(k.a)] = true
	}
}

func (x *index) remove(k branchKey, b *branch) {
	switch k.level {
	case LevelDataCentre:
		delete(x.regions, fleet.DataCentreID(k.b))
	case LevelTeam:
		delete(x.teams, fleet.TeamID(k.a))
		for _, h := range b.stringList("key_hashes") {
			delete(x.teamsByKey, h)
		}
	case LevelModel:
		delete(x.models, fleet.ModelID(k.a))
	case LevelRoute:
		delete(x.routes, fleet.RouteID(k.a))
	case LevelUpstream:
		delete(x.upstreams, fleet.UpstreamID(k.a))
	}
}

// buildIndex builds the index from all branches.
func (t *Tree) buildIndex() *index {
	x := newIndex()
	for _, shard := range t.shards {
		for k, b := range shard {
			if b.raw != nil {
				x.add(k, b)
			}
		}
	}
	return x
}

// sortedKeys returns the keys of a set in ascending order.
func sortedKeys[K ~string](set map[K]bool) []K { return slices.Sorted(maps.Keys(set)) }

// Teams returns the teams of the tree, sorted by ID.
func (t *Tree) Teams() []fleet.TeamID { return sortedKeys(t.index.teams) }

// Models returns the models of the tree, sorted by ID.
func (t *Tree) Models() []fleet.ModelID { return sortedKeys(t.index.models) }

// Routes returns the routes of the tree, sorted by ID.
func (t *Tree) Routes() []fleet.RouteID { return sortedKeys(t.index.routes) }

// Upstreams returns the upstreams of the tree, sorted by ID.
func (t *Tree) Upstreams() []fleet.UpstreamID { return sortedKeys(t.index.upstreams) }

// HasTeam reports whether the tree has the team.
func (t *Tree) HasTeam(id fleet.TeamID) bool { return t.index.teams[id] }

// HasModel reports whether the tree has the model.
func (t *Tree) HasModel(id fleet.ModelID) bool { return t.index.models[id] }

// HasRoute reports whether the tree has the route.
func (t *Tree) HasRoute(id fleet.RouteID) bool { return t.index.routes[id] }

// TeamByKeyHash returns the team that has a key with the given SHA-256 hash, in
// lower-case hexadecimal.
func (t *Tree) TeamByKeyHash(hash string) (fleet.TeamID, bool) {
	team, ok := t.index.teamsByKey[hash]
	return team, ok
}

// IsOperatorKeyHash reports whether an operator has a key with the given SHA-256
// hash, in lower-case hexadecimal.
func (t *Tree) IsOperatorKeyHash(hash string) bool {
	return slices.Contains(t.Effective(Scope{}).Operators.KeyHashes, hash)
}
