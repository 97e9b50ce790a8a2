package settings

import (
	"regexp"
	"strings"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// Level is the kind of a branch. Inheritance runs from the lowest level to the
// highest: a value of a higher level overrides one of a lower level.
type Level uint8

// The levels, most general first.
const (
	LevelFleet Level = iota
	LevelRegion
	LevelDataCentre
	LevelRank
	LevelModel
	LevelRoute
	LevelUpstream
	LevelTeam
	LevelTeamRank
	LevelTeamModel
	levelCount
)

// levelPatterns are the branch paths of the levels as the documentation shows them.
var levelPatterns = [levelCount]string{
	"fleet", "fleet/region/R", "fleet/region/R/dc/D", "rank/K", "model/M",
	"route/R", "upstream/U", "team/T", "team/T/rank/K", "team/T/model/M",
}

// String returns the pattern of the level's branch paths.
func (l Level) String() string { return levelPatterns[l] }

// branchKey identifies a branch. a and b are the variable parts of its path in
// order, empty where the path has fewer.
type branchKey struct {
	level Level
	a, b  string
}

// validName matches the variable parts of a branch path.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// parseBranch parses a branch path.
func parseBranch(path string) (branchKey, *CheckError) {
	parts := strings.Split(path, "/")
	for l, pattern := range levelPatterns {
		if k, ok := matchPattern(Level(l), strings.Split(pattern, "/"), parts); ok {
			return k, k.checkNames(path)
		}
	}
	return branchKey{}, &CheckError{Path: path, Reason: "unknown branch; the paths are " + strings.Join(levelPatterns[:], ", ")}
}

// matchPattern matches a path against a pattern whose variable parts are single
// capital letters.
func matchPattern(l Level, pattern, parts []string) (branchKey, bool) {
	if len(pattern) != len(parts) {
		return branchKey{}, false
	}
	k := branchKey{level: l}
	for i, p := range pattern {
		switch {
		case len(p) > 1 && p != parts[i]:
			return branchKey{}, false
		case len(p) > 1:
		case k.a == "":
			k.a = parts[i]
		default:
			k.b = parts[i]
		}
	}
	return k, true
}

// checkNames checks the variable parts of a path.
func (k branchKey) checkNames(path string) *CheckError {
	for _, name := range k.variableParts() {
		if !validName.MatchString(name) {
			return &CheckError{Path: path, Reason: "a name has 1 to 128 letters, digits, '.', '_', ':' or '-' and starts with a letter or digit"}
		}
	}
	if name := k.rank(); name != "" {
		if _, err := fleet.ParseRank(name); err != nil {
			return &CheckError{Path: path, Reason: err.Error()}
		}
	}
	return nil
}

// variableParts returns the variable parts of the path.
func (k branchKey) variableParts() []string {
	switch k.level {
	case LevelFleet:
		return nil
	case LevelDataCentre, LevelTeamRank, LevelTeamModel:
		return []string{k.a, k.b}
	}
	return []string{k.a}
}

// rank returns the rank in the path, or an empty string when there is none.
func (k branchKey) rank() string {
	switch k.level {
	case LevelRank:
		return k.a
	case LevelTeamRank:
		return k.b
	}
	return ""
}

// String returns the branch path.
func (k branchKey) String() string {
	switch k.level {
	case LevelFleet:
		return "fleet"
	case LevelRegion:
		return "fleet/region/" + k.a
	case LevelDataCentre:
		return "fleet/region/" + k.a + "/dc/" + k.b
	case LevelRank:
		return "rank/" + k.a
	case LevelModel:
		return "model/" + k.a
	case LevelRoute:
		return "route/" + k.a
	case LevelUpstream:
		return "upstream/" + k.a
	case LevelTeam:
		return "team/" + k.a
	case LevelTeamRank:
		return "team/" + k.a + "/rank/" + k.b
	}
	return "team/" + k.a + "/model/" + k.b
}

// Scope selects the branches in which a value is looked up. Empty fields select
// none. Branches override each other in the order of the levels, from general to
// specific: fleet, region, data centre, rank, model, route, upstream, team, the
// team's rank, the team's model.
type Scope struct {
	// Region may be empty when DataCentre is a data centre of the tree.
	Region     fleet.RegionID
	DataCentre fleet.DataCentreID
	// Rank is a rank's name, as fleet.Rank.String returns it.
	Rank     string
	Model    fleet.ModelID
	Route    fleet.RouteID
	Upstream fleet.UpstreamID
	Team     fleet.TeamID
}

// appendKeys appends the branches of the scope to dst, most general first.
func (s Scope) appendKeys(dst []branchKey) []branchKey {
	team, model := string(s.Team), string(s.Model)
	dst = append(dst, branchKey{level: LevelFleet})
	add := func(l Level, a, b string, wanted bool) {
		if wanted {
			dst = append(dst, branchKey{l, a, b})
		}
	}
	add(LevelRegion, string(s.Region), "", s.Region != "")
	add(LevelDataCentre, string(s.Region), string(s.DataCentre), s.Region != "" && s.DataCentre != "")
	add(LevelRank, s.Rank, "", s.Rank != "")
	add(LevelModel, model, "", model != "")
	add(LevelRoute, string(s.Route), "", s.Route != "")
	add(LevelUpstream, string(s.Upstream), "", s.Upstream != "")
	add(LevelTeam, team, "", team != "")
	add(LevelTeamRank, team, s.Rank, team != "" && s.Rank != "")
	add(LevelTeamModel, team, model, team != "" && model != "")
	return dst
}
