// Package settings loads and validates the TOML settings files of the
// processes. Validation is strict: unknown keys, wrong types or units, missing
// values and conflicting values are collected with their positions in the file
// and reported together as Findings.
package settings

import (
	"os"
	"reflect"

	"github.com/juju/errors"
)

// ErrRead is returned when a settings file cannot be read.
const ErrRead = errors.ConstError("settings file not readable")

// LoadEntry loads the settings of an entry. An invalid file is reported as
// Findings.
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

// LoadAgent loads the settings of an agent. An invalid file is reported as
// Findings.
func LoadAgent(path string) (*Agent, error) {
	s := defaultAgent()
	if err := load(path, RoleAgent, s, s.checkConsistency); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadStandin loads the settings of a process that runs stand-ins. An invalid
// file is reported as Findings.
func LoadStandin(path string) (*Standin, error) {
	s := &Standin{}
	if err := load(path, RoleStandin, s, s.checkConsistency); err != nil {
		return nil, err
	}
	return s, nil
}

// Check validates a settings file of any role; the file's role key selects the
// schema.
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

// role returns the file's role, or "" if it is missing or unknown.
func (d *document) role() Role {
	if n := d.root.nodes["role"]; n != nil {
		if text, ok := n.value.(string); ok && Role(text).check() == nil {
			return Role(text)
		}
	}
	return ""
}

// decode copies the document into out and validates it. If the role is not
// want, only the role is reported: the other keys belong to a different schema
// and would all be reported as unknown.
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

// lookup returns the node at a path of keys and whether the file sets it. If it
// does not, the node is that of the innermost key that exists, or the start of
// the file.
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
