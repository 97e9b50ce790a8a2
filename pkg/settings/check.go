package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// checkConstraints checks the rules that involve more than one setting and that a
// change of branch k can break. before is the tree without the change.
func (t *Tree) checkConstraints(k branchKey, before *Tree) *CheckError {
	switch k.level {
	case LevelFleet, LevelRegion, LevelDataCentre:
		return t.checkPlaces(k, before)
	case LevelRank:
		return t.checkShares(k)
	case LevelTeam:
		return t.checkTeam(k, before)
	case LevelModel:
		return t.checkModelRemoval(k)
	case LevelRoute:
		return t.checkRoute(k)
	case LevelUpstream:
		return t.checkUpstream(k)
	}
	return nil
}

func newCheckError(k branchKey, name, format string, args ...any) *CheckError {
	return &CheckError{Path: k.String() + ":" + name, Reason: fmt.Sprintf(format, args...)}
}

// checkPlaces checks the rules of a fleet, region or data centre branch k, also in
// every region and data centre that inherits from k.
func (t *Tree) checkPlaces(k branchKey, before *Tree) *CheckError {
	if k.level == LevelDataCentre {
		if err := t.checkDataCentre(k, before); err != nil {
			return err
		}
	}
	if k.level == LevelFleet {
		if err := t.checkOperators(k); err != nil {
			return err
		}
	}
	for _, s := range t.scopesBelow(k) {
		if err := checkView(k, t.Effective(s)); err != nil {
			return err
		}
	}
	return nil
}

// scopesBelow returns the fleet, region and data centre scopes that k can affect.
func (t *Tree) scopesBelow(k branchKey) []Scope {
	scopes := []Scope{{}}
	for dc, region := range t.index.regions {
		if k.level == LevelFleet || string(region) == k.a {
			scopes = append(scopes, Scope{Region: region, DataCentre: dc})
		}
	}
	if k.level != LevelFleet {
		scopes = append(scopes, Scope{Region: fleet.RegionID(k.a)})
	}
	slices.SortFunc(scopes, func(a, b Scope) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return scopes
}

// checkView checks the rules between settings in force for one scope.
func checkView(k branchKey, v *View) *CheckError {
	switch {
	case v.Claims.Window >= v.Log.Retention:
		// The log must keep a claim until the window of its key is over. Otherwise
		// a second claim with the same key could be accepted.
		return newCheckError(k, "claims.window", "%s is not shorter than log.retention (%s)", v.Claims.Window, v.Log.Retention)
	case v.Drain.Max < v.Address.ValidFor:
		return newCheckError(k, "drain.max", "%s is shorter than address.valid_for (%s)", v.Drain.Max, v.Address.ValidFor)
	case v.Outlier.Ejection > v.Outlier.EjectionMax:
		return newCheckError(k, "outlier.ejection", "%s is longer than outlier.ejection_max (%s)", v.Outlier.Ejection, v.Outlier.EjectionMax)
	}
	return nil
}

// checkDataCentre rejects a data centre that is already in another region, and the
// removal of a data centre that an upstream names.
func (t *Tree) checkDataCentre(k branchKey, before *Tree) *CheckError {
	dc := fleet.DataCentreID(k.b)
	if t.live(k) != nil {
		if region, ok := before.index.regions[dc]; ok && string(region) != k.a {
			return &CheckError{Path: k.String(), Reason: fmt.Sprintf("data centre %s is already in region %s", dc, region)}
		}
		return nil
	}
	for _, id := range t.Upstreams() {
		if t.live(branchKey{LevelUpstream, string(id), ""}).stringValue("data_centre") == k.b {
			return &CheckError{Path: k.String(), Reason: fmt.Sprintf("upstream %s is in this data centre", id)}
		}
	}
	return nil
}

// checkShares rejects guaranteed shares whose sum exceeds 1.
func (t *Tree) checkShares(k branchKey) *CheckError {
	sum := 0.0
	for r := range fleet.RankCount {
		sum += t.Effective(Scope{Rank: fleet.Rank(r).String()}).Rank.GuaranteedShare
	}
	// The tolerance admits sums such as 0.7+0.2+0.1, which exceed 1 by a rounding error.
	const tolerance = 1e-9
	if sum > 1+tolerance {
		return newCheckError(k, "guaranteed_share", "the guaranteed shares of all ranks sum to %.4g, over 1", sum)
	}
	return nil
}

// checkOperators rejects an operator key that is also a team's key.
func (t *Tree) checkOperators(k branchKey) *CheckError {
	for _, h := range t.Effective(Scope{}).Operators.KeyHashes {
		if team, ok := t.index.teamsByKey[h]; ok {
			return newCheckError(k, "operators.key_hashes", "team %s has the same key", team)
		}
	}
	return nil
}

// checkTeam rejects keys that another team or an operator has, and unknown models.
func (t *Tree) checkTeam(k branchKey, before *Tree) *CheckError {
	b := t.live(k)
	if b == nil {
		return nil
	}
	for _, h := range b.stringList("key_hashes") {
		if owner, ok := before.index.teamsByKey[h]; ok && string(owner) != k.a {
			return newCheckError(k, "key_hashes", "team %s has the same key", owner)
		}
		if t.IsOperatorKeyHash(h) {
			return newCheckError(k, "key_hashes", "an operator has the same key")
		}
	}
	for _, m := range b.stringList("allowed_models") {
		if !t.index.models[fleet.ModelID(m)] {
			return newCheckError(k, "allowed_models", "unknown model %s", m)
		}
	}
	return nil
}

// checkModelRemoval rejects the removal of a model that a team names.
func (t *Tree) checkModelRemoval(k branchKey) *CheckError {
	if t.live(k) != nil {
		return nil
	}
	for _, id := range t.Teams() {
		if slices.Contains(t.live(branchKey{LevelTeam, string(id), ""}).stringList("allowed_models"), k.a) {
			return &CheckError{Path: k.String(), Reason: fmt.Sprintf("team %s names this model", id)}
		}
	}
	return nil
}

// checkRoute rejects a route without upstreams or with one that is unknown or not
// a plain service.
func (t *Tree) checkRoute(k branchKey) *CheckError {
	b := t.live(k)
	if b == nil {
		return nil
	}
	servers := b.stringList("upstreams")
	if len(servers) == 0 {
		return newCheckError(k, "upstreams", "want at least one upstream")
	}
	for _, id := range servers {
		u := t.live(branchKey{LevelUpstream, id, ""})
		if u == nil {
			return newCheckError(k, "upstreams", "unknown upstream %s", id)
		}
		if u.stringValue("kind") != UpstreamKindService {
			return newCheckError(k, "upstreams", "upstream %s is not a service", id)
		}
	}
	return nil
}

// checkUpstream checks an upstream and the routes that lead to it.
func (t *Tree) checkUpstream(k branchKey) *CheckError {
	b := t.live(k)
	for _, id := range t.Routes() {
		names := t.live(branchKey{LevelRoute, string(id), ""}).stringList("upstreams")
		if (b == nil || b.stringValue("kind") != UpstreamKindService) && slices.Contains(names, k.a) {
			return newCheckError(k, "kind", "route %s leads to this service", id)
		}
	}
	if b == nil {
		return nil
	}
	if dc := b.stringValue("data_centre"); t.index.regions[fleet.DataCentreID(dc)] == "" {
		return newCheckError(k, "data_centre", "unknown data centre %s", dc)
	}
	if memory, _ := b.vals["memory_bytes"].(int64); b.stringValue("kind") == UpstreamKindEngine && memory <= 0 {
		return newCheckError(k, "memory_bytes", "an engine needs a memory size")
	}
	return nil
}
