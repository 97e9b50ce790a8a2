package settings

import (
	"maps"
	"slices"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// index lists what a tree names, for look-ups that would otherwise scan all
// branches. Trees share it until a change adds, removes or moves an entry.
type index struct {
	regions   map[fleet.DataCentreID]fleet.RegionID
	teams     map[fleet.TeamID]bool
	models    map[fleet.ModelID]bool
	routes    map[fleet.RouteID]bool
	upstreams map[fleet.UpstreamID]bool
	// keys maps a team key's hash to its team.
	keys map[string]fleet.TeamID
}

func newIndex() *index {
	return &index{
		regions: map[fleet.DataCentreID]fleet.RegionID{}, teams: map[fleet.TeamID]bool{},
		models: map[fleet.ModelID]bool{}, routes: map[fleet.RouteID]bool{},
		upstreams: map[fleet.UpstreamID]bool{}, keys: map[string]fleet.TeamID{},
	}
}

// with returns the index after a branch went from before to after; nil means absent.
func (x *index) with(k branchKey, before, after *branch) *index {
	if !indexed(k.level) || sameEntry(k, before, after) {
		return x
	}
	next := &index{
		regions: maps.Clone(x.regions), teams: maps.Clone(x.teams), models: maps.Clone(x.models),
		routes: maps.Clone(x.routes), upstreams: maps.Clone(x.upstreams), keys: maps.Clone(x.keys),
	}
	if before != nil {
		next.remove(k, before)
	}
	if after != nil {
		next.add(k, after)
	}
	return next
}

func indexed(l Level) bool {
	switch l {
	case LevelDataCentre, LevelTeam, LevelModel, LevelRoute, LevelUpstream:
		return true
	}
	return false
}

// sameEntry reports whether both forms of a branch have the same entries.
func sameEntry(k branchKey, before, after *branch) bool {
	if before == nil || after == nil {
		return before == after
	}
	return k.level != LevelTeam || slices.Equal(before.names("key_hashes"), after.names("key_hashes"))
}

// names returns a list setting of the branch.
func (b *branch) names(name string) []string {
	list, _ := b.vals[name].([]string)
	return list
}

// text returns a text setting of the branch.
func (b *branch) text(name string) string {
	s, _ := b.vals[name].(string)
	return s
}

func (x *index) add(k branchKey, b *branch) {
	switch k.level {
	case LevelDataCentre:
		x.regions[fleet.DataCentreID(k.b)] = fleet.RegionID(k.a)
	case LevelTeam:
		x.teams[fleet.TeamID(k.a)] = true
		for _, h := range b.names("key_hashes") {
			x.keys[h] = fleet.TeamID(k.a)
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
		for _, h := range b.names("key_hashes") {
			delete(x.keys, h)
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

// sorted returns the keys of a set in order.
func sorted[K ~string](set map[K]bool) []K { return slices.Sorted(maps.Keys(set)) }

// Teams returns the teams of the tree in order.
func (t *Tree) Teams() []fleet.TeamID { return sorted(t.index.teams) }

// Models returns the models of the tree in order.
func (t *Tree) Models() []fleet.ModelID { return sorted(t.index.models) }

// Routes returns the routes of the tree in order.
func (t *Tree) Routes() []fleet.RouteID { return sorted(t.index.routes) }

// Upstreams returns the upstreams of the tree in order.
func (t *Tree) Upstreams() []fleet.UpstreamID { return sorted(t.index.upstreams) }

// HasTeam reports whether the tree has the team.
func (t *Tree) HasTeam(id fleet.TeamID) bool { return t.index.teams[id] }

// HasModel reports whether the tree has the model.
func (t *Tree) HasModel(id fleet.ModelID) bool { return t.index.models[id] }

// HasRoute reports whether the tree has the route.
func (t *Tree) HasRoute(id fleet.RouteID) bool { return t.index.routes[id] }

// TeamByKeyHash returns the team whose key has the SHA-256 hash, in lower-case hexadecimal.
func (t *Tree) TeamByKeyHash(hash string) (fleet.TeamID, bool) {
	team, ok := t.index.keys[hash]
	return team, ok
}

// IsOperatorKeyHash reports whether an operator's key has the SHA-256 hash.
func (t *Tree) IsOperatorKeyHash(hash string) bool {
	return slices.Contains(t.Effective(Scope{}).Operators.KeyHashes, hash)
}
