package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTableOfTheLastScore guards against a table of an older score, and against changes to
// the page outside the generated section.
func TestTableOfTheLastScore(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) { is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)) }
	day := `{"id":"%","at":["t"],"cmd":"score","site":"s","digest":"day own/srv\nquiet-1   4/42   0.82  %  0.999   0.000  0.002  worst class 0.97\n"}`
	write("1.json", strings.ReplaceAll(day, "%", "0.111"))
	write("2.json", strings.ReplaceAll(day, "%", "0.962"))
	write("3.json", `{"id":"x","cmd":"run","site":"s","digest":""}`)
	page := filepath.Join(dir, "page.md")
	is.NoErr(os.WriteFile(page, []byte("before\n"+beginMark+"\nold\n"+endMark+"\nafter\n"), 0o600))
	is.NoErr(run(dir, page))
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(strings.Contains(string(got), "| quiet-1 | 0.82 | 0.962 | 0.999 | 0.000 | 0.002 | worst class 0.97 |"))
	is.True(strings.HasPrefix(string(got), "before\n") && strings.HasSuffix(string(got), "\nafter\n"))
	is.True(!strings.Contains(string(got), "old") && !strings.Contains(string(got), "0.111"))
	is.True(run(dir, filepath.Join(dir, "none.md")) != nil)
}
