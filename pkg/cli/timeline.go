package cli

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cornelline/cornelline/pkg/logstory"
)

// explainFromLogs prints the timeline of a request from saved logs: a file, a directory
// of files, or - for standard input. Files with the extension .gz are decompressed.
func (c *explainCommand) explainFromLogs() error {
	timeline := &logstory.Timeline{Request: c.Args.Request}
	progress := progressReporter(os.Stderr)
	if c.Logs == "-" {
		if err := timeline.Add(os.Stdin, progress); err != nil {
			return err
		}
		return c.printTimeline(timeline)
	}
	err := filepath.WalkDir(c.Logs, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return addFile(timeline, path, progress)
	})
	if err != nil {
		return fmt.Errorf("read logs: %w", err)
	}
	return c.printTimeline(timeline)
}

// addFile adds the log in a file to the timeline.
func addFile(timeline *logstory.Timeline, path string, progress func(int64)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	var r io.Reader = f
	if strings.HasSuffix(path, ".gz") {
		if r, err = gzip.NewReader(f); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return timeline.Add(r, progress)
}

// progressReporter returns a function that prints the number of bytes read to f, or nil
// when f is not a terminal.
func progressReporter(f *os.File) func(int64) {
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(read int64) { fmt.Fprintf(f, "\r%d MB read", read>>20) }
}

func (c *explainCommand) printTimeline(timeline *logstory.Timeline) error {
	timeline.Sort()
	if !c.sharedOptions.JSON {
		return timeline.WriteText(c.out)
	}
	data, err := json.MarshalIndent(timeline, "", "  ")
	if err != nil {
		return fmt.Errorf("encode story: %w", err)
	}
	return c.print(data)
}
