// Package settings reads the TOML settings of the processes. Reading is
// strict: unknown keys, wrong types and units, missing and clashing values are
// all collected with their place and reported together as Findings.
package settings

import (
	"os"
	"reflect"

	"github.com/juju/errors"
)

// ErrRead says that a settings file could not be read.
const ErrRead = errors.ConstError("settings file not readable")

// LoadEntry reads the settings of an entry.
func LoadEntry(path string) (*Entry, error) {
	s := defaultEntry()
	if err := load(path, RoleEntry, s, s.checkConsistency); err != nil {
		return nil, err
	}
	if s.RPCAdvertise == "" && !s.RPCListen.anyPort() {
		s.RPCAdvertise = s.RPCListen
	}
	return s, nil
}

// LoadAgent reads the settings of an agent.
func LoadAgent(path string) (*Agent, error) {
	s := defaultAgent()
	if err := load(path, RoleAgent, s, s.checkConsistency); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadStandin reads the settings of a process of stand-ins.
func LoadStandin(path string) (*Standin, error) {
	s := &Standin{}
	if err := load(path, RoleStandin, s, s.checkConsistency); err != nil {
		return nil, err
	}
	return s, nil
}

// Check reads a settings file of any role; the file's key role tells which.
func Check(path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	return checkData(path, data)
}

func checkData(path string, data []byte) error {
	d := parseDocument(path, data)
	switch d.role() {
	case RoleEntry:
		s := defaultEntry()
		return d.decode(RoleEntry, s, s.checkConsistency)
	case RoleAgent:
		s := defaultAgent()
		return d.decode(RoleAgent, s, s.checkConsistency)
	case RoleStandin:
		s := &Standin{}
		return d.decode(RoleStandin, s, s.checkConsistency)
	}
	return d.decode("", &struct {
		Role Role `toml:"role,required"`
	}{}, nil)
}

func load(path string, role Role, out any, checkConsistency func(*document)) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	return parseDocument(path, data).decode(role, out, checkConsistency)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotatef(ErrRead, "%v", err)
	}
	return data, nil
}

// role returns the file's role, or "" when it has none or an unknown one.
func (d *document) role() Role {
	if n := d.root.nodes["role"]; n != nil {
		if text, ok := n.value.(string); ok && Role(text).check() == nil {
			return Role(text)
		}
	}
	return ""
}

// decode copies the document into out. A file of another or an unknown role is
// not looked at further, as all its keys would seem wrong.
func (d *document) decode(want Role, out any, checkConsistency func(*document)) error {
	fileStart := &node{line: 1, column: 1}
	if role := d.role(); role != "" && role != want {
		n := d.root.nodes["role"]
		d.addFinding(n.line, n.column, "role", "is %q, want %q", role, want)
		return d.findings.err()
	}
	if d.role() == "" {
		d.decodeRole(fileStart)
		return d.findings.err()
	}
	d.decodeTable(d.root, "", fileStart, reflect.ValueOf(out).Elem())
	if checkConsistency != nil && !d.hasSyntaxError {
		checkConsistency(d)
	}
	return d.findings.err()
}

func (d *document) decodeRole(fileStart *node) {
	n := d.root.nodes["role"]
	if n == nil {
		if !d.hasSyntaxError {
			d.addFinding(fileStart.line, fileStart.column, "role", "is required: \"entry\", \"agent\" or \"standin\"")
		}
		return
	}
	var role Role
	d.decodeScalar(n, "role", reflect.ValueOf(&role).Elem())
}

// lookup returns the node of a top-level key or of a key of a top-level table,
// and whether the file sets it.
func (d *document) lookup(path ...string) (*node, bool) {
	t := d.root
	n := &node{line: 1, column: 1}
	for _, name := range path {
		if t == nil || t.nodes[name] == nil {
			return n, false
		}
		n = t.nodes[name]
		t, _ = n.value.(*table)
	}
	return n, true
}
