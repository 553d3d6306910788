package ledger

import (
	"encoding/base64"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/platform"
)

// maxTokens is the number of writes that a row remembers.
const maxTokens = 8

// envelope is a row's value in the table. Tokens holds the tokens of the last
// writes of the row, one for each version, the newest last. A deleted row
// stays as a tombstone for a while, so that a lost answer of its delete can be
// settled like any other and versions do not start again.
type envelope struct {
	Tokens  []string        `json:"tokens"`
	Deleted bool            `json:"deleted,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// stored is a row of the table with its envelope opened.
type stored struct {
	key     string
	version uint64
	envelope
}

func open(r platform.Row) (stored, error) {
	s := stored{key: r.Key, version: r.Version}
	if r.Version == 0 || len(r.Value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(r.Value, &s.envelope); err != nil {
		return s, errors.Annotatef(err, "row %q has no valid envelope", r.Key)
	}
	return s, nil
}

func openAll(rows []platform.Row) ([]stored, error) {
	out := make([]stored, 0, len(rows))
	for _, r := range rows {
		s, err := open(r)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// row returns what callers see: a tombstone is an absent row.
func (s stored) row() Row {
	if s.absent() {
		return Row{Key: s.key}
	}
	return Row{Key: s.key, Version: s.version, Data: s.Data}
}

func (s stored) absent() bool { return s.version == 0 || s.Deleted }

func (s stored) has(token string) bool {
	for _, t := range s.Tokens {
		if t == token {
			return true
		}
	}
	return false
}

// covers reports whether the tokens reach back to the given version, so that
// a token that is missing has certainly not been written at that version.
func (s stored) covers(version uint64) bool {
	return s.version < version || s.version-version < uint64(len(s.Tokens))
}

func appendToken(tokens []string, token string) []string {
	if n := len(tokens) - (maxTokens - 1); n > 0 {
		tokens = tokens[n:]
	}
	out := make([]string, 0, len(tokens)+1)
	out = append(out, tokens...)
	return append(out, token)
}

func encodeToken(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
