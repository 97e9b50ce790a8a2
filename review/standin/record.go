//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(dir string) (*recorder, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// log writes a line with the time since the start.
func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
