package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cornelline/cornelline/pkg/explain"
)

type addressCommand struct{ command }

// Execute shows the entry VMs that callers may use.
func (c *addressCommand) Execute([]string) error {
	return c.show(http.MethodGet, "/v1/address", nil, nil)
}

type statusCommand struct{ command }

// Execute shows the state of the entry VM.
func (c *statusCommand) Execute([]string) error {
	return c.show(http.MethodGet, "/v1/status", nil, nil)
}

type drainCommand struct{ command }

// Execute starts a planned stop.
func (c *drainCommand) Execute([]string) error {
	return c.show(http.MethodPost, "/v1/drain", nil, nil)
}

type explainCommand struct {
	command
	Logs string `long:"logs" value-name:"PATH" description:"read saved logs instead of asking a VM: a file, a directory, or - for standard input"`
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" description:"value of the Cornelline-Request-Id header"`
	} `positional-args:"yes" required:"yes"`
}

// Execute shows what happened to a request, from the entry VM or from saved logs.
func (c *explainCommand) Execute([]string) error {
	if c.Logs != "" {
		return c.explainFromLogs()
	}
	data, err := c.call(http.MethodGet, "/v1/requests/"+url.PathEscape(c.Args.Request), nil, nil)
	if err != nil {
		return err
	}
	if c.sharedOptions.JSON {
		return c.print(data)
	}
	var t explain.Trace
	if err := json.Unmarshal(data, &t); err != nil {
		return fmt.Errorf("decode explanation: %w", err)
	}
	return c.printTrace(t)
}

func (c *explainCommand) printTrace(t explain.Trace) error {
	fmt.Fprintf(c.out, "request %s of team %s, rank %s, to %s, on VM %s\n", t.Request, t.Team, t.Rank, t.Target, t.VM)
	for _, s := range t.Steps {
		fmt.Fprintf(c.out, "%10.1f ms  %-12s %-14s %s\n", float64(s.At)/float64(time.Millisecond), s.What, s.Upstream, s.Detail)
	}
	_, err := fmt.Fprintf(c.out, "outcome %s, code %d\n", t.Outcome, t.Code)
	return err
}

type rehearseCommand struct {
	command
	Fault    string        `long:"fault" choice:"refuse" choice:"stall" choice:"cut" choice:"slow" choice:"lost_answer" description:"fault to inject"`
	Targets  []string      `long:"target" value-name:"NAME" description:"upstream ID, or log; may be repeated"`
	Duration time.Duration `long:"for" value-name:"DURATION" default:"30s" description:"how long, for example 30s"`
	Stop     string        `long:"stop" value-name:"ID" description:"end a rehearsal early"`
}

// rehearsalRequest is the body that starts a rehearsal.
type rehearsalRequest struct {
	Fault   string   `json:"fault"`
	Targets []string `json:"targets"`
	For     string   `json:"for"`
}

// Execute starts or ends a rehearsal or lists the active ones.
func (c *rehearseCommand) Execute([]string) error {
	if c.Stop != "" {
		return c.show(http.MethodDelete, "/v1/rehearsals/"+url.PathEscape(c.Stop), nil, nil)
	}
	if c.Fault == "" {
		return c.show(http.MethodGet, "/v1/rehearsals", nil, nil)
	}
	body, err := json.Marshal(rehearsalRequest{Fault: c.Fault, Targets: c.Targets, For: c.Duration.String()})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	return c.show(http.MethodPost, "/v1/rehearsals", nil, body)
}
