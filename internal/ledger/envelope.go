package ledger

import (
	"encoding/base64"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// maxHistory is the number of writes that a row's history holds.
const maxHistory = 8

// MaxEnvelopeBytes bounds the size of a row's value beyond that of its data: a record
// takes at most 50 bytes.
const MaxEnvelopeBytes = 512

// writeRecord identifies one write of a row by its token and the version that it
// replaced. Versions of a row increase, but not necessarily by one: a table may use
// one counter for the writes of all rows.
type writeRecord struct {
	Token    string `json:"t"`
	Replaced uint64 `json:"r,omitempty"`
}

// envelope is the value of a row in the table. History holds the records of the
// last writes, newest last. A deleted row is kept as a tombstone for a while, so
// that the outcome of a delete whose answer was lost can be determined like that
// of any other write.
type envelope struct {
	History []writeRecord   `json:"stamps"`
	Deleted bool            `json:"deleted,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// storedRow is a row of the table with its envelope decoded.
type storedRow struct {
	key     string
	version uint64
	// unreadable is set, and the envelope empty, if the value cannot be decoded. Such a
	// row can be replaced or deleted like any other of its version.
	unreadable bool
	envelope
}

func decodeRow(r external.Row) (storedRow, error) {
	s := storedRow{key: r.Key, version: r.Version}
	if r.Version == 0 || len(r.Value) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(r.Value, &s.envelope); err != nil {
		unreadable := storedRow{key: r.Key, version: r.Version, unreadable: true}
		return unreadable, errors.Annotatef(err, "row %q has no valid envelope", r.Key)
	}
	return s, nil
}

// visibleRow returns the row as callers see it: a tombstone is an absent row.
func (s storedRow) visibleRow() Row {
	if s.isAbsent() {
		return Row{Key: s.key}
	}
	return Row{Key: s.key, Version: s.version, Data: s.Data, Unreadable: s.unreadable}
}

func (s storedRow) isAbsent() bool { return s.version == 0 || s.Deleted }

func (s storedRow) hasToken(token string) bool {
	for _, t := range s.History {
		if t.Token == token {
			return true
		}
	}
	return false
}

// historyReaches reports whether the history includes the write that replaced the
// given version. If it does, a token that is not in the history has certainly not
// been written over that version.
func (s storedRow) historyReaches(replaced uint64) bool {
	if s.version <= replaced {
		return true
	}
	for _, t := range s.History {
		if t.Replaced == replaced {
			return true
		}
	}
	return false
}

func appendRecord(history []writeRecord, next writeRecord) []writeRecord {
	if n := len(history) - (maxHistory - 1); n > 0 {
		history = history[n:]
	}
	out := make([]writeRecord, 0, len(history)+1)
	out = append(out, history...)
	return append(out, next)
}

func encodeToken(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
