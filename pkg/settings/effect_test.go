package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

// TestEverySettingIsRead guards against a setting that is accepted and documented
// but has no effect. Code outside this package must read the setting's field of
// View, directly or through a variable of the field's group.
func TestEverySettingIsRead(t *testing.T) {
	sources := repositorySources(t)
	view := reflect.TypeFor[View]()
	for _, def := range Definitions {
		group, field := "Links", ""
		if index, ok := viewFields[def.Name]; ok {
			group, field = view.Field(index[0]).Name, view.Field(index[0]).Type.Field(index[1]).Name
		} else {
			// Links is a map, so the setting's field is one of type Link.
			for i := range reflect.TypeFor[Link]().NumField() {
				name := reflect.TypeFor[Link]().Field(i).Name
				if strings.EqualFold(name, strings.ReplaceAll(strings.TrimPrefix(def.Name, "links.*."), "_", "")) {
					field = name
				}
			}
		}
		if !readsField(sources, group, field) {
			t.Errorf("no code outside pkg/settings reads setting %s (View.%s.%s): connect it or remove it", def.Name, group, field)
		}
	}
}

// readsField reports whether one of the sources reads a field of a group of View.
func readsField(sources []string, group, field string) bool {
	if field == "" {
		return false
	}
	direct := regexp.MustCompile(`\.` + group + `\.` + field + `\b`)
	variables := regexp.MustCompile(`\b(\w+) (?::= (?:range )?[\w.()]+\.` + group + `\b(?:$|[^.\w])|settings\.` + group + `\b)`)
	for _, source := range sources {
		if direct.MatchString(source) {
			return true
		}
		for _, m := range variables.FindAllStringSubmatch(source, -1) {
			if regexp.MustCompile(`\b` + m[1] + `\.` + field + `\b`).MatchString(source) {
				return true
			}
		}
	}
	return false
}

// repositorySources returns the Go files of the repository outside this package
// and outside tests.
func repositorySources(t *testing.T) []string {
	const root, self = "../..", "../../pkg/settings"
	var sources []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path == filepath.FromSlash(self):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		data, err := os.ReadFile(path)
		sources = append(sources, string(data))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return sources
}
