package ledger

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/coltsfootlug/coltsfootlug/internal/external"
)

// step is the next operation that a group needs.
type step int

const (
	stepSend step = iota // send the transaction
	stepRead             // read the rows: an answer was lost or a history is missing
	stepDone
)

// commitRequest is one caller's commit within a group.
type commitRequest struct {
	token  string
	writes []Write
	bytes  int

	// conds are the versions that the rows must have in the table. They differ from
	// the versions of writes where a row is a tombstone.
	conds []uint64
	// histories are the histories of the rows before the commit, as far as known.
	histories [][]writeRecord
	// newVersions are the versions that the writes were given, set once the request
	// has committed.
	newVersions []uint64
	// historyMissing is set if the history of some row was not known when the
	// request was made.
	historyMissing bool
	// inDoubt is set once the answer of a transaction with this request was lost.
	inDoubt bool

	ended bool
	rows  []Row
	err   error
}

func newCommitRequest(token string, writes []Write) *commitRequest {
	req := &commitRequest{token: token, writes: writes, conds: make([]uint64, len(writes)), histories: make([][]writeRecord, len(writes))}
	for i, w := range writes {
		req.conds[i] = w.Version
		req.bytes += len(w.Key) + len(w.Data)
	}
	return req
}

func (req *commitRequest) end(rows []Row, err error) {
	req.ended = true
	req.rows = rows
	req.err = err
}

// group merges the commits of independent callers into one transaction. It makes no
// calls itself: the sender carries out its steps. A request that conflicts is
// dropped and the others are sent again. After a lost answer the rows are read
// back. A request whose token is found has committed. A request whose rows are
// unchanged is sent again under the same conditions, so that it takes effect at
// most once even if the first transaction arrives late. Any other request has
// conflicted.
type group struct {
	requests []*commitRequest
	next     step
}

func newGroup(requests []*commitRequest) *group {
	g := &group{requests: requests}
	for _, req := range requests {
		if req.historyMissing {
			g.next = stepRead
		}
	}
	return g
}

// pending returns the requests that have not ended.
func (g *group) pending() []*commitRequest {
	var out []*commitRequest
	for _, req := range g.requests {
		if !req.ended {
			out = append(out, req)
		}
	}
	return out
}

func (g *group) nextStep() step {
	if len(g.pending()) == 0 {
		return stepDone
	}
	return g.next
}

func (g *group) keys() []string {
	var keys []string
	seen := map[string]bool{}
	for _, req := range g.pending() {
		for _, w := range req.writes {
			if !seen[w.Key] {
				seen[w.Key] = true
				keys = append(keys, w.Key)
			}
		}
	}
	return keys
}

// txn returns the transaction that carries all pending requests.
func (g *group) txn() external.Txn {
	var txn external.Txn
	seen := map[external.Cond]bool{}
	for _, req := range g.pending() {
		for i, w := range req.writes {
			cond := external.Cond{Key: w.Key, Version: req.conds[i]}
			if !seen[cond] {
				seen[cond] = true
				txn.Conds = append(txn.Conds, cond)
			}
			if !w.Check {
				txn.Puts = append(txn.Puts, external.Row{Key: w.Key, Value: req.encodeValue(i)})
			}
		}
	}
	return txn
}

func (req *commitRequest) encodeValue(i int) json.RawMessage {
	w := req.writes[i]
	e := envelope{History: appendRecord(req.histories[i], writeRecord{req.token, req.conds[i]}), Deleted: w.Delete, Data: w.Data}
	if w.Delete {
		e.Data = nil
	}
	// Encoding cannot fail: Client.admit has checked that the data is valid JSON.
	v, _ := json.Marshal(e)
	return v
}

// recordLostAnswer records that the transaction got no answer.
func (g *group) recordLostAnswer() {
	for _, req := range g.pending() {
		req.inDoubt = true
	}
	g.next = stepRead
}

