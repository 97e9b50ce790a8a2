package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cornelline/cornelline/pkg/gateway"
)

type whereCommand struct {
	command
	Host   string `long:"host" required:"yes" description:"host of the request"`
	Path   string `long:"path" required:"yes" description:"path of the request"`
	Team   string `long:"team" description:"team of the caller"`
	Part   string `long:"part" value-name:"ID" description:"first shared part of the prompt"`
	Prompt int    `long:"prompt" value-name:"TOKENS" description:"size of the prompt; the usual one when left out"`
	Hint   int    `long:"hint" value-name:"TOKENS" description:"length that the caller expects"`
	Limit  int    `long:"limit" value-name:"TOKENS" description:"longest answer"`
	Args   struct {
		VMs []string `positional-arg-name:"IP:PORT" description:"metrics addresses of the VMs to ask; --address when left out"`
	} `positional-args:"yes"`
}

// Execute asks VMs where a generation would go now. It changes nothing.
func (c *whereCommand) Execute([]string) error {
	query := url.Values{"host": {c.Host}, "path": {c.Path}}
	for name, value := range map[string]string{"team": c.Team, "part": c.Part, "prompt": count(c.Prompt), "hint": count(c.Hint), "limit": count(c.Limit)} {
		if value != "" {
			query.Set(name, value)
		}
	}
	vms := c.Args.VMs
	if len(vms) == 0 {
		vms = []string{c.sharedOptions.Address}
	}
	for _, address := range vms {
		one := c.command
		shared := *c.sharedOptions
		shared.Address = address
		one.sharedOptions = &shared
		data, err := one.call(http.MethodGet, "/v1/where?"+query.Encode(), nil, nil)
		if err != nil {
			return err
		}
		if c.sharedOptions.JSON {
			if err := c.print(data); err != nil {
				return err
			}
			continue
		}
		var answer gateway.Where
		if err := json.Unmarshal(data, &answer); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		if err := c.printWhere(&answer); err != nil {
			return err
		}
	}
	return nil
}

// count returns a number as text, empty for 0.
func count(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func (c *whereCommand) printWhere(w *gateway.Where) error {
	fmt.Fprintf(c.out, "VM %s, route %s, service %s, rank %d: %s\n", w.VM, w.Route, w.Service, w.Rank, w.Outcome)
	fmt.Fprintf(c.out, "  queue: %d ahead, about %d ms", w.Ahead, w.WaitMS)
	if w.PausedForMS > 0 {
		fmt.Fprintf(c.out, "; refused, pauses end in %d ms", w.PausedForMS)
	}
	a := w.Answer
	fmt.Fprintf(c.out, "\n  tokens: prompt %d, answer %d (10%% to 90%%: %d to %d), memory for %d; learned from", w.PromptTokens, a.Mean, a.P10, a.P90, a.Reserved)
	for _, group := range []string{"part", "team", "route", "service"} {
		if n, ok := a.LearnedFrom[group]; ok {
			fmt.Fprintf(c.out, " %s %d", group, n)
		}
	}
	fmt.Fprintln(c.out, " answers")
	for i, x := range w.Chains {
		note := ""
		if x.TooSlow {
			note += ", too slow for the gap objective"
		}
		if x.LongPauses {
			note += ", the prompt makes pauses too long"
		}
		fmt.Fprintf(c.out, "  %d. score %.3f s: runs %.3f s, waits %.3f s, %.2f ms a token%s: %s\n", i+1, x.Score, x.Running, x.Wait, x.StepMS, note, strings.Join(x.Servers, " "))
	}
	for _, x := range w.Excluded {
		fmt.Fprintf(c.out, "  not %s: %s\n", x.Server, x.Reason)
	}
	_, err := fmt.Fprintln(c.out)
	return err
}
