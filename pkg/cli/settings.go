package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
)

type settingsGetCommand struct {
	command
	Args struct {
		Branch string `positional-arg-name:"BRANCH" description:"for example team/kranzhost; all branches when left out"`
	} `positional-args:"yes"`
}

// Execute shows one branch or lists all branches.
func (c *settingsGetCommand) Execute([]string) error {
	path := "/v1/settings"
	if c.Args.Branch != "" {
		path += "/" + c.Args.Branch
	}
	return c.show(http.MethodGet, path, nil, nil)
}

type settingsSetCommand struct {
	command
	Version uint64 `long:"version" value-name:"N" description:"version of the branch that the change builds on, from settings get; 0 for a new branch"`
	Remove  bool   `long:"remove" description:"remove the branch"`
	Args    struct {
		Branch string `positional-arg-name:"BRANCH" required:"yes"`
		File   string `positional-arg-name:"FILE" description:"JSON overrides of the branch; - or nothing for standard input"`
	} `positional-args:"yes"`
}

// Execute replaces or removes a branch.
func (c *settingsSetCommand) Execute([]string) error {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(c.Version, 10))}}
	path := "/v1/settings/" + c.Args.Branch
	if c.Remove {
		return c.show(http.MethodDelete, path, header, nil)
	}
	if c.Args.File == "" {
		c.Args.File = "-"
	}
	body, err := readInput(c.Args.File)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return c.show(http.MethodPut, path, header, body)
}

type settingsEffectiveCommand struct {
	command
	Region     string `long:"region" description:"region of the scope"`
	DataCentre string `long:"data-centre" description:"data centre of the scope"`
	Team       string `long:"team" description:"team of the scope"`
	Model      string `long:"model" description:"model of the scope"`
	Rank       string `long:"rank" description:"rank of the scope: urgent, lookup or overnight"`
	Route      string `long:"route" description:"route of the scope"`
	Upstream   string `long:"upstream" description:"upstream of the scope"`
	Args       struct {
		Name string `positional-arg-name:"NAME" description:"for example limits.body_bytes; all values when left out"`
	} `positional-args:"yes"`
}

// Execute shows the values in force for a scope and the branches that set them.
func (c *settingsEffectiveCommand) Execute([]string) error {
	query := url.Values{}
	for name, value := range map[string]string{
		"region": c.Region, "data_centre": c.DataCentre, "team": c.Team, "model": c.Model,
		"rank": c.Rank, "route": c.Route, "upstream": c.Upstream, "name": c.Args.Name,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return c.show(http.MethodGet, "/v1/settings-effective?"+query.Encode(), nil, nil)
}

type settingsHistoryCommand struct {
	command
	Args struct {
		Branch string `positional-arg-name:"BRANCH" description:"all branches when left out"`
	} `positional-args:"yes"`
}

// Execute shows past changes of one branch or of all branches.
func (c *settingsHistoryCommand) Execute([]string) error {
	return c.show(http.MethodGet, "/v1/settings-history?branch="+url.QueryEscape(c.Args.Branch), nil, nil)
}
