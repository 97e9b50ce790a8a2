package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strconv"

	"github.com/cornelline/cornelline/pkg/result"
)

type settingsApplyCommand struct {
	command
	Args struct {
		File string `positional-arg-name:"FILE" description:"JSON object of branch paths and their overrides; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute puts the branches of a file one by one, each after those that it may refer
// to. It skips branches that already have the value, so that an interrupted run can
// be repeated.
func (c *settingsApplyCommand) Execute([]string) error {
	branches, err := readBranches(c.Args.File)
	if err != nil {
		return err
	}
	changed := 0
	for _, b := range branches {
		applied, err := c.apply(b)
		if err != nil {
			return fmt.Errorf("%s (%d branches changed before): %w", b.Path, changed, err)
		}
		if applied {
			changed++
		}
	}
	_, err = fmt.Fprintf(c.out, "%d of %d branches changed\n", changed, len(branches))
	return err
}

// apply puts one branch, unless it already has the value, and reports whether it did.
func (c *settingsApplyCommand) apply(b Branch) (bool, error) {
	version, value, err := c.currentBranch(b.Path)
	if err != nil {
		return false, err
	}
	if value != nil && equalJSON(value, b.Value) {
		return false, nil
	}
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(version, 10))}}
	_, err = c.call(http.MethodPut, "/v1/settings/"+b.Path, header, b.Value)
	return true, err
}

// currentBranch returns the version and the value of a branch. The value is nil when the
// branch does not exist.
func (c *settingsApplyCommand) currentBranch(path string) (uint64, json.RawMessage, error) {
	data, err := c.call(http.MethodGet, "/v1/settings/"+path, nil, nil)
	var e *result.Error
	if errors.As(err, &e) && e.Code == result.UnknownBranch {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var branch struct {
		Version uint64
		Value   json.RawMessage
	}
	if err := json.Unmarshal(data, &branch); err != nil {
		return 0, nil, fmt.Errorf("decode branch %s: %w", path, err)
	}
	return branch.Version, branch.Value, nil
}

// equalJSON reports whether two JSON values are equal apart from white space and the
// order of names.
func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
