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

// explainFromLogs prints a request's story from saved logs: a file, a directory of
// files, or - for standard input. Files that end in .gz are unpacked.
func (c *explainCommand) explainFromLogs() error {
	story := &logstory.Story{Request: c.Args.Request}
	progress := progressOf(os.Stderr)
	if c.Logs == "-" {
		if err := story.Add(os.Stdin, progress); err != nil {
			return err
		}
		return c.printStory(story)
	}
	err := filepath.WalkDir(c.Logs, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return addFile(story, path, progress)
	})
	if err != nil {
		return fmt.Errorf("read logs: %w", err)
	}
	return c.printStory(story)
}

func addFile(story *logstory.Story, path string, progress func(int64)) error {
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
	return story.Add(r, progress)
}

// progressOf reports progress on a terminal; nil elsewhere.
func progressOf(f *os.File) func(int64) {
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(read int64) { fmt.Fprintf(f, "\r%d MB read", read>>20) }
}

func (c *explainCommand) printStory(story *logstory.Story) error {
	story.Sort()
	if !c.shared.JSON {
		return story.WriteText(c.out)
	}
	data, err := json.MarshalIndent(story, "", "  ")
	if err != nil {
		return fmt.Errorf("encode story: %w", err)
	}
	return c.print(data)
}
