package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cornelline/cornelline/pkg/fleet"
)

// CheckError reports why a change was rejected. A rejected change has no effect.
type CheckError struct {
	// Path is the branch, followed by a colon and the setting if one is at fault.
	Path   string
	Reason string
}

// Error formats the path and the reason.
func (e *CheckError) Error() string { return e.Path + ": " + e.Reason }

// node is an object or, when def is set, a setting in the schema of a branch.
type node struct {
	children map[string]*node
	def      *Definition
}

// schemas holds the schema of the branches of each level.
var schemas = buildSchemas()

// definitionsByName indexes Definitions by the name of the setting.
var definitionsByName = func() map[string]*Definition {
	m := make(map[string]*Definition, len(Definitions))
	for i := range Definitions {
		m[Definitions[i].Name] = &Definitions[i]
	}
	return m
}()

func buildSchemas() [levelCount]*node {
	var roots [levelCount]*node
	for l := range roots {
		roots[l] = &node{children: map[string]*node{}}
	}
	for i := range Definitions {
		for _, l := range Definitions[i].Levels {
			roots[l].insert(strings.Split(Definitions[i].Name, "."), &Definitions[i])
		}
	}
	return roots
}

func (n *node) insert(path []string, def *Definition) {
	for _, part := range path {
		child := n.children[part]
		if child == nil {
			child = &node{children: map[string]*node{}}
			n.children[part] = child
		}
		n = child
	}
	n.def = def
}

// maxDepth bounds the nesting of a branch's JSON.
const maxDepth = 8

// values are a branch's own settings by name. A name that matches a wildcard is
// stored as given in the branch.
type values map[string]any

// decodeBranch parses a branch's JSON object. It rejects unknown, duplicate and
// missing names and values outside their bounds.
func decodeBranch(k branchKey, data []byte) (values, *CheckError) {
	d := decoder{branch: k.String(), out: values{}, dec: json.NewDecoder(bytes.NewReader(data))}
	d.dec.UseNumber()
	if err := d.object(schemas[k.level], "", 0); err != nil {
		return nil, err
	}
	if _, err := d.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, d.errorAt("", "want one JSON object and nothing after it")
	}
	for i := range Definitions {
		def := &Definitions[i]
		if _, ok := d.out[def.Name]; !ok && def.Required && slices.Contains(def.Levels, k.level) {
			return nil, d.errorAt(def.Name, "missing")
		}
	}
	return d.out, nil
}

// decoder reads the JSON tokens of one branch as its schema prescribes.
type decoder struct {
	branch string
	dec    *json.Decoder
	out    values
}

