//go:build review

// Command cases-2 runs the scripted cases of the second review: it starts entry VMs as separate
// processes against stand-ins, disturbs them, and says whether a rule of the platform's pages was
// broken.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: f, started: time.Now()}, nil
}

// line writes a line to the record.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken.
func (r *record) breaks(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *record) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken) > 0
}

// close writes the result to the record.
func (r *record) close(result string) {
	r.note("result: %s", result)
	_ = r.file.Close()
}
