// Package logstory reconstructs the timeline of one request from the saved logs of
// many VMs: the decisions about the request in time order, each with the state that
// its VM had last logged for the upstreams concerned. It reads each log once and
// keeps only the latest state of each upstream for each VM.
package logstory

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a log line about one decision on the request.
type Line struct {
	Time time.Time
	VM   string
	Name string
	// Fields are the fields of the line that no other member of Line holds.
	Fields map[string]any
	// Beliefs are the latest earlier lines of the same VM about the state of the
	// upstreams that this line names and about the VM's own state, such as its
	// configuration.
	Beliefs []Belief
}

// Belief is the last line that a VM logged about the state of an upstream or about
// its own state, such as its configuration.
type Belief struct {
	Subject string
	Time    time.Time
	Name    string
	Fields  map[string]any
}

// Timeline collects the lines about one request. A zero value with Request set is
// ready for use.
type Timeline struct {
	Request string
	Lines   []Line
	// Unfinished holds the VMs that logged decisions about the request but not its
	// end. Sort sets it.
	Unfinished []Unfinished
	// Read counts the lines read.
	Read int
	// Skipped counts the lines that are too long or are not log lines.
	Skipped int

	starts map[string][]time.Time
}

// Unfinished is a VM that did not log the end of the request: its process was killed
// or lost power, the request is still in flight, or the log ends too early. Restart
// is the first start of the VM after LastLine, zero when the logs show none.
type Unfinished struct {
	VM       string
	LastLine time.Time
	Restart  time.Time
}

// endNames are the names of the events that end a request on a VM.
var endNames = map[string]bool{
	"request_done": true, "request_refused": true, "request_failed": true, "request_cancelled": true, "stream_broken": true,
}

// startName is the name of the event that a VM logs when its process starts.
const startName = "started"

// maxLine is the length in bytes of the longest line that is decoded. Longer lines
// are skipped.
const maxLine = 1 << 20

// header holds the fields of a line that decide how it is used.
type header struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	// Upstream is the upstream whose state the line reports, if any.
	Upstream string `json:"upstream"`
}

// beliefNames are the names of the events that report a change of the state of an
// upstream or of the VM itself.
var beliefNames = map[string]bool{
	"upstream_changed": true, "upstream_ejected": true, "upstream_returned": true, "upstream_slow": true, "upstream_refusing": true,
	"upstream_paused": true, "store_restored": true,
	"config_in_force": true, "log_unavailable": true, "log_back": true, "placement_lease_taken": true, "placement_lease_lost": true,
}

// beliefMarkers are substrings of the lines that may report a state change or a
// start. Lines with none of them that do not name the request either are counted
// but not decoded.
var beliefMarkers = [][]byte{[]byte(`"name":"upstream_`), []byte(`"name":"config_`), []byte(`"name":"log_`), []byte(`"name":"store_`), []byte(`"name":"placement_lease`), []byte(`"name":"started"`)}

