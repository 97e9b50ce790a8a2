// Command benchtable writes the figures of the users' bench to docs/MEASUREMENTS.md. For
// each site it takes the last score in the journal and writes one table row per day.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// entry holds the fields of a journal entry that the tables need.
type entry struct {
	ID     string   `json:"id"`
	At     []string `json:"at"`
	Cmd    string   `json:"cmd"`
	Site   string   `json:"site"`
	Digest string   `json:"digest"`
}

// row matches the line of a day in an entry's digest: name, machines, score, worth,
// served, refused, failed, and the weakest part.
var row = regexp.MustCompile(`(?m)^(\S+)\s+\d+/\d+\s+([\d.]+)\s+(-?[\d.]+)\s+([\d.]+)\s+([\d.]+)\s+([\d.]+)\s+(.*)$`)

const (
	beginMark = "<!-- fleetbench: begin -->"
	endMark   = "<!-- fleetbench: end -->"
)

func main() {
	if err := run("journal", "docs/MEASUREMENTS.md"); err != nil {
		fmt.Fprintln(os.Stderr, "benchtable:", err)
		os.Exit(1)
	}
}

func run(journal, page string) error {
	entries, err := lastScores(journal)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	replaced, err := replaceSection(string(text), tables(entries))
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(replaced), 0o644)
}

// lastScores returns the newest score of each site, sorted by site.
func lastScores(journal string) ([]entry, error) {
	paths, err := filepath.Glob(filepath.Join(journal, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths) // file names start with the time
	last := map[string]entry{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if e.Cmd == "score" && row.MatchString(e.Digest) {
			last[e.Site] = e
		}
	}
	var list []entry
	for _, e := range last {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b entry) int { return strings.Compare(a.Site, b.Site) })
	return list, nil
}

func tables(entries []entry) string {
	var b strings.Builder
	for _, e := range entries {
		rows := row.FindAllStringSubmatch(e.Digest, -1)
		if e.Site == "" || len(rows) == 0 { // an aborted score has no rows
			continue
		}
		at := ""
		if len(e.At) > 0 {
			at = e.At[0]
		}
		fmt.Fprintf(&b, "### %s\n\n`fleetbench score`, journal entry %s of %s.\n\n", e.Site, e.ID, at)
		b.WriteString("| day | score | worth | served | refused | failed | weakest part |\n|---|---|---|---|---|---|---|\n")
		for _, m := range rows {
			fmt.Fprintf(&b, "| %s |\n", strings.Join(m[1:], " | "))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func replaceSection(page, section string) (string, error) {
	before, rest, ok := strings.Cut(page, beginMark)
	_, after, closed := strings.Cut(rest, endMark)
	if !ok || !closed {
		return "", fmt.Errorf("no section between %q and %q", beginMark, endMark)
	}
	return before + beginMark + "\n" + section + endMark + after, nil
}