// recordCommitted ends the pending requests with the rows that were written.
func (g *group) recordCommitted(rows []external.Row) {
	versions := make(map[string]uint64, len(rows))
	for _, r := range rows {
		versions[r.Key] = r.Version
	}
	for _, req := range g.pending() {
		req.end(req.committedRows(versions), nil)
	}
}

func (req *commitRequest) committedRows(versions map[string]uint64) []Row {
	out := make([]Row, len(req.writes))
	req.newVersions = make([]uint64, len(req.writes))
	for i, w := range req.writes {
		req.newVersions[i] = versions[w.Key]
		out[i] = Row{Key: w.Key}
		switch {
		case w.Check:
			out[i].Version = w.Version
		case !w.Delete:
			out[i].Version = versions[w.Key]
		}
	}
	return out
}

// reconcile updates the group with the current rows of all its keys, after a failed
// condition or a read-back.
func (g *group) reconcile(rows []storedRow) {
	byKey := make(map[string]storedRow, len(rows))
	for _, r := range rows {
		byKey[r.key] = r
	}
	for _, req := range g.pending() {
		req.reconcile(byKey)
	}
	g.next = stepSend
}

// reconcile ends the request if the rows show its outcome. Otherwise it updates the
// conditions and histories with which the request is sent again.
func (req *commitRequest) reconcile(rows map[string]storedRow) {
	if req.inDoubt && req.tokenFound(rows) {
		req.end(req.rowsFromHistory(rows), nil)
		return
	}
	changed, unclear := false, false
	for i, w := range req.writes {
		r := rows[w.Key]
		if r.version == req.conds[i] {
			req.histories[i] = r.History
			continue
		}
		unclear = unclear || req.inDoubt && !w.Check && !r.historyReaches(req.conds[i])
		if w.Version == 0 && r.isAbsent() {
			req.conds[i], req.histories[i] = r.version, r.History
			continue
		}
		changed = true
	}
	switch {
	case unclear:
		req.end(nil, errors.Annotatef(ErrOutcomeUnknown, "row %q has had more writes than it remembers", req.writes[0].Key))
	case changed:
		req.end(req.currentRows(rows), errors.Annotatef(ErrConflict, "row %q", req.firstChangedKey(rows)))
	}
}

// tokenFound reports whether the history of any row has the request's token. A
// transaction writes all rows or none, so one row is enough.
func (req *commitRequest) tokenFound(rows map[string]storedRow) bool {
	for _, w := range req.writes {
		if !w.Check && rows[w.Key].hasToken(req.token) {
			return true
		}
	}
	return false
}

// rowsFromHistory returns the rows with the versions that the request's own write
// gave them.
func (req *commitRequest) rowsFromHistory(rows map[string]storedRow) []Row {
	versions := make(map[string]uint64, len(req.writes))
	for i, w := range req.writes {
		versions[w.Key] = rows[w.Key].versionWrittenBy(req.token, req.conds[i])
	}
	return req.committedRows(versions)
}

// versionWrittenBy returns the version that the write with the token gave the row,
// or fallback if that write is no longer in the history. The fallback is older than
// the row's version, so the caller's next write of the row conflicts and returns
// the current version.
func (s storedRow) versionWrittenBy(token string, fallback uint64) uint64 {
	for i, t := range s.History {
		switch {
		case t.Token != token:
			continue
		case i+1 < len(s.History):
			return s.History[i+1].Replaced
		default:
			return s.version
		}
	}
	return fallback
}

func (req *commitRequest) currentRows(rows map[string]storedRow) []Row {
	out := make([]Row, len(req.writes))
	for i, w := range req.writes {
		out[i] = rows[w.Key].visibleRow()
		out[i].Key = w.Key
	}
	return out
}

func (req *commitRequest) firstChangedKey(rows map[string]storedRow) string {
	for i, w := range req.writes {
		if rows[w.Key].version != req.conds[i] {
			return w.Key
		}
	}
	return req.writes[0].Key
}
