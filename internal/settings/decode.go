package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlug/coltsfootlug/internal/api"
)

// checker is implemented by value types that validate themselves.
type checker interface{ check() error }

var durationType = reflect.TypeFor[api.Duration]()

// decodeTable copies a table into a struct. The toml tag of a field gives its
// key, with the option "required" if the key must be present; the tags min and
// max bound its value.
func (d *document) decodeTable(t *table, path string, tableNode *node, out reflect.Value) {
	known := map[string]bool{}
	for i := range out.NumField() {
		field := out.Type().Field(i)
		name, options, _ := strings.Cut(field.Tag.Get("toml"), ",")
		known[name] = true
		key := joinKey(path, name)
		n := t.nodes[name]
		if n == nil {
			if options == "required" && !d.hasSyntaxError {
				d.addFinding(tableNode.line, tableNode.column, key, "is required")
			}
			continue
		}
		findingCount := len(d.findings)
		d.decodeValue(n, key, out.Field(i))
		if len(d.findings) == findingCount {
			d.checkRange(n, key, field.Tag, out.Field(i))
		}
	}
	d.addUnknown(t, path, known)
}

func (d *document) addUnknown(t *table, path string, known map[string]bool) {
	var names []string
	for name := range t.nodes {
		if !known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		n := t.nodes[name]
		d.addFinding(n.line, n.column, joinKey(path, name), "is not a known key")
	}
}

func (d *document) decodeValue(n *node, key string, out reflect.Value) {
	switch {
	case out.Type() == durationType:
		d.decodeDuration(n, key, out)
	case out.Kind() == reflect.Struct:
		if t, ok := n.value.(*table); ok {
			d.decodeTable(t, key, n, out)
			return
		}
		d.addWrongType(n, key, "a table")
	case out.Kind() == reflect.Slice:
		d.decodeSlice(n, key, out)
	default:
		d.decodeScalar(n, key, out)
	}
}

func (d *document) decodeDuration(n *node, key string, out reflect.Value) {
	text, ok := n.value.(string)
	if !ok {
		d.addWrongType(n, key, "a string with a unit, such as \"1.5s\"")
		return
	}
	var v api.Duration
	if err := v.UnmarshalText([]byte(text)); err != nil {
		d.addFinding(n.line, n.column, key, "%q is not a duration with a unit, such as \"1.5s\"", text)
		return
	}
	out.Set(reflect.ValueOf(v))
}

func (d *document) decodeSlice(n *node, key string, out reflect.Value) {
	elements, ok := n.value.([]*node)
	if !ok {
		d.addWrongType(n, key, "an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(elements), len(elements)))
	for i, e := range elements {
		d.decodeValue(e, indexKey(key, i), out.Index(i))
	}
}

func (d *document) decodeScalar(n *node, key string, out reflect.Value) {
	switch v := n.value.(type) {
	case string:
		if out.Kind() != reflect.String {
			d.addWrongType(n, key, kindName(out.Kind()))
			return
		}
		out.SetString(v)
	case int64:
		if out.Kind() != reflect.Int {
			d.addWrongType(n, key, kindName(out.Kind()))
			return
		}
		out.SetInt(v)
	case bool:
		if out.Kind() != reflect.Bool {
			d.addWrongType(n, key, kindName(out.Kind()))
			return
		}
		out.SetBool(v)
	default:
		d.addWrongType(n, key, kindName(out.Kind()))
		return
	}
	if c, ok := out.Interface().(checker); ok {
		if err := c.check(); err != nil {
			d.addFinding(n.line, n.column, key, "%v", err)
		}
	}
}

// checkRange checks a value against the tags min and max, each a duration or an
// integer.
func (d *document) checkRange(n *node, key string, tag reflect.StructTag, out reflect.Value) {
	if minimum := tag.Get("min"); minimum != "" && out.Int() < parseLimit(minimum) {
		d.addFinding(n.line, n.column, key, "%v is below the minimum of %s", printable(out), minimum)
	}
	if maximum := tag.Get("max"); maximum != "" && out.Int() > parseLimit(maximum) {
		d.addFinding(n.line, n.column, key, "%v is above the maximum of %s", printable(out), maximum)
	}
}

// parseLimit parses the value of a min or max tag. It panics on a malformed tag,
// which is a bug in this package.
func parseLimit(text string) int64 {
	if d, err := time.ParseDuration(text); err == nil {
		return int64(d)
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return v
}

func printable(v reflect.Value) any {
	if d, ok := v.Interface().(api.Duration); ok {
		return d.D()
	}
	return v.Int()
}

func (d *document) addWrongType(n *node, key, want string) {
	d.addFinding(n.line, n.column, key, "is %s, want %s", valueName(n.value), want)
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "an integer"
	case reflect.Bool:
		return "a boolean"
	}
	return k.String()
}

func valueName(v any) string {
	switch v := v.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case bool:
		return "a boolean"
	case *table:
		return "a table"
	case []*node:
		return "an array"
	case unsupported:
		return string(v)
	}
	return fmt.Sprintf("a %T", v)
}
