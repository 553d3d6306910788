package settings

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// node is a value and the position of its key. The value is a string, int64,
// bool, *table, []*node or unsupported.
type node struct {
	line   int
	column int
	value  any
	// literal marks a value given with "=", which later headers and dotted keys
	// must not extend.
	literal bool
}

// unsupported describes a value of a TOML type that no setting uses.
type unsupported string

// origin is how a table was defined, which determines what may extend it.
type origin int

const (
	originPath   origin = iota // part of the path of a [header]
	originHeader               // its own [header] or [[header]]
	originDotted               // a dotted key, or an inline table
)

type table struct {
	nodes  map[string]*node
	origin origin
}

func newTable(o origin) *table { return &table{nodes: map[string]*node{}, origin: o} }

// document is a parsed TOML file. Unlike the library's decoder, parsing
// continues after a duplicate key or a wrong type, so that one pass reports all
// errors of the file.
type document struct {
	file     string
	root     *table
	findings Findings
	// hasSyntaxError is set when parsing stopped at a syntax error. Missing keys
	// are then not reported, as they may be in the unparsed rest of the file.
	hasSyntaxError bool
}

func parseDocument(file string, data []byte) *document {
	d := &document{file: file, root: newTable(originHeader)}
	p := &unstable.Parser{}
	p.Reset(data)
	current, prefix := d.root, ""
	for p.NextExpression() {
		expr := p.Expression()
		switch expr.Kind {
		case unstable.Table, unstable.ArrayTable:
			current, prefix = d.openTable(p, expr)
		case unstable.KeyValue:
			d.addKeyValue(p, current, prefix, expr)
		}
	}
	d.addSyntaxError(p)
	return d
}

func (d *document) addFinding(line, column int, key, format string, args ...any) {
	d.findings = append(d.findings, Finding{d.file, line, column, key, fmt.Sprintf(format, args...)})
}

func (d *document) addSyntaxError(p *unstable.Parser) {
	err := p.Error()
	if err == nil {
		return
	}
	d.hasSyntaxError = true
	var parserErr *unstable.ParserError
	if !errors.As(err, &parserErr) {
		d.addFinding(0, 0, "", "%v", err)
		return
	}
	start := p.Shape(p.Range(parserErr.Highlight)).Start
	d.addFinding(start.Line, start.Column, "", "syntax error: %s", parserErr.Message)
}

type keyPart struct {
	name   string
	line   int
	column int
}

func (k keyPart) node(value any) *node {
	return &node{line: k.line, column: k.column, value: value}
}

func parseKeyParts(p *unstable.Parser, n *unstable.Node) []keyPart {
	var parts []keyPart
	for it := n.Key(); it.Next(); {
		start := p.Shape(it.Node().Raw).Start
		parts = append(parts, keyPart{string(it.Node().Data), start.Line, start.Column})
	}
	return parts
}

// openTable returns the table that a [header] or [[header]] opens, and its path.
func (d *document) openTable(p *unstable.Parser, expr *unstable.Node) (*table, string) {
	parts := parseKeyParts(p, expr)
	last := len(parts) - 1
	parent, prefix := d.descend(d.root, "", parts[:last], originPath)
	part := parts[last]
	path := joinKey(prefix, part.name)
	if expr.Kind == unstable.ArrayTable {
		return d.appendTable(parent, path, part)
	}
	existing := parent.nodes[part.name]
	if existing == nil {
		t := newTable(originHeader)
		parent.nodes[part.name] = part.node(t)
		return t, path
	}
	t, ok := existing.value.(*table)
	if !ok || t.origin != originPath {
		d.addDuplicate(part, path, existing)
		return newTable(originHeader), path
	}
	t.origin = originHeader
	return t, path
}