// Add reads one log. Unless progress is nil, it is called every progressLines lines
// with the number of bytes read.
func (s *Timeline) Add(r io.Reader, progress func(bytes int64)) error {
	reader := bufio.NewReaderSize(r, maxLine)
	beliefs := map[string]map[string]Belief{} // by VM, then by subject
	request := []byte(s.Request)
	var total int64
	for {
		line, err := reader.ReadSlice('\n')
		total += int64(len(line))
		if err == bufio.ErrBufferFull {
			s.Skipped++
			for err == bufio.ErrBufferFull {
				_, err = reader.ReadSlice('\n')
			}
			continue
		}
		if len(bytes.TrimSpace(line)) > 0 {
			s.Read++
			s.addLine(line, request, beliefs)
			if progress != nil && s.Read%progressLines == 0 {
				progress(total)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// progressLines is the number of lines between two calls of progress.
const progressLines = 100_000

// addLine adds a line to the timeline if it is about the request, and records it in
// beliefs if it reports a state change.
func (s *Timeline) addLine(line, request []byte, beliefs map[string]map[string]Belief) {
	// A log collector may put a prefix such as a time and a name before the object.
	start := bytes.IndexByte(line, '{')
	end := bytes.LastIndexByte(line, '}')
	if start < 0 || end < start {
		s.Skipped++
		return
	}
	line = line[start : end+1]
	mentionsRequest := len(request) > 0 && bytes.Contains(line, request)
	if !mentionsRequest && !slices.ContainsFunc(beliefMarkers, func(m []byte) bool { return bytes.Contains(line, m) }) {
		return
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil || h.Name == "" {
		s.Skipped++
		return
	}
	switch {
	case h.Request == s.Request && h.Request != "":
		s.Lines = append(s.Lines, Line{Time: h.Time, VM: h.VM, Name: h.Name, Fields: fields(line), Beliefs: s.relevantBeliefs(line, beliefs[h.VM])})
	case h.Name == startName:
		if s.starts == nil {
			s.starts = map[string][]time.Time{}
		}
		s.starts[h.VM] = append(s.starts[h.VM], h.Time)
		delete(beliefs, h.VM) // a new process starts without the state of the one before
	case beliefNames[h.Name]:
		if beliefs[h.VM] == nil {
			beliefs[h.VM] = map[string]Belief{}
		}
		subject := h.Upstream
		if subject == "" {
			subject, _, _ = strings.Cut(h.Name, "_")
		}
		beliefs[h.VM][subject] = Belief{Subject: subject, Time: h.Time, Name: h.Name, Fields: fields(line)}
	}
}

// relevantBeliefs returns the beliefs about the upstreams that a line names and the
// beliefs that are not about an upstream, sorted by subject.
func (s *Timeline) relevantBeliefs(line []byte, beliefs map[string]Belief) []Belief {
	var list []Belief
	for subject, b := range beliefs {
		if !strings.HasPrefix(b.Name, "upstream_") || bytes.Contains(line, []byte(subject)) {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b Belief) int { return cmp.Compare(a.Subject, b.Subject) })
	return list
}

// fields decodes a line and returns its fields without those that Line or Timeline
// hold separately.
func fields(line []byte) map[string]any {
	var all map[string]any
	if json.Unmarshal(line, &all) != nil {
		return nil
	}
	for _, name := range []string{"time", "vm", "name", "event", "level", "request"} {
		delete(all, name)
	}
	return all
}

// Sort sorts the lines of all logs by time and sets Unfinished. It must be called
// after the last Add.
func (s *Timeline) Sort() {
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	last := map[string]Line{}
	for _, l := range s.Lines {
		last[l.VM] = l
	}
	s.Unfinished = nil
	for vm, l := range last {
		if endNames[l.Name] {
			continue
		}
		u := Unfinished{VM: vm, LastLine: l.Time}
		for _, at := range s.starts[vm] {
			if at.After(l.Time) && (u.Restart.IsZero() || at.Before(u.Restart)) {
				u.Restart = at
			}
		}
		s.Unfinished = append(s.Unfinished, u)
	}
	slices.SortFunc(s.Unfinished, func(a, b Unfinished) int { return cmp.Compare(a.VM, b.VM) })
}

// WriteText writes the timeline in a form for people.
func (s *Timeline) WriteText(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line about request %s in %d lines (%d skipped)\n", s.Request, s.Read, s.Skipped)
		return err
	}
	first := s.Lines[0].Time
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(w, "%8d ms  %-16s %-18s %s\n", l.Time.Sub(first).Milliseconds(), l.VM, l.Name, formatFields(l.Fields)); err != nil {
			return err
		}
		for _, b := range l.Beliefs {
			age := l.Time.Sub(b.Time).Round(time.Millisecond)
			if _, err := fmt.Fprintf(w, "%14s believed for %v: %s %s\n", "", age, b.Name, formatFields(b.Fields)); err != nil {
				return err
			}
		}
	}
	for _, u := range s.Unfinished {
		message := "no end of the request and no later start: still at work, or the log ends here"
		if !u.Restart.IsZero() {
			message = fmt.Sprintf("no end of the request; the VM's process was killed or lost power and started again %v after its last line about it",
				u.Restart.Sub(u.LastLine).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(w, "%11s  %-16s %s\n", "", u.VM, message); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines read, %d skipped\n", s.Read, s.Skipped)
	return err
}

// formatFields formats fields as name=value pairs, sorted by name.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, fields[name])
	}
	return strings.Join(parts, " ")
}
