// Package logstory finds one request's story in the saved logs of many VMs: the
// decisions about it in time order, each with what its VM then believed of the
// upstreams concerned. It reads each log once and keeps only the latest belief of
// each VM about each upstream.
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

// Line is one decision about the request.
type Line struct {
	Time time.Time
	VM   string
	Name string
	// Fields are the other fields of the line.
	Fields map[string]any
	// Beliefs are the latest lines of the same VM about the upstreams that the line
	// names, and about its configuration.
	Beliefs []Belief
}

// Belief is what a VM last logged about an upstream or its configuration.
type Belief struct {
	Subject string
	Time    time.Time
	Name    string
	Fields  map[string]any
}

// Story collects lines of one request. The zero value with Request set is ready.
type Story struct {
	Request string
	Lines   []Line
	// Unfinished names the VMs that logged decisions and no end of the request, with the
	// time of their next start, which is zero when none was found.
	Unfinished []Unfinished
	// Read counts the lines read, Skipped those that are no log lines.
	Read    int
	Skipped int

	starts map[string][]time.Time
}

// Unfinished is a VM that logged no end of the request: its process was killed or lost
// power, or its log ends there.
type Unfinished struct {
	VM       string
	LastLine time.Time
	Restart  time.Time
}

// endNames are the events that end a request on a VM.
var endNames = map[string]bool{
	"request_done": true, "request_refused": true, "request_failed": true, "request_cancelled": true, "stream_broken": true,
}

const startName = "started"

// maxLine is the longest line that is decoded; a longer one is skipped.
const maxLine = 1 << 20

// header is the part of a line that every event has.
type header struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"vm"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	// Upstream is the subject of a belief.
	Upstream string `json:"upstream"`
}

// beliefNames are the events that change what a VM believes.
var beliefNames = map[string]bool{
	"upstream_changed": true, "upstream_ejected": true, "upstream_returned": true, "upstream_slow": true, "upstream_refusing": true,
	"upstream_paused": true, "store_restored": true,
	"config_in_force": true, "log_unavailable": true, "log_back": true, "placement_lease_taken": true, "placement_lease_lost": true,
}

// markers are parts of the lines that are decoded; all others are only counted.
var beliefMarkers = [][]byte{[]byte(`"name":"upstream_`), []byte(`"name":"config_`), []byte(`"name":"log_`), []byte(`"name":"store_`), []byte(`"name":"placement_lease`), []byte(`"name":"started"`)}

// Add reads one log. progress is called now and then with the bytes read; it may be nil.
func (s *Story) Add(r io.Reader, progress func(bytes int64)) error {
	reader := bufio.NewReaderSize(r, maxLine)
	beliefs := map[string]map[string]Belief{} // by VM and subject
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
			s.take(line, request, beliefs)
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

// progressLines is the number of lines between two reports of progress.
const progressLines = 100_000

func (s *Story) take(line, request []byte, beliefs map[string]map[string]Belief) {
	// A prefix before the object, such as the time and name that a collector adds, is passed over.
	start := bytes.IndexByte(line, '{')
	end := bytes.LastIndexByte(line, '}')
	if start < 0 || end < start {
		s.Skipped++
		return
	}
	line = line[start : end+1]
	mine := len(request) > 0 && bytes.Contains(line, request)
	if !mine && !slices.ContainsFunc(beliefMarkers, func(m []byte) bool { return bytes.Contains(line, m) }) {
		return
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil || h.Name == "" {
		s.Skipped++
		return
	}
	switch {
	case h.Request == s.Request && h.Request != "":
		s.Lines = append(s.Lines, Line{Time: h.Time, VM: h.VM, Name: h.Name, Fields: fields(line), Beliefs: s.relevant(line, beliefs[h.VM])})
	case h.Name == startName:
		if s.starts == nil {
			s.starts = map[string][]time.Time{}
		}
		s.starts[h.VM] = append(s.starts[h.VM], h.Time)
		delete(beliefs, h.VM) // a new process believes nothing yet
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

// relevant returns the beliefs about the upstreams that a line names, and those
// that are not about an upstream.
func (s *Story) relevant(line []byte, beliefs map[string]Belief) []Belief {
	var list []Belief
	for subject, b := range beliefs {
		if !strings.HasPrefix(b.Name, "upstream_") || bytes.Contains(line, []byte(subject)) {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b Belief) int { return cmp.Compare(a.Subject, b.Subject) })
	return list
}

// fields returns a line's fields but for those of every line.
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

// Sort puts the lines of all logs in time order and finds the VMs without an end.
func (s *Story) Sort() {
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

// WriteText writes the story for a person.
func (s *Story) WriteText(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line about request %s in %d lines (%d skipped)\n", s.Request, s.Read, s.Skipped)
		return err
	}
	first := s.Lines[0].Time
	for _, l := range s.Lines {
		if _, err := fmt.Fprintf(w, "%8d ms  %-16s %-18s %s\n", l.Time.Sub(first).Milliseconds(), l.VM, l.Name, text(l.Fields)); err != nil {
			return err
		}
		for _, b := range l.Beliefs {
			age := l.Time.Sub(b.Time).Round(time.Millisecond)
			if _, err := fmt.Fprintf(w, "%14s believed for %v: %s %s\n", "", age, b.Name, text(b.Fields)); err != nil {
				return err
			}
		}
	}
	for _, u := range s.Unfinished {
		what := "no end of the request and no later start: still at work, or the log ends here"
		if !u.Restart.IsZero() {
			what = fmt.Sprintf("no end of the request; the VM's process was killed or lost power and started again %v after its last line about it",
				u.Restart.Sub(u.LastLine).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(w, "%11s  %-16s %s\n", "", u.VM, what); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d lines read, %d skipped\n", s.Read, s.Skipped)
	return err
}

func text(fields map[string]any) string {
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
