package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Documentation returns the content of docs/SETTINGS.md, generated from Definitions.
func Documentation() string {
	var b strings.Builder
	b.WriteString(docsHead)
	for l := range levelPatterns {
		fmt.Fprintf(&b, "%d. `%s`\n", l+1, Level(l))
	}
	b.WriteString(docsTable)
	for i := range Definitions {
		b.WriteString(Definitions[i].tableRow())
	}
	return b.String()
}

const docsHead = `# Settings

Generated from the table in pkg/settings/schema.go by ` + "`go test ./pkg/settings -run TestDocs -update`" + `.

Each branch of the tree is a JSON object; a dot in a name below stands for a nested object.
Durations are strings with a unit (` + "`\"1400ms\"`" + `), sizes are bytes without a unit.
A value is looked up from the most specific branch of the request's scope to the most general one; where no branch sets it, the default is in force. From general to specific:

`

const docsTable = `
| name | kind | default | range | branches | meaning |
|---|---|---|---|---|---|
`

// tableRow returns the setting's row in the documentation's table.
func (def *Definition) tableRow() string {
	levels := make([]string, len(def.Levels))
	for i, l := range def.Levels {
		levels[i] = "`" + l.String() + "`"
	}
	value := "`" + def.Default + "`"
	if def.Required {
		value = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |\n",
		def.Name, def.Kind, value, def.acceptedValues(), strings.Join(levels, ", "), def.Doc)
}

// acceptedValues returns the range or the choices of the setting as text.
func (def *Definition) acceptedValues() string {
	switch {
	case def.Kind == KindDuration:
		return fmt.Sprintf("%s to %s", time.Duration(def.Min), time.Duration(def.Max))
	case slices.Contains([]Kind{KindBytes, KindInteger}, def.Kind):
		return fmt.Sprintf("%.0f to %.0f", def.Min, def.Max)
	case slices.Contains([]Kind{KindNumber, KindShare}, def.Kind):
		return fmt.Sprintf("%v to %v", def.Min, def.Max)
	case def.Kind == KindChoice:
		return strings.Join(def.Choices, ", ")
	}
	return ""
}
