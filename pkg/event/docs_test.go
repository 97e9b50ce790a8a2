package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/event"
)

// TestDocsListEveryEvent guards against a log event that docs/EVENTS.md does not list.
func TestDocsListEveryEvent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	for id, name := range event.All() {
		row := fmt.Sprintf("| %d | `%s` |", id, name)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/EVENTS.md lacks the row %q", row)
		}
	}
}
