package ledger

import (
	"encoding/base64"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// maxTokens is the number of writes that a row remembers.
const maxTokens = 8

// stamp marks one write of a row: its token and the version that it replaced.
// Versions of a row grow, but not by one: a table may count all its writes
// with one counter.
type stamp struct {
	Token    string `json:"t"`
	Replaced uint64 `json:"r,omitempty"`
}

// envelope is a row's value in the table. Stamps holds the stamps of the last
// writes of the row, the newest last. A deleted row stays as a tombstone for a
// while, so that a lost answer of its delete can be settled like any other.
type envelope struct {
	Stamps  []stamp         `json:"stamps"`
	Deleted bool            `json:"deleted,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// stored is a row of the table with its envelope opened.
type stored struct {
	key     string
	version uint64
	envelope
}

func open(r external.Row) (stored, error) {
	s := stored{key: r.Key, version: r.Version}
	if r.Version == 0 || len(r.Value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(r.Value, &s.envelope); err != nil {
		return s, errors.Annotatef(err, "row %q has no valid envelope", r.Key)
	}
	return s, nil
}

func openAll(rows []external.Row) ([]stored, error) {
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
	for _, t := range s.Stamps {
		if t.Token == token {
			return true
		}
	}
	return false
}

// covers reports whether the stamps reach back to the write that replaced the
// given version, so that a token that is missing has certainly not been
// written in its place.
func (s stored) covers(replaced uint64) bool {
	if s.version <= replaced {
		return true
	}
	for _, t := range s.Stamps {
		if t.Replaced == replaced {
			return true
		}
	}
	return false
}

func appendStamp(stamps []stamp, next stamp) []stamp {
	if n := len(stamps) - (maxTokens - 1); n > 0 {
		stamps = stamps[n:]
	}
	out := make([]stamp, 0, len(stamps)+1)
	out = append(out, stamps...)
	return append(out, next)
}

func encodeToken(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