func (d *document) appendTable(parent *table, path string, part keyPart) (*table, string) {
	t := newTable(originHeader)
	n := parent.nodes[part.name]
	if n == nil {
		n = part.node([]*node{})
		parent.nodes[part.name] = n
	}
	elements, ok := n.value.([]*node)
	if !ok || n.literal {
		d.addDuplicate(part, path, n)
		return t, path
	}
	n.value = append(elements, part.node(t))
	return t, indexKey(path, len(elements))
}

// descend follows parts from t and creates missing tables with origin o, which
// is originPath or originDotted. It returns the last table and its path.
func (d *document) descend(t *table, prefix string, parts []keyPart, o origin) (*table, string) {
	for _, part := range parts {
		path := joinKey(prefix, part.name)
		n := t.nodes[part.name]
		if n == nil {
			n = part.node(newTable(o))
			t.nodes[part.name] = n
		}
		prefix = path
		t = extendableTable(n, o)
		if t == nil {
			d.addDuplicate(part, path, n)
			t = newTable(o)
		}
		if elements, ok := n.value.([]*node); ok {
			prefix = indexKey(path, len(elements)-1)
		}
	}
	return t, prefix
}

// extendableTable returns the table of n that a path of origin o may extend, or
// nil if it may not. A dotted key may extend only tables defined by dotted keys;
// the path of a header may extend any table except literals.
func extendableTable(n *node, o origin) *table {
	value := n.value
	if elements, ok := value.([]*node); ok && o == originPath && len(elements) > 0 {
		value = elements[len(elements)-1].value
	}
	t, ok := value.(*table)
	if !ok || n.literal || (o == originDotted && t.origin != originDotted) {
		return nil
	}
	return t
}

func (d *document) addKeyValue(p *unstable.Parser, t *table, prefix string, expr *unstable.Node) {
	parts := parseKeyParts(p, expr)
	last := len(parts) - 1
	t, prefix = d.descend(t, prefix, parts[:last], originDotted)
	part := parts[last]
	path := joinKey(prefix, part.name)
	if existing := t.nodes[part.name]; existing != nil {
		d.addDuplicate(part, path, existing)
		return
	}
	value := d.parseValue(p, path, part, expr.Value())
	t.nodes[part.name] = part.node(value)
	t.nodes[part.name].literal = true
}

func (d *document) addDuplicate(part keyPart, path string, first *node) {
	d.addFinding(part.line, part.column, path, "is set twice (first on line %d)", first.line)
}

func (d *document) parseValue(p *unstable.Parser, path string, part keyPart, n *unstable.Node) any {
	switch n.Kind {
	case unstable.String:
		return string(n.Data)
	case unstable.Bool:
		return string(n.Data) == "true"
	case unstable.Integer:
		return parseInteger(string(n.Data))
	case unstable.Array:
		return d.parseArray(p, path, part, n)
	case unstable.InlineTable:
		return d.parseInlineTable(p, path, n)
	case unstable.Float:
		return unsupported("a floating-point number")
	default:
		return unsupported("a date or time")
	}
}

// parseInteger parses a TOML integer; one that overflows int64 is unsupported.
func parseInteger(text string) any {
	v, err := strconv.ParseInt(text, 0, 64)
	if err != nil {
		return unsupported("an integer out of range")
	}
	return v
}

func (d *document) parseArray(p *unstable.Parser, path string, part keyPart, n *unstable.Node) any {
	elements := []*node{}
	for it := n.Children(); it.Next(); {
		child := it.Node()
		if child.Kind == unstable.Comment {
			continue
		}
		place := part
		if child.Raw.Length > 0 {
			start := p.Shape(child.Raw).Start
			place.line, place.column = start.Line, start.Column
		}
		value := d.parseValue(p, indexKey(path, len(elements)), place, child)
		elements = append(elements, place.node(value))
	}
	return elements
}

func (d *document) parseInlineTable(p *unstable.Parser, path string, n *unstable.Node) any {
	t := newTable(originDotted)
	for it := n.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			d.addKeyValue(p, t, path, it.Node())
		}
	}
	return t
}

func joinKey(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

func indexKey(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