func (d *decoder) errorAt(name, format string, args ...any) *CheckError {
	path := d.branch
	if name != "" {
		path += ":" + name
	}
	return &CheckError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// object reads a JSON object with the members of schema node n.
func (d *decoder) object(n *node, name string, depth int) *CheckError {
	tok, err := d.dec.Token()
	if err != nil {
		return d.errorAt(name, "not valid JSON: %v", err)
	}
	if tok != json.Delim('{') || depth > maxDepth {
		return d.errorAt(name, "want a JSON object")
	}
	seen := map[string]bool{}
	for d.dec.More() {
		if err := d.member(n, name, depth, seen); err != nil {
			return err
		}
	}
	if _, err := d.dec.Token(); err != nil {
		return d.errorAt(name, "not valid JSON: %v", err)
	}
	return nil
}

// member reads the name and the value of one member.
func (d *decoder) member(n *node, parent string, depth int, seen map[string]bool) *CheckError {
	tok, err := d.dec.Token()
	if err != nil {
		return d.errorAt(parent, "not valid JSON: %v", err)
	}
	key, _ := tok.(string)
	name := key
	if parent != "" {
		name = parent + "." + key
	}
	if seen[key] {
		return d.errorAt(name, "given twice")
	}
	seen[key] = true
	child := n.children[key]
	if wild := n.children["*"]; wild != nil {
		if !validName.MatchString(key) || strings.Contains(key, ".") {
			return d.errorAt(name, "not a valid name")
		}
		child = wild
	}
	switch {
	case child == nil:
		return d.errorAt(name, "unknown name")
	case child.def != nil:
		return d.leaf(child.def, name)
	}
	return d.object(child, name, depth+1)
}

// leaf reads the value of a setting.
func (d *decoder) leaf(def *Definition, name string) *CheckError {
	var raw any
	if err := d.dec.Decode(&raw); err != nil {
		return d.errorAt(name, "not valid JSON: %v", err)
	}
	v, err := def.parse(raw)
	if err != nil {
		return d.errorAt(name, "%v", err)
	}
	d.out[name] = v
	return nil
}

// parse returns the typed value of raw, which encoding/json decoded with UseNumber.
func (def *Definition) parse(raw any) (any, error) {
	switch def.Kind {
	case KindDuration:
		return def.parseDuration(raw)
	case KindBytes, KindInteger:
		return def.parseInteger(raw)
	case KindNumber, KindShare:
		return def.parseNumber(raw)
	case KindBool:
		if b, ok := raw.(bool); ok {
			return b, nil
		}
		return nil, errors.New("want true or false")
	case KindNames, KindHashes:
		return def.parseList(raw)
	}
	s, ok := raw.(string)
	if !ok {
		return nil, errors.New("want a string")
	}
	return def.parseText(s)
}

func (def *Definition) parseDuration(raw any) (any, error) {
	s, ok := raw.(string)
	if !ok {
		return nil, errors.New(`want a duration with a unit, such as "250ms"`)
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return nil, fmt.Errorf(`want a duration with a unit, such as "250ms", not %q`, s)
	}
	if float64(d) < def.Min || float64(d) > def.Max {
		return nil, fmt.Errorf("%s is outside %s to %s", d, time.Duration(def.Min), time.Duration(def.Max))
	}
	return d, nil
}

func (def *Definition) parseInteger(raw any) (any, error) {
	n, ok := raw.(json.Number)
	if !ok {
		if def.Kind == KindBytes {
			return nil, errors.New("want a number of bytes without a unit")
		}
		return nil, errors.New("want a whole number")
	}
	i, err := n.Int64()
	if err != nil {
		return nil, fmt.Errorf("want a whole number, not %s", n)
	}
	return i, def.checkRange(float64(i))
}

func (def *Definition) parseNumber(raw any) (any, error) {
	n, ok := raw.(json.Number)
	if !ok {
		return nil, errors.New("want a number")
	}
	f, err := n.Float64()
	if err != nil {
		return nil, fmt.Errorf("want a number, not %s", n)
	}
	return f, def.checkRange(f)
}

func (def *Definition) checkRange(f float64) error {
	if f < def.Min || f > def.Max {
		return fmt.Errorf("%v is outside %v to %v", f, def.Min, def.Max)
	}
	return nil
}

func (def *Definition) parseList(raw any) (any, error) {
	items, ok := raw.([]any)
	if !ok {
		return nil, errors.New("want a list of strings")
	}
	list := make([]string, 0, len(items))
	for i, item := range items {
		s, ok := item.(string)
		switch {
		case !ok:
			return nil, fmt.Errorf("item %d: want a string", i)
		case def.Kind == KindHashes && !isHash(s):
			return nil, fmt.Errorf("item %d: want a SHA-256 hash as 64 lower-case hexadecimal digits", i)
		case def.Kind == KindNames && !validName.MatchString(s):
			return nil, fmt.Errorf("item %d: %q is not a valid name", i, s)
		case slices.Contains(list, s):
			return nil, fmt.Errorf("item %d: %q is given twice", i, s)
		}
		list = append(list, s)
	}
	return list, nil
}

// hashDigits is the length of a SHA-256 hash in hexadecimal.
const hashDigits = 64

func isHash(s string) bool {
	return len(s) == hashDigits && strings.Trim(s, "0123456789abcdef") == ""
}

func (def *Definition) parseText(s string) (any, error) {
	switch def.Kind {
	case KindChoice:
		if !slices.Contains(def.Choices, s) {
			return nil, fmt.Errorf("want %s, not %q", strings.Join(def.Choices, " or "), s)
		}
	case KindAddress:
		if a, err := netip.ParseAddrPort(s); err != nil || a.Port() == 0 {
			return nil, fmt.Errorf("want IP:port, not %q", s)
		}
	case KindPath:
		if !strings.HasPrefix(s, "/") || strings.ContainsAny(s, " \t\r\n?#") {
			return nil, fmt.Errorf("want a path that starts with /, not %q", s)
		}
	case KindTimeOfDay:
		if t, err := time.Parse("15:04", s); err != nil || t.Format("15:04") != s {
			return nil, fmt.Errorf("want a time of day such as 06:00, not %q", s)
		}
	case KindRank:
		return fleet.ParseRank(s)
	case KindText:
		if def.Required && s == "" {
			return nil, errors.New("must not be empty")
		}
	}
	return s, nil
}
