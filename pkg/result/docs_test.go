package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelline/cornelline/pkg/result"
)

// TestDocsListEveryCode guards against a code that is missing in docs/RESULT-CODES.md,
// where callers look codes up.
func TestDocsListEveryCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	is.NoErr(err)
	for code, name := range result.All() {
		row := fmt.Sprintf("| %d | `%s` |", code, name)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/RESULT-CODES.md lacks the row %q", row)
		}
	}
}
