package cli

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/cornelline/cornelline/pkg/record"
	"github.com/cornelline/cornelline/pkg/result"
	"github.com/cornelline/cornelline/pkg/settings"
)

type settingsCheckCommand struct {
	command
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON object of branch paths and their overrides; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a file of branches by applying them to an empty tree.
func (c *settingsCheckCommand) Execute([]string) error {
	branches, err := readBranches(c.Args.File)
	if err != nil {
		return err
	}
	tree := settings.Empty()
	for i, b := range branches {
		if tree, err = tree.Apply(record.Settings{Branch: b.Path, Value: b.Value}, uint64(i+1)); err != nil {
			return result.New(result.SettingsInvalid, result.NotRun, "%s: %v", c.Args.File, err)
		}
	}
	_, err = fmt.Fprintf(c.out, "%d branches are valid\n", len(branches))
	return err
}

// readBranches reads a settings file and returns its branches in the order in which
// they can be applied.
func readBranches(path string) ([]Branch, error) {
	data, err := readInput(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	branches, err := DecodeBranches(data)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, result.NotRun, "%s: %v", path, err)
	}
	return branches, nil
}

// Branch is one branch of a settings file.
type Branch struct {
	Path  string
	Value json.RawMessage
}

// branchOrder is the order in which the kinds of branches are applied, so that a
// branch follows those that it refers to.
var branchOrder = []string{"fleet", "rank", "model", "upstream", "route", "team"}

// DecodeBranches parses a settings file and returns its branches in the order
// in which they can be applied.
func DecodeBranches(data []byte) ([]Branch, error) {
	var file map[string]json.RawMessage
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	branches := make([]Branch, 0, len(file))
	for path, value := range file {
		branches = append(branches, Branch{Path: path, Value: value})
	}
	sort.Slice(branches, func(a, b int) bool {
		oa, ob := orderOf(branches[a].Path), orderOf(branches[b].Path)
		if oa != ob {
			return oa < ob
		}
		return branches[a].Path < branches[b].Path
	})
	return branches, nil
}

// orderOf returns the position of a branch's kind in branchOrder. Unknown kinds come
// last.
func orderOf(path string) int {
	kind, _, _ := strings.Cut(path, "/")
	for i, k := range branchOrder {
		if k == kind {
			return i
		}
	}
	return len(branchOrder)
}
